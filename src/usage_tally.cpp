// Request counts per window, and merging of copies.
#include "usage_tally.h"

#include <algorithm>

namespace lovagerail {

void usage_tally::dropOld()
{
    while (m_counts.size() > m_kept)
        m_counts.erase(m_counts.begin());
}

void usage_tally::count(const client_account_id& account, wall_time began)
{
    ++m_counts[windowAt(began)][m_self][account];
    dropOld();
}

void usage_tally::mergeCounts(std::uint64_t window, const usage_by_origin& more)
{
    mergeUsage(m_counts[window], more);
    dropOld();
}

usage_by_origin usage_tally::countsOf(std::uint64_t window) const
{
    const auto found = m_counts.find(window);
    return found == m_counts.end() ? usage_by_origin() : found->second;
}

usage_by_origin usage_tally::ownCounts(std::uint64_t window) const
{
    usage_by_origin out;
    const auto found = m_counts.find(window);
    if (found == m_counts.end())
        return out;
    const auto ownEntry = found->second.find(m_self);
    if (ownEntry != found->second.end())
        out.insert(*ownEntry);
    return out;
}

std::set<std::uint64_t> usage_tally::since(wall_time at) const
{
    std::set<std::uint64_t> out;
    for (const auto& [window, counts] : m_counts) {
        if (endOf(window) > at)
            out.insert(window);
    }
    return out;
}

void mergeUsage(usage_by_origin& into, const usage_by_origin& more)
{
    for (const auto& [origin, counts] : more) {
        auto& merged = into[origin];
        for (const auto& [account, count] : counts)
            merged[account] = std::max(merged[account], count);
    }
}

usage_counts sumOf(const usage_by_origin& counts)
{
    usage_counts out;
    for (const auto& [origin, accountCounts] : counts) {
        for (const auto& [account, count] : accountCounts)
            out[account] += count;
    }
    return out;
}

} // namespace lovagerail
