// Tests of the codecs for the platform: valid and malformed input of its peers, and headers
// that must never be forwarded.
#include "platform/batch_codec.h"
#include "platform/desired_state.h"
#include "platform/duty_codec.h"
#include "platform/headers.h"
#include "platform/store_codec.h"

#include "property.h"

#include <algorithm>

namespace lovagerail {
namespace {

    using http::header_list;

    bool has(const header_list& headers, std::string_view name)
    {
        return std::any_of(headers.begin(), headers.end(), [name](const auto& one) {
            return std::equal(one.first.begin(), one.first.end(), name.begin(), name.end(), [](char a, char b) { return std::tolower(a) == std::tolower(b); });
        });
    }

    std::string valueOf(const header_list& headers, std::string_view name)
    {
        for (const auto& [key, value] : headers) {
            if (key == name)
                return value;
        }
        return {};
    }

    http::answer answered(int status, std::string body, http::transfer_result outcome = http::transfer_result::Complete)
    {
        return { outcome, status, {}, std::move(body), {} };
    }

} // namespace

BOOST_AUTO_TEST_SUITE(platform_suite)

BOOST_AUTO_TEST_CASE(a_limit_that_is_no_rate_is_not_taken_for_none)
{
    const auto stated = [](const char* text) { return platform::decodeTargetHead(200, { { "server-limit", text } }); };
    BOOST_TEST(*stated("12.5").requestLimit == 12.5);
    BOOST_TEST(*stated(" 0 ").requestLimit == 0);
    for (const auto* text : { "-1", "nan", "inf", "many", "3;4", "1e999" }) {
        BOOST_TEST(!stated(text).requestLimit);
        BOOST_TEST(stated(text).malformedLimit);
    }
    const auto none = platform::decodeTargetHead(200, {});
    BOOST_TEST(!none.requestLimit);
    BOOST_TEST(!none.malformedLimit);
}

// Neither the key nor hop-by-hop headers are forwarded, and a caller can't choose the account
// that the target sees.
BOOST_AUTO_TEST_CASE(callers_headers_are_filtered)
{
    const header_list sent { { "host", "h.example" }, { "credential", "secret" }, { "tenant", "forged" }, { "connection", "close, x-hop" }, { "x-hop", "1" },
        { "transfer-encoding", "chunked" }, { "x-kept", "2" }, { "attempt-id", "a1" }, { "resumes", "a0" }, { "deadline-ms", "1500" }, { "target-instance", "forged" } };
    const auto caller = platform::decodeCaller(sent);
    BOOST_TEST(caller.key == "secret");
    BOOST_TEST(caller.id.str() == "a1");
    BOOST_TEST(caller.resumes.str() == "a0");
    BOOST_TEST(caller.deadline->count() == 1500);
    platform::target_call call;
    call.id = caller.id;
    call.host = caller.host;
    call.target = target_id("i-1");
    call.account = client_account_id("acme");
    call.forwarded = caller.forwarded;
    const auto out = platform::encodeTargetCall(call);
    for (const auto* name : { "Credential", "connection", "x-hop", "transfer-encoding" })
        BOOST_TEST(!has(out, name));
    BOOST_TEST(valueOf(out, "Tenant") == "acme");
    BOOST_TEST(valueOf(out, "Target-Instance") == "i-1");
    BOOST_TEST(valueOf(out, "x-kept") == "2");
    BOOST_TEST(std::count_if(out.begin(), out.end(), [](const auto& one) { return one.first == "Tenant" || one.first == "tenant"; }) == 1);
}

// Guards against a caller that chooses its items' priority where we set it, and against a header
// that is sent or removed where priorities don't differ.
BOOST_AUTO_TEST_CASE(the_priority_replaces_the_callers_where_it_is_set)
{
    platform::target_call call;
    call.forwarded = { { "request-priority", "0" } };
    BOOST_TEST(valueOf(platform::encodeTargetCall(call), "request-priority") == "0");
    call.priority = 12;
    const auto out = platform::encodeTargetCall(call);
    BOOST_TEST(std::count_if(out.begin(), out.end(), [](const auto& one) { return one.first == "Request-Priority" || one.first == "request-priority"; }) == 1);
    BOOST_TEST(valueOf(out, "Request-Priority") == "9");
}

// Guards against priorities that are sent where all requests of a service have the same, and an
// account's priority that is ignored.
BOOST_AUTO_TEST_CASE(priorities_are_of_accounts_before_routes)
{
    site_config site;
    site.routes.resize(3);
    for (auto& route : site.routes)
        route.services = { { service_id("engines"), 1 } };
    site.routes[2].services = { { service_id("plain"), 1 } };
    site.routes[2].priority = 3;
    BOOST_TEST(!site.prioritiesDiffer(service_id("engines")));
    site.routes[1].priority = 1;
    BOOST_TEST(site.prioritiesDiffer(service_id("engines")));
    BOOST_TEST(!site.prioritiesDiffer(service_id("plain")));
    site.accounts[client_account_id("a")].priority = 2;
    BOOST_TEST(site.priorityOf(site.routes[1], client_account_id("a")) == 2);
    BOOST_TEST(site.priorityOf(site.routes[1], client_account_id("b")) == 1);
    BOOST_TEST(site.prioritiesDiffer(service_id("plain")));
}

BOOST_AUTO_TEST_CASE(not_run_is_read_from_its_header_or_status_421)
{
    BOOST_TEST(platform::decodeTargetHead(503, { { "not-executed", "1" } }).notRun);
    BOOST_TEST(!platform::decodeTargetHead(503, {}).notRun);
    BOOST_TEST(platform::decodeTargetHead(421, {}).notRun);
    const auto head = platform::decodeTargetHead(200, { { "server-load", "3,0,8" }, { "weight-versions", "7" }, { "server-stamp", "s" } });
    BOOST_REQUIRE(head.load.has_value());
    BOOST_TEST(head.load->slots == 8u);
    BOOST_TEST(head.version->value() == 7u);
    BOOST_TEST(head.proof == "s");
}

// The three counts must be read whatever stands behind them; a slowdown that can't be read is reported
// and not guessed.
BOOST_AUTO_TEST_CASE(the_load_has_three_numbers_or_a_fourth)
{
    const auto decode = [](const std::string& text) { return platform::decodeTargetHead(200, { { "server-load", text } }); };
    BOOST_REQUIRE(decode("3,1,8").load.has_value());
    BOOST_TEST(!decode("3,1,8").load->slowdown.has_value());
    BOOST_TEST(!decode("3,1,8").malformedSlowdown);
    for (const std::string text : { "3, 1, 8, 250", "3,1,8,250,7" }) {
        const auto head = decode(text);
        BOOST_REQUIRE(head.load.has_value());
        BOOST_TEST(head.load->waiting == 1u);
        BOOST_TEST(head.load->slots == 8u);
        BOOST_REQUIRE(head.load->slowdown.has_value());
        BOOST_TEST(*head.load->slowdown == 2.5);
    }
    for (const std::string text : { "3,1,8,x", "3,1,8,-50", "3,1,8,0", "3,1,8,1e999", "3,1,8,nan", "3,1,8,inf" }) {
        const auto head = decode(text);
        BOOST_REQUIRE(head.load.has_value());
        BOOST_TEST(head.load->running == 3u);
        BOOST_TEST(!head.load->slowdown.has_value());
        BOOST_TEST(head.malformedSlowdown);
    }
    for (const std::string text : { "", "3,1", "x,1,8,100", "3,x,8,100", "3,1,-8,100" })
        BOOST_TEST(!decode(text).load.has_value());
}

BOOST_AUTO_TEST_CASE(a_target_states_in_any_answer_that_it_leaves)
{
    for (const int status : { 200, 202, 409, 500, 503 }) {
        BOOST_TEST(platform::decodeTargetHead(status, { { "server-leaving", "1" } }).leaving);
        BOOST_TEST(!platform::decodeTargetHead(status, {}).leaving);
    }
    // The answer 421 comes from another target at this address.
    BOOST_TEST(!platform::decodeTargetHead(421, { { "server-leaving", "1" } }).leaving);
}

// Entries that lack required fields or have invalid ones are ignored; valid ones are decoded.
BOOST_AUTO_TEST_CASE(entries_of_other_writers_are_not_targets)
{
    const std::string good = R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":8,"state":"draining","sequence":3,"born":17,"models":[{"name":"m","version":4}]})";
    const auto target = platform::decodeTarget("servers/i-1", good, revision(5));
    BOOST_REQUIRE(target.has_value());
    BOOST_TEST((target->listed.state == target_state::Leaving));
    BOOST_TEST(target->listed.incarnation.value() == 17u);
    BOOST_TEST(target->listed.labels.at("version:m") == "4");
    for (const std::string bad : { R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"odd"})", R"({"service":7,"address":"10.0.0.1:80","zone":"z","state":"ready"})",
             R"({"service":"s","zone":"z","state":"ready"})", "\x01\x02", "[]", "" })
        BOOST_TEST(!platform::decodeTarget("servers/i-2", bad, revision(5)).has_value());
}

