// The health monitor over a pool of 1,000 targets, a tenth of which fail most of their requests.
#include "bench.h"
#include "health.h"
#include "router_policy.h"

namespace lovagerail::bench {

namespace {

    using namespace std::chrono_literals;

    std::uint64_t run(fingerprint& decisions)
    {
        constexpr std::uint32_t targetCount = 1000;
        constexpr std::uint64_t rounds = 200000;
        const pool_id pool("models");
        health_monitor monitor;
        for (std::uint32_t i = 0; i < targetCount; ++i)
            monitor.started(target_slot(i), pool, failure_domain_id("domain-" + std::to_string(i % 7)), instant { 1s });
        seeded_random random(20261203);
        instant now { 60s };
        for (std::uint64_t i = 0; i < rounds; ++i) {
            now += 1ms;
            const target_slot slot(static_cast<std::uint32_t>(random.below(targetCount)));
            const bool hasFailed = slot.value() % 10 == 0 && random.below(3) > 0;
            monitor.recordSent(slot, now);
            monitor.ended(slot, hasFailed ? attempt_outcome::Reset : attempt_outcome::Success, std::chrono::milliseconds(50 + random.below(50)), now);
            decisions.fold(static_cast<std::uint64_t>(monitor.state(slot, now)));
        }
        decisions.fold(monitor.ejectedCount(pool));
        return rounds;
    }

    const registration healthBenchmark("health", run);

} // namespace

} // namespace lovagerail::bench
