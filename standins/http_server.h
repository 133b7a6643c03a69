// A thin HTTP server on libmicrohttpd for the stand-ins: a thread for each
// connection, so that a handler may simply wait. Every server answers
// `/control/faults` and `/control/stats` and shows the common faults.
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
    std::string uri; // as received, with the query
    std::string head; // request line and headers, in the order received
    header_list headers;
    std::map<std::string, std::string> query;
    std::string body;
    int socket = -1;

    // Empty if absent; names compare without case.
    std::string header(const std::string& name) const;
};

// What a stream's source did: gave text, reached its end, or broke off.
enum class stream_step {
    More,
    End,
    Cut,
};

struct http_answer {
    unsigned status = 200;
    std::string contentType = "application/json";
    header_list headers;
    std::string body;
    // If set, is asked for text until it says End or Cut; it may wait.
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

    // `onControl` answers further paths under /control; it may be empty.
    http_server(std::string address, std::uint16_t port, handler onRequest, handler onControl = {});
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    // Listens; false if the port can't be bound.
    bool start();
    // Drops all connections and refuses new ones until start().
    void stop();
    bool stopping() const { return m_stopping; }

    // False once the caller has closed the connection or the server stops.
    bool connected(int socket) const;
    // Waits; false as soon as the caller has closed the connection or the server stops.
    bool pause(int socket, std::chrono::nanoseconds time) const;
    http_answer serve(const http_request& request);

    fault_table faults;
    counter_table counters;

private:
    http_answer control(const http_request& request);
    // Common faults before the handler runs: the answer to give in its place, if any.
    std::optional<http_answer> before(const http_request& request);

    std::string m_address;
    std::uint16_t m_port;
    handler m_onRequest;
    handler m_onControl;
    MHD_Daemon* m_daemon = nullptr;
    std::atomic<bool> m_stopping { false };
};

// Waits for SIGTERM or SIGINT, which must have been blocked with blockSignals().
void blockSignals();
void waitForSignal();

} // namespace lovagerail::standin
