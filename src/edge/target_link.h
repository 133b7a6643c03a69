// Requests of this instance to targets. Logs once a second how they ended, by the connection
// that they used, while some of them fail.
#pragma once

#include "edge/context.h"
#include "edge/transfers.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace lovagerail::edge {

class target_link {
public:
    explicit target_link(context& shared);

    // Like transfers::open(); the id is for cancel() of this class.
    std::uint64_t open(http::request request, transfers::event_function onEvent);
    void cancel(std::uint64_t id);
    void tick();

private:
    enum class end_kind {
        Answered, // at least with a head
        NotConnected,
        SilentNew, // sent on a new connection, no answer
        SilentKept, // sent on a kept connection, no answer
        Count,
    };

    void countEnd(const http::event& event);
    void logEnds();

    context& m_context;
    std::array<std::uint32_t, static_cast<std::size_t>(end_kind::Count)> m_ends {}; // since the last log line
    instant m_nextLog {};
};

} // namespace lovagerail::edge
