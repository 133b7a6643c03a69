// Telling the holder, and keeping what others told.
#include "edge/demand_news.h"

#include "edge/peer_call.h"
#include "json_text.h"
#include "log.h"

#include <algorithm>

namespace lovagerail::edge {

namespace {

    constexpr duration tellPeriod = std::chrono::milliseconds(400); // a step's items come and go within seconds
    constexpr std::chrono::milliseconds tellTimeout { 500 };
    constexpr duration newsLife = std::chrono::milliseconds(1500); // three periods: lost news is told again before

} // namespace

demand_news::demand_news(context& shared, members& group)
    : m_context(shared)
    , m_members(group)
{
}

void demand_news::tell(const std::vector<model_demand>& demand)
{
    // The end of all work is told once.
    if (m_context.now < m_nextTell || (demand.empty() && !m_toldWork))
        return;
    m_nextTell = m_context.now + tellPeriod;
    m_toldWork = !demand.empty();
    const instance_id self(m_context.values.instance.name);
    if (m_members.holds(targetsDuty)) {
        m_told[self] = { demand, m_context.now + newsLife };
        return;
    }
    const auto* holder = m_members.holderOf(targetsDuty);
    if (holder == nullptr)
        return;
    Json::Value body(Json::objectValue);
    body["from"] = self.str();
    body["models"] = Json::Value(Json::arrayValue);
    for (const auto& one : demand) {
        Json::Value row(Json::objectValue);
        row["service"] = one.service.str();
        row["model"] = one.model.str();
        row["least"] = Json::UInt64(one.least.value());
        row["running"] = Json::UInt64(one.running);
        row["queued"] = Json::UInt64(one.queued);
        row["work"] = Json::UInt64(one.work);
        body["models"].append(std::move(row));
    }
    // Lost news is told again.
    m_context.net.call(peerCall(holder->address, "/demand", writeJson(body), tellTimeout), [](const http::answer&) {});
}

void demand_news::onPeer(const http::exchange_ptr& exchange)
{
    const auto body = parseJson(exchange->body);
    if (!body || !body->isObject() || jsonText(*body, "from").empty()) {
        logEvent(log_level::Warning, "targets", "demand_refused", { { "bytes", std::to_string(exchange->body.size()) } });
        exchange->answer(statusBadRequest, {}, "not an instance's demand");
        return;
    }
    std::erase_if(m_told, [this](const auto& entry) { return m_context.now >= entry.second.until; });
    told news { {}, m_context.now + newsLife };
    for (const auto& row : jsonList(*body, "models")) {
        model_demand one;
        one.service = service_id(jsonText(row, "service"));
        one.model = model_id(jsonText(row, "model"));
        one.least = weight_version(jsonCount(row, "least"));
        one.running = jsonCount(row, "running");
        one.queued = jsonCount(row, "queued");
        one.work = jsonCount(row, "work");
        news.demand.push_back(std::move(one));
    }
    m_told[instance_id(jsonText(*body, "from"))] = std::move(news);
    exchange->answer(statusOk, {}, "");
}

std::vector<model_demand> demand_news::all() const
{
    std::vector<model_demand> out;
    for (const auto& [from, news] : m_told) {
        if (m_context.now < news.until)
            out.insert(out.end(), news.demand.begin(), news.demand.end());
    }
    return out;
}

} // namespace lovagerail::edge
