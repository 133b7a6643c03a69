// Codec for the platform's lists of targets and of our own instances. All assumptions about
// their wire format are in this file pair.
#pragma once

#include "error.h"
#include "target_table.h"

#include <string_view>
#include <vector>

namespace lovagerail::provider {

// One listed target: the data for routing, and what only orders need.
struct platform_target {
    listed_target routing;
    micro_price pricePerHour;
    std::string orderId; // of the order that started it, if any
};

// Malformed rows are skipped and counted.
struct target_list {
    std::vector<platform_target> targets;
    std::size_t malformed = 0;
};
result<target_list> decodeTargets(std::string_view body);

enum class instance_state {
    Live,
    Leaving,
};
struct listed_instance {
    instance_id id;
    std::string address; // of its listener for other instances, with scheme
    failure_domain_id failureDomain;
    instance_state state = instance_state::Live;
};
result<std::vector<listed_instance>> decodeInstances(std::string_view body);

// Prefixes an address without a scheme by "http://", as HTTP requests need it.
std::string withScheme(const std::string& address);

} // namespace lovagerail::provider
