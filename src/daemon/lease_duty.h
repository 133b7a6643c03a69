// Spreads exclusive duties over the live instances and holds this one's by leases.
#pragma once

#include "daemon/control_context.h"
#include "lease.h"

#include <functional>
#include <set>
#include <vector>

namespace lovagerail::daemon {

class peer_duty;

// One live instance, with where to reach it.
struct live_instance {
    instance_id id;
    std::string address; // base URL of its instances' listener
    failure_domain_id failureDomain;
    incarnation life; // 0 until it is known
};

class lease_duty {
public:
    using gained_function = std::function<void(const duty_id&, fencing_number)>;
    using lost_function = std::function<void(const duty_id&, fencing_number)>;

    lease_duty(control_context& context, peer_duty& peers);

    // Called when a duty begins and ends to be ours.
    void onGained(gained_function gained) { m_gained.push_back(std::move(gained)); }
    void onLost(lost_function lost) { m_lost.push_back(std::move(lost)); }

    void setDuties(const std::set<duty_id>& all) { m_all = all; }
    void setLive(std::vector<live_instance> live) { m_live = std::move(live); }
    const std::vector<live_instance>& live() const { return m_live; }

    void tick();
    void release(const duty_id& duty) { m_leases.release(duty); }
    // A planned stop gives up all duties.
    void releaseAll() { m_leases.releaseAll(); }
    bool idle() const { return m_leases.idle(); }

    std::optional<held_duty> holds(const duty_id& duty) const { return m_leases.holds(duty, m_context.now); }
    std::vector<duty_id> held() const { return m_leases.held(m_context.now); }
    // What other instances told of a duty's holder; nothing if that is in doubt.
    using holder_function = std::function<std::optional<duty_holder>(const duty_id&)>;
    void setHolderNews(holder_function holderNews) { m_holderNews = std::move(holderNews); }
    // Who holds a duty: by the news of other instances, or asked of the service
    // unless that was learned a moment ago.
    void findHolder(const duty_id& duty, std::function<void(const result<duty_holder>&)> onFound);
    // The address of a live instance, or nothing.
    std::optional<std::string> addressOf(const instance_id& instance) const;

private:
    void act(std::vector<lease_action> actions);
    void tellFree(const duty_id& duty);
    std::vector<duty_id> firstChoices() const;

    control_context& m_context;
    peer_duty& m_peers;
    duty_leases m_leases;
    std::set<duty_id> m_all;
    std::vector<live_instance> m_live;
    std::vector<gained_function> m_gained;
    std::vector<lost_function> m_lost;
    holder_function m_holderNews;
    struct cached_holder {
        duty_holder holder;
        instant at {};
    };
    std::map<duty_id, cached_holder> m_cache;
};

} // namespace lovagerail::daemon
