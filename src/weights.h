// Brings a new weight version to all replicas of one model.
//
// A few replicas load from the rate-limited store; each that has the version then
// passes it on to others, so the number that have it doubles with each round. Only
// a share of the replicas swaps at a time, so that live trade keeps its service.
// A replica counts as done when its own report says so, and never before: a swap
// that failed, was half done or was undone by a restart is ordered again.
//
// Pure; owned by the duty of the model. Every event is O(log n) for n replicas, a
// tick is O(n log n).
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
    std::size_t fromStore = 2; // loads from the store at a time
    std::size_t fromReplica = 2; // loads from one replica at a time
    double swapShare = 0.34; // of the replicas that swap at a time, at least one
    duration askEvery = std::chrono::milliseconds(200); // state of an order under way
    duration orderTimeout = std::chrono::seconds(30);
    duration reportGrace = std::chrono::seconds(2); // from "done" until the report must show it
    duration firstRetry = std::chrono::milliseconds(500);
    duration longestRetry = std::chrono::seconds(20);
};

// What a replica says of itself.
struct replica_report {
    target_id target;
    std::string address; // base URL
    incarnation life;
    weight_version version; // 0: not known
};

struct swap_order {
    target_id target;
    std::string address;
    std::string orderId; // repeated with each try of the same order
    weight_version version;
    std::string source; // base URL of the replica or store to load from
};
struct ask_order {
    target_id target;
    std::string address;
    std::string orderId;
};
using rollout_action = std::variant<swap_order, ask_order>;

enum class order_answer {
    Running,
    Done,
    Failed, // the target tried and could not
    Refused, // a newer fencing number is known there: we are deposed
    Lost, // no answer: it may run
    Unknown, // the target knows no such order
};

class version_rollout {
public:
    explicit version_rollout(rollout_settings settings);

    // The version that all replicas are to serve; may be an earlier one.
    void setWanted(weight_version version, std::string storeUrl);
    // All live replicas, as they report themselves.
    void setReplicas(const std::vector<replica_report>& replicas, instant now);

    std::vector<rollout_action> tick(instant now);
    void onOrder(const target_id& target, const std::string& orderId, order_answer answer, instant now);

    weight_version wanted() const { return m_wanted; }
    std::size_t replicas() const { return m_replicas.size(); }
    // Replicas whose own report shows the wanted version.
    std::size_t current() const;
    // False while no replica is known.
    bool complete() const { return !m_replicas.empty() && current() == m_replicas.size(); }
    // A peer knew a newer holder; nothing is ordered any more.
    bool deposed() const { return m_deposed; }

private:
    struct order_state {
        std::string id;
        std::string source;
        bool fromStore = false;
        instant sentAt {};
        instant nextAsk {};
        std::optional<instant> doneAt; // the target said so, its report doesn't yet
        bool resend = false; // the answer was lost: send the same again
    };
    struct replica_state {
        replica_report report;
        std::optional<order_state> order;
        std::uint32_t tries = 0; // orders of the wanted version so far
        instant retryAt {};
        std::uint64_t round = 0; // of the last setReplicas() that named it
    };

    struct load_source {
        std::string address;
        bool isStore = false;
    };

    bool isCurrent(const replica_state& replica) const { return replica.report.version == m_wanted; }
    std::size_t swapLimit() const;
    std::vector<load_source> freeSources() const;
    void endOrder(replica_state& replica, bool failed, instant now);
    void drive(replica_state& replica, instant now, std::vector<rollout_action>& actions);

    rollout_settings m_settings;
    weight_version m_wanted;
    std::string m_store;
    std::map<target_id, replica_state> m_replicas; // between calls all of round m_round
    std::uint64_t m_round = 0;
    bool m_deposed = false;
};

} // namespace lovagerail
