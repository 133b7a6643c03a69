// Costs of the decision modules at growing sizes, for docs/CAPACITY.md.
//
// LOVAGERAIL_TABLE=capacity-slopes makes the benchmark print these tables in place
// of its replay. Times are processor time of the thread, so that other work on the
// machine disturbs them little; memory is what the allocator has handed out.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

namespace lovagerail::bench {

// Processor time that this thread has used, in nanoseconds.
std::uint64_t threadNanoseconds();
// Bytes that the program holds from the allocator, with the allocator's own headers.
std::uint64_t heapBytes();

// Nanoseconds of one of `rounds` calls; the least of three tries.
template <typename Work>
double nanosecondsEach(std::uint64_t rounds, Work&& work)
{
    constexpr int tries = 3;
    double least = 0;
    for (int i = 0; i < tries; ++i) {
        const auto begin = threadNanoseconds();
        for (std::uint64_t round = 0; round < rounds; ++round)
            work(round);
        const auto each = static_cast<double>(threadNanoseconds() - begin) / static_cast<double>(rounds);
        least = i == 0 ? each : std::min(least, each);
    }
    return least;
}

// One line of a table: a part at one size.
struct slope_row {
    std::string part;
    std::string what;
    std::uint64_t size = 0;
    std::uint64_t bytes = 0; // 0 where it is no question of memory
    double nanoseconds = 0; // of one event
    std::string note;
};
void print(const slope_row& row);

void printRoutingSlopes();
void printMemberSlopes();
void printConfigSlopes();
void printRunSlopes();
void printWeightSlopes();
void printCapacitySlopes();
void printUsageSlopes();

// All of the above.
void printSlopes();

} // namespace lovagerail::bench
