// The HTTP API for operators, used by lovagectl and by monitoring: configuration, keys, status,
// reports, metrics and health.
#pragma once

#include "burn.h"
#include "daemon/config_duty.h"
#include "daemon/control_context.h"
#include "http/server.h"
#include "journal.h"
#include "keys.h"

#include <functional>
#include <map>
#include <string>

namespace lovagerail::daemon {

// An operator's request after authentication.
struct operator_call {
    http::exchange_ptr exchange;
    std::map<std::string, std::string> query; // decoded
    Json::Value body; // null if the request has no body
    std::string author; // name of the operator's key
};

// Authenticates operators' requests and routes them to handlers, which each part of the daemon
// registers.
class operator_duty {
public:
    using handler = std::function<void(operator_call)>;

    explicit operator_duty(control_context& context);

    // A path may end in "/*", which matches any rest; the full path is in exchange->path.
    void add(std::string method, std::string path, operator_scope scope, handler answer);
    // A GET endpoint without authentication, for health and metrics.
    void addPublic(std::string path, handler answer);

    void onRequest(http::exchange_ptr exchange);
    void setConfig(config_ptr inForce) { m_keys.update(std::move(inForce)); }
    key_table& keys() { return m_keys; }

private:
    struct endpoint {
        std::string method;
        std::string path;
        bool isPublic = false;
        operator_scope scope = operator_scope::Read;
        handler answer;
    };

    const endpoint* find(const std::string& method, const std::string& path) const;
    bool authorize(const endpoint& requested, const http::exchange& exchange, std::string& author, std::string& reason) const;

    control_context& m_context;
    key_table m_keys;
    std::vector<endpoint> m_endpoints;
};

// Send a JSON answer.
void answerJson(const http::exchange_ptr& exchange, int status, const Json::Value& body);
void answerError(const http::exchange_ptr& exchange, const error& why);
int httpStatusOf(error_code code);

} // namespace lovagerail::daemon
