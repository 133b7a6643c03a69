// Requests in force and the times of reads; see evacuations.h.
#include "evacuations.h"

#include <algorithm>
#include <iterator>

namespace lovagerail {

namespace {

    // Shares of the bound. A read every third of it leaves time for one failed read. A copy that is
    // stale leaves time to try the other sources and the store.
    constexpr double readShare = 0.3;
    constexpr double staleShare = 0.55;
    constexpr double readerStaleShare = 0.45;

    duration shareOf(duration bound, double share) { return std::chrono::duration_cast<duration>(bound * share); }

} // namespace

duration evacuations::readPeriod() const { return shareOf(m_bound, readShare); }

bool evacuations::isStale(duration age, bool isReader) const
{
    return enabled() && !m_sourceLacks && age > shareOf(m_bound, isReader ? readerStaleShare : staleShare);
}

evacuation_changes evacuations::setRequests(std::vector<evacuation_request> requests)
{
    m_requests = std::move(requests);
    return update();
}

evacuation_changes evacuations::setDomains(std::set<failure_domain_id> domains)
{
    if (domains == m_domains)
        return {};
    m_domains = std::move(domains);
    return update();
}

evacuation_changes evacuations::update()
{
    evacuation_changes out;
    std::set<failure_domain_id> inForce;
    std::vector<evacuation_request> ignored;
    for (const auto& request : m_requests) {
        if (request.domain && m_domains.contains(*request.domain))
            inForce.insert(*request.domain);
        else
            ignored.push_back(request);
    }
    std::set_difference(inForce.begin(), inForce.end(), m_inForce.begin(), m_inForce.end(), std::back_inserter(out.began));
    std::set_difference(m_inForce.begin(), m_inForce.end(), inForce.begin(), inForce.end(), std::back_inserter(out.ended));
    std::copy_if(ignored.begin(), ignored.end(), std::back_inserter(out.ignored), [this](const evacuation_request& request) { return std::find(m_ignored.begin(), m_ignored.end(), request) == m_ignored.end(); });
    m_inForce = std::move(inForce);
    m_ignored = std::move(ignored);
    return out;
}

} // namespace lovagerail
