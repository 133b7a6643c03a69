// Matching work against pools and targets against routes.
#include "placement.h"

#include <set>

namespace lovagerail {

namespace {

    void overlay(labels& below, const labels& above)
    {
        for (const auto& [key, value] : above)
            below[key] = value;
    }

    // The pools that take this work.
    std::set<std::string> acceptingPools(const config& inForce, const work& item)
    {
        const auto set = workLabels(item);
        const auto kind = item.on != nullptr ? item.on->kind : pool_kind::Engine;
        std::set<std::string> names;
        for (const auto& pool : inForce.all<target_pool>().sorted()) {
            if (pool->kind != kind || !pool->accepts.matches(set))
                continue;
            if (!item.model.empty() && !pool->model.empty() && pool->model.str() != item.model)
                continue;
            names.insert(pool->meta.name);
        }
        return names;
    }

} // namespace

labels workLabels(const work& item)
{
    labels set;
    if (item.account != nullptr)
        overlay(set, item.account->meta.labels);
    if (item.on != nullptr)
        overlay(set, item.on->meta.labels);
    if (item.by != nullptr)
        overlay(set, item.by->meta.labels);
    return set;
}

labels targetLabels(const config& inForce, const target_record& target)
{
    labels set;
    if (const auto* pool = inForce.findPool(target.listed.pool))
        set = pool->meta.labels;
    overlay(set, target.labels);
    set["pool"] = target.listed.pool.str();
    set["failure_domain"] = target.listed.failureDomain.str();
    set["kind"] = target.listed.supply == supply_kind::Cheap ? "cheap" : "firm";
    return set;
}

placement placeWork(const config_ptr& inForce, const work& item)
{
    static const selector everything;
    const selector& wanted = item.by != nullptr ? item.by->targets : item.on != nullptr ? item.on->targets
                                                                                        : everything;

    const auto pools = acceptingPools(*inForce, item);

    placement out;
    std::string name = item.by != nullptr ? "run/" + item.by->meta.name : "route/" + (item.on != nullptr ? item.on->meta.name : "");
    for (const auto& pool : pools)
        name += "|" + pool;
    out.name = routing_class_id(name);
    out.allows = [inForce, wanted, pools](const target_record& target) {
        return pools.contains(target.listed.pool.str()) && wanted.matches(targetLabels(*inForce, target));
    };
    return out;
}

} // namespace lovagerail
