// Generates seeded synthetic traces for replay, with traffic like that of the first two
// deployments.
#pragma once

#include "trace.h"

namespace lovagerail {

enum class trace_shape {
    Calm, // constant load
    Rain, // load doubles in the middle third
    Flood, // one large account sends ten times its usual load in the middle third
    Poison, // one prompt in a hundred contains the marker of a poison request
};

struct trace_plan {
    std::string deployment = "wales"; // or "caribbean"
    trace_shape shape = trace_shape::Calm;
    std::uint64_t seed = 1;
    std::chrono::milliseconds length { 20'000 };
    double perSecond = 20; // mean arrival rate of all accounts together under constant load
};

// False if the name is none of calm, rain, flood, poison.
bool parseTraceShape(std::string_view name, trace_shape& shape);
// The same plan gives the same trace on every machine. There are eight accounts, two of
// them large, and a fifth of the requests are plain calls.
trace makeTrace(const trace_plan& plan);

} // namespace lovagerail
