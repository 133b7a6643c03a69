// Sends each order by a libcurl transfer of its own, whose socket is registered with the guard.
#include "provider/order_thread.h"

#include "http/socket_close.h"
#include "log.h"

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace lovagerail::provider {

namespace {

    constexpr std::chrono::milliseconds maxIdleWait { 100 };
    constexpr std::chrono::milliseconds ringFullRetryDelay { 1 };
    constexpr std::chrono::milliseconds connectTimeout { 1000 };
    // Must be shorter than the time that a new holder of the duty waits before its first order.
    constexpr std::chrono::milliseconds orderTimeout { 2500 };

    // Registers the socket with the guard before it is connected; closeSocket() removes it.
    curl_socket_t openSocket(void* user, curlsocktype, curl_sockaddr* address)
    {
        const int socket = ::socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
        if (socket < 0)
            return CURL_SOCKET_BAD;
        const unsigned int timeoutMs = unackedOrderTimeout.count();
        setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeoutMs, sizeof timeoutMs);
        if (static_cast<order_guard*>(user)->registerSocket(socket))
            return socket;
        ::close(socket);
        return CURL_SOCKET_BAD;
    }

    int closeSocket(void* user, curl_socket_t socket)
    {
        static_cast<order_guard*>(user)->unregisterSocket(socket);
        return http::closeDiscardingUnacknowledged(socket);
    }

    // Called when the socket is connected, before the request is sent. The authority may have
    // expired earlier, when the socket was not connected yet and could not be shut down.
    int beforeRequest(void* user, char*, char*, int, int)
    {
        return static_cast<order_guard*>(user)->isExpired() ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
    }

    std::size_t onBody(char* data, std::size_t size, std::size_t count, void* user)
    {
        static_cast<std::string*>(user)->append(data, size * count);
        return size * count;
    }

    http::transfer_result outcomeOf(CURL* easy, CURLcode code, int status)
    {
        if (code == CURLE_OK)
            return http::transfer_result::Complete;
        if (status != 0)
            return http::transfer_result::Truncated;
        long sent = 0;
        curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent);
        return sent == 0 ? http::transfer_result::NotSent : http::transfer_result::NoAnswer;
    }

} // namespace

order_reply sendOrder(order_guard& guard, const order_request& request)
{
    order_reply out;
    out.id = request.id;

    // Step 1. Prepare the transfer before arming the guard, so that little is left to do then.
    CURL* easy = curl_easy_init();
    curl_slist* lines = curl_slist_append(nullptr, "Content-Type: application/json");
    lines = curl_slist_append(lines, "Expect:");
    curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.c_str());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, lines);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(connectTimeout.count()));
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(orderTimeout.count()));
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, openSocket);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, &guard);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, closeSocket);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, &guard);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, beforeRequest);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &guard);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &out.answer.body);

    // Step 2. Send while the authority is valid.
    if (guard.arm(request.until)) {
        const auto code = curl_easy_perform(easy);
        long status = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        out.answer.status = static_cast<int>(status);
        out.answer.outcome = outcomeOf(easy, code, out.answer.status);
        out.answer.detail = code == CURLE_OK ? "" : curl_easy_strerror(code);
        out.authorityExpired = guard.isExpired();
        // Closes the socket, which must happen before disarm().
        curl_easy_cleanup(easy);
        guard.disarm();
    } else {
        out.authorityExpired = true;
        out.answer.outcome = http::transfer_result::NotSent;
        out.answer.detail = "the authority to order has expired";
        curl_easy_cleanup(easy);
    }
    curl_slist_free_all(lines);
    return out;
}

order_thread::order_thread(std::size_t capacity, wakeup& owner)
    : m_orders(capacity, m_wakeup)
    , m_replies(capacity, owner)
    , m_thread("orders", [this] { run(); })
{
}

order_thread::~order_thread()
{
    m_stopping = true;
    m_wakeup.notify();
    m_thread.join();
}

void order_thread::run()
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    auto guard = order_guard::make();
    if (!guard)
        logEvent(log_level::Error, "orders", "guard", { { "error", toString(guard.error()) } });
    while (!m_stopping) {
        order_request next;
        if (!m_orders.tryPop(next)) {
            m_wakeup.wait(maxIdleWait);
            continue;
        }
        // Without a guard no order is sent.
        order_reply reply;
        reply.id = next.id;
        reply.answer.detail = "the order guard could not be created";
        if (guard)
            reply = sendOrder(**guard, next);
        while (!m_stopping && !m_replies.tryPush(std::move(reply))) // NOLINT(bugprone-use-after-move): not moved from if the ring is full
            m_wakeup.wait(ringFullRetryDelay);
    }
}

} // namespace lovagerail::provider
