// Bookkeeping of connections to targets; see connection_pool_view.h.
#include "connection_pool_view.h"

#include <algorithm>
#include <cassert>

namespace lovagerail {

std::string_view toString(connection_cause cause)
{
    switch (cause) {
    case connection_cause::FirstUse:
        return "first_use";
    case connection_cause::ClosedByTarget:
        return "closed_by_target";
    case connection_cause::Cancelled:
        return "cancelled";
    case connection_cause::ReuseForbidden:
        return "reuse_forbidden";
    case connection_cause::AllBusy:
        return "all_busy";
    case connection_cause::Count:
        break;
    }
    return "unknown";
}

connection_pool_view::slot_connections& connection_pool_view::at(target_slot slot)
{
    if (slot.value() >= m_slots.size())
        m_slots.resize(slot.value() + 1);
    return m_slots[slot.value()];
}

void connection_pool_view::reset(target_slot slot)
{
    for (const auto& one : at(slot).open) {
        if (one.user)
            m_users.erase(*one.user);
    }
    at(slot) = {};
    m_withIdle.erase(slot);
}

void connection_pool_view::expire(slot_connections& slot, instant now)
{
    slot.closedByTarget += std::erase_if(slot.open, [now](const connection& one) { return !one.user && now >= one.openUntil; });
}

void connection_pool_view::updateIndex(target_slot slot)
{
    const auto& open = at(slot).open;
    if (std::any_of(open.begin(), open.end(), [](const connection& one) { return !one.user; }))
        m_withIdle.insert(slot);
    else
        m_withIdle.erase(slot);
}

// The loss that explains a new connection; counts it as explained.
connection_cause connection_pool_view::takeCause(slot_connections& slot)
{
    if (slot.cancelled > 0) {
        --slot.cancelled;
        return connection_cause::Cancelled;
    }
    if (slot.closedByTarget > 0) {
        --slot.closedByTarget;
        return connection_cause::ClosedByTarget;
    }
    return slot.used ? connection_cause::AllBusy : connection_cause::FirstUse;
}

connection_cause connection_pool_view::opened(std::uint64_t request, target_slot slot, bool reuseForbidden, instant now)
{
    ended(request, { connection_end::kind::Closed, {} }, now);
    auto& state = at(slot);
    expire(state, now);
    auto cause = connection_cause::ReuseForbidden;
    if (!reuseForbidden) {
        // The HTTP client would have used an idle connection if one were still open.
        state.closedByTarget += std::erase_if(state.open, [](const connection& one) { return !one.user; });
        cause = takeCause(state);
    }
    state.used = true;
    state.open.push_back({ request, {} });
    m_users.emplace(request, slot);
    updateIndex(slot);
    ++m_counts.opened[static_cast<std::size_t>(cause)];
    return cause;
}

void connection_pool_view::reused(std::uint64_t request, target_slot slot, instant now)
{
    ended(request, { connection_end::kind::Closed, {} }, now);
    auto& state = at(slot);
    const auto idle = std::find_if(state.open.begin(), state.open.end(), [now](const connection& one) { return !one.user && now < one.openUntil; });
    const auto expired = std::find_if(state.open.begin(), state.open.end(), [](const connection& one) { return !one.user; });
    const auto busy = std::find_if(state.open.begin(), state.open.end(), [](const connection& one) { return one.user.has_value(); });
    ++m_counts.reused;
    state.used = true;
    m_users.emplace(request, slot);
    if (idle != state.open.end())
        idle->user = request;
    else if (expired != state.open.end())
        expired->user = request; // the target keeps it open for longer than it stated
    else if (busy != state.open.end()) {
        // The client hands a connection on before it reports the end of the request before.
        m_users.erase(*busy->user);
        busy->user = request;
    } else
        state.open.push_back({ request, {} });
    updateIndex(slot);
}

void connection_pool_view::ended(std::uint64_t request, connection_end end, instant now)
{
    const auto found = m_users.find(request);
    if (found == m_users.end())
        return;
    const auto slot = found->second;
    m_users.erase(found);
    auto& state = at(slot);
    const auto used = std::find_if(state.open.begin(), state.open.end(), [request](const connection& one) { return one.user == request; });
    assert(used != state.open.end());
    if (end.what == connection_end::kind::Kept) {
        used->user.reset();
        used->openUntil = now + end.keptFor.value_or(m_settings.defaultKept) - m_settings.expiryMargin;
    } else {
        state.open.erase(used);
        ++(end.what == connection_end::kind::Cancelled ? state.cancelled : state.closedByTarget);
    }
    expire(state, now);
    updateIndex(slot);
}

void connection_pool_view::tick(instant now)
{
    const auto slots = m_withIdle;
    for (const auto slot : slots) {
        expire(at(slot), now);
        updateIndex(slot);
    }
}

std::size_t connection_pool_view::idle(target_slot slot, instant now) const
{
    if (slot.value() >= m_slots.size())
        return 0;
    const auto& open = m_slots[slot.value()].open;
    return static_cast<std::size_t>(std::count_if(open.begin(), open.end(), [now](const connection& one) { return !one.user && now < one.openUntil; }));
}

std::size_t connection_pool_view::inUse(target_slot slot) const
{
    if (slot.value() >= m_slots.size())
        return 0;
    const auto& open = m_slots[slot.value()].open;
    return static_cast<std::size_t>(std::count_if(open.begin(), open.end(), [](const connection& one) { return one.user.has_value(); }));
}

} // namespace lovagerail
