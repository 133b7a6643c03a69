// The callbacks of libmicrohttpd, and the synchronisation between its thread and the threads
// that answer.
#include "http/server.h"

#include "intake_limits.h"
#include "named_thread.h"
#include "stalled_transfers.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <charconv>
#include <cstring>
#include <limits>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace lovagerail::http {

namespace {

    constexpr std::size_t streamBlockBytes = 16 * 1024;
    constexpr int listenBacklog = 511;
    constexpr int bodyTooLargeStatus = 413;
    constexpr std::chrono::milliseconds maxTurnTime { 4 }; // of run(): other work of the owner waits meanwhile
    // Memory of an open request beside its body: its objects, and the head as it was parsed, as it is
    // passed on, and as each of two attempts sends it.
    constexpr std::size_t requestBytes = 8 * 1024;
    constexpr std::size_t copiesOfHead = 5;
    constexpr std::chrono::seconds refusedReadTime { 5 }; // in which a client may send on and read its refusal
    constexpr unsigned spareConnectionsDivisor = 16; // idle connections are closed when so small a part of the limit is left
    constexpr std::chrono::milliseconds freshConnectionPatience { 1000 };
    constexpr std::chrono::milliseconds stalledSearchPeriod { 100 };

    // A large holding needs the room of a large one.
    std::size_t leastHeldFor(std::size_t bytes) { return bytes > ordinaryHoldingBytes ? ordinaryHoldingBytes : 1; }

    std::string lower(const char* text)
    {
        std::string out(text);
        std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        return out;
    }

    // Splits "IP:port" and binds a listening socket to it.
    result<int> bindAddress(const std::string& address)
    {
        constexpr std::string_view step = "http.listen";
        const auto colon = address.rfind(':');
        if (colon == std::string::npos)
            return failure(error_code::InvalidArgument, step, "address is not IP:port: " + address);
        sockaddr_in socketAddress {};
        socketAddress.sin_family = AF_INET;
        socketAddress.sin_port = htons(static_cast<std::uint16_t>(std::strtoul(address.c_str() + colon + 1, nullptr, 10)));
        if (inet_pton(AF_INET, address.substr(0, colon).c_str(), &socketAddress.sin_addr) != 1)
            return failure(error_code::InvalidArgument, step, "not an IP number: " + address);
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        const int enabled = 1;
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
        if (bind(descriptor, reinterpret_cast<sockaddr*>(&socketAddress), sizeof socketAddress) != 0 || ::listen(descriptor, listenBacklog) != 0) {
            const std::string detail = std::strerror(errno);
            close(descriptor);
            return failure(error_code::Unavailable, step, peer_kind::None, address, detail);
        }
        return descriptor;
    }

} // namespace

// Callbacks of libmicrohttpd; all run on the server's thread.
struct server_callbacks {
    // Per-request context that libmicrohttpd passes to the callbacks.
    struct request_slot {
        exchange_ptr shared;
        server* owner = nullptr;
        std::size_t bodyLimit = 0;
        std::size_t announcedBytes = 0; // 0 = none, or chunked
        std::optional<refusal> refused; // answered in place of the handler
        bool refusalSent = false; // and nothing more is written to the connection
        std::optional<std::list<server::refused_connection>::iterator> inRefused;
        bool handedOver = false;
        bool replied = false;
    };

    static server::pressure_counts& pressureOf(request_slot& slot) { return slot.owner->m_pressure; }

    static MHD_Result onHeader(void* user, MHD_ValueKind, const char* key, const char* value)
    {
        static_cast<header_list*>(user)->emplace_back(lower(key), value == nullptr ? "" : value);
        return MHD_YES;
    }

    // Keeps the query as sent; libmicrohttpd itself would decode and split it.
    static void* onUri(void* user, const char* uri, MHD_Connection*)
    {
        auto* slot = new request_slot;
        slot->owner = static_cast<server*>(user);
        slot->shared = std::make_shared<exchange>(slot->owner->m_limits.unreadBytes, slot->owner->m_limits.memory);
        const std::string_view pathAndQuery(uri);
        const auto mark = pathAndQuery.find('?');
        slot->shared->path = std::string(pathAndQuery.substr(0, mark));
        if (mark != std::string_view::npos)
            slot->shared->query = std::string(pathAndQuery.substr(mark + 1));
        return slot;
    }

