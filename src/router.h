// Chooses the target for a request: among the live targets that its routing class
// allows, the one with the least expected wait and unsaved prefill work.
//
// The router owns what is known of targets, their load, health and prefix caches;
// the daemon feeds it events and asks choose(). It takes time and a random seed
// from its caller. choose() looks at a bounded number of candidates, so its cost
// doesn't grow with the class beyond its cached subset.
#pragma once

#include "health.h"
#include "load.h"
#include "prefix_index.h"
#include "router_policy.h"
#include "target_table.h"
#include "types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

namespace lovagerail {

struct route_request {
    routing_class_id routingClass;
    client_account_id account;
    run_id run; // empty for live trade
    std::vector<block_hash> promptBlocks;
    token_count promptTokens; // estimate
    token_count expectedTokens; // to generate; zero for plain services
    std::optional<instant> deadline; // for the whole answer
    bool idempotent = false;
    bool resumable = false;
    bool returnable = false; // the target can hand it back "not run" until it starts
    std::vector<target_id> excluded; // tried before, or barred by quarantine
    std::uint64_t seed = 0; // fresh for each call
};

enum class route_reason { LeastCost, // least expected wait and prefill
    PrefixReuse, // a cached prefix made the difference
    Probe, // half-open target gets its probe
    OnlyCandidate,
    AllEjected, // nothing healthy was left, so health was overruled
    Baseline }; // another policy than the default

struct score_parts {
    duration wait {};
    duration own {}; // prefill of the tokens that aren't cached, or the service's time
    duration network {};
    double healthWeight = 1;
    duration total {}; // (wait + own) / healthWeight + network
};

struct route_choice {
    target_slot slot;
    target_id target;
    std::string address;
    lovagerail::incarnation incarnation;
    target_kind kind = target_kind::Engine;
    supply_kind supply = supply_kind::Firm;
    failure_domain_id failureDomain;
    route_reason reason = route_reason::LeastCost;
    score_parts score;
    token_count cachedTokens; // expected
};

enum class no_route_reason { UnknownClass,
    NoLiveTarget,
    AllExcluded, // by the request's own list
    CheapOnly, // only cheap targets are left, which this work may not use or has too much on
    CannotMeetDeadline };

struct no_route {
    no_route_reason reason = no_route_reason::NoLiveTarget;
    duration retryAfter {};
};

using route_decision = std::variant<route_choice, no_route>;

std::string_view toString(route_reason reason);
std::string_view toString(no_route_reason reason);

struct router_settings {
    std::string instance; // our own name; spreads the subsets of instances
    failure_domain_id failureDomain; // our own
    policy_kind policy = policy_kind::ExpectedCost;
    duration crossDomainDelay = std::chrono::milliseconds(3); // both ways
    std::size_t subsetSize = 64; // targets of a class that this instance follows
    std::size_t samples = 2; // random choices per decision, beside holders of the prefix
    std::size_t serviceSamples = 4; // the same for plain services, which have none
    double boundedLoad = 1.5; // a preferred target may have so many times the mean load,
    double loadSlack = 8; // and so many requests more
    double slowdownShare = 0.1; // of the decoding time that other streams add, in the score
    std::uint32_t cheapExposure = 64; // attempts on cheap targets per account or run and failure domain
    duration cheapCredit = std::chrono::milliseconds(2); // for work that may run on cheap targets
    double deadlineMargin = 0.8; // refused if this share of the expected time is too long
    target_table_settings table;
    load_settings load;
    prefix_index_settings prefixes;
    health_settings health;
};

struct attempt_end {
    attempt_outcome outcome = attempt_outcome::Success;
    token_count generated;
    std::optional<token_count> cachedTokens; // as the engine reported
};

class router {
public:
    explicit router(router_settings settings);

    // Knowledge of targets.
    void applyList(const std::vector<listed_target>& rows, instant now);
    void applyRow(const listed_target& row, instant now);
    void applyReport(const load_report& report, instant now);
    void applyCacheEvent(const target_id& target, const cache_event& event, instant now);
    void advanceState(const target_id& target, incarnation seen, target_state state, instant now);
    void setLabels(const target_id& target, label_map labels);
    void setClass(const routing_class_id& name, target_predicate predicate);
    void removeClass(const routing_class_id& name);
    void setPolicy(policy_kind policy) { m_settings.policy = policy; }
    // Housekeeping; call about once a second.
    void tick(instant now);

    // The decision; changes nothing until started() is called with it.
    route_decision choose(const route_request& request, instant now);

    // Life of an attempt; unknown and repeated attempts are ignored.
    void started(attempt_id attempt, const route_choice& choice, const route_request& request, instant now);
    void firstToken(attempt_id attempt, instant now);
    void ended(attempt_id attempt, const attempt_end& end, instant now);

    const target_table& table() const { return m_table; }
    const load_book& load() const { return m_load; }
    const prefix_index& prefixes() const { return m_prefixes; }
    const health_monitor& health() const { return m_health; }
    // Attempts in flight on cheap targets of a failure domain for an account or run.
    double slowdownShare = 0.1; // of the decoding time that other streams add, in the score
    std::uint32_t cheapExposure(const route_request& request, const failure_domain_id& domain) const;

private:
    // Derived from a class: the targets that this instance follows, and a hash
    // ring of all of them that gives each prefix a home on which instances agree.
    struct class_cache {
        std::uint64_t version = 0; // of the class when this was built
        instant builtAt;
        std::vector<target_slot> subset; // sorted
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
        std::uint32_t generation = 0; // of the slot's use
        instant sentAt;
        instant firstTokenAt; // sentAt until it comes
        token_count expectedCached;
        bool hasPrompt = false;
        std::optional<exposure_key> exposure; // counted in m_exposure until it ends
    };
    struct selection;

    void applyChange(const slot_change& change, instant now);
    std::uint32_t& generation(target_slot slot);
    const class_cache& cacheOf(const routing_class_id& name, instant now);
    std::vector<target_slot> followed(const std::vector<target_slot>& allowed) const;
    std::vector<std::pair<std::uint64_t, target_slot>> buildRing(const std::vector<target_slot>& allowed) const;

    void addCandidate(selection& chosen, target_slot slot, instant now) const;
    void addAll(selection& chosen, const std::vector<target_slot>& slots, instant now) const;
    void addSamples(selection& chosen, const class_cache& cache, seeded_random& random, instant now) const;
    void addPreferred(selection& chosen, const class_cache& cache, instant now) const;
    void applyBoundedLoad(selection& chosen) const;
    bool keepTimely(selection& chosen, instant now) const;
    static no_route explainNone(const selection& chosen);
    route_choice makeChoice(const selection& chosen, const routing_candidate& candidate, route_reason reason) const;
    static exposure_key exposureKey(const route_request& request, const failure_domain_id& domain);
    bool mayUse(const route_request& request, const target_record& record) const;

    router_settings m_settings;
    target_table m_table;
    load_book m_load;
    prefix_index m_prefixes;
    health_monitor m_health;
    policy_set m_policies;
    std::vector<std::uint32_t> m_generations; // by slot; grows when another start of a target takes it
    std::map<routing_class_id, class_cache> m_caches;
    std::map<attempt_id, attempt_state> m_attempts;
    std::map<exposure_key, std::uint32_t> m_exposure; // positive counts alone
};

} // namespace lovagerail
