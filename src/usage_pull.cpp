// Usage pulls: answering on the instance, and the JSON encoding.
#include "usage_pull.h"

#include "json_text.h"
#include "usage_json.h"

#include <memory>

namespace lovagerail {
namespace {

    constexpr std::string_view pullStep = "usage.decode_pull";

    Json::Value positionsJson(const std::vector<usage_position>& positions)
    {
        Json::Value json(Json::arrayValue);
        for (const usage_position& position : positions) {
            Json::Value item = detail::originJson(position.origin);
            item.append(Json::UInt64(position.next.value()));
            json.append(item);
        }
        return json;
    }

    result<std::vector<usage_position>> positionsFromJson(const Json::Value& json)
    {
        std::vector<usage_position> positions;
        if (!json.isArray())
            return failure(error_code::InvalidArgument, pullStep, "usage positions are not an array");
        for (const Json::Value& item : json) {
            if (!item.isArray() || item.size() != 3 || !item[0].isString() || !item[1].isUInt64() || !item[2].isUInt64())
                return failure(error_code::InvalidArgument, pullStep, "malformed usage position");
            positions.push_back({ { instance_id(item[0].asString()), incarnation(item[1].asUInt64()) }, segment_number(item[2].asUInt64()) });
        }
        return positions;
    }

    Json::Value originsJson(const std::vector<usage_origin>& origins)
    {
        Json::Value json(Json::arrayValue);
        for (const usage_origin& origin : origins)
            json.append(detail::originJson(origin));
        return json;
    }

    result<std::vector<usage_origin>> originsFromJson(const Json::Value& json)
    {
        std::vector<usage_origin> origins;
        if (!json.isArray())
            return failure(error_code::InvalidArgument, pullStep, "usage origins are not an array");
        for (const Json::Value& item : json) {
            auto origin = detail::originFromJson(item);
            if (!origin)
                return tl::make_unexpected(origin.error());
            origins.push_back(std::move(*origin));
        }
        return origins;
    }

    result<std::vector<usage_batch>> batchesFromJson(const Json::Value& json)
    {
        std::vector<usage_batch> batches;
        if (!json.isArray())
            return failure(error_code::InvalidArgument, pullStep, "usage batches are not an array");
        for (const Json::Value& item : json) {
            auto batch = usageBatchFromJson(item);
            if (!batch)
                return tl::make_unexpected(batch.error());
            batches.push_back(std::move(*batch));
        }
        return batches;
    }

    segment_number positionOf(const std::vector<usage_position>& positions, const usage_origin& origin)
    {
        for (const usage_position& position : positions) {
            if (position.origin == origin)
                return position.next;
        }
        return segment_number();
    }

} // namespace

Json::Value toJson(const pull_usage& pull)
{
    Json::Value json(Json::objectValue);
    json["instance"] = pull.instance.str();
    json["window"] = Json::UInt64(pull.window.value());
    json["positions"] = positionsJson(pull.positions);
    json["copies"] = originsJson(pull.copies);
    return json;
}

result<pull_usage> pullUsageFromJson(const Json::Value& json)
{
    if (!json.isObject() || !json["instance"].isString() || !json["window"].isUInt64())
        return failure(error_code::InvalidArgument, pullStep, "malformed usage pull request");
    auto positions = positionsFromJson(json["positions"]);
    if (!positions)
        return tl::make_unexpected(positions.error());
    auto copies = originsFromJson(json["copies"]);
    if (!copies)
        return tl::make_unexpected(copies.error());
    return pull_usage { instance_id(json["instance"].asString()), window_number(json["window"].asUInt64()), std::move(*positions), std::move(*copies) };
}

Json::Value toJson(const pull_answer& answer)
{
    Json::Value json(Json::objectValue);
    json["from"] = detail::originJson(answer.from);
    if (answer.closedThrough)
        json["closed_through"] = Json::UInt64(answer.closedThrough->value());
    json["batches"] = Json::Value(Json::arrayValue);
    for (const usage_batch& batch : answer.batches)
        json["batches"].append(toJson(batch));
    json["held"] = positionsJson(answer.held);
    json["copies"] = originsJson(answer.copies);
    return json;
}

result<pull_answer> pullAnswerFromJson(const Json::Value& json)
{
    if (!json.isObject())
        return failure(error_code::InvalidArgument, pullStep, "malformed usage pull answer");
    pull_answer answer;
    auto from = detail::originFromJson(json["from"]);
    if (!from)
        return tl::make_unexpected(from.error());
    answer.from = std::move(*from);
    if (json["closed_through"].isUInt64())
        answer.closedThrough = window_number(json["closed_through"].asUInt64());
    auto batches = batchesFromJson(json["batches"]);
    if (!batches)
        return tl::make_unexpected(batches.error());
    answer.batches = std::move(*batches);
    auto held = positionsFromJson(json["held"]);
    if (!held)
        return tl::make_unexpected(held.error());
    answer.held = std::move(*held);
    auto copies = originsFromJson(json["copies"]);
    if (!copies)
        return tl::make_unexpected(copies.error());
    answer.copies = std::move(*copies);
    return answer;
}

pull_answer answerPull(const pull_usage& pull, usage_counter& counter, usage_copies& copies, wall_time now)
{
    // Step 1. Drop segments that are sealed or expired.
    copies.expire(now);
    for (const usage_position& sealed : pull.positions) {
        if (sealed.origin == counter.origin())
            counter.dropBelow(sealed.next);
        else
            copies.dropBelow(sealed);
    }
    // Step 2. Own segments, then the requested copies.
    pull_answer answer { counter.origin(), counter.closedThrough(now), {}, copies.held(), pull.copies };
    answer.batches = counter.batches(positionOf(pull.positions, counter.origin()), pull.window);
    for (const usage_origin& origin : pull.copies) {
        for (usage_batch& batch : copies.batches(origin, positionOf(pull.positions, origin), pull.window))
            answer.batches.push_back(std::move(batch));
    }
    return answer;
}

std::string countersKey(const usage_origin& origin)
{
    return std::string(countersPrefix) + origin.instance.str() + "/" + std::to_string(origin.incarnationNumber.value());
}

std::string countersValue(const segment_log& log)
{
    Json::Value json(Json::arrayValue);
    for (const auto& [number, segment] : log.segments())
        json.append(toJson(segment));
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, json);
}

result<std::vector<usage_batch>> countersFromValue(std::string_view value)
{
    const auto json = parseJson(value);
    if (!json)
        return failure(error_code::Corrupt, pullStep, peer_kind::KeyValueService, {}, "stored usage counters are not valid JSON");
    return batchesFromJson(*json);
}

} // namespace lovagerail
