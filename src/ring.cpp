// wakeup: an eventfd that readers wait on with poll().
#include "ring.h"

#include <cstdint>
#include <poll.h>
#include <stdexcept>
#include <sys/eventfd.h>
#include <unistd.h>

namespace lovagerail {

wakeup::wakeup()
    : m_descriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    if (m_descriptor < 0)
        throw std::runtime_error("eventfd failed");
}

wakeup::~wakeup()
{
    close(m_descriptor);
}

void wakeup::notify()
{
    const std::uint64_t increment = 1;
    // The write fails if the counter is at its maximum; the reader is then notified already.
    [[maybe_unused]] const auto written = write(m_descriptor, &increment, sizeof increment);
}

void wakeup::drain()
{
    std::uint64_t count = 0;
    [[maybe_unused]] const auto readBytes = read(m_descriptor, &count, sizeof count);
}

void wakeup::wait(std::chrono::milliseconds timeout)
{
    pollfd waiting { m_descriptor, POLLIN, 0 };
    if (poll(&waiting, 1, static_cast<int>(timeout.count())) > 0)
        drain();
}

} // namespace lovagerail
