// Handlers of the operators' API calls for configuration and keys: apply, objects, history,
// rollback, and granting and withdrawing keys.
#include "daemon/config_api.h"

#include "config_layout.h"
#include "daemon/key_duty.h"
#include "http_status.h"
#include "object_codec.h"

#include <algorithm>

namespace lovagerail::daemon {

namespace {

    constexpr std::int64_t maxHistoryEntries = 1000;

    error badRequest(std::string step, std::string detail)
    {
        return { error_code::InvalidArgument, std::move(step), peer_kind::Operator, {}, std::move(detail) };
    }

    Json::Value toLines(const std::vector<config_fault>& faults)
    {
        Json::Value out(Json::arrayValue);
        for (const auto& fault : faults)
            out.append(toString(fault));
        return out;
    }

    // Answers a call that edits the configuration with the outcome of the edit.
    void answerEdit(const http::exchange_ptr& exchange, const edit_answer& outcome, Json::Value extra = Json::Value(Json::objectValue))
    {
        Json::Value body = std::move(extra);
        if (const auto* done = std::get_if<edit_result>(&outcome)) {
            body["revision"] = Json::UInt64(done->at.value());
            body["unchanged"] = done->unchanged;
            body["warnings"] = toLines(done->warnings);
            answerJson(exchange, statusOk, body);
        } else if (const auto* conflicts = std::get_if<std::vector<edit_conflict>>(&outcome)) {
            auto& fault = body["error"];
            fault["code"] = "conflict";
            fault["step"] = "config.edit";
            fault["detail"] = "others changed these objects";
            for (const auto& conflict : *conflicts)
                fault["lines"].append(toString(conflict));
            answerJson(exchange, statusConflict, body);
        } else if (const auto* faults = std::get_if<std::vector<config_fault>>(&outcome)) {
            auto& fault = body["error"];
            fault["code"] = "invalid argument";
            fault["step"] = "config.check";
            fault["detail"] = "the configuration would be invalid";
            fault["lines"] = toLines(*faults);
            answerJson(exchange, statusBadRequest, body);
        } else {
            answerError(exchange, std::get<error>(outcome));
        }
    }

    result<object_ref> refOf(const std::string& text)
    {
        const auto slash = text.find('/');
        if (slash == std::string::npos)
            return failure(error_code::InvalidArgument, "operator.ref", "expected KIND/NAME, found " + text);
        const auto kind = parseObjectKind(text.substr(0, slash));
        if (!kind)
            return tl::unexpected(kind.error());
        return object_ref { *kind, text.substr(slash + 1) };
    }

    result<config_edit> editFrom(const operator_call& call, wall_time wall)
    {
        config_edit edit;
        edit.author = call.author;
        edit.when = wall;
        edit.summary = call.body["summary"].isString() ? call.body["summary"].asString() : "apply";
        for (const auto& item : call.body["objects"]) {
            if (!item.isObject() || !item["kind"].isString())
                return failure(error_code::InvalidArgument, "operator.apply", "objects: expected {kind, object}");
            const auto kind = parseObjectKind(item["kind"].asString());
            if (!kind)
                return tl::unexpected(kind.error());
            // Keys are created only by a grant, so that nobody chooses their own key.
            if (*kind == object_kind::ApiKey)
                return failure(error_code::InvalidArgument, "operator.apply", "api_key: use keys grant and keys withdraw");
            auto object = objectFromJson(*kind, item["object"]);
            if (!object)
                return tl::unexpected(object.error());
            edit.puts.push_back(std::move(*object));
        }
        for (const auto& item : call.body["deletes"]) {
            auto ref = refOf(item.asString());
            if (!ref)
                return tl::unexpected(ref.error());
            edit.deletes.push_back(std::move(*ref));
        }
        const auto& givenBases = call.body["bases"];
        for (const auto& name : givenBases.isObject() ? givenBases.getMemberNames() : Json::Value::Members()) {
            auto ref = refOf(name);
            if (!ref)
                return tl::unexpected(ref.error());
            edit.baseRevisions[*ref] = revision(givenBases[name].asUInt64());
        }
        return edit;
    }

