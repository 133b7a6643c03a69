// Heartbeats, spreading, and the rules for outages.
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

    constexpr std::size_t watchers = 3; // instances that keep a watch open
    constexpr std::size_t mostLoggedChanges = 64;
    constexpr std::size_t mostLoggedObjects = 4096; // over all logged changes
    constexpr std::size_t spreadTo = 3; // told at once of a new revision
    constexpr std::int64_t settleBeats = 3; // before anybody is chosen as a watcher
    constexpr std::chrono::minutes marksKept { 10 };
    constexpr std::chrono::hours holdersKept { 24 };
    constexpr duration copyEvery = std::chrono::seconds(5);
    constexpr std::chrono::milliseconds pullTimeout { 5000 };
    constexpr std::chrono::milliseconds leastTimeout { 500 };
    constexpr std::string_view denyNews = "deny/";
    constexpr std::string_view dutyNews = "duty/";

    membership_settings memberSettings(const control_context& context)
    {
        membership_settings out;
        out.self.id = context.self;
        out.self.address = provider::withScheme(context.values.listen.instances);
        out.self.failureDomain = failure_domain_id(context.values.instance.failureDomain);
        out.self.life = context.life;
        out.period = context.values.timing.heartbeat;
        return out;
    }

    std::uint64_t seedOf(const control_context& context)
    {
        return rendezvousWeight(context.self.str(), std::to_string(context.life.value()));
    }

    // What changed between two snapshots, for one that was read whole. O(objects).
    config_change difference(const config& before, const config& after)
    {
        config_change out;
        out.from = before.at();
        out.to = after.at();
        std::set<object_ref> kept;
        after.forEach([&](const auto& object) {
            kept.insert(refOf(object));
            if (object.meta.changed.at > before.at())
                out.puts.emplace_back(object);
        });
        before.forEach([&](const auto& object) {
            const auto ref = refOf(object);
            if (!kept.contains(ref))
                out.deletes.push_back(ref);
        });
        const auto foreign = after.full();
        for (const auto& object : foreign.foreignPuts) {
            if (object.at > before.at())
                out.foreignPuts.push_back(object);
        }
        std::set<std::string> keptPaths;
        for (const auto& object : foreign.foreignPuts)
            keptPaths.insert(object.path);
        for (const auto& object : before.full().foreignPuts) {
            if (!keptPaths.contains(object.path))
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
    m_peers.server().add("configSince", [this](const Json::Value& asked) -> result<Json::Value> { return since(revision(asked["from"].asUInt64())); });
    m_peers.server().add("deny", [this](const Json::Value& told) -> result<Json::Value> {
        const auto marks = denyMarksFromJson(told["marks"]);
        if (!marks)
            return tl::unexpected(marks.error());
        m_keys.learn(*marks);
        putMarks();
        return Json::Value(true);
    });
    m_config.onApplied([this](const config_ptr& before, const config_change& change) { logChange(*before, change); });
    m_keys.onNewMarks([this](const std::vector<deny_mark>& marks) { pushMarks(marks); });
    m_leases.setHolderNews([this](const duty_id& duty) { return holderOf(duty); });
    const auto tellHolder = [this](const duty_id& duty, fencing_number fencing, bool isHeld) {
        const std::string value = isHeld ? std::to_string(m_context.life.value()) + " " + m_context.self.str() : std::string();
        static_cast<void>(m_news.put(std::string(dutyNews) + duty.str(), 2 * fencing.value() + (isHeld ? 0 : 1), value, holdersKept, m_context.now));
    };
    m_leases.onGained([tellHolder](const duty_id& duty, fencing_number fencing) { tellHolder(duty, fencing, true); });
    m_leases.onLost([tellHolder](const duty_id& duty, fencing_number fencing) { tellHolder(duty, fencing, false); });
}

void member_duty::tick()
{
    if (!m_started) {
        m_started = true;
        m_startedAt = m_context.now;
        m_context.tellServing(m_toldMode);
        loadCopy();
    }
    if (m_context.now >= m_nextBeat) {
        m_nextBeat = m_context.now + m_context.values.timing.heartbeat;
        beat();
    }
    for (const auto& sent : m_members.tick(m_context.now))
        send(sent);
    followLive();
    judgeSynced();
    judgeCutOff();
    keepCopy();
}

// What needs no more than once a period.
void member_duty::beat()
{
    m_listed.clear();
    std::vector<member_update> seeds;
    for (const auto& one : m_targets.instances()) {
        if (one.state != provider::instance_state::Live)
            continue;
        m_listed[one.id] = one.address;
        member_update seed;
        seed.id = one.id;
        seed.address = one.address;
        seed.failureDomain = one.failureDomain;
        seeds.push_back(std::move(seed));
    }
    m_members.setSeeds(seeds);
    m_news.expire(m_context.now);
    putMarks();
    chooseWatchers();
}

// --- Messages ------------------------------------------------------------------------

std::string member_duty::addressOf(const instance_id& id, const std::string& told) const
{
    const auto listed = m_listed.find(id);
    return listed == m_listed.end() ? told : listed->second;
}

gossip_message member_duty::wrap(member_message message, const news_digests* theirs)
{
    gossip_message out;
    out.members = std::move(message);
    out.news = m_news.compose(theirs, m_members.liveCount(), m_context.now);
    out.inForce = m_context.inForce->at();
    if (m_config.confirmedAt() != instant())
        out.confirmedAgo = std::chrono::duration_cast<std::chrono::milliseconds>(m_context.now - m_config.confirmedAt());
    return out;
}

void member_duty::send(const member_send& sent)
{
    Json::Value parameters(Json::objectValue);
    parameters["m"] = toBase64(encodeGossip(wrap(sent.message, nullptr)));
    const auto timeout = std::max(leastTimeout, m_context.values.timing.heartbeat);
    m_peers.call(
        addressOf(sent.to, sent.address), "gossip", parameters, [this, to = sent.to](const result<Json::Value>& answer) {
            auto bytes = answer && answer->isString() ? fromBase64(answer->asString()) : failure(error_code::Corrupt, "gossip.answer", "no text");
            auto message = bytes ? decodeGossip(*bytes) : tl::unexpected(bytes.error());
            if (!message) {
                m_members.onFailure(to);
                return;
            }
            m_members.onAnswer(to, message->members, m_context.now);
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
    return Json::Value(toBase64(encodeGossip(wrap(std::move(answer), &message->news.digests))));
}

void member_duty::onMessage(const gossip_message& message)
{
    takeNews(m_news.merge(message.news.entries, m_context.now));
    const auto own = m_context.inForce->at();
    if (message.inForce > m_newestHeard)
        m_newestHeard = message.inForce;
    if (message.inForce > own) {
        if (m_newerSince == instant())
            m_newerSince = m_context.now;
        pull(message.members.from);
        return;
    }
    if (!m_synced && !m_pulledFrom.contains(message.members.from.id))
        pull(message.members.from);
    // Nothing was newer than what the sender had, and so than ours, at that time.
    if (message.confirmedAgo >= std::chrono::milliseconds(0))
        m_config.confirmedByPeer(m_context.now - message.confirmedAgo);
}

void member_duty::takeNews(const std::vector<news_entry>& entries)
{
    std::vector<deny_mark> marks;
    for (const auto& entry : entries) {
        if (entry.key.rfind(denyNews, 0) == 0)
            marks.push_back({ key_id(entry.key.substr(denyNews.size())), revision(std::strtoull(entry.value.c_str(), nullptr, 10)) });
    }
    if (!marks.empty())
        m_keys.learn(marks);
}

// --- Configuration -------------------------------------------------------------------

void member_duty::logChange(const config& before, const config_change& change)
{
    m_log.push_back(change.from == before.at() ? change : difference(before, *m_context.inForce));
    std::size_t objects = 0;
    for (const auto& logged : m_log)
        objects += logged.puts.size() + logged.deletes.size();
    while (m_log.size() > mostLoggedChanges || (objects > mostLoggedObjects && m_log.size() > 1)) {
        objects -= m_log.front().puts.size() + m_log.front().deletes.size();
        m_log.pop_front();
    }
}

// A delta if the log reaches back far enough, else everything; marks in any case.
Json::Value member_duty::since(revision from) const
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

void member_duty::pull(const member_update& from)
{
    if (m_pulling)
        return;
    m_pulling = true;
    Json::Value asked(Json::objectValue);
    asked["from"] = Json::UInt64(m_context.inForce->at().value());
    m_peers.call(
        addressOf(from.id, from.address), "configSince", asked, [this, id = from.id](const result<Json::Value>& answer) {
            m_pulling = false;
            if (answer)
                onPulled(id, *answer);
        },
        pullTimeout);
}

void member_duty::onPulled(const instance_id& from, const Json::Value& answer)
{
    // Marks first: the configuration may hold keys that are withdrawn already.
    if (const auto marks = denyMarksFromJson(answer["marks"]))
        m_keys.learn(*marks);
    m_synced = m_synced || answer["synced"].asBool();
    m_pulledFrom.insert(from);
    if (!answer.isMember("change"))
        return;
    const auto change = changeFromJson(answer["change"]);
    if (!change) {
        logEvent(log_level::Warning, "members", "pull", { { "error", toString(change.error()) } });
        return;
    }
    if (!m_config.learn(*change))
        return;
    if (const auto head = decodeHead(answer["head"].asString()))
        m_config.setHead(*head);
}

void member_duty::onInForce()
{
    if (m_context.inForce->at() >= m_newestHeard)
        m_newerSince = instant();
    spreadNow();
}

void member_duty::spreadNow()
{
    for (const auto& one : m_members.sample(spreadTo))
        send({ one.id, one.address, m_members.compose(message_kind::Ping, one.id) });
}

// A few instances watch the service, whoever lives; the others learn from them.
void member_duty::chooseWatchers()
{
    const bool isSettled = m_members.liveCount() > 0 || m_context.now - m_startedAt > m_context.values.timing.heartbeat * settleBeats;
    if (!isSettled)
        return;
    std::vector<instance_id> members { m_context.self };
    for (const auto& one : m_members.live()) {
        if (!one.leaving)
            members.push_back(one.id);
    }
    const auto order = rendezvousOrder("config-watch", std::move(members));
    const auto place = static_cast<std::size_t>(std::find(order.begin(), order.end(), m_context.self) - order.begin());
    m_config.setWatcher(place < watchers, place);
}

// --- Keys and duties -----------------------------------------------------------------

// A withdrawal doesn't wait for the next heartbeat.
void member_duty::pushMarks(const std::vector<deny_mark>& marks)
{
    putMarks();
    Json::Value told(Json::objectValue);
    told["marks"] = toJson(marks);
    for (const auto& one : m_members.live())
        m_peers.call(addressOf(one.id, one.address), "deny", told, [](const result<Json::Value>&) {});
}

// All that hold a mark renew its news under the same version, until the
// configuration covers it.
void member_duty::putMarks()
{
    const auto version = static_cast<std::uint64_t>(m_context.wall.time_since_epoch() / (marksKept / 2));
    for (const auto& mark : m_keys.marks())
        static_cast<void>(m_news.put(std::string(denyNews) + mark.key.str(), version, std::to_string(mark.knownAt.value()), marksKept, m_context.now));
}

// Who holds a duty by the news, if that life of it is well.
std::optional<duty_holder> member_duty::holderOf(const duty_id& duty) const
{
    const auto entry = m_news.find(std::string(dutyNews) + duty.str());
    const auto blank = entry.value.find(' ');
    if (blank == std::string::npos)
        return std::nullopt;
    const duty_holder out { instance_id(entry.value.substr(blank + 1)), incarnation(std::strtoull(entry.value.c_str(), nullptr, 10)),
        fencing_number(entry.version / 2) };
    const auto* known = m_members.find(out.instance);
    if (out.instance == m_context.self || known == nullptr || known->life != out.life || known->state != member_state::Alive)
        return std::nullopt;
    return out;
}

// Duties are spread over the instances that live and are not leaving.
void member_duty::followLive()
{
    if (m_followed == m_members.digest())
        return;
    m_followed = m_members.digest();
    std::vector<live_instance> live;
    live.push_back({ m_context.self, m_members.self().address, m_members.self().failureDomain, m_context.life });
    for (const auto& one : m_members.live()) {
        if (!one.leaving)
            live.push_back({ one.id, addressOf(one.id, one.address), one.failureDomain, one.life });
    }
    logEvent(log_level::Info, "members", "live", { { "count", std::to_string(live.size()) } });
    m_leases.setLive(std::move(live));
}

// --- Outages and stops ---------------------------------------------------------------

// A key may have been withdrawn while this instance was down and the service away.
// So it asks for marks first: of one that has them all, or of a majority of those
// listed; if nobody answers for long, the other rules decide alone.
void member_duty::judgeSynced()
{
    if (m_synced)
        return;
    const auto age = m_context.now - m_startedAt;
    const bool isAlone = m_listed.size() - m_listed.count(m_context.self) == 0 && m_members.liveCount() == 0;
    const bool hasMajority = !m_pulledFrom.empty() && 2 * (m_pulledFrom.size() + 1) > m_listed.size();
    m_synced = hasMajority || age > m_context.values.timing.cutOff || (isAlone && age > m_context.values.timing.heartbeat * settleBeats);
    if (m_synced)
        m_pulledFrom.clear();
}

// Without word from the service: a majority of the instances known last can be
// reached, and none has been ahead of us for long.
bool member_duty::mayGoOn()
{
    const bool isBehind = m_newerSince != instant() && m_context.now - m_newerSince > m_context.values.timing.cutOff;
    const auto known = m_knownAtConfirmed != 0 ? m_knownAtConfirmed : std::max(m_listed.size(), m_members.liveCount() + 1);
    return !isBehind && 2 * m_members.reachable(m_context.now) > known;
}

void member_duty::judgeCutOff()
{
    const bool isConfirmed = m_config.confirmedAt() != instant() && m_context.now - m_config.confirmedAt() < m_context.values.timing.cutOff;
    if (isConfirmed)
        m_knownAtConfirmed = m_members.liveCount() + 1;
    const serving_mode mode { !m_synced || (!isConfirmed && !mayGoOn()), m_context.draining };
    if (mode.cutOff == m_toldMode.cutOff && mode.draining == m_toldMode.draining)
        return;
    if (mode.cutOff != m_toldMode.cutOff)
        logEvent(log_level::Warning, "members", mode.cutOff ? "cut_off" : "cut_off_over", { { "reachable", std::to_string(m_members.reachable(m_context.now)) } });
    m_toldMode = mode;
    m_context.tellServing(mode);
}

void member_duty::leave()
{
    m_members.leave();
    spreadNow();
}

// --- Local copy ----------------------------------------------------------------------

std::string member_duty::copyPath() const
{
    return m_context.values.instance.dataFolder + "/configuration.snapshot";
}

// Keyed requests wait until the service or a majority confirms it: judgeCutOff().
void member_duty::loadCopy()
{
    if (m_context.values.instance.dataFolder.empty())
        return;
    const auto copy = loadSnapshot(copyPath());
    if (!copy) {
        if (copy.error().code != error_code::NotFound)
            logEvent(log_level::Warning, "members", "snapshot", { { "error", toString(copy.error()) } });
        return;
    }
    m_keys.learn(copy->denied);
    m_config.learn(copy->configuration);
}

// Written by a thread of its own: a slow disk must not hold up leases.
void member_duty::keepCopy()
{
    if (m_context.values.instance.dataFolder.empty() || m_context.now < m_nextCopy || !m_saved)
        return;
    m_nextCopy = m_context.now + copyEvery;
    const auto marks = m_keys.marks();
    if (m_context.inForce->at() == m_copied && marks.size() == m_copiedMarks)
        return;
    m_copied = m_context.inForce->at();
    m_copiedMarks = marks.size();
    m_saved = false;
    m_saving = std::make_unique<named_thread>("snapshot", [this, inForce = m_context.inForce, marks, path = copyPath()] {
        const auto done = saveSnapshot(path, { inForce->full(), marks });
        if (!done)
            logEvent(log_level::Warning, "members", "snapshot", { { "error", toString(done.error()) } });
        m_saved = true;
    });
}

} // namespace lovagerail::daemon
