// Test of the HTTP server: it can be stopped while a request waits for its answer.
#include "http/server.h"

#include <arpa/inet.h>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <fcntl.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace lovagerail {
namespace {

    int connectTo(std::uint16_t port)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        BOOST_REQUIRE_EQUAL(connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
        return descriptor;
    }

} // namespace

BOOST_AUTO_TEST_SUITE(server_suite)

BOOST_AUTO_TEST_CASE(shutdown_closes_the_connection_of_a_waiting_request)
{
    std::atomic<int> waiting { 0 };
    http::exchange_ptr kept;
    std::unique_ptr<http::server> server;
    std::uint16_t port = 38211;
    for (; port < 38300 && !server; ++port) {
        auto made = http::server::listen("127.0.0.1:" + std::to_string(port), {}, {}, [&](http::exchange_ptr exchange) {
            kept = std::move(exchange);
            ++waiting;
        });
        if (made)
            server = std::move(*made);
    }
    BOOST_REQUIRE(server);
    const int descriptor = connectTo(static_cast<std::uint16_t>(port - 1));
    const std::string request = "GET /never HTTP/1.1\r\nHost: a\r\n\r\n";
    BOOST_REQUIRE_EQUAL(send(descriptor, request.data(), request.size(), 0), static_cast<ssize_t>(request.size()));
    while (waiting == 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    // Long enough for the server to suspend the connection.
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    server.reset();
    BOOST_TEST(kept->callerDisconnected());
    close(descriptor);
}

// A descriptor that is closed twice may be another thread's by then.
BOOST_AUTO_TEST_CASE(shutdown_closes_no_descriptor_of_another_thread)
{
    constexpr int rounds = 400;
    std::atomic<bool> ended { false };
    std::atomic<int> closedByOthers { 0 };
    std::vector<std::thread> openers;
    constexpr int openerCount = 4;
    openers.reserve(openerCount);
    for (int i = 0; i < openerCount; ++i) {
        openers.emplace_back([&] {
            while (!ended) {
                const int own = open("/dev/null", O_RDONLY | O_CLOEXEC);
                std::this_thread::yield();
                closedByOthers += close(own) != 0 ? 1 : 0;
            }
        });
    }
    for (int round = 0; round < rounds; ++round) {
        auto server = http::server::listen("127.0.0.1:0", {}, {}, [](const http::exchange_ptr&) {});
        BOOST_REQUIRE(server);
        if (round % 2 == 0)
            (*server)->stopListening();
    }
    ended = true;
    for (auto& opener : openers)
        opener.join();
    BOOST_TEST(closedByOthers == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