    static connection_table::connection& recordOf(MHD_Connection* connection)
    {
        return *static_cast<connection_table::connection*>(MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)->socket_context);
    }

    static MHD_Result onAccess(void* user, MHD_Connection* connection, const char*, const char* method, const char*,
        const char* upload, size_t* uploadSize, void** context)
    {
        auto& self = *static_cast<server*>(user);
        auto& slot = *static_cast<request_slot*>(*context);
        exchange& x = *slot.shared;
        if (x.m_brokenOff)
            return MHD_NO;

        // Step 1. First call: the head is complete.
        if (x.m_connection == nullptr && !slot.handedOver && x.method.empty()) {
            const bool isFull = !self.withRoom(1, [&self] { return !self.isFull(); });
            if (!self.registerOpen(slot.shared))
                return MHD_NO;
            x.method = method;
            x.m_connection = connection;
            auto& record = recordOf(connection);
            x.onKeptConnection = record.requests > 0;
            self.m_connections.busy(record);
            MHD_get_connection_values(connection, MHD_HEADER_KIND, &onHeader, &x.headers);
            onHead(slot, connection, isFull);
            return MHD_YES;
        }

        // Step 2. A part of the body.
        if (*uploadSize > 0) {
            const std::string_view bytes(upload, *uploadSize);
            *uploadSize = 0;
            if (!slot.refused)
                onBody(slot, connection, bytes);
            return MHD_YES;
        }

        // Step 3. The request is complete: pass it to the handler once.
        x.m_bodyIncomplete = false;
        if (slot.refusalSent)
            return MHD_NO;
        if (!slot.handedOver) {
            slot.handedOver = true;
            if (slot.refused)
                x.answer(slot.refused->status, std::move(slot.refused->headers), slot.refused->body);
            else
                self.m_handler(slot.shared);
        }

        // Step 4. Reply if the answer has begun, else suspend the connection until it does.
        {
            const std::lock_guard lock(x.m_mutex);
            if (!x.m_begun) {
                x.m_suspended = true;
                MHD_suspend_connection(connection);
                return MHD_YES;
            }
        }
        return queueReply(connection, slot);
    }

    // Refuses what can be refused by the head, and makes room for a body whose length is known.
    static void onHead(request_slot& slot, MHD_Connection* connection, bool isFull)
    {
        auto& self = *slot.owner;
        exchange& x = *slot.shared;
        const auto length = findHeader(x.headers, "content-length");
        const bool isChunked = !findHeader(x.headers, "transfer-encoding").empty();
        if (!isChunked && std::from_chars(length.data(), length.data() + length.size(), slot.announcedBytes).ec == std::errc::result_out_of_range)
            slot.announcedBytes = std::numeric_limits<std::size_t>::max();
        x.m_headAt = x.m_lastByteAt = std::chrono::steady_clock::now();
        x.m_bodyIncomplete = isChunked || slot.announcedBytes > 0;
        slot.bodyLimit = self.m_limits.bodyBytes;

        const auto headBytes = requestBytes + copiesOfHead * MHD_get_connection_info(connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE)->header_size;
        if (isFull || !self.withRoom(1, [&] { return x.m_headMemory.resize(memory_use::Ordinary, headBytes); })) {
            refuse(slot, connection, refusal_reason::Overloaded);
            return;
        }
        if (!x.m_bodyIncomplete)
            return;
        if (self.m_hooks.admit) {
            auto admitted = self.m_hooks.admit(x);
            slot.bodyLimit = std::min(slot.bodyLimit, admitted.bodyBytes);
            if (admitted.refused) {
                refuse(slot, connection, std::move(*admitted.refused));
                return;
            }
        }
        if (slot.announcedBytes > slot.bodyLimit)
            refuse(slot, connection, refusal_reason::BodyTooLarge);
        else if (!self.withRoom(leastHeldFor(slot.announcedBytes), [&] { return x.body.reserve(slot.announcedBytes); }))
            refuse(slot, connection, refusal_reason::Overloaded);
    }

    static void onBody(request_slot& slot, MHD_Connection* connection, std::string_view bytes)
    {
        exchange& x = *slot.shared;
        x.m_lastByteAt = std::chrono::steady_clock::now();
        if (x.body.size() + bytes.size() > slot.bodyLimit)
            refuse(slot, connection, refusal_reason::BodyTooLarge);
        else if (!slot.owner->withRoom(leastHeldFor(x.body.size()), [&] { return x.body.append(bytes, slot.bodyLimit); }))
            refuse(slot, connection, refusal_reason::Overloaded);
    }

    static void refuse(request_slot& slot, MHD_Connection* connection, refusal_reason reason)
    {
        auto& counts = pressureOf(slot);
        ++(reason == refusal_reason::BodyTooLarge ? counts.tooLarge : reason == refusal_reason::Overloaded ? counts.overloaded
                                                                                                           : counts.stalled);
        refuse(slot, connection, slot.owner->refusalFor(*slot.shared, reason));
    }

    // A request with a short body is answered when that was read, so that its connection is kept.
    static void refuse(request_slot& slot, MHD_Connection* connection, refusal answer)
    {
        exchange& x = *slot.shared;
        slot.refused = std::move(answer);
        x.body.clear();
        const bool isShort = slot.announcedBytes > 0 && slot.announcedBytes <= ordinaryHoldingBytes;
        if (!x.m_bodyIncomplete || isShort || slot.owner->m_isEncrypted)
            return;
        x.m_headMemory.reset();
        sendRefusal(connection, *slot.refused);
        slot.refusalSent = true;
        slot.owner->unregisterOpen(slot.shared);
        auto& refused = slot.owner->m_refused;
        slot.inRefused = refused.insert(refused.end(), { connection, std::chrono::steady_clock::now() + refusedReadTime });
    }

    // libmicrohttpd answers only before it reads a body or after it, so the answer is written beside it, and the last thing
    // on its connection.
    static void sendRefusal(MHD_Connection* connection, const refusal& answer)
    {
        std::string text = "HTTP/1.1 " + std::to_string(answer.status) + " " + MHD_get_reason_phrase_for(static_cast<unsigned>(answer.status)) + "\r\n";
        for (const auto& [name, value] : answer.headers)
            text.append(name).append(": ").append(value).append("\r\n");
        text += "Content-Length: " + std::to_string(answer.body.size()) + "\r\nConnection: close\r\n\r\n" + answer.body;
        const int descriptor = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
        // A connection that doesn't take these few bytes is closed without them.
        static_cast<void>(send(descriptor, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT));
        shutdown(descriptor, SHUT_WR);
    }

    // Must not hold our lock, as libmicrohttpd holds its own lock when it calls onRead(),
    // which takes ours. Reading is safe, as these fields don't change once the answer has begun.
    static MHD_Result queueReply(MHD_Connection* connection, request_slot& slot)
    {
        exchange& x = *slot.shared;
        slot.replied = true;
        // Aborted before its head: close the connection.
        if (x.m_status == 0)
            return MHD_NO;
        x.m_lastSentAt = std::chrono::steady_clock::now();
        MHD_Response* response = nullptr;
        if (x.m_bodyComplete && x.m_unread.size() <= streamBlockBytes) {
            response = MHD_create_response_from_buffer(x.m_unread.size(), const_cast<char*>(x.m_unread.data()), MHD_RESPMEM_MUST_COPY);
            x.m_unread.clear();
        } else {
            const std::uint64_t size = x.m_bodyComplete ? x.m_unread.size() : MHD_SIZE_UNKNOWN;
            response = MHD_create_response_from_callback(size, streamBlockBytes, &onRead, new exchange_ptr(slot.shared), &onFree);
        }
        if (x.m_untilClose)
            MHD_set_response_options(response, MHD_RF_HTTP_1_0_SERVER, MHD_RO_END);
        for (const auto& [name, value] : x.m_answerHeaders)
            MHD_add_response_header(response, name.c_str(), value.c_str());
        const auto queued = MHD_queue_response(connection, static_cast<unsigned>(x.m_status), response);
        MHD_destroy_response(response);
        return queued;
    }

    static ssize_t onRead(void* user, std::uint64_t, char* out, size_t room)
    {
        exchange& x = **static_cast<exchange_ptr*>(user);
        std::lock_guard lock(x.m_mutex);
        if (!x.m_unread.empty()) {
            const auto count = std::min(room, x.m_unread.size());
            std::copy_n(x.m_unread.data(), count, out);
            x.m_unread.consume(count);
            x.m_sentBytes += count;
            x.m_lastSentAt = std::chrono::steady_clock::now();
            return static_cast<ssize_t>(count);
        }
        if (x.m_aborted)
            return MHD_CONTENT_READER_END_WITH_ERROR;
        if (x.m_ended)
            return MHD_CONTENT_READER_END_OF_STREAM;
        if (x.m_connection == nullptr)
            return MHD_CONTENT_READER_END_WITH_ERROR;
        x.m_suspended = true;
        MHD_suspend_connection(x.m_connection);
        return 0;
    }

    static void onFree(void* user) { delete static_cast<exchange_ptr*>(user); }

    static void onConnection(void* user, MHD_Connection* connection, void** context, MHD_ConnectionNotificationCode what)
    {
        auto& self = *static_cast<server*>(user);
        if (what == MHD_CONNECTION_NOTIFY_CLOSED) {
            self.m_connections.closed(static_cast<connection_table::connection*>(*context));
            *context = nullptr;
            return;
        }
        self.closeRefused();
        auto* record = self.m_connections.opened(connection, std::chrono::steady_clock::now());
        *context = record;
        if (self.m_connections.size() + self.m_limits.connections / spareConnectionsDivisor >= self.m_limits.connections)
            self.closeIdle();
        record->memory = memory_claim(self.m_limits.memory);
        if (!self.withRoom(1, [&] { return record->memory.resize(memory_use::Connection, connectionBytes); }))
            closeNow(connection);
    }

    // libmicrohttpd closes the connection when it finds its end.
    static void closeNow(MHD_Connection* connection)
    {
        shutdown(MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd, SHUT_RDWR);
    }

    static void onCompleted(void* user, MHD_Connection* connection, void** context, MHD_RequestTerminationCode)
    {
        auto* slot = static_cast<request_slot*>(*context);
        if (slot == nullptr)
            return;
        auto& self = *static_cast<server*>(user);
        self.unregisterOpen(slot->shared);
        if (slot->inRefused)
            self.m_refused.erase(*slot->inRefused);
        if (!slot->shared->method.empty())
            self.m_connections.idle(recordOf(connection), std::chrono::steady_clock::now());
        {
            std::lock_guard lock(slot->shared->m_mutex);
            slot->shared->m_connection = nullptr;
        }
        delete slot;
        *context = nullptr;
    }
};

