// Tests of the shutdown of the HTTP server while requests are unanswered: it must not hang,
// and callers must see their connection closed.
#include "http/server.h"

#include <arpa/inet.h>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
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

BOOST_AUTO_TEST_SUITE_END()
