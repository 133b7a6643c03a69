// The policies that pick one of a request's candidates, selectable by name.
//
// The default weighs expected wait, unsaved prefill and network delay; the others
// are baselines that it's measured against. A policy sees candidates alone: who
// may be a candidate at all is decided before, the same for all policies.
#pragma once

#include "target_table.h"
#include "types.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace lovagerail {

// One target that may run the request, with what the policies weigh.
struct routing_candidate {
    target_slot slot;
    std::uint32_t outstanding = 0; // our own attempts in flight there
    double load = 0; // outstanding and what reports show of others
    duration wait {};
    duration own {}; // prefill of the tokens that aren't cached, or the service's time
    duration total {}; // until the whole answer
    duration network {};
    token_count cached; // expected
    double weight = 1; // health, above 0
    duration cost {}; // the default's score
    duration costUncached {}; // the same if nothing were cached
};

// Random numbers from one seed; equal on every machine.
class seeded_random {
public:
    explicit seeded_random(std::uint64_t seed)
        : m_state(seed)
    {
    }

    std::uint64_t next();
    // A number below bound, which is above zero.
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

// A policy picks an index of a non-empty list of candidates, sorted by slot.
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
    std::uint64_t turn = 0;
};

struct least_outstanding_policy {
    static std::size_t pick(const std::vector<routing_candidate>& candidates, seeded_random& random);
};

struct two_choices_policy {
    static std::size_t pick(const std::vector<routing_candidate>& candidates, seeded_random& random);
};

// The most cached tokens; ties by fewest outstanding.
struct prefix_affinity_policy {
    static std::size_t pick(const std::vector<routing_candidate>& candidates, seeded_random& random);
};

// The least cost; ties are broken at random, so that instances don't agree on one.
struct expected_cost_policy {
    static std::size_t pick(const std::vector<routing_candidate>& candidates, seeded_random& random);
};

// One of each policy, so that the kind can be changed while traffic runs.
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
