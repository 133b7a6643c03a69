// JSON of the gateway: keys and values are base64, 64-bit numbers are strings.
#include "provider/kv_codec.h"

#include "base64.h"

#include <cstdlib>
#include <json/json.h>
#include <memory>

namespace lovagerail::provider {

namespace {

    std::int64_t numberOf(const Json::Value& value)
    {
        if (value.isString())
            return std::strtoll(value.asCString(), nullptr, 10);
        return value.isIntegral() ? value.asInt64() : 0;
    }

    revision revisionOf(const Json::Value& value)
    {
        return revision(static_cast<std::uint64_t>(numberOf(value)));
    }

    std::string toCompactJson(const Json::Value& value)
    {
        Json::StreamWriterBuilder writer;
        writer["indentation"] = "";
        return Json::writeString(writer, value);
    }

    Json::Value rangeJson(const kv_range& range)
    {
        Json::Value out(Json::objectValue);
        out["key"] = toBase64(range.key);
        if (!range.rangeEnd.empty())
            out["range_end"] = toBase64(range.rangeEnd);
        if (range.limit > 0)
            out["limit"] = std::to_string(range.limit);
        if (range.at != revision())
            out["revision"] = std::to_string(range.at.value());
        if (range.keysOnly)
            out["keys_only"] = true;
        return out;
    }

    Json::Value operationJson(const kv_operation& operation)
    {
        Json::Value out(Json::objectValue);
        if (const auto* range = std::get_if<kv_range>(&operation)) {
            out["request_range"] = rangeJson(*range);
        } else if (const auto* put = std::get_if<kv_put>(&operation)) {
            auto& body = out["request_put"];
            body["key"] = toBase64(put->key);
            body["value"] = toBase64(put->value);
            if (put->lease != kv_lease_id())
                body["lease"] = std::to_string(put->lease.value());
        } else {
            const auto& deletion = std::get<kv_delete>(operation);
            auto& body = out["request_delete_range"];
            body["key"] = toBase64(deletion.key);
            if (!deletion.rangeEnd.empty())
                body["range_end"] = toBase64(deletion.rangeEnd);
        }
        return out;
    }

    Json::Value compareJson(const kv_compare& compare)
    {
        Json::Value out(Json::objectValue);
        out["key"] = toBase64(compare.key);
        out["result"] = "EQUAL";
        switch (compare.field) {
        case kv_field::ModRevision:
            out["target"] = "MOD";
            out["mod_revision"] = std::to_string(compare.number.value());
            break;
        case kv_field::CreateRevision:
            out["target"] = "CREATE";
            out["create_revision"] = std::to_string(compare.number.value());
            break;
        case kv_field::Value:
            out["target"] = "VALUE";
            out["value"] = toBase64(compare.value);
            break;
        case kv_field::Exists:
            out["target"] = "CREATE";
            out["result"] = "GREATER";
            out["create_revision"] = "0";
            break;
        }
        return out;
    }

    Json::Value transactionJson(const kv_transaction& transaction)
    {
        Json::Value out(Json::objectValue);
        out["compare"] = Json::Value(Json::arrayValue);
        out["success"] = Json::Value(Json::arrayValue);
        out["failure"] = Json::Value(Json::arrayValue);
        for (const auto& compare : transaction.compares)
            out["compare"].append(compareJson(compare));
        for (const auto& operation : transaction.then)
            out["success"].append(operationJson(operation));
        for (const auto& operation : transaction.otherwise)
            out["failure"].append(operationJson(operation));
        return out;
    }

    kv_entry entryOf(const Json::Value& value)
    {
        kv_entry entry;
        entry.key = fromBase64(value["key"].asString()).value_or(std::string());
        entry.value = fromBase64(value["value"].asString()).value_or(std::string());
        entry.createRevision = revisionOf(value["create_revision"]);
        entry.modRevision = revisionOf(value["mod_revision"]);
        entry.lease = kv_lease_id(numberOf(value["lease"]));
        return entry;
    }

