// Header allow-list, key detection, refusals and objectives; see serving_edge.h.
#include "serving_edge.h"

#include <algorithm>
#include <array>
#include <json/json.h>

namespace lovagerail {

namespace {

    constexpr std::array<std::string_view, 8> forwardedHeaders { "accept", "accept-language", "content-language", "content-type",
        "idempotency-key", "if-match", "if-none-match", "traceparent" };
    constexpr std::string_view keyPrefix = "lr_";
    constexpr double perMillion = 1'000'000;

    int hexDigit(char c)
    {
        if (c >= '0' && c <= '9')
            return c - '0';
        if (c >= 'a' && c <= 'f')
            return c - 'a' + 10;
        if (c >= 'A' && c <= 'F')
            return c - 'A' + 10;
        return -1;
    }

    std::string percentDecoded(std::string_view text)
    {
        std::string out;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size() && hexDigit(text[i + 1]) >= 0 && hexDigit(text[i + 2]) >= 0) {
                out += static_cast<char>(hexDigit(text[i + 1]) * 16 + hexDigit(text[i + 2]));
                i += 2;
                continue;
            }
            out += text[i];
        }
        return out;
    }

    bool isKeyCharacter(char c)
    {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_' || c == '-';
    }

    // Whether the text contains a well-formed API key.
    bool containsKey(std::string_view text)
    {
        for (auto start = text.find(keyPrefix); start != std::string_view::npos; start = text.find(keyPrefix, start + 1)) {
            auto end = start;
            while (end < text.size() && isKeyCharacter(text[end]))
                ++end;
            if (parseKey(text.substr(start, end - start)))
                return true;
        }
        return false;
    }

    objective_bound boundOf(double share)
    {
        objective_bound bound;
        if (share > 0)
            bound.goodPerMillion = static_cast<std::uint32_t>(std::min(share, 1.0) * perMillion);
        return bound;
    }

} // namespace

std::string_view findHeader(const header_list& headers, std::string_view lowerName)
{
    for (const auto& [name, value] : headers) {
        if (name == lowerName)
            return value;
    }
    return {};
}

header_list allowedHeaders(const header_list& headers)
{
    header_list out;
    for (const auto& [name, value] : headers) {
        if (std::find(forwardedHeaders.begin(), forwardedHeaders.end(), name) != forwardedHeaders.end())
            out.emplace_back(name, value);
    }
    return out;
}

bool containsKeyOutsideHeader(const caller_request& request)
{
    if (containsKey(percentDecoded(request.path)) || containsKey(percentDecoded(request.query)) || containsKey(request.body))
        return true;
    for (const auto& [name, value] : request.headers) {
        if (name != "authorization" && containsKey(value))
            return true;
    }
    return false;
}

complete_answer makeRefusal(caller_handle handle, const request_id& id, int status, std::string_view outcome, std::string_view reason,
    std::string_view message, duration retryAfter)
{
    Json::Value body(Json::objectValue);
    auto& fault = body["error"];
    fault["outcome"] = std::string(outcome);
    fault["reason"] = std::string(reason);
    fault["message"] = std::string(message);
    if (!id.empty())
        fault["request_id"] = id.str();
    complete_answer out { handle, status, { { "Content-Type", "application/json" } }, {} };
    if (retryAfter > duration::zero()) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter).count();
        out.headers.emplace_back("Retry-After", std::to_string(seconds));
        fault["retry_after_ms"] = Json::Int64(std::chrono::ceil<std::chrono::milliseconds>(retryAfter).count());
    }
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    out.body = Json::writeString(writer, body) + "\n";
    return out;
}

std::map<burn_scope, objective_bounds> burnBounds(const config& inForce)
{
    std::map<burn_scope, objective_bounds> out;
    for (const auto& account : inForce.all<client_account>().sorted()) {
        const auto& objectives = account->objectives;
        objective_bounds bounds;
        bounds[burn_objective::Availability] = boundOf(objectives.availability);
        if (objectives.firstTokenMs > 0) {
            auto bound = boundOf(objectives.availability);
            bound.within = std::chrono::milliseconds(objectives.firstTokenMs);
            bounds[burn_objective::FirstToken] = bound;
        }
        if (objectives.fullAnswerMs > 0) {
            auto bound = boundOf(objectives.availability);
            bound.within = std::chrono::milliseconds(objectives.fullAnswerMs);
            bounds[burn_objective::FullAnswer] = bound;
        }
        out[{ client_account_id(account->meta.name), {} }] = std::move(bounds);
    }
    return out;
}

} // namespace lovagerail
