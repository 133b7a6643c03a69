// Building, checking and JSON encoding of version spans; see attribution.h.
#include "attribution.h"

#include <algorithm>
#include <cassert>

namespace lovagerail {

namespace {

    bool byVersion(const version_span& left, const version_span& right)
    {
        return left.version < right.version;
    }

} // namespace

std::string_view toString(unusable_reason reason)
{
    switch (reason) {
    case unusable_reason::MissingVersion:
        return "missing_version";
    case unusable_reason::TokenGap:
        return "token_gap";
    case unusable_reason::TokenOverlap:
        return "token_overlap";
    case unusable_reason::LengthMismatch:
        return "length_mismatch";
    case unusable_reason::NoTokens:
        return "no_tokens";
    }
    return "unknown";
}

// A chunk without tokens (a keep-alive or the end marker) needs no version and changes nothing.
std::optional<unusable_reason> attribution::append(const engine_chunk& chunk)
{
    if (m_unusable || chunk.tokenCount == 0)
        return m_unusable;

    // Step 1. Check that the chunk has a version and follows the last token.
    const std::uint32_t next = nextToken();
    if (!chunk.version)
        m_unusable = unusable_reason::MissingVersion;
    else if (chunk.firstToken > next)
        m_unusable = unusable_reason::TokenGap;
    else if (chunk.firstToken < next)
        m_unusable = unusable_reason::TokenOverlap;
    if (m_unusable)
        return m_unusable;

    // Step 2. Extend the last span or start a new one.
    const std::uint32_t last = next + chunk.tokenCount - 1;
    if (!m_spans.empty() && m_spans.back().version == *chunk.version)
        m_spans.back().last = last;
    else
        m_spans.push_back({ *chunk.version, next, last });
    return std::nullopt;
}

std::optional<unusable_reason> attribution::finish(std::uint32_t tokens)
{
    if (m_unusable)
        return m_unusable;
    if (tokens != nextToken())
        m_unusable = unusable_reason::LengthMismatch;
    else if (tokens == 0)
        m_unusable = unusable_reason::NoTokens;
    return m_unusable;
}

std::uint32_t attribution::nextToken() const
{
    return m_spans.empty() ? 0 : m_spans.back().last + 1;
}

weight_version oldestVersion(const std::vector<version_span>& spans)
{
    assert(!spans.empty());
    return std::min_element(spans.begin(), spans.end(), byVersion)->version;
}

weight_version newestVersion(const std::vector<version_span>& spans)
{
    assert(!spans.empty());
    return std::max_element(spans.begin(), spans.end(), byVersion)->version;
}

std::uint64_t ageOf(const std::vector<version_span>& spans, weight_version trainerVersion)
{
    const weight_version oldest = oldestVersion(spans);
    return oldest >= trainerVersion ? 0 : trainerVersion.value() - oldest.value();
}

// Encodes spans as an array of objects with version, first and last.
Json::Value toJson(const std::vector<version_span>& spans)
{
    Json::Value json(Json::arrayValue);
    for (const version_span& span : spans) {
        Json::Value entry(Json::objectValue);
        entry["version"] = Json::UInt64(span.version.value());
        entry["first"] = span.first;
        entry["last"] = span.last;
        json.append(entry);
    }
    return json;
}

// Rejects spans that append() could not have built.
result<std::vector<version_span>> spansFromJson(const Json::Value& json)
{
    constexpr auto step = "attribution.decode";
    if (!json.isArray())
        return failure(error_code::Corrupt, step, "spans are not an array");
    std::vector<version_span> spans;
    std::uint32_t next = 0;
    for (const Json::Value& entry : json) {
        if (!entry.isObject())
            return failure(error_code::Corrupt, step, "a span is not an object");
        if (!entry["version"].isUInt64() || !entry["first"].isUInt() || !entry["last"].isUInt())
            return failure(error_code::Corrupt, step, "version, first and last of a span must be unsigned integers");
        const version_span span { weight_version(entry["version"].asUInt64()), entry["first"].asUInt(), entry["last"].asUInt() };
        if (span.first != next || span.last < span.first || span.last == UINT32_MAX)
            return failure(error_code::Corrupt, step, "spans have a gap or an overlap");
        if (!spans.empty() && spans.back().version == span.version)
            return failure(error_code::Corrupt, step, "adjacent spans have the same version");
        spans.push_back(span);
        next = span.last + 1;
    }
    return spans;
}

} // namespace lovagerail
