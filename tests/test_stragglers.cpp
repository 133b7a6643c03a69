// Tests of staleness forecasts, dispatch priorities, sharing between runs and migration hints.
#include "property.h"
#include "stragglers.h"

namespace lovagerail::test {

BOOST_AUTO_TEST_SUITE(stragglers_suite)

BOOST_AUTO_TEST_CASE(forecastGrowsUnlessTheTrainerWaits)
{
    age_forecast forecast { weight_version(10), weight_version(9), 2, false, std::chrono::minutes(20), std::chrono::minutes(6) };
    BOOST_TEST(predictAge(forecast) == 4u); // a lag of 1 and 3 versions in 20 minutes
    forecast.publishInterval = duration::zero();
    BOOST_TEST(predictAge(forecast) == 3u);
    forecast.trainerWaits = true;
    BOOST_TEST(predictAge(forecast) == 1u);
    forecast.served = weight_version(11);
    BOOST_TEST(predictAge(forecast) == 0u);
}

BOOST_AUTO_TEST_CASE(priorityRisesWithWaitingAndFallsWithStepsAhead)
{
    checkProperty("priority", [] {
        const auto ahead = *rc::gen::inRange<std::uint64_t>(0, 100);
        const duration waited = std::chrono::seconds(*rc::gen::inRange(0, 100'000));
        const duration level = std::chrono::seconds(30);
        const auto priority = dispatchPriority(ahead, false, waited, level);
        RC_ASSERT(dispatchPriority(ahead, false, waited + level, level) <= priority);
        RC_ASSERT(dispatchPriority(ahead + 1, false, waited, level) >= priority);
        RC_ASSERT(dispatchPriority(0, true, duration::zero(), level) < priority);
    });
}

BOOST_AUTO_TEST_CASE(sharesFollowWeights)
{
    checkProperty("shares", [] {
        run_scheduler share;
        std::vector<run_id> runs;
        std::vector<std::uint32_t> weights;
        for (int i = 0; i < 3; ++i) {
            runs.emplace_back("run" + std::to_string(i));
            weights.push_back(*rc::gen::inRange<std::uint32_t>(1, 6));
            share.setWeight(runs.back(), weights.back());
        }
        std::map<run_id, double> served;
        const int picks = 6'000;
        for (int i = 0; i < picks; ++i) {
            const run_id run = *share.pick(runs);
            share.charge(run, token_count(100));
            served[run] += 1;
        }
        const double all = weights[0] + weights[1] + weights[2];
        for (std::size_t i = 0; i < 3; ++i)
            RC_ASSERT(std::abs(served[runs[i]] / picks - weights[i] / all) < 0.02);
    });
}

// Charges arrive late and may be huge; every run must still be picked now and then.
BOOST_AUTO_TEST_CASE(runsOfSmallWeightAreNotStarved)
{
    run_scheduler share(8);
    const std::vector<run_id> runs { run_id("large"), run_id("small"), run_id("tiny") };
    share.setWeight(runs[0], 1'000);
    share.setWeight(runs[1], 1);
    share.setWeight(runs[2], 1);
    share.charge(runs[1], token_count(1'000'000'000));
    share.charge(runs[2], token_count(1'000'000'000));
    std::map<run_id, int> served;
    for (int i = 0; i < 160; ++i) {
        const run_id run = *share.pick(runs);
        share.charge(run, token_count(1));
        ++served[run];
    }
    BOOST_TEST(served[runs[1]] >= 6);
    BOOST_TEST(served[runs[2]] >= 6);
}

BOOST_AUTO_TEST_CASE(idleRunResumesAtTheCurrentVirtualTime)
{
    run_scheduler share(1'000);
    const run_id busy("busy");
    const run_id idle("idle");
    share.setWeight(busy, 1);
    share.setWeight(idle, 1);
    for (int i = 0; i < 500; ++i)
        share.charge(*share.pick({ busy }), token_count(10));
    int idlePicks = 0;
    for (int i = 0; i < 100; ++i) {
        const run_id run = *share.pick({ busy, idle });
        share.charge(run, token_count(10));
        idlePicks += run == idle;
    }
    BOOST_TEST(idlePicks >= 49);
    BOOST_TEST(idlePicks <= 52);
}

BOOST_AUTO_TEST_CASE(onlyWorthwhileMigrationsAreProposed)
{
    const std::vector<stream_target> targets { { target_id("slow"), 10, 0, true }, { target_id("fast"), 100, 1, true }, { target_id("closed"), 500, 9, false } };
    const std::vector<running_stream> streams { { 1, target_id("slow"), 0, 1'000 }, { 2, target_id("slow"), 0, 2'000 }, { 3, target_id("slow"), 1'990, 2'000 }, { 4, target_id("closed"), 0, 9'000 } };
    const auto hints = migrationHints(streams, targets, std::chrono::seconds(1), 8);
    BOOST_REQUIRE(hints.size() == 1u); // capacity for one: the longest stream that can migrate
    BOOST_TEST(hints[0].stream == 2u);
    BOOST_TEST(hints[0].to == target_id("fast"));
    BOOST_TEST(migrationHints(streams, targets, std::chrono::minutes(3), 8).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail::test
