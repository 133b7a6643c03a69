// Feeds every parser that faces a caller, a target, the store or another instance with damaged
// messages: valid ones with bytes changed, cut or inserted, and with JSON values replaced by
// those of other types and extreme sizes. A parser may refuse; it must not throw.
#include "batch.h"
#include "batch_runner.h"
#include "config.h"
#include "edge/entries_json.h"
#include "endpoint.h"
#include "gossip_codec.h"
#include "json_text.h"
#include "keys.h"
#include "lease.h"
#include "ledger.h"
#include "platform/batch_codec.h"
#include "platform/desired_state.h"
#include "platform/duty_codec.h"
#include "platform/headers.h"
#include "platform/store_codec.h"
#include "property.h"
#include "quarantine.h"
#include "trace.h"
#include "usage_pull.h"
#include "usage_sealed.h"
#include "usage_tally_json.h"

#include <exception>
#include <functional>
#include <random>

namespace lovagerail {
namespace {

    struct parser_case {
        std::string name;
        std::string valid; // a message that the parser accepts
        std::function<void(const std::string&)> parse;
    };

    http::answer answerOf(std::string body) { return { http::transfer_result::Complete, 200, {}, std::move(body), {} }; }

    template <typename Function>
    auto withJson(Function parse)
    {
        return [parse](const std::string& text) {
            if (const auto value = parseJson(text))
                parse(*value);
        };
    }

