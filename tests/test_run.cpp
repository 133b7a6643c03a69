// The coordinator of a run under generated histories: crashes and take-overs at any
// point, two coordinators at once, lost and late answers, versions published at any
// moment, holders lost. rollout_world checks what must hold; here are the histories.
#include "property.h"
#include "rollout_world.h"

namespace lovagerail::test {

namespace {

    std::uint64_t anySeed()
    {
        return *rc::gen::noShrink(rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
    }

} // namespace

BOOST_AUTO_TEST_SUITE(run_suite)

BOOST_AUTO_TEST_CASE(everyPromiseHoldsUnderFaults)
{
    std::uint64_t steps = 0;
    std::uint64_t repeats = 0;
    std::uint64_t reopened = 0;
    checkProperty("faults and crashes", [&] {
        rollout_world world(anySeed());
        for (int i = 0; i < 6'000; ++i)
            world.move();
        world.settle(2);
        steps += world.acknowledgedSteps();
        repeats += world.repeats();
        reopened += world.reopened();
    });
    BOOST_TEST_MESSAGE("steps " << steps << ", repeats " << repeats << ", reopened " << reopened);
    BOOST_TEST(steps > 800);
    BOOST_TEST(repeats > 100);
    BOOST_TEST(reopened > 10);
}

BOOST_AUTO_TEST_CASE(quietHistoriesWasteNothing)
{
    checkProperty("no faults", [] {
        rollout_world world(anySeed());
        world.faults = false;
        world.crashes = false;
        world.settle(4);
        const run_counts counts = world.counts();
        RC_ASSERT(counts.unusable == 0u);
        RC_ASSERT(counts.lost == 0u);
        RC_ASSERT(counts.judgeUnknown == 0u);
        RC_ASSERT(world.acknowledgedSteps() == 4u);
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail::test
