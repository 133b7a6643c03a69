// Follows the engines that a daemon routes to, up to a maximum number: polls their load and
// reads their streams of cache events.
//
// Owned by the serving thread, whose HTTP client it shares with attempts; the ids of its
// transfers are below those of attempts.
#pragma once

#include "http/client.h"
#include "router.h"
#include "target/engine_api.h"
#include "types.h"

#include <functional>
#include <map>

namespace lovagerail::target {

struct target_watch_settings {
    duration loadPollInterval = std::chrono::milliseconds(500);
    std::size_t maxTargets = 64; // followed at the same time; requests are routed to the others as well
    std::chrono::milliseconds timeout { 1000 };
};

class target_watch {
public:
    using start_function = std::function<bool(http::request)>;
    using cancel_function = std::function<void(std::uint64_t)>;

    target_watch(target_watch_settings settings, start_function start, cancel_function cancel);

    // Starts due polls. `salt` differs between instances, so that they follow different targets.
    void tick(const router& routing, std::uint64_t salt, instant now);
    // Returns true if the event belonged to one of its transfers.
    bool onEvent(const http::event& event, router& routing, instant now, wall_time wall);

private:
    enum class poll_kind {
        Load,
        Events,
    };
    struct poll {
        poll_kind kind = poll_kind::Load;
        target_id target;
        std::string body;
        cache_event_reader reader;
    };
    struct followed {
        instant nextLoadPoll {};
        instant eventsRetryAt {};
        std::uint64_t loadTransfer = 0; // open transfers, 0 = none
        std::uint64_t eventsTransfer = 0;
        std::uint64_t lastSeq = 0;
    };

    void updateFollowed(const router& routing, std::uint64_t salt);
    void startLoadPoll(const target_record& record, followed& state, instant now);
    void startEventStream(const target_record& record, followed& state, instant now);

    target_watch_settings m_settings;
    start_function m_start;
    cancel_function m_cancel;
    std::uint64_t m_lastId = 0;
    std::map<target_id, followed> m_followed;
    std::map<std::uint64_t, poll> m_polls;
};

} // namespace lovagerail::target
