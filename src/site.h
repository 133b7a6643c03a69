// The current configuration of a deployment that forwards requests (a site): routes by
// host and path, the services behind them, client accounts with their keys, and limits on
// callers' requests. Each newer revision replaces it as a whole.
#pragma once

#include "regions.h"
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
    Idempotent, // requests may run more than once
    AtMostOnce,
    Stream, // forwards events as they arrive; idempotent only if resumable
    Batch, // many items that are submitted together and run later
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
    bool singleVersion = false; // all events of an item must come from one weight version
    bool open = false; // needs no key
    std::vector<weighted_service> services; // at least one; weights add up to more than 0
    duration timeout {}; // maximum time that a caller is kept waiting; 0: only the caller's own deadline applies
    duration latencyTarget {};
    std::int32_t priority = 0; // 0 is the most urgent
    std::uint32_t maxAttempts = 1;
    duration resultDeadline {}; // batches: deadline for the results, from submission
    duration itemTtl {}; // batches: an item may be abandoned this long after submission
    region_list allowedRegions; // requests run only there

    bool idempotent() const { return kind == route_kind::Idempotent || (kind == route_kind::Stream && resumable); }
};

struct site_service {
    service_id id;
    bool engine = false;
    std::uint32_t slots = 0; // requests that a replica runs concurrently; 0: not stated
    double tokensPerEvent = 1; // of its streams, at most
    std::vector<model_id> models;
    // Number of targets to order in each failure domain; if `maxTargets` is 0, the
    // service's targets are not ordered by the instances.
    std::uint32_t minTargets = 0;
    std::uint32_t maxTargets = 0;
    duration startUp {};
    double coldPerSecond = 0; // requests per second that a cold target takes from all instances; 0: no limit
    std::map<failure_domain_id, double> prices; // per target and second
    double spotPrice = 1; // as a fraction of the price
};

struct site_account {
    client_account_id id;
    std::int32_t priority = -1; // overrides the route's priority; -1: not set
    std::vector<std::string> keys;
    region_list allowedRegions; // as for routes; where both have lists, both apply
};

struct caller_limits {
    std::uint64_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 1 << 20;
    std::chrono::milliseconds idle { 60'000 };
};

struct site_config {
    std::uint64_t version = 0; // increases with each change, by one or more
    std::vector<site_route> routes;
    std::map<service_id, site_service> services;
    bool requiresKeys = false; // requests must carry a key, except on open routes
    std::map<client_account_id, site_account> accounts;
    std::map<std::string, client_account_id> accountOfKey; // derived from `accounts`
    caller_limits limits;

    // The host's route with the longest matching path prefix, or null.
    const site_route* find(std::string_view host, std::string_view path) const;
    const site_service* service(const service_id& id) const;
    // The account's priority if it has one, else the route's.
    std::int32_t priorityOf(const site_route& route, const client_account_id& account) const;
    // Whether requests to a service have different priorities: its routes have, or an account has another one than a route.
    bool prioritiesDiffer(const service_id& service) const;
    // Regions that the route (null: none) and the account allow.
    region_list allowedRegions(const site_route* route, const client_account_id& account) const;
    // Whether any route or account names allowed regions.
    bool hasRegionRules() const;
};

using site_ptr = std::shared_ptr<const site_config>;

} // namespace lovagerail
