// Formatting of calendar time for people, always in UTC.
#pragma once

#include "types.h"

#include <string>

namespace lovagerail {

// "2026-12-03 20:31:03 UTC"
std::string formatTime(wall_time at);
// "2026-12-03 20:31:03.250 UTC"
std::string formatTimeMillis(wall_time at);
// "20:31"
std::string formatClock(wall_time at);

} // namespace lovagerail
