// Routes and authenticates requests of callers, and moves bytes between callers and targets.
#include "edge/caller_frontend.h"

#include "edge/batches.h"
#include "edge/departures.h"
#include "edge/software_versions.h"
#include "edge/stream_directory.h"
#include "edge/target_limits.h"
#include "edge/target_link.h"
#include "edge/usage_duty.h"
#include "http_status.h"
#include "log.h"

#include <algorithm>
#include <set>
#include <xxhash.h>

namespace lovagerail::edge {

namespace {

    constexpr duration maxOriginWait = std::chrono::milliseconds(1600); // the list of targets is usually confirmed within this time
    constexpr duration unknownOriginRetryAfter = std::chrono::milliseconds(300);
    constexpr duration lastAnswerTime = std::chrono::milliseconds(100); // before the exit, for last answers to reach their callers

    std::chrono::milliseconds toMilliseconds(duration span) { return std::chrono::duration_cast<std::chrono::milliseconds>(span); }

    transfer_state stateOf(http::transfer_result outcome)
    {
        switch (outcome) {
        case http::transfer_result::Complete:
            return transfer_state::Complete;
        case http::transfer_result::Unproven:
            return transfer_state::Unproven;
        case http::transfer_result::NotSent:
            return transfer_state::NotSent;
        case http::transfer_result::NoAnswer:
            return transfer_state::NoAnswer;
        case http::transfer_result::Truncated:
            return transfer_state::Truncated;
        }
        return transfer_state::NoAnswer;
    }

    std::string targetOf(const http::exchange& exchange)
    {
        return exchange.query.empty() ? exchange.path : exchange.path + "?" + exchange.query;
    }

    bool hasBatchRoute(const site_config& site, std::string_view host)
    {
        return std::any_of(site.routes.begin(), site.routes.end(), [&](const site_route& route) {
            return route.kind == route_kind::Batch && site.find(host, route.prefix) == &route;
        });
    }

