// Admission of requests before they are dispatched: the account's limits, quarantine and
// the fair queue.
#include "http_status.h"
#include "serving.h"

#include <algorithm>
#include <cassert>

namespace lovagerail {

namespace {

    constexpr duration crashSilence = std::chrono::seconds(5); // an engine silent for longer has crashed; exceeds the lag of load reports
    constexpr duration queueRetryAfter = std::chrono::seconds(1);
    // Estimate for a plain service's request before its response is known.
    constexpr std::chrono::milliseconds estimatedServiceTime { 20 };

    // Routing classes that use the same pools share a queue. A class's name consists of
    // its route or run, '|' and its pools; the queue's name is the part from '|' on.
    std::string queueName(const routing_class_id& name)
    {
        const auto pools = name.str().find('|');
        return pools == std::string::npos ? name.str() : name.str().substr(pools);
    }

} // namespace

void serving::setInstances(std::uint32_t count)
{
    m_instances = std::max(count, 1U);
    m_limiter.setInstances(m_instances);
}

// Registers a request. From here on it is answered in any case, at its deadline at the latest.
void serving::admit(open_request request, instant now, wall_time wall)
{
    request.number = ++m_lastRequest;
    request.id = newRequestId();
    request.retryAt = now;
    const auto number = request.number;
    if (request.caller)
        m_byCaller[*request.caller] = number;
    if (request.job)
        m_byJob[*request.job] = number;
    m_deadlines.emplace(request.deadline, number);
    auto& openRequest = m_requests.emplace(number, std::move(request)).first->second;
    if (refuseIfQuarantined(openRequest, now, wall) || !admitByLimits(openRequest, now, wall))
        return;
    admitToQueue(openRequest, now, wall);
}

// Applies the account's limits to callers' requests; rollout jobs are bounded by their
// band of the fair queue instead.
bool serving::admitByLimits(open_request& request, instant now, wall_time wall)
{
    const auto* account = m_config->findAccount(request.account);
    if (account == nullptr || request.job)
        return true;
    if (request.generationState)
        request.estimatedTokens = request.generationState->wanted().prompt.size() / bytesPerToken + request.generationState->wanted().maxTokens;
    const auto verdict = m_limiter.admit(request.account, account->limits, request.estimatedTokens, now);
    if (verdict.reason == limit_reason::Within) {
        request.admitted = true;
        return true;
    }
    ++m_counts.limited;
    refuse(request, statusTooManyRequests, toString(verdict.reason), "the account is over its limit", verdict.retryAfter, now, wall);
    return false;
}

// Puts the request into the fair queue of its targets, or refuses it.
bool serving::admitToQueue(open_request& request, instant now, wall_time wall)
{
    // Step 1. Find the queue and set how many requests may be in flight at its targets.
    auto name = queueName(request.routingClass);
    auto& queue = m_queues.try_emplace(name, m_settings.fairness).first->second;
    const auto targets = m_router.table().allowed(request.routingClass).size();
    // Load isn't spread evenly over instances, so each may use twice its share.
    const auto share = m_instances == 1 ? targets * m_settings.maxPerTarget : 2 * targets * m_settings.maxPerTarget / m_instances;
    queue.setWindow(std::max(share, m_settings.minWindow));

    // Step 2. Set its account, weight and estimated cost for fair queueing.
    queued_request entry;
    entry.id = queued_id(request.number);
    entry.account = request.account;
    entry.band = request.job ? work_band::Rollout : work_band::Live;
    const auto* account = m_config->findAccount(request.account);
    const auto* queuedRun = m_config->findRun(request.run);
    entry.weight = std::max<std::uint64_t>(1, queuedRun != nullptr ? queuedRun->weight : account != nullptr ? account->weight
                                                                                                            : 1);
    entry.priority = request.priority;
    entry.deadline = request.deadline;
    if (request.generationState)
        entry.estimate = engineCost(token_count(request.generationState->wanted().prompt.size() / bytesPerToken), {}, token_count(request.generationState->remainingTokens()));
    else
        entry.estimate = plainServiceCost(estimatedServiceTime);

    // Step 3. Queue it, or refuse it if the queue is full.
    const auto verdict = queue.push(entry, now);
    if (verdict != enqueue_result::Queued) {
        refuse(request, statusUnavailable, toString(verdict), "too much waits for these targets", queueRetryAfter, now, wall);
        return false;
    }
    m_queuesToDispatch.insert(name);
    request.queue = std::move(name);
    return true;
}

// Dispatches what the queues release. Loops because a request that is refused on dispatch
// makes room for another one.
void serving::dispatchQueued(instant now, wall_time wall)
{
    while (!m_queuesToDispatch.empty()) {
        auto& queue = m_queues.at(m_queuesToDispatch.extract(m_queuesToDispatch.begin()).value());
        while (const auto next = queue.pop()) {
            auto& request = m_requests.at(next->value());
            request.dequeuedAt = now;
            request.retryAt = now;
            if (!m_definedClasses.contains(request.routingClass))
                reclassify(request);
            dispatch(request, now, wall);
        }
    }
}

std::vector<serving_action> serving::dispatchAndTakeActions(instant now, wall_time wall)
{
    dispatchQueued(now, wall);
    return takeActions();
}

// Releases an ended request's place in the queue and its share of the account's limits.
void serving::releaseAdmission(const open_request& request, instant now)
{
    if (!request.queue.empty()) {
        auto& queue = m_queues.at(request.queue);
        const queued_id id(request.number);
        if (!queue.remove(id))
            queue.finished(id, request.cost, now);
        m_queuesToDispatch.insert(request.queue);
    }
    if (request.admitted) {
        const auto* account = m_config->findAccount(request.account);
        std::uint64_t used = 0;
        if (request.generationState && request.attempts > 0)
            used = request.generationState->wanted().prompt.size() / bytesPerToken + request.generationState->tokens();
        m_limiter.finished(request.account, account != nullptr ? account->limits : account_limits {}, request.estimatedTokens, used, now);
    }
}

// The actual cost of the current attempt.
service_cost serving::costOf(const open_request& request, instant now)
{
    const auto& attempt = *request.attempt;
    if (!request.generationState)
        return plainServiceCost(std::chrono::duration_cast<std::chrono::milliseconds>(now - attempt.sentAt));
    if (!attempt.usage)
        return engineCost(token_count(request.generationState->wanted().prompt.size() / bytesPerToken), {}, token_count(attempt.tokens));
    const auto cached = std::min(attempt.usage->cached, attempt.usage->prompt);
    return engineCost(attempt.usage->prompt - cached, cached, token_count(attempt.tokens));
}

// --- Quarantine --------------------------------------------------------------------

bool serving::refuseIfQuarantined(open_request& request, instant now, wall_time wall)
{
    if (m_quarantine.verdictFor(request.fingerprint, wall, request.job.has_value()) != quarantine_verdict::Refused)
        return false;
    ++m_counts.quarantined;
    const auto retryAfter = m_quarantine.retryAfter(request.fingerprint, wall);
    refuse(request, statusUnavailable, "quarantined", "targets died while they ran this request", retryAfter, now, wall);
    return true;
}

// Reports an attempt without a complete response to the quarantine. A target that could not
// be reached has crashed, which confirms the blames against requests that ran there before;
// otherwise the request is blamed, as it may have crashed the target.
void serving::recordBlame(const open_request& request, transfer_end end, wall_time wall)
{
    const auto& attempt = *request.attempt;
    const auto& choice = attempt.choice;
    if (end == transfer_end::NotSent)
        m_quarantine.targetCrashed(choice.target, choice.incarnation, wall);
    else if (end != transfer_end::Complete)
        m_quarantine.attemptBroke(request.fingerprint, choice.target, choice.incarnation, attempt.asSuspect ? attemptName(attempt.id) : "", wall);
}

// Confirms crashes of blamed targets: one that runs as a new incarnation has crashed, and
// so has an engine whose load reports stopped. Plain services may be silent for other reasons.
void serving::detectCrashes(instant now, wall_time wall)
{
    const auto& table = m_router.table();
    for (const auto& target : m_quarantine.blamedTargets()) {
        const auto slot = table.find(target);
        if (!slot)
            continue;
        const auto& record = table.record(*slot);
        m_quarantine.incarnationSeen(target, record.listed.incarnation, wall);
        if (record.listed.kind == target_kind::Engine && now - record.lastHeard > crashSilence)
            m_quarantine.targetCrashed(target, record.listed.incarnation, wall);
    }
}

} // namespace lovagerail
