// Tests of load tracking: the count of own requests is exact, reports in any order add only
// other senders' load, and learned times stay within their bounds.
#include "load.h"
#include "property.h"

namespace lovagerail {
namespace {

    using namespace std::chrono_literals;

    const target_slot slot(0);

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

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
