// JSON encoding of usage counts as nested objects: window, origin, account, count.
#include "usage_tally_json.h"

#include "json_text.h"

#include <charconv>

namespace lovagerail {

namespace {

    Json::Value toJson(const usage_counts& counts)
    {
        Json::Value out(Json::objectValue);
        for (const auto& [account, count] : counts)
            out[account.str()] = Json::UInt64(count);
        return out;
    }

    Json::Value toJson(const usage_by_origin& counts)
    {
        Json::Value out(Json::objectValue);
        for (const auto& [origin, accountCounts] : counts)
            out[origin.str()] = toJson(accountCounts);
        return out;
    }

    std::optional<usage_counts> countsFrom(const Json::Value& value)
    {
        if (!value.isObject())
            return std::nullopt;
        usage_counts out;
        for (const auto& name : value.getMemberNames()) {
            if (!value[name].isUInt64())
                return std::nullopt;
            out[client_account_id(name)] = value[name].asUInt64();
        }
        return out;
    }

    std::optional<usage_by_origin> originsFrom(const Json::Value& value)
    {
        if (!value.isObject())
            return std::nullopt;
        usage_by_origin out;
        for (const auto& name : value.getMemberNames()) {
            auto counts = countsFrom(value[name]);
            if (!counts)
                return std::nullopt;
            out[counting_incarnation(name)] = std::move(*counts);
        }
        return out;
    }

    std::optional<std::uint64_t> windowFrom(const std::string& text)
    {
        std::uint64_t out = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), out);
        if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
            return std::nullopt;
        return out;
    }

} // namespace

std::string encodeCounts(const usage_counts& counts) { return writeJson(toJson(counts)); }

std::optional<usage_counts> decodeCounts(std::string_view text)
{
    const auto value = parseJson(text);
    return value ? countsFrom(*value) : std::nullopt;
}

std::string encodeOrigins(const usage_by_origin& counts) { return writeJson(toJson(counts)); }

std::optional<usage_by_origin> decodeOrigins(std::string_view text)
{
    const auto value = parseJson(text);
    return value ? originsFrom(*value) : std::nullopt;
}

std::string encodeCopy(const std::map<std::uint64_t, usage_by_origin>& windows)
{
    Json::Value out(Json::objectValue);
    for (const auto& [window, counts] : windows)
        out[std::to_string(window)] = toJson(counts);
    return writeJson(out);
}

std::optional<std::map<std::uint64_t, usage_by_origin>> decodeCopy(std::string_view text)
{
    const auto value = parseJson(text);
    if (!value || !value->isObject())
        return std::nullopt;
    std::map<std::uint64_t, usage_by_origin> out;
    for (const auto& name : value->getMemberNames()) {
        const auto window = windowFrom(name);
        auto counts = originsFrom((*value)[name]);
        if (!window || !counts)
            return std::nullopt;
        out[*window] = std::move(*counts);
    }
    return out;
}

} // namespace lovagerail
