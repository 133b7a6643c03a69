// Closes the pause between the check of a lease and the send of an order.
//
// A check in user space is worthless if the thread is stopped right after it. The
// guard arms a timer on the monotonic clock that is aimed at the sending thread
// and fires at the end of the right. Its signal is delivered before the thread
// runs any further instruction, however long it was stopped, and the handler
// shuts down the sockets of the order: what wasn't sent by then never is.
//
// Not covered, and left to the wait of the successor: bytes that the kernel has
// taken already (their life is bounded by TCP_USER_TIMEOUT, see orderBytesLive),
// and a machine whose clock stands still as a whole.
#pragma once

#include "error.h"
#include "types.h"

#include <array>
#include <atomic>
#include <csignal>
#include <ctime>
#include <memory>

namespace lovagerail {

// Bytes of an order that aren't acknowledged by then are given up by the kernel.
constexpr std::chrono::milliseconds orderBytesLive { 1500 };

class order_guard {
public:
    // For the calling thread, which must be the one that sends.
    static result<std::unique_ptr<order_guard>> make();
    ~order_guard();
    order_guard(const order_guard&) = delete;
    order_guard& operator=(const order_guard&) = delete;

    // Starts a time in which orders may be sent; false if it is over already.
    bool arm(instant until);
    // The socket is shut down at the end of the time. False if that is now, or if
    // there are too many sockets: don't use it.
    bool adopt(int socket);
    // Before a socket is closed, so that its number may serve another.
    void abandon(int socket);
    void disarm();
    // True once the time is over. A check of a connected and adopted socket needs
    // no lock: if the time ends after the check, the socket is shut down.
    bool over() const { return m_over.load(std::memory_order_relaxed); }

private:
    order_guard() = default;
    static void onSignal(int signal, siginfo_t* info, void* context);
    void end();

    static constexpr std::size_t longestSockets = 8;
    static constexpr int none = -1;

    timer_t m_timer {};
    bool m_made = false;
    std::atomic<bool> m_over { true };
    std::array<std::atomic<int>, longestSockets> m_sockets {};
    static_assert(std::atomic<int>::is_always_lock_free, "used by a signal handler");
};

} // namespace lovagerail
