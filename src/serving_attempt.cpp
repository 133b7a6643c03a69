// Life cycle of an attempt: choice of a target, processing of its response, and its end.
#include "serving.h"

#include "http_status.h"
#include "serving_edge.h"

#include <algorithm>
#include <cassert>

namespace lovagerail {

namespace {

    constexpr int firstClientError = 400;
    constexpr int firstServerError = 500;
    constexpr duration defaultRetryAfter = std::chrono::seconds(1);
    // Delay before a request that found no target tries again.
    constexpr duration targetRetryDelay = std::chrono::milliseconds(100);
    // How long a job that has had no attempt yet keeps trying.
    constexpr duration maxJobWait = std::chrono::seconds(2);

    // SplitMix64: spreads consecutive numbers over all 64 bits.
    std::uint64_t mix(std::uint64_t value)
    {
        value += 0x9e3779b97f4a7c15u;
        value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9u;
        value = (value ^ (value >> 27)) * 0x94d049bb133111ebu;
        return value ^ (value >> 31);
    }

    bool namesAttempt(const std::string& chunkId, const std::string& attempt)
    {
        return chunkId == "cmpl-" + attempt || chunkId == "chatcmpl-" + attempt;
    }

} // namespace

serving::open_request* serving::find(attempt_id attempt)
{
    const auto found = m_byAttempt.find(attempt);
    return found == m_byAttempt.end() ? nullptr : &m_requests.at(found->second);
}

// Chooses a target and sends an attempt there; otherwise lets the request wait or refuses it.
void serving::dispatch(open_request& request, instant now, wall_time wall)
{
    assert(!request.attempt);

    // Step 1. Refuse quarantined requests; a suspect runs in isolation, one attempt at a time.
    if (refuseIfQuarantined(request, now, wall))
        return;
    const auto verdict = m_quarantine.verdictFor(request.fingerprint, wall, request.job.has_value());
    if (verdict == quarantine_verdict::Wait) {
        waitForTarget(request, now);
        return;
    }
    const bool asSuspect = verdict == quarantine_verdict::RunIsolated;

    // Step 2. Ask the router.
    route_request routeRequest;
    routeRequest.routingClass = request.routingClass;
    routeRequest.account = request.account;
    routeRequest.run = request.run;
    routeRequest.promptBlocks = request.blocks;
    if (request.generationState) {
        routeRequest.promptTokens = token_count(request.generationState->wanted().prompt.size() / bytesPerToken);
        routeRequest.expectedTokens = token_count(request.generationState->remainingTokens());
        routeRequest.resumable = true;
    }
    routeRequest.idempotent = request.idempotent;
    routeRequest.deadline = request.deadline;
    routeRequest.excluded = request.triedTargets;
    const auto isolatedTargets = m_quarantine.isolatedTargets();
    routeRequest.excluded.insert(routeRequest.excluded.end(), isolatedTargets.begin(), isolatedTargets.end());
    routeRequest.seed = mix(m_settings.incarnationNumber.value() ^ (request.number << 8) ^ request.attempts);
    const auto decision = chooseTarget(routeRequest, request.triedTargets, asSuspect, now);
    if (const auto* choice = std::get_if<route_choice>(&decision)) {
        sendTo(request, *choice, routeRequest, asSuspect, now);
        logDecision(request, "dispatched", std::string(toString(choice->reason)), wall,
            { { "target", choice->target.str() }, { "attempt", attemptName(request.attempt->id) } });
        return;
    }

    // Step 3. All targets were tried, so each may be tried again.
    const auto& noRoute = std::get<no_route>(decision);
    if (noRoute.reason == no_route_reason::AllExcluded)
        request.triedTargets.clear();

    // Step 4. A request that had an attempt before, or whose targets are reserved for
    // suspects, waits until its deadline; a job waits for maxJobWait. Any other request is
    // refused at once, and so is one whose deadline no target can meet.
    const bool heldBySuspect = noRoute.reason == no_route_reason::AllExcluded && !isolatedTargets.empty();
    const bool mayWait = heldBySuspect || request.attempts > 0 || (request.job && now - request.dequeuedAt < maxJobWait);
    if (!mayWait || noRoute.reason == no_route_reason::CannotMeetDeadline) {
        const auto retryAfter = noRoute.retryAfter > duration::zero() ? noRoute.retryAfter : defaultRetryAfter;
        refuse(request, statusUnavailable, toString(noRoute.reason), "no target can take the request now", retryAfter, now, wall);
        return;
    }
    waitForTarget(request, now);
}

// Schedules another search for a target.
void serving::waitForTarget(open_request& request, instant now)
{
    m_waiting.erase({ request.retryAt, request.number });
    request.retryAt = now + targetRetryDelay;
    m_waiting.emplace(request.retryAt, request.number);
}

// A suspect is sent to a failure domain other than those where its targets crashed, as
// domains fail as a whole and the request would be blamed for that too. Within these, a
// cheap target is preferred, as the request may crash it.
route_decision serving::chooseTarget(route_request& routeRequest, const std::vector<target_id>& triedTargets, bool asSuspect, instant now)
{
    if (!asSuspect)
        return m_router.choose(routeRequest, now);

    std::set<failure_domain_id> domains;
    for (const auto& id : triedTargets) {
        if (const auto slot = m_router.table().find(id))
            domains.insert(m_router.table().record(*slot).listed.failureDomain);
    }
    route_request otherDomains = routeRequest;
    route_request cheapOtherDomains = routeRequest;
    for (const auto slot : m_router.table().allowed(routeRequest.routingClass)) {
        const auto& listed = m_router.table().record(slot).listed;
        const bool sameDomain = domains.contains(listed.failureDomain);
        if (sameDomain)
            otherDomains.excluded.push_back(listed.id);
        if (sameDomain || listed.supply != supply_kind::Cheap)
            cheapOtherDomains.excluded.push_back(listed.id);
    }
    for (const auto* restrictedRequest : { &cheapOtherDomains, &otherDomains }) {
        auto decision = m_router.choose(*restrictedRequest, now);
        if (std::holds_alternative<route_choice>(decision))
            return decision;
    }
    return m_router.choose(routeRequest, now);
}

void serving::sendTo(open_request& request, const route_choice& choice, const route_request& routeRequest, bool asSuspect, instant now)
{
    open_attempt attempt;
    attempt.id = newAttemptId();
    attempt.choice = choice;
    attempt.sentAt = now;
    attempt.asSuspect = asSuspect;
    if (asSuspect)
        m_quarantine.isolatedRunStarted(request.fingerprint, choice.target);
    m_router.started(attempt.id, choice, routeRequest, now);
    m_waiting.erase({ request.retryAt, request.number });
    ++request.attempts;
    if (request.firstSent == instant())
        request.firstSent = now;

    send_attempt send;
    send.attempt = attempt.id;
    send.method = request.method;
    send.url = choice.address + request.target;
    send.repeatable = request.idempotent;
    if (request.generationState) {
        send.headers = { { "Content-Type", "application/json" } };
        send.body = request.generationState->attemptBody(request.priority);
    } else {
        send.headers = request.headers;
        send.body = request.body;
    }
    send.headers.emplace_back("X-Request-Id", attemptName(attempt.id));
    m_byAttempt[attempt.id] = request.number;
    request.attempt = std::move(attempt);
    m_actions.push_back(std::move(send));
    if (request.job) {
        job_event jobEvent;
        jobEvent.job = *request.job;
        jobEvent.what = job_event::kind::Accepted;
        m_actions.push_back(std::move(jobEvent));
    }
}

std::vector<serving_action> serving::head(attempt_id id, int status, const header_list& headers, instant now)
{
    auto* request = find(id);
    if (request == nullptr)
        return takeActions();
    auto& attempt = *request->attempt;
    attempt.headSeen = true;
    attempt.status = status;
    attempt.headers = headers;
    // A response with the id of another attempt belongs to another request.
    if (findHeader(headers, "x-request-id") != attemptName(id)) {
        attempt.crossed = true;
        attempt.fault = "the answer names another request";
        ++m_counts.crossed;
    }
    if (status == statusTooManyRequests || (status == statusUnavailable && findHeader(headers, "x-not-run") == "true"))
        attempt.refusedByTarget = true;
    if (!request->generationState && !attempt.crossed && status < firstServerError) {
        attempt.firstTokenAt = now;
        m_router.firstToken(id, now);
    }
    return takeActions();
}

std::vector<serving_action> serving::body(attempt_id id, std::string_view bytes, instant now)
{
    auto* request = find(id);
    if (request == nullptr)
        return takeActions();
    auto& attempt = *request->attempt;
    if (attempt.crossed || !attempt.fault.empty())
        return takeActions();

    // Step 1. Buffer the responses of plain services, and refusals, until they are complete.
    if (!request->generationState || attempt.status != statusOk) {
        if (attempt.bytes.size() + bytes.size() > m_settings.maxBufferedBytes)
            attempt.fault = "the answer is too long";
        else
            attempt.bytes += bytes;
        return takeActions();
    }

    // Step 2. Parse an engine's stream.
    auto chunks = attempt.reader.feed(bytes);
    if (!chunks) {
        attempt.fault = chunks.error().detail;
        return takeActions();
    }
    const auto number = request->number;
    for (const auto& chunk : *chunks) {
        if (!namesAttempt(chunk.id, attemptName(id))) {
            attempt.crossed = true;
            attempt.fault = "a chunk names another request";
            ++m_counts.crossed;
            break;
        }
        takeChunk(*request, chunk, now);
        if (!m_requests.contains(number))
            break;
    }
    return takeActions();
}

// Adds one chunk to the generation and passes it on to the caller or job.
void serving::takeChunk(open_request& request, const stream_chunk& piece, instant now)
{
    auto& attempt = *request.attempt;
    if (attempt.firstTokenAt == instant() && piece.tokens > 0) {
        attempt.firstTokenAt = now;
        m_router.firstToken(attempt.id, now);
        if (request.firstToken == instant())
            request.firstToken = now;
    }
    attempt.tokens += piece.tokens;
    if (piece.version)
        attempt.version = *piece.version;
    if (piece.usage)
        attempt.usage = piece.usage;
    request.generationState->add(piece);

    if (request.job) {
        job_event jobEvent;
        jobEvent.job = *request.job;
        jobEvent.what = job_event::kind::Chunk;
        jobEvent.piece = piece;
        m_actions.push_back(std::move(jobEvent));
        return;
    }
    const bool hasContent = !piece.text.empty() || !piece.finishReason.empty();
    if (!request.generationState->wanted().stream || !hasContent)
        return;
    if (!request.answerBegun) {
        request.answerBegun = true;
        m_actions.push_back(begin_answer { *request.caller, statusOk,
            { { "Content-Type", "text/event-stream" }, { "Cache-Control", "no-cache" }, { "X-Request-Id", request.id.str() } } });
    }
    m_actions.push_back(append_answer { *request.caller, request.generationState->chunkEvent(request.id, piece) });
}

std::vector<serving_action> serving::done(attempt_id id, transfer_end end, instant now, wall_time wall)
{
    auto* request = find(id);
    if (request == nullptr)
        return takeActions();
    recordBlame(*request, end, wall);
    if (request->generationState)
        finishEngine(*request, end, now, wall);
    else
        finishService(*request, end, now, wall);
    return dispatchAndTakeActions(now, wall);
}

void serving::finishEngine(open_request& request, transfer_end end, instant now, wall_time wall)
{
    auto& attempt = *request.attempt;
    const bool clean = end == transfer_end::Complete && !attempt.crossed && attempt.fault.empty();

    // Step 1. Complete: the finish reason arrived. If the stream broke off after all
    // requested tokens, the reason must have been "length"; a retry would generate one
    // token too many.
    const bool usable = !attempt.crossed && attempt.fault.empty() && attempt.status == statusOk;
    if (usable && attempt.tokens > 0 && !request.generationState->isComplete() && request.generationState->remainingTokens() == 0) {
        stream_chunk finalChunk;
        finalChunk.finishReason = "length";
        takeChunk(request, finalChunk, now);
    }
    if (usable && request.generationState->isComplete()) {
        answered(request, now, wall);
        return;
    }

    // Step 2. All requested tokens arrived, over all attempts, and only the finish reason
    // is missing: resuming elsewhere would generate one token too many.
    if (!attempt.crossed && request.generationState->started() && request.generationState->remainingTokens() == 0) {
        if (!request.generationState->isComplete()) {
            stream_chunk finalChunk;
            finalChunk.finishReason = "length";
            takeChunk(request, finalChunk, now);
        }
        answered(request, now, wall);
        return;
    }

    // Step 3. It did not run: the target refused it, or no byte was sent.
    if (clean && attempt.refusedByTarget) {
        attemptFailed(request, attempt_outcome::Refused, true, "refused by the target", now, wall);
        return;
    }
    if (end == transfer_end::NotSent) {
        attemptFailed(request, attempt_outcome::Reset, true, "not sent", now, wall);
        return;
    }

    // Step 4. The request itself is invalid: pass the engine's error on to the caller.
    if (clean && attempt.status >= firstClientError && attempt.status < firstServerError && request.caller && !request.answerBegun) {
        complete_answer answer { *request.caller, attempt.status, { { "Content-Type", "application/json" } }, attempt.bytes };
        logDecision(request, "answered", "the engine refused the request itself", wall);
        endAttempt(request, attempt_outcome::Success, usage_heading::Ended, now);
        m_actions.push_back(std::move(answer));
        countServed(request, request_served::outcome::Answered, now);
        erase(request.number, now);
        return;
    }

    // Step 5. Failed: resume on another target from the tokens generated so far.
    const auto outcome = end == transfer_end::Complete ? attempt_outcome::Failure : attempt_outcome::Reset;
    attemptFailed(request, outcome, false, attempt.fault.empty() ? "the stream broke off" : attempt.fault, now, wall);
}

void serving::finishService(open_request& request, transfer_end end, instant now, wall_time wall)
{
    auto& attempt = *request.attempt;
    const bool clean = end == transfer_end::Complete && !attempt.crossed && attempt.fault.empty();
    if (end == transfer_end::NotSent || (clean && attempt.refusedByTarget)) {
        attemptFailed(request, end == transfer_end::NotSent ? attempt_outcome::Reset : attempt_outcome::Refused, true, "not run", now, wall);
        return;
    }
    // Any complete response of the service is final, whatever its status, except a server
    // error to an idempotent request, which is retried.
    const bool serverError = attempt.status >= firstServerError;
    if (clean && !(serverError && request.idempotent && request.attempts < m_settings.retries.maxAttempts)) {
        answered(request, now, wall);
        return;
    }
    const auto outcome = end == transfer_end::Complete ? attempt_outcome::Failure : attempt_outcome::Reset;
    attemptFailed(request, outcome, false, attempt.fault.empty() ? "no whole answer" : attempt.fault, now, wall);
}

// Completes a request: sends the rest of the response to the caller, or the result to the job.
void serving::answered(open_request& request, instant now, wall_time wall)
{
    auto& attempt = *request.attempt;
    ++m_counts.answered;
    m_quarantine.completed(request.fingerprint, wall);
    m_retries.succeeded(m_router.table().record(attempt.choice.slot).listed.pool.str(), now);
    logDecision(request, "answered", "whole", wall, { { "target", attempt.choice.target.str() }, { "attempts", std::to_string(request.attempts) } });

    if (request.job) {
        job_event jobEvent;
        jobEvent.job = *request.job;
        jobEvent.what = job_event::kind::Finished;
        jobEvent.text = request.generationState ? request.generationState->text() : attempt.bytes;
        jobEvent.status = attempt.status;
        m_actions.push_back(std::move(jobEvent));
    } else if (!request.generationState) {
        header_list headers { { "X-Request-Id", request.id.str() } };
        if (const auto type = findHeader(attempt.headers, "content-type"); !type.empty())
            headers.emplace_back("Content-Type", std::string(type));
        storeKeyedAnswer(request, attempt.status, findHeader(attempt.headers, "content-type"), attempt.bytes, now);
        m_actions.push_back(complete_answer { *request.caller, attempt.status, std::move(headers), std::move(attempt.bytes) });
    } else if (request.answerBegun) {
        m_actions.push_back(append_answer { *request.caller, request.generationState->finalEvents(request.id) });
        m_actions.push_back(end_answer { *request.caller });
    } else {
        m_actions.push_back(complete_answer { *request.caller, statusOk,
            { { "Content-Type", "application/json" }, { "X-Request-Id", request.id.str() } }, request.generationState->completeBody(request.id) });
    }
    countServed(request, request_served::outcome::Answered, now);
    endAttempt(request, attempt_outcome::Success, usage_heading::Ended, now);
    erase(request.number, now);
}

// Ends the attempt, then schedules a retry if that is allowed, else refuses the request.
// `reason` may not refer into the attempt, as that is destroyed here.
void serving::attemptFailed(open_request& request, attempt_outcome outcome, bool notRun, const std::string& reason, instant now, wall_time wall)
{
    const auto target = request.attempt->choice.target;
    const auto pool = m_router.table().record(request.attempt->choice.slot).listed.pool.str();
    const bool progressed = request.attempt->tokens > 0;
    request.mayHaveRun = request.mayHaveRun || !notRun;
    // Tokens generated so far are kept, not repeated; a job has received them in chunks.
    const auto heading = progressed ? usage_heading::Resumed : usage_heading::Retried;
    endAttempt(request, outcome, heading, now);
    logDecision(request, "attempt_failed", reason, wall, { { "target", target.str() }, { "not_run", notRun ? "yes" : "no" } });

    // Step 1. A job's owner decides about retries itself, under its own attempt numbers.
    if (request.job && !notRun) {
        refuse(request, statusBadGateway, "attempt_failed", reason, {}, now, wall);
        return;
    }
    if (refuseIfQuarantined(request, now, wall))
        return;

    // Step 2. Decide whether to retry.
    retry_request retryRequest;
    retryRequest.outcome = notRun ? run_outcome::NotRun : progressed ? run_outcome::Ran
                                                                     : run_outcome::Unknown;
    retryRequest.idempotent = request.idempotent;
    retryRequest.attempts = request.attempts;
    retryRequest.progressed = progressed;
    retryRequest.deadline = request.deadline;
    retryRequest.seed = mix(m_settings.incarnationNumber.value() ^ (request.number << 8) ^ request.attempts);
    const auto decision = m_retries.decide(pool, retryRequest, now);
    if (decision.verdict != retry_verdict::Retry) {
        const auto status = decision.verdict == retry_verdict::MayHaveRun ? statusBadGateway : statusUnavailable;
        const std::string_view refusalReason = decision.verdict == retry_verdict::BudgetExhausted ? toString(decision.verdict) : notRun ? "not_run"
                                                                                                                                        : "attempt_failed";
        refuse(request, status, refusalReason, reason, notRun ? defaultRetryAfter : duration::zero(), now, wall);
        return;
    }
    ++(progressed ? m_counts.resumed : m_counts.retried);
    request.triedTargets.push_back(target);

    // Step 3. Schedule the retry; a request that progressed resumes at once.
    request.retryAt = now + decision.delay;
    m_waiting.emplace(request.retryAt, request.number);
    if (progressed)
        dispatch(request, now, wall);
}

// Ends the attempt: updates the router and the quarantine, and emits its usage record.
// The request has no attempt afterwards.
void serving::endAttempt(open_request& request, attempt_outcome outcome, usage_heading heading, instant now)
{
    assert(request.attempt);
    auto& attempt = *request.attempt;

    // Step 1. Update the router and the quarantine.
    attempt_end end;
    end.outcome = outcome;
    end.generated = token_count(attempt.tokens);
    if (attempt.usage)
        end.cachedTokens = attempt.usage->cached;
    m_router.ended(attempt.id, end, now);

    if (attempt.asSuspect)
        m_quarantine.isolatedRunEnded(request.fingerprint);

    // Step 2. Account for the resources used.
    const bool ran = attempt.headSeen || attempt.tokens > 0;
    if (ran && outcome != attempt_outcome::Reset)
        request.cost += costOf(request, now);
    if (ran && !request.account.empty() && !attempt.refusedByTarget) {
        const auto& record = m_router.table().record(attempt.choice.slot);
        attempt_usage event;
        event.request = request.id;
        event.attempt = attempt.id;
        event.account = request.account;
        if (request.generationState)
            event.model = record.model.empty() ? model_id(request.generationState->wanted().model) : record.model;
        event.version = attempt.version;
        event.pool = record.listed.pool;
        event.target = attempt.choice.target;
        event.heading = heading;
        event.continuesAnswer = request.generationState && request.generationState->tokens() > attempt.tokens;
        event.counted.generated = token_count(attempt.tokens);
        event.counted.targetTime = std::chrono::duration_cast<std::chrono::milliseconds>(now - attempt.sentAt);
        if (attempt.usage) {
            event.counted.prefilled = attempt.usage->prompt - std::min(attempt.usage->cached, attempt.usage->prompt);
            event.counted.cached = attempt.usage->cached;
            usage_figures reported = event.counted;
            reported.generated = attempt.usage->completion;
            event.reportedByTarget = reported;
        } else if (request.generationState) {
            event.counted.prefilled = token_count(request.generationState->wanted().prompt.size() / bytesPerToken);
        }
        m_actions.push_back(serving_record { std::move(event) });
    }

    m_byAttempt.erase(attempt.id);
    request.attempt.reset();
}

} // namespace lovagerail
