// Submitting batches, and who owns them.
#include "edge/batches.h"

#include "edge/peer_call.h"
#include "json_text.h"
#include "log.h"
#include "rendezvous.h"

#include <algorithm>

namespace lovagerail::edge {

namespace {

    constexpr duration submitRetry = std::chrono::milliseconds(250); // before a write that failed is repeated
    // A submission is held while the store is away: outages last some seconds, and a
    // trainer that is turned away meanwhile loses its step. It gets a final answer before
    // its own deadline, or after the time that such callers usually have.
    constexpr duration submitPatience = std::chrono::seconds(10);
    constexpr duration submitMargin = std::chrono::milliseconds(200);
    constexpr duration expiryPeriod = std::chrono::seconds(5);
    constexpr std::chrono::milliseconds expiryMargin { 5000 }; // beyond the time that results are kept

} // namespace

batches::batches(context& shared, members& group, front& calls)
    : m_context(shared)
    , m_members(group)
    , m_front(calls)
    , m_board({}, shared.targets)
{
}

std::size_t batches::open() const
{
    return static_cast<std::size_t>(std::count_if(m_owned.begin(), m_owned.end(), [](const auto& entry) { return !entry.second.head.ended; }));
}

void batches::respond(const http::exchange_ptr& exchange, int status, std::string body) const
{
    http::header_list headers;
    if (!body.empty())
        headers.emplace_back("Content-Type", "application/json");
    if (m_context.stopping)
        headers.emplace_back("Connection", "close");
    exchange->answer(status, std::move(headers), std::move(body));
}

// --- Submitting --------------------------------------------------------------

void batches::onSubmit(const http::exchange_ptr& exchange, batch_head head, submit_options options)
{
    // Step 1. Known here already, or under way.
    if (const auto known = m_owned.find(head.id); known != m_owned.end() && known->second.accepted) {
        respond(exchange, known->second.head.account == head.account ? statusAccepted : statusConflict, "");
        return;
    }
    if (const auto under = m_submits.find(head.id); under != m_submits.end()) {
        under->second.waiters.push_back(exchange);
        return;
    }
    if (const auto* to = options.mayPassOn ? preferredOwner(head) : nullptr) {
        passSubmit(exchange, head, *to, options);
        return;
    }

    // Step 2. What is not well formed is never accepted.
    head.owner = instance_id(m_context.values.instance.name);
    head.ownerLife = m_context.life;
    head.submitted = m_context.wall;
    const auto spec = platform::decodeSubmission(head, exchange->body);
    if (!spec) {
        logEvent(log_level::Warning, "batch", "refused", { { "batch", head.id.str() }, { "error", toString(spec.error()) } });
        respond(exchange, statusBadRequest, "");
        return;
    }
    head.items = static_cast<std::uint32_t>(spec->items.size());

    // Step 3. It counts once its head and its body stand in the store.
    auto& submit = m_submits[head.id];
    submit.head = head;
    submit.body = exchange->body;
    submit.waiters.push_back(exchange);
    submit.giveUp = m_context.now + (options.deadline ? *options.deadline - submitMargin : submitPatience);
    writeSubmit(head.id);
}

void batches::writeSubmit(const batch_id& id)
{
    auto& submit = m_submits.at(id);
    submit.busy = true;
    kv_transaction change;
    change.compares.push_back({ headKey(id), kv_field::ModRevision, {}, {} });
    change.then.emplace_back(kv_put { headKey(id), encodeHead(submit.head), {} });
    change.then.emplace_back(kv_put { submissionKey(id), submit.body, {} });
    m_context.store.call("batch accept", std::move(change), [this, id](const result<kv_answer>& answer) { onSubmitWritten(id, answer); });
}

void batches::onSubmitWritten(const batch_id& id, const result<kv_answer>& answer)
{
    const auto found = m_submits.find(id);
    if (found == m_submits.end())
        return;
    auto& submit = found->second;
    submit.busy = false;

    if (answer && answer->succeeded) {
        // Step 1. It is ours.
        accept(submit, answer->at);
        finishSubmit(id, statusAccepted);
    } else if (answer) {
        // Step 2. It stands there already: by an earlier try of ours, or of another daemon.
        const auto* entry = answer->entries.empty() ? nullptr : &answer->entries.front();
        const auto head = entry == nullptr ? std::nullopt : decodeHead(id, entry->value);
        if (head && isOwnCreation(*entry, submit.head))
            accept(submit, entry->modRevision);
        else if (m_owned.contains(id) && !m_owned.at(id).accepted)
            lose(id, "another instance accepted it");
        if (head && !m_owned.contains(id))
            m_foreign[id] = { *head, entry->modRevision };
        finishSubmit(id, !head ? statusServerError : head->account == submit.head.account ? statusAccepted
                                                                                          : statusConflict);
    } else {
        // Step 3. Not written, or not known: the same create-only write again. Its items
        // run meanwhile, so that the step isn't late by the store's outage.
        submit.unsure = submit.unsure || answer.error().code == error_code::Unknown;
        submit.again = m_context.now + submitRetry;
        logEvent(log_level::Warning, "batch", "submit_waits", { { "batch", id.str() }, { "error", toString(answer.error()) } });
        runAhead(submit);
    }
}

// The board runs it, unless it can't: then it is dropped when its body is not ours to run.
void batches::runAhead(const open_submit& submit)
{
    if (m_owned.contains(submit.head.id) || m_stopping)
        return;
    if (!own(submit.head, {}, submit.body, {}, 0))
        return;
    m_owned.at(submit.head.id).accepted = false;
    m_board.hold(submit.head.id);
}

void batches::accept(const open_submit& submit, revision fence)
{
    const auto ahead = m_owned.find(submit.head.id);
    if (ahead == m_owned.end()) {
        own(submit.head, fence, submit.body, {}, 0);
        return;
    }
    ahead->second.accepted = true;
    ahead->second.fence = fence;
    m_board.accept(submit.head.id);
}

// Nobody waits for it here any more, and it surely doesn't stand in the store.
bool batches::abandoned(const open_submit& submit) const
{
    return !submit.unsure && std::all_of(submit.waiters.begin(), submit.waiters.end(), [](const http::exchange_ptr& one) { return one->callerGone(); });
}

void batches::finishSubmit(const batch_id& id, int status)
{
    auto submit = std::move(m_submits.at(id));
    m_submits.erase(id);
    logEvent(log_level::Info, "batch", "submitted", { { "batch", id.str() }, { "status", std::to_string(status) }, { "account", submit.head.account.str() } });
    for (const auto& waiter : submit.waiters)
        respond(waiter, status, "");
    if (m_owned.contains(id) && !m_owned.at(id).accepted)
        lose(id, "it was not accepted in time");
}

// The board runs it from here on. False if it can't be read or its route is gone.
bool batches::own(const batch_head& head, revision fence, std::string_view body, std::vector<batch_result> listed, std::uint32_t pages)
{
    auto spec = platform::decodeSubmission(head, body);
    const auto* route = m_context.site ? m_context.site->find(head.host, head.path) : nullptr;
    if (!spec || route == nullptr || route->kind != route_kind::Batch) {
        logEvent(log_level::Warning, "batch", "not_run", { { "batch", head.id.str() }, { "reason", spec ? "its route is gone" : toString(spec.error()) } });
        return false;
    }
    logEvent(log_level::Info, "batch", "owned",
        { { "batch", head.id.str() }, { "step", std::to_string(spec->step) }, { "model", spec->model.str() }, { "least", std::to_string(spec->leastVersion.value()) },
            { "items", std::to_string(spec->items.size()) }, { "listed", std::to_string(listed.size()) }, { "fence", std::to_string(fence.value()) } });
    m_owned[head.id] = { head, true, false, fence, false, {}, {}, {} };
    m_foreign.erase(head.id);
    if (fence != revision())
        announce(head);
    const auto* service = m_context.site->service(route->services.front().service);
    m_board.add(std::move(*spec), *route, service == nullptr ? 1 : service->tokensPerEvent, std::move(listed), pages, m_context.now, m_context.wall);
    return true;
}

// Batches of one route run on one instance: it knows all of the route's work at its
// replicas, keeps its connections to them from step to step, and has the texts of items
// that come again. Null if that is us, or while we stop and are alone.
const member* batches::preferredOwner(const batch_head& head) const
{
    const auto* route = m_context.site ? m_context.site->find(head.host, head.path) : nullptr;
    std::vector<instance_id> names;
    for (const auto& one : m_members.others())
        names.push_back(one.name);
    const instance_id self(m_context.values.instance.name);
    if (!m_stopping)
        names.push_back(self);
    if (route == nullptr || names.empty())
        return nullptr;
    const auto* chosen = rendezvousFirst(route->host + route->prefix, names);
    return *chosen == self ? nullptr : m_members.find(*chosen);
}

// If the other instance doesn't take it, we do: both write the same create-only key.
void batches::passSubmit(const http::exchange_ptr& exchange, const batch_head& head, const member& to, submit_options options)
{
    auto onward = peerCall(to.address, "/submit", exchange->body, std::chrono::duration_cast<std::chrono::milliseconds>(submitPatience));
    onward.method = "POST"; // also without a body: the owner says what is wrong with it
    onward.headers = { { "x-batch", head.id.str() }, { "x-host", head.host }, { "x-path", head.path }, { "x-account", head.account.str() } };
    onward.unacknowledgedTimeout = targetUnacknowledged;
    const auto transfer = m_context.net.call(std::move(onward), [this, exchange, head, options](const http::answer& answer) {
        std::erase_if(m_passed, [&exchange](const passed_submit& one) { return one.exchange == exchange; });
        const bool refused = answer.status == statusUnavailable || answer.status == statusServerError;
        if (answer.outcome == http::transfer_result::Whole && !refused) {
            respond(exchange, answer.status, "");
            return;
        }
        logEvent(log_level::Warning, "batch", "not_passed_on", { { "batch", head.id.str() }, { "status", std::to_string(answer.status) }, { "detail", answer.detail } });
        onSubmit(exchange, head, { options.deadline, false });
    });
    m_passed.push_back({ exchange, transfer });
}

bool batches::onPeer(const http::exchange_ptr& exchange)
{
    const auto header = [&exchange](std::string_view name) { return std::string(http::findHeader(exchange->headers, name)); };
    if (exchange->path == "/submit") {
        batch_head head;
        head.id = batch_id(header("x-batch"));
        head.host = header("x-host");
        head.path = header("x-path");
        head.account = client_account_id(header("x-account"));
        onSubmit(exchange, std::move(head), { std::nullopt, false });
        return true;
    }
    if (exchange->path == "/owner" && exchange->method == "POST") {
        const batch_id id(exchange->query);
        const auto head = decodeHead(id, exchange->body);
        if (head && m_owned.contains(id) && head->ended)
            lose(id, "another instance ended it");
        else if (head && !m_owned.contains(id))
            m_foreign[id] = { *head, {} };
        respond(exchange, statusOk, "");
        return true;
    }
    if (exchange->path == "/owner") {
        const batch_id id(exchange->query);
        const auto own = m_owned.find(id);
        const auto known = m_foreign.find(id);
        if (own != m_owned.end())
            respond(exchange, statusOk, encodeHead(own->second.head));
        else if (known != m_foreign.end())
            respond(exchange, statusOk, encodeHead(known->second.head));
        else
            respond(exchange, statusNotFound, "");
        return true;
    }
    if (exchange->path == "/handover") {
        const auto value = parseJson(exchange->body);
        const batch_id id(value ? jsonText(*value, "batch") : std::string());
        if (id.empty() || m_stopping) {
            respond(exchange, statusUnavailable, "");
            return true;
        }
        m_board.carry(decodeTexts((*value)["texts"]), m_context.now);
        readHead(id, exchange, [this, exchange](const batch_head& head, revision fence) {
            adopt(head, fence, [this, exchange](bool adopted) { respond(exchange, adopted ? statusOk : statusConflict, ""); });
        });
        return true;
    }
    if (const auto call = platform::decodeBatchCall(exchange->method, exchange->path, exchange->query)) {
        const auto known = m_owned.find(call->id);
        if (known == m_owned.end() || !known->second.accepted || known->second.head.account.str() != header("x-account")) {
            respond(exchange, statusConflict, "");
            return true;
        }
        answerOwned(exchange, *call, std::chrono::milliseconds(std::strtoll(header("x-wait").c_str(), nullptr, 10)));
        return true;
    }
    return false;
}

void batches::beginStop() { m_stopping = true; }

bool batches::handedOver() const { return open() == 0 && m_submits.empty() && m_handingOver == 0; }

// Forgets batches whose results need not be kept any more, here and in the store.
void batches::expire()
{
    m_nextExpiry = m_context.now + expiryPeriod;
    std::vector<batch_id> old;
    for (const auto& [id, one] : m_owned) {
        if (m_context.wall > one.head.submitted + m_context.values.bounds.resultsKept + expiryMargin)
            old.push_back(id);
    }
    for (const auto& id : old) {
        kv_transaction change;
        change.compares.push_back({ headKey(id), kv_field::ModRevision, m_owned.at(id).fence, {} });
        change.then.emplace_back(kv_delete { headKey(id), {} });
        change.then.emplace_back(kv_delete { submissionKey(id), {} });
        if (m_owned.at(id).textsStored && !m_owned.at(id).head.ended)
            change.then.emplace_back(kv_delete { textsKey(id), {} });
        constexpr std::uint32_t mostPagesInChange = 28; // a transaction takes 32 entries
        for (std::uint32_t page = 0; page < std::min(m_board.pages(id), mostPagesInChange); ++page)
            change.then.emplace_back(kv_delete { pageKey(id, page), {} });
        m_context.store.call("batch expire", std::move(change), [id](const result<kv_answer>& answer) {
            if (!answer)
                logEvent(log_level::Warning, "batch", "expire", { { "batch", id.str() }, { "error", toString(answer.error()) } });
        });
        m_owned.erase(id);
        act(m_board.drop(id, m_context.now));
    }
    std::erase_if(m_foreign, [this](const auto& entry) { return m_context.wall > entry.second.head.submitted + m_context.values.bounds.resultsKept + expiryMargin; });
}

void batches::tick()
{
    // Step 1. Submissions whose caller left, and those that are not written yet.
    for (const auto& one : m_passed) {
        if (one.exchange->callerGone())
            m_context.net.cancel(one.transfer);
    }
    std::erase_if(m_passed, [](const passed_submit& one) { return one.exchange->callerGone(); });
    std::vector<batch_id> unsure;
    for (const auto& [id, submit] : m_submits) {
        if (!submit.busy && m_context.now >= submit.again)
            unsure.push_back(id);
    }
    for (const auto& id : unsure) {
        // The status promises nothing, as items may have run.
        if (m_context.now >= m_submits.at(id).giveUp || abandoned(m_submits.at(id)))
            finishSubmit(id, statusServerError);
        else
            writeSubmit(id);
    }

    // Step 2. Batches whose owner is gone.
    adoptOrphans();

    // Step 3. Runs, pages, ends, reads.
    act(m_board.tick(m_context.now));
    std::vector<batch_id> ending;
    std::vector<batch_id> leaving;
    for (const auto& [id, one] : m_owned) {
        if (!one.endWaiters.empty() && !one.ending && m_context.now >= one.endAgain && !m_board.writing(id))
            ending.push_back(id);
        if (m_stopping && one.accepted && !one.head.ended && !one.ending && !m_board.writing(id))
            leaving.push_back(id);
    }
    for (const auto& id : ending)
        writeEnd(id);
    for (const auto& id : leaving) {
        if (m_owned.contains(id) && m_owned.at(id).endWaiters.empty())
            handOver(id);
    }
    answerReads();
    if (m_context.now >= m_nextExpiry)
        expire();
}

} // namespace lovagerail::edge