    std::string msText(duration span) { return std::to_string(toMilliseconds(span).count()); }

} // namespace

caller_frontend::caller_frontend(context& shared, target_link& link, usage_duty& usage, quarantine& blameMarks, departures& leavingTargets, target_limits& limits, stream_directory& streams, software_versions& versions)
    : m_context(shared)
    , m_link(link)
    , m_usage(usage)
    , m_departures(leavingTargets)
    , m_limits(limits)
    , m_streams(streams)
    , m_versions(versions)
    , m_forwarding({}, shared.targets, blameMarks)
{
}

template <typename Body>
void caller_frontend::respond(const http::exchange_ptr& exchange, int status, http::header_list headers, Body&& body) const
{
    // During shutdown, close keep-alive connections with their next answer.
    if (m_context.stopping)
        headers.emplace_back("Connection", "close");
    exchange->answer(status, std::move(headers), std::forward<Body>(body));
}

void caller_frontend::refuse(const http::exchange_ptr& exchange, const request_id& id, int status, duration retryAfter, std::string_view reason)
{
    logEvent(log_level::Info, "front", "refused", { { "request", id.str() }, { "status", std::to_string(status) }, { "reason", std::string(reason) }, { "path", exchange->path } });
    respond(exchange, status, platform::refusalHeaders(id, toMilliseconds(retryAfter)), "");
}

bool caller_frontend::authenticate(const http::exchange_ptr& exchange, const platform::caller_headers& caller, client_account_id& account)
{
    const auto& site = *m_context.site;
    if (!site.requiresKeys)
        return true;
    const auto keyEntry = site.accountOfKey.find(caller.key);
    if (keyEntry == site.accountOfKey.end()) {
        refuse(exchange, caller.id, statusUnauthorized, {}, "unknown key");
        return false;
    }
    account = keyEntry->second;
    return true;
}

void caller_frontend::onRequest(const http::exchange_ptr& exchange)
{
    auto caller = platform::decodeCaller(exchange->headers);
    if (!m_context.site) {
        refuse(exchange, caller.id, statusUnavailable, noConfigRetryAfter, "no configuration yet");
        return;
    }
    const auto site = m_context.site;

    // Step 1. Reads and ends of batches have fixed paths outside the configured routes. A batch outlives its route,
    // so they are served too where no other route has taken their paths since.
    const auto* route = site->find(caller.host, exchange->path);
    if (const auto call = platform::decodeBatchCall(exchange->method, exchange->path, exchange->query); call && (route == nullptr || hasBatchRoute(*site, caller.host) || m_batches->isKnown(call->id))) {
        client_account_id account;
        if (authenticate(exchange, caller, account))
            m_batches->onBatchCall(exchange, *call, account, caller.wait.value_or(std::chrono::milliseconds(0)));
        return;
    }

    // Step 2. Find the route, check the key and the limits.
    if (route == nullptr) {
        refuse(exchange, caller.id, statusNotFound, {}, "no route");
        return;
    }
    client_account_id account;
    if (!route->open && !authenticate(exchange, caller, account))
        return;
    if (exchange->body.size() > site->limits.bodyBytes) {
        refuse(exchange, caller.id, statusContentTooLarge, {}, "body too large");
        return;
    }
    if (m_context.stopping && !endsBeforeExit(exchange, caller, *route)) {
        refuse(exchange, caller.id, statusUnavailable, {}, "stopping");
        return;
    }
    if (route->kind == route_kind::Stream && caller.lastEventId.value_or(0) > 0) {
        resumeStream(exchange, std::move(caller), *route, account);
        return;
    }
    if (route->kind != route_kind::Batch) {
        startForward(exchange, std::move(caller), *route, account, {});
        return;
    }
    if (exchange->method != "POST" || caller.id.empty()) {
        refuse(exchange, caller.id, statusBadRequest, {}, "a batch is submitted by POST, with an id");
        return;
    }
    if (caller.id.str().size() > maxBatchIdBytes) {
        refuse(exchange, caller.id, statusBadRequest, {}, "the id is too long for a key of the store");
        return;
    }
    batch_head head;
    head.id = batch_id(caller.id.str());
    head.host = caller.host;
    head.path = exchange->path;
    head.account = account;
    head.originRegion = m_context.ownRegion();
    m_batches->onSubmit(exchange, std::move(head), { caller.deadline, true });
}

// While this instance is stopping: whether the request ends before the process does. One that came on a
// kept connection must do so surely, as its caller finds another instance by a new connection. So must one that
// may run once: a cut would leave its caller in doubt, where a refusal lets it try again. Others on new
// connections, which the load balancer still opens for a while, have their time cut short instead.
bool caller_frontend::endsBeforeExit(const http::exchange_ptr& exchange, platform::caller_headers& caller, const site_route& route)
{
    const auto timeLeft = toMilliseconds(m_context.exitAt - lastAnswerTime - m_context.now);
    const bool hasTimeout = route.kind != route_kind::Batch && route.timeout > duration {};
    const auto deadline = caller.deadline.value_or(std::chrono::milliseconds::max());
    const auto limit = hasTimeout ? std::min(deadline, toMilliseconds(route.timeout)) : deadline;
    caller.deadline = std::min(deadline, timeLeft);
    const bool mayBeCutShort = !exchange->onKeptConnection && (route.kind == route_kind::Batch || route.idempotent());
    return timeLeft.count() > 0 && (limit <= timeLeft || mayBeCutShort);
}

void caller_frontend::beginStop()
{
    m_forwarding.setLatestEnd(m_context.exitAt - lastAnswerTime);
}

// Goes on with a stream where it began. Without that a second run would be joined to the first, so
// the request is refused as not run.
void caller_frontend::resumeStream(const http::exchange_ptr& exchange, platform::caller_headers caller, const site_route& route, const client_account_id& account)
{
    std::set<pool_id> pools;
    for (const auto& weighted : route.services)
        pools.emplace(weighted.service.str());
    auto patience = maxOriginWait;
    if (caller.deadline)
        patience = std::min<duration>(patience, *caller.deadline / 2);
    const auto stream = caller.resumes;
    const software_versions::found_function goOn = [this, exchange, caller = std::move(caller), route, account, askedAt = m_context.now](const std::optional<target_software>& software) {
        if (!software) {
            refuse(exchange, caller.id, statusUnavailable, unknownOriginRetryAfter, "no instance knows where the stream began");
            return;
        }
        auto delayed = caller;
        if (delayed.deadline)
            *delayed.deadline -= toMilliseconds(m_context.now - askedAt);
        startForward(exchange, std::move(delayed), route, account, *software);
    };
    if (stream.empty()) {
        m_versions.findOnly(std::move(pools), patience, goOn);
        return;
    }
    m_streams.find(stream, [this, pools = std::move(pools), patience, goOn](const std::optional<target_software>& software) {
        if (software)
            goOn(software);
        else
            m_versions.findOnly(pools, patience, goOn);
    });
}

void caller_frontend::startForward(const http::exchange_ptr& exchange, platform::caller_headers caller, const site_route& route, const client_account_id& account, const target_software& software)
{
    const forward_id id(++m_lastForwardId);
    open_forward forward;
    forward.exchange = exchange;
    forward.body = http::bodyOf(exchange);
    forward.callerId = caller.id;
    forward.method = exchange->method;
    forward.target = targetOf(*exchange);
    forward.host = caller.host;
    forward.headers = std::move(caller.forwarded);
    forward.account = account;
    forward.route = route.id.str();
    forward.streams = route.kind == route_kind::Stream;
    forward.maxAttempts = route.maxAttempts;
    forward.arrived = m_context.now;
    forward.where = { m_context.site->allowedRegions(&route, account), m_context.ownRegion() };
    const auto allowed = forward.where.allowed;
    forward.stream = software.empty() || caller.resumes.empty() ? caller.id : caller.resumes;
    m_forwards[id] = std::move(forward);

    forward_request request;
    request.id = id;
    request.callerId = caller.id;
    request.route = route;
    request.route.allowedRegions = allowed;
    request.software = software;
    request.account = account;
    request.fingerprint = fingerprintOf(account, exchange->method, caller.host + targetOf(*exchange), exchange->body);
    request.deadline = caller.deadline;
    request.lastEventId = caller.lastEventId;
    request.promptBlocks = hashParts(caller.model, caller.prompt);
    request.promptTokens = caller.promptTokens;
    request.expectedTokens = caller.expectedTokens;
    request.counted = !account.empty();
    execute(m_forwarding.arrive(std::move(request), m_context.now));
}

void caller_frontend::callService(const judge_call& call, duration deadline, const client_account_id& account, const region_id& origin, service_callback onAnswer)
{
    const auto* route = m_context.site ? m_context.site->find(call.host, call.path) : nullptr;
    if (route == nullptr || route->kind == route_kind::Batch) {
        onAnswer({});
        return;
    }
    const forward_id id(++m_lastForwardId);
    open_forward forward;
    const body_regions where { m_context.site->allowedRegions(route, account), origin };
    forward.where = where;
    forward.onServiceAnswer = std::move(onAnswer);
    forward.callerId = call.id;
    forward.method = "POST";
    forward.target = call.path;
    forward.host = call.host;
    auto body = std::make_shared<http::byte_buffer>();
    body->append(call.body);
    forward.body = std::move(body);
    forward.route = route->id.str();
    forward.maxAttempts = route->maxAttempts;
    forward.arrived = m_context.now;
    m_forwards[id] = std::move(forward);

    forward_request request;
    request.id = id;
    request.callerId = call.id;
    request.route = *route;
    // Only the status and the proof of the answer count, so it is no stream, and the call may be repeated.
    request.route.kind = route_kind::Idempotent;
    request.route.allowedRegions = where.allowed;
    request.route.timeout = {}; // only the deadline applies
    request.deadline = deadline;
    request.fingerprint = fingerprintOf({}, "POST", call.host + call.path, call.body);
    request.counted = false;
    request.isOwed = true;
    execute(m_forwarding.arrive(std::move(request), m_context.now));
}

// --- Actions -----------------------------------------------------------------

void caller_frontend::execute(std::vector<forward_action> actions)
{
    for (auto& action : actions) {
        if (const auto* dispatch = std::get_if<forward_send>(&action))
            send(*dispatch);
        else if (const auto* cancellation = std::get_if<forward_cancel>(&action)) {
            const auto found = m_attempts.find(cancellation->attempt);
            if (found == m_attempts.end())
                continue;
            if (!cancellation->reason.empty())
                logRejected(found->second, cancellation->reason, "");
            m_link.cancel(found->second.transfer);
            m_attempts.erase(found);
        } else if (const auto* delivery = std::get_if<forward_deliver>(&action))
            deliver(*delivery);
        else if (const auto* begin = std::get_if<forward_begin_stream>(&action)) {
            const auto& attempt = m_attempts.at(begin->attempt);
            logEvent(log_level::Info, "front", "stream_begun",
                { { "request", m_forwards.at(begin->id).callerId.str() }, { "target", attempt.target.str() }, { "software", toString(attempt.software) } });
            m_forwards.at(begin->id).exchange->begin(attempt.head.status, attempt.head.forwarded);
        } else if (const auto* finish = std::get_if<forward_end_stream>(&action)) {
            const auto found = m_forwards.find(finish->id);
            if (finish->isComplete)
                found->second.exchange->end();
            else
                found->second.exchange->abort();
            logOutcome(found->second, finish->isComplete ? "stream_ended" : "stream_broken", 0, "");
            m_forwards.erase(found);
        } else if (const auto* refusal = std::get_if<forward_refuse>(&action)) {
            const auto found = m_forwards.find(refusal->id);
            auto forward = std::move(found->second);
            m_forwards.erase(found);
            logOutcome(forward, "own_answer", refusal->status, refusal->reason);
            if (forward.exchange)
                respond(forward.exchange, refusal->status, platform::refusalHeaders(forward.callerId, toMilliseconds(refusal->retryAfter)), "");
            else
                forward.onServiceAnswer({});
        } else if (const auto* start = std::get_if<forward_execution_started>(&action))
            m_usage.count(start->account, start->ago);
        else if (const auto* hedged = std::get_if<forward_hedged>(&action))
            logHedge(*hedged);
    }
}

void caller_frontend::logHedge(const forward_hedged& action) const
{
    const auto found = m_forwards.find(action.id);
    if (found == m_forwards.end())
        return;
    logEvent(log_level::Info, "front", "hedge_" + std::string(toString(action.event)),
        { { "request", found->second.callerId.str() }, { "route", found->second.route }, { "reason", std::string(action.reason) }, { "first", action.first.str() }, { "second", action.second.str() },
            { "waited_ms", msText(action.waited) }, { "extra_ms", msText(action.extraWork) }, { "saved_ms", msText(action.saved) },
            { "used_ms", msText(action.usage.extra) }, { "allowed_ms", msText(action.usage.allowed) } });
}

void caller_frontend::send(const forward_send& action)
{
    auto& forward = m_forwards.at(action.id);
    const auto firstKind = forward.exchange ? send_kind::First : send_kind::Judge;
    m_limits.onSend(action.choice.target, std::exchange(forward.sent, true) ? send_kind::Repeated : firstKind);
    if (action.lastEventId) {
        logEvent(log_level::Info, "front", "stream_resumed",
            { { "request", forward.callerId.str() }, { "target", action.choice.target.str() }, { "software", toString(action.choice.software) }, { "after", std::to_string(*action.lastEventId) } });
    }
    platform::target_call call;
    call.id = forward.callerId;
    call.host = forward.host;
    call.target = action.choice.target;
    call.account = forward.account;
    if (action.deadline)
        call.deadline = toMilliseconds(*action.deadline);
    call.lastEventId = action.lastEventId;
    call.forwarded = forward.headers;

    http::request request;
    request.method = forward.method;
    request.url = action.choice.address + "/";
    request.target = forward.target;
    request.headers = platform::encodeTargetCall(call);
    request.sharedBody = forward.body;
    request.reuse = action.repeatable ? http::connection_reuse::Allowed : http::connection_reuse::Forbidden;
    request.connectTimeout = targetConnectTimeout;
    request.unacknowledgedTimeout = targetUnacknowledgedTimeout;
    if (forward.streams)
        request.maxBodyBytes = 0; // onBytes() bounds it
    auto& openAttempt = m_attempts[action.attempt];
    if (forward.exchange)
        openAttempt.body = forward.exchange->newBuffer();
    openAttempt.forward = action.id;
    openAttempt.target = action.choice.target;
    openAttempt.targetIncarnation = action.choice.incarnation;
    openAttempt.software = action.choice.software;
    openAttempt.sentAt = m_context.now;
    openAttempt.transfer = m_link.open(std::move(request), action.choice.target, action.choice.incarnation, path_rule::Any, forward.where, [this, attempt = action.attempt](http::event& event) { onTransfer(attempt, event); });
}

void caller_frontend::onTransfer(attempt_id attempt, http::event& event)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end())
        return;
    if (event.what == http::event::kind::Head)
        onHead(attempt, found->second, event);
    else if (event.what == http::event::kind::Body)
        onBytes(attempt, found->second, event.bytes);
    else
        onEnd(attempt, found->second, event);
}

