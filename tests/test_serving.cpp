// Tests of the serving state machine: its invariants over generated histories of arrivals,
// crashes, lost, late, truncated and mixed-up responses, revoked keys and leaving targets.
#include "property.h"
#include "serving_world.h"

namespace lovagerail {
namespace {

    using namespace std::chrono_literals;
    using test::serving_world;

    BOOST_AUTO_TEST_SUITE(serving_suite)

    BOOST_AUTO_TEST_CASE(invariants_hold_over_generated_histories)
    {
        std::uint64_t answered = 0;
        std::uint64_t sent = 0;
        test::checkProperty("promises", [&](std::uint64_t seed) {
            constexpr int steps = 300;
            serving_world world;
            std::uint64_t state = seed;
            for (int i = 0; i < steps; ++i) {
                state = state * 6364136223846793005u + 1442695040888963407u;
                world.step(static_cast<std::uint32_t>(state >> 32));
            }
            world.check();
            world.finish();
            world.check();
            answered += world.answeredCount();
            sent += world.attemptsSent();
        });
        // Guards against histories that test nothing.
        BOOST_TEST(answered > 2000U);
        BOOST_TEST(sent > answered);
    }

    BOOST_AUTO_TEST_CASE(a_crash_loses_no_stream_and_quarantines_no_request)
    {
        serving_world world;
        std::vector<std::uint64_t> asked(40);
        for (auto& number : asked)
            number = world.askEngine(0, true);
        world.crash("e0");
        world.finish();
        world.check();
        for (const auto number : asked)
            BOOST_TEST(world.isComplete(number), world.reason(number));
        BOOST_TEST(world.subject().counts().quarantined == 0U);
    }

    BOOST_AUTO_TEST_CASE(poison_request_crashes_two_targets_and_no_other_request_fails)
    {
        serving_world world;
        std::vector<std::uint64_t> others;
        for (std::size_t round = 0; round < 20; ++round) {
            for (std::uint32_t i = 0; i < 5; ++i)
                others.push_back(world.askEngine(i % 3, true));
            world.askPoison(0, 0);
            world.askPoison(1, 1);
            for (std::size_t i = 0; i < 8; ++i)
                world.runOneAttempt(3 * round + i);
            world.passTime(100ms);
        }
        world.finish();
        world.check();
        BOOST_TEST(world.targetsCrashedBy().size() == 2U);
        for (const auto number : others)
            BOOST_TEST(world.isComplete(number), world.reason(number));
        const auto again = world.askPoison(0, 0);
        BOOST_TEST(world.status(again) == 503);
        BOOST_TEST(world.reason(again) == "quarantined");
        BOOST_TEST(world.outcome(again) == "not_run");
    }

    BOOST_AUTO_TEST_CASE(silent_engines_count_as_crashed)
    {
        serving_world world;
        world.askPoison(0, 0);
        while (world.runOneAttempt(0) || !world.subject().idle())
            world.passTime(50ms);
        BOOST_TEST(world.targetsCrashedBy().at(1).size() == 2U);
        for (int i = 0; i < 10; ++i)
            world.passTime(1s);
        world.passTime(5min);
        BOOST_TEST(world.reason(world.askPoison(0, 0)) == "quarantined");
        world.passTime(6min);
        BOOST_TEST(world.reason(world.askPoison(0, 0)).empty()); // not refused: it waits or runs again
    }

    BOOST_AUTO_TEST_CASE(a_flooding_account_does_not_starve_another)
    {
        serving_settings settings;
        settings.maxPerTarget = 1;
        settings.minWindow = 4;
        serving_world world(settings);
        for (int i = 0; i < 400; ++i)
            world.askEngine(0, false);
        const auto small = world.askEngine(1, false);
        for (int i = 0; i < 12; ++i)
            world.runOneAttempt(0);
        BOOST_TEST(world.isComplete(small));
        world.finish();
        world.check();
    }

    BOOST_AUTO_TEST_CASE(a_keyed_call_runs_once)
    {
        serving_world world;
        const auto first = world.askKeyed(0, 1);
        const auto during = world.askKeyed(0, 1);
        BOOST_TEST(world.reason(during) == "idempotency_in_progress");
        world.finish();
        const auto repeat = world.askKeyed(0, 1);
        BOOST_TEST(world.isComplete(first));
        BOOST_TEST(world.isComplete(repeat));
        const auto cut = world.askKeyed(0, 2);
        for (std::size_t i = 0; i < test::serviceCount; ++i)
            world.crash("s" + std::to_string(i));
        BOOST_TEST(world.outcome(cut) == "unknown");
        const auto after = world.askKeyed(0, 2);
        BOOST_TEST(world.reason(after) == "idempotency_unknown");
        BOOST_TEST(world.attemptsSent() == 2U);
        world.check();
    }

    BOOST_AUTO_TEST_CASE(requests_in_flight_stay_within_the_window)
    {
        serving_settings settings;
        settings.maxPerTarget = 2;
        serving_world world(settings);
        for (int i = 0; i < 100; ++i)
            world.askEngine(0, false);
        BOOST_TEST(world.openAttempts() == 2 * test::engineCount);
        world.finish();
        BOOST_TEST(world.answeredCount() == 100U);
    }

    BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace lovagerail
