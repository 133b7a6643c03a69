// Calls and watches to the store, directly or relayed by another instance, and the wire
// format of relayed calls.
#include "edge/store_link.h"

#include "http_status.h"
#include "log.h"

#include <algorithm>

namespace lovagerail::edge {

namespace {

    // A relayed call is a POST to another instance, with the store call in its headers and
    // body. The answer has the store's status, so a header says whether the call itself
    // succeeded.
    constexpr std::string_view relayPath = "/store";
    constexpr std::string_view methodHeader = "x-method";
    constexpr std::string_view targetHeader = "x-target";
    constexpr std::string_view outcomeHeader = "x-outcome";

    constexpr std::pair<http::transfer_result, std::string_view> outcomeNames[] = {
        { http::transfer_result::Complete, "whole" },
        { http::transfer_result::NotSent, "not-sent" },
        { http::transfer_result::NoAnswer, "no-answer" },
        { http::transfer_result::Truncated, "truncated" },
    };

    std::string nameOf(http::transfer_result outcome)
    {
        for (const auto& [value, name] : outcomeNames) {
            if (value == outcome)
                return std::string(name);
        }
        return "no-answer";
    }

    // Path and query behind "http://address".
    std::string targetOf(const std::string& url)
    {
        constexpr std::size_t schemeLength = 7;
        const auto slash = url.find('/', schemeLength);
        return slash == std::string::npos ? "/" : url.substr(slash);
    }

