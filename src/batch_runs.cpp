// Runs of batch items: choice of the target, handling of the answer stream, and moves away
// from slow replicas; see batch_runner.h.
#include "batch_runner.h"
#include "http_status.h"
#include "stream_continuation.h"

#include <algorithm>
#include <cassert>
#include <xxhash.h>

namespace lovagerail {

namespace {

    bool contains(const std::vector<weight_version>& versions, weight_version version)
    {
        return std::find(versions.begin(), versions.end(), version) != versions.end();
    }

    // Whether the text may not go on at the target, as its weights are newer and the route demands a single version.
    // Listed versions may be late and only grow, so one listed with an older version may have the text's by now.
    bool isTooNewFor(const listed_target& listed, const site_route& route, const model_id& model, const partial_text& text)
    {
        return route.singleVersion && !text.data.empty() && labelNumber(listed.labels, "version:" + model.str()) > text.versions.front().value();
    }

} // namespace

std::uint32_t batch_runner::slotsOf(target_slot slot) const
{
    const auto stated = labelNumber(m_router.table().record(slot).listed.labels, "slots");
    return stated == 0 ? m_settings.defaultSlots : stated;
}

bool batch_runner::isFull(target_slot slot, instant now) const
{
    const auto load = m_router.load().view(slot, now);
    return load.ownRequests + load.otherRequests >= slotsOf(slot);
}

// Replicas with all slots taken, or that have just refused an item of this batch.
std::vector<target_id> batch_runner::fullTargets(batch_state& batch, instant now) const
{
    std::vector<target_id> out;
    std::erase_if(batch.refusedUntil, [now](const auto& entry) { return now >= entry.second; });
    for (const auto& [target, until] : batch.refusedUntil)
        out.push_back(target);
    for (const auto slot : m_router.table().allowed(batch.anyClass)) {
        if (isFull(slot, now))
            out.push_back(m_router.table().record(slot).listed.id);
    }
    return out;
}

void batch_runner::dispatch(batch_state& batch, instant now, const std::vector<bool>& marked)
{
    if (batch.ended || m_itemsHeld)
        return;
    auto full = fullTargets(batch, now);
    const auto limit = m_lease.limit(shareKey(batch), now);
    auto running = limit ? runningOf(shareKey(batch)) : 0;
    for (const auto index : batch.order) {
        auto& item = batch.items[index];
        if (item.stage != item_stage::Waiting || now < item.retryAt || (!marked.empty() && !marked[index]))
            continue;
        if (now >= batch.itemDeadline) {
            finishItem(batch, index, false, {}, now);
            continue;
        }
        // An item that was moved held a slot of the share already.
        if (limit && running >= *limit && item.moves == 0) {
            m_counts.held += marked.empty() ? 1 : 0;
            return;
        }
        if (!send(batch, index, full, now))
            return; // no free slot; a later item must not overtake this one
        running += item.stage == item_stage::Running ? 1 : 0;
        full = fullTargets(batch, now);
    }
}

// Chooses a target among those that may run the item; one much slower than is typical only if there
// is no other.
route_decision batch_runner::chooseTarget(const batch_state& batch, route_request& routeRequest, instant now)
{
    const auto requiredExclusions = routeRequest.excluded.size();
    for (const auto& [target, pace] : m_paces) {
        const auto seconds = pace.secondsPerEvent(m_settings.paceExpiry, now);
        if (batch.typicalPace > 0 && seconds && *seconds > batch.typicalPace * m_settings.moveSpeedup)
            routeRequest.excluded.push_back(target);
    }
    auto decision = m_router.choose(routeRequest, now);
    if (std::holds_alternative<no_route>(decision) && routeRequest.excluded.size() > requiredExclusions) {
        routeRequest.excluded.resize(requiredExclusions); // a slow replica is better than none
        decision = m_router.choose(routeRequest, now);
    }
    routeRequest.excluded.resize(requiredExclusions);
    return decision;
}

// The targets that an item may be sent to: a text that was begun at a service stays there while it has targets.
const routing_class_id& batch_runner::classFor(const batch_state& batch, const item_state& item) const
{
    const auto& software = item.generated.software;
    const bool staysElsewhere = !software.empty() && !m_router.hasLive(placeClass(batch), software) && m_router.hasLive(batch.anyClass, software);
    return staysElsewhere ? batch.anyClass : placeClass(batch);
}

// Discards the text so far; the item is generated anew.
void batch_runner::dropText(item_state& item)
{
    item.generated = {};
    item.eventsStored = 0;
}

bool batch_runner::send(batch_state& batch, std::size_t index, const std::vector<target_id>& full, instant now)
{
    const auto& spec = batch.spec.items[index];
    auto& item = batch.items[index];

    // Step 1. Choose a target: not a full or avoided one, and for a text one with the software that
    // began it and, if the route demands it, with its version. A text that none can go on with is generated anew.
    route_request routeRequest;
    routeRequest.routingClass = classFor(batch, item);
    routeRequest.account = batch.spec.account;
    routeRequest.run = run_id(batch.spec.model.str());
    routeRequest.promptBlocks = hashParts(batch.spec.model, spec.prompt);
    routeRequest.promptTokens = spec.promptTokens;
    routeRequest.expectedTokens = spec.expectedTokens;
    routeRequest.idempotent = routeRequest.resumable = routeRequest.returnable = true;
    routeRequest.excluded = full;
    std::erase_if(item.avoidUntil, [now](const auto& entry) { return now >= entry.second; });
    for (const auto& [target, until] : item.avoidUntil)
        routeRequest.excluded.push_back(target);
    routeRequest.seed = XXH64(spec.id.str().data(), spec.id.str().size(), m_lastAttempt);
    routeRequest.software = item.generated.software;
    const auto requiredExclusions = routeRequest.excluded.size();
    for (const auto slot : m_router.table().allowed(routeRequest.routingClass)) {
        const auto& listed = m_router.table().record(slot).listed;
        if (isTooNewFor(listed, batch.route, batch.spec.model, item.generated))
            routeRequest.excluded.push_back(listed.id);
    }
    auto decision = chooseTarget(batch, routeRequest, now);
    if (std::holds_alternative<no_route>(decision) && !routeRequest.software.empty()) {
        const auto resumeClass = std::exchange(routeRequest.routingClass, placeClass(batch));
        routeRequest.software = {};
        routeRequest.excluded.resize(requiredExclusions);
        auto other = chooseTarget(batch, routeRequest, now);
        if (std::holds_alternative<route_choice>(other)) {
            if (!item.beginAnewAt)
                item.beginAnewAt = m_router.hasLive(resumeClass, item.generated.software) ? now + m_settings.maxResumeWait : now;
            if (now < *item.beginAnewAt) {
                delayRetry(item, m_settings.refusedRetryDelay, now);
                return true;
            }
            ++m_counts.begunAnew;
            dropText(item);
            decision = std::move(other);
        }
    }
    const auto* choice = std::get_if<route_choice>(&decision);
    if (choice == nullptr) {
        // An item that can't be sent only because it avoids replicas must not block the others.
        if (!item.avoidUntil.empty())
            delayRetry(item, m_settings.refusedRetryDelay, now);
        return !item.avoidUntil.empty();
    }

    // Step 2. Resume after the last event, with the same weights if the route demands a
    // single version per text.
    run_item run;
    run.attempt = attempt_id(++m_lastAttempt);
    run.batch = batch.spec.id;
    run.index = index;
    run.choice = *choice;
    run.deadline = batch.itemDeadline - now;
    if (!item.generated.data.empty()) {
        run.lastEventId = item.generated.lastEventId;
        run.began = item.generated.software;
        if (batch.route.singleVersion)
            run.expectVersion = item.generated.versions.front();
        ++m_counts.resumed;
    }
    open_run open;
    open.batch = batch.spec.id;
    open.index = index;
    open.target = choice->target;
    open.software = choice->software;
    open.resumedFrom = item.generated.data.size();
    open.sentAt = open.lastReceivedAt = now;
    m_runs[run.attempt] = open;
    item.stage = item_stage::Running;
    item.attempt = run.attempt;
    item.beginAnewAt.reset();
    m_router.started(run.attempt, *choice, routeRequest, now);
    ++m_counts.runs;
    m_actions.emplace_back(std::move(run));
    return true;
}

// Ends a run. Its item waits again and keeps its text.
void batch_runner::endRun(attempt_id attempt, attempt_outcome outcome, instant now)
{
    const auto found = m_runs.find(attempt);
    assert(found != m_runs.end());
    const auto run = found->second;
    m_runs.erase(found);
    auto& batch = m_batches.at(run.batch);
    auto& item = batch.items[run.index];
    const auto newEvents = item.generated.data.size() - std::min(item.generated.data.size(), run.resumedFrom);
    m_router.ended(attempt, { outcome, token_count(static_cast<std::uint64_t>(static_cast<double>(newEvents) * batch.places.tokensPerEvent)), std::nullopt }, now);
    item.attempt.reset();
    item.stage = item_stage::Waiting;
}

void batch_runner::delayRetry(item_state& item, duration pause, instant now) { item.retryAt = now + pause; }

std::vector<batch_action> batch_runner::head(attempt_id attempt, const item_head& head, instant now)
{
    const auto found = m_runs.find(attempt);
    if (found == m_runs.end())
        return {};
    auto& run = found->second;
    run.head = head;
    run.headSeen = true;
    run.lastReceivedAt = now;
    auto& batch = m_batches.at(run.batch);
    auto& item = batch.items[run.index];
    if (head.status != statusOk || head.notRun)
        return takeActions(); // handled in done()
    m_router.firstToken(attempt, now);

    // Cancel an answer that is no stream, and a stream of another item or of weights that this batch does not allow. A
    // stream resumed after the text's last event may have nothing left to generate, and
    // then states no version.
    const bool resumed = !item.generated.data.empty();
    const bool versionTooOld = head.version ? *head.version < batch.spec.minVersion : !resumed;
    const bool versionChanged = batch.route.singleVersion && resumed && head.version && *head.version != item.generated.versions.front();
    if (head.echoesId && isStreamHead(head.status, head.isEventStream) && !versionTooOld && !versionChanged) {
        run.accepted = true;
        run.version = head.version.value_or(weight_version());
        return takeActions();
    }
    ++m_counts.wrongVersion;
    item.avoidUntil[run.target] = now + m_settings.avoidUntilRefresh;
    m_actions.emplace_back(cancel_run { attempt, cancel_reason::WrongAnswer });
    endRun(attempt, attempt_outcome::Refused, now);
    return takeActions();
}

std::vector<batch_action> batch_runner::events(attempt_id attempt, const std::vector<batch_event>& events, instant now)
{
    const auto found = m_runs.find(attempt);
    if (found == m_runs.end() || !found->second.accepted)
        return {};
    auto& run = found->second;
    auto& batch = m_batches.at(run.batch);
    auto& item = batch.items[run.index];
    // A target that came back under its id with other software may have made these events.
    if (const auto slot = m_router.table().find(run.target); slot && m_router.table().record(*slot).listed.software() != run.software) {
        dropText(item);
        m_actions.emplace_back(cancel_run { attempt, cancel_reason::BrokenText });
        endRun(attempt, attempt_outcome::Failure, now);
        ++m_counts.broken;
        return takeActions();
    }
    updatePace(run, batch.typicalPace, events.size(), now);
    run.lastReceivedAt = now;
    for (const auto& event : events) {
        if (event.version)
            run.version = *event.version;
        // Step 1. Skip repeated events. Cancel the run at an event that doesn't follow the text, at a second
        // version if the route demands a single one, or if no version was reported.
        auto& text = item.generated;
        const bool isFirst = text.data.empty();
        const auto isSame = [&](std::uint64_t earlier) {
            const auto distance = text.lastEventId - earlier;
            return distance < text.data.size() && text.data[text.data.size() - 1 - distance] == event.data;
        };
        const auto order = orderOf(isFirst ? std::nullopt : std::optional(text.lastEventId), event.id, isSame);
        if (order == event_order::Repeated)
            continue;
        const bool isOutOfOrder = order == event_order::Broken;
        const bool isSecondVersion = batch.route.singleVersion && !isFirst && run.version != item.generated.versions.front();
        const bool versionUnknown = run.version == weight_version(); // neither the head nor an event has stated a version
        if (isOutOfOrder || isSecondVersion || versionUnknown) {
            if (isSecondVersion)
                dropText(item); // the route demands a single version
            if (isOutOfOrder)
                item.avoidUntil[run.target] = now + m_settings.avoidUntilRefresh;
            m_actions.emplace_back(cancel_run { attempt, cancel_reason::BrokenText });
            endRun(attempt, attempt_outcome::Failure, now);
            ++m_counts.broken;
            return takeActions();
        }

        // Step 2. Append the event and note the version that generated it.
        if (item.generated.data.size() == item.eventsStored)
            item.unstoredSince = now;
        if (isFirst)
            item.generated.software = run.software;
        item.generated.data.push_back(event.data);
        item.generated.lastEventId = *event.id;
        if (!contains(item.generated.versions, run.version))
            item.generated.versions.push_back(run.version);
    }
    return takeActions();
}

std::vector<batch_action> batch_runner::done(attempt_id attempt, run_end end, instant now)
{
    const auto found = m_runs.find(attempt);
    if (found == m_runs.end())
        return {};
    const auto run = found->second;
    auto& batch = m_batches.at(run.batch);
    auto& item = batch.items[run.index];

    // A run that adds nothing to a text and ends in order confirms the end of that text.
    const bool addsNothing = run.resumedFrom > 0 && item.generated.data.size() == run.resumedFrom;
    const bool isBroken = end == run_end::BrokenOff || end == run_end::NotSent || (end == run_end::Unproven && run.accepted && !addsNothing);
    if (isBroken || !run.headSeen || !run.head.echoesId) {
        // Step 1. The stream broke off: resume at another target.
        ++m_counts.broken;
        endRun(attempt, attempt_outcome::Reset, now);
        item.avoidUntil[run.target] = now + (end == run_end::NotSent ? m_settings.avoidUntilRefresh : m_settings.avoidAfterFailure);
    } else if (run.accepted && !item.generated.data.empty()) {
        // Step 2. The text is complete.
        learnPace(batch, run, now);
        endRun(attempt, attempt_outcome::Success, now);
        finishText(batch, run.index, now);
    } else if (run.head.notRun) {
        // Step 3. Refused, not run: the replica is full, loads weights, or the request
        // reached another replica or incarnation than the one addressed.
        ++m_counts.refused;
        endRun(attempt, attempt_outcome::Refused, now);
        batch.refusedUntil[run.target] = now + (run.head.status == statusMisdirectedRequest ? m_settings.avoidUntilRefresh : m_settings.avoidAfterRefusal);
    } else {
        // Step 4. The replica answered with an error.
        endRun(attempt, attempt_outcome::Failure, now);
        item.avoidUntil[run.target] = now + m_settings.avoidAfterFailure;
        delayRetry(item, m_settings.refusedRetryDelay, now);
        item.failures += run.head.status == statusServerError;
        if (run.head.status == statusUnprocessableContent || item.failures >= batch.route.maxAttempts)
            finishItem(batch, run.index, false, {}, now);
    }
    return takeActions();
}

// Learns how long an expected token takes; callers' estimates may be wrong by a constant factor.
void batch_runner::learnPace(const batch_state& batch, const open_run& run, instant now)
{
    constexpr double paceSmoothing = 0.05; // in the moving average: a step has about a hundred items
    const auto expected = static_cast<double>(batch.spec.items[run.index].expectedTokens.count());
    const auto tokens = expected - static_cast<double>(run.resumedFrom) * batch.places.tokensPerEvent;
    if (tokens < expected / 2 || expected == 0)
        return; // a short rest says little
    const double seconds = std::chrono::duration<double>(now - run.sentAt).count() / tokens;
    const auto [known, isFirst] = m_secondsPerToken.try_emplace(shareKey(run).first, seconds);
    known->second += isFirst ? 0 : (seconds - known->second) * paceSmoothing;
}

// Counts the time since the run's last event towards its lag, its pace and that of its replica. A long
// gap counts in part only.
void batch_runner::updatePace(open_run& run, double typicalPace, std::size_t events, instant now)
{
    constexpr double startSmoothing = 0.05; // weight of one run
    if (run.events == 0) {
        m_runStartSeconds += startSmoothing * (std::chrono::duration<double>(now - run.sentAt).count() - m_runStartSeconds);
        run.events = events;
        return;
    }
    double seconds = std::chrono::duration<double>(now - run.lastReceivedAt).count();
    if (typicalPace > 0) {
        const double allowed = static_cast<double>(events) * typicalPace * m_settings.moveSpeedup;
        seconds = std::min(seconds, allowed + std::chrono::duration<double>(m_settings.maxLagPerGap).count());
        run.lagSeconds = std::max(0.0, run.lagSeconds + seconds - allowed);
    }
    run.pace.add(seconds, events, m_settings.runPaceHalfLife, now);
    m_paces[run.target].add(seconds, events, m_settings.paceHalfLife, now);
    run.events += events;
}

std::optional<double> batch_runner::paceOf(const target_id& target, instant now) const
{
    const auto found = m_paces.find(target);
    return found == m_paces.end() ? std::nullopt : found->second.secondsPerEvent(m_settings.paceExpiry, now);
}

// Seconds per event at the batch's replicas, whether they are free or not; 0 if unknown. The lower
// quartile and not the median, so that it holds while up to three quarters of them are slow.
double batch_runner::typicalPace(const batch_state& batch, instant now) const
{
    constexpr std::size_t quartile = 4;
    std::vector<double> paces;
    for (const auto slot : m_router.table().allowed(placeClass(batch))) {
        if (const auto pace = paceOf(m_router.table().record(slot).listed.id, now))
            paces.push_back(*pace);
    }
    if (paces.empty())
        return 0;
    const auto position = paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / quartile);
    std::nth_element(paces.begin(), position, paces.end());
    return *position;
}

