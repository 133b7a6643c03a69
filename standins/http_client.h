// HTTP client of the stand-ins on libcurl; bodies are returned complete, or passed on in
// chunks as they arrive.
#pragma once

#include "http_server.h"

#include <functional>

namespace lovagerail::standin {

struct client_request {
    std::string method = "GET";
    std::string url;
    header_list headers;
    std::string body;
    std::chrono::milliseconds timeout { 60000 };
    // If set, receives the body in chunks; returning false aborts the call.
    std::function<bool(std::string_view)> onData;
};

struct client_answer {
    long status = 0; // 0 if there was no response
    header_list headers;
    std::string body;
    std::string error; // libcurl's message if the call failed

    std::string header(const std::string& name) const;
};

// Keeps its connection open between calls. Not thread-safe.
class http_client {
public:
    http_client();
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    client_answer call(const client_request& request);

private:
    void* m_handle;
};

// Makes a single call on a new connection.
client_answer httpCall(const client_request& request);

} // namespace lovagerail::standin
