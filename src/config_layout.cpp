// Keys, the encoding of head, and changes made from stored values and watch events; see
// config_layout.h.
#include "config_layout.h"

#include "object_codec.h"

#include <algorithm>

namespace lovagerail {

namespace {

    constexpr std::string_view step = "config.read";
    constexpr std::size_t historyDigits = 12;

    tl::unexpected<error> corrupt(std::string_view key, const std::string& detail)
    {
        return failure(error_code::Corrupt, step, peer_kind::KeyValueService, {}, std::string(key) + ": " + detail);
    }

    // Adds one stored object to a change, with its revision in the service.
    result<void> addObject(std::string_view key, std::string_view value, revision objectRevision, config_change& to)
    {
        const std::string path(key.substr(objectPrefix.size()));
        const auto envelope = parseJson(value, step);
        if (!envelope)
            return corrupt(key, envelope.error().detail);
        const auto ref = parseObjectKey(key);
        if (!ref) {
            to.foreignPuts.push_back({ path, std::string(value), objectRevision });
            return {};
        }
        auto object = objectFromEnvelope(*envelope);
        if (!object)
            return corrupt(key, object.error().detail);
        if (refOf(*object) != *ref)
            return corrupt(key, "holds " + toString(refOf(*object)));
        metaOf(*object).changed.at = objectRevision;
        to.puts.push_back(std::move(*object));
        return {};
    }

    void addDeletion(std::string_view key, config_change& to)
    {
        if (const auto ref = parseObjectKey(key))
            to.deletes.push_back(*ref);
        else
            to.foreignDeletes.emplace_back(key.substr(objectPrefix.size()));
    }

} // namespace

std::string objectKey(const object_ref& ref)
{
    return std::string(objectPrefix) + toString(ref);
}

result<object_ref> parseObjectKey(std::string_view key)
{
    if (!key.starts_with(objectPrefix))
        return failure(error_code::InvalidArgument, step, "not the key of a configuration object");
    key.remove_prefix(objectPrefix.size());
    const auto slash = key.find('/');
    if (slash == std::string_view::npos)
        return failure(error_code::InvalidArgument, step, "not the key of a configuration object");
    // parseObjectKind() also takes plurals, which never occur in keys.
    const auto kind = parseObjectKind(key.substr(0, slash));
    if (!kind || toString(*kind) != key.substr(0, slash))
        return failure(error_code::Unsupported, step, "unknown kind");
    return object_ref { *kind, std::string(key.substr(slash + 1)) };
}

std::string historyKey(std::uint64_t number)
{
    std::string digits = std::to_string(number);
    digits.insert(0, historyDigits - std::min(historyDigits, digits.size()), '0');
    return std::string(historyPrefix) + digits;
}

std::string encodeHead(const config_head& head)
{
    Json::Value value(Json::objectValue);
    value["count"] = Json::UInt64(head.count);
    value["previous"] = Json::UInt64(head.previous.value());
    value["who"] = head.author;
    value["when"] = Json::Int64(head.when.time_since_epoch().count());
    value["summary"] = head.summary;
    return toText(value);
}

result<config_head> decodeHead(std::string_view text)
{
    const auto value = parseJson(text, step);
    if (!value)
        return corrupt(headKey, value.error().detail);
    const auto& fields = *value;
    const bool isValid = fields.isObject() && fields["count"].isUInt64() && fields["previous"].isUInt64() && fields["who"].isString()
        && fields["when"].isInt64() && fields["summary"].isString();
    if (!isValid)
        return corrupt(headKey, "expected count, previous, who, when and summary");
    config_head head;
    head.count = fields["count"].asUInt64();
    head.previous = revision(fields["previous"].asUInt64());
    head.author = fields["who"].asString();
    head.when = wall_time(std::chrono::milliseconds(fields["when"].asInt64()));
    head.summary = fields["summary"].asString();
    return head;
}

result<config_change> changeFromRange(std::span<const stored_value> values)
{
    config_change change;
    revision newestObject;
    for (const auto& stored : values) {
        if (stored.key == headKey) {
            if (const auto head = decodeHead(stored.value); !head)
                return tl::unexpected(head.error());
            change.to = stored.modRevision;
            continue;
        }
        if (!stored.key.starts_with(objectPrefix))
            continue;
        newestObject = std::max(newestObject, stored.modRevision);
        if (auto added = addObject(stored.key, stored.value, stored.modRevision, change); !added)
            return tl::unexpected(std::move(added.error()));
    }
    if (change.to == revision())
        return failure(error_code::NotFound, step, peer_kind::KeyValueService, {}, "no configuration has been accepted yet");
    if (newestObject > change.to)
        return corrupt(headKey, "an object is newer than head: it was read at a later revision, or written without head");
    return change;
}

result<config_change> changeFromEvents(std::span<const stored_event> events)
{
    config_change change;
    for (const auto& event : events) {
        if (event.modRevision != events.front().modRevision)
            return corrupt(event.key, "events of several revisions");
        if (event.key == headKey && event.value) {
            const auto head = decodeHead(*event.value);
            if (!head)
                return tl::unexpected(head.error());
            change.from = head->previous;
            change.to = event.modRevision;
            continue;
        }
        if (!event.key.starts_with(objectPrefix))
            continue;
        if (!event.value) {
            addDeletion(event.key, change);
            continue;
        }
        if (auto added = addObject(event.key, *event.value, event.modRevision, change); !added)
            return tl::unexpected(std::move(added.error()));
    }
    if (change.to == revision())
        return corrupt(headKey, "was not changed at this revision");
    return change;
}

} // namespace lovagerail
