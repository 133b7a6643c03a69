// Distributes the exclusive duties over the live instances, and holds the leases of the duties
// that this instance has.
#pragma once

#include "daemon/control_context.h"
#include "lease.h"

#include <functional>
#include <set>
#include <vector>

namespace lovagerail::daemon {

class peer_duty;

// A live instance and its address.
struct live_instance {
    instance_id id;
    std::string address; // base URL of its listener for other instances
    failure_domain_id failureDomain;
    incarnation incarnationNumber; // 0 while unknown
};

class lease_duty {
public:
    using gained_function = std::function<void(const duty_id&, fencing_number)>;
    using lost_function = std::function<void(const duty_id&, fencing_number)>;

    lease_duty(control_context& context, peer_duty& peers);

    // Adds functions that are called when this instance gains or loses a duty.
    void onGained(gained_function gained) { m_gained.push_back(std::move(gained)); }
    void onLost(lost_function lost) { m_lost.push_back(std::move(lost)); }

    void setDuties(const std::set<duty_id>& all) { m_duties = all; }
    void setLive(std::vector<live_instance> live) { m_live = std::move(live); }
    const std::vector<live_instance>& live() const { return m_live; }

    void tick();
    void release(const duty_id& duty) { m_leases.release(duty); }
    // Releases all leases, for a graceful shutdown.
    void releaseAll() { m_leases.releaseAll(); }
    bool idle() const { return m_leases.idle(); }

    std::optional<held_duty> holds(const duty_id& duty) const { return m_leases.holds(duty, m_context.now); }
    std::vector<duty_id> held() const { return m_leases.held(m_context.now); }
    // Looks up a duty's holder in the gossip of other instances; empty if that is uncertain.
    using holder_lookup = std::function<std::optional<duty_holder>(const duty_id&)>;
    void setHolderLookup(holder_lookup lookup) { m_holderLookup = std::move(lookup); }
    // Finds the holder of a duty: from the gossip of other instances, else from a short-lived
    // cache, else from the key-value service.
    void findHolder(const duty_id& duty, std::function<void(const result<duty_holder>&)> onFound);
    // The address of a live instance; empty if it is not live.
    std::optional<std::string> addressOf(const instance_id& instance) const;

private:
    void execute(std::vector<lease_action> actions);
    void notifyNextHolder(const duty_id& duty);
    std::vector<duty_id> preferredDuties() const;

    control_context& m_context;
    peer_duty& m_peers;
    duty_leases m_leases;
    std::set<duty_id> m_duties;
    std::vector<live_instance> m_live;
    std::vector<gained_function> m_gained;
    std::vector<lost_function> m_lost;
    holder_lookup m_holderLookup;
    struct cached_holder {
        duty_holder holder;
        instant at {};
    };
    std::map<duty_id, cached_holder> m_holderCache;
};

} // namespace lovagerail::daemon
