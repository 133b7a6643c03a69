// Tests of membership over generated histories of message loss, one-way loss,
// partitions, pauses, restarts and planned stops. In the end all live instances agree,
// no reachable one stays declared dead, and an older incarnation never wins.
#include "membership_world.h"
#include "property.h"

namespace lovagerail {
namespace {

    using test::membership_world;

    // Periods within which a dead instance is detected and all agree, for fleets of up to
    // 16: a probe round (16), suspicion (4 and log2 of 16), dissemination and a margin.
    constexpr std::size_t detectionPeriods = 45;
    // Periods within which all agree after any history of faults. More than above, as a member
    // believed dead is pinged only every fourth period.
    constexpr std::size_t convergencePeriods = 120;

    member_update anyUpdate()
    {
        member_update out;
        out.id = instance_id("one");
        out.incarnationNumber = incarnation(*rc::gen::inRange<std::uint64_t>(1, 4));
        out.address = "http://life-" + std::to_string(out.incarnationNumber.value());
        out.counter = *rc::gen::inRange<std::uint32_t>(0, 3);
        out.state = static_cast<member_state>(*rc::gen::inRange(0, 3));
        out.leaving = *rc::gen::inRange(0, 4) == 0;
        return out;
    }

    std::size_t anyNode(membership_world& world)
    {
        return world.random() % world.nodes().size();
    }

    // Applies one event of a history: pause, stop, restart, leave, a broken link, a
    // partition by failure domain, random loss, or the end of network faults.
    void applyEvent(membership_world& world, std::uint64_t kind)
    {
        const auto i = anyNode(world);
        const auto j = anyNode(world);
        auto& node = world.nodes()[i];
        if (kind == 0) {
            node.paused = !node.paused;
        } else if (kind == 1) {
            world.stop(i);
        } else if (kind == 2) {
            world.start(i, node.incarnationNumber + 1);
        } else if (kind == 3 && node.running) {
            world.leave(i);
        } else if (kind == 4) {
            world.setLinkFilter([i, j](std::size_t from, std::size_t to) { return from != i || to != j; });
        } else if (kind == 5) {
            world.setLinkFilter([i](std::size_t from, std::size_t to) { return (membership_world::domain(from) == i % 3) == (membership_world::domain(to) == i % 3); });
        } else if (kind == 6) {
            world.setLinkFilter([&world](std::size_t, std::size_t) { return world.random() % 10 >= 3; });
        } else {
            world.setLinkFilter({});
        }
    }

} // namespace

BOOST_AUTO_TEST_SUITE(membership_suite)

BOOST_AUTO_TEST_CASE(merge_does_not_depend_on_order_or_repeats)
{
    test::checkProperty("join", [] {
        const auto a = anyUpdate();
        const auto b = anyUpdate();
        const auto c = anyUpdate();
        auto left = a;
        merge(left, b);
        merge(left, c);
        auto right = c;
        merge(right, b);
        merge(right, a);
        RC_ASSERT(left == right);
        RC_ASSERT(!merge(left, b));
        RC_ASSERT(left.incarnationNumber >= std::max({ a.incarnationNumber, b.incarnationNumber, c.incarnationNumber }));
    });
}

// After any history, all running instances agree once the network works again.
BOOST_AUTO_TEST_CASE(all_live_agree_after_any_history)
{
    test::checkProperty("agree", [] {
        const auto size = *rc::gen::inRange<std::size_t>(2, 17);
        membership_world world(size, *rc::gen::inRange<std::uint64_t>(0, 1u << 30));
        const auto events = *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(0, 8));
        for (const auto kind : events) {
            applyEvent(world, kind);
            world.runPeriods(1 + world.random() % 6);
        }
        world.setLinkFilter({});
        for (auto& node : world.nodes())
            node.paused = false;
        RC_ASSERT(world.periodsUntilConverged(convergencePeriods) < convergencePeriods);
        RC_ASSERT(!world.hasIncarnationDecreased());
    });
}

BOOST_AUTO_TEST_CASE(a_dead_instance_is_detected_within_the_bound)
{
    test::checkProperty("found", [] {
        const auto size = *rc::gen::inRange<std::size_t>(3, 17);
        membership_world world(size, *rc::gen::inRange<std::uint64_t>(0, 1u << 30));
        RC_ASSERT(world.periodsUntilConverged(convergencePeriods) < convergencePeriods);
        world.stop(anyNode(world));
        RC_ASSERT(world.periodsUntilConverged(detectionPeriods) < detectionPeriods);
    });
}

