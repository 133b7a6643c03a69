// Tests of allowances under the limits that targets name: over generated demand, members that
// come and go and lost messages, a target gets no more than its limit allows.
#include "property.h"
#include "request_limits.h"

#include <algorithm>
#include <deque>
#include <set>

namespace lovagerail {
namespace {

    using namespace std::chrono_literals;

    const target_slot slot { 0 };
    const target_id target("t");
    const incarnation first { 1 };

    // Instances with requests for one target, of which one shares the limit out.
    struct limited_target {
        struct sending_instance {
            request_limits limits;
            double demandPerSecond = 0;
            double waiting = 0; // requests
            bool isDown = false;
        };
        struct open_ask {
            std::size_t sender = 0;
            instant askedAt;
            instant answeredAt;
            allowance given;
            bool lost = false;
        };

        explicit limited_target(std::size_t count, double limitPerSecond)
            : senders(count)
            , perSecond(limitPerSecond)
        {
            for (auto& sender : senders)
                sender.limits.observe(slot, perSecond, now, now);
        }

        void step(duration span, bool loseAnswers)
        {
            now += span;
            for (std::size_t i = 0; i < senders.size(); ++i) {
                auto& sender = senders[i];
                if (sender.isDown)
                    continue;
                sender.waiting = std::min(sender.waiting + sender.demandPerSecond * std::chrono::duration<double>(span).count(), 100.0);
                while (sender.waiting >= 1 && sender.limits.mayStart(slot, now)) {
                    sender.limits.started(slot, now);
                    sender.waiting -= 1;
                    sent.push_back(now);
                }
                if (sender.waiting >= 1)
                    sender.limits.want(slot);
                if (!sender.limits.takeDue(now).empty()) {
                    const auto name = instance_id("i" + std::to_string(i));
                    asks.push_back({ i, now, now + 5ms, allocator.grant(target, first, perSecond, 0s, name, now), loseAnswers });
                }
            }
            while (!asks.empty() && asks.front().answeredAt <= now) {
                const auto& ask = asks.front();
                if (ask.lost)
                    senders[ask.sender].limits.askFailed(slot);
                else
                    senders[ask.sender].limits.granted(slot, ask.given, ask.askedAt, now);
                asks.pop_front();
            }
        }

        std::size_t mostIn(duration window) const
        {
            std::size_t most = 0;
            std::size_t begin = 0;
            for (std::size_t end = 0; end < sent.size(); ++end) {
                while (sent[end] - sent[begin] >= window)
                    ++begin;
                most = std::max(most, end - begin + 1);
            }
            return most;
        }

        instant now { 10s };
        std::vector<sending_instance> senders;
        double perSecond = 0;
        limit_allocator allocator;
        std::deque<open_ask> asks;
        std::vector<instant> sent;
    };