    std::vector<parser_case> parsers()
    {
        batch_head head;
        head.decided = batch_route {};
        head.decided->route.services = { { service_id("pool"), 1 } };
        head.id = batch_id("b");
        head.host = "h.example";
        head.path = "/steps/1";
        head.account = client_account_id("acme");
        return {
            { "desired state", R"({"version":3,"routes":[{"name":"r","host":"h","prefix":"/p/","routeType":"rollout","service":"s","timeoutMs":100,"priority":1,"maxAttempts":2,)"
                               R"("trafficSplit":[{"service":"s","weight":3}]}],"services":[{"name":"s","engine":{"slots":8,"stride":1,"models":[{"name":"m"}]},)"
                               R"("autoscale":{"min":1,"max":4,"bootTimeS":2,"spotPrice":0.4,"zonePrices":{"z":1.5}}}],"tenants":[{"name":"t","apiKeys":["k"],"priority":1}],)"
                               R"("limits":{"maxHeaderBytes":1000,"maxBodyBytes":1000,"idleTimeoutMs":1000}})",
                [](const std::string& text) { (void)platform::decodeSite(text); } },
            { "target entry", R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":8,"state":"ready","sequence":3,"born":17,"spot":true,"coldRemainingMs":5,"models":[{"name":"m","version":4}]})",
                [](const std::string& text) {
                    if (const auto target = platform::decodeTarget("servers/i", text, revision(1)))
                        BOOST_TEST(isIpEndpoint(target->listed.address.substr(std::string_view("http://").size())), text);
                } },
            { "announced version", R"({"model":"m","version":4})", [](const std::string& text) { (void)platform::decodeAnnouncedVersion(text); } },
            { "submission", R"({"step":1,"model":"m","minVersion":1,"desiredCount":1,"items":[{"id":"i","path":"/steps/1/i","headers":{"Model":"m","Token-Count":"5,6","Prompt-Prefix":"a:3,b:4"},)"
                            R"("body":"aGk=","tokens":9,"group":"g","scoringUrl":{"id":"j","host":"h","path":"/j","body":"aGk="}}]})",
                [head](const std::string& text) { (void)platform::decodeSubmission(head, text); } },
            { "report", R"({"stage":"x","models":[{"name":"m","version":4}],"busy":false,"sequence":2})", [](const std::string& text) { (void)platform::decodeReport(answerOf(text)); } },
            { "store answer", R"({"items":[{"key":"k","value":"eA==","revision":9,"created":4,"lease":0}],"hasMore":false,"currentRev":9})",
                [](const std::string& text) { (void)platform::decodeStoreAnswer(readPrefix("k"), answerOf(text)); } },
            { "refused transaction", R"({"items":[{"key":"k","value":"eA==","revision":9,"created":4}]})",
                [](const std::string& text) {
                    auto answer = answerOf(text);
                    answer.status = 412;
                    (void)platform::decodeStoreAnswer(kv_transaction {}, answer);
                } },
            { "lease", R"({"lease":7,"ttlMs":3000})", [](const std::string& text) { (void)platform::decodeStoreAnswer(kv_grant { 3 }, answerOf(text)); } },
            { "watch", R"({"events":[{"key":"k","value":"eA==","revision":9,"created":4},{"key":"l","revision":10,"deleted":true}],"currentRev":10})",
                [](const std::string& text) { (void)platform::decodeWatchResponse(answerOf(text)); } },
            { "events of a stream", "weight-versions: 3\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n", [](const std::string& text) { (void)platform::event_reader().feed(text); } },
            { "headers", "5,6", [](const std::string& text) {
                 (void)platform::decodeCaller({ { "deadline-ms", text }, { "token-count", text }, { "prompt-prefix", text }, { "last-event-id", text }, { "connection", text } });
                 (void)platform::decodeTargetHead(200, { { "server-load", text }, { "weight-versions", text }, { "server-leaving", text } });
             } },
            { "batch call", "/lots/7c41?after=12", [](const std::string& text) {
                 const auto mark = text.find('?');
                 (void)platform::decodeBatchCall("GET", text.substr(0, mark), mark == std::string::npos ? "" : text.substr(mark + 1));
             } },
            { "batch head", encodeHead(head), [](const std::string& text) { (void)decodeHead(batch_id("b"), text); } },
            { "page of results", R"([{"id":"i","state":"completed","text":"a","versions":[1],"score":"s"}])", [](const std::string& text) { (void)decodeBatchPage(text); } },
            { "partial texts", R"([{"item":"i","events":["a","b"],"versions":[1,1]}])", withJson([](const Json::Value& value) { (void)decodeTexts(value); }) },
            { "blame marks", R"([{"request":1,"target":"t","at":5,"apart":"","incarnation":2,"cleared":false}])", withJson([](const Json::Value& value) { (void)blameMarksFromJson(value); }) },
            { "entries", R"([{"key":"k","value":"v","created":1,"changed":2}])", withJson([](const Json::Value& value) { (void)edge::entriesFromJson(value); }) },
            { "usage counts", R"({"acme":4,"bach":5})", [](const std::string& text) { (void)decodeCounts(text); } },
            { "usage by origin", R"({"entry-0/1":{"acme":4}})", [](const std::string& text) { (void)decodeOrigins(text); } },
            { "usage copy", R"({"7":{"entry-0/1":{"acme":4}}})", [](const std::string& text) { (void)decodeCopy(text); } },
            { "holder of a duty", R"({"instance":"a","incarnation":4,"address":"127.0.0.1:80"})", [](const std::string& text) { (void)decodeHolder({ "k", text, revision(1), revision(1), {} }); } },
            { "configuration change", R"({"kind":"route","name":"r","object":{"name":"r","path_prefix":"/p"}})", withJson([](const Json::Value& value) { (void)changeFromJson(value); }) },
            { "withdrawn keys", R"([{"id":"k","at":5}])", withJson([](const Json::Value& value) { (void)denyMarksFromJson(value); }) },
            { "gossip", std::string("\x93\x01\xa1x\x90", 5), [](const std::string& text) { (void)decodeGossip(text); } },
            { "ledger head", R"({"fencing_number":1,"trainer_version":2,"acknowledged":3,"steps":[]})", [](const std::string& text) { (void)decodeLedgerHead(text); } },
            { "sealed usage", R"({"window":1,"difference_count":0,"accounts":{},"targets":{},"included":[],"missing":[],"differences":[]})", [](const std::string& text) { (void)decodeSealed(text); } },
            { "usage counters", "[]", [](const std::string& text) { (void)countersFromValue(text); } },
            { "trace", "{\"at_ms\":1,\"account\":\"a\"}\n", [](const std::string& text) { (void)decodeTrace(text); } },
        };
    }

    using random_source = std::mt19937_64;

    std::size_t below(random_source& random, std::size_t limit) { return limit == 0 ? 0 : random() % limit; }

    std::string damageBytes(std::string text, random_source& random)
    {
        for (std::size_t count = 1 + below(random, 4); count > 0; --count) {
            const auto at = below(random, text.size());
            switch (below(random, 4)) {
            case 0:
                text = text.substr(0, at);
                break;
            case 1:
                text.insert(at, 1, static_cast<char>(random()));
                break;
            case 2:
                text.insert(at, text.substr(below(random, text.size())));
                break;
            default:
                if (!text.empty())
                    text[at] = static_cast<char>(random());
            }
        }
        return text;
    }

