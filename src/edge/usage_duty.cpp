// Collects, seals and reports usage windows as the duty's holder, and sends copies of this
// instance's counts to others.
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
    // After this time each request that was sent before the end of a window has begun to run or
    // was refused. Clocks of instances differ by little.
    constexpr std::chrono::milliseconds requestSettleTime { 700 };
    // After an outage the other members may be listed again a little later than this one; a
    // new holder that didn't wait for them would seal counts that are too low.
    constexpr duration termSettleTime = std::chrono::milliseconds(1500);
    constexpr duration countsRetryDelay = std::chrono::milliseconds(500); // for members that didn't answer
    constexpr duration retryDelay = std::chrono::milliseconds(400);
    // A window is sealed without the counts of silent members once half of the time until its
    // report is due has passed.
    constexpr int incompleteSealDivisor = 2;
    constexpr std::chrono::milliseconds peerTimeout { 800 };
    constexpr std::chrono::milliseconds reportTimeout { 1500 };
    constexpr std::chrono::milliseconds reportConnectTimeout { 400 };
    // Number of instances that get copies of our counts: two, so that one of them may be lost
    // together with us or be cut off unnoticed.
    constexpr std::size_t copyCount = 2;
    // A crash of an instance may lose at most this share of a window's counts, a fifth of the
    // error that a report may have.
    constexpr double maxLostShare = 0.01;
    constexpr duration minCopyInterval = std::chrono::milliseconds(200);
    constexpr duration maxCopyInterval = std::chrono::seconds(1);
    constexpr duration silentRetryDelay = std::chrono::seconds(2); // for an instance that accepted no copy

    std::string sealKey(std::uint64_t window) { return "usage/" + std::to_string(window); }

} // namespace

usage_duty::usage_duty(context& shared)
    : m_context(shared)
    , m_tally(shared.settings.duties.usageWindow, windowsKept, counting_incarnation(shared.settings.instance.name + "." + std::to_string(shared.ownIncarnation.value())))
{
}

void usage_duty::count(const client_account_id& account, duration ago)
{
    const auto began = m_context.wall - std::chrono::duration_cast<std::chrono::milliseconds>(ago);
    m_tally.count(account, began);
    m_changed.insert(m_tally.windowAt(began));
}

void usage_duty::onPeerRequest(const http::exchange_ptr& exchange)
{
    if (exchange->body.empty()) {
        const auto window = std::strtoull(exchange->query.c_str(), nullptr, 10);
        exchange->answer(statusOk, {}, encodeOrigins(m_tally.countsOf(window)));
        return;
    }
    const auto copy = decodeCopy(exchange->body);
    if (!copy) {
        logEvent(log_level::Warning, "usage", "copy_refused", { { "bytes", std::to_string(exchange->body.size()) } });
        exchange->answer(statusBadRequest, {}, "not counts by window and origin");
        return;
    }
    for (const auto& [window, counts] : *copy) {
        m_tally.mergeCounts(window, counts);
        // During shutdown, counts that we receive are passed on to others as well.
        if (m_leaving)
            m_changed.insert(window);
    }
    exchange->answer(statusOk, {}, "");
}

// The instances that hold copies of our counts, by rendezvous order: the same ones as long
// as they respond.
std::vector<member> usage_duty::copyHolders() const
{
    std::map<instance_id, member> candidates;
    std::vector<instance_id> names;
    for (auto& peer : m_members->others()) {
        if (m_unresponsive.contains(peer.name))
            continue;
        names.push_back(peer.name);
        candidates.emplace(peer.name, std::move(peer));
    }
    std::vector<member> out;
    for (const auto& name : rendezvousOrder(m_context.settings.instance.name, std::move(names))) {
        if (out.size() == copyCount)
            break;
        out.push_back(candidates.at(name));
    }
    return out;
}

