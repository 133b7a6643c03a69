// JSON-RPC 2.0 envelopes of calls between instances, made and read by
// libjsonrpccpp. The transfer itself is asynchronous and not its business.
#pragma once

#include <json/value.h>
#include <string>

// Also read as C++14, which has no nested namespace definitions.
namespace lovagerail {
namespace instance {

    std::string encodeCall(const std::string& method, const Json::Value& parameters);

    struct rpc_outcome {
        bool ok = false;
        Json::Value result; // if ok
        std::string fault; // else: what the peer or the parser said
    };
    rpc_outcome decodeOutcome(const std::string& method, const std::string& response);

} // namespace instance
} // namespace lovagerail