    void apply(const operator_call& call, control_context& context, config_duty& config)
    {
        const auto edit = editFrom(call, context.wall);
        if (!edit) {
            answerError(call.exchange, edit.error());
            return;
        }
        if (call.body["dry_run"].asBool()) {
            const auto planned = planEdit(*context.inForce, config.head(), *edit);
            if (const auto* plan = std::get_if<edit_plan>(&planned))
                answerEdit(call.exchange, edit_result { context.inForce->at(), plan->warnings, false });
            else if (const auto* conflicts = std::get_if<std::vector<edit_conflict>>(&planned))
                answerEdit(call.exchange, *conflicts);
            else if (const auto* faults = std::get_if<std::vector<config_fault>>(&planned))
                answerEdit(call.exchange, *faults);
            else if (const auto* why = std::get_if<error>(&planned))
                answerEdit(call.exchange, *why);
            else
                answerEdit(call.exchange, edit_result { context.inForce->at(), {}, true });
            return;
        }
        config.edit(*edit, [exchange = call.exchange](const edit_answer& outcome) { answerEdit(exchange, outcome); });
    }

    void objects(const operator_call& call, const control_context& context)
    {
        std::optional<object_kind> kind;
        if (const auto kindQuery = call.query.find("kind"); kindQuery != call.query.end()) {
            const auto parsed = parseObjectKind(kindQuery->second);
            if (!parsed) {
                answerError(call.exchange, parsed.error());
                return;
            }
            kind = *parsed;
        }
        const auto selectorQuery = call.query.find("selector");
        const auto parsedSelector = selector::parse(selectorQuery == call.query.end() ? "" : selectorQuery->second);
        if (!parsedSelector) {
            answerError(call.exchange, parsedSelector.error());
            return;
        }
        const auto nameQuery = call.query.find("name");
        Json::Value body(Json::objectValue);
        body["revision"] = Json::UInt64(context.inForce->at().value());
        body["objects"] = Json::Value(Json::arrayValue);
        for (const auto& object : context.inForce->objects()) {
            if (kind && kindOf(object) != *kind)
                continue;
            if (nameQuery != call.query.end() && metaOf(object).name != nameQuery->second)
                continue;
            if (!parsedSelector->matches(metaOf(object).labels))
                continue;
            body["objects"].append(toEnvelope(object));
        }
        answerJson(call.exchange, statusOk, body);
    }

    // Reads the newest `count` entries of the change history, up to number `newest`.
    void readHistory(control_context& context, std::uint64_t newest, std::uint64_t count, std::function<void(const result<std::vector<history_entry>>&)> onDone)
    {
        const auto firstNumber = newest >= count ? newest - count + 1 : 1;
        kv_range range { historyKey(firstNumber), prefixEnd(std::string(historyPrefix)), 0, {}, false };
        context.kv.call(range, [onDone = std::move(onDone)](const result<kv_answer>& answer) {
            if (!answer) {
                onDone(tl::unexpected(answer.error()));
                return;
            }
            std::vector<history_entry> entries;
            for (const auto& entry : answer->entries) {
                auto decoded = decodeHistory({ entry.key, entry.value, entry.modRevision });
                if (decoded)
                    entries.push_back(std::move(*decoded));
            }
            std::reverse(entries.begin(), entries.end());
            onDone(std::move(entries));
        });
    }

    void history(const operator_call& call, control_context& context, const config_duty& config)
    {
        std::int64_t limit = 20;
        if (const auto limitQuery = call.query.find("limit"); limitQuery != call.query.end())
            limit = std::clamp<std::int64_t>(std::strtoll(limitQuery->second.c_str(), nullptr, 10), 1, maxHistoryEntries);
        readHistory(context, config.head().count, static_cast<std::uint64_t>(limit), [exchange = call.exchange](const result<std::vector<history_entry>>& entries) {
            if (!entries) {
                answerError(exchange, entries.error());
                return;
            }
            Json::Value body(Json::objectValue);
            body["history"] = Json::Value(Json::arrayValue);
            for (const auto& entry : *entries) {
                Json::Value item(Json::objectValue);
                item["number"] = Json::UInt64(entry.number);
                item["revision"] = Json::UInt64(entry.at.value());
                item["who"] = entry.author;
                item["when_ms"] = Json::Int64(entry.when.time_since_epoch().count());
                item["summary"] = entry.summary;
                for (const auto& object : entry.puts)
                    item["puts"].append(toString(lovagerail::refOf(object)));
                for (const auto& ref : entry.deletes)
                    item["deletes"].append(toString(ref));
                body["history"].append(item);
            }
            answerJson(exchange, statusOk, body);
        });
    }