result<std::unique_ptr<server>> server::listen(const std::string& address, const server_limits& limits, const tls_files& tls, handler onRequest, server_threading threading, server_hooks hooks)
{
    const auto bound = bindAddress(address);
    if (!bound)
        return tl::unexpected(bound.error());
    std::unique_ptr<server> self(new server);
    self->m_limits = limits;
    self->m_handler = std::move(onRequest);
    self->m_hooks = std::move(hooks);
    self->m_isEncrypted = !tls.certificatePem.empty();

    const bool ownThread = threading == server_threading::OwnThread;
    unsigned flags = (ownThread ? MHD_USE_EPOLL_INTERNAL_THREAD : MHD_USE_EPOLL) | MHD_ALLOW_SUSPEND_RESUME;
    std::vector<MHD_OptionItem> options {
        { MHD_OPTION_LISTEN_SOCKET, *bound, nullptr },
        { MHD_OPTION_CONNECTION_LIMIT, limits.connections, nullptr },
        { MHD_OPTION_CONNECTION_MEMORY_LIMIT, static_cast<std::intptr_t>(limits.headerBytes), nullptr },
        { MHD_OPTION_CONNECTION_TIMEOUT, limits.idleSeconds, nullptr },
        { MHD_OPTION_PER_IP_CONNECTION_LIMIT, limits.connectionsPerAddress, nullptr },
        { MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<std::intptr_t>(&server_callbacks::onCompleted), self.get() },
        { MHD_OPTION_NOTIFY_CONNECTION, reinterpret_cast<std::intptr_t>(&server_callbacks::onConnection), self.get() },
        { MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<std::intptr_t>(&server_callbacks::onUri), self.get() },
    };
    if (ownThread)
        options.push_back({ MHD_OPTION_THREAD_STACK_SIZE, static_cast<std::intptr_t>(threadStackBytes), nullptr });
    if (!tls.certificatePem.empty()) {
        flags |= MHD_USE_TLS;
        options.push_back({ MHD_OPTION_HTTPS_MEM_CERT, 0, const_cast<char*>(tls.certificatePem.c_str()) });
        options.push_back({ MHD_OPTION_HTTPS_MEM_KEY, 0, const_cast<char*>(tls.keyPem.c_str()) });
    }
    options.push_back({ MHD_OPTION_END, 0, nullptr });
    self->m_daemon = MHD_start_daemon(flags, 0, nullptr, nullptr, &server_callbacks::onAccess, self.get(), MHD_OPTION_ARRAY, options.data(), MHD_OPTION_END);
    if (self->m_daemon == nullptr) {
        close(*bound);
        return failure(error_code::Internal, "http.listen", peer_kind::None, address, "libmicrohttpd could not start");
    }
    if (!ownThread)
        self->m_descriptor = MHD_get_daemon_info(self->m_daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    return self;
}

// libmicrohttpd moves at most one buffer of each connection at a time, and its descriptor tells only of
// connections that had no work before.
bool server::run()
{
    const auto end = std::chrono::steady_clock::now() + maxTurnTime;
    for (;;) {
        MHD_run(m_daemon);
        MHD_UNSIGNED_LONG_LONG timeoutMs = 0;
        const bool hasWork = MHD_get_timeout(m_daemon, &timeoutMs) == MHD_YES && timeoutMs == 0;
        if (!hasWork || std::chrono::steady_clock::now() >= end)
            return hasWork;
    }
}

bool server::isFull()
{
    return m_limits.requests > 0 && openRequests() >= m_limits.requests;
}

refusal server::refusalFor(const exchange& refused, refusal_reason reason)
{
    if (m_hooks.refuse)
        return m_hooks.refuse(refused, reason);
    const header_list json { { "content-type", "application/json" } };
    if (reason == refusal_reason::BodyTooLarge)
        return { bodyTooLargeStatus, json, R"({"error":{"outcome":"not_run","reason":"body_too_large"}})" };
    return { detail::overloadedStatus, { json.front(), { "Retry-After", std::string(detail::defaultRetryAfter) } }, R"({"error":{"outcome":"not_run","reason":"overloaded"}})" };
}

template <typename Attempt>
bool server::withRoom(std::size_t leastHeld, Attempt attempt)
{
    while (!attempt()) {
        if (!closeStalled(leastHeld))
            return false;
    }
    return true;
}

// Breaks off one stalled transfer that holds so many bytes, and frees them; false if there is none.
bool server::closeStalled(std::size_t leastHeld)
{
    // Step 1. The progress of all transfers with clients. A search that found none holds for a while, as it costs O(open).
    const auto now = std::chrono::steady_clock::now();
    if (now < m_nextStalledSearch)
        return false;
    std::vector<exchange_ptr> open;
    {
        const std::lock_guard lock(m_openMutex);
        open.assign(m_open.begin(), m_open.end());
    }
    std::vector<transfer_progress> progress;
    for (const auto& x : open) {
        auto& entry = progress.emplace_back();
        if (x->m_bodyIncomplete) {
            entry = { x->m_headMemory.bytes() + x->body.size(), x->body.size(), now - x->m_headAt, now - x->m_lastByteAt, transfer_kind::Body };
            continue;
        }
        const std::lock_guard lock(x->m_mutex);
        if (x->m_unread.empty() || x->m_lastSentAt == exchange::time_point())
            continue;
        const auto kind = x->m_ended ? transfer_kind::Answer : transfer_kind::Stream;
        entry = { x->m_unread.size(), x->m_sentBytes, now - x->m_headAt, now - x->m_lastSentAt, kind };
    }
    for (auto& entry : progress) {
        if (entry.heldBytes < leastHeld)
            entry.heldBytes = 0;
    }

    // Step 2. Close the one that stalls.
    const auto chosen = stalledTransfer(progress);
    if (!chosen) {
        m_nextStalledSearch = now + stalledSearchPeriod;
        return false;
    }
    auto& x = *open[*chosen];
    ++m_pressure.stalled;
    unregisterOpen(open[*chosen]);
    if (progress[*chosen].kind == transfer_kind::Body) {
        x.m_brokenOff = true;
        x.m_bodyIncomplete = false;
        x.body.clear();
        x.m_headMemory.reset();
        if (!m_isEncrypted)
            server_callbacks::sendRefusal(x.m_connection, refusalFor(x, refusal_reason::TooSlow));
    } else {
        const std::lock_guard lock(x.m_mutex);
        x.m_unread.clear();
        x.m_aborted = true;
    }
    server_callbacks::closeNow(x.m_connection);
    return true;
}

void server::closeIdle()
{
    if (auto* idle = m_connections.takeIdle(std::chrono::steady_clock::now(), freshConnectionPatience)) {
        ++m_pressure.idle;
        server_callbacks::closeNow(idle->handle);
        return;
    }
    if (!m_refused.empty())
        server_callbacks::closeNow(m_refused.front().handle);
}

void server::closeRefused()
{
    const auto now = std::chrono::steady_clock::now();
    for (const auto& refused : m_refused) {
        if (refused.closeAt > now)
            break;
        server_callbacks::closeNow(refused.handle);
    }
}

void server::dropClosedCallers()
{
    std::vector<exchange_ptr> closed;
    {
        const std::lock_guard lock(m_openMutex);
        for (const auto& openExchange : m_open) {
            const std::lock_guard exchangeLock(openExchange->m_mutex);
            if (!openExchange->m_suspended || openExchange->m_connection == nullptr)
                continue;
            const auto* info = MHD_get_connection_info(openExchange->m_connection, MHD_CONNECTION_INFO_CONNECTION_FD);
            char byte = 0;
            const auto received = recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            if (received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR))
                closed.push_back(openExchange);
        }
    }
    for (const auto& openExchange : closed)
        openExchange->abort();
}

