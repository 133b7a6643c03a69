// The data path's decisions: from a caller's request or a rollout's job to attempts
// at targets, and from what targets say to one whole answer.
//
// A pure state machine: events and the time go in, typed actions come out. One
// daemon has one, owned by its serving thread. Routing and authentication are
// parts that it drives; usage, burn and the journal are told of by records.
//
// Outcomes towards callers are three: not run (no byte left for a target, or the
// target itself refused), ran, and unknown. An unknown outcome is tried again only
// if the work is idempotent.
#pragma once

#include "account_limiter.h"
#include "burn.h"
#include "config.h"
#include "fairness.h"
#include "generation.h"
#include "idempotency.h"
#include "journal.h"
#include "keys.h"
#include "placement.h"
#include "quarantine.h"
#include "retry.h"
#include "router.h"
#include "types.h"
#include "usage.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace lovagerail {

using header_list = std::vector<std::pair<std::string, std::string>>;

// The edge's name for a caller's open request.
using caller_handle = number_id<struct caller_handle_tag>;
// A piece of work of our own, such as one sample's generation.
using job_id = number_id<struct job_tag>;

// --- Events ------------------------------------------------------------------

struct caller_request {
    caller_handle handle;
    std::string method;
    std::string path;
    std::string query; // without '?', still encoded
    header_list headers; // names in lower case
    std::string body;
};

struct generation_job {
    job_id job;
    client_account_id account;
    run_id run;
    std::string prompt;
    std::string madeSoFar; // text kept from earlier attempts
    std::uint32_t maxTokens = 0; // of what is still to be made
    std::int32_t priority = 0;
    duration deadline {}; // from now; 0 = the longest request time
};

// A call of our own to a plain service, such as a judge.
struct service_job {
    job_id job;
    client_account_id account;
    route_id route;
    std::string method = "POST";
    std::string path;
    std::string body;
    std::string idempotencyKey;
    duration deadline {}; // from now
};

// What the transfer of an attempt came to, in the words of http::transfer_result.
enum class transfer_end {
    Whole,
    NotSent,
    NoAnswer,
    Truncated,
};

// --- Actions -----------------------------------------------------------------

struct begin_answer {
    caller_handle handle;
    int status = 200;
    header_list headers;
};
struct append_answer {
    caller_handle handle;
    std::string bytes;
};
struct end_answer {
    caller_handle handle;
};
// The caller sees a broken answer, never a short one.
struct abort_answer {
    caller_handle handle;
};
struct whole_answer {
    caller_handle handle;
    int status = 200;
    header_list headers;
    std::string body;
};
// Calls of trainers, whose run is coordinated elsewhere; already authenticated.
struct trainer_request {
    caller_handle handle;
    client_account_id account;
    std::string method;
    std::string path;
    std::string query;
    std::string body;
};
struct send_attempt {
    attempt_id attempt;
    std::string method;
    std::string url;
    header_list headers;
    std::string body;
    bool repeatable = false; // the work is idempotent
};
struct cancel_attempt {
    attempt_id attempt;
};
// News of a job: started, a piece, the end.
struct job_news {
    enum class kind {
        Accepted,
        Piece,
        Finished,
        Failed, // may be tried again; `notRun` says whether a target may have run it
    };
    job_id job;
    kind what = kind::Failed;
    stream_piece piece;
    std::string text; // Finished: all text made under this job, or the service's answer
    int status = 0; // Finished: of the service's answer
    bool notRun = false;
    std::string reason;
};

// What is to be counted or remembered; whoever keeps the books takes each once.
using serving_record = std::variant<attempt_usage, refused_usage, request_served, journal_entry>;

using serving_action = std::variant<begin_answer, append_answer, end_answer, abort_answer, whole_answer, trainer_request,
    send_attempt, cancel_attempt, job_news, serving_record>;

// --- The machine ---------------------------------------------------------------

