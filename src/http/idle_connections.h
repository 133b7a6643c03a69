// Kept connections of the HTTP client that no request uses. Over HTTP/1 a peer has nothing to say on them, so
// bytes that arrive there belong to no answer. libcurl would use such a connection again and take the bytes
// for the answer to the next request; here it is shut down, and libcurl closes it as a dead one.
#pragma once

#include <compare>
#include <cstddef>
#include <map>
#include <string>

namespace lovagerail::http {

// Tells apart the connections that are open at one time.
struct connection_name {
    std::string peerIp;
    int peerPort = 0;
    int ownPort = 0;

    friend auto operator<=>(const connection_name&, const connection_name&) = default;
};

class idle_connections {
public:
    // A request uses the connection; `socket` is that of a new connection, else -1.
    void used(const connection_name& name, int socket);
    // The request has ended; the connection may have been closed by then.
    void released(const connection_name& name);
    void closed(int socket);
    // Shuts down the idle connections on which something has arrived, and returns how many.
    std::size_t shutDownUnexpected();

private:
    struct connection {
        int socket = -1;
        std::size_t requests = 0; // that use it; idle if 0
    };

    std::map<connection_name, connection> m_connections;
};

} // namespace lovagerail::http
