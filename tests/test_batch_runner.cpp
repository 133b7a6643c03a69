// Tests of batch execution: complete texts with the versions that generated them, exactly
// one position for each item, resuming after failures, and the order of sending.
#include "batch_runner.h"
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
        route.resultDeadline = 7500ms;
        route.itemTtl = 40s;
        route.maxAttempts = 3;
        return route;
    }

    batch_spec specOf(const std::string& id, std::size_t groups, std::size_t size, std::uint64_t minVersion)
    {
        batch_spec spec;
        spec.id = batch_id(id);
        spec.model = model;
        spec.minVersion = weight_version(minVersion);
        spec.submitted = wallStart;
        spec.requiredGroups = static_cast<std::uint32_t>(groups);
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

    // Runs batches over replicas whose answers the test supplies.
    class batch_harness {
    public:
        explicit batch_harness(std::size_t replicas, std::uint64_t version = 2)
            : m_router(settings())
            , runner({}, m_router)
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
        void setSoftware(std::size_t replica, const std::string& version)
        {
            m_rows[replica].softwareVersion = version;
            m_router.applyList(m_rows, now);
        }
        void setPool(std::size_t replica, const service_id& service)
        {
            m_rows[replica].pool = pool_id(service.str());
            m_router.applyList(m_rows, now);
        }
        void removeReplica(const target_id& target)
        {
            std::erase_if(m_rows, [&target](const listed_target& row) { return row.id == target; });
            m_router.applyList(m_rows, now);
        }
        void removeSoftware(const std::string& version)
        {
            std::erase_if(m_rows, [&version](const listed_target& row) { return row.softwareVersion == version; });
            m_router.applyList(m_rows, now);
        }
        void setVersion(std::size_t replica, std::uint64_t version)
        {
            m_rows[replica].labels["version:m"] = std::to_string(version);
            m_router.applyList(m_rows, now);
        }
        void add(const batch_spec& spec, const site_route& route) { runner.add(spec, route, 1, {}, 0, now, wallStart); }
        void add(const batch_spec& spec) { runner.add(spec, batchRoute(), 1, {}, 0, now, wallStart); }
        void pass(duration time)
        {
            now += time;
            act(runner.tick(now));
        }
        // Answers of one run: its head, events `first` to `last`, and its end.
        void head(attempt_id attempt, const item_head& head) { act(runner.head(attempt, head, now)); }
        void head(attempt_id attempt, std::optional<weight_version> version) { head(attempt, item_head { 200, true, false, true, version }); }
        void events(attempt_id attempt, std::uint64_t first, std::uint64_t last)
        {
            std::vector<batch_event> out;
            for (auto id = first; id <= last; ++id)
                out.push_back({ id, "e" + std::to_string(id), std::nullopt });
            events(attempt, out);
        }
        void events(attempt_id attempt, const std::vector<batch_event>& events) { act(runner.events(attempt, events, now)); }
        void done(attempt_id attempt, bool complete)
        {
            done(attempt, complete ? run_end::Complete : run_end::BrokenOff);
        }
        void done(attempt_id attempt, run_end end)
        {
            runs.erase(attempt);
            act(runner.done(attempt, end, now));
        }
        void finish(attempt_id attempt, std::uint64_t events)
        {
            const auto resumedAfter = runs.at(attempt).lastEventId.value_or(0);
            head(attempt, weight_version(2));
            if (resumedAfter < events)
                this->events(attempt, resumedAfter + 1, events);
            done(attempt, true);
        }
        void judgeAll(judge_outcome outcome = judge_outcome::Scored)
        {
            for (const auto& one : std::exchange(judges, {}))
                act(runner.judged(one.batch, one.index, outcome, "score", now));
        }
        void writeAll(bool written = true)
        {
            for (const auto& page : std::exchange(pages, {}))
                act(runner.pageWritten(page.batch, page.page, written, now));
        }
        void drop(const std::string& id) { act(runner.drop(batch_id(id), now)); }
        void end(const std::string& id) { act(runner.end(batch_id(id), now)); }
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
        std::vector<note_late> notes;

    private:
        static router_settings settings()
        {
            router_settings out;
            out.table.absenceGrace = 0ms;
            return out;
        }
        void act(const std::vector<batch_action>& actions)
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
                else if (const auto* note = std::get_if<note_late>(&action))
                    notes.push_back(*note);
            }
        }

        router m_router;
        std::vector<listed_target> m_rows;

    public:
        batch_runner runner;
    };

} // namespace

BOOST_AUTO_TEST_SUITE(batch_runner_suite)

