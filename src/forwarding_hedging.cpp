// Second attempts beside the first one of a request; see forwarding.h and hedging.h.
#include "forwarding.h"

#include <algorithm>
#include <cassert>

namespace lovagerail {

std::string_view toString(hedge_event event)
{
    switch (event) {
    case hedge_event::Started:
        return "started";
    case hedge_event::Won:
        return "won";
    case hedge_event::Lost:
        return "lost";
    case hedge_event::Cancelled:
        return "cancelled";
    case hedge_event::Refused:
        return "refused";
    }
    return "unknown";
}

void request_forwarder::hedgeAfterFixedDelay(open_forward& forward, instant now)
{
    const auto& running = forward.attempts.front();
    const auto waited = now - running.sentAt;
    const bool silent = waited > m_settings.noHeadTimeout;
    const bool slow = forward.request.route.latencyTarget > duration {} && waited > scale(forward.request.route.latencyTarget, m_settings.hedgeAfterShare);
    if (!silent && (!slow || std::exchange(forward.hedged, true) || !m_retries.mayHedge(forward.request.route.id.str(), true, now)))
        return;
    ++m_counts.hedges;
    const auto tried = forward.tried;
    trySend(forward, now);
    // If no other target was found, continue with the first attempt alone.
    forward.nextAttemptAt.reset();
    if (forward.tried.empty())
        forward.tried = tried;
}

// --- Second attempts within the limit on extra work ----------------------------

void request_forwarder::hedgeWithinLimit(open_forward& forward, instant now)
{
    // Step 1. Whether the running attempt is slow. Each request has one second attempt at most.
    if (forward.hedged || m_hedging.settings().extraWork.value_or(0) <= 0)
        return;
    const auto running = forward.attempts.front();
    const auto& route = forward.request.route;
    auto fixedDelay = m_settings.noHeadTimeout;
    if (route.latencyTarget > duration {})
        fixedDelay = std::min(fixedDelay, scale(route.latencyTarget, m_settings.hedgeAfterShare));
    const auto waited = now - running.sentAt;
    const auto delay = m_hedging.delayFor(route.id, running.pool, currentSlowdown(m_router, running.choice.slot, now), fixedDelay, now);
    if (waited <= delay.time)
        return;

    // Step 2. Whether the pool and the limit allow a second attempt.
    const auto timeLeft = forward.expires == instant::max() ? duration::max() : forward.expires - now;
    if (const auto refusal = m_hedging.check(route.id, running.pool, poolCondition(running.pool, now), timeLeft, now)) {
        refuseHedge(forward, *refusal, now);
        return;
    }

    // Step 3. Choose another target with a free slot, in another failure domain if there is one.
    auto routeRequest = routeRequestFor(forward, false);
    routeRequest.avoidedDomain = running.choice.failureDomain;
    const auto decision = m_router.choose(routeRequest, now);
    const auto* choice = std::get_if<route_choice>(&decision);
    if (choice == nullptr || routeRequest.routingClass != running.pool || choice->reason == route_reason::AllEjected) {
        refuseHedge(forward, hedge_refusal::NoOtherTarget, now);
        return;
    }
    const auto load = m_router.load().view(choice->slot, now);
    const auto& speed = m_router.load().speed(choice->slot);
    if (load.ownRequests + load.otherRequests + 1 > (choice->kind == target_kind::Service ? speed.serviceWorkers : speed.batchLimit)) {
        refuseHedge(forward, hedge_refusal::ShortOfSlots, now);
        return;
    }
    sendTo(forward, *choice, routeRequest, false, now);
    auto& second = forward.attempts.back();
    second.isSecond = true;
    second.hedgeOf = running.choice.target;
    forward.hedged = true;
    m_hedging.started(second.id, route.id, second.pool, now);
    ++m_counts.hedges;
    ++m_counts.hedgesStarted[toString(delay.reason)];
    m_actions.emplace_back(forward_hedged { forward.request.id, hedge_event::Started, toString(delay.reason), second.hedgeOf, choice->target, waited, {}, {}, m_hedging.usageOf(second.pool, now) });
}

// Reports the first refusal of a request; a later check may still allow its second attempt.
void request_forwarder::refuseHedge(open_forward& forward, hedge_refusal refusal, instant now)
{
    if (std::exchange(forward.hedgeRefused, true))
        return;
    const auto& running = forward.attempts.front();
    ++m_counts.hedgesRefused[toString(refusal)];
    m_actions.emplace_back(forward_hedged { forward.request.id, hedge_event::Refused, toString(refusal), running.choice.target, {}, now - running.sentAt, {}, {}, m_hedging.usageOf(running.pool, now) });
}

// Cancels a second attempt that takes longer than the limit allows. The first one goes on.
void request_forwarder::stopSecondBeyondLimit(open_forward& forward, instant now)
{
    const auto found = std::find_if(forward.attempts.begin(), forward.attempts.end(), [](const open_attempt& candidate) { return candidate.isSecond; });
    if (found == forward.attempts.end() || found->head || m_hedging.mayContinue(found->id, now))
        return;
    const auto second = *found;
    endSecond(forward, hedge_event::Cancelled, "extra_work", now);
    if (!second.unsent)
        onRunStarted(forward, second, now);
    m_actions.emplace_back(forward_cancel { second.id });
    endAttempt(forward, second, attempt_outcome::Timeout, now);
}

// Counts the work of an attempt that ends and that is still in the list of open ones.
void request_forwarder::accountAttempt(open_forward& forward, attempt_id attempt, attempt_outcome outcome, instant now)
{
    const auto found = std::find_if(forward.attempts.begin(), forward.attempts.end(), [attempt](const open_attempt& candidate) { return candidate.id == attempt; });
    assert(found != forward.attempts.end());
    const auto& ended = *found;
    if (outcome == attempt_outcome::Refused)
        m_hedging.refusedByTarget(ended.pool, now);
    if (!ended.isSecond) {
        if (outcome != attempt_outcome::Success && outcome != attempt_outcome::Failure)
            return;
        const auto work = now - ended.workFrom;
        m_hedging.worked(forward.request.route.id, ended.pool, work, now);
        m_counts.countedWork += work;
        if (outcome == attempt_outcome::Success)
            endSecond(forward, hedge_event::Lost, "first_answered", now);
        return;
    }
    switch (outcome) {
    case attempt_outcome::Success:
        endSecond(forward, hedge_event::Won, "answered_first", now);
        break;
    case attempt_outcome::Timeout:
        endSecond(forward, hedge_event::Cancelled, "request_ended", now);
        break;
    default:
        endSecond(forward, hedge_event::Lost, "failed", now);
        break;
    }
}

// Counts and reports the end of the request's second attempt, if it has one; from here on it is an
// attempt like others.
void request_forwarder::endSecond(open_forward& forward, hedge_event event, std::string_view reason, instant now)
{
    const auto second = std::find_if(forward.attempts.begin(), forward.attempts.end(), [](const open_attempt& candidate) { return candidate.isSecond; });
    if (second == forward.attempts.end())
        return;
    const auto first = std::find_if(forward.attempts.begin(), forward.attempts.end(), [](const open_attempt& candidate) { return !candidate.isSecond; });
    forward_hedged ended { forward.request.id, event, reason, second->hedgeOf, second->choice.target, {}, {}, {}, {} };
    if (event == hedge_event::Won && first != forward.attempts.end()) {
        ended.waited = now - first->sentAt;
        ended.saved = m_hedging.expectedRemaining(forward.request.route.id, first->pool, scale(ended.waited, 1 / first->slowdown));
        if (!first->head)
            m_hedging.answered(forward.request.route.id, first->pool, scale(ended.waited, 1 / first->slowdown), now);
    }
    // If the first attempt failed, the second one goes on in its place.
    const bool goesOn = event == hedge_event::Won && first == forward.attempts.end();
    const bool cancelled = !goesOn && event != hedge_event::Won && reason != "failed";
    ended.extraWork = m_hedging.ended(second->id, second->unsent, cancelled, now);
    ended.usage = m_hedging.usageOf(second->pool, now);
    second->isSecond = false;
    second->workFrom = now;
    m_counts.extraWork += ended.extraWork;
    m_counts.timeSaved += ended.saved;
    switch (event) {
    case hedge_event::Won:
        ++m_counts.hedgesWon;
        break;
    case hedge_event::Lost:
        ++m_counts.hedgesLost;
        break;
    default:
        ++m_counts.hedgesCancelled;
        break;
    }
    m_actions.emplace_back(std::move(ended));
}

const pool_condition& request_forwarder::poolCondition(const routing_class_id& pool, instant now)
{
    const auto [entry, isNew] = m_poolConditions.try_emplace(pool);
    if (isNew || now - entry->second.computedAt >= m_settings.poolConditionLifetime)
        entry->second = { conditionOf(m_router, pool, m_hedging.settings().busyShare, now), now };
    return entry->second.condition;
}

} // namespace lovagerail
