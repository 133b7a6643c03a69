// Tests what the HTTP client says of answers that end at each of their bytes, over real sockets.
#include "http/client.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <initializer_list>
#include <netinet/in.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace {

using namespace lovagerail;

// Answers one request with these bytes and closes the connection in order.
class one_answer {
public:
    explicit one_answer(std::string bytes)
        : m_bytes(std::move(bytes))
        , m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in where {};
        where.sin_family = AF_INET;
        where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof where;
        BOOST_REQUIRE_EQUAL(bind(m_listener, reinterpret_cast<sockaddr*>(&where), size), 0);
        BOOST_REQUIRE_EQUAL(listen(m_listener, 1), 0);
        BOOST_REQUIRE_EQUAL(getsockname(m_listener, reinterpret_cast<sockaddr*>(&where), &size), 0);
        m_url = "http://127.0.0.1:" + std::to_string(ntohs(where.sin_port)) + "/";
        m_thread = std::thread([this] { run(); });
    }
    ~one_answer()
    {
        m_thread.join();
        close(m_listener);
    }
    http::answer fetch() const
    {
        http::request request;
        request.url = m_url;
        return http::fetch(std::move(request));
    }

private:
    void run() const
    {
        const int connection = accept(m_listener, nullptr, nullptr);
        char request[4096];
        if (recv(connection, request, sizeof request, 0) > 0)
            send(connection, m_bytes.data(), m_bytes.size(), MSG_NOSIGNAL);
        close(connection);
    }

    std::string m_bytes;
    int m_listener;
    std::string m_url;
    std::thread m_thread;
};

http::transfer_result outcomeOf(const std::string& bytes) { return one_answer(bytes).fetch().outcome; }

const std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nServer-Stamp: s\r\n";

http::transfer_result outcomeBehindHead(std::initializer_list<std::string_view> parts)
{
    std::string bytes = head;
    for (const auto part : parts)
        bytes += part;
    return outcomeOf(bytes);
}

} // namespace

BOOST_AUTO_TEST_SUITE(answer_framing_suite)

BOOST_AUTO_TEST_CASE(no_part_of_a_framed_answer_is_complete)
{
    const std::string withLength = head + "Content-Length: 10\r\n\r\n0123456789";
    const std::string withChunks = head + "Transfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n5\r\n56789\r\n0\r\n\r\n";
    for (const auto& whole : { withLength, withChunks }) {
        // libcurl does not wait for the last byte behind the last chunk.
        const auto sufficient = whole.size() - (whole == withChunks ? 1 : 0);
        for (std::size_t length = 0; length < sufficient; ++length) {
            const auto outcome = outcomeOf(whole.substr(0, length));
            BOOST_TEST((outcome == http::transfer_result::NoAnswer || outcome == http::transfer_result::Truncated), "ended after " << length << " of " << whole.size() << " bytes");
        }
        BOOST_TEST((outcomeOf(whole) == http::transfer_result::Complete));
    }
}

BOOST_AUTO_TEST_CASE(an_answer_that_ends_with_its_connection_is_unproven)
{
    const std::string whole = head + "Connection: close\r\n\r\n0123456789";
    const auto headSize = whole.size() - 10;
    for (std::size_t length = 0; length <= whole.size(); ++length) {
        const auto outcome = outcomeOf(whole.substr(0, length));
        const bool isBroken = outcome == http::transfer_result::NoAnswer || outcome == http::transfer_result::Truncated;
        BOOST_TEST((length < headSize ? isBroken : outcome == http::transfer_result::Unproven), "ended after " << length << " bytes");
    }
}

// Guards against answers of a status or a protocol that does not exist, which reached callers as answers.
BOOST_AUTO_TEST_CASE(an_answer_without_a_sound_status_line_is_none)
{
    const std::string rest = "\r\nAttempt-Id: a\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nok";
    for (const std::string line : { "HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 200OK", "HTTP/1.1  200 OK",
             "HTTP/1.1\t200 OK", "HTTP/1.1 101 Switching Protocols", "HTTP/1.2 200 OK", "HTTP/2 200 OK", "HTTP/2", "HTTP/3 200 OK", "HTTP/1 200 OK", "http/1.1 200 OK", "HTTP/1.1 ", "ICY 200 OK" }) {
        const auto answer = one_answer(line + rest).fetch();
        BOOST_TEST((answer.outcome == http::transfer_result::NoAnswer || answer.outcome == http::transfer_result::Truncated), line);
        BOOST_TEST(answer.status == 0, line);
    }
    for (const std::string line : { "HTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.0 200 OK", "HTTP/1.1 599 Odd", "HTTP/1.1 299 Odd" })
        BOOST_TEST((outcomeOf(line + rest) == http::transfer_result::Complete), line);
    // Behind an interim answer, too.
    BOOST_TEST((outcomeOf("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 600 OK" + rest) == http::transfer_result::Truncated));
}

BOOST_AUTO_TEST_CASE(a_head_with_a_line_that_is_no_field_is_broken)
{
    const std::string rest = "Content-Length: 2\r\n\r\nok";
    for (const std::string line : { "no field", "HTTP/1.1 200 OK", ": no name", "a b: c", " folded: x", "\tfolded", "A: b\rC: d" })
        BOOST_TEST((outcomeBehindHead({ line, "\r\n", rest }) == http::transfer_result::Truncated), line);
}

