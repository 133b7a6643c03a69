// Which instances are alive, as one instance sees it: a failure detector after SWIM,
// with incarnation numbers, suspicion before death and indirect probes.
//
// Each period an instance pings one other, in a shuffled order that covers all
// members before it is shuffled again. If no answer comes, a few others are asked to
// ping that member (indirect probe); if they don't reach it either, it becomes a
// suspect, and is declared dead after a number of periods that grows with the
// logarithm of the fleet. A member that learns that it is a suspect or dead refutes
// this by raising the refutation counter of its incarnation. So a paused or cut off
// instance comes back under the same incarnation. Every fourth period one member
// believed dead is pinged, so both sides of a partition converge.
//
// The state of a member is ordered by (incarnation, counter, state) and merged by
// maximum, so order and repeats of messages don't matter and an older incarnation
// never wins. Each message carries at most `maxUpdatesPerMessage` updates, those sent
// least often first; if the two sides' digests differ, the places left are filled with
// all members in turn.
//
// Cost: per period 1.25 pings and as many answers, 3 requests more for each ping
// that fails; O(maxUpdatesPerMessage x log members) a message, O(members) each round.
#pragma once

#include "types.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lovagerail {

constexpr std::size_t maxUpdatesPerMessage = 12;
constexpr std::size_t maxMemberNameBytes = 64; // of an instance or failure domain
constexpr std::size_t maxMemberAddressBytes = 128;

enum class member_state : std::uint8_t {
    Alive,
    Suspect,
    Dead,
};
std::string_view toString(member_state state);

// The state of one member as it is sent around. Incarnation 0: it is in the platform's
// list, but nothing was heard of it yet.
struct member_update {
    instance_id id;
    std::string address; // base URL of its listener for other instances
    failure_domain_id failureDomain;
    incarnation incarnationNumber;
    std::uint32_t counter = 0; // only the member itself raises it, to refute suspicion
    member_state state = member_state::Alive;
    bool leaving = false; // planned stop; never withdrawn within an incarnation

    friend bool operator==(const member_update&, const member_update&) = default;
};
// Merges a received state into the known one; true if that changed. Commutative and idempotent.
bool merge(member_update& known, const member_update& received);

enum class message_kind : std::uint8_t {
    Ping,
    Answer,
    ProbeRequest, // asks the receiver to ping `about`
    Reached, // tells the receiver that `about` answered the ping it asked for
};
struct member_message {
    message_kind kind = message_kind::Ping;
    member_update from;
    instance_id about;
    std::uint64_t digest = 0; // of all members that the sender believes alive or suspect
    std::vector<member_update> updates; // at most maxUpdatesPerMessage
};
struct outgoing_member_message {
    instance_id to;
    std::string address;
    member_message message;
};

struct membership_settings {
    member_update self;
    duration period = std::chrono::seconds(1);
    std::uint32_t suspicionPeriods = 4; // periods from suspect to dead, to which log2 of the number of members is added
    duration minSuspicionTime = std::chrono::milliseconds(1500); // lower bound of the time from suspect to dead
    std::size_t relays = 3; // members asked for an indirect probe
    // How long dead members are remembered: longer than any message is in flight, so that
    // no late one revives them.
    duration deadRetention = std::chrono::minutes(5);
};

class membership {
public:
    membership(membership_settings settings, std::uint64_t seed);

    // Sets the platform's list of instances, which may be out of date. Its members are
    // contacted at start, and pinged again from time to time while nothing is heard of them.
    void setSeeds(const std::vector<member_update>& seeds);
    // Marks this instance as leaving (planned stop); sent with the next messages.
    void leave();

    // Returns the messages that are due. Call it several times a period.
    std::vector<outgoing_member_message> tick(instant now);
    // Processes a message and returns the answer to it.
    member_message onMessage(const member_message& message, instant now);
    void onAnswer(const instance_id& from, const member_message& answer, instant now);
    // A message to this member did not arrive, or no answer to it came.
    void onFailure(const instance_id& to);
    // Builds a message outside the probe schedule, e.g. to spread an update at once.
    member_message compose(message_kind kind, const instance_id& to);

    const member_update& self() const { return m_self; }
    const member_update* find(const instance_id& id) const;
    // Alive and suspect members without this one, sorted by id; includes leaving ones.
    std::vector<member_update> live() const;
    std::size_t liveCount() const { return m_live; }
    // Number of alive members that aren't suspects, this one included; 1 if no message
    // came for `isolationPeriods`.
    std::size_t reachable(instant now) const;
    // Up to `count` random live members.
    std::vector<member_update> sample(std::size_t count);
    std::uint64_t digest() const { return m_digest; }
    duration suspicionTime() const;

private:
    struct member {
        member_update known;
        bool listed = false;
        instant lastHeardAt {}; // last message from its present incarnation
        instant changedAt {}; // last change of its state or incarnation
        std::uint32_t timesSent = 0; // messages that carried its present state
    };
    struct probe {
        instance_id target;
        instant sentAt {};
        bool failed = false;
        bool relayed = false;
    };
    struct relayed_probe {
        instance_id target;
        instance_id requester;
        instant until {};
    };

    void mergeUpdate(const member_update& received, instant now);
    void applyUpdate(member& one, const member_update& next, instant now);
    void recordContact(const member_update& from, instant now);
    void refute(const member_update& received);
    void setTimesSent(const instance_id& id, std::uint32_t timesSent);
    void checkProbe(instant now, std::vector<outgoing_member_message>& out);
    void sendProbeRequests(std::vector<outgoing_member_message>& out);
    void expireSuspects(instant now);
    void startPeriod(instant now, std::vector<outgoing_member_message>& out);
    void pingUnreachable(std::vector<outgoing_member_message>& out);
    void shuffleProbeOrder();
    void send(const instance_id& to, message_kind kind, const instance_id& about, std::vector<outgoing_member_message>& out);
    void attachUpdates(member_message& to, const instance_id& receiver);
    std::uint32_t retransmitLimit() const;
    std::uint64_t randomBelow(std::uint64_t bound) { return m_random() % bound; }

    membership_settings m_settings;
    member_update m_self;
    std::mt19937_64 m_random;
    std::map<instance_id, member> m_members; // without this one
    std::set<std::pair<std::uint32_t, instance_id>> m_pendingUpdates; // updates to send: (times sent, member), below the limit when inserted
    std::set<instance_id> m_suspects;
    std::set<instance_id> m_unreachable; // only in the platform's list, or dead
    std::size_t m_live = 0; // members alive or suspect
    std::uint64_t m_digest = 0; // of the live members and this one
    bool m_digestsDiffer = false; // the last message received had another digest
    instance_id m_cursor; // last member sent when messages are filled with all members in turn
    std::vector<instance_id> m_probeOrder; // probe order, shuffled
    std::size_t m_nextProbe = 0;
    std::uint64_t m_period = 0;
    std::optional<probe> m_probe;
    std::vector<relayed_probe> m_relayed;
    std::vector<outgoing_member_message> m_outbox; // messages caused by received ones, sent with the next tick
    instant m_nextPeriod {};
    instant m_lastTick {};
    instant m_lastMessageAt {};
};

} // namespace lovagerail
