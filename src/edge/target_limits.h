// Limits that targets name in their answers, and limits of cold targets, kept by all instances
// together (request_limits.h): asks for allowances, and gives them out for the pools that this
// instance is chosen for. Logs each named limit and, while a limit holds, what this instance sends
// to the target.
//
// The two kinds are asked for by separate calls: an instance of an older version shares out named
// limits only, and counts as silent for the others.
#pragma once

#include "edge/context.h"
#include "edge/members.h"
#include "http/server.h"
#include "platform/headers.h"
#include "request_limits.h"

#include <array>
#include <json/value.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovagerail::edge {

enum class send_kind {
    First, // of a caller's request
    Repeated, // retries and hedges
    Judge,
    Item, // of a batch
    Report, // asking for the target's state
    Order, // of weights
    Count,
};

class target_limits {
public:
    target_limits(context& shared, members& membership);

    void onSend(const target_id& target, send_kind kind);
    // Takes note of the headers of an answer from a target that had this incarnation when the
    // request was sent.
    void observe(const target_id& target, incarnation incarnationNumber, const platform::target_head& head, instant sentAt);
    // Asks for allowances, and logs the sends of the last second to targets with a limit.
    void tick();
    // Handles the request of another instance for allowances.
    void onPeerRequest(const http::exchange_ptr& exchange);

private:
    using send_counts = std::array<std::uint32_t, static_cast<std::size_t>(send_kind::Count)>;
    // The part of a call that asks for one target.
    struct ask {
        target_id target;
        incarnation incarnationNumber;
        double perSecond = 0;
        duration age {}; // of the limit
    };

    struct limit_kind {
        const char* path; // of the calls
        request_limits& enforced;
        limit_allocator shared; // for all instances
        limit_allocator own; // named limits: for this instance alone, of its equal part
        std::map<instance_id, instant> silentUntil {}; // members that did not answer; others are asked until then
        std::map<target_id, std::optional<wall_time>> lastTurns {}; // cold limits: of this instance, while nobody shares them out
    };

    // The instance that shares out the limits of a pool, of those that answered lately; null if
    // neither of the first two did, so that this instance has to go by itself.
    std::optional<instance_id> allocatorFor(const limit_kind& kind, const pool_id& pool) const;
    // What this instance may take without being told.
    allowance ownPart(limit_kind& kind, const ask& asked);
    void askForAllowances(limit_kind& kind);
    void sendAsks(limit_kind& kind, const instance_id& allocator, const std::vector<ask>& asks);
    void onAllowances(limit_kind& kind, const instance_id& allocator, const std::vector<ask>& asks, instant askedAt, const http::answer& answer);
    void apply(limit_kind& kind, const ask& asked, const allowance& given, instant askedAt);
    void logSends();

    context& m_context;
    members& m_members;
    limit_kind m_named;
    limit_kind m_cold;
    std::map<target_id, send_counts> m_sends; // to targets with a limit, since the last log line
    instant m_nextLog {};
};

} // namespace lovagerail::edge
