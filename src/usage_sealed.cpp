// Sealed usage windows: sums, JSON encoding and reports.
#include "usage_sealed.h"

#include "json_text.h"
#include "usage_json.h"

#include <iterator>
#include <memory>
#include <openssl/sha.h>

namespace lovagerail {
namespace {

    constexpr std::string_view sealedStep = "usage.decode_sealed";

    std::string compactJson(const Json::Value& json)
    {
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "";
        return Json::writeString(builder, json);
    }

    bool sameAmounts(const usage_figures& left, const usage_figures& right)
    {
        return left.prefilled == right.prefilled && left.cached == right.cached
            && left.generated == right.generated && left.targetTime == right.targetTime;
    }

    void recordDifference(sealed_window& sealed, usage_difference difference)
    {
        ++sealed.differenceCount;
        if (sealed.differences.size() < maxStoredDifferences)
            sealed.differences.push_back(std::move(difference));
    }

    std::string hexDigest(std::string_view text)
    {
        std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
        SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
        constexpr std::string_view digits = "0123456789abcdef";
        std::string hex;
        for (const unsigned char byte : digest) {
            hex += digits[byte >> 4u];
            hex += digits[byte & 15u];
        }
        return hex;
    }

    // Rows in the format of the platform, with named fields.
    Json::Value namedRows(const std::map<usage_key, usage_figures>& rows)
    {
        Json::Value json(Json::arrayValue);
        for (const auto& [key, figures] : rows) {
            Json::Value row(Json::objectValue);
            row["model"] = key.model.str();
            row["version"] = Json::UInt64(key.version.value());
            row["pool"] = key.pool.str();
            row["heading"] = std::string(toString(key.heading));
            row["charged"] = isCharged(key.heading);
            row["requests"] = Json::UInt64(figures.requests);
            row["refused"] = Json::UInt64(figures.refused);
            row["prefilled_tokens"] = Json::UInt64(figures.prefilled.count());
            row["cached_tokens"] = Json::UInt64(figures.cached.count());
            row["generated_tokens"] = Json::UInt64(figures.generated.count());
            row["target_ms"] = Json::UInt64(figures.targetTime.count());
            json.append(row);
        }
        return json;
    }

    Json::Value accountJson(const account_usage& usage)
    {
        Json::Value json(Json::objectValue);
        json["rows"] = detail::rowsJson(usage.figures);
        Json::Value lateUsage(Json::objectValue);
        for (const auto& [window, rows] : usage.late)
            lateUsage[std::to_string(window.value())] = detail::rowsJson(rows);
        if (!lateUsage.empty())
            json["late"] = lateUsage;
        return json;
    }

    result<account_usage> accountFromJson(const client_account_id& account, const Json::Value& json)
    {
        if (!json.isObject())
            return failure(error_code::Corrupt, sealedStep, "malformed account in a sealed usage window");
        account_usage usage;
        auto rows = detail::rowsFromJson(account, json["rows"]);
        if (!rows)
            return tl::make_unexpected(rows.error());
        usage.figures = std::move(*rows);
        if (!json.isMember("late"))
            return usage;
        if (!json["late"].isObject())
            return failure(error_code::Corrupt, sealedStep, "malformed late usage in a sealed usage window");
        for (const std::string& name : json["late"].getMemberNames()) {
            if (name.empty() || name.size() > 18 || name.find_first_not_of("0123456789") != std::string::npos)
                return failure(error_code::Corrupt, sealedStep, "malformed window number of late usage");
            auto lateRows = detail::rowsFromJson(account, json["late"][name]);
            if (!lateRows)
                return tl::make_unexpected(lateRows.error());
            usage.late[window_number(std::stoull(name))] = std::move(*lateRows);
        }
        return usage;
    }

    Json::Value differenceJson(const usage_difference& difference)
    {
        Json::Value json(Json::arrayValue);
        json.append(difference.target.str());
        json.append(detail::figuresJson(difference.counted));
        json.append(detail::figuresJson(difference.reported));
        return json;
    }

    result<void> readIncluded(sealed_window& sealed, const Json::Value& json)
    {
        for (const Json::Value& item : json) {
            if (!item.isArray() || item.size() != 3 || !item[1].isUInt64() || !item[2].isUInt64())
                return failure(error_code::Corrupt, sealedStep, "malformed origin position in a sealed usage window");
            const auto origin = detail::originFromJson(item[0]);
            if (!origin)
                return tl::make_unexpected(origin.error());
            sealed.included[*origin] = { segment_number(item[1].asUInt64()), window_number(item[2].asUInt64()) };
        }
        return {};
    }

    result<void> readDifferences(sealed_window& sealed, const Json::Value& json)
    {
        for (const Json::Value& item : json) {
            if (!item.isArray() || item.size() != 3 || !item[0].isString())
                return failure(error_code::Corrupt, sealedStep, "malformed difference in a sealed usage window");
            const auto counted = detail::figuresFromJson(item[1], 0);
            const auto reported = detail::figuresFromJson(item[2], 0);
            if (!counted || !reported)
                return failure(error_code::Corrupt, sealedStep, "malformed figures of a difference in a sealed usage window");
            sealed.differences.push_back({ target_id(item[0].asString()), *counted, *reported });
        }
        return {};
    }

