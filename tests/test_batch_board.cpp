// Tests of the board that runs batches: whole texts with true versions, each item at
// one position, and the load patterns that its order of sending answers.
#include "batch_board.h"
#include "property.h"

#include <algorithm>
#include <set>

namespace lovagerail {
namespace {

    using namespace std::chrono_literals;

    constexpr instant start { 1h };
    constexpr wall_time wallStart { std::chrono::milliseconds(1'700'000'000'000) };
    const service_id pool { "pool" };
    const model_id model { "m" };

    site_route batchRoute()
    {
        site_route route;
        route.id = route_id("batch");
        route.kind = route_kind::Batch;
        route.services = { { pool, 1 } };
        route.resultsDue = 7500ms;
        route.itemLife = 40s;
        route.maxAttempts = 3;
        return route;
    }

    batch_spec specOf(const std::string& id, std::size_t groups, std::size_t size, std::uint64_t least)
    {
        batch_spec spec;
        spec.id = batch_id(id);
        spec.model = model;
        spec.leastVersion = weight_version(least);
        spec.submitted = wallStart;
        spec.wantedGroups = static_cast<std::uint32_t>(groups);
        for (std::size_t g = 0; g < groups; ++g) {
            for (std::size_t i = 0; i < size; ++i) {
                batch_item item;
                item.id = item_id("g" + std::to_string(g) + "i" + std::to_string(i));
                item.group = "g" + std::to_string(g);
                item.path = "/x";
                item.expectedTokens = token_count(100 + g);
                item.judge = judge_call { request_id("j" + item.id.str()), "h", "/j", "" };
                spec.items.push_back(item);
            }
        }
        return spec;
    }

    // A board over replicas whose runs are driven by the test.
    class world {
    public:
        explicit world(std::size_t replicas, std::uint64_t version = 2)
            : m_router(settings())
            , board({}, m_router)
        {
            for (std::size_t i = 0; i < replicas; ++i) {
                listed_target row;
                row.id = target_id("t" + std::to_string(i));
                row.address = "http://10.0.0." + std::to_string(i + 1);
                row.pool = pool_id(pool.str());
                row.incarnation = incarnation(1);
                row.labels = { { "version:m", std::to_string(version) }, { "slots", "8" } };
                m_rows.push_back(row);
            }
            m_router.applyList(m_rows, now);
        }
        void add(const batch_spec& spec) { board.add(spec, batchRoute(), 1, {}, 0, now, wallStart); }
        void pass(duration time)
        {
            now += time;
            act(board.tick(now));
        }
        // One run's head, events first to last, and its end.
        void head(attempt_id attempt, std::optional<weight_version> version)
        {
            act(board.head(attempt, { 200, true, false, version }, now));
        }
        void events(attempt_id attempt, std::uint64_t first, std::uint64_t last)
        {
            std::vector<batch_event> out;
            for (auto id = first; id <= last; ++id)
                out.push_back({ id, "e" + std::to_string(id), std::nullopt });
            act(board.events(attempt, out, now));
        }
        void done(attempt_id attempt, bool whole)
        {
            runs.erase(attempt);
            act(board.done(attempt, whole, true, now));
        }
        void finish(attempt_id attempt, std::uint64_t events)
        {
            const auto behind = runs.at(attempt).lastEventId.value_or(0);
            head(attempt, weight_version(2));
            if (behind < events)
                this->events(attempt, behind + 1, events);
            done(attempt, true);
        }
        void judgeAll(judge_outcome outcome = judge_outcome::Scored)
        {
            for (const auto& one : std::exchange(judges, {}))
                act(board.judged(one.batch, one.index, outcome, "score", now));
        }
        void writeAll(bool written = true)
        {
            for (const auto& page : std::exchange(pages, {}))
                act(board.pageWritten(page.batch, page.page, written, now));
        }
        void drop(const std::string& id) { act(board.drop(batch_id(id), now)); }
        void end(const std::string& id) { act(board.end(batch_id(id), now)); }
        std::vector<attempt_id> open() const
        {
            std::vector<attempt_id> out;
            for (const auto& [attempt, run] : runs)
                out.push_back(attempt);
            return out;
        }

