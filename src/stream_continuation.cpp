// The events of a stream that were passed on; see stream_continuation.h.
#include "stream_continuation.h"

namespace lovagerail {

event_order passed_events::add(std::optional<std::uint64_t> id, event_digest digest)
{
    const auto isSame = [&](std::uint64_t earlier) {
        const auto distance = *m_last - earlier;
        return distance < m_digests.size() && m_digests[m_digests.size() - 1 - distance] == digest;
    };
    const auto order = orderOf(m_last, id, isSame);
    if (order == event_order::Next) {
        m_last = id;
        m_digests.push_back(digest);
    }
    return order;
}

} // namespace lovagerail
