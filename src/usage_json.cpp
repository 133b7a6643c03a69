// JSON encoding of usage batches and of the copies sent between instances.
#include "usage_json.h"

#include <tuple>

namespace lovagerail {
namespace {

    constexpr std::string_view decodeStep = "usage.decode";

    result<std::uint64_t> readUnsigned(const Json::Value& json)
    {
        if (!json.isUInt64())
            return failure(error_code::InvalidArgument, decodeStep, "expected an unsigned integer");
        return json.asUInt64();
    }

} // namespace

namespace detail {

    Json::Value figuresJson(const usage_figures& figures)
    {
        Json::Value json(Json::arrayValue);
        json.append(Json::UInt64(figures.requests));
        json.append(Json::UInt64(figures.refused));
        json.append(Json::UInt64(figures.prefilled.count()));
        json.append(Json::UInt64(figures.cached.count()));
        json.append(Json::UInt64(figures.generated.count()));
        json.append(Json::UInt64(figures.targetTime.count()));
        return json;
    }

    // The figures are the six elements from json[offset] on.
    result<usage_figures> figuresFromJson(const Json::Value& json, Json::ArrayIndex offset)
    {
        constexpr Json::ArrayIndex fields = 6;
        if (!json.isArray() || json.size() != offset + fields)
            return failure(error_code::InvalidArgument, decodeStep, "usage figures have the wrong number of elements");
        std::array<std::uint64_t, fields> values {};
        for (Json::ArrayIndex i = 0; i < fields; ++i) {
            const auto value = readUnsigned(json[offset + i]);
            if (!value)
                return tl::make_unexpected(value.error());
            values[i] = *value;
        }
        usage_figures figures;
        figures.requests = values[0];
        figures.refused = values[1];
        figures.prefilled = token_count(values[2]);
        figures.cached = token_count(values[3]);
        figures.generated = token_count(values[4]);
        figures.targetTime = std::chrono::milliseconds(values[5]);
        return figures;
    }

    // A row is an array: model, version, pool, heading, then the figures.
    Json::Value rowsJson(const std::map<usage_key, usage_figures>& rows)
    {
        Json::Value json(Json::arrayValue);
        for (const auto& [key, figures] : rows) {
            Json::Value row(Json::arrayValue);
            row.append(key.model.str());
            row.append(Json::UInt64(key.version.value()));
            row.append(key.pool.str());
            row.append(static_cast<unsigned>(key.heading));
            for (const Json::Value& value : figuresJson(figures))
                row.append(value);
            json.append(row);
        }
        return json;
    }

    result<std::map<usage_key, usage_figures>> rowsFromJson(const client_account_id& account, const Json::Value& json)
    {
        constexpr Json::ArrayIndex keyFields = 4;
        std::map<usage_key, usage_figures> rows;
        if (!json.isArray())
            return failure(error_code::InvalidArgument, decodeStep, "usage rows are not an array");
        for (const Json::Value& row : json) {
            const auto figures = figuresFromJson(row, keyFields);
            if (!figures)
                return tl::make_unexpected(figures.error());
            if (!row[0].isString() || !row[1].isUInt64() || !row[2].isString() || !row[3].isUInt())
                return failure(error_code::InvalidArgument, decodeStep, "the key of a usage row is malformed");
            if (row[3].asUInt() > static_cast<unsigned>(usage_heading::Refused))
                return failure(error_code::InvalidArgument, decodeStep, "unknown usage heading");
            usage_key key { account, model_id(row[0].asString()), weight_version(row[1].asUInt64()), pool_id(row[2].asString()), static_cast<usage_heading>(row[3].asUInt()) };
            rows[key] += *figures;
        }
        return rows;
    }

    Json::Value originJson(const usage_origin& origin)
    {
        Json::Value json(Json::arrayValue);
        json.append(origin.instance.str());
        json.append(Json::UInt64(origin.incarnationNumber.value()));
        return json;
    }

