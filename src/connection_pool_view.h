// State of this instance's connections to targets: in use, or idle and kept open until when.
//
// Load pattern: the items of a training step arrive at once, and a new random spread over
// all targets in each step opens connections that are never used again before the targets
// close them. The router prefers targets with an idle connection counted here.
//
// The view mirrors what the HTTP client does: a request takes the oldest idle connection of
// its target, and a new one only if it finds none open or must not reuse one. Where an event
// contradicts the view, the event is right. Events are O(c) for c connections to the target.
#pragma once

#include "target_table.h"
#include "types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace lovagerail {

// Why a connection was opened.
enum class connection_cause {
    FirstUse, // this instance had none to this incarnation of the target
    ClosedByTarget, // the target closed those that it could have reused
    Cancelled, // this instance closed one by cancelling a request
    ReuseForbidden, // the request must not run on a kept connection
    AllBusy, // all open ones were in use
    Count,
};
std::string_view toString(connection_cause cause);

struct connection_counts {
    std::uint64_t reused = 0; // requests on a kept connection
    std::array<std::uint64_t, static_cast<std::size_t>(connection_cause::Count)> opened {}; // by cause

    std::uint64_t of(connection_cause cause) const { return opened[static_cast<std::size_t>(cause)]; }
};

// How a request's use of its connection ended.
struct connection_end {
    enum class kind {
        Kept, // the answer was complete and the connection may be reused
        Closed, // by the target, by a failure, or because the request demanded it
        Cancelled, // by this instance
    };
    kind what = kind::Closed;
    std::optional<duration> keptFor {}; // Kept: as the target stated; else connection_view_settings::defaultKept
};

struct connection_view_settings {
    // Common HTTP servers close idle connections after 5 s or more unless they state a time.
    duration defaultKept = std::chrono::seconds(5);
    // A connection counts as closed this long before the stated time, as a request that arrives
    // while the target closes it fails or is sent again.
    duration expiryMargin = std::chrono::milliseconds(250);
};

class connection_pool_view {
public:
    explicit connection_pool_view(connection_view_settings settings = {})
        : m_settings(settings)
    {
    }

    // Another target or incarnation takes the slot; later events of its requests are ignored.
    void reset(target_slot slot);
    // A request got a new connection. If it had one before, that one turned out to be closed.
    // Returns why a new one was needed.
    connection_cause opened(std::uint64_t request, target_slot slot, bool reuseForbidden, instant now);
    // A new connection that is used once and then closed, such as that of a path test.
    void openedForOneUse() { ++m_counts.opened[static_cast<std::size_t>(connection_cause::ReuseForbidden)]; }
    // A request got a kept connection.
    void reused(std::uint64_t request, target_slot slot, instant now);
    // Ignored for unknown requests and for those that got no connection.
    void ended(std::uint64_t request, connection_end end, instant now);
    // Forgets idle connections whose time has passed; call about once a second.
    void tick(instant now);

    // Connections that the target still keeps open and no request uses.
    std::size_t idle(target_slot slot, instant now) const;
    std::size_t inUse(target_slot slot) const;
    // Targets that may have idle connections; all others have none.
    const std::set<target_slot>& slotsWithIdle() const { return m_withIdle; }
    const connection_counts& counts() const { return m_counts; }

private:
    struct connection {
        std::optional<std::uint64_t> user; // request that uses it; empty: idle
        instant openUntil {}; // of an idle one
    };
    struct slot_connections {
        std::vector<connection> open; // in the order of opening, as in the HTTP client
        std::size_t closedByTarget = 0; // connections lost since, each of which explains one new one
        std::size_t cancelled = 0;
        bool used = false; // ever, by this incarnation
    };

    slot_connections& at(target_slot slot);
    static void expire(slot_connections& slot, instant now);
    static connection_cause takeCause(slot_connections& slot);
    void updateIndex(target_slot slot);

    connection_view_settings m_settings;
    std::vector<slot_connections> m_slots;
    std::map<std::uint64_t, target_slot> m_users; // requests that use a connection in m_slots
    std::set<target_slot> m_withIdle; // slots with an idle connection, open or expired since
    connection_counts m_counts;
};

} // namespace lovagerail
