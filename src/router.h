// Chooses the target for a request: among the live targets that its routing class
// allows, the one with the least expected queueing time and uncached prefill work.
//
// The router owns the state kept about targets: their load, health and prefix caches.
// The daemon passes it events and calls choose(). Time and random seeds come from the
// caller. choose() scores a bounded number of candidates, so its cost does not grow with
// the size of the class beyond the cached subset; it scans the whole class only if none
// of these can take the request.
#pragma once

#include "connection_pool_view.h"
#include "health.h"
#include "load.h"
#include "prefix_index.h"
#include "request_limits.h"
#include "router_policy.h"
#include "target_table.h"
#include "types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

namespace lovagerail {

struct route_request {
    routing_class_id routingClass;
    client_account_id account;
    run_id run; // empty for interactive traffic
    std::vector<block_hash> promptBlocks;
    token_count promptTokens; // estimate
    token_count expectedTokens; // to generate; zero for plain services
    std::optional<instant> deadline; // for the whole response
    bool idempotent = false;
    bool resumable = false;
    bool returnable = false; // the target can reject it as "not run" until it starts
    target_software software; // only targets with this one may run it; empty: any
    std::vector<target_id> excluded; // tried before, or reserved for a quarantine suspect
    failure_domain_id avoidedDomain; // targets outside it are preferred; empty: no wish
    std::uint64_t seed = 0; // of the random choices; a different one for each call
};

enum class route_reason { LeastCost, // least expected queueing time and prefill
    PrefixReuse, // chosen for its cached prefix; it would not have been the cheapest without
    Probe, // a probe of a target whose circuit breaker is half-open
    OnlyCandidate,
    AllEjected, // no healthy target was left, so health was ignored
    Baseline }; // picked by another policy than the default

struct score_parts {
    duration wait {}; // expected time in the target's queue
    duration processingTime {}; // expected time of prefilling uncached tokens, or a plain service's processing time
    duration network {};
    double healthWeight = 1;
    duration total {}; // (wait + processingTime + weighted slowdown) / healthWeight + network - bonus of cheap targets
};

struct route_choice {
    target_slot slot;
    target_id target;
    std::string address;
    lovagerail::incarnation incarnation;
    target_kind kind = target_kind::Engine;
    supply_kind supply = supply_kind::Firm;
    failure_domain_id failureDomain;
    target_software software;
    route_reason reason = route_reason::LeastCost;
    score_parts score;
    token_count cachedTokens; // expected
};

enum class no_route_reason { UnknownClass,
    NoLiveTarget,
    AllExcluded, // by route_request::excluded
    RateLimited, // targets that could run it are at the limit that they named
    CheapOnly, // only cheap targets are left, and the request may not use them or has reached its cap there
    CannotMeetDeadline };

struct no_route {
    no_route_reason reason = no_route_reason::NoLiveTarget;
    duration retryAfter {}; // RateLimited: time in which one request may start
};

using route_decision = std::variant<route_choice, no_route>;

std::string_view toString(route_reason reason);
std::string_view toString(no_route_reason reason);

struct router_settings {
    std::string instance; // name of this instance; makes the subsets of instances differ
    failure_domain_id failureDomain; // of this instance
    policy_kind policy = policy_kind::ExpectedCost;
    duration crossDomainDelay = std::chrono::milliseconds(3); // round trip
    std::size_t subsetSize = 64; // targets of a class that this instance samples from
    std::size_t randomCandidates = 2; // random candidates per decision, besides targets with a cached prefix
    std::size_t serviceRandomCandidates = 4; // the same for plain services, which have no prefix cache
    double maxLoadFactor = 1.5; // a target keeps its prefix bonus up to this multiple of the candidates' mean load
    double loadSlack = 8; // plus this number of requests
    double slowdownWeight = 0.1; // how much of the decoding time added by other streams counts in the score
    std::uint32_t cheapExposure = 64; // cap on attempts on cheap targets per account or run and failure domain
    duration cheapTargetBonus = std::chrono::milliseconds(2); // subtracted from the cost of cheap targets
    // Cost of a new connection to a target, added to the cost of targets to which this instance has
    // no idle one; 0: connections don't matter.
    duration connectionCost {};
    std::size_t connectedCandidates = 8; // targets with an idle connection per decision, besides the others
    // With a connection cost: for how long services keep idle connections open. An instance samples
    // from no more of a class's services than get several of its requests in this time.
    duration serviceKeepTime = std::chrono::seconds(10);
    double deadlineMargin = 0.8; // a target is too slow if this share of its expected time exceeds the time left
    target_table_settings table;
    load_settings load;
    prefix_index_settings prefixes;
    health_settings health;
};

struct attempt_end {
    attempt_outcome outcome = attempt_outcome::Success;
    token_count generated;
    std::optional<token_count> cachedTokens; // as reported by the engine
};

class router {
public:
    explicit router(router_settings settings);

