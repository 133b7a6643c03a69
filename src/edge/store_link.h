// This instance's way to the metadata store: calls with time limits, long polls, and
// a detour through another instance while the store doesn't answer us.
//
// The store may turn single instances away while it serves the rest. Calls then go
// through a peer that still reaches it, so that a configuration, a lease or a page of
// results doesn't wait for the way to heal. Unknown outcomes stay unknown on the way.
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
    // A call without an answer is given up after so many times what the last one took, as
    // every call of ours may come twice; twice as long after each that was given up.
    std::int32_t patience = 8;
    std::chrono::milliseconds shortestTimeout { 400 }; // slow spells of the store take tens of times its usual 4 ms
    std::chrono::milliseconds longestTimeout { 1200 };
    std::chrono::milliseconds relayedWait { 10'000 }; // the longest watch that a peer may ask us to pass on
    std::chrono::milliseconds connectTimeout { 500 };
    std::chrono::milliseconds unacknowledged { 700 }; // a silent path is given up after so long
    int failuresToDetour = 2; // in a row, before calls go through a peer
    duration probe = std::chrono::milliseconds(1000); // the direct way is tried again so often
    duration watchPause = std::chrono::milliseconds(300); // after a watch that failed
};

class store_link {
public:
    using answer_function = std::function<void(const result<kv_answer>&)>;
    using news_function = std::function<void(const platform::store_news&)>;
    using peers_function = std::function<std::vector<std::string>()>; // addresses of other instances

    store_link(store_link_settings settings, std::string address, transfers& net);

    void setAddress(const std::string& address) { m_address = address; }
    void setPeers(peers_function peers) { m_peers = std::move(peers); }

    // `cause` names the duty that asks, for the counts of calls.
    void call(std::string_view cause, kv_call wanted, answer_function onAnswer);
    // All entries under a prefix, in as many calls as the store needs for them. `at` of
    // the answer is the revision of the first call.
    void list(std::string_view cause, const std::string& prefix, answer_function onAnswer);
    // News of all keys under the prefix behind `from`, until endWatch(); news without
    // events says that nothing changed until then. After lost
    // history one news says `compacted` and the watch ends: read afresh. The store may
    // fall silent on a watch that waits, so it is reopened after `wait`, which bounds
    // how late news can come; each reopening is a priced call.
    std::uint64_t watch(std::string prefix, revision from, std::chrono::milliseconds wait, news_function onNews);
    void endWatch(std::uint64_t id);

    // Another instance asks us to pass its call on.
    void relay(const http::exchange_ptr& exchange);

    void tick(instant now);
    // True once after the store was out of reach on every way and answers again.
    bool takeRegained() { return std::exchange(m_regained, false); }
    // Whether the direct way worked last.
    bool direct() const { return m_failures < m_settings.failuresToDetour; }
    const std::map<std::string, std::uint64_t, std::less<>>& counts() const { return m_counts; }

private:
    struct open_watch {
        std::string prefix;
        revision after;
        std::chrono::milliseconds wait { 0 };
        news_function onNews;
        std::uint64_t transfer = 0; // 0 = not open
        instant reopenAt {};
    };
    enum class way {
        Direct,
        Detour,
    };

    void listFrom(const std::string& cause, kv_range range, kv_answer soFar, answer_function onAnswer);
    way chooseWay();
    void send(std::string_view cause, http::request wanted, way by, std::function<void(const http::answer&)> onAnswer);
    void noteDirect(const http::answer& answer);
    void noteReach(bool works);
    void noteTime(const http::answer& answer, duration took);
    void open(std::uint64_t id, open_watch& watch);
    void onWatch(std::uint64_t id, const http::answer& answer);

    store_link_settings m_settings;
    std::string m_address;
    transfers& m_net;
    peers_function m_peers;
    std::size_t m_nextPeer = 0;
    int m_failures = 0; // of the direct way, in a row
    bool m_unreached = false; // the last call failed, with the direct way lost
    bool m_regained = false;
    instant m_now {};
    std::chrono::milliseconds m_timeout; // of calls, by what the last ones took
    instant m_nextProbe {};
    std::uint64_t m_lastWatch = 0;
    std::map<std::uint64_t, open_watch> m_watches;
    std::map<std::string, std::uint64_t, std::less<>> m_counts; // calls by cause
};

} // namespace lovagerail::edge
