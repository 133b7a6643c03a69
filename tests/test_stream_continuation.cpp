// Tests the decision whether answers go on with a stream.
#include "property.h"
#include "stream_continuation.h"

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

namespace lovagerail {

namespace {

    using event_id = std::optional<std::uint64_t>;
    constexpr std::uint64_t largestId = std::numeric_limits<std::uint64_t>::max();

    event_digest contentOf(std::uint64_t id) { return event_digest(id * 31 + 7); }

} // namespace

BOOST_AUTO_TEST_SUITE(stream_continuation_suite)

BOOST_AUTO_TEST_CASE(only_a_200_of_events_is_a_stream)
{
    BOOST_TEST(isStreamHead(200, true));
    for (const int status : { 0, 100, 201, 204, 206, 302, 400, 404, 421, 500, 503 })
        BOOST_TEST(!isStreamHead(status, true), status);
    BOOST_TEST(!isStreamHead(200, false));
}

BOOST_AUTO_TEST_CASE(an_event_follows_the_last_one_without_a_gap)
{
    passed_events passed(event_id(2));
    BOOST_TEST((passed.add(4, contentOf(4)) == event_order::Broken));
    BOOST_TEST((passed.add(std::nullopt, contentOf(3)) == event_order::Broken));
    BOOST_TEST((passed.add(largestId, contentOf(3)) == event_order::Broken));
    BOOST_TEST((passed.last() == event_id(2)));
    BOOST_TEST((passed.add(3, contentOf(3)) == event_order::Next));
    BOOST_TEST((passed.last() == event_id(3)));
}

// A target that was asked for a whole stream and begins in the middle of one.
BOOST_AUTO_TEST_CASE(a_stream_begins_with_its_first_event)
{
    for (const std::uint64_t first : { 0, 1 })
        BOOST_TEST((passed_events().add(first, contentOf(first)) == event_order::Next));
    for (const std::uint64_t middle : { std::uint64_t { 2 }, std::uint64_t { 3 }, largestId })
        BOOST_TEST((passed_events().add(middle, contentOf(middle)) == event_order::Broken));
}

BOOST_AUTO_TEST_CASE(no_event_follows_the_largest_id)
{
    passed_events passed(event_id { largestId });
    BOOST_TEST((passed.add(0, contentOf(0)) == event_order::Broken));
    BOOST_TEST((passed.add(largestId, contentOf(0)) == event_order::Broken));
}

// What was passed on elsewhere isn't known, so nothing shows that it is repeated.
BOOST_AUTO_TEST_CASE(events_from_before_a_take_up_are_not_taken_for_repeated)
{
    passed_events passed(event_id(2));
    BOOST_TEST((passed.add(2, contentOf(2)) == event_order::Broken));
    BOOST_TEST((passed.add(3, contentOf(3)) == event_order::Next));
    BOOST_TEST((passed.add(3, contentOf(3)) == event_order::Repeated));
    BOOST_TEST((passed.add(2, contentOf(2)) == event_order::Broken));
}

// Targets that begin anywhere, skip, repeat, and change events: what is passed on is one sequence, each event once.
BOOST_AUTO_TEST_CASE(whatever_targets_send_one_sequence_is_passed_on)
{
    test::checkProperty("one sequence", [] {
        const auto resumedBehind = *rc::gen::maybe(rc::gen::inRange<std::uint64_t>(0, 4));
        passed_events passed { resumedBehind ? event_id(*resumedBehind) : event_id() };
        std::vector<std::uint64_t> out;
        const auto answers = *rc::gen::container<std::vector<std::vector<std::pair<std::uint64_t, bool>>>>(
            rc::gen::container<std::vector<std::pair<std::uint64_t, bool>>>(rc::gen::pair(rc::gen::inRange<std::uint64_t>(0, 9), rc::gen::arbitrary<bool>())));
        for (const auto& answer : answers) {
            for (const auto& [id, isChanged] : answer) {
                const auto content = isChanged ? event_digest(1) : contentOf(id);
                const auto before = passed.last();
                const auto order = passed.add(id, content);
                if (order == event_order::Broken)
                    break;
                if (order == event_order::Repeated) {
                    RC_ASSERT(before.has_value() && id <= *before && passed.last() == before);
                    continue;
                }
                RC_ASSERT(!before || id == *before + 1);
                out.push_back(id);
            }
        }
        for (std::size_t i = 1; i < out.size(); ++i)
            RC_ASSERT(out[i] == out[i - 1] + 1);
        if (resumedBehind && !out.empty())
            RC_ASSERT(out.front() == *resumedBehind + 1);
        if (!resumedBehind && !out.empty())
            RC_ASSERT(out.front() <= 1);
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
