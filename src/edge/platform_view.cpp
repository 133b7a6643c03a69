// Reads the documents from the store or from the parent in the tree, serves them to the
// children, and applies them.
#include "edge/platform_view.h"

#include "edge/peer_call.h"
#include "forwarding.h"
#include "json_text.h"
#include "log.h"
#include "rendezvous.h"

#include <algorithm>
#include <set>

namespace lovagerail::edge {

namespace {

    constexpr duration minRetryDelay = std::chrono::milliseconds(300); // after a failed read; exponential backoff
    constexpr duration maxRetryDelay = std::chrono::milliseconds(1500);
    // The platform bounds how long after its notice a leaving target may still get new
    // requests. The list is read again after the first share of that bound and counts as
    // stale after the second; the rest is left for the calls and for requests in flight.
    constexpr double listReadShare = 0.45;
    constexpr double listStaleShare = 0.95;
    // A configuration must be in force within 2 s of its acceptance, also if the store stops
    // answering on an open watch.
    constexpr std::chrono::milliseconds configWatchWait { 1500 };
    constexpr std::chrono::milliseconds membersWatchWait { 2500 }; // shorter than a lease
    // A longer gap between two confirmations of the target list counts as an outage of the store.
    constexpr duration outageThreshold = std::chrono::milliseconds(2500);
    // Targets whose entries expired during an outage are listed again within about 2 s after it.
    constexpr duration outageGracePeriod = std::chrono::milliseconds(2300);

    constexpr std::size_t maxChildren = 8; // of one instance; three levels below the root hold several hundred instances
    constexpr duration maxPeerWait = std::chrono::milliseconds(300); // long poll of a child while nothing changes
    constexpr std::chrono::milliseconds peerTimeout { 900 };
    constexpr duration storeReadPeriod = std::chrono::seconds(3); // reading from the store before the parent is tried again
    // If the parent's configuration was confirmed longer ago, read from the store instead.
    constexpr duration configStaleAge = std::chrono::milliseconds(2800);

    constexpr const char* documentNames[] = { "config", "members", "targets" };

    Json::Value entriesJson(const std::vector<kv_entry>& entries)
    {
        Json::Value out(Json::arrayValue);
        for (const auto& entry : entries) {
            Json::Value row(Json::objectValue);
            row["key"] = entry.key;
            row["value"] = entry.value;
            row["created"] = Json::UInt64(entry.createRevision.value());
            row["changed"] = Json::UInt64(entry.modRevision.value());
            out.append(std::move(row));
        }
        return out;
    }

    std::vector<kv_entry> entriesFromJson(const Json::Value& rows)
    {
        std::vector<kv_entry> out;
        for (const auto& row : rows)
            out.push_back({ jsonText(row, "key"), jsonText(row, "value"), revision(jsonCount(row, "created")), revision(jsonCount(row, "changed")), {} });
        return out;
    }

    bool sameEntries(const std::vector<kv_entry>& left, const std::vector<kv_entry>& right)
    {
        return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](const kv_entry& a, const kv_entry& b) { return a.key == b.key && a.modRevision == b.modRevision; });
    }

    // Compares the decoded targets: periodic check-ins give an entry a new revision without
    // changing anything that matters.
    bool sameTargets(const std::vector<kv_entry>& left, const std::vector<kv_entry>& right)
    {
        return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](const kv_entry& a, const kv_entry& b) {
            if (a.key != b.key)
                return false;
            if (a.modRevision == b.modRevision)
                return true;
            const auto before = platform::decodeTarget(a.key, a.value, a.createRevision);
            const auto after = platform::decodeTarget(b.key, b.value, b.createRevision);
            return before.has_value() == after.has_value() && (!before || before->listed == after->listed);
        });
    }

    void applyEvent(std::vector<kv_entry>& entries, const kv_event& event)
    {
        const auto position = std::lower_bound(entries.begin(), entries.end(), event.entry.key, [](const kv_entry& entry, const std::string& key) { return entry.key < key; });
        const bool exists = position != entries.end() && position->key == event.entry.key;
        if (event.deleted) {
            if (exists && position->modRevision <= event.entry.modRevision)
                entries.erase(position);
        } else if (!exists)
            entries.insert(position, event.entry);
        else if (position->modRevision < event.entry.modRevision)
            *position = event.entry;
    }

} // namespace

platform_view::platform_view(context& shared, members& membership)
    : m_context(shared)
    , m_members(membership)
{
}

