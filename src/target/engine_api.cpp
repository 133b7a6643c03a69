// JSON fields of load reports and cache events.
#include "target/engine_api.h"

#include "json_text.h"

#include <algorithm>

namespace lovagerail::target {

namespace {

    result<Json::Value> parse(std::string_view text, std::string_view step) { return parseJsonObject(text, step, peer_kind::Target); }

    std::uint64_t numberOf(const Json::Value& value)
    {
        return value.isUInt64() ? value.asUInt64() : 0;
    }

} // namespace

result<load_report> decodeLoad(std::string_view body, const target_id& target, instant received, wall_time now)
{
    const auto parsed = parse(body, "target.load");
    if (!parsed)
        return tl::unexpected(parsed.error());
    const auto& value = *parsed;
    load_report report;
    report.target = target;
    report.incarnation = incarnation(numberOf(value["incarnation"]));
    report.running = static_cast<std::uint32_t>(numberOf(value["running"]));
    report.waiting = static_cast<std::uint32_t>(numberOf(value["waiting"]));
    report.kvCacheUsage = value["kv_cache_usage"].isNumeric() ? std::clamp(value["kv_cache_usage"].asDouble(), 0.0, 1.0) : 0;
    report.version = weight_version(numberOf(value["weight_version"]));
    report.model = model_id(value["model"].isString() ? value["model"].asString() : "");
    // The lag by wall clock; clamped, so that clock skew can't put the measurement in the future.
    const auto measured = static_cast<std::int64_t>(numberOf(value["measured_at_ms"]));
    const auto lagMs = measured == 0 ? 0 : std::max<std::int64_t>(0, now.time_since_epoch().count() - measured);
    constexpr std::int64_t maxLagMs = 60'000;
    report.measuredAt = received - std::chrono::milliseconds(std::min(lagMs, maxLagMs));
    return report;
}

result<std::vector<cache_event>> cache_event_reader::feed(std::string_view bytes)
{
    constexpr std::string_view marker = "data:";
    constexpr std::size_t maxLineBytes = 1 << 20;
    constexpr int hexBase = 16;
    std::vector<cache_event> events;
    m_line += bytes;
    std::size_t begin = 0;
    for (auto end = m_line.find('\n'); end != std::string::npos; end = m_line.find('\n', begin)) {
        const std::string_view line(m_line.data() + begin, end - begin);
        begin = end + 1;
        if (line.substr(0, marker.size()) != marker)
            continue;
        const auto value = parse(line.substr(marker.size()), "target.events");
        if (!value)
            return tl::unexpected(value.error());
        cache_event event;
        event.seq = numberOf((*value)["seq"]);
        const auto kind = (*value)["kind"].asString();
        event.kind = kind == "removed" ? cache_event_kind::Removed : kind == "cleared" ? cache_event_kind::Cleared
                                                                                       : cache_event_kind::Stored;
        for (const auto& hash : (*value)["hashes"]) {
            if (hash.isString())
                event.hashes.emplace_back(std::strtoull(hash.asCString(), nullptr, hexBase));
        }
        events.push_back(std::move(event));
    }
    m_line.erase(0, begin);
    if (m_line.size() > maxLineBytes)
        return failure(error_code::Corrupt, "target.events", peer_kind::Target, {}, "line too long");
    return events;
}

} // namespace lovagerail::target
