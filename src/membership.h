// Which instances live, as one instance knows it: a failure detector in the manner
// of SWIM, with incarnation numbers, suspicion before death and indirect probes.
//
// Each period an instance pings one other in a shuffled round, so all are pinged
// in a round. If no answer comes, a few others are asked to ping it; if they don't
// reach it either it is suspected, and declared dead after a number of periods
// that grows with the logarithm of the fleet. A member that hears that it is
// suspected or dead refutes with a greater counter of its own life. So a paused or
// cut off instance comes back under its own incarnation, and both sides of a
// partition converge: every fourth period one of those held for dead is pinged.
//
// What is known of a member is ordered by (life, counter, state) and joined by
// maximum, so order and repeats of messages don't matter and an older life never
// wins. Each message carries at most `mostUpdates` updates, least-told first; if
// the fleet's digests differ, the rest of them is filled in turn.
//
// Cost: per period 1.25 pings and as many answers, 3 requests more for each ping
// that fails; O(mostUpdates x log members) a message, O(members) each round.
#pragma once

#include "types.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lovagerail {

constexpr std::size_t mostUpdates = 12; // in one message
constexpr std::size_t mostNameBytes = 64; // of an instance or failure domain
constexpr std::size_t mostAddressBytes = 128;

enum class member_state : std::uint8_t {
    Alive,
    Suspect,
    Dead,
};
std::string_view toString(member_state state);

// What is told of one member. A life of 0 means listed, but never heard of.
struct member_update {
    instance_id id;
    std::string address; // base URL of its instances' listener
    failure_domain_id failureDomain;
    incarnation life;
    std::uint32_t counter = 0; // raised by the member alone, to refute
    member_state state = member_state::Alive;
    bool leaving = false; // for the rest of this life

    friend bool operator==(const member_update&, const member_update&) = default;
};
// Joins what is told into what is known; true if it changed. Commutative and idempotent.
bool merge(member_update& known, const member_update& told);

enum class message_kind : std::uint8_t {
    Ping,
    Answer,
    ProbeRequest, // please ping `about`
    Reached, // `about` answered a ping that you asked for
};
struct member_message {
    message_kind kind = message_kind::Ping;
    member_update from;
    instance_id about;
    std::uint64_t digest = 0; // of all members that the sender holds for alive or suspected
    std::vector<member_update> updates; // at most mostUpdates
};
struct member_send {
    instance_id to;
    std::string address;
    member_message message;
};

struct membership_settings {
    member_update self;
    duration period = std::chrono::seconds(1);
    std::uint32_t suspicionPeriods = 4; // and log2 of the members more
    duration leastSuspicion = std::chrono::milliseconds(1500);
    std::size_t relays = 3; // asked to ping in our place
    duration deadMemory = std::chrono::minutes(5); // longer than any message is under way
};

class membership {
public:
    membership(membership_settings settings, std::uint64_t seed);

    // The platform's list, which lags: where to begin, and whom to try again.
    void setSeeds(const std::vector<member_update>& seeds);
    // Announces the planned stop.
    void leave();

    // Pings that are due. Call it several times a period.
    std::vector<member_send> tick(instant now);
    // Takes a message and returns the answer to it.
    member_message onMessage(const member_message& message, instant now);
    void onAnswer(const instance_id& from, const member_message& answer, instant now);
    // A send that surely or probably did not arrive.
    void onFailure(const instance_id& to);
    // A message beside the period, e.g. to spread something at once.
    member_message compose(message_kind kind, const instance_id& to);

    const member_update& self() const { return m_self; }
    const member_update* find(const instance_id& id) const;
    // Alive or suspected, without this one, by id. Leaving ones are among them.
    std::vector<member_update> live() const;
    std::size_t liveCount() const { return m_live; }
    // Not suspected, this one included; 1 if nobody was heard for `isolationPeriods`.
    std::size_t reachable(instant now) const;
    // Up to `count` live members at random.
    std::vector<member_update> sample(std::size_t count);
    std::uint64_t digest() const { return m_digest; }
    duration suspicionTime() const;

private:
    struct member {
        member_update known;
        bool listed = false;
        instant heardAt {}; // a message of its present life came from it
        instant changedAt {}; // of state
        std::uint32_t told = 0;
    };
    struct probe {
        instance_id target;
        instant sentAt {};
        bool failed = false;
        bool relayed = false;
    };
    struct relayed_probe {
        instance_id target;
        instance_id asker;
        instant until {};
    };

    void take(const member_update& told, instant now);
    void change(member& one, const member_update& next, instant now);
    void noteHeard(const member_update& from, instant now);
    void refute(const member_update& told);
    void setTold(const instance_id& id, std::uint32_t told);
    void resolveProbe(instant now, std::vector<member_send>& out);
    void askRelays(std::vector<member_send>& out);
    void judgeSuspects(instant now);
    void startPeriod(instant now, std::vector<member_send>& out);
    void tryAgain(std::vector<member_send>& out);
    void beginRound();
    void send(const instance_id& to, message_kind kind, const instance_id& about, std::vector<member_send>& out);
    void addUpdates(member_message& to, const instance_id& receiver);
    std::uint32_t toldLimit() const;
    std::uint64_t below(std::uint64_t bound) { return m_random() % bound; }

    membership_settings m_settings;
    member_update m_self;
    std::mt19937_64 m_random;
    std::map<instance_id, member> m_members; // without this one
    std::set<std::pair<std::uint32_t, instance_id>> m_rumours; // (told, member), told < limit when it was put in
    std::set<instance_id> m_suspects;
    std::set<instance_id> m_away; // listed only, or dead
    std::size_t m_live = 0; // alive or suspected
    std::uint64_t m_digest = 0; // of those and this one
    bool m_apart = false; // the last message heard had another digest
    instance_id m_cursor; // of filling messages in turn
    std::vector<instance_id> m_round; // shuffled
    std::size_t m_nextInRound = 0;
    std::uint64_t m_period = 0;
    std::optional<probe> m_probe;
    std::vector<relayed_probe> m_relayed;
    std::vector<member_send> m_waiting; // sends that a message brought about
    instant m_nextPeriod {};
    instant m_lastTick {};
    instant m_heardAnyAt {};
};

} // namespace lovagerail
