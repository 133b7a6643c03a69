// Assembles the events of the worker into complete answers.
#include "http/async.h"

namespace lovagerail::http {

void async_caller::call(request wanted, answer_function onAnswer)
{
    wanted.id = ++m_lastId;
    const auto id = wanted.id;
    open_call open;
    open.onAnswer = std::move(onAnswer);
    if (m_transfers.start(std::move(wanted))) {
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
    event next;
    while (m_transfers.tryPop(next)) {
        const auto found = m_open.find(next.id);
        if (found == m_open.end())
            continue;
        auto& open = found->second;
        if (next.what == event::kind::Head) {
            open.answerSoFar.headers = std::move(next.headers);
            continue;
        }
        if (next.what == event::kind::Body) {
            open.answerSoFar.body += next.bytes;
            continue;
        }
        open.answerSoFar.status = next.status;
        open.answerSoFar.outcome = next.outcome;
        open.answerSoFar.detail = std::move(next.detail);
        auto done = std::move(open);
        m_open.erase(found);
        done.onAnswer(done.answerSoFar);
    }
}

} // namespace lovagerail::http