void caller_frontend::onEnd(attempt_id attempt, const open_attempt& openAttempt, const http::event& event)
{
    // A stream that ends within an event has broken off, whatever its framing says.
    auto end = stateOf(event.outcome);
    const bool endsWithinEvent = openAttempt.streaming && !openAttempt.reader.remainder().empty();
    if (endsWithinEvent && (end == transfer_state::Complete || end == transfer_state::Unproven))
        end = transfer_state::Truncated;
    if (end != transfer_state::Complete || openAttempt.head.status >= statusBadRequest) {
        const auto& forward = m_forwards.at(openAttempt.forward);
        logEvent(log_level::Info, "front", "attempt_failed",
            { { "request", forward.callerId.str() }, { "target", openAttempt.target.str() }, { "status", std::to_string(event.status) },
                { "not_run", openAttempt.head.notRun ? "1" : "0" }, { "detail", endsWithinEvent ? "the stream ended within an event" : event.detail },
                { "framing", std::string(toString(event.framing)) }, { "connection", std::string(toString(event.connection)) },
                { "took_ms", msText(m_context.now - openAttempt.sentAt) }, { "after_ms", msText(m_context.now - forward.arrived) } });
    }
    answer_digest digest;
    if (end == transfer_state::Unproven)
        digest = answer_digest(XXH64(openAttempt.body.data(), openAttempt.body.size(), static_cast<XXH64_hash_t>(openAttempt.head.status)));
    execute(m_forwarding.done(attempt, end, m_context.now, digest));
    m_attempts.erase(attempt);
}

