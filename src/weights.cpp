// Choosing what to swap next, from where, and following each order to its end.
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
    // Orders under way are for another version; they end by themselves and what
    // they left behind shows in the reports.
    for (auto& [id, replica] : m_replicas) {
        replica.order.reset();
        replica.tries = 0;
        replica.retryAt = instant();
    }
}

void version_rollout::setReplicas(const std::vector<replica_report>& replicas, instant now)
{
    std::map<target_id, replica_state> next;
    for (const auto& report : replicas) {
        replica_state state;
        const auto before = m_replicas.find(report.target);
        if (before != m_replicas.end() && before->second.report.life == report.life)
            state = before->second;
        state.report = report;
        if (isCurrent(state) && state.order)
            endOrder(state, false, now);
        next[report.target] = std::move(state);
    }
    m_replicas = std::move(next);
}

std::size_t version_rollout::current() const
{
    return static_cast<std::size_t>(std::count_if(m_replicas.begin(), m_replicas.end(), [this](const auto& entry) { return isCurrent(entry.second); }));
}

std::size_t version_rollout::swapLimit() const
{
    const auto share = static_cast<std::size_t>(std::floor(static_cast<double>(m_replicas.size()) * m_settings.swapShare));
    return std::max<std::size_t>(1, share);
}

// A replica that has the version and passes it to few others, else the store.
std::optional<std::string> version_rollout::chooseSource(bool& fromStore) const
{
    std::map<std::string, std::size_t> busy;
    std::size_t atStore = 0;
    for (const auto& [id, replica] : m_replicas) {
        if (!replica.order)
            continue;
        ++busy[replica.order->source];
        atStore += replica.order->fromStore;
    }
    const std::string* best = nullptr;
    std::size_t fewest = m_settings.fromReplica;
    for (const auto& [id, replica] : m_replicas) {
        if (!isCurrent(replica) || replica.order)
            continue;
        const auto found = busy.find(replica.report.address);
        const auto count = found == busy.end() ? 0 : found->second;
        if (count >= fewest)
            continue;
        fewest = count;
        best = &replica.report.address;
    }
    fromStore = best == nullptr;
    if (best != nullptr)
        return *best;
    if (atStore < m_settings.fromStore && !m_store.empty())
        return m_store;
    return std::nullopt;
}

std::vector<rollout_action> version_rollout::tick(instant now)
{
    std::vector<rollout_action> actions;
    if (m_deposed || m_wanted == weight_version())
        return actions;

    // Step 1. Orders under way.
    std::size_t underWay = 0;
    for (auto& [id, replica] : m_replicas) {
        if (!replica.order)
            continue;
        drive(replica, now, actions);
        underWay += replica.order.has_value();
    }

    // Step 2. New ones, as far as the share and the sources go.
    for (auto& [id, replica] : m_replicas) {
        if (underWay >= swapLimit())
            break;
        if (replica.order || isCurrent(replica) || now < replica.retryAt)
            continue;
        bool fromStore = false;
        // After a failure the store is the one source that is not in doubt.
        auto source = chooseSource(fromStore);
        if (!source)
            break;
        order_state order;
        ++replica.tries;
        order.id = "weights/" + m_settings.model.str() + "/" + std::to_string(m_wanted.value()) + "/" + id.str() + "/"
            + std::to_string(replica.report.life.value()) + "/" + std::to_string(m_settings.fencing.value()) + "/" + std::to_string(replica.tries);
        order.source = *source;
        order.fromStore = fromStore;
        order.sentAt = now;
        order.nextAsk = now + m_settings.askEvery;
        actions.emplace_back(swap_order { id, replica.report.address, order.id, m_wanted, order.source });
        replica.order = std::move(order);
        ++underWay;
    }
    return actions;
}

// Asks after an order, sends it again, or gives it up.
void version_rollout::drive(replica_state& replica, instant now, std::vector<rollout_action>& actions)
{
    auto& order = *replica.order;
    const bool silent = order.doneAt && now - *order.doneAt > m_settings.reportGrace;
    if (silent || now - order.sentAt > m_settings.orderTimeout) {
        endOrder(replica, true, now);
        return;
    }
    if (order.doneAt || now < order.nextAsk)
        return;
    order.nextAsk = now + m_settings.askEvery;
    if (order.resend) {
        order.resend = false;
        actions.emplace_back(swap_order { replica.report.target, replica.report.address, order.id, m_wanted, order.source });
    } else {
        actions.emplace_back(ask_order { replica.report.target, replica.report.address, order.id });
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
        // The same order id again: a target that has it repeats its answer.
        replica.order->resend = true;
        break;
    }
}

void version_rollout::endOrder(replica_state& replica, bool failed, instant now)
{
    replica.order.reset();
    if (!failed)
        return;
    constexpr std::uint32_t mostDoublings = 6;
    const auto factor = std::int64_t(1) << std::min(replica.tries, mostDoublings);
    replica.retryAt = now + std::min(m_settings.firstRetry * factor, m_settings.longestRetry);
}

} // namespace lovagerail
