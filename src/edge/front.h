// Callers: who they are, which route they ask for, and the bytes of their requests and
// answers. What happens to a request is decided by `forwarding`.
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
#include <string>

namespace lovagerail::edge {

class batches;
class usage_duty;

// A connection to a target is up, or its bytes acknowledged, within a few milliseconds;
// a target that answers neither for so long is down or cut off.
constexpr std::chrono::milliseconds targetConnectTimeout { 400 };
constexpr std::chrono::milliseconds targetUnacknowledged { 600 };

// Takes over what a target's answer says of its load.
void noteLoad(context& shared, const target_id& target, const platform::target_head& head);

class front {
public:
    front(context& shared, usage_duty& usage, quarantine& marks);

    void setBatches(batches& owner) { m_batches = &owner; }
    // From the listener of callers.
    void onRequest(const http::exchange_ptr& exchange);

    // A call of our own to a service, under a route's rules. The callback gets the
    // answer's status and proof; status 0 if no target gave one.
    struct own_answer {
        int status = 0;
        std::string proof;
        std::uint32_t serverFailures = 0;
        std::uint32_t maxAttempts = 0;
    };
    using own_function = std::function<void(const own_answer&)>;
    void callService(const judge_call& call, duration deadline, own_function onAnswer);

    void tick();
    std::size_t open() const { return m_forwards.size(); }
    const forwarding_counts& counts() const { return m_machine.counts(); }

private:
    struct open_forward {
        http::exchange_ptr exchange; // null for a call of our own
        own_function onOwn;
        request_id callerId;
        std::string method;
        std::string target; // path and query as they came
        std::string host;
        http::header_list headers;
        std::string ownBody;
        client_account_id account;
        std::string route;
        std::uint32_t maxAttempts = 0;
        instant arrived {};
        const std::string& body() const { return exchange ? exchange->body : ownBody; }
    };
    struct open_attempt {
        forward_id forward;
        std::uint64_t transfer = 0;
        target_id target;
        platform::target_head head;
        std::string body;
        bool streaming = false;
        platform::event_reader reader;
    };

    void refuse(const http::exchange_ptr& exchange, const request_id& id, int status, duration retryAfter, std::string_view reason);
    void respond(const http::exchange_ptr& exchange, int status, http::header_list headers, std::string body) const;
    bool authenticate(const http::exchange_ptr& exchange, const platform::caller_headers& caller, client_account_id& account);
    void forward(const http::exchange_ptr& exchange, platform::caller_headers caller, const site_route& route, const client_account_id& account);
    void act(std::vector<forward_action> actions);
    void send(const forward_send& action);
    void onTransfer(attempt_id attempt, http::event& event);
    void onHead(attempt_id attempt, open_attempt& open, const http::event& event);
    void onBytes(attempt_id attempt, open_attempt& open, const std::string& bytes);
    void deliver(const forward_deliver& action);
    void logEnd(const open_forward& one, std::string_view outcome, int status, const std::string& detail) const;

    context& m_context;
    usage_duty& m_usage;
    batches* m_batches = nullptr;
    forwarding m_machine;
    std::uint64_t m_lastForward = 0;
    std::map<forward_id, open_forward> m_forwards;
    std::map<attempt_id, open_attempt> m_attempts;
};

} // namespace lovagerail::edge
