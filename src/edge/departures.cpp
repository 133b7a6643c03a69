// Stops the use of targets that announce their departure, and spreads the news along the tree.
#include "edge/departures.h"

#include "edge/tree_gossip.h"
#include "http_status.h"
#include "json_text.h"
#include "log.h"

namespace lovagerail::edge {

namespace {

    constexpr std::string_view step = "departures";
    constexpr duration gossipPeriod = std::chrono::milliseconds(100);
    // Longer than a target takes to exit after its announcement, and than an outage of the
    // store hides its restart.
    constexpr duration retention = std::chrono::minutes(10);

} // namespace

departures::departures(context& shared, const platform_view& platformView)
    : m_context(shared)
    , m_platformView(platformView)
{
}

void departures::observe(const target_id& target, incarnation incarnationNumber, const platform::target_head& head)
{
    if (head.leaving)
        record({ target, incarnationNumber }, "answer");
}

void departures::record(departure departed, std::string_view source)
{
    const auto [known, isNew] = m_known.try_emplace(departed.target, known_departure { departed.incarnationNumber, m_context.now });
    if (!isNew && departed.incarnationNumber <= known->second.incarnationNumber)
        return;
    known->second = { departed.incarnationNumber, m_context.now };
    m_context.targets.advanceState(departed.target, departed.incarnationNumber, target_state::Leaving, m_context.now);
    logEvent(log_level::Info, step, "leaving",
        { { "target", departed.target.str() }, { "incarnation", std::to_string(departed.incarnationNumber.value()) }, { "source", std::string(source) } });
    m_toRelay.push_back(std::move(departed));
}

void departures::tick()
{
    if (m_context.now < m_nextSend)
        return;
    m_nextSend = m_context.now + gossipPeriod;
    std::erase_if(m_known, [this](const auto& entry) { return m_context.now - entry.second.learnedAt >= retention; });
    if (m_toRelay.empty())
        return;
    Json::Value body(Json::arrayValue);
    for (const auto& departed : std::exchange(m_toRelay, {})) {
        Json::Value row(Json::objectValue);
        row["target"] = departed.target.str();
        row["incarnation"] = Json::UInt64(departed.incarnationNumber.value());
        body.append(std::move(row));
    }
    // An instance that misses the news learns it from the target's next answer.
    sendToNeighbours(m_context, m_platformView, "/departures", writeJson(body), step);
}

void departures::onPeerRequest(const http::exchange_ptr& exchange)
{
    const auto body = parseJson(exchange->body);
    if (!body || !body->isArray()) {
        logEvent(log_level::Warning, step, "refused", { { "bytes", std::to_string(exchange->body.size()) } });
        exchange->answer(statusBadRequest, {}, "not departures");
        return;
    }
    for (const auto& row : *body) {
        departure departed { target_id(jsonText(row, "target")), incarnation(jsonCount(row, "incarnation")) };
        if (!departed.target.empty() && departed.incarnationNumber != incarnation())
            record(std::move(departed), "instance");
    }
    exchange->answer(statusOk, {}, "");
}

} // namespace lovagerail::edge
