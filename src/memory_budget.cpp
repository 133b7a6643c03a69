// Claims against the memory limits of a process; see memory_budget.h.
#include "memory_budget.h"

#include <algorithm>
#include <cassert>

namespace lovagerail {

// What all holdings may reach together by a claim for this use.
byte_count memory_budget::totalFor(memory_use use) const
{
    const bool leavesShare = use == memory_use::Large || use == memory_use::Batch;
    return leavesShare ? m_limits.total - m_limits.keptForOrdinary : m_limits.total;
}

bool memory_budget::fits(memory_use use, byte_count bytes) const
{
    if (usedBy(use) + bytes > m_limits.of(use))
        return false;
    return use == memory_use::Own || m_used + bytes <= totalFor(use);
}

bool memory_budget::claim(memory_use use, byte_count bytes)
{
    if (!fits(use, bytes))
        return false;
    charge(use, bytes);
    return true;
}

void memory_budget::charge(memory_use use, byte_count bytes)
{
    if (use != memory_use::Own)
        m_used += bytes;
    m_usedBy[static_cast<std::size_t>(use)] += bytes;
}

void memory_budget::release(memory_use use, byte_count bytes)
{
    assert(usedBy(use) >= bytes);
    if (use != memory_use::Own)
        m_used -= bytes;
    m_usedBy[static_cast<std::size_t>(use)] -= bytes;
}

bool memory_budget::mayEverFit(memory_use use, byte_count bytes) const
{
    return bytes <= std::min(totalFor(use), m_limits.of(use));
}

} // namespace lovagerail
