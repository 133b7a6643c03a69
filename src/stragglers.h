// Keeping a step from waiting for its last samples: forecasts, priorities,
// sharing between runs and moving of long streams.
//
// None of this looks at how a sample turns out, so none biases samples towards
// short answers. Over-provisioned groups whose slowest members are cancelled do,
// and are therefore not offered; docs/ROLLOUTS.md gives the measured bias.
#pragma once

#include "types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lovagerail {

// What is known when a sample could be started.
struct age_forecast {
    weight_version trainer; // the trainer's current version
    weight_version served; // the oldest that targets of the run serve
    std::uint64_t stepsAhead = 0; // steps that have to be handed over before
    bool trainerWaits = false; // for this very step, and so publishes nothing
    duration expected {}; // how long such a sample takes until its hand-over
    duration cadence {}; // between published versions; 0 if unknown
};

// Versions that the sample will lie behind at its hand-over.
std::uint64_t predictAge(const age_forecast& forecast);

// An engine's priority (lower first): the step that the trainer waits for goes first,
// and each `priorityStep` of waiting raises a sample by one level, up to a ceiling.
std::int32_t dispatchPriority(std::uint64_t stepsAhead, bool trainerWaits, duration waited, duration priorityStep);

// Smoothed mean of durations, of weight 1/8 for the newest.
class smoothed_duration {
public:
    void add(duration sample);
    duration value() const { return m_value; }

private:
    duration m_value {};
    bool m_any = false;
};

// Shares room at the engines between runs by weight: start-time fair queueing on
// the tokens that were charged. A run that comes back from idleness starts at the
// present virtual time, so it neither catches up nor waits. Of `floorOneIn` picks
// one goes to the run that was passed over longest, so that a run of small weight moves too.
// O(runs) per pick; a coordinator has few runs.
class run_share {
public:
    explicit run_share(std::uint32_t floorOneIn = 16);

    void setWeight(const run_id& run, std::uint32_t weight);
    void remove(const run_id& run);
    // One of the given runs, each with a backlog; none if the list is empty.
    std::optional<run_id> pick(const std::vector<run_id>& backlogged);
    // Tokens, prompt and completion, that a run was given.
    void charge(const run_id& run, token_count tokens);

private:
    struct account {
        std::uint32_t weight = 1; // at least 1
        std::uint64_t virtualTime = 0;
        std::uint64_t lastPick = 0;
    };

    std::uint32_t m_floorOneIn;
    std::uint64_t m_picks = 0;
    std::uint64_t m_virtualTime = 0; // never falls
    std::map<run_id, account> m_runs;
};

// A stream that could be moved.
struct running_stream {
    std::uint64_t stream = 0; // the caller's handle
    target_id target;
    std::uint32_t tokens = 0; // made so far
    std::uint32_t maxTokens = 0;
};

struct stream_target {
    target_id id;
    std::uint32_t tokensPerSecond = 0; // of one stream, as observed
    std::uint32_t freeStreams = 0;
    bool exportsCache = false; // KV export and import
};

struct migration_hint {
    std::uint64_t stream = 0;
    target_id from;
    target_id to;
};

// Moves streams whose remaining time would at least halve elsewhere, longest first,
// at most `limit` of them. The move itself costs `moveCost`. O(s log s + s t).
std::vector<migration_hint> migrationHints(std::vector<running_stream> streams, std::vector<stream_target> targets,
    duration moveCost, std::size_t limit);

} // namespace lovagerail
