// A libcurl multi handle driven by one thread: many requests at once, answers as
// they come. What happened to a request is told apart finely enough to say
// truthfully whether it can have run.
#pragma once

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

// Whether a request can be on its peer, seen from this side alone.
enum class transfer_result {
    Whole, // status, headers and the whole body came
    NotSent, // no byte of the request left for the peer
    NoAnswer, // bytes left, no status came back: the peer may have run it
    Truncated, // the answer began and broke off
};

// What to do about connections kept from earlier requests.
enum class connection_reuse {
    Allowed,
    // libcurl sends a request again by itself when a kept connection turns out
    // to be closed; a request that must not run twice needs a fresh one.
    Forbidden,
};

struct request {
    std::uint64_t id = 0; // chosen by the owner, unique among open requests
    std::string method = "GET";
    std::string url;
    header_list headers;
    std::string body;
    connection_reuse reuse = connection_reuse::Allowed;
    std::chrono::milliseconds connectTimeout { 1000 };
    std::chrono::milliseconds totalTimeout { 0 }; // 0 = none
    std::chrono::milliseconds idleTimeout { 0 }; // longest silence, 0 = none
    // Bytes of ours that stay unacknowledged for so long end the connection, 0 = the
    // system's bound. A silent path shows by this alone.
    std::chrono::milliseconds unacknowledgedTimeout { 0 };
    std::string target; // path and query exactly as sent; empty: the URL's
    std::string caFile; // PEM bundle to trust for https, empty = the system's
};

struct event {
    enum class kind { Head,
        Body,
        Done };
    kind what = kind::Done;
    std::uint64_t id = 0;
    int status = 0; // Head and Done; 0 if none came
    header_list headers; // Head: names in lower case
    std::string bytes; // Body
    transfer_result outcome = transfer_result::NotSent; // Done
    std::string detail; // Done: libcurl's words on a failure
};

// The value of a header, or an empty view. Names are compared in lower case.
std::string_view findHeader(const header_list& headers, std::string_view lowerName);

class client {
public:
    client();
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    void start(request wanted);
    // Closes the connection; no event of this request follows.
    void cancel(std::uint64_t id);
    // Waits for traffic, the descriptor or the time, and returns what happened.
    std::vector<event> poll(std::chrono::milliseconds longest, int wakeDescriptor = -1);
    // The same for any number of descriptors that turn readable.
    std::vector<event> poll(std::chrono::milliseconds longest, std::span<const int> wakeDescriptors);
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
};

// One request, waited for. For tools and for threads whose duty is one peer.
answer fetch(request wanted);

} // namespace lovagerail::http
