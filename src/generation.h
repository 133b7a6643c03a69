// One generation as the caller asked for it and as engines made it so far: the
// request body for each attempt, the pieces that came back, and the answer.
//
// A generation that broke off goes on at another engine: the next attempt's
// prompt is the first one's with the text made so far behind it, and the token
// limit is what is left. So the caller sees one text without gap or repeat.
#pragma once

#include "attribution.h"
#include "error.h"
#include "types.h"

#include <json/value.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerail {

constexpr std::uint32_t defaultMaxTokens = 256;
constexpr std::uint32_t bytesPerToken = 4; // for estimates alone

// What a caller asked of an engine.
struct generation_request {
    bool chat = false;
    bool stream = false;
    std::string model;
    std::string prompt; // a chat's messages are joined for prefix hashing alone
    Json::Value body; // as sent, for passing on
    std::uint32_t maxTokens = defaultMaxTokens;
};

// Fails with InvalidArgument and a reason that may be shown to the caller.
result<generation_request> parseGeneration(std::string_view path, std::string_view body);

// What an engine counted at the end of a stream.
struct engine_usage {
    token_count prompt;
    token_count completion;
    token_count cached;
};

// One chunk of an engine's stream.
struct stream_piece {
    std::string id; // must name our attempt
    std::string text;
    std::uint32_t tokens = 0;
    std::optional<weight_version> version;
    std::string finishReason; // empty until the last piece
    std::optional<engine_usage> usage;
};

// Splits an engine's server-sent events into pieces.
class piece_reader {
public:
    // Adds bytes and returns the pieces that are whole. Corrupt if a line isn't
    // what an engine may send.
    result<std::vector<stream_piece>> feed(std::string_view bytes);
    // The end marker came.
    bool done() const { return m_done; }

private:
    std::string m_line;
    bool m_done = false;
};

// The text and versions made so far, over all attempts.
class generation {
public:
    explicit generation(generation_request wanted);

    const generation_request& wanted() const { return m_wanted; }

    // The body for the next attempt. `priority` is the engine's, lower first.
    std::string attemptBody(std::int32_t priority) const;
    // Takes a piece of the attempt in progress.
    void add(const stream_piece& piece);
    // Whether an end reason came, so that the answer is whole.
    bool whole() const { return !m_finishReason.empty(); }
    bool started() const { return m_tokens > 0; }
    // Tokens that an attempt may still make.
    std::uint32_t tokensLeft() const;

    std::uint32_t tokens() const { return m_tokens; }
    const std::string& text() const { return m_text; }
    const std::string& finishReason() const { return m_finishReason; }
    // Empty if a piece came without a version or with a gap: nothing is guessed.
    const std::vector<version_span>& spans() const { return m_made.spans(); }
    bool attributed() const { return !m_unusable; }

    // One server-sent event for the caller.
    std::string pieceEvent(const request_id& id, const stream_piece& piece) const;
    // The last events: usage and the end marker.
    std::string endEvents(const request_id& id) const;
    // The whole answer for a caller that did not ask for a stream.
    std::string wholeBody(const request_id& id) const;

private:
    Json::Value envelope(const request_id& id, bool chunk) const;
    Json::Value usageJson() const;

    generation_request m_wanted;
    std::string m_text;
    std::uint32_t m_tokens = 0;
    attribution m_made;
    bool m_unusable = false;
    std::string m_finishReason;
    std::optional<engine_usage> m_usage; // of the attempt that ended
    token_count m_promptTokens; // of the first attempt, as its engine counted
};

} // namespace lovagerail
