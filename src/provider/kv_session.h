// One daemon's session with the key-value service: calls within a rate budget,
// answers told apart by whether they can have taken effect, a revision that never
// goes back whichever replica answers, and watches that resume where they broke.
//
// Owned by one thread; it does no I/O itself. Requests go out through a function
// and HTTP events come in through onEvent(). A waiting watch counts as one call
// when it is opened.
#pragma once

#include "http/client.h"
#include "kv.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace lovagerail::provider {

struct kv_session_settings {
    std::vector<std::string> endpoints; // base URLs; the next one is tried after a failure
    std::int64_t callsPerSecond = 20;
    std::chrono::milliseconds callTimeout { 2000 };
    std::chrono::milliseconds longestQueueing { 5000 }; // then Unavailable, nothing sent
};

struct kv_session_counts {
    std::uint64_t calls = 0;
    std::uint64_t watches = 0;
    std::uint64_t unavailable = 0;
    std::uint64_t unknown = 0;
    std::uint64_t stale = 0; // answers older than what was seen before
};

class kv_session {
public:
    using start_function = std::function<bool(http::request)>;
    using cancel_function = std::function<void(std::uint64_t)>;
    using answer_function = std::function<void(const result<kv_answer>&)>;
    using news_function = std::function<void(const kv_news&)>;

    kv_session(kv_session_settings settings, start_function start, cancel_function cancel);

    // The answer comes from a later poll() or onEvent(), never from within.
    void call(kv_call wanted, answer_function onAnswer);
    // News from `from` on (0 = from now), for as long as the session lives.
    // After a break it resumes behind the last news; if events were compacted
    // away in between, one news with `compactedTo` says so and the watch ends.
    std::uint64_t watch(std::string key, std::string rangeEnd, revision from, news_function onNews);
    void endWatch(std::uint64_t watch);

    void onEvent(const http::event& event, instant now);
    // Sends what the budget allows. Call it a few times a second.
    void poll(instant now);

    // Whether the last call was answered; for the rules of outages.
    bool available() const { return m_available; }
    instant lastAnswer() const { return m_lastAnswer; }
    revision highestSeen() const { return m_highest; }
    const kv_session_counts& counts() const { return m_counts; }

private:
    struct waiting_call {
        kv_call wanted;
        answer_function onAnswer;
        instant queuedAt {};
        bool stamped = false; // queuedAt is set at the first poll
        int staleTries = 0;
    };
    struct open_call {
        waiting_call call;
        int status = 0;
        std::string body;
    };
    struct watch_state {
        std::string key;
        std::string rangeEnd;
        revision next; // first revision still wanted, 0 = from now
        news_function onNews;
        std::uint64_t request = 0; // HTTP request, 0 = not open
        std::string line; // bytes of an unfinished line
        instant retryAt {};
        duration backoff {};
    };

    bool spend(instant now);
    void send(waiting_call call, instant now);
    void finish(open_call done, const http::event& event, instant now);
    void openWatch(watch_state& watch, instant now);
    void onWatchBytes(std::uint64_t id, const std::string& bytes, instant now);
    void breakWatch(watch_state& watch, instant now);
    void nextEndpoint();

    kv_session_settings m_settings;
    start_function m_start;
    cancel_function m_cancel;
    std::size_t m_endpoint = 0;
    std::uint64_t m_lastId = 0;
    std::deque<waiting_call> m_queue;
    std::map<std::uint64_t, open_call> m_open; // by HTTP request
    std::map<std::uint64_t, watch_state> m_watches;
    std::map<std::uint64_t, std::uint64_t> m_watchOf; // HTTP request to watch
    double m_tokens = 0;
    instant m_filledAt {};
    bool m_filled = false;
    bool m_available = false;
    instant m_lastAnswer {};
    revision m_highest;
    kv_session_counts m_counts;
};

} // namespace lovagerail::provider