duration platform_view::shareOfDrainBound(double share) const
{
    return std::chrono::duration_cast<duration>(m_context.settings.bounds.drain * share);
}

// --- From the store ----------------------------------------------------------

// The root of the tree always reads from the store; others while their parent is silent or stale.
bool platform_view::mustReadStore() const
{
    return parent() == nullptr || m_context.now < m_readStoreUntil;
}

void platform_view::scheduleRetry(document& doc) const
{
    doc.reading = false;
    doc.retryDelay = std::clamp(doc.retryDelay * 2, minRetryDelay, maxRetryDelay);
    doc.readAt = m_context.now + doc.retryDelay;
}

void platform_view::onStoreRegained()
{
    for (auto& doc : m_documents) {
        if (doc.retryDelay == duration {})
            continue;
        doc.retryDelay = {};
        doc.readAt = m_context.now;
    }
}

void platform_view::readFromStore(document_index index)
{
    auto& doc = m_documents[index];
    if (doc.reading || doc.watch != 0 || m_context.now < doc.readAt)
        return;
    doc.reading = true;
    const auto onAnswer = [this, index, askedAt = m_context.now](const result<kv_answer>& answer) {
        auto& answeredDoc = m_documents[index];
        if (!answer) {
            scheduleRetry(answeredDoc);
            return;
        }
        answeredDoc.reading = false;
        answeredDoc.retryDelay = {};
        answeredDoc.readAt = askedAt + (index == TargetsIndex ? shareOfDrainBound(listReadShare) : duration {});
        updateDocument(index, answer->entries, answer->at, askedAt);
        if (index != TargetsIndex && mustReadStore())
            startWatch(index);
    };
    if (index == ConfigIndex)
        m_context.store.call(documentNames[index], readKey(std::string(platform::configKey)), onAnswer);
    else
        m_context.store.list(documentNames[index], std::string(index == MembersIndex ? dutyPrefix : platform::targetPrefix), onAnswer);
}

void platform_view::startWatch(document_index index)
{
    auto& doc = m_documents[index];
    const auto prefix = index == ConfigIndex ? platform::configKey : dutyPrefix;
    const auto wait = index == ConfigIndex ? configWatchWait : membersWatchWait;
    doc.watch = m_context.store.watch(std::string(prefix), doc.at, wait, [this, index](const platform::store_watch_response& response) {
        auto& watchedDoc = m_documents[index];
        if (response.compacted) {
            watchedDoc.watch = 0; // tick() reads the whole document again
            return;
        }
        auto entries = watchedDoc.entries;
        for (const auto& event : response.events)
            applyEvent(entries, event);
        updateDocument(index, std::move(entries), response.at, m_context.now);
    });
}

void platform_view::stopWatches()
{
    for (auto& doc : m_documents) {
        if (doc.watch != 0)
            m_context.store.endWatch(std::exchange(doc.watch, 0));
    }
}

// --- Between instances -------------------------------------------------------

platform_view::tree_place platform_view::treePlace() const
{
    tree_place out;
    out.order = rendezvousOrder("knowledge", m_members.names());
    const instance_id self(m_context.settings.instance.name);
    out.rank = static_cast<std::size_t>(std::find(out.order.begin(), out.order.end(), self) - out.order.begin());
    if (out.rank > 0)
        out.parent = m_members.find(out.order[(out.rank - 1) / maxChildren]);
    return out;
}

const member* platform_view::parent() const
{
    return m_documents[MembersIndex].known ? treePlace().parent : nullptr;
}

std::vector<member> platform_view::neighbours() const
{
    std::vector<member> out;
    const auto ownPlace = treePlace();
    if (ownPlace.parent != nullptr)
        out.push_back(*ownPlace.parent);
    const auto firstChild = ownPlace.rank * maxChildren + 1;
    for (auto child = firstChild; child < std::min(firstChild + maxChildren, ownPlace.order.size()); ++child) {
        if (const auto* childMember = m_members.find(ownPlace.order[child]))
            out.push_back(*childMember);
    }
    return out;
}

// Versions of all documents as one text. It begins with our incarnation, as versions start
// from 0 again after a restart.
std::string platform_view::versions() const
{
    std::string out = std::to_string(m_context.ownIncarnation.value());
    for (const auto& doc : m_documents)
        out += "." + std::to_string(doc.version);
    return out;
}

