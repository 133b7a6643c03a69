// A run's side of the ledger: planning writes, taking the ledger's word, answering the trainer.
#include "run.h"

#include <algorithm>
#include <cassert>

namespace lovagerail {

namespace {

    // Steps beyond the acknowledged one for which groups are taken.
    constexpr std::uint64_t suppliedAhead = 8;

    // Removes holders that aren't live any more.
    void keepLive(std::vector<payload_holder>& holders, const std::vector<payload_holder>& live)
    {
        std::erase_if(holders, [&](const payload_holder& holder) { return std::find(live.begin(), live.end(), holder) == live.end(); });
    }

} // namespace

// --- Planning ---

// Builds the next head from all that waits and sends it as one write. The order of the
// steps is the order in which they count: a published version before the hand-over
// that it may forbid, an acknowledgement before the next batch.
void run::plan(instant now)
{
    // Step 1. One call at a time.
    if (!m_leading || m_call || now < m_retryAt)
        return;
    if (!m_loaded)
        return sendRead();

    // Step 2. The next head.
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

    // Step 3. Write it, or confirm the present one for a request that came since.
    const std::string key = headKey(m_settings.keyPrefix, m_settings.run);
    if (next != m_head) {
        service_call begun = beginCall(call_kind::Write);
        begun.planned = next;
        begun.sealed = std::move(call.sealed);
        begun.groups = std::move(call.groups);
        write.call = begun.id;
        write.expected = m_headRevision;
        write.headKey = key;
        write.head = encodeHead(next);
        m_call = std::move(begun);
        m_actions.emplace_back(std::move(write));
        return;
    }
    if (m_asked && m_confirmed < m_asked->arrival && verdict() != asked_verdict::Wait) {
        m_call = beginCall(call_kind::Confirm);
        m_actions.emplace_back(confirm_ledger { m_call->id, m_headRevision, key });
    }
}

run::service_call run::beginCall(call_kind kind)
{
    ++m_counts.ledgerCalls;
    service_call call;
    call.id = ledger_call(++m_ledgerCalls);
    call.kind = kind;
    call.begun = m_eventNumber;
    return call;
}

void run::sendRead()
{
    m_call = beginCall(call_kind::Read);
    m_actions.emplace_back(read_ledger { m_call->id, headKey(m_settings.keyPrefix, m_settings.run), pagesPrefix(m_settings.keyPrefix, m_settings.run) });
}

void run::planAcknowledge(ledger_head& next, write_ledger& write) const
{
    const ledger_step* step = next.find(next.acknowledged);
    if (!m_asked || m_asked->cursor != next.acknowledged.next() || !step || !step->everHandedOver)
        return;
    write.removedPrefixes.push_back(stepPagesPrefix(m_settings.keyPrefix, m_settings.run, step->step));
    next.steps.erase(next.steps.begin());
    next.acknowledged = next.acknowledged.next();
}

void run::planGroups(ledger_head& next, write_ledger& write, service_call& call) const
{
    std::map<step_number, std::map<group_number, group_record>> added;
    for (const pending_groups& post : m_groups) {
        if (post.step < next.acknowledged || post.step.value() > next.acknowledged.value() + suppliedAhead)
            continue;
        if (isFixed(post.step) || hasGroups(post) || conflicts(post))
            continue;
        for (const group_record& group : post.groups)
            added[post.step].try_emplace(group.group, group);
    }
    for (const auto& [step, groups] : added) {
        ledger_page page;
        for (const auto& [number, group] : groups) {
            page.groups.push_back(group);
            call.groups.emplace_back(step, group);
        }
        addPage(next, step, page, write);
    }
}

void run::planReopen(ledger_head& next) const
{
    for (ledger_step& step : next.steps) {
        const auto state = m_steps.find(step.step);
        if (state == m_steps.end() || !state->second.reopen || step.phase != step_phase::HandedOver)
            continue;
        step.phase = step_phase::Open;
        ++step.generation;
    }
}

bool run::complete(const step_state& state, std::size_t sealing) const
{
    return state.states[static_cast<std::size_t>(slot_state::Sealed)] + sealing == state.slots.size();
}

void run::planSeal(ledger_head& next, write_ledger& write, service_call& call, instant now) const
{
    for (const auto& [step, state] : m_steps) {
        const ledger_step* known = next.find(step);
        if (state.ready.empty() || step < next.acknowledged || !known || known->phase == step_phase::HandedOver)
            continue;
        const bool due = state.ready.size() >= m_settings.sealBatch || now - state.readySince >= m_settings.sealWait;
        if (!due && !complete(state, state.ready.size()))
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

// Hands the whole step over if the trainer asks for it and no sample is beyond the
// bound under the version that this very write holds.
void run::planHandOver(ledger_head& next, const service_call& call) const
{
    // Step 1. Asked for, and open.
    ledger_step* step = next.find(next.acknowledged);
    const auto found = m_steps.find(next.acknowledged);
    if (!m_asked || m_asked->cursor != next.acknowledged || !step || step->phase != step_phase::Open || found == m_steps.end())
        return;

    // Step 2. Whole.
    std::size_t sealing = 0;
    for (const auto& [id, record] : call.sealed)
        sealing += id.step == next.acknowledged;
    if (!complete(found->second, sealing))
        return;

    // Step 3. Fresh enough.
    for (const slot& item : found->second.slots) {
        const sample_record& record = item.state == slot_state::Sealed ? *item.record : item.candidate;
        if (ageOf(record.spans, next.trainerVersion) > m_settings.stalenessBound)
            return;
    }
    step->phase = step_phase::HandedOver;
    step->everHandedOver = true;
    step->handedVersion = next.trainerVersion;
}

void run::addPage(ledger_head& head, step_number step, const ledger_page& page, write_ledger& write) const
{
    // Step 1. The step's place in the head.
    ledger_step* item = head.find(step);
    if (!item) {
        const auto place = std::find_if(head.steps.begin(), head.steps.end(), [&](const ledger_step& other) { return other.step > step; });
        ledger_step added;
        added.step = step;
        item = &*head.steps.insert(place, added);
    }

    // Step 2. The page, and its digest in the head.
    std::string bytes = encodePage(page);
    write.pages.emplace_back(pageKey(m_settings.keyPrefix, m_settings.run, step, item->pages.size()), bytes);
    item->pages.push_back(digestOf(bytes));
}

// --- Answers of the service ---

void run::on(const taken_over& event, instant now)
{
    for (auto& [step, state] : m_steps) {
        for (std::uint32_t index = 0; index < state.slots.size(); ++index)
            stopWork(slotAt(step, index), state.slots[index]);
    }
    assert((event.fencing.value() >> 32) == 0);
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

void run::on(const ledger_confirmed& event, instant now)
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
void run::sealRecord(const slot_id& id, sample_record record)
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

void run::on(const ledger_unknown& event, instant now)
{
    if (m_call && m_call->id == event.call)
        callFailed(now, true);
}

void run::on(const ledger_conflict& event, instant now)
{
    if (m_call && m_call->id == event.call)
        callFailed(now, false);
}

// Nothing is concluded from a failed call: the ledger is read next.
void run::callFailed(instant now, bool wait)
{
    m_call.reset();
    m_loaded = false;
    if (wait)
        m_retryAt = now + backoff(m_failures++);
}

// The ledger's word is the truth, after a take-over and after any doubt.
void run::on(const ledger_content& event, instant now)
{
    if (!m_call || m_call->id != event.call || m_call->kind != call_kind::Read)
        return;

    // Step 1. The head; a later coordinator's number ends our lead.
    ledger_head head;
    if (!event.head.empty()) {
        const result<ledger_head> decoded = decodeHead(event.head);
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
bool run::adoptPages(const ledger_content& content, instant now)
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

void run::adoptSample(const slot_id& id, sample_record record, bool handedOver, instant now)
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

void run::applyHead(const ledger_head& before, instant now)
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

void run::dropAcknowledged()
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
void run::settleHandedOver(const ledger_step& step, instant now)
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
void run::reopenStep(step_number step, instant now)
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

// --- Answers to the trainer ---

void run::refuse(trainer_call call, error_code code, std::string detail)
{
    m_actions.emplace_back(answer_refused { call, error { code, "run.answer", peer_kind::Trainer, m_settings.run.str(), std::move(detail) } });
}

void run::answerWaiting(instant now)
{
    if (!m_leading)
        return turnAwayAll();
    answerPosts(now);
    answerAsked(now);
}

void run::turnAwayAll()
{
    for (const pending_groups& post : m_groups)
        m_actions.emplace_back(answer_not_yet { post.call, m_settings.backoffFloor, 0 });
    for (const pending_version& post : m_versions)
        m_actions.emplace_back(answer_not_yet { post.call, m_settings.backoffFloor, 0 });
    if (m_asked)
        m_actions.emplace_back(answer_not_yet { m_asked->call, m_settings.backoffFloor, 0 });
    m_groups.clear();
    m_versions.clear();
    m_asked.reset();
}

// Groups and versions are accepted once the ledger has them.
void run::answerPosts(instant now)
{
    const auto answerGroups = [&](const pending_groups& post) {
        if (m_loaded && post.step < m_head.acknowledged)
            refuse(post.call, error_code::NotFound, "the step was acknowledged");
        else if (m_loaded && post.step.value() > m_head.acknowledged.value() + suppliedAhead)
            refuse(post.call, error_code::ResourceExhausted, "the step is too far ahead");
        else if (m_loaded && conflicts(post))
            refuse(post.call, error_code::Conflict, "the group was supplied with another prompt");
        else if (hasGroups(post) || isFixed(post.step))
            m_actions.emplace_back(answer_accepted { post.call });
        else if (now - post.since >= m_settings.longestWait)
            m_actions.emplace_back(answer_not_yet { post.call, m_settings.backoffFloor, 0 });
        else
            return false;
        return true;
    };
    const auto answerVersion = [&](const pending_version& post) {
        if (post.version <= m_head.trainerVersion)
            m_actions.emplace_back(answer_accepted { post.call });
        else if (now - post.since >= m_settings.longestWait)
            m_actions.emplace_back(answer_not_yet { post.call, m_settings.backoffFloor, 0 });
        else
            return false;
        return true;
    };
    std::erase_if(m_groups, answerGroups);
    std::erase_if(m_versions, answerVersion);
}

// True if the step's batch was handed over and stands.
bool run::isFixed(step_number step) const
{
    const ledger_step* known = m_head.find(step);
    const auto state = m_steps.find(step);
    return known && known->phase == step_phase::HandedOver && state != m_steps.end() && !state->second.reopen;
}

run::asked_verdict run::verdict() const
{
    if (m_asked->cursor < m_head.acknowledged)
        return asked_verdict::Closed;
    const ledger_step* step = m_head.find(m_head.acknowledged);
    if (m_asked->cursor > m_head.acknowledged) {
        const bool acknowledges = m_asked->cursor == m_head.acknowledged.next() && step && step->everHandedOver;
        return acknowledges ? asked_verdict::Wait : asked_verdict::TooFar;
    }
    return isFixed(m_asked->cursor) ? asked_verdict::Batch : asked_verdict::Wait;
}

// Answers under a head that was confirmed after the request came, so that nothing of
// an earlier generation or coordinator can follow what the trainer got since.
void run::answerAsked(instant now)
{
    if (!m_asked)
        return;
    const asked_verdict said = m_loaded && m_confirmed >= m_asked->arrival ? verdict() : asked_verdict::Wait;
    if (said == asked_verdict::Wait) {
        if (now - m_asked->since < m_settings.longestWait)
            return;
        m_actions.emplace_back(answer_not_yet { m_asked->call, m_settings.backoffFloor, missingGroups(m_asked->cursor) });
    }
    if (said == asked_verdict::Closed)
        refuse(m_asked->call, error_code::NotFound, "the batch was acknowledged");
    if (said == asked_verdict::TooFar)
        refuse(m_asked->call, error_code::InvalidArgument, "the batch before was not handed over");
    if (said == asked_verdict::Batch) {
        const ledger_step& step = *m_head.find(m_asked->cursor);
        answer_batch answer { m_asked->call, step.step, step.generation, step.handedVersion, {} };
        for (const slot& item : m_steps.at(step.step).slots)
            answer.samples.push_back(*item.record);
        m_actions.emplace_back(std::move(answer));
    }
    m_asked.reset();
}

} // namespace lovagerail
