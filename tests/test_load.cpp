// Tests of load tracking: the count of own requests is exact, reports in any order add only
// other senders' load, and learned times stay within their bounds.
#include "load.h"
#include "property.h"

#include <cmath>

namespace lovagerail {
namespace {

    using namespace std::chrono_literals;

    const target_slot slot(0);

    load_report slowReport(double slowdown, instant measuredAt)
    {
        load_report report;
        report.slowdown = slowdown;
        report.measuredAt = measuredAt;
        return report;
    }

    load_report reportOf(std::uint32_t running, std::uint32_t waiting, instant measuredAt)
    {
        load_report report;
        report.running = running;
        report.waiting = waiting;
        report.measuredAt = measuredAt;
        return report;
    }

} // namespace

BOOST_AUTO_TEST_SUITE(load_suite)

// Any mix of sends, ends (repeated, unknown), restarts and reports (late, twice, out of
// order): the own count is the number of attempts in flight, and a report that shows
// only our own requests never adds load of others.
BOOST_AUTO_TEST_CASE(own_count_is_exact_and_never_counted_twice)
{
    test::checkProperty("own count", [] {
        load_tracker tracker;
        std::map<std::uint64_t, bool> running; // attempts since the target's last restart
        std::vector<load_report> measured; // the target's possible reports since then
        std::uint64_t lastAttempt = 0;
        instant now { 1h };
        const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, 1u << 30));
        for (const std::uint32_t step : steps) {
            now += std::chrono::milliseconds(1 + (step >> 3) % 500);
            const std::uint64_t pick = lastAttempt == 0 ? 0 : 1 + (step >> 8) % lastAttempt;
            switch (step % 8) {
            case 0:
            case 1:
            case 2:
                tracker.recordSent(attempt_id(++lastAttempt), slot, { token_count(step % 3000), token_count(100) }, now);
                running[lastAttempt] = true;
                break;
            case 3:
                tracker.firstToken(attempt_id(pick), now);
                break;
            case 4:
            case 5:
                tracker.finished(attempt_id(pick), step % 3 == 0, token_count(step % 500), now);
                running.erase(pick);
                break;
            case 6:
                if (!measured.empty())
                    tracker.applyReport(slot, measured[(step >> 8) % measured.size()], now);
                break;
            default:
                if ((step >> 8) % 8 != 0)
                    break;
                tracker.reset(slot, step % 2 == 0 ? target_kind::Engine : target_kind::Service);
                running.clear();
                measured.clear();
            }
            measured.push_back(reportOf(static_cast<std::uint32_t>(running.size()), 0, now));
            RC_ASSERT(tracker.ownOutstanding(slot) == running.size());
            const load_view view = tracker.view(slot, now);
            RC_ASSERT(view.otherRequests < 1e-9);
            RC_ASSERT(view.pendingPrefillTokens >= 0);
            if (running.empty())
                RC_ASSERT(view.pendingPrefillTokens < 1e-6);
            const load_estimate estimate = tracker.estimate(slot, { token_count(500), token_count(50) }, now);
            RC_ASSERT(estimate.wait >= 0ns && estimate.processingTime >= 0ns && estimate.total >= estimate.wait);
            const target_speed& speed = tracker.speed(slot);
            RC_ASSERT(speed.prefillTokensPerSecond >= 500 && speed.prefillTokensPerSecond <= 128000);
            RC_ASSERT(speed.secondsPerToken >= 0.00125 && speed.secondsPerToken <= 0.32);
        }
    });
}

