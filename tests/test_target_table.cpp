// Tests of the target table: merging of delayed and repeated information, and that classes
// always match their predicates while labels and states change.
#include "property.h"
#include "target_table.h"

namespace lovagerail {
namespace {

    using namespace std::chrono_literals;

    const routing_class_id everything("everything");
    const routing_class_id green("green");

    bool isGreen(const target_record& record)
    {
        const auto it = record.labels.find("colour");
        return it != record.labels.end() && it->second == "green";
    }

    listed_target row(int number, std::uint64_t start, target_state state, bool labelled)
    {
        listed_target listed;
        listed.id = target_id("t" + std::to_string(number));
        listed.pool = pool_id("p");
        listed.kind = target_kind::Service;
        listed.incarnation = incarnation(start);
        listed.state = state;
        listed.labels["colour"] = labelled ? "green" : "red";
        return listed;
    }

    target_table tableWithClasses(target_table_settings settings = {})
    {
        target_table table(settings);
        table.setClass(everything, [](const target_record&) { return true; });
        table.setClass(green, isGreen);
        return table;
    }

    // Checks that each class contains exactly the live targets that satisfy its predicate.
    void checkClasses(const target_table& table)
    {
        std::vector<target_slot> live;
        std::vector<target_slot> liveGreen;
        for (const target_slot slot : table.all()) {
            if (!table.isLive(slot))
                continue;
            live.push_back(slot);
            if (isGreen(table.record(slot)))
                liveGreen.push_back(slot);
        }
        RC_ASSERT(table.allowed(everything) == live);
        RC_ASSERT(table.allowed(green) == liveGreen);
    }

} // namespace

BOOST_AUTO_TEST_SUITE(target_table_suite)

// Where the list is authoritative, a target that it lacks is absent at once, also if an
// answer of the target came in the same moment as the list.
BOOST_AUTO_TEST_CASE(a_target_that_is_not_listed_is_absent_though_it_was_just_heard)
{
    target_table_settings settings;
    settings.absenceGrace = 0ms;
    auto table = tableWithClasses(settings);
    const auto first = row(1, 5, target_state::Live, false);
    const auto second = row(2, 5, target_state::Live, false);
    const instant now { 1h };
    table.applyList({ first, second }, now);
    BOOST_TEST(table.allowed(everything).size() == 2u);
    table.applyReport(first.id, first.incarnation, {}, {}, now);
    table.applyList({ second }, now);
    BOOST_TEST(!table.isLive(*table.find(first.id)));
    BOOST_TEST(table.isLive(*table.find(second.id)));
}

// Over any history of rows, lists, reports and states from any source: once an incarnation
// was reported as leaving, it is never allowed again.
BOOST_AUTO_TEST_CASE(leaving_lasts_until_a_newer_incarnation)
{
    test::checkProperty("leaving holds", [] {
        target_table_settings settings;
        settings.removedRetention = 10000h; // nothing may be forgotten here
        target_table table = tableWithClasses(settings);
        std::map<target_id, std::uint64_t> firstAllowed; // one above the newest incarnation reported as leaving
        instant now { 1h };
        const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, 1u << 30));
        for (const std::uint32_t step : steps) {
            now += std::chrono::milliseconds((step >> 3) % 20000);
            const auto state = static_cast<target_state>((step >> 5) % 4);
            const listed_target listedRow = row((step >> 8) % 4, (step >> 11) % 4, state, (step >> 15) % 2 == 0);
            const bool known = table.find(listedRow.id).has_value();
            switch (step % 6) {
            case 0:
                table.applyRow(listedRow, now);
                break;
            case 1:
                table.applyList({ listedRow, row((step >> 16) % 4, 1, target_state::Live, true) }, now);
                break;
            case 2:
                table.applyReport(listedRow.id, listedRow.incarnation, weight_version(7), {}, now);
                break;
            case 3:
                table.advanceState(listedRow.id, listedRow.incarnation, state, now);
                break;
            case 4:
                table.setLabels(listedRow.id, { { "colour", (step >> 16) % 2 == 0 ? "green" : "blue" } });
                break;
            default:
                table.expire(now);
            }
            const bool isRow = step % 6 <= 1 && (known || state != target_state::Gone);
            if ((isRow || step % 6 == 3) && state >= target_state::Leaving)
                firstAllowed[listedRow.id] = std::max(firstAllowed[listedRow.id], listedRow.incarnation.value() + 1);
            checkClasses(table);
            for (const target_slot slot : table.allowed(everything)) {
                const listed_target& listed = table.record(slot).listed;
                RC_ASSERT(listed.incarnation.value() >= firstAllowed[listed.id]);
            }
        }
    });
}

BOOST_AUTO_TEST_CASE(stale_list_does_not_revive_a_leaving_target)
{
    target_table table = tableWithClasses();
    table.applyRow(row(1, 5, target_state::Live, true), instant { 1s });
    table.advanceState(target_id("t1"), incarnation(5), target_state::Leaving, instant { 2s });
    for (int second = 3; second < 2000; ++second) {
        table.applyList({ row(1, 5, target_state::Live, true) }, instant { std::chrono::seconds(second) });
        table.applyReport(target_id("t1"), incarnation(5), {}, {}, instant { std::chrono::seconds(second) });
        table.expire(instant { std::chrono::seconds(second) });
        BOOST_REQUIRE(table.allowed(everything).empty());
    }
    table.applyReport(target_id("t1"), incarnation(6), {}, {}, instant { 2001s });
    BOOST_TEST(table.allowed(everything).size() == 1);
    table.applyRow(row(1, 5, target_state::Gone, true), instant { 2002s });
    BOOST_TEST(table.allowed(everything).size() == 1);
}

