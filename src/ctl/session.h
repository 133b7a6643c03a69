// Calls of lovagectl to a daemon's operators' API.
#pragma once

#include "error.h"

#include <json/value.h>
#include <string>
#include <vector>

namespace lovagerail::ctl {

struct session {
    std::string server; // base URL
    std::string key; // raw operator key
    std::string caFile;
};

struct api_answer {
    int status = 0;
    Json::Value body;
    std::string text; // the raw body, also if it is not JSON
};

// Fails only if no complete answer was received; an error status is returned as an answer.
result<api_answer> get(const session& connection, const std::string& path);
result<api_answer> post(const session& connection, const std::string& path, const Json::Value& body);

// Percent-encodes a text for use in a query.
std::string encodeQuery(const std::string& text);

} // namespace lovagerail::ctl
