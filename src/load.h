// Expected wait at each target, from the requests that this daemon has in flight and from
// load reports, which lag.
//
// A report measured at time t includes the requests that this daemon had in flight at t.
// What exceeds them is other senders' load; our own count of now is added to that, so
// that no request counts twice. Engines with continuous batching and plain services have
// a cost model each, whose parameters are learned from observed times by bounded moving
// averages.
//
// Targets on shared machines also report how much slower than usual work is at the moment. The value
// changes many times per second, and a report may be old when it is used. So the expected slowdown of
// a request moves from the last reported value towards an average over seconds as the report ages and
// as the request outlasts short noise; without reports, both fade to the usual speed. Learned times
// are divided by the slowdown under which they were observed, so that it is not counted twice.
//
// Every event is O(log f) for f requests in flight; an estimate is O(1).
#pragma once

#include "target_table.h"
#include "types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace lovagerail {

// A target's report of its own load; measuredAt is by our clock.
struct load_report {
    target_id target;
    lovagerail::incarnation incarnation;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    double kvCacheUsage = 0; // 0..1
    // How long work takes at the moment, in multiples of the usual time; empty if not stated.
    std::optional<double> slowdown;
    weight_version version;
    model_id model;
    instant measuredAt;
};

// What one request is expected to cost at a target.
struct request_cost {
    token_count prefill; // prompt tokens that the target's cache doesn't hold
    token_count decode; // expected generated tokens
};

// Learned speeds of one target while its machine is as fast as usual; initial values until something
// was observed.
struct target_speed {
    double prefillTokensPerSecond = 8000;
    double secondsPerToken = 0.02; // of one stream in a small batch
    double batchSlowdown = 0.02; // relative growth of secondsPerToken per other stream
    double batchLimit = 32; // streams that an engine runs at a time
    double serviceSeconds = 0.02; // plain services: time of one request without queueing
    double serviceWorkers = 4; // plain services: requests run at a time
};

struct load_settings {
    target_speed initialSpeed;
    double learningRate = 0.05; // weight of one observation
    double maxCorrectionFactor = 16; // learned times stay within this factor of the initial ones
    duration historySpan = std::chrono::seconds(20); // reports older than this are ignored
    double kvPressureStart = 0.85; // above this share of the KV cache, waits grow
    double reportWeight = 0.2; // of one report in the moving average of other senders' load
    // A report counts in full up to this age; after it, its weight halves in each further
    // such span.
    duration reportHalfLife = std::chrono::seconds(10);
    bool useSlowdown = true; // false: reported slowdowns are ignored, for comparison
    // In this time half of a difference between the reported slowdown and its average is expected to
    // pass: noise on shared machines lasts hundreds of milliseconds.
    duration slowdownNoiseHalfLife = std::chrono::milliseconds(250);
    // Half-life of the average itself: it follows slowdowns that last seconds.
    duration slowdownAverageHalfLife = std::chrono::milliseconds(1500);
    // Largest weight of one report in that average, however long the last one is ago: a single
    // report may show noise.
    double maxSlowdownWeight = 0.3;
    // The average counts in full for one such span without reports, and half as much after each further
    // one. It fades to what is normal for the target, as otherwise targets without recent reports
    // would look faster than all others under noise.
    duration slowdownFadeHalfLife = std::chrono::seconds(3);
    // Half-life of the normal slowdown of a target; it fades to 1 in the same way without reports.
    duration normalSlowdownHalfLife = std::chrono::seconds(20);
    double maxNormalSlowdownWeight = 0.1; // of one report in the normal slowdown
    // A decode counts as slowed down by its machine only by what exceeds so many times the target's normal
    // slowdown, and with this weight: with the whole value, noise draws requests away from their
    // cached prefixes (docs/design/SHARED-TARGETS.md has the figures).
    double lastingSlowdownThreshold = 1.5;
    double lastingSlowdownWeight = 0.3;
    double maxSlowdown = 16; // reported values are limited to this factor, up and down
};

// The known load of one target, for scores and reports to operators.
struct load_view {
    double ownRequests = 0;
    double otherRequests = 0; // from reports, without ours
    double pendingPrefillTokens = 0;
    double kvCacheUsage = 0;
    bool reported = false;
    double lastingSlowdown = 1; // average over seconds of the reported slowdown, as it counts now; 1 if none is known
};

