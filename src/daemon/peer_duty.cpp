// Authentication, encoding and transfer of calls between instances.
#include "daemon/peer_duty.h"

#include "http_status.h"
#include "instance/proof.h"
#include "instance/rpc_envelope.h"
#include "serving_edge.h"

namespace lovagerail::daemon {

namespace {

    constexpr std::string_view rpcPath = "/rpc";
    constexpr std::string_view forwardPath = "/forward/";

} // namespace

peer_duty::peer_duty(control_context& context, std::string secret)
    : m_context(context)
    , m_secret(std::move(secret))
{
}

void peer_duty::onRequest(const http::exchange_ptr& exchange)
{
    if (!instance::checkProof(m_secret, exchange->path, exchange->body, findHeader(exchange->headers, instance::proofHeader))) {
        exchange->answer(statusForbidden, {}, "");
        return;
    }
    if (exchange->path == rpcPath)
        exchange->answer(statusOk, { { "Content-Type", "application/json" } }, m_server.handle(exchange->body.str()));
    else if (exchange->path.rfind(forwardPath, 0) == 0 && m_forward)
        m_forward(exchange);
    else
        exchange->answer(statusNotFound, {}, "");
}

void peer_duty::call(const std::string& address, const std::string& method, const Json::Value& parameters, answer_function onAnswer, std::chrono::milliseconds timeout)
{
    post(address, std::string(rpcPath), instance::encodeCall(method, parameters), timeout, [method, address, onAnswer = std::move(onAnswer)](const http::answer& answer) {
        const auto fail = [&](error_code code, const std::string& detail) {
            onAnswer(failure(code, method, peer_kind::Instance, address, detail));
        };
        if (answer.outcome == http::transfer_result::NotSent)
            return fail(error_code::Unavailable, answer.detail);
        if (answer.outcome != http::transfer_result::Complete)
            return fail(error_code::Unknown, answer.detail);
        if (answer.status != statusOk)
            return fail(error_code::PermissionDenied, "status " + std::to_string(answer.status));
        auto outcome = instance::decodeOutcome(method, answer.body);
        if (!outcome.ok)
            return fail(error_code::Internal, outcome.fault);
        onAnswer(std::move(outcome.result));
    });
}

void peer_duty::post(const std::string& address, const std::string& path, std::string body, std::chrono::milliseconds timeout,
    std::function<void(const http::answer&)> onAnswer)
{
    http::request request;
    request.method = "POST";
    request.url = address + path;
    request.headers = { { "Content-Type", "application/json" }, { std::string(instance::proofHeader), instance::makeProof(m_secret, path, body) } };
    request.body = std::move(body);
    request.totalTimeout = timeout;
    request.connectTimeout = std::min(timeout, connectTimeout);
    m_context.instances.call(std::move(request), std::move(onAnswer));
}

} // namespace lovagerail::daemon
