// The life of an attempt: choice of a target, the bytes that come back, its end.
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
    // How soon a request that found no target looks again, and how long a job does.
    constexpr duration noTargetDelay = std::chrono::milliseconds(100);
    constexpr duration noTargetPatience = std::chrono::seconds(2);

    // SplitMix64: spreads consecutive numbers over all 64 bits.
    std::uint64_t mix(std::uint64_t value)
    {
        value += 0x9e3779b97f4a7c15u;
        value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9u;
        value = (value ^ (value >> 27)) * 0x94d049bb133111ebu;
        return value ^ (value >> 31);
    }

    bool sameName(const std::string& pieceId, const std::string& attempt)
    {
        return pieceId == "cmpl-" + attempt || pieceId == "chatcmpl-" + attempt;
    }

} // namespace

serving::open_request* serving::find(attempt_id attempt)
{
    const auto found = m_byAttempt.find(attempt);
    return found == m_byAttempt.end() ? nullptr : &m_requests.at(found->second);
}

// Chooses a target and sends an attempt, or waits, or refuses.
void serving::dispatch(open_request& request, instant now, wall_time wall)
{
    assert(!request.attempt);

    // Step 1. A suspect runs once more, apart from others, or not at all.
    if (refuseIfQuarantined(request, now, wall))
        return;
    const auto verdict = m_quarantine.judge(request.fingerprint, wall);
    if (verdict == quarantine_verdict::Wait) {
        waitForTarget(request, now);
        return;
    }
    const bool asSuspect = verdict == quarantine_verdict::RunAlone;

    // Step 2. Ask the router.
    route_request asked;
    asked.routingClass = request.routingClass;
    asked.account = request.account;
    asked.run = request.run;
    asked.promptBlocks = request.blocks;
    if (request.made) {
        asked.promptTokens = token_count(request.made->wanted().prompt.size() / bytesPerToken);
        asked.expectedTokens = token_count(request.made->tokensLeft());
        asked.resumable = true;
    }
    asked.idempotent = request.idempotent;
    asked.deadline = request.deadline;
    asked.excluded = request.tried;
    const auto occupied = m_quarantine.occupied();
    asked.excluded.insert(asked.excluded.end(), occupied.begin(), occupied.end());
    asked.seed = mix(m_settings.life.value() ^ (request.number << 8) ^ request.attempts);
    const auto decision = chooseTarget(asked, request.tried, asSuspect, now);
    if (const auto* choice = std::get_if<route_choice>(&decision)) {
        sendTo(request, *choice, asked, asSuspect, now);
        note(request, "dispatched", std::string(toString(choice->reason)), wall,
            { { "target", choice->target.str() }, { "attempt", attemptName(request.attempt->id) } });
        return;
    }

    // Step 3. All targets were tried: each may be tried once more.
    const auto& none = std::get<no_route>(decision);
    if (none.reason == no_route_reason::AllExcluded)
        request.tried.clear();

    // Step 4. A request that was under way, or is kept from targets by a suspect that
    // runs there, waits until its deadline, a job for a while; any other is told at once.
    const bool kept = none.reason == no_route_reason::AllExcluded && !occupied.empty();
    const bool patient = kept || request.attempts > 0 || (request.job && now - request.leftQueue < noTargetPatience);
    if (!patient || none.reason == no_route_reason::CannotMeetDeadline) {
        const auto retryAfter = none.retryAfter > duration::zero() ? none.retryAfter : defaultRetryAfter;
        refuse(request, statusUnavailable, toString(none.reason), "no target can take the request now", retryAfter, now, wall);
        return;
    }
    waitForTarget(request, now);
}

// Looks for a target again a little later.
void serving::waitForTarget(open_request& request, instant now)
{
    m_waiting.erase({ request.retryAt, request.number });
    request.retryAt = now + noTargetDelay;
    m_waiting.emplace(request.retryAt, request.number);
}

