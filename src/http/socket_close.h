// Closing sockets whose bytes must not arrive later.
#pragma once

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace lovagerail::http {

// Closes a TCP socket, as close() does, but with a reset if the peer has not acknowledged all bytes.
// The kernel goes on sending the bytes of a socket that was closed in order, so that a request which a
// partition holds up would arrive when the partition ends, long after it was given up.
inline int closeDiscardingUnacknowledged(int descriptor)
{
    int unacknowledgedBytes = 0;
    const bool isUnknown = ioctl(descriptor, SIOCOUTQ, &unacknowledgedBytes) != 0;
    if (isUnknown || unacknowledgedBytes > 0) {
        const linger discard { 1, 0 };
        setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
    }
    return close(descriptor);
}

} // namespace lovagerail::http