BOOST_AUTO_TEST_CASE(a_batch_is_run_judged_and_listed)
{
    batch_harness harness(2);
    harness.add(specOf("b", 2, 2, 1));
    harness.pass(20ms);
    BOOST_REQUIRE(harness.runs.size() == 4u);
    for (const auto attempt : harness.open())
        harness.finish(attempt, 5);
    harness.judgeAll();
    harness.pass(100ms);
    BOOST_REQUIRE(harness.pages.size() == 1u);
    BOOST_TEST(harness.runner.listed(batch_id("b")).empty()); // results are listed only once their page is stored
    harness.writeAll();
    const auto& listed = harness.runner.listed(batch_id("b"));
    BOOST_REQUIRE(listed.size() == 4u);
    BOOST_TEST(listed[0].text == "e1\ne2\ne3\ne4\ne5");
    BOOST_TEST((listed[0].versions == std::vector<weight_version> { weight_version(2) }));
    BOOST_TEST(listed[0].score == "score");
}

// The items of a group are sent together, the group with the longest expected work first,
// and never more items than the replica has slots.
BOOST_AUTO_TEST_CASE(complete_groups_are_sent_longest_first_within_the_slots)
{
    batch_harness harness(1);
    harness.add(specOf("b", 4, 4, 1));
    harness.pass(20ms);
    BOOST_REQUIRE(harness.sent.size() == 8u);
    std::set<std::size_t> first;
    for (const auto& run : harness.sent)
        first.insert(run.index / 4);
    BOOST_TEST((first == std::set<std::size_t> { 2, 3 }));
}

BOOST_AUTO_TEST_CASE(a_broken_stream_resumes_after_its_last_event)
{
    batch_harness harness(2);
    harness.add(specOf("b", 1, 1, 1));
    harness.pass(20ms);
    const auto first = harness.open().front();
    harness.head(first, weight_version(2));
    harness.events(first, 1, 3);
    harness.done(first, false);
    harness.pass(20ms);
    BOOST_REQUIRE(harness.sent.size() == 2u);
    BOOST_TEST((harness.sent[1].lastEventId == std::optional<std::uint64_t>(3)));
    BOOST_TEST(harness.sent[1].choice.target != harness.sent[0].choice.target);
    harness.finish(harness.open().front(), 6);
    harness.judgeAll();
    harness.pass(100ms);
    harness.writeAll();
    BOOST_TEST(harness.runner.listed(batch_id("b")).front().text == "e1\ne2\ne3\ne4\ne5\ne6");
}

BOOST_AUTO_TEST_CASE(an_unproven_end_of_a_text_is_confirmed_by_a_run_that_adds_nothing)
{
    batch_harness harness(2);
    harness.add(specOf("b", 1, 1, 1));
    harness.pass(20ms);
    const auto first = harness.open().front();
    harness.head(first, weight_version(2));
    harness.events(first, 1, 3);
    harness.done(first, run_end::Unproven);
    harness.pass(20ms);
    BOOST_REQUIRE(harness.sent.size() == 2u);
    BOOST_TEST((harness.sent[1].lastEventId == std::optional<std::uint64_t>(3)));
    const auto second = harness.open().front();
    harness.head(second, weight_version(2));
    harness.events(second, 4, 5);
    harness.done(second, run_end::Unproven);
    harness.pass(300ms); // while the first target is avoided
    BOOST_REQUIRE(harness.sent.size() == 3u);
    const auto third = harness.open().front();
    harness.head(third, weight_version(2));
    harness.done(third, run_end::Unproven);
    harness.judgeAll();
    harness.pass(100ms);
    harness.writeAll();
    BOOST_TEST(harness.runner.listed(batch_id("b")).front().text == "e1\ne2\ne3\ne4\ne5");
}

// --- Software versions of replicas

BOOST_AUTO_TEST_CASE(a_text_goes_on_only_at_the_software_that_began_it)
{
    batch_harness harness(4);
    for (const std::size_t replica : { 0, 1 })
        harness.setSoftware(replica, "v1");
    for (const std::size_t replica : { 2, 3 })
        harness.setSoftware(replica, "v2");
    harness.add(specOf("b", 4, 4, 1));
    harness.pass(20ms);
    BOOST_REQUIRE(harness.sent.size() == 16u);
    for (const auto attempt : harness.open()) {
        harness.head(attempt, weight_version(2));
        harness.events(attempt, 1, 3);
        harness.done(attempt, false);
    }
    harness.pass(100ms);
    std::map<std::size_t, target_software> began;
    for (std::size_t i = 0; i < 16; ++i)
        began[harness.sent[i].index] = harness.sent[i].choice.software;
    BOOST_REQUIRE(harness.sent.size() == 32u);
    for (std::size_t i = 16; i < 32; ++i) {
        BOOST_TEST(harness.sent[i].lastEventId.value_or(0) == 3u);
        BOOST_TEST((harness.sent[i].choice.software == began.at(harness.sent[i].index)));
    }
}

