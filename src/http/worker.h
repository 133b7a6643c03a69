// A thread that drives a `client` for one decision thread: requests in by one
// ring, events out by another. A full event ring stops the reading of sockets,
// so a slow owner is felt by the peers and nothing is lost.
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

    // False if the ring is full: nothing was sent. For the owner's thread alone.
    bool start(request wanted);
    // Events of this request may still come from the ring; the owner drops them.
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
    named_thread m_thread; // last, so that it starts on whole members
};

} // namespace lovagerail::http
