// Tests of the records where streams began: kept as long as callers may ask, in bounded memory.
#include "stream_origins.h"

#include <boost/test/unit_test.hpp>

namespace lovagerail {
namespace {

    using namespace std::chrono_literals;

    const target_software one { pool_id("p"), "v1" };
    const target_software other { pool_id("p"), "v2" };
    constexpr instant start { 1h };

} // namespace

BOOST_AUTO_TEST_SUITE(stream_origins_suite)

BOOST_AUTO_TEST_CASE(the_first_record_of_a_stream_counts)
{
    stream_origins origins;
    origins.record(request_id("a"), one, start);
    origins.record(request_id("a"), other, start + 1s);
    BOOST_TEST((origins.find(request_id("a"), start + 2s) == one));
    BOOST_TEST(!origins.find(request_id("b"), start).has_value());
}

BOOST_AUTO_TEST_CASE(records_expire)
{
    stream_origins origins({ 10s, 100 });
    origins.record(request_id("a"), one, start);
    BOOST_TEST(origins.find(request_id("a"), start + 9s).has_value());
    BOOST_TEST(!origins.find(request_id("a"), start + 10s).has_value());
    origins.record(request_id("b"), one, start + 10s);
    BOOST_TEST(origins.size() == 1u);
}

BOOST_AUTO_TEST_CASE(memory_is_bounded_and_the_oldest_records_go_first)
{
    stream_origins origins({ 10min, 100 });
    for (int i = 0; i < 1000; ++i)
        origins.record(request_id(std::to_string(i)), one, start);
    BOOST_TEST(origins.size() == 100u);
    BOOST_TEST(!origins.find(request_id("899"), start).has_value());
    BOOST_TEST(origins.find(request_id("900"), start).has_value());
}

BOOST_AUTO_TEST_CASE(long_names_are_recorded_shortly_and_apart)
{
    const request_id usual(std::string(maxStreamNameBytes, 'a'));
    BOOST_TEST(recordedName(usual) == usual);
    const std::string longName(16'000, 'a');
    const auto first = recordedName(request_id(longName));
    BOOST_TEST(first.str().size() <= maxStreamNameBytes);
    BOOST_TEST(first == recordedName(request_id(longName)));
    BOOST_TEST(first != recordedName(request_id(longName + "b")));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
