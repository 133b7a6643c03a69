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
    // An instance answers within some tens of milliseconds; across regions, with one or two lost
    // packets, within this time.
    static constexpr std::chrono::milliseconds callTimeout { 2000 };
    // 500 ms are enough for a handshake between regions with one retransmitted SYN.
    static constexpr std::chrono::milliseconds connectTimeout { 500 };

    peer_duty(control_context& context, std::string secret);

    instance::rpc_server& server() { return m_server; }
    void onRequest(const http::exchange_ptr& exchange);
    // Sets the handler of paths below /forward/, e.g. for forwarded trainers' calls. It may answer
    // later, while /rpc is answered immediately.
    void setForward(std::function<void(http::exchange_ptr)> forward) { m_forward = std::move(forward); }

    // `address` is a base URL. The error is Unknown if the answer was lost, Unavailable if the
    // request was not sent.
    void call(const std::string& address, const std::string& method, const Json::Value& parameters, answer_function onAnswer,
        std::chrono::milliseconds timeout = callTimeout);
    // Forwards a request body unchanged to a path of another instance.
    void post(const std::string& address, const std::string& path, std::string body, std::chrono::milliseconds timeout,
        std::function<void(const http::answer&)> onAnswer);

private:
    control_context& m_context;
    std::string m_secret;
    instance::rpc_server m_server;
    std::function<void(http::exchange_ptr)> m_forward;
};

} // namespace lovagerail::daemon
