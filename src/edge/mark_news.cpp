// Sending, taking and passing on.
#include "edge/mark_news.h"

#include "edge/peer_call.h"
#include "json_text.h"
#include "log.h"

namespace lovagerail::edge {

namespace {

    // Three levels of the tree are told well within the second or so in which a caller
    // comes again.
    constexpr duration sendPeriod = std::chrono::milliseconds(100);
    constexpr std::chrono::milliseconds sendTimeout { 800 };

} // namespace

mark_news::mark_news(context& shared, const knowledge& known, quarantine& marks)
    : m_context(shared)
    , m_known(known)
    , m_marks(marks)
{
}

void mark_news::tick()
{
    if (m_context.now < m_nextSend)
        return;
    m_nextSend = m_context.now + sendPeriod;
    auto news = m_marks.news();
    for (auto& mark : std::exchange(m_relayed, {}))
        news.push_back(std::move(mark));
    if (news.empty())
        return;
    const auto body = writeJson(toJson(news));
    for (const auto& one : m_known.neighbours()) {
        m_context.net.call(peerCall(one.address, "/marks", body, sendTimeout), [name = one.name](const http::answer& answer) {
            // Whoever misses a mark sees the next crash for itself.
            if (!isOk(answer))
                logEvent(log_level::Warning, "marks", "not_told", { { "member", name.str() }, { "status", std::to_string(answer.status) } });
        });
    }
    for (const auto& mark : news)
        logEvent(log_level::Info, "marks", mark.cleared ? "cleared" : "blamed", { { "target", mark.by.target.str() }, { "request", std::to_string(mark.of.value()) }, { "apart", mark.by.suspectRun.empty() ? "0" : "1" } });
}

void mark_news::onPeer(const http::exchange_ptr& exchange)
{
    const auto body = parseJson(exchange->body);
    if (!body || !body->isArray()) {
        logEvent(log_level::Warning, "marks", "refused", { { "bytes", std::to_string(exchange->body.size()) } });
        exchange->answer(statusBadRequest, {}, "not marks");
        return;
    }
    for (auto& mark : m_marks.onNews(blameMarksFromJson(*body), m_context.wall))
        m_relayed.push_back(std::move(mark));
    exchange->answer(statusOk, {}, "");
}

} // namespace lovagerail::edge
