// JSON fields and status codes of orders.
#include "provider/order_api.h"

#include "http_status.h"
#include "json_text.h"

#include <json/json.h>
#include <memory>

namespace lovagerail::provider {

namespace {

    constexpr int firstServerError = 500;
    constexpr std::chrono::milliseconds queryTimeout { 2000 };

    Json::Value parse(const std::string& text)
    {
        return parseJsonObject(text, "order.answer", peer_kind::Platform).value_or(Json::Value(Json::objectValue));
    }

    target_id targetOf(const Json::Value& body)
    {
        return target_id(body["target"].isString() ? body["target"].asString() : "");
    }

} // namespace

order_request orderRequest(const std::string& url, const send_order& command)
{
    const auto& intent = command.intent;
    Json::Value body(Json::objectValue);
    body["order_id"] = intent.id.str();
    body["fencing_number"] = Json::UInt64(command.fencing.value());
    body["action"] = std::string(toString(intent.action));
    body["pool"] = intent.pool.str();
    body["kind"] = intent.kind == supply_kind::Cheap ? "cheap" : "firm";
    body["failure_domain"] = intent.failureDomain.str();
    if (intent.action == order_action::Stop)
        body["target"] = intent.target.str();
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    order_request out;
    out.url = url + "/orders";
    out.body = Json::writeString(writer, body);
    return out;
}

http::request queryRequest(const std::string& url, const order_id& id)
{
    http::request out;
    out.url = url + "/orders/" + id.str();
    out.totalTimeout = queryTimeout;
    return out;
}

order_result decodeSendAnswer(const http::answer& answer)
{
    if (answer.outcome == http::transfer_result::NotSent)
        return { order_outcome::NotSent, {} };
    if (answer.outcome != http::transfer_result::Complete)
        return { order_outcome::Lost, {} };
    const auto body = parse(answer.body);
    if (answer.status == statusOk)
        return { order_outcome::Accepted, targetOf(body) };
    if (answer.status == statusConflict)
        return { order_outcome::OldFencing, {} };
    if (answer.status == statusUnavailable && body["unobtainable"].isBool() && body["unobtainable"].asBool())
        return { order_outcome::Unobtainable, {} };
    // After a server error the order may have been carried out.
    return { answer.status >= firstServerError ? order_outcome::Lost : order_outcome::Failed, {} };
}

order_result decodeQueryAnswer(const http::answer& answer)
{
    if (answer.outcome != http::transfer_result::Complete)
        return { order_outcome::Lost, {} };
    if (answer.status == statusNotFound)
        return { order_outcome::NotFound, {} };
    if (answer.status != statusOk)
        return { order_outcome::Lost, {} };
    const auto body = parse(answer.body);
    const std::string state = body["state"].isString() ? body["state"].asString() : "";
    if (state == "failed")
        return { order_outcome::Failed, targetOf(body) };
    return { state == "done" ? order_outcome::Done : order_outcome::Accepted, targetOf(body) };
}

ordered_target orderedTarget(const platform_target& row)
{
    return { row.routing.id, row.routing.pool, row.routing.supply, row.routing.failureDomain, row.routing.state, order_id(row.orderId) };
}

} // namespace lovagerail::provider
