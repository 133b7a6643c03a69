// Heartbeats, gossip, and the rules for serving during outages of the key-value service.
#include "daemon/member_duty.h"

#include "config_layout.h"
#include "daemon/config_duty.h"
#include "daemon/key_duty.h"
#include "daemon/peer_duty.h"
#include "daemon/target_duty.h"
#include "log.h"
#include "object_codec.h"
#include "rendezvous.h"
#include "snapshot.h"

namespace lovagerail::daemon {

namespace {

    constexpr std::size_t watcherCount = 3; // number of instances that keep a watch on the configuration open
    constexpr std::size_t maxLoggedChanges = 64;
    constexpr std::size_t maxLoggedObjects = 4096; // in all logged changes together
    constexpr std::size_t notifyCount = 3; // number of instances that are notified immediately of a new revision
    constexpr std::int64_t settleHeartbeats = 3; // heartbeats before watchers are chosen
    constexpr std::chrono::minutes markLifetime { 10 };
    constexpr std::chrono::hours holderLifetime { 24 };
    constexpr duration snapshotInterval = std::chrono::seconds(5);
    constexpr std::chrono::milliseconds pullTimeout { 5000 };
    constexpr std::chrono::milliseconds minTimeout { 500 };
    constexpr std::string_view denyKeyPrefix = "deny/";
    constexpr std::string_view dutyKeyPrefix = "duty/";

    membership_settings memberSettings(const control_context& context)
    {
        membership_settings out;
        out.self.id = context.self;
        out.self.address = provider::withScheme(context.values.listen.instances);
        out.self.failureDomain = failure_domain_id(context.values.instance.failureDomain);
        out.self.incarnationNumber = context.incarnationNumber;
        out.period = context.values.timing.heartbeat;
        return out;
    }

    std::uint64_t seedOf(const control_context& context)
    {
        return rendezvousWeight(context.self.str(), std::to_string(context.incarnationNumber.value()));
    }

