// Orders replicas to load the weight versions that trainers announce, and answers requests
// to empty a machine. Runs only on the instance that holds the lease of targetsDuty.
#pragma once

#include "edge/demand_reports.h"
#include "edge/members.h"
#include "edge/platform_view.h"
#include "weight_sets.h"

#include <map>
#include <optional>

namespace lovagerail::edge {

class departures;
class target_limits;
class target_link;

class weight_duty {
public:
    weight_duty(context& shared, target_link& link, members& membership, const platform_view& platformView, const demand_reports& demand, departures& leavingTargets, target_limits& limits);

    void tick();

private:
    void recordDemand(const model_demand& demand);
    void readAnnouncements();
    void applyEntry(const kv_entry& entry);
    void reportMachineEmpty(const kv_entry& entry);
    void updateWeightSets();
    void orderLoad(const service_id& service, const weight_load& load);
    void checkReplica(const service_id& service, const target_id& target);
    void fetchOrderCount(const service_id& service, const weight_load& load);
    void sendOrder(const service_id& service, const weight_load& load, std::uint64_t ordersTaken);
    void observeAnswer(const target_id& target, incarnation incarnationNumber, const http::answer& answer);
    void recordOutcome(const service_id& service, const weight_load& load, load_outcome outcome, fencing_number term);

    context& m_context;
    target_link& m_link;
    members& m_members;
    const platform_view& m_platformView;
    const demand_reports& m_demand;
    departures& m_departures;
    target_limits& m_limits;
    std::optional<fencing_number> m_term; // fencing number under which m_weightSets and m_orderCounts were built
    std::uint64_t m_watch = 0; // 0 = none
    bool m_reading = false;
    instant m_readAt {};
    instant m_nextPlan {};
    std::map<model_id, weight_version> m_announced;
    // By how many versions the newest batch of a model lags behind the announced one.
    struct known_lag {
        weight_version minVersion;
        std::uint64_t lag = 0;
    };
    std::map<model_id, known_lag> m_lags;
    std::map<model_id, double> m_batchWork; // tokens per batch, smoothed over batches
    std::map<service_id, weight_sets> m_weightSets; // one per service with models
    std::map<target_id, platform::target_entry> m_targetEntries; // from the last list
    // The number of orders that a target has accepted since its start, if known. Each order
    // states it, and the target refuses an order with another number. So an order that
    // arrives late, after another one, is refused.
    struct order_count {
        incarnation incarnationNumber;
        std::uint64_t ordersTaken = 0;
    };
    std::map<target_id, order_count> m_orderCounts;
};

} // namespace lovagerail::edge
