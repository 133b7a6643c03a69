// Reads and ends of batches: answered here for batches that this instance owns, else
// forwarded to the owner, else answered from the store.
#include "edge/batches.h"

#include "edge/peer_call.h"
#include "log.h"
#include "platform/headers.h"
#include "rendezvous.h"

#include <algorithm>

namespace lovagerail::edge {

namespace {

    constexpr std::chrono::milliseconds maxReadWait { 1000 }; // of a long-polling read, as the platform specifies
    constexpr duration endRetryDelay = std::chrono::milliseconds(200);
    // Callers treat an end without an answer as acknowledged after 4 s, so answer before.
    constexpr duration endTimeout = std::chrono::milliseconds(3000);
    constexpr std::chrono::milliseconds forwardTimeout { 900 }; // added to the read's own wait
    constexpr std::chrono::milliseconds directoryTimeout { 400 };
    constexpr std::size_t storeReadBytes = 4U << 20U; // the pages of a batch, as they are read and decoded
    constexpr std::chrono::milliseconds noRoomRetryAfter { 500 };
    constexpr duration notifyOwnerPeriod = std::chrono::milliseconds(2500); // items must not reach targets later than 3 s after an end

    constexpr std::string_view revisionHeader = "x-revision"; // of a head between instances

    // Reports a head to another instance.
    http::request ownerCall(const std::string& address, const stored_head& news)
    {
        auto out = peerCall(address, "/owner?" + news.head.id.str(), encodeHead(news.head), directoryTimeout);
        out.headers = { { std::string(revisionHeader), std::to_string(news.headRevision.value()) } };
        return out;
    }