BOOST_AUTO_TEST_CASE(a_text_whose_software_is_gone_is_generated_anew)
{
    batch_harness harness(2);
    harness.setSoftware(0, "v1");
    harness.setSoftware(1, "v2");
    harness.add(specOf("b", 1, 1, 1));
    harness.pass(20ms);
    const auto first = harness.open().front();
    harness.head(first, weight_version(2));
    harness.events(first, 1, 3);
    harness.removeSoftware(harness.sent.front().choice.software.version);
    harness.done(first, false);
    harness.pass(50ms);
    BOOST_REQUIRE(harness.sent.size() == 2u);
    BOOST_TEST(!harness.sent[1].lastEventId.has_value());
    harness.finish(harness.open().front(), 5);
    harness.judgeAll();
    harness.pass(100ms);
    harness.writeAll();
    BOOST_TEST(harness.runner.listed(batch_id("b")).front().text == "e1\ne2\ne3\ne4\ne5");
    BOOST_TEST(harness.runner.counts().begunAnew == 1u);
}

// The replica with its software is there but was just seen to fail; another one is free.
BOOST_AUTO_TEST_CASE(a_text_waits_for_its_software_but_not_for_long)
{
    batch_harness harness(2);
    harness.setSoftware(0, "v1");
    harness.setSoftware(1, "v2");
    harness.add(specOf("b", 1, 1, 1));
    harness.pass(20ms);
    for (int round = 0; round < 3 && harness.sent.back().lastEventId.value_or(0) == 2U * static_cast<unsigned>(round); ++round) {
        const auto attempt = harness.open().front();
        harness.head(attempt, weight_version(2));
        harness.events(attempt, 2 * round + 1, 2 * round + 2);
        harness.done(attempt, false);
        for (int i = 0; i < 15; ++i)
            harness.pass(20ms); // it is avoided for 250 ms
    }
    BOOST_REQUIRE(harness.sent.size() == 4u);
    for (const auto& run : harness.sent)
        BOOST_TEST((run.choice.software == harness.sent.front().choice.software));
}

BOOST_AUTO_TEST_CASE(events_of_a_replica_that_came_back_with_other_software_are_not_joined)
{
    batch_harness harness(1);
    harness.setSoftware(0, "v1");
    harness.add(specOf("b", 1, 1, 1));
    harness.pass(20ms);
    const auto first = harness.open().front();
    harness.head(first, weight_version(2));
    harness.events(first, 1, 3);
    harness.done(first, false);
    harness.pass(300ms);
    BOOST_REQUIRE(harness.sent.size() == 2u);
    const auto second = harness.open().front();
    harness.head(second, weight_version(2));
    harness.setSoftware(0, "v2");
    harness.events(second, 4, 5);
    harness.pass(300ms);
    BOOST_REQUIRE(harness.sent.size() == 3u);
    BOOST_TEST(!harness.sent[2].lastEventId.has_value());
}

// --- Versions of weights, on routes that demand a single one for each text

BOOST_AUTO_TEST_CASE(a_text_of_a_version_that_no_target_has_is_generated_anew)
{
    batch_harness harness(2);
    auto route = batchRoute();
    route.singleVersion = true;
    harness.add(specOf("b", 1, 1, 1), route);
    harness.pass(20ms);
    const auto first = harness.open().front();
    harness.head(first, weight_version(2));
    harness.events(first, 1, 3);
    harness.done(first, false);
    for (const std::size_t replica : { 0, 1 })
        harness.setVersion(replica, 3);
    const auto broken = harness.now;
    while (harness.sent.size() == 1 && harness.now - broken < 10s)
        harness.pass(20ms);
    BOOST_REQUIRE(harness.sent.size() == 2u);
    BOOST_REQUIRE(!harness.sent[1].lastEventId.has_value());
    BOOST_TEST(!harness.sent[1].expectVersion.has_value());
    BOOST_TEST((harness.now - broken >= batch_runner_settings().maxResumeWait));
    BOOST_TEST((harness.now - broken < 2 * batch_runner_settings().maxResumeWait));
    const auto second = harness.open().front();
    harness.head(second, weight_version(3));
    harness.events(second, 1, 4);
    harness.done(second, true);
    harness.judgeAll();
    harness.pass(100ms);
    harness.writeAll();
    BOOST_REQUIRE(harness.runner.listed(batch_id("b")).size() == 1u);
    BOOST_TEST(harness.runner.listed(batch_id("b")).front().text == "e1\ne2\ne3\ne4");
    BOOST_TEST((harness.runner.listed(batch_id("b")).front().versions == std::vector { weight_version(3) }));
}

BOOST_AUTO_TEST_CASE(a_text_goes_on_at_the_target_that_still_has_its_version)
{
    batch_harness harness(4);
    auto route = batchRoute();
    route.singleVersion = true;
    harness.add(specOf("b", 1, 1, 1), route);
    harness.pass(20ms);
    const auto first = harness.open().front();
    harness.head(first, weight_version(2));
    harness.events(first, 1, 3);
    harness.done(first, false);
    for (const std::size_t replica : { 0, 1, 2 })
        harness.setVersion(replica, 3);
    harness.pass(300ms);
    BOOST_REQUIRE(harness.sent.size() == 2u);
    BOOST_TEST(harness.sent[1].choice.target.str() == "t3");
    BOOST_TEST(harness.sent[1].lastEventId.value_or(0) == 3u);
    BOOST_TEST((harness.sent[1].expectVersion == weight_version(2)));
}

