// Measures the routing policies on the same traces. The benchmark replays short
// traces; with LOVAGERAIL_TABLE=serving it prints Markdown tables of full ones.
#include "serving_replay.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>

namespace lovagerail::bench {

namespace {

    using namespace std::chrono_literals;

    constexpr std::uint64_t traceSeed = 20261203;
    constexpr std::uint32_t tableSeeds = 3; // traces per row, merged

    double milliseconds(duration span)
    {
        return std::chrono::duration<double, std::milli>(span).count();
    }

    void merge(std::vector<duration>& all, const std::vector<duration>& more)
    {
        all.insert(all.end(), more.begin(), more.end());
        std::sort(all.begin(), all.end());
    }

    // The same plan over several seeds, taken as one.
    replay_result replaySeeds(replay_plan plan, fingerprint& decisions)
    {
        replay_result all;
        all.engineSpread = 0;
        for (std::uint32_t i = 0; i < tableSeeds; ++i) {
            plan.trace.seed = traceSeed + i;
            const replay_result one = replay(plan, makeTrace(plan.trace), decisions);
            merge(all.firstToken, one.firstToken);
            merge(all.calls, one.calls);
            for (std::size_t account = 0; account < accountCount; ++account)
                merge(all.firstTokenByAccount[account], one.firstTokenByAccount[account]);
            all.promptTokens += one.promptTokens;
            all.cachedTokens += one.cachedTokens;
            all.failed += one.failed;
            all.decisions += one.decisions;
            all.engineSpread = std::max(all.engineSpread, one.engineSpread);
        }
        return all;
    }

    void printRow(const std::string& what, policy_kind policy, const replay_result& result)
    {
        const double saved = 100.0 * static_cast<double>(result.cachedTokens) / static_cast<double>(std::max<std::uint64_t>(1, result.promptTokens));
        std::printf("| %s | %s | %.0f | %.0f | %.0f | %.1f | %.1f | %.0f%% | %.2f | %llu |\n", what.c_str(),
            std::string(toString(policy)).c_str(), milliseconds(percentile(result.firstToken, 0.5)),
            milliseconds(percentile(result.firstToken, 0.99)), milliseconds(worstAccount(result)),
            milliseconds(percentile(result.calls, 0.5)), milliseconds(percentile(result.calls, 0.99)), saved,
            result.engineSpread, static_cast<unsigned long long>(result.failed));
    }

    void printHead(const char* title)
    {
        std::printf("\n%s\n\n| trace | policy | TTFT median ms | TTFT p99 ms | worst account p99 ms | call median ms | call p99 ms "
                    "| prefix tokens saved | engine spread | failed |\n|---|---|--:|--:|--:|--:|--:|--:|--:|--:|\n",
            title);
    }

    void printPolicies(fingerprint& decisions)
    {
        printHead("Policies on the same traces, load reports 1 s late, no cache events lost:");
        for (const deployment where : { deployment::Wales, deployment::Caribbean }) {
            for (const weather sky : { weather::Calm, weather::Rain, weather::DomainLost }) {
                for (const policy_kind policy : allPolicies()) {
                    replay_plan plan;
                    plan.trace.where = where;
                    plan.trace.sky = sky;
                    plan.policy = policy;
                    printRow(std::string(toString(where)) + ", " + std::string(toString(sky)), policy, replaySeeds(plan, decisions));
                }
            }
        }
    }

    void printLateness(fingerprint& decisions)
    {
        printHead("Rain in Wales, load reports late:");
        for (const duration late : { duration(0s), duration(1s), duration(5s) }) {
            for (const policy_kind policy : { policy_kind::ExpectedCost, policy_kind::LeastOutstanding, policy_kind::PrefixAffinity }) {
                replay_plan plan;
                plan.trace.sky = weather::Rain;
                plan.reportDelay = late;
                plan.policy = policy;
                const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(late).count();
                printRow("reports " + std::to_string(seconds) + " s late", policy, replaySeeds(plan, decisions));
            }
        }
        printHead("Rain in Wales, cache events lost:");
        for (const std::uint32_t percent : { 0u, 10u, 50u }) {
            for (const policy_kind policy : { policy_kind::ExpectedCost, policy_kind::PrefixAffinity }) {
                replay_plan plan;
                plan.trace.sky = weather::Rain;
                plan.eventLossPercent = percent;
                plan.policy = policy;
                printRow(std::to_string(percent) + "% of events lost", policy, replaySeeds(plan, decisions));
            }
        }
    }

    std::uint64_t run(fingerprint& decisions)
    {
        const char* table = std::getenv("LOVAGERAIL_TABLE");
        if (table != nullptr && std::string(table) == "serving") {
            fingerprint unused;
            printPolicies(unused);
            printLateness(unused);
        }
        std::uint64_t count = 0;
        for (const deployment where : { deployment::Wales, deployment::Caribbean }) {
            for (const policy_kind policy : allPolicies()) {
                replay_plan plan;
                plan.trace = { where, weather::DomainLost, 15s, traceSeed };
                plan.policy = policy;
                count += replay(plan, makeTrace(plan.trace), decisions).decisions;
            }
        }
        return count;
    }

    const registration part("policies", run);

} // namespace

} // namespace lovagerail::bench