void caller_frontend::onHead(attempt_id attempt, open_attempt& openAttempt, const http::event& event)
{
    openAttempt.head = platform::decodeTargetHead(event.status, event.headers);
    const auto& openForward = m_forwards.at(openAttempt.forward);
    forward_head head;
    head.status = openAttempt.head.status;
    head.echoesId = platform::isAnswerTo(openAttempt.head, openForward.callerId);
    head.signedByTarget = !openAttempt.head.proof.empty();
    head.notRun = openAttempt.head.notRun;
    head.isEventStream = openAttempt.head.isEventStream;
    recordTargetState(openAttempt.target, openAttempt.targetIncarnation, openAttempt.head, openAttempt.sentAt);
    execute(m_forwarding.head(attempt, head, m_context.now));
    // The actions may have cancelled this attempt.
    const auto current = m_attempts.find(attempt);
    if (current != m_attempts.end())
        current->second.streaming = m_forwarding.isStreaming(attempt);
}

void caller_frontend::onBytes(attempt_id attempt, open_attempt& openAttempt, const std::string& bytes)
{
    if (!openAttempt.streaming) {
        if (openAttempt.body.size() + bytes.size() > http::maxAnswerBytes || !openAttempt.body.append(bytes, http::maxAnswerBytes))
            breakOff(attempt);
        return;
    }
    const auto forward = openAttempt.forward;
    for (const auto& event : openAttempt.reader.feed(bytes)) {
        const event_digest digest(XXH64(event.raw.data(), event.raw.size(), 0));
        const auto order = m_forwarding.streamEvent(attempt, event.id, digest, m_context.now);
        if (order == event_order::Repeated)
            continue;
        if (order == event_order::Broken) {
            rejectEvent(attempt, event);
            return;
        }
        auto& open = m_forwards.at(forward);
        if (!std::exchange(open.originKnown, true) && !open.stream.empty())
            m_streams.begun(open.stream, openAttempt.software);
        if (!open.exchange->append(event.raw)) {
            execute(m_forwarding.callerDisconnected(forward, m_context.now));
            m_forwards.erase(forward);
            return;
        }
    }
    if (openAttempt.reader.isTooLong())
        breakOff(attempt);
}

