// Token buckets over an instance's share of each limit, and the allocation of limits to
// instances; see account_limiter.h.
#include "account_limiter.h"

#include <algorithm>
#include <cassert>

namespace lovagerail {

namespace {

    constexpr double secondsPerMinute = 60;
    constexpr double demandSmoothing = 0.5; // weight of the newest demand report
    constexpr duration minRetryAfter = std::chrono::milliseconds(10);
    constexpr std::size_t maxSentReports = 16;
    constexpr duration idleTimeout = std::chrono::minutes(2);

    double secondsOf(duration span)
    {
        return std::chrono::duration<double>(span).count();
    }

    // Time until a bucket has been refilled by `missing`; rejected clients are told to wait for so long.
    duration timeToRefill(double missing, double perSecond)
    {
        const auto wait = std::chrono::duration_cast<duration>(std::chrono::duration<double>(missing / perSecond));
        return std::max(wait, minRetryAfter);
    }

    // At least one request, so that a very small share still admits some.
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
        return fullShare;
    const auto leased = state != nullptr && now < state->leaseEnd ? state->leased : 0;
    return m_settings.reservedShare / m_instances + leased;
}

std::uint32_t account_limiter::shareOf(const client_account_id& account, instant now) const
{
    const auto found = m_accounts.find(account);
    return shareOf(found == m_accounts.end() ? nullptr : &found->second, now);
}

void account_limiter::applyShares(const instance_id& self, const std::vector<account_share>& shares)
{
    for (const auto& share : shares) {
        if (share.holder != self)
            continue;
        const auto sent = std::find_if(m_sentReports.begin(), m_sentReports.end(), [&](const auto& sentReport) { return sentReport.first == share.report; });
        if (sent == m_sentReports.end())
            continue;
        auto& state = m_accounts[share.account];
        const auto end = sent->second + std::min(share.left, m_settings.leaseDuration);
        // A delayed older message must not restore a larger share that was reduced since.
        if (end < state.leaseEnd && share.share > state.leased)
            continue;
        state.leased = std::min(share.share, fullShare);
        state.leaseEnd = end;
    }
}

void account_limiter::refill(account_state& state, const account_limits& limits, double share, instant now) const
{
    const auto requests = requestBurst(limits, share);
    const auto tokens = tokenBurst(limits, share);
    if (!state.initialised) {
        state.initialised = true;
        state.requests = requests;
        state.tokens = tokens;
    } else if (now > state.lastRefill) {
        const auto passed = secondsOf(now - state.lastRefill);
        state.requests += passed * share * static_cast<double>(limits.requestsPerSecond);
        state.tokens += passed * share * static_cast<double>(limits.tokensPerMinute) / secondsPerMinute;
    }
    state.requests = std::min(state.requests, requests);
    state.tokens = std::min(state.tokens, tokens);
    state.lastRefill = std::max(state.lastRefill, now);
}

admission_result account_limiter::admit(const client_account_id& account, const account_limits& limits, std::uint64_t tokens, instant now)
{
    auto& state = m_accounts[account];
    ++state.demand;
    const auto share = static_cast<double>(shareOf(&state, now)) / fullShare;
    refill(state, limits, share, now);

    // Step 1. Check all limits before charging any of them.
    if (limits.concurrency > 0) {
        const auto maxRunning = std::max(1.0, static_cast<double>(limits.concurrency) * share);
        if (static_cast<double>(state.running) + 1 > maxRunning)
            return { limit_reason::Concurrency, std::chrono::seconds(1) };
    }
    if (limits.requestsPerSecond > 0 && state.requests < 1)
        return { limit_reason::RequestRate, timeToRefill(1 - state.requests, share * static_cast<double>(limits.requestsPerSecond)) };
    // A request larger than the bucket is admitted when the bucket is full. The level then
    // goes negative, and later requests wait until it has been refilled.
    if (limits.tokensPerMinute > 0) {
        const auto needed = std::min(static_cast<double>(tokens), tokenBurst(limits, share));
        const auto perSecond = share * static_cast<double>(limits.tokensPerMinute) / secondsPerMinute;
        if (state.tokens < needed)
            return { limit_reason::TokenRate, timeToRefill(needed - state.tokens, perSecond) };
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
    refill(state, limits, static_cast<double>(shareOf(&state, now)) / fullShare, now);
}

// Reports only the largest demands, so that the report's size is bounded.
demand_report account_limiter::takeDemand(instant now)
{
    demand_report out;
    out.number = ++m_lastReportNumber;
    m_sentReports.emplace_back(out.number, now);
    if (m_sentReports.size() > maxSentReports)
        m_sentReports.pop_front();
    for (auto& [account, state] : m_accounts) {
        if (state.demand > 0 || state.running > 0)
            out.rows.push_back({ account, std::max(state.demand, state.running) });
        state.demand = 0;
    }
    std::stable_sort(out.rows.begin(), out.rows.end(), [](const auto& a, const auto& b) { return a.requests > b.requests; });
    if (out.rows.size() > m_settings.maxAccountsPerReport)
        out.rows.resize(m_settings.maxAccountsPerReport);
    return out;
}

void account_limiter::dropIdle(instant now)
{
    for (auto it = m_accounts.begin(); it != m_accounts.end();) {
        const auto& state = it->second;
        const bool idle = state.running == 0 && now - state.lastRefill > idleTimeout && now >= state.leaseEnd;
        it = idle ? m_accounts.erase(it) : std::next(it);
    }
}

// --- Allocation -----------------------------------------------------------------

share_allocator::share_allocator(limiter_settings settings)
    : m_settings(settings)
{
}

void share_allocator::begin(instant now)
{
    m_grantsFrom = now + m_settings.leaseDuration;
    m_accounts.clear();
}

void share_allocator::onDemand(const instance_id& from, const demand_report& report, instant now)
{
    for (const auto& row : report.rows) {
        auto& state = m_accounts[row.account][from];
        state.report = std::max(state.report, report.number);
        state.demand = demandSmoothing * static_cast<double>(row.requests) + (1 - demandSmoothing) * state.demand;
        state.lastReportAt = now;
    }
}

std::vector<account_share> share_allocator::allocate(instant now)
{
    std::vector<account_share> out;
    if (now < m_grantsFrom)
        return out;
    for (auto it = m_accounts.begin(); it != m_accounts.end();) {
        allocate(it->first, it->second, now, out);
        it = it->second.empty() ? m_accounts.erase(it) : std::next(it);
    }
    return out;
}

// Splits one account's limit in proportion to demand.
void share_allocator::allocate(const client_account_id& account, account_instances& instances, instant now, std::vector<account_share>& out) const
{
    // Step 1. Drop instances that no longer report and hold no lease.
    for (auto it = instances.begin(); it != instances.end();) {
        const bool expired = now - it->second.lastReportAt > m_settings.demandExpiry && now >= it->second.leaseEnd;
        it = expired ? instances.erase(it) : std::next(it);
    }

    // Step 2. Sum the shares still leased, and the demand of instances with a recent report.
    const std::uint32_t leasable = fullShare - m_settings.reservedShare;
    std::uint64_t leasedSum = 0;
    double demand = 0;
    for (auto& [name, state] : instances) {
        if (now >= state.leaseEnd)
            state.leased = 0;
        leasedSum += state.leased;
        if (now - state.lastReportAt <= m_settings.demandExpiry)
            demand += state.demand;
    }
    if (demand <= 0)
        return;

    // Step 3. Grant. A reduced share is charged at its old size until the old lease
    // expires; an increase is limited to what is not leased now.
    for (auto& [name, state] : instances) {
        if (now - state.lastReportAt > m_settings.demandExpiry)
            continue;
        const auto fair = static_cast<std::uint32_t>(leasable * (state.demand / demand));
        const auto free = static_cast<std::uint32_t>(leasable - std::min<std::uint64_t>(leasedSum, leasable));
        const auto granted = std::min(fair, state.leased + free);
        if (granted == 0)
            continue;
        if (granted >= state.leased) {
            leasedSum += granted - state.leased;
            state.leased = granted;
            state.leaseEnd = now + m_settings.leaseDuration;
        }
        // A reduced lease keeps the expiry of the larger one, whose remainder becomes free then.
        out.push_back({ name, account, granted, state.report, state.leaseEnd - now });
    }
}

// --- JSON form, sent between instances -----------------------------------------------

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
