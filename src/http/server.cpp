// The callbacks of libmicrohttpd, and the synchronisation between its thread and the threads
// that answer.
#include "http/server.h"

#include "named_thread.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cstring>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace lovagerail::http {

namespace {

    constexpr std::size_t streamBlockBytes = 16 * 1024;
    constexpr int listenBacklog = 511;

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
        bool tooLarge = false;
        bool handedOver = false;
        bool replied = false;
    };

    static MHD_Result onHeader(void* user, MHD_ValueKind, const char* key, const char* value)
    {
        static_cast<header_list*>(user)->emplace_back(lower(key), value == nullptr ? "" : value);
        return MHD_YES;
    }

    // Keeps the query as sent; libmicrohttpd itself would decode and split it.
    static void* onUri(void*, const char* uri, MHD_Connection*)
    {
        auto* slot = new request_slot;
        slot->shared = std::make_shared<exchange>(0);
        const std::string_view pathAndQuery(uri);
        const auto mark = pathAndQuery.find('?');
        slot->shared->path = std::string(pathAndQuery.substr(0, mark));
        if (mark != std::string_view::npos)
            slot->shared->query = std::string(pathAndQuery.substr(mark + 1));
        return slot;
    }

    static MHD_Result onAccess(void* user, MHD_Connection* connection, const char*, const char* method, const char*,
        const char* upload, size_t* uploadSize, void** context)
    {
        auto& self = *static_cast<server*>(user);
        auto& slot = *static_cast<request_slot*>(*context);
        exchange& x = *slot.shared;

        // Step 1. First call: the head is complete.
        if (x.m_connection == nullptr && !slot.handedOver && x.method.empty()) {
            if (!self.registerOpen(slot.shared))
                return MHD_NO;
            x.method = method;
            x.m_unreadLimit = self.m_limits.unreadBytes;
            x.m_connection = connection;
            auto* requests = static_cast<std::size_t*>(MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)->socket_context);
            x.onKeptConnection = (*requests)++ > 0;
            MHD_get_connection_values(connection, MHD_HEADER_KIND, &onHeader, &x.headers);
            return MHD_YES;
        }

        // Step 2. A part of the body.
        if (*uploadSize > 0) {
            slot.tooLarge = slot.tooLarge || x.body.size() + *uploadSize > self.m_limits.bodyBytes;
            if (!slot.tooLarge)
                x.body.append(upload, *uploadSize);
            *uploadSize = 0;
            return MHD_YES;
        }

        // Step 3. The request is complete: pass it to the handler once.
        if (!slot.handedOver) {
            slot.handedOver = true;
            if (slot.tooLarge)
                x.answer(413, { { "content-type", "application/json" } },
                    R"({"error":{"outcome":"not_run","reason":"body_too_large"}})");
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

    // Must not hold our lock, as libmicrohttpd holds its own lock when it calls onRead(),
    // which takes ours. Reading is safe, as these fields don't change once the answer has begun.
    static MHD_Result queueReply(MHD_Connection* connection, request_slot& slot)
    {
        exchange& x = *slot.shared;
        slot.replied = true;
        // Aborted before its head: close the connection.
        if (x.m_status == 0)
            return MHD_NO;
        MHD_Response* response = nullptr;
        if (x.m_bodyComplete)
            response = MHD_create_response_from_buffer(x.m_unread.size(), x.m_unread.data(), MHD_RESPMEM_MUST_COPY);
        else
            response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, streamBlockBytes, &onRead, new exchange_ptr(slot.shared), &onFree);
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
            x.m_unread.erase(0, count);
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

    // Keeps the number of requests of each connection.
    static void onConnection(void*, MHD_Connection*, void** context, MHD_ConnectionNotificationCode what)
    {
        if (what == MHD_CONNECTION_NOTIFY_STARTED) {
            *context = new std::size_t(0);
            return;
        }
        delete static_cast<std::size_t*>(*context);
        *context = nullptr;
    }

    static void onCompleted(void* user, MHD_Connection*, void** context, MHD_RequestTerminationCode)
    {
        auto* slot = static_cast<request_slot*>(*context);
        if (slot == nullptr)
            return;
        static_cast<server*>(user)->unregisterOpen(slot->shared);
        {
            std::lock_guard lock(slot->shared->m_mutex);
            slot->shared->m_connection = nullptr;
        }
        delete slot;
        *context = nullptr;
    }
};

