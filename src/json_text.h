// Parses and writes JSON text, strictly and with bounded nesting, and reads typed members.
#pragma once

#include "error.h"

#include <json/value.h>
#include <optional>
#include <string>
#include <string_view>

namespace lovagerail {

// Upper estimate of the memory that parseJson() takes for this document, in bytes.
std::size_t jsonTreeBytes(std::string_view document);

// Empty if the text is not one JSON value.
std::optional<Json::Value> parseJson(std::string_view text);
// Fails with Corrupt, for this step and peer, if the text is not one JSON object.
result<Json::Value> parseJsonObject(std::string_view text, std::string_view step, peer_kind peer);
// Without white space.
std::string writeJson(const Json::Value& value);

// A member of the object if it has this type, else the default.
std::string jsonText(const Json::Value& object, const char* name);
std::uint64_t jsonCount(const Json::Value& object, const char* name, std::uint64_t defaultValue = 0);
double jsonNumber(const Json::Value& object, const char* name, double defaultValue = 0);
bool jsonFlag(const Json::Value& object, const char* name);
// The member if it is an array, else an empty array.
const Json::Value& jsonList(const Json::Value& object, const char* name);

} // namespace lovagerail
