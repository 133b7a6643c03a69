// Sets of regions and the instances in them; see regions.h.
#include "regions.h"

#include <algorithm>
#include <iterator>

namespace lovagerail {

region_list commonRegions(const region_list& first, const region_list& second)
{
    if (!first || !second)
        return first ? first : second;
    std::set<region_id> both;
    std::set_intersection(first->begin(), first->end(), second->begin(), second->end(), std::inserter(both, both.end()));
    return both;
}

std::vector<instance_id> instancesFor(const std::vector<instance_place>& places, const body_regions& where)
{
    std::vector<instance_id> out;
    for (const auto& place : places) {
        if (where.mayHold(place.region))
            out.push_back(place.name);
    }
    return out;
}

std::vector<instance_id> ownersFor(const std::vector<instance_place>& places, const body_regions& where)
{
    auto inAllowed = instancesFor(places, { where.allowed, {} });
    return inAllowed.empty() ? instancesFor(places, where) : inAllowed;
}

} // namespace lovagerail
