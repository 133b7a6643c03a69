// Follows the targets that a daemon routes to: polls their load and reads their
// cache events, a bounded number of them, within the targets thread's transfers.
//
// Owned by the serving thread. Transfer numbers are below those of attempts.
#pragma once

#include "http/client.h"
#include "router.h"
#include "target/engine_api.h"
#include "types.h"

#include <functional>
#include <map>

namespace lovagerail::target {

struct target_watch_settings {
    duration loadEvery = std::chrono::milliseconds(500);
    std::size_t mostTargets = 64; // followed at once; all are routed to
    std::chrono::milliseconds timeout { 1000 };
};

class target_watch {
public:
    using start_function = std::function<bool(http::request)>;
    using cancel_function = std::function<void(std::uint64_t)>;

    target_watch(target_watch_settings settings, start_function start, cancel_function cancel);

    // Polls what is due. `salt` spreads the followed targets over instances.
    void tick(const router& known, std::uint64_t salt, instant now);
    // True if the event belonged to a poll.
    bool onEvent(const http::event& event, router& known, instant now, wall_time wall);

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
        instant nextLoad {};
        instant nextEvents {};
        std::uint64_t load = 0; // open transfers, 0 = none
        std::uint64_t events = 0;
        std::uint64_t lastSeq = 0;
    };

    void follow(const router& known, std::uint64_t salt);
    void startLoad(const target_record& record, followed& state, instant now);
    void startEvents(const target_record& record, followed& state, instant now);

    target_watch_settings m_settings;
    start_function m_start;
    cancel_function m_cancel;
    std::uint64_t m_lastId = 0;
    std::map<target_id, followed> m_followed;
    std::map<std::uint64_t, poll> m_polls;
};

} // namespace lovagerail::target