void usage_duty::sendCopies()
{
    const auto recent = m_context.wall - m_context.settings.duties.usageLate;
    // Step 1. At shutdown, pass on all recent counts, including copies held for others.
    if (m_context.stopping && !m_leaving) {
        m_leaving = true;
        m_changed = m_tally.since(recent);
        m_nextCopy = m_context.now;
    }
    if (m_openCopies > 0 || m_context.now < m_nextCopy)
        return;

    std::erase_if(m_unresponsive, [this](const auto& entry) { return m_context.now >= entry.second; });

    // Step 2. If the set of copy holders has changed, send all recent windows, else only
    // changed ones.
    const auto holders = copyHolders();
    std::set<instance_id> names;
    for (const auto& holder : holders)
        names.insert(holder.name);
    if (names != m_copyHolders) {
        m_copyHolders = std::move(names);
        m_changed.merge(m_tally.since(recent));
    }
    if (m_changed.empty())
        return;
    const auto interval = m_tally.window() * maxLostShare * static_cast<double>(m_members->others().size() + 1);
    m_nextCopy = m_context.now + (m_leaving ? minCopyInterval : std::clamp(std::chrono::duration_cast<duration>(interval), minCopyInterval, maxCopyInterval));
    const auto windows = std::exchange(m_changed, {});
    std::map<std::uint64_t, usage_by_origin> content;
    for (const auto window : windows)
        content[window] = m_leaving ? m_tally.countsOf(window) : m_tally.ownCounts(window);
    const auto body = encodeCopy(content);
    for (const auto& holder : holders)
        sendCopy(holder, body, windows);
}

void usage_duty::sendCopy(const member& holder, const std::string& body, const std::set<std::uint64_t>& windows)
{
    ++m_openCopies;
    m_context.net.call(peerCall(holder.address, "/usage", body, peerTimeout), [this, windows, name = holder.name](const http::answer& answer) {
        --m_openCopies;
        if (isOk(answer))
            return;
        logEvent(log_level::Warning, "usage", "copy_failed", { { "member", name.str() }, { "status", std::to_string(answer.status) } });
        m_unresponsive[name] = m_context.now + silentRetryDelay;
        m_changed.insert(windows.begin(), windows.end());
    });
}

void usage_duty::tick()
{
    sendCopies();

    // Step 1. Only the holder of the duty continues; a new holder starts with the oldest window
    // whose report may still be due.
    const auto heldDuty = m_members->holds(usageDuty);
    if (!heldDuty || m_context.settings.duties.address.empty()) {
        m_term.reset();
        m_windows.clear();
        return;
    }
    if (m_term != heldDuty->fencing) {
        m_term = heldDuty->fencing;
        m_termStart = heldDuty->since;
        m_windows.clear();
        m_nextWindow = m_tally.windowAt(m_context.wall - m_context.settings.duties.usageLate);
    }

    // Step 2. Process windows that have ended.
    while (m_context.wall >= m_tally.endOf(m_nextWindow) + requestSettleTime)
        m_windows[m_nextWindow++];
    for (auto& [window, state] : m_windows)
        advance(window, state);
    std::erase_if(m_windows, [this](const auto& entry) {
        return entry.second.stage == window_stage::Done || (!entry.second.busy && m_context.wall > m_tally.endOf(entry.first) + 2 * m_context.settings.duties.usageLate);
    });
}

void usage_duty::advance(std::uint64_t window, window_state& state)
{
    if (state.stage == window_stage::CollectingCounts)
        requestCounts(window, state);
    else if (!state.busy && m_context.now >= state.retryAt) {
        if (state.stage == window_stage::Sealing)
            seal(window, state);
        else if (state.stage == window_stage::Reporting)
            report(window, state);
    }
}

