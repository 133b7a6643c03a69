// Formatting of calendar time with strftime.
#include "time_text.h"

#include <array>
#include <ctime>

namespace lovagerail {
namespace {

    std::string format(wall_time at, const char* pattern)
    {
        const auto seconds = std::chrono::floor<std::chrono::seconds>(at);
        const std::time_t time = seconds.time_since_epoch().count();
        std::tm parts {};
        gmtime_r(&time, &parts);
        std::array<char, 40> text {};
        const std::size_t length = std::strftime(text.data(), text.size(), pattern, &parts);
        return { text.data(), length };
    }

} // namespace

std::string formatTime(wall_time at)
{
    return format(at, "%Y-%m-%d %H:%M:%S UTC");
}

std::string formatTimeMillis(wall_time at)
{
    const auto seconds = std::chrono::floor<std::chrono::seconds>(at);
    std::string millis = std::to_string((at - seconds).count());
    millis.insert(0, 3 - millis.size(), '0');
    return format(at, "%Y-%m-%d %H:%M:%S.") + millis + " UTC";
}

std::string formatClock(wall_time at)
{
    return format(at, "%H:%M");
}

} // namespace lovagerail
