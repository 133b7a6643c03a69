// Routing of operators' requests, authentication, and the JSON format of answers.
#include "daemon/operator_duty.h"

#include "http_status.h"
#include "object_codec.h"
#include "serving_edge.h"

namespace lovagerail::daemon {

namespace {

    std::string percentDecode(std::string_view text)
    {
        std::string out;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '+') {
                out += ' ';
            } else if (text[i] == '%' && i + 2 < text.size()) {
                out += static_cast<char>(std::strtol(std::string(text.substr(i + 1, 2)).c_str(), nullptr, 16));
                i += 2;
            } else {
                out += text[i];
            }
        }
        return out;
    }

    std::map<std::string, std::string> parseQuery(std::string_view query)
    {
        std::map<std::string, std::string> out;
        while (!query.empty()) {
            const auto end = query.find('&');
            const auto pair = query.substr(0, end);
            query = end == std::string_view::npos ? std::string_view() : query.substr(end + 1);
            const auto equals = pair.find('=');
            if (equals != std::string_view::npos)
                out[percentDecode(pair.substr(0, equals))] = percentDecode(pair.substr(equals + 1));
        }
        return out;
    }

} // namespace

int httpStatusOf(error_code code)
{
    switch (code) {
    case error_code::InvalidArgument:
        return statusBadRequest;
    case error_code::NotFound:
        return statusNotFound;
    case error_code::Conflict:
        return statusConflict;
    case error_code::PermissionDenied:
        return statusForbidden;
    case error_code::Unavailable:
        return statusUnavailable;
    case error_code::Unknown:
        return statusBadGateway;
    case error_code::ResourceExhausted:
        return statusTooManyRequests;
    case error_code::DeadlineExceeded:
        return statusTimeout;
    case error_code::Corrupt:
    case error_code::Unsupported:
    case error_code::Internal:
        return statusServerError;
    }
    return statusServerError;
}

void answerJson(const http::exchange_ptr& exchange, int status, const Json::Value& body)
{
    exchange->answer(status, { { "Content-Type", "application/json" } }, toText(body) + "\n");
}

void answerError(const http::exchange_ptr& exchange, const error& why)
{
    Json::Value body(Json::objectValue);
    auto& fault = body["error"];
    fault["code"] = std::string(toString(why.code));
    fault["step"] = why.step;
    fault["peer"] = std::string(toString(why.peer));
    fault["peer_name"] = why.peerName;
    fault["detail"] = why.detail;
    answerJson(exchange, httpStatusOf(why.code), body);
}

operator_duty::operator_duty(control_context& context)
    : m_context(context)
{
}

void operator_duty::add(std::string method, std::string path, operator_scope scope, handler answer)
{
    m_endpoints.push_back({ std::move(method), std::move(path), false, scope, std::move(answer) });
}

void operator_duty::addPublic(std::string path, handler answer)
{
    m_endpoints.push_back({ "GET", std::move(path), true, operator_scope::Read, std::move(answer) });
}

const operator_duty::endpoint* operator_duty::find(const std::string& method, const std::string& path) const
{
    for (const auto& candidate : m_endpoints) {
        if (candidate.method != method)
            continue;
        const auto& pattern = candidate.path;
        const bool isPrefix = pattern.size() > 2 && pattern.compare(pattern.size() - 2, 2, "/*") == 0;
        if (isPrefix ? path.rfind(pattern.substr(0, pattern.size() - 1), 0) == 0 : path == pattern)
            return &candidate;
    }
    return nullptr;
}

// Operators' keys are separate from clients' keys. The digest of the bootstrap key, with which
// the first operator key is granted, is in the settings.
bool operator_duty::authorize(const endpoint& requested, const http::exchange& exchange, std::string& author, std::string& reason) const
{
    const auto header = findHeader(exchange.headers, "authorization");
    const auto& security = m_context.values.security;
    if (!security.bootstrapOperatorDigest.empty()) {
        const auto token = bearerToken(header);
        const auto key = token ? parseKey(*token) : tl::unexpected(error {});
        if (key && sameDigest(keyDigest(security.bootstrapOperatorSalt, key->secret), security.bootstrapOperatorDigest)) {
            author = "bootstrap";
            return true;
        }
    }
    const auto holder = m_keys.authenticate(header);
    if (const auto* refusal = std::get_if<key_refusal>(&holder)) {
        reason = toString(*refusal);
        return false;
    }
    const auto& keyHolder = std::get<key_holder>(holder);
    if (!keyHolder.hasScope(requested.scope)) {
        reason = "the key lacks the scope " + std::string(toString(requested.scope));
        return false;
    }
    author = keyHolder.key.str();
    return true;
}

void operator_duty::onRequest(http::exchange_ptr exchange)
{
    const auto* requested = find(exchange->method, exchange->path);
    if (requested == nullptr) {
        answerError(exchange, { error_code::NotFound, "operator.route", peer_kind::Operator, {}, "no such call: " + exchange->method + " " + exchange->path });
        return;
    }
    operator_call call;
    std::string reason;
    if (!requested->isPublic && !authorize(*requested, *exchange, call.author, reason)) {
        Json::Value body(Json::objectValue);
        body["error"]["code"] = "permission denied";
        body["error"]["step"] = "operator.admit";
        body["error"]["detail"] = reason;
        answerJson(exchange, statusUnauthorized, body);
        return;
    }
    if (!exchange->body.empty()) {
        auto parsed = parseJson(exchange->body, "operator.body");
        if (!parsed) {
            answerError(exchange, parsed.error());
            return;
        }
        call.body = std::move(*parsed);
    }
    call.query = parseQuery(exchange->query);
    call.exchange = std::move(exchange);
    requested->answer(std::move(call));
}

} // namespace lovagerail::daemon
