// Tests of the shutdown of the HTTP server while requests are unanswered: it must not hang,
// and callers must see their connection closed.
#include "http/server.h"

#include <arpa/inet.h>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace {

using namespace lovagerail::http;

constexpr std::chrono::milliseconds pollInterval { 2 };
constexpr std::chrono::seconds startTimeout { 5 };

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

int connectTo(std::uint16_t port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in where {};
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    where.sin_port = htons(port);
    BOOST_REQUIRE_EQUAL(connect(descriptor, reinterpret_cast<sockaddr*>(&where), sizeof where), 0);
    return descriptor;
}

} // namespace

BOOST_AUTO_TEST_SUITE(http_server_suite)

BOOST_AUTO_TEST_CASE(shuts_down_with_unanswered_requests_and_suspended_streams)
{
    const auto port = freePort();
    std::vector<exchange_ptr> held;
    std::atomic<int> taken { 0 };
    auto listening = server::listen("127.0.0.1:" + std::to_string(port), {}, {}, [&](exchange_ptr one) {
        if (one->path == "/stream")
            one->begin(200, {});
        held.push_back(std::move(one));
        ++taken;
    });
    BOOST_REQUIRE(listening);
    std::vector<int> callers;
    for (const std::string path : { "/waits", "/stream" }) {
        callers.push_back(connectTo(port));
        const auto request = "GET " + path + " HTTP/1.1\r\nHost: localhost\r\n\r\n";
        BOOST_REQUIRE_EQUAL(send(callers.back(), request.data(), request.size(), 0), static_cast<ssize_t>(request.size()));
    }
    const auto end = std::chrono::steady_clock::now() + startTimeout;
    while (taken < 2 && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(pollInterval);
    BOOST_REQUIRE_EQUAL(taken.load(), 2);

    listening->reset();

    // Both callers see their connection closed; the held exchanges report that they are gone.
    for (const int caller : callers) {
        char byte = 0;
        ssize_t got = 1;
        while (got > 0)
            got = recv(caller, &byte, 1, 0);
        BOOST_TEST(got <= 0);
        close(caller);
    }
    for (const auto& one : held)
        BOOST_TEST(one->callerDisconnected());
}

// A server that its owner drives, whose clients are in this process.
struct driven_server {
    explicit driven_server(server_limits limits)
        : port(freePort())
    {
        limits.bodyBytes = bodyBytes;
        auto listening = server::listen(
            "127.0.0.1:" + std::to_string(port), limits, {}, [this](const exchange_ptr& one) {
                bodies.push_back(one->body.size());
                one->answer(200, {}, std::string_view("ok"));
            },
            server_threading::OwnersLoop);
        BOOST_REQUIRE(listening);
        listener = std::move(*listening);
    }

    // Runs turns until there is nothing to do, also none that has just been sent; returns their number.
    int runUntilQuiet()
    {
        int turns = 0;
        for (;;) {
            pollfd waiting { listener->descriptor(), POLLIN, 0 };
            const bool isReadable = poll(&waiting, 1, 20) > 0;
            if (!listener->run() && !isReadable)
                return turns;
            ++turns;
        }
    }

    static constexpr std::size_t bodyBytes = 4 << 20;
    std::uint16_t port;
    std::unique_ptr<server> listener;
    std::vector<std::size_t> bodies; // of the requests that were handled
};

void sendAll(int descriptor, std::string_view text)
{
    while (!text.empty()) {
        const auto sent = send(descriptor, text.data(), text.size(), MSG_NOSIGNAL);
        BOOST_REQUIRE(sent > 0);
        text.remove_prefix(static_cast<std::size_t>(sent));
    }
}

std::string received(int descriptor)
{
    std::string out(4096, '\0');
    const auto size = recv(descriptor, out.data(), out.size(), MSG_DONTWAIT);
    out.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
    return out;
}

memory_account_ptr accountOf(std::uint64_t total, std::uint64_t large)
{
    lovagerail::memory_limits limits;
    limits.total = lovagerail::byte_count(total);
    limits.ofUse.fill(limits.total);
    limits.of(lovagerail::memory_use::Large) = lovagerail::byte_count(large);
    return std::make_shared<memory_account>(limits);
}

// Guards against an owner that sleeps while bytes wait in the server, which its descriptor does not tell.
BOOST_AUTO_TEST_CASE(a_body_that_has_arrived_is_read_without_waiting)
{
    driven_server one { {} };
    const int caller = connectTo(one.port);
    std::thread sender([caller] { sendAll(caller, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4194304\r\n\r\n" + std::string(driven_server::bodyBytes, 'x')); });
    const int turns = [&one] {
        int count = 0;
        for (; one.bodies.empty() && count < 10'000; ++count) {
            pollfd waiting { one.listener->descriptor(), POLLIN, 0 };
            const bool hasWork = one.listener->run();
            if (!hasWork)
                poll(&waiting, 1, 1000);
        }
        return count;
    }();
    sender.join();
    BOOST_REQUIRE_EQUAL(one.bodies.size(), 1u);
    BOOST_TEST(one.bodies.front() == driven_server::bodyBytes);
    BOOST_TEST(turns < 10'000);
    close(caller);
}

// Guards against a loop that spins while connections are open and silent.
BOOST_AUTO_TEST_CASE(silent_connections_cause_no_turns)
{
    driven_server one { {} };
    std::vector<int> callers;
    for (const char* sent : { "", "GET /x", "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nabc", "GET /x HTTP/1.1\r\nHost: h\r\n\r\n" }) {
        callers.push_back(connectTo(one.port));
        sendAll(callers.back(), sent);
    }
    one.runUntilQuiet();
    BOOST_TEST(one.bodies.size() == 1u);
    for (int turn = 0; turn < 20; ++turn)
        BOOST_TEST(!one.listener->run());
    for (const int caller : callers)
        close(caller);
}

BOOST_AUTO_TEST_CASE(bodies_without_room_are_refused_before_they_are_read)
{
    server_limits limits;
    limits.memory = accountOf(1 << 20, 1 << 19);
    driven_server one { limits };
    const int caller = connectTo(one.port);
    sendAll(caller, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n");
    one.runUntilQuiet();
    const auto answer = received(caller);
    BOOST_TEST(answer.starts_with("HTTP/1.1 503 "));
    BOOST_TEST(answer.find("Retry-After: ") != std::string::npos);
    const int tooLarge = connectTo(one.port);
    sendAll(tooLarge, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5000000\r\n\r\n");
    one.runUntilQuiet();
    BOOST_TEST(received(tooLarge).starts_with("HTTP/1.1 413 "));
    BOOST_TEST(one.bodies.empty());
    BOOST_TEST(one.listener->pressure().overloaded == 1u);
    BOOST_TEST(one.listener->pressure().tooLarge == 1u);
    close(caller);
    close(tooLarge);
}

BOOST_AUTO_TEST_CASE(a_short_body_that_is_refused_keeps_its_connection)
{
    server_limits limits;
    limits.requests = 1;
    driven_server one { limits };
    const int first = connectTo(one.port);
    sendAll(first, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n");
    one.runUntilQuiet();
    const int second = connectTo(one.port);
    sendAll(second, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
    one.runUntilQuiet();
    BOOST_TEST(received(second).starts_with("HTTP/1.1 503 "));
    sendAll(first, "abc");
    one.runUntilQuiet();
    BOOST_TEST(received(first).starts_with("HTTP/1.1 200 "));
    sendAll(second, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
    one.runUntilQuiet();
    BOOST_TEST(received(second).starts_with("HTTP/1.1 200 "));
    close(first);
    close(second);
}

BOOST_AUTO_TEST_CASE(a_stalled_body_makes_room_for_another)
{
    server_limits limits;
    limits.memory = accountOf(2 << 20, 1 << 20);
    driven_server one { limits };
    const int stalled = connectTo(one.port);
    sendAll(stalled, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n" + std::string(800'000, 'x'));
    one.runUntilQuiet();
    const std::string second = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n";
    const int refused = connectTo(one.port);
    sendAll(refused, second);
    one.runUntilQuiet();
    BOOST_TEST(received(refused).starts_with("HTTP/1.1 503 "));
    std::this_thread::sleep_for(std::chrono::milliseconds(1200)); // longer than a body may pause
    const int served = connectTo(one.port);
    std::thread sender([served, &second] { sendAll(served, second + std::string(900'000, 'y')); });
    while (one.bodies.empty())
        one.runUntilQuiet();
    sender.join();
    one.runUntilQuiet();
    BOOST_TEST(received(served).starts_with("HTTP/1.1 200 "));
    BOOST_TEST(one.bodies.front() == 900'000u);
    for (const int caller : { stalled, refused, served })
        close(caller);
}

BOOST_AUTO_TEST_CASE(idle_connections_make_room_for_new_ones)
{
    server_limits limits;
    limits.connections = 32;
    driven_server one { limits };
    std::vector<int> idle;
    for (int count = 0; count < 60; ++count) {
        idle.push_back(connectTo(one.port));
        one.runUntilQuiet();
    }
    BOOST_TEST(one.listener->openConnections() <= 32u);
    const int caller = connectTo(one.port);
    sendAll(caller, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    one.runUntilQuiet();
    BOOST_TEST(received(caller).starts_with("HTTP/1.1 200 "));
    close(caller);
    for (const int descriptor : idle)
        close(descriptor);
}

BOOST_AUTO_TEST_SUITE_END()
