// Serves the requests of callers: authentication, choice of the route, and transfer of
// bytes between callers and targets. Attempts, retries and hedges are decided by the state
// machine m_forwarding; this class carries out its actions.
#pragma once

#include "edge/context.h"
#include "forwarding.h"
#include "http/server.h"
#include "platform/batch_codec.h"
#include "platform/headers.h"
#include "quarantine.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace lovagerail::edge {

class batches;
class departures;
class software_versions;
class stream_directory;
class target_limits;
class target_link;
class usage_duty;

// A healthy target accepts a connection and acknowledges bytes within a few milliseconds;
// one that does not within these timeouts is down or cut off.
constexpr std::chrono::milliseconds targetConnectTimeout { 400 };
constexpr std::chrono::milliseconds targetUnacknowledgedTimeout { 600 };

constexpr duration noConfigRetryAfter = std::chrono::milliseconds(500); // the first configuration is usually read within this time

class caller_frontend {
public:
    caller_frontend(context& shared, target_link& link, usage_duty& usage, quarantine& blameMarks, departures& leavingTargets, target_limits& limits, stream_directory& streams, software_versions& versions);

    void setBatches(batches& owner) { m_batches = &owner; }
    // Handles a request from the listener for callers.
    void onRequest(const http::exchange_ptr& exchange);
    // What a request may send as its body, and whether it is refused already by its head.
    http::admission admit(const http::exchange& head) const;
    // The answer to a request that its listener refuses.
    http::refusal refusalOf(const http::exchange& refused, http::refusal_reason reason) const;

    // A call that the gateway itself makes to a service (a judge), with routing and retries
    // as for callers. The account and the caller's region decide where it may run. The callback gets the answer's status and proof; status 0 if no target
    // answered.
    struct service_answer {
        int status = 0;
        std::string proof;
        std::uint32_t serverFailures = 0;
        std::uint32_t maxAttempts = 0;
    };
    using service_callback = std::function<void(const service_answer&)>;
    void callService(const judge_call& call, duration deadline, const client_account_id& account, const region_id& origin, service_callback onAnswer);

    // Takes note of what a target states about itself in the headers of an answer: its load, its
    // limit, and whether it leaves. `incarnationNumber` is the one that the request was sent to.
    void recordTargetState(const target_id& target, incarnation incarnationNumber, const platform::target_head& head, instant sentAt);

    // See request_forwarder.
    void setExtraWork(std::optional<double> share) { m_forwarding.setExtraWork(share); }
    // Whether this instance reaches no target while others do.
    void setCutOff(bool cutOff) { m_forwarding.setCutOff(cutOff, m_context.now); }
    // The process ends at m_context.exitAt: each open request is answered before.
    void beginStop();
    void tick();
    // Targets that were last seen to be slow for seconds; some may have gone since.
    std::size_t slowTargetCount() const { return m_slowTargets.size(); }
    std::size_t openCount() const { return m_forwards.size(); }
    const forwarding_counts& counts() const { return m_forwarding.counts(); }

private:
    struct open_forward {
        http::exchange_ptr exchange; // null for callService()
        service_callback onServiceAnswer;
        request_id callerId;
        std::string method;
        std::string target; // path and query exactly as received
        std::string host;
        http::header_list headers;
        std::shared_ptr<const http::byte_buffer> body;
        body_regions where;
        client_account_id account;
        std::string route;
        bool streams = false; // its route was a stream when the request arrived
        std::uint32_t maxAttempts = 0;
        instant arrived {};
        request_id stream; // attempt of the caller that began the stream
        bool originKnown = false; // the stream directory knows it
        bool sent = false; // at least once
    };
    struct open_attempt {
        forward_id forward;
        std::uint64_t transfer = 0;
        target_id target;
        incarnation targetIncarnation;
        target_software software;
        instant sentAt {};
        platform::target_head head;
        http::byte_buffer body; // of an answer that is not streamed
        bool streaming = false;
        platform::event_reader reader;
    };

    void recordSlowness(const target_id& target, target_slot slot, bool malformed);
    void refuse(const http::exchange_ptr& exchange, const request_id& id, int status, duration retryAfter, std::string_view reason);
    template <typename Body>
    void respond(const http::exchange_ptr& exchange, int status, http::header_list headers, Body&& body) const;
    bool authenticate(const http::exchange_ptr& exchange, const platform::caller_headers& caller, client_account_id& account);
    bool endsBeforeExit(const http::exchange_ptr& exchange, platform::caller_headers& caller, const site_route& route);
    void resumeStream(const http::exchange_ptr& exchange, platform::caller_headers caller, const site_route& route, const client_account_id& account);
    void startForward(const http::exchange_ptr& exchange, platform::caller_headers caller, const site_route& route, const client_account_id& account, const target_software& software);
    void execute(std::vector<forward_action> actions);
    void send(const forward_send& action);
    void onTransfer(attempt_id attempt, http::event& event);
    void onHead(attempt_id attempt, open_attempt& openAttempt, const http::event& event);
    void onEnd(attempt_id attempt, const open_attempt& openAttempt, const http::event& event);
    void onBytes(attempt_id attempt, open_attempt& openAttempt, const std::string& bytes);
    void breakOff(attempt_id attempt);
    void rejectEvent(attempt_id attempt, const platform::stream_event& event);
    void logRejected(const open_attempt& rejected, std::string_view reason, const std::string& event) const;
    void deliver(const forward_deliver& action);
    void logHedge(const forward_hedged& action) const;
    void logOutcome(const open_forward& forward, std::string_view outcome, int status, const std::string& detail) const;

    context& m_context;
    target_link& m_link;
    usage_duty& m_usage;
    departures& m_departures;
    target_limits& m_limits;
    std::set<target_id> m_slowTargets; // logged as slow and not as usual since; unlisted ones are dropped at the next insertion
    std::set<target_id> m_malformedSlowdowns; // logged; dropped in the same way
    stream_directory& m_streams;
    software_versions& m_versions;
    batches* m_batches = nullptr;
    request_forwarder m_forwarding;
    std::uint64_t m_lastForwardId = 0;
    std::map<forward_id, open_forward> m_forwards;
    std::map<attempt_id, open_attempt> m_attempts;
};

} // namespace lovagerail::edge
