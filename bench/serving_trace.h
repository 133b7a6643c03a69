// Seeded traces of requests as the two deployments see them: conversations that
// share their account's opening prompt and grow turn by turn, and short calls of
// plain services. Arrivals don't depend on the routing, so that all policies are
// given the same trace.
#pragma once

#include "prefix_index.h"
#include "queue_model.h"
#include "types.h"

#include <string>
#include <vector>

namespace lovagerail::bench {

enum class deployment { Wales,
    Caribbean };
enum class weather { Calm,
    Rain, // demand doubles for the middle half
    DomainLost }; // calm, and one failure domain falls silent

struct arrival {
    instant at;
    std::uint32_t account = 0;
    std::uint32_t instance = 0; // of our own, as the platform's balancer picks
    bool toEngine = true;
    bool idempotent = true;
    std::vector<block_hash> prompt;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    duration serviceTime {};
};

struct trace_plan {
    deployment where = deployment::Wales;
    weather sky = weather::Calm;
    duration length = std::chrono::seconds(120);
    std::uint64_t seed = 1;
};

constexpr std::uint32_t accountCount = 8;
constexpr std::uint32_t instanceCount = 4;

std::string_view toString(deployment where);
std::string_view toString(weather sky);

std::vector<std::string> failureDomains(deployment where);
std::uint32_t engineCount(deployment where);
std::uint32_t serviceCount(deployment where);
engine_model engineModel(deployment where);
std::size_t serviceWorkers(deployment where);

// Sorted by time.
std::vector<arrival> makeTrace(const trace_plan& plan);

} // namespace lovagerail::bench