BOOST_AUTO_TEST_CASE(an_answer_with_contradictory_lengths_is_broken)
{
    BOOST_TEST((outcomeOf(head + "Content-Length: 10\r\nContent-Length: 4\r\n\r\n0123456789") == http::transfer_result::Truncated));
    BOOST_TEST((outcomeOf(head + "Content-Length: 10\r\nContent-Length: 10\r\n\r\n0123456789") == http::transfer_result::Complete));
}

BOOST_AUTO_TEST_CASE(an_interim_answer_proves_nothing)
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    BOOST_TEST((outcomeOf(interim + head) != http::transfer_result::Complete));
    BOOST_TEST((outcomeOf(interim + head + "Content-Length: 2\r\n\r\nok") == http::transfer_result::Complete));
    BOOST_TEST((outcomeOf("HTTP/1.1 204 No Content\r\nAttempt-Id: a\r\n\r\n") == http::transfer_result::Complete));
}

BOOST_AUTO_TEST_CASE(an_interim_answer_alone_is_never_complete)
{
    const std::string whole = head + "Content-Length: 2\r\n\r\nok";
    for (const std::string interim : { "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nAttempt-Id: a\r\nServer-Stamp: s\r\n\r\n", "HTTP/1.1 101 Switching Protocols\r\nAttempt-Id: a\r\n\r\n" }) {
        for (std::size_t length = 0; length < whole.size(); ++length) {
            const auto outcome = outcomeOf(interim + whole.substr(0, length));
            BOOST_TEST((outcome == http::transfer_result::NoAnswer || outcome == http::transfer_result::Truncated), interim << length << " bytes behind: " << static_cast<int>(outcome));
        }
    }
}

BOOST_AUTO_TEST_CASE(a_length_that_the_body_is_not_read_by_proves_nothing)
{
    const std::string part = "01234";
    for (const std::string lines : { "Transfer-Encoding: identity\r\nContent-Length: 10\r\n", "Content-Length: 10\r\nTransfer-Encoding: identity\r\n", "Content-Length: 99999999999999999999\r\n",
             "Content-Length : 10\r\n", "Content-Length: 5, 10\r\n", "Content-Length: 5x\r\n", "Content-Length: +5\r\n", "Content-Length: -5\r\n", "Content-Length: 0x5\r\n", "Content-Length:\r\n 10\r\n", "Content-Length:\r\n",
             "Content-Length: 10\r\n \r\n", "Transfer-Encoding: identity\r\n" }) {
        for (const auto& body : { part, std::string() }) {
            const auto outcome = outcomeBehindHead({ lines, "Connection: close\r\n\r\n", body });
            BOOST_TEST((outcome != http::transfer_result::Complete), lines << body);
        }
        BOOST_TEST((outcomeOf(head + lines) != http::transfer_result::Complete), lines << "alone");
    }
}

BOOST_AUTO_TEST_CASE(an_encoding_that_is_not_chunks_has_no_last_chunk)
{
    for (const std::string encoding : { "xchunked", "chunkedx", "gzip", "\"chunked\"", "chunked;q=1", "chunked, gzip" }) {
        for (const std::string name : { "Transfer-Encoding", "Transfer-Encoding " }) {
            for (const std::string body : { "", "01234", "5\r\n01234\r\n", "5\r\n01234\r\n0\r\n" }) {
                const auto outcome = outcomeBehindHead({ name, ": ", encoding, "\r\n\r\n", body });
                BOOST_TEST((outcome != http::transfer_result::Complete), name << ": " << encoding << ", " << body);
            }
        }
    }
    for (const std::string body : { "", "01234", "5\r\n01234\r\n", "5\r\n01234\r\n0\r\n" }) {
        BOOST_TEST((outcomeBehindHead({ "Transfer-Encoding : chunked\r\n\r\n", body }) != http::transfer_result::Complete), body);
        BOOST_TEST((outcomeBehindHead({ "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", body }) != http::transfer_result::Complete), "both, " << body);
        BOOST_TEST((outcomeBehindHead({ "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n", body }) != http::transfer_result::Complete), "both, " << body);
        BOOST_TEST((outcomeBehindHead({ "Transfer-Encoding: Chunked\r\n\r\n", body }) != http::transfer_result::Complete), body);
    }
    BOOST_TEST((outcomeOf(head + "transfer-encoding: Chunked\r\n\r\n5;a=\"b\"\r\n01234\r\n0\r\nTrailer: t\r\n\r\n") == http::transfer_result::Complete));
    BOOST_TEST((outcomeOf(head + "Transfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n0\r\nTrailer: t\r\n") != http::transfer_result::Complete), "within the trailers");
}

BOOST_AUTO_TEST_CASE(a_status_without_a_body_ends_with_its_head)
{
    for (const std::string status : { "204 No Content", "304 Not Modified" })
        BOOST_TEST((outcomeOf("HTTP/1.1 " + status + "\r\nAttempt-Id: a\r\nContent-Length: 10\r\n\r\n01") == http::transfer_result::Complete), status);
    for (const std::string status : { "205 Reset Content", "201 Created" }) {
        BOOST_TEST((outcomeOf("HTTP/1.1 " + status + "\r\nAttempt-Id: a\r\n\r\n") == http::transfer_result::Unproven), status);
        BOOST_TEST((outcomeOf("HTTP/1.0 " + status + "\r\nAttempt-Id: a\r\nConnection: keep-alive\r\n\r\n") == http::transfer_result::Unproven), status);
    }
}

BOOST_AUTO_TEST_SUITE_END()