BOOST_AUTO_TEST_CASE(entries_with_an_unusable_address_id_or_number_are_not_targets)
{
    const auto decode = [](const std::string& key, const std::string& address, const std::string& more = "") {
        return platform::decodeTarget(key, R"({"service":"s","address":")" + address + R"(","zone":"z","state":"ready")" + more + "}", revision(5));
    };
    for (const std::string address : { "10.0.0.1:1", "10.0.0.1:65535", "[::1]:80" })
        BOOST_TEST(decode("servers/i-1", address).has_value(), address);
    for (const std::string address : { "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:080", "10.0.0.1:65536", "10.0.0.1:99999999999", "10.0.0.1:-1", "10.0.0.1:8x", "10.0.0.1:80/x", "10.0.0.1:80\\r\\nx: y",
             " 10.0.0.1:80", "10.0.0.1 :80", "x@10.0.0.1:80", "256.0.0.1:80", "name:80", "::1:80", "[::1:80", "[]:80", "10.0.0.1\\u0000:80", ":80" })
        BOOST_TEST(!decode("servers/i-1", address).has_value(), address);
    for (const std::string key : { "servers/", "servers/a b", "servers/a\r\nb", "servers/\xff", "servers/\x7f" })
        BOOST_TEST(!decode(key, "10.0.0.1:80").has_value(), key);
    for (const std::string more : { R"("slots":4294967295)", R"("born":18446744073709551615)", R"("coldRemainingMs":0.5)", R"("models":[{"name":"m"}])" })
        BOOST_TEST(decode("servers/i-1", "10.0.0.1:80", "," + more).has_value(), more);
    for (const std::string more : { R"("slots":4294967296)", R"("slots":-1)", R"("born":1e30)", R"("born":-1)", R"("coldRemainingMs":1e300)", R"("coldRemainingMs":-1)", R"("coldRemainingMs":"5")",
             R"("version":7)", R"("models":7)", R"("models":[7])", R"("models":[{"name":"m","version":18446744073709551616}])" }) {
        const auto target = decode("servers/i-1", "10.0.0.1:80", "," + more);
        BOOST_TEST(!target.has_value(), more);
        BOOST_TEST((target || !target.error().detail.empty()));
    }
}

