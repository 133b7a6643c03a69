// In which order waiting requests go to a class of targets.
//
// Start-time fair queueing over client accounts: each account has a tag that grows
// by the cost of its work divided by its weight, and the least tag goes next. Costs
// are estimates that are corrected when the true cost is known. Only a bounded number of
// requests is with the targets at a time, so that waiting happens here, where the
// order can still be chosen. Live trade goes before rollouts, but rollouts get a floor
// of the served cost. Within an account, lower priority numbers go first.
//
// Bound: while an account waits, every other account g of its band is served at most
// (w_g / w) x (cost of the account's own request) + 2 x (largest cost of g) before its
// next request goes. Pushes, pops and corrections are O(log accounts + log waiting of the account).
#pragma once

#include "types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <tuple>
#include <unordered_map>

namespace lovagerail {

using queued_id = number_id<struct queued_tag>;
// Work at targets, in units in which one prefilled token costs prefillCost.
using service_cost = amount<struct service_cost_tag, std::int64_t>;

constexpr std::int64_t prefillCost = 20;
constexpr std::int64_t decodeCost = 400; // a generated token takes a step of the engine
constexpr std::int64_t cachedCost = 1; // a token found in the prefix cache
constexpr std::int64_t requestCost = 400; // of any request
constexpr std::int64_t serviceMillisecondCost = 100; // of a plain service's time

service_cost engineCost(token_count prefilled, token_count cached, token_count generated);
service_cost plainServiceCost(std::chrono::milliseconds time);

enum class fairness_policy {
    Weighted,
    Fifo, // baseline
    RoundRobin, // baseline: one request of each account in turn
};
std::string_view toString(fairness_policy policy);

enum class work_band {
    Live,
    Rollout,
};

struct fairness_settings {
    fairness_policy policy = fairness_policy::Weighted;
    std::uint32_t rolloutFloor = 100; // thousandths of the served cost, while rollouts wait
    std::size_t mostWaiting = 8192;
    std::size_t mostWaitingPerAccount = 1024;
    double rateLearning = 0.05; // weight of the newest sample of the drain rate
};

struct queued_request {
    queued_id id;
    client_account_id account; // empty on open routes, which share one
    std::uint64_t weight = 1; // of the account, >= 1
    work_band band = work_band::Live;
    std::int32_t priority = 0;
    service_cost estimate;
    instant deadline;
};

enum class queue_verdict {
    Queued,
    QueueFull,
    AccountQueueFull,
    CannotMeetDeadline, // as far as the drain rate tells
};
std::string_view toString(queue_verdict verdict);

// The queue in front of one class of targets.
class fair_queue {
public:
    explicit fair_queue(fairness_settings settings = {});

    // How many may be with the targets at once.
    void setWindow(std::size_t window) { m_window = window; }

    queue_verdict push(const queued_request& request, instant now);
    // The next request to send, if the window allows one; it counts as dispatched.
    std::optional<queued_id> pop();
    // A waiting request is gone; false if it doesn't wait.
    bool remove(queued_id id);
    // A dispatched request is over; its true cost replaces the estimate.
    void finished(queued_id id, service_cost measured, instant now);

    std::size_t waiting() const { return m_entries.size(); }
    std::size_t dispatched() const { return m_dispatched.size(); }
    // How long a new request of the account would wait, as far as is known.
    duration expectedWait(const client_account_id& account, std::uint64_t weight, work_band band) const;

private:
    using flow_name = std::pair<work_band, client_account_id>;
    using entry_key = std::tuple<std::int32_t, std::uint64_t>; // priority, order of arrival
    struct flow {
        std::uint64_t weight = 1;
        double tag = 0; // start tag of its next request
        service_cost backlog; // sum of estimates of waiting requests
        std::map<entry_key, queued_id> waiting;
        std::size_t running = 0; // dispatched
    };
    struct entry {
        flow_name owner;
        entry_key key;
        service_cost estimate;
    };
    struct band_state {
        double virtualTime = 0; // tag of the request that went last; never falls
        double served = 0; // cost, halved now and then
        std::set<std::pair<double, client_account_id>> order; // exactly the flows that wait
        std::uint64_t activeWeight = 0; // of the flows that wait
    };

    band_state& band(work_band which) { return m_bands[static_cast<std::size_t>(which)]; }
    const band_state& band(work_band which) const { return m_bands[static_cast<std::size_t>(which)]; }
    double orderOf(const flow& of) const;
    void activate(const flow_name& name, flow& of);
    void deactivate(const flow_name& name, flow& of);
    void takeOut(const flow_name& name, flow& of, const entry_key& key, service_cost estimate);
    std::optional<work_band> nextBand() const;
    void forgetIdle(const flow_name& name);

    fairness_settings m_settings;
    std::size_t m_window = 64;
    std::uint64_t m_arrivals = 0;
    std::map<flow_name, flow> m_flows; // those that wait, run, or are ahead of the virtual time
    band_state m_bands[2];
    std::unordered_map<queued_id, entry> m_entries; // waiting; never iterated
    std::unordered_map<queued_id, entry> m_dispatched; // never iterated
    double m_costPerSecond = 0; // drain rate; zero until it's known
    instant m_lastFinished;
    double m_finishedSince = 0; // cost since m_lastFinished
};

} // namespace lovagerail
