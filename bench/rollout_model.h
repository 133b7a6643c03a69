// A tiny deterministic model of engines, a judge and a trainer around the real
// coordinator, to compare rollout policies. Time goes in ticks of 200 ms.
#pragma once

#include "run.h"

#include <deque>
#include <string>
#include <vector>

namespace lovagerail::bench {

// One of the two deployments, as far as rollouts see it.
struct rollout_deployment {
    std::string name;
    std::uint32_t engines = 0;
    std::uint32_t streamsPerEngine = 0; // left by live trade
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
    bool priorities = false; // engines honour them
    std::uint32_t extraSamples = 0; // over-provisioning of a group
};

struct rollout_figures {
    std::uint64_t ticks = 0;
    std::uint64_t idleTicks = 0; // the trainer waited
    std::vector<std::uint64_t> ages; // sorted
    std::uint64_t regenerated = 0;
    std::uint64_t madeTokens = 0;
    std::uint64_t wastedTokens = 0;
    std::uint64_t ledgerCalls = 0;
    std::uint64_t drawnTokens = 0; // of all samples drawn, extra ones too
    std::uint64_t drawnSamples = 0;
    std::uint64_t keptTokens = 0; // of the samples handed over
    std::uint64_t keptSamples = 0;
};

constexpr std::uint64_t modelSteps = 12;
constexpr std::uint32_t modelGroupSize = 8;

rollout_figures runModel(const rollout_deployment& deployment, const rollout_policy& policy);

} // namespace lovagerail::bench
