// JSON form of configuration objects, for the key-value service, the operators'
// API and messages between instances.
//
// Unknown fields are kept and written back, at the top level and in nested tables.
// Decoding is O(fields). A selector that doesn't parse is kept as text; config_check
// reports it.
#pragma once

#include "objects.h"

#include <json/value.h>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerail {

// The content: name, labels, fields, unknown fields; not the stamp.
Json::Value toJson(const config_object& object);
result<config_object> objectFromJson(object_kind kind, const Json::Value& value);

// Content with kind and stamp: {kind, by, when, object[, at]}.
Json::Value toEnvelope(const config_object& object);
result<config_object> objectFromEnvelope(const Json::Value& value);

// Compares the content and ignores the stamps.
bool sameContent(const config_object& left, const config_object& right);

// One line per field that differs: "weight: 2 -> 3".
std::vector<std::string> fieldDifferences(const config_object& before, const config_object& after);

// Compact text with sorted member names, and its strict parser.
std::string toText(const Json::Value& value);
result<Json::Value> parseJson(std::string_view text, std::string_view step);

} // namespace lovagerail
