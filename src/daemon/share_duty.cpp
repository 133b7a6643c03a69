// Handles and sends the calls "suspects", "accountDemand" and "accountShares" between instances.
#include "daemon/share_duty.h"

namespace lovagerail::daemon {

namespace {

    constexpr duration shareInterval = std::chrono::seconds(1);

} // namespace

share_duty::share_duty(control_context& context, lease_duty& leases, peer_duty& peers)
    : m_context(context)
    , m_leases(leases)
    , m_peers(peers)
{
    auto& server = m_peers.server();
    server.add("suspects", [this](const Json::Value& parameters) -> result<Json::Value> {
        m_context.sendToServing(received_suspect_marks { blameMarksFromJson(parameters["marks"]) });
        return Json::Value(true);
    });
    server.add("accountDemand", [this](const Json::Value& parameters) -> result<Json::Value> {
        if (!m_leases.holds(duty()))
            return failure(error_code::Unavailable, "shares.demand", "this instance does not hold the duty that divides account limits");
        m_allocator.onDemand(instance_id(parameters["instance"].asString()), demandFromJson(parameters["report"]), m_context.now);
        return Json::Value(true);
    });
    server.add("accountShares", [this](const Json::Value& parameters) -> result<Json::Value> {
        m_context.sendToServing(received_account_shares { sharesFromJson(parameters["shares"]) });
        return Json::Value(true);
    });
    m_leases.onGained([this](const duty_id& gained, fencing_number) {
        if (gained != duty())
            return;
        m_allocator = share_allocator();
        m_allocator.begin(m_context.now);
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
    if (count != m_sentCount) {
        m_sentCount = count;
        m_context.sendToServing(instance_count { count });
    }
    if (m_context.now < m_nextShares || !m_leases.holds(duty()))
        return;
    m_nextShares = m_context.now + shareInterval;
    sendShares();
}

// Sends suspect marks to all instances immediately: they must know a mark before the request is
// retried there.
void share_duty::onMarks(const std::vector<blame_mark>& marks)
{
    Json::Value parameters(Json::objectValue);
    parameters["marks"] = toJson(marks);
    for (const auto& instance : m_leases.live()) {
        if (instance.id != m_context.self)
            m_peers.call(instance.address, "suspects", parameters, [](const result<Json::Value>&) {});
    }
}

void share_duty::onDemand(const demand_report& report)
{
    if (m_leases.holds(duty())) {
        m_allocator.onDemand(m_context.self, report, m_context.now);
        return;
    }
    if (report.rows.empty())
        return;
    m_leases.findHolder(duty(), [this, report](const result<duty_holder>& holder) {
        const auto address = holder ? m_leases.addressOf(holder->instance) : std::nullopt;
        if (!address)
            return;
        Json::Value parameters(Json::objectValue);
        parameters["instance"] = m_context.self.str();
        parameters["report"] = toJson(report);
        m_peers.call(*address, "accountDemand", parameters, [](const result<Json::Value>&) {});
    });
}

void share_duty::sendShares()
{
    std::map<instance_id, std::vector<account_share>> byHolder;
    for (auto& share : m_allocator.allocate(m_context.now))
        byHolder[share.holder].push_back(share);
    for (const auto& [holder, shares] : byHolder) {
        if (holder == m_context.self) {
            m_context.sendToServing(received_account_shares { shares });
            continue;
        }
        const auto address = m_leases.addressOf(holder);
        if (!address)
            continue;
        Json::Value parameters(Json::objectValue);
        parameters["shares"] = toJson(shares);
        m_peers.call(*address, "accountShares", parameters, [](const result<Json::Value>&) {});
    }
}

} // namespace lovagerail::daemon
