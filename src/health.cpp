// Outlier detection, ejection and readmission of targets; see health.h.
#include "health.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace lovagerail {

namespace {

    constexpr std::uint32_t latencyCheckInterval = 16; // samples between checks, since the median costs O(members)
    constexpr std::size_t minPoolForLatency = 3; // members; a median of fewer is no basis for comparison
    constexpr std::uint32_t maxDoublings = 16; // of the back-off

    double toSeconds(duration span)
    {
        return std::chrono::duration<double>(span).count();
    }

    bool isFailure(attempt_outcome outcome)
    {
        return outcome != attempt_outcome::Success && outcome != attempt_outcome::Refused;
    }

} // namespace

health_monitor::health_monitor(health_settings settings)
    : m_settings(settings)
{
}

void health_monitor::started(target_slot slot, const pool_id& pool, const failure_domain_id& domain, instant now)
{
    slot_health& health = at(slot);
    if (health.used && health.pool == pool)
        return;
    onTargetRemoved(slot);
    health.used = true;
    health.pool = pool;
    health.domain = domain;
    health.slowStartBegin = now;
    auto& members = m_pools[pool].members;
    members.insert(std::lower_bound(members.begin(), members.end(), slot), slot);
}

// After a member is removed, the pool's share of ejected members may be above the
// limit for new ejections. They stay ejected until their probes succeed, but if no
// member would be left, the first is readmitted at once.
void health_monitor::onTargetRemoved(target_slot slot)
{
    slot_health& health = at(slot);
    if (!health.used)
        return;
    const auto it = m_pools.find(health.pool);
    assert(it != m_pools.end());
    pool_health& pool = it->second;
    if (health.ejected)
        --pool.ejected;
    pool.members.erase(std::lower_bound(pool.members.begin(), pool.members.end(), slot));
    health = {};
    if (pool.members.empty()) {
        m_pools.erase(it);
        return;
    }
    if (pool.ejected < pool.members.size())
        return;
    slot_health& readmitted = at(pool.members.front());
    readmit(readmitted, readmitted.slowStartBegin);
}

// Reports may come late and out of order: arrival times tell whether the target
// went silent, measurement times whether a report is newer than the ejection.
void health_monitor::onLoadReport(target_slot slot, instant measuredAt, instant now)
{
    slot_health& health = at(slot);
    if (!health.used)
        return;
    if (health.lastReportAt != instant {}) {
        const double gap = toSeconds(now - health.lastReportAt);
        health.reportIntervalSeconds += (health.sendsReports ? m_settings.learningRate : 1) * (gap - health.reportIntervalSeconds);
        health.sendsReports = true;
    }
    health.lastReportAt = now;
    health.measuredAt = std::max(health.measuredAt, measuredAt);
}

void health_monitor::onFirstToken(target_slot slot)
{
    if (const slot_health* health = find(slot))
        m_domains.erase(health->domain);
}

void health_monitor::recordSent(target_slot slot, instant now)
{
    slot_health& health = at(slot);
    if (!mayProbe(health, now))
        return;
    health.probing = true;
    health.probeSent = now;
}

void health_monitor::ended(target_slot slot, attempt_outcome outcome, duration latency, instant now)
{
    slot_health& health = at(slot);
    if (!health.used)
        return;

    // Step 1. A refusal is an answer too: it shows that the failure domain is reachable.
    recordDomainOutcome(slot, isFailure(outcome), now);

    // Step 2. While ejected only the probe's outcome counts: other attempts were sent before the ejection.
    if (health.ejected) {
        if (!health.probing)
            return;
        if (isFailure(outcome))
            eject(health, now);
        else
            readmit(health, now);
        return;
    }

    // Step 3. Record the outcome, and eject an outlier if the pool's ejection limit allows it.
    recordOutcome(health, outcome, latency, now);
    if (isOutlier(health) && mayEject(health.pool))
        eject(health, now);
}