BOOST_AUTO_TEST_CASE(a_key_with_half_a_surrogate_pair_does_not_spoil_the_list)
{
    const auto answer = platform::decodeStoreAnswer(readPrefix("servers/"), answered(200, R"({"items":[{"key":"servers/\ud83d\ude00","value":"eA==","revision":8},{"key":"servers/\ud800-\\ud800","value":"eA==","revision":9},)"
                                                                                          R"({"key":"servers/\udc00\uD800","value":"eA==","revision":9},{"key":"servers/i","value":"eA==","revision":9}],"currentRev":9})"));
    BOOST_REQUIRE(answer.has_value());
    BOOST_REQUIRE(answer->entries.size() == 4u);
    BOOST_TEST(answer->entries[0].key == "servers/\xf0\x9f\x98\x80");
    BOOST_TEST(answer->entries[1].key == "servers/\xef\xbf\xbd-\\ud800");
    BOOST_TEST(answer->entries[2].key == "servers/\xef\xbf\xbd\xef\xbf\xbd");
    BOOST_TEST(answer->entries[3].key == "servers/i");
}

BOOST_AUTO_TEST_CASE(numbers_too_large_in_a_configuration_take_the_largest_value)
{
    for (const std::string number : { "1e300", "18446744073709551615", "4294967296", "2147483648" }) {
        std::string document = R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/p/","service":"s")";
        for (const std::string name : { "timeoutMs", "itemTtlS", "priority", "maxAttempts" })
            document.append(",\"").append(name).append("\":").append(number);
        document.append(R"(}],"limits":{"idleTimeoutMs":)").append(number).append("}}");
        const auto site = platform::decodeSite(document);
        BOOST_REQUIRE(site.has_value());
        const auto& route = site->routes.front();
        BOOST_TEST(route.timeout > duration(), number);
        BOOST_TEST(route.itemTtl > duration(), number);
        BOOST_TEST(route.timeout + route.itemTtl > route.timeout, number);
        BOOST_TEST(route.priority >= 0, number);
        BOOST_TEST(route.maxAttempts >= 1u, number);
        BOOST_TEST(site->limits.idle.count() > 0, number);
    }
}

