// Outgoing HTTP calls of the event loop: one HTTP client shared by all components, with an
// event function for each open call.
#pragma once

#include "http/client.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <span>

namespace lovagerail::edge {

// Assigns the request ids, so that components that share the client can't use the same one.
class transfers {
public:
    using event_function = std::function<void(http::event&)>;
    using answer_function = std::function<void(const http::answer&)>;

    void setSourceAddress(const std::string& address) { m_client.setSourceAddress(address); }
    // Events come from a later poll(); the id is returned for cancel().
    std::uint64_t open(http::request request, event_function onEvent);
    // Collects the events of a call and reports the complete answer.
    std::uint64_t call(http::request request, answer_function onAnswer);
    // Closes the connection; no event follows.
    void cancel(std::uint64_t id);
    void poll(std::chrono::milliseconds maxWait, std::span<const int> descriptors);
    std::uint64_t lastId() const { return m_lastId; }
    std::size_t open() const { return m_open.size(); }

private:
    http::client m_client;
    std::uint64_t m_lastId = 0;
    std::map<std::uint64_t, event_function> m_open;
};

} // namespace lovagerail::edge
