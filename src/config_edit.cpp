// Planning of edits, conflicts, history, rollback and diff; see config_edit.h.
#include "config_edit.h"

#include "object_codec.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lovagerail {

namespace {

    constexpr std::string_view step = "config.edit";
    constexpr std::string_view historyStep = "config.history";

    error invalid(std::string detail)
    {
        return { error_code::InvalidArgument, std::string(step), peer_kind::None, {}, std::move(detail) };
    }

    revision revisionOf(const std::optional<config_object>& object)
    {
        return object ? metaOf(*object).changed.at : revision();
    }

    // The first object named twice by the edit, if any.
    std::optional<object_ref> findDuplicate(const config_edit& edit)
    {
        std::set<object_ref> refs;
        for (const auto& object : edit.puts) {
            if (!refs.insert(refOf(object)).second)
                return refOf(object);
        }
        for (const auto& ref : edit.deletes) {
            if (!refs.insert(ref).second)
                return ref;
        }
        return std::nullopt;
    }

    const config_object* findIn(const std::vector<config_object>& objects, const object_ref& ref)
    {
        const auto found = std::find_if(objects.begin(), objects.end(), [&](const config_object& o) { return refOf(o) == ref; });
        return found == objects.end() ? nullptr : &*found;
    }

    // Describes the changes of an object since revision `base` that are in `recent`.
    std::vector<std::string> changesSince(const object_ref& ref, revision base, std::span<const history_entry> recent)
    {
        std::vector<std::string> lines;
        for (const auto& entry : recent) {
            if (entry.at <= base)
                continue;
            const std::string suffix = " (" + entry.author + ", revision " + std::to_string(entry.at.value()) + ")";
            const auto* before = findIn(entry.before, ref);
            const auto* after = findIn(entry.puts, ref);
            if (before && after) {
                for (const auto& line : fieldDifferences(*before, *after))
                    lines.push_back(line + suffix);
            } else if (after) {
                lines.push_back("created" + suffix);
            } else if (before) {
                lines.push_back("deleted" + suffix);
            }
        }
        return lines;
    }

    edit_conflict conflictOn(const object_ref& ref, const std::optional<config_object>& currentObject, revision base, std::span<const history_entry> recent)
    {
        edit_conflict conflict { ref, revisionOf(currentObject), currentObject ? metaOf(*currentObject).changed.by : std::string(), changesSince(ref, base, recent) };
        if (!currentObject) {
            // Find the latest change that deleted it.
            for (const auto& entry : recent) {
                if (entry.at <= conflict.changedAt || std::find(entry.deletes.begin(), entry.deletes.end(), ref) == entry.deletes.end())
                    continue;
                conflict.changedAt = entry.at;
                conflict.author = entry.author;
            }
        }
        if (conflict.what.empty())
            conflict.what.emplace_back(!currentObject ? "deleted" : base == revision() ? "created"
                                                                                       : "changed");
        return conflict;
    }

    std::vector<edit_conflict> findConflicts(const config& current, const config_edit& edit, std::span<const history_entry> recent)
    {
        std::vector<edit_conflict> conflicts;
        for (const auto& [ref, base] : edit.baseRevisions) {
            const auto currentObject = current.find(ref);
            if (revisionOf(currentObject) == base)
                continue;
            // No conflict if the object already is as wanted.
            const auto* put = findIn(edit.puts, ref);
            if (put ? currentObject && sameContent(*currentObject, *put) : !currentObject)
                continue;
            conflicts.push_back(conflictOn(ref, currentObject, base, recent));
        }
        return conflicts;
    }

    // The part of an edit that differs from the current configuration.
    config_change effectiveChange(const config& current, const config_edit& edit)
    {
        config_change change { current.at(), current.at().next(), {}, {}, {}, {} };
        for (const auto& object : edit.puts) {
            const auto currentObject = current.find(refOf(object));
            if (currentObject && sameContent(*currentObject, object))
                continue;
            change.puts.push_back(object);
            metaOf(change.puts.back()).changed = { revision(), edit.author, edit.when };
        }
        for (const auto& ref : edit.deletes) {
            if (current.find(ref))
                change.deletes.push_back(ref);
        }
        return change;
    }

