// Entries of the store as JSON, for messages from one instance to another. Leases are left out.
#pragma once

#include "kv.h"

#include <json/value.h>
#include <vector>

namespace lovagerail::edge {

Json::Value entriesJson(const std::vector<kv_entry>& entries);
// Rows that are no objects give entries without a key.
std::vector<kv_entry> entriesFromJson(const Json::Value& rows);

} // namespace lovagerail::edge
