// Orders to the platform to start and stop targets: each is written as an intent first,
// takes effect at most once, and is tracked until its result shows in the platform's list.
//
// Only the holder of the duty sends orders. Before an order is sent, its intent is
// written by compare-and-swap under the holder's fencing number; the transaction fails
// once another instance holds the duty. The intent's id is the order's id, and the
// platform accepts an id only once. So after a lost answer the order's status is
// queried and the same id sent again if needed; no intent starts two targets.
//
// A new holder first reads the intents and a fresh list. It counts its predecessors'
// open orders as pending, and queries their status once none of them can be in flight
// any more; one that never reached the platform is dropped. Where the peers ignore
// fencing numbers, its own first order waits as long. An intent is removed once the
// list shows its result, so at any time each target is in the list or in an intent.
//
// Costs: an event about one order is O(log n); a list of n targets O(n log n).
#pragma once

#include "lease.h"
#include "objects.h"
#include "router_policy.h"
#include "target_table.h"

#include <deque>
#include <map>
#include <set>

namespace lovagerail {

constexpr std::string_view intentPrefix = "/lovagerail/orders/intents/";

using order_id = name_id<struct order_tag>;

enum class order_action {
    Start,
    Stop,
};
std::string_view toString(order_action action);

struct order_intent {
    order_id id;
    order_action action = order_action::Start;
    pool_id pool;
    supply_kind kind = supply_kind::Firm;
    failure_domain_id failureDomain;
    target_id target; // of a stop
    fencing_number fencing; // of the holder that wrote the intent
};
std::string intentValue(const order_intent& intent);
result<order_intent> parseIntent(const order_id& id, std::string_view value);

struct order_settings {
    duty_id duty { "orders" };
    duration retryAfter = std::chrono::milliseconds(500); // after a failed call
    duration statusQueryInterval = std::chrono::seconds(2); // between status queries of an accepted order
    // After a start that failed or was unobtainable, and after a cheap target was taken
    // away; doubles with each further one.
    duration backOff = std::chrono::seconds(5);
    duration maxBackOff = std::chrono::minutes(5);
    // An accepted order whose result the list doesn't show after so long is given up
    // ("ghost"). Longer than the longest lag of the list and the longest start.
    duration unlistedTimeout = std::chrono::minutes(3);
    std::size_t maxOpenOrders = 8; // of this holder at the same time
};

// One target in the platform's list, with the fields that matter to orders.
struct ordered_target {
    target_id id;
    pool_id pool;
    supply_kind kind = supply_kind::Firm;
    failure_domain_id failureDomain;
    target_state state = target_state::Live;
    order_id order; // the order that started it; empty = none
};

// --- Calls and records that the caller has to carry out ---

struct read_intents { };
struct write_intent {
    order_id id;
    kv_transaction change;
};
struct remove_intent {
    order_id id;
    kv_transaction change;
};
struct send_order {
    order_intent intent;
    fencing_number fencing;
};
struct query_order {
    order_id id;
};
// Another instance holds the duty: release it and send no more orders.
struct resign_order_duty {
    std::string reason;
};
// A decision for the decision journal.
struct log_order_decision {
    order_id id;
    target_id target;
    std::string decision;
    std::string reason;
};
using order_command = std::variant<read_intents, write_intent, remove_intent, send_order, query_order, resign_order_duty, log_order_decision>;

// --- Results of these calls ---

enum class order_outcome {
    Accepted, // of a send: the platform took the order; of a query: it is in progress
    Done, // of a query: carried out
    Failed, // of a query: it failed for good; of a send: the order is invalid
    OldFencing, // the platform has seen a newer fencing number
    Unobtainable, // no capacity of this kind in this failure domain
    NotFound, // of a query: the platform doesn't know the order
    NotSent, // no byte was sent
    Lost, // sent, but no answer came
};

// Tracks all open orders during one term of one holder.
class order_tracker {
public:
    order_tracker(order_settings settings, fencing_number fencing, instant ordersFrom, std::uint64_t seed);

    // True once the predecessors' orders are known: intents read, and then a list.
    bool ready() const { return m_intentsRead && m_listRead && !m_resigned; }
    bool resigned() const { return m_resigned; }

