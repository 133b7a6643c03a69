// Matches work against pools, and targets against routes; see placement.h.
#include "placement.h"

#include <set>

namespace lovagerail {

namespace {

    // The pools whose kind, model and `accepts` selector match this work.
    std::set<std::string> acceptingPools(const config& inForce, const work& item)
    {
        const auto set = workLabels(item.account, item.requestRoute, item.rolloutRun);
        const auto kind = item.requestRoute != nullptr ? item.requestRoute->kind : pool_kind::Engine;
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

placement placeWork(const config_ptr& inForce, const work& item)
{
    static const selector everything;
    const selector& targetSelector = item.rolloutRun != nullptr ? item.rolloutRun->targets : item.requestRoute != nullptr ? item.requestRoute->targets
                                                                                                                          : everything;

    const auto pools = acceptingPools(*inForce, item);

    placement out;
    std::string name = item.rolloutRun != nullptr ? "run/" + item.rolloutRun->meta.name : "route/" + (item.requestRoute != nullptr ? item.requestRoute->meta.name : "");
    for (const auto& pool : pools)
        name += "|" + pool;
    out.name = routing_class_id(name);
    out.allows = [inForce, targetSelector, pools](const target_record& target) {
        const auto* pool = inForce->findPool(target.listed.pool);
        return pool != nullptr && pools.contains(pool->meta.name) && targetSelector.matches(targetLabels(*pool, target.listed.failureDomain, target.labels));
    };
    return out;
}

} // namespace lovagerail
