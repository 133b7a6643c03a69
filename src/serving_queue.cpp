// What stands between a request that was taken and its targets: the account's limits,
// quarantine and the fair queue.
#include "http_status.h"
#include "serving.h"

#include <algorithm>
#include <cassert>

namespace lovagerail {

namespace {

    constexpr duration silenceOfDeath = std::chrono::seconds(5); // longer than reports lag
    constexpr duration queueRetryAfter = std::chrono::seconds(1);
    // Of a plain service, before its answer is known.
    constexpr std::chrono::milliseconds usualServiceTime { 20 };

    // Classes that run on the same pools share a queue; a class is named by its
    // route or run, and its pools.
    std::string queueOf(const routing_class_id& name)
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

// Takes a request in: it's answered from here on, whatever happens.
void serving::enter(open_request request, instant now, wall_time wall)
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
    auto& held = m_requests.emplace(number, std::move(request)).first->second;
    if (refuseIfQuarantined(held, now, wall) || !admitByLimits(held, now, wall))
        return;
    admitToQueue(held, now, wall);
}

// Limits hold for callers; rollouts are bounded by their band of the queue.
bool serving::admitByLimits(open_request& request, instant now, wall_time wall)
{
    const auto* account = m_config->findAccount(request.account);
    if (account == nullptr || request.job)
        return true;
    if (request.made)
        request.estimatedTokens = request.made->wanted().prompt.size() / bytesPerToken + request.made->wanted().maxTokens;
    const auto verdict = m_limiter.admit(request.account, account->limits, request.estimatedTokens, now);
    if (verdict.reason == limit_reason::Within) {
        request.admitted = true;
        return true;
    }
    ++m_counts.limited;
    refuse(request, statusTooMany, toString(verdict.reason), "the account is over its limit", verdict.retryAfter, now, wall);
    return false;
}

// Puts the request in line for its targets.
bool serving::admitToQueue(open_request& request, instant now, wall_time wall)
{
    // Step 1. The queue, and how much may be at its targets.
    auto name = queueOf(request.routingClass);
    auto& queue = m_queues.try_emplace(name, m_settings.fairness).first->second;
    const auto targets = m_router.table().allowed(request.routingClass).size();
    // Demand isn't spread evenly over instances, so each may use twice its part.
    const auto part = m_instances == 1 ? targets * m_settings.mostPerTarget : 2 * targets * m_settings.mostPerTarget / m_instances;
    queue.setWindow(std::max(part, m_settings.leastWindow));

    // Step 2. Whose turn it counts as, and what it may cost.
    queued_request wanted;
    wanted.id = queued_id(request.number);
    wanted.account = request.account;
    wanted.band = request.job ? work_band::Rollout : work_band::Live;
    const auto* account = m_config->findAccount(request.account);
    const auto* of = m_config->findRun(request.run);
    wanted.weight = std::max<std::uint64_t>(1, of != nullptr ? of->weight : account != nullptr ? account->weight
                                                                                               : 1);
    wanted.priority = request.priority;
    wanted.deadline = request.deadline;
    if (request.made)
        wanted.estimate = engineCost(token_count(request.made->wanted().prompt.size() / bytesPerToken), {}, token_count(request.made->tokensLeft()));
    else
        wanted.estimate = plainServiceCost(usualServiceTime);

    // Step 3. In line, or a refusal at once.
    const auto verdict = queue.push(wanted, now);
    if (verdict != queue_verdict::Queued) {
        refuse(request, statusUnavailable, toString(verdict), "too much waits for these targets", queueRetryAfter, now, wall);
        return false;
    }
    m_dirtyQueues.insert(name);
    request.queue = std::move(name);
    return true;
}

// Sends what the queues let go. A refusal on the way may make room again.
void serving::pump(instant now, wall_time wall)
{
    while (!m_dirtyQueues.empty()) {
        auto& queue = m_queues.at(m_dirtyQueues.extract(m_dirtyQueues.begin()).value());
        while (const auto next = queue.pop()) {
            auto& request = m_requests.at(next->value());
            request.leftQueue = now;
            request.retryAt = now;
            if (!m_classes.contains(request.routingClass))
                reclassify(request);
            dispatch(request, now, wall);
        }
    }
}

std::vector<serving_action> serving::settle(instant now, wall_time wall)
{
    pump(now, wall);
    return take();
}

// A request that is over gives back its place and its part of the account's limits.
void serving::leaveQueue(const open_request& request, instant now)
{
    if (!request.queue.empty()) {
        auto& queue = m_queues.at(request.queue);
        const queued_id id(request.number);
        if (!queue.remove(id))
            queue.finished(id, request.spent, now);
        m_dirtyQueues.insert(request.queue);
    }
    if (request.admitted) {
        const auto* account = m_config->findAccount(request.account);
        std::uint64_t used = 0;
        if (request.made && request.attempts > 0)
            used = request.made->wanted().prompt.size() / bytesPerToken + request.made->tokens();
        m_limiter.finished(request.account, account != nullptr ? account->limits : account_limits {}, request.estimatedTokens, used, now);
    }
}

// The true cost of the attempt in progress.
service_cost serving::costOf(const open_request& request, instant now)
{
    const auto& attempt = *request.attempt;
    if (!request.made)
        return plainServiceCost(std::chrono::duration_cast<std::chrono::milliseconds>(now - attempt.sentAt));
    if (!attempt.usage)
        return engineCost(token_count(request.made->wanted().prompt.size() / bytesPerToken), {}, token_count(attempt.tokens));
    const auto cached = std::min(attempt.usage->cached, attempt.usage->prompt);
    return engineCost(attempt.usage->prompt - cached, cached, token_count(attempt.tokens));
}

// --- Quarantine --------------------------------------------------------------------

bool serving::refuseIfQuarantined(open_request& request, instant now, wall_time wall)
{
    if (m_quarantine.judge(request.fingerprint, wall) != quarantine_verdict::Refused)
        return false;
    ++m_counts.quarantined;
    const auto retryAfter = m_quarantine.retryAfter(request.fingerprint, wall);
    refuse(request, statusUnavailable, "quarantined", "targets died while they ran this request", retryAfter, now, wall);
    return true;
}

// What an attempt's end says about its request and its target.
void serving::blame(const open_request& request, transfer_end end, wall_time wall)
{
    const auto& attempt = *request.attempt;
    const auto& choice = attempt.choice;
    if (end == transfer_end::NotSent)
        m_quarantine.died(choice.target, choice.incarnation, wall);
    else if (end != transfer_end::Whole)
        m_quarantine.broke(request.fingerprint, choice.target, choice.incarnation, attempt.asSuspect ? attemptName(attempt.id) : "", wall);
}

// A blamed target that runs under a new incarnation, or an engine whose reports
// have stopped, has died. Plain services may be quiet for other reasons.
void serving::noticeDeaths(instant now, wall_time wall)
{
    const auto& table = m_router.table();
    for (const auto& target : m_quarantine.blamedTargets()) {
        const auto slot = table.find(target);
        if (!slot)
            continue;
        const auto& record = table.record(*slot);
        m_quarantine.seen(target, record.listed.incarnation, wall);
        if (record.listed.kind == target_kind::Engine && now - record.lastHeard > silenceOfDeath)
            m_quarantine.died(target, record.listed.incarnation, wall);
    }
}

} // namespace lovagerail
