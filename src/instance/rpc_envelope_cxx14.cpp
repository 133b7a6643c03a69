// Compiled as C++14, which libjsonrpccpp's client headers need.
//
// The library's client sends a request and waits for the response in one function. To use
// both halves separately, the connector here either captures the request and throws, or
// returns a response that was received before.
#include "instance/rpc_envelope.h"

#include <jsonrpccpp/client.h>

namespace lovagerail {
namespace instance {

    namespace {

        class envelope_connector : public jsonrpc::IClientConnector {
        public:
            const std::string* response = nullptr; // null: throw after capturing the request
            std::string request;

            void SendRPCMessage(const std::string& message, std::string& result) throw(jsonrpc::JsonRpcException) override
            {
                request = message;
                if (response == nullptr)
                    throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR);
                result = *response;
            }
        };

    } // namespace

    std::string encodeCall(const std::string& method, const Json::Value& parameters)
    {
        envelope_connector connector;
        jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
        Json::Value ignored;
        try {
            client.CallMethod(method, parameters, ignored);
        } catch (const jsonrpc::JsonRpcException&) {
            // Expected: the connector has captured the request.
        }
        return connector.request;
    }

    rpc_outcome decodeOutcome(const std::string& method, const std::string& response)
    {
        envelope_connector connector;
        connector.response = &response;
        jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
        rpc_outcome out;
        try {
            client.CallMethod(method, Json::Value(Json::objectValue), out.result);
            out.ok = true;
        } catch (const jsonrpc::JsonRpcException& e) {
            out.fault = e.what();
        } catch (const Json::Exception& e) {
            out.fault = e.what();
        }
        return out;
    }

} // namespace instance
} // namespace lovagerail
