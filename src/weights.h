// Rolls out a weight version to all replicas of one model.
//
// A few replicas load the version from the rate-limited store. Each replica that has it
// then serves it to others, so the number that have it doubles with each round. Only a
// share of the replicas swaps versions at a time, so that the others keep serving live
// requests. A replica is done only when its own report shows the version: a swap that
// failed, was incomplete or was undone by a restart is ordered again.
//
// Performs no I/O; owned by the leader of the model's rollout. Every event is O(log n) for
// n replicas, a tick is O(n log n).
#pragma once

#include "types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace lovagerail {

struct rollout_settings {
    model_id model;
    fencing_number fencing;
    std::size_t maxLoadsFromStore = 2; // concurrent loads from the store
    std::size_t maxLoadsFromReplica = 2; // concurrent loads from one replica
    double maxSwapShare = 0.34; // share of the replicas that may swap at a time; at least one
    duration pollInterval = std::chrono::milliseconds(200); // between polls of an order in progress
    duration orderTimeout = std::chrono::seconds(30);
    duration reportGrace = std::chrono::seconds(2); // time between the answer "done" and a report that shows the version
    duration initialRetryDelay = std::chrono::milliseconds(500);
    duration maxRetryDelay = std::chrono::seconds(20);
};

// A replica's own report.
struct replica_report {
    target_id target;
    std::string address; // base URL
    incarnation incarnationNumber;
    weight_version version; // 0 = unknown
};

struct swap_order {
    target_id target;
    std::string address;
    std::string orderId; // the same in each retry of an order
    weight_version version;
    std::string source; // base URL of the replica or store to load from
};
struct query_swap_order {
    target_id target;
    std::string address;
    std::string orderId;
};
using rollout_action = std::variant<swap_order, query_swap_order>;

enum class order_answer {
    Running,
    Done,
    Failed, // the target executed the order without success
    Refused, // the target knows a newer fencing number: this instance is no longer the leader
    Lost, // no answer; the order may be executed
    Unknown, // the target does not know the order id
};

class version_rollout {
public:
    explicit version_rollout(rollout_settings settings);

    // Sets the version that all replicas are to serve; may be an earlier one (rollback).
    void setWanted(weight_version version, std::string storeUrl);
    // Replaces the list of live replicas, with their own reports.
    void setReplicas(const std::vector<replica_report>& replicas, instant now);

    std::vector<rollout_action> tick(instant now);
    void onOrder(const target_id& target, const std::string& orderId, order_answer answer, instant now);

    weight_version wanted() const { return m_wanted; }
    std::size_t replicas() const { return m_replicas.size(); }
    // Number of replicas whose own report shows the wanted version.
    std::size_t current() const;
    // False while no replica is known.
    bool complete() const { return !m_replicas.empty() && current() == m_replicas.size(); }
    // True once a target refused an order for its old fencing number; then no more orders are sent.
    bool deposed() const { return m_deposed; }

private:
    struct order_state {
        std::string id;
        std::string source;
        bool fromStore = false;
        instant sentAt {};
        instant nextPollAt {};
        std::optional<instant> doneAt; // when the target answered "done"; its report does not show the version yet
        bool resend = false; // the answer was lost: send the same order again
    };
    struct replica_state {
        replica_report report;
        std::optional<order_state> order;
        std::uint32_t attempts = 0; // number of orders for the wanted version
        instant retryAt {};
        std::uint64_t round = 0; // of the last setReplicas() call that listed it
    };

    struct load_source {
        std::string address;
        bool isStore = false;
    };

    bool isCurrent(const replica_state& replica) const { return replica.report.version == m_wanted; }
    std::size_t swapLimit() const;
    std::vector<load_source> availableSources() const;
    void endOrder(replica_state& replica, bool failed, instant now);
    void advanceOrder(replica_state& replica, instant now, std::vector<rollout_action>& actions);

    rollout_settings m_settings;
    weight_version m_wanted;
    std::string m_store;
    std::map<target_id, replica_state> m_replicas; // between calls, all have round m_round
    std::uint64_t m_round = 0;
    bool m_deposed = false;
};

} // namespace lovagerail
