// Observed times, counted work and the limit on second attempts; see hedging.h.
#include "hedging.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace lovagerail {

namespace {

    constexpr double bucketsPerDoubling = 8;
    constexpr double firstBucketNs = 100'000; // 0.1 ms
    constexpr double workLearningRate = 0.05; // weight of one observation in the mean work
    constexpr double minWeightInTail = 1; // expected observations above the quantile before it is used
    constexpr duration idleLifetime = std::chrono::minutes(30);

} // namespace

std::string_view toString(hedge_reason reason)
{
    switch (reason) {
    case hedge_reason::Quantile:
        return "quantile";
    case hedge_reason::FixedDelay:
        return "fixed_delay";
    }
    return "unknown";
}

std::string_view toString(hedge_refusal refusal)
{
    switch (refusal) {
    case hedge_refusal::Off:
        return "off";
    case hedge_refusal::ExtraWork:
        return "extra_work";
    case hedge_refusal::Burst:
        return "burst";
    case hedge_refusal::ShortOfSlots:
        return "short_of_slots";
    case hedge_refusal::NamedLimit:
        return "named_limit";
    case hedge_refusal::ColdTarget:
        return "cold_target";
    case hedge_refusal::NoOtherTarget:
        return "no_other_target";
    case hedge_refusal::TooLate:
        return "too_late";
    }
    return "unknown";
}

namespace detail {

    std::size_t decaying_times::bucketOf(duration time)
    {
        const double ratio = static_cast<double>(time.count()) / firstBucketNs;
        if (ratio <= 1)
            return 0;
        return std::min(bucketCount - 1, static_cast<std::size_t>(std::ceil(std::log2(ratio) * bucketsPerDoubling)));
    }

    duration decaying_times::upperBound(std::size_t bucket)
    {
        return duration(static_cast<std::int64_t>(firstBucketNs * std::exp2(static_cast<double>(bucket) / bucketsPerDoubling)));
    }

    void decaying_times::record(duration time, duration halfLife, instant now)
    {
        if (m_weight > 0 && now > m_latest) {
            const double factor = std::exp2(-std::chrono::duration<double>(now - m_latest) / std::chrono::duration<double>(halfLife));
            m_weight = 0;
            for (auto& bucket : m_buckets) {
                bucket *= static_cast<float>(factor);
                m_weight += bucket;
            }
        }
        m_latest = std::max(m_latest, now);
        m_buckets[bucketOf(time)] += 1;
        m_weight += 1;
    }

    duration decaying_times::quantile(double share) const
    {
        double below = 0;
        for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
            below += m_buckets[bucket];
            if (below >= share * m_weight)
                return upperBound(bucket);
        }
        return upperBound(bucketCount - 1);
    }

    duration decaying_times::remainingAfter(duration elapsed) const
    {
        double weight = 0;
        double sum = 0;
        for (std::size_t bucket = bucketOf(elapsed) + 1; bucket < bucketCount; ++bucket) {
            weight += m_buckets[bucket];
            sum += m_buckets[bucket] * static_cast<double>((upperBound(bucket) - elapsed).count());
        }
        return weight > 0 ? duration(static_cast<std::int64_t>(sum / weight)) : duration {};
    }

    work_window::slice& work_window::at(instant now)
    {
        const auto number = now.time_since_epoch() / sliceSpan;
        auto& found = m_slices[static_cast<std::size_t>(number) % sliceCount];
        if (found.number != number)
            found = { {}, number };
        return found;
    }

    work_window::sums work_window::since(instant from) const
    {
        const auto first = from.time_since_epoch() / sliceSpan;
        sums total;
        for (const auto& one : m_slices) {
            if (one.number < first)
                continue;
            total.work += one.work;
            total.extra += one.extra;
        }
        return total;
    }

} // namespace detail

// Targets of which this instance knows nothing are left out: they would hide that those it sends
// to are full.
pool_condition conditionOf(const router& targets, const routing_class_id& pool, double busyShare, instant now)
{
    pool_condition condition;
    double slots = 0;
    double requests = 0;
    for (const auto slot : targets.table().allowed(pool)) {
        condition.namesLimit |= targets.limits().limitOf(slot).has_value();
        condition.hasColdTarget |= targets.coldLimits().limitOf(slot).has_value();
        const auto view = targets.load().view(slot, now);
        if (!view.reported && view.ownRequests <= 0)
            continue;
        const auto& speed = targets.load().speed(slot);
        slots += targets.table().record(slot).listed.kind == target_kind::Service ? speed.serviceWorkers : speed.batchLimit;
        requests += view.ownRequests + view.otherRequests;
    }
    condition.shortOfSlots = slots > 0 && requests > slots * busyShare;
    return condition;
}

double currentSlowdown(const router& targets, target_slot slot, instant now) { return targets.load().view(slot, now).lastingSlowdown; }

hedge_policy::hedge_policy(hedging_settings settings)
    : m_settings(settings)
{
}

void hedge_policy::answered(const route_id& route, const routing_class_id& pool, duration time, instant now)
{
    m_times[{ route, pool }].times.record(time, m_settings.timesHalfLife, now);
}

void hedge_policy::worked(const route_id& route, const routing_class_id& pool, duration time, instant now)
{
    auto& mean = m_times[{ route, pool }].meanWork;
    const auto observed = static_cast<double>(time.count());
    mean = mean > 0 ? mean + workLearningRate * (observed - mean) : observed;
    auto& work = m_pools[pool];
    work.window.addWork(time, now);
    work.usedAt = now;
}

