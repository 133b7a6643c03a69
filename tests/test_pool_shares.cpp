// Tests of the shares of an engine pool: floors, urgency, whole steps first, and what happens when
// reports, answers, holders or owners are missing.
#include "demand_codec.h"
#include "pool_shares_world.h"
#include "property.h"

#include <numeric>

namespace lovagerail {
namespace {

    using namespace std::chrono_literals;

    constexpr instant start { 1h };
    constexpr std::size_t slots = 210;
    const service_id pool { "pool" };

    slot_claim claimFor(const std::string& model, std::size_t running, std::size_t waiting, std::int32_t priority = 0)
    {
        slot_claim out;
        out.owner = instance_id("owner-" + model);
        out.model = model_id(model);
        out.priority = priority;
        out.running = running;
        out.waiting = waiting;
        out.urgent = running + waiting;
        out.work = static_cast<double>(running + waiting);
        out.groups = 25;
        out.due = 5s;
        return out;
    }

    std::map<std::string, std::size_t> slotsOf(const std::vector<slot_share>& shares)
    {
        std::map<std::string, std::size_t> out;
        for (const auto& share : shares)
            out[share.model.str()] += share.slots;
        return out;
    }

    trainer_result replayed(double load, bool shares, std::uint64_t seed)
    {
        trainer_plan plan;
        plan.load = load;
        plan.shares = shares;
        plan.seed = seed;
        return trainer_world(plan).run();
    }

} // namespace

BOOST_AUTO_TEST_SUITE(pool_shares_suite)

// Guards against limits while there is room for all items.
BOOST_AUTO_TEST_CASE(demand_that_fits_is_not_limited)
{
    pool_shares shares;
    BOOST_TEST(shares.divide({ claimFor("a", 50, 55), claimFor("b", 100, 5) }, slots, start).empty());
    BOOST_TEST(!shares.divide({ claimFor("a", 50, 55), claimFor("b", 100, 6) }, slots, start).empty());
    BOOST_TEST(shares.divide({ claimFor("a", 50, 55) }, slots, start + 400ms).empty());
}

// Guards against a holder without a list of targets that stops all items.
BOOST_AUTO_TEST_CASE(nothing_is_limited_without_live_targets)
{
    pool_shares shares;
    BOOST_TEST(shares.divide({ claimFor("a", 50, 200), claimFor("b", 100, 60) }, 0, start).empty());
}

// Guards against a less urgent trainer that takes slots from an urgent one, and against its
// starvation.
BOOST_AUTO_TEST_CASE(the_urgent_class_gets_the_rest_and_others_their_floor)
{
    pool_shares shares;
    const auto given = slotsOf(shares.divide({ claimFor("a", 0, 300, 1), claimFor("b", 0, 300, 0), claimFor("c", 0, 300, 2) }, slots, start));
    BOOST_TEST(given.at("b") >= slots / 2);
    BOOST_TEST(given.at("a") >= slots / 6);
    BOOST_TEST(given.at("c") >= slots / 6);
    BOOST_TEST(given.at("a") + given.at("b") + given.at("c") == slots);
}

// Guards against all steps advancing at the same rate, so that all are late.
BOOST_AUTO_TEST_CASE(the_step_that_can_be_in_time_gets_the_rest)
{
    pool_shares shares;
    auto small = claimFor("a", 70, 100);
    small.work = 400;
    auto large = claimFor("b", 70, 300);
    large.work = 900;
    BOOST_TEST(slotsOf(shares.divide({ small, large }, slots, start)).at("a") > slots / 2);
    // A third model comes, whose step is due first.
    auto first = claimFor("c", 0, 120);
    first.due = 2s;
    first.work = 120;
    const auto given = slotsOf(shares.divide({ small, large, first }, slots, start));
    BOOST_TEST(given.at("c") >= 110u);
}

// Guards against a step that is called late, not late and late again while another has the slots.
BOOST_AUTO_TEST_CASE(the_late_step_is_decided_once_until_all_fit)
{
    std::vector<slot_job> jobs { { 5s, 600, 24, false }, { 6s, 700, 28, false } };
    chooseLate(jobs, slots);
    BOOST_TEST(!jobs[0].late);
    BOOST_TEST(jobs[1].late);
    jobs = { { 4s, 500, 30, false }, { 5s, 650, 20, true } }; // now the other would be the one
    chooseLate(jobs, slots);
    BOOST_TEST(!jobs[0].late);
    BOOST_TEST(jobs[1].late);
    jobs = { { 3s, 300, 30, false }, { 5s, 650, 20, true } };
    chooseLate(jobs, slots);
    BOOST_TEST(!jobs[1].late);
}

// Guards against a step past its due time that takes the slots of those that can be in time, and
// against one that needs only its last items and waits for all others.
BOOST_AUTO_TEST_CASE(a_step_past_its_due_time_gives_way_unless_nearly_done)
{
    std::vector<slot_job> jobs { { -1s, 400, 10, false }, { 5s, 600, 24, false } };
    chooseLate(jobs, slots);
    BOOST_TEST(jobs[0].late);
    BOOST_TEST(!jobs[1].late);
    jobs[0].work = 10;
    chooseLate(jobs, slots);
    BOOST_TEST(!jobs[0].late);
}

// Guards against a trainer that always gives way: the one that has been behind gets its turn.
BOOST_AUTO_TEST_CASE(a_trainer_that_is_behind_gets_more)
{
    pool_shares shares;
    auto a = claimFor("a", 50, 200); // less than its fair share
    auto b = claimFor("b", 160, 200);
    a.work = b.work = 800;
    for (auto now = start; now < start + 10s; now += 400ms)
        shares.divide({ a, b }, slots, now);
    // Both have new batches of the same size and due time; only one can be in time.
    a.due = b.due = 5500ms;
    std::map<std::string, std::size_t> given;
    for (auto now = start + 10s; now < start + 12s; now += 400ms)
        given = slotsOf(shares.divide({ a, b }, slots, now));
    BOOST_TEST(given.at("a") > given.at("b"));
}

// Guards against shares that swing between models: with steady demand they keep their order, and
// each change is a part of the way to the new target.
BOOST_AUTO_TEST_CASE(shares_change_smoothly_and_do_not_oscillate)
{
    pool_shares shares;
    std::vector<std::size_t> of;
    for (auto now = start; now < start + 20s; now += 400ms) {
        auto a = claimFor("a", 100, 200, now < start + 10s ? 0 : 2);
        auto b = claimFor("b", 100, 200, 1);
        a.due = b.due = start + 100s - now;
        of.push_back(slotsOf(shares.divide({ a, b }, slots, now)).at("a"));
    }
    std::size_t turns = 0;
    for (std::size_t i = 1; i < of.size(); ++i) {
        const auto change = of[i] > of[i - 1] ? of[i] - of[i - 1] : of[i - 1] - of[i];
        BOOST_TEST(change <= slots / 3);
        turns += of[i] != of[i - 1] && of[i] > of[i - 1] ? 1 : 0;
    }
    BOOST_TEST(turns == 0u);
    BOOST_TEST(of.front() > of.back() + slots / 3);
}

// Guards against shares that add up to more than the pool, and against a floor that is not kept, for
// any demand, also while demand and slots change.
BOOST_AUTO_TEST_CASE(the_sum_of_shares_stays_within_the_pool)
{
    test::checkProperty("shares are within the pool and above half of the fair share", [] {
        pool_shares shares;
        auto now = start;
        const auto rounds = *rc::gen::inRange(1, 8);
        for (int round = 0; round < rounds; ++round, now += 400ms) {
            const auto pool = *rc::gen::inRange<std::size_t>(10, 300);
            std::vector<slot_claim> claims;
            std::size_t setApart = 0;
            const auto models = *rc::gen::inRange(1, 6);
            for (int i = 0; i < models; ++i) {
                auto claim = claimFor("m" + std::to_string(i), *rc::gen::inRange<std::size_t>(0, 30), *rc::gen::inRange<std::size_t>(0, 300), *rc::gen::inRange(0, 3));
                claim.due = std::chrono::milliseconds(*rc::gen::inRange(-5000, 8000));
                claim.limitable = *rc::gen::inRange(0, 8) > 0;
                setApart += claim.limitable ? 0 : claim.running;
                claims.push_back(claim);
            }
            const auto given = shares.divide(claims, pool, now);
            std::size_t sum = 0;
            for (const auto& share : given) {
                sum += share.slots;
                RC_ASSERT(share.slots <= share.wanted);
                RC_ASSERT(2 * (share.slots + 1) >= share.fair);
            }
            RC_ASSERT(sum <= pool);
            const auto demand = std::accumulate(claims.begin(), claims.end(), std::size_t { 0 }, [](std::size_t all, const slot_claim& claim) { return all + claim.demand(); });
            RC_ASSERT((demand > pool) || given.empty());
            if (setApart == 0 && demand > pool && given.size() == claims.size())
                RC_ASSERT(sum + 1 >= pool);
        }
    });
}

// Guards against shares that outlive their holder or its connection, and against an older answer,
// also of a second holder, that replaces a newer one.
BOOST_AUTO_TEST_CASE(shares_expire_and_the_newer_answer_applies)
{
    const share_key key { pool, model_id("a") };
    share_lease lease;
    BOOST_TEST(!lease.limit(key, start).has_value());
    lease.apply(1, { { key, { 40, 70 } } }, start + 1500ms);
    BOOST_TEST(*lease.limit(key, start + 1499ms) == 40u);
    BOOST_TEST(*lease.expected(key, start) == 70u);
    BOOST_TEST(!lease.limit(key, start + 1500ms).has_value());
    BOOST_TEST(!lease.limit({ pool, model_id("b") }, start).has_value());
    lease.apply(3, { { key, { 50, 70 } } }, start + 2s);
    lease.apply(2, { { key, { 10, 70 } } }, start + 3s);
    BOOST_TEST(*lease.limit(key, start) == 50u);
    // A holder of an older version answers without shares.
    lease.apply(4, decodeShares(Json::Value()).shares, start);
    BOOST_TEST(!lease.limit(key, start).has_value());
}

// Guards against models of an older instance that are limited or forgotten: they are counted, keep
// what they hold, and get no share.
BOOST_AUTO_TEST_CASE(a_report_without_the_new_fields_is_counted_but_not_limited)
{
    Json::Value body;
    body["from"] = "old";
    body["models"][0]["service"] = pool.str();
    body["models"][0]["model"] = "a";
    body["models"][0]["running"] = 120;
    body["models"][0]["queued"] = 60;
    const auto report = decodeDemand(body);
    BOOST_REQUIRE(report.has_value());
    const auto old = claimOf(report->from, report->models.at(0), 0ms);
    BOOST_TEST(!old.limitable);
    BOOST_TEST(old.demand() == 180u);
    pool_shares shares;
    const auto given = slotsOf(shares.divide({ old, claimFor("b", 90, 100) }, slots, start));
    BOOST_TEST(!given.contains("a"));
    BOOST_TEST(given.at("b") == slots - 120);
}

// Guards against fields that are lost between instances, and malformed ones that are believed.
BOOST_AUTO_TEST_CASE(reports_and_shares_are_encoded_and_decoded)
{
    model_demand demand;
    demand.service = pool;
    demand.model = model_id("a");
    demand.running = 3;
    demand.waiting = 20;
    demand.urgent = 15;
    demand.priority = 2;
    demand.timeLeft = -250ms;
    demand.slotTime = 7s;
    demand.groups = 4;
    const auto decoded = decodeDemand(encodeDemand({ instance_id("i"), { demand } }));
    BOOST_REQUIRE(decoded.has_value());
    const auto claim = claimOf(decoded->from, decoded->models.at(0), 100ms);
    BOOST_TEST(claim.limitable);
    BOOST_TEST(claim.demand() == 23u);
    BOOST_TEST(claim.urgent == 15u);
    BOOST_TEST(claim.priority == 2);
    BOOST_TEST((claim.due == std::optional<duration>(-350ms)));
    BOOST_TEST(claim.work == 7.0);
    BOOST_TEST(claim.groups == 4u);

    const share_key key { pool, model_id("a") };
    auto answer = encodeShares({ { { key, { 12, 30 } } }, demandLifetime });
    BOOST_TEST(decodeShares(answer).shares.at(key).slots == 12u);
    BOOST_TEST((decodeShares(answer).validity == demandLifetime));
    answer["valid_ms"] = 1'000'000;
    BOOST_TEST((decodeShares(answer).validity == demandLifetime));
    answer["shares"][0]["slots"] = -1;
    BOOST_TEST(decodeShares(answer).shares.empty());
    BOOST_TEST(!decodeDemand(Json::Value("x")).has_value());
}

// Guards against slots that stay set apart for an owner that has ended: its claim is gone, so the
// others get them in the next round.
BOOST_AUTO_TEST_CASE(slots_of_an_owner_that_ended_are_given_to_the_others)
{
    pool_shares shares;
    shares.divide({ claimFor("a", 70, 300), claimFor("b", 70, 300), claimFor("c", 70, 300) }, slots, start);
    const auto given = slotsOf(shares.divide({ claimFor("b", 70, 300), claimFor("c", 70, 300) }, slots, start + 400ms));
    BOOST_TEST(given.at("b") + given.at("c") == slots);
}

// Guards against losing whole steps when more is asked than the pool can do: at three times the
// load 0.9 of the steps in time at the usual load, each trainer with half of its fair share in any
// 10 s, and no step lost where arrival order loses none.
BOOST_AUTO_TEST_CASE(whole_steps_are_in_time_in_a_replayed_overload)
{
    for (const std::uint64_t seed : { 1U, 2U }) {
        std::map<double, std::size_t> onTime;
        for (const double load : { 0.5, 1.0, 1.5, 3.0 }) {
            const auto arrival = replayed(load, false, seed);
            const auto shared = replayed(load, true, seed);
            onTime[load] = shared.onTime;
            BOOST_TEST(shared.onTime >= arrival.onTime);
            BOOST_TEST(shared.leastService >= 1.0);
            BOOST_TEST(shared.mostShared <= slots);
        }
        BOOST_TEST(10 * onTime.at(3.0) >= 9 * onTime.at(1.0));
    }
}

// Guards against an urgent trainer that earns less than the others in an overload.
BOOST_AUTO_TEST_CASE(the_urgent_trainer_is_in_time_most_often_in_a_replayed_overload)
{
    trainer_plan plan;
    plan.load = 1.5;
    plan.priorities = { 1, 0, 1 };
    const auto result = trainer_world(plan).run();
    BOOST_TEST(result.onTimeOf[1] >= result.onTimeOf[0]);
    BOOST_TEST(result.onTimeOf[1] >= result.onTimeOf[2]);
    BOOST_TEST(result.leastService >= 1.0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
