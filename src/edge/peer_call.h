// HTTP requests from one entry instance to another, to its listener for instances.
#pragma once

#include "http/client.h"
#include "http_status.h"

#include <chrono>
#include <string>

namespace lovagerail::edge {

// Connecting within a region takes a few milliseconds; an instance that does not accept a
// connection in this time is down, frozen or cut off.
constexpr std::chrono::milliseconds peerConnectTimeout { 300 };

// A GET if `body` is empty, else a POST. `target` is path and query.
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

inline bool isOk(const http::answer& answer) { return answer.outcome == http::transfer_result::Complete && answer.status == statusOk; }

} // namespace lovagerail::edge
