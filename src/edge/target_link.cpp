// Chooses and changes the path of each request to a target, and turns what happens on it into
// evidence.
#include "edge/target_link.h"

#include "edge/peer_call.h"
#include "json_text.h"
#include "log.h"
#include "platform/headers.h"
#include "rendezvous.h"

#include <numeric>

namespace lovagerail::edge {

namespace {

    constexpr std::string_view duty = "targets";
    constexpr duration logPeriod = std::chrono::seconds(1);
    constexpr duration connectionsLogPeriod = std::chrono::seconds(10);
    constexpr duration updatePeriod = std::chrono::milliseconds(200);
    // Targets accept connections within a few milliseconds.
    constexpr duration hangingAfter = std::chrono::milliseconds(100);
    constexpr std::uint32_t minRoundsConnecting = 3; // a loop that is late itself proves nothing
    constexpr std::chrono::milliseconds doubtedConnectTimeout { 150 };
    constexpr std::chrono::milliseconds pathTestTimeout { 200 }; // within questionTimeout, which includes it at the other instance
    constexpr duration maxWaitForPath = std::chrono::milliseconds(350); // more than one question takes
    constexpr std::chrono::milliseconds questionTimeout { 250 };
    constexpr std::uint32_t maxRelaysTried = 4;

    connection_age ageOf(http::connection_use use) { return use == http::connection_use::Kept ? connection_age::Kept : connection_age::New; }
    path_failure failureOf(http::connection_use use) { return use == http::connection_use::None ? path_failure::NotConnected : path_failure::Silent; }

    // What became of the connection of a request that has ended.
    connection_end connectionEnd(const http::persistence& persistence, bool complete)
    {
        if (!complete || persistence.closes)
            return { connection_end::kind::Closed, {} };
        return { connection_end::kind::Kept, persistence.idleTimeout };
    }

