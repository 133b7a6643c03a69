// HTTP server of the stand-ins on libmicrohttpd, with one thread per connection, so that
// handlers may block. Every server answers `/control/faults` and `/control/stats` and
// implements the common faults: `hang`, `slow_ms`, `outage`, `drop_requests` and
// `lose_answers`, restricted to the path prefix `path` if that is set.
#pragma once

#include "faults.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

struct MHD_Daemon;

namespace lovagerail::standin {

using header_list = std::vector<std::pair<std::string, std::string>>;

struct http_request {
    std::string method;
    std::string path;
    std::string uri; // as received, including the query
    std::string head; // request line and headers, in the order received
    header_list headers;
    std::map<std::string, std::string> query;
    std::string body;
    int socket = -1;

    // Empty if absent; names are case-insensitive.
    std::string header(const std::string& name) const;
};

// Result of asking the source of a stream for text: there may be more, the stream has
// ended, or the connection is to be closed with an error.
enum class stream_step {
    More,
    End,
    Abort,
};

struct http_answer {
    unsigned status = 200;
    std::string contentType = "application/json";
    header_list headers;
    std::string body;
    // If set, called for text until it returns End or Abort; it may block.
    std::function<stream_step(std::string&)> stream;
    bool drop = false; // close the connection without an answer
};

http_answer jsonAnswer(const Json::Value& value, unsigned status = 200);
http_answer errorAnswer(unsigned status, const std::string& message);
// Closes the connection without an answer.
http_answer droppedAnswer();

class http_server {
public:
    using handler = std::function<http_answer(const http_request&)>;

    // `onControl` answers further paths under /control, and is called after faults were set;
    // it may be empty.
    http_server(std::string address, std::uint16_t port, handler onRequest, handler onControl = {});
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    // Starts to listen; false if the port can't be bound.
    bool start();
    // Closes all connections and refuses new ones until start().
    void stop();
    bool stopping() const { return m_stopping; }

    // False once the caller has closed the connection or the server stops.
    bool connected(int socket) const;
    // Sleeps; returns false as soon as the caller has closed the connection or the server stops.
    bool pause(int socket, std::chrono::nanoseconds time) const;
    http_answer serve(const http_request& request);

    fault_table faults;
    counter_table counters;

private:
    http_answer control(const http_request& request);
    // Applies the common faults that take effect before the handler runs; returns the answer
    // to give instead of the handler's, if any.
    std::optional<http_answer> faultAnswer(const http_request& request);

    std::string m_address;
    std::uint16_t m_port;
    handler m_onRequest;
    handler m_onControl;
    MHD_Daemon* m_daemon = nullptr;
    std::atomic<bool> m_stopping { false };
};

// waitForSignal() waits for SIGTERM or SIGINT; blockSignals() must have been called before
// any thread was started. blockSignals() also makes the process ignore SIGPIPE.
void blockSignals();
void waitForSignal();

} // namespace lovagerail::standin
