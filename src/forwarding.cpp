// Attempts and what their ends mean; see forwarding.h.
#include "forwarding.h"
#include "http_status.h"

#include <algorithm>
#include <cassert>
#include <xxhash.h>

namespace lovagerail {

namespace {

    constexpr std::size_t mostOpenAttempts = 2; // the second is a hedge

    bool isSuccess(int status) { return status >= 200 && status < 300; }

    // Statuses that promise "not run" to callers; a replica that doesn't say so itself
    // has promised nothing.
    bool isPromise(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }

    // Whether the caller may be given this answer as it is.
    bool isAnswer(const forward_head& head)
    {
        return !isPromise(head.status) && (!isSuccess(head.status) || head.signedByTarget);
    }

    duration scale(duration span, double factor)
    {
        return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::nano>(span) * factor);
    }

    // The same request takes the same side of a split, whichever instance it meets.
    const weighted_service& pickService(const forward_request& request)
    {
        const auto& services = request.route.services;
        std::uint64_t sum = 0;
        for (const auto& one : services)
            sum += one.weight;
        if (services.size() == 1 || sum == 0)
            return services.front();
        auto point = XXH64(request.callerId.str().data(), request.callerId.str().size(), 0) % sum;
        for (const auto& one : services) {
            if (point < one.weight)
                return one;
            point -= one.weight;
        }
        return services.back();
    }

} // namespace

routing_class_id serviceClass(const service_id& service) { return routing_class_id("service " + service.str()); }

forwarding::forwarding(forwarding_settings settings, router& targets, quarantine& marks)
    : m_settings(settings)
    , m_router(targets)
    , m_marks(marks)
    , m_retries(settings.retries)
{
}

forwarding::open_forward* forwarding::find(attempt_id attempt)
{
    const auto known = m_byAttempt.find(attempt);
    if (known == m_byAttempt.end())
        return nullptr;
    const auto found = m_open.find(known->second);
    assert(found != m_open.end());
    return &found->second;
}

// Ends an event: forgets what is finished, hands over what is to be done.
std::vector<forward_action> forwarding::take()
{
    for (const auto finished : std::exchange(m_finished, {}))
        m_open.erase(finished);
    return std::exchange(m_actions, {});
}

routing_class_id forwarding::classFor(const forward_request& request) const
{
    auto wanted = serviceClass(pickService(request).service);
    if (m_router.table().hasClass(wanted) && !m_router.table().allowed(wanted).empty())
        return wanted;
    // The chosen side of a split has no replica; another side may run it as well.
    for (const auto& one : request.route.services) {
        auto other = serviceClass(one.service);
        if (one.weight > 0 && m_router.table().hasClass(other) && !m_router.table().allowed(other).empty())
            return other;
    }
    return wanted;
}

std::vector<forward_action> forwarding::arrive(forward_request request, instant now)
{
    ++m_counts.requests;
    const auto id = request.id;
    open_forward one;
    one.arrived = now;
    auto longest = request.route.timeout > duration {} ? request.route.timeout : duration::max();
    if (request.deadline)
        longest = std::min(longest, *request.deadline - m_settings.answerMargin);
    one.expires = longest == duration::max() ? instant::max() : now + longest;
    one.lastEventId = request.lastEventId;
    one.request = std::move(request);
    auto& stored = m_open.emplace(id, std::move(one)).first->second;
    if (!trySend(stored, now) && !stored.nextTry)
        refuse(stored, statusUnavailable, m_settings.noTargetRetry, "no live replica", now);
    return take();
}

