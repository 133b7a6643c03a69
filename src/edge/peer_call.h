// Calls from one entry instance to another, on its listener for instances.
#pragma once

#include "http/client.h"
#include "http_status.h"

#include <chrono>
#include <string>

namespace lovagerail::edge {

// A connection within a region is up within some milliseconds; an instance without one
// after so long is down, frozen or cut off.
constexpr std::chrono::milliseconds peerConnectTimeout { 300 };

// A question if there is no body, else a message. `target` is path and query.
inline http::request peerCall(const std::string& address, const std::string& target, std::string body, std::chrono::milliseconds timeout)
{
    http::request out;
    out.method = body.empty() ? "GET" : "POST";
    out.url = "http://" + address + target;
    out.body = std::move(body);
    out.connectTimeout = peerConnectTimeout;
    out.totalTimeout = timeout;
    return out;
}

inline bool isOk(const http::answer& answer) { return answer.outcome == http::transfer_result::Whole && answer.status == statusOk; }

} // namespace lovagerail::edge
