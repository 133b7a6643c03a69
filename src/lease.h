// Exclusive duties of one instance, held by leases in the key-value service.
//
// A duty is a key that exists while somebody holds it, bound to a lease of the
// service that ends unless it is kept alive. The key's create revision is the
// fencing number: it grows with each holder. All duties of an instance hang on
// one lease, so keeping them costs three calls in a lease time, however many they
// are; an instance that holds nothing and is nobody's first choice calls nothing.
//
// The holder's own right ends earlier than the service's lease: it counts from
// when a keep-alive was sent, on its monotonic clock, less a margin for clocks
// that drift. So the right of the one before is over when a successor's begins.
// Orders that were sent and not yet done may still take effect: a successor
// waits `settle` before its first order to a peer that ignores fencing numbers.
#pragma once

#include "kv.h"
#include "types.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lovagerail {

constexpr std::string_view dutyPrefix = "/lovagerail/duties/";

struct lease_settings {
    instance_id self;
    incarnation life;
    std::string address {}; // told to whoever looks up a holder; may be empty
    // An earlier life of this instance is surely over, so its keys need not lapse first:
    // whoever starts the process says so, as by a platform that restarts ended ones alone.
    bool replacesEarlierLife = false;
    std::chrono::seconds time { 5 }; // of the lease at the service
    double driftShare = 0.02; // of the time, for clocks that run at different speeds
    duration margin = std::chrono::milliseconds(300); // between our end and the service's
    duration settle = std::chrono::seconds(3); // longest time of an order under way
};

// A duty that this instance may act under until `until`.
struct held_duty {
    fencing_number fencing;
    instant since {};
    instant until {};
    instant ordersFrom {}; // first order to a peer that ignores fencing numbers
};

// Who holds a duty, as seen last.
struct duty_holder {
    instance_id instance;
    incarnation life;
    fencing_number fencing;
    std::string address {};
};
// Empty if the entry is not a duty's.
std::optional<duty_holder> decodeHolder(const kv_entry& entry);

struct lease_call {
    std::uint64_t id = 0;
    kv_call call;
};
struct duty_gained {
    duty_id duty;
    fencing_number fencing;
};
struct duty_lost {
    duty_id duty;
    fencing_number fencing;
};
using lease_action = std::variant<lease_call, duty_gained, duty_lost>;

class duty_leases {
public:
    explicit duty_leases(lease_settings settings);

    // The duties that this instance is the first choice for; it claims those that
    // nobody holds. Duties held already stay held while they are in `all`.
    void setChoices(const std::vector<duty_id>& first, const std::vector<duty_id>& all);
    // Gives a duty up, or all of them: a planned stop.
    void release(const duty_id& duty);
    void releaseAll();
    // Somebody said that the duty is free now.
    void hintFree(const duty_id& duty);
    // The service answers again: what waits for its next try is tried now.
    void hintService();

    // Calls that are due; the rest of the time costs nothing.
    std::vector<lease_action> tick(instant now);
    std::vector<lease_action> onAnswer(std::uint64_t id, const result<kv_answer>& answer, instant now);

    // The duty if it is held now; call it right before each act.
    std::optional<held_duty> holds(const duty_id& duty, instant now) const;
    std::vector<duty_id> held(instant now) const;
    bool idle() const { return m_held.empty() && m_calls.empty() && m_givenUp.empty(); }
    const std::map<duty_id, duty_holder>& holders() const { return m_holders; }

private:
    enum class call_kind {
        Grant,
        KeepAlive,
        Claim,
        Check, // reads a duty's key after a lost answer
        Release,
        Evict, // removes a key of ours that is no longer acted on
        EndLapsed, // ends a lease of ours that the service may still keep
    };
    struct open_call {
        call_kind kind = call_kind::Grant;
        duty_id duty;
        fencing_number fencing;
        kv_lease_id lease; // ours when the call was made
        instant sentAt {};
    };

    std::uint64_t open(call_kind kind, const duty_id& duty, instant now, kv_call call);
    bool isOpen(call_kind kind) const;
    void claim(const duty_id& duty, instant now);
    void giveUp(const duty_id& duty, instant now);
    void letGo(const duty_id& duty, fencing_number fencing, instant now);
    void retryReleases(instant now);
    void lookAgain(instant now);
    void gain(const duty_id& duty, fencing_number fencing, instant now);
    void loseAll();
    void endLapsed(instant now);
    void evictOwnOld(const duty_id& duty, const kv_entry& entry, instant now);
    void onClaim(const open_call& done, const result<kv_answer>& answer, instant now);
    void noteHolder(const duty_id& duty, const kv_entry& entry);
    std::string value() const;
    bool isOurs(const kv_entry& entry) const;
    duration period() const { return m_settings.time; }

    lease_settings m_settings;
    std::vector<duty_id> m_first; // sorted
    std::vector<duty_id> m_all; // sorted
    kv_lease_id m_lease; // 0 = none
    // Lost by our clock alone: an outage may have stopped the service's. Our keys under it
    // would stand in everybody's way until it ends.
    kv_lease_id m_lapsed; // 0 = none
    instant m_until {}; // end of our right under m_lease
    instant m_nextKeepAlive {};
    instant m_nextGrant {};
    std::map<duty_id, held_duty> m_held; // empty unless m_lease is set; `until` is m_until
    std::map<duty_id, instant> m_nextClaim;
    std::map<duty_id, duty_holder> m_holders;
    std::vector<duty_id> m_releasing;
    // Keys under m_lease that we no longer want; their deletion may be under way,
    // so they are never held again. Gone from here once the deletion is confirmed.
    struct given_up {
        fencing_number fencing;
        instant nextTry {};
    };
    std::map<duty_id, given_up> m_givenUp;
    // Claims whose answer was lost may still take effect until then.
    std::map<duty_id, instant> m_doubtful;
    std::map<std::uint64_t, open_call> m_calls;
    std::uint64_t m_lastCall = 0;
    std::vector<lease_action> m_actions;
};

} // namespace lovagerail
