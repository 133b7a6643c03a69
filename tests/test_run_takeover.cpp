// The coordinator of a run lost at each point of a history in turn.
#include "property.h"
#include "rollout_world.h"

namespace lovagerail::test {

BOOST_AUTO_TEST_SUITE(run_takeover_suite)

// One history without faults, cut by a take-over after each of its moves in turn.
BOOST_AUTO_TEST_CASE(aTakeOverAfterAnyMoveLosesNothing)
{
    constexpr int moves = 700;
    for (int cut = 0; cut < moves; ++cut) {
        rollout_world world(7);
        world.faults = false;
        world.crashes = false;
        for (int i = 0; i < cut; ++i)
            world.move();
        BOOST_REQUIRE_NO_THROW(world.settle(2));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail::test