// Sends to the best replica that was not tried yet; if all were, to the best of all
// after a pause; refuses what brings targets down. False if none is live.
bool forwarding::trySend(open_forward& one, instant now)
{
    one.nextTry.reset();
    const auto left = one.expires == instant::max() ? duration::max() : one.expires - now;
    if (left < m_settings.shortestOffer)
        return true; // the deadline answers

    // Step 1. What brought down targets.
    const auto verdict = m_marks.judge(one.request.fingerprint, m_wall);
    if (verdict == quarantine_verdict::Refused) {
        ++m_counts.quarantined;
        refuse(one, one.mayHaveRun ? statusBadGateway : statusUnavailable, m_marks.retryAfter(one.request.fingerprint, m_wall), "targets died while they ran this request", now);
        return true;
    }
    if (verdict == quarantine_verdict::Wait) {
        one.nextTry = now + m_settings.refusedPause;
        return true;
    }
    const bool asSuspect = verdict == quarantine_verdict::RunAlone;

    // Step 2. Where to.
    route_request asked;
    asked.routingClass = classFor(one.request);
    asked.account = one.request.account;
    asked.promptBlocks = one.request.promptBlocks;
    asked.promptTokens = one.request.promptTokens;
    asked.expectedTokens = one.request.expectedTokens;
    asked.idempotent = one.request.route.idempotent();
    asked.resumable = one.request.route.resumable;
    asked.returnable = true; // replicas hand back what they did not start
    asked.excluded = one.tried;
    if (asSuspect) {
        const auto occupied = m_marks.occupied();
        asked.excluded.insert(asked.excluded.end(), occupied.begin(), occupied.end());
    }
    asked.seed = XXH64(one.request.callerId.str().data(), one.request.callerId.str().size(), m_lastAttempt);
    auto decision = m_router.choose(asked, now);
    if (const auto* none = std::get_if<no_route>(&decision)) {
        if (none->reason != no_route_reason::AllExcluded)
            return false;
        one.tried.clear();
        one.nextTry = now + m_settings.refusedPause;
        return true;
    }
    sendTo(one, std::get<route_choice>(decision), asked, asSuspect, now);
    return true;
}

void forwarding::sendTo(open_forward& one, const route_choice& choice, const route_request& asked, bool asSuspect, instant now)
{
    const auto attempt = newAttempt();
    one.attempts.push_back({ attempt, choice, now, now, std::nullopt, asSuspect });
    if (asSuspect)
        m_marks.suspectBegan(one.request.fingerprint, choice.target);
    one.tried.push_back(choice.target);
    m_byAttempt[attempt] = one.request.id;
    m_router.started(attempt, choice, asked, now);
    ++m_counts.attempts;
    std::optional<duration> deadline;
    if (one.expires != instant::max())
        deadline = one.expires - now;
    m_actions.emplace_back(forward_send { one.request.id, attempt, choice, deadline, one.lastEventId, one.request.route.idempotent() });
}

void forwarding::endAttempt(open_forward& one, const open_attempt& attempt, attempt_outcome outcome, instant now)
{
    m_router.ended(attempt.id, { outcome, token_count(), std::nullopt }, now);
    m_byAttempt.erase(attempt.id);
    if (attempt.asSuspect)
        m_marks.suspectEnded(one.request.fingerprint);
    std::erase_if(one.attempts, [id = attempt.id](const open_attempt& other) { return other.id == id; });
}

void forwarding::began(open_forward& one, const open_attempt& attempt, instant now)
{
    one.mayHaveRun = true;
    if (one.counted || !one.request.counted)
        return;
    one.counted = true;
    m_actions.emplace_back(forward_began { one.request.id, one.request.account, now - attempt.sentAt });
}

void forwarding::cancelAll(open_forward& one, std::optional<attempt_id> except, instant now)
{
    const auto attempts = one.attempts;
    for (const auto& attempt : attempts) {
        if (except && attempt.id == *except)
            continue;
        began(one, attempt, now);
        m_actions.emplace_back(forward_cancel { attempt.id });
        endAttempt(one, attempt, attempt_outcome::Timeout, now);
    }
}

void forwarding::finish(open_forward& one) { m_finished.push_back(one.request.id); }

void forwarding::refuse(open_forward& one, int status, duration retryAfter, std::string reason, instant now)
{
    cancelAll(one, std::nullopt, now);
    // A stream that has begun can't be answered any more; it breaks off visibly.
    if (one.begunStream)
        m_actions.emplace_back(forward_end_stream { one.request.id, false });
    else {
        // "Not run" must be true; without idempotence the caller may not ask again either.
        if (status == statusUnavailable && one.mayHaveRun && !one.request.route.idempotent())
            status = statusBadGateway;
        m_actions.emplace_back(forward_refuse { one.request.id, status, status == statusUnavailable ? retryAfter : duration {}, std::move(reason) });
    }
    ++(status == statusUnavailable ? m_counts.refused : m_counts.failed);
    finish(one);
}

std::vector<forward_action> forwarding::callerGone(forward_id id, instant now)
{
    const auto found = m_open.find(id);
    if (found == m_open.end())
        return {};
    ++m_counts.callersGone;
    cancelAll(found->second, std::nullopt, now);
    m_open.erase(found);
    return take();
}

