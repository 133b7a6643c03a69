// Performs each API call as one blocking HTTP request.
#include "ctl/session.h"

#include "http/client.h"
#include "object_codec.h"

namespace lovagerail::ctl {

namespace {

    constexpr std::chrono::milliseconds callTimeout { 30'000 };

    result<api_answer> call(const session& connection, const std::string& method, const std::string& path, std::string body)
    {
        http::request request;
        request.method = method;
        request.url = connection.server + path;
        request.headers = { { "Authorization", "Bearer " + connection.key }, { "Content-Type", "application/json" } };
        request.body = std::move(body);
        request.totalTimeout = callTimeout;
        request.caFile = connection.caFile;
        request.reuse = http::connection_reuse::Forbidden;
        const auto answer = http::fetch(std::move(request));
        if (answer.outcome == http::transfer_result::NotSent)
            return failure(error_code::Unavailable, "ctl.call", peer_kind::Instance, connection.server, answer.detail);
        if (answer.outcome != http::transfer_result::Complete)
            return failure(error_code::Unknown, "ctl.call", peer_kind::Instance, connection.server, answer.detail);
        api_answer out;
        out.status = answer.status;
        out.text = answer.body;
        if (auto parsed = parseJson(answer.body, "ctl.answer"))
            out.body = std::move(*parsed);
        return out;
    }

} // namespace

result<api_answer> get(const session& connection, const std::string& path)
{
    return call(connection, "GET", path, {});
}

result<api_answer> post(const session& connection, const std::string& path, const Json::Value& body)
{
    return call(connection, "POST", path, toText(body));
}

std::string encodeQuery(const std::string& text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string out;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.' || c == '~') {
            out += c;
            continue;
        }
        out += '%';
        out += digits[byte >> 4];
        out += digits[byte & 0xf];
    }
    return out;
}

} // namespace lovagerail::ctl
