// Tests of second attempts within the operator's limit: the limit over windows and instances, the
// rules that forbid a second attempt, and races between two attempts.
#include "edge/entry_settings.h"
#include "forwarding.h"
#include "property.h"

#include <algorithm>
#include <set>

namespace lovagerail {
namespace {

    using namespace std::chrono_literals;

    constexpr instant start { 1h };
    constexpr wall_time wallStart { std::chrono::milliseconds(1'700'000'000'000) };
    constexpr duration usualTime = 25ms;
    constexpr duration slowTime = 400ms;
    const service_id app { "app" };
    const route_id r { "r" };
    const routing_class_id pool { "service app" };
    constexpr forward_head good { 200, true, true, false, true };

    hedging_settings withLimit(double share)
    {
        hedging_settings out;
        out.extraWork = share;
        return out;
    }

    // Usual requests of one route, without a second attempt.
    void observe(hedge_policy& policy, int requests, duration time, instant now)
    {
        for (int i = 0; i < requests; ++i) {
            policy.answered(r, pool, time, now);
            policy.worked(r, pool, time, now);
        }
    }

    // A forwarder over targets in two failure domains. Requests answer as the test says.
    class hedging_harness {
    public:
        explicit hedging_harness(std::optional<double> extraWork = 0.05, std::size_t targets = 8)
            : m_router(settings())
            , m_machine({}, m_router, marks)
        {
            m_router.setClass(serviceClass(app), [](const target_record& record) { return record.listed.pool == pool_id(app.str()); });
            for (std::size_t i = 0; i < targets; ++i) {
                listed_target row;
                row.id = target_id("t" + std::to_string(i));
                row.address = "http://10.0.0." + std::to_string(i + 1);
                row.pool = pool_id(app.str());
                row.kind = target_kind::Service;
                row.failureDomain = failure_domain_id(i + 1 < targets ? "d0" : "d1");
                row.incarnation = incarnation(1);
                m_rows.push_back(row);
            }
            m_router.applyList(m_rows, now);
            m_machine.setExtraWork(extraWork);
        }

        static site_route route(route_kind kind = route_kind::Idempotent)
        {
            site_route out;
            out.id = r;
            out.kind = kind;
            out.services = { { app, 1 } };
            out.timeout = 1500ms;
            out.latencyTarget = 150ms;
            out.maxAttempts = 3;
            return out;
        }

        forward_id arrive(const site_route& of = route(), bool isOwed = false)
        {
            forward_request request;
            request.id = forward_id(++m_lastId);
            request.callerId = request_id("q" + std::to_string(m_lastId));
            request.route = of;
            request.isOwed = isOwed;
            request.fingerprint = request_fingerprint { m_lastId };
            act(m_machine.arrive(std::move(request), now));
            return forward_id(m_lastId);
        }
        void answer(attempt_id attempt, const forward_head& head = good)
        {
            act(m_machine.head(attempt, head, now));
            act(m_machine.done(attempt, transfer_state::Complete, now));
        }
        void breakOff(attempt_id attempt) { act(m_machine.done(attempt, transfer_state::NoAnswer, now)); }
        void leave(forward_id id) { act(m_machine.callerDisconnected(id, now)); }
        void pass(duration time)
        {
            for (const auto end = now + time; now < end;) {
                now += std::min<duration>(20ms, end - now);
                m_machine.setWallTime(wallStart + std::chrono::duration_cast<std::chrono::milliseconds>(now - start));
                act(m_machine.tick(now));
            }
        }
        // Requests of the usual time, one after the other; they are no part of `sends`.
        void warmUp(int requests)
        {
            for (int i = 0; i < requests; ++i) {
                arrive();
                const auto attempt = sends.back().attempt;
                pass(usualTime);
                answer(attempt);
            }
            sends.clear();
            delivered.clear();
        }
        // Sends one request that gets a second attempt; returns both.
        std::pair<forward_send, forward_send> hedgedRequest()
        {
            warmUp(200);
            arrive();
            pass(60ms);
            BOOST_REQUIRE(sends.size() == 2u);
            return { sends[0], sends[1] };
        }
        std::size_t count(hedge_event event, std::string_view reason) const
        {
            return static_cast<std::size_t>(std::count_if(events.begin(), events.end(), [&](const forward_hedged& one) { return one.event == event && one.reason == reason; }));
        }
        bool isCancelled(attempt_id attempt) const { return std::find(cancelled.begin(), cancelled.end(), attempt) != cancelled.end(); }
        void removeTarget(std::size_t target)
        {
            m_rows.erase(m_rows.begin() + static_cast<std::ptrdiff_t>(target));
            m_router.applyList(m_rows, now);
        }
        void nameLimit(std::size_t target) { m_router.applyLimit(m_rows[target].id, m_rows[target].incarnation, 100, now, now); }
        void reportLoad(std::uint32_t running, const target_id& of = {})
        {
            for (const auto& row : m_rows) {
                if (!of.empty() && row.id != of)
                    continue;
                load_report report;
                report.target = row.id;
                report.incarnation = row.incarnation;
                report.running = running;
                report.measuredAt = now;
                m_router.applyReport(report, now);
            }
        }
        request_forwarder& machine() { return m_machine; }

