// The current configuration: an immutable snapshot of all objects, with its revision.
//
// Revisions come from the key-value service, so they order all accepted changes. Changes
// may arrive late, twice or with gaps; apply() never goes back to an older revision and
// never skips a change.
//
// Snapshots share their objects. These are held in small shards, copied on write: a change
// of k objects among n copies O(k x n / shards) pointers. Lookups by name are O(log n); a
// route is found in O(segments of the path x log routes).
#pragma once

#include "object_map.h"
#include "objects.h"

#include <json/value.h>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <tuple>
#include <vector>

namespace lovagerail {

// An object of a kind that this release does not know. It is kept and passed on unchanged,
// for instances of a newer release.
struct foreign_object {
    std::string path; // "<kind>/<name>"
    std::string envelope; // JSON text
    revision at;
};

// All changes accepted after revision `from` up to revision `to`. A change from revision 0
// is full: it has all objects and replaces everything known before.
struct config_change {
    revision from;
    revision to;
    std::vector<config_object> puts;
    std::vector<object_ref> deletes;
    std::vector<foreign_object> foreignPuts;
    std::vector<std::string> foreignDeletes; // paths

    bool isFull() const { return from == revision(); }
};

Json::Value toJson(const config_change& change);
// JSON envelope of an unknown object, with its revision.
Json::Value toEnvelope(const foreign_object& object);
// Decodes the envelope of an object of a known or unknown kind and adds it to the change's puts.
result<void> addEnvelope(const Json::Value& envelope, config_change& to);
result<config_change> changeFromJson(const Json::Value& value);
// Combines two consecutive changes into one; `second` must start at or before the end of `first`.
config_change compose(const config_change& first, const config_change& second);

class config;
using config_ptr = std::shared_ptr<const config>;

class config {
public:
    config() = default;

    revision at() const { return m_revision; }
    std::size_t size() const;
    template <typename Object>
    const object_map<Object>& all() const { return std::get<object_map<Object>>(m_objects); }

    const client_account* findAccount(const client_account_id& name) const { return all<client_account>().find(name.str()); }
    const api_key* findKey(const key_id& id) const { return all<api_key>().find(id.str()); }
    const target_pool* findPool(const pool_id& name) const { return all<target_pool>().find(name.str()); }
    const route* findRoute(const route_id& name) const { return all<route>().find(name.str()); }
    const run* findRun(const run_id& name) const { return all<run>().find(name.str()); }
    // The route that allows the method and has the longest prefix of complete path
    // segments; at the same prefix, a route that names the method wins over one that allows
    // all. `path` has no query. Returns null for a path with `.` or `..` segments, plain or
    // percent-encoded: a target might resolve them to a path of another route.
    const route* findRoute(std::string_view method, std::string_view path) const;

    std::optional<config_object> find(const object_ref& ref) const;
    // Calls visit(const Object&) for all objects, ordered by kind and name, without copying them.
    template <typename Visit>
    void forEach(Visit&& visit) const
    {
        const auto visitAll = [&](const auto& map) {
            for (const auto& object : map.sorted())
                visit(*object);
        };
        std::apply([&](const auto&... map) { (visitAll(map), ...); }, m_objects);
    }
    // Copies of all objects, ordered by kind and name.
    std::vector<config_object> objects() const;
    // The snapshot as a full change, which can be applied to any state.
    config_change full() const;

private:
    friend config_ptr successor(const config& before, const config_change& change);
    struct route_index;
    using foreign_objects = std::map<std::string, foreign_object>;

    template <typename Object>
    void put(const Object& object);

    revision m_revision;
    std::tuple<object_map<client_account>, object_map<api_key>, object_map<model_version>, object_map<target_pool>,
        object_map<route>, object_map<run>>
        m_objects;
    std::shared_ptr<const foreign_objects> m_foreign; // by path; null if there are none
    std::shared_ptr<const route_index> m_routes; // rebuilt only when a route changes; null if there are none
};

enum class apply_outcome {
    Applied,
    Stale, // the change is not newer than the current configuration and was ignored
    Gap, // the change starts after the current revision, so others are missing: ask for a full change
};
std::string_view toString(apply_outcome outcome);

struct apply_result {
    apply_outcome outcome = apply_outcome::Stale;
    config_ptr next; // the new configuration if Applied, else the unchanged current one
};

// Applies a change if it ends after the current revision and does not start after it. It
// may start before it, as it has the final state of every object changed since its start.
// `current` is null if no configuration is known yet.
apply_result apply(const config_ptr& current, const config_change& change);

// Builds the snapshot after a change without checking revisions; used by apply() and for validation.
config_ptr successor(const config& before, const config_change& change);

} // namespace lovagerail
