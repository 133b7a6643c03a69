// Timer, signal and signal handler that shut down sockets when a lease expires.
#include "order_guard.h"

#include <cerrno>
#include <pthread.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#ifndef sigev_notify_thread_id
#define sigev_notify_thread_id _sigev_un._tid // glibc has no name for it
#endif

namespace lovagerail {

namespace {

    // The C library reserves the first real-time signals for itself.
    int guardSignal() { return SIGRTMIN + 3; }

    instant clockNow()
    {
        timespec now {};
        clock_gettime(CLOCK_MONOTONIC, &now);
        return instant(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
    }

    itimerspec timeOf(instant until)
    {
        constexpr duration second = std::chrono::seconds(1);
        itimerspec out {};
        out.it_value.tv_sec = until.time_since_epoch() / second;
        out.it_value.tv_nsec = (until.time_since_epoch() % second).count();
        return out;
    }

} // namespace

result<std::unique_ptr<order_guard>> order_guard::make()
{
    constexpr std::string_view step = "orders.guard";
    std::unique_ptr<order_guard> out(new order_guard());
    for (auto& socket : out->m_sockets)
        socket = noSocket;

    // Step 1. One handler serves all guards; the signal carries a pointer to the guard.
    struct sigaction action { };
    action.sa_sigaction = onSignal;
    action.sa_flags = SA_SIGINFO | SA_RESTART;
    sigemptyset(&action.sa_mask);
    if (sigaction(guardSignal(), &action, nullptr) != 0)
        return failure(error_code::Internal, step, "sigaction failed");

    // Step 2. Unblock the signal, since threads start with all signals blocked.
    sigset_t guardSignals;
    sigemptyset(&guardSignals);
    sigaddset(&guardSignals, guardSignal());
    if (pthread_sigmask(SIG_UNBLOCK, &guardSignals, nullptr) != 0)
        return failure(error_code::Internal, step, "pthread_sigmask failed");

    // Step 3. Create a timer that signals this thread.
    sigevent event {};
    event.sigev_notify = SIGEV_THREAD_ID;
    event.sigev_signo = guardSignal();
    event.sigev_value.sival_ptr = out.get();
    event.sigev_notify_thread_id = static_cast<pid_t>(syscall(SYS_gettid));
    if (timer_create(CLOCK_MONOTONIC, &event, &out->m_timer) != 0)
        return failure(error_code::Internal, step, "timer_create failed");
    out->m_hasTimer = true;
    return out;
}

order_guard::~order_guard()
{
    if (m_hasTimer)
        timer_delete(m_timer);
}

bool order_guard::arm(instant until)
{
    m_expired = false;
    const auto time = timeOf(until);
    if (until.time_since_epoch() <= duration(0) || timer_settime(m_timer, TIMER_ABSTIME, &time, nullptr) != 0) {
        m_expired = true;
        return false;
    }
    // The clock is read after the timer was set: if the end is still ahead here, the timer
    // is sure to fire at it.
    if (clockNow() < until && !isExpired())
        return true;
    disarm();
    return false;
}

bool order_guard::registerSocket(int socket)
{
    for (auto& slot : m_sockets) {
        int expected = noSocket;
        if (!slot.compare_exchange_strong(expected, socket))
            continue;
        // The handler may have run before the socket was registered.
        if (!isExpired())
            return true;
        shutdown(socket, SHUT_RDWR);
        slot = noSocket;
        return false;
    }
    return false;
}

void order_guard::unregisterSocket(int socket)
{
    for (auto& slot : m_sockets) {
        int expected = socket;
        slot.compare_exchange_strong(expected, noSocket);
    }
}

void order_guard::disarm()
{
    const itimerspec never {};
    timer_settime(m_timer, 0, &never, nullptr);
    m_expired = true;
    for (auto& slot : m_sockets)
        slot = noSocket;
}

// Runs in the signal handler: calls only async-signal-safe functions.
void order_guard::expire()
{
    m_expired = true;
    for (auto& slot : m_sockets) {
        const int socket = slot;
        if (socket != noSocket)
            shutdown(socket, SHUT_RDWR);
    }
}

void order_guard::onSignal(int, siginfo_t* info, void*)
{
    const int savedErrno = errno;
    if (info->si_code == SI_TIMER && info->si_value.sival_ptr)
        static_cast<order_guard*>(info->si_value.sival_ptr)->expire();
    errno = savedErrno;
}

} // namespace lovagerail
