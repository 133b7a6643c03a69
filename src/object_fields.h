// The fields of each kind of object, listed once: the JSON codec and the file reader visit
// the same list, so that they always agree.
//
// A visitor has field(name, member) for each type of member, and table(name, member) for
// nested tables; members are const for a visitor that writes objects out.
#pragma once

#include "objects.h"

#include <array>
#include <type_traits>
#include <utility>

namespace lovagerail::detail {

template <typename Candidate, typename Wanted>
concept maybe_const = std::is_same_v<std::remove_const_t<Candidate>, Wanted>;

template <typename Enum>
struct enum_names;

template <>
struct enum_names<pool_kind> {
    static constexpr std::array<pool_kind, 2> all { pool_kind::Engine, pool_kind::Service };
};
template <>
struct enum_names<fencing_support> {
    static constexpr std::array<fencing_support, 2> all { fencing_support::Checked, fencing_support::Ignored };
};
template <>
struct enum_names<operator_scope> {
    static constexpr std::array<operator_scope, 3> all { operator_scope::Read, operator_scope::Write, operator_scope::Keys };
};

// False if the text is the name of no constant.
template <typename Enum>
bool parseEnum(std::string_view text, Enum& to)
{
    for (const auto candidate : enum_names<Enum>::all) {
        if (toString(candidate) != text)
            continue;
        to = candidate;
        return true;
    }
    return false;
}

// "engine, service"
template <typename Enum>
std::string enumChoices()
{
    std::string choices;
    for (const auto candidate : enum_names<Enum>::all)
        choices += (choices.empty() ? "" : ", ") + std::string(toString(candidate));
    return choices;
}

void visitFields(auto& visitor, maybe_const<account_limits> auto& limits)
{
    visitor.field("requests_per_second", limits.requestsPerSecond);
    visitor.field("burst", limits.burst);
    visitor.field("concurrency", limits.concurrency);
    visitor.field("tokens_per_minute", limits.tokensPerMinute);
}

void visitFields(auto& visitor, maybe_const<account_objectives> auto& objectives)
{
    visitor.field("availability", objectives.availability);
    visitor.field("first_token_ms", objectives.firstTokenMs);
    visitor.field("full_answer_ms", objectives.fullAnswerMs);
}

void visitFields(auto& visitor, maybe_const<client_account> auto& account)
{
    visitor.field("weight", account.weight);
    visitor.table("limits", account.limits);
    visitor.table("objectives", account.objectives);
}

void visitFields(auto& visitor, maybe_const<api_key> auto& key)
{
    visitor.field("account", key.account);
    visitor.field("scopes", key.scopes);
    visitor.field("salt", key.salt);
    visitor.field("digest", key.digest);
    visitor.field("withdrawn", key.withdrawn);
}

void visitFields(auto& visitor, maybe_const<model_version> auto& version)
{
    visitor.field("model", version.model);
    visitor.field("version", version.version);
    visitor.field("source", version.source);
}

void visitFields(auto& visitor, maybe_const<target_pool> auto& pool)
{
    visitor.field("kind", pool.kind);
    visitor.field("model", pool.model);
    visitor.field("floor", pool.floor);
    visitor.field("ceiling", pool.ceiling);
    visitor.field("allow_cheap", pool.allowCheap);
    visitor.field("start_up_s", pool.startUpS);
    visitor.field("firm_price_micro_per_hour", pool.firmPricePerHour);
    visitor.field("cheap_price_micro_per_hour", pool.cheapPricePerHour);
    visitor.field("fencing", pool.fencing);
    visitor.field("failure_domains", pool.failureDomains);
    visitor.field("accepts", pool.accepts);
}

void visitFields(auto& visitor, maybe_const<route> auto& routeObject)
{
    visitor.field("path_prefix", routeObject.pathPrefix);
    visitor.field("methods", routeObject.methods);
    visitor.field("kind", routeObject.kind);
    visitor.field("open", routeObject.open);
    visitor.field("targets", routeObject.targets);
    visitor.field("accounts", routeObject.accounts);
    visitor.field("idempotent", routeObject.idempotent);
    visitor.field("idempotent_methods", routeObject.idempotentMethods);
    visitor.field("deadline_ms", routeObject.deadlineMs);
    visitor.field("priority", routeObject.priority);
    visitor.field("max_body_bytes", routeObject.maxBodyBytes);
}

void visitFields(auto& visitor, maybe_const<run> auto& runObject)
{
    visitor.field("account", runObject.account);
    visitor.field("model", runObject.model);
    visitor.field("group_size", runObject.groupSize);
    visitor.field("groups_per_step", runObject.groupsPerStep);
    visitor.field("staleness_bound", runObject.stalenessBound);
    visitor.field("targets", runObject.targets);
    visitor.field("judge", runObject.judge);
    visitor.field("weight", runObject.weight);
    visitor.field("max_tokens", runObject.maxTokens);
    visitor.field("overprovision", runObject.overprovision);
}

// An object of the kind with its defaults.
template <std::size_t... Index>
config_object emptyObject(object_kind kind, std::index_sequence<Index...>)
{
    config_object made;
    ((static_cast<std::size_t>(kind) == Index ? static_cast<void>(made.emplace<Index>()) : static_cast<void>(0)), ...);
    return made;
}

inline config_object emptyObject(object_kind kind)
{
    return emptyObject(kind, std::make_index_sequence<objectKindCount>());
}

} // namespace lovagerail::detail
