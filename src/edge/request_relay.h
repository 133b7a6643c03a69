// Sends requests of other instances on to targets, and tells these instances whether this one
// reaches targets.
#pragma once

#include "edge/context.h"
#include "edge/target_link.h"
#include "http/server.h"
#include "platform/headers.h"

#include <functional>
#include <map>
#include <vector>

namespace lovagerail::edge {

class request_relay {
public:
    // Called with the head of each answer that is passed on.
    using head_function = std::function<void(const target_id&, incarnation, const platform::target_head&, instant sentAt)>;

    request_relay(context& shared, target_link& link, head_function onHead);

    // Handles a request to be relayed.
    void onRequest(const http::exchange_ptr& exchange);
    // Handles the question of an instance that is cut off.
    void onQuestion(const http::exchange_ptr& exchange);
    // Ends requests whose instance has closed the connection.
    void tick();
    std::size_t openCount() const { return m_open.size(); }

private:
    struct open_relay {
        http::exchange_ptr exchange;
        std::uint64_t call = 0;
        target_id target;
        incarnation targetIncarnation;
        instant sentAt {};
        bool headSent = false;
    };

    void refuse(const http::exchange_ptr& exchange, relay_outcome outcome) const;
    void onEvent(std::uint64_t id, http::event& event);
    void onTested(bool reached);

    context& m_context;
    target_link& m_link;
    head_function m_onHead;
    // A round of path tests that is under way answers all questions that come meanwhile.
    std::vector<http::exchange_ptr> m_questions;
    std::size_t m_openTests = 0;
    std::uint64_t m_lastId = 0;
    std::map<std::uint64_t, open_relay> m_open;
};

} // namespace lovagerail::edge