    edit_plan planTransaction(const config& current, const config_head& head, const config_edit& edit, const config_change& change)
    {
        edit_plan plan;
        plan.audit = { head.count + 1, revision(), edit.author, edit.when, edit.summary, change.puts, change.deletes, {} };

        // Step 1. Compare the revisions of head and of each object changed.
        auto& transaction = plan.transaction;
        transaction.compares.push_back({ std::string(headKey), current.at() });
        const auto compareWith = [&](const object_ref& ref) {
            const auto currentObject = current.find(ref);
            transaction.compares.push_back({ objectKey(ref), revisionOf(currentObject) });
            if (currentObject)
                plan.audit.before.push_back(*currentObject);
        };

        // Step 2. Put and delete the objects.
        for (const auto& object : change.puts) {
            compareWith(refOf(object));
            transaction.puts.push_back({ objectKey(refOf(object)), toText(toEnvelope(object)) });
        }
        for (const auto& ref : change.deletes) {
            compareWith(ref);
            transaction.deletes.push_back(objectKey(ref));
        }

        // Step 3. Write head and the history entry, and delete the entry that is too old.
        const config_head next { plan.audit.number, current.at(), edit.author, edit.when, edit.summary };
        transaction.puts.push_back({ std::string(headKey), encodeHead(next) });
        transaction.puts.push_back({ historyKey(plan.audit.number), encodeHistory(plan.audit) });
        if (plan.audit.number > historyKept)
            transaction.deletes.push_back(historyKey(plan.audit.number - historyKept));
        return plan;
    }

    Json::Value toJson(const std::vector<config_object>& objects)
    {
        Json::Value list(Json::arrayValue);
        for (const auto& object : objects)
            list.append(toEnvelope(object));
        return list;
    }

    result<std::vector<config_object>> objectsFromJson(const Json::Value& list)
    {
        std::vector<config_object> objects;
        if (!list.isArray())
            return failure(error_code::Corrupt, historyStep, "expected a list of objects");
        for (const auto& entry : list) {
            auto object = objectFromEnvelope(entry);
            if (!object)
                return tl::unexpected(std::move(object.error()));
            objects.push_back(std::move(*object));
        }
        return objects;
    }

} // namespace

std::string toString(const edit_conflict& conflict)
{
    std::string text = toString(conflict.object) + ": changed at revision " + std::to_string(conflict.changedAt.value());
    if (!conflict.author.empty())
        text += " by " + conflict.author;
    for (const auto& line : conflict.what)
        text += "\n  " + line;
    return text;
}

std::string encodeHistory(const history_entry& entry)
{
    Json::Value value(Json::objectValue);
    value["number"] = Json::UInt64(entry.number);
    value["who"] = entry.author;
    value["when"] = Json::Int64(entry.when.time_since_epoch().count());
    value["summary"] = entry.summary;
    value["puts"] = toJson(entry.puts);
    value["before"] = toJson(entry.before);
    value["deletes"] = Json::Value(Json::arrayValue);
    for (const auto& ref : entry.deletes)
        value["deletes"].append(toString(ref));
    return toText(value);
}

result<history_entry> decodeHistory(const stored_value& stored)
{
    const auto parsed = parseJson(stored.value, historyStep);
    if (!parsed)
        return tl::unexpected(parsed.error());
    const Json::Value& value = *parsed;
    const bool isValid = value.isObject() && value["number"].isUInt64() && value["who"].isString() && value["when"].isInt64()
        && value["summary"].isString() && value["deletes"].isArray();
    if (!isValid)
        return failure(error_code::Corrupt, historyStep, stored.key + ": expected a history entry");
    history_entry entry;
    entry.number = value["number"].asUInt64();
    entry.at = stored.modRevision;
    entry.author = value["who"].asString();
    entry.when = wall_time(std::chrono::milliseconds(value["when"].asInt64()));
    entry.summary = value["summary"].asString();
    auto puts = objectsFromJson(value["puts"]);
    auto before = objectsFromJson(value["before"]);
    if (!puts || !before)
        return tl::unexpected(puts ? before.error() : puts.error());
    entry.puts = std::move(*puts);
    entry.before = std::move(*before);
    for (const auto& text : value["deletes"]) {
        const auto ref = parseObjectKey(std::string(objectPrefix) + (text.isString() ? text.asString() : std::string()));
        if (!ref)
            return failure(error_code::Corrupt, historyStep, stored.key + ": expected <kind>/<name>");
        entry.deletes.push_back(*ref);
    }
    return entry;
}

void setBaseRevisions(config_edit& wanted, const config& base)
{
    for (const auto& object : wanted.puts)
        wanted.baseRevisions.try_emplace(refOf(object), revisionOf(base.find(refOf(object))));
    for (const auto& ref : wanted.deletes)
        wanted.baseRevisions.try_emplace(ref, revisionOf(base.find(ref)));
}