    std::string encodeResultsAfter(std::size_t total, std::size_t after, const std::vector<batch_result>& listed)
    {
        std::vector<batch_result> remaining;
        if (after < listed.size())
            remaining.assign(listed.begin() + static_cast<std::ptrdiff_t>(after), listed.end());
        return platform::encodeResults(total, after, remaining);
    }

} // namespace

void batches::onBatchCall(const http::exchange_ptr& exchange, const platform::batch_call& call, const client_account_id& account, std::chrono::milliseconds wait)
{
    const auto owned = m_owned.find(call.id);
    if (owned != m_owned.end() && owned->second.accepted) {
        if (owned->second.head.account == account)
            answerOwned(exchange, call, wait);
        else
            respond(exchange, statusNotFound, "");
        return;
    }
    const auto forward = [this, exchange, call, account, wait](const batch_head& head, revision headRevision) {
        if (head.account != account) {
            respond(exchange, statusNotFound, "");
            return;
        }
        rememberForeignHead({ head, headRevision });
        forwardToOwner(exchange, call, account, wait, head, headRevision);
    };
    const auto foreign = m_foreignHeads.find(call.id);
    if (foreign != m_foreignHeads.end() && isAlive(foreign->second.known.head) && !foreign->second.known.head.ended) {
        const auto lastKnown = foreign->second.known;
        forward(lastKnown.head, lastKnown.headRevision);
    } else
        findHead(call.id, exchange, forward);
}

// The member that keeps the owner of this batch on record, chosen by rendezvous hashing, so
// that reads arriving at other members need not ask the store. Its answer is only a hint:
// the owner itself and the store are authoritative.
const member* batches::directoryMember(const batch_id& id) const
{
    const auto names = m_members.names();
    return m_members.find(*rendezvousFirst(id.str(), names));
}

void batches::sendOwnerHint(const batch_head& head, revision headRevision)
{
    const auto* directory = directoryMember(head.id);
    if (directory == nullptr || directory->name.str() == m_context.settings.instance.name)
        return;
    // Fire and forget: a lost hint only costs a read of the store.
    m_context.net.call(ownerCall(directory->address, { head, headRevision }), [](const http::answer&) {});
}

// Keeps the newest head that is known of a batch of another owner.
void batches::rememberForeignHead(const stored_head& known)
{
    auto& kept = m_foreignHeads[known.head.id];
    kept.usedAt = m_context.now;
    const bool isOlder = known.headRevision != revision() && known.headRevision < kept.known.headRevision;
    if (!isOlder)
        kept.known = known;
}

void batches::findHead(const batch_id& id, const http::exchange_ptr& exchange, head_function onHead)
{
    const auto* directory = directoryMember(id);
    if (directory == nullptr || directory->name.str() == m_context.settings.instance.name) {
        readHead(id, exchange, std::move(onHead));
        return;
    }
    m_context.net.call(peerCall(directory->address, "/owner?" + id.str(), {}, directoryTimeout), [this, id, exchange, onHead = std::move(onHead)](const http::answer& answer) {
        const auto head = isOk(answer) ? decodeHead(id, answer.body) : std::nullopt;
        if (head && isAlive(*head) && !head->ended)
            onHead(*head, {});
        else
            readHead(id, exchange, onHead);
    });
}

// Calls onHead with the head from the store; answers the exchange with 404 or 503 itself if
// there is none or the store can't be reached.
void batches::readHead(const batch_id& id, const http::exchange_ptr& exchange, head_function onHead)
{
    m_context.store.call("batch read", readKey(headKey(id)), [this, id, exchange, onHead = std::move(onHead)](const result<kv_answer>& answer) {
        if (!answer) {
            respond(exchange, statusUnavailable, "");
            return;
        }
        const auto head = answer->entries.empty() ? std::nullopt : decodeHead(id, answer->entries.front().value);
        if (!head) {
            respond(exchange, statusNotFound, "");
            return;
        }
        onHead(*head, answer->entries.front().modRevision);
    });
}

// --- Batches that this instance owns -----------------------------------------

void batches::answerOwned(const http::exchange_ptr& exchange, const platform::batch_call& call, std::chrono::milliseconds wait)
{
    switch (call.kind) {
    case platform::batch_call_kind::Results:
        m_reads.push_back({ exchange, call.id, call.after, m_context.now + std::min(wait, maxReadWait) });
        answerReads();
        return;
    case platform::batch_call_kind::Body: {
        const auto* item = m_owned.at(call.id).head.ended ? nullptr : m_runner.unlistedItem(call.id, call.item);
        if (item == nullptr)
            respond(exchange, statusNotFound, "");
        else
            respond(exchange, statusOk, item->body);
        return;
    }
    case platform::batch_call_kind::End:
        requestEnd(call.id, exchange);
        return;
    }
}

void batches::answerReads()
{
    std::vector<waiting_read> stillWaiting;
    for (auto& read : m_reads) {
        if (read.exchange->callerDisconnected())
            continue;
        const auto owned = m_owned.find(read.batch);
        if (owned == m_owned.end()) {
            respond(read.exchange, statusUnavailable, "");
            continue;
        }
        const auto& listed = m_runner.listed(read.batch);
        const auto total = m_runner.spec(read.batch)->items.size();
        const bool due = read.after < listed.size() || read.after >= total || owned->second.head.ended || m_context.now >= read.until || m_context.stopping;
        if (due)
            respond(read.exchange, statusOk, encodeResultsAfter(total, read.after, listed));
        else
            stillWaiting.push_back(std::move(read));
    }
    m_reads = std::move(stillWaiting);
}

void batches::requestEnd(const batch_id& id, const http::exchange_ptr& exchange)
{
    auto& owned = m_owned.at(id);
    if (owned.head.ended) {
        respond(exchange, statusOk, "");
        return;
    }
    if (owned.endWaiters.empty()) {
        owned.endGiveUpAt = m_context.now + endTimeout;
        logEvent(log_level::Info, "batch", "end_asked", { { "batch", id.str() }, { "listed", std::to_string(m_runner.listed(id).size()) }, { "items", std::to_string(owned.head.items) } });
        // Stop the items now, without waiting for the store: nobody needs their results.
        execute(m_runner.end(id, m_context.now));
    }
    owned.endWaiters.push_back(exchange);
    if (!owned.endWritePending && !m_runner.writing(id))
        writeEnd(id);
}

// Writes the ended head. A page whose write is open must not appear behind the end, so the same
// transaction requires that it isn't stored; if it is, it is listed first.
void batches::writeEnd(const batch_id& id)
{
    auto& owned = m_owned.at(id);
    owned.endWritePending = true;
    auto endedHead = owned.head;
    endedHead.ended = true;
    guarded_write write { headKey(id), owned.headRevision, headKey(id), encodeHead(endedHead) };
    kv_transaction change;
    change.compares.push_back({ write.guard, kv_field::ModRevision, write.guardRevision, {} });
    const auto openPage = m_runner.openPage(id);
    if (openPage)
        change.compares.push_back({ pageKey(id, *openPage), kv_field::ModRevision, {}, {} });
    change.then.emplace_back(kv_put { write.key, write.value, {} });
    if (owned.mayHaveStoredTexts)
        change.then.emplace_back(kv_delete { textsKey(id), {} });
    m_context.store.call("batch end", std::move(change), [this, id, endedHead, openPage, write = std::move(write), ownership = owned.ownership](const result<kv_answer>& answer) {
        auto* found = findOwned(id, ownership);
        if (found == nullptr)
            return;
        auto& current = *found;
        current.endWritePending = false;
        current.endRetryAt = m_context.now + endRetryDelay;
        const auto verdict = judgeWrite(write, answer);

        // Step 1. Open: tick() retries until the timeout.
        if (verdict.state == write_state::Open) {
            if (m_context.now < current.endGiveUpAt)
                return;
            for (const auto& waiter : std::exchange(current.endWaiters, {}))
                respond(waiter, statusUnavailable, "");
            current.endGiveUpAt = m_context.now + endTimeout;
            return;
        }
        if (verdict.state == write_state::Overtaken) {
            onOwnershipLost(id, "its head was changed by another instance");
            return;
        }

        // Step 2. The open page is in the store: list it.
        if (openPage && findEntry(*answer, pageKey(id, *openPage)) != nullptr) {
            logEvent(log_level::Info, "batch", "page", { { "batch", id.str() }, { "page", std::to_string(*openPage) }, { "reason", "found at the end" } });
            m_runner.openPageFound(id);
        }
        if (verdict.state == write_state::NotDone) {
            current.endRetryAt = m_context.now;
            return;
        }

        // Step 3. Ended, by this write or by an earlier attempt of ours.
        current.headRevision = verdict.at;
        current.head = endedHead;
        current.endedAt = m_context.wall;
        logEvent(log_level::Info, "batch", "ended", { { "batch", id.str() } });
        for (const auto& waiter : std::exchange(current.endWaiters, {}))
            respond(waiter, statusOk, "");
    });
}

// --- Batches of other instances ----------------------------------------------

void batches::forwardToOwner(const http::exchange_ptr& exchange, const platform::batch_call& call, const client_account_id& account, std::chrono::milliseconds wait, const batch_head& head, revision headRevision)
{
    const auto* owner = isAlive(head) ? m_members.find(head.owner) : nullptr;
    if (owner == nullptr || head.ended || owner->name.str() == m_context.settings.instance.name) {
        recordOrphan(head, headRevision);
        answerFromStore(exchange, call, head, headRevision);
        return;
    }
    auto outgoing = peerCall(owner->address, exchange->path + (exchange->query.empty() ? "" : "?" + exchange->query), {}, std::min(wait, maxReadWait) + forwardTimeout);
    outgoing.method = exchange->method;
    outgoing.headers = { { "x-account", account.str() }, { "x-wait", std::to_string(wait.count()) } };
    outgoing.unacknowledgedTimeout = targetUnacknowledgedTimeout;
    m_context.net.call(std::move(outgoing), [this, exchange, call](const http::answer& answer) {
        const bool served = answer.outcome == http::transfer_result::Complete && answer.status != statusConflict && answer.status != statusUnavailable;
        if (served) {
            respond(exchange, answer.status, answer.body);
            return;
        }
        // The owner has changed or is gone: read the head from the store.
        m_foreignHeads.erase(call.id);
        readHead(call.id, exchange, [this, exchange, call](const batch_head& currentHead, revision currentRevision) {
            recordOrphan(currentHead, currentRevision);
            answerFromStore(exchange, call, currentHead, currentRevision);
        });
    });
}

void batches::answerFromStore(const http::exchange_ptr& exchange, const platform::batch_call& call, const batch_head& head, revision headRevision)
{
    if (call.kind == platform::batch_call_kind::End) {
        endForeign(exchange, head, headRevision);
        return;
    }
    if (call.kind == platform::batch_call_kind::Body && head.ended) {
        respond(exchange, statusNotFound, "");
        return;
    }
    const auto room = std::make_shared<http::memory_claim>(m_context.clientMemory);
    if (!room->resize(memory_use::Large, storeReadBytes)) {
        exchange->answer(statusUnavailable, platform::refusalHeaders({}, noRoomRetryAfter), std::string_view());
        return;
    }
    m_context.store.list("batch read", pagesPrefix(call.id), [this, exchange, call, head, room](const result<kv_answer>& pages) {
        if (!pages) {
            respond(exchange, statusUnavailable, "");
            return;
        }
        std::vector<batch_result> listed;
        for (const auto& entry : pages->entries) {
            for (auto& pageResult : decodeBatchPage(entry.value).value_or(std::vector<batch_result>()))
                listed.push_back(std::move(pageResult));
        }
        if (call.kind == platform::batch_call_kind::Results) {
            respond(exchange, statusOk, encodeResultsAfter(head.items, call.after, listed));
            return;
        }
        const bool isListed = std::any_of(listed.begin(), listed.end(), [&call](const batch_result& listedResult) { return listedResult.item == call.item; });
        if (isListed) {
            respond(exchange, statusNotFound, "");
            return;
        }
        m_context.store.call("batch read", readKey(submissionKey(call.id)), [this, exchange, call, head](const result<kv_answer>& body) {
            if (!body || body->entries.empty()) {
                respond(exchange, statusUnavailable, "");
                return;
            }
            const auto spec = platform::decodeSubmission(head, body->entries.front().value);
            if (spec) {
                for (const auto& item : spec->items) {
                    if (item.id != call.item)
                        continue;
                    respond(exchange, statusOk, item.body);
                    return;
                }
            }
            respond(exchange, statusNotFound, "");
        });
    });
}

// Ends a batch whose owner is gone, can't be reached or is only taking it over, by a write that is
// conditional on the revision of its head.
void batches::endForeign(const http::exchange_ptr& exchange, batch_head head, revision headRevision)
{
    if (head.ended) {
        respond(exchange, statusOk, "");
        // The writer of the end may not have learnt that it took effect, so its owner may still run items.
        notifyOwnerOfEnd(head, headRevision);
        return;
    }
    head.ended = true;
    guarded_write write { headKey(head.id), headRevision, headKey(head.id), encodeHead(head) };
    writeForeignEnd({ exchange, std::move(head), std::move(write), m_context.now + endTimeout, {} });
}

void batches::writeForeignEnd(foreign_end end)
{
    kv_transaction change;
    change.compares.push_back({ end.write.guard, kv_field::ModRevision, end.write.guardRevision, {} });
    change.then.emplace_back(kv_put { end.write.key, end.write.value, {} });
    m_context.store.call("batch end", std::move(change), [this, end = std::move(end)](const result<kv_answer>& answer) {
        const auto verdict = judgeWrite(end.write, answer);
        const bool isOpen = verdict.state == write_state::Open || verdict.state == write_state::NotDone;
        if (isOpen && m_context.now < end.giveUpAt) {
            m_foreignEnds.push_back(end);
            m_foreignEnds.back().retryAt = m_context.now + endRetryDelay;
            return;
        }
        m_foreignHeads.erase(end.head.id);
        const bool ended = verdict.state == write_state::Done;
        respond(end.exchange, ended ? statusOk : statusUnavailable, "");
        if (ended)
            notifyOwnerOfEnd(end.head, verdict.at);
    });
}

// An owner that is alive but could not be reached keeps running items, so the notice is repeated.
void batches::notifyOwnerOfEnd(const batch_head& head, revision headRevision)
{
    notifyOwner({ { head, headRevision }, ownerOf(head), m_context.now + notifyOwnerPeriod, {} });
}

// Tells an instance of a head that another one wrote, until it answers or the time is up. One that is no member
// at present may return within that time.
void batches::notifyOwner(owner_notice notice)
{
    if (notice.to == self()) {
        onEndedElsewhere(notice.news.head);
        return;
    }
    if (m_context.now >= notice.retryUntil)
        return;
    notice.retryAt = m_context.now + endRetryDelay;
    const auto* to = m_members.find(notice.to.name);
    if (to == nullptr) {
        m_ownerNotices.push_back(std::move(notice));
        return;
    }
    if (to->incarnationNumber != notice.to.life)
        return; // it has ended
    m_context.net.call(ownerCall(to->address, notice.news), [this, notice](const http::answer& answer) {
        logEvent(log_level::Info, "batch", "owner_told",
            { { "batch", notice.news.head.id.str() }, { "to", notice.to.name.str() }, { "ended", notice.news.head.ended ? "1" : "0" }, { "fence", std::to_string(notice.news.headRevision.value()) }, { "status", std::to_string(answer.status) } });
        if (answer.outcome != http::transfer_result::Complete)
            m_ownerNotices.push_back(notice);
    });
}

// Another instance reports a head: as a hint where the batch is, or because this instance owned the batch before.
void batches::answerOwnerNotice(const http::exchange_ptr& exchange)
{
    const batch_id id(exchange->query);
    const auto head = decodeHead(id, exchange->body);
    if (!head) {
        respond(exchange, statusBadRequest, "");
        return;
    }
    const stored_head news { *head, revision(std::strtoull(std::string(http::findHeader(exchange->headers, revisionHeader)).c_str(), nullptr, 10)) };
    if (head->ended)
        onEndedElsewhere(*head);
    else if (ownsAccepted(id) && judgeOwnership(m_owned.at(id).stored(), news) == owner_news::TakenOver)
        onOwnershipLost(id, "its new owner says so");
    if (!m_owned.contains(id))
        rememberForeignHead(news);
    respond(exchange, statusOk, "");
}

// The store has the end of a batch that this instance runs, takes over or is submitting: its items stop.
void batches::onEndedElsewhere(const batch_head& head)
{
    m_orphans.erase(head.id);
    if (const auto pending = m_pendingSubmits.find(head.id); pending != m_pendingSubmits.end() && pending->second.head.account == head.account)
        finishSubmit(head.id, statusAccepted);
    if (m_adoptions.contains(head.id))
        finishAdoption(head.id, false);
    const auto owned = m_owned.find(head.id);
    // An end that is being written here settles by itself.
    if (owned != m_owned.end() && owned->second.endWaiters.empty() && judgeOwnership(owned->second.stored(), { head, {} }) == owner_news::Ended)
        onOwnershipLost(head.id, "another instance ended it");
    if (head.owner == self().name && !m_owned.contains(head.id))
        recordUnowned(head); // others leave it to this instance, which its head names
}

} // namespace lovagerail::edge
