// Replays a trace through independent routers of several instances against the
// queue model, and measures what callers would see.
#pragma once

#include "bench.h"
#include "router.h"
#include "serving_trace.h"

#include <array>
#include <cstdint>
#include <vector>

namespace lovagerail::bench {

// How the speed of the targets' machines changes.
enum class machine_load { Constant,
    Noise, // up to four times slower, changing several times per second
    Slowness, // four times slower for some seconds, a tenth of the time
    Both };

struct replay_plan {
    trace_plan trace;
    policy_kind policy = policy_kind::ExpectedCost;
    duration reportDelay = std::chrono::seconds(1);
    std::uint32_t eventLossPercent = 0; // of cache events, drawn separately for each instance
    machine_load machines = machine_load::Constant;
    bool reportsInAnswers = false; // each answer carries a load report, in place of periodic reports
    router_settings settings; // instance, failure domain and policy are set by the replay
};

struct replay_result {
    std::vector<duration> firstToken; // of engine requests, sorted
    std::array<std::vector<duration>, accountCount> firstTokenByAccount; // sorted
    std::vector<duration> generations; // whole time of engine requests, sorted
    std::vector<duration> calls; // whole time of plain service calls, sorted
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t failed = 0; // out of attempts, or reset with an unknown outcome
    std::uint64_t decisions = 0;
    double engineSpread = 1; // largest busy time of an engine that never failed over their mean
};

replay_result replay(const replay_plan& plan, const std::vector<arrival>& trace, fingerprint& decisions);

// The value that the given share (0 to 1) of the sorted times does not exceed.
duration percentile(const std::vector<duration>& sorted, double share);
// The highest 99th percentile of any account.
duration worstAccount(const replay_result& result);

} // namespace lovagerail::bench
