// The default routing policy and the baselines; see router_policy.h.
#include "router_policy.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace lovagerail {

namespace {

    struct policy_name {
        policy_kind kind;
        std::string_view name;
    };

    constexpr std::array<policy_name, 6> policyNames { {
        { policy_kind::ExpectedCost, "expected_cost" },
        { policy_kind::Random, "random" },
        { policy_kind::RoundRobin, "round_robin" },
        { policy_kind::LeastOutstanding, "least_outstanding" },
        { policy_kind::TwoChoices, "two_choices" },
        { policy_kind::PrefixAffinity, "prefix_affinity" },
    } };

    // The index of the best candidate. Ties are broken at random, so that instances
    // with the same knowledge don't all pick the first.
    template <typename Better>
    std::size_t pickBest(const std::vector<routing_candidate>& candidates, seeded_random& random, Better better)
    {
        std::size_t best = 0;
        std::size_t ties = 1;
        for (std::size_t i = 1; i < candidates.size(); ++i) {
            if (better(candidates[i], candidates[best])) {
                best = i;
                ties = 1;
                continue;
            }
            if (better(candidates[best], candidates[i]))
                continue;
            ++ties;
            if (random.below(ties) == 0)
                best = i;
        }
        return best;
    }

    bool fewerOutstanding(const routing_candidate& left, const routing_candidate& right)
    {
        return left.outstanding < right.outstanding;
    }

} // namespace

// SplitMix64: cheap, and any seed gives a good sequence.
std::uint64_t seeded_random::next()
{
    m_state += 0x9e3779b97f4a7c15u;
    std::uint64_t mixed = m_state;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9u;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebu;
    return mixed ^ (mixed >> 31);
}

std::string_view toString(policy_kind kind)
{
    for (const policy_name& entry : policyNames) {
        if (entry.kind == kind)
            return entry.name;
    }
    return "unknown";
}

std::optional<policy_kind> parsePolicy(std::string_view name)
{
    for (const policy_name& entry : policyNames) {
        if (entry.name == name)
            return entry.kind;
    }
    return std::nullopt;
}

std::vector<policy_kind> allPolicies()
{
    std::vector<policy_kind> kinds;
    kinds.reserve(policyNames.size());
    for (const policy_name& entry : policyNames)
        kinds.push_back(entry.kind);
    return kinds;
}

std::size_t random_policy::pick(const std::vector<routing_candidate>& candidates, seeded_random& random)
{
    return random.below(candidates.size());
}

std::size_t round_robin_policy::pick(const std::vector<routing_candidate>& candidates, seeded_random& /*random*/)
{
    return static_cast<std::size_t>(nextIndex++ % candidates.size());
}

std::size_t least_outstanding_policy::pick(const std::vector<routing_candidate>& candidates, seeded_random& random)
{
    return pickBest(candidates, random, fewerOutstanding);
}

std::size_t two_choices_policy::pick(const std::vector<routing_candidate>& candidates, seeded_random& random)
{
    const std::size_t first = random.below(candidates.size());
    const std::size_t second = random.below(candidates.size());
    return fewerOutstanding(candidates[second], candidates[first]) ? second : first;
}

std::size_t prefix_affinity_policy::pick(const std::vector<routing_candidate>& candidates, seeded_random& random)
{
    return pickBest(candidates, random, [](const routing_candidate& left, const routing_candidate& right) {
        return left.cached != right.cached ? left.cached > right.cached : fewerOutstanding(left, right);
    });
}

std::size_t expected_cost_policy::pick(const std::vector<routing_candidate>& candidates, seeded_random& random)
{
    return pickBest(candidates, random, [](const routing_candidate& left, const routing_candidate& right) {
        return left.cost < right.cost;
    });
}

std::size_t policy_set::pick(policy_kind kind, const std::vector<routing_candidate>& candidates, seeded_random& generator)
{
    static_assert(routing_policy<random_policy> && routing_policy<round_robin_policy> && routing_policy<least_outstanding_policy>);
    static_assert(routing_policy<two_choices_policy> && routing_policy<prefix_affinity_policy> && routing_policy<expected_cost_policy>);
    assert(!candidates.empty());
    switch (kind) {
    case policy_kind::ExpectedCost:
        return expectedCost.pick(candidates, generator);
    case policy_kind::Random:
        return random.pick(candidates, generator);
    case policy_kind::RoundRobin:
        return roundRobin.pick(candidates, generator);
    case policy_kind::LeastOutstanding:
        return leastOutstanding.pick(candidates, generator);
    case policy_kind::TwoChoices:
        return twoChoices.pick(candidates, generator);
    case policy_kind::PrefixAffinity:
        return prefixAffinity.pick(candidates, generator);
    }
    return 0;
}

} // namespace lovagerail
