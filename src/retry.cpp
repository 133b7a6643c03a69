// Budgets, back-off and the rule of unknown outcomes.
#include "retry.h"

#include <algorithm>
#include <cassert>

namespace lovagerail {

namespace {

    constexpr std::uint64_t whole = 1000; // thousandths of a retry
    constexpr std::uint32_t mostDoublings = 20;
    constexpr duration quiet = std::chrono::minutes(10);

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
    case retry_verdict::NoBudget:
        return "no_retry_budget";
    case retry_verdict::NoTime:
        return "no_time";
    }
    return "no_time";
}

duration backOff(const retry_settings& settings, std::uint32_t attempts, std::uint64_t seed)
{
    assert(attempts > 0);
    const auto doublings = std::min(attempts - 1, mostDoublings);
    const auto longest = std::min<duration>(settings.longestDelay, settings.firstDelay * (std::int64_t(1) << doublings));
    const auto half = longest.count() / 2;
    if (half <= 0)
        return longest;
    return duration(half + static_cast<std::int64_t>(mix(seed) % static_cast<std::uint64_t>(half + 1)));
}

retry_policy::retry_policy(retry_settings settings)
    : m_settings(settings)
{
}

// The pool's budget with what time has added; a new pool starts with a full one.
retry_policy::budget& retry_policy::refill(const std::string& pool, instant now)
{
    const auto full = whole * m_settings.largestBudget;
    const auto [at, isNew] = m_budgets.try_emplace(pool, budget { full, whole * m_settings.largestHedgeBudget, now });
    auto& held = at->second;
    if (isNew || now <= held.refilled)
        return held;
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now - held.refilled);
    const auto earned = static_cast<std::uint64_t>(ms.count()) * m_settings.earnedPerSecondPerMille / whole;
    if (earned == 0)
        return held; // the time stays unspent until it earns something
    held.retries = std::min(full, held.retries + earned);
    held.refilled = now;
    return held;
}

void retry_policy::succeeded(const std::string& pool, instant now)
{
    auto& held = refill(pool, now);
    held.retries = std::min(whole * m_settings.largestBudget, held.retries + m_settings.earnedPerMille);
    held.hedges = std::min(whole * m_settings.largestHedgeBudget, held.hedges + m_settings.hedgesPerMille);
}

retry_decision retry_policy::decide(const std::string& pool, const retry_question& question, instant now)
{
    // Step 1. What may have run is repeated only if that does no harm.
    if (question.outcome != run_outcome::NotRun && !question.idempotent)
        return { retry_verdict::MayHaveRun, {} };
    if (question.attempts >= m_settings.mostAttempts)
        return { retry_verdict::TooManyAttempts, {} };

    // Step 2. A retry that can't begin in time is none.
    const auto delay = question.progressed ? duration::zero() : backOff(m_settings, std::max(question.attempts, 1U), question.seed);
    if (now + delay >= question.deadline)
        return { retry_verdict::NoTime, {} };

    // Step 3. The budget.
    if (question.progressed)
        return { retry_verdict::Retry, {} };
    auto& held = refill(pool, now);
    if (held.retries < whole)
        return { retry_verdict::NoBudget, {} };
    held.retries -= whole;
    return { retry_verdict::Retry, delay };
}

bool retry_policy::mayHedge(const std::string& pool, bool idempotent, instant now)
{
    if (!idempotent)
        return false;
    auto& held = refill(pool, now);
    if (held.hedges < whole)
        return false;
    held.hedges -= whole;
    return true;
}

std::uint32_t retry_policy::retriesLeft(const std::string& pool, instant now)
{
    return static_cast<std::uint32_t>(refill(pool, now).retries / whole);
}

void retry_policy::dropQuiet(instant now)
{
    for (auto at = m_budgets.begin(); at != m_budgets.end();)
        at = now - at->second.refilled > quiet ? m_budgets.erase(at) : std::next(at);
}

} // namespace lovagerail