        instant now = start;
        quarantine marks;
        std::vector<forward_send> sends;
        std::vector<attempt_id> cancelled;
        std::vector<attempt_id> delivered;
        std::vector<forward_hedged> events;

    private:
        static router_settings settings()
        {
            router_settings out;
            out.table.absenceGrace = 0ms;
            return out;
        }
        void act(const std::vector<forward_action>& actions)
        {
            for (const auto& action : actions) {
                if (const auto* send = std::get_if<forward_send>(&action))
                    sends.push_back(*send);
                else if (const auto* cancel = std::get_if<forward_cancel>(&action))
                    cancelled.push_back(cancel->attempt);
                else if (const auto* deliver = std::get_if<forward_deliver>(&action))
                    delivered.push_back(deliver->attempt);
                else if (const auto* hedged = std::get_if<forward_hedged>(&action))
                    events.push_back(*hedged);
            }
        }

        router m_router;
        std::vector<listed_target> m_rows;
        request_forwarder m_machine;
        std::uint64_t m_lastId = 0;
    };

} // namespace

BOOST_AUTO_TEST_SUITE(hedging_suite)

// --- The policy alone

// Guards against a quantile that misses the tail, or one so high that second attempts come late.
BOOST_AUTO_TEST_CASE(the_delay_is_a_quantile_of_observed_times_scaled_by_the_slowdown)
{
    hedge_policy policy(withLimit(0.05));
    observe(policy, 97, usualTime, start);
    observe(policy, 3, slowTime, start);
    const auto delay = policy.delayFor(r, pool, 1, 90ms, start);
    BOOST_TEST((delay.reason == hedge_reason::Quantile));
    BOOST_TEST((delay.time >= usualTime && delay.time < usualTime * 11 / 10));
    const auto scaled = policy.delayFor(r, pool, 2, 90ms, start).time;
    BOOST_TEST((scaled >= delay.time * 2 - 1us && scaled <= delay.time * 2));
}

// Guards against decisions on a handful of times or on times of hours ago.
BOOST_AUTO_TEST_CASE(few_or_stale_times_leave_the_fixed_delay)
{
    hedge_policy policy(withLimit(0.05));
    BOOST_TEST((policy.delayFor(r, pool, 1, 90ms, start).time == 90ms));
    observe(policy, 10, 1ms, start);
    BOOST_TEST((policy.delayFor(r, pool, 1, 90ms, start).reason == hedge_reason::FixedDelay));
    observe(policy, 100, 1ms, start);
    BOOST_TEST((policy.delayFor(r, pool, 1, 90ms, start).reason == hedge_reason::Quantile));
    BOOST_TEST((policy.delayFor(r, pool, 1, 90ms, start + 3min).reason == hedge_reason::FixedDelay));
}

// Guards against old times that outweigh a lasting change.
BOOST_AUTO_TEST_CASE(times_lose_weight_with_age)
{
    hedge_policy policy(withLimit(0.05));
    observe(policy, 1000, usualTime, start);
    observe(policy, 40, 100ms, start + 40min);
    BOOST_TEST((policy.delayFor(r, pool, 1, 90ms, start + 40min).time >= 100ms));
}

BOOST_AUTO_TEST_CASE(each_rule_refuses_by_its_name)
{
    hedge_policy policy(withLimit(0.05));
    observe(policy, 1000, usualTime, start);
    const auto refusal = [&](const pool_condition& condition, duration timeLeft, instant now) { return policy.check(r, pool, condition, timeLeft, now); };
    BOOST_TEST((refusal({}, 1s, start) == std::nullopt));
    BOOST_TEST((refusal({ true, false, false }, 1s, start) == hedge_refusal::ShortOfSlots));
    BOOST_TEST((refusal({ false, true, false }, 1s, start) == hedge_refusal::NamedLimit));
    BOOST_TEST((refusal({ false, false, true }, 1s, start) == hedge_refusal::ColdTarget));
    BOOST_TEST((refusal({}, 10ms, start) == hedge_refusal::TooLate));
    BOOST_TEST((refusal({}, 1s, start + 11min) == hedge_refusal::ExtraWork));
    policy.refusedByTarget(pool, start);
    BOOST_TEST((refusal({}, 1s, start + 500ms) == hedge_refusal::ShortOfSlots));
    BOOST_TEST((refusal({}, 1s, start + 2s) == std::nullopt));
    policy.setExtraWork(0);
    BOOST_TEST((refusal({}, 1s, start + 2s) == hedge_refusal::Off));
}

// Guards against saved-up work that is spent in one go when all answers become slow.
BOOST_AUTO_TEST_CASE(work_saved_up_is_not_spent_at_once)
{
    hedge_policy policy(withLimit(0.02));
    for (int second = 0; second < 590; ++second)
        observe(policy, 40, usualTime, start + std::chrono::seconds(second));
    const auto now = start + 600s;
    std::uint64_t started = 0;
    while (!policy.check(r, pool, {}, 1s, now) && started < 1000)
        policy.started(attempt_id(++started), r, pool, now);
    BOOST_TEST((policy.check(r, pool, {}, 1s, now) == hedge_refusal::Burst));
    BOOST_TEST(started < 20u); // of 262 that the long window alone would allow
}

// Several instances each keep their own percentage, so the sum does too, whatever the times of
// first and second attempts. Guards against a limit on the number of attempts, and against second
// attempts that run on beyond what was reserved.
BOOST_AUTO_TEST_CASE(extra_work_of_all_instances_stays_within_the_limit)
{
    test::checkProperty("limit", [](const std::vector<std::uint16_t>& steps) {
        constexpr double share = 0.05;
        constexpr std::size_t instances = 3;
        std::vector<hedge_policy> policies(instances, hedge_policy(withLimit(share)));
        std::vector<std::set<attempt_id>> open(instances);
        duration work {};
        duration extra {};
        instant now = start;
        for (auto& policy : policies) {
            observe(policy, 200, usualTime, now);
            work += 200 * usualTime;
        }
        std::uint64_t last = 0;
        for (const auto step : steps) {
            now += 10ms;
            const std::size_t index = step % instances;
            auto& policy = policies[index];
            const duration time = std::chrono::milliseconds(1 + (step >> 6) % 512);
            if (step % 4 == 0) {
                observe(policy, 1, time, now);
                work += time;
            } else if (!policy.check(r, pool, {}, 10s, now)) {
                policy.started(attempt_id(++last), r, pool, now);
                open[index].insert(attempt_id(last));
            }
            for (std::size_t i = 0; i < instances; ++i) {
                std::erase_if(open[i], [&](attempt_id attempt) {
                    const bool stop = !policies[i].mayContinue(attempt, now);
                    if (stop || (step >> 5) % 16 == 0)
                        extra += policies[i].ended(attempt, false, stop, now);
                    return stop || (step >> 5) % 16 == 0;
                });
            }
            RC_ASSERT(static_cast<double>(extra.count()) <= share * static_cast<double>(work.count()));
        }
    });
}

BOOST_AUTO_TEST_CASE(a_cancelled_second_attempt_counts_at_least_its_expected_work)
{
    hedge_policy policy(withLimit(0.05));
    observe(policy, 1000, usualTime, start);
    policy.started(attempt_id(1), r, pool, start);
    BOOST_TEST((policy.ended(attempt_id(1), false, true, start + 1ms) == usualTime));
    policy.started(attempt_id(2), r, pool, start);
    BOOST_TEST((policy.ended(attempt_id(2), true, true, start + 1ms) == duration {})); // nothing was sent
    BOOST_TEST((policy.ended(attempt_id(2), false, true, start + 1ms) == duration {})); // counted once
}

// Guards against targets that this instance never used and that make a full pool look free.
BOOST_AUTO_TEST_CASE(targets_without_a_known_load_do_not_count_as_free_slots)
{
    router targets(router_settings {});
    targets.setClass(pool, [](const target_record&) { return true; });
    for (int i = 0; i < 8; ++i) {
        listed_target row;
        row.id = target_id("t" + std::to_string(i));
        row.kind = target_kind::Service;
        row.incarnation = incarnation(1);
        targets.applyRow(row, start);
    }
    BOOST_TEST(!conditionOf(targets, pool, 0.75, start).shortOfSlots);
    load_report report;
    report.target = target_id("t0");
    report.incarnation = incarnation(1);
    report.running = 4; // of 4 slots
    report.measuredAt = start;
    targets.applyReport(report, start);
    BOOST_TEST(conditionOf(targets, pool, 0.75, start).shortOfSlots);
}

// Guards against second attempts that take the few requests that a cold target may get.
BOOST_AUTO_TEST_CASE(a_pool_with_a_cold_target_is_reported_as_such_until_it_is_warm)
{
    router targets(router_settings {});
    targets.setClass(pool, [](const target_record&) { return true; });
    listed_target row;
    row.id = target_id("t0");
    row.kind = target_kind::Service;
    row.incarnation = incarnation(1);
    targets.applyRow(row, start);
    targets.setColdLimit(row.id, 5.0, start);
    BOOST_TEST(conditionOf(targets, pool, 0.75, start).hasColdTarget);
    targets.setColdLimit(row.id, std::nullopt, start);
    BOOST_TEST(!conditionOf(targets, pool, 0.75, start).hasColdTarget);
}

// Guards against a delay for usual speed at a target that reports that it is slow.
BOOST_AUTO_TEST_CASE(the_slowdown_that_a_target_reports_for_seconds_scales_the_delay)
{
    router targets(router_settings {});
    targets.setClass(pool, [](const target_record&) { return true; });
    listed_target row;
    row.id = target_id("t0");
    row.kind = target_kind::Service;
    row.incarnation = incarnation(1);
    targets.applyRow(row, start);
    const auto slot = *targets.table().find(row.id);
    BOOST_TEST(currentSlowdown(targets, slot, start) == 1.0);
    for (int i = 1; i <= 100; ++i) {
        load_report report;
        report.target = row.id;
        report.incarnation = row.incarnation;
        report.slowdown = 3;
        report.measuredAt = start + i * 100ms;
        targets.applyReport(report, report.measuredAt);
    }
    BOOST_TEST(currentSlowdown(targets, slot, start + 10s) > 2.0);
}

// --- In the forwarder

// Guards against second attempts that come only after the fixed delay of 90 ms.
BOOST_AUTO_TEST_CASE(a_slow_request_gets_a_second_attempt_in_another_failure_domain)
{
    hedging_harness harness;
    const auto [first, second] = harness.hedgedRequest();
    BOOST_TEST(first.choice.failureDomain != second.choice.failureDomain);
    BOOST_TEST(harness.count(hedge_event::Started, "quantile") == 1u);
    harness.pass(20ms);
    harness.answer(second.attempt);
    BOOST_TEST(harness.isCancelled(first.attempt));
    BOOST_REQUIRE(harness.delivered.size() == 1u);
    BOOST_TEST((harness.delivered[0] == second.attempt));
    BOOST_TEST(harness.count(hedge_event::Won, "answered_first") == 1u);
    BOOST_TEST((harness.machine().counts().extraWork == 40ms)); // sent by the tick at 40 ms, answered at 80 ms
}

// Judge calls are made without a caller's account and count as work owed.
BOOST_AUTO_TEST_CASE(a_slow_judge_call_gets_a_second_attempt)
{
    hedging_harness harness;
    harness.warmUp(200);
    harness.arrive(hedging_harness::route(), true);
    harness.pass(60ms);
    BOOST_TEST(harness.sends.size() == 2u);
}

// Guards against a wish for another failure domain that leaves a request without a second attempt.
BOOST_AUTO_TEST_CASE(in_a_single_failure_domain_another_target_is_used)
{
    hedging_harness harness;
    harness.removeTarget(7); // the only one in d1
    const auto [first, second] = harness.hedgedRequest();
    BOOST_TEST(first.choice.failureDomain == second.choice.failureDomain);
    BOOST_TEST(first.choice.target != second.choice.target);
}

// Guards against a second attempt at the target that is slow.
BOOST_AUTO_TEST_CASE(without_another_target_there_is_no_second_attempt)
{
    hedging_harness harness(0.05, 1);
    harness.warmUp(200);
    harness.arrive();
    harness.pass(60ms);
    BOOST_TEST(harness.sends.size() == 1u);
    BOOST_TEST(harness.count(hedge_event::Refused, "no_other_target") == 1u);
}

// Guards against two answers to one caller.
BOOST_AUTO_TEST_CASE(both_answers_at_once_are_delivered_as_one)
{
    hedging_harness harness;
    const auto [first, second] = harness.hedgedRequest();
    harness.answer(first.attempt);
    harness.answer(second.attempt);
    BOOST_REQUIRE(harness.delivered.size() == 1u);
    BOOST_TEST((harness.delivered[0] == first.attempt));
    BOOST_TEST(harness.isCancelled(second.attempt));
    BOOST_TEST(harness.count(hedge_event::Lost, "first_answered") == 1u);
    BOOST_TEST(harness.machine().open() == 0u);
}

// Guards against a second attempt that counts as extra work after it was never sent.
BOOST_AUTO_TEST_CASE(an_answer_while_the_second_attempt_connects_cancels_it_for_nothing)
{
    hedging_harness harness;
    const auto [first, second] = harness.hedgedRequest();
    harness.machine().setUnsent(second.attempt, true);
    harness.answer(first.attempt);
    BOOST_TEST(harness.isCancelled(second.attempt));
    BOOST_TEST((harness.machine().counts().extraWork == duration {}));
}

BOOST_AUTO_TEST_CASE(a_failed_first_attempt_leaves_its_place_to_the_second)
{
    hedging_harness harness;
    const auto [first, second] = harness.hedgedRequest();
    harness.pass(10ms);
    harness.breakOff(first.attempt);
    BOOST_TEST(harness.count(hedge_event::Won, "first_failed") == 1u);
    const auto before = harness.machine().counts();
    harness.pass(100ms);
    harness.answer(second.attempt);
    const auto& after = harness.machine().counts();
    BOOST_TEST(harness.delivered.size() == 1u);
    BOOST_TEST((after.extraWork == before.extraWork)); // it went on as the only attempt
    BOOST_TEST((after.countedWork - before.countedWork == 100ms)); // no time counts twice
}

BOOST_AUTO_TEST_CASE(a_failed_second_attempt_leaves_the_first_alone)
{
    hedging_harness harness;
    const auto [first, second] = harness.hedgedRequest();
    harness.breakOff(second.attempt);
    BOOST_TEST(harness.count(hedge_event::Lost, "failed") == 1u);
    harness.answer(first.attempt);
    BOOST_TEST(harness.delivered.size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_cancels_both_attempts)
{
    hedging_harness harness;
    const auto [first, second] = harness.hedgedRequest();
    harness.leave(first.id);
    BOOST_TEST(harness.isCancelled(first.attempt));
    BOOST_TEST(harness.isCancelled(second.attempt));
    BOOST_TEST(harness.count(hedge_event::Cancelled, "request_ended") == 1u);
}

// When all targets are slow, second attempts are slow too. Guards against a limit that counts
// attempts, and against open ones that run on beyond the limit.
BOOST_AUTO_TEST_CASE(the_limit_stops_second_attempts_when_all_targets_are_slow)
{
    hedging_harness harness;
    harness.warmUp(400);
    for (int i = 0; i < 30; ++i) {
        const auto sent = harness.sends.size();
        harness.arrive();
        harness.pass(slowTime);
        harness.answer(harness.sends[sent].attempt);
    }
    BOOST_TEST(harness.count(hedge_event::Cancelled, "extra_work") > 0u);
    BOOST_TEST(harness.count(hedge_event::Refused, "extra_work") + harness.count(hedge_event::Refused, "burst") > 0u);
    const auto& counts = harness.machine().counts();
    BOOST_TEST(static_cast<double>(counts.extraWork.count()) <= 0.05 * static_cast<double>(counts.countedWork.count()));
}

BOOST_AUTO_TEST_CASE(no_second_attempt_while_the_pool_is_short_of_slots_or_a_target_names_a_limit)
{
    for (const bool namesLimit : { true, false }) {
        hedging_harness harness;
        harness.warmUp(200);
        harness.arrive();
        if (namesLimit)
            harness.nameLimit(0);
        else
            harness.reportLoad(6);
        harness.pass(60ms);
        BOOST_TEST(harness.sends.size() == 1u);
        BOOST_TEST(harness.count(hedge_event::Refused, namesLimit ? "named_limit" : "short_of_slots") == 1u);
    }
}

// Guards against a second attempt that waits in the queue of the only other target.
BOOST_AUTO_TEST_CASE(no_second_attempt_at_a_full_target)
{
    hedging_harness harness(0.05, 2);
    harness.warmUp(200);
    harness.reportLoad(4, target_id("t1"));
    harness.arrive();
    BOOST_REQUIRE(harness.sends[0].choice.target.str() == "t0");
    harness.pass(60ms);
    BOOST_TEST(harness.sends.size() == 1u);
    BOOST_TEST(harness.count(hedge_event::Refused, "short_of_slots") == 1u);
}

// Guards against a delay that shrinks because the slow attempts, which are cancelled, are left out.
BOOST_AUTO_TEST_CASE(cancelled_slow_attempts_count_in_the_quantile)
{
    hedging_harness harness(0.2);
    harness.warmUp(200);
    std::vector<duration> waits;
    for (int i = 0; i < 60; ++i) {
        harness.warmUp(2);
        harness.arrive();
        for (int tick = 0; tick < 10 && harness.sends.size() < 2; ++tick)
            harness.pass(20ms);
        harness.pass(usualTime);
        harness.answer(harness.sends.back().attempt);
        const auto& last = harness.events.back();
        if (last.event == hedge_event::Won)
            waits.push_back(harness.events[harness.events.size() - 2].waited);
    }
    BOOST_REQUIRE(waits.size() > 10u);
    BOOST_TEST((waits.front() == 40ms));
    BOOST_TEST((waits.back() > 40ms));
}

// Guards against a second run of requests that may run once, and against a request that crashes
// its targets taking two at a time.
BOOST_AUTO_TEST_CASE(no_second_attempt_for_requests_that_run_once_or_may_crash_targets)
{
    hedging_harness once;
    once.warmUp(200);
    once.arrive(hedging_harness::route(route_kind::AtMostOnce));
    once.pass(1s);
    BOOST_TEST(once.sends.size() == 1u);

    hedging_harness suspect;
    suspect.warmUp(200);
    suspect.arrive();
    const auto first = suspect.sends.front();
    suspect.marks.attemptBroke(request_fingerprint { 201 }, first.choice.target, first.choice.incarnation, "", wallStart + std::chrono::duration_cast<std::chrono::milliseconds>(suspect.now - start));
    suspect.pass(1s);
    BOOST_TEST(suspect.sends.size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_new_limit_applies_at_once_and_none_is_the_fixed_delay)
{
    hedging_harness harness;
    harness.warmUp(200);
    harness.machine().setExtraWork(0);
    harness.arrive();
    harness.pass(1200ms);
    BOOST_TEST(harness.sends.size() == 1u); // 0 turns all second attempts off
    harness.answer(harness.sends[0].attempt);
    harness.machine().setExtraWork(std::nullopt);
    harness.arrive();
    harness.pass(80ms);
    BOOST_TEST(harness.sends.size() == 2u);
    harness.pass(20ms);
    BOOST_TEST(harness.sends.size() == 3u); // 60% of the latency target
    BOOST_TEST(harness.events.empty());
}

// A setting that is removed while a second attempt runs must not leave it uncounted.
BOOST_AUTO_TEST_CASE(a_second_attempt_is_counted_after_the_setting_was_removed)
{
    hedging_harness harness;
    const auto [first, second] = harness.hedgedRequest();
    harness.machine().setExtraWork(std::nullopt);
    harness.answer(first.attempt);
    BOOST_TEST(harness.isCancelled(second.attempt));
    BOOST_TEST(harness.count(hedge_event::Lost, "first_answered") == 1u);
}

BOOST_AUTO_TEST_CASE(the_setting_is_a_percentage_within_bounds)
{
    const auto read = [](const std::string& value) {
        return edge::readEntrySettings("[instance]\nname = \"a\"\nfailure_domain = \"d\"\n[listen]\nmetrics = \"127.0.0.1:1\"\n[store]\naddress = \"127.0.0.1:2\"\n" + value, "s.toml");
    };
    BOOST_TEST(!extraWorkShare(read("").value).has_value());
    BOOST_TEST(extraWorkShare(read("[hedging]\nextra_work = \"0%\"\n").value).value() == 0);
    BOOST_TEST(extraWorkShare(read("[hedging]\nextra_work = \"2.5%\"\n").value).value() == 0.025);
    BOOST_TEST(extraWorkShare(read("[hedging]\nextra_work = \"20%\"\n").value).value() == 0.2);
    for (const auto* wrong : { "2", "\"2\"", "\"20.01%\"", "\"-1%\"", "\"2,5%\"", "\"1.234%\"", "\".5%\"", "\"%\"", "\"\"", "\"99999999999999999999%\"" }) {
        const auto reading = read("[hedging]\nextra_work = " + std::string(wrong) + "\n");
        BOOST_REQUIRE(reading.faults.size() == 1u);
        BOOST_TEST(toString(reading.faults[0]) == "s.toml:9:14: hedging.extra_work: expected a percentage from 0% to 20%, such as \"2.5%\"");
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