    std::chrono::milliseconds toMilliseconds(duration span) { return std::chrono::duration_cast<std::chrono::milliseconds>(span); }

} // namespace

target_link::target_link(context& shared, members& membership)
    : m_context(shared)
    , m_members(membership)
{
}

std::uint64_t target_link::open(http::request request, const target_id& target, incarnation targetIncarnation, path_rule rule, body_regions where, transfers::event_function onEvent)
{
    const auto id = ++m_lastId;
    auto& call = m_calls[id];
    call.request = std::move(request);
    call.request.reportConnected = true;
    call.target = target;
    call.targetIncarnation = targetIncarnation;
    call.rule = rule;
    call.where = std::move(where);
    call.onEvent = std::move(onEvent);
    call.deadlineWrittenAt = m_context.now;
    start(id, call);
    return id;
}

void target_link::cancel(std::uint64_t id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    if (found->second.transfer != 0) {
        m_context.net.cancel(found->second.transfer);
        m_context.targets.connections().ended(id, { connection_end::kind::Cancelled, {} }, m_context.now);
    }
    m_calls.erase(found);
}

bool target_link::mayHaveBeenSent(std::uint64_t id) const
{
    const auto found = m_calls.find(id);
    return found == m_calls.end() || found->second.connected;
}

// The path for a request, through instances that may hold its body only.
target_path target_link::pathFor(const open_call& call)
{
    return m_paths.pathTo(call.target, m_context.now, [this, &call](const instance_id& name) {
        const auto* peer = m_members.find(name);
        return !call.where.allowed || (peer != nullptr && call.where.mayHold(peer->region));
    });
}

// Starts a request that has not begun, or of which nothing was sent. Waits if the path is undecided.
void target_link::start(std::uint64_t id, open_call& call)
{
    const auto path = call.rule == path_rule::OwnOnly ? target_path { path_kind::DirectDoubted } : pathFor(call);
    if (path.kind == path_kind::Relayed)
        startRelayed(id, call, path.relay);
    else if (path.kind != path_kind::Undecided)
        startDirect(id, call, path.kind == path_kind::DirectDoubted);
    else
        call.waitsUntil = m_context.now + maxWaitForPath;
}

void target_link::startDirect(std::uint64_t id, open_call& call, bool doubted)
{
    call.triedDirect = true;
    call.connected = false;
    call.persistence = {};
    call.relay = {};
    call.startedAt = m_context.now;
    call.roundsConnecting = 0;
    auto request = call.request;
    if (doubted)
        request.connectTimeout = std::min(request.connectTimeout, doubtedConnectTimeout);
    call.transfer = m_context.net.open(std::move(request), [this, id](http::event& event) { onDirectEvent(id, event); });
}

void target_link::startRelayed(std::uint64_t id, open_call& call, const instance_id& relay)
{
    const auto* peer = m_members.find(relay);
    if (peer == nullptr) {
        m_paths.relayLost(relay, m_context.now);
        call.transfer = 0;
        call.waitsUntil = m_context.now; // tried again by the next tick
        return;
    }
    ++call.relaysTried;
    call.connected = false;
    call.relay = relay;
    call.relayHead.reset();
    call.startedAt = m_context.now;
    call.transfer = m_context.net.open(encodeRelayedCall(call.request, call.target, call.targetIncarnation, peer->address), [this, id](http::event& event) { onRelayedEvent(id, event); });
}

// Brings the deadline that the request's headers state up to date; false if it has passed.
bool target_link::updateDeadline(open_call& call, instant now)
{
    const auto passed = toMilliseconds(now - call.deadlineWrittenAt);
    call.deadlineWrittenAt += passed;
    return platform::shortenDeadline(call.request.headers, passed);
}

// Sends a request that ended unsent on another path, or ends it if there is none.
void target_link::startAgain(std::uint64_t id, open_call& call, http::event& unsent)
{
    call.transfer = 0;
    call.connected = false;
    if (call.bodyDropped || call.rule == path_rule::OwnOnly || call.relaysTried >= maxRelaysTried || !updateDeadline(call, m_context.now)) {
        report(id, unsent);
        return;
    }
    const auto path = pathFor(call);
    const bool isDirect = path.kind == path_kind::Direct || path.kind == path_kind::DirectDoubted;
    if (path.kind == path_kind::Relayed)
        startRelayed(id, call, path.relay);
    else if (isDirect && call.triedDirect)
        report(id, unsent);
    else if (isDirect)
        startDirect(id, call, path.kind == path_kind::DirectDoubted);
    else
        call.waitsUntil = m_context.now + maxWaitForPath;
}

void target_link::endUnsent(std::uint64_t id, std::string detail)
{
    http::event unsent;
    unsent.what = http::event::kind::Done;
    unsent.outcome = http::transfer_result::NotSent;
    unsent.detail = std::move(detail);
    report(id, unsent);
}

// Passes an event to the owner of the request. Its function is moved out while it runs, as it may
// cancel this request.
void target_link::report(std::uint64_t id, http::event& event)
{
    const auto found = m_calls.find(id);
    auto function = std::move(found->second.onEvent);
    if (event.what == http::event::kind::Done) {
        m_calls.erase(found);
        function(event);
        return;
    }
    function(event);
    if (const auto current = m_calls.find(id); current != m_calls.end())
        current->second.onEvent = std::move(function);
}

void target_link::onDirectEvent(std::uint64_t id, http::event& event)
{
    auto& call = m_calls.at(id);
    switch (event.what) {
    case http::event::kind::Connected:
        call.connected = true;
        call.connection = event.connection;
        recordConnected(id, call);
        call.request.body = {};
        call.request.sharedBody.reset();
        call.bodyDropped = true;
        return;
    case http::event::kind::Head:
        m_paths.reached(ageOf(call.connection), m_context.now);
        call.persistence = http::persistenceOf(event.headers);
        report(id, event);
        return;
    case http::event::kind::Body:
        report(id, event);
        return;
    case http::event::kind::Done:
        break;
    }
    m_context.targets.connections().ended(id, connectionEnd(call.persistence, event.outcome == http::transfer_result::Complete), m_context.now);
    if (event.status != 0) {
        countEnd(end_kind::Answered);
        report(id, event);
        return;
    }
    m_paths.failed(call.target, failureOf(event.connection), m_context.now);
    if (event.outcome == http::transfer_result::NotSent) {
        countEnd(end_kind::NotConnected);
        startAgain(id, call, event);
        return;
    }
    countEnd(event.connection == http::connection_use::Kept ? end_kind::SilentKept : end_kind::SilentNew);
    report(id, event);
}

void target_link::onRelayedEvent(std::uint64_t id, http::event& event)
{
    auto& call = m_calls.at(id);

    // Step 1. Pass on what is the target's.
    if (event.what == http::event::kind::Connected) {
        call.connected = true;
        return;
    }
    if (event.what == http::event::kind::Head)
        call.relayHead = takeRelayHead(event.headers);
    const bool isAnswered = call.relayHead && call.relayHead->outcome == relay_outcome::Answered;
    if (event.what != http::event::kind::Done) {
        if (isAnswered)
            report(id, event);
        return;
    }

    // Step 2. The end, as if the target had been sent the request directly.
    if (isAnswered) {
        countEnd(end_kind::Relayed);
        m_paths.relayReached(call.relay, m_context.now);
        if (call.relayHead->isEndUnproven && event.outcome == http::transfer_result::Complete) {
            event.outcome = http::transfer_result::Unproven;
            event.framing = http::answer_framing::Close;
        }
        report(id, event);
        return;
    }
    countEnd(end_kind::RelayFailed);
    const auto relay = call.relay;
    const auto outcome = call.relayHead ? std::optional(call.relayHead->outcome) : std::nullopt;
    const bool unsent = outcome ? *outcome != relay_outcome::Silent : event.outcome == http::transfer_result::NotSent;
    logEvent(log_level::Info, duty, "relay_failed",
        { { "target", call.target.str() }, { "member", relay.str() }, { "not_run", unsent ? "1" : "0" }, { "status", std::to_string(event.status) }, { "detail", event.detail } });
    if (outcome == relay_outcome::PathBroken || outcome == relay_outcome::Silent)
        m_paths.relayFailed(relay, call.target, m_context.now);
    else
        m_paths.relayLost(relay, m_context.now);
    event.status = 0;
    event.outcome = unsent ? http::transfer_result::NotSent : http::transfer_result::NoAnswer;
    if (unsent)
        startAgain(id, call, event);
    else
        report(id, event);
}

// Starts the requests that wait for a path, once it is known or has been waited for long enough.
void target_link::checkWaiting()
{
    std::vector<std::uint64_t> waiting;
    for (const auto& [id, call] : m_calls) {
        if (call.transfer == 0)
            waiting.push_back(id);
    }
    for (const auto id : waiting) {
        const auto found = m_calls.find(id);
        if (found == m_calls.end())
            continue;
        auto& call = found->second;
        const auto path = pathFor(call);
        if (path.kind == path_kind::Undecided && m_context.now < call.waitsUntil)
            continue;
        if (!updateDeadline(call, m_context.now))
            endUnsent(id, "no time left for another path");
        else if (path.kind == path_kind::Relayed)
            startRelayed(id, call, path.relay);
        else if (call.triedDirect && path.kind != path_kind::Direct)
            endUnsent(id, "no path to the target");
        else
            startDirect(id, call, path.kind != path_kind::Direct);
    }
}

// Counts connections that hang as failures, and moves their requests to a relay.
void target_link::checkConnecting()
{
    std::vector<std::uint64_t> hanging;
    for (auto& [id, call] : m_calls) {
        if (call.transfer == 0 || call.connected || !call.relay.empty())
            continue;
        ++call.roundsConnecting;
        if (call.roundsConnecting < minRoundsConnecting || m_context.now - call.startedAt < hangingAfter)
            continue;
        if (!std::exchange(call.countedAsFailed, true))
            m_paths.failed(call.target, path_failure::NotConnected, m_context.now);
        if (call.rule == path_rule::Any && call.relaysTried < maxRelaysTried)
            hanging.push_back(id);
    }
    for (const auto id : hanging) {
        const auto found = m_calls.find(id);
        if (found == m_calls.end())
            continue; // cancelled by the end of an earlier one
        auto& call = found->second;
        const auto path = pathFor(call);
        if (path.kind != path_kind::Relayed)
            continue;
        m_context.net.cancel(call.transfer);
        if (updateDeadline(call, m_context.now))
            startRelayed(id, call, path.relay);
        else
            endUnsent(id, "no time left for another path");
    }
}

void target_link::callDirect(http::request request, const target_id& target, transfers::answer_function onAnswer)
{
    const auto reuse = request.reuse;
    request.maxBodyBytes = http::maxDocumentBytes;
    m_context.net.call(std::move(request), [this, target, reuse, onAnswer = std::move(onAnswer)](const http::answer& answer) {
        recordOwnPath(target, answer);
        recordDirectCall(target, reuse, answer);
        onAnswer(answer);
    });
}

void target_link::recordOwnPath(const target_id& target, const http::answer& answer)
{
    if (answer.status != 0)
        m_paths.reached(ageOf(answer.connection), m_context.now);
    else
        m_paths.failed(target, failureOf(answer.connection), m_context.now);
}

void target_link::recordConnected(std::uint64_t id, const open_call& call)
{
    const auto slot = m_context.targets.table().find(call.target);
    if (!slot)
        return;
    auto& connections = m_context.targets.connections();
    if (call.connection == http::connection_use::Kept)
        connections.reused(id, *slot, m_context.now);
    else
        connections.opened(id, *slot, call.request.reuse == http::connection_reuse::Forbidden, m_context.now);
}

// The connection of a call of which only the answer is seen.
void target_link::recordDirectCall(const target_id& target, http::connection_reuse reuse, const http::answer& answer)
{
    if (answer.connection == http::connection_use::None)
        return;
    open_call call;
    call.request.reuse = reuse;
    call.target = target;
    call.connection = answer.connection;
    const auto id = ++m_lastId;
    recordConnected(id, call);
    m_context.targets.connections().ended(id, connectionEnd(http::persistenceOf(answer.headers), answer.outcome == http::transfer_result::Complete), m_context.now);
}

void target_link::testPath(const target_id& target, std::function<void(bool reached)> onEnd)
{
    const auto slot = m_context.targets.table().find(target);
    if (!slot || m_context.targets.table().isEvacuated(*slot)) {
        onEnd(false);
        return;
    }
    auto request = platform::encodePathTest(m_context.targets.table().record(*slot).listed.address);
    request.reuse = http::connection_reuse::Forbidden; // kept connections may live on while new ones fail
    request.closeAfter = true; // a target may go on reading after it has rejected a request
    request.connectTimeout = request.totalTimeout = pathTestTimeout;
    request.maxBodyBytes = http::maxDocumentBytes;
    m_context.net.call(std::move(request), [this, target, onEnd = std::move(onEnd)](const http::answer& answer) {
        recordOwnPath(target, answer);
        if (answer.connection != http::connection_use::None)
            m_context.targets.connections().openedForOneUse();
        onEnd(answer.status != 0);
    });
}

void target_link::ask(const ask_for_relays& question)
{
    Json::Value body(Json::arrayValue);
    for (const auto& target : question.targets)
        body.append(target.str());
    for (const auto& name : question.instances) {
        const auto* peer = m_members.find(name);
        if (peer == nullptr) {
            m_paths.relayLost(name, m_context.now);
            continue;
        }
        m_context.net.call(peerCall(peer->address, "/paths", writeJson(body), questionTimeout), [this, name](const http::answer& answer) {
            const auto reply = isOk(answer) ? parseJson(answer.body) : std::nullopt;
            const bool reaches = reply && reply->isObject() && (*reply)["reaches_targets"].isBool() && (*reply)["reaches_targets"].asBool();
            logEvent(log_level::Info, duty, "asked", { { "member", name.str() }, { "reaches_targets", reaches ? "1" : "0" }, { "status", std::to_string(answer.status) } });
            m_paths.answered(name, reaches, m_context.now);
            checkWaiting();
        });
    }
}

void target_link::updateMembers()
{
    m_nextUpdate = m_context.now + updatePeriod;
    std::vector<instance_id> others;
    for (const auto& peer : m_members.others())
        others.push_back(peer.name);
    // An order of its own for each instance, so that not all ask the same ones.
    m_paths.setInstances(rendezvousOrder(m_context.settings.instance.name, std::move(others)));
    std::vector<target_id> targets;
    const auto& table = m_context.targets.table();
    for (const auto slot : table.all()) {
        if (table.isLive(slot))
            targets.push_back(table.record(slot).listed.id);
    }
    m_paths.setTargets(std::move(targets));
}

void target_link::tick()
{
    if (m_context.now >= m_nextUpdate)
        updateMembers();
    checkConnecting();
    checkWaiting();
    for (const auto& action : m_paths.tick(m_context.now)) {
        if (const auto* question = std::get_if<ask_for_relays>(&action))
            ask(*question);
        else if (const auto* test = std::get_if<test_path>(&action))
            testPath(test->target, [](bool) {});
    }
    if (m_paths.isCutOff() != m_wasCutOff) {
        m_wasCutOff = m_paths.isCutOff();
        logEvent(m_wasCutOff ? log_level::Warning : log_level::Info, duty, m_wasCutOff ? "cut_off" : "reached_again");
    }
    if (m_context.now >= m_nextLog) {
        m_nextLog = m_context.now + logPeriod;
        logEnds();
    }
    if (m_context.now >= m_nextConnectionsLog) {
        m_nextConnectionsLog = m_context.now + connectionsLogPeriod;
        logConnections();
    }
}

// Connections to targets since the last such line, by cause.
void target_link::logConnections()
{
    const auto& counts = m_context.targets.connections().counts();
    const auto before = std::exchange(m_loggedConnections, counts);
    const auto opened = [&](connection_cause cause) { return std::to_string(counts.of(cause) - before.of(cause)); };
    if (counts.reused == before.reused && counts.opened == before.opened)
        return;
    logEvent(log_level::Info, duty, "connections",
        { { "reused", std::to_string(counts.reused - before.reused) }, { "first_use", opened(connection_cause::FirstUse) },
            { "closed_by_target", opened(connection_cause::ClosedByTarget) }, { "cancelled", opened(connection_cause::Cancelled) },
            { "reuse_forbidden", opened(connection_cause::ReuseForbidden) }, { "all_busy", opened(connection_cause::AllBusy) } });
}

void target_link::logEnds()
{
    const auto ends = std::exchange(m_ends, {});
    const auto count = [&ends](end_kind kind) { return ends[static_cast<std::size_t>(kind)]; };
    if (std::accumulate(ends.begin(), ends.end(), 0U) == count(end_kind::Answered))
        return;
    logEvent(log_level::Info, duty, "requests_ended",
        { { "answered", std::to_string(count(end_kind::Answered)) }, { "not_connected", std::to_string(count(end_kind::NotConnected)) },
            { "silent_new", std::to_string(count(end_kind::SilentNew)) }, { "silent_kept", std::to_string(count(end_kind::SilentKept)) },
            { "relayed", std::to_string(count(end_kind::Relayed)) }, { "relay_failed", std::to_string(count(end_kind::RelayFailed)) } });
}

} // namespace lovagerail::edge
