// Cost of assigning duties to 4, 64 and 410 instances by rendezvous hashing, which each control
// thread computes at every tick.
#include "rendezvous.h"
#include "slopes.h"
#include "types.h"

#include <string>
#include <vector>

namespace lovagerail::bench {

namespace {

    // 18 runs, the weight rollouts of 2 models and the closing of usage windows.
    constexpr std::uint64_t duties = 21;

    void measureDuties(std::uint64_t instances)
    {
        const auto before = heapBytes();
        std::vector<instance_id> members;
        for (std::uint64_t i = 0; i < instances; ++i)
            members.emplace_back("entry-" + std::to_string(i));
        const auto held = heapBytes() - before;
        std::uint64_t assignedDuties = 0;
        const auto nanosecondsPerTick = nanosecondsEach(20, [&](std::uint64_t) {
            for (std::uint64_t duty = 0; duty < duties; ++duty)
                assignedDuties += *rendezvousFirst("run-" + std::to_string(duty), members) == members.front() ? 1 : 0;
        });
        print({ "members", "first choices of 21 duties, one tick", instances, held, nanosecondsPerTick, "50 ticks a second" });
    }

} // namespace

void printMemberSlopes()
{
    for (const std::uint64_t instances : { 4u, 64u, 410u })
        measureDuties(instances);
}

} // namespace lovagerail::bench