// A target that restarted by itself has a higher incarnation than the list shows. It still
// leaves when the list says so, and is allowed again when the list does.
BOOST_AUTO_TEST_CASE(list_removes_a_target_that_restarted_by_itself)
{
    target_table table = tableWithClasses();
    table.applyList({ row(1, 1, target_state::Live, true) }, instant { 1s });
    table.applyReport(target_id("t1"), incarnation(4), {}, {}, instant { 2s });
    table.applyList({ row(1, 1, target_state::Live, true) }, instant { 3s });
    BOOST_TEST(table.allowed(everything).size() == 1);
    table.applyList({ row(1, 1, target_state::Leaving, true) }, instant { 4s });
    BOOST_TEST(table.allowed(everything).empty());
    table.applyReport(target_id("t1"), incarnation(5), {}, {}, instant { 5s });
    table.applyList({ row(1, 1, target_state::Leaving, true) }, instant { 6s });
    BOOST_TEST(table.allowed(everything).empty());
    table.applyList({ row(1, 2, target_state::Live, true) }, instant { 7s });
    BOOST_TEST(table.allowed(everything).size() == 1);
}

// A list that is empty for long removes no target that still reports; silent targets are
// allowed again when they are listed again.
BOOST_AUTO_TEST_CASE(incomplete_list_removes_no_target_for_good)
{
    target_table table = tableWithClasses();
    table.applyList({ row(1, 1, target_state::Live, true), row(2, 1, target_state::Live, true) }, instant { 1s });
    table.applyReport(target_id("t1"), incarnation(1), {}, {}, instant { 50s });
    table.applyList({}, instant { 60s });
    BOOST_TEST(table.allowed(everything).size() == 1);
    table.applyList({ row(1, 1, target_state::Live, true), row(2, 1, target_state::Live, true) }, instant { 61s });
    BOOST_TEST(table.allowed(everything).size() == 2);
}

// A state received before the target's first row applies to that row.
BOOST_AUTO_TEST_CASE(state_received_before_the_row_is_kept)
{
    target_table table = tableWithClasses();
    table.advanceState(target_id("t1"), incarnation(4), target_state::Leaving, instant { 1s });
    table.applyRow(row(1, 4, target_state::Live, true), instant { 2s });
    BOOST_TEST(table.allowed(everything).empty());
    table.applyRow(row(1, 5, target_state::Live, true), instant { 3s });
    BOOST_TEST(table.allowed(everything).size() == 1);
}

BOOST_AUTO_TEST_CASE(slots_are_freed_and_reused)
{
    target_table table = tableWithClasses();
    table.applyRow(row(1, 1, target_state::Live, true), instant { 1s });
    table.advanceState(target_id("t1"), incarnation(1), target_state::Gone, instant { 2s });
    BOOST_TEST(table.expire(instant { 100s }).empty());
    const auto changes = table.expire(instant { 1000s });
    BOOST_REQUIRE(changes.size() == 1);
    BOOST_TEST((changes[0].change == target_change::Removed));
    BOOST_TEST(table.size() == 0);
    table.applyRow(row(2, 1, target_state::Live, true), instant { 1001s });
    BOOST_TEST(table.slotCount() == 1);
}

BOOST_AUTO_TEST_CASE(engine_without_model_is_not_live)
{
    target_table table = tableWithClasses();
    listed_target engine = row(1, 1, target_state::Starting, true);
    engine.kind = target_kind::Engine;
    table.applyRow(engine, instant { 1s });
    table.applyReport(engine.id, incarnation(1), {}, {}, instant { 2s });
    BOOST_TEST(table.allowed(everything).empty());
    table.applyReport(engine.id, incarnation(1), weight_version(3), model_id("m"), instant { 3s });
    BOOST_TEST(table.allowed(everything).size() == 1);
}

// A late report of an earlier incarnation says nothing about the current one.
BOOST_AUTO_TEST_CASE(report_of_an_older_incarnation_is_ignored)
{
    target_table table = tableWithClasses();
    table.applyRow(row(1, 2, target_state::Starting, true), instant { 1s });
    table.applyReport(target_id("t1"), incarnation(1), weight_version(3), model_id("old"), instant { 2s });
    BOOST_TEST(table.allowed(everything).empty());
    BOOST_TEST(table.record(target_slot(0)).model.empty());
}

// Operators' labels override the list's labels, also when the list repeats its own.
BOOST_AUTO_TEST_CASE(labels_move_a_live_target_between_classes)
{
    target_table table = tableWithClasses();
    table.applyRow(row(1, 1, target_state::Live, true), instant { 1s });
    const std::uint64_t before = table.allowedVersion(green);
    table.setLabels(target_id("t1"), { { "colour", "red" } });
    BOOST_TEST(table.allowed(green).empty());
    BOOST_TEST(table.allowedVersion(green) > before);
    table.applyRow(row(1, 2, target_state::Live, true), instant { 2s });
    BOOST_TEST(table.allowed(green).empty());
    table.setLabels(target_id("t1"), {});
    BOOST_TEST(table.allowed(green).size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