bool server::registerOpen(const exchange_ptr& openExchange)
{
    const std::lock_guard lock(m_openMutex);
    if (!m_shuttingDown)
        m_open.insert(openExchange);
    return !m_shuttingDown;
}

void server::unregisterOpen(const exchange_ptr& openExchange)
{
    const std::lock_guard lock(m_openMutex);
    m_open.erase(openExchange);
}

server::~server()
{
    // libmicrohttpd can't stop while a connection is suspended: abort open exchanges, which
    // resumes their connections.
    std::set<exchange_ptr> openExchanges;
    {
        const std::lock_guard lock(m_openMutex);
        m_shuttingDown = true;
        openExchanges = m_open;
    }
    for (const auto& openExchange : openExchanges)
        openExchange->abort();
    if (m_daemon != nullptr)
        MHD_stop_daemon(m_daemon); // closes its listening socket
    if (m_quiescedListener >= 0)
        close(m_quiescedListener);
}

void server::stopListening()
{
    if (m_quiescedListener >= 0)
        return;
    m_quiescedListener = MHD_quiesce_daemon(m_daemon);
    // The server's thread may still use the descriptor, so only the destructor closes it.
    if (m_quiescedListener >= 0)
        shutdown(m_quiescedListener, SHUT_RDWR);
}

std::size_t server::openRequests()
{
    const std::lock_guard lock(m_openMutex);
    return m_open.size();
}

unsigned server::openConnections() const
{
    const auto* info = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
    return info == nullptr ? 0 : info->num_connections;
}

} // namespace lovagerail::http