// A suspect goes to another failure domain than the one where its target died, since
// domains fail as a whole and it would be blamed for that; and to a cheap target if
// one can take it, since it may cost the target.
route_decision serving::chooseTarget(route_request& asked, const std::vector<target_id>& tried, bool asSuspect, instant now)
{
    if (!asSuspect)
        return m_router.choose(asked, now);

    std::set<failure_domain_id> domains;
    for (const auto& id : tried) {
        if (const auto slot = m_router.table().find(id))
            domains.insert(m_router.table().record(*slot).listed.failureDomain);
    }
    route_request apart = asked;
    route_request cheapApart = asked;
    for (const auto slot : m_router.table().allowed(asked.routingClass)) {
        const auto& listed = m_router.table().record(slot).listed;
        const bool sameDomain = domains.contains(listed.failureDomain);
        if (sameDomain)
            apart.excluded.push_back(listed.id);
        if (sameDomain || listed.supply != supply_kind::Cheap)
            cheapApart.excluded.push_back(listed.id);
    }
    for (const auto* wanted : { &cheapApart, &apart }) {
        auto decision = m_router.choose(*wanted, now);
        if (std::holds_alternative<route_choice>(decision))
            return decision;
    }
    return m_router.choose(asked, now);
}

void serving::sendTo(open_request& request, const route_choice& choice, const route_request& asked, bool asSuspect, instant now)
{
    open_attempt attempt;
    attempt.id = newAttemptId();
    attempt.choice = choice;
    attempt.sentAt = now;
    attempt.asSuspect = asSuspect;
    if (asSuspect)
        m_quarantine.suspectBegan(request.fingerprint, choice.target);
    m_router.started(attempt.id, choice, asked, now);
    m_waiting.erase({ request.retryAt, request.number });
    ++request.attempts;
    if (request.firstSent == instant())
        request.firstSent = now;

    send_attempt send;
    send.attempt = attempt.id;
    send.method = request.method;
    send.url = choice.address + request.target;
    send.repeatable = request.idempotent;
    if (request.made) {
        send.headers = { { "Content-Type", "application/json" } };
        send.body = request.made->attemptBody(request.priority);
    } else {
        send.headers = request.headers;
        send.body = request.body;
    }
    send.headers.emplace_back("X-Request-Id", attemptName(attempt.id));
    m_byAttempt[attempt.id] = request.number;
    request.attempt = std::move(attempt);
    m_actions.push_back(std::move(send));
    if (request.job) {
        job_news news;
        news.job = *request.job;
        news.what = job_news::kind::Accepted;
        m_actions.push_back(std::move(news));
    }
}

std::vector<serving_action> serving::head(attempt_id id, int status, const header_list& headers, instant now)
{
    auto* request = find(id);
    if (request == nullptr)
        return take();
    auto& attempt = *request->attempt;
    attempt.headSeen = true;
    attempt.status = status;
    attempt.headers = headers;
    // An answer that names another attempt is somebody else's.
    if (findHeader(headers, "x-request-id") != attemptName(id)) {
        attempt.crossed = true;
        attempt.fault = "the answer names another request";
        ++m_counts.crossed;
    }
    if (status == statusTooMany || (status == statusUnavailable && findHeader(headers, "x-not-run") == "true"))
        attempt.refusedByTarget = true;
    if (!request->made && !attempt.crossed && status < firstServerError) {
        attempt.firstTokenAt = now;
        m_router.firstToken(id, now);
    }
    return take();
}

