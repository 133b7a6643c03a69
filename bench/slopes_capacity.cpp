// Cost of one capacity plan for a pool of 80, 800 and 8,000 targets.
#include "capacity.h"
#include "slopes.h"

namespace lovagerail::bench {

namespace {

    using namespace std::chrono_literals;

    constexpr std::uint32_t failureDomains = 7;

    void measurePlan(std::uint32_t targets)
    {
        target_pool pool;
        pool.meta.name = "models";
        pool.ceiling = targets + targets / 4;
        pool.allowCheap = true;
        for (std::uint32_t i = 0; i < failureDomains; ++i)
            pool.failureDomains.emplace_back("domain-" + std::to_string(i));
        const auto before = heapBytes();
        capacity_view view;
        for (std::uint32_t i = 0; i < targets; ++i) {
            capacity_target added;
            added.id = target_id("target-" + std::to_string(i));
            added.kind = i % 4 == 0 ? supply_kind::Cheap : supply_kind::Firm;
            added.failureDomain = pool.failureDomains[i % failureDomains];
            added.open = i % 10;
            view.targets.push_back(std::move(added));
        }
        const auto held = heapBytes() - before;
        capacity_planner planner;
        const auto each = nanosecondsEach(20, [&](std::uint64_t round) {
            const instant now { 60s + round * 1s };
            planner.observe({ 4.0 * targets, 0, 8, 0, 0.2 }, now);
            (void)planner.plan(pool, view, now);
        });
        print({ "capacity", "one plan of a pool", targets, held, each, "bytes: the view of the pool" });
    }

} // namespace

void printCapacitySlopes()
{
    for (const std::uint32_t targets : { 80u, 800u, 8000u })
        measurePlan(targets);
}

} // namespace lovagerail::bench
