// Tests that the HTTP client uses no kept connection on which bytes without a request have arrived, over real sockets.
#include "http/client.h"

#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace {

using namespace lovagerail;
using namespace std::chrono_literals;

const std::string wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// Answers requests on two connections, one after the other; sends `behind` after the first answer.
class two_connections {
public:
    explicit two_connections(std::string behind)
        : m_behind(std::move(behind))
        , m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in where {};
        where.sin_family = AF_INET;
        where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof where;
        BOOST_REQUIRE_EQUAL(bind(m_listener, reinterpret_cast<sockaddr*>(&where), size), 0);
        BOOST_REQUIRE_EQUAL(listen(m_listener, 2), 0);
        BOOST_REQUIRE_EQUAL(getsockname(m_listener, reinterpret_cast<sockaddr*>(&where), &size), 0);
        m_url = "http://127.0.0.1:" + std::to_string(ntohs(where.sin_port)) + "/";
        m_thread = std::thread([this] { run(); });
    }
    ~two_connections()
    {
        shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        close(m_listener);
    }
    two_connections(const two_connections&) = delete;
    two_connections& operator=(const two_connections&) = delete;

    const std::string& url() const { return m_url; }

private:
    // Answers requests until the client closes.
    void serve(int connection) const
    {
        char request[4096];
        bool isFirst = true;
        while (recv(connection, request, sizeof request, 0) > 0) {
            send(connection, wholeAnswer.data(), wholeAnswer.size(), MSG_NOSIGNAL);
            if (!std::exchange(isFirst, false))
                continue;
            std::this_thread::sleep_for(50ms);
            send(connection, m_behind.data(), m_behind.size(), MSG_NOSIGNAL);
        }
        close(connection);
    }
    void run() const
    {
        for (int connection = 0; (connection = accept(m_listener, nullptr, nullptr)) >= 0;)
            serve(connection);
    }

    std::string m_behind;
    int m_listener;
    std::string m_url;
    std::thread m_thread;
};

http::answer fetchWith(http::client& client, std::uint64_t id, const std::string& url)
{
    http::request request;
    request.id = id;
    request.url = url;
    request.totalTimeout = 3s;
    client.start(std::move(request));
    http::answer out;
    for (;;) {
        for (const auto& event : client.poll(20ms)) {
            out.body += event.bytes;
            if (event.what != http::event::kind::Done)
                continue;
            out.outcome = event.outcome;
            out.status = event.status;
            out.connection = event.connection;
            return out;
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(idle_connections_suite)

// Guards against bytes behind a whole answer that are taken for the answer to the next request.
BOOST_AUTO_TEST_CASE(a_connection_on_which_bytes_arrived_is_not_used_again)
{
    for (const auto& behind : { std::string(), std::string("more bytes\r\n"), std::string("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother") }) {
        const two_connections server(behind);
        http::client client;
        BOOST_TEST(fetchWith(client, 1, server.url()).body == "ok");
        std::this_thread::sleep_for(200ms);
        const auto second = fetchWith(client, 2, server.url());
        BOOST_TEST((second.outcome == http::transfer_result::Complete));
        BOOST_TEST(second.body == "ok");
        BOOST_TEST((second.connection == (behind.empty() ? http::connection_use::Kept : http::connection_use::New)));
    }
}

BOOST_AUTO_TEST_SUITE_END()
