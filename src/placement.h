// Where work may run: from selectors over labels to routing classes.
//
// A class is named by the route (or run), the pools that accept the work and the
// model, so that accounts with the same rights share one class.
#pragma once

#include "config.h"
#include "target_table.h"

#include <string>
#include <string_view>

namespace lovagerail {

// What the selectors of pools are matched against.
struct work {
    const client_account* account = nullptr; // null on open routes
    const route* on = nullptr; // null for rollouts
    const run* by = nullptr; // null for live trade
    std::string model; // empty: any
};

struct placement {
    routing_class_id name;
    target_predicate allows;
};

// The class of a piece of work under one configuration. The predicate keeps that
// configuration alive.
placement placeWork(const config_ptr& inForce, const work& item);
} // namespace lovagerail
