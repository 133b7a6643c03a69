// Tracks the orders of each place and plans new ones; see capacity_orders.h.
#include "capacity_orders.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace lovagerail {

void capacity_orders::observe(demand_sample sample, instant now)
{
    if (sample.queued <= 0 || !m_lastWithoutQueue)
        m_lastWithoutQueue = now;
    if (now - *m_lastWithoutQueue < m_settings.startUp)
        sample.queued = 0;
    m_planner.observe(sample, now);
}

void capacity_orders::updateTargets(std::vector<capacity_target> targets, instant now)
{
    std::map<capacity_place, std::uint32_t, by_place> counts;
    for (const auto& target : targets)
        ++counts[{ target.kind, target.failureDomain }];
    m_targets = std::move(targets);
    for (const auto& [place, count] : counts)
        m_places[place];
    for (auto& [place, state] : m_places) {
        const auto found = counts.find(place);
        const auto listed = found == counts.end() ? 0 : found->second;
        if (listed < state.listed)
            state.changedAt = now;
        state.listed = listed;
        // By now ordered targets have started or won't. The number listed may also differ
        // from the order because targets were started or stopped by someone else.
        if (now - state.changedAt >= m_settings.startUp * m_settings.overdueFactor)
            state.wanted = listed;
    }
}

std::uint32_t capacity_orders::wanted(const capacity_place& where) const
{
    const auto found = m_places.find(where);
    return found == m_places.end() ? 0 : found->second.wanted;
}

std::uint32_t capacity_orders::wantedInDomain(const failure_domain_id& domain) const
{
    return wanted({ supply_kind::Firm, domain }) + wanted({ supply_kind::Cheap, domain });
}

capacity_view capacity_orders::view(instant now) const
{
    capacity_view out;
    std::copy_if(m_targets.begin(), m_targets.end(), std::back_inserter(out.targets), [this](const capacity_target& target) { return !m_excluded.contains(target.failureDomain); });
    for (const auto& [place, state] : m_places) {
        if (m_excluded.contains(place.failureDomain)) {
            for (const auto kind : { supply_kind::Firm, supply_kind::Cheap })
                out.backedOff.push_back({ kind, place.failureDomain });
            continue;
        }
        if (state.wanted > state.listed)
            out.starting.insert(out.starting.end(), state.wanted - state.listed, place);
        for (const auto kind : { supply_kind::Firm, supply_kind::Cheap }) {
            const capacity_place candidate { kind, place.failureDomain };
            const auto found = m_places.find(candidate);
            const bool unavailable = found != m_places.end() && now < found->second.backedOffUntil;
            if (unavailable || wantedInDomain(place.failureDomain) >= m_settings.maxPerDomain)
                out.backedOff.push_back(candidate);
        }
    }
    return out;
}

void capacity_orders::addOrder(const capacity_place& where, std::uint32_t count, std::string reason, std::vector<place_order>& out, instant now)
{
    auto& place = m_places[where];
    place.wanted = count;
    place.changedAt = now;
    place.inFlight = true;
    place.repeatAt.reset();
    out.push_back({ where, count, std::move(reason) });
}

std::vector<place_order> capacity_orders::plan(target_pool pool, instant now)
{
    std::vector<place_order> out;
    // Step 1. Repeat orders of unknown outcome unchanged, unless targets started by someone
    // else have filled the failure domain meanwhile.
    for (auto& [place, state] : m_places) {
        if (!state.repeatAt || now < *state.repeatAt)
            continue;
        if (m_excluded.contains(place.failureDomain)) {
            state.repeatAt.reset();
            state.wanted = state.listed;
            continue;
        }
        if (wantedInDomain(place.failureDomain) <= m_settings.maxPerDomain)
            addOrder(place, state.wanted, "outcome unknown", out, now);
        else {
            state.repeatAt.reset();
            state.wanted = state.listed;
        }
    }

    // Step 2. Plan within the platform's bounds for a failure domain.
    std::set<failure_domain_id> domains;
    for (const auto& [place, state] : m_places) {
        if (!m_excluded.contains(place.failureDomain))
            domains.insert(place.failureDomain);
    }
    pool.failureDomains.assign(domains.begin(), domains.end());
    pool.floor = m_settings.minPerDomain * static_cast<std::uint32_t>(domains.size());
    pool.ceiling = m_settings.maxPerDomain * static_cast<std::uint32_t>(domains.size());
    const auto planned = m_planner.plan(pool, view(now), now);

    // Step 3. Combine the planned starts or the stop into one desired number for each place.
    std::map<capacity_place, std::uint32_t, by_place> counts;
    std::map<capacity_place, std::string, by_place> reasons;
    for (const auto& start : planned.starts) {
        auto domainCount = wantedInDomain(start.where.failureDomain);
        for (const auto& [place, count] : counts) {
            if (place.failureDomain == start.where.failureDomain)
                domainCount += count - wanted(place);
        }
        if (domainCount >= m_settings.maxPerDomain)
            continue;
        const auto added = counts.try_emplace(start.where, wanted(start.where)).first;
        ++added->second;
        reasons[start.where] = start.reason;
    }
    if (planned.stop) {
        const auto target = std::find_if(m_targets.begin(), m_targets.end(), [&](const capacity_target& candidate) { return candidate.id == planned.stop->target; });
        const capacity_place place { target->kind, target->failureDomain };
        if (counts.empty() && wanted(place) > 0 && wantedInDomain(place.failureDomain) > m_settings.minPerDomain) {
            counts[place] = wanted(place) - 1;
            reasons[place] = planned.stop->reason;
        }
    }
    for (const auto& [place, count] : counts) {
        if (!m_places[place].inFlight)
            addOrder(place, count, reasons[place], out, now);
    }
    return out;
}

void capacity_orders::onOrderResult(const capacity_place& where, place_outcome outcome, instant now)
{
    const auto found = m_places.find(where);
    if (found == m_places.end())
        return;
    auto& place = found->second;
    place.inFlight = false;
    if (outcome == place_outcome::NoCapacity) {
        place.wanted = place.listed;
        place.backedOffUntil = now + m_settings.noCapacityBackoff;
    } else if (outcome == place_outcome::AnswerLost)
        place.repeatAt = now + m_settings.repeatDelay;
}

} // namespace lovagerail
