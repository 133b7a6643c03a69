// Allowances under the limits that targets name; see request_limits.h.
#include "request_limits.h"

#include <algorithm>
#include <cmath>

namespace lovagerail {

namespace {

    double secondsOf(duration span) { return std::chrono::duration<double>(span).count(); }

    duration spanOf(double seconds) { return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds)); }

} // namespace

request_limit_settings coldLimitSettings()
{
    request_limit_settings out;
    out.allowanceLifetime = std::chrono::milliseconds(200);
    out.allowanceSpan = std::chrono::milliseconds(100);
    out.burstSpan = std::chrono::milliseconds(100);
    return out;
}

double sharedColdRate(const cold_bound& bound)
{
    // Requests in a second: what each of the two gives out in it and in the lifetime before, what it
    // had saved up, and the turns of the instances.
    constexpr double allocators = 2;
    constexpr double minShareOfBound = 0.1; // a bound of a few requests leaves nothing for bursts
    const auto settings = coldLimitSettings();
    const double seconds = allocators * (1 + secondsOf(settings.allowanceLifetime) + secondsOf(settings.burstSpan)) + 1 + secondsOf(settings.allowanceLifetime);
    const double bursts = allocators + 1;
    const double most = bound.requestsInAnySecond();
    return std::min(bound.perSecond, std::max((most - bursts) / seconds, most * minShareOfBound));
}

allowance takeTurn(double perSecond, std::size_t rank, std::size_t count, wall_time now, std::optional<wall_time>& lastTurn)
{
    const double period = static_cast<double>(count) / perSecond;
    const double sinceEpoch = std::chrono::duration<double>(now.time_since_epoch()).count();
    const double sinceTurn = std::fmod(sinceEpoch + period - static_cast<double>(rank) / perSecond, period);
    const bool isTurn = sinceTurn < 1 / perSecond;
    const bool taken = lastTurn && now >= *lastTurn && std::chrono::duration<double>(now - *lastTurn).count() <= sinceTurn;
    allowance out;
    out.sharePerSecond = perSecond / static_cast<double>(count);
    if (isTurn && !taken) {
        lastTurn = now;
        out.requests = 1;
    }
    out.askAgainIn = std::min(spanOf(period - sinceTurn), duration(std::chrono::seconds(1)));
    return out;
}

request_limits::request_limits(request_limit_settings settings)
    : m_settings(settings)
{
}

limit_change request_limits::observe(target_slot target, std::optional<double> perSecond, instant sentAt, instant now)
{
    const auto found = m_limits.find(target);
    if (perSecond) {
        auto& limit = m_limits[target];
        const bool isNew = found == m_limits.end() || limit.perSecond != *perSecond;
        limit.perSecond = *perSecond;
        limit.namedAt = now;
        return isNew ? limit_change::Named : limit_change::None;
    }
    // The answer to a request sent before the limit was named may have been overtaken.
    if (found == m_limits.end() || sentAt < found->second.namedAt)
        return limit_change::None;
    m_limits.erase(found);
    return limit_change::Ended;
}

std::optional<double> request_limits::limitOf(target_slot target) const
{
    const auto found = m_limits.find(target);
    return found == m_limits.end() ? std::nullopt : std::optional(found->second.perSecond);
}

duration request_limits::ageOf(target_slot target, instant now) const
{
    const auto found = m_limits.find(target);
    return found == m_limits.end() ? duration {} : now - found->second.namedAt;
}

double request_limits::shareOf(target_slot target) const
{
    const auto found = m_limits.find(target);
    if (found == m_limits.end())
        return 0;
    const auto& limit = found->second;
    return limit.sharePerSecond > 0 ? limit.sharePerSecond : std::max(limit.perSecond, m_settings.minPerSecond);
}

bool request_limits::mayStart(target_slot target, instant now) const
{
    const auto found = m_limits.find(target);
    return found == m_limits.end() || (found->second.available >= 1 && now < found->second.availableUntil);
}

