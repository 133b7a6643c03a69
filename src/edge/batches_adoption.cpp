// Take-over of one batch: its head is rewritten to name this instance, then its submission and
// its pages are read.
//
// The write of the head is conditional on the revision of the head as it was read, which fences
// off the previous owner and other adopters. Once it may have taken effect, the head may name
// this instance, and then no other instance runs the batch. So a take-over goes on until the
// batch is owned, or until another instance has changed the head.
#include "edge/batches.h"

#include "json_text.h"
#include "log.h"

namespace lovagerail::edge {

namespace {

    // An instance that was suspended returns to the members within about a second after it wakes, and checks its batches then.
    constexpr duration formerOwnerPeriod = std::chrono::milliseconds(2500);

} // namespace

void batches::adopt(const batch_head& head, revision headRevision, adoption_function onDone)
{
    if (ownsAccepted(head.id)) {
        onDone(true);
        return;
    }
    if (head.ended || m_adoptions.contains(head.id)) {
        onDone(false);
        return;
    }
    // The head shows that the batch was accepted, so a repeated submission of it is settled. Texts that
    // were begun for it are kept, and the take-over goes on with them.
    if (const auto pending = m_pendingSubmits.find(head.id); pending != m_pendingSubmits.end())
        finishSubmit(head.id, pending->second.head.account == head.account ? statusAccepted : statusConflict);
    auto& started = m_adoptions[head.id];
    started.number = ++m_lastAdoption;
    started.head = head;
    started.former = ownerOf(head);
    started.head.owner = instance_id(m_context.settings.instance.name);
    started.head.ownerIncarnation = m_context.ownIncarnation;
    if (!started.head.decided)
        started.head.decided = routeInForce(head); // of an older version
    started.write = { headKey(head.id), headRevision, headKey(head.id), encodeHead(started.head) };
    started.onDone = std::move(onDone);
    continueAdoption(head.id);
}

void batches::continueAdoption(const batch_id& id)
{
    auto& started = m_adoptions.at(id);
    started.calling = true;
    if (started.headRevision == revision())
        writeAdoptedHead(id);
    else
        readAdoptedBody(id);
}

void batches::continueAdoptions()
{
    std::vector<batch_id> due;
    for (const auto& [id, started] : m_adoptions) {
        if (!started.calling && m_context.now >= started.retryAt)
            due.push_back(id);
    }
    for (const auto& id : due)
        continueAdoption(id);
}

void batches::writeAdoptedHead(const batch_id& id)
{
    const auto& started = m_adoptions.at(id);
    kv_transaction change;
    change.compares.push_back({ started.write.guard, kv_field::ModRevision, started.write.guardRevision, {} });
    change.then.emplace_back(kv_put { started.write.key, started.write.value, {} });
    m_context.store.call("batch adopt", std::move(change), [this, id, number = started.number](const result<kv_answer>& answer) {
        const auto found = m_adoptions.find(id);
        if (found == m_adoptions.end() || found->second.number != number)
            return;
        const auto verdict = judgeWrite(found->second.write, answer);
        switch (verdict.state) {
        case write_state::Open:
            retryAdoption(id, answer.error());
            return;
        case write_state::NotDone:
            retryAdoption(id, { error_code::Unavailable, "adopt", peer_kind::KeyValueService, {}, "refused, although the head is unchanged" });
            return;
        case write_state::Overtaken:
            finishAdoption(id, false);
            return;
        case write_state::Done:
            found->second.headRevision = verdict.at;
            // A former owner that this instance took for gone may be alive.
            if (found->second.former != self())
                notifyOwner({ { found->second.head, verdict.at }, found->second.former, m_context.now + formerOwnerPeriod, {} });
            readAdoptedBody(id);
            return;
        }
    });
}

void batches::readAdoptedBody(const batch_id& id)
{
    m_context.store.call("batch adopt", readKey(submissionKey(id)), [this, id, number = m_adoptions.at(id).number](const result<kv_answer>& answer) {
        const auto found = m_adoptions.find(id);
        if (found == m_adoptions.end() || found->second.number != number)
            return;
        if (!answer)
            retryAdoption(id, answer.error());
        else if (answer->entries.empty()) {
            logEvent(log_level::Warning, "batch", "not_run", { { "batch", id.str() }, { "reason", "its submission is not in the store" } });
            finishAdoption(id, false);
        } else
            readAdoptedPages(id, answer->entries.front().value);
    });
}

void batches::readAdoptedPages(const batch_id& id, const std::string& body)
{
    m_context.store.list("batch adopt", pagesPrefix(id), [this, id, body, number = m_adoptions.at(id).number](const result<kv_answer>& pages) {
        const auto found = m_adoptions.find(id);
        if (found == m_adoptions.end() || found->second.number != number)
            return;
        if (pages)
            finishAdoption(id, takeAdopted(id, body, pages->entries));
        else
            retryAdoption(id, pages.error());
    });
}

void batches::retryAdoption(const batch_id& id, const error& reason)
{
    auto& started = m_adoptions.at(id);
    started.calling = false;
    started.retryAt = m_context.now + openWriteRetryDelay;
    logEvent(log_level::Warning, "batch", "adopt_waits", { { "batch", id.str() }, { "error", toString(reason) } });
}

bool batches::takeAdopted(const batch_id& id, const std::string& body, const std::vector<kv_entry>& entries)
{
    std::vector<batch_result> listed;
    std::uint32_t pageCount = 0;
    bool hasTexts = false;
    for (const auto& entry : entries) {
        if (entry.key == textsKey(id)) {
            hasTexts = true;
            m_runner.restoreTexts(decodeTexts(parseJson(entry.value).value_or(Json::Value())), m_context.now);
            continue;
        }
        ++pageCount;
        for (auto& pageResult : decodeBatchPage(entry.value).value_or(std::vector<batch_result>()))
            listed.push_back(std::move(pageResult));
    }
    const auto& started = m_adoptions.at(id);
    if (!takeOwnership(started.head, started.headRevision, body, std::move(listed), pageCount))
        return false;
    m_owned.at(id).mayHaveStoredTexts = hasTexts;
    return true;
}

void batches::finishAdoption(const batch_id& id, bool adopted)
{
    const auto onDone = std::move(m_adoptions.at(id).onDone);
    m_adoptions.erase(id);
    onDone(adopted);
}

} // namespace lovagerail::edge
