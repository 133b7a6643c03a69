// Ownership of batches: take-over of those whose owner is gone, and hand-over of our own
// at shutdown.
#include "edge/batches.h"

#include "edge/entries_json.h"
#include "edge/peer_call.h"
#include "json_text.h"
#include "log.h"
#include "rendezvous.h"

namespace lovagerail::edge {

namespace {

    constexpr duration scanRetryDelay = std::chrono::milliseconds(500);
    constexpr std::chrono::milliseconds handOverTimeout { 2500 };
    constexpr duration headsCollectTime = std::chrono::milliseconds(50);
    constexpr std::chrono::milliseconds headsTimeout { 1500 };
    constexpr std::chrono::milliseconds passOnTimeout { 500 };
    constexpr duration passOnRetryDelay = std::chrono::milliseconds(700); // longer than the call

} // namespace

bool batches::isAlive(const batch_head& head) const
{
    if (head.owner.str() == m_context.settings.instance.name)
        return head.ownerIncarnation == m_context.ownIncarnation;
    const auto* owner = m_members.find(head.owner);
    return owner != nullptr && owner->incarnationNumber == head.ownerIncarnation;
}

bool batches::isAdopterOf(const batch_head& head) const
{
    return adoptionDelay(head.owner, instance_id(m_context.settings.instance.name), instancesFor(m_members.places(), regionsOf(head))).has_value();
}

// Gets all batch heads to find orphans: once after the start, and when a member is lost whose
// batches this instance has to take over.
void batches::scanHeads()
{
    m_scanning = true;
    requestHeads([this, joins = m_joins](const result<std::vector<kv_entry>>& heads) {
        m_scanning = false;
        if (!heads) {
            m_scanRetryAt = m_context.now + scanRetryDelay;
            return;
        }
        m_scanDone = joins == m_joins; // else the heads may be older than the return to the members
        if (std::exchange(m_checkedJoins, joins) != joins)
            dropLostBatches(*heads);
        for (const auto& entry : *heads) {
            const auto head = decodeHead(batch_id(entry.key.substr(headPrefix.size())), entry.value);
            // The adopters of each instance get the same heads, and are enough to look after its batches.
            if (!head || !isAdopterOf(*head))
                continue;
            recordOrphan(*head, entry.modRevision);
            if (!isAlive(*head) || (head->owner == self().name && !m_owned.contains(head->id)))
                recordUnowned(*head);
        }
    });
}

// Gets the heads as of now or later. One instance, chosen by rendezvous hashing, reads them for
// all: after a restart of the whole fleet each instance needs them at the same time.
void batches::requestHeads(heads_function onHeads)
{
    const auto names = m_members.names();
    const auto* collector = m_members.find(*rendezvousFirst(headPrefix, names));
    if (collector == nullptr || collector->name.str() == m_context.settings.instance.name) {
        collectHeads(std::move(onHeads));
        return;
    }
    m_context.net.call(peerCall(collector->address, "/heads", {}, headsTimeout), [this, onHeads = std::move(onHeads)](const http::answer& answer) {
        const auto rows = isOk(answer) ? parseJson(answer.body) : std::nullopt;
        if (rows && rows->isArray())
            onHeads(entriesFromJson(*rows));
        else
            collectHeads(onHeads);
    });
}

// Requests that arrive within a short time share a read, which starts after all of them.
void batches::collectHeads(heads_function onHeads)
{
    if (m_headsWaiting.empty())
        m_readHeadsAt = m_context.now + headsCollectTime;
    m_headsWaiting.push_back(std::move(onHeads));
}

void batches::readCollectedHeads()
{
    if (m_headsWaiting.empty() || m_readingHeads || m_context.now < m_readHeadsAt)
        return;
    m_readingHeads = true;
    m_context.store.list("batch scan", std::string(headPrefix), [this, waiting = std::exchange(m_headsWaiting, {})](const result<kv_answer>& answer) {
        m_readingHeads = false;
        for (const auto& onHeads : waiting)
            onHeads(answer.map([](const kv_answer& read) { return read.entries; }));
    });
}

void batches::answerHeadsRequest(const http::exchange_ptr& exchange)
{
    collectHeads([exchange](const result<std::vector<kv_entry>>& heads) {
        if (heads)
            exchange->answer(statusOk, {}, writeJson(entriesJson(*heads)));
        else
            exchange->answer(statusUnavailable, {}, "");
    });
}

// Drops batches that other instances took over or ended while our lease had expired and they
// considered this instance gone.
void batches::dropLostBatches(const std::vector<kv_entry>& heads)
{
    for (const auto& entry : heads) {
        const batch_id id(entry.key.substr(headPrefix.size()));
        const auto owned = m_owned.find(id);
        const auto head = decodeHead(id, entry.value);
        if (owned == m_owned.end() || !head || !owned->second.accepted)
            continue;
        const auto news = judgeOwnership(owned->second.stored(), { *head, entry.modRevision });
        if (news == owner_news::TakenOver || (news == owner_news::Ended && owned->second.endWaiters.empty()))
            onOwnershipLost(id, news == owner_news::Ended ? "another instance ended it" : "another instance took it over");
    }
}

void batches::recordOrphan(const batch_head& head, revision headRevision)
{
    if (isAlive(head) || ownsAccepted(head.id) || m_adoptions.contains(head.id) || planUnowned(head, kept(), m_context.wall) != unowned_step::FindOwner)
        return;
    const auto [found, isNew] = m_orphans.try_emplace(head.id);
    found->second.known = { head, headRevision };
    if (!isNew)
        return;
    found->second.since = m_context.now;
    logEvent(log_level::Info, "batch", "orphan",
        { { "batch", head.id.str() }, { "owner", head.owner.str() }, { "incarnation", std::to_string(head.ownerIncarnation.value()) }, { "fence", std::to_string(headRevision.value()) } });
}

void batches::onOwnershipLost(const batch_id& id, const char* reason)
{
    logEvent(log_level::Warning, "batch", "lost", { { "batch", id.str() }, { "reason", reason } });
    const auto found = m_owned.find(id);
    if (found == m_owned.end())
        return;
    for (const auto& waiter : found->second.endWaiters)
        respond(waiter, statusUnavailable, "");
    m_owned.erase(found);
    execute(m_runner.drop(id, m_context.now));
}

// Hands a batch over to another member, with the texts generated so far.
void batches::handOver(const batch_id& id)
{
    auto& owned = m_owned.at(id);
    auto places = m_members.places();
    std::erase_if(places, [this](const instance_place& place) { return place.name.str() == m_context.settings.instance.name; });
    const auto names = ownersFor(places, regionsOf(owned.head));
    const auto* newOwner = rendezvousFirst(id.str(), names);
    if (newOwner == nullptr)
        return;
    const auto address = m_members.find(*newOwner)->address;
    std::vector<batch_action> actions;
    Json::Value body(Json::objectValue);
    body["batch"] = id.str();
    body["owner"] = owned.head.owner.str();
    body["life"] = Json::UInt64(owned.head.ownerIncarnation.value());
    body["fence"] = Json::UInt64(owned.headRevision.value());
    body["texts"] = encodeTexts(m_runner.releaseTexts(id, actions, m_context.now));
    const auto head = owned.head;
    for (const auto& waiter : owned.endWaiters)
        respond(waiter, statusUnavailable, "");
    m_owned.erase(id);
    execute(std::move(actions));
    ++m_openHandOvers;
    m_context.net.call(peerCall(address, "/handover", writeJson(body), handOverTimeout), [this, id, name = *newOwner](const http::answer& answer) {
        --m_openHandOvers;
        // If the call fails, another member takes the batch over once our lease has expired.
        logEvent(log_level::Info, "batch", "handed_over", { { "batch", id.str() }, { "to", name.str() }, { "status", std::to_string(answer.status) } });
    });
}

void batches::answerHandOver(const http::exchange_ptr& exchange)
{
    const auto body = parseJson(exchange->body);
    const batch_id id(body ? jsonText(*body, "batch") : std::string());
    if (id.empty() || m_stopping) {
        respond(exchange, statusUnavailable, "");
        return;
    }
    const hand_over offered { { instance_id(jsonText(*body, "owner")), incarnation(jsonCount(*body, "life")) }, revision(jsonCount(*body, "fence")) };
    readHead(id, exchange, [this, exchange, offered, texts = decodeTexts((*body)["texts"])](const batch_head& head, revision headRevision) {
        const auto step = planHandOver(offered, self(), { head, headRevision });
        logEvent(log_level::Info, "batch", "hand_over",
            { { "batch", head.id.str() }, { "from", offered.from.name.str() }, { "fence_offered", std::to_string(offered.headRevision.value()) }, { "owner", head.owner.str() },
                { "incarnation", std::to_string(head.ownerIncarnation.value()) }, { "owner_alive", isAlive(head) ? "1" : "0" }, { "fence", std::to_string(headRevision.value()) }, { "outcome", std::string(toString(step)) } });
        if (step == hand_over_step::Refuse || m_stopping) {
            respond(exchange, step == hand_over_step::Refuse ? statusConflict : statusUnavailable, "");
            return;
        }
        m_runner.restoreTexts(texts, m_context.now);
        adopt(head, headRevision, [this, exchange](bool adopted) { respond(exchange, adopted ? statusOk : statusConflict, ""); });
    });
}

// After a time without membership, items wait until the heads were compared with the store.
void batches::holdItemsInDoubt()
{
    owner_standing standing { m_members.joined(), m_checkedJoins != m_joins, m_context.store.awayFor(), {} };
    if ((standing.isMember && !standing.isRechecking) || isStoreAway(standing))
        m_doubtfulSince.reset();
    else if (!m_doubtfulSince)
        m_doubtfulSince = m_context.now;
    if (m_doubtfulSince)
        standing.doubtful = m_context.now - *m_doubtfulSince;
    m_runner.holdItems(!mayBeginItems(standing));
}

void batches::adoptOrphan(const batch_id& id)
{
    const auto orphan = m_orphans.extract(id).mapped();
    adopt(orphan.known.head, orphan.known.headRevision, [this, id](bool adopted) {
        if (!adopted) {
            m_scanDone = false; // scan again
            m_scanRetryAt = m_context.now + scanRetryDelay;
        }
        logEvent(log_level::Info, "batch", "adopted", { { "batch", id.str() }, { "done", adopted ? "1" : "0" } });
    });
}

// Tells another instance of batches that it has to take over. They stay on record here until it has them in hand.
void batches::passOnOrphans(const instance_id& adopter, const std::vector<batch_id>& ids)
{
    std::vector<kv_entry> heads;
    for (const auto& id : ids) {
        auto& orphan = m_orphans.at(id);
        orphan.passOnAt = m_context.now + passOnRetryDelay;
        kv_entry entry;
        entry.key = headKey(id);
        entry.value = encodeHead(orphan.known.head);
        entry.modRevision = orphan.known.headRevision;
        heads.push_back(std::move(entry));
    }
    const auto& address = m_members.find(adopter)->address;
    m_context.net.call(peerCall(address, std::string(orphansPath), writeJson(entriesJson(heads)), passOnTimeout), [this, adopter, ids](const http::answer& answer) {
        const bool inHand = isOk(answer);
        // An instance of an older version does not take such a call; it finds the batches when they are read there.
        const bool isUnknownCall = answer.outcome == http::transfer_result::Complete && answer.status == statusNotFound;
        logEvent(log_level::Info, "batch", "passed_on", { { "batches", std::to_string(ids.size()) }, { "first", ids.front().str() }, { "to", adopter.str() }, { "status", std::to_string(answer.status) } });
        if (!inHand && !isUnknownCall)
            return;
        for (const auto& id : ids)
            m_orphans.erase(id);
    });
}

// Answers 200 if all batches that the other instance found are run, taken over, or on record here.
void batches::answerOrphans(const http::exchange_ptr& exchange)
{
    const auto rows = parseJson(exchange->body);
    if (!rows || !rows->isArray() || m_stopping) {
        respond(exchange, statusUnavailable, "");
        return;
    }
    bool inHand = true;
    for (const auto& entry : entriesFromJson(*rows)) {
        if (entry.key.rfind(headPrefix, 0) != 0)
            continue;
        const batch_id id(entry.key.substr(headPrefix.size()));
        const auto head = decodeHead(id, entry.value);
        if (!head)
            continue;
        recordOrphan(*head, entry.modRevision);
        inHand = inHand && (ownsAccepted(id) || m_adoptions.contains(id) || m_orphans.contains(id));
    }
    respond(exchange, inHand ? statusOk : statusConflict, "");
}

// Takes over batches of lost members that rendezvous hashing assigns to this instance, passes on
// those that others have to take, and starts the check for batches that we lost while our own
// lease had expired.
void batches::adoptOrphans()
{
    const bool ready = m_members.known() && m_members.joined() && m_context.site && !m_stopping;
    if (ready && !m_scanDone && !m_scanning && m_context.now >= m_scanRetryAt)
        scanHeads();
    if (ready && m_members.takeJoinedEvent()) {
        m_scanDone = false;
        ++m_joins;
    }
    const instance_id self(m_context.settings.instance.name);
    for (const auto& name : ready ? m_members.takeLostMembers() : std::vector<instance_id>()) {
        // Only members of allowed regions count for a batch. One that is among its adopters is among
        // those of its own region too.
        const auto nearby = instancesFor(m_members.places(), { std::set<region_id> { m_members.ownRegion() }, {} });
        if (adoptionDelay(name, self, m_members.names()) || (m_context.site->hasRegionRules() && adoptionDelay(name, self, nearby)))
            m_scanDone = false;
    }
    if (!ready || m_orphans.empty())
        return;
    std::erase_if(m_orphans, [this](const auto& entry) {
        const auto& head = entry.second.known.head;
        return isAlive(head) || ownsAccepted(entry.first) || planUnowned(head, kept(), m_context.wall) != unowned_step::FindOwner;
    });
    const auto places = m_members.places();
    std::vector<batch_id> adoptable;
    orphans_by_adopter passedOn;
    for (const auto& [id, orphan] : m_orphans) {
        const auto plan = planOrphan(orphan.known.head.owner, self, instancesFor(places, regionsOf(orphan.known.head)));
        if (m_context.now < orphan.since + plan.after || m_context.now < orphan.passOnAt)
            continue;
        if (plan.next == orphan_plan::step::Adopt)
            adoptable.push_back(id);
        else if (plan.next == orphan_plan::step::PassOn)
            passedOn[plan.to].push_back(id);
    }
    for (const auto& id : adoptable)
        adoptOrphan(id);
    for (const auto& [adopter, ids] : passedOn)
        passOnOrphans(adopter, ids);
}

} // namespace lovagerail::edge
