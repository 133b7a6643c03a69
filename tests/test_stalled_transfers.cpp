// Tests of the choice of transfers to break off when memory runs out.
#include "stalled_transfers.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace lovagerail;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t mib = 1 << 20;

std::optional<std::size_t> chosen(const std::vector<transfer_progress>& transfers) { return stalledTransfer(transfers); }

} // namespace

BOOST_AUTO_TEST_SUITE(stalled_transfers_suite)

BOOST_AUTO_TEST_CASE(transfers_that_go_on_are_left_alone)
{
    BOOST_TEST(!chosen({}).has_value());
    BOOST_TEST(!chosen({ { mib, mib, 2s, 50ms, transfer_kind::Body }, { mib, 8 * mib, 30s, 900ms, transfer_kind::Body }, { mib, 3 * mib, 5s, 1500ms, transfer_kind::Answer } }).has_value());
}

BOOST_AUTO_TEST_CASE(young_transfers_are_not_judged)
{
    BOOST_TEST(!chosen({ { mib, 0, 900ms, 900ms, transfer_kind::Body } }).has_value());
}

BOOST_AUTO_TEST_CASE(the_largest_body_that_stopped_goes_first)
{
    BOOST_TEST((chosen({ { 100, 100, 3s, 2s, transfer_kind::Body }, { mib, mib, 3s, 2s, transfer_kind::Body }, { 2 * mib, 2 * mib, 3s, 10ms, transfer_kind::Body } }) == 1u));
}

BOOST_AUTO_TEST_CASE(a_body_that_trickles_is_stalled)
{
    BOOST_TEST((chosen({ { 5000, 5000, 10s, 10ms, transfer_kind::Body } }) == 0u));
}

BOOST_AUTO_TEST_CASE(bodies_go_before_answers_that_nobody_reads)
{
    BOOST_TEST((chosen({ { 8 * mib, 1000, 5s, 3s, transfer_kind::Answer }, { 100, 100, 3s, 2s, transfer_kind::Body } }) == 1u));
    BOOST_TEST((chosen({ { 8 * mib, 1000, 5s, 3s, transfer_kind::Answer }, { 0, 100, 3s, 2s, transfer_kind::Body } }) == 0u));
}

BOOST_AUTO_TEST_CASE(a_slow_stream_is_stalled_only_if_nothing_of_it_is_read)
{
    BOOST_TEST(!chosen({ { 300, 2000, 20s, 100ms, transfer_kind::Stream } }).has_value());
    BOOST_TEST((chosen({ { 300, 2000, 20s, 3s, transfer_kind::Stream } }) == 0u));
}

BOOST_AUTO_TEST_SUITE_END()
