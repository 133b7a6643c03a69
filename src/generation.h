// One text generation: the caller's request, the text that engines have generated so far,
// the request body of each attempt, and the answer to the caller.
//
// If an attempt breaks off, the generation is resumed at another engine: the next
// attempt's prompt is the original one followed by the text generated so far, and its
// token limit is the rest. So the caller gets one text without gap or repeat.
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
constexpr std::uint32_t bytesPerToken = 4; // for estimates only

// A parsed completion request.
struct generation_request {
    bool chat = false;
    bool stream = false;
    std::string model;
    std::string prompt; // of a chat: its messages joined, used only for prefix hashing
    Json::Value body; // as received, to be forwarded
    std::uint32_t maxTokens = defaultMaxTokens;
};

// Fails with InvalidArgument and a reason that is safe to show to the caller.
result<generation_request> parseGeneration(std::string_view path, std::string_view body);

// Token counts that an engine reports at the end of a stream.
struct engine_usage {
    token_count prompt;
    token_count completion;
    token_count cached;
};

// One chunk of an engine's stream.
struct stream_chunk {
    std::string id; // must be the id of our attempt
    std::string text;
    std::uint32_t tokens = 0;
    std::optional<weight_version> version;
    std::string finishReason; // empty until the last chunk
    std::optional<engine_usage> usage;
};

// Parses an engine's server-sent events into chunks.
class stream_reader {
public:
    // Adds bytes and returns the chunks that are complete. Corrupt if a line is no valid
    // event of an engine.
    result<std::vector<stream_chunk>> feed(std::string_view bytes);
    // Whether the end marker was received.
    bool done() const { return m_done; }

private:
    std::string m_line;
    bool m_done = false;
};

// The text generated so far and its weight versions, over all attempts.
class generation {
public:
    explicit generation(generation_request wanted);

    const generation_request& wanted() const { return m_request; }

    // The body for the next attempt. The engine runs lower priorities first.
    std::string attemptBody(std::int32_t priority) const;
    // Appends a chunk of the attempt in progress.
    void add(const stream_chunk& chunk);
    // Whether a finish reason was received, so that the answer is complete.
    bool isComplete() const { return !m_finishReason.empty(); }
    bool started() const { return m_tokens > 0; }
    // Tokens that an attempt may still generate.
    std::uint32_t remainingTokens() const;

    std::uint32_t tokens() const { return m_tokens; }
    const std::string& text() const { return m_text; }
    const std::string& finishReason() const { return m_finishReason; }
    // Which weight version generated which tokens; valid only if isAttributed().
    const std::vector<version_span>& spans() const { return m_attribution.spans(); }
    // False once a chunk came without a version or with a gap: versions are never guessed.
    bool isAttributed() const { return !m_attributionFailed; }

    // One server-sent event for the caller.
    std::string chunkEvent(const request_id& id, const stream_chunk& chunk) const;
    // The last events: usage and the end marker.
    std::string finalEvents(const request_id& id) const;
    // The complete answer for a caller that did not ask for a stream.
    std::string completeBody(const request_id& id) const;

private:
    Json::Value commonFields(const request_id& id, bool isChunk) const;
    Json::Value usageJson() const;

    generation_request m_request;
    std::string m_text;
    std::uint32_t m_tokens = 0;
    attribution m_attribution;
    bool m_attributionFailed = false;
    std::string m_finishReason;
    std::optional<engine_usage> m_usage; // of the last attempt that reported it
    token_count m_promptTokens; // as counted by the engine of the first attempt
};

} // namespace lovagerail
