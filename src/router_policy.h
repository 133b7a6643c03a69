// Load-balancing policies that pick one of a request's candidates, selectable by name.
//
// The default policy minimises expected queueing time, uncached prefill and network
// delay; the others are baselines for comparing it with. A policy only ranks candidates:
// which targets are candidates is decided before, in the same way for all policies.
#pragma once

#include "target_table.h"
#include "types.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace lovagerail {

// One target that may run the request, with the estimates that policies compare.
struct routing_candidate {
    target_slot slot;
    std::uint32_t outstanding = 0; // attempts of this instance in flight there
    double load = 0; // `outstanding` plus the load by other instances as reported
    duration wait {}; // expected time in the target's queue
    duration processingTime {}; // expected time of prefilling uncached tokens, or a plain service's processing time
    duration total {}; // expected time until the whole response
    duration network {}; // expected network delay
    token_count cached; // prompt tokens expected in the target's prefix cache
    double weight = 1; // health, above 0
    duration cost {}; // score of the expected-cost policy
    duration costUncached {}; // the same as if no token were cached
};

// A pseudo-random generator that gives the same numbers on every machine for one seed.
class seeded_random {
public:
    explicit seeded_random(std::uint64_t seed)
        : m_state(seed)
    {
    }

    std::uint64_t next();
    // A number in [0, bound); bound must be above zero.
    std::size_t below(std::size_t bound) { return static_cast<std::size_t>(next() % bound); }

private:
    std::uint64_t m_state;
};

enum class policy_kind { ExpectedCost, // the default
    Random,
    RoundRobin,
    LeastOutstanding,
    TwoChoices,
    PrefixAffinity };

std::string_view toString(policy_kind kind);
std::optional<policy_kind> parsePolicy(std::string_view name);
std::vector<policy_kind> allPolicies();

// A policy returns an index into a non-empty list of candidates, which is sorted by slot.
template <typename T>
concept routing_policy = requires(T policy, const std::vector<routing_candidate>& candidates, seeded_random& random)
{
    {
        policy.pick(candidates, random)
        } -> std::same_as<std::size_t>;
};

struct random_policy {
    static std::size_t pick(const std::vector<routing_candidate>& candidates, seeded_random& random);
};

struct round_robin_policy {
    std::size_t pick(const std::vector<routing_candidate>& candidates, seeded_random& random);
    std::uint64_t nextIndex = 0;
};

struct least_outstanding_policy {
    static std::size_t pick(const std::vector<routing_candidate>& candidates, seeded_random& random);
};

struct two_choices_policy {
    static std::size_t pick(const std::vector<routing_candidate>& candidates, seeded_random& random);
};

// The most cached tokens; ties go to the fewest outstanding attempts.
struct prefix_affinity_policy {
    static std::size_t pick(const std::vector<routing_candidate>& candidates, seeded_random& random);
};

// The least cost; ties are broken at random, so that instances don't all pick the same target.
struct expected_cost_policy {
    static std::size_t pick(const std::vector<routing_candidate>& candidates, seeded_random& random);
};

// An object of each policy, so that the policy can be switched at run time.
struct policy_set {
    random_policy random;
    round_robin_policy roundRobin;
    least_outstanding_policy leastOutstanding;
    two_choices_policy twoChoices;
    prefix_affinity_policy prefixAffinity;
    expected_cost_policy expectedCost;

    std::size_t pick(policy_kind kind, const std::vector<routing_candidate>& candidates, seeded_random& random);
};

} // namespace lovagerail