    // True if the store processed the call, whatever its answer; false if it is unavailable
    // or refuses us.
    bool wasServed(const http::answer& answer)
    {
        return answer.outcome == http::transfer_result::Complete && answer.status != statusUnavailable && answer.status != statusTooManyRequests;
    }

} // namespace

http::answer unwrapRelayedAnswer(http::answer answer)
{
    if (answer.outcome != http::transfer_result::Complete)
        return answer;
    const auto outcomeName = http::findHeader(answer.headers, outcomeHeader);
    for (const auto& [value, name] : outcomeNames) {
        if (outcomeName != name)
            continue;
        answer.outcome = value;
        return answer;
    }
    // An outcome of another version's that this one does not know may be that of a call that was executed.
    if (!outcomeName.empty()) {
        answer.outcome = http::transfer_result::NoAnswer;
        answer.detail = "relaying instance states an unknown outcome";
        return answer;
    }
    // The peer refused to relay the call.
    answer.outcome = http::transfer_result::NotSent;
    answer.detail = "relaying instance can't reach the store";
    return answer;
}

store_link::store_link(store_link_settings settings, std::string address, transfers& net)
    : m_settings(settings)
    , m_address(std::move(address))
    , m_net(net)
    , m_timeout(settings.maxTimeout)
{
}

// The direct path while it works, otherwise through a peer.
store_link::call_path store_link::choosePath() const
{
    return directWorks() || !m_peers || m_peers().empty() ? call_path::Direct : call_path::ThroughPeer;
}

// The peer that relays the next call: in turn, without those that were silent lately if there are others.
std::string store_link::nextPeer()
{
    const auto peers = m_peers();
    std::erase_if(m_silentPeers, [this](const auto& entry) { return m_now >= entry.second; });
    for (std::size_t i = 0; i < peers.size(); ++i) {
        const auto& peer = peers[m_nextPeer++ % peers.size()];
        if (!m_silentPeers.contains(peer))
            return peer;
    }
    return peers[m_nextPeer++ % peers.size()];
}

// Tries the direct path while calls go through peers, by a read of its own: a call of another
// component would fail for the sake of the test, and with it perhaps a lease.
void store_link::probeDirectPath()
{
    if (choosePath() == call_path::Direct || m_now < m_nextDirectProbe)
        return;
    m_nextDirectProbe = m_now + m_settings.directProbePeriod;
    auto read = readKey("probe");
    read.mayBeStale = true;
    auto request = platform::encodeStoreCall(m_address, read);
    request.totalTimeout = m_settings.minTimeout;
    send("probe", std::move(request), call_path::Direct, [](const http::answer&) {});
}

void store_link::send(std::string_view cause, http::request request, call_path path, std::function<void(const http::answer&)> onAnswer)
{
    const auto countEntry = m_counts.find(cause);
    if (countEntry == m_counts.end())
        m_counts.emplace(cause, 1);
    else
        ++countEntry->second;
    request.connectTimeout = m_settings.connectTimeout;
    request.unacknowledgedTimeout = m_settings.unacknowledgedTimeout;
    // libcurl silently repeats a request if a kept connection turns out to be closed. That is
    // harmless here, as all calls are idempotent: create-only or conditional writes, renewals.
    if (path == call_path::Direct) {
        m_net.call(std::move(request), [this, onAnswer = std::move(onAnswer)](const http::answer& answer) {
            recordDirectOutcome(answer);
            onAnswer(answer);
        });
        return;
    }
    const auto peer = nextPeer();
    http::request relayed;
    relayed.method = "POST";
    relayed.url = "http://" + peer + std::string(relayPath);
    relayed.headers.emplace_back(methodHeader, request.method);
    relayed.headers.emplace_back(targetHeader, targetOf(request.url));
    relayed.body = std::move(request.body);
    relayed.connectTimeout = m_settings.connectTimeout;
    relayed.totalTimeout = request.totalTimeout;
    relayed.unacknowledgedTimeout = m_settings.unacknowledgedTimeout;
    m_net.call(std::move(relayed), [this, peer, onAnswer = std::move(onAnswer)](const http::answer& answer) {
        if (answer.outcome != http::transfer_result::Complete) {
            m_silentPeers[peer] = m_now + m_settings.silentPeerTime;
            logEvent(log_level::Info, "store", "relay_silent", { { "peer", peer }, { "detail", answer.detail } });
        }
        const auto storeAnswer = unwrapRelayedAnswer(answer);
        recordReachability(wasServed(storeAnswer));
        onAnswer(storeAnswer);
    });
}

void store_link::recordReachability(bool works)
{
    m_regained = m_regained || (works && m_unreachable);
    m_unreachable = !works && !directWorks();
}

void store_link::recordDirectOutcome(const http::answer& answer)
{
    const bool works = wasServed(answer);
    const bool workedBefore = directWorks();
    m_failures = works ? 0 : m_failures + 1;
    recordReachability(works);
    if (workedBefore == directWorks())
        return;
    logEvent(directWorks() ? log_level::Info : log_level::Warning, "store", directWorks() ? "regained" : "lost",
        { { "status", std::to_string(answer.status) }, { "detail", answer.detail } });
    if (!directWorks())
        m_nextDirectProbe = m_now + m_settings.directProbePeriod;
    // Reopen open watches on the other path: on the lost one they would never be answered, and a peer that
    // relays them may have stopped meanwhile.
    for (auto& [id, watch] : m_watches) {
        if (watch.transfer != 0)
            m_net.cancel(watch.transfer);
        watch.transfer = 0;
        watch.reopenAt = m_now;
    }
}

void store_link::adaptTimeout(const http::answer& answer, duration elapsed)
{
    const auto newTimeout = answer.outcome == http::transfer_result::Complete
        ? std::chrono::duration_cast<std::chrono::milliseconds>(elapsed * m_settings.timeoutFactor)
        : m_timeout * 2;
    m_timeout = std::clamp(newTimeout, m_settings.minTimeout, m_settings.maxTimeout);
}

void store_link::call(std::string_view cause, kv_call storeCall, answer_function onAnswer)
{
    auto request = platform::encodeStoreCall(m_address, storeCall);
    request.totalTimeout = m_timeout;
    send(cause, std::move(request), choosePath(), [this, sentAt = m_now, storeCall = std::move(storeCall), onAnswer = std::move(onAnswer)](const http::answer& answer) {
        adaptTimeout(answer, m_now - sentAt);
        onAnswer(platform::decodeStoreAnswer(storeCall, answer));
    });
}

void store_link::list(std::string_view cause, const std::string& prefix, answer_function onAnswer)
{
    listFrom(std::string(cause), readPrefix(prefix), {}, std::move(onAnswer));
}

void store_link::listFrom(const std::string& cause, kv_range range, kv_answer soFar, answer_function onAnswer)
{
    call(cause, range, [this, cause, range, collected = std::move(soFar), onAnswer = std::move(onAnswer)](const result<kv_answer>& answer) mutable {
        if (!answer) {
            onAnswer(answer);
            return;
        }
        if (collected.at == revision())
            collected.at = answer->at;
        collected.entries.insert(collected.entries.end(), answer->entries.begin(), answer->entries.end());
        if (!answer->more || answer->entries.empty()) {
            onAnswer(collected);
            return;
        }
        range.after = collected.entries.back().key;
        listFrom(cause, range, std::move(collected), std::move(onAnswer));
    });
}

std::uint64_t store_link::watch(std::string prefix, revision from, std::chrono::milliseconds wait, watch_function onResponse)
{
    const auto id = ++m_lastWatch;
    auto& watch = m_watches[id];
    watch.prefix = std::move(prefix);
    watch.after = from;
    watch.wait = wait;
    watch.onResponse = std::move(onResponse);
    open(id, watch);
    return id;
}

void store_link::endWatch(std::uint64_t id)
{
    const auto found = m_watches.find(id);
    if (found == m_watches.end())
        return;
    if (found->second.transfer != 0)
        m_net.cancel(found->second.transfer);
    m_watches.erase(found);
}

void store_link::open(std::uint64_t id, open_watch& watch)
{
    auto request = platform::encodeWatch(m_address, { watch.prefix, watch.after, watch.wait });
    request.totalTimeout = watch.wait + m_settings.watchMargin;
    // lastId() is the id of this transfer; its answer comes only from a later poll().
    watch.openedAt = m_now;
    send("watch " + watch.prefix, std::move(request), choosePath(), [this, id](const http::answer& answer) { onWatch(id, answer); });
    watch.transfer = m_net.lastId();
}

void store_link::onWatch(std::uint64_t id, const http::answer& answer)
{
    const auto found = m_watches.find(id);
    if (found == m_watches.end())
        return;
    auto& watch = found->second;
    watch.transfer = 0;
    const auto response = platform::decodeWatchResponse(answer);
    if (!response) {
        logEvent(log_level::Info, "store", "watch_failed", { { "prefix", watch.prefix }, { "after_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(m_now - watch.openedAt).count()) }, { "error", toString(response.error()) } });
        watch.reopenAt = m_now + m_settings.watchRetryDelay;
        return;
    }
    if (response->compacted) {
        const auto onResponse = watch.onResponse;
        m_watches.erase(found);
        onResponse(*response);
        return;
    }
    watch.after = std::max(watch.after, response->at);
    watch.reopenAt = m_now;
    const auto onResponse = watch.onResponse;
    onResponse(*response);
}

void store_link::relay(const http::exchange_ptr& exchange)
{
    if (!directWorks()) {
        exchange->answer(statusUnavailable, {}, "");
        return;
    }
    http::request outgoing;
    outgoing.method = std::string(http::findHeader(exchange->headers, methodHeader));
    outgoing.url = "http://" + m_address + std::string(http::findHeader(exchange->headers, targetHeader));
    outgoing.sharedBody = http::bodyOf(exchange);
    if (!exchange->body.empty())
        outgoing.headers.emplace_back("Content-Type", "application/json");
    outgoing.totalTimeout = m_settings.maxRelayedWait + m_settings.maxTimeout;
    send("relay", std::move(outgoing), call_path::Direct, [exchange](const http::answer& answer) {
        const bool complete = answer.outcome == http::transfer_result::Complete;
        exchange->answer(complete ? answer.status : statusOk, { { std::string(outcomeHeader), nameOf(answer.outcome) } }, complete ? answer.body : answer.detail);
    });
}

void store_link::tick(instant now)
{
    m_now = now;
    if (!m_unreachable)
        m_unreachableSince.reset();
    else if (!m_unreachableSince)
        m_unreachableSince = now;
    probeDirectPath();
    for (auto& [id, watch] : m_watches) {
        if (watch.transfer == 0 && now >= watch.reopenAt)
            open(id, watch);
    }
}

} // namespace lovagerail::edge
