// Polls the sockets of idle connections; see idle_connections.h.
#include "http/idle_connections.h"

#include <poll.h>
#include <sys/socket.h>
#include <vector>

namespace lovagerail::http {

void idle_connections::used(const connection_name& name, int socket)
{
    if (socket >= 0)
        m_connections[name] = { socket, 1 };
    else if (const auto found = m_connections.find(name); found != m_connections.end())
        ++found->second.requests;
}

void idle_connections::released(const connection_name& name)
{
    if (const auto found = m_connections.find(name); found != m_connections.end() && found->second.requests > 0)
        --found->second.requests;
}

void idle_connections::closed(int socket)
{
    std::erase_if(m_connections, [socket](const auto& entry) { return entry.second.socket == socket; });
}

std::size_t idle_connections::shutDownUnexpected()
{
    std::vector<pollfd> idle;
    for (const auto& [name, one] : m_connections) {
        if (one.requests == 0)
            idle.push_back({ one.socket, POLLIN, 0 });
    }
    std::size_t unexpected = 0;
    if (idle.empty() || ::poll(idle.data(), idle.size(), 0) <= 0)
        return unexpected;
    for (const auto& one : idle) {
        if (one.revents == 0)
            continue;
        ++unexpected;
        ::shutdown(one.fd, SHUT_RDWR);
    }
    return unexpected;
}

} // namespace lovagerail::http
