// A connection of lovagectl to a daemon's operators' API.
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
    std::string text; // where the answer is no JSON
};

// Fails if nothing came back; an answer with an error status is an answer.
result<api_answer> get(const session& with, const std::string& path);
result<api_answer> post(const session& with, const std::string& path, const Json::Value& body);

// Text safe in a query.
std::string encodeQuery(const std::string& text);

} // namespace lovagerail::ctl