        instant now = start;
        std::map<attempt_id, run_item> runs;
        std::vector<run_item> sent;
        std::vector<judge_item> judges;
        std::vector<write_page> pages;
        std::vector<save_texts> saves;

    private:
        static router_settings settings()
        {
            router_settings out;
            out.table.absenceGrace = 1ms;
            return out;
        }
        void act(const std::vector<board_action>& actions)
        {
            for (const auto& action : actions) {
                if (const auto* run = std::get_if<run_item>(&action)) {
                    runs[run->attempt] = *run;
                    sent.push_back(*run);
                } else if (const auto* cancel = std::get_if<cancel_run>(&action))
                    runs.erase(cancel->attempt);
                else if (const auto* judge = std::get_if<judge_item>(&action))
                    judges.push_back(*judge);
                else if (const auto* page = std::get_if<write_page>(&action))
                    pages.push_back(*page);
                else if (const auto* texts = std::get_if<save_texts>(&action))
                    saves.push_back(*texts);
            }
        }

        router m_router;
        std::vector<listed_target> m_rows;

    public:
        batch_board board;
    };

} // namespace

BOOST_AUTO_TEST_SUITE(batch_board_suite)

BOOST_AUTO_TEST_CASE(a_step_runs_is_judged_and_listed)
{
    world w(2);
    w.add(specOf("b", 2, 2, 1));
    w.pass(20ms);
    BOOST_REQUIRE(w.runs.size() == 4u);
    for (const auto attempt : w.open())
        w.finish(attempt, 5);
    w.judgeAll();
    w.pass(100ms);
    BOOST_REQUIRE(w.pages.size() == 1u);
    BOOST_TEST(w.board.listed(batch_id("b")).empty()); // not before the page stands
    w.writeAll();
    const auto& listed = w.board.listed(batch_id("b"));
    BOOST_REQUIRE(listed.size() == 4u);
    BOOST_TEST(listed[0].text == "e1\ne2\ne3\ne4\ne5");
    BOOST_TEST((listed[0].versions == std::vector<weight_version> { weight_version(2) }));
    BOOST_TEST(listed[0].score == "score");
}

// Members of a group are sent side by side, the group with the longest expected work
// first, and never more than the replica runs at once.
BOOST_AUTO_TEST_CASE(whole_groups_are_sent_longest_first_within_the_slots)
{
    world w(1);
    w.add(specOf("b", 4, 4, 1));
    w.pass(20ms);
    BOOST_REQUIRE(w.sent.size() == 8u);
    std::set<std::size_t> first;
    for (const auto& run : w.sent)
        first.insert(run.index / 4);
    BOOST_TEST((first == std::set<std::size_t> { 2, 3 }));
}

BOOST_AUTO_TEST_CASE(a_broken_stream_goes_on_behind_its_last_event)
{
    world w(2);
    w.add(specOf("b", 1, 1, 1));
    w.pass(20ms);
    const auto first = w.open().front();
    w.head(first, weight_version(2));
    w.events(first, 1, 3);
    w.done(first, false);
    w.pass(20ms);
    BOOST_REQUIRE(w.sent.size() == 2u);
    BOOST_TEST((w.sent[1].lastEventId == std::optional<std::uint64_t>(3)));
    BOOST_TEST(w.sent[1].choice.target != w.sent[0].choice.target);
    w.finish(w.open().front(), 6);
    w.judgeAll();
    w.pass(100ms);
    w.writeAll();
    BOOST_TEST(w.board.listed(batch_id("b")).front().text == "e1\ne2\ne3\ne4\ne5\ne6");
}

// A replica with older weights than the batch accepts makes nothing of it.
BOOST_AUTO_TEST_CASE(old_weights_are_not_used)
{
    world w(2);
    w.add(specOf("b", 1, 1, 2));
    w.pass(20ms);
    const auto first = w.open().front();
    w.head(first, weight_version(1));
    BOOST_TEST(!w.runs.contains(first));
    BOOST_TEST(w.board.counts().wrongVersion == 1u);
}

// An item came again with its text already whole: resumed behind its last event, a
// stream would hold no event and name no version. It needs no run, only its judge.
BOOST_AUTO_TEST_CASE(a_whole_text_that_comes_again_is_only_judged)
{
    world w(2);
    w.add(specOf("b", 1, 2, 1));
    w.pass(20ms);
    const auto open = w.open();
    w.finish(open[0], 65);
    w.head(open[1], weight_version(2));
    w.events(open[1], 1, 2);
    w.judges.clear(); // its answer never came
    w.end("b");
    BOOST_TEST(w.runs.empty());

    auto again = specOf("c", 1, 2, 2);
    w.add(again);
    w.pass(20ms);
    BOOST_TEST(w.board.counts().reused == 2u);
    BOOST_REQUIRE(w.judges.size() == 1u);
    BOOST_REQUIRE(w.runs.size() == 1u);
    // The other one goes on, and its stream may name no version when nothing is left.
    const auto rest = w.open().front();
    BOOST_TEST((w.runs.at(rest).lastEventId == std::optional<std::uint64_t>(2)));
    w.head(rest, std::nullopt);
    w.done(rest, true);
    w.judgeAll();
    w.pass(100ms);
    w.writeAll();
    BOOST_TEST(w.board.listed(batch_id("c")).size() == 2u);
}

// Two replicas of eight turn four times slower in the middle of a step.
BOOST_AUTO_TEST_CASE(a_run_on_a_slow_replica_moves_to_a_free_fast_one)
{
    world w(2);
    auto spec = specOf("b", 1, 2, 1);
    for (auto& item : spec.items)
        item.expectedTokens = token_count(100);
    w.add(spec);
    w.pass(20ms);
    const auto open = w.open();
    BOOST_REQUIRE(open.size() == 2u);
    BOOST_REQUIRE(w.runs.at(open[0]).choice.target != w.runs.at(open[1]).choice.target);
    for (const auto attempt : open)
        w.head(attempt, weight_version(2));
    for (std::uint64_t event = 1; event <= 16; ++event) {
        w.pass(30ms);
        w.events(open[0], event, event);
        if (event % 4 == 0 && w.runs.contains(open[1]))
            w.events(open[1], event / 4, event / 4);
    }
    w.pass(30ms);
    BOOST_TEST(w.board.counts().moved == 1u);
    BOOST_TEST(w.runs.contains(open[0]));
    BOOST_TEST(!w.runs.contains(open[1]));
    BOOST_TEST((w.sent.back().choice.target == w.runs.at(open[0]).choice.target));
}

BOOST_AUTO_TEST_CASE(a_failing_item_is_given_up_after_its_attempts_and_not_before)
{
    world w(3);
    w.add(specOf("b", 1, 1, 1));
    for (int failures = 0; failures < 3; ++failures) {
        w.pass(300ms);
        BOOST_REQUIRE(w.runs.size() == 1u);
        const auto attempt = w.open().front();
        w.runs.erase(attempt);
        static_cast<void>(w.board.head(attempt, { 500, true, false, std::nullopt }, w.now));
        w.done(attempt, true);
    }
    w.pass(300ms);
    BOOST_TEST(w.runs.empty());
    w.pass(100ms);
    w.writeAll();
    BOOST_REQUIRE(w.board.listed(batch_id("b")).size() == 1u);
    BOOST_TEST(!w.board.listed(batch_id("b")).front().completed);
}

BOOST_AUTO_TEST_CASE(texts_come_back_as_they_were_handed_over)
{
    made_texts texts;
    texts[item_id("a")] = { { "one", "two" }, 7, { weight_version(3), weight_version(4) }, true };
    texts[item_id("b")] = { { "x" }, 1, { weight_version(3) }, false };
    const auto read = decodeTexts(encodeTexts(texts));
    BOOST_REQUIRE(read.size() == 2u);
    const auto& a = read.at(item_id("a"));
    BOOST_TEST((a.data == texts.at(item_id("a")).data));
    BOOST_TEST(a.lastEvent == 7u);
    BOOST_TEST((a.versions == texts.at(item_id("a")).versions));
    BOOST_TEST(a.whole);
    BOOST_TEST(!read.at(item_id("b")).whole);
    BOOST_TEST(decodeTexts(Json::Value("no object")).empty());
}

// All instances are killed while a step's longest item is under way.
BOOST_AUTO_TEST_CASE(a_long_text_outlives_its_owner)
{
    world w(2);
    w.add(specOf("b", 1, 2, 1));
    w.pass(20ms);
    const auto open = w.open();
    BOOST_REQUIRE(open.size() == 2u);
    w.head(open[0], weight_version(2));
    w.finish(open[1], 3); // a short one is not stored by itself
    std::uint64_t made = 0;
    while (w.saves.empty() && made < 100) {
        w.events(open[0], made + 1, made + 1);
        ++made;
        w.pass(100ms);
    }
    BOOST_REQUIRE(w.saves.size() == 1u);
    BOOST_TEST(made == 25u); // 2.5 s of work
    BOOST_TEST(w.saves.front().texts.size() == 2u);
    // One write at a time; the next when as much came again.
    w.events(open[0], made + 1, made + 1);
    w.pass(5s - 1ms);
    BOOST_TEST(w.saves.size() == 1u);
    const auto stored = decodeTexts(encodeTexts(w.saves.front().texts));

    world next(2);
    next.board.carry(stored, next.now);
    next.add(specOf("b", 1, 2, 1));
    next.pass(20ms);
    std::vector<std::uint64_t> behind;
    for (const auto& run : next.sent)
        behind.push_back(run.lastEventId.value_or(0));
    std::sort(behind.begin(), behind.end());
    // The short one had its whole text and is judged alone.
    BOOST_TEST((behind == std::vector<std::uint64_t> { 25 }));
    BOOST_TEST(next.judges.size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_failed_write_of_texts_is_made_again)
{
    world w(1);
    w.add(specOf("b", 1, 1, 1));
    w.pass(20ms);
    const auto run = w.open().front();
    w.head(run, weight_version(2));
    w.events(run, 1, 1);
    w.pass(1s);
    w.events(run, 2, 2);
    w.pass(1s);
    w.events(run, 3, 3);
    w.pass(600ms);
    BOOST_REQUIRE(w.saves.size() == 1u);
    w.board.textsSaved(batch_id("b"), false, w.now);
    w.events(run, 4, 4);
    w.pass(1s);
    BOOST_TEST(w.saves.size() == 1u);
    w.events(run, 5, 5);
    w.pass(300ms);
    BOOST_REQUIRE(w.saves.size() == 2u);
    BOOST_TEST(w.saves.back().texts.begin()->second.lastEvent == 5u);
    w.board.textsSaved(batch_id("b"), true, w.now);
    w.pass(800ms);
    w.events(run, 6, 6);
    w.pass(1100ms);
    w.events(run, 7, 7);
    w.pass(1100ms);
    BOOST_TEST(w.saves.size() == 2u);
    w.events(run, 8, 8);
    w.pass(400ms);
    BOOST_TEST(w.saves.size() == 3u);
}

// A queue calls for more targets only if those that are there are full.
BOOST_AUTO_TEST_CASE(work_that_waits_for_weights_is_no_queue)
{
    world w(2);
    w.add(specOf("b", 10, 2, 1));
    w.pass(20ms);
    BOOST_REQUIRE(w.open().size() == 16u); // two times eight places
    auto demand = w.board.demand(w.now);
    BOOST_REQUIRE(demand.size() == 1u);
    BOOST_TEST(demand[0].running == 16u);
    BOOST_TEST(demand[0].queued == 4u);

    world old(2, 1);
    old.add(specOf("b", 10, 2, 2)); // no target has version 2 yet
    old.pass(20ms);
    demand = old.board.demand(old.now);
    BOOST_TEST(demand[0].running == 0u);
    BOOST_TEST(demand[0].queued == 0u);
}

// While the store is away a submission runs ahead, is given up with its caller, and
// comes again: what was made is not made twice.
BOOST_AUTO_TEST_CASE(a_submission_that_comes_again_goes_on)
{
    world w(2);
    w.add(specOf("b", 1, 1, 1));
    w.board.hold(batch_id("b"));
    w.pass(20ms);
    w.head(w.open().front(), weight_version(2));
    w.events(w.open().front(), 1, 9);
    w.drop("b");
    BOOST_TEST(w.open().empty());
    w.add(specOf("b", 1, 1, 1));
    w.pass(20ms);
    BOOST_REQUIRE(w.sent.size() == 2u);
    BOOST_TEST(w.sent.back().lastEventId.value_or(0) == 9u);
}

// While the store is away a batch runs ahead, but nothing of it is listed.
BOOST_AUTO_TEST_CASE(a_held_batch_writes_no_page)
{
    world w(2);
    w.add(specOf("b", 1, 1, 1));
    w.board.hold(batch_id("b"));
    w.pass(20ms);
    w.finish(w.open().front(), 3);
    w.judgeAll();
    w.pass(5s);
    BOOST_TEST(w.pages.empty());
    w.board.accept(batch_id("b"));
    w.pass(20ms);
    BOOST_TEST(w.pages.size() == 1u);
}

// Whatever runs, judges and the store do: each item has at most one position, texts are
// whole, and a page that failed is written again with the same results.
BOOST_AUTO_TEST_CASE(each_item_is_listed_once_and_whole)
{
    test::checkProperty("listed once", [] {
        constexpr std::uint64_t length = 6;
        world w(*rc::gen::inRange<std::size_t>(1, 4));
        w.add(specOf("b", 3, 2, 1));
        std::map<std::uint32_t, std::size_t> pageSizes;
        for (int step = 0; step < 400 && w.board.listed(batch_id("b")).size() < 6; ++step) {
            w.pass(std::chrono::milliseconds(*rc::gen::inRange(5, 120)));
            for (const auto attempt : w.open()) {
                const auto behind = w.runs.at(attempt).lastEventId.value_or(0);
                switch (*rc::gen::inRange(0, 5)) {
                case 0:
                    w.done(attempt, false);
                    break;
                case 1:
                    w.head(attempt, weight_version(2));
                    w.events(attempt, behind + 1, std::min(length, behind + 2));
                    w.done(attempt, false);
                    break;
                case 2:
                    w.finish(attempt, length);
                    break;
                default:
                    break;
                }
            }
            w.judgeAll(*rc::gen::element(judge_outcome::Scored, judge_outcome::NotNow, judge_outcome::GivenUp));
            for (const auto& page : w.pages) {
                const auto known = pageSizes.try_emplace(page.page, page.results.size()).first;
                RC_ASSERT(known->second == page.results.size());
            }
            w.writeAll(*rc::gen::arbitrary<bool>());
        }
        std::set<item_id> seen;
        for (const auto& result : w.board.listed(batch_id("b"))) {
            RC_ASSERT(seen.insert(result.item).second);
            if (result.completed)
                RC_ASSERT(result.text == "e1\ne2\ne3\ne4\ne5\ne6");
        }
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
