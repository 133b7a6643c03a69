// What is known of targets, and the choice among candidates; see router.h.
#include "router.h"
#include "router_selection.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>
#include <set>
#include <xxhash.h>

namespace lovagerail {

namespace {

    constexpr std::size_t ringPoints = 512; // of a class with fewer targets; a larger class has one per target
    constexpr std::size_t maxPointsPerTarget = 64;
    constexpr std::size_t smallClassTargets = 256; // targets; up to this size caches are rebuilt at each change of the class
    constexpr duration cacheLifetime = std::chrono::seconds(1); // of the caches of a larger class
    constexpr duration minRetryAfter = std::chrono::milliseconds(100);
    constexpr duration noTargetRetryAfter = std::chrono::seconds(1);

    std::uint64_t hashName(std::string_view name, std::uint64_t seed)
    {
        return XXH64(name.data(), name.size(), seed);
    }

} // namespace

std::string_view toString(route_reason reason)
{
    switch (reason) {
    case route_reason::LeastCost:
        return "least_cost";
    case route_reason::PrefixReuse:
        return "prefix_reuse";
    case route_reason::Probe:
        return "probe";
    case route_reason::OnlyCandidate:
        return "only_candidate";
    case route_reason::AllEjected:
        return "all_ejected";
    case route_reason::Baseline:
        return "baseline";
    }
    return "unknown";
}

std::string_view toString(no_route_reason reason)
{
    switch (reason) {
    case no_route_reason::UnknownClass:
        return "unknown_class";
    case no_route_reason::NoLiveTarget:
        return "no_live_target";
    case no_route_reason::AllExcluded:
        return "all_excluded";
    case no_route_reason::RateLimited:
        return "rate_limited";
    case no_route_reason::CheapOnly:
        return "cheap_only";
    case no_route_reason::CannotMeetDeadline:
        return "cannot_meet_deadline";
    }
    return "unknown";
}

router::router(router_settings settings)
    : m_settings(std::move(settings))
    , m_table(m_settings.table)
    , m_load(m_settings.load)
    , m_prefixes(m_settings.prefixes)
    , m_health(m_settings.health)
    , m_coldLimits(coldLimitSettings())
{
}

void router::applyList(const std::vector<listed_target>& rows, instant now)
{
    for (const slot_change& change : m_table.applyList(rows, now))
        applyChange(change, now);
}

void router::applyRow(const listed_target& row, instant now)
{
    applyChange(m_table.applyRow(row, now), now);
}

// A report of another incarnation must not enter the load estimate of the current one.
void router::applyReport(const load_report& report, instant now)
{
    applyChange(m_table.applyReport(report.target, report.incarnation, report.version, report.model, now), now);
    const auto slot = m_table.find(report.target);
    if (!slot || m_table.record(*slot).listed.incarnation != report.incarnation)
        return;
    m_load.applyReport(*slot, report, now);
    m_health.onLoadReport(*slot, report.measuredAt, now);
}

void router::applyCacheEvent(const target_id& target, const cache_event& event, instant now)
{
    const auto slot = m_table.find(target);
    if (slot)
        m_prefixes.apply(*slot, event, now);
}

void router::advanceState(const target_id& target, incarnation seen, target_state state, instant now)
{
    applyChange(m_table.advanceState(target, seen, state, now), now);
}

limit_change router::applyLimit(const target_id& target, incarnation seen, std::optional<double> perSecond, instant sentAt, instant now)
{
    const auto slot = m_table.find(target);
    if (!slot || m_table.record(*slot).listed.incarnation != seen)
        return limit_change::None;
    return m_limits.observe(*slot, perSecond, sentAt, now);
}

bool router::setColdLimit(const target_id& target, std::optional<double> perSecond, instant now)
{
    const auto slot = m_table.find(target);
    if (!slot || m_coldLimits.limitOf(*slot) == perSecond)
        return false;
    m_coldLimits.observe(*slot, perSecond, now, now);
    return true;
}

void router::sentBeside(const target_id& target, instant now)
{
    const auto slot = m_table.find(target);
    if (!slot)
        return;
    m_limits.started(*slot, now);
    m_coldLimits.started(*slot, now);
}

void router::setLabels(const target_id& target, label_map labels)
{
    m_table.setLabels(target, std::move(labels));
}

void router::setClass(const routing_class_id& name, target_predicate predicate)
{
    m_table.setClass(name, std::move(predicate));
}

void router::removeClass(const routing_class_id& name)
{
    m_table.removeClass(name);
    m_caches.erase(name);
    m_sentCounts.erase(name);
}

void router::tick(instant now)
{
    for (const slot_change& change : m_table.expire(now))
        applyChange(change, now);
    m_connections.tick(now);
}

// Keeps the state per slot consistent with the table: a new incarnation of a target
// starts without load, prefix cache and health record.
void router::applyChange(const slot_change& change, instant now)
{
    if (change.change == target_change::None)
        return;
    if (change.change != target_change::Updated) {
        ++generation(change.slot);
        m_health.onTargetRemoved(change.slot);
        m_prefixes.clear(change.slot);
        m_limits.reset(change.slot);
        m_coldLimits.reset(change.slot);
        m_connections.reset(change.slot);
        m_load.reset(change.slot, m_table.record(change.slot).listed.kind);
    }
    const listed_target& listed = m_table.record(change.slot).listed;
    if (m_table.isLive(change.slot))
        m_health.started(change.slot, listed.pool, listed.failureDomain, now);
    else
        m_health.onTargetRemoved(change.slot);
}

std::uint32_t& router::generation(target_slot slot)
{
    if (slot.value() >= m_generations.size())
        m_generations.resize(slot.value() + 1);
    return m_generations[slot.value()];
}

route_decision router::choose(const route_request& request, instant now)
{
    // Step 1. Refuse at once if the class is unknown or has no live target.
    if (!m_table.hasClass(request.routingClass))
        return no_route { no_route_reason::UnknownClass, noTargetRetryAfter };
    const std::vector<target_slot>& allowed = m_table.allowed(request.routingClass);
    if (allowed.empty())
        return no_route { no_route_reason::NoLiveTarget, noTargetRetryAfter };

    // Step 2. Choose a target; where a limit was in the way, an allowance is to be asked for.
    // A healthy target in the domain to avoid is better than an unhealthy one elsewhere.
    seeded_random random(request.seed);
    if (!request.avoidedDomain.empty()) {
        selection elsewhere { request, {}, {}, false, true, {}, 0, 0, {} };
        auto decision = chooseFrom(elsewhere, random, now);
        const auto* choice = std::get_if<route_choice>(&decision);
        if (choice != nullptr && choice->reason != route_reason::AllEjected)
            return decision;
    }
    selection chosen { request, {}, {}, false, false, {}, 0, 0, {} };
    auto decision = chooseFrom(chosen, random, now);
    for (const auto slot : chosen.limited) {
        if (!m_limits.mayStart(slot, now))
            m_limits.want(slot);
        if (!m_coldLimits.mayStart(slot, now))
            m_coldLimits.want(slot);
    }
    return decision;
}

route_decision router::chooseFrom(selection& chosen, seeded_random& random, instant now)
{
    // Step 1. Gather a bounded number of candidates; widen the search only while there is none.
    const route_request& request = chosen.request;
    const std::vector<target_slot>& allowed = m_table.allowed(request.routingClass);
    const class_cache& cache = cacheOf(request.routingClass, now);
    for (const target_id& id : request.excluded) {
        if (const auto slot = m_table.find(id))
            chosen.excluded.push_back(*slot);
    }
    std::sort(chosen.excluded.begin(), chosen.excluded.end());
    if (!request.promptBlocks.empty())
        chosen.matches = m_prefixes.match(request.promptBlocks, now);
    const bool isDefault = m_settings.policy == policy_kind::ExpectedCost;
    if (isDefault) {
        addSamples(chosen, cache, random, now);
        addPrefixTargets(chosen, cache, now);
        addConnectedTargets(chosen, cache, random, now);
        applyBoundedLoad(chosen);
    }
    if (chosen.candidates.empty())
        addAll(chosen, cache.subset, now);
    if (chosen.candidates.empty())
        addAll(chosen, allowed, now);
    if (chosen.candidates.empty()) {
        chosen.ignoreHealth = true;
        addAll(chosen, allowed, now);
    }
    if (chosen.candidates.empty())
        return noRouteFor(chosen);

    // Step 2. Drop candidates that can't meet the deadline; before refusing, try the whole class.
    if (!keepFeasible(chosen, now)) {
        addAll(chosen, allowed, now);
        if (!keepFeasible(chosen, now))
            return noRouteFor(chosen);
    }

    // Step 3. Probe a half-open target with a request that may be retried if the probe fails.
    if (request.idempotent && !chosen.ignoreHealth) {
        for (const routing_candidate& candidate : chosen.candidates) {
            if (m_health.state(candidate.slot, now) == health_state::HalfOpen)
                return makeChoice(chosen, candidate, route_reason::Probe);
        }
    }

    // Step 4. Let the policy pick.
    applyConnectionCost(chosen, now);
    const std::size_t index = m_policies.pick(m_settings.policy, chosen.candidates, random);
    const routing_candidate& picked = chosen.candidates[index];
    if (chosen.ignoreHealth)
        return makeChoice(chosen, picked, route_reason::AllEjected);
    if (!isDefault)
        return makeChoice(chosen, picked, route_reason::Baseline);
    if (chosen.candidates.size() == 1)
        return makeChoice(chosen, picked, route_reason::OnlyCandidate);
    const bool cheapestWithoutCache = std::all_of(chosen.candidates.begin(), chosen.candidates.end(), [&](const routing_candidate& other) {
        return picked.costUncached <= other.costUncached;
    });
    return makeChoice(chosen, picked, cheapestWithoutCache ? route_reason::LeastCost : route_reason::PrefixReuse);
}

bool router::hasLive(const routing_class_id& name, const target_software& software) const
{
    const auto& allowed = m_table.allowed(name);
    return std::any_of(allowed.begin(), allowed.end(), [&](target_slot slot) { return m_table.record(slot).listed.software() == software; });
}

void router::started(attempt_id attempt, const route_choice& choice, const route_request& request, instant now)
{
    if (m_attempts.contains(attempt))
        return;
    attempt_state state;
    state.slot = choice.slot;
    state.generation = generation(choice.slot);
    state.sentAt = now;
    state.firstTokenAt = now;
    state.expectedCached = choice.cachedTokens;
    state.hasPrompt = !request.promptBlocks.empty();
    if (choice.supply == supply_kind::Cheap) {
        state.exposure = exposureKey(request, choice.failureDomain);
        ++m_exposure[*state.exposure];
    }
    m_attempts.emplace(attempt, std::move(state));
    const token_count cached = std::min(choice.cachedTokens, request.promptTokens);
    m_load.recordSent(attempt, choice.slot, { request.promptTokens - cached, request.expectedTokens }, now);
    m_health.recordSent(choice.slot, now);
    m_limits.started(choice.slot, now);
    m_coldLimits.started(choice.slot, now);
    if (choice.kind == target_kind::Service && m_settings.connectionCost > duration {})
        m_sentCounts[request.routingClass] = { recentlySent(request.routingClass, now) + 1, now };
    if (choice.kind == target_kind::Engine)
        m_prefixes.recordSent(choice.slot, request.promptBlocks, now);
}

void router::firstToken(attempt_id attempt, instant now)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end())
        return;
    if (it->second.firstTokenAt == it->second.sentAt)
        it->second.firstTokenAt = now;
    if (it->second.generation == generation(it->second.slot))
        m_health.onFirstToken(it->second.slot);
    m_load.firstToken(attempt, now);
}

