// A libmicrohttpd daemon, with a polling thread of its own or driven by its owner's
// event loop. A request is handed over whole to a handler; the answer comes later,
// from any thread, through its `exchange`.
#pragma once

#include "error.h"
#include "http/client.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>

struct MHD_Connection;
struct MHD_Daemon;

namespace lovagerail::http {

struct server_limits {
    std::size_t bodyBytes = 1 << 20;
    std::size_t headerBytes = 32 * 1024; // memory pool of a connection
    // What may wait for a slow reader before its answer is cut off.
    std::size_t unreadBytes = 256 * 1024;
    unsigned connections = 4096;
    unsigned connectionsPerAddress = 0; // 0 = no limit
    unsigned idleSeconds = 60;
};

// Who runs the server.
enum class server_drive {
    OwnThread,
    // The owner polls descriptor() and calls run(); handlers run inside run(), and
    // exchanges are answered from the same thread.
    OwnersLoop,
};

// Certificate and key in PEM; both empty = no TLS.
struct tls_files {
    std::string certificatePem;
    std::string keyPem;
};

// One request and the answer that is being given to it.
// Shared by the server's thread and the thread that answers.
class exchange {
public:
    // What was asked; constant once the handler has been called.
    std::string method;
    std::string path;
    std::string query; // without '?', still encoded
    header_list headers; // names in lower case
    std::string body;

    explicit exchange(std::size_t unreadBytes)
        : m_unreadLimit(unreadBytes)
    {
    }

    // Sends status and headers. Content-Length is set if `wholeBody` is given
    // with `last`; otherwise the body is chunked.
    void begin(int status, header_list answerHeaders);
    // Adds to the body. False if the caller is gone or too slow; the answer is then over.
    bool append(std::string_view bytes);
    void end();
    // Ends without an end marker, so that the caller sees a broken answer, not a short one.
    void abort();
    // begin(), append() and end() in one.
    void answer(int status, header_list answerHeaders, std::string whole);

    bool callerGone() const;

private:
    friend class server;
    friend struct server_callbacks;
    void resumeLocked();

    mutable std::mutex m_mutex;
    MHD_Connection* m_connection = nullptr; // null once the caller is gone
    bool m_suspended = false;
    bool m_begun = false;
    bool m_ended = false;
    bool m_aborted = false;
    bool m_whole = false; // the body is complete before the head is sent
    int m_status = 0;
    header_list m_answerHeaders;
    std::string m_unread;
    std::size_t m_unreadLimit;
};

using exchange_ptr = std::shared_ptr<exchange>;

class server {
public:
    // Runs on the server's thread and must not block.
    using handler = std::function<void(exchange_ptr)>;

    // Address is "IP:port". Fails if it can't be bound.
    static result<std::unique_ptr<server>> listen(const std::string& address, const server_limits& limits, const tls_files& tls, handler onRequest, server_drive drive = server_drive::OwnThread);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    // For server_drive::OwnersLoop: readable when run() has work.
    int descriptor() const { return m_descriptor; }
    void run();
    // Looks at the sockets of requests that wait for an answer and breaks off those
    // whose caller has closed: libmicrohttpd doesn't watch a sleeping connection.
    void dropClosedCallers();

    // Takes no more connections; open ones go on. Those still open when the server
    // ends are broken off.
    void stopListening();
    unsigned openConnections() const;
    // Requests whose head has come and whose answer is not wholly sent.
    std::size_t openRequests();

private:
    friend struct server_callbacks;
    server() = default;
    // False once the server ends.
    bool enter(const exchange_ptr& one);
    void leave(const exchange_ptr& one);

    server_limits m_limits;
    handler m_handler;
    MHD_Daemon* m_daemon = nullptr;
    int m_listener = -1;
    int m_descriptor = -1; // libmicrohttpd's epoll, which it owns; -1 with a thread of its own
    std::mutex m_openMutex; // guards the next two
    std::set<exchange_ptr> m_open; // requests whose head has come
    bool m_ending = false; // m_open doesn't grow any more
};

} // namespace lovagerail::http
