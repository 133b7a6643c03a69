// A thread that runs an HTTP `client` for one owner thread: requests come in through one ring
// buffer, events go out through another. While the event ring is full, no sockets are read,
// so a slow owner causes backpressure on the peers and no event is lost.
#pragma once

#include "http/client.h"
#include "named_thread.h"
#include "ring.h"

#include <atomic>
#include <cstdint>
#include <string>
#include <variant>

namespace lovagerail::http {

class worker {
public:
    // `owner` is notified of new events.
    worker(const std::string& name, std::size_t capacity, wakeup& owner);
    ~worker();

    // Returns false if the ring is full; nothing is sent then. Owner thread only.
    bool start(request outgoing);
    // Events of this request that are already in the ring still arrive; the owner drops them.
    bool cancel(std::uint64_t id);
    bool tryPop(event& next) { return m_events.tryPop(next); }

private:
    struct cancellation {
        std::uint64_t id = 0;
    };
    using command = std::variant<cancellation, request>;

    void run();

    wakeup m_wakeup;
    ring<command> m_commands;
    ring<event> m_events;
    std::atomic<bool> m_stopping { false };
    named_thread m_thread; // last member, so that it starts after the others are initialised
};

} // namespace lovagerail::http
