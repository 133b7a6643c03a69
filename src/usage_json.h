// JSON encoding of usage figures and origins, shared by batches, pulls and sealed windows.
#pragma once

#include "usage.h"

#include <array>

namespace lovagerail::detail {

// An array [requests, refused, prefilled, cached, generated, target milliseconds].
Json::Value figuresJson(const usage_figures& figures);
result<usage_figures> figuresFromJson(const Json::Value& json, Json::ArrayIndex offset);
// An array of rows [model, version, pool, heading, figures...] of one account.
Json::Value rowsJson(const std::map<usage_key, usage_figures>& rows);
result<std::map<usage_key, usage_figures>> rowsFromJson(const client_account_id& account, const Json::Value& json);
Json::Value originJson(const usage_origin& origin);
result<usage_origin> originFromJson(const Json::Value& json);

} // namespace lovagerail::detail
