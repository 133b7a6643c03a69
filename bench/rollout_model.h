// A small deterministic simulation of engines, a judge and a trainer around the real
// coordinator, to compare rollout policies. Time advances in ticks of 200 ms.
#pragma once

#include "run.h"

#include <deque>
#include <string>
#include <vector>

namespace lovagerail::bench {

// Parameters of a deployment that matter to rollouts.
struct rollout_deployment {
    std::string name;
    std::uint32_t engines = 0;
    std::uint32_t streamsPerEngine = 0; // concurrent streams that caller traffic leaves to rollouts
    std::uint32_t groupsPerStep = 0;
    std::uint64_t stalenessBound = 0;
    std::uint32_t judgeWorkers = 0;
    std::uint32_t judgeTicks = 0;
    std::uint32_t trainTicks = 0;
};

struct rollout_policy {
    std::string name;
    bool pipelinedJudging = false;
    std::uint32_t earlySteps = 0;
    bool priorities = false; // engines start waiting samples in the order of their priority
    std::uint32_t extraSamples = 0; // generated for each group beyond its size; the shortest are kept
};

struct rollout_statistics {
    std::uint64_t ticks = 0;
    std::uint64_t idleTicks = 0; // ticks in which the trainer waited for a batch
    std::vector<std::uint64_t> staleness; // of the samples handed over, in weight versions; sorted
    std::uint64_t regenerated = 0;
    std::uint64_t generatedTokens = 0;
    std::uint64_t wastedTokens = 0;
    std::uint64_t ledgerCalls = 0;
    std::uint64_t drawnTokens = 0; // of all samples, extra ones included
    std::uint64_t drawnSamples = 0;
    std::uint64_t keptTokens = 0; // of the samples handed over to the trainer
    std::uint64_t keptSamples = 0;
};

constexpr std::uint64_t modelSteps = 12;
constexpr std::uint32_t modelGroupSize = 8;

rollout_statistics runModel(const rollout_deployment& deployment, const rollout_policy& policy);

} // namespace lovagerail::bench
