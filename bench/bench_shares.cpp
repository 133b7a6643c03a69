// Compares shares of trainers in an engine pool with slots taken by arrival: steps in time at growing
// load, and after an outage of 7 s. The benchmark replays short traces; with LOVAGERAIL_TABLE=shares
// it prints a Markdown table for longer ones, eight seeds each.
#include "bench.h"

#include "../tests/pool_shares_world.h"

#include <cstdio>
#include <cstdlib>

namespace lovagerail::bench {

namespace {

    using namespace std::chrono_literals;

    constexpr std::uint64_t traceSeed = 20261203;
    constexpr std::uint64_t tableSeeds = 8;

    // What a group of a step earns when it is listed in time, and when it is late.
    constexpr double worthInTime = 4;
    constexpr double worthLate = 1.5;

    struct load_case {
        const char* name;
        double load;
        std::size_t maxOpen;
        std::pair<duration, duration> outage;
    };
    constexpr load_case loadCases[] = { { "0.5", 0.5, 0, {} }, { "0.75", 0.75, 0, {} }, { "1", 1, 0, {} }, { "1.25", 1.25, 0, {} }, { "1.5", 1.5, 0, {} }, { "2", 2, 0, {} }, { "3", 3, 0, {} },
        { "1, two open, outage of 7 s", 1, 2, { 15s, 22s } }, { "1.25, two open, outage of 7 s", 1.25, 2, { 15s, 22s } }, { "3, two open", 3, 2, {} } };

    void printTable()
    {
        std::printf("| load | policy | steps | in time | late | in time per minute | worth per minute | least service of a trainer in 10 s / half of its fair share |\n|---|---|--:|--:|--:|--:|--:|--:|\n");
        for (const auto& one : loadCases) {
            for (const bool shares : { false, true }) {
                trainer_result sum;
                trainer_plan plan;
                plan.load = one.load;
                plan.shares = shares;
                plan.maxOpen = one.maxOpen;
                plan.outage = one.outage;
                for (std::uint64_t i = 0; i < tableSeeds; ++i) {
                    plan.seed = traceSeed + i;
                    const auto result = trainer_world(plan).run();
                    sum.steps += result.steps;
                    sum.onTime += result.onTime;
                    sum.late += result.late;
                    sum.leastService = std::min(sum.leastService, result.leastService);
                }
                const double minutes = std::chrono::duration<double, std::ratio<60>>(plan.length).count() * tableSeeds;
                std::printf("| %s | %s | %zu | %zu | %zu | %.1f | %.1f | %.2f |\n", one.name, shares ? "shares" : "arrival", sum.steps, sum.onTime, sum.late, static_cast<double>(sum.onTime) / minutes, (worthInTime * static_cast<double>(sum.onTime) + worthLate * static_cast<double>(sum.late)) / minutes, sum.leastService);
            }
        }
    }

    std::uint64_t run(fingerprint& decisions)
    {
        const char* table = std::getenv("LOVAGERAIL_TABLE");
        if (table != nullptr && std::string(table) == "shares")
            printTable();
        std::uint64_t steps = 0;
        for (const double load : { 1.0, 2.0 }) {
            trainer_plan plan;
            plan.load = load;
            plan.length = 20s;
            plan.seed = traceSeed;
            const auto result = trainer_world(plan).run();
            decisions.fold(result.decisions);
            decisions.fold(result.onTime);
            steps += result.steps;
        }
        return steps;
    }

    const registration part("shares", run);

} // namespace

} // namespace lovagerail::bench
