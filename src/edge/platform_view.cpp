// Reads the documents from the store and applies them. What instances tell each other is in platform_view_peers.cpp.
#include "edge/platform_view.h"

#include "forwarding.h"
#include "log.h"

#include <algorithm>
#include <set>
#include <sstream>
#include <xxhash.h>

namespace lovagerail::edge {

namespace {

    constexpr duration minRetryDelay = std::chrono::milliseconds(300); // after a failed read; exponential backoff
    constexpr duration maxRetryDelay = std::chrono::milliseconds(1500);
    // The platform bounds how long after its notice a leaving target may still get new
    // requests. The list is read again after this share of that bound.
    constexpr double listReadShare = 0.45;
    // A watch of the configuration waits so long at most, as a share of its bound: the answer confirms the
    // copies of all instances, and the rest is left for those that get none.
    constexpr double configWatchShare = 0.4;
    constexpr std::chrono::milliseconds maxConfigWatchWait { 1500 };
    constexpr std::chrono::milliseconds membersWatchWait { 2500 }; // shorter than a lease
    // A longer gap between two confirmations of the target list counts as an outage of the store.
    constexpr duration outageThreshold = std::chrono::milliseconds(2500);
    constexpr duration maxListReadPeriod = std::chrono::seconds(2); // below that gap, also where the drain bound is long
    // Targets whose entries expired during an outage are listed again within about 2 s after it.
    constexpr duration outageGracePeriod = std::chrono::milliseconds(2300);

    // The relevant content of a target's entry as text: periodic check-ins give an entry a new
    // revision without changing anything that matters.
    std::string targetText(const kv_entry& entry, bool withCold)
    {
        const auto target = platform::decodeTarget(entry.key, entry.value, entry.createRevision);
        if (!target)
            return "-";
        const auto& listed = target->listed;
        std::ostringstream out;
        out << listed.address << ' ' << listed.pool.str() << ' ' << listed.failureDomain.str() << ' ' << listed.incarnation.value();
        for (const int part : { static_cast<int>(listed.kind), static_cast<int>(listed.supply), static_cast<int>(listed.state) })
            out << ' ' << part;
        for (const auto& [name, value] : listed.labels)
            out << ' ' << name << '=' << value;
        if (withCold && target->slowStartRemaining.count() > 0)
            out << " cold"; // how long is left changes with each check-in, and is not needed
        return out.str();
    }