    constexpr duration window = 4s;
    double allowedInWindow(double perSecond) { return 1.5 * perSecond * 4 + 5; }

} // namespace

BOOST_AUTO_TEST_SUITE(request_limits_suite)

BOOST_AUTO_TEST_CASE(a_target_without_a_limit_takes_all)
{
    request_limits limits;
    BOOST_TEST(limits.mayStart(slot, instant {}));
    limits.want(slot);
    BOOST_TEST(limits.takeDue(instant {}).empty());
}

BOOST_AUTO_TEST_CASE(instances_together_send_no_more_than_the_limit)
{
    test::checkProperty("any demand, members that stop and lost answers", [] {
        const auto count = *rc::gen::inRange<std::size_t>(1, 30);
        const double perSecond = *rc::gen::inRange(1, 200) / 10.0;
        limited_target world(count, perSecond);
        for (int phase = 0; phase < 10; ++phase) {
            for (auto& sender : world.senders) {
                sender.demandPerSecond = *rc::gen::inRange(0, 200) / 10.0;
                sender.isDown = *rc::gen::inRange(0, 10) == 0;
            }
            if (*rc::gen::inRange(0, 5) == 0)
                world.allocator = limit_allocator(); // another instance shares it out from now on
            const bool lose = *rc::gen::inRange(0, 5) == 0;
            for (int i = 0; i < 100; ++i)
                world.step(20ms, lose);
        }
        RC_ASSERT(static_cast<double>(world.mostIn(window)) <= allowedInWindow(perSecond));
    });
}

BOOST_AUTO_TEST_CASE(demand_at_a_single_instance_gets_nearly_the_whole_limit)
{
    for (const double perSecond : { 0.5, 2.2, 10.0, 80.0 }) {
        limited_target world(20, perSecond);
        world.senders[7].demandPerSecond = 3 * perSecond;
        for (int i = 0; i < 1500; ++i)
            world.step(20ms, false);
        BOOST_TEST(static_cast<double>(world.sent.size()) >= 0.8 * perSecond * 30, perSecond);
    }
}

BOOST_AUTO_TEST_CASE(instances_with_equal_demand_get_equal_parts)
{
    limited_target world(4, 8);
    for (auto& sender : world.senders)
        sender.demandPerSecond = 20;
    std::vector<std::size_t> parts;
    for (auto& sender : world.senders)
        sender.waiting = 1;
    for (int i = 0; i < 1500; ++i)
        world.step(20ms, false);
    BOOST_TEST(static_cast<double>(world.sent.size()) >= 0.8 * 8 * 30);
    for (auto& sender : world.senders)
        BOOST_TEST(sender.limits.shareOf(slot) == 2);
}

BOOST_AUTO_TEST_CASE(a_limit_ends_when_an_answer_names_none)
{
    request_limits limits;
    const instant named { 10s };
    BOOST_TEST((limits.observe(slot, 3.0, named - 1s, named) == limit_change::Named));
    BOOST_TEST(!limits.mayStart(slot, named));
    // Sent before the limit was named: overtaken by the answer that names it.
    BOOST_TEST((limits.observe(slot, std::nullopt, named - 1ms, named + 1s) == limit_change::None));
    BOOST_TEST(!limits.mayStart(slot, named + 1s));
    BOOST_TEST((limits.observe(slot, std::nullopt, named + 1ms, named + 1s) == limit_change::Ended));
    BOOST_TEST(limits.mayStart(slot, named + 1s));
}

BOOST_AUTO_TEST_CASE(requests_that_were_not_allowed_count_against_the_next_allowance)
{
    request_limits limits;
    const instant start { 10s };
    limits.observe(slot, 3.0, start, start);
    limits.started(slot, start);
    limits.granted(slot, { 1, 50ms, 3 }, start, start);
    BOOST_TEST(!limits.mayStart(slot, start));
    limits.granted(slot, { 1, 50ms, 3 }, start, start);
    BOOST_TEST(limits.mayStart(slot, start));
}

BOOST_AUTO_TEST_CASE(a_restarted_target_begins_without_the_old_limit)
{
    limit_allocator allocator;
    const instant start { 10s };
    const instance_id asker("i1");
    BOOST_TEST(allocator.grant(target, incarnation(2), 100, 0s, asker, start).requests == 1U);
    BOOST_TEST(allocator.grant(target, incarnation(1), 1, 0s, asker, start + 1s).requests == 0U);
    BOOST_TEST(allocator.grant(target, incarnation(2), 100, 0s, asker, start + 1s).sharePerSecond == 100);
}

BOOST_AUTO_TEST_CASE(an_older_statement_does_not_replace_a_newer_limit)
{
    limit_allocator allocator;
    const instant start { 10s };
    allocator.grant(target, first, 2, 0s, instance_id("i1"), start);
    BOOST_TEST(allocator.grant(target, first, 50, 3s, instance_id("i1"), start + 1s).sharePerSecond == 2);
    BOOST_TEST(allocator.grant(target, first, 5, 0s, instance_id("i1"), start + 2s).sharePerSecond == 5);
}

BOOST_AUTO_TEST_CASE(a_limit_of_nothing_lets_a_request_through_now_and_then)
{
    limited_target world(3, 0);
    world.senders[1].demandPerSecond = 1;
    for (int i = 0; i < 1500; ++i)
        world.step(20ms, false);
    BOOST_TEST(world.sent.size() >= 3U);
    BOOST_TEST(static_cast<double>(world.mostIn(window)) <= allowedInWindow(0));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
