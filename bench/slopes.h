// CPU time and memory of the decision modules at growing sizes, for docs/CAPACITY.md.
//
// LOVAGERAIL_TABLE=capacity-slopes makes the benchmark print these tables in place
// of its replay. Times are CPU time of the thread, so that other work on the machine
// hardly affects them; memory is what the allocator has handed out.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

namespace lovagerail::bench {

// CPU time that this thread has used.
std::uint64_t threadNanoseconds();
// Heap memory in use, including the allocator's own headers.
std::uint64_t heapBytes();

// Mean time of one call over `rounds` calls; the minimum of three runs.
template <typename Work>
double nanosecondsEach(std::uint64_t rounds, Work&& work)
{
    constexpr int runs = 3;
    double minimum = 0;
    for (int i = 0; i < runs; ++i) {
        const auto begin = threadNanoseconds();
        for (std::uint64_t round = 0; round < rounds; ++round)
            work(round);
        const auto each = static_cast<double>(threadNanoseconds() - begin) / static_cast<double>(rounds);
        minimum = i == 0 ? each : std::min(minimum, each);
    }
    return minimum;
}

// One row of the table: one operation of a module at one size.
struct slope_row {
    std::string moduleName;
    std::string operation;
    std::uint64_t size = 0;
    std::uint64_t bytes = 0; // 0 if memory is not measured
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
