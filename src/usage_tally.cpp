// Counting by window.
#include "usage_tally.h"

namespace lovagerail {

void usage_tally::count(const client_account_id& account, wall_time began)
{
    ++m_counts[windowAt(began)][account];
    while (m_counts.size() > m_kept)
        m_counts.erase(m_counts.begin());
}

usage_counts usage_tally::of(std::uint64_t window) const
{
    const auto found = m_counts.find(window);
    return found == m_counts.end() ? usage_counts() : found->second;
}

void addCounts(usage_counts& sum, const usage_counts& more)
{
    for (const auto& [account, count] : more)
        sum[account] += count;
}

} // namespace lovagerail