    constexpr const char* rawMark = "raw value"; // stands for a result of oddText()

    Json::Value oddValue(random_source& random)
    {
        const Json::Value values[] = { Json::Value(), true, -1, Json::UInt64(~0ULL), Json::Int64(Json::Int64(1) << 62), 1e300, -0.5, "", "text", std::string(300, 'x'), rawMark, rawMark, rawMark, "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999999999", "10.0.0.1:80\r\nx: y", "[::1]:80", "::1:80", "-1", Json::Value(Json::arrayValue), Json::Value(Json::objectValue) };
        return values[below(random, std::size(values))];
    }

    // JSON texts that no Json::Value holds: numbers beyond 64 bits, deep nesting, half surrogate pairs.
    std::string oddText(random_source& random)
    {
        constexpr int depth = 3000;
        const auto nested = [](const std::string& open, const std::string& close) {
            std::string out;
            for (int i = 0; i < depth; ++i)
                out += open;
            out += "1";
            for (int i = 0; i < depth; ++i)
                out += close;
            return out;
        };
        const std::string texts[] = { nested("[", "]"), nested("{\"a\":", "}"), std::string(400, '9'), "99999999999999999999999", "-99999999999999999999999", "1e400", "-1e400", "1e-400", "18446744073709551616",
            "-9223372036854775809", "9223372036854775808", "1e18", "4294967296", "-0.0", "\"\\ud800\"", "\"\\udc00\\ud800\"", "\"\\u0000\"", "\"\xff\xed\xa0\x80\"" };
        return texts[below(random, std::size(texts))];
    }

    std::string withOddTexts(std::string text, random_source& random)
    {
        const auto mark = '"' + std::string(rawMark) + '"';
        for (auto at = text.find(mark); at != std::string::npos; at = text.find(mark, at))
            text.replace(at, mark.size(), oddText(random));
        return text;
    }

    // Replaces a value somewhere in the document by one of another type or size.
    void damageValue(Json::Value& value, random_source& random)
    {
        if (value.empty() || below(random, 4) == 0) {
            value = oddValue(random);
            return;
        }
        if (value.isArray())
            damageValue(value[static_cast<Json::ArrayIndex>(below(random, value.size()))], random);
        else if (value.isObject()) {
            const auto names = value.getMemberNames();
            damageValue(value[names[below(random, names.size())]], random);
        } else
            value = oddValue(random);
    }

    std::string damage(const std::string& valid, random_source& random)
    {
        auto value = parseJson(valid);
        if (!value || below(random, 3) == 0)
            return damageBytes(valid, random);
        for (std::size_t count = 1 + below(random, 3); count > 0; --count)
            damageValue(*value, random);
        return withOddTexts(writeJson(*value), random);
    }

} // namespace

BOOST_AUTO_TEST_SUITE(malformed_suite)

BOOST_AUTO_TEST_CASE(no_parser_throws_on_a_damaged_message)
{
    constexpr int messagesOfEach = 4000;
    constexpr std::uint64_t seed = 20261204;
    for (const auto& parser : parsers()) {
        random_source random(seed);
        std::size_t thrown = 0;
        std::string firstMessage;
        std::string firstError;
        for (int i = 0; i < messagesOfEach; ++i) {
            const auto message = i == 0 ? parser.valid : damage(parser.valid, random);
            try {
                parser.parse(message);
            } catch (const std::exception& error) {
                if (++thrown > 1)
                    continue;
                firstMessage = message;
                firstError = error.what();
            }
        }
        BOOST_CHECK_MESSAGE(thrown == 0, parser.name << ": " << thrown << " messages, the first: " << firstMessage << ": " << firstError);
    }
}

// A document's size says little of what it takes when it is parsed.
BOOST_AUTO_TEST_CASE(the_memory_of_a_parsed_document_is_estimated_by_its_values)
{
    std::string dense = "[";
    for (int value = 0; value < 10'000; ++value)
        dense += "[],";
    dense += "[]]";
    BOOST_TEST(jsonTreeBytes(dense) > 50 * dense.size());
    const std::string text = "[\"" + std::string(10'000, ',') + "\\\"[{\"]";
    BOOST_TEST(jsonTreeBytes(text) < 3 * text.size());
    BOOST_TEST(jsonTreeBytes("") > 0u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
