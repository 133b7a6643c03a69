// Tests of the health monitor: no history of failures empties a pool, ejected
// targets come back through one probe and a slow start.
#include "health.h"
#include "property.h"

namespace lovagerail {
namespace {

    using namespace std::chrono_literals;

    const pool_id pool("p");
    const failure_domain_id domain("a");

    health_monitor monitorOf(std::uint32_t members)
    {
        health_monitor monitor;
        for (std::uint32_t i = 0; i < members; ++i)
            monitor.started(target_slot(i), pool, domain, instant { 1s });
        return monitor;
    }

    void fail(health_monitor& monitor, target_slot slot, instant now)
    {
        for (int i = 0; i < 5; ++i) {
            monitor.recordSent(slot, now);
            monitor.ended(slot, attempt_outcome::Reset, 1s, now);
        }
    }

} // namespace

BOOST_AUTO_TEST_SUITE(health_suite)

// Over any history: attempt outcomes eject at most half of a pool, at least one
// member stays available, and weights stay in range.
BOOST_AUTO_TEST_CASE(ejection_never_empties_a_pool)
{
    test::checkProperty("never empty", [] {
        const auto members = *rc::gen::inRange<std::uint32_t>(1, 12);
        health_monitor monitor = monitorOf(members);
        std::vector<bool> present(members, true);
        instant now { 1h };
        const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, 1u << 30));
        for (const std::uint32_t step : steps) {
            now += std::chrono::milliseconds((step >> 3) % 3000);
            const target_slot slot((step >> 8) % members);
            const std::size_t ejectedBefore = monitor.ejectedCount(pool);
            if (step % 16 == 0 && monitor.poolSize(pool) > 1) {
                monitor.onTargetRemoved(slot);
                present[slot.value()] = false;
            } else if (step % 16 == 1) {
                monitor.started(slot, pool, domain, now);
                present[slot.value()] = true;
            } else {
                const auto outcome = static_cast<attempt_outcome>((step >> 16) % 5);
                for (std::uint32_t i = 0; i <= (step >> 20) % 4; ++i) {
                    monitor.recordSent(slot, now);
                    monitor.ended(slot, outcome, std::chrono::milliseconds((step >> 10) % 1000), now);
                }
            }
            const std::size_t ejected = monitor.ejectedCount(pool);
            if (ejected > ejectedBefore)
                RC_ASSERT(2 * ejected <= monitor.poolSize(pool));
            std::size_t usable = 0;
            std::size_t counted = 0;
            for (std::uint32_t i = 0; i < members; ++i) {
                const double weight = monitor.weight(target_slot(i), now);
                RC_ASSERT(weight >= 0 && weight <= 1);
                const health_state state = monitor.state(target_slot(i), now);
                const bool isOut = state == health_state::Ejected || state == health_state::HalfOpen;
                usable += present[i] && !isOut ? 1 : 0;
                counted += isOut ? 1 : 0;
            }
            RC_ASSERT(counted == ejected);
            if (monitor.poolSize(pool) > 0)
                RC_ASSERT(usable > 0u);
        }
    });
}

BOOST_AUTO_TEST_CASE(ejected_target_returns_by_one_probe_and_slow_start)
{
    health_monitor monitor = monitorOf(4);
    const target_slot slot(2);
    const instant failedAt { 100s };
    fail(monitor, slot, failedAt);
    BOOST_TEST((monitor.state(slot, failedAt) == health_state::Ejected));
    BOOST_TEST(monitor.weight(slot, failedAt) == 0);

    // Late answers to attempts from before the ejection don't readmit it.
    monitor.ended(slot, attempt_outcome::Success, 1s, failedAt + 1s);
    BOOST_TEST((monitor.state(slot, failedAt + 1s) == health_state::Ejected));

    const instant probeAt = monitor.ejectedUntil(slot);
    BOOST_TEST((monitor.state(slot, probeAt) == health_state::HalfOpen));
    BOOST_TEST(monitor.weight(slot, probeAt) > 0);
    monitor.recordSent(slot, probeAt);
    BOOST_TEST(monitor.weight(slot, probeAt) == 0);
    monitor.ended(slot, attempt_outcome::Success, 1s, probeAt + 1s);
    BOOST_TEST((monitor.state(slot, probeAt + 1s) == health_state::SlowStart));
    BOOST_TEST(monitor.weight(slot, probeAt + 1s) < monitor.weight(slot, probeAt + 6s));
    BOOST_TEST(monitor.weight(slot, probeAt + 60s) == 1);
}

