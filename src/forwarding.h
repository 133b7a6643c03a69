// Forwards each request to a replica of its route's service and decides what follows a
// failed attempt: another attempt, or an error whose status is true about whether the
// request was run.
//
// A pure state machine without I/O: events and the time go in, typed actions come out. The
// owner keeps the bodies, sends the attempts and delivers the answers that actions name.
// Targets are chosen by a router that it shares with its owner.
//
// A request that may have crashed targets is run once more, isolated from other suspects,
// and is rejected if that crashes a target too; instances share these reports (quarantine.h).
//
// An attempt has one of three outcomes. Not run: no byte was sent, or the target refused in
// the documented way. Ran: the target answered. Unknown: anything else; then only
// idempotent requests are attempted again.
//
// A stream that broke off goes on with answers that continue it (stream_continuation.h); any other answer
// is a failed attempt, and the caller sees none of it.
//
// An answer without a proof that it is complete counts as such once a second attempt ends in the same
// way. If there can't be one, it is delivered as what it is.
#pragma once

#include "batch.h"
#include "hedging.h"
#include "quarantine.h"
#include "retry.h"
#include "router.h"
#include "site.h"
#include "stream_continuation.h"
#include "types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace lovagerail {

using forward_id = number_id<struct forward_tag>;
using answer_digest = number_id<struct answer_digest_tag>;

// How an HTTP transfer ended; the values correspond to http::transfer_result.
enum class transfer_state {
    Complete, // the complete answer was received
    Unproven, // the answer ended with its connection: nothing shows that it is complete
    NotSent, // no byte was sent
    NoAnswer, // bytes were sent, but no status was received
    Truncated, // the answer broke off
    Rejected, // ended here: it doesn't go on with the caller's stream
};

struct forward_request {
    forward_id id;
    request_id callerId; // echoed by targets
    site_route route; // as configured when the request arrived; with the regions that the account allows too
    client_account_id account; // empty on open routes
    request_fingerprint fingerprint; // identifies equal requests for the quarantine
    std::optional<duration> deadline; // after arrival, set by the caller
    std::optional<std::uint64_t> lastEventId; // a stream resumes after this event
    target_software software; // that began the stream; empty: it begins now
    std::vector<block_hash> promptBlocks;
    token_count promptTokens;
    token_count expectedTokens;
    bool counted = true; // whether it counts as usage
    bool isOwed = false; // belongs to work accepted earlier: not refused if targets crash while they run it
};

// Status line and headers of a target's answer.
struct forward_head {
    int status = 0;
    bool echoesId = true; // false if the answer names another request than the one sent, so it must be discarded
    bool signedByTarget = false; // whether it has the target's proof
    bool notRun = false; // the target states that it did not run the request
    bool isEventStream = false; // by its media type
};

// --- Actions -----------------------------------------------------------------

struct forward_send {
    forward_id id;
    attempt_id attempt;
    route_choice choice;
    std::optional<duration> deadline; // sent to the target
    std::optional<std::uint64_t> lastEventId;
    bool repeatable = false; // the request is idempotent
};
struct forward_cancel {
    attempt_id attempt;
    std::string_view reason {}; // set if the answer of the target is at fault
};
// Delivers the complete answer of this attempt to the caller unchanged.
struct forward_deliver {
    forward_id id;
    attempt_id attempt;
    std::uint32_t serverFailures = 0; // answers with status 500 so far, this one included
    bool isProven = true; // false: the caller must get it without a length, too
};
// Starts to stream this attempt's answer to the caller: its head, then its events as they arrive.
struct forward_begin_stream {
    forward_id id;
    attempt_id attempt;
};
// Ends the stream to the caller; if it is not complete, the connection is broken off so
// that the caller can tell.
struct forward_end_stream {
    forward_id id;
    bool isComplete = false; // all events of the stream were delivered
};
// Answers the caller with an error generated here.
struct forward_refuse {
    forward_id id;
    int status = 503;
    duration retryAfter {}; // 0 = no Retry-After
    std::string reason;
};
// Reports for usage accounting that a target started to run the request `ago` before now;
// at most once for each request.
struct forward_execution_started {
    forward_id id;
    client_account_id account;
    duration ago {};
};
enum class hedge_event {
    Started,
    Won, // its answer came first, or the first attempt failed
    Lost, // the first attempt was answered first, or the second one failed
    Cancelled, // the request ended without an answer, or the limit has no more
    Refused,
};
// What became of a second attempt within the limit on extra work, or why there was none.
struct forward_hedged {
    forward_id id;
    hedge_event event = hedge_event::Started;
    std::string_view reason;
    target_id first;
    target_id second; // empty if refused
    duration waited {}; // since the first attempt was sent
    duration extraWork {}; // counted for this second attempt
    duration saved {}; // Won: expected time that the first attempt would still have taken
    hedge_policy::usage usage; // of the pool's limit
};
using forward_action = std::variant<forward_send, forward_cancel, forward_deliver, forward_begin_stream, forward_end_stream, forward_refuse, forward_execution_started, forward_hedged>;
std::string_view toString(hedge_event event);

