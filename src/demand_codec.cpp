// See demand_codec.h.
#include "demand_codec.h"

#include "json_text.h"

#include <algorithm>

namespace lovagerail {

namespace {

    std::int64_t milliseconds(duration time) { return std::chrono::duration_cast<std::chrono::milliseconds>(time).count(); }

} // namespace

Json::Value encodeDemand(const model_demand_report& report)
{
    Json::Value out(Json::objectValue);
    out["from"] = report.from.str();
    out["models"] = Json::Value(Json::arrayValue);
    for (const auto& demand : report.models) {
        Json::Value row(Json::objectValue);
        row["service"] = demand.service.str();
        row["model"] = demand.model.str();
        row["least"] = Json::UInt64(demand.minVersion.value());
        row["running"] = Json::UInt64(demand.running);
        row["queued"] = Json::UInt64(demand.queued);
        row["work"] = Json::UInt64(demand.work);
        row["priority"] = demand.priority;
        row["waiting"] = Json::UInt64(demand.waiting);
        row["urgent"] = Json::UInt64(demand.urgent);
        if (demand.timeLeft) {
            row["left_ms"] = Json::Int64(milliseconds(*demand.timeLeft));
            row["slot_ms"] = Json::Int64(milliseconds(demand.slotTime));
            row["groups"] = demand.groups;
        }
        out["models"].append(std::move(row));
    }
    return out;
}

std::optional<model_demand_report> decodeDemand(const Json::Value& value)
{
    if (!value.isObject() || jsonText(value, "from").empty())
        return std::nullopt;
    // Bounds what a malformed report can claim.
    constexpr std::uint64_t maxItems = 1'000'000;
    constexpr std::int32_t maxPriority = 1000;
    constexpr double maxMs = 1e9;
    model_demand_report out { instance_id(jsonText(value, "from")), {} };
    for (const auto& row : jsonList(value, "models")) {
        if (!row.isObject())
            continue;
        model_demand demand;
        demand.service = service_id(jsonText(row, "service"));
        demand.model = model_id(jsonText(row, "model"));
        demand.minVersion = weight_version(jsonCount(row, "least"));
        demand.running = jsonCount(row, "running");
        demand.queued = jsonCount(row, "queued");
        demand.work = jsonCount(row, "work");
        demand.knowsShares = row.isMember("waiting");
        demand.waiting = std::min(jsonCount(row, "waiting", demand.queued), maxItems);
        demand.urgent = std::min(jsonCount(row, "urgent", demand.running + demand.queued), maxItems);
        demand.priority = std::clamp(static_cast<std::int32_t>(std::min<std::uint64_t>(jsonCount(row, "priority"), maxPriority)), 0, maxPriority);
        if (row.isMember("left_ms")) {
            const auto time = [&](const char* name, double least) { return duration(std::chrono::milliseconds(static_cast<std::int64_t>(std::clamp(jsonNumber(row, name), least, maxMs)))); };
            demand.timeLeft = time("left_ms", -maxMs);
            demand.slotTime = time("slot_ms", 0);
            demand.groups = static_cast<std::uint32_t>(std::min(jsonCount(row, "groups"), maxItems));
        }
        out.models.push_back(std::move(demand));
    }
    return out;
}

Json::Value encodeShares(const granted_shares& granted)
{
    Json::Value out(Json::objectValue);
    out["valid_ms"] = Json::Int64(milliseconds(granted.validity));
    out["shares"] = Json::Value(Json::arrayValue);
    for (const auto& [key, slots] : granted.shares) {
        Json::Value row(Json::objectValue);
        row["service"] = key.first.str();
        row["model"] = key.second.str();
        row["slots"] = Json::UInt64(slots.slots);
        row["fair"] = Json::UInt64(slots.fair);
        out["shares"].append(std::move(row));
    }
    return out;
}

granted_shares decodeShares(const Json::Value& value)
{
    granted_shares out;
    if (!value.isObject())
        return out;
    const auto validity = std::min<std::uint64_t>(jsonCount(value, "valid_ms"), static_cast<std::uint64_t>(milliseconds(demandLifetime)));
    out.validity = std::chrono::milliseconds(validity);
    for (const auto& row : jsonList(value, "shares")) {
        const bool complete = row.isObject() && row.isMember("slots") && row["slots"].isUInt64();
        if (complete && !jsonText(row, "service").empty() && !jsonText(row, "model").empty())
            out.shares[{ service_id(jsonText(row, "service")), model_id(jsonText(row, "model")) }] = { jsonCount(row, "slots"), jsonCount(row, "fair") };
    }
    return out;
}

slot_claim claimOf(const instance_id& owner, const model_demand& demand, duration age)
{
    slot_claim out;
    out.owner = owner;
    out.model = demand.model;
    out.limitable = demand.knowsShares;
    out.priority = demand.priority;
    out.running = demand.running;
    out.waiting = demand.waiting;
    out.urgent = std::min(demand.urgent, out.demand());
    if (demand.timeLeft) {
        out.due = *demand.timeLeft - age;
        out.work = std::chrono::duration<double>(demand.slotTime).count();
        out.groups = demand.groups;
    }
    return out;
}

} // namespace lovagerail