// Recent failures lower the weight, since a failing target isn't always ejected.
// Refusals do too, since a target that refuses all requests looks idle and would
// attract more.
double health_monitor::weight(target_slot slot, instant now) const
{
    const slot_health* health = find(slot);
    if (!health)
        return 1;
    if (health->ejected)
        return mayProbe(*health, now) ? m_settings.minWeight : 0;
    const double lowest = m_settings.minWeight;
    const double elapsed = std::clamp(toSeconds(now - health->slowStartBegin) / toSeconds(m_settings.slowStart), 0.0, 1.0);
    const double decay = std::exp2(-toSeconds(now - health->sampledAt) / toSeconds(m_settings.shareHalfLife));
    const double failing = std::min(1.0, (health->failureShare + health->refusedShare) * decay);
    const double slowStart = lowest + (1 - lowest) * elapsed;
    if (isSilent(*health, now) || isDomainSuspect(health->domain, now))
        return lowest;
    return std::max(lowest, slowStart * (1 - failing));
}

health_state health_monitor::state(target_slot slot, instant now) const
{
    const slot_health* health = find(slot);
    if (!health)
        return health_state::Healthy;
    if (health->ejected)
        return mayProbe(*health, now) || isProbeRunning(*health, now) ? health_state::HalfOpen : health_state::Ejected;
    return now - health->slowStartBegin < m_settings.slowStart ? health_state::SlowStart : health_state::Healthy;
}

instant health_monitor::ejectedUntil(target_slot slot) const
{
    const slot_health* health = find(slot);
    return health && health->ejected ? health->ejectionEnd : instant {};
}

std::size_t health_monitor::ejectedCount(const pool_id& pool) const
{
    const auto it = m_pools.find(pool);
    return it == m_pools.end() ? 0 : it->second.ejected;
}

std::size_t health_monitor::poolSize(const pool_id& pool) const
{
    const auto it = m_pools.find(pool);
    return it == m_pools.end() ? 0 : it->second.members.size();
}

health_monitor::slot_health& health_monitor::at(target_slot slot)
{
    if (slot.value() >= m_slots.size())
        m_slots.resize(slot.value() + 1);
    return m_slots[slot.value()];
}

const health_monitor::slot_health* health_monitor::find(target_slot slot) const
{
    if (slot.value() >= m_slots.size() || !m_slots[slot.value()].used)
        return nullptr;
    return &m_slots[slot.value()];
}

bool health_monitor::isSilent(const slot_health& health, instant now) const
{
    const double allowed = m_settings.silentAfterIntervals * health.reportIntervalSeconds + toSeconds(m_settings.reportGrace);
    return health.sendsReports && toSeconds(now - health.lastReportAt) > allowed;
}

bool health_monitor::isDomainSuspect(const failure_domain_id& domain, instant now) const
{
    const auto it = m_domains.find(domain);
    if (it == m_domains.end() || now - it->second.failedAt > m_settings.shareHalfLife)
        return false;
    return it->second.severalTargetsFailed && it->second.failures >= m_settings.domainFailureThreshold;
}

// A target that used to send load reports is probed once one was measured after the
// ejection. After silentProbeDelay it is probed without, since it may have lost
// nothing but its reports.
bool health_monitor::mayProbe(const slot_health& health, instant now) const
{
    if (!health.ejected || now < health.ejectionEnd || isProbeRunning(health, now))
        return false;
    const bool awaitsReport = health.sendsReports && health.measuredAt <= health.ejectedAt;
    return !awaitsReport || now - health.ejectedAt >= m_settings.silentProbeDelay;
}

void health_monitor::recordDomainOutcome(target_slot slot, bool failed, instant now)
{
    const failure_domain_id& domain = at(slot).domain;
    if (!failed) {
        m_domains.erase(domain);
        return;
    }
    domain_health& health = m_domains[domain];
    health.severalTargetsFailed |= health.failures > 0 && health.lastFailed != slot;
    health.lastFailed = slot;
    health.failedAt = now;
    ++health.failures;
}

