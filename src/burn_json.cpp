// JSON form of the burn counts that instances exchange.
#include "burn.h"

namespace lovagerail {
namespace {

    constexpr std::string_view decodeStep = "burn.decode";

    Json::Value countsJson(const burn_counts& counts)
    {
        Json::Value json(Json::arrayValue);
        json.append(Json::UInt64(counts.good));
        json.append(Json::UInt64(counts.bad));
        return json;
    }

    template <std::size_t Size>
    bool readCounts(const Json::Value& json, std::array<burn_counts, Size>& counts)
    {
        if (!json.isArray() || json.size() != Size)
            return false;
        for (Json::ArrayIndex i = 0; i < Size; ++i) {
            if (!json[i].isArray() || json[i].size() != 2 || !json[i][0].isUInt64() || !json[i][1].isUInt64())
                return false;
            counts[i] = { json[i][0].asUInt64(), json[i][1].asUInt64() };
        }
        return true;
    }

    bool readRow(const Json::Value& json, burn_table& table)
    {
        // Step 1. The key.
        if (!json.isObject() || !json["account"].isString() || !json["pool"].isString() || !json["objective"].isUInt())
            return false;
        if (json["objective"].asUInt() >= burnObjectives)
            return false;
        const burn_key key { { client_account_id(json["account"].asString()), pool_id(json["pool"].asString()) },
            static_cast<burn_objective>(json["objective"].asUInt()) };
        // Step 2. The bound.
        burn_statistics& statistics = table[key];
        if (!json["good_per_million"].isUInt() || !json["within_ns"].isInt64() || !json["versions"].isUInt64())
            return false;
        statistics.bound = { json["good_per_million"].asUInt(), duration(json["within_ns"].asInt64()), json["versions"].asUInt64() };
        // Step 3. The counts.
        if (!json["causes"].isArray() || json["causes"].size() != burnCauses)
            return false;
        for (Json::ArrayIndex i = 0; i < burnCauses; ++i) {
            if (!json["causes"][i].isUInt64())
                return false;
            statistics.causes[i] = json["causes"][i].asUInt64();
        }
        return readCounts(json["windows"], statistics.windows) && readCounts(json["series"], statistics.series);
    }

} // namespace

Json::Value toJson(const burn_table& table)
{
    Json::Value json(Json::arrayValue);
    for (const auto& [key, statistics] : table) {
        Json::Value row(Json::objectValue);
        row["account"] = key.scope.account.str();
        row["pool"] = key.scope.pool.str();
        row["objective"] = static_cast<unsigned>(key.objective);
        row["good_per_million"] = statistics.bound.goodPerMillion;
        row["within_ns"] = Json::Int64(statistics.bound.within.count());
        row["versions"] = Json::UInt64(statistics.bound.versions);
        for (const burn_counts& counts : statistics.windows)
            row["windows"].append(countsJson(counts));
        for (const burn_counts& counts : statistics.series)
            row["series"].append(countsJson(counts));
        for (const std::uint64_t cause : statistics.causes)
            row["causes"].append(Json::UInt64(cause));
        json.append(row);
    }
    return json;
}

result<burn_table> burnTableFromJson(const Json::Value& json)
{
    burn_table table;
    if (!json.isArray())
        return failure(error_code::InvalidArgument, decodeStep, "burn figures are not a list");
    for (const Json::Value& row : json) {
        if (!readRow(row, table))
            return failure(error_code::InvalidArgument, decodeStep, "a row of burn figures is malformed");
    }
    return table;
}

} // namespace lovagerail