BOOST_AUTO_TEST_CASE(events_are_split_at_blank_lines_wherever_reads_end)
{
    const std::string stream = "weight-versions: 3\nid: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid: 3\ndata: d";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        platform::event_reader reader;
        auto events = reader.feed(std::string_view(stream).substr(0, cut));
        for (auto& more : reader.feed(std::string_view(stream).substr(cut)))
            events.push_back(std::move(more));
        BOOST_REQUIRE(events.size() == 2u);
        BOOST_TEST(events[0].version->value() == 3u);
        BOOST_TEST(events[1].data == "b\nc");
        BOOST_TEST(reader.remainder() == "id: 3\ndata: d");
    }
}

// A write that may have taken effect gets Unknown, one that certainly has not Unavailable.
BOOST_AUTO_TEST_CASE(failed_and_unknown_outcomes_of_writes_are_distinguished)
{
    const kv_call write = kv_transaction {};
    const kv_call read = readKey("k");
    BOOST_TEST((platform::decodeStoreAnswer(write, answered(503, "")).error().code == error_code::Unavailable));
    BOOST_TEST((platform::decodeStoreAnswer(write, answered(0, "", http::transfer_result::NoAnswer)).error().code == error_code::Unknown));
    BOOST_TEST((platform::decodeStoreAnswer(write, answered(0, "", http::transfer_result::NotSent)).error().code == error_code::Unavailable));
    BOOST_TEST((platform::decodeStoreAnswer(write, answered(200, "{bad")).error().code == error_code::Unknown));
    BOOST_TEST((platform::decodeStoreAnswer(read, answered(0, "", http::transfer_result::NoAnswer)).error().code == error_code::Unavailable));
    const auto conflict = platform::decodeStoreAnswer(write, answered(412, R"({"items":[{"key":"k","revision":0},{"key":"l","value":"eA==","revision":9,"created":4}]})"));
    BOOST_REQUIRE(conflict.has_value());
    BOOST_TEST(!conflict->succeeded);
    BOOST_REQUIRE(conflict->entries.size() == 1u);
    BOOST_TEST(conflict->entries[0].value == "x");
}

// Guards against a duty's call that libcurl repeats on a kept connection and that is then carried
// out twice: only an order that its target refuses the second time may use one.
BOOST_AUTO_TEST_CASE(only_orders_with_the_expected_count_use_kept_connections)
{
    using namespace platform;
    const duty_proof proof { instance_id("entry-1"), fencing_number(4) };
    load_order order { target_id("t-1"), "http://10.0.0.1:80", model_id("m"), weight_version(2), swap_mode::KeepRuns, 7 };
    BOOST_CHECK(encodeLoadOrder(proof, order).reuse == http::connection_reuse::Allowed);
    order.ordersTaken.reset();
    BOOST_CHECK(encodeLoadOrder(proof, order).reuse == http::connection_reuse::Forbidden);
    BOOST_CHECK(encodeCapacity("10.0.0.2:80", proof, { "s", failure_domain_id("d"), 3, false }).reuse == http::connection_reuse::Forbidden);
}

