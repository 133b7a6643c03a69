// The open connections of a server, and which of them to close when there is room for no more:
// one without an open request, first those that never sent one.
#pragma once

#include "http/memory_account.h"

#include <chrono>
#include <cstddef>
#include <list>

struct MHD_Connection;

namespace lovagerail::http {

class connection_table {
public:
    using time_point = std::chrono::steady_clock::time_point;
    struct connection {
        MHD_Connection* handle = nullptr;
        std::size_t requests = 0; // so far
        time_point idleSince;
        bool isClosing = false; // chosen by takeIdle()
        memory_claim memory;
        std::list<connection*>* idleIn = nullptr; // the list that it is in; null while it has a request or closes
        std::list<connection*>::iterator idleAt;
    };

    // The new connection, owned by the caller until it is passed to closed().
    connection* opened(MHD_Connection* handle, time_point now);
    void closed(connection* one);
    // A request begins or has ended on it.
    void busy(connection& one);
    void idle(connection& one, time_point now);
    // Takes the connection to close; null if all have requests. One that has sent no request has been open for
    // `patience` at least, unless no other is left.
    connection* takeIdle(time_point now, std::chrono::milliseconds patience);
    std::size_t size() const { return m_size; }

private:
    static void leave(connection& one);
    static void enter(connection& one, std::list<connection*>& idleList, time_point now);

    std::size_t m_size = 0;
    std::list<connection*> m_fresh; // that never had a request, the oldest first
    std::list<connection*> m_kept; // the longest idle first
};

} // namespace lovagerail::http