void exchange::resumeLocked()
{
    if (!m_suspended || m_connection == nullptr)
        return;
    m_suspended = false;
    MHD_resume_connection(m_connection);
}

void exchange::begin(int status, header_list answerHeaders)
{
    std::lock_guard lock(m_mutex);
    if (m_begun)
        return;
    m_begun = true;
    m_status = status;
    m_answerHeaders = std::move(answerHeaders);
    resumeLocked();
}

bool exchange::append(std::string_view bytes)
{
    std::lock_guard lock(m_mutex);
    if (m_connection == nullptr || m_ended || m_aborted)
        return false;
    if (m_unread.size() + bytes.size() > m_unreadLimit) {
        m_aborted = true;
        m_unread.clear();
        resumeLocked();
        return false;
    }
    m_unread.append(bytes);
    resumeLocked();
    return true;
}

void exchange::end()
{
    std::lock_guard lock(m_mutex);
    m_ended = true;
    resumeLocked();
}

void exchange::abort()
{
    std::lock_guard lock(m_mutex);
    m_aborted = true;
    m_begun = true;
    resumeLocked();
}

void exchange::answer(int status, header_list answerHeaders, std::string answerBody)
{
    std::lock_guard lock(m_mutex);
    if (m_begun)
        return;
    m_begun = true;
    m_ended = true;
    m_bodyComplete = true;
    m_status = status;
    m_answerHeaders = std::move(answerHeaders);
    m_unread = std::move(answerBody);
    resumeLocked();
}

void exchange::answerUntilClose(int status, header_list answerHeaders, std::string answerBody)
{
    std::lock_guard lock(m_mutex);
    if (m_begun)
        return;
    m_begun = true;
    m_ended = true;
    m_untilClose = true;
    m_status = status;
    m_answerHeaders = std::move(answerHeaders);
    m_unread = std::move(answerBody);
    resumeLocked();
}

bool exchange::callerDisconnected() const
{
    std::lock_guard lock(m_mutex);
    return m_connection == nullptr;
}

result<std::unique_ptr<server>> server::listen(const std::string& address, const server_limits& limits, const tls_files& tls, handler onRequest, server_threading threading)
{
    const auto bound = bindAddress(address);
    if (!bound)
        return tl::unexpected(bound.error());
    std::unique_ptr<server> self(new server);
    self->m_limits = limits;
    self->m_handler = std::move(onRequest);

    const bool ownThread = threading == server_threading::OwnThread;
    unsigned flags = (ownThread ? MHD_USE_EPOLL_INTERNAL_THREAD : MHD_USE_EPOLL) | MHD_ALLOW_SUSPEND_RESUME;
    std::vector<MHD_OptionItem> options {
        { MHD_OPTION_LISTEN_SOCKET, *bound, nullptr },
        { MHD_OPTION_CONNECTION_LIMIT, limits.connections, nullptr },
        { MHD_OPTION_CONNECTION_MEMORY_LIMIT, static_cast<std::intptr_t>(limits.headerBytes), nullptr },
        { MHD_OPTION_CONNECTION_TIMEOUT, limits.idleSeconds, nullptr },
        { MHD_OPTION_PER_IP_CONNECTION_LIMIT, limits.connectionsPerAddress, nullptr },
        { MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<std::intptr_t>(&server_callbacks::onCompleted), self.get() },
        { MHD_OPTION_NOTIFY_CONNECTION, reinterpret_cast<std::intptr_t>(&server_callbacks::onConnection), nullptr },
        { MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<std::intptr_t>(&server_callbacks::onUri), nullptr },
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

void server::run()
{
    MHD_run(m_daemon);
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
