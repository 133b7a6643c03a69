// The configuration objects that operators write: plain typed values.
//
// Every object has a name, labels, a stamp of its last change, and the JSON fields
// that this release doesn't know: they are kept, so that an old instance that forwards
// or edits an object written by a newer release loses nothing. A limit of 0 means "no
// limit". Raw keys never appear here, only digests.
#pragma once

#include "selector.h"
#include "types.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <variant>
#include <vector>

namespace lovagerail {

// Field names with their values as compact JSON text.
using unknown_fields = std::map<std::string, std::string>;

// Who changed an object last, and at which revision; set when a change is accepted.
struct change_stamp {
    revision at; // mod_revision in the key-value service; 0 = not accepted yet
    std::string by;
    wall_time when {};

    friend bool operator==(const change_stamp&, const change_stamp&) = default;
};

struct object_meta {
    std::string name;
    lovagerail::labels labels;
    unknown_fields unknown;
    change_stamp changed; // not part of the content
};

struct account_limits {
    std::uint64_t requestsPerSecond = 0;
    std::uint64_t burst = 0;
    std::uint64_t concurrency = 0;
    std::uint64_t tokensPerMinute = 0;
    unknown_fields unknown;
};

struct account_objectives {
    double availability = 0; // share of requests answered, 0..1; 0 = no objective
    std::uint64_t firstTokenMs = 0;
    std::uint64_t fullAnswerMs = 0;
    unknown_fields unknown;
};

struct client_account {
    object_meta meta;
    std::uint64_t weight = 1; // >= 1
    account_limits limits;
    account_objectives objectives;
};

enum class operator_scope {
    Read,
    Write,
    Keys,
};

// The name is the key's id, the part of the raw key that may be shown.
// Invariant: belongs to an account, or has operator scopes, never both.
struct api_key {
    object_meta meta;
    client_account_id account;
    std::vector<operator_scope> scopes;
    std::string salt; // hex
    std::string digest; // hex SHA-256 of salt bytes followed by the secret's text
    bool withdrawn = false; // once true, stays true
};

struct model_version {
    object_meta meta;
    model_id model;
    weight_version version;
    std::string source;
};

enum class pool_kind {
    Engine,
    Service,
};

enum class fencing_support {
    Checked, // targets refuse an order with an old fencing number
    Ignored,
};

struct target_pool {
    object_meta meta;
    pool_kind kind = pool_kind::Engine;
    model_id model;
    std::uint32_t floor = 0; // minimum number of running targets
    std::uint32_t ceiling = 1; // maximum number of ordered targets
    bool allowCheap = false;
    std::uint32_t startUpS = 60; // from order to first answer
    micro_price firmPricePerHour;
    micro_price cheapPricePerHour;
    fencing_support fencing = fencing_support::Ignored;
    std::vector<failure_domain_id> failureDomains;
    selector accepts; // over workLabels(); empty = all work
};

struct route {
    object_meta meta;
    std::string pathPrefix; // matches whole path segments
    std::vector<std::string> methods; // empty = all
    pool_kind kind = pool_kind::Engine;
    bool open = false; // needs no key
    selector targets; // over targetLabels()
    selector accounts; // over account labels
    bool idempotent = false; // every method may be repeated
    std::vector<std::string> idempotentMethods; // these may be repeated
    std::uint64_t deadlineMs = 60'000;
    std::int32_t priority = 0; // lower goes first
    std::uint64_t maxBodyBytes = 1'048'576;
};

struct run {
    object_meta meta;
    client_account_id account;
    model_id model;
    std::uint32_t groupSize = 1; // samples of one prompt
    std::uint32_t groupsPerStep = 1;
    std::uint64_t stalenessBound = 0; // versions
    selector targets;
    route_id judge; // route by which samples are judged; empty = none
    std::uint64_t weight = 1; // >= 1
    std::uint64_t maxTokens = 1'024;
    std::uint32_t overprovision = 0; // groups started beyond those that a step needs
};

using config_object = std::variant<client_account, api_key, model_version, target_pool, route, run>;

// In the order of config_object's alternatives.
enum class object_kind {
    ClientAccount,
    ApiKey,
    ModelVersion,
    TargetPool,
    Route,
    Run,
};
constexpr std::size_t objectKindCount = std::variant_size_v<config_object>;

// The kind that belongs to a type, e.g. kindFor<route>().
template <typename Object, std::size_t Index = 0>
constexpr object_kind kindFor()
{
    if constexpr (std::is_same_v<Object, std::variant_alternative_t<Index, config_object>>)
        return static_cast<object_kind>(Index);
    else
        return kindFor<Object, Index + 1>();
}

struct object_ref {
    object_kind kind = object_kind::ClientAccount;
    std::string name;

    friend bool operator==(const object_ref&, const object_ref&) = default;
    friend bool operator<(const object_ref& a, const object_ref& b) { return std::tie(a.kind, a.name) < std::tie(b.kind, b.name); }
};

// The kind's name in keys, files and on the command line, e.g. "client_account".
std::string_view toString(object_kind kind);
std::string_view toString(operator_scope scope);
std::string_view toString(pool_kind kind);
std::string_view toString(fencing_support fencing);
// Also takes the plural, e.g. "routes".
result<object_kind> parseObjectKind(std::string_view text);
// "route/stock"
std::string toString(const object_ref& ref);
std::ostream& operator<<(std::ostream& out, const object_ref& ref);

object_kind kindOf(const config_object& object);
const object_meta& metaOf(const config_object& object);
object_meta& metaOf(config_object& object);
object_ref refOf(const config_object& object);
bool isObjectName(std::string_view text);

// The labels that a pool's `accepts` is matched against: those of account, route and run
// together. For a label key in several of them, the run's value wins, then the route's.
// Each argument may be null.
labels workLabels(const client_account* account, const route* routeObject, const run* runObject);
// The labels that `targets` of a route or run is matched against: `pool`,
// `failure_domain` and `kind`, then those of the pool, then the target's own. For a label
// key in several of them, the first in this order wins.
labels targetLabels(const target_pool& pool, const failure_domain_id& domain, const labels& ownLabels);

// Whether a request of this method on this route may be repeated.
bool isIdempotent(const route& routeObject, std::string_view method);

} // namespace lovagerail
