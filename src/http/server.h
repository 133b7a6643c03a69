// HTTP server on libmicrohttpd, with a thread of its own or driven by its owner's event
// loop. The handler gets each request when it is complete; the answer is given later, from
// any thread, through its `exchange`.
//
// What clients send and hold open is bounded: connections, open requests, and the memory of heads,
// bodies and answers, which is charged to an account that servers may share. A request that finds
// no room is refused as soon as that is known, without reading its body; stalled transfers and
// idle connections are closed where others need the room.
#pragma once

#include "error.h"
#include "http/byte_buffer.h"
#include "http/client.h"
#include "http/connection_table.h"
#include "http/memory_account.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>

struct MHD_Connection;
struct MHD_Daemon;

namespace lovagerail::http {

namespace detail {

    constexpr int overloadedStatus = 503;
    constexpr std::string_view defaultRetryAfter = "1"; // s, where the owner states none

} // namespace detail

struct server_limits {
    std::size_t bodyBytes = 1 << 20;
    std::size_t headerBytes = 32 * 1024; // memory pool of a connection
    // Bytes of a streamed answer that may be buffered for a slow reader; beyond that the
    // answer is aborted.
    std::size_t unreadBytes = 256 * 1024;
    unsigned connections = 4096;
    unsigned requests = 0; // open at once; 0 = no limit beside that of connections
    unsigned connectionsPerAddress = 0; // 0 = no limit
    unsigned idleSeconds = 60;
    memory_account_ptr memory; // may be shared with other servers; null = unbounded
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

class exchange;

// An answer to a request that is not handled.
struct refusal {
    int status = detail::overloadedStatus;
    header_list headers;
    std::string body;
};

enum class refusal_reason {
    BodyTooLarge,
    Overloaded, // no room for another request, or for its body
    TooSlow, // its body has stalled, and others need the room
};

// What the owner decides of a request by its head.
struct admission {
    std::size_t bodyBytes = 0; // its body may be so large
    std::optional<refusal> refused; // the request is refused, whatever its body is
};

struct server_hooks {
    // Called when a head with a body is complete; if it is empty, the limit of the server holds.
    std::function<admission(const exchange&)> admit;
    // The answer to a request that the server refuses.
    std::function<refusal(const exchange&, refusal_reason)> refuse;
};

// One request and its answer. Shared by the server's thread and the thread that answers.
class exchange {
public:
    // The request; constant once the handler has been called.
    std::string method;
    std::string path;
    std::string query; // without '?', still encoded
    header_list headers; // names in lower case
    byte_buffer body;
    bool onKeptConnection = false; // its connection had a request before this one

    explicit exchange(std::size_t unreadBytes, const memory_account_ptr& memory = nullptr)
        : body(memory)
        , m_headMemory(memory)
        , m_unread(memory)
        , m_unreadLimit(unreadBytes)
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
    void answer(int status, header_list answerHeaders, byte_buffer answerBody);
    // The same for an answer that can be had again if it is large: it is refused as overloaded if there is no room for it.
    void answer(int status, header_list answerHeaders, std::string_view answerBody);
    // Sends an answer of which nothing shows that it is complete: without a length, ended by closing the connection.
    void answerUntilClose(int status, header_list answerHeaders, byte_buffer answerBody);
    // An empty buffer that is charged to the account of the server.
    byte_buffer newBuffer() const { return byte_buffer(m_unread.account()); }

    bool callerDisconnected() const;

private:
    friend class server;
    friend struct server_callbacks;
    using time_point = std::chrono::steady_clock::time_point;
    void resumeLocked();

    memory_claim m_headMemory; // of the head and its copies
    // Of the body that arrives, used by the server's thread only.
    time_point m_headAt;
    time_point m_lastByteAt;
    bool m_bodyIncomplete = false;
    bool m_brokenOff = false; // its body stalled, and what still arrives of it is dropped

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
    byte_buffer m_unread;
    std::size_t m_unreadLimit;
    std::size_t m_sentBytes = 0; // of the answer's body
    time_point m_lastSentAt; // when bytes of it were sent last
};

using exchange_ptr = std::shared_ptr<exchange>;

// The body of the request, which lives as long as any of its users.
inline std::shared_ptr<const byte_buffer> bodyOf(const exchange_ptr& received) { return { received, &received->body }; }

class server {
public:
    // Runs on the server's thread and must not block.
    using handler = std::function<void(exchange_ptr)>;

    // `address` is "IP:port". Fails if it can't be bound.
    static result<std::unique_ptr<server>> listen(const std::string& address, const server_limits& limits, const tls_files& tls, handler onRequest, server_threading threading = server_threading::OwnThread, server_hooks hooks = {});
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    // For server_threading::OwnersLoop: readable when run() has work.
    int descriptor() const { return m_descriptor; }
    // Reads, answers and writes for a bounded time. Returns whether there is work left: the owner calls it again without
    // waiting for the descriptor.
    bool run();
    // Aborts requests whose caller has closed its socket while they wait for an answer:
    // libmicrohttpd does not poll suspended connections, so it would not notice.
    void dropClosedCallers();
    // Closes connections whose refusal was sent a while ago.
    void closeRefused();

    // Accepts no more connections; open ones continue. The destructor aborts those that are
    // still open.
    void stopListening();
    unsigned openConnections() const;
    // What the server has refused or closed for want of room, since its start.
    struct pressure_counts {
        std::uint64_t overloaded = 0; // requests
        std::uint64_t tooLarge = 0; // requests
        std::uint64_t stalled = 0; // transfers
        std::uint64_t idle = 0; // connections

        friend bool operator==(const pressure_counts&, const pressure_counts&) = default;
        pressure_counts& operator+=(const pressure_counts& other)
        {
            overloaded += other.overloaded;
            tooLarge += other.tooLarge;
            stalled += other.stalled;
            idle += other.idle;
            return *this;
        }
    };
    const pressure_counts& pressure() const { return m_pressure; }
    // Number of requests whose head was received and whose answer is not completely sent.
    std::size_t openRequests();

private:
    friend struct server_callbacks;
    // A connection whose refusal was sent before its body was read: what still arrives is dropped, so that the answer
    // isn't lost by a reset.
    struct refused_connection {
        MHD_Connection* handle = nullptr;
        std::chrono::steady_clock::time_point closeAt;
    };
    server() = default;
    // Returns false during shutdown.
    bool registerOpen(const exchange_ptr& openExchange);
    void unregisterOpen(const exchange_ptr& openExchange);
    bool isFull();
    refusal refusalFor(const exchange& refused, refusal_reason reason);
    bool closeStalled(std::size_t leastHeld);
    void closeIdle();
    // Tries until it succeeds or no stalled transfer is left that holds so many bytes.
    template <typename Attempt>
    bool withRoom(std::size_t leastHeld, Attempt attempt);

    server_limits m_limits;
    handler m_handler;
    server_hooks m_hooks;
    bool m_isEncrypted = false;
    connection_table m_connections; // used by the server's thread only, as the next two
    pressure_counts m_pressure;
    std::list<refused_connection> m_refused; // in the order of their refusals
    std::chrono::steady_clock::time_point m_nextStalledSearch;
    MHD_Daemon* m_daemon = nullptr;
    int m_quiescedListener = -1; // ours from stopListening() on; libmicrohttpd owns it before
    int m_descriptor = -1; // libmicrohttpd's epoll descriptor, which it owns; -1 with a thread of its own
    std::mutex m_openMutex; // guards the next two
    std::set<exchange_ptr> m_open; // requests whose head was received
    bool m_shuttingDown = false; // nothing is added to m_open any more
};

} // namespace lovagerail::http
