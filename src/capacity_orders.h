// Turns the plan for a pool into orders as a platform takes them: so many targets of a
// kind in a failure domain, whatever runs there now.
//
// Pure. An order names a whole number, so it may be repeated when its outcome is
// unknown. Targets that were ordered and are not listed yet count as starting, and so
// do those that broke down a moment ago and come back, until they are overdue.
#pragma once

#include "capacity.h"

#include <map>
#include <optional>
#include <vector>

namespace lovagerail {

struct capacity_order_settings {
    duration startUp = std::chrono::seconds(4); // from order to first answer
    // An ordered target that isn't listed after so many times its start-up won't come.
    std::uint32_t overdue = 3;
    // Before a place that had none is asked again: a failure domain's supply is short for
    // ten seconds and more at a time, and each order is a priced call.
    duration noneThere = std::chrono::seconds(3);
    // Before an order of unknown outcome is sent again: one turn of planning.
    duration repeat = std::chrono::milliseconds(500);
    std::uint32_t leastInDomain = 0; // bounds on both kinds together
    std::uint32_t mostInDomain = 0;
};

struct place_order {
    capacity_place where;
    std::uint32_t count = 0;
    std::string reason;
};

enum class place_outcome {
    Taken,
    NoneThere, // nothing was ordered
    Unsure,
};

class capacity_orders {
public:
    capacity_orders(capacity_order_settings settings, capacity_settings planning)
        : m_settings(settings)
        , m_planner(planning)
    {
    }

    // A queue counts once it has lasted as long as a target needs to start: one that is
    // gone sooner would be gone before an ordered target could help.
    void observe(demand_sample sample, instant now);
    // All targets of the pool that are listed. Failure domains are those where one was seen.
    void see(std::vector<capacity_target> targets, instant now);
    // Orders to send now, at most one under way for each place. The pool's floor, ceiling
    // and failure domains are filled in here.
    std::vector<place_order> plan(target_pool pool, instant now);
    void answered(const capacity_place& where, place_outcome outcome, instant now);

    // Targets at a place, those included that are ordered.
    std::uint32_t wanted(const capacity_place& where) const;

private:
    struct by_place {
        bool operator()(const capacity_place& a, const capacity_place& b) const { return std::tie(a.failureDomain, a.kind) < std::tie(b.failureDomain, b.kind); }
    };
    struct place_state {
        std::uint32_t seen = 0;
        std::uint32_t wanted = 0; // stands ordered
        instant changedAt {}; // of `wanted`, or of the last target that went
        bool underWay = false;
        std::optional<instant> repeatAt; // the outcome is unknown
        instant backedOffUntil {};
    };

    std::uint32_t inDomain(const failure_domain_id& domain) const;
    capacity_view view(instant now) const;
    void order(const capacity_place& where, std::uint32_t count, std::string reason, std::vector<place_order>& out, instant now);

    capacity_order_settings m_settings;
    capacity_planner m_planner;
    std::vector<capacity_target> m_targets;
    std::optional<instant> m_noQueueAt; // when no work waited last
    std::map<capacity_place, place_state, by_place> m_places; // with any target, seen or ordered
};

} // namespace lovagerail
