// Handlers of a run for events of the trainer, engines, judge, payload holders and timers.
#include "run.h"

#include <algorithm>

namespace lovagerail {

namespace {

    bool isSettled(slot_state state)
    {
        return state == slot_state::Sealed || state == slot_state::HandedOver;
    }

} // namespace

// --- Trainer ---

weight_version run_coordinator::knownVersion() const
{
    weight_version version = m_head.trainerVersion;
    for (const pending_version& pending : m_pendingVersions)
        version = std::max(version, pending.version);
    return version;
}

void run_coordinator::onEvent(const version_published& event, instant now)
{
    const weight_version currentVersion = knownVersion();
    if (event.version < currentVersion)
        return refuse(event.call, error_code::InvalidArgument, "the trainer's version never falls");
    m_pendingVersions.push_back({ event.call, now, event.version });
    if (event.version == currentVersion)
        return;
    if (m_lastPublished)
        m_publishInterval.add(now - *m_lastPublished);
    m_lastPublished = now;
    expireSlots(now);
}

// Keeps one batch request: the latest of those with the highest cursor. Others are
// answered with "not yet".
void run_coordinator::onEvent(const batch_requested& event, instant now)
{
    if (m_batchRequest && event.cursor < m_batchRequest->cursor) {
        m_actions.emplace_back(answer_not_yet { event.call, m_settings.backoffFloor, 0 });
        return;
    }
    if (m_batchRequest)
        m_actions.emplace_back(answer_not_yet { m_batchRequest->call, m_settings.backoffFloor, 0 });
    m_batchRequest = batch_request { event.call, event.cursor, m_eventNumber, now };
}

void run_coordinator::onEvent(const batch_request_closed& event, instant)
{
    if (m_batchRequest && m_batchRequest->call == event.call)
        m_batchRequest.reset();
}

// --- Streams ---

void run_coordinator::onEvent(const served_version& event, instant)
{
    m_servedVersion = event.version;
}

void run_coordinator::onEvent(const dispatch_accepted& event, instant)
{
    slot* item = findByStream(event.stream, slot_state::Dispatched);
    if (item)
        setState(event.stream.slot, *item, slot_state::Generating);
}

// Nothing ran. If no token was generated yet, the attempt number is not reused: the next
// dispatch takes a new one.
void run_coordinator::onEvent(const dispatch_refused& event, instant now)
{
    slot* item = findByStream(event.stream, slot_state::Dispatched);
    if (!item)
        return;
    item->resuming = item->generated.nextToken() > 0;
    item->timerAt = now + m_settings.backoffFloor;
    setState(event.stream.slot, *item, slot_state::Queued);
    enqueue(event.stream.slot, *item, now);
}

void run_coordinator::onEvent(const chunk_received& event, instant now)
{
    slot* item = findByStream(event.stream, slot_state::Dispatched);
    if (item)
        setState(event.stream.slot, *item, slot_state::Generating);
    else
        item = findByStream(event.stream, slot_state::Generating);
    if (!item)
        return;
    if (item->generated.append(event.chunk)) {
        ++m_counts.unusable;
        return restartLater(event.stream.slot, *item, now);
    }
    const std::vector<version_span>& spans = item->generated.spans();
    if (!spans.empty() && ageOf(spans, knownVersion()) > m_settings.stalenessBound) {
        ++m_counts.expired;
        restartLater(event.stream.slot, *item, now);
    }
}

void run_coordinator::onEvent(const generation_finished& event, instant now)
{
    slot* item = findByStream(event.stream, slot_state::Generating);
    if (!item)
        item = findByStream(event.stream, slot_state::Dispatched);
    if (!item)
        return;
    if (item->generated.finish(event.tokens)) {
        ++m_counts.unusable;
        return restartLater(event.stream.slot, *item, now);
    }
    startJudge(event.stream.slot, *item, now);
}

void run_coordinator::onEvent(const generation_failed& event, instant now)
{
    slot* item = findByStream(event.stream, slot_state::Generating);
    if (!item)
        item = findByStream(event.stream, slot_state::Dispatched);
    if (!item)
        return;
    if (!event.resumable || item->generated.nextToken() == 0)
        return restartLater(event.stream.slot, *item, now);
    item->resuming = true;
    item->timerAt = now + backoff(item->tries++);
    setState(event.stream.slot, *item, slot_state::Queued);
    enqueue(event.stream.slot, *item, now);
}

// --- Judge ---

void run_coordinator::startJudge(const slot_id& id, slot& item, instant now)
{
    setState(id, item, slot_state::Judging);
    item.judgeCalled = true;
    setTimer(id, item, now + m_settings.judgeTimeout);
    m_actions.emplace_back(call_judge { { id, item.attempt, item.leg } });
}

void run_coordinator::onEvent(const sample_judged& event, instant)
{
    slot* item = findByStream(event.stream, slot_state::Judging);
    if (!item || !item->judgeCalled)
        return;
    m_timers.erase({ item->timerAt, event.stream.slot });
    item->judgeCalled = false;
    setState(event.stream.slot, *item, slot_state::Judged);
    m_actions.emplace_back(store_payload { event.stream, item->generated.spans() });
}

void run_coordinator::onEvent(const judge_failed& event, instant now)
{
    slot* item = findByStream(event.stream, slot_state::Judging);
    if (item && item->judgeCalled)
        judgeEnded(event.stream.slot, *item, event.outcome, now);
}

// A judge that is not idempotent is called again only if the call certainly did not run.
// Otherwise the sample is abandoned. A coordinator that takes over doesn't know unsealed
// attempts, so it can't call the judge for them again. Hence such a judge never runs twice
// for an attempt, although no intent is recorded before a call.
void run_coordinator::judgeEnded(const slot_id& id, slot& item, call_outcome outcome, instant now)
{
    item.judgeCalled = false;
    ++item.judgeTries;
    const bool callAgain = outcome == call_outcome::NotRun || (m_settings.judgeIdempotent && item.judgeTries < m_settings.judgeTries);
    if (callAgain)
        return setTimer(id, item, now + backoff(item.judgeTries));
    ++m_counts.judgeUnknown;
    restartLater(id, item, now);
}

// --- Payloads ---

void run_coordinator::onEvent(const payload_stored& event, instant now)
{
    slot* item = findByStream(event.stream, slot_state::Judged);
    if (!item || item->stored)
        return;
    if (event.holders.empty())
        return onEvent(payload_refused { event.stream }, now);
    m_timers.erase({ item->timerAt, event.stream.slot });
    const slot_id& id = event.stream.slot;
    item->stored = true;
    item->candidate = { id.group, id.sample, item->attempt, event.payload, item->generated.spans(), event.holders };
    m_sampleTime.add(now - item->dispatchedAt);
    step_state& step = m_steps.at(id.step);
    if (step.ready.empty())
        step.readySince = now;
    step.ready.insert(indexOf(id));
}

void run_coordinator::onEvent(const payload_refused& event, instant now)
{
    slot* item = findByStream(event.stream, slot_state::Judged);
    if (item && !item->stored)
        setTimer(event.stream.slot, *item, now + backoff(item->tries++));
}

void run_coordinator::onEvent(const payload_lost& event, instant now)
{
    slot* item = findSlot(event.slot);
    if (!item || item->attempt != event.attempt)
        return;
    if (isSettled(item->state) || (item->state == slot_state::Judged && item->stored))
        handleLostPayload(event.slot, *item, now);
}

// The group has to be supplied again by the trainer; until then its slots aren't dispatched.
void run_coordinator::handleLostPrompt(step_number step, group_record& group)
{
    group.holders.clear();
    const std::uint32_t firstSlot = group.group.value() * m_settings.groupSize;
    for (std::uint32_t index = firstSlot; index < firstSlot + m_settings.groupSize; ++index) {
        const slot_id id = slotAt(step, index);
        m_queue.erase(entryOf(id, *findSlot(id)));
    }
}

void run_coordinator::onEvent(const prompt_lost& event, instant)
{
    const auto found = m_steps.find(event.step);
    if (found == m_steps.end() || event.group.value() >= found->second.groups.size())
        return;
    std::optional<group_record>& group = found->second.groups[event.group.value()];
    if (group)
        handleLostPrompt(event.step, *group);
}

void run_coordinator::onEvent(const holder_lost& event, instant now)
{
    for (auto& [step, state] : m_steps) {
        // Step 1. Prompts.
        for (std::optional<group_record>& group : state.groups) {
            if (group && std::erase(group->holders, event.holder) > 0 && group->holders.empty())
                handleLostPrompt(step, *group);
        }

        // Step 2. Samples.
        for (std::uint32_t index = 0; index < state.slots.size(); ++index) {
            slot& item = state.slots[index];
            if (item.record)
                std::erase(item.record->holders, event.holder);
            std::erase(item.candidate.holders, event.holder);
            const bool sealedUnheld = isSettled(item.state) && item.record->holders.empty();
            const bool readyUnheld = item.state == slot_state::Judged && item.stored && item.candidate.holders.empty();
            if (sealedUnheld || readyUnheld)
                handleLostPayload(slotAt(step, index), item, now);
        }
    }
}

// --- Time ---

void run_coordinator::onEvent(const tick&, instant now)
{
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
        const slot_id id = m_timers.begin()->second;
        m_timers.erase(m_timers.begin());
        slot* item = findSlot(id);
        if (item)
            runTimer(id, *item, now);
    }
}

void run_coordinator::runTimer(const slot_id& id, slot& item, instant now)
{
    const stream_id stream { id, item.attempt, item.leg };
    switch (item.state) {
    case slot_state::Queued:
        enqueue(id, item, now);
        break;
    case slot_state::Judging:
        if (!item.judgeCalled)
            return startJudge(id, item, now);
        m_actions.emplace_back(cancel_judge { stream });
        judgeEnded(id, item, call_outcome::Unknown, now);
        break;
    case slot_state::Judged:
        if (!item.stored)
            m_actions.emplace_back(store_payload { stream, item.generated.spans() });
        break;
    default:
        break;
    }
}

} // namespace lovagerail