// Bounded by a timeout: a probe whose outcome is never reported would otherwise keep
// the target ejected for ever.
bool health_monitor::isProbeRunning(const slot_health& health, instant now) const
{
    return health.probing && now - health.probeSent < m_settings.probeTimeout;
}

void health_monitor::recordOutcome(slot_health& health, attempt_outcome outcome, duration latency, instant now) const
{
    const double rate = m_settings.learningRate;
    const double decay = health.samples == 0 ? 0 : std::exp2(-toSeconds(now - health.sampledAt) / toSeconds(m_settings.shareHalfLife));
    const bool failed = isFailure(outcome);
    const bool refused = outcome == attempt_outcome::Refused;
    health.failureShare = health.failureShare * decay * (1 - rate) + (failed ? rate : 0);
    health.refusedShare = health.refusedShare * decay * (1 - rate) + (refused ? rate : 0);
    health.sampledAt = now;
    ++health.samples;
    if (failed)
        ++health.failureStreak;
    if (outcome != attempt_outcome::Success)
        return;
    health.failureStreak = 0;
    const double seconds = toSeconds(latency);
    const bool isFirst = health.latencySeconds == 0;
    health.latencySeconds += (isFirst ? 1 : rate) * (seconds - health.latencySeconds);
}

bool health_monitor::isOutlier(const slot_health& health) const
{
    if (health.failureStreak >= m_settings.consecutiveFailures)
        return true;
    if (health.samples < m_settings.minSamples)
        return false;
    if (health.failureShare > m_settings.failureShare)
        return true;
    if (health.samples % latencyCheckInterval != 0)
        return false;
    const double median = medianLatency(health.pool);
    return median > 0 && health.latencySeconds > m_settings.latencyFactor * median;
}

// Zero if fewer than minPoolForLatency members have a latency.
double health_monitor::medianLatency(const pool_id& pool) const
{
    std::vector<double> measured;
    for (const target_slot slot : m_pools.at(pool).members) {
        const double seconds = m_slots[slot.value()].latencySeconds;
        if (seconds > 0)
            measured.push_back(seconds);
    }
    if (measured.size() < minPoolForLatency)
        return 0;
    const auto middle = measured.begin() + static_cast<std::ptrdiff_t>(measured.size() / 2);
    std::nth_element(measured.begin(), middle, measured.end());
    return *middle;
}

bool health_monitor::mayEject(const pool_id& pool) const
{
    const pool_health& members = m_pools.at(pool);
    const auto size = static_cast<double>(members.members.size());
    const auto ejectedAfter = static_cast<double>(members.ejected + 1);
    return ejectedAfter < size && ejectedAfter <= size * m_settings.maxEjectedShare;
}

// Also called for an ejected target whose probe failed. The back-off doubles each
// time, and starts anew if the target worked for longer than maxEjection before.
void health_monitor::eject(slot_health& health, instant now)
{
    if (!health.ejected) {
        ++m_pools.at(health.pool).ejected;
        const bool workedLongEnough = now - health.slowStartBegin > m_settings.maxEjection;
        health.ejectionStreak = workedLongEnough ? 0 : health.ejectionStreak;
    }
    const std::uint32_t doublings = std::min(health.ejectionStreak, maxDoublings);
    const duration backOff = std::min(m_settings.baseEjection * (std::int64_t(1) << doublings), m_settings.maxEjection);
    health.ejected = true;
    health.ejectedAt = now;
    health.probing = false;
    health.ejectionEnd = now + backOff;
    ++health.ejectionStreak;
}

// Clears the target's record and begins its slow start; the back-off is kept in
// case it fails again soon.
void health_monitor::readmit(slot_health& health, instant now)
{
    assert(health.ejected);
    --m_pools.at(health.pool).ejected;
    health.ejected = false;
    health.probing = false;
    health.failureStreak = 0;
    health.failureShare = 0;
    health.refusedShare = 0;
    health.samples = 0;
    health.latencySeconds = 0;
    health.slowStartBegin = now;
}

} // namespace lovagerail
