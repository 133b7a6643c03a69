// Choice of the followed targets, and the transfers that poll them.
#include "target/target_watch.h"
#include "http_status.h"

#include <algorithm>
#include <vector>
#include <xxhash.h>

namespace lovagerail::target {

namespace {

    constexpr duration eventsRetryDelay = std::chrono::seconds(2);

} // namespace

target_watch::target_watch(target_watch_settings settings, start_function start, cancel_function cancel)
    : m_settings(settings)
    , m_start(std::move(start))
    , m_cancel(std::move(cancel))
{
}

// Chooses the followed targets by rendezvous hashing, so that different instances follow
// different targets, and each target is followed by some instances.
void target_watch::updateFollowed(const router& routing, std::uint64_t salt)
{
    std::vector<std::pair<std::uint64_t, target_id>> ranked;
    for (const auto slot : routing.table().all()) {
        if (!routing.table().isLive(slot))
            continue;
        const auto& record = routing.table().record(slot);
        if (record.listed.kind != target_kind::Engine)
            continue;
        const auto& name = record.listed.id.str();
        ranked.emplace_back(XXH64(name.data(), name.size(), salt), record.listed.id);
    }
    if (ranked.size() > m_settings.maxTargets) {
        std::nth_element(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(m_settings.maxTargets), ranked.end());
        ranked.resize(m_settings.maxTargets);
    }
    std::map<target_id, followed> nextFollowed;
    for (const auto& [hash, id] : ranked) {
        const auto previous = m_followed.find(id);
        nextFollowed[id] = previous == m_followed.end() ? followed {} : previous->second;
    }
    for (const auto& [id, state] : m_followed) {
        if (nextFollowed.contains(id) || state.eventsTransfer == 0)
            continue;
        m_polls.erase(state.eventsTransfer);
        m_cancel(state.eventsTransfer);
    }
    m_followed = std::move(nextFollowed);
}

void target_watch::tick(const router& routing, std::uint64_t salt, instant now)
{
    updateFollowed(routing, salt);
    for (auto& [id, state] : m_followed) {
        const auto slot = routing.table().find(id);
        if (!slot)
            continue;
        const auto& record = routing.table().record(*slot);
        if (state.loadTransfer == 0 && now >= state.nextLoadPoll)
            startLoadPoll(record, state, now);
        if (state.eventsTransfer == 0 && now >= state.eventsRetryAt)
            startEventStream(record, state, now);
    }
}

void target_watch::startLoadPoll(const target_record& record, followed& state, instant now)
{
    http::request request;
    request.id = ++m_lastId;
    request.url = record.listed.address + "/load";
    request.totalTimeout = m_settings.timeout;
    request.connectTimeout = m_settings.timeout;
    state.nextLoadPoll = now + m_settings.loadPollInterval;
    const auto id = request.id;
    if (!m_start(std::move(request)))
        return;
    state.loadTransfer = id;
    m_polls[id] = poll { poll_kind::Load, record.listed.id, {}, {} };
}

void target_watch::startEventStream(const target_record& record, followed& state, instant now)
{
    http::request request;
    request.id = ++m_lastId;
    request.url = record.listed.address + "/events?after=" + std::to_string(state.lastSeq);
    state.eventsRetryAt = now + eventsRetryDelay;
    const auto id = request.id;
    if (!m_start(std::move(request)))
        return;
    state.eventsTransfer = id;
    m_polls[id] = poll { poll_kind::Events, record.listed.id, {}, {} };
}

bool target_watch::onEvent(const http::event& event, router& routing, instant now, wall_time wall)
{
    const auto found = m_polls.find(event.id);
    if (found == m_polls.end())
        return false;
    auto& activePoll = found->second;
    const auto state = m_followed.find(activePoll.target);

    // Step 1. Bytes: cache events are applied as they arrive, a load report when it is complete.
    if (event.what == http::event::kind::Body) {
        if (activePoll.kind == poll_kind::Load) {
            activePoll.body += event.bytes;
            return true;
        }
        const auto events = activePoll.reader.feed(event.bytes);
        if (!events)
            return true;
        for (const auto& item : *events) {
            routing.applyCacheEvent(activePoll.target, item, now);
            if (state != m_followed.end())
                state->second.lastSeq = std::max(state->second.lastSeq, item.seq);
        }
        return true;
    }
    if (event.what != http::event::kind::Done)
        return true;

    // Step 2. The end of the transfer.
    if (activePoll.kind == poll_kind::Load && event.outcome == http::transfer_result::Complete && event.status == statusOk) {
        if (const auto report = decodeLoad(activePoll.body, activePoll.target, now, wall))
            routing.applyReport(*report, now);
    }
    if (state != m_followed.end()) {
        if (state->second.loadTransfer == event.id)
            state->second.loadTransfer = 0;
        if (state->second.eventsTransfer == event.id)
            state->second.eventsTransfer = 0;
    }
    m_polls.erase(found);
    return true;
}

} // namespace lovagerail::target
