// Deletion of batches that are not kept any longer: by their owner, and of those without a live owner by one
// instance. Head and submission go last, so that a deletion that is broken off is found again by the head.
#include "edge/batches.h"

#include "log.h"

#include <algorithm>

namespace lovagerail::edge {

namespace {

    constexpr duration expiryPeriod = std::chrono::seconds(5);
    constexpr std::size_t maxKeysPerTransaction = 28; // of pages and texts; a transaction takes at most 32 entries
    constexpr std::size_t maxUnownedReads = 8; // in each expiryPeriod
    constexpr std::size_t recordsReadBytes = 4U << 20U; // the pages of a batch, as they are read
    constexpr std::chrono::milliseconds unownedForgotten { 60'000 }; // after their time, if another instance is to delete them

} // namespace

void batches::expire()
{
    detail::retryDue(m_deletions, m_context.now, [this](record_deletion deletion) { deleteRecords(std::move(deletion)); });
    if (m_context.now < m_nextExpiry)
        return;
    m_nextExpiry = m_context.now + expiryPeriod;
    expireOwned();
    deleteUnowned();
    std::erase_if(m_foreignHeads, [this](const auto& entry) { return m_context.now > entry.second.usedAt + kept().results; });
}

void batches::expireOwned()
{
    std::vector<batch_id> expired;
    for (const auto& [id, owned] : m_owned) {
        if (owned.accepted && m_context.wall > keptUntil(owned.head, kept(), owned.endedAt))
            expired.push_back(id);
    }
    for (const auto& id : expired) {
        const auto& owned = m_owned.at(id);
        logEvent(log_level::Info, "batch", "expired",
            { { "batch", id.str() }, { "age_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(m_context.wall - owned.head.submitted).count()) },
                { "ended", owned.head.ended ? "1" : "0" }, { "listed", std::to_string(m_runner.listed(id).size()) }, { "items", std::to_string(owned.head.items) } });
        record_deletion deletion { id, owned.headRevision, {} };
        for (std::uint32_t page = 0; page < m_runner.pages(id); ++page)
            deletion.keys.push_back(pageKey(id, page));
        if (owned.mayHaveStoredTexts && !owned.head.ended)
            deletion.keys.push_back(textsKey(id));
        for (const auto& waiter : owned.endWaiters)
            respond(waiter, statusUnavailable, "");
        m_owned.erase(id);
        execute(m_runner.drop(id, m_context.now));
        deleteRecords(std::move(deletion));
    }
}

// Puts on record what an instance does not run, but has to delete at its time.
void batches::recordUnowned(const batch_head& head)
{
    if (planUnowned(head, kept(), m_context.wall) == unowned_step::Delete)
        m_unowned.try_emplace(head.id, unowned_records { head, m_context.wall });
}

void batches::deleteUnowned()
{
    if (!m_members.known() || !m_members.joined() || m_stopping)
        return;
    const auto places = m_members.places();
    std::vector<batch_id> due;
    for (const auto& [id, records] : m_unowned) {
        if (due.size() >= maxUnownedReads)
            break;
        const bool isDue = m_context.wall > keptUntil(records.head, kept(), records.since);
        if (isDue && deletesRecords(records.head.owner, self().name, instancesFor(places, regionsOf(records.head))))
            due.push_back(id);
    }
    for (const auto& id : due)
        readUnowned(id);
    std::erase_if(m_unowned, [this](const auto& entry) {
        const auto& records = entry.second;
        return m_context.wall > std::max(keptUntil(records.head, kept(), records.since), records.since) + unownedForgotten;
    });
}

// Deletes the records if the head says the same now: it may have got an owner since.
void batches::readUnowned(const batch_id& id)
{
    const auto room = std::make_shared<http::memory_claim>(m_context.clientMemory);
    if (!room->resize(memory_use::Large, recordsReadBytes))
        return; // tried again at the next time
    m_context.store.call("batch expire", readKey(headKey(id)), [this, id, room](const result<kv_answer>& answer) {
        const auto found = m_unowned.find(id);
        if (!answer || found == m_unowned.end())
            return;
        const auto since = found->second.since;
        m_unowned.erase(found);
        const auto head = answer->entries.empty() ? std::nullopt : decodeHead(id, answer->entries.front().value);
        if (!head || m_owned.contains(id) || m_adoptions.contains(id))
            return;
        const bool isOthers = isAlive(*head) && head->owner != self().name;
        if (isOthers || planUnowned(*head, kept(), m_context.wall) != unowned_step::Delete)
            return;
        if (m_context.wall <= keptUntil(*head, kept(), since)) {
            m_unowned.try_emplace(id, unowned_records { *head, since });
            return;
        }
        m_context.store.list("batch expire", pagesPrefix(id), [this, id, room, head, since, headRevision = answer->entries.front().modRevision](const result<kv_answer>& pages) {
            if (!pages) {
                m_unowned.try_emplace(id, unowned_records { *head, since });
                return;
            }
            logEvent(log_level::Info, "batch", "expired_unowned",
                { { "batch", id.str() }, { "owner", head->owner.str() }, { "ended", head->ended ? "1" : "0" }, { "entries", std::to_string(pages->entries.size()) } });
            record_deletion deletion { id, headRevision, {} };
            for (const auto& entry : pages->entries) {
                if (isPageOrTexts(id, entry.key))
                    deletion.keys.push_back(entry.key);
            }
            deleteRecords(std::move(deletion));
        });
    });
}

void batches::deleteRecords(record_deletion deletion)
{
    const bool isLast = deletion.keys.size() <= maxKeysPerTransaction;
    const auto first = deletion.keys.end() - static_cast<std::ptrdiff_t>(std::min(deletion.keys.size(), maxKeysPerTransaction));
    kv_transaction change;
    change.compares.push_back({ headKey(deletion.id), kv_field::ModRevision, deletion.headRevision, {} });
    for (auto key = first; key != deletion.keys.end(); ++key)
        change.then.emplace_back(kv_delete { *key, {} });
    if (isLast) {
        change.then.emplace_back(kv_delete { headKey(deletion.id), {} });
        change.then.emplace_back(kv_delete { submissionKey(deletion.id), {} });
    }
    m_context.store.call("batch expire", std::move(change), [this, deletion = std::move(deletion), isLast](const result<kv_answer>& answer) {
        if (!answer) {
            logEvent(log_level::Warning, "batch", "expire", { { "batch", deletion.id.str() }, { "error", toString(answer.error()) } });
            m_deletions.push_back(deletion);
            m_deletions.back().retryAt = m_context.now + expiryPeriod;
            return;
        }
        if (!answer->succeeded) {
            // The head is gone by an earlier attempt, or it was rewritten: then it is looked at again.
            const auto* entry = findEntry(*answer, headKey(deletion.id));
            const auto head = entry == nullptr ? std::nullopt : decodeHead(deletion.id, entry->value);
            if (head && head->owner == self().name)
                recordUnowned(*head);
            return;
        }
        if (isLast)
            return;
        auto rest = deletion;
        rest.keys.resize(rest.keys.size() - maxKeysPerTransaction);
        deleteRecords(std::move(rest));
    });
}

} // namespace lovagerail::edge