std::vector<forward_action> forwarding::head(attempt_id attempt, const forward_head& head, instant now)
{
    auto* one = find(attempt);
    if (one == nullptr)
        return {};
    for (auto& open : one->attempts) {
        if (open.id != attempt)
            continue;
        open.head = head;
        open.lastHeard = now;
        if (head.notRun || !head.echoes)
            break;
        m_router.firstToken(attempt, now);
        began(*one, open, now);
        const bool streams = one->request.route.kind == route_kind::Stream && isSuccess(head.status) && head.signedByTarget;
        if (!streams || one->streaming)
            break;
        one->streaming = attempt;
        if (!std::exchange(one->begunStream, true))
            m_actions.emplace_back(forward_begin_stream { one->request.id, attempt });
        else
            ++m_counts.resumed;
        cancelAll(*one, attempt, now);
        break;
    }
    return take();
}

void forwarding::progress(attempt_id attempt, std::uint64_t lastEventId, instant now)
{
    auto* one = find(attempt);
    if (one == nullptr)
        return;
    for (auto& open : one->attempts) {
        if (open.id == attempt)
            open.lastHeard = now;
    }
    one->lastEventId = lastEventId;
}

std::vector<forward_action> forwarding::done(attempt_id attempt, transfer_state end, instant now)
{
    auto* one = find(attempt);
    if (one == nullptr)
        return {};
    const auto found = std::find_if(one->attempts.begin(), one->attempts.end(), [attempt](const open_attempt& other) { return other.id == attempt; });
    const open_attempt ended = *found;
    const bool wasStreaming = one->streaming == attempt;
    if (wasStreaming)
        one->streaming.reset();
    const bool whole = end == transfer_state::Whole && ended.head && ended.head->echoes;
    if (end == transfer_state::Whole && ended.head && !ended.head->echoes)
        ++m_counts.crossed;

    if (whole && ended.head->notRun) {
        // Step 1. The replica refused: not run there.
        ++m_counts.refusedByTarget;
        endAttempt(*one, ended, attempt_outcome::Refused, now);
        ++one->refusals;
        afterFailure(*one, now);
    } else if (whole && wasStreaming) {
        // Step 2. A stream came to its end.
        endAttempt(*one, ended, attempt_outcome::Success, now);
        m_marks.completed(one->request.fingerprint, m_wall);
        m_actions.emplace_back(forward_end_stream { one->request.id, true });
        ++m_counts.delivered;
        finish(*one);
    } else if (whole && isAnswer(*ended.head)) {
        // Step 3. The replica's own answer.
        began(*one, ended, now);
        const bool failed = ended.head->status >= statusServerError;
        endAttempt(*one, ended, failed ? attempt_outcome::Failure : attempt_outcome::Success, now);
        m_marks.completed(one->request.fingerprint, m_wall);
        one->serverFailures += ended.head->status == statusServerError;
        ++one->runs;
        const bool again = failed && !one->begunStream && one->request.route.idempotent() && one->runs < one->request.route.maxAttempts
            && one->expires - now > m_settings.shortestOffer;
        if (again && !one->attempts.empty())
            return take(); // the other attempt may still succeed
        if (again && trySend(*one, now))
            return take();
        m_retries.succeeded(one->request.route.id.str(), now);
        cancelAll(*one, std::nullopt, now);
        if (one->begunStream)
            m_actions.emplace_back(forward_end_stream { one->request.id, false });
        else
            m_actions.emplace_back(forward_deliver { one->request.id, attempt, one->serverFailures });
        ++m_counts.delivered;
        finish(*one);
    } else if (end == transfer_state::NotSent) {
        // Step 4. No byte left: not run.
        endAttempt(*one, ended, attempt_outcome::Reset, now);
        ++one->refusals;
        afterFailure(*one, now);
    } else {
        // Step 5. It may have run.
        began(*one, ended, now);
        ++one->runs;
        endAttempt(*one, ended, attempt_outcome::Reset, now);
        if (end != transfer_state::Whole)
            blame(*one, ended);
        afterFailure(*one, now);
    }
    return take();
}