std::vector<serving_action> serving::body(attempt_id id, std::string_view bytes, instant now)
{
    auto* request = find(id);
    if (request == nullptr)
        return take();
    auto& attempt = *request->attempt;
    if (attempt.crossed || !attempt.fault.empty())
        return take();

    // Step 1. Plain services and refusals are kept until they are whole.
    if (!request->made || attempt.status != statusOk) {
        if (attempt.bytes.size() + bytes.size() > m_settings.longestBuffered)
            attempt.fault = "the answer is too long";
        else
            attempt.bytes += bytes;
        return take();
    }

    // Step 2. An engine's stream.
    auto pieces = attempt.reader.feed(bytes);
    if (!pieces) {
        attempt.fault = pieces.error().detail;
        return take();
    }
    const auto number = request->number;
    for (const auto& piece : *pieces) {
        if (!sameName(piece.id, attemptName(id))) {
            attempt.crossed = true;
            attempt.fault = "a chunk names another request";
            ++m_counts.crossed;
            break;
        }
        takePiece(*request, piece, now);
        if (!m_requests.contains(number))
            break;
    }
    return take();
}

// Adds one piece to the generation and passes it on.
void serving::takePiece(open_request& request, const stream_piece& piece, instant now)
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
    request.made->add(piece);

    if (request.job) {
        job_news news;
        news.job = *request.job;
        news.what = job_news::kind::Piece;
        news.piece = piece;
        m_actions.push_back(std::move(news));
        return;
    }
    const bool tells = !piece.text.empty() || !piece.finishReason.empty();
    if (!request.made->wanted().stream || !tells)
        return;
    if (!request.begun) {
        request.begun = true;
        m_actions.push_back(begin_answer { *request.caller, statusOk,
            { { "Content-Type", "text/event-stream" }, { "Cache-Control", "no-cache" }, { "X-Request-Id", request.id.str() } } });
    }
    m_actions.push_back(append_answer { *request.caller, request.made->pieceEvent(request.id, piece) });
}

std::vector<serving_action> serving::done(attempt_id id, transfer_end end, instant now, wall_time wall)
{
    auto* request = find(id);
    if (request == nullptr)
        return take();
    blame(*request, end, wall);
    if (request->made)
        finishEngine(*request, end, now, wall);
    else
        finishService(*request, end, now, wall);
    return settle(now, wall);
}

void serving::finishEngine(open_request& request, transfer_end end, instant now, wall_time wall)
{
    auto& attempt = *request.attempt;
    const bool clean = end == transfer_end::Whole && !attempt.crossed && attempt.fault.empty();

    // Step 1. Whole: the end reason came. If the stream broke off after all tokens
    // that were asked for, the reason is known; asking for more would make one too many.
    const bool own = !attempt.crossed && attempt.fault.empty() && attempt.status == statusOk;
    if (own && attempt.tokens > 0 && !request.made->whole() && request.made->tokensLeft() == 0) {
        stream_piece last;
        last.finishReason = "length";
        takePiece(request, last, now);
    }
    if (own && request.made->whole()) {
        answered(request, now, wall);
        return;
    }

    // Step 2. All tokens that were asked for came, and the end alone is missing: going
    // on elsewhere would make one too many.
    if (!attempt.crossed && request.made->started() && request.made->tokensLeft() == 0) {
        if (!request.made->whole()) {
            stream_piece last;
            last.finishReason = "length";
            takePiece(request, last, now);
        }
        answered(request, now, wall);
        return;
    }

    // Step 3. The target refused it without running it.
    if (clean && attempt.refusedByTarget) {
        attemptFailed(request, attempt_outcome::Refused, true, "refused by the target", now, wall);
        return;
    }
    if (end == transfer_end::NotSent) {
        attemptFailed(request, attempt_outcome::Reset, true, "not sent", now, wall);
        return;
    }

    // Step 4. The request itself is wrong: the caller gets the engine's words.
    if (clean && attempt.status >= firstClientError && attempt.status < firstServerError && request.caller && !request.begun) {
        whole_answer answer { *request.caller, attempt.status, { { "Content-Type", "application/json" } }, attempt.bytes };
        note(request, "answered", "the engine refused the request itself", wall);
        endAttempt(request, attempt_outcome::Success, usage_heading::Ended, now);
        m_actions.push_back(std::move(answer));
        countServed(request, request_served::outcome::Answered, now);
        erase(request.number, now);
        return;
    }

    // Step 5. Broken: go on elsewhere from the tokens made so far.
    const auto outcome = end == transfer_end::Whole ? attempt_outcome::Failure : attempt_outcome::Reset;
    attemptFailed(request, outcome, false, attempt.fault.empty() ? "the stream broke off" : attempt.fault, now, wall);
}

