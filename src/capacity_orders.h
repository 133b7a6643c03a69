// Turns the capacity plan of a pool into orders to the platform. An order sets the desired
// number of targets of one kind in one failure domain.
//
// Pure state machine without I/O. Orders state an absolute number and not a difference, so
// they are idempotent and can be repeated when their outcome is unknown. Targets that were
// ordered but are not listed yet count as starting. So do targets that crashed, which the
// platform restarts, until they are overdue; otherwise each crash would be ordered again.
#pragma once

#include "capacity.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lovagerail {

struct capacity_order_settings {
    duration startUp = std::chrono::seconds(4); // from order to first answer
    // An ordered target that isn't listed after so many start-up times is given up.
    std::uint32_t overdueFactor = 3;
    // Backoff after the platform had no capacity at a place: shortages in a failure domain
    // last ten seconds and more, and each order is a priced call.
    duration noCapacityBackoff = std::chrono::seconds(3);
    // Delay before an order of unknown outcome is repeated: one planning interval.
    duration repeatDelay = std::chrono::milliseconds(500);
    std::uint32_t minPerDomain = 0; // bounds on the number of targets of both kinds together
    std::uint32_t maxPerDomain = 0;
};

struct place_order {
    capacity_place where;
    std::uint32_t count = 0;
    std::string reason;
};

enum class place_outcome {
    Taken, // the platform accepted the order
    NoCapacity, // no capacity available; nothing was ordered
    AnswerLost, // the order may or may not have taken effect
};

class capacity_orders {
public:
    capacity_orders(capacity_order_settings settings, capacity_settings planning)
        : m_settings(settings)
        , m_planner(planning)
    {
    }

    // Adds a sample of the pool's load. A queue counts only once it has lasted as long as a
    // target takes to start: a shorter one is over before an ordered target could help.
    void observe(demand_sample sample, instant now);
    // Sets the listed targets of the pool. The known failure domains are those in which a
    // target was ever listed.
    void updateTargets(std::vector<capacity_target> targets, instant now);
    // Sets the failure domains where nothing is ordered and whose targets do not count.
    void setExcluded(std::set<failure_domain_id> domains) { m_excluded = std::move(domains); }
    // Returns the orders to send now; each place has at most one unanswered order. The
    // pool's floor, ceiling and failure domains are filled in here.
    std::vector<place_order> plan(target_pool pool, instant now);
    void onOrderResult(const capacity_place& where, place_outcome outcome, instant now);

    // The desired number of targets at a place, as ordered last.
    std::uint32_t wanted(const capacity_place& where) const;

private:
    struct by_place {
        bool operator()(const capacity_place& a, const capacity_place& b) const { return std::tie(a.failureDomain, a.kind) < std::tie(b.failureDomain, b.kind); }
    };
    struct place_state {
        std::uint32_t listed = 0; // number of targets in the last list
        std::uint32_t wanted = 0; // as ordered last
        instant changedAt {}; // when `wanted` last changed or a listed target disappeared
        bool inFlight = false; // an order is unanswered
        std::optional<instant> repeatAt; // set if the last order's outcome is unknown
        instant backedOffUntil {};
    };

    std::uint32_t wantedInDomain(const failure_domain_id& domain) const;
    capacity_view view(instant now) const;
    void addOrder(const capacity_place& where, std::uint32_t count, std::string reason, std::vector<place_order>& out, instant now);

    capacity_order_settings m_settings;
    capacity_planner m_planner;
    std::vector<capacity_target> m_targets;
    std::set<failure_domain_id> m_excluded;
    std::optional<instant> m_lastWithoutQueue; // last time without a queue
    std::map<capacity_place, place_state, by_place> m_places; // where a target was ever listed or ordered
};

} // namespace lovagerail
