// HTTP server on libmicrohttpd, with a thread of its own or driven by its owner's event
// loop. The handler gets each request when it is complete; the answer is given later, from
// any thread, through its `exchange`.
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
    // Bytes of a streamed answer that may be buffered for a slow reader; beyond that the
    // answer is aborted.
    std::size_t unreadBytes = 256 * 1024;
    unsigned connections = 4096;
    unsigned connectionsPerAddress = 0; // 0 = no limit
    unsigned idleSeconds = 60;
};

// Which thread runs the server.
enum class server_threading {
    OwnThread,
    // The owner polls descriptor() and calls run(); handlers run within run(), and exchanges
    // must be answered from the same thread.
    OwnersLoop,
};

// Certificate and key in PEM; both empty = no TLS.
struct tls_files {
    std::string certificatePem;
    std::string keyPem;
};

// One request and its answer. Shared by the server's thread and the thread that answers.
class exchange {
public:
    // The request; constant once the handler has been called.
    std::string method;
    std::string path;
    std::string query; // without '?', still encoded
    header_list headers; // names in lower case
    std::string body;
    bool onKeptConnection = false; // its connection had a request before this one

    explicit exchange(std::size_t unreadBytes)
        : m_unreadLimit(unreadBytes)
    {
    }

    // Sends status and headers; the body follows by append() and is chunked.
    void begin(int status, header_list answerHeaders);
    // Appends to the body. Returns false if the caller has disconnected or reads too slowly;
    // the answer is aborted then.
    bool append(std::string_view bytes);
    void end();
    // Closes the connection without the final chunk, so that the caller can tell a truncated
    // answer from a short one.
    void abort();
    // Sends a complete answer with Content-Length.
    void answer(int status, header_list answerHeaders, std::string answerBody);
    // Sends an answer of which nothing shows that it is complete: without a length, ended by closing the connection.
    void answerUntilClose(int status, header_list answerHeaders, std::string answerBody);

    bool callerDisconnected() const;

private:
    friend class server;
    friend struct server_callbacks;
    void resumeLocked();

    mutable std::mutex m_mutex;
    MHD_Connection* m_connection = nullptr; // null once the request is over or the caller has disconnected
    bool m_suspended = false;
    bool m_begun = false;
    bool m_ended = false;
    bool m_aborted = false;
    bool m_bodyComplete = false; // the body is complete before the head is sent
    bool m_untilClose = false; // the body has neither a length nor chunks
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

    // `address` is "IP:port". Fails if it can't be bound.
    static result<std::unique_ptr<server>> listen(const std::string& address, const server_limits& limits, const tls_files& tls, handler onRequest, server_threading threading = server_threading::OwnThread);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    // For server_threading::OwnersLoop: readable when run() has work.
    int descriptor() const { return m_descriptor; }
    void run();
    // Aborts requests whose caller has closed its socket while they wait for an answer:
    // libmicrohttpd does not poll suspended connections, so it would not notice.
    void dropClosedCallers();

    // Accepts no more connections; open ones continue. The destructor aborts those that are
    // still open.
    void stopListening();
    unsigned openConnections() const;
    // Number of requests whose head was received and whose answer is not completely sent.
    std::size_t openRequests();

private:
    friend struct server_callbacks;
    server() = default;
    // Returns false during shutdown.
    bool registerOpen(const exchange_ptr& openExchange);
    void unregisterOpen(const exchange_ptr& openExchange);

    server_limits m_limits;
    handler m_handler;
    MHD_Daemon* m_daemon = nullptr;
    int m_quiescedListener = -1; // ours from stopListening() on; libmicrohttpd owns it before
    int m_descriptor = -1; // libmicrohttpd's epoll descriptor, which it owns; -1 with a thread of its own
    std::mutex m_openMutex; // guards the next two
    std::set<exchange_ptr> m_open; // requests whose head was received
    bool m_shuttingDown = false; // nothing is added to m_open any more
};

} // namespace lovagerail::http
