// HTTP client on a libcurl multi handle, driven by one thread: many concurrent requests,
// whose answers are delivered as events. The outcome of a failed request says whether the
// peer may have run it, so that callers retry only what is safe to retry. A faulty peer may send
// without end: heads, bodies and all bodies together are bounded, and larger ones break off.
#pragma once

#include "http/byte_buffer.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lovagerail::http {

using header_list = std::vector<std::pair<std::string, std::string>>;

// Bound on the body of an answer that is read as a small document: status checks, orders and reports of our own.
constexpr std::size_t maxDocumentBytes = 1U << 20U;

// What marks the end of an answer's body.
enum class answer_framing {
    None, // the end was not received
    NoBody, // such an answer has none
    Length, // Content-Length
    Chunks, // the last chunk, or the end of the stream in HTTP/2
    Close, // the connection was closed in order
};
std::string_view toString(answer_framing framing);

// Outcome of a request as far as this side can know it.
enum class transfer_result {
    Complete, // status, headers and the complete body were received
    // The head was received, and a body that ended as the connection was closed. It may be the complete one, but a
    // peer that ends early closes its connections too.
    Unproven,
    NotSent, // no byte of the request was sent: the peer can't have run it
    NoAnswer, // bytes were sent, but no status was received: the peer may have run it
    Truncated, // the answer broke off after its status, maybe within its head
};

// Whether a kept connection of an earlier request may be used.
enum class connection_reuse {
    Allowed,
    // libcurl silently repeats a request when a kept connection turns out to be closed, so
    // a request that must not run twice needs a new connection.
    Forbidden,
};

// Bound on the body of an answer: above the largest body that callers may send, which a
// service may return.
constexpr std::size_t maxAnswerBytes = 33U << 20U;

struct request {
    std::uint64_t id = 0; // chosen by the caller, unique among open requests
    std::string method = "GET";
    std::string url;
    header_list headers;
    std::string body;
    std::shared_ptr<const byte_buffer> sharedBody; // if set, sent in place of `body`, by all copies of the request
    connection_reuse reuse = connection_reuse::Allowed;
    std::chrono::milliseconds connectTimeout { 1000 };
    std::chrono::milliseconds totalTimeout { 0 }; // 0 = none
    std::chrono::milliseconds idleTimeout { 0 }; // longest time without a byte from the peer, 0 = none
    // TCP_USER_TIMEOUT: the connection ends if sent bytes stay unacknowledged for this long;
    // 0 = the system's default. Only this detects a network path that drops all packets.
    std::chrono::milliseconds unacknowledgedTimeout { 0 };
    std::string target; // path and query to send verbatim; empty = those of the URL
    std::size_t maxHeadBytes = 64U << 10U; // of the answer, with heads before the final one and trailers
    std::size_t maxBodyBytes = maxAnswerBytes; // of the answer; 0 = no bound, for one that is used as it arrives
    std::string caFile; // PEM bundle to trust for https; empty = the system's
    bool closeAfter = false; // no later request uses its connection
    bool reportConnected = false; // emit the event Connected

    std::string_view content() const { return sharedBody ? sharedBody->view() : std::string_view(body); }
};

// The connection that a request used.
enum class connection_use {
    None, // it ended before there was one
    New,
    Kept, // of an earlier request
};
std::string_view toString(connection_use use);

struct event {
    enum class kind { Connected, // from now on bytes of the request may be sent
        Head,
        Body,
        Done };
    kind what = kind::Done;
    std::uint64_t id = 0;
    int status = 0; // Head and Done; 0 if none was received
    header_list headers; // Head: names in lower case
    std::string bytes; // Body
    transfer_result outcome = transfer_result::NotSent; // Done
    std::string detail; // Done: libcurl's error message
    connection_use connection = connection_use::None; // Connected and Done
    answer_framing framing = answer_framing::None; // Head: as it is announced; Done: as it was received
};

// The value of a header, or an empty view. Names in `headers` must be in lower case.
std::string_view findHeader(const header_list& headers, std::string_view lowerName);

class client {
public:
    client();
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    // The IP that connections are made from; empty = the system chooses.
    void setSourceAddress(const std::string& address);
    void start(request outgoing);
    // Closes the connection; no event of this request follows.
    void cancel(std::uint64_t id);
    // Waits for traffic, the descriptor or the timeout, and returns the events.
    std::vector<event> poll(std::chrono::milliseconds maxWait, int wakeDescriptor = -1);
    // The same for any number of descriptors that may become readable.
    std::vector<event> poll(std::chrono::milliseconds maxWait, std::span<const int> wakeDescriptors);
    std::size_t open() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

struct answer {
    transfer_result outcome = transfer_result::NotSent;
    int status = 0;
    header_list headers;
    std::string body;
    std::string detail;
    connection_use connection = connection_use::None;
};

// Performs one request and blocks until its end. For tools, and for threads that talk to one
// peer only.
answer fetch(request outgoing);

} // namespace lovagerail::http