// The end of an attempt at an earlier incarnation says nothing about the current one.
void router::ended(attempt_id attempt, const attempt_end& end, instant now)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end())
        return;
    const attempt_state state = it->second;
    m_attempts.erase(it);
    m_load.finished(attempt, end.outcome == attempt_outcome::Success, end.generated, now);
    if (state.exposure) {
        const auto count = m_exposure.find(*state.exposure);
        assert(count != m_exposure.end() && count->second > 0);
        if (--count->second == 0)
            m_exposure.erase(count);
    }
    if (state.generation != generation(state.slot))
        return;
    const auto units = std::max<std::uint64_t>(1, end.generated.count());
    m_health.ended(state.slot, end.outcome, (now - state.firstTokenAt) / static_cast<std::int64_t>(units), now);
    if (end.cachedTokens && state.hasPrompt)
        m_prefixes.recordCachedTokens(state.slot, state.expectedCached, *end.cachedTokens);
}

std::uint32_t router::cheapExposure(const route_request& request, const failure_domain_id& domain) const
{
    const auto it = m_exposure.find(exposureKey(request, domain));
    return it == m_exposure.end() ? 0 : it->second;
}

// The caches of a large class are rebuilt at most once per cacheLifetime. They may be
// stale: addCandidate() checks each target against the class itself.
const router::class_cache& router::cacheOf(const routing_class_id& name, instant now)
{
    class_cache& cache = m_caches[name];
    const std::uint64_t version = m_table.allowedVersion(name);
    const std::vector<target_slot>& allowed = m_table.allowed(name);
    if (cache.version == version)
        return cache;
    const bool isSmall = allowed.size() <= smallClassTargets;
    if (cache.version != 0 && !isSmall && now - cache.builtAt < cacheLifetime)
        return cache;
    cache.version = version;
    cache.builtAt = now;
    cache.subset = chooseSubset(allowed);
    cache.ranked = rankSubset(cache.subset);
    cache.ring = buildRing(allowed);
    return cache;
}

