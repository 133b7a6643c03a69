// Requests with an answer function each, over a worker, for the thread that owns both.
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

    // The answer function runs in a later poll(); the request's id is set here.
    void call(request wanted, answer_function onAnswer);
    // Takes what has come from the worker.
    void poll();
    std::size_t open() const { return m_open.size(); }

private:
    struct open_call {
        answer got;
        answer_function onAnswer;
    };

    worker& m_transfers;
    std::uint64_t m_lastId = 0;
    std::unordered_map<std::uint64_t, open_call> m_open;
    std::vector<open_call> m_refused; // the ring was full
};

} // namespace lovagerail::http