// Ends an attempt whose answer goes on without end.
void caller_frontend::breakOff(attempt_id attempt)
{
    const auto found = m_attempts.find(attempt);
    logEvent(log_level::Warning, "front", "broken_off", { { "request", m_forwards.at(found->second.forward).callerId.str() }, { "target", found->second.target.str() } });
    m_link.cancel(found->second.transfer);
    execute(m_forwarding.done(attempt, transfer_state::Truncated, m_context.now));
    m_attempts.erase(attempt);
}

// Ends an attempt whose events don't go on with the stream that the caller gets.
void caller_frontend::rejectEvent(attempt_id attempt, const platform::stream_event& event)
{
    const auto found = m_attempts.find(attempt);
    logRejected(found->second, "an event that is not the next one", event.id ? std::to_string(*event.id) : "without an id");
    m_link.cancel(found->second.transfer);
    m_attempts.erase(found);
    execute(m_forwarding.done(attempt, transfer_state::Rejected, m_context.now));
}

void caller_frontend::logRejected(const open_attempt& rejected, std::string_view reason, const std::string& event) const
{
    logEvent(log_level::Warning, "front", "answer_rejected",
        { { "request", m_forwards.at(rejected.forward).callerId.str() }, { "target", rejected.target.str() }, { "status", std::to_string(rejected.head.status) }, { "reason", std::string(reason) }, { "event", event } });
}

