// Sends this instance's demand to the holder of targetsDuty and keeps the reports of others.
#include "edge/demand_reports.h"

#include "edge/peer_call.h"
#include "json_text.h"
#include "log.h"

#include <algorithm>

namespace lovagerail::edge {

namespace {

    constexpr duration reportPeriod = std::chrono::milliseconds(400); // the items of a training step come and go within seconds
    constexpr std::chrono::milliseconds reportTimeout { 500 };
    constexpr duration reportLifetime = std::chrono::milliseconds(1500); // over three periods, so that single lost reports don't matter

} // namespace

demand_reports::demand_reports(context& shared, members& membership)
    : m_context(shared)
    , m_members(membership)
{
}

void demand_reports::report(const std::vector<model_demand>& demand)
{
    // When the demand ends, send one empty report, then none until there is demand again.
    if (m_context.now < m_nextReport || (demand.empty() && !m_lastReportHadWork))
        return;
    m_nextReport = m_context.now + reportPeriod;
    m_lastReportHadWork = !demand.empty();
    const instance_id self(m_context.settings.instance.name);
    if (m_members.holds(targetsDuty)) {
        m_reports[self] = { demand, m_context.now + reportLifetime };
        return;
    }
    const auto* holder = m_members.holderOf(targetsDuty);
    if (holder == nullptr)
        return;
    Json::Value body(Json::objectValue);
    body["from"] = self.str();
    body["models"] = Json::Value(Json::arrayValue);
    for (const auto& modelDemand : demand) {
        Json::Value row(Json::objectValue);
        row["service"] = modelDemand.service.str();
        row["model"] = modelDemand.model.str();
        row["least"] = Json::UInt64(modelDemand.minVersion.value());
        row["running"] = Json::UInt64(modelDemand.running);
        row["queued"] = Json::UInt64(modelDemand.queued);
        row["work"] = Json::UInt64(modelDemand.work);
        body["models"].append(std::move(row));
    }
    // No retry: the next period sends a new report.
    m_context.net.call(peerCall(holder->address, "/demand", writeJson(body), reportTimeout), [](const http::answer&) {});
}

void demand_reports::onPeerRequest(const http::exchange_ptr& exchange)
{
    const auto body = parseJson(exchange->body);
    if (!body || !body->isObject() || jsonText(*body, "from").empty()) {
        logEvent(log_level::Warning, "targets", "demand_refused", { { "bytes", std::to_string(exchange->body.size()) } });
        exchange->answer(statusBadRequest, {}, "not an instance's demand");
        return;
    }
    std::erase_if(m_reports, [this](const auto& entry) { return m_context.now >= entry.second.until; });
    reported_demand report { {}, m_context.now + reportLifetime };
    for (const auto& row : jsonList(*body, "models")) {
        model_demand modelDemand;
        modelDemand.service = service_id(jsonText(row, "service"));
        modelDemand.model = model_id(jsonText(row, "model"));
        modelDemand.minVersion = weight_version(jsonCount(row, "least"));
        modelDemand.running = jsonCount(row, "running");
        modelDemand.queued = jsonCount(row, "queued");
        modelDemand.work = jsonCount(row, "work");
        report.demand.push_back(std::move(modelDemand));
    }
    m_reports[instance_id(jsonText(*body, "from"))] = std::move(report);
    exchange->answer(statusOk, {}, "");
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
