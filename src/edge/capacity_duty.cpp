// Collects demand and running targets of each service, lets capacity_orders plan, and
// sends its orders to the platform under the duty's fencing number.
#include "edge/capacity_duty.h"

#include "log.h"
#include "platform/duty_codec.h"

#include <algorithm>

namespace lovagerail::edge {

namespace {

    constexpr duration planPeriod = std::chrono::milliseconds(500);
    // After this time a new holder has demand reports of all instances.
    constexpr duration termSettleTime = std::chrono::milliseconds(1500);
    constexpr std::chrono::milliseconds orderTimeout { 1500 };
    constexpr std::chrono::milliseconds orderConnectTimeout { 400 };
    // Idle targets are released after this multiple of their start-up time: if one is needed
    // again sooner, waiting for its start costs more than releasing it saved.
    constexpr std::int32_t idleStartUpMultiple = 15;
    constexpr duration minStartUp = std::chrono::seconds(1);
    constexpr std::uint32_t defaultSlots = 8; // for services whose configuration has no slot count

    place_outcome placeOutcomeOf(platform::duty_answer answer)
    {
        switch (answer) {
        case platform::duty_answer::Accepted:
        case platform::duty_answer::AlreadyDone:
            return place_outcome::Taken;
            // No capacity there, the order was refused, or a newer holder of the duty exists: order
            // nothing there for now.
        case platform::duty_answer::Busy:
        case platform::duty_answer::Superseded:
        case platform::duty_answer::Refused:
            return place_outcome::NoCapacity;
        case platform::duty_answer::NotNow:
        case platform::duty_answer::Unknown:
            return place_outcome::AnswerLost;
        }
        return place_outcome::AnswerLost;
    }

} // namespace

capacity_duty::capacity_duty(context& shared, members& membership, const platform_view& platformView, const demand_reports& demand)
    : m_context(shared)
    , m_members(membership)
    , m_platformView(platformView)
    , m_demand(demand)
{
}

capacity_orders& capacity_duty::ordersFor(const site_service& service)
{
    const auto found = m_orders.find(service.id);
    if (found != m_orders.end())
        return found->second;
    capacity_order_settings bounds;
    bounds.startUp = std::max(service.startUp, minStartUp);
    bounds.minPerDomain = service.minTargets;
    bounds.maxPerDomain = service.maxTargets;
    capacity_settings planning;
    planning.idleTime = bounds.startUp * idleStartUpMultiple;
    return m_orders.emplace(service.id, capacity_orders(bounds, planning)).first->second;
}

std::vector<capacity_target> capacity_duty::targetsOf(const service_id& service) const
{
    std::vector<capacity_target> out;
    for (const auto& entry : m_platformView.targets()) {
        if (entry.service != service || entry.listed.state != target_state::Live)
            continue;
        capacity_target target;
        target.id = entry.listed.id;
        target.kind = entry.listed.supply;
        target.failureDomain = entry.listed.failureDomain;
        target.state = entry.listed.state;
        if (const auto slot = m_context.targets.table().find(target.id)) {
            const auto load = m_context.targets.load().view(*slot, m_context.now);
            target.open = load.ownRequests + load.otherRequests;
        }
        out.push_back(std::move(target));
    }
    return out;
}

demand_sample capacity_duty::demandOf(const site_service& service) const
{
    demand_sample out;
    for (const auto& demand : m_demand.all()) {
        if (demand.service != service.id)
            continue;
        out.open += static_cast<double>(demand.running);
        out.queued += static_cast<double>(demand.queued);
    }
    // Work that can be resumed or retried on another target may run on preemptible ones.
    out.cheapShare = isResumable(service.id) ? 1 : 0;
    out.perTarget = service.slots == 0 ? defaultSlots : service.slots;
    return out;
}

bool capacity_duty::isResumable(const service_id& service) const
{
    return std::all_of(m_context.site->routes.begin(), m_context.site->routes.end(), [&service](const site_route& route) {
        const bool usesService = std::any_of(route.services.begin(), route.services.end(), [&service](const weighted_service& weightedService) { return weightedService.service == service; });
        return !usesService || route.kind == route_kind::Batch || route.idempotent();
    });
}

void capacity_duty::tick()
{
    const auto heldDuty = m_members.holds(targetsDuty);
    if (!heldDuty || m_context.settings.duties.address.empty()) {
        m_term.reset();
        return;
    }
    if (m_term != heldDuty->fencing) {
        m_term = heldDuty->fencing;
        m_termStart = m_context.now;
        m_orders.clear();
    }
    if (m_context.now < m_nextPlan || m_context.now < m_termStart + termSettleTime || !m_context.site || !m_platformView.targetsKnown())
        return;
    m_nextPlan = m_context.now + planPeriod;
    for (const auto& [id, service] : m_context.site->services) {
        if (service.maxTargets == 0)
            continue;
        auto& orders = ordersFor(service);
        orders.setExcluded(m_platformView.evacuated());
        orders.updateTargets(targetsOf(id), m_context.now);
        orders.observe(demandOf(service), m_context.now);
        target_pool pool;
        pool.meta.name = id.str();
        pool.allowCheap = service.spotPrice < 1;
        pool.startUpS = static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::seconds>(service.startUp).count());
        for (const auto& order : orders.plan(std::move(pool), m_context.now))
            send(service, order);
    }
}

void capacity_duty::send(const site_service& service, const place_order& order)
{
    const auto heldDuty = m_members.holds(targetsDuty);
    const platform::duty_proof proof { instance_id(m_context.settings.instance.name), heldDuty ? heldDuty->fencing : fencing_number() };
    if (!heldDuty) {
        m_orders.at(service.id).onOrderResult(order.where, place_outcome::AnswerLost, m_context.now);
        return;
    }
    const bool spot = order.where.kind == supply_kind::Cheap;
    auto request = platform::encodeCapacity(m_context.settings.duties.address, proof, { service.id.str(), order.where.failureDomain, order.count, spot });
    request.connectTimeout = orderConnectTimeout;
    request.totalTimeout = m_members.callTimeout(*heldDuty, orderTimeout);
    request.maxBodyBytes = http::maxDocumentBytes;
    m_context.net.call(std::move(request), [this, id = service.id, order, term = heldDuty->fencing](const http::answer& answer) {
        logEvent(log_level::Info, "capacity", "ordered",
            { { "service", id.str() }, { "failure_domain", order.where.failureDomain.str() }, { "spot", order.where.kind == supply_kind::Cheap ? "1" : "0" },
                { "count", std::to_string(order.count) }, { "reason", order.reason }, { "status", std::to_string(answer.status) } });
        const auto orders = m_orders.find(id);
        if (m_term == term && orders != m_orders.end())
            orders->second.onOrderResult(order.where, placeOutcomeOf(platform::decodeDutyAnswer(answer)), m_context.now);
    });
}

} // namespace lovagerail::edge
