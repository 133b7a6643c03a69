// Tests of the guarded sending of orders: a real process that is stopped between its check
// and its send sends nothing after its authority has expired; the order thread reports
// whether an order was answered, cut off by the expiry, or never sent.
#include "http/server.h"
#include "property.h"
#include "provider/order_thread.h"

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace lovagerail {
namespace {

    using namespace std::chrono_literals;

    constexpr auto authorityTime = 20ms;
    constexpr auto stopTime = 30ms;

    instant clockNow() { return instant(std::chrono::steady_clock::now().time_since_epoch()); }

    // What the child process does in a loop: gets an authority, checks it, waits a moment,
    // sends. With the guard the socket is shut down once the authority has expired.
    [[noreturn]] void sendInLoop(int socket, bool guarded)
    {
        auto guard = order_guard::make();
        if (!guard)
            _exit(1);
        for (;;) {
            const auto until = clockNow() + authorityTime;
            if (guarded && (!(*guard)->arm(until) || !(*guard)->registerSocket(socket)))
                continue;
            for (auto now = clockNow(); clockNow() < now + 2ms;) { }
            if (clockNow() < until) {
                // Widens the window between the check and the send.
                for (auto now = clockNow(); clockNow() < now + 2ms;) { }
                const auto text = until.time_since_epoch().count();
                if (send(socket, &text, sizeof text, MSG_NOSIGNAL) != sizeof text)
                    _exit(0);
            }
            if (guarded)
                (*guard)->disarm();
        }
    }

    // Counts orders that were sent although their authority had expired before the process was
    // continued. Each round has a new process, as a guarded one loses its socket.
    std::size_t lateSends(bool guarded, int rounds)
    {
        std::size_t late = 0;
        int skippedRounds = 0;
        for (int round = 0; round < rounds; ++round) {
            int sockets[2] = {};
            BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_SEQPACKET, 0, sockets) == 0);
            const pid_t child = fork();
            if (child == 0)
                sendInLoop(sockets[1], guarded);
            close(sockets[1]);
            std::int64_t until = 0;
            // On a busy machine the authority may expire before the first send. The guard then
            // rightly shuts down the socket, and the round is repeated.
            if (recv(sockets[0], &until, sizeof until, 0) != sizeof until) {
                kill(child, SIGKILL);
                waitpid(child, nullptr, 0);
                close(sockets[0]);
                BOOST_REQUIRE(++skippedRounds < 20 * rounds);
                --round;
                continue;
            }
            std::this_thread::sleep_for(std::chrono::microseconds(613 * (round % 13)));

            // Step 1. Stop the process and read what it has sent so far.
            kill(child, SIGSTOP);
            int status = 0;
            BOOST_REQUIRE(waitpid(child, &status, WUNTRACED) == child && WIFSTOPPED(status));
            while (recv(sockets[0], &until, sizeof until, MSG_DONTWAIT) == sizeof until) { }

            // Step 2. Continue it after its authority has expired. Its next message belongs to
            // the authority that it had when it was stopped (a late send) or to a new one.
            std::this_thread::sleep_for(stopTime);
            const auto continuedAt = clockNow();
            kill(child, SIGCONT);
            if (recv(sockets[0], &until, sizeof until, 0) == sizeof until && instant(duration(until)) < continuedAt)
                ++late;
            kill(child, SIGKILL);
            waitpid(child, &status, 0);
            close(sockets[0]);
        }
        return late;
    }

    struct fake_platform {
        std::atomic<int> orders { 0 };
        std::atomic<bool> answers { true };
        std::string address;
        std::unique_ptr<http::server> server;

        fake_platform()
        {
            for (int port = 33000; !server && port < 33200; ++port) {
                address = "127.0.0.1:" + std::to_string(port);
                auto made = http::server::listen(address, {}, {}, [this](const http::exchange_ptr& exchange) {
                    ++orders;
                    if (answers)
                        exchange->answer(200, {}, exchange->body.view());
                });
                if (made)
                    server = std::move(*made);
            }
        }
    };

    provider::order_reply sendOne(provider::order_thread& orders, wakeup& owner, const std::string& address, duration authority)
    {
        provider::order_reply reply;
        BOOST_REQUIRE(orders.send({ 7, "http://" + address + "/orders", "{}", clockNow() + authority }));
        for (int i = 0; i < 400 && !orders.tryPop(reply); ++i)
            owner.wait(10ms);
        BOOST_REQUIRE(reply.id == 7u);
        return reply;
    }

} // namespace

BOOST_AUTO_TEST_SUITE(order_thread_suite)

// Runs the same rounds without and with the guard: the first shows that the test detects
// late sends, the second that the guard prevents them.
BOOST_AUTO_TEST_CASE(stopped_process_sends_nothing_after_its_authority_expired)
{
    constexpr int rounds = 60;
    const auto without = lateSends(false, rounds);
    const auto with = lateSends(true, rounds);
    BOOST_TEST_MESSAGE("late sends in " << rounds << " rounds: " << without << " without the guard, " << with << " with it");
    BOOST_CHECK_GT(without, 5u);
    BOOST_CHECK_EQUAL(with, 0u);
}

BOOST_AUTO_TEST_CASE(guard_refuses_once_the_authority_expired)
{
    auto guard = order_guard::make();
    BOOST_REQUIRE(guard);
    BOOST_TEST(!(*guard)->arm(clockNow() - 1ms));
    BOOST_TEST((*guard)->arm(clockNow() + 10ms));
    std::this_thread::sleep_for(20ms);
    BOOST_TEST((*guard)->isExpired());
    int sockets[2] = {};
    BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, sockets) == 0);
    BOOST_TEST(!(*guard)->registerSocket(sockets[0]));
    BOOST_TEST(send(sockets[0], "x", 1, MSG_NOSIGNAL) < 0);
    // Once armed again, the guard accepts new sockets.
    BOOST_TEST((*guard)->arm(clockNow() + 10s));
    BOOST_TEST((*guard)->registerSocket(sockets[1]));
    (*guard)->disarm();
    close(sockets[0]);
    close(sockets[1]);
}

BOOST_AUTO_TEST_CASE(thread_reports_whether_an_order_was_sent)
{
    fake_platform platform;
    BOOST_REQUIRE(platform.server);
    wakeup owner;
    provider::order_thread orders(4, owner);

    const auto done = sendOne(orders, owner, platform.address, 5s);
    BOOST_TEST((done.answer.outcome == http::transfer_result::Complete && done.answer.status == 200 && !done.authorityExpired));

    const auto late = sendOne(orders, owner, platform.address, -1ms);
    BOOST_TEST((late.answer.outcome == http::transfer_result::NotSent && late.authorityExpired));
    BOOST_TEST(platform.orders == 1);

    // The order is sent, and the authority expires while the answer is awaited.
    platform.answers = false;
    const auto cut = sendOne(orders, owner, platform.address, 200ms);
    BOOST_TEST((cut.answer.outcome != http::transfer_result::Complete && cut.authorityExpired));
    BOOST_TEST(platform.orders == 2);

    // No listener at this address.
    const auto refused = sendOne(orders, owner, "127.0.0.1:9", 1s);
    BOOST_TEST((refused.answer.outcome == http::transfer_result::NotSent && !refused.authorityExpired));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
