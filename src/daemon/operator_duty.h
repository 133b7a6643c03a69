// The operators' API that lovagectl and monitoring use: configuration, keys,
// status, reports, metrics and health.
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
    Json::Value body; // null unless JSON came
    std::string who; // name of the operator's key
};

// Routes operators' requests to handlers; each part of the daemon adds its own.
class operator_duty {
public:
    using handler = std::function<void(operator_call)>;

    explicit operator_duty(control_context& context);

    // A path may end in "/*": the rest is in exchange->path.
    void add(std::string method, std::string path, operator_scope scope, handler answer);
    // No key is asked for: health and metrics.
    void addOpen(std::string path, handler answer);

    void onRequest(http::exchange_ptr exchange);
    void setConfig(config_ptr inForce) { m_keys.update(std::move(inForce)); }
    key_table& keys() { return m_keys; }

private:
    struct endpoint {
        std::string method;
        std::string path;
        bool open = false;
        operator_scope scope = operator_scope::Read;
        handler answer;
    };

    const endpoint* find(const std::string& method, const std::string& path) const;
    bool admit(const endpoint& wanted, const http::exchange& exchange, std::string& who, std::string& why) const;

    control_context& m_context;
    key_table m_keys;
    std::vector<endpoint> m_endpoints;
};

// Answers; the body is JSON.
void answerJson(const http::exchange_ptr& exchange, int status, const Json::Value& body);
void answerError(const http::exchange_ptr& exchange, const error& why);
int statusOf(error_code code);

} // namespace lovagerail::daemon
