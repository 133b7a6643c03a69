// Which instances live, and which of them holds a duty: leases in the store, as the
// newest known list of them says.
//
// Each instance holds the duty "node/NAME" under the one lease that all its duties
// hang on; the holders of these are the members.
#pragma once

#include "edge/context.h"
#include "lease.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovagerail::edge {

struct member {
    instance_id name;
    incarnation life;
    std::string address; // of its listener for instances
};

class members {
public:
    members(context& shared, std::vector<duty_id> duties);

    // All entries under the prefix of duties.
    void take(const std::vector<kv_entry>& entries);
    void tick();
    // The store answers again after an outage.
    void hintStore() { m_leases.hintService(); }
    // Gives up all duties but the membership itself, for a planned stop.
    void releaseDuties();
    void leave();
    bool left() const { return m_leaving && m_leases.idle(); }

    // Held now, with its fencing number; ask right before each act.
    std::optional<held_duty> holds(const duty_id& duty) const { return m_leases.holds(duty, m_context.now); }
    // Whether our own entry stands in the store.
    bool joined() const;
    // The first complete list has come.
    bool known() const { return m_known; }
    std::vector<member> others() const;
    std::vector<std::string> otherAddresses() const;
    const member* find(const instance_id& name) const;
    // The member that holds a duty, as seen last; null if none does.
    const member* holderOf(const duty_id& duty) const;
    // All live names, our own included, for rendezvous hashing.
    std::vector<instance_id> names() const;
    // True once after our own entry was written anew: others may have taken us for gone.
    bool takeJoined() { return std::exchange(m_joined, false); }
    // Members that went, or came back as another incarnation, since the last call.
    std::vector<instance_id> takeLost() { return std::exchange(m_lost, {}); }

private:
    duty_id nodeDuty() const { return duty_id("node/" + m_context.values.instance.name); }
    void chooseDuties();
    void act(std::vector<lease_action> actions);

    context& m_context;
    std::vector<duty_id> m_duties; // exclusive ones, beside the membership
    duty_leases m_leases;
    bool m_known = false;
    bool m_releasing = false;
    bool m_leaving = false;
    std::map<instance_id, member> m_members;
    std::map<duty_id, instance_id> m_holders; // of duties beside the membership
    std::vector<instance_id> m_lost;
    bool m_joined = false;
};

} // namespace lovagerail::edge