    // Requests a new target; the caller has checked the pool's bounds against pending()
    // and the list. Empty if too many orders are open, ready() is false, or this kind is
    // in back-off in this failure domain.
    std::optional<order_id> start(const target_pool& pool, supply_kind kind, const failure_domain_id& domain, instant now);
    // Requests to stop a target that has no work left.
    std::optional<order_id> stop(const target_pool& pool, const ordered_target& target, instant now);
    // Whether no order is sent for now, since this kind was unobtainable in this failure domain.
    bool backedOff(const pool_id& pool, supply_kind kind, const failure_domain_id& domain, instant now) const;

    std::vector<order_command> tick(instant now);
    std::vector<order_command> onIntents(const result<std::vector<kv_entry>>& entries, instant now);
    std::vector<order_command> onWritten(const order_id& id, const result<kv_answer>& answer, instant now);
    std::vector<order_command> onRemoved(const order_id& id, const result<kv_answer>& answer, instant now);
    std::vector<order_command> onSendAnswer(const order_id& id, order_outcome outcome, const target_id& target, instant now);
    std::vector<order_command> onQueryAnswer(const order_id& id, order_outcome outcome, const target_id& target, instant now);
    // The platform's list, requested at `requestedAt`.
    std::vector<order_command> onList(const std::vector<ordered_target>& rows, instant requestedAt, instant now);

    // Intents of open orders whose result the list doesn't show yet.
    std::vector<order_intent> pending() const;

private:
    enum class order_state {
        Writing, // the intent is being written, or has to be written again
        Written, // intent stored; the order has to be sent
        Sent, // an answer is awaited
        AnswerLost, // the answer was lost; the status has to be queried
        Querying, // the status query is in flight
        Accepted, // by the platform; the list does not show the result yet
        Finished, // the intent has to be removed
        Removing, // the removal is in flight
    };
    struct open_order {
        order_intent intent;
        order_state state = order_state::Writing;
        bool isFromThisTerm = true; // its intent was written in this term, not by a predecessor
        bool waitsForSettling = false; // must not be sent before m_ordersFrom, since the pool's targets ignore fencing numbers
        bool callInFlight = false;
        target_id target; // once known
        instant next {}; // time of the next call
        instant acceptedAt {};
    };
    struct supply_key {
        pool_id pool;
        supply_kind kind = supply_kind::Firm;
        failure_domain_id domain;
        friend bool operator<(const supply_key& a, const supply_key& b) { return std::tie(a.pool, a.kind, a.domain) < std::tie(b.pool, b.kind, b.domain); }
    };
    struct back_off_state {
        instant until {};
        std::uint32_t failures = 0;
    };

    std::optional<order_id> addOrder(order_intent intent, bool waitsForSettling);
    void advance(open_order& order, instant now);
    void write(open_order& order);
    void finish(open_order& order, std::string decision, std::string reason, instant now);
    void startBackOff(const order_intent& intent, instant now);
    void resignDuty(std::string reason);
    void recordListChanges(const std::vector<ordered_target>& rows, instant now);
    void recordDecision(const open_order& order, std::string decision, std::string reason);
    duration jittered(duration time);
    std::vector<order_command> takeCommands() { return std::exchange(m_commands, {}); }
    static supply_key supplyKeyOf(const order_intent& intent) { return { intent.pool, intent.kind, intent.failureDomain }; }

    order_settings m_settings;
    fencing_number m_fencing;
    instant m_ordersFrom {};
    seeded_random m_random;
    bool m_reading = false;
    bool m_intentsRead = false;
    bool m_listRead = false;
    bool m_resigned = false;
    instant m_nextRead {};
    instant m_intentsReadAt {};
    std::uint64_t m_lastOrder = 0;
    std::map<order_id, open_order> m_orders;
    std::map<supply_key, back_off_state> m_backOffs;
    std::map<target_id, ordered_target> m_listed; // the last list
    std::set<target_id> m_stopped; // targets that we ordered to stop, until the list lacks them
    std::vector<order_command> m_commands;
};

} // namespace lovagerail
