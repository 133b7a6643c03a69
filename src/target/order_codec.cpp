// JSON fields, paths and status codes of engine orders.
#include "target/order_codec.h"

#include "http_status.h"
#include "json_text.h"

#include <json/json.h>
#include <memory>

namespace lovagerail::target {

namespace {

    constexpr std::chrono::milliseconds orderTimeout { 3000 };

    std::string toCompactJson(const Json::Value& value)
    {
        Json::StreamWriterBuilder writer;
        writer["indentation"] = "";
        return Json::writeString(writer, value);
    }

    // Order ids contain slashes, which must be escaped within one path segment.
    std::string escapeSlashes(const std::string& orderId)
    {
        std::string out;
        for (const char c : orderId) {
            if (c == '/')
                out += "%2F";
            else
                out += c;
        }
        return out;
    }

} // namespace

http::request loadVersionRequest(const swap_order& order, const model_id& model, fencing_number fencing)
{
    Json::Value body(Json::objectValue);
    body["order_id"] = order.orderId;
    body["fencing_number"] = Json::UInt64(fencing.value());
    body["kind"] = "load_version";
    body["model"] = model.str();
    body["version"] = Json::UInt64(order.version.value());
    body["source"] = order.source;
    http::request out;
    out.method = "POST";
    out.url = order.address + "/orders";
    out.headers = { { "Content-Type", "application/json" } };
    out.body = toCompactJson(body);
    out.totalTimeout = orderTimeout;
    out.reuse = http::connection_reuse::Forbidden;
    return out;
}

http::request queryRequest(const query_swap_order& order)
{
    http::request out;
    out.url = order.address + "/orders/" + escapeSlashes(order.orderId);
    out.totalTimeout = orderTimeout;
    return out;
}

order_answer decodeOrderAnswer(const http::answer& answer)
{
    if (answer.outcome != http::transfer_result::Complete)
        return order_answer::Lost;
    if (answer.status == statusConflict)
        return order_answer::Refused;
    if (answer.status == statusNotFound)
        return order_answer::Unknown;
    if (answer.status != statusOk)
        return order_answer::Lost;
    const auto body = parseJsonObject(answer.body, "order.answer", peer_kind::Target);
    if (!body)
        return order_answer::Lost;
    const auto state = jsonText(*body, "state");
    if (state == "done")
        return order_answer::Done;
    if (state == "failed")
        return order_answer::Failed;
    return order_answer::Running;
}

} // namespace lovagerail::target