    // State of targets.
    void applyList(const std::vector<listed_target>& rows, instant now);
    void applyRow(const listed_target& row, instant now);
    void applyReport(const load_report& report, instant now);
    void applyCacheEvent(const target_id& target, const cache_event& event, instant now);
    void advanceState(const target_id& target, incarnation seen, target_state state, instant now);
    void setLabels(const target_id& target, label_map labels);
    // Targets in these failure domains get no further requests.
    void setEvacuated(std::set<failure_domain_id> domains) { m_table.setEvacuated(std::move(domains)); }
    void setClass(const routing_class_id& name, target_predicate predicate);
    void removeClass(const routing_class_id& name);
    void setPolicy(policy_kind policy) { m_settings.policy = policy; }
    // The limit that a target names in the answer to a request sent at `sentAt`; empty if it names
    // none. Answers of an earlier incarnation are ignored.
    limit_change applyLimit(const target_id& target, incarnation seen, std::optional<double> perSecond, instant sentAt, instant now);
    // The limit of a cold target; empty if it is not cold or has none. True if that changed.
    bool setColdLimit(const target_id& target, std::optional<double> perSecond, instant now);
    // A request that was sent without choose(), such as an order.
    void sentBeside(const target_id& target, instant now);
    request_limits& limits() { return m_limits; }
    const request_limits& limits() const { return m_limits; }
    request_limits& coldLimits() { return m_coldLimits; }
    const request_limits& coldLimits() const { return m_coldLimits; }
    // Whether both limits allow a request to the target now.
    bool mayStart(target_slot slot, instant now) const { return m_limits.mayStart(slot, now) && m_coldLimits.mayStart(slot, now); }
    // This instance's connections to targets; whoever sends the requests reports them.
    connection_pool_view& connections() { return m_connections; }
    const connection_pool_view& connections() const { return m_connections; }
    // Idle connections to a target that no attempt under way is going to take.
    std::size_t spareConnections(target_slot slot, instant now) const;
    // Expires targets; call about once a second.
    void tick(instant now);

    // Whether a target of the class with this software is live.
    bool hasLive(const routing_class_id& name, const target_software& software) const;
    // Returns a decision; call started() with it to count the attempt.
    route_decision choose(const route_request& request, instant now);

    // Events of an attempt; those of unknown attempts and repeated ones are ignored.
    void started(attempt_id attempt, const route_choice& choice, const route_request& request, instant now);
    void firstToken(attempt_id attempt, instant now);
    void ended(attempt_id attempt, const attempt_end& end, instant now);