// The median pace, in seconds per event, of the replicas that could take the item now and are not slow;
// empty if there is none. One without a recent pace counts as typical, slowed down as it states itself.
std::optional<double> batch_runner::typicalFreePace(const batch_state& batch, const item_state& item, const target_id& from, const std::vector<target_id>& full, instant now) const
{
    std::vector<double> paces;
    for (const auto slot : m_router.table().allowed(classFor(batch, item))) {
        const auto& listed = m_router.table().record(slot).listed;
        const auto& target = listed.id;
        if (target == from || (!item.generated.software.empty() && listed.software() != item.generated.software))
            continue;
        if (isTooNewFor(listed, batch.route, batch.spec.model, item.generated))
            continue;
        const auto avoided = item.avoidUntil.find(target);
        if (!m_router.mayStart(slot, now) || std::find(full.begin(), full.end(), target) != full.end() || (avoided != item.avoidUntil.end() && now < avoided->second))
            continue;
        const auto known = paceOf(target, now);
        const double pace = known ? *known : batch.typicalPace * m_router.load().view(slot, now).lastingSlowdown;
        if (pace <= batch.typicalPace * m_settings.moveSpeedup)
            paces.push_back(pace);
    }
    if (paces.empty())
        return std::nullopt;
    const auto middle = paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
    std::nth_element(paces.begin(), middle, paces.end());
    return *middle;
}

