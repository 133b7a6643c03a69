// Lists of idle connections; see connection_table.h.
#include "http/connection_table.h"

namespace lovagerail::http {

connection_table::connection* connection_table::opened(MHD_Connection* handle, time_point now)
{
    auto* out = new connection;
    out->handle = handle;
    enter(*out, m_fresh, now);
    ++m_size;
    return out;
}

void connection_table::closed(connection* one)
{
    leave(*one);
    delete one;
    --m_size;
}

void connection_table::busy(connection& one)
{
    leave(one);
    ++one.requests;
}

void connection_table::idle(connection& one, time_point now)
{
    if (one.isClosing)
        return;
    leave(one);
    enter(one, m_kept, now);
}

connection_table::connection* connection_table::takeIdle(time_point now, std::chrono::milliseconds patience)
{
    const bool freshIsOld = !m_fresh.empty() && now - m_fresh.front()->idleSince >= patience;
    auto* const from = freshIsOld || m_kept.empty() ? &m_fresh : &m_kept;
    if (from->empty())
        return nullptr;
    auto* out = from->front();
    leave(*out);
    out->isClosing = true;
    return out;
}

void connection_table::leave(connection& one)
{
    if (one.idleIn == nullptr)
        return;
    one.idleIn->erase(one.idleAt);
    one.idleIn = nullptr;
}

void connection_table::enter(connection& one, std::list<connection*>& idleList, time_point now)
{
    one.idleSince = now;
    one.idleIn = &idleList;
    one.idleAt = idleList.insert(idleList.end(), &one);
}

} // namespace lovagerail::http
