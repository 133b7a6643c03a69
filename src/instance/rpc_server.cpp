// Registers procedures without declared parameters, as each function checks its own.
#include "instance/rpc_server.h"

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>

namespace lovagerail::instance {

rpc_server::rpc_server()
    : m_protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this))
{
}

void rpc_server::add(const std::string& method, method_function function)
{
    m_methods[method] = std::move(function);
    m_protocol->AddProcedure(jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
}

std::string rpc_server::handle(const std::string& request)
{
    std::string response;
    m_protocol->HandleRequest(request, response);
    return response;
}

void rpc_server::HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input, Json::Value& output)
{
    const auto answer = m_methods.at(procedure.GetProcedureName())(input);
    if (!answer)
        throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR, toString(answer.error()));
    output = *answer;
}

void rpc_server::HandleNotificationCall(jsonrpc::Procedure&, const Json::Value&)
{
}

} // namespace lovagerail::instance