// Chooses this instance's subset by rendezvous hashing within each failure domain, taking
// the domains in turn, so that the subset spreads over all domains and changes little
// when the class does.
std::vector<target_slot> router::chooseSubset(const std::vector<target_slot>& allowed) const
{
    if (allowed.size() <= m_settings.subsetSize)
        return allowed;
    std::map<failure_domain_id, std::vector<std::pair<std::uint64_t, target_slot>>> byDomain;
    const std::uint64_t seed = hashName(m_settings.instance, 0);
    for (const target_slot slot : allowed) {
        const listed_target& listed = m_table.record(slot).listed;
        byDomain[listed.failureDomain].emplace_back(hashName(listed.id.str(), seed), slot);
    }
    for (auto& [domain, ranked] : byDomain) {
        const std::size_t sortedCount = std::min(ranked.size(), m_settings.subsetSize);
        std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(sortedCount), ranked.end());
    }
    std::vector<target_slot> subset;
    for (std::size_t rank = 0; subset.size() < m_settings.subsetSize; ++rank) {
        for (const auto& [domain, ranked] : byDomain) {
            if (rank < ranked.size() && subset.size() < m_settings.subsetSize)
                subset.push_back(ranked[rank].second);
        }
    }
    std::sort(subset.begin(), subset.end());
    return subset;
}

