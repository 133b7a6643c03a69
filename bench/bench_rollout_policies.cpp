// Compares rollout policies on the model of both deployments. With
// LOVAGERAIL_TABLE=rollouts the figures are printed as a Markdown table as well.
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
    std::uint64_t share(std::uint64_t part, std::uint64_t whole)
    {
        return whole == 0 ? 0 : part * 10'000 / whole;
    }

    std::string percent(std::uint64_t hundredths)
    {
        char text[32];
        std::snprintf(text, sizeof text, "%llu.%llu %%", static_cast<unsigned long long>(hundredths / 100), static_cast<unsigned long long>(hundredths / 10 % 10));
        return text;
    }

    void printRow(const rollout_deployment& deployment, const rollout_policy& policy, const rollout_figures& figures)
    {
        const std::uint64_t stepSeconds = figures.ticks / modelSteps / 5;
        const std::uint64_t meanKept = figures.keptTokens / figures.keptSamples;
        const std::uint64_t meanDrawn = figures.drawnTokens / figures.drawnSamples;
        std::printf("| %s | %s | %s | %llu s | %llu / %llu | %llu | %s | %llu.%llu | %llu / %llu |\n", deployment.name.c_str(), policy.name.c_str(),
            percent(share(figures.idleTicks, figures.ticks)).c_str(), static_cast<unsigned long long>(stepSeconds),
            static_cast<unsigned long long>(figures.ages[figures.ages.size() / 2]), static_cast<unsigned long long>(figures.ages.back()),
            static_cast<unsigned long long>(figures.regenerated), percent(share(figures.wastedTokens, figures.madeTokens)).c_str(),
            static_cast<unsigned long long>(figures.ledgerCalls / modelSteps), static_cast<unsigned long long>(figures.ledgerCalls * 10 / modelSteps % 10),
            static_cast<unsigned long long>(meanKept), static_cast<unsigned long long>(meanDrawn));
    }

    std::uint64_t replay(fingerprint& print)
    {
        const char* wanted = std::getenv("LOVAGERAIL_TABLE");
        const bool table = wanted && std::string(wanted) == "rollouts";
        if (table) {
            std::printf("| deployment | policy | trainer idle | step | staleness median / worst | regenerated | tokens wasted | service calls a step | mean length kept / drawn |\n");
            std::printf("|---|---|---|---|---|---|---|---|---|\n");
        }
        std::uint64_t samples = 0;
        for (const rollout_deployment& deployment : deployments) {
            for (const rollout_policy& policy : policies) {
                const rollout_figures figures = runModel(deployment, policy);
                for (const std::uint64_t value : { figures.ticks, figures.idleTicks, figures.regenerated, figures.madeTokens, figures.wastedTokens, figures.ledgerCalls, figures.keptTokens })
                    print.fold(value);
                samples += figures.keptSamples;
                if (table && !figures.ages.empty())
                    printRow(deployment, policy, figures);
            }
        }
        return samples;
    }

    const registration part("rollout_policies", replay);

} // namespace

} // namespace lovagerail::bench
