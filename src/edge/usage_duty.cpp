// Asking, sealing and reporting of windows.
#include "edge/usage_duty.h"

#include "json_text.h"
#include "log.h"
#include "platform/duty_codec.h"

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
    constexpr std::chrono::milliseconds peerConnectTimeout { 400 };

    std::string sealKey(std::uint64_t window) { return "usage/" + std::to_string(window); }

    std::string encodeCounts(const usage_counts& counts)
    {
        Json::Value out(Json::objectValue);
        for (const auto& [account, count] : counts)
            out[account.str()] = Json::UInt64(count);
        return writeJson(out);
    }

    std::optional<usage_counts> decodeCounts(std::string_view text)
    {
        const auto value = parseJson(text);
        if (!value || !value->isObject())
            return std::nullopt;
        usage_counts out;
        for (const auto& name : value->getMemberNames())
            out[client_account_id(name)] = jsonCount(*value, name.c_str());
        return out;
    }

} // namespace

usage_duty::usage_duty(context& shared)
    : m_context(shared)
    , m_tally(shared.values.duties.usageWindow, windowsKept)
{
}

void usage_duty::count(const client_account_id& account, duration ago)
{
    m_tally.count(account, m_context.wall - std::chrono::duration_cast<std::chrono::milliseconds>(ago));
}

void usage_duty::onPeer(const http::exchange_ptr& exchange) const
{
    constexpr int statusOk = 200;
    const auto window = std::strtoull(exchange->query.c_str(), nullptr, 10);
    exchange->answer(statusOk, {}, encodeCounts(m_tally.of(window)));
}

void usage_duty::tick()
{
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
    state.got[instance_id(m_context.values.instance.name)] = m_tally.of(window);
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
            logEvent(log_level::Warning, "usage", "incomplete", { { "window", std::to_string(window) }, { "answers", std::to_string(state.got.size()) }, { "members", std::to_string(others.size() + 1) } });
        for (const auto& [name, counts] : state.got)
            addCounts(state.sealed, counts);
        state.at = stage::Sealing;
        return;
    }
    if (m_context.now < state.askAgain)
        return;
    state.askAgain = m_context.now + askPause;
    for (const auto& one : others) {
        if (state.got.contains(one.name) || !state.asked.insert(one.name).second)
            continue;
        http::request request;
        request.url = "http://" + one.address + "/usage?" + std::to_string(window);
        request.connectTimeout = peerConnectTimeout;
        request.totalTimeout = peerTimeout;
        m_context.net.call(std::move(request), [this, window, name = one.name](const http::answer& answer) {
            const auto found = m_windows.find(window);
            if (found == m_windows.end())
                return;
            found->second.asked.erase(name);
            const auto counts = answer.outcome == http::transfer_result::Whole ? decodeCounts(answer.body) : std::nullopt;
            if (counts)
                found->second.got[name] = *counts;
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
            if (!earlier)
                return;
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
    request.connectTimeout = peerConnectTimeout;
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
