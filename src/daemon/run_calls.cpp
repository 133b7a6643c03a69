// Trainers' calls: handled here, or forwarded to the instance that coordinates the run.
#include "daemon/run_duty.h"
#include "daemon/status_api.h"
#include "daemon/weight_duty.h"
#include "http_status.h"
#include "log.h"
#include "object_codec.h"

#include <algorithm>

namespace lovagerail::daemon {

namespace {

    constexpr std::string_view trainerPrefix = "/rollout/v1/runs/";
    constexpr std::string_view forwardPath = "/forward/trainer";
    constexpr std::chrono::milliseconds forwardTimeout { 35'000 };
    constexpr std::int64_t maxWaitMs = 30'000;

    void answerJsonTo(const http::exchange_ptr& exchange, int status, const Json::Value& body)
    {
        exchange->answer(status, { { "Content-Type", "application/json" } }, toText(body) + "\n");
    }

    void refuseCall(const http::exchange_ptr& exchange, int status, const std::string& outcome, const std::string& reason, const std::string& message, std::int64_t retryAfterMs = 0)
    {
        Json::Value body(Json::objectValue);
        body["error"]["outcome"] = outcome;
        body["error"]["reason"] = reason;
        body["error"]["message"] = message;
        header_list headers { { "Content-Type", "application/json" } };
        if (retryAfterMs > 0) {
            body["error"]["retry_after_ms"] = Json::Int64(retryAfterMs);
            headers.emplace_back("Retry-After", std::to_string((retryAfterMs + 999) / 1000));
        }
        exchange->answer(status, headers, toText(body) + "\n");
    }

    // The value of a query parameter; empty if it is missing or not a whole number.
    std::optional<std::uint64_t> queryNumber(const std::string& query, const std::string& name)
    {
        const auto padded = "&" + query;
        const auto position = padded.find("&" + name + "=");
        if (position == std::string::npos)
            return std::nullopt;
        const auto begin = position + name.size() + 2;
        const auto text = padded.substr(begin, padded.find('&', begin) - begin);
        constexpr std::size_t maxDigits = 18;
        if (text.empty() || text.size() > maxDigits || text.find_first_not_of("0123456789") != std::string::npos)
            return std::nullopt;
        return std::stoull(text);
    }

} // namespace

void run_duty::onTrainer(const trainer_exchange& in)
{
    pending_call call;
    call.exchange = in.answer;
    call.method = in.request.method;
    call.query = in.request.query;
    call.body = in.request.body;
    const auto& path = in.request.path;
    if (path.rfind(trainerPrefix, 0) == 0) {
        const auto runPath = path.substr(trainerPrefix.size());
        const auto slash = runPath.find('/');
        call.run = runPath.substr(0, slash);
        call.verb = slash == std::string::npos ? "" : runPath.substr(slash + 1);
    }
    const auto* configured = m_context.inForce->findRun(run_id(call.run));
    if (configured == nullptr) {
        refuseCall(call.exchange, statusNotFound, "not_run", "no_run", "no run of this name is configured");
        return;
    }
    if (configured->account != in.request.account) {
        refuseCall(call.exchange, statusForbidden, "not_run", "account_not_allowed", "the key's account does not own the run");
        return;
    }
    handle(call);
}

void run_duty::handle(const pending_call& call)
{
    const auto found = m_runs.find(call.run);
    if (found == m_runs.end() || !m_leases.holds(dutyOf(call.run))) {
        forwardToCoordinator(call);
        return;
    }
    const auto item = found->second;
    if (call.method == "POST" && call.verb == "groups")
        onGroups(item, call);
    else if (call.method == "POST" && call.verb == "versions")
        onVersion(item, call);
    else if (call.method == "GET" && call.verb == "batches")
        onBatch(item, call);
    else if (call.method == "GET" && call.verb.empty())
        onState(item, call);
    else
        refuseCall(call.exchange, statusNotFound, "not_run", "no_call", "expected groups, versions, batches or the run itself");
}

// Forwards a call to the run's coordinator. If the answer is lost the trainer may repeat the
// call, as all trainers' calls are idempotent.
void run_duty::forwardToCoordinator(const pending_call& call)
{
    m_leases.findHolder(dutyOf(call.run), [this, call](const result<duty_holder>& holder) {
        constexpr std::int64_t retryMs = 300;
        if (!holder) {
            refuseCall(call.exchange, statusUnavailable, "not_run", "no_coordinator", toString(holder.error()), retryMs);
            return;
        }
        const auto address = m_leases.addressOf(holder->instance);
        if (!address || holder->instance == m_context.self) {
            refuseCall(call.exchange, statusUnavailable, "not_run", "no_coordinator", "the run's coordinator is changing", retryMs);
            return;
        }
        Json::Value body(Json::objectValue);
        body["method"] = call.method;
        body["run"] = call.run;
        body["verb"] = call.verb;
        body["query"] = call.query;
        body["body"] = call.body;
        m_peers.post(*address, std::string(forwardPath), toText(body), forwardTimeout, [exchange = call.exchange](const http::answer& answer) {
            if (answer.outcome == http::transfer_result::Complete) {
                exchange->answer(answer.status, { { "Content-Type", "application/json" } }, answer.body);
                return;
            }
            const bool notSent = answer.outcome == http::transfer_result::NotSent;
            refuseCall(exchange, notSent ? statusUnavailable : statusBadGateway, notSent ? "not_run" : "unknown", "coordinator_lost", "ask again: the call may be repeated", retryMs);
        });
    });
}

void run_duty::onForward(const http::exchange_ptr& exchange)
{
    const auto parsed = parseJson(exchange->body, "run.forward");
    if (!parsed) {
        refuseCall(exchange, statusBadRequest, "not_run", "bad_request", toString(parsed.error()));
        return;
    }
    pending_call call;
    call.exchange = exchange;
    call.method = (*parsed)["method"].asString();
    call.run = (*parsed)["run"].asString();
    call.verb = (*parsed)["verb"].asString();
    call.query = (*parsed)["query"].asString();
    call.body = (*parsed)["body"].asString();
    if (!m_runs.contains(call.run) || !m_leases.holds(dutyOf(call.run))) {
        constexpr std::int64_t retryMs = 300;
        refuseCall(exchange, statusUnavailable, "not_run", "no_coordinator", "this instance does not coordinate the run", retryMs);
        return;
    }
    handle(call);
}

trainer_call run_duty::registerCall(const run_ptr& item, const pending_call& call)
{
    const trainer_call id(++m_lastCall);
    item->calls[id] = call;
    return id;
}

std::optional<run_duty::pending_call> run_duty::finishCall(const run_ptr& item, trainer_call call)
{
    auto node = item->calls.extract(call);
    if (!node)
        return std::nullopt;
    return std::move(node.mapped());
}

// Ends batch calls whose wait time is over with "not yet", and those whose client disconnected.
void run_duty::expireCalls(const run_ptr& item)
{
    std::vector<trainer_call> expired;
    for (const auto& [id, call] : item->calls) {
        if (call.verb == "batches" && (m_context.now >= call.expiresAt || call.exchange->callerDisconnected()))
            expired.push_back(id);
    }
    for (const auto id : expired) {
        // Close the request in the coordinator first, so that it hands no batch over to a call that
        // has ended: the batch would only grow stale.
        const step_number step(queryNumber(item->calls.at(id).query, "cursor").value_or(0));
        handleEvent(item, batch_request_closed { id });
        execute(item, answer_not_yet { id, std::chrono::milliseconds(100), item->coordinator.missingGroups(step) });
    }
}

void run_duty::onGroups(const run_ptr& item, const pending_call& call)
{
    // Step 1. Parse all groups before anything is stored.
    const auto body = parseJson(call.body, "run.groups");
    if (!body || !(*body)["step"].isUInt64() || !(*body)["groups"].isArray()) {
        refuseCall(call.exchange, statusBadRequest, "not_run", "bad_request", "expected {step, groups: [{group, prompt, max_tokens}]}");
        return;
    }
    const auto* configured = m_context.inForce->findRun(run_id(item->name));
    const step_number step((*body)["step"].asUInt64());
    std::vector<std::string> prompts;
    std::vector<group_record> groups;
    for (const auto& groupBody : (*body)["groups"]) {
        if (!groupBody.isObject() || !groupBody["group"].isUInt() || !groupBody["prompt"].isString() || !(groupBody["max_tokens"].isNull() || groupBody["max_tokens"].isUInt())) {
            refuseCall(call.exchange, statusBadRequest, "not_run", "bad_request", "groups: expected {group, prompt, max_tokens}");
            return;
        }
        group_record group;
        group.group = group_number(groupBody["group"].asUInt());
        prompts.push_back(groupBody["prompt"].asString());
        group.prompt = digestOf(prompts.back());
        const auto tokenLimit = configured == nullptr ? defaultMaxTokens : static_cast<std::uint32_t>(configured->maxTokens);
        group.maxTokens = groupBody["max_tokens"].isUInt() ? std::min(groupBody["max_tokens"].asUInt(), tokenLimit) : tokenLimit;
        groups.push_back(std::move(group));
    }

    // Step 2. Store the prompts on their holders before the ledger refers to them.
    m_payloads.put(run_id(item->name), step, prompts, [this, item, call, step, groups](const std::vector<payload_holder>& holders) {
        if (!isCurrent(item) || holders.empty()) {
            constexpr std::int64_t retryMs = 500;
            refuseCall(call.exchange, statusUnavailable, "not_run", "no_holder", "the prompts could not be stored", retryMs);
            return;
        }
        groups_supplied event;
        event.step = step;
        event.groups = groups;
        for (auto& group : event.groups)
            group.holders = holders;
        event.call = registerCall(item, call);
        handleEvent(item, event);
    });
}

void run_duty::onVersion(const run_ptr& item, const pending_call& call)
{
    const auto body = parseJson(call.body, "run.versions");
    if (!body || !(*body)["version"].isUInt64()) {
        refuseCall(call.exchange, statusBadRequest, "not_run", "bad_request", "expected {version}");
        return;
    }
    const auto id = registerCall(item, call);
    const weight_version version((*body)["version"].asUInt64());
    handleEvent(item, version_published { id, version });
    if (const auto* configured = m_context.inForce->findRun(run_id(item->name)))
        m_weights.onVersionPublished(configured->model, version);
}

void run_duty::onBatch(const run_ptr& item, pending_call call)
{
    const auto cursor = queryNumber(call.query, "cursor");
    if (!cursor) {
        refuseCall(call.exchange, statusBadRequest, "not_run", "bad_request", "cursor: expected a whole number");
        return;
    }
    const auto waitMs = std::min<std::int64_t>(static_cast<std::int64_t>(queryNumber(call.query, "wait_ms").value_or(0)), maxWaitMs);
    call.expiresAt = m_context.now + std::chrono::milliseconds(waitMs);
    const auto id = registerCall(item, call);
    handleEvent(item, batch_requested { id, step_number(*cursor) });
}

void run_duty::onState(const run_ptr& item, const pending_call& call) const
{
    answerJsonTo(call.exchange, statusOk, stateOf(*item));
}

Json::Value run_duty::stateOf(const active_run& item) const
{
    const auto& head = item.coordinator.head();
    const auto& counts = item.coordinator.counts();
    Json::Value out(Json::objectValue);
    out["run"] = item.name;
    out["coordinator"] = m_context.self.str();
    out["fencing_number"] = Json::UInt64(item.fencing.value());
    out["trainer_version"] = Json::UInt64(head.trainerVersion.value());
    out["acknowledged"] = Json::UInt64(head.acknowledged.value());
    out["open_steps"] = Json::UInt64(head.steps.size());
    const auto slots = item.coordinator.slotsByState(head.acknowledged);
    constexpr std::array<const char*, slotStates> names { "queued", "dispatched", "generating", "judging", "judged", "sealed", "handed_over" };
    for (std::size_t i = 0; i < slots.size(); ++i)
        out[names[i]] = slots[i];
    out["counts"]["dispatched"] = Json::UInt64(counts.dispatched);
    out["counts"]["resumed"] = Json::UInt64(counts.resumed);
    out["counts"]["unusable"] = Json::UInt64(counts.unusable);
    out["counts"]["expired"] = Json::UInt64(counts.expired);
    out["counts"]["lost"] = Json::UInt64(counts.lost);
    out["counts"]["handed_over"] = Json::UInt64(counts.handedOver);
    out["counts"]["acknowledged"] = Json::UInt64(counts.acknowledged);
    out["counts"]["wasted_tokens"] = Json::UInt64(counts.wastedTokens);
    out["counts"]["ledger_calls"] = Json::UInt64(counts.ledgerCalls);
    return out;
}

void run_duty::addTo(operator_duty& api)
{
    m_peers.server().add("runs", [this](const Json::Value&) -> result<Json::Value> {
        Json::Value out(Json::arrayValue);
        for (const auto& [name, item] : m_runs)
            out.append(stateOf(*item));
        return out;
    });
    api.add("GET", "/v1/runs", operator_scope::Read, [this](const operator_call& call) {
        m_status.gather("runs", Json::Value(Json::objectValue), [this, exchange = call.exchange](const std::vector<Json::Value>& answers, const std::vector<std::string>& silent) {
            Json::Value body(Json::objectValue);
            body["runs"] = Json::Value(Json::arrayValue);
            for (const auto& [name, item] : m_runs)
                body["runs"].append(stateOf(*item));
            for (const auto& answer : answers) {
                for (const auto& runState : answer)
                    body["runs"].append(runState);
            }
            for (const auto& name : silent)
                body["silent"].append(name);
            answerJson(exchange, statusOk, body);
        });
    });
}

// --- Answers -----------------------------------------------------------------------

// Fetches the payloads of a batch and answers with them. If one is lost, its sample is generated
// again and the trainer is asked to repeat the call.
void run_duty::execute(const run_ptr& item, const answer_batch& action)
{
    struct gathering {
        std::size_t open = 1;
        std::vector<std::string> payloads;
        bool lost = false;
    };
    auto call = finishCall(item, action.call);
    if (!call)
        return;
    auto state = std::make_shared<gathering>();
    state->payloads.resize(action.samples.size());
    const auto finishOne = [this, item, state, action, call = *call] {
        if (--state->open > 0)
            return;
        if (state->lost) {
            constexpr std::int64_t retryMs = 200;
            refuseCall(call.exchange, statusUnavailable, "not_run", "payload_lost", "samples are made again", retryMs);
            return;
        }
        Json::Value body(Json::objectValue);
        body["cursor"] = Json::UInt64(action.cursor.value());
        body["generation"] = action.generation;
        body["version"] = Json::UInt64(action.handedVersion.value());
        body["samples"] = Json::Value(Json::arrayValue);
        for (std::size_t i = 0; i < action.samples.size(); ++i) {
            const auto& record = action.samples[i];
            auto sample = parseJson(state->payloads[i], "run.payload").value_or(Json::Value(Json::objectValue));
            sample["step"] = Json::UInt64(action.cursor.value());
            sample["group"] = record.group.value();
            sample["index"] = record.sample.value();
            sample["attempt"] = Json::UInt64(record.attempt.value());
            sample["digest"] = toHex(record.payload);
            sample["spans"] = toJson(record.spans);
            sample["age"] = Json::UInt64(ageOf(record.spans, action.handedVersion));
            body["samples"].append(std::move(sample));
            m_status.count(sample_delivered { { m_context.inForce->findRun(run_id(item->name)) == nullptr ? client_account_id() : m_context.inForce->findRun(run_id(item->name))->account, {} }, ageOf(record.spans, action.handedVersion) });
        }
        answerJsonTo(call.exchange, statusOk, body);
    };
    for (std::size_t i = 0; i < action.samples.size(); ++i) {
        const auto& record = action.samples[i];
        ++state->open;
        m_payloads.get(run_id(item->name), action.cursor, record.payload, record.holders, [this, item, state, finishOne, i, action](const result<std::string>& payload) {
            const auto& lostSample = action.samples[i];
            if (payload) {
                state->payloads[i] = *payload;
            } else {
                state->lost = true;
                if (payload.error().code == error_code::NotFound)
                    handleEvent(item, payload_lost { { action.cursor, lostSample.group, lostSample.sample }, lostSample.attempt });
            }
            finishOne();
        });
    }
    finishOne();
}

void run_duty::execute(const run_ptr& item, const answer_not_yet& action)
{
    const auto call = finishCall(item, action.call);
    if (!call)
        return;
    Json::Value body(Json::objectValue);
    body["samples"] = Json::Value(Json::arrayValue);
    body["missing_groups"] = action.missingGroups;
    body["retry_after_ms"] = Json::Int64(std::chrono::ceil<std::chrono::milliseconds>(action.retryAfter).count());
    answerJsonTo(call->exchange, statusOk, body);
}

void run_duty::execute(const run_ptr& item, const answer_accepted& action)
{
    if (const auto call = finishCall(item, action.call))
        answerJsonTo(call->exchange, statusOk, Json::Value(Json::objectValue));
}

void run_duty::execute(const run_ptr& item, const answer_refused& action)
{
    if (const auto call = finishCall(item, action.call))
        refuseCall(call->exchange, httpStatusOf(action.reason.code), "not_run", "refused", toString(action.reason));
}

} // namespace lovagerail::daemon
