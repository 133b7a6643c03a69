// Asynchronous HTTP requests through a worker thread: each has a function that gets the
// complete answer. For use by the thread that owns the worker.
#pragma once

#include "http/worker.h"

#include <functional>
#include <unordered_map>

namespace lovagerail::http {

class async_caller {
public:
    using answer_function = std::function<void(const answer&)>;

    explicit async_caller(worker& transfers)
        : m_transfers(transfers)
    {
    }

    // `onAnswer` runs in a later poll(). The request's id is assigned here.
    void call(request outgoing, answer_function onAnswer);
    // Takes events from the worker and runs the functions of completed requests.
    void poll();
    std::size_t open() const { return m_open.size(); }

private:
    struct open_call {
        answer answerSoFar;
        answer_function onAnswer;
    };

    worker& m_transfers;
    std::uint64_t m_lastId = 0;
    std::unordered_map<std::uint64_t, open_call> m_open;
    std::vector<open_call> m_refused; // the worker's ring was full: to be answered by poll()
};

} // namespace lovagerail::http
