// Requests, their attempts and their deadlines; see forwarding.h.
#include "forwarding.h"
#include "http_status.h"

#include <algorithm>
#include <cassert>
#include <xxhash.h>

namespace lovagerail {

namespace {

    constexpr std::size_t maxOpenAttempts = 2; // the second is a hedge
    constexpr duration hedgingCleanupPeriod = std::chrono::minutes(1);

    // Picks a service by weight. The choice depends on the request id only, so that every
    // instance picks the same one for a request.
    const weighted_service& pickService(const forward_request& request)
    {
        const auto& services = request.route.services;
        std::uint64_t sum = 0;
        for (const auto& service : services)
            sum += service.weight;
        if (services.size() == 1 || sum == 0)
            return services.front();
        auto point = XXH64(request.callerId.str().data(), request.callerId.str().size(), 0) % sum;
        for (const auto& service : services) {
            if (point < service.weight)
                return service;
            point -= service.weight;
        }
        return services.back();
    }

} // namespace

routing_class_id serviceClass(const service_id& service) { return routing_class_id("service " + service.str()); }

request_forwarder::request_forwarder(forwarding_settings settings, router& targets, quarantine& crashQuarantine)
    : m_settings(settings)
    , m_router(targets)
    , m_quarantine(crashQuarantine)
    , m_retries(settings.retries)
    , m_hedging(settings.hedging)
{
}

request_forwarder::open_forward* request_forwarder::find(attempt_id attempt)
{
    const auto attemptEntry = m_byAttempt.find(attempt);
    if (attemptEntry == m_byAttempt.end())
        return nullptr;
    const auto found = m_open.find(attemptEntry->second);
    assert(found != m_open.end());
    return &found->second;
}

bool request_forwarder::isStreaming(attempt_id attempt) const
{
    const auto attemptEntry = m_byAttempt.find(attempt);
    return attemptEntry != m_byAttempt.end() && m_open.at(attemptEntry->second).streaming == attempt;
}

// Ends the handling of an event: erases finished requests and returns the actions.
std::vector<forward_action> request_forwarder::takeActions()
{
    for (const auto finished : std::exchange(m_finished, {}))
        m_open.erase(finished);
    return std::exchange(m_actions, {});
}

// The class of the service's replicas in these regions. Classes are few: one for each list that
// routes and accounts yield.
routing_class_id request_forwarder::classOf(const service_id& service, const region_list& regions) const
{
    if (!regions)
        return serviceClass(service);
    auto name = serviceClass(service).str() + " in";
    for (const auto& region : *regions)
        name += " " + region.str();
    routing_class_id out(name);
    if (!m_router.table().hasClass(out)) {
        m_router.setClass(out, [pool = pool_id(service.str()), regions](const target_record& record) {
            return record.listed.pool == pool && isAllowed(regions, record.listed.region);
        });
    }
    return out;
}

routing_class_id request_forwarder::classFor(const open_forward& forward) const
{
    // A stream that has begun stays with its service, as long as the route leads there.
    const auto& request = forward.request;
    if (!forward.software.empty()) {
        const service_id service(forward.software.pool.str());
        const bool leadsThere = std::any_of(request.route.services.begin(), request.route.services.end(), [&service](const weighted_service& weighted) { return weighted.service == service; });
        return leadsThere ? classOf(service, request.route.allowedRegions) : routing_class_id();
    }
    auto chosen = classOf(pickService(request).service, request.route.allowedRegions);
    if (m_router.table().hasClass(chosen) && !m_router.table().allowed(chosen).empty())
        return chosen;
    // The chosen service has no replica: use another service of the route.
    for (const auto& alternative : request.route.services) {
        auto fallback = classOf(alternative.service, request.route.allowedRegions);
        if (alternative.weight > 0 && m_router.table().hasClass(fallback) && !m_router.table().allowed(fallback).empty())
            return fallback;
    }
    return chosen;
}

std::vector<forward_action> request_forwarder::arrive(forward_request request, instant now)
{
    ++m_counts.requests;
    const auto id = request.id;
    open_forward forward;
    forward.arrived = now;
    auto timeLimit = request.route.timeout > duration {} ? request.route.timeout : duration::max();
    if (request.deadline)
        timeLimit = std::min(timeLimit, *request.deadline - m_settings.answerMargin);
    forward.expires = std::min(timeLimit == duration::max() ? instant::max() : now + timeLimit, m_latestEnd);
    forward.passed = passed_events(request.lastEventId);
    forward.software = request.software;
    forward.request = std::move(request);
    auto& stored = m_open.emplace(id, std::move(forward)).first->second;
    if (!trySend(stored, now) && !stored.nextAttemptAt)
        refuse(stored, statusUnavailable, m_settings.noTargetRetryAfter, stored.request.route.allowedRegions ? "no live replica in an allowed region" : "no live replica", now);
    return takeActions();
}

route_request request_forwarder::routeRequestFor(const open_forward& forward, bool isolated) const
{
    route_request routeRequest;
    routeRequest.routingClass = classFor(forward);
    routeRequest.software = forward.software;
    routeRequest.account = forward.request.account;
    routeRequest.promptBlocks = forward.request.promptBlocks;
    routeRequest.promptTokens = forward.request.promptTokens;
    routeRequest.expectedTokens = forward.request.expectedTokens;
    routeRequest.idempotent = forward.request.route.idempotent();
    routeRequest.resumable = forward.request.route.resumable;
    routeRequest.returnable = true; // replicas return requests that they did not start
    routeRequest.excluded = forward.tried;
    if (isolated) {
        const auto isolatedTargets = m_quarantine.isolatedTargets();
        routeRequest.excluded.insert(routeRequest.excluded.end(), isolatedTargets.begin(), isolatedTargets.end());
    }
    routeRequest.seed = XXH64(forward.request.callerId.str().data(), forward.request.callerId.str().size(), m_lastAttempt);
    return routeRequest;
}

// Starts an attempt at the best replica not tried yet. If all were tried, schedules an
// attempt at any of them after a pause. Rejects quarantined requests. Returns false if no
// replica is live.
bool request_forwarder::trySend(open_forward& forward, instant now)
{
    forward.nextAttemptAt.reset();
    const auto remaining = forward.expires == instant::max() ? duration::max() : forward.expires - now;
    if (remaining < m_settings.minAttemptTime)
        return true; // too late; tickOne() answers when the deadline passes

    // Step 1. Requests that may have crashed targets.
    const auto verdict = m_quarantine.verdictFor(forward.request.fingerprint, m_wallTime, forward.request.isOwed);
    if (verdict == quarantine_verdict::Refused) {
        ++m_counts.quarantined;
        refuse(forward, forward.mayHaveRun ? statusBadGateway : statusUnavailable, m_quarantine.retryAfter(forward.request.fingerprint, m_wallTime), "targets died while they ran this request", now);
        return true;
    }
    if (verdict == quarantine_verdict::Wait) {
        forward.nextAttemptAt = now + m_settings.refusedRetryDelay;
        return true;
    }
    const bool isolated = verdict == quarantine_verdict::RunIsolated;

    // Step 2. Choose a target.
    const auto routeRequest = routeRequestFor(forward, isolated);
    if (m_limitQueues.contains(routeRequest.routingClass)) {
        waitForLimit(forward, routeRequest.routingClass, now);
        return true;
    }
    auto decision = m_router.choose(routeRequest, now);
    if (const auto* none = std::get_if<no_route>(&decision)) {
        if (none->reason == no_route_reason::RateLimited) {
            m_limitQueues[routeRequest.routingClass].timePerRequest = none->retryAfter;
            waitForLimit(forward, routeRequest.routingClass, now);
            return true;
        }
        if (none->reason != no_route_reason::AllExcluded)
            return false;
        forward.tried.clear();
        forward.nextAttemptAt = now + m_settings.refusedRetryDelay;
        return true;
    }
    sendTo(forward, std::get<route_choice>(decision), routeRequest, isolated, now);
    return true;
}

// Queues a request until a target's limit allows it, or refuses it at once if that is later than
// its caller waits. Requests of a class that came first go first.
void request_forwarder::waitForLimit(open_forward& forward, const routing_class_id& routingClass, instant now)
{
    forward.nextAttemptAt = now;
    if (!forward.attempts.empty())
        return; // a hedge does not queue
    auto& queue = m_limitQueues.at(routingClass);
    const auto wait = queue.timePerRequest * (queue.waiting + 1);
    if (forward.expires == instant::max() || now + wait + m_settings.minAttemptTime <= forward.expires) {
        ++queue.waiting;
        return;
    }
    ++m_counts.rateLimited;
    refuse(forward, forward.mayHaveRun ? statusBadGateway : statusUnavailable, std::max(wait, m_settings.minLimitRetryAfter), "targets are at the limits that they named", now);
}

void request_forwarder::sendTo(open_forward& forward, const route_choice& choice, const route_request& routeRequest, bool isolated, instant now)
{
    const auto attempt = newAttempt();
    open_attempt sent;
    sent.id = attempt;
    sent.choice = choice;
    sent.sentAt = now;
    sent.lastReceivedAt = now;
    sent.isolated = isolated;
    sent.pool = routeRequest.routingClass;
    sent.slowdown = currentSlowdown(m_router, choice.slot, now);
    sent.workFrom = now;
    forward.attempts.push_back(std::move(sent));
    if (isolated)
        m_quarantine.isolatedRunStarted(forward.request.fingerprint, choice.target);
    forward.tried.push_back(choice.target);
    m_byAttempt[attempt] = forward.request.id;
    m_router.started(attempt, choice, routeRequest, now);
    ++m_counts.attempts;
    std::optional<duration> deadline;
    if (forward.expires != instant::max())
        deadline = forward.expires - now;
    m_actions.emplace_back(forward_send { forward.request.id, attempt, choice, deadline, forward.passed.last(), forward.request.route.idempotent() });
}

void request_forwarder::endAttempt(open_forward& forward, const open_attempt& attempt, attempt_outcome outcome, instant now)
{
    m_router.ended(attempt.id, { outcome, token_count(), std::nullopt }, now);
    // After a change of the setting, second attempts may still be open.
    if (m_hedging.inForce() || std::any_of(forward.attempts.begin(), forward.attempts.end(), [](const open_attempt& candidate) { return candidate.isSecond; }))
        accountAttempt(forward, attempt.id, outcome, now);
    m_byAttempt.erase(attempt.id);
    if (attempt.isolated)
        m_quarantine.isolatedRunEnded(forward.request.fingerprint);
    std::erase_if(forward.attempts, [id = attempt.id](const open_attempt& candidate) { return candidate.id == id; });
}

void request_forwarder::onRunStarted(open_forward& forward, const open_attempt& attempt, instant now)
{
    forward.mayHaveRun = true;
    if (forward.usageReported || !forward.request.counted)
        return;
    forward.usageReported = true;
    m_actions.emplace_back(forward_execution_started { forward.request.id, forward.request.account, now - attempt.sentAt });
}

void request_forwarder::cancelAll(open_forward& forward, std::optional<attempt_id> except, instant now)
{
    const auto attempts = forward.attempts;
    for (const auto& attempt : attempts) {
        if (except && attempt.id == *except)
            continue;
        if (!attempt.unsent)
            onRunStarted(forward, attempt, now);
        m_actions.emplace_back(forward_cancel { attempt.id });
        endAttempt(forward, attempt, attempt_outcome::Timeout, now);
    }
}

void request_forwarder::finish(open_forward& forward) { m_finished.push_back(forward.request.id); }

void request_forwarder::refuse(open_forward& forward, int status, duration retryAfter, std::string reason, instant now)
{
    cancelAll(forward, std::nullopt, now);
    // Once the caller has the head of a stream, it can't get a status any more.
    if (forward.streamStarted)
        m_actions.emplace_back(forward_end_stream { forward.request.id, false });
    else {
        // 503 promises "not run". If the request may have run and is not idempotent, a caller
        // that trusted this promise would repeat it.
        if (status == statusUnavailable && forward.mayHaveRun && !forward.request.route.idempotent())
            status = statusBadGateway;
        m_actions.emplace_back(forward_refuse { forward.request.id, status, status == statusUnavailable ? retryAfter : duration {}, std::move(reason) });
    }
    ++(status == statusUnavailable ? m_counts.refused : m_counts.failed);
    finish(forward);
}

std::vector<forward_action> request_forwarder::callerDisconnected(forward_id id, instant now)
{
    const auto found = m_open.find(id);
    if (found == m_open.end())
        return {};
    ++m_counts.disconnectedCallers;
    cancelAll(found->second, std::nullopt, now);
    m_open.erase(found);
    return takeActions();
}

void request_forwarder::setUnsent(attempt_id attempt, bool unsent)
{
    auto* forward = find(attempt);
    if (forward == nullptr)
        return;
    for (auto& openAttempt : forward->attempts) {
        if (openAttempt.id == attempt)
            openAttempt.unsent = unsent;
    }
}

// Starts another attempt if the request may be repeated and attempts are left, or answers
// with an error.
void request_forwarder::retryOrRefuse(open_forward& forward, instant now)
{
    if (!forward.attempts.empty()) {
        endSecond(forward, hedge_event::Won, "first_failed", now);
        return; // another attempt is still open
    }
    const bool mayRepeat = !forward.mayHaveRun || forward.request.route.idempotent();
    if (!mayRepeat) {
        refuse(forward, statusBadGateway, {}, "the replica may have run the request", now);
        return;
    }
    if (forward.runs >= forward.request.route.maxAttempts) {
        refuse(forward, statusBadGateway, {}, "no attempts left", now);
        return;
    }
    if (forward.refusals > m_settings.maxRefusalsBeyondAttempts + forward.request.route.maxAttempts) {
        refuse(forward, statusUnavailable, m_settings.fullRetryAfter, "replicas refused", now);
        return;
    }
    if (!trySend(forward, now)) {
        // No replica is live. A request that may have run must not be reported as not run.
        if (forward.mayHaveRun)
            refuse(forward, statusBadGateway, {}, "no live replica left after an attempt that may have run", now);
        else
            refuse(forward, statusUnavailable, m_settings.noTargetRetryAfter, "no live replica", now);
    }
}

void request_forwarder::expire(open_forward& forward, instant now)
{
    const bool offered = forward.mayHaveRun || std::any_of(forward.attempts.begin(), forward.attempts.end(), [](const open_attempt& attempt) { return !attempt.unsent; });
    refuse(forward, offered ? statusTimeout : statusUnavailable, m_settings.fullRetryAfter, offered ? "out of time at a replica" : "out of time before a replica accepted the request", now);
}

void request_forwarder::tickOne(open_forward& forward, instant now)
{
    // Step 1. The deadline has passed.
    if (now >= forward.expires) {
        expire(forward, now);
        return;
    }

    // Step 2. A delayed attempt is due.
    if (forward.nextAttemptAt && forward.attempts.empty()) {
        if (now >= *forward.nextAttemptAt && !trySend(forward, now))
            refuse(forward, statusUnavailable, m_settings.noTargetRetryAfter, "no live replica", now);
        return;
    }

    // Step 3. Resume a stalled stream at another target.
    if (forward.attempts.size() == 1 && forward.streaming && forward.request.route.resumable && now - forward.attempts.front().lastReceivedAt > m_settings.streamEventTimeout) {
        const auto silent = forward.attempts.front();
        forward.streaming.reset();
        ++forward.runs;
        m_actions.emplace_back(forward_cancel { silent.id });
        endAttempt(forward, silent, attempt_outcome::Timeout, now);
        retryOrRefuse(forward, now);
        return;
    }

    // Step 4. Hedge: start a second attempt beside one that is slow or has no answer yet.
    stopSecondBeyondLimit(forward, now);
    if (forward.attempts.size() >= maxOpenAttempts || forward.attempts.empty() || forward.streaming || !forward.request.route.idempotent())
        return;
    const auto& running = forward.attempts.front();
    if (running.head || forward.runs + forward.attempts.size() >= forward.request.route.maxAttempts)
        return;
    // A request that may have crashed a target must not run at two targets at once.
    if (m_quarantine.verdictFor(forward.request.fingerprint, m_wallTime) != quarantine_verdict::Clear)
        return;
    if (m_hedging.inForce())
        hedgeWithinLimit(forward, now);
    else
        hedgeAfterFixedDelay(forward, now);
}

// Reports to the quarantine that the attempt broke off, as the request may have crashed the target.
void request_forwarder::reportBrokenAttempt(const open_forward& forward, const open_attempt& attempt, instant now)
{
    if (m_cutOff)
        return;
    // Each isolated run is a report of its own; the id is unique over all instances.
    std::string run;
    if (attempt.isolated)
        run = std::to_string(m_wallTime.time_since_epoch().count()) + "/" + std::to_string(attempt.id.value());
    m_quarantine.attemptBroke(forward.request.fingerprint, attempt.choice.target, attempt.choice.incarnation, run, m_wallTime);
    m_reportedBreaks.push_back({ forward.request.fingerprint, { attempt.choice.target, attempt.choice.incarnation, run }, now });
}

void request_forwarder::setCutOff(bool cutOff, instant now)
{
    m_cutOff = cutOff;
    while (!m_reportedBreaks.empty() && now - m_reportedBreaks.front().reportedAt > m_settings.cutOffDetection)
        m_reportedBreaks.pop_front();
    if (!cutOff)
        return;
    for (const auto& reported : std::exchange(m_reportedBreaks, {}))
        m_quarantine.withdraw(reported.request, reported.blame, m_wallTime);
}

void request_forwarder::setLatestEnd(instant latestEnd)
{
    m_latestEnd = latestEnd;
    for (auto& [id, forward] : m_open)
        forward.expires = std::min(forward.expires, latestEnd);
}

// Tells the quarantine the current incarnation of each target with a report: a new one
// proves that the target crashed.
void request_forwarder::checkForCrashes()
{
    for (const auto& target : m_quarantine.blamedTargets()) {
        if (const auto slot = m_router.table().find(target))
            m_quarantine.incarnationSeen(target, m_router.table().record(*slot).listed.incarnation, m_wallTime);
    }
}

std::vector<forward_action> request_forwarder::tick(instant now)
{
    m_limitQueues.clear();
    for (auto& [id, forward] : m_open)
        tickOne(forward, now);
    checkForCrashes();
    if (now >= m_nextHedgingCleanup) {
        m_nextHedgingCleanup = now + hedgingCleanupPeriod;
        m_hedging.dropIdle(now);
        m_poolConditions.clear();
    }
    return takeActions();
}

} // namespace lovagerail
