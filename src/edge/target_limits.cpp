// Notes and logs the limits that targets name.
#include "edge/target_limits.h"

#include "log.h"

#include <algorithm>
#include <cstdio>

namespace lovagerail::edge {

namespace {

    constexpr std::string_view duty = "limits";
    constexpr duration logPeriod = std::chrono::seconds(1);

    std::string rateText(double perSecond)
    {
        char text[32];
        std::snprintf(text, sizeof text, "%.2f", perSecond);
        return text;
    }

} // namespace

target_limits::target_limits(context& shared)
    : m_context(shared)
{
}

void target_limits::onSend(const target_id& target, send_kind kind)
{
    if (const auto found = m_limits.find(target); found != m_limits.end())
        ++found->second.sends[static_cast<std::size_t>(kind)];
}

void target_limits::observe(const target_id& target, incarnation incarnationNumber, const platform::target_head& head, instant sentAt)
{
    if (head.malformedLimit)
        logEvent(log_level::Warning, duty, "malformed", { { "target", target.str() } });
    const auto found = m_limits.find(target);
    const bool known = found != m_limits.end();
    if (known && incarnationNumber < found->second.incarnationNumber)
        return;
    if (head.requestLimit) {
        auto& limit = m_limits[target];
        if (!known || limit.perSecond != *head.requestLimit || limit.incarnationNumber != incarnationNumber)
            logEvent(log_level::Info, duty, "named", { { "target", target.str() }, { "per_second", rateText(*head.requestLimit) } });
        limit.incarnationNumber = incarnationNumber;
        limit.perSecond = *head.requestLimit;
        limit.namedAt = m_context.now;
        return;
    }
    // An answer to a request sent before the limit was named may have overtaken that answer.
    const bool ends = known && !head.malformedLimit && !head.proof.empty() && sentAt >= found->second.namedAt;
    if (!ends)
        return;
    logEvent(log_level::Info, duty, "ended", { { "target", target.str() } });
    m_limits.erase(found);
}

void target_limits::tick()
{
    if (m_limits.empty() || m_context.now < m_nextLog)
        return;
    m_nextLog = m_context.now + logPeriod;
    for (auto& [target, limit] : m_limits) {
        const auto sends = std::exchange(limit.sends, {});
        if (std::all_of(sends.begin(), sends.end(), [](std::uint32_t count) { return count == 0; }))
            continue;
        const auto count = [&sends](send_kind kind) { return std::to_string(sends[static_cast<std::size_t>(kind)]); };
        logEvent(log_level::Info, duty, "sent",
            { { "target", target.str() }, { "per_second", rateText(limit.perSecond) }, { "first", count(send_kind::First) }, { "repeated", count(send_kind::Repeated) },
                { "judge", count(send_kind::Judge) }, { "item", count(send_kind::Item) }, { "report", count(send_kind::Report) }, { "order", count(send_kind::Order) } });
    }
}

} // namespace lovagerail::edge
