// Documents between instances: their tree, and what a parent answers to its children.
#include "edge/platform_view.h"

#include "edge/entries_json.h"
#include "edge/peer_call.h"
#include "json_text.h"
#include "log.h"
#include "rendezvous.h"

#include <algorithm>
#include <set>

namespace lovagerail::edge {

namespace {

    // Shares of the bound on requests to leaving targets after which the list of targets counts as stale; the rest is
    // left for the calls and for requests in flight.
    constexpr double listStaleShare = 0.75;
    constexpr double readerListStaleShare = 0.7;
    // Shares of the bound on the configuration after which it counts as stale. The reader's is above the longest time
    // between two confirmations by the store; the rest is left for other instances to be tried.
    constexpr double configStaleShare = 0.7;
    constexpr double readerConfigStaleShare = 0.65;
    constexpr std::size_t maxChildren = 8; // of one instance; three levels below the root hold several hundred instances
    constexpr duration maxPeerWait = std::chrono::milliseconds(500); // long poll of a child while nothing is changed or confirmed
    constexpr duration minConfirmedAdvance = std::chrono::milliseconds(100); // of a confirmation that is passed on at once
    constexpr std::chrono::milliseconds peerTimeout { 900 };
    constexpr duration askRetryDelay = std::chrono::milliseconds(50); // after a silent or empty answer
    constexpr std::size_t readerCount = 6; // instances at the start of the tree's order that may read the store
    constexpr std::size_t askedReaders = 3; // the first of them, asked by instances whose parent has no fresh copy
    constexpr std::chrono::milliseconds unknownAge = std::chrono::hours(1); // stated of a document that was never read, and the longest
    constexpr std::string_view firstCallMark = ".first"; // in the query of a first call, which is answered at once

    // An age in ms as another instance states it.
    duration boundedAge(std::uint64_t milliseconds) { return std::chrono::milliseconds(std::min<std::uint64_t>(milliseconds, unknownAge.count())); }

    // Rounded down, not negative.
    std::uint64_t toMilliseconds(duration span)
    {
        return static_cast<std::uint64_t>(std::max<std::int64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(span).count(), 0));
    }

} // namespace

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

