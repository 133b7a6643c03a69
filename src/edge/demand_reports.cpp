// Sends this instance's demand to the holder of targetsDuty, keeps the reports of others and answers
// them with shares.
#include "edge/demand_reports.h"

#include "edge/peer_call.h"
#include "json_text.h"
#include "log.h"

#include <algorithm>

namespace lovagerail::edge {

namespace {

    constexpr duration reportPeriod = std::chrono::milliseconds(400); // the items of a training step come and go within seconds
    constexpr std::chrono::milliseconds reportTimeout { 500 };
    constexpr duration logPeriod = std::chrono::seconds(2); // of shares that are in force
    constexpr std::uint32_t defaultSlots = 8; // of a target that doesn't state its slots, as in batch_runner_settings

} // namespace

demand_reports::demand_reports(context& shared, members& membership, shares_function onShares)
    : m_context(shared)
    , m_members(membership)
    , m_onShares(std::move(onShares))
{
}

void demand_reports::report(const std::vector<model_demand>& demand)
{
    // When the demand ends, send one empty report, then none until there is demand again.
    if (!isReportDue() || (demand.empty() && !m_lastReportHadWork))
        return;
    m_nextReport = m_context.now + reportPeriod;
    m_lastReportHadWork = !demand.empty();
    const instance_id self(m_context.settings.instance.name);
    const auto request = ++m_requests;
    if (m_members.holds(targetsDuty)) {
        m_reports[self] = { demand, m_context.now, m_context.now + demandLifetime };
        applyShares(request, grant(self), m_context.now);
        return;
    }
    const auto* holder = m_members.holderOf(targetsDuty);
    if (holder == nullptr)
        return;
    // No retry: the next period sends a new report. Without an answer the last shares expire.
    m_context.net.call(peerCall(holder->address, "/demand", writeJson(encodeDemand({ self, demand })), reportTimeout), [this, request, sentAt = m_context.now](const http::answer& answer) {
        if (isOk(answer))
            applyShares(request, decodeShares(parseJson(answer.body).value_or(Json::Value())), sentAt);
    });
}

void demand_reports::applyShares(std::uint64_t request, const granted_shares& granted, instant sentAt)
{
    m_onShares(request, granted, sentAt);
    const bool limited = !granted.shares.empty();
    if (limited == std::exchange(m_limited, limited))
        return;
    if (!limited)
        logEvent(log_level::Info, "targets", "unlimited");
    for (const auto& [key, slots] : granted.shares)
        logEvent(log_level::Info, "targets", "limited", { { "service", key.first.str() }, { "model", key.second.str() }, { "slots", std::to_string(slots.slots) }, { "fair", std::to_string(slots.fair) } });
}

void demand_reports::onPeerRequest(const http::exchange_ptr& exchange)
{
    const auto body = parseJson(exchange->body);
    auto report = body ? decodeDemand(*body) : std::nullopt;
    if (!report) {
        logEvent(log_level::Warning, "targets", "demand_refused", { { "bytes", std::to_string(exchange->body.size()) } });
        exchange->answer(statusBadRequest, {}, "not an instance's demand");
        return;
    }
    std::erase_if(m_reports, [this](const auto& entry) { return m_context.now >= entry.second.until; });
    m_reports[report->from] = { std::move(report->models), m_context.now, m_context.now + demandLifetime };
    // An instance that has lost the duty gives no shares.
    exchange->answer(statusOk, {}, m_members.holds(targetsDuty) ? writeJson(encodeShares(grant(report->from))) : std::string());
}

// Divides the pools for which `owner` has demand, and returns its part.
granted_shares demand_reports::grant(const instance_id& owner)
{
    granted_shares out;
    out.validity = demandLifetime;
    if (!m_context.site)
        return out;
    for (const auto& own : m_reports.at(owner).demand) {
        const auto* service = m_context.site->service(own.service);
        if (service == nullptr || !service->engine)
            continue;
        std::vector<slot_claim> claims;
        for (const auto& [from, report] : m_reports) {
            if (m_context.now >= report.until)
                continue;
            for (const auto& demand : report.demand) {
                if (demand.service == own.service)
                    claims.push_back(claimOf(from, demand, m_context.now - report.at));
            }
        }
        auto& pool = m_pools[own.service];
        const bool wasLimiting = pool.limiting();
        m_shares[own.service] = pool.divide(claims, liveSlots(own.service), m_context.now);
        m_sharesUntil = m_context.now + demandLifetime;
        logShares(own.service, !wasLimiting && pool.limiting(), wasLimiting && !pool.limiting());
        for (const auto& share : m_shares[own.service]) {
            if (share.owner == owner)
                out.shares[{ own.service, share.model }] = { share.slots, share.fair };
        }
    }
    return out;
}

const std::map<service_id, std::vector<slot_share>>& demand_reports::shares()
{
    if (m_context.now >= m_sharesUntil)
        m_shares.clear();
    return m_shares;
}

std::size_t demand_reports::liveSlots(const service_id& service) const
{
    std::size_t out = 0;
    const auto& table = m_context.targets.table();
    for (const auto slot : table.all()) {
        if (!table.isLive(slot) || table.record(slot).listed.pool != pool_id(service.str()))
            continue;
        const auto stated = labelNumber(table.record(slot).listed.labels, "slots");
        out += stated == 0 ? defaultSlots : stated;
    }
    return out;
}

void demand_reports::logShares(const service_id& service, bool began, bool ended)
{
    if (ended)
        logEvent(log_level::Info, "targets", "shares_ended", { { "service", service.str() } });
    auto& next = m_nextLog[service];
    const auto& shares = m_shares[service];
    if (shares.empty() || (!began && m_context.now < next))
        return;
    next = m_context.now + logPeriod;
    for (const auto& share : shares) {
        logEvent(log_level::Info, "targets", "share",
            { { "service", service.str() }, { "model", share.model.str() }, { "owner", share.owner.str() }, { "slots", std::to_string(share.slots) }, { "fair", std::to_string(share.fair) },
                { "wanted", std::to_string(share.wanted) }, { "behind", share.behind.str() } });
    }
}

std::vector<model_demand> demand_reports::all() const
{
    std::vector<model_demand> out;
    for (const auto& [from, report] : m_reports) {
        if (m_context.now < report.until)
            out.insert(out.end(), report.demand.begin(), report.demand.end());
    }
    return out;
}

} // namespace lovagerail::edge
