// What is in force on a deployment whose interface is forwarding: routes by host and
// path, the services behind them, client accounts with their keys, and the bounds on
// what a caller may send. Replaced whole by each newer revision.
#pragma once

#include "types.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerail {

using service_id = name_id<struct service_tag>;

enum class route_kind {
    Idempotent, // may run more than once
    AtMostOnce,
    Stream, // events as they come; idempotent only if it can be resumed
    Batch, // many items, submitted at once and run later
};

struct weighted_service {
    service_id service;
    std::uint32_t weight = 1;
};

struct site_route {
    route_id id;
    std::string host; // in lower case
    std::string prefix; // begins and ends with a slash
    route_kind kind = route_kind::AtMostOnce;
    bool resumable = false;
    bool singleVersion = false; // an item's events come from one weight version
    bool open = false; // needs no key
    std::vector<weighted_service> services; // at least one; weights add up to more than 0
    duration timeout {}; // the longest a caller is kept waiting; 0 = its own deadline
    duration latencyTarget {};
    std::int32_t priority = 0; // 0 is the most urgent
    std::uint32_t maxAttempts = 1;
    duration resultsDue {}; // of a batch, from its submission
    duration itemLife {}; // of a batch; an item may be given up so long after the submission

    bool idempotent() const { return kind == route_kind::Idempotent || (kind == route_kind::Stream && resumable); }
};

struct site_service {
    service_id id;
    bool engine = false;
    std::uint32_t slots = 0; // requests that a replica runs at once; 0 = not stated
    double tokensPerEvent = 1; // of its streams, at most
    std::vector<model_id> models;
    // Targets to order, in each failure domain; `mostTargets` 0: not ours to order.
    std::uint32_t leastTargets = 0;
    std::uint32_t mostTargets = 0;
    duration startUp {};
    std::map<failure_domain_id, double> prices; // of a target and second
    double spotPrice = 1; // share of the price
};

struct site_account {
    client_account_id id;
    std::int32_t priority = -1; // goes before the route's; -1 = none
    std::vector<std::string> keys;
};

struct caller_limits {
    std::uint64_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 1 << 20;
    std::chrono::milliseconds idle { 60'000 };
};

struct site_config {
    std::uint64_t version = 0; // grows with each change, unevenly
    std::vector<site_route> routes;
    std::map<service_id, site_service> services;
    bool keyed = false; // requests carry keys, but on open routes
    std::map<client_account_id, site_account> accounts;
    std::map<std::string, client_account_id> accountOfKey; // derived from `accounts`
    caller_limits limits;

    // The route with the longest prefix of that host, or null.
    const site_route* find(std::string_view host, std::string_view path) const;
    const site_service* service(const service_id& id) const;
};

using site_ptr = std::shared_ptr<const site_config>;

} // namespace lovagerail
