// Membership and duties. A duty is a task that only one instance at a time may perform; its
// holder keeps an entry in the store under a lease and has a fencing number for it.
//
// Each live instance holds the duty "node/NAME", which makes it a member. One that reaches no target
// while others do also holds "unable/NAME": these take over its duties that need targets. All duties of an
// instance are attached to one lease, so they expire together.
#pragma once

#include "edge/context.h"
#include "lease.h"
#include "regions.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lovagerail::edge {

struct member {
    instance_id name;
    incarnation incarnationNumber;
    std::string address; // IP:port of its listener for other instances
    region_id region; // empty if it does not state it
};

// A duty that an instance may claim, besides its membership.
struct claimable_duty {
    duty_id id;
    bool needsTargets = false; // it can't be done without reaching targets
};

class members {
public:
    members(context& shared, std::vector<claimable_duty> duties);

    // Takes the current entries under the prefix of duties.
    void applyEntries(const std::vector<kv_entry>& entries);
    void tick();
    // The store is reachable again after an outage.
    void onStoreRegained() { m_leases.onServiceAvailable(); }
    // Whether this instance reaches no target while others do. It hands duties on while it is so,
    // and for a while after.
    void setUnable(bool unable);
    // Whether the member says so of itself; this instance included.
    bool isUnable(const instance_id& name) const;
    // Gives up all duties except membership, at the start of a planned shutdown.
    void releaseDuties();
    void leave();
    bool hasLeft() const { return m_leaving && m_leases.idle(); }

    // The duty if this instance holds it now and may act on it, with its fencing number. Check
    // it directly before each call that needs the duty, as the lease may have expired meanwhile.
    std::optional<held_duty> holds(const duty_id& duty) const;
    // The time limit for a call under the duty: it is not started after the lease has ended.
    std::chrono::milliseconds callTimeout(const held_duty& held, std::chrono::milliseconds longest) const;
    // Whether our own membership entry is in the store under a valid lease.
    bool joined() const;
    // Whether a first complete list of entries was read.
    bool known() const { return m_known; }
    std::vector<member> others() const;
    std::vector<std::string> otherAddresses() const;
    // Instances through which calls to the store may go: these carry bodies of requests, so only
    // those in this region where the configuration names allowed regions.
    std::vector<std::string> storePeers() const;
    const member* find(const instance_id& name) const;
    // The member that holds a duty according to the last list; null if none does.
    const member* holderOf(const duty_id& duty) const;
    // Names of all members and of this instance, for rendezvous hashing.
    std::vector<instance_id> names() const;
    // The same with their regions.
    std::vector<instance_place> places() const;
    region_id ownRegion() const { return m_context.ownRegion(); }
    // True once after our membership entry was created: before that, others may have
    // considered this instance gone and taken over its batches.
    bool takeJoinedEvent() { return std::exchange(m_joinedEvent, false); }
    // Members that disappeared, or restarted as another incarnation, since the last call.
    std::vector<instance_id> takeLostMembers() { return std::exchange(m_lostMembers, {}); }

private:
    duty_id membershipDuty() const { return duty_id("node/" + m_context.settings.instance.name); }
    duty_id unableDuty() const { return duty_id("unable/" + m_context.settings.instance.name); }
    void updateDutyChoices();
    void execute(std::vector<lease_action> actions);

    context& m_context;
    std::vector<claimable_duty> m_duties;
    duty_leases m_leases;
    bool m_known = false;
    instant m_unableUntil {};
    std::set<instance_id> m_unableMembers; // by the last list
    std::map<std::string, revision> m_malformedEntries; // of the last list, logged as ignored, by key
    bool m_releasing = false;
    bool m_leaving = false;
    std::map<instance_id, member> m_members;
    std::map<duty_id, instance_id> m_holders; // of duties other than membership
    std::vector<instance_id> m_lostMembers;
    bool m_joinedEvent = false;
};

} // namespace lovagerail::edge
