// Submission of batches, requests of other instances, and the periodic tick().
#include "edge/batches.h"

#include "edge/peer_call.h"
#include "json_text.h"
#include "log.h"
#include "platform/headers.h"
#include "rendezvous.h"

#include <algorithm>
#include <cassert>

namespace lovagerail::edge {

namespace {

    // A submission stays pending while the store is unavailable: outages last some seconds,
    // and a trainer whose submission is refused meanwhile loses its training step. The final
    // answer comes before the caller's deadline, or, without one, within the usual timeout
    // of such callers.
    constexpr duration defaultSubmitTimeout = std::chrono::seconds(10);
    constexpr duration submitDeadlineMargin = std::chrono::milliseconds(200);
    constexpr std::chrono::milliseconds noRoomRetryAfter { 1000 };
    constexpr std::size_t ordinaryParsingBytes = 4U << 20U; // of a submission of a thousand items
    constexpr std::size_t itemBytes = 1024; // of an item in memory, beside its texts

    // Memory of a batch: its submission as it waits for the store, and its items.
    std::size_t batchBytes(std::size_t submissionBytes, std::size_t items) { return 3 * submissionBytes + items * itemBytes; }

} // namespace

batches::batches(context& shared, target_link& link, members& membership, caller_frontend& calls, target_limits& limits)
    : m_context(shared)
    , m_link(link)
    , m_members(membership)
    , m_frontend(calls)
    , m_limits(limits)
    , m_runner({}, shared.targets)
{
}

std::size_t batches::openCount() const
{
    return static_cast<std::size_t>(std::count_if(m_owned.begin(), m_owned.end(), [](const auto& entry) { return !entry.second.head.ended; }));
}

void batches::respond(const http::exchange_ptr& exchange, int status, std::string_view body) const
{
    http::header_list headers;
    if (!body.empty())
        headers.emplace_back("Content-Type", "application/json");
    if (m_context.stopping)
        headers.emplace_back("Connection", "close");
    exchange->answer(status, std::move(headers), body);
}

// --- Submission --------------------------------------------------------------

void batches::onSubmit(const http::exchange_ptr& exchange, batch_head head, submit_options options)
{
    // Step 1. A repeated submission: already accepted here, being taken over, or its write is in
    // flight. One for which another instance is the preferred owner is forwarded.
    const auto answerRepeated = [&](const batch_head& accepted) { respond(exchange, accepted.account == head.account ? statusAccepted : statusConflict, ""); };
    if (ownsAccepted(head.id)) {
        answerRepeated(m_owned.at(head.id).head);
        return;
    }
    if (const auto adoption = m_adoptions.find(head.id); adoption != m_adoptions.end()) {
        answerRepeated(adoption->second.head);
        return;
    }
    const auto giveUpAt = m_context.now + (options.deadline ? *options.deadline - submitDeadlineMargin : defaultSubmitTimeout);
    if (const auto pending = m_pendingSubmits.find(head.id); pending != m_pendingSubmits.end()) {
        if (pending->second.head.account != head.account) {
            respond(exchange, statusConflict, "");
            return;
        }
        exchange->body.clear();
        pending->second.waiters.push_back(exchange);
        pending->second.giveUpAt = std::max(pending->second.giveUpAt, giveUpAt);
        return;
    }
    if (const auto* owner = options.mayForward ? preferredOwner(head) : nullptr) {
        forwardSubmit(exchange, head, *owner, options);
        return;
    }

    // Step 2. Refuse a batch that this instance can't run, as another one may have passed it on by a newer
    // configuration; a batch that no target may run; and a malformed body.
    const auto* route = m_context.site ? m_context.site->find(head.host, head.path) : nullptr;
    if (route == nullptr || route->kind != route_kind::Batch) {
        logEvent(log_level::Warning, "batch", "refused", { { "batch", head.id.str() }, { "error", "no such batch route in the configuration in force" } });
        respond(exchange, statusUnavailable, "");
        return;
    }
    if (!hasAllowedTarget(head)) {
        logEvent(log_level::Warning, "batch", "refused", { { "batch", head.id.str() }, { "error", "no live target in an allowed region" } });
        respond(exchange, statusUnavailable, "");
        return;
    }
    head.owner = instance_id(m_context.settings.instance.name);
    head.ownerIncarnation = m_context.ownIncarnation;
    head.submitted = m_context.wall;
    http::memory_claim parsing(m_context.clientMemory);
    if (!hasRoomToParse(exchange, head, parsing))
        return;
    const auto spec = platform::decodeSubmission(head, exchange->body);
    if (!spec) {
        logEvent(log_level::Warning, "batch", "refused", { { "batch", head.id.str() }, { "error", toString(spec.error()) } });
        Json::Value reason(Json::objectValue);
        reason["error"] = spec.error().detail;
        respond(exchange, statusBadRequest, writeJson(reason));
        return;
    }
    head.items = static_cast<std::uint32_t>(spec->items.size());
    head.decided = routeInForce(head);

    http::memory_claim memory(m_context.clientMemory);
    if (!memory.resize(memory_use::Batch, batchBytes(exchange->body.size(), spec->items.size()))) {
        refuseForWantOfRoom(exchange, head, "no room for its items");
        return;
    }

    // Step 3. The batch is accepted once its head and its body are in the store.
    auto& submit = m_pendingSubmits[head.id];
    submit.head = head;
    submit.memory = std::move(memory);
    submit.body = exchange->body.str();
    exchange->body.clear();
    submit.waiters.push_back(exchange);
    submit.giveUpAt = giveUpAt;
    writeSubmit(head.id);
}

// Charges the memory that the submission takes while it is parsed; refuses it if there is none.
bool batches::hasRoomToParse(const http::exchange_ptr& exchange, const batch_head& head, http::memory_claim& parsing) const
{
    const auto bytes = jsonTreeBytes(exchange->body);
    if (parsing.resize(bytes <= ordinaryParsingBytes ? memory_use::Ordinary : memory_use::Large, bytes))
        return true;
    if (m_context.clientMemory->mayEverFit(memory_use::Large, bytes)) {
        refuseForWantOfRoom(exchange, head, "no room to parse it");
        return false;
    }
    logEvent(log_level::Warning, "batch", "refused", { { "batch", head.id.str() }, { "error", "too many values" }, { "parsed_bytes", std::to_string(bytes) } });
    respond(exchange, statusContentTooLarge, "");
    return false;
}

void batches::refuseForWantOfRoom(const http::exchange_ptr& exchange, const batch_head& head, std::string_view what) const
{
    logEvent(log_level::Warning, "batch", "refused", { { "batch", head.id.str() }, { "error", std::string(what) } });
    exchange->answer(statusUnavailable, platform::refusalHeaders(request_id(head.id.str()), noRoomRetryAfter), std::string_view());
}

void batches::writeSubmit(const batch_id& id)
{
    auto& submit = m_pendingSubmits.at(id);
    submit.writePending = true;
    kv_transaction change;
    change.compares.push_back({ headKey(id), kv_field::ModRevision, {}, {} });
    change.then.emplace_back(kv_put { headKey(id), encodeHead(submit.head), {} });
    change.then.emplace_back(kv_put { submissionKey(id), submit.body, {} });
    m_context.store.call("batch accept", std::move(change), [this, id](const result<kv_answer>& answer) { onSubmitWritten(id, answer); });
}

void batches::onSubmitWritten(const batch_id& id, const result<kv_answer>& answer)
{
    const auto found = m_pendingSubmits.find(id);
    if (found == m_pendingSubmits.end())
        return;
    auto& submit = found->second;
    submit.writePending = false;

    if (answer && answer->succeeded) {
        // Step 1. The write succeeded: this instance owns the batch.
        markAccepted(submit, answer->at);
        finishSubmit(id, statusAccepted);
    } else if (answer) {
        // Step 2. The key exists: written by an earlier attempt of ours or by another instance.
        const auto* entry = answer->entries.empty() ? nullptr : &answer->entries.front();
        const auto head = entry == nullptr ? std::nullopt : decodeHead(id, entry->value);
        if (head)
            logEvent(log_level::Info, "batch", "in_store", { { "batch", id.str() }, { "owner", head->owner.str() }, { "incarnation", std::to_string(head->ownerIncarnation.value()) }, { "owner_alive", isAlive(*head) ? "1" : "0" }, { "fence", std::to_string(entry->modRevision.value()) } });
        if (head && isOwnCreation(*entry, submit.head))
            markAccepted(submit, entry->modRevision);
        else if (m_owned.contains(id) && !m_owned.at(id).accepted)
            onOwnershipLost(id, "another instance accepted it");
        if (head && !m_owned.contains(id)) {
            rememberForeignHead({ *head, entry->modRevision });
            recordOrphan(*head, entry->modRevision); // if its owner is gone: the submission is answered as accepted, so it must be run
        }
        finishSubmit(id, !head ? statusServerError : head->account == submit.head.account ? statusAccepted
                                                                                          : statusConflict);
    } else {
        // Step 3. Not written, or outcome unknown: retry the same create-only write. The items
        // run meanwhile, so that an outage of the store doesn't delay the training step.
        submit.outcomeUnknown = submit.outcomeUnknown || answer.error().code == error_code::Unknown;
        submit.retryAt = m_context.now + openWriteRetryDelay;
        logEvent(log_level::Warning, "batch", "submit_waits", { { "batch", id.str() }, { "error", toString(answer.error()) } });
        runBeforeAcceptance(submit);
    }
}

// Starts the items of a batch before its submission is in the store. Does nothing if the
// batch can't be run here; finishSubmit() drops it if it is not accepted in the end.
void batches::runBeforeAcceptance(const pending_submit& submit)
{
    assert(!m_adoptions.contains(submit.head.id));
    if (m_owned.contains(submit.head.id) || m_stopping)
        return;
    if (!takeOwnership(submit.head, {}, submit.body, {}, 0))
        return;
    m_owned.at(submit.head.id).accepted = false;
    m_runner.deferWrites(submit.head.id);
}

void batches::markAccepted(const pending_submit& submit, revision headRevision)
{
    const auto owned = m_owned.find(submit.head.id);
    if (owned == m_owned.end()) {
        takeOwnership(submit.head, headRevision, submit.body, {}, 0);
        return;
    }
    owned->second.accepted = true;
    owned->second.headRevision = headRevision;
    m_runner.accept(submit.head.id);
}

// True if no caller waits any more and the batch is certainly not in the store, or is not kept any longer.
bool batches::isAbandoned(const pending_submit& submit) const
{
    if (m_context.wall > keptUntil(submit.head, kept(), {}))
        return true;
    return !submit.outcomeUnknown && std::all_of(submit.waiters.begin(), submit.waiters.end(), [](const http::exchange_ptr& waiter) { return waiter->callerDisconnected(); });
}

// Retries the write, for its callers until they have to be answered. One that may have taken effect is open after that
// too: the store may hold a head that names this instance, and then no other one runs the batch.
void batches::continueSubmit(const batch_id& id)
{
    auto& submit = m_pendingSubmits.at(id);
    if (m_context.now >= submit.giveUpAt) {
        // A 500 leaves the outcome open, as items may already have run.
        for (const auto& waiter : std::exchange(submit.waiters, {}))
            respond(waiter, statusServerError, "");
    }
    if (isAbandoned(submit))
        finishSubmit(id, statusServerError);
    else
        writeSubmit(id);
}

void batches::finishSubmit(const batch_id& id, int status)
{
    auto submit = std::move(m_pendingSubmits.at(id));
    m_pendingSubmits.erase(id);
    logEvent(log_level::Info, "batch", "submitted", { { "batch", id.str() }, { "status", std::to_string(status) }, { "account", submit.head.account.str() } });
    for (const auto& waiter : submit.waiters)
        respond(waiter, status, "");
    if (m_owned.contains(id) && !m_owned.at(id).accepted)
        onOwnershipLost(id, "it was not accepted as this instance's");
}

bool batches::ownsAccepted(const batch_id& id) const
{
    const auto owned = m_owned.find(id);
    return owned != m_owned.end() && owned->second.accepted;
}

batches::owned_batch* batches::findOwned(const batch_id& id, std::uint64_t ownership)
{
    const auto owned = m_owned.find(id);
    return owned == m_owned.end() || owned->second.ownership != ownership ? nullptr : &owned->second;
}

// What the configuration in force says of the batch; empty if it has no such route.
std::optional<batch_route> batches::routeInForce(const batch_head& head) const
{
    const auto* route = m_context.site ? m_context.site->find(head.host, head.path) : nullptr;
    if (route == nullptr || route->kind != route_kind::Batch)
        return std::nullopt;
    const auto* service = m_context.site->service(route->services.front().service);
    batch_route out { *route, service == nullptr ? 1 : service->tokensPerEvent };
    out.route.priority = m_context.site->priorityOf(*route, head.account);
    out.route.allowedRegions = m_context.site->allowedRegions(route, head.account);
    return out;
}

// Adds the batch to the runner, which runs its items. Returns false if the submission can't
// be decoded, or if its head names no route and it has been removed.
bool batches::takeOwnership(const batch_head& head, revision headRevision, std::string_view body, std::vector<batch_result> listed, std::uint32_t pages)
{
    assert(!m_owned.contains(head.id) && !m_runner.has(head.id));
    auto spec = platform::decodeSubmission(head, body);
    const auto decided = head.decided ? head.decided : routeInForce(head);
    if (!spec || !decided) {
        logEvent(log_level::Warning, "batch", "not_run", { { "batch", head.id.str() }, { "reason", spec ? "its route was removed" : toString(spec.error()) } });
        return false;
    }
    logEvent(log_level::Info, "batch", "owned",
        { { "batch", head.id.str() }, { "step", std::to_string(spec->step) }, { "model", spec->model.str() }, { "least", std::to_string(spec->minVersion.value()) },
            { "items", std::to_string(spec->items.size()) }, { "listed", std::to_string(listed.size()) }, { "fence", std::to_string(headRevision.value()) } });
    http::memory_claim memory(m_context.clientMemory);
    memory.force(memory_use::Batch, batchBytes(body.size(), spec->items.size())); // a batch that is accepted must be run
    m_owned[head.id] = { ++m_lastOwnership, head, true, false, headRevision, false, {}, {}, {}, std::move(memory) };
    m_foreignHeads.erase(head.id);
    if (headRevision != revision())
        sendOwnerHint(head, headRevision);
    m_runner.add(std::move(*spec), decided->route, decided->tokensPerEvent, std::move(listed), pages, m_context.now, m_context.wall);
    placeBatch(head);
    return true;
}

std::optional<item_places> batches::placesOf(const batch_head& head) const
{
    const auto inForce = routeInForce(head);
    const auto& decided = head.decided ? head.decided : inForce;
    if (!decided)
        return std::nullopt;
    return placeItems(*decided, inForce, m_context.site ? m_context.site->allowedRegions(nullptr, head.account) : region_list());
}

void batches::placeBatch(const batch_head& head)
{
    const auto places = placesOf(head);
    if (!places || *places == m_runner.places(head.id))
        return;
    const auto names = [](const std::vector<service_id>& services) {
        std::string out;
        for (const auto& service : services)
            out += (out.empty() ? "" : " ") + service.str();
        return out;
    };
    logEvent(log_level::Info, "batch", "moved",
        { { "batch", head.id.str() }, { "services", names(places->services) }, { "others", names(places->otherServices) }, { "version", std::to_string(m_context.site->version) } });
    m_runner.place(head.id, *places);
}

// Applies a new configuration to the batches that this instance owns.
void batches::placeItemsInForce()
{
    if (m_context.site == m_placedBy)
        return;
    m_placedBy = m_context.site;
    for (const auto& [id, owned] : m_owned) {
        if (!owned.head.ended)
            placeBatch(owned.head);
    }
}

body_regions batches::regionsOf(const batch_head& head) const
{
    if (const auto places = placesOf(head))
        return { places->regions, head.originRegion };
    if (!m_context.site)
        return {};
    return { m_context.site->allowedRegions(m_context.site->find(head.host, head.path), head.account), head.originRegion };
}

// Whether a live target of the route is in an allowed region; also true if all regions are allowed.
bool batches::hasAllowedTarget(const batch_head& head) const
{
    const auto where = regionsOf(head);
    const auto* route = m_context.site ? m_context.site->find(head.host, head.path) : nullptr;
    if (!where.allowed || route == nullptr)
        return true;
    const auto& table = m_context.targets.table();
    const auto slots = table.all();
    return std::any_of(slots.begin(), slots.end(), [&](target_slot slot) {
        const auto& listed = table.record(slot).listed;
        return table.isLive(slot) && isAllowed(where.allowed, listed.region)
            && std::any_of(route->services.begin(), route->services.end(), [&listed](const weighted_service& weighted) { return weighted.service.str() == listed.pool.str(); });
    });
}

// The instance that runs all batches of the route, chosen by rendezvous hashing: it knows
// all of the route's work on its replicas, keeps its connections to them from one training
// step to the next, and has the texts of items that are submitted again. Null if that is
// this instance, if the route is unknown, or if we are stopping and no other member is left.
const member* batches::preferredOwner(const batch_head& head) const
{
    const auto* route = m_context.site ? m_context.site->find(head.host, head.path) : nullptr;
    const instance_id self(m_context.settings.instance.name);
    auto places = m_members.places();
    if (m_stopping)
        std::erase_if(places, [&self](const instance_place& place) { return place.name == self; });
    const auto names = ownersFor(places, regionsOf(head));
    if (route == nullptr || names.empty())
        return nullptr;
    const auto* chosen = rendezvousFirst(route->host + route->prefix, names);
    return *chosen == self ? nullptr : m_members.find(*chosen);
}

// If the other instance doesn't accept the submission, this instance does. That is safe
// even if both try, as both write the same create-only key.
void batches::forwardSubmit(const http::exchange_ptr& exchange, const batch_head& head, const member& owner, submit_options options)
{
    auto outgoing = peerCall(owner.address, "/submit", {}, std::chrono::duration_cast<std::chrono::milliseconds>(defaultSubmitTimeout));
    outgoing.sharedBody = http::bodyOf(exchange);
    outgoing.method = "POST"; // also with an empty body, so that the owner reports what is wrong with it
    outgoing.headers = { { "x-batch", head.id.str() }, { "x-host", head.host }, { "x-path", head.path }, { "x-account", head.account.str() }, { "x-region", head.originRegion.str() } };
    outgoing.unacknowledgedTimeout = targetUnacknowledgedTimeout;
    const auto transfer = m_context.net.call(std::move(outgoing), [this, exchange, head, options](const http::answer& answer) {
        std::erase_if(m_forwardedSubmits, [&exchange](const forwarded_submit& forwarded) { return forwarded.exchange == exchange; });
        const bool refused = answer.status == statusUnavailable || answer.status == statusServerError;
        if (answer.outcome == http::transfer_result::Complete && !refused) {
            respond(exchange, answer.status, answer.body); // says what is wrong with a malformed one
            return;
        }
        logEvent(log_level::Warning, "batch", "not_passed_on", { { "batch", head.id.str() }, { "status", std::to_string(answer.status) }, { "detail", answer.detail } });
        onSubmit(exchange, head, { options.deadline, false });
    });
    m_forwardedSubmits.push_back({ exchange, transfer });
}

bool batches::onPeerRequest(const http::exchange_ptr& exchange)
{
    const auto header = [&exchange](std::string_view name) { return std::string(http::findHeader(exchange->headers, name)); };
    if (exchange->path == "/submit") {
        batch_head head;
        head.id = batch_id(header("x-batch"));
        head.host = header("x-host");
        head.path = header("x-path");
        head.account = client_account_id(header("x-account"));
        head.originRegion = region_id(header("x-region"));
        onSubmit(exchange, std::move(head), { std::nullopt, false });
        return true;
    }
    if (exchange->path == "/owner" && exchange->method == "POST") {
        answerOwnerNotice(exchange);
        return true;
    }
    if (exchange->path == "/owner") {
        const batch_id id(exchange->query);
        const auto owned = m_owned.find(id);
        const auto foreign = m_foreignHeads.find(id);
        if (owned != m_owned.end())
            respond(exchange, statusOk, encodeHead(owned->second.head));
        else if (foreign != m_foreignHeads.end())
            respond(exchange, statusOk, encodeHead(foreign->second.known.head));
        else
            respond(exchange, statusNotFound, "");
        return true;
    }
    if (exchange->path == "/heads") {
        answerHeadsRequest(exchange);
        return true;
    }
    if (exchange->path == orphansPath) {
        answerOrphans(exchange);
        return true;
    }
    if (exchange->path == "/handover") {
        answerHandOver(exchange);
        return true;
    }
    if (const auto call = platform::decodeBatchCall(exchange->method, exchange->path, exchange->query)) {
        const auto owned = m_owned.find(call->id);
        if (owned == m_owned.end() || !owned->second.accepted || owned->second.head.account.str() != header("x-account")) {
            respond(exchange, statusConflict, "");
            return true;
        }
        answerOwned(exchange, *call, std::chrono::milliseconds(std::strtoll(header("x-wait").c_str(), nullptr, 10)));
        return true;
    }
    return false;
}

void batches::beginStop() { m_stopping = true; }

bool batches::allHandedOver() const { return openCount() == 0 && m_pendingSubmits.empty() && m_openHandOvers == 0; }

void batches::tick()
{
    // Step 1. Cancel forwarded submissions whose caller has disconnected; retry failed writes.
    for (const auto& forwarded : m_forwardedSubmits) {
        if (forwarded.exchange->callerDisconnected())
            m_context.net.cancel(forwarded.transfer);
    }
    std::erase_if(m_forwardedSubmits, [](const forwarded_submit& forwarded) { return forwarded.exchange->callerDisconnected(); });
    std::vector<batch_id> retryDue;
    for (const auto& [id, submit] : m_pendingSubmits) {
        if (!submit.writePending && m_context.now >= submit.retryAt)
            retryDue.push_back(id);
    }
    for (const auto& id : retryDue)
        continueSubmit(id);

    // Step 2. Take over batches whose owner is gone.
    readCollectedHeads();
    continueAdoptions();
    adoptOrphans();
    detail::retryDue(m_foreignEnds, m_context.now, [this](foreign_end end) { writeForeignEnd(std::move(end)); });
    detail::retryDue(m_ownerNotices, m_context.now, [this](owner_notice notice) { notifyOwner(std::move(notice)); });
    holdItemsInDoubt();

    // Step 3. Actions of the runner, pending ends, hand-overs, waiting reads, expiry.
    placeItemsInForce();
    execute(m_runner.tick(m_context.now));
    std::vector<batch_id> endRetryDue;
    std::vector<batch_id> handOverDue;
    for (const auto& [id, owned] : m_owned) {
        if (!owned.endWaiters.empty() && !owned.endWritePending && m_context.now >= owned.endRetryAt && !m_runner.writing(id))
            endRetryDue.push_back(id);
        if (m_stopping && owned.accepted && !owned.head.ended && !owned.endWritePending && !m_runner.writing(id))
            handOverDue.push_back(id);
    }
    for (const auto& id : endRetryDue)
        writeEnd(id);
    for (const auto& id : handOverDue) {
        if (m_owned.contains(id) && m_owned.at(id).endWaiters.empty())
            handOver(id);
    }
    answerReads();
    expire();
}

} // namespace lovagerail::edge
