// Keys and JSON encoding of the batch records in the store; see batch.h.
#include "batch.h"

#include "json_text.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <limits>

namespace lovagerail {

namespace {

    constexpr std::uint64_t latestTimeMs = 1'000'000'000'000'000; // of a record, so that sums of times stay in range
    constexpr std::uint64_t longestSpanMs = std::uint64_t { 30 } * 24 * 3600 * 1000; // of a route, so that sums of times stay in range

    Json::Value encodeRoute(const batch_route& decided)
    {
        const auto& route = decided.route;
        Json::Value out(Json::objectValue);
        out["id"] = route.id.str();
        out["host"] = route.host;
        out["prefix"] = route.prefix;
        out["services"] = Json::Value(Json::arrayValue);
        for (const auto& weighted : route.services) {
            Json::Value row(Json::objectValue);
            row["service"] = weighted.service.str();
            row["weight"] = weighted.weight;
            out["services"].append(std::move(row));
        }
        out["single_version"] = route.singleVersion;
        out["priority"] = route.priority;
        out["max_attempts"] = route.maxAttempts;
        out["deadline_ms"] = Json::Int64(std::chrono::duration_cast<std::chrono::milliseconds>(route.resultDeadline).count());
        out["item_ttl_ms"] = Json::Int64(std::chrono::duration_cast<std::chrono::milliseconds>(route.itemTtl).count());
        out["tokens_per_event"] = decided.tokensPerEvent;
        if (route.allowedRegions) {
            out["regions"] = Json::Value(Json::arrayValue);
            for (const auto& region : *route.allowedRegions)
                out["regions"].append(region.str());
        }
        return out;
    }

    // Empty if a batch can't be run by it.
    std::optional<batch_route> decodeRoute(const Json::Value& value)
    {
        if (!value.isObject())
            return std::nullopt;
        const auto span = [&value](const char* name) { return std::chrono::milliseconds(static_cast<std::int64_t>(std::min(jsonCount(value, name), longestSpanMs))); };
        batch_route out;
        auto& route = out.route;
        route.kind = route_kind::Batch;
        route.id = route_id(jsonText(value, "id"));
        route.host = jsonText(value, "host");
        route.prefix = jsonText(value, "prefix");
        for (const auto& row : jsonList(value, "services")) {
            if (auto service = jsonText(row, "service"); !service.empty())
                route.services.push_back({ service_id(std::move(service)), static_cast<std::uint32_t>(std::min<std::uint64_t>(jsonCount(row, "weight"), std::numeric_limits<std::uint32_t>::max())) });
        }
        route.singleVersion = jsonFlag(value, "single_version");
        route.priority = value["priority"].isInt() ? value["priority"].asInt() : 0;
        route.maxAttempts = static_cast<std::uint32_t>(std::clamp<std::uint64_t>(jsonCount(value, "max_attempts"), 1, std::numeric_limits<std::uint32_t>::max()));
        route.resultDeadline = span("deadline_ms");
        route.itemTtl = span("item_ttl_ms");
        out.tokensPerEvent = jsonNumber(value, "tokens_per_event", 1);
        if (value.isMember("regions")) {
            route.allowedRegions.emplace();
            for (const auto& region : jsonList(value, "regions")) {
                if (region.isString())
                    route.allowedRegions->emplace(region.asString());
            }
        }
        return route.services.empty() || !std::isfinite(out.tokensPerEvent) || out.tokensPerEvent <= 0 ? std::nullopt : std::optional(std::move(out));
    }

} // namespace

std::string headKey(const batch_id& id) { return std::string(headPrefix) + id.str(); }

std::string submissionKey(const batch_id& id) { return "batch/body/" + id.str(); }

std::string pagesPrefix(const batch_id& id) { return "batch/page/" + id.str() + "/"; }

std::string pageKey(const batch_id& id, std::uint32_t page)
{
    // Fixed width, so that keys sort in the order of the pages.
    char number[12];
    std::snprintf(number, sizeof number, "%06u", page);
    return pagesPrefix(id) + number;
}

std::string textsKey(const batch_id& id) { return pagesPrefix(id) + "texts"; }

bool isPageOrTexts(const batch_id& id, std::string_view key)
{
    const auto prefix = pagesPrefix(id);
    return key.substr(0, prefix.size()) == prefix && key.find('/', prefix.size()) == std::string_view::npos;
}

std::string encodeHead(const batch_head& head)
{
    Json::Value out(Json::objectValue);
    out["owner"] = head.owner.str();
    out["life"] = Json::UInt64(head.ownerIncarnation.value());
    out["host"] = head.host;
    out["path"] = head.path;
    out["account"] = head.account.str();
    out["submitted"] = Json::Int64(head.submitted.time_since_epoch().count());
    out["items"] = head.items;
    out["ended"] = head.ended;
    if (!head.originRegion.empty())
        out["region"] = head.originRegion.str();
    if (head.decided)
        out["route"] = encodeRoute(*head.decided);
    return writeJson(out);
}

std::optional<batch_head> decodeHead(const batch_id& id, std::string_view text)
{
    const auto value = parseJson(text);
    if (!value || !value->isObject())
        return std::nullopt;
    batch_head out;
    out.id = id;
    out.owner = instance_id(jsonText(*value, "owner"));
    out.ownerIncarnation = incarnation(jsonCount(*value, "life"));
    out.host = jsonText(*value, "host");
    out.path = jsonText(*value, "path");
    out.account = client_account_id(jsonText(*value, "account"));
    out.originRegion = region_id(jsonText(*value, "region"));
    out.submitted = wall_time(std::chrono::milliseconds(static_cast<std::int64_t>(std::min(jsonCount(*value, "submitted"), latestTimeMs))));
    out.items = static_cast<std::uint32_t>(jsonCount(*value, "items"));
    out.ended = jsonFlag(*value, "ended");
    out.decided = decodeRoute((*value)["route"]);
    return out;
}

bool isOwnCreation(const kv_entry& entry, const batch_head& ours)
{
    return entry.modRevision == entry.createRevision && entry.value == encodeHead(ours);
}

std::string encodeBatchPage(const std::vector<batch_result>& results)
{
    Json::Value out(Json::arrayValue);
    for (const auto& result : results) {
        Json::Value row(Json::objectValue);
        row["item"] = result.item.str();
        row["completed"] = result.completed;
        row["text"] = result.text;
        row["score"] = result.score;
        row["versions"] = Json::Value(Json::arrayValue);
        for (const auto version : result.versions)
            row["versions"].append(Json::UInt64(version.value()));
        out.append(std::move(row));
    }
    return writeJson(out);
}

std::optional<std::vector<batch_result>> decodeBatchPage(std::string_view text)
{
    const auto value = parseJson(text);
    if (!value || !value->isArray())
        return std::nullopt;
    std::vector<batch_result> out;
    for (const auto& row : *value) {
        batch_result result;
        result.item = item_id(jsonText(row, "item"));
        result.completed = jsonFlag(row, "completed");
        result.text = jsonText(row, "text");
        result.score = jsonText(row, "score");
        for (const auto& version : jsonList(row, "versions"))
            result.versions.emplace_back(version.isUInt64() ? version.asUInt64() : 0);
        out.push_back(std::move(result));
    }
    return out;
}

} // namespace lovagerail
