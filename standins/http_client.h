// One HTTP call on libcurl: whole, or in pieces as they arrive.
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
    // If set, gets the body in pieces; false breaks the call off.
    std::function<bool(std::string_view)> onData;
};

struct client_answer {
    long status = 0; // 0 if none came
    header_list headers;
    std::string body;
    std::string problem; // what libcurl says, if the call failed

    std::string header(const std::string& name) const;
};

// A connection that is kept between calls of one thread.
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

// A single call on a connection of its own.
client_answer httpCall(const client_request& request);

} // namespace lovagerail::standin
