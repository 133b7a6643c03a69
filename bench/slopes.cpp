// CPU clock, heap size and output of the cost table; see slopes.h.
#include "slopes.h"

#include <cstdio>
#include <ctime>
#include <malloc.h>

namespace lovagerail::bench {

std::uint64_t threadNanoseconds()
{
    timespec now {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    constexpr std::uint64_t perSecond = 1'000'000'000;
    return static_cast<std::uint64_t>(now.tv_sec) * perSecond + static_cast<std::uint64_t>(now.tv_nsec);
}

std::uint64_t heapBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

void print(const slope_row& row)
{
    const auto each = row.size == 0 ? 0 : row.bytes / row.size;
    std::printf("| %s | %s | %llu | %llu | %llu | %.0f | %s |\n", row.moduleName.c_str(), row.operation.c_str(), static_cast<unsigned long long>(row.size),
        static_cast<unsigned long long>(row.bytes), static_cast<unsigned long long>(each), row.nanoseconds, row.note.c_str());
    std::fflush(stdout);
}

void printSlopes()
{
    std::printf("| part | measured | size | bytes | bytes each | ns an event | more |\n|---|---|--:|--:|--:|--:|---|\n");
    printRoutingSlopes();
    printMemberSlopes();
    printConfigSlopes();
    printRunSlopes();
    printWeightSlopes();
    printCapacitySlopes();
    printUsageSlopes();
}

} // namespace lovagerail::bench
