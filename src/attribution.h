// Which weight versions made a sample, token by token.
//
// Spans are built from what the engine reported with each chunk and never from
// what was requested. Tokens are numbered from 0 over the whole completion, so
// a stream that is resumed elsewhere goes on where the earlier one ended and
// keeps its earlier spans. Whatever can't be proved makes the sample unusable.
#pragma once

#include "error.h"
#include "types.h"

#include <cstdint>
#include <json/json.h>
#include <optional>
#include <string_view>
#include <vector>

namespace lovagerail {

// Tokens `first` to `last`, both included, were made by one version.
struct version_span {
    weight_version version;
    std::uint32_t first = 0;
    std::uint32_t last = 0;

    friend bool operator==(const version_span&, const version_span&) = default;
};

// What an engine said of one chunk of a stream.
struct engine_chunk {
    std::optional<weight_version> version;
    std::uint32_t firstToken = 0;
    std::uint32_t tokenCount = 0;
};

enum class unusable_reason {
    MissingVersion, // a chunk with tokens but without a version
    TokenGap,
    TokenOverlap,
    LengthMismatch, // the engine's final count differs from its chunks
    NoTokens,
};

std::string_view toString(unusable_reason reason);

// The spans of one sample. Amortized O(1) per chunk.
class attribution {
public:
    // Adds a chunk; a reason makes the sample unusable for good.
    std::optional<unusable_reason> append(const engine_chunk& chunk);
    // Checks the whole against the engine's final token count.
    std::optional<unusable_reason> finish(std::uint32_t tokens);

    // Tokens attributed so far; where a resumed stream has to go on.
    std::uint32_t nextToken() const;
    const std::vector<version_span>& spans() const { return m_spans; }

private:
    // Adjacent, without gaps, from token 0; neighbours differ in version.
    std::vector<version_span> m_spans;
    std::optional<unusable_reason> m_unusable;
};

// The spans must not be empty.
weight_version oldestVersion(const std::vector<version_span>& spans);
weight_version newestVersion(const std::vector<version_span>& spans);

// Versions that a sample lies behind the trainer; 0 if it is ahead.
std::uint64_t ageOf(const std::vector<version_span>& spans, weight_version trainerVersion);

Json::Value toJson(const std::vector<version_span>& spans);
result<std::vector<version_span>> spansFromJson(const Json::Value& json);

} // namespace lovagerail