BOOST_AUTO_TEST_CASE(failed_probes_double_the_back_off)
{
    health_monitor monitor = monitorOf(4);
    const target_slot slot(2);
    instant now { 100s };
    fail(monitor, slot, now);
    duration last {};
    for (int i = 0; i < 20; ++i) {
        const duration backOff = monitor.ejectedUntil(slot) - now;
        BOOST_TEST((backOff >= last && backOff <= 2min));
        last = backOff;
        now = monitor.ejectedUntil(slot);
        monitor.recordSent(slot, now);
        monitor.ended(slot, attempt_outcome::Timeout, 1s, now);
    }
    BOOST_TEST((last == 2min));
    // A probe whose outcome is lost doesn't keep the target ejected for ever.
    now = monitor.ejectedUntil(slot);
    monitor.recordSent(slot, now);
    BOOST_TEST(monitor.weight(slot, now + 11s) > 0);
}

// Ten times slower than the others, with no failure at all.
BOOST_AUTO_TEST_CASE(slow_outlier_is_ejected)
{
    health_monitor monitor = monitorOf(4);
    const instant now { 100s };
    for (int i = 0; i < 64; ++i) {
        for (std::uint32_t member = 0; member < 4; ++member)
            monitor.ended(target_slot(member), attempt_outcome::Success, member == 3 ? 1000ms : 100ms, now);
    }
    BOOST_TEST((monitor.state(target_slot(3), now) == health_state::Ejected));
    BOOST_TEST(monitor.ejectedCount(pool) == 1);
}

// Refusals never eject a target, but they lower its weight: one that refuses all
// requests looks idle and would attract work.
BOOST_AUTO_TEST_CASE(refusals_lower_the_weight)
{
    health_monitor monitor = monitorOf(4);
    const instant now { 100s };
    for (int i = 0; i < 50; ++i)
        monitor.ended(target_slot(0), attempt_outcome::Refused, 0s, now);
    BOOST_TEST(monitor.weight(target_slot(0), now) < 0.2);
    BOOST_TEST(monitor.ejectedCount(pool) == 0);
    BOOST_TEST(monitor.weight(target_slot(0), now + 100s) > 0.9);
}

// A target whose load reports stopped gets less work, though no attempt failed yet.
BOOST_AUTO_TEST_CASE(missing_load_reports_lower_the_weight)
{
    health_monitor monitor = monitorOf(4);
    instant now { 100s };
    for (int i = 0; i < 10; ++i, now += 1s)
        monitor.onLoadReport(target_slot(0), now - 5s, now);
    BOOST_TEST(monitor.weight(target_slot(0), now) == 1);
    BOOST_TEST(monitor.weight(target_slot(0), now + 5s) < 0.2);
    BOOST_TEST(monitor.weight(target_slot(1), now + 5s) == 1);
    monitor.onLoadReport(target_slot(0), now, now + 6s);
    BOOST_TEST(monitor.weight(target_slot(0), now + 6s) == 1);
}

// An ejected target that used to send load reports and is silent now gets no probe: no
// request is spent on finding out whether it is back.
BOOST_AUTO_TEST_CASE(probe_waits_for_a_load_report)
{
    health_monitor monitor = monitorOf(4);
    const target_slot slot(2);
    monitor.onLoadReport(slot, instant { 98s }, instant { 98s });
    monitor.onLoadReport(slot, instant { 99s }, instant { 99s });
    const instant failedAt { 100s };
    fail(monitor, slot, failedAt);
    monitor.onLoadReport(slot, instant { 99500ms }, failedAt + 4s);
    BOOST_TEST(monitor.weight(slot, failedAt + 5s) == 0);
    BOOST_TEST(monitor.weight(slot, failedAt + 70s) > 0);
    monitor.onLoadReport(slot, failedAt + 5s, failedAt + 6s);
    BOOST_TEST(monitor.weight(slot, failedAt + 6s) > 0);
}

// Failures at several targets of a failure domain, without an answer from any of them
// in between, lower the weight of all its targets until one of them answers.
BOOST_AUTO_TEST_CASE(suspect_failure_domain_lowers_all_weights)
{
    health_monitor monitor = monitorOf(4);
    monitor.started(target_slot(4), pool, failure_domain_id("b"), instant { 1s });
    const instant now { 100s };
    monitor.ended(target_slot(0), attempt_outcome::Timeout, 1s, now);
    monitor.ended(target_slot(0), attempt_outcome::Timeout, 1s, now);
    BOOST_TEST(monitor.weight(target_slot(2), now) == 1);
    monitor.ended(target_slot(1), attempt_outcome::Timeout, 1s, now);
    BOOST_TEST(monitor.weight(target_slot(2), now) < 0.2);
    BOOST_TEST(monitor.weight(target_slot(4), now) == 1);
    monitor.onFirstToken(target_slot(3));
    BOOST_TEST(monitor.weight(target_slot(2), now) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
