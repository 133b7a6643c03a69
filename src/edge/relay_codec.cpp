// Header names of relayed requests, and the headers that stay on their connection.
#include "edge/relay_codec.h"

#include "edge/peer_call.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <string_view>

namespace lovagerail::edge {

namespace {

    // In lower case, as received headers are.
    constexpr std::string_view targetHeader = "lovagerail-target";
    constexpr std::string_view incarnationHeader = "lovagerail-incarnation";
    constexpr std::string_view methodHeader = "lovagerail-method";
    constexpr std::string_view pathHeader = "lovagerail-path";
    constexpr std::string_view onceHeader = "lovagerail-once"; // the request must not be sent on a kept connection
    constexpr std::string_view outcomeHeader = "lovagerail-relay";
    constexpr std::string_view framingHeader = "lovagerail-framing";
    constexpr std::array ownHeaders { targetHeader, incarnationHeader, methodHeader, pathHeader, onceHeader };
    // Of one connection, or set by the HTTP libraries of each hop.
    constexpr std::array connectionHeaders { std::string_view("connection"), std::string_view("keep-alive"), std::string_view("transfer-encoding"),
        std::string_view("content-length"), std::string_view("expect"), std::string_view("date") };

    struct outcome_name {
        relay_outcome outcome;
        std::string_view name;
    };
    constexpr std::array outcomeNames { outcome_name { relay_outcome::NotRelayed, "not-relayed" }, outcome_name { relay_outcome::PathBroken, "path-broken" },
        outcome_name { relay_outcome::Silent, "silent" }, outcome_name { relay_outcome::Answered, "answered" } };

    template <std::size_t N>
    bool isOneOf(std::string_view name, const std::array<std::string_view, N>& names)
    {
        return std::find(names.begin(), names.end(), name) != names.end();
    }

    http::header_list withoutConnectionHeaders(const http::header_list& headers)
    {
        http::header_list out;
        std::copy_if(headers.begin(), headers.end(), std::back_inserter(out), [](const auto& header) { return !isOneOf(header.first, connectionHeaders) && !isOneOf(header.first, ownHeaders); });
        return out;
    }

} // namespace

http::request encodeRelayedCall(const http::request& original, const target_id& target, incarnation targetIncarnation, const std::string& address)
{
    http::request out = original;
    out.url = "http://" + address + "/relay";
    out.method = "POST";
    out.target.clear();
    out.connectTimeout = peerConnectTimeout;
    out.headers.emplace_back(targetHeader, target.str());
    out.headers.emplace_back(incarnationHeader, std::to_string(targetIncarnation.value()));
    out.headers.emplace_back(methodHeader, original.method);
    out.headers.emplace_back(pathHeader, original.target);
    if (original.reuse == http::connection_reuse::Forbidden)
        out.headers.emplace_back(onceHeader, "1");
    return out;
}

std::optional<relayed_call> decodeRelayedCall(const http::exchange_ptr& received)
{
    const auto& exchange = *received;
    relayed_call out;
    out.target = target_id(std::string(http::findHeader(exchange.headers, targetHeader)));
    out.request.method = std::string(http::findHeader(exchange.headers, methodHeader));
    out.request.target = std::string(http::findHeader(exchange.headers, pathHeader));
    const auto number = http::findHeader(exchange.headers, incarnationHeader);
    std::uint64_t incarnationNumber = 0;
    const auto [end, fault] = std::from_chars(number.data(), number.data() + number.size(), incarnationNumber);
    const auto& method = out.request.method;
    const bool isMethod = !method.empty() && std::all_of(method.begin(), method.end(), [](unsigned char c) { return std::isalpha(c) != 0; });
    if (out.target.empty() || !isMethod || out.request.target.rfind('/', 0) != 0 || number.empty() || fault != std::errc() || end != number.data() + number.size())
        return std::nullopt;
    out.targetIncarnation = incarnation(incarnationNumber);
    if (!http::findHeader(exchange.headers, onceHeader).empty())
        out.request.reuse = http::connection_reuse::Forbidden;
    out.request.headers = withoutConnectionHeaders(exchange.headers);
    out.request.sharedBody = http::bodyOf(received);
    return out;
}

void setRelayOutcome(http::header_list& headers, relay_outcome outcome, http::answer_framing framing)
{
    headers = withoutConnectionHeaders(headers);
    const auto* found = std::find_if(outcomeNames.begin(), outcomeNames.end(), [outcome](const outcome_name& entry) { return entry.outcome == outcome; });
    headers.emplace_back(outcomeHeader, found->name);
    if (framing != http::answer_framing::None)
        headers.emplace_back(framingHeader, toString(framing));
}

relay_head takeRelayHead(http::header_list& headers)
{
    const auto name = std::string(http::findHeader(headers, outcomeHeader));
    relay_head out;
    const auto framing = std::string(http::findHeader(headers, framingHeader));
    std::erase_if(headers, [](const auto& header) { return header.first == outcomeHeader || header.first == framingHeader; });
    const auto* found = std::find_if(outcomeNames.begin(), outcomeNames.end(), [&name](const outcome_name& entry) { return entry.name == name; });
    if (found != outcomeNames.end())
        out.outcome = found->outcome;
    else if (!name.empty())
        out.outcome = relay_outcome::Silent; // of another version: it may have been sent
    constexpr std::array provenFramings { http::answer_framing::NoBody, http::answer_framing::Length, http::answer_framing::Chunks };
    const bool isProven = std::any_of(provenFramings.begin(), provenFramings.end(), [&framing](http::answer_framing proven) { return toString(proven) == framing; });
    out.isEndUnproven = out.outcome == relay_outcome::Answered && !isProven;
    return out;
}

} // namespace lovagerail::edge