    std::uint64_t digestOf(const std::vector<kv_entry>& entries, bool areTargets, bool withCold)
    {
        std::ostringstream out;
        for (const auto& entry : entries)
            out << entry.key << ' ' << (areTargets ? targetText(entry, withCold) : std::to_string(entry.modRevision.value())) << '\n';
        const auto text = out.str();
        return XXH64(text.data(), text.size(), entries.size() + 1);
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
    , m_evacuations(shared.settings.bounds.evacuation)
{
}

duration platform_view::shareOfDrainBound(double share) const
{
    return std::chrono::duration_cast<duration>(m_context.settings.bounds.drain * share);
}

duration platform_view::readPeriod(document_index index) const
{
    if (index == TargetsIndex)
        return std::min(shareOfDrainBound(listReadShare), maxListReadPeriod);
    return index == EvacuationsIndex && !mustReadStore() ? m_evacuations.readPeriod() : duration {};
}

std::string_view platform_view::prefixOf(document_index index)
{
    switch (index) {
    case ConfigIndex:
        return platform::configKey;
    case MembersIndex:
        return dutyPrefix;
    case TargetsIndex:
        return platform::targetPrefix;
    default:
        return platform::evacuatePrefix;
    }
}

bool platform_view::mayServe() const
{
    return targetsKnown() && m_evacuations.mayServe(m_documents[EvacuationsIndex].known, m_context.now - m_targetsKnownAt);
}

// --- From the store ----------------------------------------------------------

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
        answeredDoc.readAt = askedAt + readPeriod(index);
        const bool isCurrent = answer->at >= answeredDoc.at;
        if (index == TargetsIndex)
            forgetRemovedEntries(answer->entries);
        updateDocument(index, answer->entries, answer->at, askedAt);
        if (index == TargetsIndex && isCurrent)
            m_targetsProvenAt = std::max(m_targetsProvenAt, askedAt);
        if (index != TargetsIndex && mustReadStore())
            startWatch(index);
    };
    if (index == ConfigIndex)
        m_context.store.call(detail::documentNames[index], readKey(std::string(platform::configKey)), onAnswer);
    else
        m_context.store.list(detail::documentNames[index], std::string(prefixOf(index)), onAnswer);
}

void platform_view::startWatch(document_index index)
{
    auto& doc = m_documents[index];
    auto wait = membersWatchWait;
    if (index != MembersIndex)
        wait = std::min(maxConfigWatchWait, std::chrono::duration_cast<std::chrono::milliseconds>(m_context.settings.bounds.configuration * configWatchShare));
    if (index == EvacuationsIndex)
        wait = std::min(wait, std::chrono::duration_cast<std::chrono::milliseconds>(m_evacuations.readPeriod()));
    doc.watch = m_context.store.watch(std::string(prefixOf(index)), doc.at, wait, [this, index](const platform::store_watch_response& response) {
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

// --- Applying documents ------------------------------------------------------

void platform_view::updateDocument(document_index index, std::vector<kv_entry> entries, revision at, instant confirmedAt)
{
    auto& doc = m_documents[index];
    if (doc.known && at < doc.at)
        return; // never go back to an older revision
    if (index == TargetsIndex)
        dropMalformedTargets(entries);
    std::sort(entries.begin(), entries.end(), [](const kv_entry& a, const kv_entry& b) { return a.key < b.key; });
    const auto digest = digestOf(entries, index == TargetsIndex, m_context.settings.bounds.coldOvershoot > 0);
    const bool unchanged = doc.known && digest == doc.digest;
    // An outage shows as a gap between confirmations, whether or not the list changed.
    if (index == TargetsIndex && doc.known && confirmedAt - doc.confirmedAt > outageThreshold) {
        m_outageGraceUntil = m_context.now + outageGracePeriod;
        m_storeReturned = true;
    }
    if (index == TargetsIndex && !doc.known)
        m_targetsKnownAt = m_context.now;
    doc.entries = std::move(entries);
    doc.at = at;
    doc.known = true;
    doc.confirmedAt = std::max(doc.confirmedAt, confirmedAt);
    doc.digest = digest;
    if (index == TargetsIndex)
        applyTargets();
    else if (unchanged)
        return;
    else if (index == ConfigIndex)
        applyConfig();
    else if (index == EvacuationsIndex)
        applyEvacuations();
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
        updateDomains();
        applyColdLimits();
    }
}

void platform_view::applyColdLimits()
{
    const auto& bounds = m_context.settings.bounds;
    if (bounds.coldOvershoot == 0 || !m_context.site)
        return;
    for (const auto& entry : m_targets) {
        const auto* service = m_context.site->service(entry.service);
        std::optional<double> perSecond;
        if (service != nullptr && service->coldPerSecond > 0 && entry.slowStartRemaining.count() > 0)
            perSecond = sharedColdRate({ service->coldPerSecond, bounds.coldOvershoot, bounds.coldSlack });
        if (m_context.targets.setColdLimit(entry.listed.id, perSecond, m_context.now))
            logEvent(log_level::Info, "targets", perSecond ? "cold" : "warm", { { "target", entry.listed.id.str() } });
    }
}

void platform_view::applyEvacuations()
{
    std::vector<evacuation_request> requests;
    for (const auto& entry : m_documents[EvacuationsIndex].entries)
        requests.push_back({ entry.key, platform::decodeEvacuation(entry.key) });
    applyEvacuationChanges(m_evacuations.setRequests(std::move(requests)));
}

// Failure domains exist that the settings or the services name, or that hold a target.
void platform_view::updateDomains()
{
    if (!m_evacuations.enabled())
        return;
    std::set<failure_domain_id> domains;
    for (const auto& [domain, region] : m_context.settings.placement.regions)
        domains.emplace(domain);
    for (const auto& entry : m_targets)
        domains.insert(entry.listed.failureDomain);
    if (m_context.site) {
        for (const auto& [id, service] : m_context.site->services) {
            for (const auto& [domain, price] : service.prices)
                domains.insert(domain);
        }
    }
    // A request stays in force if the last target of a failure domain that is not named ends.
    domains.insert(m_evacuations.inForce().begin(), m_evacuations.inForce().end());
    applyEvacuationChanges(m_evacuations.setDomains(std::move(domains)));
}

void platform_view::applyEvacuationChanges(const evacuation_changes& changes)
{
    for (const auto& domain : changes.began)
        logEvent(log_level::Warning, "evacuations", "began", { { "domain", domain.str() } });
    for (const auto& domain : changes.ended)
        logEvent(log_level::Info, "evacuations", "ended", { { "domain", domain.str() } });
    for (const auto& request : changes.ignored)
        logEvent(log_level::Warning, "evacuations", "ignored", { { "key", request.key }, { "reason", request.domain ? "unknown failure domain" : "malformed key" } });
    if (!changes.began.empty() || !changes.ended.empty())
        m_context.targets.setEvacuated(m_evacuations.inForce());
}

// Removes entries that name no target, so that they are not passed on either, and logs each of
// their revisions once.
void platform_view::dropMalformedTargets(std::vector<kv_entry>& entries)
{
    std::erase_if(entries, [this](const kv_entry& entry) {
        const auto target = platform::decodeTarget(entry.key, entry.value, entry.createRevision);
        if (target)
            return false;
        if (std::exchange(m_malformedTargets[entry.key], entry.modRevision) != entry.modRevision)
            logEvent(log_level::Warning, "targets", "ignored", { { "key", entry.key }, { "revision", std::to_string(entry.modRevision.value()) }, { "reason", target.error().detail } });
        return true;
    });
}

// Lists of other instances lack the malformed entries, so only the store's tells that one is gone.
void platform_view::forgetRemovedEntries(const std::vector<kv_entry>& stored)
{
    if (m_malformedTargets.empty())
        return;
    std::set<std::string_view> keys;
    for (const auto& entry : stored)
        keys.insert(entry.key);
    std::erase_if(m_malformedTargets, [&keys](const auto& logged) { return !keys.contains(logged.first); });
}

void platform_view::applyTargets()
{
    const auto& doc = m_documents[TargetsIndex];
    std::vector<platform::target_entry> entries;
    for (const auto& entry : doc.entries) {
        if (auto target = platform::decodeTarget(entry.key, entry.value, entry.createRevision)) {
            target->listed.region = region_id(m_context.settings.regionOf(target->listed.failureDomain.str()));
            entries.push_back(std::move(*target));
        }
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
                { { "target", entry.listed.id.str() }, { "service", entry.service.str() }, { "address", entry.listed.address }, { "domain", entry.listed.failureDomain.str() },
                    { "software", entry.listed.softwareVersion } });
        if (stateBefore != statesBefore.end())
            statesBefore.erase(stateBefore);
    }
    for (const auto& [id, state] : statesBefore)
        logEvent(log_level::Info, "targets", "gone", { { "target", id.str() } });
    m_targets = std::move(entries);
    updateDomains(); // before the targets may be used
    m_context.targets.applyList(rows, m_context.now);
    applyColdLimits();
}

// --- Periodic work -----------------------------------------------------------

void platform_view::tick()
{
    // Step 1. Read from the store or ask another instance.
    updateSource();
    if (mustReadStore()) {
        if (m_sourceCall != 0)
            m_context.net.cancel(std::exchange(m_sourceCall, 0));
        m_askedSource.clear();
        m_evacuations.onSourceLeft();
        for (const auto index : { MembersIndex, ConfigIndex, EvacuationsIndex, TargetsIndex }) {
            if (index < documentCount())
                readFromStore(index);
        }
    } else {
        stopWatches();
        askSource();
        if (m_evacuations.readsItself())
            readFromStore(EvacuationsIndex);
    }

    // Step 2. Changes, for the instances that wait for them.
    answerWaitingPeers();
}

} // namespace lovagerail::edge
