// What follows the head, the events and the end of an attempt's answer; see forwarding.h.
#include "forwarding.h"
#include "http_status.h"

#include <algorithm>

namespace lovagerail {

namespace {

    bool isSuccess(int status) { return status >= 200 && status < 300; }

    // Statuses that callers may take as "not run". A replica that returns one without saying
    // "not run" itself has promised nothing, so its answer must not be passed on.
    bool promisesNotRun(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }

    // Whether this answer may be delivered to the caller unchanged. A status that promises
    // "not run" may not, unless the replica says so itself in the documented way, and a
    // success must be signed.
    bool isDeliverable(const forward_head& head)
    {
        return !promisesNotRun(head.status) && (!isSuccess(head.status) || head.signedByTarget);
    }

} // namespace

std::vector<forward_action> request_forwarder::head(attempt_id attempt, const forward_head& head, instant now)
{
    auto* forward = find(attempt);
    if (forward == nullptr)
        return {};
    for (auto& openAttempt : forward->attempts) {
        if (openAttempt.id != attempt)
            continue;
        openAttempt.head = head;
        openAttempt.lastReceivedAt = now;
        if (head.notRun || !head.echoesId)
            break;
        m_router.firstToken(attempt, now);
        onRunStarted(*forward, openAttempt, now);
        if (m_hedging.inForce() && !openAttempt.isSecond && head.status < statusServerError)
            m_hedging.answered(forward->request.route.id, openAttempt.pool, scale(now - openAttempt.sentAt, 1 / openAttempt.slowdown), now);
        const bool streams = forward->request.route.kind == route_kind::Stream && head.signedByTarget && isStreamHead(head.status, head.isEventStream);
        if (streams && !forward->streaming)
            onStreamHead(*forward, openAttempt, now);
        else if (!streams && forward->streamStarted)
            rejectAnswer(*forward, openAttempt, "an answer that is no stream", now);
        break;
    }
    return takeActions();
}

// The first attempt that answers with a stream, or with the rest of one, is the one whose events the caller gets.
void request_forwarder::onStreamHead(open_forward& forward, open_attempt& answered, instant now)
{
    const auto attempt = answered.id;
    forward.streaming = attempt;
    if (!std::exchange(forward.streamStarted, true))
        m_actions.emplace_back(forward_begin_stream { forward.request.id, attempt });
    else
        ++m_counts.resumed;
    if (answered.isSecond)
        endSecond(forward, hedge_event::Won, "answered_first", now);
    else
        endSecond(forward, hedge_event::Lost, "first_answered", now);
    cancelAll(forward, attempt, now);
}

// Ends an attempt whose answer can't go on with the stream that the caller has begun to get.
void request_forwarder::rejectAnswer(open_forward& forward, const open_attempt& answered, std::string_view reason, instant now)
{
    const open_attempt rejected = answered;
    m_actions.emplace_back(forward_cancel { rejected.id, reason });
    m_quarantine.completed(forward.request.fingerprint, m_wallTime);
    ++forward.runs;
    endAttempt(forward, rejected, attempt_outcome::Failure, now);
    retryOrRefuse(forward, now);
}

event_order request_forwarder::streamEvent(attempt_id attempt, std::optional<std::uint64_t> id, event_digest digest, instant now)
{
    auto* forward = find(attempt);
    if (forward == nullptr)
        return event_order::Broken;
    const auto order = forward->passed.add(id, digest);
    for (auto& openAttempt : forward->attempts) {
        if (openAttempt.id != attempt)
            continue;
        openAttempt.lastReceivedAt = now;
        if (order == event_order::Next && forward->software.empty())
            forward->software = openAttempt.choice.software;
    }
    return order;
}

// The end of the stream that the caller gets. Without a proof the stream is resumed after its last event, and a
// run that adds nothing and ends there too confirms the end.
void request_forwarder::onStreamEnd(open_forward& forward, const open_attempt& ended, bool isProven, instant now)
{
    endAttempt(forward, ended, attempt_outcome::Success, now);
    const bool isConfirmed = forward.unprovenEnd && forward.unprovenEnd == forward.passed.last();
    if (!isProven && !isConfirmed) {
        forward.unprovenEnd = forward.passed.last();
        ++forward.runs;
        retryOrRefuse(forward, now);
        return;
    }
    m_quarantine.completed(forward.request.fingerprint, m_wallTime);
    m_actions.emplace_back(forward_end_stream { forward.request.id, true });
    ++m_counts.delivered;
    finish(forward);
}

// An answer of the replica that ended: delivers it, or tries again after an error or if nothing proves that it is
// complete.
void request_forwarder::onAnswer(open_forward& forward, const open_attempt& ended, bool isProven, answer_digest digest, instant now)
{
    // Step 1. The attempt.
    onRunStarted(forward, ended, now);
    const bool failed = ended.head->status >= statusServerError;
    endAttempt(forward, ended, failed ? attempt_outcome::Failure : attempt_outcome::Success, now);
    m_quarantine.completed(forward.request.fingerprint, m_wallTime);
    forward.serverFailures += ended.head->status == statusServerError;
    ++forward.runs;

    // Step 2. Try again, or wait for the attempt beside this one.
    // A target that breaks off at the same byte again proves nothing by it.
    const auto& earlier = forward.unproven;
    const bool isConfirmed = isProven || (earlier && earlier->digest == digest && earlier->target != ended.choice.target);
    const bool mayRetry = (failed || !isConfirmed) && !forward.streamStarted && forward.request.route.idempotent() && forward.runs < forward.request.route.maxAttempts
        && forward.expires - now > m_settings.minAttemptTime;
    const bool differs = !isConfirmed && earlier && earlier->digest != digest;
    if (!isConfirmed)
        forward.unproven = { digest, ended.choice.target };
    if (mayRetry && !forward.attempts.empty()) {
        endSecond(forward, hedge_event::Won, "first_failed", now);
        return;
    }
    if (mayRetry && trySend(forward, now))
        return;

    // Step 3. The last answer.
    if (differs && !failed) {
        refuse(forward, statusBadGateway, {}, "no two answers without a proof of their end agree", now);
        return;
    }
    m_retries.succeeded(forward.request.route.id.str(), now);
    cancelAll(forward, std::nullopt, now);
    if (forward.streamStarted)
        m_actions.emplace_back(forward_end_stream { forward.request.id, false });
    else
        m_actions.emplace_back(forward_deliver { forward.request.id, ended.id, forward.serverFailures, isConfirmed });
    ++m_counts.delivered;
    finish(forward);
}

std::vector<forward_action> request_forwarder::done(attempt_id attempt, transfer_state end, instant now, answer_digest digest)
{
    auto* forward = find(attempt);
    if (forward == nullptr)
        return {};
    const auto found = std::find_if(forward->attempts.begin(), forward->attempts.end(), [attempt](const open_attempt& candidate) { return candidate.id == attempt; });
    const open_attempt ended = *found;
    const bool wasStreaming = forward->streaming == attempt;
    if (wasStreaming)
        forward->streaming.reset();
    const bool isProven = end == transfer_state::Complete;
    const bool hasAnswer = (isProven || end == transfer_state::Unproven) && ended.head;
    const bool isOwnAnswer = hasAnswer && ended.head->echoesId;
    if (hasAnswer && !isOwnAnswer)
        ++m_counts.crossed;

    if (isOwnAnswer && ended.head->notRun) {
        // Step 1. The replica refused: not run there.
        ++m_counts.refusedByTarget;
        endAttempt(*forward, ended, attempt_outcome::Refused, now);
        ++forward->refusals;
        retryOrRefuse(*forward, now);
    } else if (isOwnAnswer && wasStreaming) {
        // Step 2. The end of a stream.
        onStreamEnd(*forward, ended, isProven, now);
    } else if (isOwnAnswer && isDeliverable(*ended.head)) {
        // Step 3. An answer of the replica.
        onAnswer(*forward, ended, isProven, digest, now);
    } else if (end == transfer_state::NotSent) {
        // Step 4. No byte was sent: not run.
        endAttempt(*forward, ended, attempt_outcome::Reset, now);
        ++forward->refusals;
        retryOrRefuse(*forward, now);
    } else {
        // Step 5. Unknown outcome: it may have run.
        onRunStarted(*forward, ended, now);
        ++forward->runs;
        const bool isRejected = end == transfer_state::Rejected;
        endAttempt(*forward, ended, isRejected ? attempt_outcome::Failure : attempt_outcome::Reset, now);
        if (!hasAnswer && !isRejected)
            reportBrokenAttempt(*forward, ended, now);
        retryOrRefuse(*forward, now);
    }
    return takeActions();
}

} // namespace lovagerail
