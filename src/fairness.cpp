// Start-time fair queueing with two priority bands and a bounded number of dispatched
// requests; see fairness.h.
#include "fairness.h"

#include <algorithm>
#include <cassert>

namespace lovagerail {

namespace {

    constexpr double thousand = 1000;
    // Served costs are halved above this sum, so that the rollouts' minimum share is taken
    // over the recent past only.
    constexpr double maxServed = 4'000'000;
    constexpr duration minRateSample = std::chrono::milliseconds(100);

} // namespace

service_cost engineCost(token_count prefilled, token_count cached, token_count generated)
{
    const auto count = [](token_count tokens) { return static_cast<std::int64_t>(tokens.count()); };
    return service_cost(requestCost + count(prefilled) * prefillCost + count(cached) * cachedCost + count(generated) * decodeCost);
}

service_cost plainServiceCost(std::chrono::milliseconds time)
{
    return service_cost(requestCost + std::max<std::int64_t>(time.count(), 0) * serviceMillisecondCost);
}

std::string_view toString(fairness_policy policy)
{
    switch (policy) {
    case fairness_policy::Weighted:
        return "weighted";
    case fairness_policy::Fifo:
        return "fifo";
    case fairness_policy::RoundRobin:
        return "round_robin";
    }
    return "weighted";
}

std::string_view toString(enqueue_result verdict)
{
    switch (verdict) {
    case enqueue_result::Queued:
        return "queued";
    case enqueue_result::QueueFull:
        return "queue_full";
    case enqueue_result::AccountQueueFull:
        return "account_queue_full";
    case enqueue_result::CannotMeetDeadline:
        return "cannot_meet_deadline";
    }
    return "queued";
}

fair_queue::fair_queue(fairness_settings settings)
    : m_settings(settings)
{
}

// Sort key of a flow under the policy: arrival of its first request, or its start tag.
double fair_queue::orderKey(const flow& accountFlow) const
{
    assert(!accountFlow.waiting.empty());
    if (m_settings.policy == fairness_policy::Fifo)
        return static_cast<double>(std::get<1>(accountFlow.waiting.begin()->first));
    return accountFlow.tag;
}

void fair_queue::activate(const flow_name& name, flow& accountFlow)
{
    auto& bandState = band(name.first);
    bandState.order.emplace(orderKey(accountFlow), name.second);
    bandState.activeWeight += accountFlow.weight;
}

void fair_queue::deactivate(const flow_name& name, flow& accountFlow)
{
    auto& bandState = band(name.first);
    const auto erased = bandState.order.erase({ orderKey(accountFlow), name.second });
    assert(erased == 1);
    static_cast<void>(erased);
    bandState.activeWeight -= accountFlow.weight;
}

enqueue_result fair_queue::push(const queued_request& request, instant now)
{
    assert(request.weight >= 1);
    assert(!m_entries.contains(request.id) && !m_dispatched.contains(request.id));

    // Step 1. Reject at once what exceeds the queue limits or can't meet its deadline.
    if (m_entries.size() >= m_settings.maxWaiting)
        return enqueue_result::QueueFull;
    const flow_name name { request.band, request.account };
    const auto found = m_flows.find(name);
    if (found != m_flows.end() && found->second.waiting.size() >= m_settings.maxWaitingPerAccount)
        return enqueue_result::AccountQueueFull;
    if (now + expectedWait(request.account, request.weight, request.band) >= request.deadline)
        return enqueue_result::CannotMeetDeadline;

    // Step 2. A flow that becomes active starts no earlier than the virtual time; otherwise
    // an account could save up service while idle.
    auto& accountFlow = m_flows[name];
    if (accountFlow.waiting.empty())
        accountFlow.tag = std::max(accountFlow.tag, band(request.band).virtualTime);
    else
        deactivate(name, accountFlow);

    // Step 3. Add the request.
    accountFlow.weight = request.weight;
    const bool ignorePriority = m_settings.policy == fairness_policy::Fifo;
    const entry_key key { ignorePriority ? 0 : request.priority, ++m_arrivals };
    accountFlow.waiting.emplace(key, request.id);
    accountFlow.backlog += request.estimate;
    m_entries.emplace(request.id, entry { name, key, request.estimate });
    activate(name, accountFlow);
    return enqueue_result::Queued;
}

// Live traffic first, unless rollouts have had less than their minimum share.
std::optional<work_band> fair_queue::nextBand() const
{
    const auto& live = band(work_band::Live);
    const auto& rollout = band(work_band::Rollout);
    if (live.order.empty() && rollout.order.empty())
        return std::nullopt;
    if (live.order.empty())
        return work_band::Rollout;
    if (rollout.order.empty())
        return work_band::Live;
    if (m_settings.policy == fairness_policy::Fifo)
        return live.order.begin()->first < rollout.order.begin()->first ? work_band::Live : work_band::Rollout;
    const auto served = live.served + rollout.served;
    return rollout.served * thousand < served * m_settings.rolloutFloor ? work_band::Rollout : work_band::Live;
}

// Removes one waiting request from its flow, which must be deactivated, and activates the
// flow again if more requests wait.
void fair_queue::removeWaiting(const flow_name& name, flow& accountFlow, const entry_key& key, service_cost estimate)
{
    accountFlow.waiting.erase(key);
    accountFlow.backlog -= estimate;
    if (!accountFlow.waiting.empty())
        activate(name, accountFlow);
}

std::optional<queued_id> fair_queue::pop()
{
    // Step 1. Choose the flow.
    if (m_dispatched.size() >= m_window)
        return std::nullopt;
    const auto workBand = nextBand();
    if (!workBand)
        return std::nullopt;
    auto& bandState = band(*workBand);
    const flow_name name { *workBand, bandState.order.begin()->second };
    auto& accountFlow = m_flows.at(name);
    const auto id = accountFlow.waiting.begin()->second;
    auto node = m_entries.extract(id);

    // Step 2. Advance the virtual time to the request's start tag, and the flow's start tag
    // by the request's cost.
    deactivate(name, accountFlow);
    bandState.virtualTime = std::max(bandState.virtualTime, accountFlow.tag);
    const bool perRequest = m_settings.policy == fairness_policy::RoundRobin;
    accountFlow.tag += perRequest ? 1.0 : static_cast<double>(node.mapped().estimate.count()) / static_cast<double>(accountFlow.weight);
    bandState.served += static_cast<double>(node.mapped().estimate.count());
    if (bandState.served > maxServed) {
        for (auto& decayedBand : m_bands)
            decayedBand.served /= 2;
    }
    removeWaiting(name, accountFlow, node.mapped().key, node.mapped().estimate);
    ++accountFlow.running;
    m_dispatched.insert(std::move(node));
    return id;
}

bool fair_queue::remove(queued_id id)
{
    const auto node = m_entries.extract(id);
    if (!node)
        return false;
    const auto& removed = node.mapped();
    auto& accountFlow = m_flows.at(removed.flowName);
    deactivate(removed.flowName, accountFlow);
    removeWaiting(removed.flowName, accountFlow, removed.key, removed.estimate);
    eraseIfIdle(removed.flowName);
    return true;
}

void fair_queue::finished(queued_id id, service_cost measured, instant now)
{
    const auto node = m_dispatched.extract(id);
    assert(node);
    const auto& done = node.mapped();
    auto& accountFlow = m_flows.at(done.flowName);
    auto& bandState = band(done.flowName.first);

    // Step 1. Charge or credit the account with the error of the estimate.
    const auto correction = static_cast<double>((measured - done.estimate).count());
    if (m_settings.policy == fairness_policy::Weighted && correction != 0) {
        const bool hasWaiting = !accountFlow.waiting.empty();
        if (hasWaiting)
            deactivate(done.flowName, accountFlow);
        accountFlow.tag += correction / static_cast<double>(accountFlow.weight);
        // A credit must not move the tag further behind the virtual time than the credit itself.
        accountFlow.tag = std::max(accountFlow.tag, bandState.virtualTime - std::max(0.0, -correction) / static_cast<double>(accountFlow.weight));
        if (hasWaiting)
            activate(done.flowName, accountFlow);
    }
    bandState.served = std::max(0.0, bandState.served + correction);

    // Step 2. Sample the drain rate, only while the window is full and requests wait: an
    // underused target would look slow.
    const bool busy = m_dispatched.size() + 1 >= m_window && !m_entries.empty();
    if (!busy || m_sampleStart == instant()) {
        m_sampleStart = now;
        m_sampleCost = 0;
    } else {
        m_sampleCost += static_cast<double>(measured.count());
    }
    if (now - m_sampleStart >= minRateSample) {
        const auto rate = m_sampleCost / std::chrono::duration<double>(now - m_sampleStart).count();
        m_costPerSecond = m_costPerSecond == 0 ? rate : m_costPerSecond + m_settings.rateSmoothing * (rate - m_costPerSecond);
        m_sampleStart = now;
        m_sampleCost = 0;
    }

    --accountFlow.running;
    eraseIfIdle(done.flowName);
}

// Keeps a flow without requests only while its tag is ahead of the virtual time, that is
// while it still has to pay for past service.
void fair_queue::eraseIfIdle(const flow_name& name)
{
    const auto found = m_flows.find(name);
    const auto& accountFlow = found->second;
    if (accountFlow.waiting.empty() && accountFlow.running == 0 && accountFlow.tag <= band(name.first).virtualTime)
        m_flows.erase(found);
}

duration fair_queue::expectedWait(const client_account_id& account, std::uint64_t weight, work_band workBand) const
{
    if (m_costPerSecond <= 0 || m_dispatched.size() < m_window)
        return duration::zero();
    const auto found = m_flows.find({ workBand, account });
    if (found == m_flows.end() || found->second.waiting.empty())
        return duration::zero(); // nothing of this account is queued: served within one round
    const auto& bandState = band(workBand);
    const auto totalWeight = static_cast<double>(std::max(bandState.activeWeight, weight));
    const auto share = static_cast<double>(weight) / totalWeight;
    const auto seconds = static_cast<double>(found->second.backlog.count()) / (m_costPerSecond * share);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(std::min(seconds, 1e6)));
}

} // namespace lovagerail
