// Spreading of duties over 4, 64 and 410 instances, as each control thread works it
// out at every tick.
#include "rendezvous.h"
#include "slopes.h"
#include "types.h"

#include <string>
#include <vector>

namespace lovagerail::bench {

namespace {

    // 18 runs, 2 models' weights and the closing of usage.
    constexpr std::uint64_t duties = 21;

    void measureDuties(std::uint64_t instances)
    {
        const auto before = heapBytes();
        std::vector<instance_id> members;
        for (std::uint64_t i = 0; i < instances; ++i)
            members.emplace_back("entry-" + std::to_string(i));
        const auto held = heapBytes() - before;
        std::uint64_t mine = 0;
        const auto took = nanosecondsEach(20, [&](std::uint64_t) {
            for (std::uint64_t duty = 0; duty < duties; ++duty)
                mine += *rendezvousFirst("run-" + std::to_string(duty), members) == members.front() ? 1 : 0;
        });
        print({ "members", "first choices of 21 duties, one tick", instances, held, took, "50 ticks a second" });
    }

} // namespace

void printMemberSlopes()
{
    for (const std::uint64_t instances : { 4u, 64u, 410u })
        measureDuties(instances);
}

} // namespace lovagerail::bench