// Orders a subset so that the first n of it spread over as many failure domains as possible,
// from this instance's own one on, and differ between instances by rendezvous hashing.
std::vector<target_slot> router::rankSubset(const std::vector<target_slot>& subset) const
{
    const std::uint64_t seed = hashName(m_settings.instance, 0);
    std::vector<std::pair<std::uint64_t, target_slot>> hashed;
    hashed.reserve(subset.size());
    for (const target_slot slot : subset)
        hashed.emplace_back(hashName(m_table.record(slot).listed.id.str(), seed), slot);
    std::sort(hashed.begin(), hashed.end());
    std::map<failure_domain_id, std::size_t> inDomain;
    std::vector<std::tuple<std::size_t, bool, std::uint64_t, target_slot>> ranked; // rank within the domain, in another domain, hash
    for (const auto& [hash, slot] : hashed) {
        const failure_domain_id& domain = m_table.record(slot).listed.failureDomain;
        ranked.emplace_back(inDomain[domain]++, domain != m_settings.failureDomain, hash, slot);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<target_slot> out;
    out.reserve(ranked.size());
    for (const auto& entry : ranked)
        out.push_back(std::get<target_slot>(entry));
    return out;
}

std::vector<std::pair<std::uint64_t, target_slot>> router::buildRing(const std::vector<target_slot>& allowed) const
{
    std::vector<std::pair<std::uint64_t, target_slot>> ring;
    if (allowed.empty())
        return ring;
    const std::size_t points = std::clamp<std::size_t>(ringPoints / allowed.size(), 1, maxPointsPerTarget);
    for (const target_slot slot : allowed) {
        for (std::size_t point = 0; point < points; ++point)
            ring.emplace_back(hashName(m_table.record(slot).listed.id.str(), point), slot);
    }
    std::sort(ring.begin(), ring.end());
    return ring;
}

// Keeps the candidates that are expected to meet the deadline; returns false and changes
// nothing if there is none.
bool router::keepFeasible(selection& chosen, instant now) const
{
    if (!chosen.request.deadline)
        return true;
    const duration timeLeft = *chosen.request.deadline - now;
    const auto isLate = [&](const routing_candidate& candidate) {
        return timeLeft <= duration {} || scale(candidate.total, m_settings.deadlineMargin) > timeLeft;
    };
    if (std::all_of(chosen.candidates.begin(), chosen.candidates.end(), isLate))
        return false;
    chosen.candidates.erase(std::remove_if(chosen.candidates.begin(), chosen.candidates.end(), isLate), chosen.candidates.end());
    return true;
}

// Returns why no target was chosen, and when a retry makes sense.
no_route router::noRouteFor(const selection& chosen) const
{
    if (!chosen.candidates.empty()) {
        duration shortestWait = duration::max();
        for (const routing_candidate& candidate : chosen.candidates)
            shortestWait = std::min(shortestWait, candidate.wait);
        return { no_route_reason::CannotMeetDeadline, std::max(shortestWait, minRetryAfter) };
    }
    if (!chosen.limited.empty()) {
        double perSecond = 0;
        for (const target_slot slot : std::set<target_slot>(chosen.limited.begin(), chosen.limited.end()))
            perSecond += shareOfLimits(slot);
        return { no_route_reason::RateLimited, std::chrono::duration_cast<duration>(std::chrono::duration<double>(1 / perSecond)) };
    }
    if (chosen.barredCheapCount > 0)
        return { no_route_reason::CheapOnly, noTargetRetryAfter };
    if (chosen.excludedCount > 0)
        return { no_route_reason::AllExcluded, noTargetRetryAfter };
    return { no_route_reason::NoLiveTarget, noTargetRetryAfter };
}

// What this instance may send to a target that has one limit or both, per second.
double router::shareOfLimits(target_slot slot) const
{
    double out = std::numeric_limits<double>::infinity();
    for (const auto* limits : { &m_limits, &m_coldLimits }) {
        if (limits->limitOf(slot))
            out = std::min(out, limits->shareOf(slot));
    }
    return out;
}

route_choice router::makeChoice(const selection& chosen, const routing_candidate& candidate, route_reason reason) const
{
    assert(m_table.isAllowed(chosen.request.routingClass, candidate.slot));
    const target_record& record = m_table.record(candidate.slot);
    route_choice choice;
    choice.slot = candidate.slot;
    choice.target = record.listed.id;
    choice.address = record.listed.address;
    choice.incarnation = record.listed.incarnation;
    choice.kind = record.listed.kind;
    choice.supply = record.listed.supply;
    choice.failureDomain = record.listed.failureDomain;
    choice.software = record.listed.software();
    choice.reason = reason;
    choice.score = { candidate.wait, candidate.processingTime, candidate.network, candidate.weight, candidate.cost };
    choice.cachedTokens = candidate.cached;
    return choice;
}

router::exposure_key router::exposureKey(const route_request& request, const failure_domain_id& domain)
{
    const bool isRun = !request.run.empty();
    return { isRun, isRun ? request.run.str() : request.account.str(), domain };
}

// Cheap targets may be taken away within seconds, a whole failure domain at once: only
// requests that can be retried, resumed elsewhere or returned as "not run" may use them,
// and only a bounded number of each account or run.
bool router::mayUseTarget(const route_request& request, const target_record& record) const
{
    if (record.listed.supply == supply_kind::Firm)
        return true;
    if (!request.idempotent && !request.resumable && !request.returnable)
        return false;
    return cheapExposure(request, record.listed.failureDomain) < m_settings.cheapExposure;
}

} // namespace lovagerail
