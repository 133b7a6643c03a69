// Field names of store entries in messages between instances.
#include "edge/entries_json.h"

#include "json_text.h"

namespace lovagerail::edge {

Json::Value entriesJson(const std::vector<kv_entry>& entries)
{
    Json::Value out(Json::arrayValue);
    for (const auto& entry : entries) {
        Json::Value row(Json::objectValue);
        row["key"] = entry.key;
        row["value"] = entry.value;
        row["created"] = Json::UInt64(entry.createRevision.value());
        row["changed"] = Json::UInt64(entry.modRevision.value());
        out.append(std::move(row));
    }
    return out;
}

std::vector<kv_entry> entriesFromJson(const Json::Value& rows)
{
    std::vector<kv_entry> out;
    for (const auto& row : rows)
        out.push_back({ jsonText(row, "key"), jsonText(row, "value"), revision(jsonCount(row, "created")), revision(jsonCount(row, "changed")), {} });
    return out;
}

} // namespace lovagerail::edge
