// The daemon's clocks. Decision code never reads them; it gets the current time as an argument.
#pragma once

#include "types.h"

#include <ctime>

namespace lovagerail::daemon {

// Counts the time that the machine was suspended, as leases run on meanwhile;
// std::chrono::steady_clock does not.
inline instant monotonicNow()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return instant(std::chrono::duration_cast<duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

inline wall_time wallNow()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

} // namespace lovagerail::daemon
