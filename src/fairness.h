// Weighted fair queue in front of a class of targets: decides which waiting request is
// dispatched next.
//
// Start-time fair queueing over client accounts: each account has a start tag that grows
// by the cost of its requests divided by its weight, and the account with the smallest
// tag is served next. Costs are estimates that are corrected when the true cost is known.
// Only a bounded number of requests is dispatched at a time, so that requests queue here,
// where their order can still be changed, and not at the targets. Live traffic has strict
// priority over rollouts, except that rollouts get a minimum share of the served cost.
// Within an account, lower priority numbers go first.
//
// Bound: while an account of weight w waits, every other account g of its band, of weight
// w_g, is served at most (w_g / w) x (cost of the account's last request) + 2 x (largest cost
// of g) before the account's next request is dispatched. Pushes, pops and corrections are
// O(log accounts + log waiting of the account).
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
// Cost of work at targets, on the scale set by the constants below.
using service_cost = amount<struct service_cost_tag, std::int64_t>;

constexpr std::int64_t prefillCost = 20;
constexpr std::int64_t decodeCost = 400; // per generated token, which takes an engine step of its own
constexpr std::int64_t cachedCost = 1; // per prompt token found in the prefix cache
constexpr std::int64_t requestCost = 400; // fixed part of every request
constexpr std::int64_t serviceMillisecondCost = 100; // per millisecond at a target that is not an engine

service_cost engineCost(token_count prefilled, token_count cached, token_count generated);
service_cost plainServiceCost(std::chrono::milliseconds time);

enum class fairness_policy {
    Weighted,
    Fifo, // baseline
    RoundRobin, // baseline: each request costs the same
};
std::string_view toString(fairness_policy policy);

enum class work_band {
    Live,
    Rollout,
};

struct fairness_settings {
    fairness_policy policy = fairness_policy::Weighted;
    std::uint32_t rolloutFloor = 100; // guaranteed to waiting rollouts, in thousandths of the served cost
    std::size_t maxWaiting = 8192;
    std::size_t maxWaitingPerAccount = 1024;
    double rateSmoothing = 0.05; // weight of the newest sample in the moving average of the drain rate
};

struct queued_request {
    queued_id id;
    client_account_id account; // empty on open routes: their requests count as one account
    std::uint64_t weight = 1; // of the account, >= 1
    work_band band = work_band::Live;
    std::int32_t priority = 0;
    service_cost estimate;
    instant deadline;
};

enum class enqueue_result {
    Queued,
    QueueFull,
    AccountQueueFull,
    CannotMeetDeadline, // estimated from the drain rate
};
std::string_view toString(enqueue_result verdict);

// The queue in front of one class of targets.
class fair_queue {
public:
    explicit fair_queue(fairness_settings settings = {});

    // Sets how many requests may be dispatched and unfinished at once.
    void setWindow(std::size_t window) { m_window = window; }

    enqueue_result push(const queued_request& request, instant now);
    // Dispatches the next request; none if the window is full or nothing waits.
    std::optional<queued_id> pop();
    // Removes a waiting request, e.g. of a caller that disconnected; false if it isn't waiting.
    bool remove(queued_id id);
    // Ends a dispatched request and replaces its estimated cost by the measured one.
    void finished(queued_id id, service_cost measured, instant now);

    std::size_t waiting() const { return m_entries.size(); }
    std::size_t dispatched() const { return m_dispatched.size(); }
    // Estimated queueing time of a new request of the account; zero while the drain rate is unknown.
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
        flow_name flowName;
        entry_key key;
        service_cost estimate;
    };
    struct band_state {
        double virtualTime = 0; // start tag of the request dispatched last; never decreases
        double served = 0; // recent cost, halved whenever it gets large
        std::set<std::pair<double, client_account_id>> order; // exactly the flows with waiting requests
        std::uint64_t activeWeight = 0; // sum over these flows
    };

    band_state& band(work_band workBand) { return m_bands[static_cast<std::size_t>(workBand)]; }
    const band_state& band(work_band workBand) const { return m_bands[static_cast<std::size_t>(workBand)]; }
    double orderKey(const flow& accountFlow) const;
    void activate(const flow_name& name, flow& accountFlow);
    void deactivate(const flow_name& name, flow& accountFlow);
    void removeWaiting(const flow_name& name, flow& accountFlow, const entry_key& key, service_cost estimate);
    std::optional<work_band> nextBand() const;
    void eraseIfIdle(const flow_name& name);

    fairness_settings m_settings;
    std::size_t m_window = 64;
    std::uint64_t m_arrivals = 0;
    std::map<flow_name, flow> m_flows; // with waiting or dispatched requests, or a tag ahead of the virtual time
    band_state m_bands[2];
    std::unordered_map<queued_id, entry> m_entries; // waiting; never iterated
    std::unordered_map<queued_id, entry> m_dispatched; // never iterated
    double m_costPerSecond = 0; // drain rate; zero until it's known
    instant m_sampleStart; // start of the current sample of the drain rate
    double m_sampleCost = 0; // cost finished in that sample
};

} // namespace lovagerail
