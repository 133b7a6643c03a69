// Joins membership and news to the daemon: heartbeats between instances, the
// spreading of configuration, deny marks and duty holders, the choice of the few
// that watch the key-value service, the rule for outages, and the local copy.
//
// Calls of others: "gossip" (a message, answered by one), "configSince" (what was
// accepted since a revision: a delta if the log still has it) and "deny" (marks
// pushed to all at once).
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
    // A new configuration is in force here: others learn of it at once.
    void onInForce();
    // Announces the planned stop.
    void leave();

    // For other duties' news; keys read "<duty>/<name>".
    news_board& news() { return m_news; }
    const membership& members() const { return m_members; }

private:
    void beat();
    void send(const member_send& sent);
    void spreadNow();
    gossip_message wrap(member_message message, const news_digests* theirs);
    result<Json::Value> onGossip(const Json::Value& parameters);
    void onMessage(const gossip_message& message);
    void takeNews(const std::vector<news_entry>& entries);
    void pull(const member_update& from);
    void onPulled(const instance_id& from, const Json::Value& answer);
    void judgeSynced();
    Json::Value since(revision from) const;
    void logChange(const config& before, const config_change& change);
    void pushMarks(const std::vector<deny_mark>& marks);
    void putMarks();
    void followLive();
    void chooseWatchers();
    void judgeCutOff();
    bool mayGoOn();
    void keepCopy();
    void loadCopy();
    std::string copyPath() const;
    std::string addressOf(const instance_id& id, const std::string& told) const;
    std::optional<duty_holder> holderOf(const duty_id& duty) const;

    control_context& m_context;
    config_duty& m_config;
    key_duty& m_keys;
    target_duty& m_targets;
    peer_duty& m_peers;
    lease_duty& m_leases;
    membership m_members;
    news_board m_news;
    std::map<instance_id, std::string> m_listed; // addresses by the platform's list, which go before what is told
    bool m_started = false;
    instant m_startedAt {};
    instant m_nextBeat {};
    std::uint64_t m_followed = 0; // digest of the members that leases were told of
    bool m_pulling = false;
    bool m_synced = false; // marks that others hold are known here; till then no key is trusted
    std::set<instance_id> m_pulledFrom; // until m_synced
    std::deque<config_change> m_log; // recent changes, each begins where the one before ends
    revision m_newestHeard;
    instant m_newerSince {}; // somebody is ahead of us since then
    std::size_t m_knownAtConfirmed = 0; // instances at the last confirmed revision, this one included
    serving_mode m_toldMode { true, false };
    instant m_nextCopy {};
    revision m_copied;
    std::size_t m_copiedMarks = 0;
    std::atomic<bool> m_saved { true };
    std::unique_ptr<named_thread> m_saving;
};

} // namespace lovagerail::daemon
