// Tests of relayed requests: what arrives at the target is what was to be sent to it, and an answer
// that no relay wrote counts as not sent.
#include "edge/relay_codec.h"
#include "property.h"

#include <algorithm>
#include <memory>

namespace lovagerail::edge {
namespace {

    // The exchange as the relay's server would see this call.
    http::exchange_ptr received(const http::request& call)
    {
        auto out = std::make_shared<http::exchange>(0);
        out->method = call.method;
        out->path = "/relay";
        out->headers = call.headers;
        out->headers.emplace_back("content-length", std::to_string(call.body.size()));
        out->headers.emplace_back("connection", "keep-alive");
        out->body.append(call.content());
        return out;
    }

    http::request sample()
    {
        http::request out;
        out.method = "PUT";
        out.url = "http://10.0.0.1:80/";
        out.target = "/a%20b?x=1&lovagerail-path=2";
        out.headers = { { "host", "shop.example" }, { "x-own", "one" }, { "x-own", "two" } };
        out.body = std::string("b\0d\r\ny", 6);
        out.reuse = http::connection_reuse::Forbidden;
        return out;
    }

} // namespace

BOOST_AUTO_TEST_SUITE(relay_codec_suite)

BOOST_AUTO_TEST_CASE(a_relayed_request_arrives_unchanged)
{
    const auto original = sample();
    const auto decoded = decodeRelayedCall(received(encodeRelayedCall(original, target_id("t"), incarnation(7), "10.0.0.2:81")));
    BOOST_REQUIRE(decoded);
    BOOST_TEST(decoded->target == target_id("t"));
    BOOST_TEST(decoded->targetIncarnation == incarnation(7));
    BOOST_TEST(decoded->request.method == original.method);
    BOOST_TEST(decoded->request.target == original.target);
    BOOST_TEST(decoded->request.content() == original.body);
    BOOST_TEST((decoded->request.reuse == original.reuse));
    BOOST_TEST((decoded->request.headers == original.headers));
}

BOOST_AUTO_TEST_CASE(a_call_that_lacks_a_part_is_refused)
{
    const auto call = encodeRelayedCall(sample(), target_id("t"), incarnation(7), "10.0.0.2:81");
    for (const std::string name : { "lovagerail-target", "lovagerail-incarnation", "lovagerail-method", "lovagerail-path" }) {
        const auto exchange = received(call);
        std::erase_if(exchange->headers, [&name](const auto& header) { return header.first == name; });
        BOOST_TEST(!decodeRelayedCall(exchange));
        exchange->headers.emplace_back("lovagerail-incarnation", "7x");
        BOOST_TEST(!decodeRelayedCall(exchange));
    }
}

BOOST_AUTO_TEST_CASE(a_method_or_path_that_could_split_the_request_is_refused)
{
    auto original = sample();
    for (const std::string method : { "G T", "GET / HTTP/1.1\r\nx", "G\tT" }) {
        original.method = method;
        BOOST_TEST(!decodeRelayedCall(received(encodeRelayedCall(original, target_id("t"), incarnation(7), "10.0.0.2:81"))));
    }
    original.method = "GET";
    original.target = "x";
    BOOST_TEST(!decodeRelayedCall(received(encodeRelayedCall(original, target_id("t"), incarnation(7), "10.0.0.2:81"))));
}

BOOST_AUTO_TEST_CASE(generated_headers_are_never_taken_for_a_number_or_an_outcome)
{
    test::checkProperty("generated headers are never taken for a number or an outcome", [](const std::string& text) {
        auto call = encodeRelayedCall(sample(), target_id("t"), incarnation(7), "10.0.0.2:81");
        for (auto& [name, value] : call.headers) {
            if (name == "lovagerail-incarnation")
                value = text;
        }
        const auto decoded = decodeRelayedCall(received(call));
        const bool isNumber = !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
        RC_ASSERT(!decoded || isNumber);
        http::header_list headers { { "lovagerail-relay", text } };
        const auto isOne = [&text](std::string_view name) { return text == name; };
        const auto expected = isOne("answered") ? relay_outcome::Answered : isOne("path-broken") ? relay_outcome::PathBroken
            : isOne("not-relayed") || text.empty()                                               ? relay_outcome::NotRelayed
                                                                                                 : relay_outcome::Silent;
        RC_ASSERT(takeRelayHead(headers).outcome == expected);
    });
}

BOOST_AUTO_TEST_CASE(the_outcome_is_no_part_of_the_answer)
{
    for (const auto outcome : { relay_outcome::NotRelayed, relay_outcome::PathBroken, relay_outcome::Silent, relay_outcome::Answered }) {
        http::header_list headers { { "x-own", "one" }, { "transfer-encoding", "chunked" } };
        setRelayOutcome(headers, outcome);
        const auto head = takeRelayHead(headers);
        BOOST_TEST((head.outcome == outcome && head.isEndUnproven == (outcome == relay_outcome::Answered)));
        BOOST_TEST((headers == http::header_list { { "x-own", "one" } }));
    }
    http::header_list foreign { { "x-own", "one" } };
    BOOST_TEST((takeRelayHead(foreign).outcome == relay_outcome::NotRelayed));
}

BOOST_AUTO_TEST_CASE(a_relay_says_that_the_targets_answer_ends_with_its_connection)
{
    for (const auto framing : { http::answer_framing::Length, http::answer_framing::Chunks, http::answer_framing::Close }) {
        http::header_list headers { { "x-own", "one" } };
        setRelayOutcome(headers, relay_outcome::Answered, framing);
        BOOST_TEST((takeRelayHead(headers).isEndUnproven == (framing == http::answer_framing::Close)));
        BOOST_TEST((headers == http::header_list { { "x-own", "one" } }));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail::edge
