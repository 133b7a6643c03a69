// Starts and stops targets on the platform while this instance holds the lease of the "orders"
// duty, and reports this instance's demand to the holder.
#pragma once

#include "capacity.h"
#include "daemon/control_context.h"
#include "daemon/lease_duty.h"
#include "daemon/operator_duty.h"
#include "daemon/peer_duty.h"
#include "daemon/target_duty.h"
#include "orders.h"
#include "provider/order_thread.h"
#include "usage.h"

namespace lovagerail::daemon {

class status_api;

// Counts of the attempts of one pool on one kind of target, since this instance started.
struct supply_work {
    std::uint64_t attempts = 0;
    std::uint64_t lost = 0; // failed with their target
    std::uint64_t redone = 0; // discarded and retried, or resumed on another target
    token_count generated;
};

class order_duty {
public:
    order_duty(control_context& context, lease_duty& leases, peer_duty& peers, status_api& status, target_duty& targets, wakeup& owner);

    static const duty_id& duty();
    // Whether targets of the pool are started and stopped by this duty.
    static bool isOrdered(const target_pool& pool) { return pool.ceiling > 0 && !pool.failureDomains.empty(); }
    bool isNeeded();

    void addTo(operator_duty& api);
    void count(const attempt_usage& event);
    void tick();

private:
    // A target being drained: it gets no new work and is stopped once it has none.
    struct draining_target {
        pool_id pool;
        incarnation incarnationNumber;
        instant since {};
        std::uint32_t emptyRounds = 0; // consecutive rounds in which all instances reported no work
    };
    struct pool_work {
        double open = 0;
        double perTarget = 0; // mean, weighted by open
    };

    Json::Value ownDemand(const Json::Value& parameters);
    Json::Value ownState() const;
    void requestDemand();
    void onDemand(const std::vector<Json::Value>& answers, std::size_t silent);
    void observe(const std::map<pool_id, pool_work>& work);
    void updateDraining(const std::map<target_id, std::uint32_t>& open, bool allAnswered);
    void plan();
    void plan(const target_pool& pool);
    capacity_view capacityViewOf(const target_pool& pool) const;
    void stopDrainedTargets();
    void execute(const std::vector<order_command>& commands);
    void execute(const read_intents&);
    void execute(const write_intent& write);
    void execute(const remove_intent& remove);
    void execute(const send_order& send);
    void execute(const query_order& query);
    void execute(const resign_order_duty& resign);
    void execute(const log_order_decision& logged);
    void record(subject_kind kind, std::string subject, std::string decision, std::string reason, std::vector<journal_fact> facts);
    void answerOrders(const operator_call& call);
    // Runs a step on the order tracker if the term is still current.
    template <typename Step>
    void ifCurrentTerm(std::uint64_t term, Step step);

    control_context& m_context;
    lease_duty& m_leases;
    status_api& m_status;
    target_duty& m_targets;
    provider::order_thread m_thread;

    config_ptr m_wantedConfig; // configuration for which m_isNeeded was computed
    bool m_isNeeded = false;

    // State while this instance holds the duty.
    std::optional<order_tracker> m_tracker;
    std::uint64_t m_term = 0; // incremented with each gain and loss; late answers of an older term are dropped
    std::map<pool_id, capacity_planner> m_planners;
    std::map<pool_id, capacity_plan> m_plans; // the latest plans, shown to operators
    std::map<pool_id, demand_sample> m_demand;
    std::map<target_id, double> m_openRequests; // open requests by target, summed over all instances
    std::map<target_id, draining_target> m_draining;
    instant m_processedListAt {};
    instant m_nextDemand {};
    instant m_nextPlan {};
    bool m_demandPending = false;
    bool m_demandKnown = false; // in this term
    std::uint64_t m_lastSend = 0;
    struct sent_order {
        order_id id;
        std::uint64_t term = 0;
    };
    std::map<std::uint64_t, sent_order> m_sent;

    std::map<std::pair<pool_id, supply_kind>, supply_work> m_work;
};

} // namespace lovagerail::daemon
