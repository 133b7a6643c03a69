// The daemon's clocks. Decision code never reads them; it gets the current time as an argument.
#pragma once

#include "types.h"

namespace lovagerail::daemon {

inline instant monotonicNow()
{
    return instant(std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

inline wall_time wallNow()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

} // namespace lovagerail::daemon
