// Asking, sealing and reporting of windows.
#include "edge/usage_duty.h"

#include "edge/peer_call.h"
#include "log.h"
#include "platform/duty_codec.h"
#include "rendezvous.h"
#include "usage_tally_json.h"

#include <algorithm>

namespace lovagerail::edge {

namespace {

    constexpr std::uint64_t windowsKept = 16; // of own counts; reports are due within two windows
    // Requests that were sent before a window's end have begun, or were refused, so long
    // after it; instances' clocks are close.
    constexpr std::chrono::milliseconds settle { 700 };
    // After an outage the other members are back in the list a little later than we are;
    // a new holder that counted without them would seal too little.
    constexpr duration termSettle = std::chrono::milliseconds(1500);
    constexpr duration askPause = std::chrono::milliseconds(500); // before members that didn't answer are asked again
    constexpr duration retryPause = std::chrono::milliseconds(400);
    // Sealed without a member's counts when half of the time until the report is due is over.
    constexpr int patienceShare = 2;
    constexpr std::chrono::milliseconds peerTimeout { 800 };
    constexpr std::chrono::milliseconds reportTimeout { 1500 };
    constexpr std::chrono::milliseconds reportConnectTimeout { 400 };
    // Instances that get copies of our counts: two, so that one of them may be lost
    // together with us, or be cut off unnoticed.
    constexpr std::size_t copiesKept = 2;
    // A lost instance takes at most this part of all counts of a window with it: a fifth of
    // what a report may be off by.
    constexpr double lostShare = 0.01;
    constexpr duration shortestCopyPause = std::chrono::milliseconds(200);
    constexpr duration longestCopyPause = std::chrono::seconds(1);
    constexpr duration silentPause = std::chrono::seconds(2); // before an instance that took no copy is tried again

