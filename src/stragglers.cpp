// Forecasts, priorities, sharing and moving of streams.
#include "stragglers.h"

#include <algorithm>
#include <cassert>

namespace lovagerail {

namespace {

    constexpr std::int32_t basePriority = 100; // of a step that nobody waits for yet
    constexpr std::int32_t waitsBonus = 50;
    constexpr std::int32_t agingCeiling = 49; // aging alone doesn't overtake a step that is waited for
    constexpr std::int32_t stepsAheadCeiling = 50;
    constexpr std::uint64_t virtualScale = 1'024; // virtual time of one token at weight 1
    constexpr int smoothing = 8;

    // Time left at a target; the longest time there is if its speed is unknown.
    duration remaining(const running_stream& stream, std::uint32_t tokensPerSecond)
    {
        if (tokensPerSecond == 0)
            return duration::max();
        const std::uint64_t left = stream.maxTokens > stream.tokens ? stream.maxTokens - stream.tokens : 0;
        return std::chrono::milliseconds(left * 1'000 / tokensPerSecond);
    }

    const stream_target* findTarget(const std::vector<stream_target>& targets, const target_id& id)
    {
        for (const stream_target& target : targets) {
            if (target.id == id)
                return &target;
        }
        return nullptr;
    }

    // The fastest target with room that can import the stream's cache.
    stream_target* fastestFree(std::vector<stream_target>& targets, const target_id& except)
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

// A trainer that waits for this step publishes nothing until it has it, so the
// sample ages no further. Else it ages by a version for each step before it, or
// by what the cadence lets expect if that is more.
std::uint64_t predictAge(const age_forecast& forecast)
{
    const std::uint64_t lag = forecast.trainer > forecast.served ? forecast.trainer.value() - forecast.served.value() : 0;
    if (forecast.trainerWaits)
        return lag;
    std::uint64_t published = 0;
    if (forecast.cadence > duration::zero())
        published = static_cast<std::uint64_t>(forecast.expected / forecast.cadence);
    return lag + std::max(forecast.stepsAhead, published);
}

std::int32_t dispatchPriority(std::uint64_t stepsAhead, bool trainerWaits, duration waited, duration priorityStep)
{
    std::int32_t priority = basePriority;
    priority += static_cast<std::int32_t>(std::min<std::uint64_t>(stepsAhead, stepsAheadCeiling));
    if (trainerWaits)
        priority -= waitsBonus;
    if (priorityStep > duration::zero() && waited > duration::zero())
        priority -= static_cast<std::int32_t>(std::min<std::int64_t>(waited / priorityStep, agingCeiling));
    return priority;
}

void smoothed_duration::add(duration sample)
{
    m_value = m_any ? m_value + (sample - m_value) / smoothing : sample;
    m_any = true;
}

run_share::run_share(std::uint32_t floorOneIn)
    : m_floorOneIn(floorOneIn)
{
    assert(floorOneIn > 1);
}

void run_share::setWeight(const run_id& run, std::uint32_t weight)
{
    const auto [place, added] = m_runs.try_emplace(run);
    place->second.weight = std::max<std::uint32_t>(weight, 1);
    if (added)
        place->second.virtualTime = m_virtualTime;
}

void run_share::remove(const run_id& run)
{
    m_runs.erase(run);
}

std::optional<run_id> run_share::pick(const std::vector<run_id>& backlogged)
{
    // Step 1. Bring runs that were idle up to the present virtual time.
    std::vector<std::pair<run_id, account*>> candidates;
    std::uint64_t earliest = UINT64_MAX;
    for (const run_id& run : backlogged) {
        const auto place = m_runs.find(run);
        if (place == m_runs.end())
            continue;
        account& item = place->second;
        item.virtualTime = std::max(item.virtualTime, m_virtualTime);
        earliest = std::min(earliest, item.virtualTime);
        candidates.emplace_back(run, &item);
    }
    if (candidates.empty())
        return std::nullopt;
    m_virtualTime = earliest;

    // Step 2. The floor's turn, or the run that is furthest behind.
    ++m_picks;
    const bool floorTurn = m_picks % m_floorOneIn == 0;
    auto best = candidates.front();
    for (const auto& candidate : candidates) {
        const bool better = floorTurn ? candidate.second->lastPick < best.second->lastPick
                                      : candidate.second->virtualTime < best.second->virtualTime;
        if (better)
            best = candidate;
    }
    best.second->lastPick = m_picks;
    return best.first;
}

void run_share::charge(const run_id& run, token_count tokens)
{
    const auto place = m_runs.find(run);
    if (place == m_runs.end())
        return;
    place->second.virtualTime += tokens.count() * virtualScale / place->second.weight;
}

std::vector<migration_hint> migrationHints(std::vector<running_stream> streams, std::vector<stream_target> targets,
    duration moveCost, std::size_t limit)
{
    // Step 1. Those with the most left to do come first.
    std::sort(streams.begin(), streams.end(), [](const running_stream& left, const running_stream& right) {
        const auto leftOver = std::int64_t(left.maxTokens) - left.tokens;
        const auto rightOver = std::int64_t(right.maxTokens) - right.tokens;
        return leftOver != rightOver ? leftOver > rightOver : left.stream < right.stream;
    });

    // Step 2. Move what would be done in half the time, cost included.
    std::vector<migration_hint> hints;
    for (const running_stream& stream : streams) {
        if (hints.size() == limit)
            break;
        const stream_target* from = findTarget(targets, stream.target);
        if (!from || !from->exportsCache)
            continue;
        stream_target* to = fastestFree(targets, stream.target);
        if (!to || to->tokensPerSecond == 0)
            continue;
        const duration here = remaining(stream, from->tokensPerSecond);
        const duration there = remaining(stream, to->tokensPerSecond) + moveCost;
        if (there > here / 2)
            continue;
        --to->freeStreams;
        hints.push_back({ stream.stream, stream.target, to->id });
    }
    return hints;
}

} // namespace lovagerail