    bool hasSealedFields(const Json::Value& json)
    {
        return json.isObject() && json["window"].isUInt64() && json["difference_count"].isUInt64()
            && json["accounts"].isObject() && json["included"].isArray()
            && json["differences"].isArray() && json["missing"].isArray();
    }

} // namespace

void addBatch(sealed_window& sealed, const usage_batch& batch)
{
    for (const auto& [key, figures] : batch.figures.accounts) {
        account_usage& usage = sealed.accounts[key.account];
        auto& rows = batch.window == sealed.window ? usage.figures : usage.late[batch.window];
        rows[key] += figures;
        sealed.total += figures;
    }
}

void compareSums(sealed_window& sealed, const std::map<target_id, target_usage>& targets)
{
    // Step 1. The sum over accounts against the sum over targets, both counted here.
    usage_figures overTargets;
    for (const auto& [target, usage] : targets)
        overTargets += usage.counted;
    if (!sameAmounts(sealed.total, overTargets))
        recordDifference(sealed, { target_id(), sealed.total, overTargets });
    // Step 2. The report of each target against the counts here.
    for (const auto& [target, usage] : targets) {
        if (!sameAmounts(usage.counted, usage.reported))
            recordDifference(sealed, { target, usage.counted, usage.reported });
    }
}

std::string encodeSealed(const sealed_window& sealed)
{
    Json::Value json(Json::objectValue);
    json["window"] = Json::UInt64(sealed.window.value());
    Json::Value accounts(Json::objectValue);
    for (const auto& [account, usage] : sealed.accounts)
        accounts[account.str()] = accountJson(usage);
    json["accounts"] = accounts;
    json["included"] = Json::Value(Json::arrayValue);
    for (const auto& [origin, position] : sealed.included) {
        Json::Value item(Json::arrayValue);
        item.append(detail::originJson(origin));
        item.append(Json::UInt64(position.next.value()));
        item.append(Json::UInt64(position.lastSeen.value()));
        json["included"].append(item);
    }
    json["total"] = detail::figuresJson(sealed.total);
    json["difference_count"] = Json::UInt64(sealed.differenceCount);
    json["differences"] = Json::Value(Json::arrayValue);
    for (const usage_difference& difference : sealed.differences)
        json["differences"].append(differenceJson(difference));
    json["missing"] = Json::Value(Json::arrayValue);
    for (const instance_id& instance : sealed.missing)
        json["missing"].append(instance.str());
    return compactJson(json);
}

result<sealed_window> decodeSealed(std::string_view text)
{
    // Step 1. Types of the top-level fields.
    const auto parsed = parseJson(text);
    if (!parsed || !hasSealedFields(*parsed))
        return failure(error_code::Corrupt, sealedStep, "malformed sealed usage window");
    const auto& json = *parsed;
    // Step 2. Accounts.
    sealed_window sealed;
    sealed.window = window_number(json["window"].asUInt64());
    sealed.differenceCount = json["difference_count"].asUInt64();
    for (const std::string& name : json["accounts"].getMemberNames()) {
        const client_account_id account(name);
        auto usage = accountFromJson(account, json["accounts"][name]);
        if (!usage)
            return tl::make_unexpected(usage.error());
        sealed.accounts.emplace(account, std::move(*usage));
    }
    // Step 3. Included origins, differences, and missing instances.
    const auto total = detail::figuresFromJson(json["total"], 0);
    if (!total)
        return tl::make_unexpected(total.error());
    sealed.total = *total;
    if (const auto read = readIncluded(sealed, json["included"]); !read)
        return tl::make_unexpected(read.error());
    if (const auto read = readDifferences(sealed, json["differences"]); !read)
        return tl::make_unexpected(read.error());
    for (const Json::Value& item : json["missing"]) {
        if (!item.isString())
            return failure(error_code::Corrupt, sealedStep, "malformed missing instance in a sealed usage window");
        sealed.missing.emplace_back(item.asString());
    }
    return sealed;
}

std::vector<report_usage> reportsOf(const sealed_window& sealed, fencing_number fencing)
{
    std::vector<report_usage> reports;
    for (const auto& [account, usage] : sealed.accounts) {
        report_usage report { account, sealed.window, fencing, {}, Json::Value(Json::objectValue), Json::Value(Json::objectValue) };
        report.figures["rows"] = namedRows(usage.figures);
        for (const auto& [window, rows] : usage.late)
            report.late[std::to_string(window.value())] = namedRows(rows);
        Json::Value signedPart(Json::arrayValue);
        signedPart.append(account.str());
        signedPart.append(Json::UInt64(sealed.window.value()));
        signedPart.append(report.figures);
        signedPart.append(report.late);
        report.digest = hexDigest(compactJson(signedPart));
        reports.push_back(std::move(report));
    }
    return reports;
}

} // namespace lovagerail
