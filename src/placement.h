// Decides on which targets work may run: turns selectors over labels into routing classes.
//
// A routing class is named by the route (or run) and the pools that accept the work and
// its model, so that accounts with the same permissions share one class.
#pragma once

#include "config.h"
#include "target_table.h"

#include <string>
#include <string_view>

namespace lovagerail {

// What the selectors of pools are matched against.
struct work {
    const client_account* account = nullptr; // null on open routes
    const route* requestRoute = nullptr; // null for rollouts
    const run* rolloutRun = nullptr; // null for requests of callers
    std::string model; // empty: any
};

struct placement {
    routing_class_id name;
    target_predicate allows;
};

// The routing class of a piece of work under one configuration. The predicate shares
// ownership of that configuration.
placement placeWork(const config_ptr& inForce, const work& item);
} // namespace lovagerail