// After a move, items are sent to the new pool, a text that was begun stays where it is, and each pool is told of its own load.
BOOST_AUTO_TEST_CASE(a_batch_that_is_moved_sends_its_items_to_the_new_pool)
{
    const service_id newPool("pool2");
    const item_places moved { { newPool }, { pool }, {}, 1 };
    batch_harness harness(3);
    harness.setPool(2, newPool);
    harness.add(specOf("b", 20, 1, 1));
    harness.pass(20ms);
    BOOST_REQUIRE(harness.sent.size() == 16u); // two replicas of the old pool
    const auto broken = harness.open().front();
    harness.head(broken, weight_version(2));
    harness.events(broken, 1, 3);

    harness.runner.place(batch_id("b"), moved);
    harness.pass(20ms);
    BOOST_REQUIRE(harness.sent.size() == 20u);
    for (std::size_t i = 16; i < 20; ++i)
        BOOST_TEST(harness.sent[i].choice.software.pool.str() == newPool.str());
    std::map<std::string, std::size_t> running;
    for (const auto& demand : harness.runner.demand(harness.now))
        running[demand.service.str()] = demand.running;
    BOOST_TEST((running == std::map<std::string, std::size_t> { { pool.str(), 16 }, { newPool.str(), 4 } }));

    harness.done(broken, false);
    harness.pass(300ms);
    BOOST_REQUIRE(harness.sent.size() == 21u);
    BOOST_TEST(harness.sent.back().choice.software.pool.str() == pool.str());
    BOOST_TEST(harness.sent.back().lastEventId.value_or(0) == 3u);
}

// The share that limits a batch is that of the pool to which its items are sent.
BOOST_AUTO_TEST_CASE(a_moved_batch_keeps_within_its_share_of_the_new_pool)
{
    const service_id newPool("pool2");
    batch_harness harness(2);
    harness.setPool(1, newPool);
    harness.add(specOf("b", 16, 1, 1));
    harness.pass(20ms);
    BOOST_REQUIRE(harness.sent.size() == 8u);
    harness.runner.setShares(1, { { share_key(newPool, model), leased_slots { 3, 3 } } }, harness.now + 10s);
    harness.runner.place(batch_id("b"), { { newPool }, { pool }, {}, 1 });
    harness.pass(20ms);
    BOOST_TEST(harness.sent.size() == 11u);
}

// While the services in force have no target, items go on where the batch was accepted, and move once there is one.
BOOST_AUTO_TEST_CASE(a_moved_batch_goes_on_at_its_old_pool_until_the_new_one_has_targets)
{
    const service_id newPool("pool2");
    batch_harness harness(2);
    harness.add(specOf("b", 40, 1, 1));
    harness.runner.place(batch_id("b"), { { newPool }, { pool }, {}, 1 });
    harness.pass(20ms);
    BOOST_REQUIRE(harness.sent.size() == 16u);
    BOOST_TEST(harness.sent.back().choice.software.pool.str() == pool.str());
    harness.setPool(1, newPool);
    for (const auto attempt : harness.open())
        harness.done(attempt, false);
    harness.pass(300ms); // they avoid their replicas for a while
    BOOST_REQUIRE(harness.sent.size() == 24u);
    for (std::size_t i = 16; i < harness.sent.size(); ++i)
        BOOST_TEST(harness.sent[i].choice.software.pool.str() == newPool.str());
}

// A text stored by an instance that did not know software versions.
BOOST_AUTO_TEST_CASE(a_stored_text_without_its_software_is_generated_anew)
{
    batch_harness harness(1);
    harness.setSoftware(0, "v1");
    partial_texts texts;
    texts[item_id("g0i0")] = { { "e1", "e2" }, 2, { weight_version(2) }, {}, false };
    harness.runner.restoreTexts(texts, harness.now);
    harness.add(specOf("b", 1, 1, 1));
    harness.pass(20ms);
    BOOST_REQUIRE(harness.sent.size() == 1u);
    BOOST_TEST(!harness.sent.front().lastEventId.has_value());
}

// A run is cancelled if the replica reports weights older than the batch accepts.
BOOST_AUTO_TEST_CASE(weights_older_than_the_minimum_are_not_used)
{
    batch_harness harness(2);
    harness.add(specOf("b", 1, 1, 2));
    harness.pass(20ms);
    const auto first = harness.open().front();
    harness.head(first, weight_version(1));
    BOOST_TEST(!harness.runs.contains(first));
    BOOST_TEST(harness.runner.counts().wrongVersion == 1u);
}