bool platform_view::isRoot() const
{
    return m_documents[MembersIndex].known && m_members.joined() && treePlace().rank == 0;
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

std::string platform_view::digests() const
{
    std::string out;
    for (std::size_t i = 0; i < documentCount(); ++i)
        out += (out.empty() ? "" : ".") + std::to_string(m_documents[i].digest);
    return out;
}

// Sets the instances to ask: the parent, then the readers; the seeds of the settings while no
// list of members was read.
void platform_view::updateSource()
{
    std::vector<std::string> sources;
    bool isReader = false;
    if (m_documents[MembersIndex].known) {
        const auto place = treePlace();
        isReader = place.rank < readerCount;
        if (place.parent != nullptr)
            sources.push_back(place.parent->address);
        for (std::size_t rank = 0; rank < std::min(askedReaders, place.order.size()) && !isReader; ++rank) {
            const auto* reader = m_members.find(place.order[rank]);
            if (reader != nullptr && (sources.empty() || reader->address != sources.front()))
                sources.push_back(reader->address);
        }
    } else {
        const auto& listen = m_context.settings.listen;
        isReader = std::find(listen.seeds.begin(), listen.seeds.end(), listen.instances) != listen.seeds.end();
        sources = listen.seeds;
        std::erase(sources, listen.instances);
    }
    m_source.setSources(std::move(sources), isReader, m_context.now);
    const bool hasCopy = std::all_of(m_documents.begin(), m_documents.begin() + EvacuationsIndex, [](const document& doc) { return doc.known; });
    m_source.update(!hasCopy || isStale(isReader), hasCopy, m_context.now);
    logSource();
}

// Logs each change of the source, with the ages that decide it.
void platform_view::logSource()
{
    const auto source = mustReadStore() ? std::string("store") : m_source.source();
    if (source == m_loggedSource)
        return;
    m_loggedSource = source;
    const auto ageOf = [this](document_index index) { return m_documents[index].known ? std::to_string(toMilliseconds(m_context.now - m_documents[index].confirmedAt)) : std::string("none"); };
    logEvent(log_level::Info, "knowledge", "source", { { "from", source }, { "config_age_ms", ageOf(ConfigIndex) }, { "members_age_ms", ageOf(MembersIndex) }, { "targets_age_ms", ageOf(TargetsIndex) } });
}

bool platform_view::isStale(bool isReader) const
{
    const auto listAge = m_context.now - m_documents[TargetsIndex].confirmedAt;
    const auto configAge = m_context.now - m_documents[ConfigIndex].confirmedAt;
    const auto& evacuationsDoc = m_documents[EvacuationsIndex];
    if (evacuationsDoc.known && m_evacuations.isStale(m_context.now - evacuationsDoc.confirmedAt, isReader))
        return true;
    const auto configBound = std::chrono::duration_cast<duration>(m_context.settings.bounds.configuration * (isReader ? readerConfigStaleShare : configStaleShare));
    return listAge > shareOfDrainBound(isReader ? readerListStaleShare : listStaleShare) || configAge > configBound;
}

void platform_view::askSource()
{
    const auto& address = m_source.source();
    if (address != m_askedSource) {
        if (m_sourceCall != 0)
            m_context.net.cancel(std::exchange(m_sourceCall, 0));
        m_askedSource = address;
        m_sourceDigests.clear();
        m_askAt = {};
    }
    if (m_sourceCall != 0 || m_context.now < m_askAt)
        return;
    const auto query = m_sourceDigests.empty() ? digests() + std::string(firstCallMark) : m_sourceDigests;
    m_sourceCall = m_context.net.call(peerCall(address, "/known?" + query, {}, peerTimeout), [this, askedAt = m_context.now](const http::answer& answer) {
        m_sourceCall = 0;
        onSourceAnswer(answer, askedAt);
    });
}

void platform_view::onSourceAnswer(const http::answer& answer, instant askedAt)
{
    const auto body = isOk(answer) ? parseJson(answer.body) : std::nullopt;
    if (!body || !body->isObject()) {
        logEvent(log_level::Info, "knowledge", "source_silent", { { "address", m_askedSource }, { "status", std::to_string(answer.status) }, { "detail", answer.detail } });
        m_sourceDigests.clear();
        m_askAt = m_context.now + askRetryDelay;
        m_source.onSilence(m_context.now);
        return;
    }
    m_source.onAnswer();
    // The ages are as of the source's answer, so the time that it held the call open does not
    // count; only the transit of the answer is neglected.
    bool complete = true;
    m_evacuations.onSourceAnswer(body->isMember(detail::documentNames[EvacuationsIndex]));
    for (std::size_t i = 0; i < documentCount(); ++i) {
        if (i == EvacuationsIndex && m_evacuations.readsItself())
            continue;
        const auto& documentJson = (*body)[detail::documentNames[i]];
        const auto confirmedAt = m_context.now - boundedAge(jsonCount(documentJson, "age_ms"));
        const revision documentRevision(jsonCount(documentJson, "at"));
        const bool isCurrent = documentRevision >= m_documents[i].at;
        if (documentJson.isObject() && documentJson.isMember("entries"))
            updateDocument(static_cast<document_index>(i), entriesFromJson(jsonList(documentJson, "entries")), documentRevision, confirmedAt);
        else if (isCurrent)
            m_documents[i].confirmedAt = std::max(m_documents[i].confirmedAt, confirmedAt);
        // The source answered after it had held the call for so long. A source of an older version doesn't say.
        if (i == TargetsIndex && isCurrent && documentJson.isObject() && documentJson.isMember("proven_ms")) {
            const auto held = std::min<duration>(boundedAge(jsonCount(*body, "held_ms")), m_context.now - askedAt);
            m_targetsProvenAt = std::max(m_targetsProvenAt, askedAt + held - boundedAge(jsonCount(documentJson, "proven_ms")));
        }
        complete = complete && (m_documents[i].known || i == EvacuationsIndex);
    }
    m_sourceDigests = jsonText(*body, "versions");
    if (!complete) {
        m_sourceDigests.clear();
        m_askAt = m_context.now + askRetryDelay;
    }
}

void platform_view::onPeerRequest(const http::exchange_ptr& exchange)
{
    if (exchange->query != digests())
        answerPeer(exchange, {});
    else
        m_waitingPeers.push_back({ exchange, exchange->query, m_context.now + maxPeerWait, confirmations() });
}

void platform_view::answerPeer(const http::exchange_ptr& exchange, duration held) const
{
    // Parse the digests of the copies that the peer has: one per document.
    std::vector<std::string> knownDigests;
    std::string unparsed = exchange->query;
    for (auto dot = unparsed.find('.'); !unparsed.empty(); dot = unparsed.find('.')) {
        knownDigests.push_back(unparsed.substr(0, dot));
        unparsed = dot == std::string::npos ? std::string() : unparsed.substr(dot + 1);
    }
    knownDigests.resize(std::max<std::size_t>(knownDigests.size(), DocumentCount));
    Json::Value out(Json::objectValue);
    out["versions"] = digests();
    out["held_ms"] = Json::UInt64(toMilliseconds(held));
    for (std::size_t i = 0; i < documentCount(); ++i) {
        const auto& doc = m_documents[i];
        Json::Value documentJson(Json::objectValue);
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(m_context.now - doc.confirmedAt);
        documentJson["age_ms"] = Json::UInt64(doc.known ? static_cast<std::uint64_t>(std::max<std::int64_t>(age.count(), 0)) : unknownAge.count());
        documentJson["at"] = Json::UInt64(doc.at.value());
        if (doc.known && knownDigests[i] != std::to_string(doc.digest))
            documentJson["entries"] = entriesJson(doc.entries);
        if (i == TargetsIndex && m_targetsProvenAt != instant {})
            documentJson["proven_ms"] = Json::UInt64(toMilliseconds(m_context.now - m_targetsProvenAt) + 1);
        out[detail::documentNames[i]] = std::move(documentJson);
    }
    exchange->answer(statusOk, {}, writeJson(out));
}

platform_view::confirmation_times platform_view::confirmations() const
{
    return { m_documents[ConfigIndex].confirmedAt, m_documents[TargetsIndex].confirmedAt };
}

// Answers children whose long poll has a change or a confirmation, or has timed out. So copies are hardly
// older at the bottom of the tree than at its root.
void platform_view::answerWaitingPeers()
{
    const auto currentDigests = digests();
    const auto current = confirmations();
    const auto hasAdvanced = [&current](const confirmation_times& before) { return current.config - before.config >= minConfirmedAdvance || current.targets - before.targets >= minConfirmedAdvance; };
    std::vector<waiting_peer> stillWaiting;
    for (auto& peer : m_waitingPeers) {
        if (peer.knownDigests == currentDigests && m_context.now < peer.until && !hasAdvanced(peer.confirmed))
            stillWaiting.push_back(std::move(peer));
        else
            answerPeer(peer.exchange, m_context.now - (peer.until - maxPeerWait));
    }
    m_waitingPeers = std::move(stillWaiting);
}

} // namespace lovagerail::edge
