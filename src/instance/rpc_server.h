// Dispatches JSON-RPC calls of other instances to functions, with libjsonrpccpp's protocol
// handler. Runs on the control thread and answers synchronously.
#pragma once

#include "error.h"

#include <functional>
#include <json/value.h>
#include <jsonrpccpp/server.h>
#include <map>
#include <memory>
#include <string>

namespace lovagerail::instance {

class rpc_server : private jsonrpc::IProcedureInvokationHandler {
public:
    using method_function = std::function<result<Json::Value>(const Json::Value& parameters)>;

    rpc_server();

    void add(const std::string& method, method_function function);
    // Handles a JSON-RPC request and returns the JSON-RPC response.
    std::string handle(const std::string& request);

private:
    void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input, Json::Value& output) override;
    void HandleNotificationCall(jsonrpc::Procedure& procedure, const Json::Value& input) override;

    std::map<std::string, method_function> m_methods;
    std::unique_ptr<jsonrpc::IProtocolHandler> m_protocol;
};

} // namespace lovagerail::instance