// A target that is asked for the rest of a text and answers with something else.
BOOST_AUTO_TEST_CASE(an_answer_that_does_not_go_on_with_a_text_is_not_joined_to_it)
{
    using answer = std::vector<batch_event>;
    const answer gap { { 4, "e4", std::nullopt } };
    const answer other { { 1, "e1", std::nullopt }, { 2, "x2", std::nullopt } };
    const answer withoutId { { std::nullopt, "e3", std::nullopt } };
    for (const auto& events : { answer(), gap, other, withoutId }) {
        batch_harness harness(2);
        harness.add(specOf("b", 1, 1, 2));
        harness.pass(20ms);
        const auto first = harness.open().front();
        harness.head(first, weight_version(2));
        harness.events(first, 1, 2);
        harness.done(first, false);
        harness.pass(300ms);
        const auto second = harness.open().front();
        const bool isStream = !events.empty();
        harness.head(second, item_head { 200, true, false, isStream, weight_version(2) });
        harness.events(second, events);
        BOOST_TEST(!harness.runs.contains(second));
        harness.pass(300ms);
        BOOST_REQUIRE(harness.sent.size() == 3u);
        BOOST_TEST(harness.sent[2].lastEventId.value_or(0) == 2u);
        BOOST_TEST(harness.sent[2].choice.target != harness.sent[1].choice.target);
        harness.finish(harness.open().front(), 5);
        BOOST_TEST(harness.judges.size() == 1u);
    }
}

// An item is submitted again when its text is already complete. A stream resumed after the
// last event would have no event and state no version, so the item must not be run again,
// only judged.
BOOST_AUTO_TEST_CASE(a_complete_text_of_a_resubmitted_item_is_only_judged)
{
    batch_harness harness(2);
    harness.add(specOf("b", 1, 2, 1));
    harness.pass(20ms);
    const auto open = harness.open();
    harness.finish(open[0], 65);
    harness.head(open[1], weight_version(2));
    harness.events(open[1], 1, 2);
    harness.judges.clear(); // the judge never answers
    harness.end("b");
    BOOST_TEST(harness.runs.empty());

    auto resubmitted = specOf("c", 1, 2, 2);
    harness.add(resubmitted);
    harness.pass(20ms);
    BOOST_TEST(harness.runner.counts().reused == 2u);
    BOOST_REQUIRE(harness.judges.size() == 1u);
    BOOST_REQUIRE(harness.runs.size() == 1u);
    // The other item resumes; a stream with nothing left to generate may state no version.
    const auto rest = harness.open().front();
    BOOST_TEST((harness.runs.at(rest).lastEventId == std::optional<std::uint64_t>(2)));
    harness.head(rest, std::nullopt);
    harness.done(rest, true);
    harness.judgeAll();
    harness.pass(100ms);
    harness.writeAll();
    BOOST_TEST(harness.runner.listed(batch_id("c")).size() == 2u);
}

// Replicas may become four times slower in the middle of a training step, two of eight at a
// time; a run left on one would delay the whole step.
BOOST_AUTO_TEST_CASE(a_run_on_a_slow_replica_moves_to_a_free_fast_one)
{
    batch_harness harness(2);
    auto spec = specOf("b", 1, 2, 1);
    for (auto& item : spec.items)
        item.expectedTokens = token_count(100);
    harness.add(spec);
    harness.pass(20ms);
    const auto open = harness.open();
    BOOST_REQUIRE(open.size() == 2u);
    BOOST_REQUIRE(harness.runs.at(open[0]).choice.target != harness.runs.at(open[1]).choice.target);
    for (const auto attempt : open)
        harness.head(attempt, weight_version(2));
    for (std::uint64_t event = 1; event <= 16; ++event) {
        harness.pass(30ms);
        harness.events(open[0], event, event);
        if (event % 4 == 0 && harness.runs.contains(open[1]))
            harness.events(open[1], event / 4, event / 4);
    }
    harness.pass(30ms);
    BOOST_TEST(harness.runner.counts().moved == 1u);
    BOOST_TEST(harness.runs.contains(open[0]));
    BOOST_TEST(!harness.runs.contains(open[1]));
    BOOST_TEST((harness.sent.back().choice.target == harness.runs.at(open[0]).choice.target));
}

// A move costs the time until the new run's first event. Four events that would come 90 ms faster each
// save 360 ms, which is above minMoveGain, but not by that cost of about 100 ms.
BOOST_AUTO_TEST_CASE(a_move_that_saves_less_than_it_costs_is_not_made)
{
    batch_harness harness(2);
    auto spec = specOf("b", 1, 2, 1);
    for (auto& item : spec.items)
        item.expectedTokens = token_count(8);
    harness.add(spec);
    harness.pass(20ms);
    const auto open = harness.open();
    BOOST_REQUIRE(open.size() == 2u);
    for (const auto attempt : open)
        harness.head(attempt, weight_version(2));
    for (std::uint64_t event = 1; event <= 16; ++event) {
        harness.pass(30ms);
        harness.events(open[0], event, event);
        if (event % 4 == 0)
            harness.events(open[1], event / 4, event / 4);
    }
    harness.pass(30ms);
    BOOST_TEST(harness.runner.counts().moved == 0u);
}

