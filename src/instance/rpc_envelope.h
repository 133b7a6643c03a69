// Encodes and decodes JSON-RPC 2.0 messages of calls between instances with libjsonrpccpp.
// The transfer itself is asynchronous and happens elsewhere.
#pragma once

#include <json/value.h>
#include <string>

// This header is also compiled as C++14, which has no nested namespace definitions.
namespace lovagerail {
namespace instance {

    std::string encodeCall(const std::string& method, const Json::Value& parameters);

    struct rpc_outcome {
        bool ok = false;
        Json::Value result; // if ok
        std::string fault; // else: the error message of the peer or of the parser
    };
    rpc_outcome decodeOutcome(const std::string& method, const std::string& response);

} // namespace instance
} // namespace lovagerail