void request_limits::started(target_slot target, instant now)
{
    const auto found = m_limits.find(target);
    if (found == m_limits.end())
        return;
    auto& limit = found->second;
    if (now >= limit.availableUntil)
        limit.available = std::min(limit.available, 0.0);
    // What is owed is bounded: a target's state is asked for also while no request waits for it.
    limit.available = std::max(limit.available - 1, -std::max(limit.perSecond, 1.0));
}

void request_limits::want(target_slot target)
{
    if (const auto found = m_limits.find(target); found != m_limits.end())
        found->second.wanted = true;
}

std::vector<target_slot> request_limits::takeDue(instant now)
{
    std::vector<target_slot> out;
    for (auto& [target, limit] : m_limits) {
        if (!limit.wanted || limit.asking || now < limit.nextAsk)
            continue;
        limit.wanted = false;
        limit.asking = true;
        out.push_back(target);
    }
    return out;
}

void request_limits::granted(target_slot target, const allowance& given, instant askedAt, instant now)
{
    const auto found = m_limits.find(target);
    if (found == m_limits.end())
        return;
    auto& limit = found->second;
    limit.asking = false;
    limit.nextAsk = now + given.askAgainIn;
    limit.sharePerSecond = given.sharePerSecond;
    if (given.requests == 0)
        return;
    if (now >= limit.availableUntil)
        limit.available = std::min(limit.available, 0.0);
    limit.available += given.requests;
    limit.availableUntil = askedAt + m_settings.allowanceLifetime;
}

void request_limits::askFailed(target_slot target)
{
    const auto found = m_limits.find(target);
    if (found == m_limits.end())
        return;
    found->second.asking = false;
    found->second.wanted = true;
}

limit_allocator::limit_allocator(request_limit_settings settings)
    : m_settings(settings)
{
}

allowance limit_allocator::grant(const target_id& target, incarnation incarnationNumber, double perSecond, duration age, const instance_id& asker, instant now)
{
    // Step 1. The newest statement of the newest incarnation counts.
    auto& shared = m_shared[target];
    if (incarnationNumber < shared.incarnationNumber)
        return { 0, m_settings.maxAskInterval, 0 };
    if (shared.incarnationNumber < incarnationNumber) {
        shared = {};
        shared.incarnationNumber = incarnationNumber;
        shared.savedAt = now;
    }
    if (shared.askers.empty() || now - age >= shared.namedAt) {
        shared.perSecond = std::clamp(perSecond, m_settings.minPerSecond, m_settings.maxPerSecond);
        shared.namedAt = now - age;
    }

    // Step 2. What was saved up since the last call, and the instances that share it.
    const double rate = shared.perSecond;
    shared.saved = std::min(shared.saved + rate * secondsOf(now - shared.savedAt), std::max(1.0, rate * secondsOf(m_settings.burstSpan)));
    shared.savedAt = now;
    shared.askers[asker] = now;
    std::erase_if(shared.askers, [&](const auto& entry) { return now - entry.second > m_settings.askerExpiry; });
    const double share = rate / static_cast<double>(shared.askers.size());

    // Step 3. An instance that was given requests asks again when its share gives as many again.
    const double wanted = std::max(1.0, std::ceil(share * secondsOf(m_settings.allowanceSpan)));
    const double given = std::min(wanted, std::floor(shared.saved));
    shared.saved -= given;
    const double wait = given > 0 ? given / share : (1 - shared.saved) / rate;
    return { static_cast<std::uint32_t>(given), std::clamp(spanOf(wait), m_settings.minAskInterval, m_settings.maxAskInterval), share };
}

void limit_allocator::dropUnused(instant now)
{
    std::erase_if(m_shared, [&](const auto& entry) {
        return now - entry.second.savedAt > m_settings.askerExpiry + m_settings.allowanceLifetime;
    });
}

} // namespace lovagerail
