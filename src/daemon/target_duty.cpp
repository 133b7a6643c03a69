// Polling the platform's lists.
#include "daemon/target_duty.h"

#include "http_status.h"
#include "log.h"

#include <algorithm>

namespace lovagerail::daemon {

namespace {

    constexpr std::chrono::milliseconds listTimeout { 2000 };

} // namespace

target_duty::target_duty(control_context& context)
    : m_context(context)
{
}

void target_duty::tick()
{
    if (!m_readingTargets && m_context.now >= m_nextTargets)
        readTargets();
    if (!m_readingInstances && m_context.now >= m_nextInstances)
        readInstances();
    // A pool's kind may have changed.
    if (m_toldUnder != m_context.inForce && !m_targets.empty())
        tellServing();
}

void target_duty::readTargets()
{
    m_readingTargets = true;
    m_nextTargets = m_context.now + m_context.values.timing.targetList;
    http::request wanted;
    wanted.url = m_context.values.platform.platform + "/targets";
    wanted.totalTimeout = listTimeout;
    m_context.platform.call(std::move(wanted), [this, askedAt = m_context.now](const http::answer& answer) {
        m_readingTargets = false;
        if (answer.outcome != http::transfer_result::Whole || answer.status != statusOk) {
            logEvent(log_level::Warning, "targets", "read", { { "peer", "platform" }, { "error", answer.detail }, { "status", std::to_string(answer.status) } });
            return;
        }
        auto list = provider::decodeTargets(answer.body);
        if (!list) {
            logEvent(log_level::Warning, "targets", "read", { { "error", toString(list.error()) } });
            return;
        }
        m_targets = std::move(list->targets);
        m_listAskedAt = askedAt;
        forgetLeft();
        tellServing();
    });
}

void target_duty::readInstances()
{
    m_readingInstances = true;
    m_nextInstances = m_context.now + m_context.values.timing.targetList;
    http::request wanted;
    wanted.url = m_context.values.platform.platform + "/instances";
    wanted.totalTimeout = listTimeout;
    m_context.platform.call(std::move(wanted), [this](const http::answer& answer) {
        m_readingInstances = false;
        if (answer.outcome != http::transfer_result::Whole || answer.status != statusOk)
            return;
        if (auto list = provider::decodeInstances(answer.body))
            m_instances = std::move(*list);
    });
}

// The platform knows pools by name alone; what kind they are is configured.
listed_target target_duty::routingRow(const provider::platform_target& row) const
{
    listed_target out = row.routing;
    const auto* pool = m_context.inForce->findPool(out.pool);
    out.kind = pool != nullptr && pool->kind == pool_kind::Service ? target_kind::Service : target_kind::Engine;
    const auto leaving = m_leaving.find(out.id);
    if (leaving != m_leaving.end() && leaving->second == out.incarnation)
        out.state = target_state::Leaving;
    return out;
}

void target_duty::markLeaving(const target_id& target, incarnation seen)
{
    if (m_leaving.insert_or_assign(target, seen).second)
        tellServing();
}

void target_duty::forgetLeft()
{
    std::erase_if(m_leaving, [this](const auto& entry) {
        return std::none_of(m_targets.begin(), m_targets.end(), [&entry](const auto& row) { return row.routing.id == entry.first && row.routing.incarnation == entry.second; });
    });
}

void target_duty::tellServing()
{
    m_toldUnder = m_context.inForce;
    new_targets message;
    message.rows.reserve(m_targets.size());
    for (const auto& row : m_targets) {
        // Targets of pools that nobody configured are none of our business.
        if (m_context.inForce->findPool(row.routing.pool) != nullptr)
            message.rows.push_back(routingRow(row));
    }
    m_context.tellServing(std::move(message));
}

} // namespace lovagerail::daemon
