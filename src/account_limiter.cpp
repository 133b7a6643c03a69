// Token buckets over a share of a limit, and the division of limits into shares.
#include "account_limiter.h"

#include <algorithm>
#include <cassert>

namespace lovagerail {

namespace {

    constexpr double secondsPerMinute = 60;
    constexpr double smoothing = 0.5; // weight of the newest demand report
    constexpr duration shortestWait = std::chrono::milliseconds(10);
    constexpr std::size_t rememberedReports = 16;
    constexpr duration idleMemory = std::chrono::minutes(2);

    double secondsOf(duration span)
    {
        return std::chrono::duration<double>(span).count();
    }

    // Time until a bucket that lacks so much has it.
    duration waitFor(double lacking, double perSecond)
    {
        const auto wait = std::chrono::duration_cast<duration>(std::chrono::duration<double>(lacking / perSecond));
        return std::max(wait, shortestWait);
    }

    // A bucket holds at least one request, so that a small share still lets some pass.
    double requestBurst(const account_limits& limits, double share)
    {
        const auto burst = static_cast<double>(std::max(limits.burst, limits.requestsPerSecond));
        return std::max(1.0, burst * share);
    }

    double tokenBurst(const account_limits& limits, double share)
    {
        return std::max(1.0, static_cast<double>(limits.tokensPerMinute) * share);
    }

} // namespace

std::string_view toString(limit_reason reason)
{
    switch (reason) {
    case limit_reason::Within:
        return "within_limits";
    case limit_reason::RequestRate:
        return "request_rate";
    case limit_reason::Concurrency:
        return "concurrency";
    case limit_reason::TokenRate:
        return "token_rate";
    }
    return "within_limits";
}

// --- Enforcement ---------------------------------------------------------------

account_limiter::account_limiter(limiter_settings settings)
    : m_settings(settings)
{
}

void account_limiter::setInstances(std::uint32_t count)
{
    m_instances = std::max(count, 1U);
}

std::uint32_t account_limiter::shareOf(const account_state* state, instant now) const
{
    if (m_instances == 1)
        return wholeLimit;
    const auto leased = state != nullptr && now < state->leaseEnd ? state->leased : 0;
    return m_settings.reserve / m_instances + leased;
}

std::uint32_t account_limiter::shareOf(const client_account_id& account, instant now) const
{
    const auto found = m_accounts.find(account);
    return shareOf(found == m_accounts.end() ? nullptr : &found->second, now);
}

void account_limiter::onShares(const instance_id& self, const std::vector<account_share>& shares)
{
    for (const auto& share : shares) {
        if (share.holder != self)
            continue;
        const auto sent = std::find_if(m_reports.begin(), m_reports.end(), [&](const auto& one) { return one.first == share.report; });
        if (sent == m_reports.end())
            continue;
        auto& state = m_accounts[share.account];
        const auto end = sent->second + std::min(share.left, m_settings.lease);
        // An older message that comes late must not bring back a larger share.
        if (end < state.leaseEnd && share.share > state.leased)
            continue;
        state.leased = std::min(share.share, wholeLimit);
        state.leaseEnd = end;
    }
}

void account_limiter::refill(account_state& state, const account_limits& limits, double share, instant now) const
{
    const auto requests = requestBurst(limits, share);
    const auto tokens = tokenBurst(limits, share);
    if (!state.filled) {
        state.filled = true;
        state.requests = requests;
        state.tokens = tokens;
    } else if (now > state.refilled) {
        const auto passed = secondsOf(now - state.refilled);
        state.requests += passed * share * static_cast<double>(limits.requestsPerSecond);
        state.tokens += passed * share * static_cast<double>(limits.tokensPerMinute) / secondsPerMinute;
    }
    state.requests = std::min(state.requests, requests);
    state.tokens = std::min(state.tokens, tokens);
    state.refilled = std::max(state.refilled, now);
}

limit_verdict account_limiter::admit(const client_account_id& account, const account_limits& limits, std::uint64_t tokens, instant now)
{
    auto& state = m_accounts[account];
    ++state.demand;
    const auto share = static_cast<double>(shareOf(&state, now)) / wholeLimit;
    refill(state, limits, share, now);

    // Step 1. All limits are looked at before any is charged.
    if (limits.concurrency > 0) {
        const auto most = std::max(1.0, static_cast<double>(limits.concurrency) * share);
        if (static_cast<double>(state.running) + 1 > most)
            return { limit_reason::Concurrency, std::chrono::seconds(1) };
    }
    if (limits.requestsPerSecond > 0 && state.requests < 1)
        return { limit_reason::RequestRate, waitFor(1 - state.requests, share * static_cast<double>(limits.requestsPerSecond)) };
    // A request larger than the bucket passes when the bucket is full, and is paid off after.
    if (limits.tokensPerMinute > 0) {
        const auto needed = std::min(static_cast<double>(tokens), tokenBurst(limits, share));
        const auto perSecond = share * static_cast<double>(limits.tokensPerMinute) / secondsPerMinute;
        if (state.tokens < needed)
            return { limit_reason::TokenRate, waitFor(needed - state.tokens, perSecond) };
    }

    // Step 2. Charge.
    ++state.running;
    state.requests -= 1;
    state.tokens -= static_cast<double>(tokens);
    return {};
}

void account_limiter::finished(const client_account_id& account, const account_limits& limits, std::uint64_t estimated, std::uint64_t used, instant now)
{
    const auto found = m_accounts.find(account);
    assert(found != m_accounts.end() && found->second.running > 0);
    auto& state = found->second;
    --state.running;
    state.tokens += static_cast<double>(estimated) - static_cast<double>(used);
    refill(state, limits, static_cast<double>(shareOf(&state, now)) / wholeLimit, now);
}

// The largest demands, so that a report's size doesn't grow with the accounts.
demand_report account_limiter::takeDemand(instant now)
{
    demand_report out;
    out.number = ++m_lastReport;
    m_reports.emplace_back(out.number, now);
    if (m_reports.size() > rememberedReports)
        m_reports.pop_front();
    for (auto& [account, state] : m_accounts) {
        if (state.demand > 0 || state.running > 0)
            out.rows.push_back({ account, std::max(state.demand, state.running) });
        state.demand = 0;
    }
    std::stable_sort(out.rows.begin(), out.rows.end(), [](const auto& a, const auto& b) { return a.requests > b.requests; });
    if (out.rows.size() > m_settings.mostReports)
        out.rows.resize(m_settings.mostReports);
    return out;
}

void account_limiter::dropIdle(instant now)
{
    for (auto at = m_accounts.begin(); at != m_accounts.end();) {
        const auto& state = at->second;
        const bool idle = state.running == 0 && now - state.refilled > idleMemory && now >= state.leaseEnd;
        at = idle ? m_accounts.erase(at) : std::next(at);
    }
}

// --- Division -------------------------------------------------------------------

share_divider::share_divider(limiter_settings settings)
    : m_settings(settings)
{
}

void share_divider::begin(instant now)
{
    m_begins = now + m_settings.lease;
    m_accounts.clear();
}

void share_divider::onDemand(const instance_id& from, const demand_report& report, instant now)
{
    for (const auto& row : report.rows) {
        auto& state = m_accounts[row.account][from];
        state.report = std::max(state.report, report.number);
        state.demand = smoothing * static_cast<double>(row.requests) + (1 - smoothing) * state.demand;
        state.heard = now;
    }
}

std::vector<account_share> share_divider::divide(instant now)
{
    std::vector<account_share> out;
    if (now < m_begins)
        return out;
    for (auto at = m_accounts.begin(); at != m_accounts.end();) {
        divide(at->first, at->second, now, out);
        at = at->second.empty() ? m_accounts.erase(at) : std::next(at);
    }
    return out;
}

// Divides one account's limit by demand.
void share_divider::divide(const client_account_id& account, holders& held, instant now, std::vector<account_share>& out) const
{
    // Step 1. Who is gone and has no lease left is forgotten.
    for (auto at = held.begin(); at != held.end();) {
        const bool gone = now - at->second.heard > m_settings.demandMemory && now >= at->second.leaseEnd;
        at = gone ? held.erase(at) : std::next(at);
    }

    // Step 2. What is out already, and the demand of those heard lately.
    const std::uint32_t whole = wholeLimit - m_settings.reserve;
    std::uint64_t spent = 0;
    double demand = 0;
    for (auto& [name, state] : held) {
        if (now >= state.leaseEnd)
            state.leased = 0;
        spent += state.leased;
        if (now - state.heard <= m_settings.demandMemory)
            demand += state.demand;
    }
    if (demand <= 0)
        return;

    // Step 3. New leases. A smaller share counts as the larger one until that ends;
    // a larger one gets no more than what is free now.
    for (auto& [name, state] : held) {
        if (now - state.heard > m_settings.demandMemory)
            continue;
        const auto fair = static_cast<std::uint32_t>(whole * (state.demand / demand));
        const auto free = static_cast<std::uint32_t>(whole - std::min<std::uint64_t>(spent, whole));
        const auto granted = std::min(fair, state.leased + free);
        if (granted == 0)
            continue;
        if (granted >= state.leased) {
            spent += granted - state.leased;
            state.leased = granted;
            state.leaseEnd = now + m_settings.lease;
        }
        // A shrunk lease ends no later than the larger one, which is then free again.
        out.push_back({ name, account, granted, state.report, state.leaseEnd - now });
    }
}

// --- Between instances -------------------------------------------------------------

Json::Value toJson(const demand_report& report)
{
    Json::Value out(Json::objectValue);
    out["number"] = Json::UInt64(report.number);
    auto& rows = out["rows"] = Json::Value(Json::arrayValue);
    for (const auto& row : report.rows) {
        Json::Value item;
        item["account"] = row.account.str();
        item["requests"] = Json::UInt64(row.requests);
        rows.append(std::move(item));
    }
    return out;
}

demand_report demandFromJson(const Json::Value& value)
{
    demand_report out;
    if (!value.isObject() || !value["number"].isUInt64() || !value["rows"].isArray())
        return out;
    out.number = value["number"].asUInt64();
    for (const auto& item : value["rows"]) {
        if (item.isObject() && item["account"].isString() && item["requests"].isUInt64())
            out.rows.push_back({ client_account_id(item["account"].asString()), item["requests"].asUInt64() });
    }
    return out;
}

Json::Value toJson(const std::vector<account_share>& shares)
{
    Json::Value out(Json::arrayValue);
    for (const auto& row : shares) {
        Json::Value item;
        item["holder"] = row.holder.str();
        item["account"] = row.account.str();
        item["share"] = Json::UInt(row.share);
        item["report"] = Json::UInt64(row.report);
        item["left_ms"] = Json::Int64(std::chrono::duration_cast<std::chrono::milliseconds>(row.left).count());
        out.append(std::move(item));
    }
    return out;
}

std::vector<account_share> sharesFromJson(const Json::Value& value)
{
    std::vector<account_share> out;
    if (!value.isArray())
        return out;
    for (const auto& item : value) {
        if (!item.isObject() || !item["holder"].isString() || !item["account"].isString() || !item["share"].isUInt() || !item["report"].isUInt64()
            || !item["left_ms"].isInt64())
            continue;
        out.push_back({ instance_id(item["holder"].asString()), client_account_id(item["account"].asString()), item["share"].asUInt(),
            item["report"].asUInt64(), std::chrono::milliseconds(item["left_ms"].asInt64()) });
    }
    return out;
}

} // namespace lovagerail
