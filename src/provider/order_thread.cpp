// One libcurl transfer for each order, with the guard on its socket.
#include "provider/order_thread.h"

#include "log.h"

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace lovagerail::provider {

namespace {

    constexpr std::chrono::milliseconds idleWait { 100 };
    constexpr std::chrono::milliseconds fullWait { 1 };
    constexpr std::chrono::milliseconds connectTimeout { 1000 };
    // Shorter than what a successor waits before its first order.
    constexpr std::chrono::milliseconds orderTimeout { 2500 };

    // The guard has the socket from before it is connected until it is closed.
    curl_socket_t openSocket(void* user, curlsocktype, curl_sockaddr* address)
    {
        const int socket = ::socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
        if (socket < 0)
            return CURL_SOCKET_BAD;
        const unsigned int live = orderBytesLive.count();
        setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &live, sizeof live);
        if (static_cast<order_guard*>(user)->adopt(socket))
            return socket;
        ::close(socket);
        return CURL_SOCKET_BAD;
    }

    int closeSocket(void* user, curl_socket_t socket)
    {
        static_cast<order_guard*>(user)->abandon(socket);
        return ::close(socket);
    }

    // Called on a connected socket before the request. The end may have come while
    // the socket wasn't connected yet, when it can't be shut down.
    int beforeRequest(void* user, char*, char*, int, int)
    {
        return static_cast<order_guard*>(user)->over() ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
    }

    std::size_t onBody(char* data, std::size_t size, std::size_t count, void* user)
    {
        static_cast<std::string*>(user)->append(data, size * count);
        return size * count;
    }

    http::transfer_result outcomeOf(CURL* easy, CURLcode code, int status)
    {
        if (code == CURLE_OK)
            return http::transfer_result::Whole;
        if (status != 0)
            return http::transfer_result::Truncated;
        long sent = 0;
        curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent);
        return sent == 0 ? http::transfer_result::NotSent : http::transfer_result::NoAnswer;
    }

} // namespace

order_reply sendOrder(order_guard& guard, const order_send& wanted)
{
    order_reply out;
    out.id = wanted.id;

    // Step 1. The transfer is ready before the time starts, so that little is left to do in it.
    CURL* easy = curl_easy_init();
    curl_slist* lines = curl_slist_append(nullptr, "Content-Type: application/json");
    lines = curl_slist_append(lines, "Expect:");
    curl_easy_setopt(easy, CURLOPT_URL, wanted.url.c_str());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, wanted.body.c_str());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(wanted.body.size()));
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

    // Step 2. Within the right.
    if (guard.arm(wanted.until)) {
        const auto code = curl_easy_perform(easy);
        long status = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        out.answer.status = static_cast<int>(status);
        out.answer.outcome = outcomeOf(easy, code, out.answer.status);
        out.answer.detail = code == CURLE_OK ? "" : curl_easy_strerror(code);
        out.cutOff = guard.over();
        // Closes the socket while the guard still knows it.
        curl_easy_cleanup(easy);
        guard.disarm();
    } else {
        out.cutOff = true;
        out.answer.outcome = http::transfer_result::NotSent;
        out.answer.detail = "the right to order is over";
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
        order_send next;
        if (!m_orders.tryPop(next)) {
            m_wakeup.wait(idleWait);
            continue;
        }
        // Without a guard nothing is sent at all.
        order_reply reply;
        reply.id = next.id;
        reply.answer.detail = "no guard";
        if (guard)
            reply = sendOrder(**guard, next);
        while (!m_stopping && !m_replies.tryPush(std::move(reply))) // NOLINT(bugprone-use-after-move): left untouched if the ring is full
            m_wakeup.wait(fullWait);
    }
}

} // namespace lovagerail::provider
