// Prevents an order from being sent after its lease expired, even if the process is
// paused between the check of the lease and the send.
//
// A check in user space doesn't suffice: the thread may be stopped right after it. So the
// guard arms a timer on the monotonic clock that signals the sending thread when the
// lease expires. The signal is delivered before the thread runs any further
// instruction, however long it was stopped, and the handler shuts down the order's
// sockets: bytes not sent by then are never sent.
//
// Two cases aren't covered; for them the successor waits before its first order: bytes
// already handed to the kernel (bounded by TCP_USER_TIMEOUT, see unackedOrderTimeout), and a
// machine whose clock stands still as a whole.
#pragma once

#include "error.h"
#include "types.h"

#include <array>
#include <atomic>
#include <csignal>
#include <ctime>
#include <memory>

namespace lovagerail {

// The kernel drops bytes of an order that aren't acknowledged within this time.
constexpr std::chrono::milliseconds unackedOrderTimeout { 1500 };

class order_guard {
public:
    // For the calling thread, which must be the one that sends.
    static result<std::unique_ptr<order_guard>> make();
    ~order_guard();
    order_guard(const order_guard&) = delete;
    order_guard& operator=(const order_guard&) = delete;

    // Starts a period in which orders may be sent; false if it has ended already.
    bool arm(instant until);
    // Registers a socket that is shut down when the period ends. If false, the period has
    // ended or too many sockets are registered: don't use the socket.
    bool registerSocket(int socket);
    // Unregisters a socket. To be called before it is closed, since its number may be
    // reused for another socket.
    void unregisterSocket(int socket);
    void disarm();
    // True once the period has ended. For a connected and registered socket this check
    // needs no lock: if the period ends after the check, the socket is shut down.
    bool isExpired() const { return m_expired.load(std::memory_order_relaxed); }

private:
    order_guard() = default;
    static void onSignal(int signal, siginfo_t* info, void* context);
    void expire();

    static constexpr std::size_t maxSockets = 8;
    static constexpr int noSocket = -1;

    timer_t m_timer {};
    bool m_hasTimer = false;
    std::atomic<bool> m_expired { true };
    std::array<std::atomic<int>, maxSockets> m_sockets {};
    static_assert(std::atomic<int>::is_always_lock_free, "used by a signal handler");
};

} // namespace lovagerail
