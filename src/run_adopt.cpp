// Responses of the key-value service to a run: confirmed writes, the ledger's content
// after a take-over or failure, and the slot changes that follow from a new head.
#include "run.h"

#include <algorithm>
#include <cassert>

namespace lovagerail {

namespace {

    // Removes holders that are no longer live.
    void removeLostHolders(std::vector<payload_holder>& holders, const std::vector<payload_holder>& live)
    {
        std::erase_if(holders, [&](const payload_holder& holder) { return std::find(live.begin(), live.end(), holder) == live.end(); });
    }

} // namespace

// --- Responses of the key-value service ---

void run_coordinator::onEvent(const taken_over& event, instant now)
{
    for (auto& [step, state] : m_steps) {
        for (std::uint32_t index = 0; index < state.slots.size(); ++index)
            stopWork(slotAt(step, index), state.slots[index]);
    }
    assert(event.fencing.value() >> (64 - attemptSequenceBits) == 0);
    m_steps.clear();
    m_queue.clear();
    m_timers.clear();
    m_callInFlight.reset();
    m_head = ledger_head();
    m_headRevision = revision();
    m_fencing = event.fencing;
    m_sequence = 0;
    m_leading = true;
    m_ledgerLoaded = false;
    m_failures = 0;
    m_retryAt = now;
}

void run_coordinator::onEvent(const ledger_confirmed& event, instant now)
{
    if (!m_callInFlight || m_callInFlight->id != event.call || m_callInFlight->kind == call_kind::Read)
        return;
    const service_call call = *std::exchange(m_callInFlight, std::nullopt);
    m_confirmedAtEvent = call.startedAtEvent;
    m_failures = 0;
    if (call.kind == call_kind::Confirm)
        return;

    const ledger_head previousHead = std::exchange(m_head, call.planned);
    m_headRevision = event.headRevision;
    for (const auto& [step, group] : call.groups)
        addGroup(step, group, now);
    for (const auto& [id, record] : call.sealed)
        sealRecord(id, record);
    applyHead(previousHead, now);
}

// The record is now in the ledger. The slot may have changed while the write was in flight.
void run_coordinator::sealRecord(const slot_id& id, sample_record record)
{
    slot* item = findSlot(id);
    if (!item)
        return;
    if (item->candidate.attempt == record.attempt)
        record.holders = item->candidate.holders;
    item->record = std::move(record);
    if (item->state != slot_state::Judged || !item->stored || item->attempt != item->record->attempt)
        return;
    stopWork(id, *item);
    item->tries = 0;
    item->candidate = sample_record();
    setState(id, *item, slot_state::Sealed);
}

void run_coordinator::onEvent(const ledger_unknown& event, instant now)
{
    if (m_callInFlight && m_callInFlight->id == event.call)
        callFailed(now, true);
}

void run_coordinator::onEvent(const ledger_conflict& event, instant now)
{
    if (m_callInFlight && m_callInFlight->id == event.call)
        callFailed(now, false);
}

// A failed call leaves the ledger's state unknown, so the ledger is read next.
void run_coordinator::callFailed(instant now, bool wait)
{
    m_callInFlight.reset();
    m_ledgerLoaded = false;
    if (wait)
        m_retryAt = now + backoff(m_failures++);
}

// Replaces the local state by the ledger's content, after a take-over or a failed call.
void run_coordinator::onEvent(const ledger_content& event, instant now)
{
    if (!m_callInFlight || m_callInFlight->id != event.call || m_callInFlight->kind != call_kind::Read)
        return;

    // Step 1. Decode the head; a higher fencing number in it means that a later coordinator leads.
    ledger_head head;
    if (!event.head.empty()) {
        const result<ledger_head> decoded = decodeLedgerHead(event.head);
        if (!decoded)
            return callFailed(now, true);
        head = *decoded;
    }
    if (head.fencing > m_fencing) {
        m_callInFlight.reset();
        m_leading = false;
        m_actions.emplace_back(resign {});
        return;
    }

    // Step 2. Adopt the pages.
    const std::uint64_t startedAtEvent = m_callInFlight->startedAtEvent;
    const ledger_head previousHead = std::exchange(m_head, head);
    if (!adoptPages(event, now)) {
        m_head = previousHead;
        return callFailed(now, true);
    }

    // Step 3. Update the slots.
    m_callInFlight.reset();
    m_headRevision = event.headRevision;
    m_confirmedAtEvent = startedAtEvent;
    m_ledgerLoaded = true;
    m_failures = 0;
    applyHead(previousHead, now);
    expireSlots(now);
}

// Returns false and changes nothing if a page is missing or corrupt.
bool run_coordinator::adoptPages(const ledger_content& content, instant now)
{
    // Step 1. Check and decode all pages; later records replace earlier ones.
    const std::map<std::string, std::string> pages(content.pages.begin(), content.pages.end());
    std::map<std::pair<step_number, group_number>, group_record> groups;
    std::map<slot_id, sample_record> samples;
    for (const ledger_step& step : m_head.steps) {
        for (std::size_t number = 0; number < step.pages.size(); ++number) {
            const auto page = pages.find(pageKey(m_settings.keyPrefix, m_settings.run, step.step, number));
            if (page == pages.end() || digestOf(page->second) != step.pages[number])
                return false;
            const result<ledger_page> decoded = decodePage(page->second);
            if (!decoded)
                return false;
            for (const group_record& group : decoded->groups)
                groups[{ step.step, group.group }] = group;
            for (const sample_record& sample : decoded->samples)
                samples[{ step.step, sample.group, sample.sample }] = sample;
        }
    }

    // Step 2. Apply the records to groups and slots.
    for (auto& [key, group] : groups) {
        const auto& [step, groupNumber] = key;
        removeLostHolders(group.holders, content.holders);
        const auto found = m_steps.find(step);
        const bool isPromptHeld = found != m_steps.end() && found->second.groups[groupNumber.value()] && !found->second.groups[groupNumber.value()]->holders.empty();
        if (!isPromptHeld)
            addGroup(step, group, now);
    }
    for (auto& [id, sample] : samples) {
        removeLostHolders(sample.holders, content.holders);
        adoptSample(id, sample, m_head.find(id.step)->phase == step_phase::HandedOver, now);
    }
    return true;
}

void run_coordinator::adoptSample(const slot_id& id, sample_record record, bool handedOver, instant now)
{
    slot* item = findSlot(id);
    if (!item)
        return;
    const attempt_id attempt = record.attempt;
    item->record = std::move(record);
    if (handedOver)
        return; // markHandedOver() follows

    // Keep the local attempt if it is newer. If it is the same one but not Judged, it was
    // abandoned after it had been sealed.
    const bool isUnsealed = item->attempt == attempt && item->state == slot_state::Judged;
    if (item->attempt >= attempt && !isUnsealed)
        return;
    stopWork(id, *item);
    item->attempt = attempt;
    item->candidate = sample_record();
    setState(id, *item, slot_state::Sealed);
    if (item->record->holders.empty())
        handleLostPayload(id, *item, now);
}

// --- Effects of a new head ---

void run_coordinator::applyHead(const ledger_head& before, instant now)
{
    dropAcknowledged();
    for (const ledger_step& step : m_head.steps) {
        const auto state = m_steps.find(step.step);
        if (state == m_steps.end())
            continue;
        const ledger_step* previousStep = before.find(step.step);
        if (step.phase == step_phase::Open) {
            state->second.reopen = false;
            continue;
        }
        if (!previousStep || previousStep->phase == step_phase::Open || previousStep->generation != step.generation)
            m_counts.handedOver += state->second.slots.size();
        markHandedOver(step, now);
    }
}

void run_coordinator::dropAcknowledged()
{
    if (m_steps.empty() || m_steps.begin()->first >= m_head.acknowledged)
        return;
    while (!m_steps.empty() && m_steps.begin()->first < m_head.acknowledged) {
        const step_number step = m_steps.begin()->first;
        step_state& state = m_steps.begin()->second;
        m_counts.acknowledged += state.slots.size();
        for (std::uint32_t index = 0; index < state.slots.size(); ++index)
            stopWork(slotAt(step, index), state.slots[index]);
        m_steps.erase(m_steps.begin());
    }
    m_actions.emplace_back(drop_payloads { m_head.acknowledged });
}

// Marks all slots of the step as handed over. The ledger's records are final: work that
// was restarted while the write was in flight is stopped.
void run_coordinator::markHandedOver(const ledger_step& step, instant now)
{
    step_state& state = m_steps.at(step.step);
    if (state.reopen || state.states[static_cast<std::size_t>(slot_state::HandedOver)] == state.slots.size())
        return;
    bool hasLostPayload = false;
    for (std::uint32_t index = 0; index < state.slots.size(); ++index) {
        slot& item = state.slots[index];
        assert(item.record);
        hasLostPayload = hasLostPayload || item.record->attempt == item.lostAttempt || item.record->holders.empty();
        if (item.state == slot_state::HandedOver)
            continue;
        const slot_id id = slotAt(step.step, index);
        stopWork(id, item);
        item.attempt = item.record->attempt;
        item.generated = attribution();
        setState(id, item, slot_state::HandedOver);
    }
    if (hasLostPayload)
        reopenStep(step.step, now);
}

// A payload of a handed-over batch was lost before the trainer acknowledged the batch.
// The batch gets a new generation number, with new attempts for samples whose payload is
// lost or that exceed the staleness bound by now.
void run_coordinator::reopenStep(step_number step, instant now)
{
    step_state& state = m_steps.at(step);
    state.reopen = true;
    for (std::uint32_t index = 0; index < state.slots.size(); ++index) {
        slot& item = state.slots[index];
        const slot_id id = slotAt(step, index);
        setState(id, item, slot_state::Sealed);
        const bool isPayloadLost = item.record->attempt == item.lostAttempt || item.record->holders.empty();
        if (!isPayloadLost)
            continue;
        ++m_counts.lost;
        restart(id, item, now);
    }
    expireSlots(now);
}

} // namespace lovagerail