    std::string sealKey(std::uint64_t window) { return "usage/" + std::to_string(window); }

} // namespace

usage_duty::usage_duty(context& shared)
    : m_context(shared)
    , m_tally(shared.values.duties.usageWindow, windowsKept, usage_origin(shared.values.instance.name + "." + std::to_string(shared.life.value())))
{
}

void usage_duty::count(const client_account_id& account, duration ago)
{
    const auto began = m_context.wall - std::chrono::duration_cast<std::chrono::milliseconds>(ago);
    m_tally.count(account, began);
    m_changed.insert(m_tally.windowAt(began));
}

void usage_duty::onPeer(const http::exchange_ptr& exchange)
{
    if (exchange->body.empty()) {
        const auto window = std::strtoull(exchange->query.c_str(), nullptr, 10);
        exchange->answer(statusOk, {}, encodeOrigins(m_tally.of(window)));
        return;
    }
    const auto copy = decodeCopy(exchange->body);
    if (!copy) {
        logEvent(log_level::Warning, "usage", "copy_refused", { { "bytes", std::to_string(exchange->body.size()) } });
        exchange->answer(statusBadRequest, {}, "not counts by window and origin");
        return;
    }
    for (const auto& [window, counts] : *copy) {
        m_tally.absorb(window, counts);
        // Whoever leaves passes on what it was given, also after its last copy.
        if (m_leaving)
            m_changed.insert(window);
    }
    exchange->answer(statusOk, {}, "");
}

// The instances that keep copies of our counts: always the same ones while they answer.
std::vector<member> usage_duty::keepers() const
{
    std::map<instance_id, member> candidates;
    std::vector<instance_id> names;
    for (auto& one : m_members->others()) {
        if (m_silent.contains(one.name))
            continue;
        names.push_back(one.name);
        candidates.emplace(one.name, std::move(one));
    }
    std::vector<member> out;
    for (const auto& name : rendezvousOrder(m_context.values.instance.name, std::move(names))) {
        if (out.size() == copiesKept)
            break;
        out.push_back(candidates.at(name));
    }
    return out;
}

void usage_duty::copyOut()
{
    const auto recent = m_context.wall - m_context.values.duties.usageLate;
    // Step 1. A stop passes on all that is known here, copies of others included.
    if (m_context.stopping && !m_leaving) {
        m_leaving = true;
        m_changed = m_tally.since(recent);
        m_nextCopy = m_context.now;
    }
    if (m_copying > 0 || m_context.now < m_nextCopy)
        return;

    std::erase_if(m_silent, [this](const auto& entry) { return m_context.now >= entry.second; });

    // Step 2. New keepers get what is recent, the others what has changed.
    const auto chosen = keepers();
    std::set<instance_id> names;
    for (const auto& one : chosen)
        names.insert(one.name);
    if (names != m_keepers) {
        m_keepers = std::move(names);
        m_changed.merge(m_tally.since(recent));
    }
    if (m_changed.empty())
        return;
    const auto share = m_tally.window() * lostShare * static_cast<double>(m_members->others().size() + 1);
    m_nextCopy = m_context.now + (m_leaving ? shortestCopyPause : std::clamp(std::chrono::duration_cast<duration>(share), shortestCopyPause, longestCopyPause));
    const auto windows = std::exchange(m_changed, {});
    std::map<std::uint64_t, usage_by_origin> content;
    for (const auto window : windows)
        content[window] = m_leaving ? m_tally.of(window) : m_tally.own(window);
    const auto body = encodeCopy(content);
    for (const auto& one : chosen)
        sendCopy(one, body, windows);
}

void usage_duty::sendCopy(const member& to, const std::string& body, const std::set<std::uint64_t>& windows)
{
    ++m_copying;
    m_context.net.call(peerCall(to.address, "/usage", body, peerTimeout), [this, windows, name = to.name](const http::answer& answer) {
        --m_copying;
        if (isOk(answer))
            return;
        logEvent(log_level::Warning, "usage", "copy_failed", { { "member", name.str() }, { "status", std::to_string(answer.status) } });
        m_silent[name] = m_context.now + silentPause;
        m_changed.insert(windows.begin(), windows.end());
    });
}

void usage_duty::tick()
{
    copyOut();

    // Step 1. Only the holder goes on; a new term looks at windows that may still be due.
    const auto held = m_members->holds(usageDuty);
    if (!held || m_context.values.duties.address.empty()) {
        m_term.reset();
        m_windows.clear();
        return;
    }
    if (m_term != held->fencing) {
        m_term = held->fencing;
        m_termBegan = held->since;
        m_windows.clear();
        m_next = m_tally.windowAt(m_context.wall - m_context.values.duties.usageLate);
    }

    // Step 2. Windows that have ended.
    while (m_context.wall >= m_tally.endOf(m_next) + settle)
        m_windows[m_next++];
    for (auto& [window, state] : m_windows)
        drive(window, state);
    std::erase_if(m_windows, [this](const auto& entry) {
        return entry.second.at == stage::Done || (!entry.second.busy && m_context.wall > m_tally.endOf(entry.first) + 2 * m_context.values.duties.usageLate);
    });
}

void usage_duty::drive(std::uint64_t window, open_window& state)
{
    if (state.at == stage::Asking)
        ask(window, state);
    else if (!state.busy && m_context.now >= state.again) {
        if (state.at == stage::Sealing)
            seal(window, state);
        else if (state.at == stage::Reporting)
            report(window, state);
    }
}

void usage_duty::ask(std::uint64_t window, open_window& state)
{
    mergeUsage(state.counts, m_tally.of(window));
    const auto others = m_members->others();
    const bool settled = m_context.now >= m_termBegan + termSettle;
    bool complete = settled;
    for (const auto& one : others)
        complete = complete && state.got.contains(one.name);
    const auto end = m_tally.endOf(window);
    const auto due = end + m_context.values.duties.usageLate - settle;
    const bool late = m_context.wall >= due || (settled && m_context.wall >= end + m_context.values.duties.usageLate / patienceShare);
    if (complete || late) {
        if (!complete)
            logEvent(log_level::Warning, "usage", "incomplete", { { "window", std::to_string(window) }, { "answers", std::to_string(state.got.size()) }, { "members", std::to_string(others.size()) } });
        state.sealed = sumOf(state.counts);
        state.at = stage::Sealing;
        return;
    }
    if (m_context.now < state.askAgain)
        return;
    state.askAgain = m_context.now + askPause;
    for (const auto& one : others) {
        if (state.got.contains(one.name) || !state.asked.insert(one.name).second)
            continue;
        m_context.net.call(peerCall(one.address, "/usage?" + std::to_string(window), {}, peerTimeout), [this, window, name = one.name](const http::answer& answer) {
            const auto found = m_windows.find(window);
            if (found == m_windows.end())
                return;
            found->second.asked.erase(name);
            const auto counts = isOk(answer) ? decodeOrigins(answer.body) : std::nullopt;
            if (!counts)
                return;
            mergeUsage(found->second.counts, *counts);
            found->second.got.insert(name);
        });
    }
}

void usage_duty::seal(std::uint64_t window, open_window& state)
{
    // The counts as they are, or those that somebody sealed before us.
    state.busy = true;
    kv_transaction change;
    change.compares.push_back({ sealKey(window), kv_field::ModRevision, {}, {} });
    change.then.emplace_back(kv_put { sealKey(window), encodeCounts(state.sealed), {} });
    m_context.store.call("usage", std::move(change), [this, window](const result<kv_answer>& answer) {
        const auto found = m_windows.find(window);
        if (found == m_windows.end())
            return;
        auto& open = found->second;
        open.busy = false;
        open.again = m_context.now + retryPause;
        if (!answer)
            return;
        if (!answer->succeeded) {
            const auto earlier = answer->entries.empty() ? std::nullopt : decodeCounts(answer->entries.front().value);
            if (!earlier) {
                // Asked again until the window is past; never reported as nothing.
                logEvent(log_level::Error, "usage", "sealed_unreadable", { { "window", std::to_string(window) } });
                return;
            }
            open.sealed = *earlier;
        }
        open.again = m_context.now;
        open.at = stage::Reporting;
    });
}

void usage_duty::report(std::uint64_t window, open_window& state)
{
    const auto held = m_members->holds(usageDuty);
    if (!held)
        return;
    state.busy = true;
    const platform::duty_proof proof { instance_id(m_context.values.instance.name), held->fencing };
    auto request = platform::encodeUsage(m_context.values.duties.address, proof, window, state.sealed);
    request.connectTimeout = reportConnectTimeout;
    request.totalTimeout = reportTimeout;
    m_context.net.call(std::move(request), [this, window](const http::answer& answer) {
        const auto found = m_windows.find(window);
        if (found == m_windows.end())
            return;
        found->second.busy = false;
        found->second.again = m_context.now + retryPause;
        const auto outcome = platform::decodeDutyAnswer(answer);
        logEvent(log_level::Info, "usage", "reported", { { "window", std::to_string(window) }, { "status", std::to_string(answer.status) } });
        // A newer holder was seen: it reports what is sealed.
        if (outcome == platform::duty_answer::Holds || outcome == platform::duty_answer::Busy || outcome == platform::duty_answer::Refused)
            found->second.at = stage::Done;
    });
}

} // namespace lovagerail::edge
