// The thread that sends orders to the platform, one at a time. An order is sent only while
// the authority (the lease of the order duty) under which it was decided is valid; this holds
// even if the process is stopped between the check and the send, as order_guard then shuts
// down its socket.
#pragma once

#include "http/client.h"
#include "named_thread.h"
#include "order_guard.h"
#include "ring.h"

#include <atomic>

namespace lovagerail::provider {

struct order_request {
    std::uint64_t id = 0; // chosen by the owner
    std::string url;
    std::string body; // JSON, sent by POST
    instant until {}; // end of the authority; nothing is sent after it
};

struct order_reply {
    std::uint64_t id = 0;
    bool authorityExpired = false; // before the answer was received
    http::answer answer;
};

class order_thread {
public:
    // `owner` is notified of replies.
    order_thread(std::size_t capacity, wakeup& owner);
    ~order_thread();

    // Returns false if the ring is full; nothing is sent then. Owner thread only.
    bool send(order_request wanted) { return m_orders.tryPush(std::move(wanted)); }
    bool tryPop(order_reply& next) { return m_replies.tryPop(next); }

private:
    void run();

    wakeup m_wakeup;
    ring<order_request> m_orders;
    ring<order_reply> m_replies;
    std::atomic<bool> m_stopping { false };
    named_thread m_thread; // last member, so that it starts after the others are initialised
};

// Sends one order on a new connection, guarded by the calling thread's guard.
order_reply sendOrder(order_guard& guard, const order_request& request);

} // namespace lovagerail::provider
