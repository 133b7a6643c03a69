// The thread that sends orders to the platform, one at a time, each within the
// right under which it was decided: a stopped process sends nothing afterwards.
#pragma once

#include "http/client.h"
#include "named_thread.h"
#include "order_guard.h"
#include "ring.h"

#include <atomic>

namespace lovagerail::provider {

struct order_send {
    std::uint64_t id = 0; // chosen by the owner
    std::string url;
    std::string body; // JSON, sent by POST
    instant until {}; // end of the right; nothing is sent after it
};

struct order_reply {
    std::uint64_t id = 0;
    bool cutOff = false; // the right ended before the answer came
    http::answer answer;
};

class order_thread {
public:
    // `owner` is notified of replies.
    order_thread(std::size_t capacity, wakeup& owner);
    ~order_thread();

    // False if the ring is full: nothing was sent. For the owner's thread alone.
    bool send(order_send wanted) { return m_orders.tryPush(std::move(wanted)); }
    bool tryPop(order_reply& next) { return m_replies.tryPop(next); }

private:
    void run();

    wakeup m_wakeup;
    ring<order_send> m_orders;
    ring<order_reply> m_replies;
    std::atomic<bool> m_stopping { false };
    named_thread m_thread; // last, so that it starts on whole members
};

// Sends one order on a connection of its own under the guard of this thread.
order_reply sendOrder(order_guard& guard, const order_send& wanted);

} // namespace lovagerail::provider
