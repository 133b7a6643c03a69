// Expected wait at each target: what this daemon sent and has not finished,
// corrected by lagging load reports.
//
// A report measured at time t contains our own sends before t. What it shows
// beyond them is other senders' load; our sends after t are added on top. Engines
// that batch continuously and plain services have their own cost models, whose
// parameters are learned from observed times by bounded moving averages.
//
// Every event is O(log f) for f requests in flight; an estimate is O(1).
#pragma once

#include "target_table.h"
#include "types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace lovagerail {

// What a target says of itself; measuredAt is on our clock.
struct load_report {
    target_id target;
    lovagerail::incarnation incarnation;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    double kvCacheUsage = 0; // 0..1
    weight_version version;
    model_id model;
    instant measuredAt;
};

// What one request is expected to cost at a target.
struct request_cost {
    token_count prefill; // prompt tokens that the target's cache doesn't hold
    token_count decode; // expected generated tokens
};

// Times learned of one target, or of its kind before anything was seen.
struct target_speed {
    double prefillTokensPerSecond = 8000;
    double secondsPerToken = 0.02; // of one stream in a small batch
    double batchSlowdown = 0.02; // growth of secondsPerToken per other stream
    double batchLimit = 32; // streams that an engine runs at once
    double serviceSeconds = 0.02; // plain services: one request alone
    double serviceWorkers = 4; // plain services: requests run at once
};

struct load_settings {
    target_speed initialSpeed;
    double learningRate = 0.05; // weight of one observation
    double largestCorrection = 16; // learned times stay within this factor of the initial ones
    duration historySpan = std::chrono::seconds(20); // reports older than this are ignored
    double kvPressureStart = 0.85; // above this share of the KV cache, waits grow
    double reportWeight = 0.2; // of one report in the mean of others' load
    duration reportTrust = std::chrono::seconds(10); // age at which a report counts for half
};

// The load seen at one target, for scores and reports to operators.
struct load_view {
    double ownRequests = 0;
    double otherRequests = 0; // from reports, without ours
    double pendingPrefillTokens = 0;
    double kvCacheUsage = 0;
    bool reported = false;
};

// What a request would meet at a target.
struct load_estimate {
    double requests = 0; // ours and others' there now
    duration wait {}; // until its own work begins
    duration own {}; // its prefill, or its whole run at a plain service
    duration slowdown {}; // of its decoding by the other streams
    duration total {}; // until the whole answer
};

class load_book {
public:
    explicit load_book(load_settings settings = {});

    // Forgets what was learned of a slot; its attempts in flight no longer count.
    void reset(target_slot slot, target_kind kind);

    // An attempt left for the target.
    void sent(attempt_id attempt, target_slot slot, request_cost cost, instant now);
    // The first token came: prefill is done. Ignored for unknown attempts.
    void firstToken(attempt_id attempt, instant now);
    // The attempt ended in any way; a second call is ignored. Times of whole
    // answers teach the cost model.
    void finished(attempt_id attempt, bool wholeAnswer, token_count generated, instant now);

    // False if the report is older than one already taken, or too old to use.
    bool applyReport(target_slot slot, const load_report& report, instant now);

    // What a request would meet if it were sent now.
    load_estimate estimate(target_slot slot, request_cost cost, instant now) const;

    load_view view(target_slot slot, instant now) const;
    // Requests that we sent and that haven't ended.
    std::uint32_t ownOutstanding(target_slot slot) const;
    const target_speed& speed(target_slot slot) const;

private:
    // A change of our own count of requests at one time; undone to know the
    // count at an earlier time.
    struct own_change {
        instant at;
        int requests = 0;
    };
    struct slot_load {
        target_kind kind = target_kind::Engine;
        std::uint32_t generation = 0; // grows with reset(), so that old attempts don't count
        std::uint32_t own = 0; // attempts in flight, never negative
        double ownPrefillTokens = 0; // of attempts without a first token, never negative
        std::deque<own_change> history; // oldest first, none before historyFrom
        instant historyFrom; // reports measured before can't be corrected
        bool reported = false;
        instant measuredAt; // of the newest report taken
        double otherRequests = 0; // at measuredAt, never negative
        double otherMean = 0; // moving average over reports
        double waitingShare = 0; // share of requests that had not started
        std::uint32_t waitingReports = 0; // on end, with requests waiting
        double kvCacheUsage = 0;
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
        double aheadTokens = 0; // prefill tokens that were ahead of it when sent
        double aheadRequests = 0; // requests that were there when sent
    };

    slot_load& at(target_slot slot);
    const slot_load& at(target_slot slot) const;
    void addOwn(slot_load& load, int requests, instant now) const;
    double otherRequestsNow(const slot_load& load, instant now) const;
    double requestsNow(const slot_load& load, instant now) const;
    double pendingPrefill(const slot_load& load, instant now) const;
    double waitSeconds(const slot_load& load, instant now) const;
    void learnLimit(slot_load& load, const load_report& report) const;
    void learnPrefill(slot_load& load, const attempt_entry& entry, instant now) const;
    void learnWhole(slot_load& load, const attempt_entry& entry, token_count generated, instant now) const;
    void learn(double& value, double observed, double initial, double rate) const;

    load_settings m_settings;
    std::vector<slot_load> m_slots;
    slot_load m_unseen; // what an untouched slot looks like
    std::map<attempt_id, attempt_entry> m_attempts;
};

} // namespace lovagerail
