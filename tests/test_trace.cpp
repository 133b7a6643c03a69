// Tests of traces: round trip, malformed lines reported by number, and generated load shapes.
#include "property.h"
#include "trace.h"
#include "trace_make.h"

#include <map>

namespace lovagerail::test {

BOOST_AUTO_TEST_SUITE(trace_suite)

BOOST_AUTO_TEST_CASE(records_survive_a_round_trip)
{
    checkProperty("records survive", [](std::uint64_t seed) {
        const auto made = makeTrace({ "wales", static_cast<trace_shape>(seed % 4), seed, std::chrono::milliseconds(2000), 50 });
        std::string text = encodeTraceHead(made.deployment);
        for (const auto& record : made.records)
            text += encodeTraceRecord(record);
        const auto read = decodeTrace(text);
        RC_ASSERT(read.has_value());
        RC_ASSERT(read->deployment == made.deployment);
        RC_ASSERT(read->records == made.records);
    });
}

BOOST_AUTO_TEST_CASE(malformed_traces_are_refused_with_their_line)
{
    const auto why = [](const std::string& text) { return decodeTrace(text).error().detail; };
    BOOST_TEST(why("") == "the trace is empty");
    BOOST_TEST(why("[1]\n") == "line 1: expected the head of a trace");
    BOOST_TEST(why("{\"lovagerail_trace\": 2}\n") == "the trace has a newer version");
    BOOST_TEST(why(encodeTraceHead("wales") + "[1,2]\n") == "line 2: not a record");
    BOOST_TEST(why(encodeTraceHead("wales") + "nonsense\n") == "line 2: not JSON");
}

BOOST_AUTO_TEST_CASE(equal_hashes_make_equal_prefixes)
{
    trace_record one;
    one.blocks = { 1, 2 };
    one.promptBytes = byte_count(200);
    trace_record two = one;
    two.arrival = std::chrono::milliseconds(7);
    two.blocks = { 1, 3 };
    BOOST_TEST(promptFor(one).size() == 200u);
    BOOST_TEST(promptFor(one).substr(0, 64) == promptFor(two).substr(0, 64));
    BOOST_TEST(promptFor(one).substr(64, 64) != promptFor(two).substr(64, 64));
}

BOOST_AUTO_TEST_CASE(rain_doubles_load_and_flood_comes_from_one_account)
{
    const auto count = [](trace_shape shape, bool middle, const std::string& account) {
        const auto made = makeTrace({ "wales", shape, 5, std::chrono::milliseconds(60'000), 100 });
        std::size_t found = 0;
        for (const auto& record : made.records) {
            const bool inside = record.arrival.count() >= 20'000 && record.arrival.count() < 40'000;
            found += inside == middle && (account.empty() || record.account.str() == account);
        }
        return static_cast<double>(found);
    };
    const auto calm = count(trace_shape::Calm, true, "");
    BOOST_TEST(count(trace_shape::Rain, true, "") > 1.8 * calm);
    BOOST_TEST(count(trace_shape::Rain, true, "") < 2.2 * calm);
    const auto own = count(trace_shape::Calm, true, "account-0");
    BOOST_TEST(count(trace_shape::Flood, true, "account-0") > 8 * own);
    BOOST_TEST(count(trace_shape::Flood, true, "account-5") < 1.5 * count(trace_shape::Calm, true, "account-5"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail::test
