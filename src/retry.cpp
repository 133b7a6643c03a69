// Retry budgets, exponential backoff and the rules for outcomes that are not known.
#include "retry.h"

#include <algorithm>
#include <cassert>

namespace lovagerail {

namespace {

    constexpr std::uint64_t unitsPerRetry = 1000; // thousandths of a retry
    constexpr std::uint32_t maxDoublings = 20;
    constexpr duration idleLifetime = std::chrono::minutes(10);

    // SplitMix64: spreads consecutive numbers over all 64 bits.
    std::uint64_t mix(std::uint64_t value)
    {
        value += 0x9e3779b97f4a7c15u;
        value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9u;
        value = (value ^ (value >> 27)) * 0x94d049bb133111ebu;
        return value ^ (value >> 31);
    }

} // namespace

std::string_view toString(run_outcome outcome)
{
    switch (outcome) {
    case run_outcome::NotRun:
        return "not_run";
    case run_outcome::Ran:
        return "ran";
    case run_outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

std::string_view toString(retry_verdict verdict)
{
    switch (verdict) {
    case retry_verdict::Retry:
        return "retry";
    case retry_verdict::MayHaveRun:
        return "may_have_run";
    case retry_verdict::TooManyAttempts:
        return "too_many_attempts";
    case retry_verdict::BudgetExhausted:
        return "no_retry_budget";
    case retry_verdict::DeadlineTooClose:
        return "no_time";
    }
    return "no_time";
}

duration backoffDelay(const retry_settings& settings, std::uint32_t attempts, std::uint64_t seed)
{
    assert(attempts > 0);
    const auto doublings = std::min(attempts - 1, maxDoublings);
    const auto longest = std::min<duration>(settings.maxDelay, settings.initialDelay * (std::int64_t(1) << doublings));
    const auto half = longest.count() / 2;
    if (half <= 0)
        return longest;
    return duration(half + static_cast<std::int64_t>(mix(seed) % static_cast<std::uint64_t>(half + 1)));
}

retry_policy::retry_policy(retry_settings settings)
    : m_settings(settings)
{
}

// Returns the pool's budget after adding what the elapsed time has earned; a new pool starts full.
retry_policy::budget& retry_policy::refill(const std::string& pool, instant now)
{
    const auto full = unitsPerRetry * m_settings.maxRetryBudget;
    const auto [entry, isNew] = m_budgets.try_emplace(pool, budget { full, unitsPerRetry * m_settings.maxHedgeBudget, now });
    auto& available = entry->second;
    if (isNew || now <= available.refilled)
        return available;
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now - available.refilled);
    const auto earned = static_cast<std::uint64_t>(ms.count()) * m_settings.retriesPerThousandSeconds / unitsPerRetry;
    if (earned == 0)
        return available; // keep the old refill time, so that short intervals add up
    available.retries = std::min(full, available.retries + earned);
    available.refilled = now;
    return available;
}

void retry_policy::succeeded(const std::string& pool, instant now)
{
    auto& available = refill(pool, now);
    available.retries = std::min(unitsPerRetry * m_settings.maxRetryBudget, available.retries + m_settings.retriesPerThousandSuccesses);
    available.hedges = std::min(unitsPerRetry * m_settings.maxHedgeBudget, available.hedges + m_settings.hedgesPerThousandSuccesses);
}

retry_decision retry_policy::decide(const std::string& pool, const retry_request& request, instant now)
{
    // Step 1. Work that may have run is retried only if it is idempotent, and no work is
    // attempted more than maxAttempts times.
    if (request.outcome != run_outcome::NotRun && !request.idempotent)
        return { retry_verdict::MayHaveRun, {} };
    if (request.attempts >= m_settings.maxAttempts)
        return { retry_verdict::TooManyAttempts, {} };

    // Step 2. Don't retry if the delay ends after the deadline.
    const auto delay = request.progressed ? duration::zero() : backoffDelay(m_settings, std::max(request.attempts, 1U), request.seed);
    if (now + delay >= request.deadline)
        return { retry_verdict::DeadlineTooClose, {} };

    // Step 3. Take one retry from the budget.
    if (request.progressed)
        return { retry_verdict::Retry, {} };
    auto& available = refill(pool, now);
    if (available.retries < unitsPerRetry)
        return { retry_verdict::BudgetExhausted, {} };
    available.retries -= unitsPerRetry;
    return { retry_verdict::Retry, delay };
}

bool retry_policy::mayHedge(const std::string& pool, bool idempotent, instant now)
{
    if (!idempotent)
        return false;
    auto& available = refill(pool, now);
    if (available.hedges < unitsPerRetry)
        return false;
    available.hedges -= unitsPerRetry;
    return true;
}

std::uint32_t retry_policy::retriesLeft(const std::string& pool, instant now)
{
    return static_cast<std::uint32_t>(refill(pool, now).retries / unitsPerRetry);
}

void retry_policy::dropIdle(instant now)
{
    for (auto it = m_budgets.begin(); it != m_budgets.end();)
        it = now - it->second.refilled > idleLifetime ? m_budgets.erase(it) : std::next(it);
}

} // namespace lovagerail
