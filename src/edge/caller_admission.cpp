// What requests are refused by their heads or for want of room, before their bodies are read.
#include "edge/caller_frontend.h"
#include "http_status.h"
#include "log.h"

#include <algorithm>

namespace lovagerail::edge {

namespace {

    constexpr duration overloadedRetryAfter = std::chrono::milliseconds(1000); // stalled clients are closed within this time

    std::chrono::milliseconds toMilliseconds(duration span) { return std::chrono::duration_cast<std::chrono::milliseconds>(span); }

} // namespace

http::admission caller_frontend::admit(const http::exchange& head) const
{
    http::admission out;
    const auto caller = platform::decodeCaller(head.headers);
    const auto refuseWith = [&](int status, duration retryAfter, std::string_view reason) {
        logEvent(log_level::Info, "front", "refused", { { "request", caller.id.str() }, { "status", std::to_string(status) }, { "reason", std::string(reason) }, { "path", head.path } });
        out.refused = http::refusal { status, platform::refusalHeaders(caller.id, toMilliseconds(retryAfter)), "" };
    };
    if (!m_context.site) {
        refuseWith(statusUnavailable, noConfigRetryAfter, "no configuration yet");
        return out;
    }
    const auto& site = *m_context.site;
    out.bodyBytes = site.limits.bodyBytes;
    const auto* route = site.find(caller.host, head.path);
    const bool isBatchCall = platform::decodeBatchCall(head.method, head.path, head.query).has_value();
    if (route == nullptr && !isBatchCall) {
        refuseWith(statusNotFound, {}, "no route");
        return out;
    }
    const bool needsKey = site.requiresKeys && (route == nullptr || !route->open);
    if (needsKey && !site.accountOfKey.contains(caller.key))
        refuseWith(statusUnauthorized, {}, "unknown key");
    // A submission is one value of the store.
    if (route != nullptr && route->kind == route_kind::Batch)
        out.bodyBytes = std::min(out.bodyBytes, static_cast<std::size_t>(m_context.settings.store.maxValueBytes));
    return out;
}

http::refusal caller_frontend::refusalOf(const http::exchange& refused, http::refusal_reason reason) const
{
    const auto id = platform::decodeCaller(refused.headers).id;
    const auto refusal = [&](int status, duration retryAfter, std::string_view why) {
        logEvent(log_level::Info, "front", "refused",
            { { "request", id.str() }, { "status", std::to_string(status) }, { "reason", std::string(why) }, { "path", refused.path }, { "body_bytes", std::to_string(refused.body.size()) } });
        return http::refusal { status, platform::refusalHeaders(id, toMilliseconds(retryAfter)), "" };
    };
    switch (reason) {
    case http::refusal_reason::BodyTooLarge:
        return refusal(statusContentTooLarge, {}, "body too large");
    case http::refusal_reason::Overloaded:
        return refusal(statusUnavailable, overloadedRetryAfter, "no room");
    case http::refusal_reason::TooSlow:
        return refusal(statusRequestTimeout, overloadedRetryAfter, "its body stalled");
    }
    return refusal(statusUnavailable, overloadedRetryAfter, "no room");
}

} // namespace lovagerail::edge