    // The change between two snapshots, for a configuration that was read as a whole. O(objects).
    config_change difference(const config& before, const config& after)
    {
        config_change out;
        out.from = before.at();
        out.to = after.at();
        std::set<object_ref> remaining;
        after.forEach([&](const auto& object) {
            remaining.insert(refOf(object));
            if (object.meta.changed.at > before.at())
                out.puts.emplace_back(object);
        });
        before.forEach([&](const auto& object) {
            const auto ref = refOf(object);
            if (!remaining.contains(ref))
                out.deletes.push_back(ref);
        });
        const auto full = after.full();
        for (const auto& object : full.foreignPuts) {
            if (object.at > before.at())
                out.foreignPuts.push_back(object);
        }
        std::set<std::string> remainingPaths;
        for (const auto& object : full.foreignPuts)
            remainingPaths.insert(object.path);
        for (const auto& object : before.full().foreignPuts) {
            if (!remainingPaths.contains(object.path))
                out.foreignDeletes.push_back(object.path);
        }
        return out;
    }

} // namespace

member_duty::member_duty(control_context& context, config_duty& config, key_duty& keys, target_duty& targets, peer_duty& peers, lease_duty& leases)
    : m_context(context)
    , m_config(config)
    , m_keys(keys)
    , m_targets(targets)
    , m_peers(peers)
    , m_leases(leases)
    , m_members(memberSettings(context), seedOf(context))
{
    m_peers.server().add("gossip", [this](const Json::Value& parameters) { return onGossip(parameters); });
    m_peers.server().add("configSince", [this](const Json::Value& parameters) -> result<Json::Value> { return changesSince(revision(parameters["from"].asUInt64())); });
    m_peers.server().add("deny", [this](const Json::Value& parameters) -> result<Json::Value> {
        const auto marks = denyMarksFromJson(parameters["marks"]);
        if (!marks)
            return tl::unexpected(marks.error());
        m_keys.mergeMarks(*marks);
        publishMarks();
        return Json::Value(true);
    });
    m_config.onApplied([this](const config_ptr& before, const config_change& change) { logChange(*before, change); });
    m_keys.onNewMarks([this](const std::vector<deny_mark>& marks) { pushMarks(marks); });
    m_leases.setHolderLookup([this](const duty_id& duty) { return holderOf(duty); });
    const auto publishHolder = [this](const duty_id& duty, fencing_number fencing, bool isHeld) {
        const std::string value = isHeld ? std::to_string(m_context.incarnationNumber.value()) + " " + m_context.self.str() : std::string();
        static_cast<void>(m_gossip.put(std::string(dutyKeyPrefix) + duty.str(), 2 * fencing.value() + (isHeld ? 0 : 1), value, holderLifetime, m_context.now));
    };
    m_leases.onGained([publishHolder](const duty_id& duty, fencing_number fencing) { publishHolder(duty, fencing, true); });
    m_leases.onLost([publishHolder](const duty_id& duty, fencing_number fencing) { publishHolder(duty, fencing, false); });
}

void member_duty::tick()
{
    if (!m_started) {
        m_started = true;
        m_startedAt = m_context.now;
        m_context.sendToServing(m_sentMode);
        loadLocalSnapshot();
    }
    if (m_context.now >= m_nextHeartbeat) {
        m_nextHeartbeat = m_context.now + m_context.values.timing.heartbeat;
        onHeartbeat();
    }
    for (const auto& outgoing : m_members.tick(m_context.now))
        send(outgoing);
    updateLive();
    updateSynced();
    updateServingMode();
    saveLocalSnapshot();
}

// Work that is done once per heartbeat.
void member_duty::onHeartbeat()
{
    m_listed.clear();
    std::vector<member_update> seeds;
    for (const auto& instance : m_targets.instances()) {
        if (instance.state != provider::instance_state::Live)
            continue;
        m_listed[instance.id] = instance.address;
        member_update seed;
        seed.id = instance.id;
        seed.address = instance.address;
        seed.failureDomain = instance.failureDomain;
        seeds.push_back(std::move(seed));
    }
    m_members.setSeeds(seeds);
    m_gossip.expire(m_context.now);
    publishMarks();
    chooseWatchers();
}

// --- Messages ------------------------------------------------------------------------

std::string member_duty::addressOf(const instance_id& id, const std::string& gossiped) const
{
    const auto listed = m_listed.find(id);
    return listed == m_listed.end() ? gossiped : listed->second;
}

gossip_message member_duty::makeGossip(member_message message, const gossip_digests* peerDigests)
{
    gossip_message out;
    out.members = std::move(message);
    out.gossip = m_gossip.compose(peerDigests, m_members.liveCount(), m_context.now);
    out.inForce = m_context.inForce->at();
    if (m_config.confirmedAt() != instant())
        out.confirmedAgo = std::chrono::duration_cast<std::chrono::milliseconds>(m_context.now - m_config.confirmedAt());
    return out;
}

void member_duty::send(const outgoing_member_message& outgoing)
{
    Json::Value parameters(Json::objectValue);
    parameters["m"] = toBase64(encodeGossip(makeGossip(outgoing.message, nullptr)));
    const auto timeout = std::max(minTimeout, m_context.values.timing.heartbeat);
    m_peers.call(
        addressOf(outgoing.to, outgoing.address), "gossip", parameters, [this, recipient = outgoing.to](const result<Json::Value>& answer) {
            auto bytes = answer && answer->isString() ? fromBase64(answer->asString()) : failure(error_code::Corrupt, "gossip.answer", "the answer to a gossip message is not a string");
            auto message = bytes ? decodeGossip(*bytes) : tl::unexpected(bytes.error());
            if (!message) {
                m_members.onFailure(recipient);
                return;
            }
            m_members.onAnswer(recipient, message->members, m_context.now);
            onMessage(*message);
        },
        timeout);
}

result<Json::Value> member_duty::onGossip(const Json::Value& parameters)
{
    const auto bytes = fromBase64(parameters["m"].asString());
    if (!bytes)
        return tl::unexpected(bytes.error());
    const auto message = decodeGossip(*bytes);
    if (!message)
        return tl::unexpected(message.error());
    auto answer = m_members.onMessage(message->members, m_context.now);
    onMessage(*message);
    return Json::Value(toBase64(encodeGossip(makeGossip(std::move(answer), &message->gossip.digests))));
}

void member_duty::onMessage(const gossip_message& message)
{
    mergeGossipedMarks(m_gossip.merge(message.gossip.entries, m_context.now));
    const auto ownRevision = m_context.inForce->at();
    if (message.inForce > m_newestKnown)
        m_newestKnown = message.inForce;
    if (message.inForce > ownRevision) {
        if (m_behindSince == instant())
            m_behindSince = m_context.now;
        pullConfig(message.members.from);
        return;
    }
    if (!m_synced && !m_pulledFrom.contains(message.members.from.id))
        pullConfig(message.members.from);
    // When the service confirmed the sender's revision, it had no newer one. The revision here is
    // at least the sender's, so it is confirmed as of that time, too.
    if (message.confirmedAgo >= std::chrono::milliseconds(0))
        m_config.confirmedByPeer(m_context.now - message.confirmedAgo);
}

void member_duty::mergeGossipedMarks(const std::vector<gossip_entry>& entries)
{
    std::vector<deny_mark> marks;
    for (const auto& entry : entries) {
        if (entry.key.rfind(denyKeyPrefix, 0) == 0)
            marks.push_back({ key_id(entry.key.substr(denyKeyPrefix.size())), revision(std::strtoull(entry.value.c_str(), nullptr, 10)) });
    }
    if (!marks.empty())
        m_keys.mergeMarks(marks);
}

// --- Configuration -------------------------------------------------------------------

void member_duty::logChange(const config& before, const config_change& change)
{
    m_log.push_back(change.from == before.at() ? change : difference(before, *m_context.inForce));
    std::size_t objects = 0;
    for (const auto& logged : m_log)
        objects += logged.puts.size() + logged.deletes.size();
    while (m_log.size() > maxLoggedChanges || (objects > maxLoggedObjects && m_log.size() > 1)) {
        objects -= m_log.front().puts.size() + m_log.front().deletes.size();
        m_log.pop_front();
    }
}

// The changes since a revision if the log goes back that far, else the whole configuration;
// with the deny marks in both cases.
Json::Value member_duty::changesSince(revision from) const
{
    std::optional<config_change> delta;
    for (const auto& change : m_log) {
        if (change.to <= from || from < change.from)
            continue;
        delta = change;
        break;
    }
    for (const auto& change : m_log) {
        if (delta && change.from == delta->to)
            delta = lovagerail::compose(*delta, change);
    }
    const bool isWhole = delta && delta->to == m_context.inForce->at();
    Json::Value out(Json::objectValue);
    if (from < m_context.inForce->at())
        out["change"] = toJson(isWhole ? *delta : m_context.inForce->full());
    out["marks"] = toJson(m_keys.marks());
    out["head"] = encodeHead(m_config.head());
    out["synced"] = m_synced;
    return out;
}

void member_duty::pullConfig(const member_update& from)
{
    if (m_pulling)
        return;
    m_pulling = true;
    Json::Value parameters(Json::objectValue);
    parameters["from"] = Json::UInt64(m_context.inForce->at().value());
    m_peers.call(
        addressOf(from.id, from.address), "configSince", parameters, [this, id = from.id](const result<Json::Value>& answer) {
            m_pulling = false;
            if (answer)
                onConfigPulled(id, *answer);
        },
        pullTimeout);
}

void member_duty::onConfigPulled(const instance_id& from, const Json::Value& answer)
{
    // Marks first: the configuration may contain keys that are already withdrawn.
    if (const auto marks = denyMarksFromJson(answer["marks"]))
        m_keys.mergeMarks(*marks);
    m_synced = m_synced || answer["synced"].asBool();
    m_pulledFrom.insert(from);
    if (!answer.isMember("change"))
        return;
    const auto change = changeFromJson(answer["change"]);
    if (!change) {
        logEvent(log_level::Warning, "members", "pull", { { "error", toString(change.error()) } });
        return;
    }
    if (!m_config.applyPeerChange(*change))
        return;
    if (const auto head = decodeHead(answer["head"].asString()))
        m_config.setHead(*head);
}

void member_duty::onConfigApplied()
{
    if (m_context.inForce->at() >= m_newestKnown)
        m_behindSince = instant();
    gossipNow();
}

void member_duty::gossipNow()
{
    for (const auto& member : m_members.sample(notifyCount))
        send({ member.id, member.address, m_members.compose(message_kind::Ping, member.id) });
}

// Chooses the few live instances that watch the service; the others get changes from them.
void member_duty::chooseWatchers()
{
    const bool isSettled = m_members.liveCount() > 0 || m_context.now - m_startedAt > m_context.values.timing.heartbeat * settleHeartbeats;
    if (!isSettled)
        return;
    std::vector<instance_id> members { m_context.self };
    for (const auto& member : m_members.live()) {
        if (!member.leaving)
            members.push_back(member.id);
    }
    const auto order = rendezvousOrder("config-watch", std::move(members));
    const auto rank = static_cast<std::size_t>(std::find(order.begin(), order.end(), m_context.self) - order.begin());
    m_config.setWatcher(rank < watcherCount, rank);
}

// --- Keys and duties -----------------------------------------------------------------

// Sends a withdrawal to all instances immediately, without waiting for the next heartbeat.
void member_duty::pushMarks(const std::vector<deny_mark>& marks)
{
    publishMarks();
    Json::Value parameters(Json::objectValue);
    parameters["marks"] = toJson(marks);
    for (const auto& member : m_members.live())
        m_peers.call(addressOf(member.id, member.address), "deny", parameters, [](const result<Json::Value>&) {});
}

// Renews the gossip entries of deny marks until the configuration contains the withdrawals.
// All instances that have a mark renew it under the same version.
void member_duty::publishMarks()
{
    const auto version = static_cast<std::uint64_t>(m_context.wall.time_since_epoch() / (markLifetime / 2));
    for (const auto& mark : m_keys.marks())
        static_cast<void>(m_gossip.put(std::string(denyKeyPrefix) + mark.key.str(), version, std::to_string(mark.knownAt.value()), markLifetime, m_context.now));
}

// The holder of a duty by gossip, if that incarnation of the instance is known to be alive.
std::optional<duty_holder> member_duty::holderOf(const duty_id& duty) const
{
    const auto entry = m_gossip.find(std::string(dutyKeyPrefix) + duty.str());
    const auto space = entry.value.find(' ');
    if (space == std::string::npos)
        return std::nullopt;
    const duty_holder out { instance_id(entry.value.substr(space + 1)), incarnation(std::strtoull(entry.value.c_str(), nullptr, 10)),
        fencing_number(entry.version / 2) };
    const auto* member = m_members.find(out.instance);
    if (out.instance == m_context.self || member == nullptr || member->incarnationNumber != out.incarnationNumber || member->state != member_state::Alive)
        return std::nullopt;
    return out;
}

// Passes the live instances that are not leaving to the lease duty, which distributes duties
// over them.
void member_duty::updateLive()
{
    if (m_liveDigest == m_members.digest())
        return;
    m_liveDigest = m_members.digest();
    std::vector<live_instance> live;
    live.push_back({ m_context.self, m_members.self().address, m_members.self().failureDomain, m_context.incarnationNumber });
    for (const auto& member : m_members.live()) {
        if (!member.leaving)
            live.push_back({ member.id, addressOf(member.id, member.address), member.failureDomain, member.incarnationNumber });
    }
    logEvent(log_level::Info, "members", "live", { { "count", std::to_string(live.size()) } });
    m_leases.setLive(std::move(live));
}

// --- Outages and stops ---------------------------------------------------------------

// A key may have been withdrawn while this instance was down and the key-value service was
// unavailable. So a starting instance trusts no key until it has the deny marks: from an
// instance that has them all, or from a majority of the listed instances. After the cut-off time,
// or after a few heartbeats if no other instance is known, it stops waiting for them, and only
// the rules of updateServingMode() decide.
void member_duty::updateSynced()
{
    if (m_synced)
        return;
    const auto age = m_context.now - m_startedAt;
    const bool isAlone = m_listed.size() - m_listed.count(m_context.self) == 0 && m_members.liveCount() == 0;
    const bool hasMajority = !m_pulledFrom.empty() && 2 * (m_pulledFrom.size() + 1) > m_listed.size();
    m_synced = hasMajority || age > m_context.values.timing.cutOff || (isAlone && age > m_context.values.timing.heartbeat * settleHeartbeats);
    if (m_synced)
        m_pulledFrom.clear();
}

// Whether this instance may keep serving without confirmation by the service: a majority of
// the instances known last must be reachable, and none may have had a newer revision for long.
bool member_duty::mayServeUnconfirmed()
{
    const bool isBehind = m_behindSince != instant() && m_context.now - m_behindSince > m_context.values.timing.cutOff;
    const auto instanceCount = m_instancesAtConfirmation != 0 ? m_instancesAtConfirmation : std::max(m_listed.size(), m_members.liveCount() + 1);
    return !isBehind && 2 * m_members.reachable(m_context.now) > instanceCount;
}

void member_duty::updateServingMode()
{
    const bool isConfirmed = m_config.confirmedAt() != instant() && m_context.now - m_config.confirmedAt() < m_context.values.timing.cutOff;
    if (isConfirmed)
        m_instancesAtConfirmation = m_members.liveCount() + 1;
    const serving_mode mode { !m_synced || (!isConfirmed && !mayServeUnconfirmed()), m_context.draining };
    if (mode.cutOff == m_sentMode.cutOff && mode.draining == m_sentMode.draining)
        return;
    if (mode.cutOff != m_sentMode.cutOff)
        logEvent(log_level::Warning, "members", mode.cutOff ? "cut_off" : "cut_off_over", { { "reachable", std::to_string(m_members.reachable(m_context.now)) } });
    m_sentMode = mode;
    m_context.sendToServing(mode);
}

void member_duty::leave()
{
    m_members.leave();
    gossipNow();
}

// --- Local copy ----------------------------------------------------------------------

std::string member_duty::snapshotPath() const
{
    return m_context.values.instance.dataFolder + "/configuration.snapshot";
}

// Loads the configuration and the deny marks that an earlier process of this instance saved.
// Requests with keys are not served from the copy until the service or a majority of the
// instances confirms it: see updateServingMode().
void member_duty::loadLocalSnapshot()
{
    if (m_context.values.instance.dataFolder.empty())
        return;
    const auto snapshot = loadSnapshot(snapshotPath());
    if (!snapshot) {
        if (snapshot.error().code != error_code::NotFound)
            logEvent(log_level::Warning, "members", "snapshot", { { "error", toString(snapshot.error()) } });
        return;
    }
    m_keys.mergeMarks(snapshot->denied);
    m_config.applyPeerChange(snapshot->configuration);
}

// Saves the configuration and the deny marks if they have changed. A separate thread writes the
// file, as a slow disk must not delay the renewal of leases.
void member_duty::saveLocalSnapshot()
{
    if (m_context.values.instance.dataFolder.empty() || m_context.now < m_nextSnapshot || !m_saveDone)
        return;
    m_nextSnapshot = m_context.now + snapshotInterval;
    const auto marks = m_keys.marks();
    if (m_context.inForce->at() == m_savedRevision && marks.size() == m_savedMarkCount)
        return;
    m_savedRevision = m_context.inForce->at();
    m_savedMarkCount = marks.size();
    m_saveDone = false;
    m_saveThread = std::make_unique<named_thread>("snapshot", [this, inForce = m_context.inForce, marks, path = snapshotPath()] {
        const auto saved = saveSnapshot(path, { inForce->full(), marks });
        if (!saved)
            logEvent(log_level::Warning, "members", "snapshot", { { "error", toString(saved.error()) } });
        m_saveDone = true;
    });
}

} // namespace lovagerail::daemon
