// Tests of a run's coordinator over generated histories: crashes and take-overs at any
// point, two coordinators at once, lost and late responses, versions published at any
// time, lost payload holders. rollout_world checks the invariants; here are the histories.
#include "property.h"
#include "rollout_world.h"

namespace lovagerail::test {

namespace {

    std::uint64_t anySeed()
    {
        return *rc::gen::noShrink(rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
    }

    // A coordinator that has the first group of step 0 in the ledger, at revision 2.
    run_coordinator startedRun()
    {
        run_coordinator machine(rollout_world::smallRun());
        const auto first = [&](const run_event& event) { return machine.handle(event, instant()).at(0); };
        const auto read = std::get<read_ledger>(first(taken_over { fencing_number(1) }));
        const auto claim = std::get<write_ledger>(first(ledger_content { read.call, revision(), {}, {}, {} }));
        machine.handle(ledger_confirmed { claim.call, revision(1) }, instant());
        const group_record group { group_number(0), digestOf("p"), 10, { { instance_id("i"), incarnation(1) } } };
        const auto page = std::get<write_ledger>(first(groups_supplied { trainer_call(1), step_number(0), { group } }));
        machine.handle(ledger_confirmed { page.call, revision(2) }, instant());
        return machine;
    }

} // namespace

BOOST_AUTO_TEST_SUITE(run_suite)

BOOST_AUTO_TEST_CASE(invariantsHoldUnderFaults)
{
    std::uint64_t steps = 0;
    std::uint64_t repeatedBatches = 0;
    std::uint64_t reopenedBatches = 0;
    checkProperty("faults and crashes", [&] {
        rollout_world world(anySeed());
        for (int i = 0; i < 6'000; ++i)
            world.simulateEvent();
        world.runWithoutFaults(2);
        steps += world.acknowledgedSteps();
        repeatedBatches += world.repeatedBatches();
        reopenedBatches += world.reopenedBatches();
    });
    BOOST_TEST_MESSAGE("steps " << steps << ", repeats " << repeatedBatches << ", reopened " << reopenedBatches);
    BOOST_TEST(steps > 800);
    BOOST_TEST(repeatedBatches > 100);
    BOOST_TEST(reopenedBatches > 10);
}

BOOST_AUTO_TEST_CASE(faultFreeHistoriesWasteNothing)
{
    checkProperty("no faults", [] {
        rollout_world world(anySeed());
        world.faults = false;
        world.crashes = false;
        world.runWithoutFaults(4);
        const run_counts counts = world.counts();
        RC_ASSERT(counts.unusable == 0u);
        RC_ASSERT(counts.lost == 0u);
        RC_ASSERT(counts.judgeUnknown == 0u);
        RC_ASSERT(world.acknowledgedSteps() == 4u);
    });
}

// A request for a batch whose predecessor was never handed over acknowledges nothing.
BOOST_AUTO_TEST_CASE(batchRequestOutOfOrderIsRefused)
{
    run_coordinator machine = startedRun();
    const auto first = [&](const run_event& event) { return machine.handle(event, instant()).at(0); };
    const auto confirm = std::get<confirm_ledger>(first(batch_requested { trainer_call(2), step_number(1) }));
    BOOST_TEST(confirm.expected == revision(2));
    const auto refused = std::get<answer_refused>(first(ledger_confirmed { confirm.call, revision(2) }));
    BOOST_TEST((refused.reason.code == error_code::InvalidArgument));
    BOOST_TEST(machine.head().acknowledged == step_number(0));
}

// Late chunks of an earlier leg of an attempt are ignored and don't disturb the current leg.
BOOST_AUTO_TEST_CASE(eventsOfAnEarlierLegAreIgnored)
{
    run_coordinator machine = startedRun();
    const instant later = instant() + std::chrono::seconds(5);
    const dispatch_slot firstLeg = machine.takeDispatch(instant()).value();
    machine.handle(chunk_received { firstLeg.stream, { weight_version(1), 0, 4 } }, instant());
    machine.handle(generation_failed { firstLeg.stream, true }, instant());
    machine.handle(tick {}, later);
    const dispatch_slot secondLeg = machine.takeDispatch(later).value();
    BOOST_TEST((secondLeg.stream.attempt == firstLeg.stream.attempt && secondLeg.stream.leg == 1u && secondLeg.resumeFrom == 4u));

    machine.handle(chunk_received { firstLeg.stream, { weight_version(1), 4, 2 } }, later);
    BOOST_TEST(machine.handle(generation_finished { firstLeg.stream, 6 }, later).empty());
    machine.handle(chunk_received { secondLeg.stream, { weight_version(2), 4, 3 } }, later);
    const auto judge = machine.handle(generation_finished { secondLeg.stream, 7 }, later);
    BOOST_REQUIRE(judge.size() == 1u);
    const auto& call = std::get<call_judge>(judge[0]);
    const auto store = std::get<store_payload>(machine.handle(sample_judged { call.stream }, later).at(0));
    const std::vector<version_span> spans { { weight_version(1), 0, 3 }, { weight_version(2), 4, 6 } };
    BOOST_TEST((store.spans == spans));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail::test
