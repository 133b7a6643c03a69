// Connects membership and gossip to the daemon: heartbeats between instances, distribution of
// configuration changes, deny marks and duty holders, the choice of the few instances that
// watch the key-value service, the rules for serving during its outages, and the local copy
// of the configuration.
//
// Calls from other instances: "gossip" (a message, answered by a message), "configSince" (the
// changes since a revision, or everything if the log no longer has them) and "deny" (deny
// marks, sent to all instances immediately).
#pragma once

#include "daemon/control_context.h"
#include "daemon/lease_duty.h"
#include "gossip_codec.h"
#include "named_thread.h"

#include <atomic>
#include <deque>
#include <memory>
#include <set>

namespace lovagerail::daemon {

class config_duty;
class key_duty;
class peer_duty;
class target_duty;

class member_duty {
public:
    member_duty(control_context& context, config_duty& config, key_duty& keys, target_duty& targets, peer_duty& peers, lease_duty& leases);

    void tick();
    // A new configuration is in force here: notifies other instances immediately.
    void onConfigApplied();
    // Announces the graceful shutdown to the other instances.
    void leave();

    // For gossip entries of other duties, with keys of the form "<duty>/<name>".
    gossip_store& gossip() { return m_gossip; }
    const membership& members() const { return m_members; }

private:
    void onHeartbeat();
    void send(const outgoing_member_message& outgoing);
    void gossipNow();
    gossip_message makeGossip(member_message message, const gossip_digests* peerDigests);
    result<Json::Value> onGossip(const Json::Value& parameters);
    void onMessage(const gossip_message& message);
    void mergeGossipedMarks(const std::vector<gossip_entry>& entries);
    void pullConfig(const member_update& from);
    void onConfigPulled(const instance_id& from, const Json::Value& answer);
    void updateSynced();
    Json::Value changesSince(revision from) const;
    void logChange(const config& before, const config_change& change);
    void pushMarks(const std::vector<deny_mark>& marks);
    void publishMarks();
    void updateLive();
    void chooseWatchers();
    void updateServingMode();
    bool mayServeUnconfirmed();
    void saveLocalSnapshot();
    void loadLocalSnapshot();
    std::string snapshotPath() const;
    std::string addressOf(const instance_id& id, const std::string& gossiped) const;
    std::optional<duty_holder> holderOf(const duty_id& duty) const;

    control_context& m_context;
    config_duty& m_config;
    key_duty& m_keys;
    target_duty& m_targets;
    peer_duty& m_peers;
    lease_duty& m_leases;
    membership m_members;
    gossip_store m_gossip;
    std::map<instance_id, std::string> m_listed; // addresses from the platform's list, which take precedence over gossiped ones
    bool m_started = false;
    instant m_startedAt {};
    instant m_nextHeartbeat {};
    std::uint64_t m_liveDigest = 0; // digest of the members last passed to the lease duty
    bool m_pulling = false;
    bool m_synced = false; // the deny marks of the other instances are known here; no key is trusted before
    std::set<instance_id> m_pulledFrom; // instances that answered a pull; used until m_synced
    std::deque<config_change> m_log; // recent changes; each starts at the revision where the previous one ends
    revision m_newestKnown;
    instant m_behindSince {}; // since when another instance has had a newer revision
    std::size_t m_instancesAtConfirmation = 0; // number of instances when the revision was last confirmed, including this one
    serving_mode m_sentMode { true, false };
    instant m_nextSnapshot {};
    revision m_savedRevision;
    std::size_t m_savedMarkCount = 0;
    std::atomic<bool> m_saveDone { true };
    std::unique_ptr<named_thread> m_saveThread;
};

} // namespace lovagerail::daemon