void serving::finishService(open_request& request, transfer_end end, instant now, wall_time wall)
{
    auto& attempt = *request.attempt;
    const bool clean = end == transfer_end::Whole && !attempt.crossed && attempt.fault.empty();
    if (end == transfer_end::NotSent || (clean && attempt.refusedByTarget)) {
        attemptFailed(request, end == transfer_end::NotSent ? attempt_outcome::Reset : attempt_outcome::Refused, true, "not run", now, wall);
        return;
    }
    // An answer of the service is the answer, whatever its status, unless the
    // work may be repeated and the service failed.
    const bool serverError = attempt.status >= firstServerError;
    if (clean && !(serverError && request.idempotent && request.attempts < m_settings.retries.mostAttempts)) {
        answered(request, now, wall);
        return;
    }
    const auto outcome = end == transfer_end::Whole ? attempt_outcome::Failure : attempt_outcome::Reset;
    attemptFailed(request, outcome, false, attempt.fault.empty() ? "no whole answer" : attempt.fault, now, wall);
}

// The request has its whole answer.
void serving::answered(open_request& request, instant now, wall_time wall)
{
    auto& attempt = *request.attempt;
    ++m_counts.answered;
    m_quarantine.completed(request.fingerprint, wall);
    m_retries.succeeded(m_router.table().record(attempt.choice.slot).listed.pool.str(), now);
    note(request, "answered", "whole", wall, { { "target", attempt.choice.target.str() }, { "attempts", std::to_string(request.attempts) } });

    if (request.job) {
        job_news news;
        news.job = *request.job;
        news.what = job_news::kind::Finished;
        news.text = request.made ? request.made->text() : attempt.bytes;
        news.status = attempt.status;
        m_actions.push_back(std::move(news));
    } else if (!request.made) {
        header_list headers { { "X-Request-Id", request.id.str() } };
        if (const auto type = findHeader(attempt.headers, "content-type"); !type.empty())
            headers.emplace_back("Content-Type", std::string(type));
        noteAnswered(request, attempt.status, findHeader(attempt.headers, "content-type"), attempt.bytes, now);
        m_actions.push_back(whole_answer { *request.caller, attempt.status, std::move(headers), std::move(attempt.bytes) });
    } else if (request.begun) {
        m_actions.push_back(append_answer { *request.caller, request.made->endEvents(request.id) });
        m_actions.push_back(end_answer { *request.caller });
    } else {
        m_actions.push_back(whole_answer { *request.caller, statusOk,
            { { "Content-Type", "application/json" }, { "X-Request-Id", request.id.str() } }, request.made->wholeBody(request.id) });
    }
    countServed(request, request_served::outcome::Answered, now);
    endAttempt(request, attempt_outcome::Success, usage_heading::Ended, now);
    erase(request.number, now);
}

