// Working state of one decision of the router, for router.cpp and router_candidates.cpp.
#pragma once

#include "router.h"

#include <vector>

namespace lovagerail {

struct router::selection {
    const route_request& request;
    std::vector<prefix_match> matches;
    std::vector<target_slot> excluded; // sorted
    bool ignoreHealth = false;
    bool avoidDomain = false; // leave out targets in request.avoidedDomain
    std::vector<routing_candidate> candidates; // sorted by slot, no slot twice
    std::size_t excludedCount = 0;
    std::size_t barredCheapCount = 0; // cheap targets that this request may not use
    std::vector<target_slot> limited; // targets at the limit that they named; may hold a slot twice
};

} // namespace lovagerail
