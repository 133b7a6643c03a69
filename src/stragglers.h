// Straggler mitigation for rollouts, which keeps a step from waiting long for its last
// samples: staleness forecasts, dispatch priorities, weighted sharing of engines between
// runs, and hints to migrate long streams.
//
// None of this depends on a sample's content or length, so none of it biases samples
// towards short completions. Over-provisioning groups and cancelling their slowest members
// would, and is therefore not offered; docs/ROLLOUTS.md gives the measured bias.
#pragma once

#include "types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lovagerail {

// Inputs for predicting the age of a sample that could be started now.
struct age_forecast {
    weight_version trainer; // the trainer's current version
    weight_version served; // the oldest version that targets of the run serve
    std::uint64_t stepsAhead = 0; // steps that have to be handed over before the sample's step
    bool trainerWaits = false; // the trainer waits for this step, so it publishes no version before
    duration timeUntilReady {}; // time until the sample is ready to be handed over
    duration publishInterval {}; // time between published versions; 0 if unknown
};

// Number of versions that the sample will be behind the trainer at its hand-over.
std::uint64_t predictAge(const age_forecast& forecast);

// Priority of a sample at an engine; lower is more urgent. The step that the trainer waits
// for goes first, and each `priorityStep` of waiting raises a sample by one level, up to
// a limit.
std::int32_t dispatchPriority(std::uint64_t stepsAhead, bool trainerWaits, duration waited, duration priorityStep);

// Exponentially weighted moving average of durations; the newest has weight 1/8.
class smoothed_duration {
public:
    void add(duration sample);
    duration value() const { return m_value; }

private:
    duration m_value {};
    bool m_hasValue = false;
};

// Shares engine capacity between runs by weight: start-time fair queueing by the tokens
// charged. A run that was idle resumes at the current virtual time, so it is neither
// compensated for the idle time nor delayed. One in `starvationInterval` picks goes to the run
// that was picked least recently, so that a run of small weight isn't starved.
// O(runs) per pick; a coordinator has few runs.
class run_scheduler {
public:
    explicit run_scheduler(std::uint32_t starvationInterval = 16);

    void setWeight(const run_id& run, std::uint32_t weight);
    void remove(const run_id& run);
    // Picks one of the given runs, each of which has a backlog; none if the list is empty.
    std::optional<run_id> pick(const std::vector<run_id>& backlogged);
    // Charges a run for prompt and completion tokens.
    void charge(const run_id& run, token_count tokens);

private:
    struct account {
        std::uint32_t weight = 1; // at least 1
        std::uint64_t virtualTime = 0;
        std::uint64_t lastPick = 0;
    };

    std::uint32_t m_starvationInterval;
    std::uint64_t m_picks = 0;
    std::uint64_t m_virtualTime = 0; // never falls
    std::map<run_id, account> m_runs;
};

// A stream that could be migrated.
struct running_stream {
    std::uint64_t stream = 0; // the caller's handle
    target_id target;
    std::uint32_t tokens = 0; // generated so far
    std::uint32_t maxTokens = 0;
};

struct stream_target {
    target_id id;
    std::uint32_t tokensPerSecond = 0; // of one stream, as observed; 0 if unknown
    std::uint32_t freeStreams = 0; // streams that it can still take
    bool exportsCache = false; // supports export and import of KV caches
};

struct migration_hint {
    std::uint64_t stream = 0;
    target_id from;
    target_id to;
};

// Proposes at most `limit` migrations, of streams whose remaining time, including
// `migrationCost` for the migration itself, would at least halve on another target; streams
// with the most tokens left come first. O(s log s + s t) for s streams and t targets.
std::vector<migration_hint> migrationHints(std::vector<running_stream> streams, std::vector<stream_target> targets,
    duration migrationCost, std::size_t limit);

} // namespace lovagerail
