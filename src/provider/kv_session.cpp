// Rate budget, choice of the endpoint, outcomes and watches of the key-value session.
#include "provider/kv_session.h"

#include "http_status.h"
#include "provider/kv_codec.h"

#include <algorithm>

namespace lovagerail::provider {

namespace {

    // Retries of a read at the next endpoint after an answer with an old revision.
    constexpr int maxStaleRetries = 3;
    constexpr duration minBackoff = std::chrono::milliseconds(100);
    constexpr duration maxBackoff = std::chrono::seconds(5);
    constexpr std::string_view step = "kv.call";

    bool isRead(const kv_call& call) { return std::holds_alternative<kv_range>(call); }

    // The error of a call whose transfer failed or was refused; empty if it was answered.
    std::optional<error> transferError(const kv_call& call, const http::event& event, const std::string& endpoint)
    {
        const auto makeError = [&](error_code code, std::string detail) {
            return error { code, std::string(step), peer_kind::KeyValueService, endpoint, std::move(detail) };
        };
        // A read changes nothing, so without an answer it counts as not sent.
        const auto lostCode = isRead(call) ? error_code::Unavailable : error_code::Unknown;
        switch (event.outcome) {
        case http::transfer_result::NotSent:
            return makeError(error_code::Unavailable, event.detail);
        case http::transfer_result::NoAnswer:
        case http::transfer_result::Unproven:
        case http::transfer_result::Truncated:
            return makeError(lostCode, event.detail);
        case http::transfer_result::Complete:
            break;
        }
        if (event.status == statusOk)
            return std::nullopt;
        if (event.status == statusTooManyRequests || event.status == statusUnavailable)
            return makeError(error_code::Unavailable, "refused with status " + std::to_string(event.status));
        constexpr int firstServerError = 500;
        if (event.status >= firstServerError)
            return makeError(lostCode, "status " + std::to_string(event.status));
        return makeError(error_code::InvalidArgument, "status " + std::to_string(event.status));
    }

} // namespace

kv_session::kv_session(kv_session_settings settings, start_function start, cancel_function cancel)
    : m_settings(std::move(settings))
    , m_start(std::move(start))
    , m_cancel(std::move(cancel))
    , m_tokens(static_cast<double>(m_settings.callsPerSecond))
{
}

void kv_session::call(kv_call newCall, answer_function onAnswer)
{
    waiting_call waiting;
    waiting.wanted = std::move(newCall);
    waiting.onAnswer = std::move(onAnswer);
    m_queue.push_back(std::move(waiting));
}

std::uint64_t kv_session::watch(std::string key, std::string rangeEnd, revision from, watch_function onResponse)
{
    const auto id = ++m_lastId;
    watch_stream state;
    state.key = std::move(key);
    state.rangeEnd = std::move(rangeEnd);
    state.next = from;
    state.onResponse = std::move(onResponse);
    m_watches.emplace(id, std::move(state));
    return id;
}

void kv_session::endWatch(std::uint64_t watch)
{
    const auto found = m_watches.find(watch);
    if (found == m_watches.end())
        return;
    if (found->second.request != 0) {
        m_watchOfRequest.erase(found->second.request);
        m_cancel(found->second.request);
    }
    m_watches.erase(found);
}

// Takes one token from the bucket that limits the call rate; it holds one second's worth.
bool kv_session::takeToken(instant now)
{
    const auto rate = static_cast<double>(m_settings.callsPerSecond);
    if (!m_refillStarted) {
        m_refillStarted = true;
        m_refilledAt = now;
    }
    m_tokens = std::min(rate, m_tokens + rate * std::chrono::duration<double>(now - m_refilledAt).count());
    m_refilledAt = now;
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

void kv_session::poll(instant now)
{
    // Step 1. Open watches.
    for (auto& [id, watch] : m_watches) {
        if (watch.request != 0 || now < watch.retryAt || !takeToken(now))
            continue;
        openWatch(watch, now);
        if (watch.request != 0)
            m_watchOfRequest[watch.request] = id;
    }

    // Step 2. Send queued calls in order while the budget lasts.
    while (!m_queue.empty()) {
        auto& front = m_queue.front();
        if (!front.queuedAtSet) {
            front.queuedAtSet = true;
            front.queuedAt = now;
        }
        if (now - front.queuedAt > m_settings.maxQueueTime) {
            auto expired = std::move(front);
            m_queue.pop_front();
            ++m_counts.unavailable;
            expired.onAnswer(failure(error_code::Unavailable, step, peer_kind::KeyValueService, {}, "waited too long for the rate budget"));
            continue;
        }
        if (!takeToken(now))
            break;
        auto nextCall = std::move(front);
        m_queue.pop_front();
        send(std::move(nextCall), now);
    }
    for (auto& waiting : m_queue) {
        if (waiting.queuedAtSet)
            continue;
        waiting.queuedAtSet = true;
        waiting.queuedAt = now;
    }
}

void kv_session::send(waiting_call call, instant now)
{
    const auto wire = encodeCall(call.wanted);
    http::request request;
    request.id = ++m_lastId;
    request.method = "POST";
    request.url = m_settings.endpoints[m_endpoint] + wire.path;
    request.headers = { { "Content-Type", "application/json" } };
    request.body = wire.body;
    request.totalTimeout = m_settings.callTimeout;
    // On a kept connection libcurl may silently repeat a write, which would hide that the
    // outcome of the first attempt is unknown.
    request.reuse = isRead(call.wanted) ? http::connection_reuse::Allowed : http::connection_reuse::Forbidden;
    const auto id = request.id;
    ++m_counts.calls;
    open_call open;
    open.call = std::move(call);
    const bool started = m_start(std::move(request));
    if (started) {
        m_open.emplace(id, std::move(open));
        return;
    }
    http::event refused;
    refused.id = id;
    refused.detail = "ring full";
    finish(std::move(open), refused, now);
}

void kv_session::onEvent(const http::event& event, instant now)
{
    if (const auto watching = m_watchOfRequest.find(event.id); watching != m_watchOfRequest.end()) {
        auto& watch = m_watches.at(watching->second);
        if (event.what == http::event::kind::Body)
            onWatchBytes(watching->second, event.bytes, now);
        else if (event.what == http::event::kind::Done)
            scheduleWatchRetry(watch, now);
        return;
    }
    const auto found = m_open.find(event.id);
    if (found == m_open.end())
        return;
    if (event.what == http::event::kind::Body) {
        found->second.body += event.bytes;
        return;
    }
    if (event.what != http::event::kind::Done)
        return;
    auto done = std::move(found->second);
    m_open.erase(found);
    finish(std::move(done), event, now);
}

void kv_session::finish(open_call done, const http::event& event, instant now)
{
    // Step 1. Errors of the transfer.
    if (const auto callError = transferError(done.call.wanted, event, m_settings.endpoints[m_endpoint])) {
        m_available = m_available && callError->code == error_code::InvalidArgument;
        m_counts.unknown += callError->code == error_code::Unknown;
        m_counts.unavailable += callError->code == error_code::Unavailable;
        nextEndpoint();
        done.call.onAnswer(tl::unexpected<error>(*callError));
        return;
    }

    // Step 2. Decode the body.
    const auto answer = decodeAnswer(done.call.wanted, done.body);
    if (!answer) {
        done.call.onAnswer(answer);
        return;
    }
    m_available = true;
    m_lastAnswer = now;

    // Step 3. Reject an answer of a lagging replica and retry at another one, so that reads
    // never go back in time.
    const bool stale = answer->at < m_highestRevision;
    if (stale && isRead(done.call.wanted)) {
        ++m_counts.stale;
        nextEndpoint();
        if (++done.call.staleRetries <= maxStaleRetries) {
            m_queue.push_front(std::move(done.call));
            return;
        }
        done.call.onAnswer(failure(error_code::Unavailable, step, peer_kind::KeyValueService, {}, "all replicas answer with an old revision"));
        return;
    }
    m_highestRevision = std::max(m_highestRevision, answer->at);
    done.call.onAnswer(answer);
}

void kv_session::openWatch(watch_stream& watch, instant now)
{
    const auto wire = encodeWatch(watch.key, watch.rangeEnd, watch.next);
    http::request request;
    request.id = ++m_lastId;
    request.method = "POST";
    request.url = m_settings.endpoints[m_endpoint] + wire.path;
    request.headers = { { "Content-Type", "application/json" } };
    request.body = wire.body;
    request.reuse = http::connection_reuse::Forbidden;
    ++m_counts.watches;
    const auto id = request.id;
    watch.line.clear();
    if (m_start(std::move(request)))
        watch.request = id;
    else
        watch.retryAt = now + minBackoff;
}

// Splits the stream into lines; each is one watch response.
void kv_session::onWatchBytes(std::uint64_t id, const std::string& bytes, instant now)
{
    auto* watch = &m_watches.at(id);
    watch->line += bytes;
    std::size_t begin = 0;
    for (auto end = watch->line.find('\n'); end != std::string::npos; end = watch->line.find('\n', begin)) {
        const std::string line = watch->line.substr(begin, end - begin);
        begin = end + 1;
        if (line.empty())
            continue;
        auto response = decodeWatchResponse(line);
        if (!response)
            continue;
        response->watch = id;
        watch->backoff = {};
        m_available = true;
        m_lastAnswer = now;
        // A watch on a lagging replica may report changes that are already known; the consumer
        // must ignore old revisions. m_highestRevision only grows.
        m_highestRevision = std::max(m_highestRevision, response->at);
        for (const auto& e : response->events) {
            if (e.entry.modRevision >= watch->next)
                watch->next = e.entry.modRevision.next();
        }
        const auto onResponse = watch->onResponse;
        const bool over = response->compactedTo != revision();
        onResponse(*response);
        // The consumer may have ended the watch in its callback.
        const auto current = m_watches.find(id);
        if (current == m_watches.end())
            return;
        watch = &current->second;
        if (over) {
            endWatch(id);
            return;
        }
    }
    watch->line.erase(0, begin);
}

void kv_session::scheduleWatchRetry(watch_stream& watch, instant now)
{
    m_watchOfRequest.erase(watch.request);
    watch.request = 0;
    watch.line.clear();
    watch.backoff = std::clamp(watch.backoff * 2, minBackoff, maxBackoff);
    watch.retryAt = now + watch.backoff;
    nextEndpoint();
}

void kv_session::nextEndpoint()
{
    m_endpoint = (m_endpoint + 1) % m_settings.endpoints.size();
}

} // namespace lovagerail::provider