BOOST_AUTO_TEST_CASE(a_failing_item_is_abandoned_after_exactly_its_attempts)
{
    batch_harness harness(3);
    harness.add(specOf("b", 1, 1, 1));
    for (int failures = 0; failures < 3; ++failures) {
        harness.pass(300ms);
        BOOST_REQUIRE(harness.runs.size() == 1u);
        const auto attempt = harness.open().front();
        harness.runs.erase(attempt);
        static_cast<void>(harness.runner.head(attempt, { 500, true, false, false, std::nullopt }, harness.now));
        harness.done(attempt, true);
    }
    harness.pass(300ms);
    BOOST_TEST(harness.runs.empty());
    harness.pass(100ms);
    harness.writeAll();
    BOOST_REQUIRE(harness.runner.listed(batch_id("b")).size() == 1u);
    BOOST_TEST(!harness.runner.listed(batch_id("b")).front().completed);
}

BOOST_AUTO_TEST_CASE(partial_texts_round_trip)
{
    partial_texts texts;
    texts[item_id("a")] = { { "one", "two" }, 7, { weight_version(3), weight_version(4) }, { pool_id("pool"), "v2" }, true };
    texts[item_id("b")] = { { "x" }, 1, { weight_version(3) }, {}, false };
    const auto read = decodeTexts(encodeTexts(texts));
    BOOST_REQUIRE(read.size() == 2u);
    const auto& a = read.at(item_id("a"));
    BOOST_TEST((a.data == texts.at(item_id("a")).data));
    BOOST_TEST(a.lastEventId == 7u);
    BOOST_TEST((a.versions == texts.at(item_id("a")).versions));
    BOOST_TEST((a.software == texts.at(item_id("a")).software));
    BOOST_TEST(a.complete);
    BOOST_TEST(!read.at(item_id("b")).complete);
    BOOST_TEST(decodeTexts(Json::Value("no object")).empty());
}

