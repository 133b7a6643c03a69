// Tests that the connections which connection_pool_view counts as idle are those that the HTTP
// client really reuses, over real sockets.
#include "connection_pool_view.h"
#include "http/client.h"
#include "http/persistence.h"
#include "http/server.h"

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>

namespace {

using namespace lovagerail;
using namespace std::chrono_literals;

constexpr target_slot slot { 0 };
constexpr auto patience = 5s;

instant now() { return instant(std::chrono::steady_clock::now().time_since_epoch()); }

// A free port on 127.0.0.1.
std::uint16_t freePort()
{
    const int probe = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in where {};
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof where;
    BOOST_REQUIRE_EQUAL(bind(probe, reinterpret_cast<sockaddr*>(&where), size), 0);
    BOOST_REQUIRE_EQUAL(getsockname(probe, reinterpret_cast<sockaddr*>(&where), &size), 0);
    close(probe);
    return ntohs(where.sin_port);
}

// Sends requests and reports their connections to a view, as edge/target_link.cpp does.
struct observed_client {
    http::client client;
    connection_pool_view view;
    std::string url;
    std::uint64_t lastId = 0;
    std::map<std::uint64_t, http::request> open;
    std::map<std::uint64_t, http::persistence> persistence;
    std::vector<http::connection_use> used;
    std::mutex heldLock;
    std::vector<http::exchange_ptr> held; // requests that the server has not answered yet

    std::uint64_t start(const std::string& path, http::connection_reuse reuse = http::connection_reuse::Allowed)
    {
        http::request request;
        request.id = ++lastId;
        request.url = url + path;
        request.reuse = reuse;
        request.reportConnected = true;
        open[lastId] = request;
        client.start(std::move(request));
        return lastId;
    }

    // Has them answered once the server holds all of them, so that none uses the connection of another.
    void finishAll()
    {
        const auto expected = open.size();
        const auto end = now() + patience;
        while (!open.empty() && now() < end) {
            for (const auto& event : client.poll(10ms))
                handle(event);
            const std::lock_guard lock(heldLock);
            if (held.size() < expected)
                continue;
            for (const auto& one : held)
                one->answer(200, {}, "x");
            held.clear();
        }
        BOOST_REQUIRE(open.empty());
    }

    void handle(const http::event& event)
    {
        if (event.what == http::event::kind::Connected) {
            used.push_back(event.connection);
            if (event.connection == http::connection_use::Kept)
                view.reused(event.id, slot, now());
            else
                view.opened(event.id, slot, open.at(event.id).reuse == http::connection_reuse::Forbidden, now());
        } else if (event.what == http::event::kind::Head)
            persistence[event.id] = http::persistenceOf(event.headers);
        else if (event.what == http::event::kind::Done) {
            const bool isKept = event.outcome == http::transfer_result::Complete && !persistence[event.id].closes;
            view.ended(event.id, { isKept ? connection_end::kind::Kept : connection_end::kind::Closed, {} }, now());
            open.erase(event.id);
        }
    }

    // Sends requests together; returns how many got a kept connection.
    std::size_t sendTogether(int requests)
    {
        used.clear();
        for (int i = 0; i < requests; ++i)
            start("/");
        finishAll();
        return static_cast<std::size_t>(std::count(used.begin(), used.end(), http::connection_use::Kept));
    }
};

// A peer with a small window that reads nothing until it is asked to.
struct stalled_peer {
    int listening = -1;
    std::uint16_t port = 0;

    stalled_peer()
    {
        listening = socket(AF_INET, SOCK_STREAM, 0);
        const int smallWindow = 1; // the kernel rounds it up
        BOOST_REQUIRE_EQUAL(setsockopt(listening, SOL_SOCKET, SO_RCVBUF, &smallWindow, sizeof smallWindow), 0);
        sockaddr_in where {};
        where.sin_family = AF_INET;
        where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof where;
        BOOST_REQUIRE_EQUAL(bind(listening, reinterpret_cast<sockaddr*>(&where), size), 0);
        BOOST_REQUIRE_EQUAL(listen(listening, 1), 0);
        BOOST_REQUIRE_EQUAL(getsockname(listening, reinterpret_cast<sockaddr*>(&where), &size), 0);
        port = ntohs(where.sin_port);
    }

