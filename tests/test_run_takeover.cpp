// Test of take-overs: a run's coordinator is lost after each event of a history in turn.
#include "property.h"
#include "rollout_world.h"

namespace lovagerail::test {

BOOST_AUTO_TEST_SUITE(run_takeover_suite)

// One history without faults, interrupted by a take-over after each of its events in turn.
BOOST_AUTO_TEST_CASE(takeOverAfterAnyEventLosesNothing)
{
    constexpr int eventCount = 700;
    for (int takeOverAt = 0; takeOverAt < eventCount; ++takeOverAt) {
        rollout_world world(7);
        world.faults = false;
        world.crashes = false;
        for (int i = 0; i < takeOverAt; ++i)
            world.simulateEvent();
        BOOST_REQUIRE_NO_THROW(world.runWithoutFaults(2));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail::test
