// Life cycle of a run's slots: queueing, dispatch, restart and expiry.
#include "run.h"

#include <algorithm>
#include <cassert>

namespace lovagerail {

namespace {

    constexpr unsigned maxBackoffDoublings = 16;

    std::size_t stateIndex(slot_state state)
    {
        return static_cast<std::size_t>(state);
    }

} // namespace

run_coordinator::run_coordinator(run_settings settings)
    : m_settings(std::move(settings))
{
    assert(m_settings.groupSize > 0 && m_settings.groupsPerStep > 0 && m_settings.sealBatch > 0);
}

std::vector<run_action> run_coordinator::handle(const run_event& event, instant now)
{
    ++m_eventNumber;
    std::visit([&](const auto& item) { onEvent(item, now); }, event);
    if (!std::holds_alternative<chunk_received>(event)) {
        plan(now);
        answerWaiting(now);
    }
    return std::exchange(m_actions, {});
}

// --- Slots ---

run_coordinator::slot* run_coordinator::findSlot(const slot_id& id)
{
    const auto step = m_steps.find(id.step);
    if (step == m_steps.end() || id.sample.value() >= m_settings.groupSize)
        return nullptr;
    const std::uint32_t index = indexOf(id);
    return index < step->second.slots.size() ? &step->second.slots[index] : nullptr;
}

// Returns the slot if it is in this state and the stream is its current one; events of
// earlier attempts or legs are thereby ignored.
run_coordinator::slot* run_coordinator::findByStream(const stream_id& stream, slot_state state)
{
    slot* item = findSlot(stream.slot);
    if (!item || item->state != state || item->attempt != stream.attempt || item->leg != stream.leg)
        return nullptr;
    return item;
}

slot_id run_coordinator::slotAt(step_number step, std::uint32_t index) const
{
    return { step, group_number(index / m_settings.groupSize), sample_number(index % m_settings.groupSize) };
}

std::uint32_t run_coordinator::indexOf(const slot_id& id) const
{
    return id.group.value() * m_settings.groupSize + id.sample.value();
}

void run_coordinator::setState(const slot_id& id, slot& item, slot_state state)
{
    step_state& step = m_steps.at(id.step);
    --step.states[stateIndex(item.state)];
    ++step.states[stateIndex(state)];
    item.state = state;
}

void run_coordinator::setTimer(const slot_id& id, slot& item, instant timerAt)
{
    m_timers.erase({ item.timerAt, id });
    item.timerAt = timerAt;
    m_timers.insert({ timerAt, id });
}

// Earlier steps come first; within a step resumed streams, then the samples with the
// largest token limit, since these take longest.
run_coordinator::queue_entry run_coordinator::entryOf(const slot_id& id, const slot& item) const
{
    const std::optional<group_record>& group = m_steps.at(id.step).groups[id.group.value()];
    const std::uint32_t maxTokens = group ? group->maxTokens : 0;
    return { id.step, item.resuming ? 0 : UINT32_MAX - maxTokens, indexOf(id) };
}

// Puts a Queued slot into the dispatch queue, or sets its timer if its backoff has not
// passed yet. Does nothing while the slot's prompt has to be supplied.
void run_coordinator::enqueue(const slot_id& id, slot& item, instant now)
{
    assert(item.state == slot_state::Queued);
    const std::optional<group_record>& group = m_steps.at(id.step).groups[id.group.value()];
    if (!group || group->holders.empty())
        return;
    if (item.timerAt > now)
        setTimer(id, item, item.timerAt);
    else
        m_queue.insert(entryOf(id, item));
}

// Cancels the work in progress for the slot and removes it from queue and timers.
void run_coordinator::stopWork(const slot_id& id, slot& item)
{
    m_timers.erase({ item.timerAt, id });
    item.timerAt = instant();
    m_queue.erase(entryOf(id, item));
    const stream_id stream { id, item.attempt, item.leg };
    if (item.state == slot_state::Dispatched || item.state == slot_state::Generating)
        m_actions.emplace_back(cancel_stream { stream });
    if (item.state == slot_state::Judging && item.judgeCalled)
        m_actions.emplace_back(cancel_judge { stream });
    m_steps.at(id.step).ready.erase(indexOf(id));
    item.judgeCalled = false;
    item.stored = false;
    item.resuming = false;
}

// Abandons the current attempt and queues the slot; the next dispatch is a new attempt.
void run_coordinator::restart(const slot_id& id, slot& item, instant now)
{
    stopWork(id, item);
    m_counts.wastedTokens += item.generated.nextToken();
    item.generated = attribution();
    item.leg = 0;
    item.judgeTries = 0;
    item.queuedSince = now;
    setState(id, item, slot_state::Queued);
    enqueue(id, item, now);
}

// Like restart(), but with backoff, for failures that could repeat at once.
void run_coordinator::restartLater(const slot_id& id, slot& item, instant now)
{
    restart(id, item, now);
    m_queue.erase(entryOf(id, item));
    item.timerAt = now + backoff(item.tries++);
    enqueue(id, item, now);
}

duration run_coordinator::backoff(std::uint32_t tries) const
{
    const unsigned doublings = std::min<unsigned>(tries, maxBackoffDoublings);
    return std::min(m_settings.backoffFloor * (std::int64_t(1) << doublings), m_settings.backoffCeiling);
}

void run_coordinator::expire(const slot_id& id, slot& item, instant now)
{
    ++m_counts.expired;
    restart(id, item, now);
}

// Restarts all slots whose samples exceed the staleness bound under the newest known
// version, confirmed or not, except in steps that were handed over, as their batch must
// not change.
void run_coordinator::expireSlots(instant now)
{
    const weight_version version = knownVersion();
    for (auto& [step, state] : m_steps) {
        for (std::uint32_t index = 0; index < state.slots.size(); ++index) {
            slot& item = state.slots[index];
            if (item.state == slot_state::HandedOver)
                continue;
            const bool sealed = item.state == slot_state::Sealed;
            const std::vector<version_span>& spans = sealed ? item.record->spans : item.generated.spans();
            if (!spans.empty() && ageOf(spans, version) > m_settings.stalenessBound)
                expire(slotAt(step, index), item, now);
        }
    }
}

// No holder has the payload of the slot's record or candidate any more.
void run_coordinator::handleLostPayload(const slot_id& id, slot& item, instant now)
{
    item.lostAttempt = item.attempt;
    if (item.state == slot_state::HandedOver)
        return reopenStep(id.step, now);
    ++m_counts.lost;
    restart(id, item, now);
}

std::uint64_t run_coordinator::predictedAge(step_number step) const
{
    age_forecast forecast;
    forecast.trainer = knownVersion();
    forecast.served = m_servedVersion;
    forecast.stepsAhead = step.value() - m_head.acknowledged.value();
    forecast.trainerWaits = m_batchRequest && m_batchRequest->cursor == step;
    forecast.timeUntilReady = m_sampleTime.value();
    forecast.publishInterval = m_publishInterval.value();
    return predictAge(forecast);
}

bool run_coordinator::mayStart(step_number step) const
{
    if (step < m_head.acknowledged || step.value() > m_head.acknowledged.value() + m_settings.earlySteps)
        return false;
    return predictedAge(step) <= m_settings.stalenessBound;
}

bool run_coordinator::hasBacklog() const
{
    return m_leading && m_ledgerLoaded && m_sequence < attemptsPerLead && !m_queue.empty() && mayStart(m_queue.begin()->step);
}

std::optional<dispatch_slot> run_coordinator::takeDispatch(instant now)
{
    if (!hasBacklog())
        return std::nullopt;

    // Step 1. Take the first slot off the queue.
    const queue_entry entry = *m_queue.begin();
    m_queue.erase(m_queue.begin());
    const slot_id id = slotAt(entry.step, entry.index);
    slot& item = *findSlot(id);
    const group_record& group = *m_steps.at(id.step).groups[id.group.value()];

    // Step 2. Start a new attempt, or the next leg of a resumed one.
    if (item.resuming) {
        ++item.leg;
        ++m_counts.resumed;
    } else {
        item.attempt = attempt_id((m_fencing.value() << attemptSequenceBits) | ++m_sequence);
        item.leg = 0;
        item.dispatchedAt = now;
        ++m_counts.dispatched;
    }
    setState(id, item, slot_state::Dispatched);

    // Step 3. Fill in the dispatch.
    const std::uint64_t stepsAhead = id.step.value() - m_head.acknowledged.value();
    const bool trainerWaits = m_batchRequest && m_batchRequest->cursor == id.step;
    dispatch_slot dispatch;
    dispatch.stream = { id, item.attempt, item.leg };
    dispatch.prompt = group.prompt;
    dispatch.promptHolders = group.holders;
    dispatch.maxTokens = group.maxTokens;
    dispatch.resumeFrom = item.generated.nextToken();
    dispatch.priority = dispatchPriority(stepsAhead, trainerWaits, now - item.queuedSince, m_settings.priorityStep);
    dispatch.predictedAge = predictedAge(id.step);
    return dispatch;
}

std::array<std::uint32_t, slotStates> run_coordinator::slotsByState(step_number step) const
{
    const auto found = m_steps.find(step);
    return found == m_steps.end() ? std::array<std::uint32_t, slotStates> {} : found->second.states;
}

// --- Groups ---

// Adds a group that is confirmed in the ledger; its slots may start now.
void run_coordinator::addGroup(step_number step, const group_record& group, instant now)
{
    step_state& state = m_steps[step];
    if (state.slots.empty()) {
        state.groups.resize(m_settings.groupsPerStep);
        state.slots.resize(std::size_t(m_settings.groupsPerStep) * m_settings.groupSize);
        state.states[stateIndex(slot_state::Queued)] = static_cast<std::uint32_t>(state.slots.size());
    }
    if (group.group.value() >= state.groups.size())
        return;
    const std::uint32_t firstSlot = group.group.value() * m_settings.groupSize;
    state.groups[group.group.value()] = group;
    for (std::uint32_t index = firstSlot; index < firstSlot + m_settings.groupSize; ++index) {
        slot& item = state.slots[index];
        item.queuedSince = now;
        if (item.state == slot_state::Queued)
            enqueue(slotAt(step, index), item, now);
    }
}

// True if each of these groups is in the ledger and its prompt has a holder.
bool run_coordinator::areGroupsInLedger(const pending_groups& post) const
{
    const auto found = m_steps.find(post.step);
    if (found == m_steps.end())
        return false;
    for (const group_record& group : post.groups) {
        const std::optional<group_record>& existing = found->second.groups[group.group.value()];
        if (!existing || existing->holders.empty())
            return false;
    }
    return true;
}

// True if one of these groups is in the ledger with another prompt or token limit.
bool run_coordinator::conflictsWithLedger(const pending_groups& post) const
{
    const auto found = m_steps.find(post.step);
    if (found == m_steps.end())
        return false;
    for (const group_record& group : post.groups) {
        const std::optional<group_record>& existing = found->second.groups[group.group.value()];
        if (existing && (existing->prompt != group.prompt || existing->maxTokens != group.maxTokens))
            return true;
    }
    return false;
}

std::uint32_t run_coordinator::missingGroups(step_number step) const
{
    const auto found = m_steps.find(step);
    if (found == m_steps.end())
        return m_settings.groupsPerStep;
    std::uint32_t missing = 0;
    for (const std::optional<group_record>& group : found->second.groups)
        missing += !group || group->holders.empty();
    return missing;
}

void run_coordinator::onEvent(const groups_supplied& event, instant now)
{
    for (const group_record& group : event.groups) {
        if (group.group.value() >= m_settings.groupsPerStep || group.holders.empty())
            return refuse(event.call, error_code::InvalidArgument, "no such group, or its prompt isn't held");
    }
    m_pendingGroups.push_back({ event.call, now, event.step, event.groups });
}

} // namespace lovagerail
