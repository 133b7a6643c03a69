// The platform's list of targets and of our own instances. Every assumption about
// their wire format is in this part.
#pragma once

#include "error.h"
#include "target_table.h"

#include <string_view>
#include <vector>

namespace lovagerail::provider {

// A row as the platform lists it, with what orders need besides routing.
struct platform_target {
    listed_target routing;
    micro_price pricePerHour;
    std::string orderId; // the order that started it, if any
};

// Rows that don't make sense are left out and counted.
struct target_list {
    std::vector<platform_target> targets;
    std::size_t broken = 0;
};
result<target_list> decodeTargets(std::string_view body);

enum class instance_state {
    Live,
    Leaving,
};
struct listed_instance {
    instance_id id;
    std::string address; // of the instances' listener, with scheme
    failure_domain_id failureDomain;
    instance_state state = instance_state::Live;
};
result<std::vector<listed_instance>> decodeInstances(std::string_view body);

// An address with a scheme, as transfers want it.
std::string withScheme(const std::string& address);

} // namespace lovagerail::provider
