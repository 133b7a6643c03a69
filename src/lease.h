// Leader election per duty: the exclusive duties of one instance, held by leases in the
// key-value service.
//
// A duty is a task of which only one instance at a time may be in charge. It is held by
// creating its key, bound to a lease of the service that expires unless it is kept
// alive. The key's create revision is the fencing number: it grows with each holder.
// All duties of an instance share one lease, so keeping them costs two calls per
// lease time, however many they are. An instance that holds no duty and is the
// preferred holder of none makes no calls.
//
// The holder treats its lease as expired earlier than the service does: it counts the
// lease time from when the keep-alive was sent, on its monotonic clock, less a margin
// for clock drift. So the old holder has stopped before a successor can begin.
// Orders that the old holder sent may still take effect later: a successor waits
// for the settle time before its first order to a peer that ignores fencing numbers.
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
    incarnation incarnationNumber;
    std::string address {}; // stored in the key for those who look up the holder; may be empty
    std::string region {}; // likewise
    // True if the process of an earlier incarnation is known to have ended, so that its keys
    // may be removed without waiting for their lease. Set by whoever starts the process,
    // e.g. on a platform that starts an instance again only after the old process ended.
    bool replacesEarlierIncarnation = false;
    std::chrono::seconds time { 5 }; // of the lease at the service
    double driftFraction = 0.02; // share of the time given up for clocks that run at different speeds
    duration margin = std::chrono::milliseconds(300); // the lease ends here so long before it ends at the service
    duration settleTime = std::chrono::seconds(3); // longest time from sending an order to its effect
};

// A duty that this instance holds until `until`.
struct held_duty {
    fencing_number fencing;
    instant since {};
    instant until {};
    instant ordersFrom {}; // before this time no order is sent to a peer that ignores fencing numbers
};

// The holder of a duty, as last read from the service.
struct duty_holder {
    instance_id instance;
    incarnation incarnationNumber;
    fencing_number fencing;
    std::string address {};
    std::string region {}; // empty if the holder does not state it
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

    // `preferred`: the duties that this instance is the preferred holder of; it claims those
    // that nobody holds. Duties that it holds already are kept while they are in `all`.
    void setPreferredDuties(const std::vector<duty_id>& preferred, const std::vector<duty_id>& all);
    // Releases one duty, or all of them for a planned stop.
    void release(const duty_id& duty);
    void releaseAll();
    // Another instance announced that it released the duty: claim it without delay.
    void onDutyReleased(const duty_id& duty);
    // The service is available again: calls that wait for their retry delay are retried at once.
    void onServiceAvailable();

    // Returns the calls and changes of held duties that are due.
    std::vector<lease_action> tick(instant now);
    std::vector<lease_action> onAnswer(std::uint64_t id, const result<kv_answer>& answer, instant now);

    // The duty if it is held now; call this right before each action under the duty.
    std::optional<held_duty> holds(const duty_id& duty, instant now) const;
    std::vector<duty_id> held(instant now) const;
    bool idle() const { return m_held.empty() && m_calls.empty() && m_releasedKeys.empty(); }
    const std::map<duty_id, duty_holder>& holders() const { return m_holders; }

private:
    enum class call_kind {
        Grant,
        KeepAlive,
        Claim,
        Check, // reads a duty's key after the answer to a claim was lost
        Release,
        Evict, // removes a stale key that this instance wrote under another lease
        RevokeExpired, // revokes a lease that expired here but perhaps not at the service
    };
    struct open_call {
        call_kind kind = call_kind::Grant;
        duty_id duty;
        fencing_number fencing;
        kv_lease_id lease; // m_lease when the call was made
        instant sentAt {};
    };

    std::uint64_t open(call_kind kind, const duty_id& duty, instant now, kv_call call);
    bool isOpen(call_kind kind) const;
    void claim(const duty_id& duty, instant now);
    void dropDuty(const duty_id& duty, instant now);
    void deleteKey(const duty_id& duty, fencing_number fencing, instant now);
    void retryKeyDeletions(instant now);
    void recheckLostClaims(instant now);
    void becomeHolder(const duty_id& duty, fencing_number fencing, instant now);
    void dropAllDuties();
    void revokeExpiredLease(instant now);
    void evictStaleKey(const duty_id& duty, const kv_entry& entry, instant now);
    void onClaim(const open_call& done, const result<kv_answer>& answer, instant now);
    void recordHolder(const duty_id& duty, const kv_entry& entry);
    std::string holderJson() const;
    bool isOurs(const kv_entry& entry) const;
    duration period() const { return m_settings.time; }

    lease_settings m_settings;
    std::vector<duty_id> m_preferred; // sorted
    std::vector<duty_id> m_all; // sorted
    kv_lease_id m_lease; // 0 = none
    // A lease that expired by the local clock. At the service it may live on, since leases
    // can stand still during an outage; until it ends, its keys keep all instances from
    // claiming these duties.
    kv_lease_id m_expiredLease; // 0 = none
    instant m_until {}; // from this time on m_lease is treated as expired
    instant m_nextKeepAlive {};
    instant m_nextGrant {};
    duration m_grantDelay {}; // before the next grant, after the last one failed
    std::map<duty_id, held_duty> m_held; // empty unless m_lease is set; `until` is m_until
    std::map<duty_id, instant> m_nextClaim;
    std::map<duty_id, duty_holder> m_holders;
    std::vector<duty_id> m_releasing;
    // Released duties whose key under m_lease may not be deleted yet. Erased once the deletion is
    // confirmed.
    struct released_key {
        fencing_number fencing;
        instant retryAt {};
    };
    std::map<duty_id, released_key> m_releasedKeys;
    // The highest number under which this instance has released a duty. A late answer may still show
    // that key, which may be gone, so it is never held again.
    std::map<duty_id, fencing_number> m_releasedUpTo;
    // Duties whose claim lost its answer, with the time until which it may still take effect.
    std::map<duty_id, instant> m_lostClaims;
    std::map<std::uint64_t, open_call> m_calls;
    std::uint64_t m_lastCall = 0;
    std::vector<lease_action> m_actions;
};

} // namespace lovagerail
