// Forwards one request at a time to a replica of its route's service and decides what
// a failed attempt means: again elsewhere, or which truthful answer.
//
// A pure state machine: events and the time go in, typed actions come out. Bodies stay
// with its owner, which sends attempts and hands over what an action names. Targets are
// chosen by the router that it shares with its owner.
//
// A request that brought down targets runs apart from other suspects once more, and is
// then refused, by the marks that instances share (quarantine.h).
//
// Outcomes are three. Not run: no byte left, or the target refused in a documented way.
// Ran: the target answered. Unknown: anything else; only idempotent work goes on then.
#pragma once

#include "batch.h"
#include "quarantine.h"
#include "retry.h"
#include "router.h"
#include "site.h"
#include "types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace lovagerail {

using forward_id = number_id<struct forward_tag>;

// How a transfer ended, in the words of http::transfer_result.
enum class transfer_state {
    Whole,
    NotSent,
    NoAnswer,
    Truncated,
};

struct forward_request {
    forward_id id;
    request_id callerId; // echoed by targets
    site_route route; // as it was in force when the request came
    client_account_id account; // empty on open routes
    request_fingerprint fingerprint; // of what it asks for
    std::optional<duration> deadline; // from its arrival; the caller waits no longer
    std::optional<std::uint64_t> lastEventId; // a stream goes on behind this event
    std::vector<block_hash> promptBlocks;
    token_count promptTokens;
    token_count expectedTokens;
    bool counted = true; // in usage
};

// What the head of an answer says.
struct forward_head {
    int status = 0;
    bool echoes = true; // it names this request, or no request at all
    bool signedByTarget = false;
    bool notRun = false;
};

// --- Actions -----------------------------------------------------------------

struct forward_send {
    forward_id id;
    attempt_id attempt;
    route_choice choice;
    std::optional<duration> deadline; // that the target is told
    std::optional<std::uint64_t> lastEventId;
    bool repeatable = false; // the work is idempotent
};
struct forward_cancel {
    attempt_id attempt;
};
// The whole answer of this attempt goes to the caller unchanged.
struct forward_deliver {
    forward_id id;
    attempt_id attempt;
    std::uint32_t serverFailures = 0; // answers of 500 so far, this one included
};
// The head of this attempt's answer, then its events as they come.
struct forward_begin_stream {
    forward_id id;
    attempt_id attempt;
};
// The stream ended whole, or breaks off visibly.
struct forward_end_stream {
    forward_id id;
    bool whole = false;
};
// An answer of our own.
struct forward_refuse {
    forward_id id;
    int status = 503;
    duration retryAfter {}; // 0 = not said
    std::string reason;
};
// A target began to run the request this long ago; told once.
struct forward_began {
    forward_id id;
    client_account_id account;
    duration ago {};
};
using forward_action = std::variant<forward_send, forward_cancel, forward_deliver, forward_begin_stream, forward_end_stream, forward_refuse, forward_began>;

struct forwarding_settings {
    std::uint32_t refusalsBeyondAttempts = 6; // sends that targets refused, beside those that ran
    duration refusedPause = std::chrono::milliseconds(15); // before a target that refused is asked again
    double hedgeShare = 0.6; // of the route's latency target; then a second attempt may start
    duration silence = std::chrono::milliseconds(900); // an attempt without a head for so long is given a second
    duration streamGap = std::chrono::milliseconds(1500); // a stream without an event for so long is resumed elsewhere
    duration answerMargin = std::chrono::milliseconds(12); // our answer leaves so long before the caller's deadline: the way back
    duration shortestOffer = std::chrono::milliseconds(15); // an attempt with less time left is not made
    duration noTargetRetry = std::chrono::milliseconds(350); // when no replica is known
    duration fullRetry = std::chrono::milliseconds(120); // when all replicas refused
    retry_settings retries;
};