struct serving_settings {
    instance_id instance;
    incarnation life;
    failure_domain_id failureDomain;
    duration longestRequest = std::chrono::seconds(120);
    std::size_t longestBuffered = 8 << 20; // bytes of a plain service's answer
    std::size_t mostPerTarget = 32; // requests that all instances together have at a target, on average
    std::size_t leastWindow = 8; // requests that one instance may have at a class of targets at least
    fairness_settings fairness;
    limiter_settings limits;
    idempotency_settings keyed;
    quarantine_settings quarantine;
    retry_settings retries;
    policy_kind policy = policy_kind::ExpectedCost;
};

struct serving_counts {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t resumed = 0;
    std::uint64_t retried = 0;
    std::uint64_t crossed = 0; // answers that named another attempt
    std::uint64_t cancelled = 0;
    std::uint64_t quarantined = 0;
    std::uint64_t limited = 0;
};

class serving {
public:
    explicit serving(serving_settings settings);

    // Knowledge.
    void setConfig(config_ptr inForce);
    // Withdrawn ahead of configuration; streams of these keys end at once.
    std::vector<serving_action> deny(const std::vector<deny_mark>& marks, instant now);
    // Without a confirmed configuration, keyed requests are refused.
    void setCutOff(bool cutOff) { m_cutOff = cutOff; }
    // No new requests; those under way go on.
    void setDraining(bool draining) { m_draining = draining; }
    router& targets() { return m_router; }
    // How many instances share the limits and the targets.
    void setInstances(std::uint32_t count);
    account_limiter& limiter() { return m_limiter; }
    quarantine& suspects() { return m_quarantine; }

    // Callers.
    std::vector<serving_action> arrive(caller_request request, instant now, wall_time wall);
    std::vector<serving_action> callerGone(caller_handle handle, instant now, wall_time wall);

    // Jobs.
    std::vector<serving_action> arrive(generation_job job, instant now, wall_time wall);
    std::vector<serving_action> arrive(service_job job, instant now, wall_time wall);
    std::vector<serving_action> cancel(job_id job, instant now);

    // Attempts.
    std::vector<serving_action> head(attempt_id attempt, int status, const header_list& headers, instant now);
    std::vector<serving_action> body(attempt_id attempt, std::string_view bytes, instant now);
    std::vector<serving_action> done(attempt_id attempt, transfer_end end, instant now, wall_time wall);

    // Deadlines and housekeeping; call it every 50 ms or so.
    std::vector<serving_action> tick(instant now, wall_time wall);

    bool idle() const { return m_requests.empty(); }
    std::size_t open() const { return m_requests.size(); }
    const serving_counts& counts() const { return m_counts; }
    const key_table& keys() const { return m_keys; }
    const config_ptr& inForce() const { return m_config; }

private:
    using request_number = std::uint64_t;

    struct open_attempt {
        attempt_id id;
        route_choice choice;
        instant sentAt;
        instant firstTokenAt;
        int status = 0;
        bool headSeen = false;
        bool crossed = false;
        bool refusedByTarget = false;
        header_list headers;
        piece_reader reader;
        std::string bytes; // plain services and refusals
        std::uint32_t tokens = 0;
        std::optional<engine_usage> usage;
        weight_version version;
        std::string fault; // why its stream can't be used
        bool asSuspect = false; // it's the second run of a suspect
    };
    struct open_request {
        request_number number = 0;
        request_id id;
        std::optional<caller_handle> caller; // exactly one of caller and job
        std::optional<job_id> job;
        key_id key;
        client_account_id account;
        route_id route;
        run_id run;
        std::string routeName;
        pool_kind kind = pool_kind::Engine;
        bool idempotent = false;
        std::int32_t priority = 0;
        routing_class_id routingClass;
        std::string method;
        std::string target; // path and query for plain services
        header_list headers; // allowed ones for plain services
        std::string body;
        std::optional<generation> made; // engines
        std::vector<block_hash> blocks;
        instant arrived;
        instant deadline;
        instant firstSent;
        instant firstToken;
        std::optional<open_attempt> attempt; // none while it waits for a target
        std::uint32_t attempts = 0;
        bool mayHaveRun = false; // a target may have run it
        bool begun = false; // the head of the answer is sent
        std::vector<target_id> tried;
        instant retryAt;
        request_fingerprint fingerprint;
        std::uint64_t weight = 1; // in the fair queue
        std::string queue; // in front of its targets; empty before it's pushed
        instant leftQueue;
        service_cost spent; // at targets so far
        std::uint64_t estimatedTokens = 0;
        bool admitted = false; // by the account's limits
        idempotency_id keyedBy; // its record; empty without an Idempotency-Key, or once the end is noted
        std::uint64_t claim = 0;
    };

