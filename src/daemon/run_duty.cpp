// Feeds events into the coordinators of the runs and executes their actions. Trainers' calls are
// in run_calls.cpp.
#include "daemon/run_duty.h"

#include "daemon/status_api.h"
#include "daemon/weight_duty.h"
#include "http_status.h"
#include "log.h"
#include "object_codec.h"

#include <algorithm>

namespace lovagerail::daemon {

namespace {

    constexpr duration tickInterval = std::chrono::milliseconds(50);
    constexpr duration versionNoticePeriod = std::chrono::seconds(1);
    // Concurrent generations per live engine, over all runs that this instance coordinates.
    constexpr std::size_t jobsPerEngine = 8;

} // namespace

run_duty::run_duty(control_context& context, lease_duty& leases, peer_duty& peers, payload_duty& payloads, status_api& status, weight_duty& weights)
    : m_context(context)
    , m_leases(leases)
    , m_peers(peers)
    , m_payloads(payloads)
    , m_status(status)
    , m_weights(weights)
{
    constexpr std::size_t prefixLength = 4; // "run-"
    m_leases.onGained([this](const duty_id& duty, fencing_number fencing) {
        if (duty.str().rfind("run-", 0) == 0)
            start(duty.str().substr(prefixLength), fencing);
    });
    m_leases.onLost([this](const duty_id& duty, fencing_number) {
        if (duty.str().rfind("run-", 0) == 0)
            stop(duty.str().substr(prefixLength));
    });
    m_peers.setForward([this](const http::exchange_ptr& exchange) { onForward(exchange); });
}

std::set<duty_id> run_duty::duties() const
{
    std::set<duty_id> out;
    for (const auto& configured : m_context.inForce->all<run>().sorted())
        out.insert(dutyOf(configured->meta.name));
    return out;
}

run_settings run_duty::settingsOf(const run& configured) const
{
    run_settings out;
    out.run = run_id(configured.meta.name);
    out.groupSize = configured.groupSize;
    out.groupsPerStep = configured.groupsPerStep;
    out.stalenessBound = configured.stalenessBound;
    // Samples per ledger write. If a write is lost, the samples since the previous one are lost: at
    // most a quarter of a step.
    out.sealBatch = std::clamp<std::uint32_t>(configured.groupSize * configured.groupsPerStep / 4, 1, out.sealBatch);
    if (const auto* judgeRoute = m_context.inForce->findRoute(configured.judge))
        out.judgeIdempotent = isIdempotent(*judgeRoute, "POST");
    return out;
}

void run_duty::start(const std::string& name, fencing_number fencing)
{
    const auto* configured = m_context.inForce->findRun(run_id(name));
    if (configured == nullptr)
        return;
    auto item = std::make_shared<active_run>(active_run { name, fencing, run_coordinator(settingsOf(*configured)), {}, {}, {}, {}, {}, {}, {} });
    m_runs[name] = item;
    m_scheduler.setWeight(run_id(name), static_cast<std::uint32_t>(configured->weight));
    handleEvent(item, taken_over { fencing });
}

// Cancels all running work of a run. Nothing is saved here: the next coordinator continues from
// the ledger.
void run_duty::stop(const std::string& name)
{
    const auto found = m_runs.find(name);
    if (found == m_runs.end())
        return;
    const auto item = found->second;
    m_runs.erase(found);
    m_scheduler.remove(run_id(name));
    for (auto job = m_jobs.begin(); job != m_jobs.end();) {
        if (job->second.run != name) {
            ++job;
            continue;
        }
        m_context.sendToServing(cancel_job { job->first });
        job = m_jobs.erase(job);
    }
    for (const auto& [id, call] : item->calls)
        call.exchange->answer(statusUnavailable, { { "Content-Type", "application/json" }, { "Retry-After", "1" } },
            R"({"error":{"outcome":"unknown","reason":"coordinator_changed","message":"ask again","retry_after_ms":200}})");
    item->calls.clear();
}

bool run_duty::isCurrent(const run_ptr& item) const
{
    const auto found = m_runs.find(item->name);
    return found != m_runs.end() && found->second == item;
}

void run_duty::handleEvent(const run_ptr& item, const run_event& event)
{
    if (!isCurrent(item))
        return;
    execute(item, item->coordinator.handle(event, m_context.now));
}

void run_duty::execute(const run_ptr& item, const std::vector<run_action>& actions)
{
    for (const auto& action : actions) {
        if (!isCurrent(item))
            return;
        std::visit([this, &item](const auto& alternative) { execute(item, alternative); }, action);
    }
}

void run_duty::tick()
{
    if (m_context.now < m_nextTick)
        return;
    m_nextTick = m_context.now + tickInterval;
    const auto runs = m_runs;
    for (const auto& [name, item] : runs) {
        reportLostHolders(item);
        handleEvent(item, lovagerail::tick {});
        expireCalls(item);
        repeatVersionNotice(item);
    }
    dispatch();
}

// The holder of the duty over a model's weights has the trainer's version in memory only, and a new holder
// doesn't know it. The run's ledger does.
void run_duty::repeatVersionNotice(const run_ptr& item)
{
    if (!item->coordinator.leading() || m_context.now < item->nextVersionNotice)
        return;
    item->nextVersionNotice = m_context.now + versionNoticePeriod;
    const auto* configured = m_context.inForce->findRun(run_id(item->name));
    const auto version = item->coordinator.head().trainerVersion;
    if (configured != nullptr && version != weight_version())
        m_weights.onVersionPublished(configured->model, version);
}

// Reports payload holders that disappeared, or restarted without their payloads, to the coordinator.
void run_duty::reportLostHolders(const run_ptr& item)
{
    const auto live = m_payloads.liveHolders();
    const std::set<payload_holder> currentHolders(live.begin(), live.end());
    const auto previousHolders = std::exchange(item->holders, currentHolders);
    for (const auto& holder : previousHolders) {
        if (!currentHolders.contains(holder) && holder.started != incarnation())
            handleEvent(item, holder_lost { holder });
    }
}

void run_duty::onVersions(const served_versions& versions)
{
    m_versions = { versions.versions.begin(), versions.versions.end() };
    std::optional<weight_version> oldest;
    for (const auto& [target, version] : m_versions) {
        if (version != weight_version() && (!oldest || version < *oldest))
            oldest = version;
    }
    if (!oldest)
        return;
    const auto runs = m_runs;
    for (const auto& [name, item] : runs)
        handleEvent(item, served_version { *oldest });
}

// --- Generating ----------------------------------------------------------------------

// Dispatches slots while there is capacity, shared between the runs by weight.
void run_duty::dispatch()
{
    const auto capacity = std::max<std::size_t>(1, m_versions.size()) * jobsPerEngine;
    std::size_t inProgress = m_jobs.size();
    for (const auto& [name, item] : m_runs)
        inProgress += item->fetchingPrompts.size();
    std::set<run_id> exhaustedRuns;
    while (inProgress < capacity && !m_context.draining) {
        std::vector<run_id> backlogged;
        for (const auto& [name, item] : m_runs) {
            if (item->coordinator.hasBacklog() && !exhaustedRuns.contains(run_id(name)))
                backlogged.emplace_back(name);
        }
        const auto nextRun = m_scheduler.pick(backlogged);
        if (!nextRun)
            return;
        const auto item = m_runs.at(nextRun->str());
        const auto slot = item->coordinator.takeDispatch(m_context.now);
        if (!slot) {
            exhaustedRuns.insert(*nextRun);
            continue;
        }
        m_scheduler.charge(*nextRun, token_count(slot->maxTokens));
        fetchPrompt(item, *slot);
        ++inProgress;
    }
}

// Fetches the prompt of a slot, then starts the generation.
void run_duty::fetchPrompt(const run_ptr& item, const dispatch_slot& slot)
{
    item->fetchingPrompts.insert(slot.stream);
    m_payloads.get(run_id(item->name), slot.stream.slot.step, slot.prompt, slot.promptHolders, [this, item, slot](const result<std::string>& prompt) {
        if (!isCurrent(item) || item->fetchingPrompts.erase(slot.stream) == 0)
            return;
        if (prompt) {
            startGeneration(item, slot, *prompt);
            return;
        }
        // If no holder has the prompt any more, the trainer has to supply it again.
        if (prompt.error().code == error_code::NotFound)
            handleEvent(item, prompt_lost { slot.stream.slot.step, slot.stream.slot.group });
        handleEvent(item, dispatch_refused { slot.stream });
    });
}

void run_duty::startGeneration(const run_ptr& item, const dispatch_slot& slot, std::string prompt)
{
    const auto* configured = m_context.inForce->findRun(run_id(item->name));
    if (configured == nullptr)
        return;
    auto& text = item->texts[slot.stream.slot];
    if (slot.resumeFrom == 0 || text.stream.attempt != slot.stream.attempt)
        text = sample_text {};
    text.stream = slot.stream;
    text.prompt = prompt;

    generation_job job;
    job.job = job_id(++m_lastJob);
    job.account = configured->account;
    job.run = run_id(item->name);
    job.prompt = std::move(prompt);
    job.generatedText = text.text;
    job.maxTokens = slot.maxTokens > slot.resumeFrom ? slot.maxTokens - slot.resumeFrom : 1;
    job.priority = slot.priority;
    m_jobs[job.job] = job_state { item->name, slot.stream, false };
    item->generating[slot.stream] = job.job;
    m_context.sendToServing(std::move(job));
}

void run_duty::onJob(const job_event& update)
{
    const auto found = m_jobs.find(update.job);
    if (found == m_jobs.end())
        return;
    const auto job = found->second;
    const auto running = m_runs.find(job.run);
    if (running == m_runs.end()) {
        m_jobs.erase(found);
        return;
    }
    const auto item = running->second;
    if (update.what == job_event::kind::Accepted) {
        if (!job.isJudgeCall)
            handleEvent(item, dispatch_accepted { job.stream });
        return;
    }
    if (update.what == job_event::kind::Chunk) {
        onStreamChunk(item, job, update.piece);
        return;
    }
    m_jobs.erase(found);
    if (job.isJudgeCall)
        onJudged(item, job, update);
    else
        onGenerated(item, job, update);
}

void run_duty::onStreamChunk(const run_ptr& item, const job_state& job, const stream_chunk& chunk)
{
    const auto found = item->texts.find(job.stream.slot);
    if (found == item->texts.end() || found->second.stream != job.stream)
        return;
    auto& text = found->second;
    text.text += chunk.text;
    if (!chunk.finishReason.empty())
        text.finishReason = chunk.finishReason;
    if (chunk.tokens == 0)
        return;
    engine_chunk engineChunk { chunk.version, text.tokens, chunk.tokens };
    text.tokens += chunk.tokens;
    handleEvent(item, chunk_received { job.stream, engineChunk });
}

void run_duty::onGenerated(const run_ptr& item, const job_state& job, const job_event& update)
{
    item->generating.erase(job.stream);
    const auto text = item->texts.find(job.stream.slot);
    const bool isSameStream = text != item->texts.end() && text->second.stream == job.stream;
    if (update.what == job_event::kind::Finished && isSameStream)
        handleEvent(item, generation_finished { job.stream, text->second.tokens });
    else if (update.notRun)
        handleEvent(item, dispatch_refused { job.stream });
    else
        handleEvent(item, generation_failed { job.stream, isSameStream && text->second.tokens > 0 });
}

void run_duty::execute(const run_ptr& item, const cancel_stream& action)
{
    item->fetchingPrompts.erase(action.stream);
    const auto found = item->generating.find(action.stream);
    if (found == item->generating.end())
        return;
    m_context.sendToServing(cancel_job { found->second });
    m_jobs.erase(found->second);
    item->generating.erase(found);
}

// --- Judging -------------------------------------------------------------------------

void run_duty::execute(const run_ptr& item, const call_judge& action)
{
    const auto* configured = m_context.inForce->findRun(run_id(item->name));
    const auto text = item->texts.find(action.stream.slot);
    if (configured == nullptr || text == item->texts.end()) {
        handleEvent(item, judge_failed { action.stream, call_outcome::NotRun });
        return;
    }
    // A run without a judge accepts every complete sample.
    if (configured->judge.empty()) {
        handleEvent(item, sample_judged { action.stream });
        return;
    }
    const auto* judgeRoute = m_context.inForce->findRoute(configured->judge);
    const auto& slot = action.stream.slot;
    const auto name = item->name + "/" + std::to_string(slot.step.value()) + "/" + std::to_string(slot.group.value()) + "/" + std::to_string(slot.sample.value())
        + "/" + std::to_string(action.stream.attempt.value());
    Json::Value body(Json::objectValue);
    body["prompt"] = text->second.prompt;
    body["completion"] = text->second.text;
    body["sample"] = name;
    service_job job;
    job.job = job_id(++m_lastJob);
    job.account = configured->account;
    job.route = configured->judge;
    job.path = judgeRoute == nullptr ? "/judge" : judgeRoute->pathPrefix;
    job.body = toText(body);
    job.idempotencyKey = name;
    job.deadline = item->coordinator.settings().judgeTimeout;
    m_jobs[job.job] = job_state { item->name, action.stream, true };
    item->judging[action.stream] = job.job;
    m_context.sendToServing(std::move(job));
}

void run_duty::execute(const run_ptr& item, const cancel_judge& action)
{
    const auto found = item->judging.find(action.stream);
    if (found == item->judging.end())
        return;
    m_context.sendToServing(cancel_job { found->second });
    m_jobs.erase(found->second);
    item->judging.erase(found);
}

void run_duty::onJudged(const run_ptr& item, const job_state& job, const job_event& update)
{
    item->judging.erase(job.stream);
    const auto text = item->texts.find(job.stream.slot);
    if (update.what == job_event::kind::Finished && update.status == statusOk && text != item->texts.end()) {
        const auto answer = parseJson(update.text, "judge.answer");
        if (answer && (*answer)["score"].isNumeric()) {
            text->second.score = (*answer)["score"].asDouble();
            text->second.judged = true;
            handleEvent(item, sample_judged { job.stream });
            return;
        }
        handleEvent(item, judge_failed { job.stream, call_outcome::Ran });
        return;
    }
    if (update.what == job_event::kind::Finished)
        handleEvent(item, judge_failed { job.stream, call_outcome::Ran });
    else
        handleEvent(item, judge_failed { job.stream, update.notRun ? call_outcome::NotRun : call_outcome::Unknown });
}

// --- Payloads and the ledger -----------------------------------------------------------

void run_duty::execute(const run_ptr& item, const store_payload& action)
{
    const auto found = item->texts.find(action.stream.slot);
    if (found == item->texts.end()) {
        handleEvent(item, payload_refused { action.stream });
        return;
    }
    const auto& text = found->second;
    Json::Value body(Json::objectValue);
    body["text"] = text.text;
    body["finish_reason"] = text.finishReason;
    if (text.judged)
        body["score"] = text.score;
    const auto payload = toText(body);
    const auto digest = digestOf(payload);
    m_payloads.put(run_id(item->name), action.stream.slot.step, { payload }, [this, item, stream = action.stream, digest](const std::vector<payload_holder>& holders) {
        if (holders.empty()) {
            handleEvent(item, payload_refused { stream });
            return;
        }
        item->texts.erase(stream.slot);
        handleEvent(item, payload_stored { stream, digest, holders });
    });
}

void run_duty::execute(const run_ptr& item, const write_ledger& action)
{
    kv_transaction write;
    write.compares.push_back({ action.headKey, kv_field::ModRevision, action.expected, {} });
    write.then.emplace_back(kv_put { action.headKey, action.head, {} });
    for (const auto& [key, value] : action.pages)
        write.then.emplace_back(kv_put { key, value, {} });
    for (const auto& prefix : action.removedPrefixes)
        write.then.emplace_back(kv_delete { prefix, prefixEnd(prefix) });
    m_context.kv.call(write, [this, item, call = action.call](const result<kv_answer>& answer) {
        if (!answer)
            handleEvent(item, ledger_unknown { call });
        else if (answer->succeeded)
            handleEvent(item, ledger_confirmed { call, answer->at });
        else
            handleEvent(item, ledger_conflict { call });
    });
}

void run_duty::execute(const run_ptr& item, const confirm_ledger& action)
{
    kv_transaction confirm;
    confirm.compares.push_back({ action.headKey, kv_field::ModRevision, action.expected, {} });
    m_context.kv.call(confirm, [this, item, call = action.call, expected = action.expected](const result<kv_answer>& answer) {
        if (!answer)
            handleEvent(item, ledger_unknown { call });
        else if (answer->succeeded)
            handleEvent(item, ledger_confirmed { call, expected });
        else
            handleEvent(item, ledger_conflict { call });
    });
}

void run_duty::execute(const run_ptr& item, const read_ledger& action)
{
    // A transaction without compares reads head and pages at the same revision.
    kv_transaction read;
    read.then.emplace_back(kv_range { action.headKey, {}, 0, {}, false });
    read.then.emplace_back(kv_range { action.pagesPrefix, prefixEnd(action.pagesPrefix), 0, {}, false });
    m_context.kv.call(read, [this, item, action](const result<kv_answer>& answer) {
        if (!answer) {
            handleEvent(item, ledger_unknown { action.call });
            return;
        }
        ledger_content content;
        content.call = action.call;
        content.holders = m_payloads.liveHolders();
        for (const auto& entry : answer->entries) {
            if (entry.key == action.headKey) {
                content.headRevision = entry.modRevision;
                content.head = entry.value;
            } else {
                content.pages.emplace_back(entry.key, entry.value);
            }
        }
        handleEvent(item, content);
    });
}

void run_duty::execute(const run_ptr& item, const drop_payloads& action)
{
    m_payloads.dropBelow(run_id(item->name), action.below);
    std::erase_if(item->texts, [&action](const auto& entry) { return entry.first.step < action.below; });
}

void run_duty::execute(const run_ptr& item, const resign&)
{
    logEvent(log_level::Warning, "run", "resign", { { "run", item->name }, { "fencing", std::to_string(item->fencing.value()) } });
    stop(item->name);
    // The next holder, possibly this instance again, gets a higher fencing number.
    m_leases.release(dutyOf(item->name));
}

} // namespace lovagerail::daemon