// Tries again where that is allowed, else gives the final answer. The reason may not
// be part of the attempt, which ends here.
void serving::attemptFailed(open_request& request, attempt_outcome outcome, bool notRun, const std::string& reason, instant now, wall_time wall)
{
    const auto target = request.attempt->choice.target;
    const auto pool = m_router.table().record(request.attempt->choice.slot).listed.pool.str();
    const bool progressed = request.attempt->tokens > 0;
    request.mayHaveRun = request.mayHaveRun || !notRun;
    // Tokens that the caller has are kept; what a job made is told piece by piece.
    const auto heading = progressed ? usage_heading::Resumed : usage_heading::Retried;
    endAttempt(request, outcome, heading, now);
    note(request, "attempt_failed", reason, wall, { { "target", target.str() }, { "not_run", notRun ? "yes" : "no" } });

    // Step 1. A job's owner decides itself how to go on, under its own attempt numbers.
    if (request.job && !notRun) {
        refuse(request, statusBadGateway, "attempt_failed", reason, {}, now, wall);
        return;
    }
    if (refuseIfQuarantined(request, now, wall))
        return;

    // Step 2. Whether it may be tried again.
    retry_question question;
    question.outcome = notRun ? run_outcome::NotRun : progressed ? run_outcome::Ran
                                                                 : run_outcome::Unknown;
    question.idempotent = request.idempotent;
    question.attempts = request.attempts;
    question.progressed = progressed;
    question.deadline = request.deadline;
    question.seed = mix(m_settings.life.value() ^ (request.number << 8) ^ request.attempts);
    const auto decision = m_retries.decide(pool, question, now);
    if (decision.verdict != retry_verdict::Retry) {
        const auto status = decision.verdict == retry_verdict::MayHaveRun ? statusBadGateway : statusUnavailable;
        const std::string_view why = decision.verdict == retry_verdict::NoBudget ? toString(decision.verdict) : notRun ? "not_run"
                                                                                                                       : "attempt_failed";
        refuse(request, status, why, reason, notRun ? defaultRetryAfter : duration::zero(), now, wall);
        return;
    }
    ++(progressed ? m_counts.resumed : m_counts.retried);
    request.tried.push_back(target);

    // Step 3. When.
    request.retryAt = now + decision.delay;
    m_waiting.emplace(request.retryAt, request.number);
    if (progressed)
        dispatch(request, now, wall);
}

// Closes the attempt in all books. The request has none afterwards.
void serving::endAttempt(open_request& request, attempt_outcome outcome, usage_heading heading, instant now)
{
    assert(request.attempt);
    auto& attempt = *request.attempt;

    // Step 1. The router's knowledge.
    attempt_end end;
    end.outcome = outcome;
    end.generated = token_count(attempt.tokens);
    if (attempt.usage)
        end.cachedTokens = attempt.usage->cached;
    m_router.ended(attempt.id, end, now);

    if (attempt.asSuspect)
        m_quarantine.suspectEnded(request.fingerprint);

    // Step 2. What it used.
    const bool ran = attempt.headSeen || attempt.tokens > 0;
    if (ran && outcome != attempt_outcome::Reset)
        request.spent += costOf(request, now);
    if (ran && !request.account.empty() && !attempt.refusedByTarget) {
        const auto& record = m_router.table().record(attempt.choice.slot);
        attempt_usage event;
        event.request = request.id;
        event.attempt = attempt.id;
        event.account = request.account;
        if (request.made)
            event.model = record.model.empty() ? model_id(request.made->wanted().model) : record.model;
        event.version = attempt.version;
        event.pool = record.listed.pool;
        event.target = attempt.choice.target;
        event.heading = heading;
        event.continuesAnswer = request.made && request.made->tokens() > attempt.tokens;
        event.counted.generated = token_count(attempt.tokens);
        event.counted.targetTime = std::chrono::duration_cast<std::chrono::milliseconds>(now - attempt.sentAt);
        if (attempt.usage) {
            event.counted.prefilled = attempt.usage->prompt - std::min(attempt.usage->cached, attempt.usage->prompt);
            event.counted.cached = attempt.usage->cached;
            usage_figures reported = event.counted;
            reported.generated = attempt.usage->completion;
            event.reportedByTarget = reported;
        } else if (request.made) {
            event.counted.prefilled = token_count(request.made->wanted().prompt.size() / bytesPerToken);
        }
        m_actions.push_back(serving_record { std::move(event) });
    }

    m_byAttempt.erase(attempt.id);
    request.attempt.reset();
}

} // namespace lovagerail
