// Autoscaling of one target pool: how many targets of which kind to run in which failure
// domain.
//
// Load is the number of requests running at targets or queued. It is forecast over the
// start-up time of a target from its level and trend. The plan keeps headroom for the loss
// of the failure domain with the most targets, and for load that doubles within `doublingTime`.
// Scaling up is immediate. Scaling down needs lower demand for the whole of `idleTime` and
// stops one target at a time, so that noise does not start and stop targets. There are firm
// targets and cheap ones, which the provider may take away; a firm target beyond the number
// that must be firm is replaced by a cheap one where available. Cheap targets carry at most
// the share of work that may run on them, and never so much in one failure domain that its
// loss would leave too few targets.
//
// Baseline policies for comparison: a fixed size, plain utilisation, queue length.
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
    double utilisation = 0.7; // desired share of a target's concurrency, policy Utilisation
    // Desired share of a target's concurrency under the forecast load, growth included;
    // policy Forecast.
    double forecastUtilisation = 0.85;
    // Desired share under the present load if the failure domain with the most targets is
    // lost; policy Forecast.
    double afterLoss = 1.0;
    duration doublingTime = std::chrono::minutes(3); // shortest time in which demand is expected to double
    duration levelTime = std::chrono::seconds(15); // time constant of the smoothed load
    duration trendTime = std::chrono::seconds(90); // time constant of the slower average that gives the trend
    duration idleTime = std::chrono::minutes(10); // demand must be lower for so long before a target is stopped
    double stopMargin = 1.15; // the remaining targets must carry so many times the observed demand
    duration minStopInterval = std::chrono::minutes(1); // at most one stop or replacement in this time
};

// Load of a pool at one time, summed over all instances.
struct demand_sample {
    double open = 0; // requests running at targets
    double queued = 0; // requests waiting for a target
    double perTarget = 1; // requests that one target runs concurrently
    double burn = 0; // highest error-budget burn rate of the accounts in the pool; 1 = on budget
    double cheapShare = 0; // share of the work that may run on cheap targets
};

struct capacity_target {
    target_id id;
    supply_kind kind = supply_kind::Firm;
    failure_domain_id failureDomain;
    target_state state = target_state::Live;
    double open = 0; // requests running at it
    bool stopping = false; // it was already decided to stop this target
};
// Where capacity is ordered: a kind of target in a failure domain.
struct capacity_place {
    supply_kind kind = supply_kind::Firm;
    failure_domain_id failureDomain;
    friend bool operator==(const capacity_place&, const capacity_place&) = default;
};

struct capacity_view {
    std::vector<capacity_target> targets; // without those that are leaving
    std::vector<capacity_place> starting; // one entry for each target ordered but not yet in `targets`
    std::vector<capacity_place> backedOff; // no capacity available there for now
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
    std::uint32_t wanted = 0; // targets of both kinds
    std::uint32_t wantedFirm = 0; // minimum number of firm ones among them
    std::uint32_t wantedAfterLoss = 0; // minimum number outside the failure domain with the most targets
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
    struct target_need {
        std::uint32_t total = 0; // targets of both kinds
        std::uint32_t firm = 0; // minimum number of firm ones among them
        std::uint32_t afterLoss = 0; // minimum number outside the failure domain with the most targets
    };
    // Maximum over a sliding time window, kept as a queue of decreasing values.
    struct sliding_maximum {
        std::deque<std::pair<instant, std::uint32_t>> window; // newest last
        // Adds a value and returns the maximum of the last `span`.
        std::uint32_t add(std::uint32_t value, instant now, duration span);
    };

    target_need computeNeed(const target_pool& pool, double scale) const;
    double forecastLoad(duration startUp) const;
    void planStarts(const target_pool& pool, const capacity_view& view, capacity_plan& out) const;
    void planReplacement(const target_pool& pool, const capacity_view& view, capacity_plan& out, instant now);
    void planStop(const target_pool& pool, const capacity_view& view, capacity_plan& out, instant now);

    capacity_settings m_settings;
    demand_sample m_lastSample;
    bool m_hasSample = false;
    instant m_lastSampleAt {};
    instant m_firstSampleAt {};
    double m_level = 0; // load smoothed over levelTime
    double m_trendLevel = 0; // load smoothed over trendTime
    sliding_maximum m_maxTotal; // maximum need within idleTime
    sliding_maximum m_maxFirm;
    sliding_maximum m_maxAfterLoss;
    instant m_nextStopAt {};
};

} // namespace lovagerail
