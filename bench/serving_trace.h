// Seeded traces of requests as the two deployments see them: conversations that
// share their account's opening prompt and grow turn by turn, and short calls of
// plain services. Arrivals don't depend on routing, so that all policies are compared
// on the same trace.
#pragma once

#include "prefix_index.h"
#include "queue_model.h"
#include "types.h"

#include <string>
#include <vector>

namespace lovagerail::bench {

enum class deployment { Wales,
    Caribbean };
enum class load_scenario { Steady,
    DemandSurge, // demand doubles for the middle half of the trace
    DomainLost }; // steady demand, and one failure domain stops answering

struct arrival {
    instant at;
    std::uint32_t account = 0;
    std::uint32_t instance = 0; // number of the receiving instance, chosen by the platform's load balancer
    bool toEngine = true;
    bool idempotent = true;
    std::vector<block_hash> prompt;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    duration serviceTime {};
};

struct trace_plan {
    deployment site = deployment::Wales;
    load_scenario scenario = load_scenario::Steady;
    duration length = std::chrono::seconds(120);
    std::uint64_t seed = 1;
};

constexpr std::uint32_t accountCount = 8;
constexpr std::uint32_t instanceCount = 4;

std::string_view toString(deployment site);
std::string_view toString(load_scenario scenario);

std::vector<std::string> failureDomains(deployment site);
std::uint32_t engineCount(deployment site);
std::uint32_t serviceCount(deployment site);
engine_model engineModel(deployment site);
std::size_t serviceWorkers(deployment site);

// Sorted by time.
std::vector<arrival> makeTrace(const trace_plan& plan);

} // namespace lovagerail::bench
