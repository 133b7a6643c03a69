// Tests of usage by window.
#include "usage_tally.h"

#include <boost/test/unit_test.hpp>

namespace lovagerail {

BOOST_AUTO_TEST_SUITE(usage_tally_suite)

BOOST_AUTO_TEST_CASE(requests_are_counted_in_the_window_in_which_they_began)
{
    using namespace std::chrono_literals;
    usage_tally tally(5000ms, 3);
    const client_account_id acme("acme");
    const wall_time begin { 1'000'000ms };
    const auto window = tally.windowAt(begin);
    BOOST_TEST((tally.endOf(window) == wall_time { 1'005'000ms }));
    tally.count(acme, begin);
    tally.count(acme, begin + 4999ms);
    tally.count(acme, begin + 5000ms);
    BOOST_TEST(tally.of(window).at(acme) == 2u);
    BOOST_TEST(tally.of(window + 1).at(acme) == 1u);
    // Only the newest windows are kept.
    tally.count(acme, begin + 10s);
    tally.count(acme, begin + 15s);
    BOOST_TEST(tally.of(window).empty());
    usage_counts sum = tally.of(window + 1);
    addCounts(sum, tally.of(window + 2));
    BOOST_TEST(sum.at(acme) == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
