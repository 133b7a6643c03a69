// Allowed regions: where a request may run, and which instances may hold its body.
//
// Routes and accounts may name regions. A request runs only on targets in regions that both
// allow. Apart from the instance that its caller connected to, its body is sent only to
// instances in an allowed region or in the caller's own region, which is that of this instance.
//
// Load pattern: requests whose customers require that data stays in some regions, beside others
// that may run anywhere. Performs no I/O.
#pragma once

#include "types.h"

#include <optional>
#include <set>
#include <vector>

namespace lovagerail {

using region_id = name_id<struct region_tag>;
using region_list = std::optional<std::set<region_id>>; // without a value: all regions

// Regions that both lists allow.
region_list commonRegions(const region_list& first, const region_list& second);
inline bool isAllowed(const region_list& allowed, const region_id& region) { return !allowed || allowed->contains(region); }

// Where the body of a request may be.
struct body_regions {
    region_list allowed;
    region_id origin; // of the caller; empty if not known

    bool mayHold(const region_id& region) const { return isAllowed(allowed, region) || (!origin.empty() && region == origin); }
};

struct instance_place {
    instance_id name;
    region_id region; // empty if not known: instances of older versions don't state it
};

// The instances that may hold the body.
std::vector<instance_id> instancesFor(const std::vector<instance_place>& places, const body_regions& where);
// Those of them among which the owner of a batch is chosen: in an allowed region, so that callers in
// different regions agree on the owner and it is near the targets; if there is none, any of them.
std::vector<instance_id> ownersFor(const std::vector<instance_place>& places, const body_regions& where);

} // namespace lovagerail
