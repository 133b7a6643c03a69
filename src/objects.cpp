// Names of kinds and enumerations, and access to the fields that all objects share.
#include "objects.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace lovagerail {

namespace {

    constexpr std::array<std::string_view, objectKindCount> kindNames { "client_account", "api_key", "model_version", "target_pool", "route", "run" };
    constexpr std::array<std::string_view, objectKindCount> kindPlurals { "client_accounts", "api_keys", "model_versions", "target_pools", "routes", "runs" };
    constexpr std::size_t maxNameBytes = 128;

} // namespace

std::string_view toString(object_kind kind)
{
    return kindNames.at(static_cast<std::size_t>(kind));
}

std::string_view toString(operator_scope scope)
{
    switch (scope) {
    case operator_scope::Read:
        return "read";
    case operator_scope::Write:
        return "write";
    case operator_scope::Keys:
        return "keys";
    }
    return "read";
}

std::string_view toString(pool_kind kind)
{
    return kind == pool_kind::Engine ? "engine" : "service";
}

std::string_view toString(fencing_support fencing)
{
    return fencing == fencing_support::Checked ? "checked" : "ignored";
}

result<object_kind> parseObjectKind(std::string_view text)
{
    for (std::size_t i = 0; i < objectKindCount; ++i) {
        if (text == kindNames.at(i) || text == kindPlurals.at(i))
            return static_cast<object_kind>(i);
    }
    std::string knownKinds;
    for (const auto name : kindNames)
        knownKinds += (knownKinds.empty() ? "" : ", ") + std::string(name);
    return failure(error_code::InvalidArgument, "objects.kind", "unknown kind \"" + std::string(text) + "\"; expected one of " + knownKinds);
}

std::string toString(const object_ref& ref)
{
    return std::string(toString(ref.kind)) + "/" + ref.name;
}

std::ostream& operator<<(std::ostream& out, const object_ref& ref)
{
    return out << toString(ref);
}

object_kind kindOf(const config_object& object)
{
    return static_cast<object_kind>(object.index());
}

const object_meta& metaOf(const config_object& object)
{
    return std::visit([](const auto& value) -> const object_meta& { return value.meta; }, object);
}

object_meta& metaOf(config_object& object)
{
    return std::visit([](auto& value) -> object_meta& { return value.meta; }, object);
}

object_ref refOf(const config_object& object)
{
    return { kindOf(object), metaOf(object).name };
}

bool isObjectName(std::string_view text)
{
    if (text.empty() || text.size() > maxNameBytes || !std::isalnum(static_cast<unsigned char>(text.front())))
        return false;
    return std::all_of(text.begin(), text.end(),
        [](char c) { return std::isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.'; });
}

labels workLabels(const client_account* account, const route* routeObject, const run* runObject)
{
    labels merged;
    if (runObject)
        merged.insert(runObject->meta.labels.begin(), runObject->meta.labels.end());
    if (routeObject)
        merged.insert(routeObject->meta.labels.begin(), routeObject->meta.labels.end());
    if (account)
        merged.insert(account->meta.labels.begin(), account->meta.labels.end());
    return merged;
}

labels targetLabels(const target_pool& pool, const failure_domain_id& domain, const labels& ownLabels)
{
    labels merged {
        { "pool", pool.meta.name },
        { "failure_domain", domain.str() },
        { "kind", std::string(toString(pool.kind)) },
    };
    merged.insert(pool.meta.labels.begin(), pool.meta.labels.end());
    merged.insert(ownLabels.begin(), ownLabels.end());
    return merged;
}

bool isIdempotent(const route& routeObject, std::string_view method)
{
    if (routeObject.idempotent)
        return true;
    return std::find(routeObject.idempotentMethods.begin(), routeObject.idempotentMethods.end(), method) != routeObject.idempotentMethods.end();
}

} // namespace lovagerail