void caller_frontend::deliver(const forward_deliver& action)
{
    const auto found = m_forwards.find(action.id);
    auto forward = std::move(found->second);
    m_forwards.erase(found);
    auto& attempt = m_attempts.at(action.attempt);
    if (forward.exchange) {
        logOutcome(forward, action.isProven ? "delivered" : "delivered_unproven", attempt.head.status, attempt.target.str());
        if (action.isProven)
            respond(forward.exchange, attempt.head.status, attempt.head.forwarded, std::move(attempt.body));
        else
            forward.exchange->answerUntilClose(attempt.head.status, attempt.head.forwarded, std::move(attempt.body));
        return;
    }
    logOutcome(forward, "own_call", attempt.head.status, attempt.target.str());
    forward.onServiceAnswer({ attempt.head.status, attempt.head.proof, action.serverFailures, forward.maxAttempts });
}

void caller_frontend::logOutcome(const open_forward& forward, std::string_view outcome, int status, const std::string& detail) const
{
    logEvent(log_level::Info, "front", outcome,
        { { "request", forward.callerId.str() }, { "route", forward.route }, { "account", forward.account.str() }, { "status", std::to_string(status) }, { "detail", detail },
            { "ms", msText(m_context.now - forward.arrived) } });
}

void caller_frontend::tick()
{
    // Step 1. What is known of attempts that are still connecting.
    for (const auto& [attempt, openAttempt] : m_attempts)
        m_forwarding.setUnsent(attempt, !m_link.mayHaveBeenSent(openAttempt.transfer));

    // Step 2. Cancel requests whose caller has disconnected, so that they keep no target busy.
    std::vector<forward_id> disconnected;
    for (const auto& [id, forward] : m_forwards) {
        if (forward.exchange && forward.exchange->callerDisconnected())
            disconnected.push_back(id);
    }
    for (const auto id : disconnected) {
        execute(m_forwarding.callerDisconnected(id, m_context.now));
        const auto found = m_forwards.find(id);
        logOutcome(found->second, "caller_gone", 0, "");
        m_forwards.erase(found);
    }

    // Step 3. Deadlines, hedges and delayed retries.
    m_forwarding.setWallTime(m_context.wall);
    execute(m_forwarding.tick(m_context.now));
}