    void addEntries(const Json::Value& range, kv_answer& answer)
    {
        for (const auto& item : range["kvs"])
            answer.entries.push_back(entryOf(item));
        answer.more = answer.more || range["more"].asBool();
    }

    result<Json::Value> parse(std::string_view body, std::string_view step)
    {
        Json::CharReaderBuilder builder;
        const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
        Json::Value value;
        std::string parseErrors;
        if (!reader->parse(body.data(), body.data() + body.size(), &value, &parseErrors) || !value.isObject())
            return failure(error_code::Corrupt, step, peer_kind::KeyValueService, {}, "not a JSON object: " + parseErrors);
        return value;
    }

} // namespace

kv_wire_request encodeCall(const kv_call& call)
{
    if (const auto* range = std::get_if<kv_range>(&call))
        return { "/v3/kv/range", toCompactJson(rangeJson(*range)) };
    if (const auto* transaction = std::get_if<kv_transaction>(&call))
        return { "/v3/kv/txn", toCompactJson(transactionJson(*transaction)) };
    Json::Value body(Json::objectValue);
    if (const auto* grant = std::get_if<kv_grant>(&call)) {
        body["TTL"] = std::to_string(grant->seconds);
        return { "/v3/lease/grant", toCompactJson(body) };
    }
    if (const auto* keepAlive = std::get_if<kv_keep_alive>(&call)) {
        body["ID"] = std::to_string(keepAlive->lease.value());
        return { "/v3/lease/keepalive", toCompactJson(body) };
    }
    body["ID"] = std::to_string(std::get<kv_revoke>(call).lease.value());
    return { "/v3/lease/revoke", toCompactJson(body) };
}

kv_wire_request encodeWatch(const std::string& key, const std::string& rangeEnd, revision from)
{
    Json::Value body(Json::objectValue);
    auto& create = body["create_request"];
    create["key"] = toBase64(key);
    if (!rangeEnd.empty())
        create["range_end"] = toBase64(rangeEnd);
    if (from != revision())
        create["start_revision"] = std::to_string(from.value());
    return { "/v3/watch", toCompactJson(body) };
}

result<kv_answer> decodeAnswer(const kv_call& call, std::string_view body)
{
    const auto parsed = parse(body, "kv.answer");
    if (!parsed)
        return tl::unexpected(parsed.error());
    const Json::Value& value = *parsed;
    kv_answer answer;
    answer.at = revisionOf(value["header"]["revision"]);
    if (std::holds_alternative<kv_range>(call)) {
        addEntries(value, answer);
    } else if (std::holds_alternative<kv_transaction>(call)) {
        answer.succeeded = value["succeeded"].asBool();
        for (const auto& response : value["responses"])
            addEntries(response["response_range"], answer);
    } else if (std::holds_alternative<kv_grant>(call)) {
        answer.lease = kv_lease_id(numberOf(value["ID"]));
        answer.leaseSeconds = numberOf(value["TTL"]);
    } else if (const auto* keepAlive = std::get_if<kv_keep_alive>(&call)) {
        answer.lease = keepAlive->lease;
        answer.leaseSeconds = numberOf(value["result"]["TTL"]);
    }
    return answer;
}

result<kv_watch_response> decodeWatchResponse(std::string_view line)
{
    const auto parsed = parse(line, "kv.watch");
    if (!parsed)
        return tl::unexpected(parsed.error());
    const Json::Value& body = (*parsed)["result"];
    kv_watch_response response;
    response.at = revisionOf(body["header"]["revision"]);
    response.created = body["created"].asBool();
    response.compactedTo = revisionOf(body["compact_revision"]);
    for (const auto& item : body["events"]) {
        kv_event event;
        event.deleted = item["type"].asString() == "DELETE";
        event.entry = entryOf(item["kv"]);
        response.events.push_back(std::move(event));
    }
    if (body["canceled"].asBool())
        response.ended = error { error_code::Unavailable, "kv.watch", peer_kind::KeyValueService, {}, "watch cancelled by the service" };
    return response;
}

} // namespace lovagerail::provider