    result<usage_origin> originFromJson(const Json::Value& json)
    {
        if (!json.isArray() || json.size() != 2 || !json[0].isString() || !json[1].isUInt64())
            return failure(error_code::InvalidArgument, decodeStep, "malformed usage origin");
        return usage_origin { instance_id(json[0].asString()), incarnation(json[1].asUInt64()) };
    }

} // namespace detail

Json::Value toJson(const usage_batch& batch)
{
    Json::Value json(Json::objectValue);
    json["origin"] = detail::originJson(batch.origin);
    json["first"] = Json::UInt64(batch.first.value());
    json["next"] = Json::UInt64(batch.next.value());
    json["window"] = Json::UInt64(batch.window.value());
    // Step 1. Rows, grouped by account.
    std::map<client_account_id, std::map<usage_key, usage_figures>> byAccount;
    for (const auto& [key, figures] : batch.figures.accounts)
        byAccount[key.account].emplace(key, figures);
    Json::Value accounts(Json::objectValue);
    for (const auto& [account, rows] : byAccount)
        accounts[account.str()] = detail::rowsJson(rows);
    json["accounts"] = accounts;
    // Step 2. Targets; the reported figures are included only if they differ from the counted ones.
    Json::Value targets(Json::objectValue);
    for (const auto& [target, usage] : batch.figures.targets) {
        Json::Value& pair = targets[target.str()];
        pair.append(detail::figuresJson(usage.counted));
        if (usage.reported != usage.counted)
            pair.append(detail::figuresJson(usage.reported));
    }
    json["targets"] = targets;
    return json;
}

result<usage_batch> usageBatchFromJson(const Json::Value& json)
{
    if (!json.isObject() || !json["first"].isUInt64() || !json["next"].isUInt64() || !json["window"].isUInt64())
        return failure(error_code::InvalidArgument, decodeStep, "malformed usage batch");
    if (!json["accounts"].isObject() || !json["targets"].isObject())
        return failure(error_code::InvalidArgument, decodeStep, "usage batch without accounts or targets");
    usage_batch batch;
    const auto origin = detail::originFromJson(json["origin"]);
    if (!origin)
        return tl::make_unexpected(origin.error());
    batch.origin = *origin;
    batch.first = segment_number(json["first"].asUInt64());
    batch.next = segment_number(json["next"].asUInt64());
    batch.window = window_number(json["window"].asUInt64());
    if (batch.next <= batch.first)
        return failure(error_code::InvalidArgument, decodeStep, "empty segment range in a usage batch");
    for (const std::string& name : json["accounts"].getMemberNames()) {
        auto rows = detail::rowsFromJson(client_account_id(name), json["accounts"][name]);
        if (!rows)
            return tl::make_unexpected(rows.error());
        batch.figures.accounts.merge(*rows);
    }
    for (const std::string& name : json["targets"].getMemberNames()) {
        const Json::Value& pair = json["targets"][name];
        if (!pair.isArray() || pair.empty())
            return failure(error_code::InvalidArgument, decodeStep, "malformed target entry in a usage batch");
        const auto counted = detail::figuresFromJson(pair[0], 0);
        const auto reported = pair.size() > 1 ? detail::figuresFromJson(pair[1], 0) : counted;
        if (!counted || !reported)
            return failure(error_code::InvalidArgument, decodeStep, "malformed target figures in a usage batch");
        batch.figures.targets[target_id(name)] = { *counted, *reported };
    }
    return batch;
}

Json::Value toJson(const copy_push& push)
{
    Json::Value json(Json::objectValue);
    json["origin"] = detail::originJson(push.origin);
    json["unsealed_from"] = Json::UInt64(push.unsealedFrom.value());
    json["segments"] = Json::Value(Json::arrayValue);
    for (const usage_batch& segment : push.segments)
        json["segments"].append(toJson(segment));
    return json;
}

result<copy_push> copyPushFromJson(const Json::Value& json)
{
    if (!json.isObject() || !json["unsealed_from"].isUInt64() || !json["segments"].isArray())
        return failure(error_code::InvalidArgument, decodeStep, "malformed usage copy");
    const auto origin = detail::originFromJson(json["origin"]);
    if (!origin)
        return tl::make_unexpected(origin.error());
    copy_push push { *origin, segment_number(json["unsealed_from"].asUInt64()), {} };
    for (const Json::Value& item : json["segments"]) {
        auto segment = usageBatchFromJson(item);
        if (!segment)
            return tl::make_unexpected(segment.error());
        if (segment->next != segment->first.next())
            return failure(error_code::InvalidArgument, decodeStep, "a copied usage segment spans more than one sequence number");
        push.segments.push_back(std::move(*segment));
    }
    return push;
}

} // namespace lovagerail