edit_outcome planEdit(const config& current, const config_head& head, const config_edit& wanted, std::span<const history_entry> recent)
{
    // Step 1. Reject edits that are invalid for any configuration.
    if (wanted.author.empty())
        return invalid("an edit needs the name of its operator");
    if (const auto duplicate = findDuplicate(wanted))
        return invalid(toString(*duplicate) + " is named twice");

    // Step 2. Find conflicts with changes made since the edit's base revisions.
    if (auto conflicts = findConflicts(current, wanted, recent); !conflicts.empty())
        return conflicts;

    // Step 3. Reduce the edit to what it changes.
    const auto change = effectiveChange(current, wanted);
    const auto touched = change.puts.size() + change.deletes.size();
    if (touched == 0)
        return no_change {};
    if (touched > maxObjectsPerChange) {
        return error { error_code::ResourceExhausted, std::string(step), peer_kind::None, {},
            "the edit changes " + std::to_string(touched) + " objects; one change holds at most " + std::to_string(maxObjectsPerChange) };
    }

    // Step 4. Validate the resulting configuration.
    auto faults = checkChange(current, change);
    const auto configFaults = checkConfig(*successor(current, change));
    faults.insert(faults.end(), configFaults.begin(), configFaults.end());
    if (hasErrors(faults))
        return faults;

    // Step 5. Build the transaction.
    auto plan = planTransaction(current, head, wanted, change);
    for (const auto& put : plan.transaction.puts) {
        if (put.value.size() > maxValueBytes)
            return error { error_code::ResourceExhausted, std::string(step), peer_kind::None, {}, put.key + " would be too large" };
    }
    plan.warnings = std::move(faults);
    return plan;
}

result<std::vector<config_object>> rewind(const config& current, std::span<const history_entry> newestFirst)
{
    if (!newestFirst.empty() && newestFirst.front().at != current.at())
        return failure(error_code::Conflict, historyStep, "the newest change is not the one in force");
    std::map<object_ref, config_object> objects;
    for (auto& object : current.objects())
        objects.insert_or_assign(refOf(object), std::move(object));
    std::uint64_t expected = newestFirst.empty() ? 0 : newestFirst.front().number;
    for (const auto& entry : newestFirst) {
        if (entry.number != expected)
            return failure(error_code::InvalidArgument, historyStep, "change " + std::to_string(expected) + " is missing");
        --expected;
        for (const auto& object : entry.puts)
            objects.erase(refOf(object));
        for (const auto& object : entry.before)
            objects.insert_or_assign(refOf(object), object);
    }
    std::vector<config_object> older;
    older.reserve(objects.size());
    for (auto& [ref, object] : objects)
        older.push_back(std::move(object));
    return older;
}

config_edit planRollback(const config& current, const std::vector<config_object>& older, std::string author, wall_time when, std::string summary)
{
    config_edit edit;
    edit.author = std::move(author);
    edit.when = when;
    edit.summary = std::move(summary);
    std::set<object_ref> olderRefs;
    for (const auto& object : older) {
        const auto ref = refOf(object);
        olderRefs.insert(ref);
        const auto currentObject = current.find(ref);
        if (ref.kind == object_kind::ApiKey || (currentObject && sameContent(*currentObject, object)))
            continue;
        edit.baseRevisions[ref] = revisionOf(currentObject);
        edit.puts.push_back(object);
    }
    for (const auto& object : current.objects()) {
        const auto ref = refOf(object);
        if (ref.kind == object_kind::ApiKey || olderRefs.contains(ref))
            continue;
        edit.baseRevisions[ref] = metaOf(object).changed.at;
        edit.deletes.push_back(ref);
    }
    return edit;
}

std::string toString(const diff_line& line)
{
    switch (line.kind) {
    case diff_kind::Added:
        return "+ " + toString(line.object);
    case diff_kind::Removed:
        return "- " + toString(line.object);
    case diff_kind::Changed:
        return "~ " + toString(line.object) + ": " + line.detail;
    }
    return {};
}

std::vector<diff_line> diff(const config& before, const config& after)
{
    std::map<object_ref, std::pair<std::optional<config_object>, std::optional<config_object>>> versions;
    for (auto& object : before.objects())
        versions[refOf(object)].first = std::move(object);
    for (auto& object : after.objects())
        versions[refOf(object)].second = std::move(object);
    std::vector<diff_line> lines;
    for (const auto& [ref, versionPair] : versions) {
        if (!versionPair.first)
            lines.push_back({ diff_kind::Added, ref, {} });
        else if (!versionPair.second)
            lines.push_back({ diff_kind::Removed, ref, {} });
        else {
            for (auto& line : fieldDifferences(*versionPair.first, *versionPair.second))
                lines.push_back({ diff_kind::Changed, ref, std::move(line) });
        }
    }
    return lines;
}

} // namespace lovagerail