    request_id newRequestId();
    attempt_id newAttemptId();
    std::string attemptName(attempt_id attempt) const;
    open_request* find(attempt_id attempt);

    void refuse(caller_handle handle, int status, std::string_view outcome, std::string_view reason, std::string_view message, duration retryAfter);
    void refuse(open_request& request, int status, std::string_view reason, std::string_view message, duration retryAfter, instant now, wall_time wall);
    bool admitCaller(const caller_request& request, open_request& out, instant now);
    bool readGeneration(caller_request& request, const route& on, open_request& out);
    void readService(caller_request& request, open_request& out) const;
    void classify(open_request& request, const work& item);
    void reclassify(open_request& request);
    void enter(open_request request, instant now, wall_time wall);
    bool claimKey(const caller_request& request, open_request& out, instant now);
    void noteAnswered(open_request& request, int status, std::string_view contentType, std::string_view body, instant now);
    void noteNotAnswered(open_request& request, instant now);
    bool admitByLimits(open_request& request, instant now, wall_time wall);
    bool admitToQueue(open_request& request, instant now, wall_time wall);
    void pump(instant now, wall_time wall);
    std::vector<serving_action> settle(instant now, wall_time wall);
    bool refuseIfQuarantined(open_request& request, instant now, wall_time wall);
    void blame(const open_request& request, transfer_end end, wall_time wall);
    static service_cost costOf(const open_request& request, instant now);
    void leaveQueue(const open_request& request, instant now);
    void noticeDeaths(instant now, wall_time wall);
    void dispatch(open_request& request, instant now, wall_time wall);
    void waitForTarget(open_request& request, instant now);
    route_decision chooseTarget(route_request& asked, bool asSuspect, instant now);
    void sendTo(open_request& request, const route_choice& choice, const route_request& asked, bool asSuspect, instant now);
    void takePiece(open_request& request, const stream_piece& piece, instant now);
    void finishEngine(open_request& request, transfer_end end, instant now, wall_time wall);
    void finishService(open_request& request, transfer_end end, instant now, wall_time wall);
    void attemptFailed(open_request& request, attempt_outcome outcome, bool notRun, const std::string& reason, instant now, wall_time wall);
    void endAttempt(open_request& request, attempt_outcome outcome, usage_heading heading, instant now);
    void answered(open_request& request, instant now, wall_time wall);
    void countServed(const open_request& request, request_served::outcome how, instant now);
    void note(const open_request& request, std::string decision, std::string reason, wall_time wall, std::vector<journal_fact> facts = {});
    void erase(request_number number, instant now);
    std::vector<serving_action> take() { return std::exchange(m_actions, {}); }

    serving_settings m_settings;
    config_ptr m_config; // never null
    key_table m_keys;
    router m_router;
    quarantine m_quarantine;
    retry_policy m_retries;
    account_limiter m_limiter;
    std::map<std::string, fair_queue> m_queues; // by the pools behind them
    std::set<std::string> m_dirtyQueues; // may have something to send
    idempotency_store m_keyed;
    std::uint64_t m_lastClaim = 0;
    std::uint32_t m_instances = 1;
    instant m_nextCleaning;
    bool m_cutOff = false;
    bool m_draining = false;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_lastAttempt = 0;
    std::unordered_map<request_number, open_request> m_requests; // iterated by sorted numbers alone
    std::unordered_map<attempt_id, request_number> m_byAttempt; // exactly the open attempts
    std::unordered_map<caller_handle, request_number> m_byCaller;
    std::unordered_map<job_id, request_number> m_byJob;
    std::set<std::pair<instant, request_number>> m_waiting; // without an attempt, by time of the next try
    std::set<std::pair<instant, request_number>> m_deadlines;
    std::set<routing_class_id> m_classes; // defined at the router
    serving_counts m_counts;
    std::vector<serving_action> m_actions;
};

} // namespace lovagerail