// All instances crash while the longest item of a step is running: a new owner must resume
// it from the stored text and not generate it anew.
BOOST_AUTO_TEST_CASE(a_long_text_is_resumed_after_its_owner_crashed)
{
    batch_harness harness(2);
    harness.add(specOf("b", 1, 2, 1));
    harness.pass(20ms);
    const auto open = harness.open();
    BOOST_REQUIRE(open.size() == 2u);
    harness.head(open[0], weight_version(2));
    harness.finish(open[1], 3); // a short text alone causes no write
    std::uint64_t generatedEvents = 0;
    while (harness.saves.empty() && generatedEvents < 100) {
        harness.events(open[0], generatedEvents + 1, generatedEvents + 1);
        ++generatedEvents;
        harness.pass(100ms);
    }
    BOOST_REQUIRE(harness.saves.size() == 1u);
    BOOST_TEST(generatedEvents == 25u); // 2.5 s of work
    BOOST_TEST(harness.saves.front().texts.size() == 2u);
    // One write at a time: no other before this one is answered.
    harness.events(open[0], generatedEvents + 1, generatedEvents + 1);
    harness.pass(5s - 1ms);
    BOOST_TEST(harness.saves.size() == 1u);
    const auto stored = decodeTexts(encodeTexts(harness.saves.front().texts));

    batch_harness next(2);
    next.runner.restoreTexts(stored, next.now);
    next.add(specOf("b", 1, 2, 1));
    next.pass(20ms);
    std::vector<std::uint64_t> resumedAfter;
    for (const auto& run : next.sent)
        resumedAfter.push_back(run.lastEventId.value_or(0));
    std::sort(resumedAfter.begin(), resumedAfter.end());
    // The short text is complete, so its item is only judged.
    BOOST_TEST((resumedAfter == std::vector<std::uint64_t> { 25 }));
    BOOST_TEST(next.judges.size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_failed_write_of_partial_texts_is_repeated)
{
    batch_harness harness(1);
    harness.add(specOf("b", 1, 1, 1));
    harness.pass(20ms);
    const auto run = harness.open().front();
    harness.head(run, weight_version(2));
    harness.events(run, 1, 1);
    harness.pass(1s);
    harness.events(run, 2, 2);
    harness.pass(1s);
    harness.events(run, 3, 3);
    harness.pass(600ms);
    BOOST_REQUIRE(harness.saves.size() == 1u);
    harness.runner.textsSaved(batch_id("b"), false, harness.now);
    harness.events(run, 4, 4);
    harness.pass(1s);
    BOOST_TEST(harness.saves.size() == 1u);
    harness.events(run, 5, 5);
    harness.pass(300ms);
    BOOST_REQUIRE(harness.saves.size() == 2u);
    BOOST_TEST(harness.saves.back().texts.begin()->second.lastEventId == 5u);
    harness.runner.textsSaved(batch_id("b"), true, harness.now);
    harness.pass(800ms);
    harness.events(run, 6, 6);
    harness.pass(1100ms);
    harness.events(run, 7, 7);
    harness.pass(1100ms);
    BOOST_TEST(harness.saves.size() == 2u);
    harness.events(run, 8, 8);
    harness.pass(400ms);
    BOOST_TEST(harness.saves.size() == 3u);
}

// Waiting items count as a queue, which makes the autoscaler start targets, only if the
// existing targets are full. More targets don't help items that wait for weights.
BOOST_AUTO_TEST_CASE(items_waiting_for_weights_do_not_count_as_queued)
{
    batch_harness harness(2);
    harness.add(specOf("b", 10, 2, 1));
    harness.pass(20ms);
    BOOST_REQUIRE(harness.open().size() == 16u); // two replicas with eight slots
    auto demand = harness.runner.demand(harness.now);
    BOOST_REQUIRE(demand.size() == 1u);
    BOOST_TEST(demand[0].running == 16u);
    BOOST_TEST(demand[0].queued == 4u);

    batch_harness old(2, 1);
    old.add(specOf("b", 10, 2, 2)); // no target has version 2 yet
    old.pass(20ms);
    demand = old.runner.demand(old.now);
    BOOST_TEST(demand[0].running == 0u);
    BOOST_TEST(demand[0].queued == 0u);
}

// While the store is unavailable, the items of a submission already run. The submission is
// dropped when its caller gives up; if it is repeated, the texts must be resumed and not
// generated again.
BOOST_AUTO_TEST_CASE(a_repeated_submission_resumes_its_texts)
{
    batch_harness harness(2);
    harness.add(specOf("b", 1, 1, 1));
    harness.runner.deferWrites(batch_id("b"));
    harness.pass(20ms);
    harness.head(harness.open().front(), weight_version(2));
    harness.events(harness.open().front(), 1, 9);
    harness.drop("b");
    BOOST_TEST(harness.open().empty());
    harness.add(specOf("b", 1, 1, 1));
    harness.pass(20ms);
    BOOST_REQUIRE(harness.sent.size() == 2u);
    BOOST_TEST(harness.sent.back().lastEventId.value_or(0) == 9u);
}

// While the store is unavailable, a batch already runs, but must not list results before
// its submission is stored.
BOOST_AUTO_TEST_CASE(a_batch_writes_no_page_before_it_is_accepted)
{
    batch_harness harness(2);
    harness.add(specOf("b", 1, 1, 1));
    harness.runner.deferWrites(batch_id("b"));
    harness.pass(20ms);
    harness.finish(harness.open().front(), 3);
    harness.judgeAll();
    harness.pass(5s);
    BOOST_TEST(harness.pages.empty());
    harness.runner.accept(batch_id("b"));
    harness.pass(20ms);
    BOOST_TEST(harness.pages.size() == 1u);
}

// For any behaviour of runs, judges and the store: each item has at most one position,
// listed texts are complete, and a failed page is written again with as many results.
BOOST_AUTO_TEST_CASE(each_item_is_listed_once_and_complete)
{
    test::checkProperty("listed once", [] {
        constexpr std::uint64_t textLength = 6;
        batch_harness harness(*rc::gen::inRange<std::size_t>(1, 4));
        harness.add(specOf("b", 3, 2, 1));
        std::map<std::uint32_t, std::size_t> pageSizes;
        for (int step = 0; step < 400 && harness.runner.listed(batch_id("b")).size() < 6; ++step) {
            harness.pass(std::chrono::milliseconds(*rc::gen::inRange(5, 120)));
            for (const auto attempt : harness.open()) {
                const auto resumedAfter = harness.runs.at(attempt).lastEventId.value_or(0);
                switch (*rc::gen::inRange(0, 5)) {
                case 0:
                    harness.done(attempt, false);
                    break;
                case 1:
                    harness.head(attempt, weight_version(2));
                    harness.events(attempt, resumedAfter + 1, std::min(textLength, resumedAfter + 2));
                    harness.done(attempt, false);
                    break;
                case 2:
                    harness.finish(attempt, textLength);
                    break;
                default:
                    break;
                }
            }
            harness.judgeAll(*rc::gen::element(judge_outcome::Scored, judge_outcome::Retry, judge_outcome::GivenUp));
            for (const auto& page : harness.pages) {
                const auto known = pageSizes.try_emplace(page.page, page.results.size()).first;
                RC_ASSERT(known->second == page.results.size());
            }
            harness.writeAll(*rc::gen::arbitrary<bool>());
        }
        std::set<item_id> seen;
        for (const auto& result : harness.runner.listed(batch_id("b"))) {
            RC_ASSERT(seen.insert(result.item).second);
            if (result.completed)
                RC_ASSERT(result.text == "e1\ne2\ne3\ne4\ne5\ne6");
        }
    });
}

// --- Short slots

// Guards against an owner that sends more items of a model than its share, and against a share that
// holds items back after it has expired.
BOOST_AUTO_TEST_CASE(running_items_stay_within_a_valid_share)
{
    batch_harness harness(2);
    harness.runner.setShares(1, { { { pool, model }, { 5, 8 } } }, harness.now + 1500ms);
    harness.add(specOf("b", 5, 4, 1));
    harness.pass(20ms);
    BOOST_TEST(harness.runs.size() == 5u);
    harness.finish(harness.open().front(), 3);
    harness.pass(20ms);
    BOOST_TEST(harness.runs.size() == 5u);
    BOOST_TEST(harness.runner.counts().held > 0u);
    harness.pass(1500ms);
    BOOST_TEST(harness.runs.size() == 16u);
}

// Guards against an item that is cancelled for a move and then held back by the share.
BOOST_AUTO_TEST_CASE(a_moved_run_keeps_its_slot_of_a_share_that_has_fallen)
{
    batch_harness harness(2);
    auto spec = specOf("b", 1, 2, 1);
    for (auto& item : spec.items)
        item.expectedTokens = token_count(100);
    harness.add(spec);
    harness.pass(20ms);
    const auto open = harness.open();
    BOOST_REQUIRE(open.size() == 2u);
    BOOST_REQUIRE(harness.runs.at(open[0]).choice.target != harness.runs.at(open[1]).choice.target);
    for (const auto attempt : open)
        harness.head(attempt, weight_version(2));
    harness.runner.setShares(1, { { { pool, model }, { 1, 1 } } }, harness.now + 10s);
    for (std::uint64_t event = 1; event <= 16; ++event) {
        harness.pass(30ms);
        harness.events(open[0], event, event);
        if (event % 4 == 0 && harness.runs.contains(open[1]))
            harness.events(open[1], event / 4, event / 4);
    }
    harness.pass(30ms);
    BOOST_TEST(harness.runner.counts().moved == 1u);
    BOOST_TEST(harness.runs.size() == 2u);
}

// Guards against items that no trainer waits for and that take the slots of required ones.
BOOST_AUTO_TEST_CASE(required_groups_of_all_batches_are_sent_before_the_rest)
{
    batch_harness harness(1);
    for (const auto* id : { "a", "b" }) {
        auto spec = specOf(id, 4, 2, 1);
        spec.requiredGroups = 2;
        harness.add(spec);
    }
    harness.pass(20ms);
    std::map<batch_id, std::set<std::size_t>> groups;
    for (const auto& run : harness.sent)
        groups[run.batch].insert(run.index / 2);
    BOOST_TEST((groups[batch_id("a")] == std::set<std::size_t> { 2, 3 }));
    BOOST_TEST((groups[batch_id("b")] == std::set<std::size_t> { 2, 3 }));
}

// Guards against a different order of sending while all items find slots.
BOOST_AUTO_TEST_CASE(items_that_all_find_slots_are_sent_batch_by_batch)
{
    batch_harness harness(2);
    for (const auto* id : { "a", "b" }) {
        auto spec = specOf(id, 4, 2, 1);
        spec.requiredGroups = 2;
        harness.add(spec);
    }
    harness.pass(20ms);
    BOOST_REQUIRE(harness.sent.size() == 16u);
    for (std::size_t i = 0; i < 16; ++i)
        BOOST_TEST(harness.sent[i].batch.str() == (i < 8 ? "a" : "b"));
}

// Guards against two batches that are both late because they share the slots, and against a decision
// that changes while it stands. The reported demand names the batch that can be in time.
BOOST_AUTO_TEST_CASE(one_of_two_batches_that_do_not_fit_is_late)
{
    batch_harness harness(1);
    auto first = specOf("first", 1, 8, 1);
    for (auto& item : first.items)
        item.id = item_id("first" + item.id.str());
    harness.add(first);
    harness.pass(20ms);
    harness.pass(1s); // items take a second
    for (const auto attempt : harness.open())
        harness.finish(attempt, 100);
    harness.end("first");

    // 24 s of one slot for 4 groups that count, and 30 s for 7; 8 slots do one of the two in 6 s.
    auto large = specOf("large", 12, 4, 1);
    large.requiredGroups = 4;
    for (auto& item : large.items)
        item.expectedTokens = token_count(150);
    large.submitted = wallStart - 100ms; // due first
    harness.add(large);
    harness.add(specOf("small", 7, 4, 1));
    std::vector<std::string> late;
    for (int i = 0; i < 5; ++i) {
        harness.pass(200ms);
        late.emplace_back();
        for (const auto& note : std::exchange(harness.notes, {}))
            late.back() += note.batch.str() + (note.late ? "+" : "-");
    }
    BOOST_TEST(late.front() == "large+");
    for (std::size_t i = 1; i < late.size(); ++i)
        BOOST_TEST(late[i].empty());
    BOOST_TEST(harness.runner.counts().late == 1u);
    for (const auto& run : harness.sent)
        BOOST_TEST((run.batch != batch_id("large")));
    const auto demand = harness.runner.demand(harness.now);
    BOOST_REQUIRE(demand.size() == 1u);
    BOOST_TEST(demand[0].groups == 7u);
    BOOST_TEST(demand[0].urgent == 28u);
    harness.end("small");
    harness.pass(200ms);
    BOOST_TEST((harness.sent.back().batch == batch_id("large")));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
