// Runs of the board's items: where they are sent, what their streams bring, and moves
// away from slow replicas; see batch_board.h.
#include "batch_board.h"
#include "http_status.h"

#include <algorithm>
#include <cassert>
#include <xxhash.h>

namespace lovagerail {

namespace {

    bool contains(const std::vector<weight_version>& versions, weight_version wanted)
    {
        return std::find(versions.begin(), versions.end(), wanted) != versions.end();
    }

} // namespace

bool batch_board::isFull(target_slot slot, instant now) const
{
    const auto stated = labelNumber(m_router.table().record(slot).listed.labels, "slots");
    const auto slots = stated == 0 ? m_settings.slotsUnknown : stated;
    const auto load = m_router.load().view(slot, now);
    return load.ownRequests + load.otherRequests >= slots;
}

// Replicas that already have as many requests as they run at once, or have just said so.
std::vector<target_id> batch_board::fullTargets(batch_state& batch, instant now) const
{
    std::vector<target_id> out;
    std::erase_if(batch.closed, [now](const auto& entry) { return now >= entry.second; });
    for (const auto& [target, until] : batch.closed)
        out.push_back(target);
    for (const auto slot : m_router.table().allowed(batch.targets)) {
        if (isFull(slot, now))
            out.push_back(m_router.table().record(slot).listed.id);
    }
    return out;
}

void batch_board::dispatch(batch_state& batch, instant now)
{
    if (batch.ended)
        return;
    auto full = fullTargets(batch, now);
    for (const auto index : batch.order) {
        auto& item = batch.items[index];
        if (item.at != phase::Waiting || now < item.notBefore)
            continue;
        if (now >= batch.itemsEnd) {
            finishItem(batch, index, false, {}, now);
            continue;
        }
        if (!send(batch, index, full, now))
            return; // no room; later items would only take what earlier ones wait for
        full = fullTargets(batch, now);
    }
}

bool batch_board::send(batch_state& batch, std::size_t index, const std::vector<target_id>& full, instant now)
{
    const auto& spec = batch.spec.items[index];
    auto& item = batch.items[index];

    // Step 1. Where to.
    route_request asked;
    asked.routingClass = batch.targets;
    asked.account = batch.spec.account;
    asked.run = run_id(batch.spec.model.str());
    asked.promptBlocks = hashParts(batch.spec.model, spec.prompt);
    asked.promptTokens = spec.promptTokens;
    asked.expectedTokens = spec.expectedTokens;
    asked.idempotent = asked.resumable = asked.returnable = true;
    asked.excluded = full;
    std::erase_if(item.avoid, [now](const auto& entry) { return now >= entry.second; });
    for (const auto& [target, until] : item.avoid)
        asked.excluded.push_back(target);
    asked.seed = XXH64(spec.id.str().data(), spec.id.str().size(), m_lastAttempt);
    const auto others = asked.excluded.size();
    if (const auto best = fastestFree(batch, item, full, now)) {
        for (const auto& [target, pace] : m_paces) {
            if (now - pace.at < m_settings.paceMemory && pace.seconds > *best * m_settings.movePace)
                asked.excluded.push_back(target);
        }
    }
    auto decision = m_router.choose(asked, now);
    if (std::holds_alternative<no_route>(decision) && asked.excluded.size() > others) {
        asked.excluded.resize(others); // a slow replica rather than none
        decision = m_router.choose(asked, now);
    }
    const auto* choice = std::get_if<route_choice>(&decision);
    if (choice == nullptr) {
        // An item that merely avoids replicas doesn't hold up the others.
        if (!item.avoid.empty())
            wait(item, m_settings.refusedPause, now);
        return !item.avoid.empty();
    }

    // Step 2. Go on behind what was made, under the same version where one is asked for.
    run_item run;
    run.attempt = attempt_id(++m_lastAttempt);
    run.batch = batch.spec.id;
    run.index = index;
    run.choice = *choice;
    run.deadline = batch.itemsEnd - now;
    if (!item.made.data.empty()) {
        run.lastEventId = item.made.lastEvent;
        if (batch.route.singleVersion)
            run.expectVersion = item.made.versions.front();
        ++m_counts.resumed;
    }
    open_run open;
    open.batch = batch.spec.id;
    open.index = index;
    open.target = choice->target;
    open.resumedFrom = item.made.data.size();
    open.sentAt = open.lastHeard = now;
    m_runs[run.attempt] = open;
    item.at = phase::Running;
    item.attempt = run.attempt;
    m_router.started(run.attempt, *choice, asked, now);
    ++m_counts.runs;
    m_actions.emplace_back(std::move(run));
    return true;
}

// The item goes back to waiting; what was made of it stays.
void batch_board::endRun(attempt_id attempt, attempt_outcome outcome, instant now)
{
    const auto found = m_runs.find(attempt);
    assert(found != m_runs.end());
    const auto run = found->second;
    m_runs.erase(found);
    auto& batch = m_batches.at(run.batch);
    auto& item = batch.items[run.index];
    const auto made = item.made.data.size() - std::min(item.made.data.size(), run.resumedFrom);
    m_router.ended(attempt, { outcome, token_count(static_cast<std::uint64_t>(static_cast<double>(made) * batch.tokensPerEvent)), std::nullopt }, now);
    item.attempt.reset();
    item.at = phase::Waiting;
}

void batch_board::wait(item_state& item, duration pause, instant now) { item.notBefore = now + pause; }

std::vector<board_action> batch_board::head(attempt_id attempt, const item_head& head, instant now)
{
    const auto found = m_runs.find(attempt);
    if (found == m_runs.end())
        return {};
    auto& run = found->second;
    run.head = head;
    run.headSeen = true;
    run.lastHeard = now;
    auto& batch = m_batches.at(run.batch);
    auto& item = batch.items[run.index];
    if (head.status != statusOk || head.notRun)
        return take(); // its end says what to do
    m_router.firstToken(attempt, now);

    // A stream of another item, or of weights that may not generate for this batch, is of
    // no use. One that goes on behind the last event has no version to state.
    const bool resumed = !item.made.data.empty();
    const bool oldWeights = head.version ? *head.version < batch.spec.leastVersion : !resumed;
    const bool otherWeights = batch.route.singleVersion && resumed && head.version && *head.version != item.made.versions.front();
    if (head.echoes && !oldWeights && !otherWeights) {
        run.accepted = true;
        run.version = head.version.value_or(weight_version());
        return take();
    }
    ++m_counts.wrongVersion;
    item.avoid[run.target] = now + m_settings.avoidWrong;
    m_actions.emplace_back(cancel_run { attempt });
    endRun(attempt, attempt_outcome::Refused, now);
    return take();
}

std::vector<board_action> batch_board::events(attempt_id attempt, const std::vector<batch_event>& events, instant now)
{
    const auto found = m_runs.find(attempt);
    if (found == m_runs.end() || !found->second.accepted)
        return {};
    auto& run = found->second;
    auto& batch = m_batches.at(run.batch);
    auto& item = batch.items[run.index];
    notePace(run, events.size(), now);
    run.lastHeard = now;
    for (const auto& event : events) {
        if (event.version)
            run.version = *event.version;
        // Step 1. Nothing twice, nothing missing, no second version where one is asked for.
        const bool first = item.made.data.empty();
        if (!first && event.id <= item.made.lastEvent)
            continue;
        const bool gap = !first && event.id != item.made.lastEvent + 1;
        const bool mixed = batch.route.singleVersion && !first && run.version != item.made.versions.front();
        const bool unnamed = run.version == weight_version(); // nothing says which weights made it
        if (gap || mixed || unnamed) {
            if (mixed) {
                item.made = {}; // it starts over under one version
                item.stored = 0;
            }
            m_actions.emplace_back(cancel_run { attempt });
            endRun(attempt, attempt_outcome::Failure, now);
            ++m_counts.broken;
            return take();
        }

        // Step 2. Keep it, with the version that made it.
        if (item.made.data.size() == item.stored)
            item.unstoredSince = now;
        item.made.data.push_back(event.data);
        item.made.lastEvent = event.id;
        if (!contains(item.made.versions, run.version))
            item.made.versions.push_back(run.version);
    }
    return take();
}

std::vector<board_action> batch_board::done(attempt_id attempt, bool whole, bool sent, instant now)
{
    const auto found = m_runs.find(attempt);
    if (found == m_runs.end())
        return {};
    const auto run = found->second;
    auto& batch = m_batches.at(run.batch);
    auto& item = batch.items[run.index];

    if (!whole || !run.headSeen || !run.head.echoes) {
        // Step 1. Broken off: it goes on elsewhere.
        ++m_counts.broken;
        endRun(attempt, attempt_outcome::Reset, now);
        item.avoid[run.target] = now + (sent ? m_settings.avoidBusy : m_settings.avoidWrong);
    } else if (run.accepted && !item.made.data.empty()) {
        // Step 2. The whole text.
        endRun(attempt, attempt_outcome::Success, now);
        finishText(batch, run.index, now);
    } else if (run.head.notRun) {
        // Step 3. Not run: the replica is full, loads weights or is another one.
        ++m_counts.refused;
        endRun(attempt, attempt_outcome::Refused, now);
        batch.closed[run.target] = now + (run.head.status == statusMisdirected ? m_settings.avoidWrong : m_settings.closedBusy);
    } else {
        // Step 4. The replica failed it.
        endRun(attempt, attempt_outcome::Failure, now);
        item.avoid[run.target] = now + m_settings.avoidBusy;
        wait(item, m_settings.refusedPause, now);
        item.failures += run.head.status == statusServerError;
        if (run.head.status == statusUnprocessable || item.failures >= batch.route.maxAttempts)
            finishItem(batch, run.index, false, {}, now);
    }
    return take();
}

duration batch_board::open_run::pace(std::size_t least) const
{
    return events < std::max<std::size_t>(least, 2) ? duration {} : (lastHeard - firstEventAt) / static_cast<std::int64_t>(events - 1);
}

void batch_board::notePace(open_run& run, std::size_t events, instant now)
{
    constexpr double weightOfNewest = 0.2; // of one report in the smoothed pace
    if (run.events == 0)
        run.firstEventAt = now;
    else {
        const double seconds = std::chrono::duration<double>(now - run.lastHeard).count() / static_cast<double>(events);
        auto& pace = m_paces[run.target];
        const bool fresh = now - pace.at < m_settings.paceMemory && pace.seconds > 0;
        pace.seconds = fresh ? pace.seconds + (seconds - pace.seconds) * weightOfNewest : seconds;
        pace.at = now;
    }
    run.events += events;
}

std::optional<double> batch_board::paceOf(const target_id& target, instant now) const
{
    const auto found = m_paces.find(target);
    if (found == m_paces.end() || now - found->second.at >= m_settings.paceMemory)
        return std::nullopt;
    return found->second.seconds;
}

// The pace of the fastest replica that could take this item now.
std::optional<double> batch_board::fastestFree(const batch_state& batch, const item_state& item, const std::vector<target_id>& full, instant now) const
{
    std::optional<double> best;
    for (const auto slot : m_router.table().allowed(batch.targets)) {
        const auto& target = m_router.table().record(slot).listed.id;
        const auto avoided = item.avoid.find(target);
        if (std::find(full.begin(), full.end(), target) != full.end() || (avoided != item.avoid.end() && now < avoided->second))
            continue;
        const auto pace = paceOf(target, now);
        if (pace && (!best || *pace < *best))
            best = pace;
    }
    return best;
}

// A step ends with its slowest item, so one that runs on a replica much slower than
// another with room goes on there, behind its last event. How the sample turns out
// plays no part in it.
void batch_board::moveStragglers(instant now)
{
    std::vector<attempt_id> moving;
    for (const auto& [attempt, run] : m_runs) {
        auto& batch = m_batches.at(run.batch);
        const auto& item = batch.items[run.index];
        const auto pace = std::chrono::duration<double>(run.pace(m_settings.leastEventsForPace)).count();
        if (pace <= 0 || item.moves >= m_settings.mostMoves)
            continue;
        const auto best = fastestFree(batch, item, fullTargets(batch, now), now);
        if (!best || pace < *best * m_settings.movePace)
            continue;
        // What is left is not known: what the caller guesses, and at least a third of
        // what was made.
        constexpr double leastShareLeft = 1.0 / 3;
        const auto made = static_cast<double>(item.made.data.size());
        const auto guessed = static_cast<double>(batch.spec.items[run.index].expectedTokens.count()) / batch.tokensPerEvent;
        const double left = std::max(guessed - made, made * leastShareLeft);
        if (left * (pace - *best) >= std::chrono::duration<double>(m_settings.moveGain).count())
            moving.push_back(attempt);
    }
    for (const auto attempt : moving) {
        const auto run = m_runs.at(attempt);
        auto& batch = m_batches.at(run.batch);
        auto& item = batch.items[run.index];
        // An earlier move of this round may have taken the room.
        if (!fastestFree(batch, item, fullTargets(batch, now), now))
            continue;
        ++m_counts.moved;
        ++item.moves;
        m_actions.emplace_back(cancel_run { attempt });
        endRun(attempt, attempt_outcome::Refused, now);
        item.avoid[run.target] = now + m_settings.paceMemory;
        dispatch(batch, now);
    }
}

} // namespace lovagerail