bool batch_runner::shouldMove(const open_run& run, batch_state& batch, instant now) const
{
    // Step 1. The slowness has lasted, and it still does.
    const auto& item = batch.items[run.index];
    const auto pace = run.pace.secondsPerEvent(m_settings.paceExpiry, now);
    if (!pace || run.events < m_settings.minEventsForPace || item.moves >= m_settings.maxMoves)
        return false;
    if (run.lagSeconds < std::chrono::duration<double>(m_settings.moveLag).count())
        return false;
    const auto expected = typicalFreePace(batch, item, run.target, fullTargets(batch, now), now);
    if (!expected || *pace < *expected * m_settings.moveSpeedup)
        return false;

    // Step 2. The remaining length is unknown. Take the caller's estimate, but at least a third of the
    // length so far. What is left must save more than the start of a new run costs.
    constexpr double minShareLeft = 1.0 / 3;
    const auto receivedEvents = static_cast<double>(item.generated.data.size());
    const auto estimatedEvents = static_cast<double>(batch.spec.items[run.index].expectedTokens.count()) / batch.places.tokensPerEvent;
    const double remainingEvents = std::max(estimatedEvents - receivedEvents, receivedEvents * minShareLeft);
    return remainingEvents * (*pace - *expected) - m_runStartSeconds >= std::chrono::duration<double>(m_settings.minMoveGain).count();
}

// Moves runs from slow replicas to much faster ones with a free slot, where they resume
// after their last event: a training step ends with its slowest item. The decision uses
// timing only and never the content of a sample.
void batch_runner::moveStragglers(instant now)
{
    if (m_itemsHeld)
        return;
    std::vector<attempt_id> moving;
    for (const auto& [attempt, run] : m_runs) {
        if (shouldMove(run, m_batches.at(run.batch), now))
            moving.push_back(attempt);
    }
    for (const auto attempt : moving) {
        const auto run = m_runs.at(attempt);
        auto& batch = m_batches.at(run.batch);
        auto& item = batch.items[run.index];
        // An earlier move in this loop may have taken the free slot.
        if (!typicalFreePace(batch, item, run.target, fullTargets(batch, now), now))
            continue;
        ++m_counts.moved;
        ++item.moves;
        // Its average still contains the time before; the next items must not be sent there meanwhile.
        m_paces[run.target].assign(run.pace, now);
        m_actions.emplace_back(cancel_run { attempt, cancel_reason::Moved });
        endRun(attempt, attempt_outcome::Refused, now);
        item.avoidUntil[run.target] = now + m_settings.paceExpiry;
        dispatch(batch, now);
    }
}

} // namespace lovagerail
