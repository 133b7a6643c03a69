// Carries the requests of this instance to targets, on its own connections or through another
// instance (target_paths.h). A request changes its path only while nothing of it was sent, so
// its outcome means the same on both. Logs how requests end, and changes of the paths. Reports the
// connections that it opens and keeps to the router (connection_pool_view.h).
#pragma once

#include "edge/context.h"
#include "edge/members.h"
#include "edge/relay_codec.h"
#include "edge/transfers.h"
#include "http/persistence.h"
#include "target_paths.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

namespace lovagerail::edge {

enum class path_rule {
    Any,
    OwnOnly, // for requests that this instance relays
};

class target_link {
public:
    target_link(context& shared, members& membership);

    // `where`: the instances that may hold the body, so that the request may go through them.
    // Like transfers::open(); the id is for cancel() of this class.
    std::uint64_t open(http::request request, const target_id& target, incarnation targetIncarnation, path_rule rule, body_regions where, transfers::event_function onEvent);
    void cancel(std::uint64_t id);
    // A call that is this instance's own, such as an order: it has no other path.
    void callDirect(http::request request, const target_id& target, transfers::answer_function onAnswer);
    // Whether bytes of an open request may have left for the target.
    bool mayHaveBeenSent(std::uint64_t id) const;
    // Sends the target a request that it answers without running anything.
    void testPath(const target_id& target, std::function<void(bool reached)> onEnd);
    void tick();
    const target_paths& paths() const { return m_paths; }

private:
    enum class end_kind {
        Answered, // at least with a head
        NotConnected,
        SilentNew, // sent on a new connection, no answer
        SilentKept, // sent on a kept connection, no answer
        Relayed, // answered through a relay
        RelayFailed,
        Count,
    };
    struct open_call {
        http::request request;
        target_id target;
        incarnation targetIncarnation;
        path_rule rule = path_rule::Any;
        body_regions where;
        transfers::event_function onEvent;
        std::uint64_t transfer = 0; // 0: waits for a path
        instant deadlineWrittenAt {}; // the request's headers state what is left from then on
        instant startedAt {}; // of this transfer
        instant waitsUntil {}; // for a path
        instance_id relay; // empty on an own connection
        std::optional<relay_head> relayHead; // once it was received
        bool connected = false; // to the target or the relay
        http::connection_use connection = http::connection_use::None;
        http::persistence persistence; // of the connection, as the answer's head states
        bool bodyDropped = false; // bytes may have been sent, so the request is not sent again
        bool triedDirect = false;
        bool countedAsFailed = false; // that there is no connection yet
        std::uint32_t roundsConnecting = 0; // of the event loop
        std::uint32_t relaysTried = 0;
    };

    target_path pathFor(const open_call& call);
    void start(std::uint64_t id, open_call& call);
    void startDirect(std::uint64_t id, open_call& call, bool doubted);
    void startRelayed(std::uint64_t id, open_call& call, const instance_id& relay);
    static bool updateDeadline(open_call& call, instant now);
    void startAgain(std::uint64_t id, open_call& call, http::event& unsent);
    void onDirectEvent(std::uint64_t id, http::event& event);
    void onRelayedEvent(std::uint64_t id, http::event& event);
    void report(std::uint64_t id, http::event& event);
    void endUnsent(std::uint64_t id, std::string detail);
    void checkWaiting();
    void checkConnecting();
    void ask(const ask_for_relays& question);
    void updateMembers();
    void recordOwnPath(const target_id& target, const http::answer& answer);
    void recordConnected(std::uint64_t id, const open_call& call);
    void recordDirectCall(const target_id& target, http::connection_reuse reuse, const http::answer& answer);
    void countEnd(end_kind kind) { ++m_ends[static_cast<std::size_t>(kind)]; }
    void logEnds();
    void logConnections();

    context& m_context;
    members& m_members;
    target_paths m_paths;
    std::uint64_t m_lastId = 0;
    std::map<std::uint64_t, open_call> m_calls;
    std::array<std::uint32_t, static_cast<std::size_t>(end_kind::Count)> m_ends {}; // since the last log line
    instant m_nextLog {};
    instant m_nextConnectionsLog {};
    connection_counts m_loggedConnections; // when last logged
    instant m_nextUpdate {};
    bool m_wasCutOff = false;
};

} // namespace lovagerail::edge
