// Carries out the actions that the batch runner decides on: runs of items on targets, calls
// of judges, and writes of result pages and partial texts to the store.
#include "edge/batches.h"

#include "http_status.h"
#include "json_text.h"
#include "log.h"

namespace lovagerail::edge {

namespace {

    // Judges answer within 0.5 s, so this leaves time for the retries that their route allows.
    constexpr duration judgeDeadline = std::chrono::milliseconds(2500);

    constexpr double msPerSecond = 1000;

    // The priority that an engine is told; empty where all its requests have the same.
    std::optional<std::int32_t> itemPriority(const site_config& site, const site_route& route, const pool_id& pool)
    {
        const auto* service = site.service(service_id(pool.str()));
        if (service == nullptr || !service->engine || !site.prioritiesDiffer(service->id))
            return std::nullopt;
        return route.priority;
    }

    run_end runEnd(http::transfer_result outcome, const platform::event_reader& reader)
    {
        if (outcome == http::transfer_result::NotSent)
            return run_end::NotSent;
        if (!reader.remainder().empty())
            return run_end::BrokenOff; // within an event
        if (outcome == http::transfer_result::Complete)
            return run_end::Complete;
        return outcome == http::transfer_result::Unproven ? run_end::Unproven : run_end::BrokenOff;
    }