BOOST_AUTO_TEST_CASE(the_longest_prefix_of_the_host_wins)
{
    const auto site = platform::decodeSite(R"({"version":3,"routes":[
        {"name":"a","host":"H.example","prefix":"/p/","routeType":"safe","service":"s"},
        {"name":"b","host":"h.example","prefix":"/p/q/","routeType":"unsafe","trafficSplit":[{"service":"s","weight":9},{"service":"t","weight":1}]},
        {"name":"c","host":"h.example","prefix":"/r/"}],"services":[]})");
    BOOST_REQUIRE(site.has_value());
    BOOST_TEST(site->routes.size() == 2u); // a route without a service is ignored
    BOOST_TEST(site->find("h.example:80", "/p/q/x")->id.str() == "b");
    BOOST_TEST(site->find("h.example", "/p/x")->id.str() == "a");
    BOOST_TEST(site->find("h.example", "/p") == nullptr);
    BOOST_TEST(!site->requiresKeys);
    BOOST_TEST(!platform::decodeSite("{}").has_value());
}

// Guards against items whose texts end a line of the request to a target and begin another request.
BOOST_AUTO_TEST_CASE(a_submission_with_line_breaks_in_the_heads_of_its_requests_is_refused)
{
    const auto submission = [](const std::string& path, const std::string& name, const std::string& value, const std::string& judgePath, const std::string& id) {
        return R"({"step":1,"model":"m","items":[{"id":")" + id + R"(","path":")" + path + R"(","headers":{")" + name + R"(":")" + value
            + R"("},"body":"aGk=","scoringUrl":{"id":"j","host":"h","path":")" + judgePath + R"(","body":"aGk="}}]})";
    };
    BOOST_TEST(platform::decodeSubmission({}, submission("/steps/1", "X-Note", "a note: with spaces", "/judge/x", "i")).has_value());
    for (const std::string bad : { "\\r\\nX: y", "\\n", "\\r", "\\u0000" }) {
        BOOST_TEST(!platform::decodeSubmission({}, submission("/steps/1" + bad, "X-Note", "a", "/judge/x", "i")).has_value(), bad);
        BOOST_TEST(!platform::decodeSubmission({}, submission("/steps/1", "X-Note" + bad, "a", "/judge/x", "i")).has_value(), bad);
        BOOST_TEST(!platform::decodeSubmission({}, submission("/steps/1", "X-Note", "a" + bad, "/judge/x", "i")).has_value(), bad);
        BOOST_TEST(!platform::decodeSubmission({}, submission("/steps/1", "X-Note", "a", "/judge/x" + bad, "i")).has_value(), bad);
        BOOST_TEST(!platform::decodeSubmission({}, submission("/steps/1", "X-Note", "a", "/judge/x", "i" + bad)).has_value(), bad);
    }
    for (const std::string path : { "", "steps/1", "/steps/1 HTTP/1.1", "http://other.example/" })
        BOOST_TEST(!platform::decodeSubmission({}, submission(path, "X-Note", "a", "/judge/x", "i")).has_value(), path);
    for (const std::string name : { "", "Tenant ", "Tenant:", "\\tTenant" })
        BOOST_TEST(!platform::decodeSubmission({}, submission("/steps/1", name, "a", "/judge/x", "i")).has_value(), name);
}

// Whatever bytes a peer sends, decoders return a value or an error.
BOOST_AUTO_TEST_CASE(decoders_accept_any_bytes)
{
    test::checkProperty("any bytes of the platform", [] {
        const auto text = *rc::gen::container<std::string>(rc::gen::element('{', '}', '[', ']', '"', ':', ',', '1', 'a', '\n', ' ', '\0', '\xff'));
        static_cast<void>(platform::decodeSite(text));
        static_cast<void>(platform::decodeTarget("servers/x", text, revision(1)));
        static_cast<void>(platform::decodeSubmission({}, text));
        static_cast<void>(platform::decodeStoreAnswer(readKey("k"), answered(200, text)));
        static_cast<void>(platform::decodeWatchResponse(answered(200, text)));
        static_cast<void>(platform::decodeBatchCall("GET", text, text));
        static_cast<void>(platform::decodePrompt(text));
        platform::event_reader reader;
        static_cast<void>(reader.feed(text));
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
