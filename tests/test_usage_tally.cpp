// Tests of request counts per window and of merging copies of them.
#include "property.h"
#include "usage_tally.h"
#include "usage_tally_json.h"

namespace lovagerail {

namespace {

    using namespace std::chrono_literals;

    const client_account_id acme("acme");
    const counting_incarnation self("one.1");
    const counting_incarnation other("two.1");

} // namespace

BOOST_AUTO_TEST_SUITE(usage_tally_suite)

BOOST_AUTO_TEST_CASE(requests_are_counted_in_the_window_in_which_they_began)
{
    usage_tally tally(5000ms, 3, self);
    const wall_time begin { 1'000'000ms };
    const auto window = tally.windowAt(begin);
    BOOST_TEST((tally.endOf(window) == wall_time { 1'005'000ms }));
    tally.count(acme, begin);
    tally.count(acme, begin + 4999ms);
    tally.count(acme, begin + 5000ms);
    BOOST_TEST(tally.countsOf(window).at(self).at(acme) == 2u);
    BOOST_TEST(tally.countsOf(window + 1).at(self).at(acme) == 1u);
    BOOST_TEST((tally.since(begin + 5s) == std::set { window + 1 }));
    // Only the newest windows are kept.
    tally.count(acme, begin + 10s);
    tally.count(acme, begin + 15s);
    BOOST_TEST(tally.countsOf(window).empty());
    auto both = tally.countsOf(window + 1);
    mergeUsage(both, { { other, { { acme, 4 } } } });
    BOOST_TEST(sumOf(both).at(acme) == 5u);
}

// An instance sends copies of its counts to others, answers the holder of the duty, and then
// disappears. The same request must not be counted twice.
BOOST_AUTO_TEST_CASE(copies_of_one_count_do_not_add_up)
{
    const wall_time begin { 1'000'000ms };
    usage_tally leaving(5000ms, 3, self);
    const auto window = leaving.windowAt(begin);
    leaving.count(acme, begin);
    usage_tally receiver(5000ms, 3, other);
    receiver.mergeCounts(window, leaving.countsOf(window));
    leaving.count(acme, begin + 1s);
    receiver.mergeCounts(window, leaving.countsOf(window));
    receiver.mergeCounts(window, { { self, { { acme, 1 } } } }); // an outdated copy that arrives late
    receiver.count(acme, begin);
    auto asked = leaving.countsOf(window);
    mergeUsage(asked, receiver.countsOf(window));
    BOOST_TEST(sumOf(asked).at(acme) == 3u);
    BOOST_TEST(sumOf(receiver.countsOf(window)).at(acme) == 3u);
}

// By whatever route copies are forwarded, merging the last state of every origin gives the
// true sum.
BOOST_AUTO_TEST_CASE(property_merging_in_any_order_gives_the_true_sum)
{
    test::checkProperty("usage merges", [] {
        constexpr std::uint64_t window = 200;
        const wall_time begin { 5000ms * window };
        constexpr std::size_t instances = 4;
        std::vector<usage_tally> all;
        for (std::size_t i = 0; i < instances; ++i)
            all.emplace_back(5000ms, 3, counting_incarnation("i" + std::to_string(i)));
        std::uint64_t truth = 0;
        const auto steps = *rc::gen::container<std::vector<std::pair<std::uint8_t, std::uint8_t>>>(rc::gen::arbitrary<std::pair<std::uint8_t, std::uint8_t>>());
        for (const auto& [from, to] : steps) {
            if (to % (instances + 1) == instances) {
                all[from % instances].count(acme, begin);
                ++truth;
            } else
                all[to % instances].mergeCounts(window, all[from % instances].countsOf(window));
        }
        auto collected = all[0].countsOf(window);
        for (const auto& tally : all)
            mergeUsage(collected, tally.countsOf(window));
        const auto sum = sumOf(collected);
        RC_ASSERT((sum.contains(acme) ? sum.at(acme) : 0) == truth);
    });
}

BOOST_AUTO_TEST_CASE(counts_round_trip_through_json)
{
    const std::map<std::uint64_t, usage_by_origin> copy { { 7, { { self, { { acme, 3 } } }, { other, {} } } }, { 8, {} } };
    BOOST_TEST((decodeCopy(encodeCopy(copy)) == copy));
    BOOST_TEST((decodeOrigins(encodeOrigins(copy.at(7))) == copy.at(7)));
    BOOST_TEST((decodeCounts(encodeCounts({ { acme, 3 } })) == usage_counts { { acme, 3 } }));
}

// Unreadable counts must be rejected, not taken for zero.
BOOST_AUTO_TEST_CASE(malformed_counts_are_rejected)
{
    for (const auto* text : { "", "[]", "7", "{\"acme\":-1}", "{\"acme\":\"3\"}", "{\"acme\":1.5}", "{\"acme\":3" })
        BOOST_TEST(!decodeCounts(text).has_value());
    for (const auto* text : { "[]", "{\"one.1\":3}", "{\"one.1\":{\"acme\":null}}" })
        BOOST_TEST(!decodeOrigins(text).has_value());
    for (const auto* text : { "[]", "{\"x\":{}}", "{\"7x\":{}}", "{\"-7\":{}}", "{\"7\":[]}", "{\"7\":{\"one.1\":{\"acme\":\"3\"}}}" })
        BOOST_TEST(!decodeCopy(text).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