struct forwarding_counts {
    std::uint64_t requests = 0;
    std::uint64_t delivered = 0;
    std::uint64_t refused = 0; // 429 and 503: not run
    std::uint64_t failed = 0; // other answers of our own
    std::uint64_t attempts = 0;
    std::uint64_t hedges = 0;
    std::uint64_t refusedByTarget = 0;
    std::uint64_t crossed = 0; // answers that named another request
    std::uint64_t resumed = 0;
    std::uint64_t callersGone = 0;
    std::uint64_t quarantined = 0;
};

class forwarding {
public:
    forwarding(forwarding_settings settings, router& targets, quarantine& marks);

    // The time of day as of the events that follow: marks of several instances share it.
    void takeWall(wall_time wall) { m_wall = wall; }

    std::vector<forward_action> arrive(forward_request request, instant now);
    std::vector<forward_action> callerGone(forward_id id, instant now);

    std::vector<forward_action> head(attempt_id attempt, const forward_head& head, instant now);
    // Events of a begun stream; only those behind the last one may be handed on.
    void progress(attempt_id attempt, std::uint64_t lastEventId, instant now);
    std::vector<forward_action> done(attempt_id attempt, transfer_state end, instant now);

    // Deadlines, hedges and delayed tries; call it every 20 ms or so while open() > 0.
    std::vector<forward_action> tick(instant now);

    std::size_t open() const { return m_open.size(); }
    const forwarding_counts& counts() const { return m_counts; }
    // True if the attempt is still waited for.
    bool waitsFor(attempt_id attempt) const { return m_byAttempt.contains(attempt); }

private:
    struct open_attempt {
        attempt_id id;
        route_choice choice;
        instant sentAt;
        instant lastHeard;
        std::optional<forward_head> head;
        bool asSuspect = false;
    };
    struct open_forward {
        forward_request request;
        instant arrived;
        instant expires; // our answer is due
        std::vector<open_attempt> attempts; // at most two
        std::vector<target_id> tried; // not asked again while others are left
        std::uint32_t runs = 0; // attempts that ran or may have
        std::uint32_t refusals = 0; // by targets
        std::uint32_t serverFailures = 0;
        std::optional<instant> nextTry; // none while an attempt is open or nothing more is tried
        bool mayHaveRun = false;
        bool counted = false;
        bool hedged = false;
        std::optional<attempt_id> streaming; // its events go to the caller
        bool begunStream = false;
        std::optional<std::uint64_t> lastEventId;
    };

    open_forward* find(attempt_id attempt);
    attempt_id newAttempt() { return attempt_id(++m_lastAttempt); }
    routing_class_id classFor(const forward_request& request) const;
    bool trySend(open_forward& one, instant now);
    void sendTo(open_forward& one, const route_choice& choice, const route_request& asked, bool asSuspect, instant now);
    void blame(const open_forward& one, const open_attempt& attempt);
    void noticeDeaths();
    void endAttempt(open_forward& one, const open_attempt& attempt, attempt_outcome outcome, instant now);
    void began(open_forward& one, const open_attempt& attempt, instant now);
    void afterFailure(open_forward& one, instant now);
    void cancelAll(open_forward& one, std::optional<attempt_id> except, instant now);
    void refuse(open_forward& one, int status, duration retryAfter, std::string reason, instant now);
    void finish(open_forward& one);
    void expire(open_forward& one, instant now);
    void tickOne(open_forward& one, instant now);
    std::vector<forward_action> take();

    forwarding_settings m_settings;
    router& m_router;
    quarantine& m_marks;
    wall_time m_wall {};
    retry_policy m_retries;
    std::uint64_t m_lastAttempt = 0;
    std::map<forward_id, open_forward> m_open;
    std::map<attempt_id, forward_id> m_byAttempt; // exactly the open attempts
    std::vector<forward_id> m_finished; // erased at the end of an event
    forwarding_counts m_counts;
    std::vector<forward_action> m_actions;
};

// The routing class that holds all live replicas of a service.
routing_class_id serviceClass(const service_id& service);

} // namespace lovagerail