// At the report's time, three of our requests and five of other senders were at the target;
// we sent two more since.
BOOST_AUTO_TEST_CASE(report_is_corrected_by_sends_after_it)
{
    load_tracker tracker;
    for (std::uint64_t attempt = 1; attempt <= 3; ++attempt)
        tracker.recordSent(attempt_id(attempt), slot, {}, instant { 1s });
    tracker.recordSent(attempt_id(4), slot, {}, instant { 3s });
    tracker.recordSent(attempt_id(5), slot, {}, instant { 3s });
    BOOST_TEST(tracker.applyReport(slot, reportOf(6, 2, instant { 2s }), instant { 4s }));
    BOOST_TEST(tracker.ownOutstanding(slot) == 5);
    BOOST_TEST(tracker.view(slot, instant { 2s }).otherRequests == 5, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(!tracker.applyReport(slot, reportOf(60, 0, instant { 1s }), instant { 4s }));
    BOOST_TEST(!tracker.applyReport(slot, reportOf(60, 0, instant { 2s }), instant { 4s }));
    BOOST_TEST(tracker.view(slot, instant { 2s }).otherRequests == 5, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(old_reports_lose_their_weight)
{
    load_tracker tracker;
    tracker.applyReport(slot, reportOf(20, 0, instant { 1s }), instant { 1s });
    BOOST_TEST(tracker.view(slot, instant { 2s }).otherRequests > 19);
    BOOST_TEST(tracker.view(slot, instant { 200s }).otherRequests < 0.1);
    BOOST_TEST(!tracker.applyReport(slot, reportOf(20, 0, instant { 100s }), instant { 200s }));
}

// The expected wait grows with each kind of load: requests, prompt tokens, KV cache use.
BOOST_AUTO_TEST_CASE(wait_grows_with_load)
{
    load_tracker tracker;
    const instant now { 1s };
    duration last = tracker.estimate(slot, {}, now).wait;
    for (std::uint64_t attempt = 1; attempt <= 100; ++attempt) {
        tracker.recordSent(attempt_id(attempt), slot, { token_count(100), token_count(10) }, now);
        const duration wait = tracker.estimate(slot, {}, now).wait;
        BOOST_REQUIRE(wait > last);
        last = wait;
    }
    load_tracker lessLoaded = tracker;
    load_report report = reportOf(32, 68, now);
    lessLoaded.applyReport(slot, report, now);
    report.kvCacheUsage = 1;
    tracker.applyReport(slot, report, now);
    BOOST_TEST((tracker.estimate(slot, {}, now).wait > lessLoaded.estimate(slot, {}, now).wait));
}

// The speeds of an engine twice as slow as assumed are learned from its answers. The first
// token comes one and a half steps of 40 ms after the prefill.
BOOST_AUTO_TEST_CASE(speeds_are_learned)
{
    load_tracker tracker;
    instant now { 1s };
    for (std::uint64_t attempt = 1; attempt <= 200; ++attempt) {
        tracker.recordSent(attempt_id(attempt), slot, { token_count(4000), token_count(100) }, now);
        tracker.firstToken(attempt_id(attempt), now + 1060ms);
        tracker.finished(attempt_id(attempt), true, token_count(101), now + 5060ms);
        now += 6s;
    }
    BOOST_TEST(tracker.speed(slot).prefillTokensPerSecond == 4000, boost::test_tools::tolerance(0.05));
    BOOST_TEST(tracker.speed(slot).secondsPerToken == 0.04, boost::test_tools::tolerance(0.05));

    const target_slot service(1);
    tracker.reset(service, target_kind::Service);
    for (std::uint64_t attempt = 1001; attempt <= 1200; ++attempt) {
        tracker.recordSent(attempt_id(attempt), service, {}, now);
        tracker.finished(attempt_id(attempt), true, {}, now + 100ms);
        now += 200ms;
    }
    BOOST_TEST(tracker.speed(service).serviceSeconds == 0.1, boost::test_tools::tolerance(0.05));
}

// Waiting requests in one report don't lower the limit; in several consecutive ones they do.
BOOST_AUTO_TEST_CASE(limits_are_learned_from_reports)
{
    load_tracker tracker;
    const target_slot service(1);
    tracker.reset(service, target_kind::Service);
    const double assumed = tracker.speed(service).serviceWorkers;
    instant now { 1s };
    tracker.applyReport(service, reportOf(2, 5, now), now);
    BOOST_TEST(tracker.speed(service).serviceWorkers == assumed);
    for (int i = 0; i < 30; ++i) {
        now += 1s;
        tracker.applyReport(service, reportOf(2, 5, now), now);
    }
    BOOST_TEST(tracker.speed(service).serviceWorkers == 2, boost::test_tools::tolerance(0.05));
    for (int i = 0; i < 30; ++i) {
        now += 1s;
        tracker.applyReport(service, reportOf(10, 0, now), now);
    }
    BOOST_TEST(tracker.speed(service).serviceWorkers == 10, boost::test_tools::tolerance(0.05));
}

// A target that states no slowdown must be estimated exactly as before targets stated any.
BOOST_AUTO_TEST_CASE(without_stated_slowdowns_nothing_changes)
{
    load_settings ignoring;
    ignoring.useSlowdown = false;
    load_tracker tracker;
    load_tracker reference(ignoring);
    for (const target_slot each : { slot, target_slot(1) }) {
        tracker.reset(each, each == slot ? target_kind::Engine : target_kind::Service);
        reference.reset(each, each == slot ? target_kind::Engine : target_kind::Service);
        instant now { 1s };
        for (std::uint64_t attempt = 1; attempt <= 50; ++attempt) {
            const attempt_id id(each.value() * 100 + attempt);
            for (load_tracker* one : { &tracker, &reference }) {
                load_report report = reportOf(5, attempt % 3, now);
                if (one == &reference)
                    report.slowdown = 3;
                one->recordSent(id, each, { token_count(2000), token_count(100) }, now);
                one->applyReport(each, report, now);
                one->firstToken(id, now + 300ms);
                one->finished(id, true, token_count(100), now + 2s);
            }
            now += 700ms;
            const load_estimate estimate = tracker.estimate(each, { token_count(900), token_count(90) }, now);
            const load_estimate expected = reference.estimate(each, { token_count(900), token_count(90) }, now);
            BOOST_TEST((estimate.wait == expected.wait && estimate.processingTime == expected.processingTime));
            BOOST_TEST((estimate.slowdown == expected.slowdown && estimate.total == expected.total));
        }
    }
}

// A report of the present moment is what a short request meets; for work of seconds, and some seconds
// later, a single report is likely to show noise that has passed.
BOOST_AUTO_TEST_CASE(noise_counts_for_short_work_only_while_it_is_fresh)
{
    load_tracker tracker;
    tracker.reset(slot, target_kind::Service);
    instant now { 1s };
    for (int i = 0; i < 100; ++i) {
        tracker.applyReport(slot, slowReport(1, now), now);
        now += 50ms;
    }
    for (int i = 0; i < 4; ++i) { // 200 ms of noise
        tracker.applyReport(slot, slowReport(4, now), now);
        now += 50ms;
    }
    BOOST_TEST(tracker.slowdown(slot, 20ms, now - 50ms) > 3.5);
    BOOST_TEST(tracker.slowdown(slot, 5s, now - 50ms) < 1.6);
    BOOST_TEST(tracker.slowdown(slot, 20ms, now + 1s) < 1.5);
    BOOST_TEST(tracker.view(slot, now).lastingSlowdown < 1.4);
    BOOST_TEST(tracker.slowdown(slot, 20ms, now + 5min) == 1, boost::test_tools::tolerance(0.01));
}

// Slowness of seconds must be seen as lasting, also by work of seconds, and must end with the reports of it.
BOOST_AUTO_TEST_CASE(slowness_of_seconds_is_lasting)
{
    load_tracker tracker;
    instant now { 1s };
    for (int i = 0; i < 60; ++i) { // 3 s
        tracker.applyReport(slot, slowReport(4, now), now);
        now += 50ms;
    }
    BOOST_TEST(tracker.slowdown(slot, 5s, now) > 2.8);
    BOOST_TEST(tracker.view(slot, now).lastingSlowdown > 2.8);
    for (int i = 0; i < 100; ++i) { // 5 s
        tracker.applyReport(slot, slowReport(1, now), now);
        now += 50ms;
    }
    BOOST_TEST(tracker.view(slot, now).lastingSlowdown < 1.5);
}

// An aged slowdown may not keep a target unused for ever, nor may a sparsely used target look faster
// than the others under the same noise.
BOOST_AUTO_TEST_CASE(a_slowdown_loses_weight_with_age)
{
    load_tracker tracker;
    instant now { 1s };
    for (int i = 0; i < 200; ++i) { // every second report shows noise
        tracker.applyReport(slot, slowReport(i % 2 == 0 ? 1 : 2, now), now);
        now += 200ms;
    }
    const double normal = tracker.slowdown(slot, 2s, now + 15s);
    BOOST_TEST(normal > 1.3);
    BOOST_TEST(normal < 1.7);
    double last = 16;
    for (const duration age : { duration(0s), duration(1s), duration(4s), duration(40s), duration(5min) }) {
        const double value = tracker.slowdown(slot, 2s, now + age);
        BOOST_TEST(value <= last + 0.01);
        last = value;
    }
    BOOST_TEST(last == 1, boost::test_tools::tolerance(0.01));
}

// A target that is steadily twice as slow and says so: its learned time stays the usual one, so that the
// estimate is the observed time and not twice that.
BOOST_AUTO_TEST_CASE(a_stated_slowdown_is_not_learned_as_speed_as_well)
{
    load_tracker tracker;
    const target_slot service(1);
    tracker.reset(service, target_kind::Service);
    instant now { 1s };
    for (std::uint64_t attempt = 1; attempt <= 300; ++attempt) {
        tracker.recordSent(attempt_id(attempt), service, {}, now);
        tracker.applyReport(service, slowReport(2, now + 80ms), now + 80ms);
        tracker.finished(attempt_id(attempt), true, {}, now + 80ms);
        now += 100ms;
    }
    BOOST_TEST(tracker.speed(service).serviceSeconds == 0.04, boost::test_tools::tolerance(0.05));
    BOOST_TEST(std::chrono::duration<double>(tracker.estimate(service, {}, now).processingTime).count() == 0.08, boost::test_tools::tolerance(0.05));

    tracker.reset(slot, target_kind::Engine);
    for (std::uint64_t attempt = 1001; attempt <= 1300; ++attempt) {
        tracker.recordSent(attempt_id(attempt), slot, { token_count(8000), token_count(100) }, now);
        tracker.applyReport(slot, slowReport(2, now + 2060ms), now + 2060ms);
        tracker.firstToken(attempt_id(attempt), now + 2060ms); // 1 s of prefill, one and a half steps of 20 ms
        tracker.finished(attempt_id(attempt), true, token_count(101), now + 6060ms);
        now += 7s;
    }
    BOOST_TEST(tracker.speed(slot).prefillTokensPerSecond == 8000, boost::test_tools::tolerance(0.05));
    BOOST_TEST(tracker.speed(slot).secondsPerToken == 0.02, boost::test_tools::tolerance(0.1));
    const load_estimate estimate = tracker.estimate(slot, { token_count(8000), token_count(100) }, now);
    BOOST_TEST(std::chrono::duration<double>(estimate.total).count() == 6, boost::test_tools::tolerance(0.1));
}

// Whatever targets state, and in whatever order, expected slowdowns stay within the bounds.
BOOST_AUTO_TEST_CASE(any_stated_slowdown_stays_within_bounds)
{
    test::checkProperty("stated slowdowns", [] {
        load_tracker tracker;
        instant now { 1h };
        for (const std::uint32_t step : *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, 1u << 30))) {
            now += std::chrono::milliseconds(step % 5000);
            const instant measuredAt = now - std::chrono::milliseconds((step >> 4) % 300);
            tracker.applyReport(slot, slowReport(std::exp2(static_cast<int>(step % 64) - 32), measuredAt), now);
            for (const duration work : { duration(0s), duration(30ms), duration(10s) }) {
                const double value = tracker.slowdown(slot, work, now);
                RC_ASSERT(value >= 1.0 / 16 - 1e-9 && value <= 16 + 1e-9);
            }
        }
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
