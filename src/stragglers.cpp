// Staleness forecasts, dispatch priorities, sharing between runs and migration hints.
#include "stragglers.h"

#include <algorithm>
#include <cassert>

namespace lovagerail {

namespace {

    constexpr std::int32_t basePriority = 100; // of a step that the trainer doesn't wait for yet
    constexpr std::int32_t awaitedStepBonus = 50;
    constexpr std::int32_t maxAging = 49; // below awaitedStepBonus: aging alone must not overtake the step that the trainer waits for
    constexpr std::int32_t maxStepsAhead = 50;
    constexpr std::uint64_t virtualScale = 1'024; // virtual time of one token at weight 1
    constexpr int smoothingFactor = 8;

    // Time left at a target; duration::max() if its speed is unknown.
    duration remaining(const running_stream& stream, std::uint32_t tokensPerSecond)
    {
        if (tokensPerSecond == 0)
            return duration::max();
        const std::uint64_t tokensLeft = stream.maxTokens > stream.tokens ? stream.maxTokens - stream.tokens : 0;
        return std::chrono::milliseconds(tokensLeft * 1'000 / tokensPerSecond);
    }

    const stream_target* findTarget(const std::vector<stream_target>& targets, const target_id& id)
    {
        for (const stream_target& target : targets) {
            if (target.id == id)
                return &target;
        }
        return nullptr;
    }

    // The fastest other target that has free capacity and can import the stream's cache.
    stream_target* fastestWithCapacity(std::vector<stream_target>& targets, const target_id& except)
    {
        stream_target* best = nullptr;
        for (stream_target& target : targets) {
            if (target.id == except || target.freeStreams == 0 || !target.exportsCache)
                continue;
            if (!best || target.tokensPerSecond > best->tokensPerSecond)
                best = &target;
        }
        return best;
    }

} // namespace

// A trainer that waits for this step publishes nothing until it has it, so the sample
// does not age any further. Otherwise it ages by one version per step before it, or by
// the versions expected from the publishing interval, if these are more.
std::uint64_t predictAge(const age_forecast& forecast)
{
    const std::uint64_t lag = forecast.trainer > forecast.served ? forecast.trainer.value() - forecast.served.value() : 0;
    if (forecast.trainerWaits)
        return lag;
    std::uint64_t published = 0;
    if (forecast.publishInterval > duration::zero())
        published = static_cast<std::uint64_t>(forecast.timeUntilReady / forecast.publishInterval);
    return lag + std::max(forecast.stepsAhead, published);
}

std::int32_t dispatchPriority(std::uint64_t stepsAhead, bool trainerWaits, duration waited, duration priorityStep)
{
    std::int32_t priority = basePriority;
    priority += static_cast<std::int32_t>(std::min<std::uint64_t>(stepsAhead, maxStepsAhead));
    if (trainerWaits)
        priority -= awaitedStepBonus;
    if (priorityStep > duration::zero() && waited > duration::zero())
        priority -= static_cast<std::int32_t>(std::min<std::int64_t>(waited / priorityStep, maxAging));
    return priority;
}

void smoothed_duration::add(duration sample)
{
    m_value = m_hasValue ? m_value + (sample - m_value) / smoothingFactor : sample;
    m_hasValue = true;
}

run_scheduler::run_scheduler(std::uint32_t starvationInterval)
    : m_starvationInterval(starvationInterval)
{
    assert(starvationInterval > 1);
}

void run_scheduler::setWeight(const run_id& run, std::uint32_t weight)
{
    const auto [entry, added] = m_runs.try_emplace(run);
    entry->second.weight = std::max<std::uint32_t>(weight, 1);
    if (added)
        entry->second.virtualTime = m_virtualTime;
}

void run_scheduler::remove(const run_id& run)
{
    m_runs.erase(run);
}

std::optional<run_id> run_scheduler::pick(const std::vector<run_id>& backlogged)
{
    // Step 1. Advance runs that were idle to the current virtual time.
    std::vector<std::pair<run_id, account*>> candidates;
    std::uint64_t earliest = UINT64_MAX;
    for (const run_id& run : backlogged) {
        const auto found = m_runs.find(run);
        if (found == m_runs.end())
            continue;
        account& item = found->second;
        item.virtualTime = std::max(item.virtualTime, m_virtualTime);
        earliest = std::min(earliest, item.virtualTime);
        candidates.emplace_back(run, &item);
    }
    if (candidates.empty())
        return std::nullopt;
    m_virtualTime = earliest;

    // Step 2. Pick the run with the least virtual time, or the one picked least recently if
    // it is the turn of the anti-starvation pick.
    ++m_picks;
    const bool isStarvationPick = m_picks % m_starvationInterval == 0;
    auto best = candidates.front();
    for (const auto& candidate : candidates) {
        const bool better = isStarvationPick ? candidate.second->lastPick < best.second->lastPick
                                             : candidate.second->virtualTime < best.second->virtualTime;
        if (better)
            best = candidate;
    }
    best.second->lastPick = m_picks;
    return best.first;
}

void run_scheduler::charge(const run_id& run, token_count tokens)
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end())
        return;
    found->second.virtualTime += tokens.count() * virtualScale / found->second.weight;
}

std::vector<migration_hint> migrationHints(std::vector<running_stream> streams, std::vector<stream_target> targets,
    duration migrationCost, std::size_t limit)
{
    // Step 1. Sort by tokens left, most first.
    std::sort(streams.begin(), streams.end(), [](const running_stream& left, const running_stream& right) {
        const auto leftRemaining = std::int64_t(left.maxTokens) - left.tokens;
        const auto rightRemaining = std::int64_t(right.maxTokens) - right.tokens;
        return leftRemaining != rightRemaining ? leftRemaining > rightRemaining : left.stream < right.stream;
    });

    // Step 2. Propose the migrations that at least halve the remaining time.
    std::vector<migration_hint> hints;
    for (const running_stream& stream : streams) {
        if (hints.size() == limit)
            break;
        const stream_target* from = findTarget(targets, stream.target);
        if (!from || !from->exportsCache)
            continue;
        stream_target* to = fastestWithCapacity(targets, stream.target);
        if (!to || to->tokensPerSecond == 0)
            continue;
        const duration currentRemaining = remaining(stream, from->tokensPerSecond);
        const duration remainingAfterMove = remaining(stream, to->tokensPerSecond) + migrationCost;
        if (remainingAfterMove > currentRemaining / 2)
            continue;
        --to->freeStreams;
        hints.push_back({ stream.stream, stream.target, to->id });
    }
    return hints;
}

} // namespace lovagerail
