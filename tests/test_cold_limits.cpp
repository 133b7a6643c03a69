// Tests of limits of cold targets: over generated demand, changes of the instance that shares the
// limit out, and instances that nobody answers, no second has more requests than the bound allows.
#include "edge/entry_settings.h"
#include "platform/desired_state.h"
#include "property.h"
#include "request_limits.h"
#include "router.h"

#include <algorithm>
#include <array>
#include <deque>

namespace lovagerail {
namespace {

    using namespace std::chrono_literals;

    const target_slot slot { 0 };
    const target_id target("t");
    const incarnation first { 1 };
    const cold_bound usual { 16, 1.5, 5 };

    enum class share_source {
        FirstAllocator,
        SecondAllocator, // as that instance's list of members differs
        OwnTurns, // as neither answers
        Count,
    };

    // Instances with requests for one cold target.
    struct cold_world {
        struct sending_instance {
            request_limits limits { coldLimitSettings() };
            double demandPerSecond = 0;
            double waiting = 0; // requests
            share_source source = share_source::FirstAllocator;
            duration clockError {};
            std::optional<wall_time> lastTurn {};
        };
        struct open_ask {
            std::size_t sender = 0;
            instant askedAt;
            instant answeredAt;
            allowance given;
            bool lost = false;
        };

        cold_world(std::size_t count, const cold_bound& limit)
            : senders(count)
            , bound(limit)
        {
            setCold(true);
        }

        void setCold(bool cold)
        {
            isCold = cold;
            for (auto& sender : senders)
                sender.limits.observe(slot, cold ? std::optional(sharedColdRate(bound)) : std::nullopt, now, now);
        }

        void step(duration span, bool loseAnswers)
        {
            now += span;
            for (std::size_t i = 0; i < senders.size(); ++i)
                stepSender(i, span, loseAnswers);
            while (!asks.empty() && asks.front().answeredAt <= now) {
                const auto& ask = asks.front();
                if (ask.lost)
                    senders[ask.sender].limits.askFailed(slot);
                else
                    senders[ask.sender].limits.granted(slot, ask.given, ask.askedAt, now);
                asks.pop_front();
            }
        }

