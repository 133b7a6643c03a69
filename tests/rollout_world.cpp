// Events, faults and invariant checks of the simulation; see rollout_world.h.
#include "rollout_world.h"

namespace lovagerail::test {

namespace {

    constexpr std::size_t holderCount = 4;
    constexpr std::size_t settleRounds = 400;

    payload_digest payloadOf(attempt_id attempt)
    {
        return digestOf("sample " + std::to_string(attempt.value()));
    }

} // namespace

run_settings rollout_world::smallRun()
{
    run_settings settings;
    settings.run = run_id("valves");
    settings.groupSize = 2;
    settings.groupsPerStep = 2;
    settings.sealBatch = 2;
    settings.sealWait = std::chrono::seconds(2);
    settings.judgeTimeout = std::chrono::seconds(5);
    settings.backoffCeiling = std::chrono::seconds(2);
    settings.maxTrainerWait = std::chrono::seconds(10);
    return settings;
}

rollout_world::rollout_world(std::uint64_t seed, run_settings settings)
    : m_settings(std::move(settings))
    , m_random(seed)
{
    m_faultRarity = 1 + 4 * draw(6);
    for (std::size_t i = 0; i < holderCount; ++i)
        m_holders.push_back({ instance_id("i" + std::to_string(i)), incarnation(1) });
    takeOver();
}

run_counts rollout_world::counts() const
{
    return m_coordinators.back().machine->counts();
}

void rollout_world::takeOver()
{
    m_coordinators.push_back({ std::make_unique<run_coordinator>(m_settings), true, {} });
    const std::size_t coordinatorIndex = m_coordinators.size() - 1;
    send(coordinatorIndex, taken_over { fencing_number(++m_fencing) });
    send(coordinatorIndex, served_version { m_engineVersion });
}

void rollout_world::send(std::size_t coordinatorIndex, const run_event& event)
{
    if (!m_coordinators[coordinatorIndex].alive)
        return;
    for (const run_action& action : m_coordinators[coordinatorIndex].machine->handle(event, m_now))
        std::visit([&](const auto& typed) { act(coordinatorIndex, typed); }, action);
}

void rollout_world::runPending(std::size_t index)
{
    const item next = std::move(m_pending[index]);
    m_pending.erase(m_pending.begin() + static_cast<std::ptrdiff_t>(index));
    next();
}

std::size_t rollout_world::anyLiveCoordinator()
{
    std::vector<std::size_t> alive;
    for (std::size_t i = 0; i < m_coordinators.size(); ++i) {
        if (m_coordinators[i].alive)
            alive.push_back(i);
    }
    if (alive.empty()) {
        takeOver();
        return m_coordinators.size() - 1;
    }
    return draw(4) > 0 ? alive.back() : alive[draw(static_cast<std::uint32_t>(alive.size()))];
}

void rollout_world::simulateEvent()
{
    const std::uint32_t kind = draw(100);
    if (kind < 62 && !m_pending.empty())
        return runPending(draw(static_cast<std::uint32_t>(m_pending.size())));
    if (kind < 74)
        return dispatch(anyLiveCoordinator());
    if (kind < 80)
        return supplyGroups();
    if (kind < 86)
        return requestBatch();
    if (kind < 89)
        return publishVersion();
    if (kind < 91 && m_engineVersion < m_publishedVersion) {
        m_engineVersion = m_engineVersion.next();
        return send(anyLiveCoordinator(), served_version { m_engineVersion });
    }
    if (kind == 91 && crashes && draw(m_faultRarity) == 0)
        return crashHolders();
    if (kind == 92 && crashes && draw(m_faultRarity) == 0)
        return takeOver(); // the previous coordinator continues, unaware of it
    if (kind == 93 && crashes && draw(m_faultRarity) == 0) {
        m_coordinators[anyLiveCoordinator()].alive = false;
        return;
    }
    if (kind == 94 && faults) {
        const std::optional<trainer_request> gone = std::exchange(m_request, std::nullopt);
        if (gone && draw(2) == 0)
            send(anyLiveCoordinator(), batch_request_closed { gone->call });
        return; // the trainer will ask again
    }
    m_now += std::chrono::milliseconds(draw(1'500));
    send(anyLiveCoordinator(), tick {});
}

void rollout_world::runWithoutFaults(std::uint64_t steps)
{
    faults = false;
    crashes = false;
    for (coordinator& old : m_coordinators)
        old.alive = false;
    takeOver();
    m_request.reset();
    const std::uint64_t goal = m_acknowledged + steps;
    const weight_version goalVersion = m_publishedVersion;
    const auto done = [&] { return m_acknowledged >= goal && m_acceptedVersion >= goalVersion; };
    for (std::size_t round = 0; round < settleRounds && !done(); ++round) {
        for (std::size_t left = m_pending.size(); left > 0; --left)
            runPending(0);
        m_engineVersion = m_publishedVersion;
        const std::size_t coordinatorIndex = anyLiveCoordinator();
        send(coordinatorIndex, served_version { m_engineVersion });
        for (int i = 0; i < 8; ++i)
            dispatch(coordinatorIndex);
        supplyGroups();
        supplyGroups();
        requestBatch();
        m_now += std::chrono::milliseconds(500);
        send(coordinatorIndex, tick {});
    }
    require(done(), "no progress after faults stopped");
}

// --- Engines ---

void rollout_world::dispatch(std::size_t coordinatorIndex)
{
    const std::optional<dispatch_slot> order = m_coordinators[coordinatorIndex].machine->takeDispatch(m_now);
    if (!order)
        return;
    require(order->predictedAge <= m_settings.stalenessBound, "dispatched a sample that is predicted to exceed the staleness bound");
    const attempt_id attempt = order->stream.attempt;
    if (order->stream.leg == 0)
        require(m_attempts.insert(attempt).second, "an attempt number was used twice");
    m_currentLeg[attempt] = order->stream.leg;
    if (order->resumeFrom > 0) {
        m_tokenVersions[order->stream] = m_tokenVersions.at(m_interruptedStream.at(attempt));
        m_tokenVersions[order->stream].resize(order->resumeFrom);
    }
    const std::uint32_t length = 2 + draw(5);
    schedule([this, coordinatorIndex, order, length] {
        const slot_id& id = order->stream.slot;
        const bool promptHeld = isHeld(order->promptHolders, order->prompt);
        if (!promptHeld)
            send(coordinatorIndex, prompt_lost { id.step, id.group });
        if (!promptHeld || injectFault(10))
            return send(coordinatorIndex, dispatch_refused { order->stream });
        send(coordinatorIndex, dispatch_accepted { order->stream });
        generate(coordinatorIndex, *order, order->resumeFrom, order->resumeFrom + length);
    });
}

void rollout_world::generate(std::size_t coordinatorIndex, dispatch_slot order, std::uint32_t next, std::uint32_t length)
{
    schedule([this, coordinatorIndex, order = std::move(order), next, length] {
        const stream_id& stream = order.stream;
        if (m_coordinators[coordinatorIndex].cancelled.contains(stream) && !injectFault(4))
            return;
        if (injectFault(12)) {
            m_interruptedStream[stream.attempt] = stream;
            if (draw(2) == 0)
                generate(coordinatorIndex, order, next, length); // only the coordinator believes that it ended
            return send(coordinatorIndex, generation_failed { stream, draw(3) > 0 });
        }
        if (next >= length)
            return send(coordinatorIndex, generation_finished { stream, injectFault(20) ? next + 1 : next });
        std::vector<weight_version>& made = m_tokenVersions[stream];
        const std::uint32_t tokens = 1 + draw(2);
        if (made.size() == next)
            made.insert(made.end(), tokens, m_engineVersion);
        engine_chunk chunk { m_engineVersion, next, tokens };
        if (injectFault(30))
            chunk.version.reset();
        if (injectFault(30))
            chunk.firstToken += 1;
        send(coordinatorIndex, chunk_received { stream, chunk });
        if (injectFault(40))
            send(coordinatorIndex, chunk_received { stream, chunk }); // duplicate
        generate(coordinatorIndex, order, next + tokens, length);
    });
}

// --- Judge and payloads ---

void rollout_world::act(std::size_t coordinatorIndex, const call_judge& action)
{
    schedule([this, coordinatorIndex, stream = action.stream] {
        if (injectFault(8))
            return send(coordinatorIndex, judge_failed { stream, call_outcome::NotRun });
        require(++m_judged[stream.attempt] == 1 || m_settings.judgeIdempotent, "a judge that is not idempotent was called twice for an attempt");
        if (injectFault(8))
            return send(coordinatorIndex, judge_failed { stream, draw(2) == 0 ? call_outcome::Ran : call_outcome::Unknown });
        if (injectFault(10))
            return; // the judge never responds
        send(coordinatorIndex, sample_judged { stream });
    });
}

std::vector<payload_holder> rollout_world::storePayload(const payload_digest& digest)
{
    const std::size_t first = draw(holderCount);
    const std::size_t second = (first + 1 + draw(holderCount - 1)) % holderCount;
    m_copies[m_holders[first]].insert(digest);
    m_copies[m_holders[second]].insert(digest);
    return { m_holders[first], m_holders[second] };
}

bool rollout_world::isHeld(const std::vector<payload_holder>& holders, const payload_digest& digest) const
{
    for (const payload_holder& holder : holders) {
        const auto copies = m_copies.find(holder);
        if (copies != m_copies.end() && copies->second.contains(digest))
            return true;
    }
    return false;
}

void rollout_world::crashHolders()
{
    const std::size_t count = 1 + draw(3);
    for (std::size_t i = 0; i < count; ++i) {
        payload_holder& holder = m_holders[draw(holderCount)];
        const payload_holder gone = holder;
        m_copies.erase(gone);
        holder.started = holder.started.next();
        for (std::size_t coordinatorIndex = 0; coordinatorIndex < m_coordinators.size(); ++coordinatorIndex)
            schedule([this, coordinatorIndex, gone] { send(coordinatorIndex, holder_lost { gone }); });
    }
}

void rollout_world::act(std::size_t coordinatorIndex, const store_payload& action)
{
    schedule([this, coordinatorIndex, stream = action.stream] {
        if (injectFault(10))
            return send(coordinatorIndex, payload_refused { stream });
        const payload_digest digest = payloadOf(stream.attempt);
        const std::vector<payload_holder> holders = storePayload(digest);
        schedule([this, coordinatorIndex, stream, digest, holders] { send(coordinatorIndex, payload_stored { stream, digest, holders }); });
    });
}

// --- Key-value service ---

void rollout_world::act(std::size_t coordinatorIndex, const write_ledger& action)
{
    schedule([this, coordinatorIndex, action] {
        if (injectFault(8)) {
            if (draw(2) == 0)
                schedule([this, coordinatorIndex, action] { apply(coordinatorIndex, action); }); // a delayed write that may still take effect
            return send(coordinatorIndex, ledger_unknown { action.call });
        }
        const bool done = apply(coordinatorIndex, action);
        if (injectFault(8))
            return send(coordinatorIndex, ledger_unknown { action.call });
        const revision now(m_headRevision);
        schedule([this, coordinatorIndex, call = action.call, done, now] {
            if (done)
                return send(coordinatorIndex, ledger_confirmed { call, now });
            send(coordinatorIndex, ledger_conflict { call });
        });
    });
}

void rollout_world::act(std::size_t coordinatorIndex, const confirm_ledger& action)
{
    schedule([this, coordinatorIndex, action] {
        if (injectFault(8))
            return send(coordinatorIndex, ledger_unknown { action.call });
        const bool same = action.expected.value() == m_headRevision;
        schedule([this, coordinatorIndex, action, same] {
            if (same)
                return send(coordinatorIndex, ledger_confirmed { action.call, action.expected });
            send(coordinatorIndex, ledger_conflict { action.call });
        });
    });
}

void rollout_world::act(std::size_t coordinatorIndex, const read_ledger& action)
{
    schedule([this, coordinatorIndex, action] {
        if (injectFault(8))
            return send(coordinatorIndex, ledger_unknown { action.call });
        ledger_content content { action.call, revision(m_headRevision), {}, {}, m_holders };
        const auto head = m_values.find(action.headKey);
        if (head != m_values.end())
            content.head = head->second;
        for (const auto& [key, value] : m_values) {
            if (key.starts_with(action.pagesPrefix))
                content.pages.emplace_back(key, value);
        }
        schedule([this, coordinatorIndex, content] { send(coordinatorIndex, content); });
    });
}

bool rollout_world::apply(std::size_t coordinatorIndex, const write_ledger& write)
{
    if (write.expected.value() != m_headRevision)
        return false;
    for (const auto& [key, value] : write.pages)
        require(m_values.emplace(key, value).second, "a ledger page was overwritten");
    const ledger_head after = decodeLedgerHead(write.head).value();
    const ledger_head before = std::exchange(m_head, after);
    checkHead(before, after, fencing_number(coordinatorIndex + 1));
    for (const std::string& prefix : write.removedPrefixes)
        std::erase_if(m_values, [&](const auto& entry) { return entry.first.starts_with(prefix); });
    m_values[write.headKey] = write.head;
    m_headRevision = ++m_revision;
    return true;
}

void rollout_world::checkHead(const ledger_head& before, const ledger_head& after, fencing_number writer)
{
    require(after.fencing == writer, "a write carries another coordinator's fencing number");
    require(after.fencing >= before.fencing, "a coordinator wrote after its successor had written");
    require(after.trainerVersion >= m_acceptedVersion, "an accepted trainer version was lost");

    // Step 1. Steps are acknowledged once, in order, and only if the trainer has the batch.
    if (after.acknowledged != before.acknowledged) {
        require(after.acknowledged == before.acknowledged.next(), "acknowledged steps are not consecutive");
        require(m_received.contains(before.acknowledged), "acknowledged a batch that the trainer never received");
        require(m_cursor > before.acknowledged, "acknowledged a batch that the trainer still requests");
        ++m_acknowledged;
    }

    // Step 2. Batches are handed over complete, within the staleness bound and correctly
    // attributed, and don't change afterwards.
    for (const ledger_step& step : after.steps) {
        const ledger_step* earlier = before.find(step.step);
        if (earlier && earlier->generation != step.generation)
            ++m_reopened;
        if (earlier && earlier->phase == step_phase::HandedOver && step.phase == step_phase::HandedOver && earlier->generation == step.generation)
            require(*earlier == step, "a batch changed after its hand-over");
        const bool handed = step.phase == step_phase::HandedOver && (!earlier || earlier->phase == step_phase::Open || earlier->generation != step.generation);
        if (!handed)
            continue;
        require(step.step == after.acknowledged, "a batch was handed over out of order");
        const std::map<slot_id, sample_record> records = recordsOf(step);
        require(records.size() == std::size_t(m_settings.groupSize) * m_settings.groupsPerStep, "an incomplete batch was handed over");
        for (const auto& [id, sample] : records)
            checkSample(id, sample, after.trainerVersion);
    }
}

std::map<slot_id, sample_record> rollout_world::recordsOf(const ledger_step& step) const
{
    std::map<slot_id, sample_record> records;
    for (std::size_t number = 0; number < step.pages.size(); ++number) {
        const std::string& bytes = m_values.at(pageKey(m_settings.keyPrefix, m_settings.run, step.step, number));
        const ledger_page page = decodePage(bytes).value();
        for (const sample_record& sample : page.samples)
            records[{ step.step, sample.group, sample.sample }] = sample;
    }
    return records;
}

void rollout_world::checkSample(const slot_id& id, const sample_record& sample, weight_version version) const
{
    require(ageOf(sample.spans, version) <= m_settings.stalenessBound, "a sample exceeds the staleness bound");
    require(sample.payload == payloadOf(sample.attempt), "a sample has the payload of another attempt");
    std::vector<weight_version> claimed;
    for (const version_span& span : sample.spans)
        claimed.insert(claimed.end(), span.last - span.first + 1, span.version);
    require(claimed == m_tokenVersions.at({ id, sample.attempt, m_currentLeg.at(sample.attempt) }), "recorded version spans differ from what the engine generated");
}

// --- Trainer ---

void rollout_world::supplyGroups()
{
    const step_number step(m_cursor.value() + draw(2));
    std::vector<group_record> groups;
    for (std::uint32_t i = 0; i < m_settings.groupsPerStep; ++i) {
        const payload_digest prompt = digestOf("prompt " + std::to_string(step.value()) + "/" + std::to_string(i));
        groups.push_back({ group_number(i), prompt, 10 + i, storePayload(prompt) });
    }
    send(anyLiveCoordinator(), groups_supplied { trainer_call(++m_lastCall), step, groups });
}

void rollout_world::publishVersion()
{
    if (m_publishedVersion.value() > m_engineVersion.value() + 1)
        return;
    if (!injectFault(4))
        m_publishedVersion = m_publishedVersion.next();
    const trainer_call call(++m_lastCall);
    m_versionCalls[call] = m_publishedVersion;
    send(anyLiveCoordinator(), version_published { call, m_publishedVersion });
}

void rollout_world::requestBatch()
{
    if (m_request)
        return;
    trainer_request request { trainer_call(++m_lastCall), m_cursor, 0 };
    const ledger_step* step = m_head.find(m_cursor);
    request.generation = step ? step->generation : 0;
    m_request = request;
    const std::size_t coordinatorIndex = anyLiveCoordinator();
    schedule([this, coordinatorIndex, request] { send(coordinatorIndex, batch_requested { request.call, request.cursor }); });
}

void rollout_world::act(std::size_t coordinatorIndex, const answer_batch& action)
{
    schedule([this, coordinatorIndex, action] {
        for (const sample_record& sample : action.samples) {
            if (isHeld(sample.holders, sample.payload))
                continue;
            if (m_request && m_request->call == action.call)
                m_request.reset();
            return send(coordinatorIndex, payload_lost { { action.cursor, sample.group, sample.sample }, sample.attempt });
        }
        receive(action);
    });
}

void rollout_world::receive(const answer_batch& batch)
{
    // Step 1. The trainer ignores responses to requests that it no longer waits for.
    if (!m_request || m_request->call != batch.call)
        return;
    const trainer_request request = *std::exchange(m_request, std::nullopt);
    if (faults && draw(4) == 0)
        return; // the response was lost
    require(batch.cursor == request.cursor, "received a batch that was not requested");
    require(batch.generation >= request.generation, "received an older generation of a batch after a newer one");

    // Step 2. Check the samples.
    received_batch got { batch.generation, {} };
    for (const sample_record& sample : batch.samples) {
        const slot_id id { batch.cursor, sample.group, sample.sample };
        require(got.attempts.emplace(id, sample.attempt).second, "a batch contains a slot twice");
        checkSample(id, sample, batch.handedVersion);
    }
    require(got.attempts.size() == std::size_t(m_settings.groupSize) * m_settings.groupsPerStep, "received an incomplete batch");

    // Step 3. A repeated batch is identical, and generation numbers never decrease.
    const auto known = m_received.find(batch.cursor);
    if (known != m_received.end()) {
        require(got.generation >= known->second.generation, "a batch's generation number decreased");
        if (got.generation == known->second.generation) {
            require(got.attempts == known->second.attempts, "a repeated batch differs from the first");
            ++m_repeats;
        }
    }
    m_received[batch.cursor] = got;
    if (faults && draw(4) == 0)
        return; // the trainer crashed and will ask again
    m_cursor = batch.cursor.next();
    publishVersion();
}

void rollout_world::act(std::size_t, const answer_not_yet& action)
{
    if (m_request && m_request->call == action.call)
        m_request.reset();
}

void rollout_world::act(std::size_t, const answer_accepted& action)
{
    const auto call = m_versionCalls.find(action.call);
    if (call != m_versionCalls.end())
        m_acceptedVersion = std::max(m_acceptedVersion, call->second);
}

void rollout_world::act(std::size_t, const answer_refused& action)
{
    require(!m_request || m_request->call != action.call, "a valid batch request was refused");
}

} // namespace lovagerail::test
