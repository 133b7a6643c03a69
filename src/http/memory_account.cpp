// Changes of a claim; see memory_account.h.
#include "http/memory_account.h"

#include <algorithm>

namespace lovagerail::http {

bool memory_claim::resize(memory_use use, std::size_t bytes)
{
    if (!m_account) {
        m_bytes = bytes;
        return true;
    }
    // Within one use only the difference is claimed; a change of use needs both for a moment.
    const bool sameUse = use == m_use;
    const std::size_t more = sameUse ? bytes - std::min(bytes, m_bytes) : bytes;
    if (more > 0 && !m_account->claim(use, more))
        return false;
    const std::size_t less = sameUse ? m_bytes - std::min(bytes, m_bytes) : m_bytes;
    if (less > 0)
        m_account->release(m_use, less);
    m_use = use;
    m_bytes = bytes;
    return true;
}

void memory_claim::force(memory_use use, std::size_t bytes)
{
    if (resize(use, bytes))
        return;
    reset();
    m_account->charge(use, bytes);
    m_use = use;
    m_bytes = bytes;
}

void memory_claim::reset()
{
    if (m_account && m_bytes > 0)
        m_account->release(m_use, m_bytes);
    m_bytes = 0;
}

} // namespace lovagerail::http