    // Restores the objects as they were after change number `to`.
    void rollback(const operator_call& call, control_context& context, config_duty& config)
    {
        const auto newest = config.head().count;
        const auto to = call.body["to"].isUInt64() ? call.body["to"].asUInt64() : newest;
        if (to >= newest || newest - to > maxHistoryEntries) {
            answerError(call.exchange, badRequest("operator.rollback", "to: expected the number of an earlier change, at most 1000 back"));
            return;
        }
        readHistory(context, newest, newest - to, [call, &context, &config](const result<std::vector<history_entry>>& entries) {
            if (!entries) {
                answerError(call.exchange, entries.error());
                return;
            }
            const auto older = rewind(*context.inForce, *entries);
            if (!older) {
                answerError(call.exchange, older.error());
                return;
            }
            auto edit = planRollback(*context.inForce, *older, call.author, context.wall, "rollback to " + std::to_string(call.body["to"].asUInt64()));
            config.edit(std::move(edit), [exchange = call.exchange](const edit_answer& outcome) { answerEdit(exchange, outcome); });
        });
    }

    result<operator_scope> scopeOf(const std::string& name)
    {
        for (const auto scope : { operator_scope::Read, operator_scope::Write, operator_scope::Keys }) {
            if (toString(scope) == name)
                return scope;
        }
        return failure(error_code::InvalidArgument, "operator.grant", "scopes: expected read, write or keys, found " + name);
    }

    void grant(const operator_call& call, key_duty& keys)
    {
        std::vector<operator_scope> scopes;
        for (const auto& item : call.body["scopes"]) {
            const auto scope = scopeOf(item.asString());
            if (!scope) {
                answerError(call.exchange, scope.error());
                return;
            }
            scopes.push_back(*scope);
        }
        const auto account = call.body["account"].isString() ? call.body["account"].asString() : "";
        if (account.empty() == scopes.empty()) {
            answerError(call.exchange, badRequest("operator.grant", "expected either account or scopes"));
            return;
        }
        labels keyLabels;
        const auto& labelsBody = call.body["labels"];
        for (const auto& name : labelsBody.isObject() ? labelsBody.getMemberNames() : Json::Value::Members())
            keyLabels[name] = labelsBody[name].asString();
        keys.grant(client_account_id(account), scopes, keyLabels, call.author, [exchange = call.exchange](const key_duty::grant_result& granted) {
            Json::Value extra(Json::objectValue);
            extra["id"] = granted.id.str();
            if (!granted.raw.empty())
                extra["key"] = granted.raw;
            answerEdit(exchange, granted.outcome, extra);
        });
    }

    void withdraw(const operator_call& call, key_duty& keys)
    {
        if (!call.body["id"].isString() || call.body["id"].asString().empty()) {
            answerError(call.exchange, badRequest("operator.withdraw", "id: expected the key's id"));
            return;
        }
        keys.withdraw(key_id(call.body["id"].asString()), call.author, [exchange = call.exchange](const edit_answer& outcome) {
            // If the key-value service is unavailable, the deny mark is already in force and is
            // being spread to the other instances; key_duty keeps trying to write it.
            const auto* why = std::get_if<error>(&outcome);
            if (why != nullptr && (why->code == error_code::Unavailable || why->code == error_code::Unknown)) {
                Json::Value body(Json::objectValue);
                body["denied"] = true;
                body["pending"] = toString(*why);
                answerJson(exchange, statusAccepted, body);
                return;
            }
            Json::Value extra(Json::objectValue);
            extra["denied"] = true;
            answerEdit(exchange, outcome, extra);
        });
    }

} // namespace

void addConfigApi(operator_duty& api, control_context& context, config_duty& config, key_duty& keys)
{
    api.add("POST", "/v1/apply", operator_scope::Write, [&](const operator_call& call) { apply(call, context, config); });
    api.add("GET", "/v1/objects", operator_scope::Read, [&](const operator_call& call) { objects(call, context); });
    api.add("GET", "/v1/history", operator_scope::Read, [&](const operator_call& call) { history(call, context, config); });
    api.add("POST", "/v1/rollback", operator_scope::Write, [&](const operator_call& call) { rollback(call, context, config); });
    api.add("POST", "/v1/keys/grant", operator_scope::Keys, [&](const operator_call& call) { grant(call, keys); });
    api.add("POST", "/v1/keys/withdraw", operator_scope::Keys, [&](const operator_call& call) { withdraw(call, keys); });
}

} // namespace lovagerail::daemon