        void stepSender(std::size_t i, duration span, bool loseAnswers)
        {
            auto& sender = senders[i];
            sender.waiting = std::min(sender.waiting + sender.demandPerSecond * std::chrono::duration<double>(span).count(), 100.0);
            while (sender.waiting >= 1 && sender.limits.mayStart(slot, now)) {
                sender.limits.started(slot, now);
                sender.waiting -= 1;
                if (isCold)
                    sent.push_back(now);
            }
            if (sender.waiting >= 1)
                sender.limits.want(slot);
            if (sender.limits.takeDue(now).empty())
                return;
            const auto rate = sharedColdRate(bound);
            if (sender.source == share_source::OwnTurns) {
                const wall_time wall { std::chrono::duration_cast<wall_time::duration>(std::chrono::hours(480'000) + now.time_since_epoch() + sender.clockError) };
                sender.limits.granted(slot, takeTurn(rate, i, senders.size(), wall, sender.lastTurn), now, now);
                return;
            }
            auto& allocator = allocators[sender.source == share_source::FirstAllocator ? 0 : 1];
            asks.push_back({ i, now, now + 5ms, allocator.grant(target, first, rate, 0s, instance_id("i" + std::to_string(i)), now), loseAnswers });
        }

        std::size_t mostInASecond() const
        {
            std::size_t most = 0;
            std::size_t begin = 0;
            for (std::size_t end = 0; end < sent.size(); ++end) {
                while (sent[end] - sent[begin] >= 1s)
                    ++begin;
                most = std::max(most, end - begin + 1);
            }
            return most;
        }

        void demandOfAll(double perSecond, share_source source)
        {
            for (auto& sender : senders) {
                sender.demandPerSecond = perSecond;
                sender.source = source;
            }
        }

        instant now { 10s };
        bool isCold = false;
        std::vector<sending_instance> senders;
        cold_bound bound;
        std::array<limit_allocator, 2> allocators { limit_allocator(coldLimitSettings()), limit_allocator(coldLimitSettings()) };
        std::deque<open_ask> asks;
        std::vector<instant> sent; // while the target is cold
    };

    struct two_targets {
        two_targets()
        {
            targets.setClass(all, [](const target_record&) { return true; });
            std::vector<listed_target> rows(2);
            for (std::size_t i = 0; i < rows.size(); ++i) {
                rows[i].id = target_id("t" + std::to_string(i));
                rows[i].kind = target_kind::Service;
            }
            targets.applyList(rows, now);
        }

        route_decision choose(std::uint64_t seed)
        {
            route_request request;
            request.routingClass = all;
            request.seed = seed;
            return targets.choose(request, now);
        }

        instant now { 10s };
        routing_class_id all { "all" };
        router targets { {} };
    };

} // namespace

BOOST_AUTO_TEST_SUITE(cold_limits_suite)

// Guards against a sum over the instances above the bound: whoever shares out, with lost answers,
// with two instances that share out at once, and without any.
BOOST_AUTO_TEST_CASE(no_second_has_more_requests_than_the_bound)
{
    test::checkProperty("any demand, sources of shares that change and lost answers", [] {
        const auto count = *rc::gen::inRange<std::size_t>(1, 56);
        const cold_bound bound { *rc::gen::inRange(5, 400) / 10.0, 1.5, 5 };
        cold_world world(count, bound);
        for (int phase = 0; phase < 8; ++phase) {
            for (auto& sender : world.senders) {
                sender.demandPerSecond = *rc::gen::inRange(0, 200) / 10.0;
                sender.source = static_cast<share_source>(*rc::gen::inRange(0, static_cast<int>(share_source::Count)));
            }
            if (*rc::gen::inRange(0, 5) == 0)
                world.allocators[0] = limit_allocator(coldLimitSettings()); // another instance from now on
            const bool lose = *rc::gen::inRange(0, 5) == 0;
            for (int i = 0; i < 60; ++i)
                world.step(20ms, lose);
        }
        RC_ASSERT(static_cast<double>(world.mostInASecond()) <= bound.requestsInAnySecond());
    });
}

// Guards against two instances that share out at once and together exceed the bound: the shared
// rate must leave room for both.
BOOST_AUTO_TEST_CASE(two_allocators_stay_within_the_bound_together)
{
    cold_world world(40, usual);
    world.demandOfAll(50, share_source::FirstAllocator);
    for (std::size_t i = 0; i < 20; ++i)
        world.senders[i].source = share_source::SecondAllocator;
    for (int i = 0; i < 500; ++i)
        world.step(20ms, false);
    BOOST_TEST(world.mostInASecond() > 1.5 * sharedColdRate(usual)); // both do give out
    BOOST_TEST(static_cast<double>(world.mostInASecond()) <= usual.requestsInAnySecond());
}

// Guards against a cold target that is left unused.
BOOST_AUTO_TEST_CASE(the_shared_rate_is_used_by_one_instance_or_many)
{
    const double rate = sharedColdRate(usual);
    BOOST_TEST(rate > 0.4 * usual.perSecond);
    for (const std::size_t demanding : { 1, 30 }) {
        cold_world world(30, usual);
        for (std::size_t i = 0; i < demanding; ++i)
            world.senders[i].demandPerSecond = 2 * rate;
        for (int i = 0; i < 1500; ++i)
            world.step(20ms, false);
        BOOST_TEST(static_cast<double>(world.sent.size()) >= 0.8 * rate * 30, demanding);
    }
}

// Guards against instances that all take their share at the same moment when nobody shares the
// limit out, also with clocks that are apart, and against taking no share at all.
BOOST_AUTO_TEST_CASE(without_an_allocator_each_instance_takes_its_equal_share)
{
    test::checkProperty("any clocks", [] {
        cold_world world(55, usual);
        world.demandOfAll(10, share_source::OwnTurns);
        for (auto& sender : world.senders)
            sender.clockError = *rc::gen::inRange(-50, 50) * 1ms;
        for (int i = 0; i < 1500; ++i)
            world.step(20ms, false);
        RC_ASSERT(static_cast<double>(world.mostInASecond()) <= usual.requestsInAnySecond());
        RC_ASSERT(static_cast<double>(world.sent.size()) >= 0.6 * sharedColdRate(usual) * 30);
    });
}

// Guards against allowances or turns kept from an earlier time that the target was cold.
BOOST_AUTO_TEST_CASE(a_target_that_becomes_cold_again_is_limited_anew)
{
    cold_world world(30, usual);
    world.demandOfAll(20, share_source::FirstAllocator);
    for (int round = 0; round < 6; ++round) {
        for (int i = 0; i < 40; ++i)
            world.step(20ms, false);
        world.setCold(false);
        for (int i = 0; i < 5; ++i)
            world.step(20ms, false);
        world.setCold(true);
    }
    BOOST_TEST(static_cast<double>(world.mostInASecond()) <= usual.requestsInAnySecond());
}

// Guards against a shared rate above the target's own, of none at all, or above the bound.
BOOST_AUTO_TEST_CASE(the_shared_rate_stays_within_the_rate_and_the_bound)
{
    test::checkProperty("any bound", [] {
        const cold_bound bound { *rc::gen::inRange(1, 10'000) / 10.0, 1 + *rc::gen::inRange(0, 20) / 10.0, *rc::gen::inRange(0, 100) / 10.0 };
        const double rate = sharedColdRate(bound);
        RC_ASSERT(rate > 0 && rate <= bound.perSecond);
    });
}

// Guards against requests to a target that starts cold before an allowance was given, and against
// a target that stays limited once it is warm.
BOOST_AUTO_TEST_CASE(a_target_that_starts_cold_gets_nothing_without_an_allowance)
{
    two_targets world;
    const target_id cold("t0");
    BOOST_TEST(world.targets.setColdLimit(cold, 7.0, world.now));
    BOOST_TEST(!world.targets.setColdLimit(cold, 7.0, world.now));
    for (std::uint64_t seed = 0; seed < 50; ++seed)
        BOOST_TEST(std::get<route_choice>(world.choose(seed)).target != cold);
    const auto due = world.targets.coldLimits().takeDue(world.now);
    BOOST_REQUIRE(due.size() == 1U);
    BOOST_TEST(world.targets.limits().takeDue(world.now).empty()); // the other kind is not asked for
    world.targets.coldLimits().granted(due.front(), { 1, 50ms, 7 }, world.now, world.now);
    BOOST_TEST(world.targets.mayStart(due.front(), world.now));
    world.targets.sentBeside(cold, world.now);
    BOOST_TEST(!world.targets.mayStart(due.front(), world.now));
    BOOST_TEST(world.targets.setColdLimit(cold, std::nullopt, world.now));
    BOOST_TEST(world.targets.mayStart(due.front(), world.now));
}

// Guards against the higher limit being taken where a cold target also names one, and against
// callers who are told a time that the lower one does not allow.
BOOST_AUTO_TEST_CASE(of_two_limits_the_lower_one_applies)
{
    two_targets world;
    for (const auto* name : { "t0", "t1" }) {
        world.targets.setColdLimit(target_id(name), 8.0, world.now);
        world.targets.applyLimit(target_id(name), incarnation(), 2.0, world.now, world.now);
    }
    const auto decision = world.choose(1);
    BOOST_REQUIRE(std::holds_alternative<no_route>(decision));
    BOOST_TEST((std::get<no_route>(decision).reason == no_route_reason::RateLimited));
    BOOST_TEST((std::get<no_route>(decision).retryAfter == 250ms)); // two targets with two a second
    const auto due = world.targets.coldLimits().takeDue(world.now);
    for (const auto limited : due)
        world.targets.coldLimits().granted(limited, { 1, 50ms, 8 }, world.now, world.now);
    BOOST_TEST(std::holds_alternative<no_route>(world.choose(2)));
}

// Guards against deployments without the rule being limited, and malformed numbers being taken.
BOOST_AUTO_TEST_CASE(the_rate_and_the_bound_are_read_where_they_are_given)
{
    const auto site = platform::decodeSite(R"({"version":1,"services":[{"name":"a","coldStartS":8,"coldPerS":16},{"name":"b"},{"name":"c","coldPerS":-1}]})");
    BOOST_REQUIRE(site.has_value());
    BOOST_TEST(site->service(service_id("a"))->coldPerSecond == 16);
    BOOST_TEST(site->service(service_id("b"))->coldPerSecond == 0);
    BOOST_TEST(site->service(service_id("c"))->coldPerSecond == 0);
    const std::string head = "[instance]\nname = \"a\"\nfailure_domain = \"z\"\n[listen]\nmetrics = \"127.0.0.1:1\"\n[store]\naddress = \"127.0.0.1:2\"\n[bounds]\n";
    const auto with = edge::readEntrySettings(head + "cold_overshoot = 1.5\ncold_slack = 5\n", "f.toml");
    BOOST_TEST(with.faults.empty());
    BOOST_TEST(with.value.bounds.coldOvershoot == 1.5);
    BOOST_TEST(with.value.bounds.coldSlack == 5);
    BOOST_TEST(edge::readEntrySettings(head, "f.toml").value.bounds.coldOvershoot == 0);
    BOOST_TEST(edge::readEntrySettings(head + "cold_overshoot = 0.5\n", "f.toml").faults.size() == 1U);
    BOOST_TEST(edge::readEntrySettings(head + "cold_slack = \"5\"\n", "f.toml").faults.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
