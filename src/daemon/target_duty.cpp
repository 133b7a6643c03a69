// Polls the platform's lists of targets and instances.
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
    // The new configuration may have changed the kind of a pool.
    if (m_sentConfig != m_context.inForce && !m_targets.empty())
        sendTargets();
}

void target_duty::readTargets()
{
    m_readingTargets = true;
    m_nextTargets = m_context.now + m_context.values.timing.targetList;
    http::request request;
    request.url = m_context.values.platform.platform + "/targets";
    request.totalTimeout = listTimeout;
    m_context.platform.call(std::move(request), [this, requestedAt = m_context.now](const http::answer& answer) {
        m_readingTargets = false;
        if (answer.outcome != http::transfer_result::Complete || answer.status != statusOk) {
            logEvent(log_level::Warning, "targets", "read", { { "peer", "platform" }, { "error", answer.detail }, { "status", std::to_string(answer.status) } });
            return;
        }
        auto list = provider::decodeTargets(answer.body);
        if (!list) {
            logEvent(log_level::Warning, "targets", "read", { { "error", toString(list.error()) } });
            return;
        }
        m_targets = std::move(list->targets);
        m_listRequestedAt = requestedAt;
        dropUnlistedMarks();
        sendTargets();
    });
}

void target_duty::readInstances()
{
    m_readingInstances = true;
    m_nextInstances = m_context.now + m_context.values.timing.targetList;
    http::request request;
    request.url = m_context.values.platform.platform + "/instances";
    request.totalTimeout = listTimeout;
    m_context.platform.call(std::move(request), [this](const http::answer& answer) {
        m_readingInstances = false;
        if (answer.outcome != http::transfer_result::Complete || answer.status != statusOk)
            return;
        if (auto list = provider::decodeInstances(answer.body))
            m_instances = std::move(*list);
    });
}

// Adds what the platform does not know: the kind of the pool, which is configured, and whether
// the target is being drained.
listed_target target_duty::routingRow(const provider::platform_target& row) const
{
    listed_target out = row.routing;
    const auto* pool = m_context.inForce->findPool(out.pool);
    out.kind = pool != nullptr && pool->kind == pool_kind::Service ? target_kind::Service : target_kind::Engine;
    const auto draining = m_draining.find(out.id);
    if (draining != m_draining.end() && draining->second == out.incarnation)
        out.state = target_state::Leaving;
    return out;
}

void target_duty::markDraining(const target_id& target, incarnation incarnationNumber)
{
    if (m_draining.insert_or_assign(target, incarnationNumber).second)
        sendTargets();
}

void target_duty::dropUnlistedMarks()
{
    std::erase_if(m_draining, [this](const auto& entry) {
        return std::none_of(m_targets.begin(), m_targets.end(), [&entry](const auto& row) { return row.routing.id == entry.first && row.routing.incarnation == entry.second; });
    });
}

void target_duty::sendTargets()
{
    m_sentConfig = m_context.inForce;
    target_update message;
    message.rows.reserve(m_targets.size());
    for (const auto& row : m_targets) {
        // Targets of pools that are not configured are ignored.
        if (m_context.inForce->findPool(row.routing.pool) != nullptr)
            message.rows.push_back(routingRow(row));
    }
    m_context.sendToServing(std::move(message));
}

} // namespace lovagerail::daemon