void hedge_policy::refusedByTarget(const routing_class_id& pool, instant now)
{
    auto& work = m_pools[pool];
    work.lastRefusal = now;
    work.usedAt = now;
}

hedge_policy::delay hedge_policy::delayFor(const route_id& route, const routing_class_id& pool, double slowdown, duration fixedDelay, instant now) const
{
    const auto found = m_times.find({ route, pool });
    const double share = std::clamp(1 - m_settings.extraWork.value_or(0), m_settings.minQuantile, m_settings.maxQuantile);
    if (found == m_times.end() || now - found->second.times.latest() > m_settings.timesExpiry || found->second.times.weight() * (1 - share) < minWeightInTail)
        return { fixedDelay, hedge_reason::FixedDelay };
    return { scale(found->second.times.quantile(share), slowdown), hedge_reason::Quantile };
}

duration hedge_policy::expectedWork(const route_id& route, const routing_class_id& pool) const
{
    const auto found = m_times.find({ route, pool });
    return found == m_times.end() ? duration {} : duration(static_cast<std::int64_t>(found->second.meanWork));
}

duration hedge_policy::expectedRemaining(const route_id& route, const routing_class_id& pool, duration elapsed) const
{
    const auto found = m_times.find({ route, pool });
    return found == m_times.end() ? duration {} : found->second.times.remainingAfter(elapsed);
}

// Work of the open second attempts of the pool: what was reserved, or what they have used if that
// is more.
duration hedge_policy::reservedFor(const routing_class_id& pool, instant now, std::optional<attempt_id> except) const
{
    duration sum {};
    for (const auto& [attempt, extra] : m_open) {
        if (extra.pool == pool && attempt != except)
            sum += std::max(extra.reserved, now - extra.sentAt);
    }
    return sum;
}

std::optional<hedge_refusal> hedge_policy::checkLimit(const routing_class_id& pool, duration wanted, std::optional<attempt_id> except, instant now) const
{
    const double share = m_settings.extraWork.value_or(0);
    const auto found = m_pools.find(pool);
    if (found == m_pools.end())
        return hedge_refusal::ExtraWork;
    const auto reserved = reservedFor(pool, now, except) + wanted;
    const auto all = found->second.window.since(now - m_settings.window);
    if (all.extra + reserved > scale(all.work, share))
        return hedge_refusal::ExtraWork;
    const auto recent = found->second.window.since(now - m_settings.burstWindow);
    if (recent.extra + reserved > std::max(wanted, scale(recent.work, share * m_settings.burstFactor)))
        return hedge_refusal::Burst;
    return std::nullopt;
}

std::optional<hedge_refusal> hedge_policy::check(const route_id& route, const routing_class_id& pool, const pool_condition& condition, duration timeLeft, instant now) const
{
    if (m_settings.extraWork.value_or(0) <= 0)
        return hedge_refusal::Off;
    if (condition.namesLimit)
        return hedge_refusal::NamedLimit;
    if (condition.hasColdTarget)
        return hedge_refusal::ColdTarget;
    const auto found = m_pools.find(pool);
    const bool refusedLately = found != m_pools.end() && found->second.lastRefusal && now - *found->second.lastRefusal < m_settings.refusalMemory;
    if (condition.shortOfSlots || refusedLately)
        return hedge_refusal::ShortOfSlots;
    const auto expected = expectedWork(route, pool);
    if (timeLeft < expected)
        return hedge_refusal::TooLate;
    // Without a known time of this route nothing could be reserved.
    if (expected <= duration {})
        return hedge_refusal::ExtraWork;
    return checkLimit(pool, expected + m_settings.checkPeriod, std::nullopt, now);
}

void hedge_policy::started(attempt_id attempt, const route_id& route, const routing_class_id& pool, instant now)
{
    const auto expected = expectedWork(route, pool);
    m_open[attempt] = { pool, now, expected, expected + m_settings.checkPeriod };
}

bool hedge_policy::mayContinue(attempt_id attempt, instant now)
{
    const auto found = m_open.find(attempt);
    if (found == m_open.end())
        return true;
    auto& extra = found->second;
    const auto used = now - extra.sentAt;
    if (used + m_settings.checkPeriod < extra.reserved)
        return true;
    const auto wanted = used + extra.expected + m_settings.checkPeriod;
    if (checkLimit(extra.pool, wanted, attempt, now))
        return false;
    extra.reserved = wanted;
    return true;
}

duration hedge_policy::ended(attempt_id attempt, bool unsent, bool cancelled, instant now)
{
    const auto found = m_open.find(attempt);
    if (found == m_open.end())
        return {};
    const auto extra = found->second;
    m_open.erase(found);
    if (unsent)
        return {};
    const auto used = cancelled ? std::max(extra.expected, now - extra.sentAt) : now - extra.sentAt;
    auto& work = m_pools[extra.pool];
    work.window.addExtra(used, now);
    work.usedAt = now;
    return used;
}

hedge_policy::usage hedge_policy::usageOf(const routing_class_id& pool, instant now) const
{
    const auto found = m_pools.find(pool);
    if (found == m_pools.end())
        return {};
    const auto sums = found->second.window.since(now - m_settings.window);
    return { sums.extra + reservedFor(pool, now, std::nullopt), scale(sums.work, m_settings.extraWork.value_or(0)) };
}

void hedge_policy::dropIdle(instant now)
{
    std::erase_if(m_times, [now](const auto& entry) { return now - entry.second.times.latest() > idleLifetime; });
    std::erase_if(m_pools, [now](const auto& entry) { return now - entry.second.usedAt > idleLifetime; });
}

} // namespace lovagerail
