// Compares the routing policies on the same traces. The benchmark replays short traces;
// with LOVAGERAIL_TABLE=serving it prints Markdown tables for full-length traces.
#include "serving_replay.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>

namespace lovagerail::bench {

namespace {

    using namespace std::chrono_literals;

    constexpr std::uint64_t traceSeed = 20261203;
    constexpr std::uint32_t tableSeeds = 3; // traces whose results are merged into one row

    double milliseconds(duration span)
    {
        return std::chrono::duration<double, std::milli>(span).count();
    }

    void merge(std::vector<duration>& merged, const std::vector<duration>& added)
    {
        merged.insert(merged.end(), added.begin(), added.end());
        std::sort(merged.begin(), merged.end());
    }

    // Replays the plan with several seeds and merges the results.
    replay_result replayWithSeeds(replay_plan plan, fingerprint& decisions)
    {
        replay_result merged;
        merged.engineSpread = 0;
        for (std::uint32_t i = 0; i < tableSeeds; ++i) {
            plan.trace.seed = traceSeed + i;
            const replay_result one = replay(plan, makeTrace(plan.trace), decisions);
            merge(merged.firstToken, one.firstToken);
            merge(merged.calls, one.calls);
            for (std::size_t account = 0; account < accountCount; ++account)
                merge(merged.firstTokenByAccount[account], one.firstTokenByAccount[account]);
            merged.promptTokens += one.promptTokens;
            merged.cachedTokens += one.cachedTokens;
            merged.failed += one.failed;
            merged.decisions += one.decisions;
            merged.engineSpread = std::max(merged.engineSpread, one.engineSpread);
        }
        return merged;
    }

    void printRow(const std::string& label, policy_kind policy, const replay_result& result)
    {
        const double saved = 100.0 * static_cast<double>(result.cachedTokens) / static_cast<double>(std::max<std::uint64_t>(1, result.promptTokens));
        std::printf("| %s | %s | %.0f | %.0f | %.0f | %.1f | %.1f | %.0f%% | %.2f | %llu |\n", label.c_str(),
            std::string(toString(policy)).c_str(), milliseconds(percentile(result.firstToken, 0.5)),
            milliseconds(percentile(result.firstToken, 0.99)), milliseconds(worstAccount(result)),
            milliseconds(percentile(result.calls, 0.5)), milliseconds(percentile(result.calls, 0.99)), saved,
            result.engineSpread, static_cast<unsigned long long>(result.failed));
    }

    void printHeader(const char* title)
    {
        std::printf("\n%s\n\n| trace | policy | TTFT median ms | TTFT p99 ms | worst account p99 ms | call median ms | call p99 ms "
                    "| prefix tokens saved | engine spread | failed |\n|---|---|--:|--:|--:|--:|--:|--:|--:|--:|\n",
            title);
    }

    void printPolicies(fingerprint& decisions)
    {
        printHeader("Policies on the same traces, load reports 1 s late, no cache events lost:");
        for (const deployment site : { deployment::Wales, deployment::Caribbean }) {
            for (const load_scenario scenario : { load_scenario::Steady, load_scenario::DemandSurge, load_scenario::DomainLost }) {
                for (const policy_kind policy : allPolicies()) {
                    replay_plan plan;
                    plan.trace.site = site;
                    plan.trace.scenario = scenario;
                    plan.policy = policy;
                    printRow(std::string(toString(site)) + ", " + std::string(toString(scenario)), policy, replayWithSeeds(plan, decisions));
                }
            }
        }
    }

    void printStaleInputs(fingerprint& decisions)
    {
        printHeader("Doubled demand (rain) in Wales, load reports late:");
        for (const duration delay : { duration(0s), duration(1s), duration(5s) }) {
            for (const policy_kind policy : { policy_kind::ExpectedCost, policy_kind::LeastOutstanding, policy_kind::PrefixAffinity }) {
                replay_plan plan;
                plan.trace.scenario = load_scenario::DemandSurge;
                plan.reportDelay = delay;
                plan.policy = policy;
                const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(delay).count();
                printRow("reports " + std::to_string(seconds) + " s late", policy, replayWithSeeds(plan, decisions));
            }
        }
        printHeader("Doubled demand (rain) in Wales, cache events lost:");
        for (const std::uint32_t percent : { 0u, 10u, 50u }) {
            for (const policy_kind policy : { policy_kind::ExpectedCost, policy_kind::PrefixAffinity }) {
                replay_plan plan;
                plan.trace.scenario = load_scenario::DemandSurge;
                plan.eventLossPercent = percent;
                plan.policy = policy;
                printRow(std::to_string(percent) + "% of events lost", policy, replayWithSeeds(plan, decisions));
            }
        }
    }

    std::uint64_t run(fingerprint& decisions)
    {
        const char* table = std::getenv("LOVAGERAIL_TABLE");
        if (table != nullptr && std::string(table) == "serving") {
            fingerprint unused;
            printPolicies(unused);
            printStaleInputs(unused);
        }
        std::uint64_t count = 0;
        for (const deployment site : { deployment::Wales, deployment::Caribbean }) {
            for (const policy_kind policy : allPolicies()) {
                replay_plan plan;
                plan.trace = { site, load_scenario::DomainLost, 15s, traceSeed };
                plan.policy = policy;
                count += replay(plan, makeTrace(plan.trace), decisions).decisions;
            }
        }
        return count;
    }

    const registration policiesBenchmark("policies", run);

} // namespace

} // namespace lovagerail::bench
