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

    // A run whose first group of step 0 is in the ledger at revision 2.
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

// Asking for a batch whose predecessor was never handed over acknowledges nothing.
BOOST_AUTO_TEST_CASE(anAskedBatchOutOfTurnIsRefused)
{
    run_coordinator machine = startedRun();
    const auto first = [&](const run_event& event) { return machine.handle(event, instant()).at(0); };
    const auto confirm = std::get<confirm_ledger>(first(batch_asked { trainer_call(2), step_number(1) }));
    BOOST_TEST(confirm.expected == revision(2));
    const auto refused = std::get<answer_refused>(first(ledger_confirmed { confirm.call, revision(2) }));
    BOOST_TEST((refused.reason.code == error_code::InvalidArgument));
    BOOST_TEST(machine.head().acknowledged == step_number(0));
}

// What an earlier leg still sends neither counts nor harms the one that goes on.
BOOST_AUTO_TEST_CASE(anEarlierLegIsIgnored)
{
    run_coordinator machine = startedRun();
    const instant later = instant() + std::chrono::seconds(5);
    const dispatch_slot whole = machine.takeDispatch(instant()).value();
    machine.handle(chunk_received { whole.stream, { weight_version(1), 0, 4 } }, instant());
    machine.handle(generation_failed { whole.stream, true }, instant());
    machine.handle(tick {}, later);
    const dispatch_slot rest = machine.takeDispatch(later).value();
    BOOST_TEST((rest.stream.attempt == whole.stream.attempt && rest.stream.leg == 1u && rest.resumeFrom == 4u));

    machine.handle(chunk_received { whole.stream, { weight_version(1), 4, 2 } }, later);
    BOOST_TEST(machine.handle(generation_finished { whole.stream, 6 }, later).empty());
    machine.handle(chunk_received { rest.stream, { weight_version(2), 4, 3 } }, later);
    const auto judge = machine.handle(generation_finished { rest.stream, 7 }, later);
    BOOST_REQUIRE(judge.size() == 1u);
    const auto& call = std::get<call_judge>(judge[0]);
    const auto store = std::get<store_payload>(machine.handle(sample_judged { call.stream }, later).at(0));
    const std::vector<version_span> spans { { weight_version(1), 0, 3 }, { weight_version(2), 4, 6 } };
    BOOST_TEST((store.spans == spans));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail::test
