// Configuration snapshots, applying and combining changes, the route index, and the JSON
// form of changes; see config.h.
#include "config.h"

#include "object_codec.h"

#include <algorithm>
#include <cctype>
#include <set>
#include <utility>

namespace lovagerail {

// Routes by their prefix without trailing slashes. At one prefix, routes that name methods
// come before those that allow all, each ordered by name.
struct config::route_index {
    std::map<std::string, std::vector<std::shared_ptr<const route>>, std::less<>> byPrefix;
};

namespace {

    constexpr std::string_view decodeStep = "config.decode";

    std::string_view withoutTrailingSlashes(std::string_view path)
    {
        while (!path.empty() && path.back() == '/')
            path.remove_suffix(1);
        return path;
    }

    // Whether the segment is "." or "..", with each dot plain or as %2e.
    bool isDotSegment(std::string_view segment)
    {
        std::size_t dots = 0;
        while (!segment.empty()) {
            const bool encoded = segment.size() >= 3 && segment[0] == '%' && segment[1] == '2' && (segment[2] == 'e' || segment[2] == 'E');
            if (!encoded && segment[0] != '.')
                return false;
            segment.remove_prefix(encoded ? 3 : 1);
            ++dots;
        }
        return dots == 1 || dots == 2;
    }

    bool hasDotSegment(std::string_view path)
    {
        while (!path.empty()) {
            const auto slash = path.find('/');
            if (isDotSegment(path.substr(0, slash)))
                return true;
            if (slash == std::string_view::npos)
                return false;
            path.remove_prefix(slash + 1);
        }
        return false;
    }

    bool allows(const route& candidate, std::string_view method)
    {
        return candidate.methods.empty() || std::find(candidate.methods.begin(), candidate.methods.end(), method) != candidate.methods.end();
    }

    bool touchesRoutes(const config_change& change)
    {
        const bool put = std::any_of(change.puts.begin(), change.puts.end(), [](const config_object& o) { return kindOf(o) == object_kind::Route; });
        return put || std::any_of(change.deletes.begin(), change.deletes.end(), [](const object_ref& r) { return r.kind == object_kind::Route; });
    }

    tl::unexpected<error> corrupt(std::string detail)
    {
        return failure(error_code::Corrupt, decodeStep, std::move(detail));
    }

