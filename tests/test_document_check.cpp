// Tests of the check of the platform's document: a sound one without findings, faulty ones each
// with its message, and the comparison by meaning.
#include "platform/document_check.h"
#include "property.h"

#include <algorithm>

namespace lovagerail {
namespace {

    using platform::checkDocument;
    using platform::diffDocuments;

    const std::string sound = R"({"version":7,
"routes":[
{"name":"r-1","host":"h.example","prefix":"/a/","routeType":"safe","timeoutMs":1500,"targetLatencyMs":150,"priority":2,"service":"s1","maxAttempts":4,"authExempt":true},
{"name":"r-2","host":"h.example","prefix":"/b/","routeType":"safe","timeoutMs":2000,"targetLatencyMs":150,"priority":2,"trafficSplit":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"maxAttempts":2,"authExempt":false},
{"name":"r-3","host":"h.example","prefix":"/c/","routeType":"rollout","service":"s1","resultDeadlineMs":7500,"itemTtlS":40}],
"services":[
{"name":"s1","healthPath":"/healthz","maxConnections":550,"coldStartS":3.0,"coldPerS":16.0,"engine":{"slots":6,"models":[{"name":"m1"}]},"autoscale":{"min":1,"max":26,"bootTimeS":4.0,"spotPrice":0.22,"zonePrices":{"z1":0.85}}},
{"name":"s2","healthPath":"/healthz","maxConnections":520,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":33554432,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"t1","apiKeys":["k1","k2"],"priority":1},{"name":"t2","apiKeys":["k3"]}]})";

    // The sound document with one text replaced, which it has to contain.
    std::string with(const std::string& from, const std::string& to)
    {
        auto text = sound;
        const auto at = text.find(from);
        BOOST_REQUIRE(at != std::string::npos);
        return text.replace(at, from.size(), to);
    }

    std::vector<std::string> messages(const std::string& text)
    {
        std::vector<std::string> out;
        for (const auto& finding : checkDocument(text).findings)
            out.push_back(toString(finding));
        return out;
    }

} // namespace

BOOST_AUTO_TEST_SUITE(document_check_suite)

BOOST_AUTO_TEST_CASE(a_sound_document_has_no_findings)
{
    for (const auto& message : messages(sound))
        BOOST_ERROR(message);
}

// Each case guards against one fault that the daemon would skip without a word, or that fails
// requests later.
BOOST_AUTO_TEST_CASE(each_fault_has_its_message)
{
    struct faulty {
        const char* from;
        const char* to;
        const char* message;
    };
    const faulty cases[] = {
        { "\"version\":7,", "\"version\":7,,", "1:14: error: not JSON: Missing '}' or object member name" },
        { "\"version\":7", "\"version\":0", "1:12: error: version: must be at least 1; instances ignore the document" },
        { "\"version\":7", "\"version\":7,\"rules\":[]", "1:22: warning: rules: unknown field, which has no effect" },
        { "\"timeoutMs\":1500", "\"timeoutMs\":\"1500\"", "3:80: error: routes[0].timeoutMs: expected a number from 0" },
        { "\"name\":\"r-2\"", "\"name\":\"r-1\"", "4:9: error: routes[1].name: \"r-1\" is used twice" },
        { "\"host\":\"h.example\"", "\"host\":\"\"", "3:22: error: routes[0].host: must not be empty; the route is ignored" },
        { "\"host\":\"h.example\"", "\"host\":\"h.example:80\"", "3:22: error: routes[0].host: must have no port; no request matches it" },
        { "\"prefix\":\"/a/\"", "\"prefix\":\"/a\"", "3:43: error: routes[0].prefix: must begin and end with '/'" },
        { "\"prefix\":\"/b/\"", "\"prefix\":\"/a/\"", "4:43: error: routes[1].prefix: is never matched: route \"r-1\" has the same host and prefix" },
        { "\"routeType\":\"safe\"", "\"routeType\":\"save\"", "3:61: error: routes[0].routeType: expected safe, unsafe, streaming, rollout or batch" },
        { "\"service\":\"s1\"", "\"service\":\"s9\"", "3:130: error: routes[0].service: no service \"s9\"" },
        { "\"service\":\"s1\",\"maxAttempts\"", "\"maxAttempts\"", "3:1: error: routes[0].service: needs a service or a trafficSplit; the route is ignored" },
        { "\"trafficSplit\"", "\"service\":\"s1\",\"trafficSplit\"", "4:150: error: routes[1].service: must not be given beside trafficSplit" },
        { "\"weight\":90},{\"service\":\"s2\",\"weight\":10", "\"weight\":0},{\"service\":\"s2\",\"weight\":0", "4:135: error: routes[1].trafficSplit: has no weight above 0" },
        { "\"targetLatencyMs\":150", "\"targetLatencyMs\":1501", "3:103: error: routes[0].targetLatencyMs: must not be above timeoutMs" },
        { "\"maxAttempts\":4", "\"maxAttempts\":0", "3:149: warning: routes[0].maxAttempts: counts as 1" },
        { "\"maxAttempts\":4", "\"resumable\":true", "3:147: warning: routes[0].resumable: has no effect on a route that does not stream" },
        { "\"resultDeadlineMs\":7500,", "", "5:1: error: routes[2].resultDeadlineMs: a batch needs one" },
        { "\"itemTtlS\":40", "\"itemTtlS\":4", "5:121: error: routes[2].itemTtlS: must not be below resultDeadlineMs: items are abandoned before they are due" },
        { "\"rollout\",\"service\":\"s1\"", "\"rollout\",\"service\":\"s2\"", "5:81: error: routes[2].service: service \"s2\" has no engine to run items" },
        { "\"name\":\"s2\"", "\"name\":\"s1\"", "8:9: error: services[1].name: \"s1\" is used twice" },
        { "\"slots\":6", "\"slots\":0", "7:110: error: services[0].engine.slots: must be at least 1" },
        { "[{\"name\":\"m1\"}]", "[]", "7:121: error: services[0].engine.models: names no model, so no batch can run" },
        { "\"min\":1", "\"min\":27", "7:157: error: services[0].autoscale.min: must not be above max" },
        { "\"coldStartS\":3.0,", "", "7:70: warning: services[0].coldPerS: has no effect without coldStartS" },
        { "{\"name\":\"s2\",\"h", "{\"name\":\"s3\"},{\"name\":\"s2\",\"h", "8:1: warning: services[1]: no route leads to it" },
        { "[\"k1\",\"k2\"]", "[]", "10:35: error: tenants[0].apiKeys: account without keys: none of its requests is accepted" },
        { "\"k3\"", "\"k1\"", "10:85: error: tenants[1].apiKeys[0]: is also a key of account \"t1\"" },
        { "\"headerTimeoutMs\":3000", "\"headerTimeoutMs\":16000", "9:76: error: limits.headerTimeoutMs: must not be above idleTimeoutMs" },
        { "\"priority\":1", "\"allowedRegions\":[]", "10:64: warning: tenants[0].allowedRegions: names no region; leave it out to allow all" },
        { "33554432", "0", "9:49: error: limits.maxBodyBytes: must be at least 1" },
        { "33554432", "67108865", "9:49: warning: limits.maxBodyBytes: is above the 67108864 bytes that an instance reads" },
    };
    for (const auto& one : cases) {
        const auto found = messages(with(one.from, one.to));
        BOOST_TEST_CONTEXT(one.message)
        {
            BOOST_TEST(found.size() >= 1u);
            if (std::find(found.begin(), found.end(), one.message) == found.end())
                BOOST_ERROR("found instead: " << (found.empty() ? "nothing" : found.front()));
        }
    }
}

BOOST_AUTO_TEST_CASE(the_comparison_is_by_meaning)
{
    BOOST_TEST(diffDocuments(sound, with("\"h.example\"", "\"H.example\"")).empty());
    BOOST_TEST(diffDocuments(sound, with("\"priority\":2,\"service\":\"s1\"", "\"service\":\"s1\",\"priority\":2")).empty());
    BOOST_TEST(diffDocuments(sound, with("\"authExempt\":false", "\"resumable\":false")).empty());
    const auto one = [](const std::string& from, const std::string& to) {
        const auto lines = diffDocuments(sound, with(from, to));
        return lines.size() == 1 ? lines.front() : std::to_string(lines.size()) + " lines";
    };
    BOOST_TEST(one("\"timeoutMs\":1500", "\"timeoutMs\":2500") == "route r-1: timeoutMs: 1500 -> 2500");
    BOOST_TEST(one("[\"k1\",\"k2\"]", "[\"k2\",\"k4\",\"k5\"]") == "account t1: apiKeys: 2 added, 1 withdrawn");
    BOOST_TEST(one(",{\"name\":\"t2\",\"apiKeys\":[\"k3\"]}", "") == "account t2: removed");
    BOOST_TEST(one("{\"name\":\"s2\"", "{\"name\":\"s4\"},{\"name\":\"s2\"") == "service s4: added");
    BOOST_TEST(one("\"idleTimeoutMs\":15000", "\"idleTimeoutMs\":9000") == "limits: idleTimeoutMs: 15000 -> 9000");
}

// A document may come from anywhere: no input may end the tool.
BOOST_AUTO_TEST_CASE(arbitrary_documents_are_checked)
{
    test::checkProperty("cut and changed documents", [](std::uint16_t at, std::uint8_t byte, bool cut) {
        auto text = sound;
        const auto index = at % text.size();
        if (cut)
            text.resize(index);
        else
            text[index] = static_cast<char>(byte);
        const auto checked = checkDocument(text);
        RC_ASSERT(checked.readable || !checked.findings.empty());
        diffDocuments(sound, text);
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
