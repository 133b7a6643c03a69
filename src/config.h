// The configuration in force: an immutable snapshot of all objects and its revision.
//
// Revisions come from the key-value service, so they order all accepted
// changes. apply() moves forward only: whatever order, repeats or gaps deltas
// arrive with, the revision never goes back and no change is skipped.
//
// Objects are shared between snapshots and held in small shards that are copied
// only when they change: a change of k objects among n copies O(k x n / shards)
// pointers. Lookups by name are O(log n); a route is found in O(segments of
// the path x log routes).
#pragma once

#include "object_shelf.h"
#include "objects.h"

#include <json/value.h>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <tuple>
#include <vector>

namespace lovagerail {

// An object of a kind that only a newer release knows: kept and passed on, not used.
struct foreign_object {
    std::string path; // "<kind>/<name>"
    std::string envelope; // JSON text
    revision at;
};

// All that was accepted between two revisions. from = 0 means the change is
// complete: it holds all objects and replaces whatever was known before.
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
// One object of either sort in its envelope with its stamp; the second adds it to a change's puts.
Json::Value toEnvelope(const foreign_object& object);
result<void> addEnvelope(const Json::Value& envelope, config_change& to);
result<config_change> changeFromJson(const Json::Value& value);
// One change in place of two: `second` must start at or before where `first` ends.
config_change compose(const config_change& first, const config_change& second);

class config;
using config_ptr = std::shared_ptr<const config>;

class config {
public:
    config() = default;

    revision at() const { return m_revision; }
    std::size_t size() const;
    template <typename Object>
    const object_shelf<Object>& all() const { return std::get<object_shelf<Object>>(m_shelves); }

    const client_account* findAccount(const client_account_id& name) const { return all<client_account>().find(name.str()); }
    const api_key* findKey(const key_id& id) const { return all<api_key>().find(id.str()); }
    const target_pool* findPool(const pool_id& name) const { return all<target_pool>().find(name.str()); }
    const route* findRoute(const route_id& name) const { return all<route>().find(name.str()); }
    const run* findRun(const run_id& name) const { return all<run>().find(name.str()); }
    // The route with the longest prefix of whole segments that allows the method;
    // one that names the method goes before one that allows all. The path comes
    // without its query. None for a path with `.` or `..` segments, plain or
    // percent-encoded: a target might resolve them to a path of another route.
    const route* findRoute(std::string_view method, std::string_view path) const;

    std::optional<config_object> find(const object_ref& ref) const;
    // Calls visit(const Object&) for all objects, by kind and name, without copies.
    template <typename Visit>
    void forEach(Visit&& visit) const
    {
        const auto walk = [&](const auto& shelf) {
            for (const auto& object : shelf.sorted())
                visit(*object);
        };
        std::apply([&](const auto&... shelf) { (walk(shelf), ...); }, m_shelves);
    }
    // Copies of all objects, by kind and name.
    std::vector<config_object> objects() const;
    // The snapshot as a change that any instance can start from.
    config_change full() const;

private:
    friend config_ptr successor(const config& before, const config_change& change);
    struct route_index;
    using foreign_objects = std::map<std::string, foreign_object>;

    template <typename Object>
    void put(const Object& object);

    revision m_revision;
    std::tuple<object_shelf<client_account>, object_shelf<api_key>, object_shelf<model_version>, object_shelf<target_pool>,
        object_shelf<route>, object_shelf<run>>
        m_shelves;
    std::shared_ptr<const foreign_objects> m_foreign; // by path; null = none
    std::shared_ptr<const route_index> m_routes; // rebuilt only when a route changes; null = no routes
};

enum class apply_outcome {
    Applied,
    Stale, // not newer than what is in force; ignore it
    Gap, // it starts after what is in force: something in between is missing: ask for a full change
};
std::string_view toString(apply_outcome outcome);

struct apply_result {
    apply_outcome outcome = apply_outcome::Stale;
    config_ptr next; // what is in force now; the one before unless Applied
};

// The rule of revisions: a change applies only if it ends after the revision in
// force and doesn't start after it. One that starts before is fine: it names
// every object touched since then. `current` may be null: nothing is known yet.
apply_result apply(const config_ptr& current, const config_change& change);

// Builds the next snapshot without judging revisions; apply() and validation use it.
config_ptr successor(const config& before, const config_change& change);

} // namespace lovagerail
