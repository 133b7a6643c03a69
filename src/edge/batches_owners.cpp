// Who owns a batch: take-over of those whose owner is gone, and hand-over of ours.
#include "edge/batches.h"

#include "edge/peer_call.h"
#include "json_text.h"
#include "log.h"
#include "rendezvous.h"

namespace lovagerail::edge {

namespace {

    // A member whose lease lapsed in an outage of the store is back within this time of
    // its end; its batches are left alone until then.
    constexpr duration orphanGrace = std::chrono::milliseconds(1500);
    constexpr duration scanRetry = std::chrono::milliseconds(500);
    constexpr std::chrono::milliseconds handOverTimeout { 2500 };

} // namespace

bool batches::isAlive(const batch_head& head) const
{
    if (head.owner.str() == m_context.values.instance.name)
        return head.ownerLife == m_context.life;
    const auto* one = m_members.find(head.owner);
    return one != nullptr && one->life == head.ownerLife;
}

// Reads all heads: once after a start, and when a member whose batches fall to us went.
void batches::scanHeads()
{
    m_scanning = true;
    m_context.store.list("batch scan", std::string(headPrefix), [this](const result<kv_answer>& answer) {
        m_scanning = false;
        if (!answer) {
            m_scanAgain = m_context.now + scanRetry;
            return;
        }
        m_scannedOnce = true;
        if (std::exchange(m_checkOwned, false))
            checkOwned(answer->entries);
        for (const auto& entry : answer->entries) {
            const auto head = decodeHead(batch_id(entry.key.substr(headPrefix.size())), entry.value);
            if (head)
                considerOrphan(*head, entry.modRevision);
        }
    });
}

// While we counted as gone, others may have taken over or ended batches of ours.
void batches::checkOwned(const std::vector<kv_entry>& heads)
{
    for (const auto& entry : heads) {
        const batch_id id(entry.key.substr(headPrefix.size()));
        const auto ours = m_owned.find(id);
        const auto head = decodeHead(id, entry.value);
        if (ours == m_owned.end() || !head || !ours->second.accepted)
            continue;
        const bool same = head->owner == ours->second.head.owner && head->ownerLife == ours->second.head.ownerLife;
        if (!same || (head->ended && !ours->second.head.ended && ours->second.endWaiters.empty()))
            lose(id, same ? "another instance ended it" : "another instance took it over");
    }
}

void batches::considerOrphan(const batch_head& head, revision fence)
{
    if (head.ended || isAlive(head) || m_owned.contains(head.id) || m_adopting.contains(head.id) || m_context.wall > head.submitted + m_context.values.bounds.resultsKept)
        return;
    m_orphans[head.id] = { head, fence };
    m_orphanSince.try_emplace(head.id, m_context.now);
}

// Takes a batch over: reads what stands in the store, then writes the head anew under
// the revision that was read, which shuts out the owner before us.
void batches::adopt(const batch_head& head, revision fence, const std::function<void(bool)>& onDone)
{
    if (!m_adopting.insert(head.id).second) {
        onDone(false);
        return;
    }
    const auto finish = [this, id = head.id, onDone](bool adopted) {
        m_adopting.erase(id);
        onDone(adopted);
    };
    m_context.store.call("batch adopt", readKey(submissionKey(head.id)), [this, head, fence, finish](const result<kv_answer>& body) {
        if (!body || body->entries.empty()) {
            finish(false);
            return;
        }
        auto next = head;
        next.owner = instance_id(m_context.values.instance.name);
        next.ownerLife = m_context.life;
        kv_transaction change;
        change.compares.push_back({ headKey(head.id), kv_field::ModRevision, fence, {} });
        change.then.emplace_back(kv_put { headKey(head.id), encodeHead(next), {} });
        m_context.store.call("batch adopt", std::move(change), [this, next, finish, text = body->entries.front().value](const result<kv_answer>& written) {
            if (!written || !written->succeeded) {
                finish(false);
                return;
            }
            // Pages are read after the take-over: none can come any more.
            m_context.store.list("batch adopt", pagesPrefix(next.id),
                [this, next, finish, text, at = written->at](const result<kv_answer>& pages) {
                    if (!pages) {
                        // Ours in the store, but not known: the next scan finds it.
                        finish(false);
                        return;
                    }
                    std::vector<batch_result> listed;
                    std::uint32_t count = 0;
                    bool hasTexts = false;
                    for (const auto& entry : pages->entries) {
                        if (entry.key == textsKey(next.id)) {
                            hasTexts = true;
                            m_board.carry(decodeTexts(parseJson(entry.value).value_or(Json::Value())), m_context.now);
                            continue;
                        }
                        ++count;
                        for (auto& one : decodeBatchPage(entry.value).value_or(std::vector<batch_result>()))
                            listed.push_back(std::move(one));
                    }
                    const bool ours = own(next, at, text, std::move(listed), count);
                    if (ours)
                        m_owned.at(next.id).textsStored = hasTexts;
                    finish(ours);
                });
        });
    });
}

void batches::lose(const batch_id& id, const char* why)
{
    logEvent(log_level::Warning, "batch", "lost", { { "batch", id.str() }, { "reason", why } });
    const auto found = m_owned.find(id);
    if (found == m_owned.end())
        return;
    for (const auto& waiter : found->second.endWaiters)
        respond(waiter, statusUnavailable, "");
    m_owned.erase(found);
    act(m_board.drop(id, m_context.now));
}

// Gives a batch to another member, with the texts made so far.
void batches::handOver(const batch_id& id)
{
    auto& owned = m_owned.at(id);
    std::vector<instance_id> names;
    for (const auto& one : m_members.others())
        names.push_back(one.name);
    const auto* to = rendezvousFirst(id.str(), names);
    if (to == nullptr)
        return;
    const auto address = m_members.find(*to)->address;
    std::vector<board_action> actions;
    Json::Value body(Json::objectValue);
    body["batch"] = id.str();
    body["texts"] = encodeTexts(m_board.release(id, actions, m_context.now));
    const auto head = owned.head;
    for (const auto& waiter : owned.endWaiters)
        respond(waiter, statusUnavailable, "");
    m_owned.erase(id);
    act(std::move(actions));
    ++m_handingOver;
    m_context.net.call(peerCall(address, "/handover", writeJson(body), handOverTimeout), [this, id, name = *to](const http::answer& answer) {
        --m_handingOver;
        // If it fails, the batch is taken over once our lease has ended.
        logEvent(log_level::Info, "batch", "handed_over", { { "batch", id.str() }, { "to", name.str() }, { "status", std::to_string(answer.status) } });
    });
}

// Takes over what falls to us of members that went, and finds out what we lost while we
// counted as gone ourselves.
void batches::adoptOrphans()
{
    const bool ready = m_members.known() && m_members.joined() && m_context.site && !m_stopping;
    if (ready && !m_scannedOnce && !m_scanning && m_context.now >= m_scanAgain)
        scanHeads();
    if (ready && m_members.takeJoined()) {
        m_scannedOnce = false;
        m_checkOwned = true;
    }
    for (const auto& name : ready ? m_members.takeLost() : std::vector<instance_id>()) {
        // One member looks after all batches of the one that went.
        const auto names = m_members.names();
        if (rendezvousFirst(name.str(), names)->str() == m_context.values.instance.name)
            m_scannedOnce = false;
    }
    std::vector<batch_id> adoptable;
    for (const auto& [id, orphan] : m_orphans) {
        // The restarted owner takes its own at once; others wait and agree by hashing.
        const bool mine = orphan.head.owner.str() == m_context.values.instance.name;
        if (!mine && m_context.now - m_orphanSince.at(id) < orphanGrace)
            continue;
        adoptable.push_back(id);
    }
    for (const auto& id : adoptable) {
        if (!ready)
            break;
        const auto orphan = m_orphans.at(id);
        m_orphans.erase(id);
        m_orphanSince.erase(id);
        if (isAlive(orphan.head) || m_owned.contains(id))
            continue;
        const bool mine = orphan.head.owner.str() == m_context.values.instance.name;
        const bool ownerBack = !mine && m_members.find(orphan.head.owner) != nullptr;
        const auto names = m_members.names();
        const auto* chosen = rendezvousFirst(orphan.head.owner.str(), names);
        if (ownerBack || (!mine && chosen->str() != m_context.values.instance.name))
            continue;
        adopt(orphan.head, orphan.fence, [this, id](bool adopted) {
            if (!adopted) {
                m_scannedOnce = false; // look again
                m_scanAgain = m_context.now + scanRetry;
            }
            logEvent(log_level::Info, "batch", "adopted", { { "batch", id.str() }, { "done", adopted ? "1" : "0" } });
        });
    }
}

} // namespace lovagerail::edge