// A broken link, one way or both, and light loss: indirect probes go around the link,
// so no instance is declared dead for longer than a few periods.
BOOST_AUTO_TEST_CASE(a_reachable_instance_does_not_stay_dead)
{
    test::checkProperty("reachable", [] {
        const auto size = *rc::gen::inRange<std::size_t>(5, 17);
        membership_world world(size, *rc::gen::inRange<std::uint64_t>(0, 1u << 30));
        RC_ASSERT(world.periodsUntilConverged(convergencePeriods) < convergencePeriods);
        const bool isOneWay = *rc::gen::arbitrary<bool>();
        world.setLinkFilter([&world, isOneWay](std::size_t from, std::size_t to) {
            const bool isCut = (from == 0 && to == 1) || (!isOneWay && from == 1 && to == 0);
            return !isCut && world.random() % 100 >= 5;
        });
        std::map<std::pair<std::size_t, std::size_t>, std::size_t> deadFor;
        constexpr std::size_t mostDeadPeriods = 8;
        for (std::size_t passed = 0; passed < 60; ++passed) {
            world.runPeriods(1);
            for (std::size_t i = 0; i < size; ++i) {
                for (std::size_t other = 0; other < size; ++other) {
                    auto& periods = deadFor[{ i, other }];
                    const auto* known = world.nodes()[i].members->find(membership_world::name(other));
                    periods = known != nullptr && known->state == member_state::Dead ? periods + 1 : 0;
                    RC_ASSERT(periods <= mostDeadPeriods);
                }
            }
        }
    });
}

// One link is broken and all others work: indirect probes succeed before suspicion begins.
BOOST_AUTO_TEST_CASE(a_single_broken_link_causes_no_suspicion)
{
    test::checkProperty("relays", [] {
        const auto size = *rc::gen::inRange<std::size_t>(5, 17);
        membership_world world(size, *rc::gen::inRange<std::uint64_t>(0, 1u << 30));
        RC_ASSERT(world.periodsUntilConverged(convergencePeriods) < convergencePeriods);
        world.setLinkFilter([](std::size_t from, std::size_t to) { return from + to != 1; });
        for (std::size_t passed = 0; passed < 40; ++passed) {
            world.runPeriods(1);
            RC_ASSERT(world.hasConverged());
        }
    });
}

// An instance that was itself paused between ping and answer must not suspect the other.
BOOST_AUTO_TEST_CASE(own_pause_causes_no_suspicion_of_others)
{
    using namespace std::chrono_literals;
    membership_settings settings;
    settings.self = { instance_id("a"), "http://a", failure_domain_id("x"), incarnation(1), 0, member_state::Alive, false };
    membership one(settings, 1);
    member_message hello;
    hello.from = { instance_id("b"), "http://b", failure_domain_id("x"), incarnation(1), 0, member_state::Alive, false };
    one.onMessage(hello, instant { 10s });
    BOOST_TEST(one.tick(instant { 11s }).size() == 1u);
    one.tick(instant { 11s + 200ms });
    one.tick(instant { 41s });
    BOOST_TEST((one.find(hello.from.id)->state == member_state::Alive));
    // Without a pause, a missing answer does lead to suspicion.
    for (int i = 1; i < 15; ++i)
        one.tick(instant { 41s + i * 200ms });
    BOOST_TEST((one.find(hello.from.id)->state == member_state::Suspect));
}

// An instance paused for long is declared dead; it refutes this under the same incarnation.
BOOST_AUTO_TEST_CASE(a_resumed_instance_refutes_its_death)
{
    membership_world world(8, 3);
    BOOST_REQUIRE_LT(world.periodsUntilConverged(convergencePeriods), convergencePeriods);
    world.nodes()[2].paused = true;
    world.runPeriods(detectionPeriods);
    BOOST_TEST((world.nodes()[0].members->find(membership_world::name(2))->state == member_state::Dead));
    world.nodes()[2].paused = false;
    world.runPeriods(1);
    // It doesn't suspect the others because of its own pause.
    for (const auto& one : world.nodes()[2].members->live())
        BOOST_TEST((one.state == member_state::Alive));
    BOOST_TEST(world.periodsUntilConverged(10) < 10u);
    BOOST_TEST(world.nodes()[0].members->find(membership_world::name(2))->incarnationNumber.value() == 1u);
    BOOST_TEST(world.nodes()[0].members->find(membership_world::name(2))->counter > 0u);
}

// An isolated instance can't tell who is dead, and reports that it reaches only itself.
BOOST_AUTO_TEST_CASE(an_isolated_instance_declares_nobody_dead)
{
    membership_world world(8, 5);
    BOOST_REQUIRE_LT(world.periodsUntilConverged(convergencePeriods), convergencePeriods);
    world.setLinkFilter([](std::size_t from, std::size_t to) { return from != 4 && to != 4; });
    world.runPeriods(detectionPeriods);
    auto& isolated = *world.nodes()[4].members;
    BOOST_TEST(isolated.reachable(world.now()) == 1u);
    for (const auto& one : isolated.live())
        BOOST_TEST((one.state != member_state::Dead));
    BOOST_TEST(isolated.liveCount() == 7u);
    BOOST_TEST(world.nodes()[0].members->reachable(world.now()) == 7u);
}

BOOST_AUTO_TEST_CASE(a_fleet_of_410_converges_with_bounded_messages)
{
    membership_world world(410, 7, true, false);
    BOOST_TEST(world.periodsUntilConverged(convergencePeriods) < convergencePeriods);
    world.stop(17);
    BOOST_TEST(world.periodsUntilConverged(detectionPeriods) < detectionPeriods);
    BOOST_TEST(world.counts().largest < 5000u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
