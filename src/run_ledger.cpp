// Builds a run's writes to the ledger.
#include "run.h"

#include <algorithm>
#include <cassert>

namespace lovagerail {

// --- Writes ---

// Builds the next head from all pending changes and sends it as one write. The order
// matters: a published version is applied before the hand-over that it may forbid, and an
// acknowledgement before the hand-over of the next batch.
void run_coordinator::plan(instant now)
{
    // Step 1. Only one call may be in flight.
    if (!m_leading || m_callInFlight || now < m_retryAt)
        return;
    if (m_sequence == attemptsPerLead) {
        m_leading = false;
        m_actions.emplace_back(resign {});
        return;
    }
    if (!m_ledgerLoaded)
        return sendRead();

    // Step 2. Build the next head.
    ledger_head next = m_head;
    write_ledger write;
    service_call call;
    next.fencing = m_fencing;
    next.trainerVersion = knownVersion();
    planAcknowledge(next, write);
    planGroups(next, write, call);
    planReopen(next);
    planSeal(next, write, call, now);
    planHandOver(next, call);

    // Step 3. Write it. If it is unchanged, confirm the current one if a batch request
    // arrived since the last confirmation.
    const std::string key = ledgerHeadKey(m_settings.keyPrefix, m_settings.run);
    if (next != m_head) {
        service_call newCall = beginCall(call_kind::Write);
        newCall.planned = next;
        newCall.sealed = std::move(call.sealed);
        newCall.groups = std::move(call.groups);
        write.call = newCall.id;
        write.expected = m_headRevision;
        write.headKey = key;
        write.head = encodeLedgerHead(next);
        m_callInFlight = std::move(newCall);
        m_actions.emplace_back(std::move(write));
        return;
    }
    if (m_batchRequest && m_confirmedAtEvent < m_batchRequest->arrival && batchVerdict() != batch_request_verdict::Wait) {
        m_callInFlight = beginCall(call_kind::Confirm);
        m_actions.emplace_back(confirm_ledger { m_callInFlight->id, m_headRevision, key });
    }
}

run_coordinator::service_call run_coordinator::beginCall(call_kind kind)
{
    ++m_counts.ledgerCalls;
    service_call call;
    call.id = ledger_call(++m_lastLedgerCall);
    call.kind = kind;
    call.startedAtEvent = m_eventNumber;
    return call;
}

void run_coordinator::sendRead()
{
    m_callInFlight = beginCall(call_kind::Read);
    m_actions.emplace_back(read_ledger { m_callInFlight->id, ledgerHeadKey(m_settings.keyPrefix, m_settings.run), pagesPrefix(m_settings.keyPrefix, m_settings.run) });
}

void run_coordinator::planAcknowledge(ledger_head& next, write_ledger& write) const
{
    const ledger_step* step = next.find(next.acknowledged);
    if (!m_batchRequest || m_batchRequest->cursor != next.acknowledged.next() || !step || !step->everHandedOver)
        return;
    write.removedPrefixes.push_back(stepPagesPrefix(m_settings.keyPrefix, m_settings.run, step->step));
    next.steps.erase(next.steps.begin());
    next.acknowledged = next.acknowledged.next();
}

void run_coordinator::planGroups(ledger_head& next, write_ledger& write, service_call& call) const
{
    std::map<step_number, std::map<group_number, group_record>> newGroups;
    for (const pending_groups& post : m_pendingGroups) {
        if (post.step < next.acknowledged || post.step.value() > next.acknowledged.value() + maxSuppliedAhead)
            continue;
        if (isBatchFinal(post.step) || areGroupsInLedger(post) || conflictsWithLedger(post))
            continue;
        for (const group_record& group : post.groups)
            newGroups[post.step].try_emplace(group.group, group);
    }
    for (const auto& [step, groups] : newGroups) {
        ledger_page page;
        for (const auto& [number, group] : groups) {
            page.groups.push_back(group);
            call.groups.emplace_back(step, group);
        }
        addPage(next, step, page, write);
    }
}

void run_coordinator::planReopen(ledger_head& next) const
{
    for (ledger_step& step : next.steps) {
        const auto state = m_steps.find(step.step);
        if (state == m_steps.end() || !state->second.reopen || step.phase != step_phase::HandedOver)
            continue;
        step.phase = step_phase::Open;
        ++step.generation;
    }
}

bool run_coordinator::isComplete(const step_state& state, std::size_t sealing) const
{
    return state.states[static_cast<std::size_t>(slot_state::Sealed)] + sealing == state.slots.size();
}

void run_coordinator::planSeal(ledger_head& next, write_ledger& write, service_call& call, instant now) const
{
    for (const auto& [step, state] : m_steps) {
        const ledger_step* nextHeadStep = next.find(step);
        if (state.ready.empty() || step < next.acknowledged || !nextHeadStep || nextHeadStep->phase == step_phase::HandedOver)
            continue;
        const bool due = state.ready.size() >= m_settings.sealBatch || now - state.readySince >= m_settings.sealWait;
        if (!due && !isComplete(state, state.ready.size()))
            continue;
        ledger_page page;
        for (const std::uint32_t index : state.ready) {
            page.samples.push_back(state.slots[index].candidate);
            call.sealed.emplace_back(slotAt(step, index), state.slots[index].candidate);
            if (page.samples.size() == maxPageRecords)
                addPage(next, step, std::exchange(page, {}), write);
        }
        if (!page.samples.empty())
            addPage(next, step, page, write);
    }
}

// Hands the whole step over if the trainer requests it and no sample exceeds the staleness
// bound under the trainer version that this write contains.
void run_coordinator::planHandOver(ledger_head& next, const service_call& call) const
{
    // Step 1. The step is requested and open.
    ledger_step* step = next.find(next.acknowledged);
    const auto found = m_steps.find(next.acknowledged);
    if (!m_batchRequest || m_batchRequest->cursor != next.acknowledged || !step || step->phase != step_phase::Open || found == m_steps.end())
        return;

    // Step 2. All its samples are sealed, counting those sealed by this write.
    std::size_t sealing = 0;
    for (const auto& [id, record] : call.sealed)
        sealing += id.step == next.acknowledged;
    if (!isComplete(found->second, sealing))
        return;

    // Step 3. No sample is too stale.
    for (const slot& item : found->second.slots) {
        const sample_record& record = item.state == slot_state::Sealed ? *item.record : item.candidate;
        if (ageOf(record.spans, next.trainerVersion) > m_settings.stalenessBound)
            return;
    }
    step->phase = step_phase::HandedOver;
    step->everHandedOver = true;
    step->handedVersion = next.trainerVersion;
}

void run_coordinator::addPage(ledger_head& head, step_number step, const ledger_page& page, write_ledger& write) const
{
    // Step 1. Find the step in the head, or insert it in order.
    ledger_step* item = head.find(step);
    if (!item) {
        const auto position = std::find_if(head.steps.begin(), head.steps.end(), [&](const ledger_step& other) { return other.step > step; });
        ledger_step newStep;
        newStep.step = step;
        item = &*head.steps.insert(position, newStep);
    }

    // Step 2. Add the page to the write and its digest to the head.
    std::string bytes = encodePage(page);
    write.pages.emplace_back(pageKey(m_settings.keyPrefix, m_settings.run, step, item->pages.size()), bytes);
    item->pages.push_back(digestOf(bytes));
}

} // namespace lovagerail