void platform_view::askParent()
{
    const auto* parentMember = parent();
    if (parentMember == nullptr || m_parentAsked)
        return;
    m_parentAsked = true;
    m_context.net.call(peerCall(parentMember->address, "/known?" + m_parentVersions, {}, peerTimeout), [this, askedAt = m_context.now](const http::answer& answer) {
        m_parentAsked = false;
        onParentAnswer(answer, askedAt);
    });
}

void platform_view::onParentAnswer(const http::answer& answer, instant askedAt)
{
    const auto body = isOk(answer) ? parseJson(answer.body) : std::nullopt;
    if (!body || !body->isObject()) {
        logEvent(log_level::Info, "knowledge", "parent_silent", { { "status", std::to_string(answer.status) }, { "detail", answer.detail } });
        m_readStoreUntil = m_context.now + storeReadPeriod;
        return;
    }
    // The ages are as of the parent's answer, so the time that it held the call open does not
    // count; only the transit of the answer is neglected.
    bool parentStale = false;
    for (std::size_t i = 0; i < DocumentCount; ++i) {
        const auto& documentJson = (*body)[documentNames[i]];
        const auto confirmedAt = m_context.now - std::chrono::milliseconds(jsonCount(documentJson, "age_ms"));
        const revision documentRevision(jsonCount(documentJson, "at"));
        if (documentJson.isMember("entries"))
            updateDocument(static_cast<document_index>(i), entriesFromJson(jsonList(documentJson, "entries")), documentRevision, confirmedAt);
        else if (documentRevision >= m_documents[i].at)
            m_documents[i].confirmedAt = std::max(m_documents[i].confirmedAt, confirmedAt);
    }
    parentStale = m_context.now - m_documents[TargetsIndex].confirmedAt > shareOfDrainBound(listStaleShare) || m_context.now - m_documents[ConfigIndex].confirmedAt > configStaleAge;
    m_parentVersions = jsonText(*body, "versions");
    if (!parentStale)
        return;
    logEvent(log_level::Info, "knowledge", "parent_old", { { "asked_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(m_context.now - askedAt).count()) } });
    m_readStoreUntil = m_context.now + storeReadPeriod;
}

void platform_view::onPeerRequest(const http::exchange_ptr& exchange)
{
    if (exchange->query != versions())
        answerPeer(exchange);
    else
        m_waitingPeers.push_back({ exchange, exchange->query, m_context.now + maxPeerWait });
}

void platform_view::answerPeer(const http::exchange_ptr& exchange) const
{
    // Parse the versions that the peer got from us: our incarnation, then one per document.
    std::vector<std::string> knownVersions;
    std::string unparsed = exchange->query;
    for (auto dot = unparsed.find('.'); !unparsed.empty(); dot = unparsed.find('.')) {
        knownVersions.push_back(unparsed.substr(0, dot));
        unparsed = dot == std::string::npos ? std::string() : unparsed.substr(dot + 1);
    }
    const bool comparable = knownVersions.size() == DocumentCount + 1 && knownVersions[0] == std::to_string(m_context.ownIncarnation.value());
    Json::Value out(Json::objectValue);
    out["versions"] = versions();
    for (std::size_t i = 0; i < DocumentCount; ++i) {
        const auto& doc = m_documents[i];
        Json::Value documentJson(Json::objectValue);
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(m_context.now - doc.confirmedAt);
        documentJson["age_ms"] = Json::UInt64(doc.known ? static_cast<std::uint64_t>(std::max<std::int64_t>(age.count(), 0)) : std::chrono::milliseconds(std::chrono::hours(1)).count());
        documentJson["at"] = Json::UInt64(doc.at.value());
        if (doc.known && (!comparable || knownVersions[i + 1] != std::to_string(doc.version)))
            documentJson["entries"] = entriesJson(doc.entries);
        out[documentNames[i]] = std::move(documentJson);
    }
    exchange->answer(statusOk, {}, writeJson(out));
}

// --- Applying documents ------------------------------------------------------

void platform_view::updateDocument(document_index index, std::vector<kv_entry> entries, revision at, instant confirmedAt)
{
    auto& doc = m_documents[index];
    if (doc.known && at < doc.at)
        return; // never go back to an older revision
    std::sort(entries.begin(), entries.end(), [](const kv_entry& a, const kv_entry& b) { return a.key < b.key; });
    const bool unchanged = doc.known && (index == TargetsIndex ? sameTargets(doc.entries, entries) : sameEntries(doc.entries, entries));
    // An outage shows as a gap between confirmations, whether or not the list changed.
    if (index == TargetsIndex && doc.known && confirmedAt - doc.confirmedAt > outageThreshold)
        m_outageGraceUntil = m_context.now + outageGracePeriod;
    doc.entries = std::move(entries);
    doc.at = at;
    doc.known = true;
    doc.confirmedAt = std::max(doc.confirmedAt, confirmedAt);
    if (!unchanged)
        ++doc.version;
    if (index == TargetsIndex)
        applyTargets();
    else if (unchanged)
        return;
    else if (index == ConfigIndex)
        applyConfig();
    else
        m_members.applyEntries(doc.entries);
}

void platform_view::applyConfig()
{
    for (const auto& entry : m_documents[ConfigIndex].entries) {
        if (entry.key != platform::configKey)
            continue;
        auto site = platform::decodeSite(entry.value);
        if (!site) {
            logEvent(log_level::Error, "config", "decode", { { "error", toString(site.error()) }, { "revision", std::to_string(entry.modRevision.value()) } });
            return;
        }
        if (m_context.site && site->version <= m_context.site->version)
            return;
        for (const auto& [id, service] : site->services) {
            const pool_id pool(id.str());
            const auto name = serviceClass(id);
            if (!m_context.targets.table().hasClass(name))
                m_context.targets.setClass(name, [pool](const target_record& record) { return record.listed.pool == pool; });
        }
        logEvent(log_level::Info, "config", "in_force",
            { { "version", std::to_string(site->version) }, { "routes", std::to_string(site->routes.size()) }, { "accounts", std::to_string(site->accounts.size()) } });
        m_context.site = std::make_shared<const site_config>(std::move(*site));
    }
}

void platform_view::applyTargets()
{
    const auto& doc = m_documents[TargetsIndex];
    std::vector<platform::target_entry> entries;
    for (const auto& entry : doc.entries) {
        if (auto target = platform::decodeTarget(entry.key, entry.value, entry.createRevision))
            entries.push_back(std::move(*target));
        else
            logEvent(log_level::Debug, "targets", "ignored", { { "key", entry.key } });
    }

    // Step 1. After an outage, keep targets that were listed before it during the grace period.
    if (m_outageGraceUntil && m_context.now >= *m_outageGraceUntil)
        m_outageGraceUntil.reset();
    if (m_outageGraceUntil) {
        std::set<target_id> listed;
        for (const auto& entry : entries)
            listed.insert(entry.listed.id);
        for (const auto& previous : m_targets) {
            if (!listed.contains(previous.listed.id))
                entries.push_back(previous);
        }
    }

    // Step 2. Log changes and update the router.
    std::map<target_id, target_state> statesBefore;
    for (const auto& previous : m_targets)
        statesBefore[previous.listed.id] = previous.listed.state;
    std::vector<listed_target> rows;
    for (const auto& entry : entries) {
        rows.push_back(entry.listed);
        const auto stateBefore = statesBefore.find(entry.listed.id);
        if (stateBefore == statesBefore.end() || stateBefore->second != entry.listed.state)
            logEvent(log_level::Info, "targets", entry.listed.state == target_state::Live ? "live" : "leaving",
                { { "target", entry.listed.id.str() }, { "service", entry.service.str() }, { "address", entry.listed.address }, { "domain", entry.listed.failureDomain.str() } });
        if (stateBefore != statesBefore.end())
            statesBefore.erase(stateBefore);
    }
    for (const auto& [id, state] : statesBefore)
        logEvent(log_level::Info, "targets", "gone", { { "target", id.str() } });
    m_context.targets.applyList(rows, m_context.now);
    m_targets = std::move(entries);
}

// --- Periodic work -----------------------------------------------------------

void platform_view::tick()
{
    // Step 1. Read from the store or ask the parent.
    if (mustReadStore()) {
        for (const auto index : { MembersIndex, ConfigIndex, TargetsIndex })
            readFromStore(index);
    } else {
        stopWatches();
        askParent();
    }

    // Step 2. Answer children whose long poll has a change or has timed out.
    const auto currentVersions = versions();
    std::vector<waiting_peer> stillWaiting;
    for (auto& peer : m_waitingPeers) {
        if (peer.knownVersions == currentVersions && m_context.now < peer.until)
            stillWaiting.push_back(std::move(peer));
        else
            answerPeer(peer.exchange);
    }
    m_waitingPeers = std::move(stillWaiting);
}

} // namespace lovagerail::edge
