// Calls "suspects", "accountDemand" and "accountShares" between instances.
#include "daemon/share_duty.h"

namespace lovagerail::daemon {

namespace {

    constexpr duration sharesEvery = std::chrono::seconds(1);

} // namespace

share_duty::share_duty(control_context& context, lease_duty& leases, peer_duty& peers)
    : m_context(context)
    , m_leases(leases)
    , m_peers(peers)
{
    auto& server = m_peers.server();
    server.add("suspects", [this](const Json::Value& told) -> result<Json::Value> {
        m_context.tellServing(suspect_marks_in { blameMarksFromJson(told["marks"]) });
        return Json::Value(true);
    });
    server.add("accountDemand", [this](const Json::Value& told) -> result<Json::Value> {
        if (!m_leases.holds(duty()))
            return failure(error_code::Unavailable, "shares.demand", "this instance doesn't divide limits");
        m_divider.onDemand(instance_id(told["instance"].asString()), demandFromJson(told["report"]), m_context.now);
        return Json::Value(true);
    });
    server.add("accountShares", [this](const Json::Value& told) -> result<Json::Value> {
        m_context.tellServing(account_shares_in { sharesFromJson(told["shares"]) });
        return Json::Value(true);
    });
    m_leases.onGained([this](const duty_id& gained, fencing_number) {
        if (gained != duty())
            return;
        m_divider = share_divider();
        m_divider.begin(m_context.now);
    });
}

const duty_id& share_duty::duty()
{
    static const duty_id name("account-shares");
    return name;
}

void share_duty::tick()
{
    const auto count = static_cast<std::uint32_t>(std::max<std::size_t>(1, m_leases.live().size()));
    if (count != m_toldCount) {
        m_toldCount = count;
        m_context.tellServing(instance_count { count });
    }
    if (m_context.now < m_nextShares || !m_leases.holds(duty()))
        return;
    m_nextShares = m_context.now + sharesEvery;
    tellShares();
}

// A mark has to be known everywhere before the request is sent again.
void share_duty::onMarks(const std::vector<blame_mark>& marks)
{
    Json::Value told(Json::objectValue);
    told["marks"] = toJson(marks);
    for (const auto& one : m_leases.live()) {
        if (one.id != m_context.self)
            m_peers.call(one.address, "suspects", told, [](const result<Json::Value>&) {});
    }
}

void share_duty::onDemand(const demand_report& report)
{
    if (m_leases.holds(duty())) {
        m_divider.onDemand(m_context.self, report, m_context.now);
        return;
    }
    if (report.rows.empty())
        return;
    m_leases.findHolder(duty(), [this, report](const result<duty_holder>& holder) {
        const auto address = holder ? m_leases.addressOf(holder->instance) : std::nullopt;
        if (!address)
            return;
        Json::Value told(Json::objectValue);
        told["instance"] = m_context.self.str();
        told["report"] = toJson(report);
        m_peers.call(*address, "accountDemand", told, [](const result<Json::Value>&) {});
    });
}

void share_duty::tellShares()
{
    std::map<instance_id, std::vector<account_share>> byHolder;
    for (auto& share : m_divider.divide(m_context.now))
        byHolder[share.holder].push_back(share);
    for (const auto& [holder, shares] : byHolder) {
        if (holder == m_context.self) {
            m_context.tellServing(account_shares_in { shares });
            continue;
        }
        const auto address = m_leases.addressOf(holder);
        if (!address)
            continue;
        Json::Value told(Json::objectValue);
        told["shares"] = toJson(shares);
        m_peers.call(*address, "accountShares", told, [](const result<Json::Value>&) {});
    }
}

} // namespace lovagerail::daemon
