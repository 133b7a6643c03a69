// Client of the metadata store: calls with adaptive timeouts, watches by long polls, and
// relaying through another instance while the store does not answer this one.
//
// The store may refuse single instances while it serves the others. Calls then go through
// a peer that still reaches it, so that a configuration, a lease or a page of results does
// not wait until the direct path works again. A relayed call whose outcome is unknown to
// the peer is reported as unknown here, too.
#pragma once

#include "edge/transfers.h"
#include "http/server.h"
#include "kv.h"
#include "platform/store_codec.h"
#include "types.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lovagerail::edge {

struct store_link_settings {
    // A call times out after this multiple of the time that the last call took; such a short
    // timeout is safe, as all calls are idempotent. After a failure the timeout doubles.
    std::int32_t timeoutFactor = 8;
    std::chrono::milliseconds minTimeout { 400 }; // the store usually takes 4 ms, at times tens of times as long
    std::chrono::milliseconds maxTimeout { 1200 };
    std::chrono::milliseconds watchMargin { 600 }; // beyond its wait, for the answer to a watch; it may hang at an instance that relays it
    duration silentPeerTime = std::chrono::seconds(3); // without calls through a peer that did not answer
    std::chrono::milliseconds maxRelayedWait { 10'000 }; // longest watch that is relayed for a peer
    std::chrono::milliseconds connectTimeout { 500 };
    std::chrono::milliseconds unacknowledgedTimeout { 700 }; // TCP: sent bytes without acknowledgement
    int failuresUntilRelay = 2; // consecutive failures of the direct path before calls go through a peer
    duration directProbePeriod = std::chrono::milliseconds(1000); // between probes of the failing direct path
    duration watchRetryDelay = std::chrono::milliseconds(300); // after a failed watch
};

// Turns the answer of the relaying instance into the answer of the store call. A failure of the call to that
// instance has the same meaning as one of a direct call.
http::answer unwrapRelayedAnswer(http::answer answer);

class store_link {
public:
    using answer_function = std::function<void(const result<kv_answer>&)>;
    using watch_function = std::function<void(const platform::store_watch_response&)>;
    using peers_function = std::function<std::vector<std::string>()>; // addresses of other instances

    store_link(store_link_settings settings, std::string address, transfers& net);

    void setAddress(const std::string& address) { m_address = address; }
    void setPeers(peers_function peers) { m_peers = std::move(peers); }

    // `cause` says what the call is for; calls are counted by cause.
    void call(std::string_view cause, kv_call storeCall, answer_function onAnswer);
    // Reads all entries under a prefix, page by page. `at` of the answer is the revision of
    // the first page.
    void list(std::string_view cause, const std::string& prefix, answer_function onAnswer);
    // Reports changes of all keys under the prefix after revision `from`, until endWatch().
    // A response without events confirms that nothing changed up to its revision. If the store
    // has compacted the history, a last response with `compacted` ends the watch, and the
    // caller must read the entries again. The store may stop answering on an open watch, so it
    // is reopened after `wait`, which bounds the delay of changes; each reopening is a store
    // call that has a cost.
    std::uint64_t watch(std::string prefix, revision from, std::chrono::milliseconds wait, watch_function onResponse);
    void endWatch(std::uint64_t id);

    // Relays the store call of another instance.
    void relay(const http::exchange_ptr& exchange);

    void tick(instant now);
    // True once after the store was unreachable, directly and through peers, and answers again.
    bool takeRegained() { return std::exchange(m_regained, false); }
    // For how long the store has been reached neither directly nor through peers; 0 if it is.
    duration awayFor() const { return m_unreachableSince ? m_now - *m_unreachableSince : duration {}; }
    // Whether the direct path is in use: it has failed fewer than failuresUntilRelay times in a row.
    bool directWorks() const { return m_failures < m_settings.failuresUntilRelay; }
    const std::map<std::string, std::uint64_t, std::less<>>& counts() const { return m_counts; }

private:
    struct open_watch {
        std::string prefix;
        revision after;
        std::chrono::milliseconds wait { 0 };
        watch_function onResponse;
        std::uint64_t transfer = 0; // 0 = not open
        instant reopenAt {};
        instant openedAt {};
    };
    enum class call_path {
        Direct,
        ThroughPeer,
    };

    void listFrom(const std::string& cause, kv_range range, kv_answer soFar, answer_function onAnswer);
    call_path choosePath() const;
    std::string nextPeer();
    void probeDirectPath();
    void send(std::string_view cause, http::request request, call_path path, std::function<void(const http::answer&)> onAnswer);
    void recordDirectOutcome(const http::answer& answer);
    void recordReachability(bool works);
    void adaptTimeout(const http::answer& answer, duration elapsed);
    void open(std::uint64_t id, open_watch& watch);
    void onWatch(std::uint64_t id, const http::answer& answer);

    store_link_settings m_settings;
    std::string m_address;
    transfers& m_net;
    peers_function m_peers;
    std::size_t m_nextPeer = 0;
    std::map<std::string, instant> m_silentPeers; // that did not answer a relayed call, until when they get none
    int m_failures = 0; // consecutive, of the direct path
    bool m_unreachable = false; // the last call failed and the direct path does not work
    std::optional<instant> m_unreachableSince; // by ticks, as calls fail before a process that was suspended learns the time
    bool m_regained = false;
    instant m_now {};
    std::chrono::milliseconds m_timeout; // of calls; adapted to the time that they take
    instant m_nextDirectProbe {};
    std::uint64_t m_lastWatch = 0;
    std::map<std::uint64_t, open_watch> m_watches;
    std::map<std::string, std::uint64_t, std::less<>> m_counts; // calls by cause
};

} // namespace lovagerail::edge
