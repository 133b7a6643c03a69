// How many targets of which kind run in which failure domain, for one pool.
//
// Work is counted in requests open at targets or queued. What comes is reckoned
// from its level and trend over the start-up time; there is room for the loss of
// the fullest failure domain and for demand that doubles within `doubling`. More is
// started at once; fewer run only after demand was lower for the whole of
// `idleTime`, and one at a time. A firm target that isn't needed as such is
// replaced by a cheap one where that is to be had. Cheap targets carry at most the share of work that
// may run there, and never what the loss of one failure domain would take.
//
// Baselines for comparison: a fixed size, plain target utilisation, queue length.
//
// Costs: one plan is O(t log t) for t targets of the pool.
#pragma once

#include "objects.h"
#include "target_table.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace lovagerail {

enum class capacity_policy {
    Forecast,
    Fixed,
    Utilisation,
    QueueLength,
};
std::string_view toString(capacity_policy policy);

struct capacity_settings {
    capacity_policy policy = capacity_policy::Forecast;
    std::uint32_t fixedSize = 0; // of the policy Fixed; 0 = the ceiling
    double utilisation = 0.7; // of a target's concurrent work, aimed at by the policy Utilisation
    double forecastUtilisation = 0.85; // the same for work that is foretold, growth included
    double afterLoss = 1.0; // the same, with the fullest failure domain lost
    duration doubling = std::chrono::minutes(3); // demand can double in so long
    duration levelTime = std::chrono::seconds(15); // over which demand is smoothed
    duration trendTime = std::chrono::seconds(90); // over which its trend is taken
    duration idleTime = std::chrono::minutes(10); // demand was lower for so long before a target is stopped
    double stopMargin = 1.15; // the rest would bear so many times the demand seen
    duration stopEvery = std::chrono::minutes(1); // at most one stop in this time
};

// What was seen of a pool, over all instances, at one time.
struct demand_sample {
    double open = 0; // requests at targets
    double queued = 0; // requests that wait for a target
    double perTarget = 1; // requests that one target does at a time
    double burn = 0; // worst budget burn of accounts in the pool; 1 = on budget
    double cheapShare = 0; // of the work: may run on cheap targets
};

struct capacity_target {
    target_id id;
    supply_kind kind = supply_kind::Firm;
    failure_domain_id failureDomain;
    target_state state = target_state::Live;
    double open = 0; // work at it
    bool stopping = false; // a stop was decided already
};
struct capacity_place {
    supply_kind kind = supply_kind::Firm;
    failure_domain_id failureDomain;
    friend bool operator==(const capacity_place&, const capacity_place&) = default;
};

struct capacity_view {
    std::vector<capacity_target> targets; // those that leave are left out
    std::vector<capacity_place> starting; // ordered, not yet in `targets`
    std::vector<capacity_place> backedOff; // nothing is to be had there for now
};

struct start_target {
    capacity_place where;
    std::string reason;
};
struct stop_target {
    target_id target;
    std::string reason;
};
struct capacity_plan {
    std::uint32_t wanted = 0; // targets in all
    std::uint32_t wantedFirm = 0; // of these at least
    std::uint32_t wantedAfterLoss = 0; // beside those of the fullest failure domain
    std::vector<start_target> starts;
    std::optional<stop_target> stop;
};

class capacity_planner {
public:
    explicit capacity_planner(capacity_settings settings = {})
        : m_settings(settings)
    {
    }

    void observe(const demand_sample& sample, instant now);
    capacity_plan plan(const target_pool& pool, const capacity_view& view, instant now);

private:
    struct need {
        std::uint32_t up = 0; // start until so many run
        std::uint32_t firm = 0; // of these firm
        std::uint32_t afterLoss = 0; // beside those of the fullest failure domain
    };
    // The most within a time, kept as a queue of falling values.
    struct recent_most {
        std::deque<std::pair<instant, std::uint32_t>> past; // newest last
        std::uint32_t add(std::uint32_t value, instant now, duration span);
    };

    need reckon(const target_pool& pool, double scale) const;
    double expected(duration startUp) const;
    void planStarts(const target_pool& pool, const capacity_view& view, capacity_plan& out) const;
    void planSwap(const target_pool& pool, const capacity_view& view, capacity_plan& out, instant now);
    void planStop(const target_pool& pool, const capacity_view& view, capacity_plan& out, instant now);

    capacity_settings m_settings;
    demand_sample m_last;
    bool m_seen = false;
    instant m_seenAt {};
    instant m_firstAt {};
    double m_level = 0; // smoothed work
    double m_slow = 0; // smoothed over the trend's time
    recent_most m_need; // of targets, within idleTime
    recent_most m_firmNeed;
    recent_most m_lossNeed;
    instant m_nextStop {};
};

} // namespace lovagerail