struct forwarding_settings {
    std::uint32_t maxRefusalsBeyondAttempts = 6; // attempts not run that are allowed beyond the route's maximum of attempts
    duration refusedRetryDelay = std::chrono::milliseconds(15); // before targets that refused are tried again
    double hedgeAfterShare = 0.6; // a hedge may start after this share of the route's latency target
    duration noHeadTimeout = std::chrono::milliseconds(900); // a second attempt starts if the first has no answer head after so long
    duration streamEventTimeout = std::chrono::milliseconds(1500); // a stream without an event for so long is resumed at another target
    duration answerMargin = std::chrono::milliseconds(12); // answers are sent so long before the caller's deadline, to reach the caller in time
    duration minAttemptTime = std::chrono::milliseconds(15); // no attempt is made with less time left
    duration noTargetRetryAfter = std::chrono::milliseconds(350); // Retry-After if no replica is live
    duration minLimitRetryAfter = std::chrono::milliseconds(100); // Retry-After if the limits of all targets allow no more
    duration fullRetryAfter = std::chrono::milliseconds(120); // Retry-After if all replicas refused
    duration poolConditionLifetime = std::chrono::milliseconds(250); // a pool's condition is computed at most this often, as it costs O(targets)
    duration cutOffDetection = std::chrono::seconds(3); // longest time from losing the paths to targets until setCutOff()
    retry_settings retries;
    hedging_settings hedging; // where its limit is given, it replaces hedgeAfterShare, noHeadTimeout and the hedge budget of retries
};

struct forwarding_counts {
    std::uint64_t requests = 0;
    std::uint64_t delivered = 0;
    std::uint64_t refused = 0; // answered 503: not run
    std::uint64_t failed = 0; // other errors generated here
    std::uint64_t attempts = 0;
    std::uint64_t hedges = 0;
    std::uint64_t refusedByTarget = 0;
    std::uint64_t crossed = 0; // answers that named another request, which are discarded
    std::uint64_t resumed = 0;
    std::uint64_t disconnectedCallers = 0;
    std::uint64_t quarantined = 0;
    std::uint64_t rateLimited = 0; // refused as all targets are at the limits that they named
    // Second attempts within the limit on extra work; `hedges` counts all.
    std::uint64_t hedgesWon = 0;
    std::uint64_t hedgesLost = 0;
    std::uint64_t hedgesCancelled = 0;
    std::map<std::string_view, std::uint64_t> hedgesStarted; // by reason
    std::map<std::string_view, std::uint64_t> hedgesRefused; // requests by the limit that first refused them
    duration extraWork {}; // time on targets of second attempts
    duration countedWork {}; // time on targets of other attempts that were answered
    duration timeSaved {}; // expected
};

class request_forwarder {
public:
    request_forwarder(forwarding_settings settings, router& targets, quarantine& crashQuarantine);

    // Sets the wall time for the events that follow. Quarantine reports need it, as several
    // instances compare their times.
    void setWallTime(wall_time wall) { m_wallTime = wall; }

    std::vector<forward_action> arrive(forward_request request, instant now);
    std::vector<forward_action> callerDisconnected(forward_id id, instant now);

    // Whether certainly no byte of an open attempt has left for its target. Attempts count as sent
    // until the owner says otherwise.
    void setUnsent(attempt_id attempt, bool unsent);
    std::vector<forward_action> head(attempt_id attempt, const forward_head& head, instant now);
    // Judges an event of the stream to the caller; an empty id is missing or can't be read. The owner passes on
    // those that are next, and ends the attempt as rejected at a broken one.
    event_order streamEvent(attempt_id attempt, std::optional<std::uint64_t> id, event_digest digest, instant now);
    // `digest`: of status and body, for an unproven answer that is not streamed.
    std::vector<forward_action> done(attempt_id attempt, transfer_state end, instant now, answer_digest digest = {});

    // Sets the limit on extra work of second attempts as a share of the pool's work; empty: hedging
    // after fixed delays out of a budget of successes.
    void setExtraWork(std::optional<double> share) { m_hedging.setExtraWork(share); }

    // This instance reaches no target while others do: attempts that break off say nothing of the
    // targets, and those of the last seconds did not either.
    void setCutOff(bool cutOff, instant now);

    // Every request, whether open or still to come, is answered by then: the process ends after it.
    void setLatestEnd(instant latestEnd);

    // Handles deadlines, hedges and delayed attempts. To be called about every 20 ms while open() > 0.
    std::vector<forward_action> tick(instant now);

