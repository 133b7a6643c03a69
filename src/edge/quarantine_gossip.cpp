// Sends new blame marks to the neighbours in the tree and relays those of others.
#include "edge/quarantine_gossip.h"

#include "edge/tree_gossip.h"
#include "http_status.h"
#include "json_text.h"
#include "log.h"

namespace lovagerail::edge {

namespace {

    // A new mark crosses three levels of the tree well within the second or so after which a caller
    // retries a request that crashed a target.
    constexpr duration gossipPeriod = std::chrono::milliseconds(100);

} // namespace

quarantine_gossip::quarantine_gossip(context& shared, const platform_view& platformView, quarantine& blameMarks)
    : m_context(shared)
    , m_platformView(platformView)
    , m_blameMarks(blameMarks)
{
}

void quarantine_gossip::tick()
{
    if (m_context.now < m_nextSend)
        return;
    m_nextSend = m_context.now + gossipPeriod;
    auto newMarks = m_blameMarks.takePendingChanges();
    for (auto& mark : std::exchange(m_toRelay, {}))
        newMarks.push_back(std::move(mark));
    if (newMarks.empty())
        return;
    // An instance that misses a mark still observes the next crash itself.
    sendToNeighbours(m_context, m_platformView, "/marks", writeJson(toJson(newMarks)), "marks");
    for (const auto& mark : newMarks)
        logEvent(log_level::Info, "marks", mark.cleared ? "cleared" : "blamed", { { "target", mark.blame.target.str() }, { "request", std::to_string(mark.request.value()) }, { "apart", mark.blame.isolatedAttempt.empty() ? "0" : "1" } });
}

void quarantine_gossip::onPeerRequest(const http::exchange_ptr& exchange)
{
    const auto body = parseJson(exchange->body);
    if (!body || !body->isArray()) {
        logEvent(log_level::Warning, "marks", "refused", { { "bytes", std::to_string(exchange->body.size()) } });
        exchange->answer(statusBadRequest, {}, "not marks");
        return;
    }
    for (auto& mark : m_blameMarks.mergeMarks(blameMarksFromJson(*body), m_context.wall))
        m_toRelay.push_back(std::move(mark));
    exchange->answer(statusOk, {}, "");
}

} // namespace lovagerail::edge