    ~stalled_peer() { close(listening); }

    stalled_peer(const stalled_peer&) = delete;
    stalled_peer& operator=(const stalled_peer&) = delete;

    // Reads a connection to its end; returns the bytes that arrived.
    std::string readAll() const
    {
        const int accepted = accept(listening, nullptr, nullptr);
        BOOST_REQUIRE(accepted >= 0);
        const timeval readTimeout { 2, 0 };
        setsockopt(accepted, SOL_SOCKET, SO_RCVTIMEO, &readTimeout, sizeof readTimeout);
        std::string out;
        char buffer[4096];
        for (ssize_t count = 0; (count = recv(accepted, buffer, sizeof buffer, 0)) > 0;)
            out.append(buffer, static_cast<std::size_t>(count));
        close(accepted);
        return out;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(http_client_suite)

BOOST_AUTO_TEST_CASE(counted_idle_connections_are_those_that_the_client_reuses)
{
    const auto port = freePort();
    http::server_limits limits;
    limits.idleSeconds = 30;
    observed_client subject;
    auto listening = http::server::listen("127.0.0.1:" + std::to_string(port), limits, {}, [&subject](http::exchange_ptr one) {
        const std::lock_guard lock(subject.heldLock);
        subject.held.push_back(std::move(one));
    });
    BOOST_REQUIRE(listening);
    subject.url = "http://127.0.0.1:" + std::to_string(port);

    // Three requests at once need three connections, which four later ones reuse.
    BOOST_TEST(subject.sendTogether(3) == 0U);
    BOOST_TEST(subject.view.idle(slot, now()) == 3U);
    BOOST_TEST(subject.sendTogether(4) == 3U);
    BOOST_TEST(subject.view.idle(slot, now()) == 4U);

    // A cancelled request closes its connection.
    const auto waiting = subject.start("/");
    const auto isHeld = [&subject] {
        const std::lock_guard lock(subject.heldLock);
        return !subject.held.empty();
    };
    const auto end = now() + patience;
    while (!isHeld() && now() < end) {
        for (const auto& event : subject.client.poll(10ms))
            subject.handle(event);
    }
    subject.client.cancel(waiting);
    subject.open.erase(waiting);
    subject.view.ended(waiting, { connection_end::kind::Cancelled, {} }, now());
    subject.held.clear();
    BOOST_TEST(subject.view.idle(slot, now()) == 3U);
    BOOST_TEST(subject.sendTogether(4) == 3U);
    BOOST_TEST(subject.view.counts().of(connection_cause::Cancelled) == 1U);

    // A request that must not use a kept connection leaves its own open for others.
    subject.start("/", http::connection_reuse::Forbidden);
    subject.finishAll();
    BOOST_TEST(subject.view.idle(slot, now()) == 5U);
    BOOST_TEST(subject.sendTogether(6) == 5U);
    BOOST_TEST(subject.view.counts().of(connection_cause::ReuseForbidden) == 1U);
}

BOOST_AUTO_TEST_CASE(headers_state_whether_a_connection_stays_open_and_for_how_long)
{
    BOOST_TEST(!http::persistenceOf({}).closes);
    BOOST_TEST(!http::persistenceOf({}).idleTimeout.has_value());
    BOOST_TEST(http::persistenceOf({ { "connection", "Keep-Alive, Close" } }).closes);
    BOOST_TEST((http::persistenceOf({ { "connection", "keep-alive" }, { "keep-alive", "max=5, Timeout = 10" } }).idleTimeout == 10s));
    for (const std::string malformed : { "timeout", "timeout=", "timeout=ten", "timeout=-1", "timeout=10s", "timeout=99999999999", "timeout=4000000", "=,,=" })
        BOOST_TEST(!http::persistenceOf({ { "keep-alive", malformed } }).idleTimeout.has_value());
}

// Guards against texts that end a line of the request and begin another request.
BOOST_AUTO_TEST_CASE(a_request_with_a_line_break_in_its_head_is_not_sent)
{
    const auto port = freePort();
    std::atomic<std::size_t> received = 0;
    auto listening = http::server::listen("127.0.0.1:" + std::to_string(port), {}, {}, [&received](const http::exchange_ptr& one) {
        ++received;
        one->answer(200, {}, "");
    });
    BOOST_REQUIRE(listening);
    http::request sound;
    sound.url = "http://127.0.0.1:" + std::to_string(port) + "/";
    sound.headers = { { "X-Note", "a note: with spaces" } };
    std::vector<http::request> requests(5, sound);
    requests[1].target = "/x HTTP/1.1\r\nA: b\r\n\r\nGET /y";
    requests[2].method = "GET /y HTTP/1.1\nA:";
    requests[3].headers.emplace_back("X-More", "a\r\nTenant: rival");
    requests[4].headers.emplace_back(std::string("X-More\0", 7), "a");
    http::client client;
    for (std::size_t i = 0; i < requests.size(); ++i) {
        requests[i].id = i + 1;
        client.start(requests[i]);
    }
    std::map<std::uint64_t, http::transfer_result> ends;
    for (const auto until = now() + patience; ends.size() < requests.size() && now() < until;) {
        for (const auto& event : client.poll(20ms)) {
            if (event.what == http::event::kind::Done)
                ends[event.id] = event.outcome;
        }
    }
    BOOST_REQUIRE_EQUAL(ends.size(), requests.size());
    for (const auto& [id, outcome] : ends)
        BOOST_TEST((outcome == (id == 1 ? http::transfer_result::Complete : http::transfer_result::NotSent)), id);
    BOOST_TEST(received == 1U);
}

// Guards against a request that was given up while its path held it up, and that ran later (docs/incidents/UNASKED-HELD-UP.md).
BOOST_AUTO_TEST_CASE(a_request_that_was_given_up_does_not_arrive_later)
{
    const std::string lastBytes = "the end of the body";
    for (const bool byTimeout : { false, true }) {
        const stalled_peer peer;
        http::client client;
        http::request request;
        request.id = 1;
        request.url = "http://127.0.0.1:" + std::to_string(peer.port) + "/";
        request.method = "POST";
        request.body = std::string(10000, 'x') + lastBytes;
        if (byTimeout)
            request.totalTimeout = 200ms;
        client.start(request);
        for (const auto until = now() + 300ms; now() < until;)
            client.poll(20ms);
        client.cancel(1);
        BOOST_TEST(client.open() == 0U);
        const auto arrived = peer.readAll();
        BOOST_TEST(arrived.starts_with("POST / HTTP/1.1\r\n"));
        BOOST_TEST(!arrived.ends_with(lastBytes), (byTimeout ? "ended by its timeout" : "cancelled"));
    }
}

// Guards against a process that many fast answers fill before any of them is handled.
BOOST_AUTO_TEST_CASE(bytes_that_were_not_delivered_yet_are_bounded)
{
    constexpr std::size_t answerBytes = 1 << 20;
    constexpr std::uint64_t transfers = 64;
    constexpr std::size_t maxBytesOfOnePoll = 4 << 20;
    const auto port = freePort();
    const std::string answer(answerBytes, 'a');
    auto listening = http::server::listen("127.0.0.1:" + std::to_string(port), {}, {}, [&answer](const http::exchange_ptr& one) { one->answer(200, {}, answer); });
    BOOST_REQUIRE(listening);
    http::client client;
    for (std::uint64_t id = 1; id <= transfers; ++id) {
        http::request request;
        request.id = id;
        request.url = "http://127.0.0.1:" + std::to_string(port) + "/";
        client.start(std::move(request));
    }
    std::size_t received = 0;
    std::size_t most = 0;
    std::size_t complete = 0;
    const auto end = now() + 2 * patience;
    while (complete < transfers && now() < end) {
        std::this_thread::sleep_for(20ms); // the sockets fill
        std::size_t bytes = 0;
        for (const auto& event : client.poll(100ms)) {
            bytes += event.bytes.size();
            complete += event.what == http::event::kind::Done && event.outcome == http::transfer_result::Complete ? 1 : 0;
        }
        received += bytes;
        most = std::max(most, bytes);
    }
    BOOST_TEST(complete == transfers);
    BOOST_TEST(received == transfers * answerBytes);
    BOOST_TEST(most <= maxBytesOfOnePoll);
}

BOOST_AUTO_TEST_SUITE_END()
