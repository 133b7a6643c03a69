// Records of the software that began a stream; see stream_origins.h.
#include "stream_origins.h"

#include <cstdio>
#include <xxhash.h>

namespace lovagerail {

request_id recordedName(const request_id& stream)
{
    constexpr std::size_t maxHexDigits = 16;
    const auto& name = stream.str();
    if (name.size() <= maxStreamNameBytes)
        return stream;
    const auto hash = XXH3_128bits(name.data(), name.size());
    char text[2 * maxHexDigits + 2];
    std::snprintf(text, sizeof text, "#%016llx%016llx", static_cast<unsigned long long>(hash.high64), static_cast<unsigned long long>(hash.low64));
    return request_id(text);
}

stream_origins::stream_origins(stream_origin_settings settings)
    : m_settings(settings)
{
}

void stream_origins::record(const request_id& stream, const target_software& software, instant now)
{
    dropExpired(now);
    if (!m_records.try_emplace(stream, origin { software, now }).second)
        return;
    m_order.push_back(stream);
    if (m_order.size() <= m_settings.maxRecords)
        return;
    m_records.erase(m_order.front());
    m_order.pop_front();
}

std::optional<target_software> stream_origins::find(const request_id& stream, instant now) const
{
    const auto found = m_records.find(stream);
    if (found == m_records.end() || now - found->second.recordedAt >= m_settings.retention)
        return std::nullopt;
    return found->second.software;
}

void stream_origins::dropExpired(instant now)
{
    while (!m_order.empty() && now - m_records.at(m_order.front()).recordedAt >= m_settings.retention) {
        m_records.erase(m_order.front());
        m_order.pop_front();
    }
}

} // namespace lovagerail
