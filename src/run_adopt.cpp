// What a run takes from the ledger: confirmations, its content, and what follows from a new head.
#include "run.h"

#include <algorithm>
#include <cassert>

namespace lovagerail {

namespace {

    // Removes holders that aren't live any more.
    void keepLive(std::vector<payload_holder>& holders, const std::vector<payload_holder>& live)
    {
        std::erase_if(holders, [&](const payload_holder& holder) { return std::find(live.begin(), live.end(), holder) == live.end(); });
    }

} // namespace

// --- Answers of the service ---

void run_coordinator::on(const taken_over& event, instant now)
{
    for (auto& [step, state] : m_steps) {
        for (std::uint32_t index = 0; index < state.slots.size(); ++index)
            stopWork(slotAt(step, index), state.slots[index]);
    }
    assert(event.fencing.value() >> (64 - attemptSequenceBits) == 0);
    m_steps.clear();
    m_queue.clear();
    m_timers.clear();
    m_call.reset();
    m_head = ledger_head();
    m_headRevision = revision();
    m_fencing = event.fencing;
    m_sequence = 0;
    m_leading = true;
    m_loaded = false;
    m_failures = 0;
    m_retryAt = now;
}

void run_coordinator::on(const ledger_confirmed& event, instant now)
{
    if (!m_call || m_call->id != event.call || m_call->kind == call_kind::Read)
        return;
    const service_call call = *std::exchange(m_call, std::nullopt);
    m_confirmed = call.begun;
    m_failures = 0;
    if (call.kind == call_kind::Confirm)
        return;

    const ledger_head before = std::exchange(m_head, call.planned);
    m_headRevision = event.headRevision;
    for (const auto& [step, group] : call.groups)
        addGroup(step, group, now);
    for (const auto& [id, record] : call.sealed)
        sealRecord(id, record);
    applyHead(before, now);
}

// The ledger has the record. The slot may have moved on meanwhile.
void run_coordinator::sealRecord(const slot_id& id, sample_record record)
{
    slot* item = find(id);
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

void run_coordinator::on(const ledger_unknown& event, instant now)
{
    if (m_call && m_call->id == event.call)
        callFailed(now, true);
}

void run_coordinator::on(const ledger_conflict& event, instant now)
{
    if (m_call && m_call->id == event.call)
        callFailed(now, false);
}

// Nothing is concluded from a failed call: the ledger is read next.
void run_coordinator::callFailed(instant now, bool wait)
{
    m_call.reset();
    m_loaded = false;
    if (wait)
        m_retryAt = now + backoff(m_failures++);
}

// The ledger's word is the truth, after a take-over and after any doubt.
void run_coordinator::on(const ledger_content& event, instant now)
{
    if (!m_call || m_call->id != event.call || m_call->kind != call_kind::Read)
        return;

    // Step 1. The head; a later coordinator's number ends our lead.
    ledger_head head;
    if (!event.head.empty()) {
        const result<ledger_head> decoded = decodeLedgerHead(event.head);
        if (!decoded)
            return callFailed(now, true);
        head = *decoded;
    }
    if (head.fencing > m_fencing) {
        m_call.reset();
        m_leading = false;
        m_actions.emplace_back(resign {});
        return;
    }

    // Step 2. The pages.
    const std::uint64_t begun = m_call->begun;
    const ledger_head before = std::exchange(m_head, head);
    if (!adoptPages(event, now)) {
        m_head = before;
        return callFailed(now, true);
    }

    // Step 3. What follows from them.
    m_call.reset();
    m_headRevision = event.headRevision;
    m_confirmed = begun;
    m_loaded = true;
    m_failures = 0;
    applyHead(before, now);
    expireSlots(now);
}

// False, with nothing changed, if a page is missing or damaged.
bool run_coordinator::adoptPages(const ledger_content& content, instant now)
{
    // Step 1. Check and decode all; later records replace earlier ones.
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

    // Step 2. Take them in.
    for (auto& [place, group] : groups) {
        const auto& [step, number] = place;
        keepLive(group.holders, content.holders);
        const auto known = m_steps.find(step);
        const bool have = known != m_steps.end() && known->second.groups[number.value()] && !known->second.groups[number.value()]->holders.empty();
        if (!have)
            addGroup(step, group, now);
    }
    for (auto& [id, sample] : samples) {
        keepLive(sample.holders, content.holders);
        adoptSample(id, sample, m_head.find(id.step)->phase == step_phase::HandedOver, now);
    }
    return true;
}

void run_coordinator::adoptSample(const slot_id& id, sample_record record, bool handedOver, instant now)
{
    slot* item = find(id);
    if (!item)
        return;
    const attempt_id attempt = record.attempt;
    item->record = std::move(record);
    if (handedOver)
        return; // settleHandedOver() follows

    // The same attempt while Queued is one that was given up after its seal.
    const bool ours = item->attempt == attempt && item->state == slot_state::Judged;
    if (item->attempt >= attempt && !ours)
        return;
    stopWork(id, *item);
    item->attempt = attempt;
    item->candidate = sample_record();
    setState(id, *item, slot_state::Sealed);
    if (item->record->holders.empty())
        lose(id, *item, now);
}

// --- What follows from a new head ---

void run_coordinator::applyHead(const ledger_head& before, instant now)
{
    dropAcknowledged();
    for (const ledger_step& step : m_head.steps) {
        const auto state = m_steps.find(step.step);
        if (state == m_steps.end())
            continue;
        const ledger_step* earlier = before.find(step.step);
        if (step.phase == step_phase::Open) {
            state->second.reopen = false;
            continue;
        }
        if (!earlier || earlier->phase == step_phase::Open || earlier->generation != step.generation)
            m_counts.handedOver += state->second.slots.size();
        settleHandedOver(step, now);
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

// The batch is fixed, whatever was begun anew while the write was on its way.
void run_coordinator::settleHandedOver(const ledger_step& step, instant now)
{
    step_state& state = m_steps.at(step.step);
    if (state.reopen || state.states[static_cast<std::size_t>(slot_state::HandedOver)] == state.slots.size())
        return;
    bool lost = false;
    for (std::uint32_t index = 0; index < state.slots.size(); ++index) {
        slot& item = state.slots[index];
        assert(item.record);
        lost = lost || item.record->attempt == item.lostAttempt || item.record->holders.empty();
        if (item.state == slot_state::HandedOver)
            continue;
        const slot_id id = slotAt(step.step, index);
        stopWork(id, item);
        item.attempt = item.record->attempt;
        item.made = attribution();
        setState(id, item, slot_state::HandedOver);
    }
    if (lost)
        reopenStep(step.step, now);
}

// A payload of a batch that was handed over is lost before its acknowledgement. The
// batch gets a new generation with new attempts of what is lost or too old by now.
void run_coordinator::reopenStep(step_number step, instant now)
{
    step_state& state = m_steps.at(step);
    state.reopen = true;
    for (std::uint32_t index = 0; index < state.slots.size(); ++index) {
        slot& item = state.slots[index];
        const slot_id id = slotAt(step, index);
        setState(id, item, slot_state::Sealed);
        const bool lost = item.record->attempt == item.lostAttempt || item.record->holders.empty();
        if (!lost)
            continue;
        ++m_counts.lost;
        restart(id, item, now);
    }
    expireSlots(now);
}

} // namespace lovagerail