void usage_duty::requestCounts(std::uint64_t window, window_state& state)
{
    mergeUsage(state.counts, m_tally.countsOf(window));
    const auto others = m_members->others();
    const bool settled = m_context.now >= m_termStart + termSettleTime;
    bool complete = settled;
    for (const auto& peer : others)
        complete = complete && state.answered.contains(peer.name);
    const auto end = m_tally.endOf(window);
    const auto sealDue = end + m_context.settings.duties.usageLate - requestSettleTime;
    const bool timedOut = m_context.wall >= sealDue || (settled && m_context.wall >= end + m_context.settings.duties.usageLate / incompleteSealDivisor);
    if (complete || timedOut) {
        if (!complete)
            logEvent(log_level::Warning, "usage", "incomplete", { { "window", std::to_string(window) }, { "answers", std::to_string(state.answered.size()) }, { "members", std::to_string(others.size()) } });
        state.sealed = sumOf(state.counts);
        state.stage = window_stage::Sealing;
        return;
    }
    if (m_context.now < state.nextRequestAt)
        return;
    state.nextRequestAt = m_context.now + countsRetryDelay;
    for (const auto& peer : others) {
        if (state.answered.contains(peer.name) || !state.pendingRequests.insert(peer.name).second)
            continue;
        m_context.net.call(peerCall(peer.address, "/usage?" + std::to_string(window), {}, peerTimeout), [this, window, name = peer.name](const http::answer& answer) {
            const auto found = m_windows.find(window);
            if (found == m_windows.end())
                return;
            found->second.pendingRequests.erase(name);
            const auto counts = isOk(answer) ? decodeOrigins(answer.body) : std::nullopt;
            if (!counts)
                return;
            mergeUsage(found->second.counts, *counts);
            found->second.answered.insert(name);
        });
    }
}

void usage_duty::seal(std::uint64_t window, window_state& state)
{
    // Create-only: if a holder before us has sealed this window, its counts are used.
    state.busy = true;
    kv_transaction change;
    change.compares.push_back({ sealKey(window), kv_field::ModRevision, {}, {} });
    change.then.emplace_back(kv_put { sealKey(window), encodeCounts(state.sealed), {} });
    m_context.store.call("usage", std::move(change), [this, window](const result<kv_answer>& answer) {
        const auto found = m_windows.find(window);
        if (found == m_windows.end())
            return;
        auto& current = found->second;
        current.busy = false;
        current.retryAt = m_context.now + retryDelay;
        if (!answer)
            return;
        if (!answer->succeeded) {
            const auto sealedEarlier = answer->entries.empty() ? std::nullopt : decodeCounts(answer->entries.front().value);
            if (!sealedEarlier) {
                // tick() retries until it gives the window up. Unreadable counts are never
                // reported as zero.
                logEvent(log_level::Error, "usage", "sealed_unreadable", { { "window", std::to_string(window) } });
                return;
            }
            current.sealed = *sealedEarlier;
        }
        current.retryAt = m_context.now;
        current.stage = window_stage::Reporting;
    });
}

void usage_duty::report(std::uint64_t window, window_state& state)
{
    const auto heldDuty = m_members->holds(usageDuty);
    if (!heldDuty)
        return;
    state.busy = true;
    const platform::duty_proof proof { instance_id(m_context.settings.instance.name), heldDuty->fencing };
    auto request = platform::encodeUsage(m_context.settings.duties.address, proof, window, state.sealed);
    request.connectTimeout = reportConnectTimeout;
    request.totalTimeout = m_members->callTimeout(*heldDuty, reportTimeout);
    request.maxBodyBytes = http::maxDocumentBytes;
    m_context.net.call(std::move(request), [this, window](const http::answer& answer) {
        const auto found = m_windows.find(window);
        if (found == m_windows.end())
            return;
        found->second.busy = false;
        found->second.retryAt = m_context.now + retryDelay;
        const auto outcome = platform::decodeDutyAnswer(answer);
        logEvent(log_level::Info, "usage", "reported", { { "window", std::to_string(window) }, { "status", std::to_string(answer.status) } });
        // Done if the platform has the report (AlreadyDone), or refused it for good (Busy, which
        // here is a conflict, or Refused). If it has seen a newer holder (Superseded), that one
        // reports the sealed counts.
        if (outcome == platform::duty_answer::AlreadyDone || outcome == platform::duty_answer::Busy || outcome == platform::duty_answer::Refused)
            found->second.stage = window_stage::Done;
    });
}

} // namespace lovagerail::edge
