// How much clients may make one process hold, from what its machine has: memory and descriptors
// are shared out among connections, requests, bodies, answers and batches, with a part kept for
// the process itself. No I/O.
#pragma once

#include "memory_budget.h"
#include "types.h"

#include <cstdint>

namespace lovagerail {

// What the process may use.
struct machine_resources {
    byte_count memory;
    std::uint64_t descriptors = 0;
};

struct listener_limits {
    std::uint32_t connections = 0;
    std::uint32_t requests = 0; // with a head and without a complete answer; each may need a descriptor to a target
};

struct intake_limits {
    memory_limits memory;
    listener_limits callers;
    listener_limits instances;
    listener_limits internal; // each: readiness, metrics
};

// Memory of a connection: the pool in which its head is parsed, and its bookkeeping.
constexpr std::size_t connectionBytes = 36 * 1024;

intake_limits intakeLimitsFor(const machine_resources& machine);

} // namespace lovagerail
