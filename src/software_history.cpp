// Keeps the software versions that were listed lately; see software_history.h.
#include "software_history.h"

#include <algorithm>

namespace lovagerail {

software_history::software_history(software_history_settings settings)
    : m_settings(settings)
{
}

void software_history::observe(const std::set<target_software>& listed, instant provenAt, instant now)
{
    if (!m_provenAt || provenAt - *m_provenAt > m_settings.maxGap) {
        m_followedSince = now;
        m_restored = false;
    }
    m_provenAt = m_provenAt ? std::max(*m_provenAt, provenAt) : provenAt;
    for (const auto& software : listed)
        m_lastSeen[software] = now;
    std::erase_if(m_lastSeen, [&](const auto& row) { return now - row.second >= m_settings.retention; });
}

void software_history::restore(const std::set<target_software>& recorded, instant now)
{
    for (const auto& software : recorded)
        m_lastSeen[software] = now;
    m_restored = m_provenAt.has_value();
}

bool software_history::isComplete(instant now) const
{
    return m_provenAt && (m_restored || now - m_followedSince >= m_settings.retention);
}

std::set<target_software> software_history::lately(instant now) const
{
    std::set<target_software> out;
    for (const auto& [software, seenAt] : m_lastSeen) {
        if (now - seenAt < m_settings.retention)
            out.insert(software);
    }
    return out;
}

software_history::answer software_history::onlySoftware(const std::set<pool_id>& pools, instant since, instant now) const
{
    if (!m_provenAt || *m_provenAt < since)
        return { verdict::Unproven };
    if (!isComplete(now))
        return { verdict::Incomplete };
    std::optional<target_software> found;
    for (const auto& software : lately(now)) {
        if (!pools.contains(software.pool))
            continue;
        if (found)
            return { verdict::Ambiguous };
        found = software;
    }
    return found ? answer { verdict::Found, *found } : answer { verdict::Ambiguous };
}

} // namespace lovagerail
