// Orders and empties targets while this instance holds that duty, and tells its
// holder what work this instance has.
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

// Work of one pool by the kind of target that ran it, since this instance started.
struct supply_work {
    std::uint64_t attempts = 0;
    std::uint64_t lost = 0; // ended with their target
    std::uint64_t redone = 0; // thrown away and run again, or gone on with elsewhere
    token_count generated;
};

class order_duty {
public:
    order_duty(control_context& context, lease_duty& leases, peer_duty& peers, status_api& status, target_duty& targets, wakeup& owner);

    static const duty_id& duty();
    // Whether targets of the pool are ordered at all.
    static bool isOrdered(const target_pool& pool) { return pool.ceiling > 0 && !pool.failureDomains.empty(); }
    bool isWanted();

    void addTo(operator_duty& api);
    void count(const attempt_usage& event);
    void tick();

private:
    // A target that gets no new work and is stopped once it has none.
    struct emptying {
        pool_id pool;
        incarnation life;
        instant since {};
        std::uint32_t emptyRounds = 0; // in a row, in which all instances said so
    };
    struct pool_work {
        double open = 0;
        double perTarget = 0; // mean, weighted by open
    };

    Json::Value ownDemand(const Json::Value& asked);
    Json::Value ownView() const;
    void askDemand();
    void onDemand(const std::vector<Json::Value>& answers, std::size_t silent);
    void observe(const std::map<pool_id, pool_work>& work);
    void followEmptying(const std::map<target_id, std::uint32_t>& open, bool everybody);
    void plan();
    void plan(const target_pool& pool);
    capacity_view viewOf(const target_pool& pool) const;
    void stopEmpty();
    void act(const std::vector<order_act>& acts);
    void act(const read_intents&);
    void act(const write_intent& write);
    void act(const remove_intent& remove);
    void act(const send_order& send);
    void act(const ask_about_order& ask);
    void act(const resign_orders& resign);
    void act(const order_note& note);
    void record(subject_kind kind, std::string subject, std::string decision, std::string reason, std::vector<journal_fact> facts);
    void answerOrders(const operator_call& call);
    // Takes a step of the book of this term, if it is still ours.
    template <typename Step>
    void inTerm(std::uint64_t term, Step step);

    control_context& m_context;
    lease_duty& m_leases;
    status_api& m_status;
    target_duty& m_targets;
    provider::order_thread m_thread;

    config_ptr m_wantedUnder; // configuration that m_wanted is of
    bool m_wanted = false;

    // While the duty is ours.
    std::optional<order_book> m_book;
    std::uint64_t m_term = 0; // grows with each book; late answers of an older one are dropped
    std::map<pool_id, capacity_planner> m_planners;
    std::map<pool_id, capacity_plan> m_plans; // the last, for operators
    std::map<pool_id, demand_sample> m_demand;
    std::map<target_id, double> m_openAt; // over all instances
    std::map<target_id, emptying> m_emptying;
    instant m_listTaken {};
    instant m_nextDemand {};
    instant m_nextPlan {};
    bool m_asking = false;
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
