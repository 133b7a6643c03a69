// Start-time fair queueing with two bands and a bounded number dispatched.
#include "fairness.h"

#include <algorithm>
#include <cassert>

namespace lovagerail {

namespace {

    constexpr double thousand = 1000;
    // Served costs are halved above this sum, so that the floor counts over a recent past.
    constexpr double servedMemory = 4'000'000;
    constexpr duration rateWindow = std::chrono::milliseconds(100);

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

std::string_view toString(queue_verdict verdict)
{
    switch (verdict) {
    case queue_verdict::Queued:
        return "queued";
    case queue_verdict::QueueFull:
        return "queue_full";
    case queue_verdict::AccountQueueFull:
        return "account_queue_full";
    case queue_verdict::CannotMeetDeadline:
        return "cannot_meet_deadline";
    }
    return "queued";
}

fair_queue::fair_queue(fairness_settings settings)
    : m_settings(settings)
{
}

// What flows are ordered by under the policy.
double fair_queue::orderOf(const flow& of) const
{
    assert(!of.waiting.empty());
    if (m_settings.policy == fairness_policy::Fifo)
        return static_cast<double>(std::get<1>(of.waiting.begin()->first));
    return of.tag;
}

void fair_queue::activate(const flow_name& name, flow& of)
{
    auto& in = band(name.first);
    in.order.emplace(orderOf(of), name.second);
    in.activeWeight += of.weight;
}

void fair_queue::deactivate(const flow_name& name, flow& of)
{
    auto& in = band(name.first);
    const auto erased = in.order.erase({ orderOf(of), name.second });
    assert(erased == 1);
    static_cast<void>(erased);
    in.activeWeight -= of.weight;
}

queue_verdict fair_queue::push(const queued_request& request, instant now)
{
    assert(request.weight >= 1);
    assert(!m_entries.contains(request.id) && !m_dispatched.contains(request.id));

    // Step 1. Bounds, and a deadline that can't be met, are told before anything waits.
    if (m_entries.size() >= m_settings.mostWaiting)
        return queue_verdict::QueueFull;
    const flow_name name { request.band, request.account };
    const auto found = m_flows.find(name);
    if (found != m_flows.end() && found->second.waiting.size() >= m_settings.mostWaitingPerAccount)
        return queue_verdict::AccountQueueFull;
    if (now + expectedWait(request.account, request.weight, request.band) >= request.deadline)
        return queue_verdict::CannotMeetDeadline;

    // Step 2. A flow that begins to wait starts no earlier than the virtual time.
    auto& of = m_flows[name];
    if (of.waiting.empty())
        of.tag = std::max(of.tag, band(request.band).virtualTime);
    else
        deactivate(name, of);

    // Step 3. Add the request.
    of.weight = request.weight;
    const bool keepsArrival = m_settings.policy == fairness_policy::Fifo;
    const entry_key key { keepsArrival ? 0 : request.priority, ++m_arrivals };
    of.waiting.emplace(key, request.id);
    of.backlog += request.estimate;
    m_entries.emplace(request.id, entry { name, key, request.estimate });
    activate(name, of);
    return queue_verdict::Queued;
}

// Live trade first, unless rollouts have had less than their floor.
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

// Takes one waiting request out of its flow, which is not in the order meanwhile.
void fair_queue::takeOut(const flow_name& name, flow& of, const entry_key& key, service_cost estimate)
{
    of.waiting.erase(key);
    of.backlog -= estimate;
    if (!of.waiting.empty())
        activate(name, of);
}

std::optional<queued_id> fair_queue::pop()
{
    // Step 1. Whose turn it is.
    if (m_dispatched.size() >= m_window)
        return std::nullopt;
    const auto which = nextBand();
    if (!which)
        return std::nullopt;
    auto& in = band(*which);
    const flow_name name { *which, in.order.begin()->second };
    auto& of = m_flows.at(name);
    const auto id = of.waiting.begin()->second;
    auto node = m_entries.extract(id);

    // Step 2. Time goes on to its start; the flow's next start is after its cost.
    deactivate(name, of);
    in.virtualTime = std::max(in.virtualTime, of.tag);
    const bool counted = m_settings.policy == fairness_policy::RoundRobin;
    of.tag += counted ? 1.0 : static_cast<double>(node.mapped().estimate.count()) / static_cast<double>(of.weight);
    in.served += static_cast<double>(node.mapped().estimate.count());
    if (in.served > servedMemory) {
        for (auto& each : m_bands)
            each.served /= 2;
    }
    takeOut(name, of, node.mapped().key, node.mapped().estimate);
    ++of.running;
    m_dispatched.insert(std::move(node));
    return id;
}

bool fair_queue::remove(queued_id id)
{
    const auto node = m_entries.extract(id);
    if (!node)
        return false;
    const auto& gone = node.mapped();
    auto& of = m_flows.at(gone.owner);
    deactivate(gone.owner, of);
    takeOut(gone.owner, of, gone.key, gone.estimate);
    forgetIdle(gone.owner);
    return true;
}

void fair_queue::finished(queued_id id, service_cost measured, instant now)
{
    const auto node = m_dispatched.extract(id);
    assert(node);
    const auto& over = node.mapped();
    auto& of = m_flows.at(over.owner);
    auto& in = band(over.owner.first);

    // Step 1. The account pays, or gets back, what the estimate was wrong by.
    const auto correction = static_cast<double>((measured - over.estimate).count());
    if (m_settings.policy == fairness_policy::Weighted && correction != 0) {
        const bool waits = !of.waiting.empty();
        if (waits)
            deactivate(over.owner, of);
        of.tag += correction / static_cast<double>(of.weight);
        // What is given back must not let a flow fall behind the others' time.
        of.tag = std::max(of.tag, in.virtualTime - std::max(0.0, -correction) / static_cast<double>(of.weight));
        if (waits)
            activate(over.owner, of);
    }
    in.served = std::max(0.0, in.served + correction);

    // Step 2. How fast the targets drain, learned only while they are kept busy.
    const bool busy = m_dispatched.size() + 1 >= m_window && !m_entries.empty();
    if (!busy || m_lastFinished == instant()) {
        m_lastFinished = now;
        m_finishedSince = 0;
    } else {
        m_finishedSince += static_cast<double>(measured.count());
    }
    if (now - m_lastFinished >= rateWindow) {
        const auto rate = m_finishedSince / std::chrono::duration<double>(now - m_lastFinished).count();
        m_costPerSecond = m_costPerSecond == 0 ? rate : m_costPerSecond + m_settings.rateLearning * (rate - m_costPerSecond);
        m_lastFinished = now;
        m_finishedSince = 0;
    }

    --of.running;
    forgetIdle(over.owner);
}

// A flow without work is kept only while it's ahead, that is in debt.
void fair_queue::forgetIdle(const flow_name& name)
{
    const auto found = m_flows.find(name);
    const auto& of = found->second;
    if (of.waiting.empty() && of.running == 0 && of.tag <= band(name.first).virtualTime)
        m_flows.erase(found);
}

duration fair_queue::expectedWait(const client_account_id& account, std::uint64_t weight, work_band which) const
{
    if (m_costPerSecond <= 0 || m_dispatched.size() < m_window)
        return duration::zero();
    const auto found = m_flows.find({ which, account });
    if (found == m_flows.end() || found->second.waiting.empty())
        return duration::zero(); // first in its own line: served within a round
    const auto& in = band(which);
    const auto others = static_cast<double>(std::max(in.activeWeight, weight));
    const auto share = static_cast<double>(weight) / others;
    const auto seconds = static_cast<double>(found->second.backlog.count()) / (m_costPerSecond * share);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(std::min(seconds, 1e6)));
}

} // namespace lovagerail