    std::size_t open() const { return m_open.size(); }
    const forwarding_counts& counts() const { return m_counts; }
    // Whether the answer of this attempt goes to the caller as a stream, as it arrives.
    bool isStreaming(attempt_id attempt) const;
    // Whether the attempt is open.
    bool isAttemptOpen(attempt_id attempt) const { return m_byAttempt.contains(attempt); }

private:
    struct open_attempt {
        attempt_id id;
        route_choice choice;
        instant sentAt;
        instant lastReceivedAt;
        std::optional<forward_head> head;
        bool isolated = false;
        bool unsent = false;
        routing_class_id pool;
        double slowdown = 1; // of its target when it was sent
        instant workFrom; // its time from here on is not extra work; sentAt except for an attempt that was a second one
        bool isSecond = false; // beside an open first attempt, within the limit on extra work
        target_id hedgeOf; // target of the first attempt
    };
    struct unproven_answer {
        answer_digest digest;
        target_id target;
    };
    struct open_forward {
        forward_request request;
        instant arrived;
        instant expires; // when the caller must be answered at the latest
        std::vector<open_attempt> attempts; // at most two: the second is a hedge, as long as the first is open
        std::vector<target_id> tried; // excluded while there are other targets
        std::uint32_t runs = 0; // attempts that ran or may have run
        std::uint32_t refusals = 0; // attempts that did not run
        std::uint32_t serverFailures = 0;
        std::optional<instant> nextAttemptAt; // time of the next attempt, if one is scheduled
        bool mayHaveRun = false;
        bool usageReported = false;
        bool hedged = false;
        bool hedgeRefused = false; // a refusal was reported
        std::optional<attempt_id> streaming; // the attempt whose events go to the caller
        bool streamStarted = false; // the caller has the head of a stream
        target_software software; // that made the events which the caller has; empty: none yet
        passed_events passed; // to the caller, or known to the caller before
        std::optional<unproven_answer> unproven; // the last answer without a proof that it is complete
        std::optional<std::uint64_t> unprovenEnd; // last event of the stream when a run ended without such a proof
    };

    open_forward* find(attempt_id attempt);
    attempt_id newAttempt() { return attempt_id(++m_lastAttempt); }
    routing_class_id classOf(const service_id& service, const region_list& regions) const;
    routing_class_id classFor(const open_forward& forward) const;
    route_request routeRequestFor(const open_forward& forward, bool isolated) const;
    bool trySend(open_forward& forward, instant now);
    void waitForLimit(open_forward& forward, const routing_class_id& routingClass, instant now);
    void sendTo(open_forward& forward, const route_choice& choice, const route_request& routeRequest, bool isolated, instant now);
    void reportBrokenAttempt(const open_forward& forward, const open_attempt& attempt, instant now);
    void checkForCrashes();
    void endAttempt(open_forward& forward, const open_attempt& attempt, attempt_outcome outcome, instant now);
    void onRunStarted(open_forward& forward, const open_attempt& attempt, instant now);
    void retryOrRefuse(open_forward& forward, instant now);
    void onStreamHead(open_forward& forward, open_attempt& answered, instant now);
    void rejectAnswer(open_forward& forward, const open_attempt& answered, std::string_view reason, instant now);
    void onStreamEnd(open_forward& forward, const open_attempt& ended, bool isProven, instant now);
    void onAnswer(open_forward& forward, const open_attempt& ended, bool isProven, answer_digest digest, instant now);
    void cancelAll(open_forward& forward, std::optional<attempt_id> except, instant now);
    void refuse(open_forward& forward, int status, duration retryAfter, std::string reason, instant now);
    void finish(open_forward& forward);
    void expire(open_forward& forward, instant now);
    void tickOne(open_forward& forward, instant now);
    void hedgeAfterFixedDelay(open_forward& forward, instant now);
    void hedgeWithinLimit(open_forward& forward, instant now);
    void refuseHedge(open_forward& forward, hedge_refusal refusal, instant now);
    void stopSecondBeyondLimit(open_forward& forward, instant now);
    void accountAttempt(open_forward& forward, attempt_id attempt, attempt_outcome outcome, instant now);
    void endSecond(open_forward& forward, hedge_event event, std::string_view reason, instant now);
    const pool_condition& poolCondition(const routing_class_id& pool, instant now);
    std::vector<forward_action> takeActions();

    forwarding_settings m_settings;
    router& m_router;
    quarantine& m_quarantine;
    instant m_latestEnd = instant::max();
    wall_time m_wallTime {};
    retry_policy m_retries;
    hedge_policy m_hedging;
    struct cached_condition {
        pool_condition condition;
        instant computedAt;
    };
    std::map<routing_class_id, cached_condition> m_poolConditions; // of pools with slow requests lately
    instant m_nextHedgingCleanup {};
    bool m_cutOff = false;
    struct reported_break {
        request_fingerprint request;
        blame_id blame;
        instant reportedAt;
    };
    std::deque<reported_break> m_reportedBreaks; // of the last cutOffDetection, oldest first
    std::uint64_t m_lastAttempt = 0;
    std::map<forward_id, open_forward> m_open;
    std::map<attempt_id, forward_id> m_byAttempt; // exactly the open attempts
    // Requests that wait since the last tick as all targets of their class are at a limit.
    struct limit_queue {
        std::uint32_t waiting = 0;
        duration timePerRequest {};
    };
    std::map<routing_class_id, limit_queue> m_limitQueues;
    std::vector<forward_id> m_finished; // erased in takeActions(), when the event has been handled
    forwarding_counts m_counts;
    std::vector<forward_action> m_actions;
};

// Name of the routing class of a service's replicas.
routing_class_id serviceClass(const service_id& service);

} // namespace lovagerail
