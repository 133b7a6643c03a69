// Compares routing with and without the slowdown that targets on shared machines report, and the
// baseline policies, on the same seeds: noise of hundreds of milliseconds, slowdowns lasting seconds,
// and both. Load reports come with answers, as in the daemon. The benchmark replays short traces; with
// LOVAGERAIL_TABLE=slowdowns it prints a Markdown table for full-length traces.
#include "serving_replay.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>

namespace lovagerail::bench {

namespace {

    using namespace std::chrono_literals;

    constexpr std::uint64_t firstSeed = 20261204;
    constexpr std::uint32_t tableSeeds = 3; // traces whose results are merged into one row

    struct compared_policy {
        const char* name;
        policy_kind policy;
        bool useSlowdown;
    };

    const compared_policy comparedPolicies[] = {
        { "random", policy_kind::Random, false },
        { "least outstanding", policy_kind::LeastOutstanding, false },
        { "two choices", policy_kind::TwoChoices, false },
        { "expected cost, without the reported value", policy_kind::ExpectedCost, false },
        { "expected cost, with it", policy_kind::ExpectedCost, true },
    };

    struct machine_scenario {
        const char* name;
        machine_load machines;
    };

    const machine_scenario scenarios[] = {
        { "noise", machine_load::Noise },
        { "slowdowns lasting seconds", machine_load::Slowness },
        { "both", machine_load::Both },
    };

    replay_plan planOf(deployment site, machine_load machines, const compared_policy& compared, duration length, std::uint64_t seed)
    {
        replay_plan plan;
        plan.trace = { site, load_scenario::Steady, length, seed };
        plan.policy = compared.policy;
        plan.machines = machines;
        plan.reportsInAnswers = true;
        plan.settings.load.useSlowdown = compared.useSlowdown;
        return plan;
    }

    double milliseconds(duration span)
    {
        return std::chrono::duration<double, std::milli>(span).count();
    }

    void printRow(deployment site, const machine_scenario& scenario, const compared_policy& compared)
    {
        fingerprint unused;
        std::vector<duration> firstToken;
        std::vector<duration> generations;
        std::vector<duration> calls;
        std::uint64_t failed = 0;
        for (std::uint32_t i = 0; i < tableSeeds; ++i) {
            const replay_plan plan = planOf(site, scenario.machines, compared, 120s, firstSeed + i);
            const replay_result one = replay(plan, makeTrace(plan.trace), unused);
            firstToken.insert(firstToken.end(), one.firstToken.begin(), one.firstToken.end());
            generations.insert(generations.end(), one.generations.begin(), one.generations.end());
            calls.insert(calls.end(), one.calls.begin(), one.calls.end());
            failed += one.failed;
        }
        std::sort(firstToken.begin(), firstToken.end());
        std::sort(generations.begin(), generations.end());
        std::sort(calls.begin(), calls.end());
        std::printf("| %s, %s | %s | %.0f | %.0f | %.0f | %.0f | %.1f | %.1f | %.1f | %llu |\n", std::string(toString(site)).c_str(), scenario.name, compared.name,
            milliseconds(percentile(firstToken, 0.5)), milliseconds(percentile(firstToken, 0.99)),
            milliseconds(percentile(generations, 0.5)), milliseconds(percentile(generations, 0.99)), milliseconds(percentile(calls, 0.5)),
            milliseconds(percentile(calls, 0.9)), milliseconds(percentile(calls, 0.99)), static_cast<unsigned long long>(failed));
    }

    std::uint64_t run(fingerprint& decisions)
    {
        const char* table = std::getenv("LOVAGERAIL_TABLE");
        if (table != nullptr && std::string(table) == "slowdowns") {
            std::printf("\n| scenario | policy | TTFT median ms | TTFT p99 ms | generation median ms | generation p99 ms | call median ms | call p90 ms | call p99 ms | failed |\n|---|---|--:|--:|--:|--:|--:|--:|--:|--:|\n");
            for (const deployment site : { deployment::Wales, deployment::Caribbean }) {
                for (const machine_scenario& scenario : scenarios) {
                    for (const compared_policy& compared : comparedPolicies)
                        printRow(site, scenario, compared);
                }
            }
        }
        std::uint64_t count = 0;
        for (const machine_scenario& scenario : scenarios) {
            for (const compared_policy& compared : comparedPolicies) {
                if (compared.policy != policy_kind::ExpectedCost)
                    continue;
                const replay_plan plan = planOf(deployment::Wales, scenario.machines, compared, 10s, firstSeed);
                count += replay(plan, makeTrace(plan.trace), decisions).decisions;
            }
        }
        return count;
    }

    const registration slowdownsBenchmark("slowdowns", run);

} // namespace

} // namespace lovagerail::bench
