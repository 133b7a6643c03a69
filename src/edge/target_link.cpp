// Sends requests to targets and counts how they end.
#include "edge/target_link.h"

#include "log.h"

#include <numeric>

namespace lovagerail::edge {

namespace {

    constexpr std::string_view duty = "targets";
    constexpr duration logPeriod = std::chrono::seconds(1);

} // namespace

target_link::target_link(context& shared)
    : m_context(shared)
{
}

std::uint64_t target_link::open(http::request request, transfers::event_function onEvent)
{
    return m_context.net.open(std::move(request), [this, onEvent = std::move(onEvent)](http::event& event) {
        if (event.what == http::event::kind::Done)
            countEnd(event);
        onEvent(event);
    });
}

void target_link::cancel(std::uint64_t id) { m_context.net.cancel(id); }

void target_link::countEnd(const http::event& event)
{
    auto kind = end_kind::Answered;
    if (event.status == 0 && event.connection == http::connection_use::None)
        kind = end_kind::NotConnected;
    else if (event.status == 0)
        kind = event.connection == http::connection_use::Kept ? end_kind::SilentKept : end_kind::SilentNew;
    ++m_ends[static_cast<std::size_t>(kind)];
}

void target_link::tick()
{
    if (m_context.now < m_nextLog)
        return;
    m_nextLog = m_context.now + logPeriod;
    logEnds();
}

void target_link::logEnds()
{
    const auto ends = std::exchange(m_ends, {});
    const auto count = [&ends](end_kind kind) { return ends[static_cast<std::size_t>(kind)]; };
    if (std::accumulate(ends.begin(), ends.end(), 0U) == count(end_kind::Answered))
        return;
    logEvent(log_level::Info, duty, "requests_ended",
        { { "answered", std::to_string(count(end_kind::Answered)) }, { "not_connected", std::to_string(count(end_kind::NotConnected)) },
            { "silent_new", std::to_string(count(end_kind::SilentNew)) }, { "silent_kept", std::to_string(count(end_kind::SilentKept)) } });
}

} // namespace lovagerail::edge
