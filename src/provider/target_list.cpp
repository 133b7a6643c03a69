// JSON fields of the platform's lists.
#include "provider/target_list.h"

#include "json_text.h"

#include <optional>

namespace lovagerail::provider {

namespace {

    result<Json::Value> parse(std::string_view text, std::string_view step) { return parseJsonObject(text, step, peer_kind::Platform); }

    std::string textOf(const Json::Value& value)
    {
        return value.isString() ? value.asString() : std::string();
    }

    std::optional<target_state> stateOf(const std::string& name)
    {
        if (name == "starting")
            return target_state::Starting;
        if (name == "live")
            return target_state::Live;
        if (name == "leaving")
            return target_state::Leaving;
        return std::nullopt;
    }

    std::optional<platform_target> rowOf(const Json::Value& item)
    {
        if (!item.isObject())
            return std::nullopt;
        platform_target row;
        row.routing.id = target_id(textOf(item["id"]));
        row.routing.address = withScheme(textOf(item["address"]));
        row.routing.pool = pool_id(textOf(item["pool"]));
        row.routing.failureDomain = failure_domain_id(textOf(item["failure_domain"]));
        row.routing.supply = textOf(item["kind"]) == "cheap" ? supply_kind::Cheap : supply_kind::Firm;
        const auto state = stateOf(textOf(item["state"]));
        if (row.routing.id.empty() || row.routing.address.empty() || row.routing.pool.empty() || !state)
            return std::nullopt;
        row.routing.state = *state;
        if (item["incarnation"].isUInt64())
            row.routing.incarnation = incarnation(item["incarnation"].asUInt64());
        if (item["price_micro_per_hour"].isInt64())
            row.pricePerHour = micro_price(item["price_micro_per_hour"].asInt64());
        row.orderId = textOf(item["order_id"]);
        if (item["labels"].isObject()) {
            for (const auto& name : item["labels"].getMemberNames())
                row.routing.labels[name] = textOf(item["labels"][name]);
        }
        return row;
    }

} // namespace

std::string withScheme(const std::string& address)
{
    if (address.empty() || address.find("://") != std::string::npos)
        return address;
    return "http://" + address;
}

result<target_list> decodeTargets(std::string_view body)
{
    const auto parsed = parse(body, "platform.targets");
    if (!parsed)
        return tl::unexpected(parsed.error());
    target_list list;
    for (const auto& item : (*parsed)["targets"]) {
        auto row = rowOf(item);
        if (!row) {
            ++list.malformed;
            continue;
        }
        list.targets.push_back(std::move(*row));
    }
    return list;
}

result<std::vector<listed_instance>> decodeInstances(std::string_view body)
{
    const auto parsed = parse(body, "platform.instances");
    if (!parsed)
        return tl::unexpected(parsed.error());
    std::vector<listed_instance> out;
    for (const auto& item : (*parsed)["instances"]) {
        if (!item.isObject())
            continue;
        listed_instance row;
        row.id = instance_id(textOf(item["id"]));
        row.address = withScheme(textOf(item["address"]));
        row.failureDomain = failure_domain_id(textOf(item["failure_domain"]));
        row.state = textOf(item["state"]) == "leaving" ? instance_state::Leaving : instance_state::Live;
        if (!row.id.empty() && !row.address.empty())
            out.push_back(std::move(row));
    }
    return out;
}

} // namespace lovagerail::provider
