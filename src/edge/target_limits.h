// Limits that targets name in their answers: the requests per second that one takes from all
// instances together. Logs each limit and, while it holds, what this instance sends there.
#pragma once

#include "edge/context.h"
#include "platform/headers.h"

#include <array>
#include <map>

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
    explicit target_limits(context& shared);

    void onSend(const target_id& target, send_kind kind);
    // Takes note of the headers of an answer from a target that had this incarnation when the
    // request was sent.
    void observe(const target_id& target, incarnation incarnationNumber, const platform::target_head& head, instant sentAt);
    // Logs the sends of the last second to targets with a limit.
    void tick();

private:
    struct named_limit {
        incarnation incarnationNumber;
        double perSecond = 0;
        instant namedAt {}; // last time
        std::array<std::uint32_t, static_cast<std::size_t>(send_kind::Count)> sends {}; // since the last log line, by kind
    };

    context& m_context;
    std::map<target_id, named_limit> m_limits;
    instant m_nextLog {};
};

} // namespace lovagerail::edge