void caller_frontend::recordTargetState(const target_id& target, incarnation incarnationNumber, const platform::target_head& head, instant sentAt)
{
    m_departures.observe(target, incarnationNumber, head);
    m_limits.observe(target, incarnationNumber, head, sentAt);
    const auto slot = m_context.targets.table().find(target);
    // A target that was removed from the list may still answer; don't add it again.
    if (!head.load || !slot || !m_context.targets.table().isLive(*slot))
        return;
    load_report report;
    report.target = target;
    report.incarnation = m_context.targets.table().record(*slot).listed.incarnation;
    report.running = head.load->running;
    report.waiting = head.load->waiting;
    report.slowdown = head.load->slowdown;
    report.measuredAt = m_context.now;
    m_context.targets.applyReport(report, m_context.now);
    recordSlowness(target, *slot, head.malformedSlowdown);
}

// Logs the beginning and the end of a target's lasting slowness, and the first malformed statement of it.
void caller_frontend::recordSlowness(const target_id& target, target_slot slot, bool malformed)
{
    // Both limits are outside the noise of shared machines, averaged over seconds; they are apart, so
    // that a target near one of them isn't logged again and again.
    constexpr double slowFrom = 2.5;
    constexpr double usualBelow = 1.5;
    const auto isUnlisted = [this](const target_id& id) {
        const auto found = m_context.targets.table().find(id);
        return !found || !m_context.targets.table().isLive(*found);
    };
    if (malformed && !m_malformedSlowdowns.contains(target)) {
        std::erase_if(m_malformedSlowdowns, isUnlisted);
        m_malformedSlowdowns.insert(target);
        logEvent(log_level::Warning, "targets", "malformed_slowdown", { { "target", target.str() } });
    }
    const double slowdown = m_context.targets.load().view(slot, m_context.now).lastingSlowdown;
    if (slowdown >= slowFrom && !m_slowTargets.contains(target)) {
        std::erase_if(m_slowTargets, isUnlisted);
        m_slowTargets.insert(target);
        logEvent(log_level::Info, "targets", "slow", { { "target", target.str() }, { "slowdown", std::to_string(slowdown) } });
    } else if (slowdown < usualBelow && m_slowTargets.erase(target) > 0) {
        logEvent(log_level::Info, "targets", "usual", { { "target", target.str() }, { "slowdown", std::to_string(slowdown) } });
    }
}

} // namespace lovagerail::edge