// Goes on elsewhere if the work may be repeated and there are tries and time left.
void forwarding::afterFailure(open_forward& one, instant now)
{
    if (!one.attempts.empty())
        return; // another attempt is under way
    const bool mayRepeat = !one.mayHaveRun || one.request.route.idempotent();
    if (!mayRepeat) {
        refuse(one, statusBadGateway, {}, "the replica may have run it", now);
        return;
    }
    if (one.runs >= one.request.route.maxAttempts) {
        refuse(one, statusBadGateway, {}, "no attempts left", now);
        return;
    }
    if (one.refusals > m_settings.refusalsBeyondAttempts + one.request.route.maxAttempts) {
        refuse(one, statusUnavailable, m_settings.fullRetry, "replicas refused", now);
        return;
    }
    if (!trySend(one, now)) {
        // Nothing is live; what ran may not be called "not run".
        if (one.mayHaveRun)
            refuse(one, statusBadGateway, {}, "no live replica after a broken attempt", now);
        else
            refuse(one, statusUnavailable, m_settings.noTargetRetry, "no live replica", now);
    }
}

void forwarding::expire(open_forward& one, instant now)
{
    const bool offered = one.mayHaveRun || !one.attempts.empty();
    refuse(one, offered ? statusTimeout : statusUnavailable, m_settings.fullRetry, offered ? "out of time at a replica" : "out of time before a replica took it", now);
}

void forwarding::tickOne(open_forward& one, instant now)
{
    // Step 1. Time is up.
    if (now >= one.expires) {
        expire(one, now);
        return;
    }

    // Step 2. A delayed try.
    if (one.nextTry && one.attempts.empty()) {
        if (now >= *one.nextTry && !trySend(one, now))
            refuse(one, statusUnavailable, m_settings.noTargetRetry, "no live replica", now);
        return;
    }

    // Step 3. A stream that fell silent goes on elsewhere.
    if (one.attempts.size() == 1 && one.streaming && one.request.route.resumable && now - one.attempts.front().lastHeard > m_settings.streamGap) {
        const auto silent = one.attempts.front();
        one.streaming.reset();
        ++one.runs;
        m_actions.emplace_back(forward_cancel { silent.id });
        endAttempt(one, silent, attempt_outcome::Timeout, now);
        afterFailure(one, now);
        return;
    }

    // Step 4. A second attempt beside one that is slow or silent.
    if (one.attempts.size() >= mostOpenAttempts || one.attempts.empty() || one.streaming || !one.request.route.idempotent())
        return;
    const auto& first = one.attempts.front();
    if (first.head || one.runs + one.attempts.size() >= one.request.route.maxAttempts)
        return;
    // What may have brought down a target runs at one at a time.
    if (m_marks.judge(one.request.fingerprint, m_wall) != quarantine_verdict::Clear)
        return;
    const auto waited = now - first.sentAt;
    const bool silent = waited > m_settings.silence;
    const bool slow = one.request.route.latencyTarget > duration {} && waited > scale(one.request.route.latencyTarget, m_settings.hedgeShare);
    if (!silent && (!slow || std::exchange(one.hedged, true) || !m_retries.mayHedge(one.request.route.id.str(), true, now)))
        return;
    ++m_counts.hedges;
    const auto tried = one.tried;
    trySend(one, now);
    // Nobody else is left: the first attempt goes on alone.
    one.nextTry.reset();
    if (one.tried.empty())
        one.tried = tried;
}

// The attempt broke off at its target, which may have died of it.
void forwarding::blame(const open_forward& one, const open_attempt& attempt)
{
    // A run as a suspect counts by itself, whichever instance made it.
    std::string run;
    if (attempt.asSuspect)
        run = std::to_string(m_wall.time_since_epoch().count()) + "/" + std::to_string(attempt.id.value());
    m_marks.broke(one.request.fingerprint, attempt.choice.target, attempt.choice.incarnation, run, m_wall);
}

// A blamed target that runs under a new incarnation has died.
void forwarding::noticeDeaths()
{
    for (const auto& target : m_marks.blamedTargets()) {
        if (const auto slot = m_router.table().find(target))
            m_marks.seen(target, m_router.table().record(*slot).listed.incarnation, m_wall);
    }
}

std::vector<forward_action> forwarding::tick(instant now)
{
    for (auto& [id, one] : m_open)
        tickOne(one, now);
    noticeDeaths();
    return take();
}

} // namespace lovagerail
