// Selects the replicas to swap next and their sources, and tracks each order to its end.
#include "weights.h"

#include <algorithm>
#include <cmath>

namespace lovagerail {

version_rollout::version_rollout(rollout_settings settings)
    : m_settings(std::move(settings))
{
}

void version_rollout::setWanted(weight_version version, std::string storeUrl)
{
    m_store = std::move(storeUrl);
    if (version == m_wanted)
        return;
    m_wanted = version;
    // Orders in progress are for the previous version. They end by themselves; the replicas'
    // reports show the resulting version.
    for (auto& [id, replica] : m_replicas) {
        replica.order.reset();
        replica.attempts = 0;
        replica.retryAt = instant();
    }
}

void version_rollout::setReplicas(const std::vector<replica_report>& replicas, instant now)
{
    ++m_round;
    for (const auto& report : replicas) {
        auto& state = m_replicas[report.target];
        if (state.report.incarnationNumber != report.incarnationNumber)
            state = replica_state();
        state.report = report;
        state.round = m_round;
        if (isCurrent(state) && state.order)
            endOrder(state, false, now);
    }
    std::erase_if(m_replicas, [this](const auto& entry) { return entry.second.round != m_round; });
}

std::size_t version_rollout::current() const
{
    return static_cast<std::size_t>(std::count_if(m_replicas.begin(), m_replicas.end(), [this](const auto& entry) { return isCurrent(entry.second); }));
}

std::size_t version_rollout::swapLimit() const
{
    const auto share = static_cast<std::size_t>(std::floor(static_cast<double>(m_replicas.size()) * m_settings.maxSwapShare));
    return std::max<std::size_t>(1, share);
}

// Sources with capacity for another load: first the replicas that have the version, each
// listed once per free transfer, then the store.
std::vector<version_rollout::load_source> version_rollout::availableSources() const
{
    std::map<std::string, std::size_t> busy;
    std::size_t atStore = 0;
    for (const auto& [id, replica] : m_replicas) {
        if (!replica.order)
            continue;
        ++busy[replica.order->source];
        atStore += replica.order->fromStore;
    }
    std::vector<load_source> out;
    for (std::size_t round = 0; round < m_settings.maxLoadsFromReplica; ++round) {
        for (const auto& [id, replica] : m_replicas) {
            if (!isCurrent(replica) || replica.order)
                continue;
            const auto found = busy.find(replica.report.address);
            const auto used = found == busy.end() ? 0 : found->second;
            if (used + round < m_settings.maxLoadsFromReplica)
                out.push_back({ replica.report.address, false });
        }
    }
    for (auto used = atStore; used < m_settings.maxLoadsFromStore && !m_store.empty(); ++used)
        out.push_back({ m_store, true });
    return out;
}

std::vector<rollout_action> version_rollout::tick(instant now)
{
    std::vector<rollout_action> actions;
    if (m_deposed || m_wanted == weight_version())
        return actions;

    // Step 1. Advance the orders in progress.
    std::size_t inProgress = 0;
    for (auto& [id, replica] : m_replicas) {
        if (!replica.order)
            continue;
        advanceOrder(replica, now, actions);
        inProgress += replica.order.has_value();
    }

    // Step 2. Start new orders, within the limits of swaps and sources.
    if (complete() || inProgress >= swapLimit())
        return actions;
    const auto sources = availableSources();
    auto source = sources.begin();
    for (auto& [id, replica] : m_replicas) {
        if (inProgress >= swapLimit() || source == sources.end())
            break;
        if (replica.order || isCurrent(replica) || now < replica.retryAt)
            continue;
        order_state order;
        ++replica.attempts;
        order.id = "weights/" + m_settings.model.str() + "/" + std::to_string(m_wanted.value()) + "/" + id.str() + "/"
            + std::to_string(replica.report.incarnationNumber.value()) + "/" + std::to_string(m_settings.fencing.value()) + "/" + std::to_string(replica.attempts);
        order.source = source->address;
        order.fromStore = source->isStore;
        ++source;
        order.sentAt = now;
        order.nextPollAt = now + m_settings.pollInterval;
        actions.emplace_back(swap_order { id, replica.report.address, order.id, m_wanted, order.source });
        replica.order = std::move(order);
        ++inProgress;
    }
    return actions;
}

// Polls an order, sends it again, or gives it up.
void version_rollout::advanceOrder(replica_state& replica, instant now, std::vector<rollout_action>& actions)
{
    auto& order = *replica.order;
    const bool reportOverdue = order.doneAt && now - *order.doneAt > m_settings.reportGrace;
    if (reportOverdue || now - order.sentAt > m_settings.orderTimeout) {
        endOrder(replica, true, now);
        return;
    }
    if (order.doneAt || now < order.nextPollAt)
        return;
    order.nextPollAt = now + m_settings.pollInterval;
    if (order.resend) {
        order.resend = false;
        actions.emplace_back(swap_order { replica.report.target, replica.report.address, order.id, m_wanted, order.source });
    } else {
        actions.emplace_back(query_swap_order { replica.report.target, replica.report.address, order.id });
    }
}

void version_rollout::onOrder(const target_id& target, const std::string& orderId, order_answer answer, instant now)
{
    const auto found = m_replicas.find(target);
    if (found == m_replicas.end() || !found->second.order || found->second.order->id != orderId)
        return;
    auto& replica = found->second;
    switch (answer) {
    case order_answer::Running:
        break;
    case order_answer::Done:
        if (!replica.order->doneAt)
            replica.order->doneAt = now;
        break;
    case order_answer::Failed:
        endOrder(replica, true, now);
        break;
    case order_answer::Refused:
        m_deposed = true;
        break;
    case order_answer::Lost:
    case order_answer::Unknown:
        // Resent under the same order id, so a target that knows the order repeats its answer.
        replica.order->resend = true;
        break;
    }
}

void version_rollout::endOrder(replica_state& replica, bool failed, instant now)
{
    replica.order.reset();
    if (!failed)
        return;
    constexpr std::uint32_t maxBackoffDoublings = 6;
    const auto factor = std::int64_t(1) << std::min(replica.attempts, maxBackoffDoublings);
    replica.retryAt = now + std::min(m_settings.initialRetryDelay * factor, m_settings.maxRetryDelay);
}

} // namespace lovagerail
