// Choice between instances and the store; see view_source.h.
#include "view_source.h"

namespace lovagerail {

void view_source::setSources(std::vector<std::string> sources, bool isReader, instant now)
{
    m_isReader = isReader;
    if (sources == m_sources)
        return;
    m_sources = std::move(sources);
    m_current = 0;
    m_anyAnswered = false;
    m_trialUntil = now + m_settings.trialTime;
    if (isReader && !m_hasCopy) {
        m_storeUntil = now + m_settings.firstStoreTime;
        m_trialUntil = m_storeUntil + m_settings.trialTime;
    }
}

void view_source::update(bool isStale, bool hasCopy, instant now)
{
    m_hasCopy = hasCopy;
    if (readsStore(now))
        return;
    if (isStale && now >= m_trialUntil)
        advance(now);
    else if (!isStale && m_current > 0 && now >= m_returnAt)
        m_current = 0;
}

// Without a copy the source is asked again until its trial ends: when all instances start at
// once, it may not listen yet.
void view_source::onSilence(instant now)
{
    if (m_hasCopy && !m_sources.empty())
        advance(now);
}

void view_source::advance(instant now)
{
    m_trialUntil = now + m_settings.trialTime;
    m_returnAt = now + m_settings.detourTime;
    if (++m_current < m_sources.size())
        return;
    m_current = 0;
    if (m_isReader || !m_anyAnswered || !m_hasCopy)
        m_storeUntil = now + m_settings.storeReadTime;
    else
        m_trialUntil = now + m_settings.roundPause;
    m_anyAnswered = false;
}

} // namespace lovagerail