    const target_table& table() const { return m_table; }
    const load_tracker& load() const { return m_load; }
    const prefix_index& prefixes() const { return m_prefixes; }
    const health_monitor& health() const { return m_health; }
    double slowdownWeight = 0.1; // not used: router_settings::slowdownWeight applies
    // Attempts in flight on cheap targets of a failure domain, for the request's account or run.
    std::uint32_t cheapExposure(const route_request& request, const failure_domain_id& domain) const;

private:
    // Derived from a class: the subset of targets that this instance samples from, and a
    // consistent-hash ring of all its targets, by which all instances map a prompt prefix
    // to the same targets.
    struct class_cache {
        std::uint64_t version = 0; // of the class when this was built; 0: never built
        instant builtAt;
        std::vector<target_slot> subset; // sorted
        std::vector<target_slot> ranked; // the same, those first that an instance with a low rate uses
        std::vector<std::pair<std::uint64_t, target_slot>> ring; // sorted
    };
    struct exposure_key {
        bool isRun = false;
        std::string owner; // account or run
        failure_domain_id domain;
        friend bool operator<(const exposure_key& left, const exposure_key& right)
        {
            return std::tie(left.isRun, left.owner, left.domain) < std::tie(right.isRun, right.owner, right.domain);
        }
    };
    struct attempt_state {
        target_slot slot;
        std::uint32_t generation = 0; // of the slot when the attempt started; see m_generations
        instant sentAt;
        instant firstTokenAt; // equal to sentAt until the first token arrives
        token_count expectedCached;
        bool hasPrompt = false;
        std::optional<exposure_key> exposure; // counted in m_exposure until it ends
    };
    struct selection;
    // Requests of a class that this instance sent to services, as an exponentially decayed count.
    struct sent_count {
        double requests = 0; // at `at`
        instant at;
    };

    void applyChange(const slot_change& change, instant now);
    std::uint32_t& generation(target_slot slot);
    const class_cache& cacheOf(const routing_class_id& name, instant now);
    std::vector<target_slot> chooseSubset(const std::vector<target_slot>& allowed) const;
    std::vector<std::pair<std::uint64_t, target_slot>> buildRing(const std::vector<target_slot>& allowed) const;

    route_decision chooseFrom(selection& chosen, seeded_random& random, instant now);
    void addCandidate(selection& chosen, target_slot slot, instant now) const;
    void addAll(selection& chosen, const std::vector<target_slot>& slots, instant now) const;
    void addSamples(selection& chosen, const class_cache& cache, seeded_random& random, instant now) const;
    void addRandom(selection& chosen, std::span<const target_slot> slots, std::size_t wanted, seeded_random& random, instant now) const;
    std::vector<target_slot> rankSubset(const std::vector<target_slot>& subset) const;
    std::size_t fewServices(const routing_class_id& name, const class_cache& cache, instant now) const;
    double recentlySent(const routing_class_id& name, instant now) const;
    void addPrefixTargets(selection& chosen, const class_cache& cache, instant now) const;
    void addConnectedTargets(selection& chosen, const class_cache& cache, seeded_random& random, instant now) const;
    void applyBoundedLoad(selection& chosen) const;
    void applyConnectionCost(selection& chosen, instant now) const;
    bool isFull(target_slot slot, double requests) const;
    bool keepFeasible(selection& chosen, instant now) const;
    no_route noRouteFor(const selection& chosen) const;
    route_choice makeChoice(const selection& chosen, const routing_candidate& candidate, route_reason reason) const;
    static exposure_key exposureKey(const route_request& request, const failure_domain_id& domain);
    double shareOfLimits(target_slot slot) const;
    bool mayUseTarget(const route_request& request, const target_record& record) const;

    router_settings m_settings;
    target_table m_table;
    load_tracker m_load;
    prefix_index m_prefixes;
    health_monitor m_health;
    request_limits m_limits; // that targets name
    request_limits m_coldLimits; // of targets while they are cold; the lower of both applies
    connection_pool_view m_connections;
    policy_set m_policies;
    std::vector<std::uint32_t> m_generations; // by slot; incremented when another target or incarnation takes the slot
    std::map<routing_class_id, class_cache> m_caches;
    std::map<routing_class_id, sent_count> m_sentCounts; // of classes with services; empty without a connection cost
    std::map<attempt_id, attempt_state> m_attempts;
    std::map<exposure_key, std::uint32_t> m_exposure; // attempts in flight; positive counts only
};

} // namespace lovagerail
