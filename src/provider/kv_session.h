// A daemon's session with the key-value service: keeps calls within a rate budget, says of
// failed calls whether they may have taken effect, never returns a revision older than one
// seen before whichever replica answers, and resumes broken watches.
//
// Owned by one thread; does no I/O itself. Requests go out through a function, and HTTP
// events come in through onEvent(). Opening a watch counts as one call.
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
    std::chrono::milliseconds maxQueueTime { 5000 }; // after that a call fails as Unavailable without being sent
};

struct kv_session_counts {
    std::uint64_t calls = 0;
    std::uint64_t watches = 0;
    std::uint64_t unavailable = 0;
    std::uint64_t unknown = 0;
    std::uint64_t stale = 0; // read answers with a revision older than the highest seen
};

class kv_session {
public:
    using start_function = std::function<bool(http::request)>;
    using cancel_function = std::function<void(std::uint64_t)>;
    using answer_function = std::function<void(const result<kv_answer>&)>;
    using watch_function = std::function<void(const kv_watch_response&)>;

    kv_session(kv_session_settings settings, start_function start, cancel_function cancel);

    // `onAnswer` runs in a later poll() or onEvent(), never within this call.
    void call(kv_call newCall, answer_function onAnswer);
    // Reports changes from revision `from` on (0 = from now), until endWatch(). After a
    // disconnection the watch resumes after the last event; if the service has compacted the
    // events since, a last response with `compactedTo` ends the watch.
    std::uint64_t watch(std::string key, std::string rangeEnd, revision from, watch_function onResponse);
    void endWatch(std::uint64_t watch);

    void onEvent(const http::event& event, instant now);
    // Sends what the budget allows. Must be called several times a second.
    void poll(instant now);

    // Whether the last call was answered; callers change their behaviour during outages.
    bool available() const { return m_available; }
    instant lastAnswer() const { return m_lastAnswer; }
    revision highestSeen() const { return m_highestRevision; }
    const kv_session_counts& counts() const { return m_counts; }

private:
    struct waiting_call {
        kv_call wanted;
        answer_function onAnswer;
        instant queuedAt {};
        bool queuedAtSet = false; // queuedAt is set at the first poll()
        int staleRetries = 0;
    };
    struct open_call {
        waiting_call call;
        int status = 0;
        std::string body;
    };
    struct watch_stream {
        std::string key;
        std::string rangeEnd;
        revision next; // first revision not received yet, 0 = from now
        watch_function onResponse;
        std::uint64_t request = 0; // HTTP request, 0 = not open
        std::string line; // buffered incomplete line
        instant retryAt {};
        duration backoff {};
    };

    bool takeToken(instant now);
    void send(waiting_call call, instant now);
    void finish(open_call done, const http::event& event, instant now);
    void openWatch(watch_stream& watch, instant now);
    void onWatchBytes(std::uint64_t id, const std::string& bytes, instant now);
    void scheduleWatchRetry(watch_stream& watch, instant now);
    void nextEndpoint();

    kv_session_settings m_settings;
    start_function m_start;
    cancel_function m_cancel;
    std::size_t m_endpoint = 0;
    std::uint64_t m_lastId = 0;
    std::deque<waiting_call> m_queue;
    std::map<std::uint64_t, open_call> m_open; // by HTTP request
    std::map<std::uint64_t, watch_stream> m_watches;
    std::map<std::uint64_t, std::uint64_t> m_watchOfRequest; // HTTP request to watch
    double m_tokens = 0;
    instant m_refilledAt {};
    bool m_refillStarted = false;
    bool m_available = false;
    instant m_lastAnswer {};
    revision m_highestRevision;
    kv_session_counts m_counts;
};

} // namespace lovagerail::provider