    result<void> decodeDelete(const Json::Value& entry, config_change& to)
    {
        if (!entry.isString())
            return corrupt("deletes: expected strings");
        const std::string path = entry.asString();
        const auto slash = path.find('/');
        if (slash == std::string::npos)
            return corrupt("deletes: expected <kind>/<name>");
        const auto kind = parseObjectKind(path.substr(0, slash));
        if (kind)
            to.deletes.push_back({ *kind, path.substr(slash + 1) });
        else
            to.foreignDeletes.push_back(path);
        return {};
    }

} // namespace

std::size_t config::size() const
{
    return std::apply([](const auto&... map) { return (map.size() + ...); }, m_objects);
}

const route* config::findRoute(std::string_view method, std::string_view path) const
{
    if (!m_routes || path.empty() || path.front() != '/' || hasDotSegment(path))
        return nullptr;
    path = withoutTrailingSlashes(path);
    while (true) {
        const auto found = m_routes->byPrefix.find(path);
        if (found != m_routes->byPrefix.end()) {
            for (const auto& candidate : found->second) {
                if (allows(*candidate, method))
                    return candidate.get();
            }
        }
        if (path.empty())
            return nullptr;
        path = withoutTrailingSlashes(path.substr(0, path.rfind('/')));
    }
}

std::optional<config_object> config::find(const object_ref& ref) const
{
    std::optional<config_object> found;
    const auto findIn = [&]<typename Object>(const object_map<Object>& map) {
        if (kindFor<Object>() != ref.kind)
            return;
        if (const Object* object = map.find(ref.name))
            found = *object;
    };
    std::apply([&](const auto&... map) { (findIn(map), ...); }, m_objects);
    return found;
}

std::vector<config_object> config::objects() const
{
    std::vector<config_object> all;
    all.reserve(size());
    forEach([&](const auto& object) { all.emplace_back(object); });
    return all;
}

config_change config::full() const
{
    config_change change { revision(), m_revision, objects(), {}, {}, {} };
    if (!m_foreign)
        return change;
    for (const auto& [path, object] : *m_foreign)
        change.foreignPuts.push_back(object);
    return change;
}

config_ptr successor(const config& before, const config_change& change)
{
    // Step 1. Start from the previous snapshot, or from an empty one if the change is full.
    auto next = change.isFull() ? std::make_shared<config>() : std::make_shared<config>(before);
    next->m_revision = change.to;

    // Step 2. Apply deletions and puts. Objects without a revision get that of the change.
    const auto erase = [&]<typename Object>(object_map<Object>& map, const object_ref& ref) {
        if (kindFor<Object>() == ref.kind)
            map.erase(ref.name);
    };
    for (const auto& ref : change.deletes)
        std::apply([&](auto&... map) { (erase(map, ref), ...); }, next->m_objects);
    for (const auto& object : change.puts) {
        std::visit([&]<typename Object>(const Object& typedObject) {
            auto shared = std::make_shared<Object>(typedObject);
            if (shared->meta.changed.at == revision())
                shared->meta.changed.at = change.to;
            std::get<object_map<Object>>(next->m_objects).put(std::move(shared));
        },
            object);
    }

    // Step 3. Objects of unknown kinds.
    if (!change.foreignPuts.empty() || !change.foreignDeletes.empty()) {
        auto foreign = next->m_foreign ? std::make_shared<config::foreign_objects>(*next->m_foreign) : std::make_shared<config::foreign_objects>();
        for (const auto& path : change.foreignDeletes)
            foreign->erase(path);
        for (const auto& object : change.foreignPuts)
            foreign->insert_or_assign(object.path, object);
        next->m_foreign = std::move(foreign);
    }

    // Step 4. Rebuild the route index if a route changed.
    if (!touchesRoutes(change))
        return next;
    auto index = std::make_shared<config::route_index>();
    for (const auto& candidate : next->all<route>().sorted())
        index->byPrefix[std::string(withoutTrailingSlashes(candidate->pathPrefix))].push_back(candidate);
    for (auto& [prefix, routes] : index->byPrefix)
        std::stable_partition(routes.begin(), routes.end(), [](const auto& candidate) { return !candidate->methods.empty(); });
    next->m_routes = std::move(index);
    return next;
}

std::string_view toString(apply_outcome outcome)
{
    switch (outcome) {
    case apply_outcome::Applied:
        return "applied";
    case apply_outcome::Stale:
        return "stale";
    case apply_outcome::Gap:
        return "gap";
    }
    return "stale";
}

apply_result apply(const config_ptr& current, const config_change& change)
{
    const revision currentRevision = current ? current->at() : revision();
    if (change.to <= currentRevision || change.to <= change.from)
        return { apply_outcome::Stale, current };
    if (!change.isFull() && (!current || change.from > currentRevision))
        return { apply_outcome::Gap, current };
    static const config empty;
    return { apply_outcome::Applied, successor(current ? *current : empty, change) };
}

config_change compose(const config_change& first, const config_change& second)
{
    if (second.isFull())
        return second;
    config_change composed { first.from, std::max(first.to, second.to), {}, {}, {}, {} };

    // Step 1. Find the final state of each object.
    std::map<object_ref, const config_object*> last; // null = deleted
    std::map<std::string, const foreign_object*> lastForeign;
    for (const auto* change : { &first, &second }) {
        for (const auto& ref : change->deletes)
            last[ref] = nullptr;
        for (const auto& object : change->puts)
            last[refOf(object)] = &object;
        for (const auto& path : change->foreignDeletes)
            lastForeign[path] = nullptr;
        for (const auto& object : change->foreignPuts)
            lastForeign[object.path] = &object;
    }

    // Step 2. Keep deletions, also of objects that `first` had put: a receiver whose
    // revision is between the two has these objects. A full change needs no deletions.
    for (const auto& [ref, object] : last) {
        if (object)
            composed.puts.push_back(*object);
        else if (!composed.isFull())
            composed.deletes.push_back(ref);
    }
    for (const auto& [path, object] : lastForeign) {
        if (object)
            composed.foreignPuts.push_back(*object);
        else if (!composed.isFull())
            composed.foreignDeletes.push_back(path);
    }

    // Step 3. Set the revisions that objects would have got from the separate changes.
    for (auto& object : composed.puts) {
        auto& stamp = metaOf(object).changed;
        if (stamp.at != revision())
            continue;
        const auto ref = refOf(object);
        const bool fromSecond = std::any_of(second.puts.begin(), second.puts.end(), [&](const config_object& o) { return refOf(o) == ref; });
        stamp.at = fromSecond ? second.to : first.to;
    }
    return composed;
}

result<void> addEnvelope(const Json::Value& entry, config_change& to)
{
    if (!entry.isObject() || !entry["kind"].isString())
        return corrupt("puts: expected envelopes");
    const std::string kind = entry["kind"].asString();
    if (parseObjectKind(kind)) {
        auto object = objectFromEnvelope(entry);
        if (!object)
            return tl::unexpected(std::move(object.error()));
        to.puts.push_back(std::move(*object));
        return {};
    }
    const auto& object = entry["object"];
    if (!object.isObject() || !object["name"].isString())
        return corrupt("puts: expected a name");
    const auto changedAt = entry.get("at", Json::UInt64(0));
    if (!changedAt.isUInt64())
        return corrupt("puts: expected a revision");
    to.foreignPuts.push_back({ kind + "/" + object["name"].asString(), toText(entry), revision(changedAt.asUInt64()) });
    return {};
}

Json::Value toEnvelope(const foreign_object& object)
{
    auto envelope = parseJson(object.envelope, decodeStep);
    if (!envelope || !envelope->isObject())
        return Json::Value();
    (*envelope)["at"] = Json::UInt64(object.at.value());
    return std::move(*envelope);
}

Json::Value toJson(const config_change& change)
{
    Json::Value value(Json::objectValue);
    value["from"] = Json::UInt64(change.from.value());
    value["to"] = Json::UInt64(change.to.value());
    value["puts"] = Json::Value(Json::arrayValue);
    value["deletes"] = Json::Value(Json::arrayValue);
    for (const auto& object : change.puts)
        value["puts"].append(toEnvelope(object));
    for (const auto& object : change.foreignPuts)
        value["puts"].append(toEnvelope(object));
    for (const auto& ref : change.deletes)
        value["deletes"].append(toString(ref));
    for (const auto& path : change.foreignDeletes)
        value["deletes"].append(path);
    return value;
}

result<config_change> changeFromJson(const Json::Value& value)
{
    if (!value.isObject() || !value["from"].isUInt64() || !value["to"].isUInt64() || !value["puts"].isArray() || !value["deletes"].isArray())
        return corrupt("expected a change with from, to, puts and deletes");
    config_change change;
    change.from = revision(value["from"].asUInt64());
    change.to = revision(value["to"].asUInt64());
    for (const auto& entry : value["puts"]) {
        if (auto decoded = addEnvelope(entry, change); !decoded)
            return tl::unexpected(std::move(decoded.error()));
    }
    for (const auto& entry : value["deletes"]) {
        if (auto decoded = decodeDelete(entry, change); !decoded)
            return tl::unexpected(std::move(decoded.error()));
    }
    return change;
}

} // namespace lovagerail
