// Compares policies for the rollouts of a trainer on a simulation of both deployments. With
// LOVAGERAIL_TABLE=rollouts the statistics are printed as a Markdown table as well.
#include "bench.h"
#include "rollout_model.h"

#include <cstdio>
#include <cstdlib>

namespace lovagerail::bench {

namespace {

    const rollout_deployment deployments[] = {
        { "Wales", 8, 4, 16, 2, 4, 8, 150 },
        { "Caribbean", 10, 3, 20, 1, 6, 15, 225 },
    };

    const rollout_policy policies[] = {
        { "synchronous barrier", false, 0, false, 0 },
        { "pipelined judging", true, 0, false, 0 },
        { "early next step, barrier judging", false, 1, false, 0 },
        { "early next step, pipelined judging", true, 1, false, 0 },
        { "the same, priority with age", true, 1, true, 0 },
        { "the same, 1 extra sample in 8 + 1", true, 1, true, 1 },
    };

    // Hundredths of a percent, so that no floating point is printed.
    std::uint64_t basisPoints(std::uint64_t part, std::uint64_t whole)
    {
        return whole == 0 ? 0 : part * 10'000 / whole;
    }

    std::string percent(std::uint64_t hundredths)
    {
        char text[32];
        std::snprintf(text, sizeof text, "%llu.%llu %%", static_cast<unsigned long long>(hundredths / 100), static_cast<unsigned long long>(hundredths / 10 % 10));
        return text;
    }

    void printRow(const rollout_deployment& deployment, const rollout_policy& policy, const rollout_statistics& statistics)
    {
        const std::uint64_t stepSeconds = statistics.ticks / modelSteps / 5;
        const std::uint64_t meanKept = statistics.keptTokens / statistics.keptSamples;
        const std::uint64_t meanDrawn = statistics.drawnTokens / statistics.drawnSamples;
        std::printf("| %s | %s | %s | %llu s | %llu / %llu | %llu | %s | %llu.%llu | %llu / %llu |\n", deployment.name.c_str(), policy.name.c_str(),
            percent(basisPoints(statistics.idleTicks, statistics.ticks)).c_str(), static_cast<unsigned long long>(stepSeconds),
            static_cast<unsigned long long>(statistics.staleness[statistics.staleness.size() / 2]), static_cast<unsigned long long>(statistics.staleness.back()),
            static_cast<unsigned long long>(statistics.regenerated), percent(basisPoints(statistics.wastedTokens, statistics.generatedTokens)).c_str(),
            static_cast<unsigned long long>(statistics.ledgerCalls / modelSteps), static_cast<unsigned long long>(statistics.ledgerCalls * 10 / modelSteps % 10),
            static_cast<unsigned long long>(meanKept), static_cast<unsigned long long>(meanDrawn));
    }

    std::uint64_t runRolloutBenchmark(fingerprint& decisions)
    {
        const char* tableName = std::getenv("LOVAGERAIL_TABLE");
        const bool table = tableName && std::string(tableName) == "rollouts";
        if (table) {
            std::printf("| deployment | policy | trainer idle | step | staleness median / worst | regenerated | tokens wasted | service calls a step | mean length kept / drawn |\n");
            std::printf("|---|---|---|---|---|---|---|---|---|\n");
        }
        std::uint64_t samples = 0;
        for (const rollout_deployment& deployment : deployments) {
            for (const rollout_policy& policy : policies) {
                const rollout_statistics statistics = runModel(deployment, policy);
                for (const std::uint64_t value : { statistics.ticks, statistics.idleTicks, statistics.regenerated, statistics.generatedTokens, statistics.wastedTokens, statistics.ledgerCalls, statistics.keptTokens })
                    decisions.fold(value);
                samples += statistics.keptSamples;
                if (table && !statistics.staleness.empty())
                    printRow(deployment, policy, statistics);
            }
        }
        return samples;
    }

    const registration rolloutPoliciesBenchmark("rollout_policies", runRolloutBenchmark);

} // namespace

} // namespace lovagerail::bench
