// Gathering and scoring of the candidates of a decision; see router.h.
#include "router_selection.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>
#include <set>
#include <xxhash.h>

namespace lovagerail {

namespace {

    constexpr std::size_t ringKeyBlock = 15; // index of the prompt block hashed onto the ring: covers the first kilobyte
    constexpr std::size_t ringCandidates = 2; // successive ring points whose targets become candidates
    constexpr std::size_t maxPrefixCandidates = 4;
    constexpr std::size_t drawsPerSample = 4; // random draws per wanted sample; if none yields a candidate, the whole subset is scanned
    // Bounds the search for targets with an idle connection where most of them are of other classes.
    constexpr std::size_t maxConnectedExamined = 64;
    // A target whose attempts fail more often than this, or that has just started, gets no preference
    // for its idle connections: they would send it more requests than its health allows.
    constexpr double minConnectedWeight = 0.9;
    // The same for a target whose expected time exceeds the shortest by this factor, as the cost leaves
    // out the decoding time. Learned times of equal targets differ by less.
    constexpr double maxConnectedTime = 1.5;
    // With random arrivals, a service that gets this many requests on average in the time for which
    // it keeps a connection open gets none in 5% of such times.
    constexpr double requestsPerKeepTime = 3;
    constexpr std::size_t minFewServices = 2;

} // namespace

// Adds one target with its score, unless it is a candidate already or may not be used.
void router::addCandidate(selection& chosen, target_slot slot, instant now) const
{
    // Step 1. Check that the target may run the request.
    const route_request& request = chosen.request;
    const auto position = std::lower_bound(chosen.candidates.begin(), chosen.candidates.end(), slot,
        [](const routing_candidate& candidate, target_slot searched) { return candidate.slot < searched; });
    if (position != chosen.candidates.end() && position->slot == slot)
        return;
    if (!m_table.isAllowed(request.routingClass, slot))
        return;
    const target_record& record = m_table.record(slot);
    if (!request.software.empty() && record.listed.software() != request.software)
        return;
    if (std::binary_search(chosen.excluded.begin(), chosen.excluded.end(), slot)) {
        ++chosen.excludedCount;
        return;
    }
    if (!mayUseTarget(request, record)) {
        ++chosen.barredCheapCount;
        return;
    }
    if (chosen.avoidDomain && record.listed.failureDomain == request.avoidedDomain)
        return;
    const double weight = m_health.weight(slot, now);
    if (weight <= 0 && !chosen.ignoreHealth)
        return;
    if (!mayStart(slot, now)) {
        chosen.limited.push_back(slot);
        return;
    }

    // Step 2. Estimate the cost of running it there.
    routing_candidate candidate;
    candidate.slot = slot;
    for (const prefix_match& match : chosen.matches) {
        if (match.slot == slot)
            candidate.cached = std::min(request.promptTokens, token_count(static_cast<std::uint64_t>(match.expectedTokens)));
    }
    const load_estimate estimate = m_load.estimate(slot, { request.promptTokens - candidate.cached, request.expectedTokens }, now);
    const load_estimate uncached = m_load.estimate(slot, { request.promptTokens, request.expectedTokens }, now);
    candidate.outstanding = m_load.ownOutstanding(slot);
    candidate.load = estimate.requests;
    candidate.wait = estimate.wait;
    candidate.processingTime = estimate.processingTime;
    candidate.total = estimate.total;
    candidate.weight = weight > 0 ? weight : 1;
    const bool isLocal = record.listed.failureDomain == m_settings.failureDomain;
    candidate.network = isLocal ? duration {} : m_settings.crossDomainDelay;
    const duration credit = record.listed.supply == supply_kind::Cheap ? m_settings.cheapTargetBonus : duration {};
    candidate.cost = scale(estimate.wait + estimate.processingTime + scale(estimate.slowdown, m_settings.slowdownWeight), 1 / candidate.weight) + candidate.network - credit;
    candidate.costUncached = candidate.cost + scale(uncached.processingTime - estimate.processingTime, 1 / candidate.weight);
    chosen.candidates.insert(position, candidate);
}

void router::addAll(selection& chosen, const std::vector<target_slot>& slots, instant now) const
{
    chosen.excludedCount = 0;
    chosen.barredCheapCount = 0;
    for (const target_slot slot : slots)
        addCandidate(chosen, slot, now);
}

// Adds random targets of the subset, so that instances with the same stale load reports
// don't all send to the same target.
void router::addSamples(selection& chosen, const class_cache& cache, seeded_random& random, instant now) const
{
    if (cache.subset.empty())
        return;
    const bool isService = m_table.record(cache.subset.front()).listed.kind == target_kind::Service;
    const std::size_t randomCandidates = isService ? m_settings.serviceRandomCandidates : m_settings.randomCandidates;
    const std::size_t few = isService ? fewServices(chosen.request.routingClass, cache, now) : cache.subset.size();
    if (few < cache.subset.size()) {
        addRandom(chosen, std::span(cache.ranked).first(few), randomCandidates, random, now);
        const bool anyUsable = std::any_of(chosen.candidates.begin(), chosen.candidates.end(), [this](const routing_candidate& candidate) {
            return candidate.weight >= minConnectedWeight && !isFull(candidate.slot, candidate.load);
        });
        if (anyUsable)
            return;
    }
    addRandom(chosen, cache.subset, randomCandidates, random, now);
}

// Draws until there are as many candidates as wanted.
void router::addRandom(selection& chosen, std::span<const target_slot> slots, std::size_t wanted, seeded_random& random, instant now) const
{
    const std::size_t sampleCount = std::min(wanted, slots.size());
    for (std::size_t draw = 0; draw < sampleCount * drawsPerSample; ++draw) {
        addCandidate(chosen, slots[random.below(slots.size())], now);
        if (chosen.candidates.size() >= sampleCount)
            return;
    }
}

double router::recentlySent(const routing_class_id& name, instant now) const
{
    const auto found = m_sentCounts.find(name);
    if (found == m_sentCounts.end())
        return 0;
    const double age = std::chrono::duration<double>(now - found->second.at) / m_settings.serviceKeepTime;
    return found->second.requests * std::exp(-std::max(0.0, age));
}

// How many services of the class, by rank, this instance samples from: so few that each gets
// several requests in the time for which it keeps a connection open, but more than requests are
// in flight, and at least two, so that there is a choice.
std::size_t router::fewServices(const routing_class_id& name, const class_cache& cache, instant now) const
{
    if (m_settings.connectionCost <= duration {})
        return cache.subset.size();
    std::size_t outstanding = 0;
    for (const target_slot slot : cache.subset)
        outstanding += m_load.ownOutstanding(slot);
    const auto byRate = static_cast<std::size_t>(recentlySent(name, now) / requestsPerKeepTime);
    return std::min(cache.subset.size(), std::max({ minFewServices, byRate, outstanding + 1 }));
}

// Adds the targets with the longest cached prefixes, and those that the consistent-hash
// ring assigns to the prompt's first kilobyte; all instances compute the latter alike
// without communicating.
void router::addPrefixTargets(selection& chosen, const class_cache& cache, instant now) const
{
    const std::vector<block_hash>& blocks = chosen.request.promptBlocks;
    if (blocks.empty() || cache.ring.empty())
        return;
    for (std::size_t i = 0; i < std::min(chosen.matches.size(), maxPrefixCandidates); ++i)
        addCandidate(chosen, chosen.matches[i].slot, now);
    const block_hash key = blocks[std::min(ringKeyBlock, blocks.size() - 1)];
    auto it = std::lower_bound(cache.ring.begin(), cache.ring.end(), std::pair(key.value(), target_slot()));
    for (std::size_t i = 0; i < ringCandidates; ++i, ++it) {
        if (it == cache.ring.end())
            it = cache.ring.begin();
        addCandidate(chosen, it->second, now);
    }
}

// Attempts that were started and have no connection yet will take an idle one each.
std::size_t router::spareConnections(target_slot slot, instant now) const
{
    const std::size_t idle = m_connections.idle(slot, now);
    const std::size_t outstanding = m_load.ownOutstanding(slot);
    const std::size_t connected = m_connections.inUse(slot);
    const std::size_t waiting = outstanding > connected ? outstanding - connected : 0;
    return idle > waiting ? idle - waiting : 0;
}

// By its stated slots, or by the limit learned from its reports.
bool router::isFull(target_slot slot, double requests) const
{
    const listed_target& listed = m_table.record(slot).listed;
    const auto stated = labelNumber(listed.labels, "slots");
    const target_speed& speed = m_load.speed(slot);
    const double learned = listed.kind == target_kind::Engine ? speed.batchLimit : speed.serviceWorkers;
    return requests >= (stated > 0 ? stated : learned);
}

// Adds targets to which a request needs no new connection: those of this instance's subset, as
// the subsets of other instances differ, and if there are none, others from a random one on.
void router::addConnectedTargets(selection& chosen, const class_cache& cache, seeded_random& random, instant now) const
{
    const std::set<target_slot>& slots = m_connections.slotsWithIdle();
    if (m_settings.connectionCost <= duration {} || slots.empty() || cache.subset.empty())
        return;
    // An instance with a high rate to services has connections to all of them. If all were candidates,
    // all instances would send to the one with the least reported load, and it would refuse many.
    const bool isService = m_table.record(cache.subset.front()).listed.kind == target_kind::Service;
    if (isService && fewServices(chosen.request.routingClass, cache, now) >= cache.subset.size())
        return;
    const std::size_t wanted = chosen.candidates.size() + m_settings.connectedCandidates;
    bool anyInSubset = false;
    for (std::size_t i = 0; i < std::min(cache.ranked.size(), maxConnectedExamined) && chosen.candidates.size() < wanted; ++i) {
        if (!slots.contains(cache.ranked[i]) || spareConnections(cache.ranked[i], now) == 0)
            continue;
        addCandidate(chosen, cache.ranked[i], now);
        anyInSubset = anyInSubset || std::any_of(chosen.candidates.begin(), chosen.candidates.end(), [&](const routing_candidate& candidate) { return candidate.slot == cache.ranked[i]; });
    }
    if (anyInSubset)
        return;
    auto next = std::next(slots.begin(), static_cast<std::ptrdiff_t>(random.below(slots.size())));
    for (std::size_t i = 0; i < std::min(slots.size(), maxConnectedExamined) && chosen.candidates.size() < wanted; ++i, ++next) {
        if (next == slots.end())
            next = slots.begin();
        if (spareConnections(*next, now) > 0)
            addCandidate(chosen, *next, now);
    }
}

// Adds the cost of a connection to candidates that need a new one, and to those that must not
// be preferred for an idle one.
void router::applyConnectionCost(selection& chosen, instant now) const
{
    if (m_settings.connectionCost <= duration {})
        return;
    duration shortest = duration::max();
    for (const routing_candidate& candidate : chosen.candidates)
        shortest = std::min(shortest, candidate.total);
    for (routing_candidate& candidate : chosen.candidates) {
        const bool isSlow = candidate.total > scale(shortest, maxConnectedTime);
        const bool isPreferred = !isSlow && candidate.weight >= minConnectedWeight && !isFull(candidate.slot, candidate.load) && spareConnections(candidate.slot, now) > 0;
        if (isPreferred)
            continue;
        candidate.cost += m_settings.connectionCost;
        candidate.costUncached += m_settings.connectionCost;
    }
}

// Consistent hashing with bounded loads: a candidate far above the mean load loses its
// prefix bonus, as many instances may prefer it at once before reports show their requests.
void router::applyBoundedLoad(selection& chosen) const
{
    if (chosen.candidates.size() < 2)
        return;
    double sum = 0;
    for (const routing_candidate& candidate : chosen.candidates)
        sum += candidate.load;
    const double bound = m_settings.loadSlack + m_settings.maxLoadFactor * sum / static_cast<double>(chosen.candidates.size());
    for (routing_candidate& candidate : chosen.candidates) {
        if (candidate.load > bound)
            candidate.cost = candidate.costUncached;
    }
}

} // namespace lovagerail
