// Ways to the store, and the detour's wire between instances.
#include "edge/store_link.h"

#include "http_status.h"
#include "log.h"

#include <algorithm>

namespace lovagerail::edge {

namespace {

    // The detour: a POST to a peer, with the call in its headers and body. The answer's
    // headers say what became of the call, as its status is the store's.
    constexpr std::string_view relayPath = "/store";
    constexpr std::string_view methodHeader = "x-method";
    constexpr std::string_view targetHeader = "x-target";
    constexpr std::string_view outcomeHeader = "x-outcome";

    constexpr std::pair<http::transfer_result, std::string_view> outcomeNames[] = {
        { http::transfer_result::Whole, "whole" },
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

    // The store did what it was asked, or said why not.
    bool isServed(const http::answer& answer)
    {
        return answer.outcome == http::transfer_result::Whole && answer.status != statusUnavailable && answer.status != statusTooMany;
    }

    // What the peer says became of the call; a broken detour is judged like a broken
    // direct call.
    http::answer unwrapped(http::answer answer)
    {
        if (answer.outcome != http::transfer_result::Whole)
            return answer;
        const auto named = http::findHeader(answer.headers, outcomeHeader);
        for (const auto& [value, name] : outcomeNames) {
            if (named != name)
                continue;
            answer.outcome = value;
            return answer;
        }
        // The peer didn't pass it on.
        answer.outcome = http::transfer_result::NotSent;
        answer.detail = "peer doesn't reach the store";
        return answer;
    }

} // namespace

store_link::store_link(store_link_settings settings, std::string address, transfers& net)
    : m_settings(settings)
    , m_address(std::move(address))
    , m_net(net)
    , m_timeout(settings.longestTimeout)
{
}

// Direct while it works. While it doesn't, a call now and then tries it again.
store_link::way store_link::chooseWay()
{
    if (direct() || !m_peers || m_peers().empty())
        return way::Direct;
    if (m_now < m_nextProbe)
        return way::Detour;
    m_nextProbe = m_now + m_settings.probe;
    return way::Direct;
}

void store_link::send(std::string_view cause, http::request wanted, way by, std::function<void(const http::answer&)> onAnswer)
{
    const auto counted = m_counts.find(cause);
    if (counted == m_counts.end())
        m_counts.emplace(cause, 1);
    else
        ++counted->second;
    wanted.connectTimeout = m_settings.connectTimeout;
    wanted.unacknowledgedTimeout = m_settings.unacknowledged;
    // libcurl would send a call again by itself on a kept connection that was closed;
    // every call of ours may come twice (create-only or conditional writes, renewals).
    if (by == way::Direct) {
        m_net.call(std::move(wanted), [this, onAnswer = std::move(onAnswer)](const http::answer& answer) {
            noteDirect(answer);
            onAnswer(answer);
        });
        return;
    }
    const auto peers = m_peers();
    http::request detour;
    detour.method = "POST";
    detour.url = "http://" + peers[m_nextPeer++ % peers.size()] + std::string(relayPath);
    detour.headers.emplace_back(methodHeader, wanted.method);
    detour.headers.emplace_back(targetHeader, targetOf(wanted.url));
    detour.body = std::move(wanted.body);
    detour.connectTimeout = m_settings.connectTimeout;
    detour.totalTimeout = wanted.totalTimeout;
    detour.unacknowledgedTimeout = m_settings.unacknowledged;
    m_net.call(std::move(detour), [this, onAnswer = std::move(onAnswer)](const http::answer& answer) {
        const auto inner = unwrapped(answer);
        noteReach(isServed(inner));
        onAnswer(inner);
    });
}

void store_link::noteReach(bool works)
{
    m_regained = m_regained || (works && m_unreached);
    m_unreached = !works && !direct();
}

void store_link::noteDirect(const http::answer& answer)
{
    const bool works = isServed(answer);
    const bool before = direct();
    m_failures = works ? 0 : m_failures + 1;
    noteReach(works);
    if (before == direct())
        return;
    logEvent(direct() ? log_level::Info : log_level::Warning, "store", direct() ? "regained" : "lost",
        { { "status", std::to_string(answer.status) }, { "detail", answer.detail } });
    if (direct())
        return;
    // Watches that wait on the lost way would wait for nothing.
    m_nextProbe = m_now + m_settings.probe;
    for (auto& [id, watch] : m_watches) {
        if (watch.transfer != 0)
            m_net.cancel(watch.transfer);
        watch.transfer = 0;
        watch.reopenAt = m_now;
    }
}

void store_link::noteTime(const http::answer& answer, duration took)
{
    const auto wanted = answer.outcome == http::transfer_result::Whole
        ? std::chrono::duration_cast<std::chrono::milliseconds>(took * m_settings.patience)
        : m_timeout * 2;
    m_timeout = std::clamp(wanted, m_settings.shortestTimeout, m_settings.longestTimeout);
}

void store_link::call(std::string_view cause, kv_call wanted, answer_function onAnswer)
{
    auto request = platform::encodeStoreCall(m_address, wanted);
    request.totalTimeout = m_timeout;
    send(cause, std::move(request), chooseWay(), [this, sentAt = m_now, wanted = std::move(wanted), onAnswer = std::move(onAnswer)](const http::answer& answer) {
        noteTime(answer, m_now - sentAt);
        onAnswer(platform::decodeStoreAnswer(wanted, answer));
    });
}

void store_link::list(std::string_view cause, const std::string& prefix, answer_function onAnswer)
{
    listFrom(std::string(cause), readPrefix(prefix), {}, std::move(onAnswer));
}

void store_link::listFrom(const std::string& cause, kv_range range, kv_answer soFar, answer_function onAnswer)
{
    call(cause, range, [this, cause, range, all = std::move(soFar), onAnswer = std::move(onAnswer)](const result<kv_answer>& answer) mutable {
        if (!answer) {
            onAnswer(answer);
            return;
        }
        if (all.at == revision())
            all.at = answer->at;
        all.entries.insert(all.entries.end(), answer->entries.begin(), answer->entries.end());
        if (!answer->more || answer->entries.empty()) {
            onAnswer(all);
            return;
        }
        range.after = all.entries.back().key;
        listFrom(cause, range, std::move(all), std::move(onAnswer));
    });
}

std::uint64_t store_link::watch(std::string prefix, revision from, std::chrono::milliseconds wait, news_function onNews)
{
    const auto id = ++m_lastWatch;
    auto& watch = m_watches[id];
    watch.prefix = std::move(prefix);
    watch.after = from;
    watch.wait = wait;
    watch.onNews = std::move(onNews);
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
    request.totalTimeout = watch.wait + m_settings.longestTimeout;
    // The transfer's id is known only after the call; an answer comes from a later poll.
    const auto by = direct() || !m_peers || m_peers().empty() ? way::Direct : way::Detour;
    send("watch " + watch.prefix, std::move(request), by, [this, id](const http::answer& answer) { onWatch(id, answer); });
    watch.transfer = m_net.lastId();
}

void store_link::onWatch(std::uint64_t id, const http::answer& answer)
{
    const auto found = m_watches.find(id);
    if (found == m_watches.end())
        return;
    auto& watch = found->second;
    watch.transfer = 0;
    const auto news = platform::decodeWatch(answer);
    if (!news) {
        watch.reopenAt = m_now + m_settings.watchPause;
        return;
    }
    if (news->compacted) {
        const auto onNews = watch.onNews;
        m_watches.erase(found);
        onNews(*news);
        return;
    }
    watch.after = std::max(watch.after, news->at);
    watch.reopenAt = m_now;
    const auto onNews = watch.onNews;
    onNews(*news);
}

void store_link::relay(const http::exchange_ptr& exchange)
{
    if (!direct()) {
        exchange->answer(statusUnavailable, {}, "");
        return;
    }
    http::request onward;
    onward.method = std::string(http::findHeader(exchange->headers, methodHeader));
    onward.url = "http://" + m_address + std::string(http::findHeader(exchange->headers, targetHeader));
    onward.body = exchange->body;
    if (!onward.body.empty())
        onward.headers.emplace_back("Content-Type", "application/json");
    onward.totalTimeout = m_settings.relayedWait + m_settings.longestTimeout;
    send("relay", std::move(onward), way::Direct, [exchange](const http::answer& answer) {
        const bool whole = answer.outcome == http::transfer_result::Whole;
        exchange->answer(whole ? answer.status : statusOk, { { std::string(outcomeHeader), nameOf(answer.outcome) } }, whole ? answer.body : answer.detail);
    });
}

void store_link::tick(instant now)
{
    m_now = now;
    for (auto& [id, watch] : m_watches) {
        if (watch.transfer == 0 && now >= watch.reopenAt)
            open(id, watch);
    }
}

} // namespace lovagerail::edge