// Expected times of a request if it were sent to a target now.
struct load_estimate {
    double requests = 0; // at the target now, ours and other senders'
    duration wait {}; // until its own work begins
    duration processingTime {}; // its prefill, or its processing time at a plain service
    duration slowdown {}; // of its decoding by the other streams, and by a lasting slowness of the machine
    duration total {}; // until the complete answer
};

class load_tracker {
public:
    explicit load_tracker(load_settings settings = {});

    // Deletes what was learned of a slot; its attempts in flight no longer count.
    void reset(target_slot slot, target_kind kind);

    // An attempt was sent to the target.
    void recordSent(attempt_id attempt, target_slot slot, request_cost cost, instant now);
    // The first token came: prefill is done. Ignored for unknown attempts.
    void firstToken(attempt_id attempt, instant now);
    // The attempt ended in any way; a second call is ignored. The cost model learns only
    // from the times of complete answers.
    void finished(attempt_id attempt, bool isComplete, token_count generated, instant now);

    // False if the report is older than one already applied, or too old to use.
    bool applyReport(target_slot slot, const load_report& report, instant now);

    // The expected times of a request if it were sent now.
    load_estimate estimate(target_slot slot, request_cost cost, instant now) const;

    load_view view(target_slot slot, instant now) const;
    // Requests that we sent and that haven't ended.
    std::uint32_t ownOutstanding(target_slot slot) const;
    // The mean slowdown that work of this length, at the usual speed, is expected to meet if it
    // starts now; 1 where targets state none.
    double slowdown(target_slot slot, duration work, instant now) const;
    const target_speed& speed(target_slot slot) const;

private:
    // A change of our own number of requests in flight. Later changes are subtracted to get
    // the number at the time a report was measured.
    struct own_change {
        instant at;
        int requests = 0;
    };
    struct slot_load {
        target_kind kind = target_kind::Engine;
        std::uint32_t generation = 0; // grows with reset(), so that old attempts don't count
        std::uint32_t ownRequests = 0; // attempts in flight, never negative
        double ownPrefillTokens = 0; // of attempts without a first token, never negative
        std::deque<own_change> history; // oldest first, none before historyFrom
        instant historyFrom; // reports measured before this time can't be corrected
        bool reported = false;
        instant measuredAt; // of the newest report applied
        double otherRequests = 0; // of other senders at measuredAt, never negative
        double otherRequestsAverage = 0; // moving average over reports
        double waitingShare = 0; // share of requests that had not started
        std::uint32_t waitingReports = 0; // consecutive reports with requests waiting
        double kvCacheUsage = 0;
        std::optional<instant> slowdownAt; // of the newest report with a slowdown; empty: none yet
        double reportedSlowdown = 1; // by that report; within load_settings::maxSlowdown
        double averageSlowdown = 1; // moving average over seconds, in the same bounds
        double normalSlowdown = 1; // moving average over tens of seconds, in the same bounds
        target_speed speed;
        double meanPrefillTokens = 500; // of one request
        double meanDecodeTokens = 200;
    };
    struct attempt_entry {
        target_slot slot;
        std::uint32_t generation = 0;
        request_cost cost;
        instant sentAt;
        instant firstTokenAt;
        bool started = false; // first token came
        double prefillTokensAhead = 0; // prefill tokens pending at the target when it was sent
        double requestsAhead = 0; // requests at the target when it was sent
    };

    slot_load& at(target_slot slot);
    const slot_load& at(target_slot slot) const;
    void changeOwnCount(slot_load& load, int requests, instant now) const;
    double otherRequestsNow(const slot_load& load, instant now) const;
    double requestsNow(const slot_load& load, instant now) const;
    double pendingPrefill(const slot_load& load, instant now) const;
    double waitSeconds(const slot_load& load, instant now) const;
    void applySlowdown(slot_load& load, const load_report& report) const;
    double normalSlowdown(const slot_load& load, instant now) const;
    double lastingSlowdown(const slot_load& load, instant now) const;
    double slowdownFor(const slot_load& load, double workSeconds, instant now) const;
    void learnLimit(slot_load& load, const load_report& report) const;
    void learnPrefill(slot_load& load, const attempt_entry& entry, instant now) const;
    void learnFromAnswer(slot_load& load, const attempt_entry& entry, token_count generated, instant now) const;
    void updateEstimate(double& value, double observed, double initial, double rate) const;

    load_settings m_settings;
    std::vector<slot_load> m_slots;
    slot_load m_initialLoad;
    std::map<attempt_id, attempt_entry> m_attempts;
};

} // namespace lovagerail
