// Calls to and from other instances over JSON-RPC.
#pragma once

#include "daemon/control_context.h"
#include "http/server.h"
#include "instance/rpc_server.h"

#include <functional>
#include <string>

namespace lovagerail::daemon {

class peer_duty {
public:
    using answer_function = std::function<void(const result<Json::Value>&)>;
    // An instance answers within some tens of milliseconds; a region that is reached with
    // a lost packet or two, within this.
    static constexpr std::chrono::milliseconds callTimeout { 2000 };
    // Half of a second holds the handshake and one resent opening packet between regions.
    static constexpr std::chrono::milliseconds connectTimeout { 500 };

    peer_duty(control_context& context, std::string secret);

    instance::rpc_server& server() { return m_server; }
    void onRequest(const http::exchange_ptr& exchange);
    // Paths beside /rpc whose answers come later, e.g. calls that are passed on.
    void setForward(std::function<void(http::exchange_ptr)> forward) { m_forward = std::move(forward); }

    // Address is a base URL. Lost answers are Unknown, refused connections Unavailable.
    void call(const std::string& address, const std::string& method, const Json::Value& parameters, answer_function onAnswer,
        std::chrono::milliseconds timeout = callTimeout);
    // Passes a request on as it is; the answer is given to the exchange.
    void pass(const std::string& address, const std::string& path, std::string body, std::chrono::milliseconds timeout,
        std::function<void(const http::answer&)> onAnswer);

private:
    control_context& m_context;
    std::string m_secret;
    instance::rpc_server m_server;
    std::function<void(http::exchange_ptr)> m_forward;
};

} // namespace lovagerail::daemon