    bool isSuccess(int status) { return status >= 200 && status < 300; }

} // namespace

void batches::execute(std::vector<batch_action> actions)
{
    for (auto& action : actions) {
        if (const auto* run = std::get_if<run_item>(&action))
            startRun(*run);
        else if (const auto* cancellation = std::get_if<cancel_run>(&action)) {
            const auto found = m_runs.find(cancellation->attempt);
            if (found == m_runs.end())
                continue;
            logEvent(log_level::Info, "batch", "run_cancelled",
                { { "item", found->second.item.str() }, { "target", found->second.target.str() }, { "reason", std::string(toString(cancellation->reason)) },
                    { "ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(m_context.now - found->second.sentAt).count()) } });
            m_link.cancel(found->second.transfer);
            m_runs.erase(found);
        } else if (const auto* call = std::get_if<judge_item>(&action))
            callJudge(*call);
        else if (const auto* page = std::get_if<write_page>(&action))
            writePage(*page);
        else if (const auto* texts = std::get_if<save_texts>(&action))
            saveTexts(*texts);
        else if (const auto* placement = std::get_if<note_placement>(&action)) {
            logEvent(log_level::Info, "batch", placement->waiting > 0 ? "unplaced" : "placed",
                { { "batch", placement->batch.str() }, { "waiting", std::to_string(placement->waiting) }, { "targets", std::to_string(placement->targets) }, { "class", placement->routingClass.str() } });
        } else if (const auto* note = std::get_if<note_late>(&action)) {
            logEvent(log_level::Info, "batch", note->late ? "late" : "not_late",
                { { "batch", note->batch.str() }, { "slot_ms", std::to_string(static_cast<std::int64_t>(note->work * msPerSecond)) },
                    { "left_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(note->timeLeft).count()) }, { "competing", std::to_string(note->competing) } });
        }
    }
}

void batches::startRun(const run_item& action)
{
    const auto* spec = m_runner.spec(action.batch);
    const auto& item = spec->items[action.index];
    platform::target_call call;
    call.id = request_id(item.id.str());
    call.host = spec->host;
    call.target = action.choice.target;
    call.account = spec->account;
    call.deadline = std::chrono::duration_cast<std::chrono::milliseconds>(action.deadline);
    call.lastEventId = action.lastEventId;
    call.expectVersion = action.expectVersion;
    call.forwarded = item.headers;
    if (m_context.site)
        call.priority = itemPriority(*m_context.site, m_runner.route(action.batch), action.choice.software.pool);

    http::request request;
    request.method = "POST";
    request.url = action.choice.address + "/";
    request.target = item.path;
    request.headers = platform::encodeTargetCall(call);
    request.body = item.body;
    request.connectTimeout = targetConnectTimeout;
    request.unacknowledgedTimeout = targetUnacknowledgedTimeout;
    request.maxBodyBytes = 0;
    logEvent(log_level::Info, "batch", "run",
        { { "batch", action.batch.str() }, { "item", item.id.str() }, { "target", action.choice.target.str() }, { "behind", std::to_string(action.lastEventId.value_or(0)) },
            { "software", toString(action.choice.software) }, { "began", action.began.empty() ? std::string() : toString(action.began) },
            { "load", std::to_string(m_context.targets.load().ownOutstanding(action.choice.slot)) },
            { "slowdown", std::to_string(m_context.targets.load().view(action.choice.slot, m_context.now).lastingSlowdown) } });
    m_limits.onSend(action.choice.target, send_kind::Item);
    auto& run = m_runs[action.attempt];
    run.target = action.choice.target;
    run.targetIncarnation = action.choice.incarnation;
    run.sentAt = m_context.now;
    run.item = item.id;
    run.transfer = m_link.open(std::move(request), action.choice.target, action.choice.incarnation, path_rule::Any, regionsOf(m_owned.at(action.batch).head), [this, attempt = action.attempt](http::event& event) { onRunEvent(attempt, event); });
}

void batches::onRunEvent(attempt_id attempt, http::event& event)
{
    const auto found = m_runs.find(attempt);
    if (found == m_runs.end())
        return;
    auto& run = found->second;
    if (event.what == http::event::kind::Head) {
        run.head = platform::decodeTargetHead(event.status, event.headers);
        m_frontend.recordTargetState(run.target, run.targetIncarnation, run.head, run.sentAt);
        item_head head;
        head.status = run.head.status;
        head.echoesId = platform::isAnswerTo(run.head, request_id(run.item.str()));
        head.notRun = run.head.notRun;
        head.isEventStream = run.head.isEventStream;
        head.version = run.head.version;
        execute(m_runner.head(attempt, head, m_context.now));
        return;
    }
    if (event.what == http::event::kind::Body) {
        std::vector<batch_event> events;
        for (auto& streamEvent : run.reader.feed(event.bytes))
            events.push_back({ streamEvent.id, std::move(streamEvent.data), streamEvent.version });
        const bool isTooLong = run.reader.isTooLong();
        if (!events.empty())
            execute(m_runner.events(attempt, events, m_context.now));
        if (isTooLong && m_runs.contains(attempt))
            breakOffRun(attempt);
        return;
    }
    const auto end = runEnd(event.outcome, run.reader);
    if (end != run_end::Complete || !isSuccess(run.head.status)) {
        logEvent(log_level::Info, "batch", "run_failed",
            { { "item", run.item.str() }, { "target", run.target.str() }, { "status", std::to_string(event.status) }, { "not_run", run.head.notRun ? "1" : "0" },
                { "detail", event.detail }, { "framing", std::string(toString(event.framing)) }, { "connection", std::string(toString(event.connection)) } });
    }
    m_runs.erase(found);
    execute(m_runner.done(attempt, end, m_context.now));
}

// Ends a run whose answer goes on without the end of an event.
void batches::breakOffRun(attempt_id attempt)
{
    const auto found = m_runs.find(attempt);
    logEvent(log_level::Warning, "batch", "run_broken_off", { { "item", found->second.item.str() }, { "target", found->second.target.str() } });
    m_link.cancel(found->second.transfer);
    m_runs.erase(found);
    execute(m_runner.done(attempt, run_end::BrokenOff, m_context.now));
}

void batches::callJudge(const judge_item& action)
{
    const auto& item = m_runner.spec(action.batch)->items[action.index];
    const auto& owned = m_owned.at(action.batch);
    m_frontend.callService(*item.judge, judgeDeadline, owned.head.account, owned.head.originRegion, [this, batch = action.batch, index = action.index, ownership = owned.ownership](const caller_frontend::service_answer& answer) {
        if (findOwned(batch, ownership) == nullptr)
            return; // the text may be another one by now
        auto outcome = judge_outcome::Retry;
        if (isSuccess(answer.status) && !answer.proof.empty())
            outcome = judge_outcome::Scored;
        else if (answer.status == statusServerError && answer.serverFailures >= answer.maxAttempts)
            outcome = judge_outcome::GivenUp;
        execute(m_runner.judged(batch, index, outcome, answer.proof, m_context.now));
    });
}

void batches::writePage(const write_page& action)
{
    const auto& owned = m_owned.at(action.batch);
    guarded_write write { headKey(action.batch), owned.headRevision, pageKey(action.batch, action.page) };
    kv_transaction change;
    change.compares.push_back({ write.guard, kv_field::ModRevision, write.guardRevision, {} });
    change.compares.push_back({ write.key, kv_field::ModRevision, {}, {} });
    change.then.emplace_back(kv_put { write.key, encodeBatchPage(action.results), {} });
    m_context.store.call("batch page", std::move(change), [this, action, write = std::move(write), ownership = owned.ownership](const result<kv_answer>& answer) {
        if (findOwned(action.batch, ownership) == nullptr)
            return;
        const auto verdict = judgeWrite(write, answer);
        if (verdict.state == write_state::Overtaken) {
            onOwnershipLost(action.batch, "another instance changed its head");
            return;
        }
        const bool written = verdict.state == write_state::Done;
        logEvent(written ? log_level::Info : log_level::Warning, "batch", written ? "page" : "page_not_written",
            { { "batch", action.batch.str() }, { "page", std::to_string(action.page) }, { "results", std::to_string(action.results.size()) },
                { "error", answer ? std::string() : toString(answer.error()) } });
        execute(m_runner.pageWritten(action.batch, action.page, written, m_context.now));
        answerReads();
    });
}

void batches::saveTexts(const save_texts& action)
{
    auto& owned = m_owned.at(action.batch);
    owned.mayHaveStoredTexts = true;
    guarded_write write { headKey(action.batch), owned.headRevision, textsKey(action.batch) };
    kv_transaction change;
    change.compares.push_back({ write.guard, kv_field::ModRevision, write.guardRevision, {} });
    change.then.emplace_back(kv_put { write.key, writeJson(encodeTexts(action.texts)), {} });
    m_context.store.call("batch texts", std::move(change), [this, id = action.batch, items = action.texts.size(), write = std::move(write), ownership = owned.ownership](const result<kv_answer>& answer) {
        const auto* current = findOwned(id, ownership);
        if (current == nullptr)
            return;
        const auto verdict = judgeWrite(write, answer);
        const bool isOwnEnd = current->endWritePending || current->head.ended; // which rewrites the head, too
        if (verdict.state == write_state::Overtaken && !isOwnEnd) {
            onOwnershipLost(id, "another instance changed its head");
            return;
        }
        const bool written = verdict.state == write_state::Done;
        logEvent(written ? log_level::Info : log_level::Warning, "batch", written ? "texts_saved" : "texts_not_saved",
            { { "batch", id.str() }, { "items", std::to_string(items) }, { "error", answer ? std::string() : toString(answer.error()) } });
        // After a failure the runner saves them again later, with what was generated since. No
        // other instance writes them while the head has this revision.
        m_runner.textsSaved(id, written, m_context.now);
    });
}

} // namespace lovagerail::edge
