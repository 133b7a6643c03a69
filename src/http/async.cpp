// Assembles the events of the worker into complete answers.
#include "http/async.h"

namespace lovagerail::http {

void async_caller::call(request outgoing, answer_function onAnswer)
{
    outgoing.id = ++m_lastId;
    const auto id = outgoing.id;
    open_call open;
    open.onAnswer = std::move(onAnswer);
    if (m_transfers.start(std::move(outgoing))) {
        m_open.emplace(id, std::move(open));
        return;
    }
    open.answerSoFar.detail = "too many requests wait";
    m_refused.push_back(std::move(open));
}

void async_caller::poll()
{
    for (auto& refused : std::exchange(m_refused, {}))
        refused.onAnswer(refused.answerSoFar);
    event received;
    while (m_transfers.tryPop(received)) {
        const auto found = m_open.find(received.id);
        if (found == m_open.end())
            continue;
        auto& openCall = found->second;
        if (received.what == event::kind::Head) {
            openCall.answerSoFar.headers = std::move(received.headers);
            continue;
        }
        if (received.what == event::kind::Body) {
            openCall.answerSoFar.body += received.bytes;
            continue;
        }
        openCall.answerSoFar.status = received.status;
        openCall.answerSoFar.outcome = received.outcome;
        openCall.answerSoFar.detail = std::move(received.detail);
        auto completed = std::move(openCall);
        m_open.erase(found);
        completed.onAnswer(completed.answerSoFar);
    }
}

} // namespace lovagerail::http
