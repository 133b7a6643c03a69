// Dispatches events of the HTTP client to the functions of the open calls.
#include "edge/transfers.h"

#include <memory>

namespace lovagerail::edge {

std::uint64_t transfers::open(http::request request, event_function onEvent)
{
    const auto id = ++m_lastId;
    request.id = id;
    m_open[id] = std::move(onEvent);
    m_client.start(std::move(request));
    return id;
}

std::uint64_t transfers::call(http::request request, answer_function onAnswer)
{
    return open(std::move(request), [answer = http::answer(), onAnswer = std::move(onAnswer)](http::event& e) mutable {
        if (e.what == http::event::kind::Head)
            answer.headers = std::move(e.headers);
        else if (e.what == http::event::kind::Body)
            answer.body += e.bytes;
        else {
            answer.status = e.status;
            answer.outcome = e.outcome;
            answer.detail = std::move(e.detail);
            answer.connection = e.connection;
            onAnswer(answer);
        }
    });
}

void transfers::cancel(std::uint64_t id)
{
    if (m_open.erase(id) > 0)
        m_client.cancel(id);
}

void transfers::poll(std::chrono::milliseconds maxWait, std::span<const int> descriptors)
{
    for (auto& e : m_client.poll(maxWait, descriptors)) {
        const auto found = m_open.find(e.id);
        if (found == m_open.end())
            continue; // cancelled by an earlier event of this round
        if (e.what != http::event::kind::Done) {
            // The function is moved out while it runs, as it may cancel this call.
            auto function = std::move(found->second);
            function(e);
            const auto current = m_open.find(e.id);
            if (current != m_open.end())
                current->second = std::move(function);
            continue;
        }
        const auto function = std::move(found->second);
        m_open.erase(found);
        auto last = function;
        last(e);
    }
}

} // namespace lovagerail::edge
