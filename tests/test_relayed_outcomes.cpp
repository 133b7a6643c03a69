// Tests of what an instance concludes from outcomes that another instance states for it: what it doesn't know promises
// nothing.
#include "edge/relay_codec.h"
#include "edge/store_link.h"

#include <boost/test/unit_test.hpp>

namespace lovagerail::edge {
namespace {

    http::transfer_result storeOutcome(http::header_list headers)
    {
        http::answer answer;
        answer.outcome = http::transfer_result::Complete;
        answer.status = 200;
        answer.headers = std::move(headers);
        return unwrapRelayedAnswer(std::move(answer)).outcome;
    }

    relay_head relayHead(http::header_list headers) { return takeRelayHead(headers); }

} // namespace

BOOST_AUTO_TEST_SUITE(relayed_outcomes_suite)

BOOST_AUTO_TEST_CASE(a_store_call_with_an_unknown_outcome_may_have_been_executed)
{
    BOOST_TEST((storeOutcome({ { "x-outcome", "unproven" } }) == http::transfer_result::NoAnswer));
    BOOST_TEST((storeOutcome({ { "x-outcome", "Whole" } }) == http::transfer_result::NoAnswer));
    BOOST_TEST((storeOutcome({ { "x-outcome", "whole" } }) == http::transfer_result::Complete));
    BOOST_TEST((storeOutcome({ { "x-outcome", "not-sent" } }) == http::transfer_result::NotSent));
    BOOST_TEST((storeOutcome({}) == http::transfer_result::NotSent), "the other instance refused");
}

BOOST_AUTO_TEST_CASE(a_relayed_request_with_an_unknown_outcome_may_have_run)
{
    BOOST_TEST((relayHead({ { "lovagerail-relay", "unproven" } }).outcome == relay_outcome::Silent));
    BOOST_TEST((relayHead({ { "lovagerail-relay", "not-relayed" } }).outcome == relay_outcome::NotRelayed));
    BOOST_TEST((relayHead({}).outcome == relay_outcome::NotRelayed), "no relay wrote it");
}

BOOST_AUTO_TEST_CASE(a_relay_that_does_not_say_how_an_answer_ended_proves_nothing)
{
    for (const std::string framing : { "", "none", "close", "stream_end", "Length" })
        BOOST_TEST(relayHead({ { "lovagerail-relay", "answered" }, { "lovagerail-framing", framing } }).isEndUnproven, framing);
    BOOST_TEST(relayHead({ { "lovagerail-relay", "answered" } }).isEndUnproven, "of an older version");
    for (const std::string framing : { "no_body", "length", "chunks" })
        BOOST_TEST(!relayHead({ { "lovagerail-relay", "answered" }, { "lovagerail-framing", framing } }).isEndUnproven, framing);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail::edge
