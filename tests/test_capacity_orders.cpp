// Tests of capacity orders: each states the desired number for a place, no place has two
// unanswered ones, and the bounds of a failure domain always hold.
#include "capacity_orders.h"
#include "property.h"

namespace lovagerail {
namespace {

    using namespace std::chrono_literals;

    constexpr instant start { 1h };
    const failure_domain_id north { "north" };
    const failure_domain_id south { "south" };
    const capacity_place firmNorth { supply_kind::Firm, north };
    const capacity_place firmSouth { supply_kind::Firm, south };

    // The orders of one pool, with a list of targets that the test changes.
    class orders_harness {
    public:
        explicit orders_harness(std::uint32_t maxPerDomain = 3)
            : orders({ 4s, 3, 3s, 500ms, 1, maxPerDomain }, planning())
        {
            pool.meta.name = "pool";
        }

        void add(const failure_domain_id& domain, supply_kind kind = supply_kind::Firm)
        {
            capacity_target one;
            one.id = target_id("t" + std::to_string(++m_lastId));
            one.kind = kind;
            one.failureDomain = domain;
            targets.push_back(one);
        }
        std::vector<place_order> step(double work, duration time = 100ms, double queued = 0)
        {
            now += time;
            orders.updateTargets(targets, now);
            demand_sample sample;
            sample.open = work;
            sample.queued = queued;
            sample.perTarget = 8;
            orders.observe(sample, now);
            return orders.plan(pool, now);
        }

        instant now = start;
        capacity_orders orders;
        target_pool pool;
        std::vector<capacity_target> targets;

    private:
        static capacity_settings planning()
        {
            capacity_settings out;
            out.policy = capacity_policy::QueueLength;
            out.idleTime = 30s;
            out.minStopInterval = 1s;
            return out;
        }
        int m_lastId = 0;
    };

} // namespace

BOOST_AUTO_TEST_SUITE(capacity_orders_suite)

BOOST_AUTO_TEST_CASE(scale_up_is_ordered_once_as_a_desired_number_per_failure_domain)
{
    orders_harness harness;
    harness.add(north);
    harness.add(south);
    BOOST_TEST(harness.step(10).empty()); // two targets run 16 requests
    auto sent = harness.step(30); // needs four targets
    BOOST_REQUIRE(sent.size() == 2u);
    BOOST_TEST(sent[0].count == 2u);
    BOOST_TEST(sent[1].count == 2u);
    BOOST_TEST((sent[0].where == firmNorth && sent[1].where == firmSouth));
    // Nothing more is ordered while these start.
    BOOST_TEST(harness.step(30).empty());
    for (const auto& one : sent)
        harness.orders.onOrderResult(one.where, place_outcome::Taken, harness.now);
    BOOST_TEST(harness.step(30).empty());
    harness.add(north);
    harness.add(south);
    BOOST_TEST(harness.step(30, 5s).empty());
}

// A training step begins with more items than there are slots, and this queue is gone
// within a second or two. A target ordered for it would start too late to help.
BOOST_AUTO_TEST_CASE(a_queue_counts_once_it_lasts_longer_than_a_start)
{
    orders_harness harness;
    harness.add(north);
    harness.add(south);
    BOOST_TEST(harness.step(16).empty());
    for (int i = 0; i < 39; ++i)
        BOOST_TEST(harness.step(16, 100ms, 8).empty()); // a target takes 4 s to start
    BOOST_TEST(harness.step(16, 100ms, 0).empty());
    for (int i = 0; i < 39; ++i)
        BOOST_TEST(harness.step(16, 100ms, 8).empty());
    BOOST_TEST(harness.step(16, 100ms, 8).size() == 2u); // three targets for the load, one more for the queue
}

BOOST_AUTO_TEST_CASE(a_crashed_target_is_ordered_again_only_once_overdue)
{
    orders_harness harness;
    harness.add(north);
    harness.add(south);
    harness.step(16);
    harness.targets.pop_back();
    BOOST_TEST(harness.step(16).empty()); // the platform restarts it
    BOOST_TEST(harness.step(16, 5s).empty());
    const auto sent = harness.step(16, 8s); // it would have restarted by now
    BOOST_REQUIRE(sent.size() == 1u);
    BOOST_TEST((sent[0].where == firmSouth && sent[0].count == 1u));
}

BOOST_AUTO_TEST_CASE(a_place_without_capacity_is_backed_off)
{
    orders_harness harness;
    harness.add(north);
    harness.add(south);
    harness.step(16);
    auto sent = harness.step(24);
    BOOST_REQUIRE(sent.size() == 1u);
    harness.orders.onOrderResult(sent[0].where, place_outcome::NoCapacity, harness.now);
    const auto refused = sent[0].where;
    sent = harness.step(24);
    BOOST_REQUIRE(sent.size() == 1u);
    BOOST_TEST(!(sent[0].where == refused));
}

BOOST_AUTO_TEST_CASE(an_order_of_unknown_outcome_is_repeated_unchanged)
{
    orders_harness harness;
    harness.add(north);
    harness.add(south);
    harness.step(16);
    const auto sent = harness.step(24);
    BOOST_REQUIRE(sent.size() == 1u);
    harness.orders.onOrderResult(sent[0].where, place_outcome::AnswerLost, harness.now);
    BOOST_TEST(harness.step(24).empty());
    const auto repeated = harness.step(24, 500ms);
    BOOST_REQUIRE(repeated.size() == 1u);
    BOOST_TEST((repeated[0].where == sent[0].where && repeated[0].count == sent[0].count));
}

BOOST_AUTO_TEST_CASE(idle_targets_are_stopped_one_at_a_time)
{
    orders_harness harness;
    for (int i = 0; i < 2; ++i) {
        harness.add(north);
        harness.add(south);
    }
    std::vector<place_order> all;
    for (int i = 0; i < 400; ++i) {
        for (const auto& one : harness.step(8)) {
            all.push_back(one);
            harness.orders.onOrderResult(one.where, place_outcome::Taken, harness.now);
            // The platform stops one target.
            const auto stopped = std::find_if(harness.targets.begin(), harness.targets.end(), [&](const auto& t) { return t.failureDomain == one.where.failureDomain; });
            harness.targets.erase(stopped);
        }
    }
    // 8 concurrent requests need one target, but each failure domain keeps at least one.
    BOOST_REQUIRE(all.size() == 2u);
    BOOST_TEST(all[0].count == 1u);
    BOOST_TEST(all[1].count == 1u);
    BOOST_TEST(!(all[0].where == all[1].where));
}

// For any demand, lost targets and order outcomes: no order exceeds the bounds of a failure
// domain, and no place has two unanswered orders.
BOOST_AUTO_TEST_CASE(orders_keep_the_bounds)
{
    test::checkProperty("orders keep the bounds", [] {
        const auto bound = *rc::gen::inRange(1U, 5U);
        orders_harness harness(bound);
        harness.add(north);
        harness.add(south);
        std::map<std::string, bool> underWay;
        std::vector<place_order> unanswered;
        const auto steps = *rc::gen::inRange(1, 60);
        for (int i = 0; i < steps; ++i) {
            if (*rc::gen::inRange(0, 4) == 0 && !harness.targets.empty())
                harness.targets.pop_back();
            if (*rc::gen::inRange(0, 3) == 0)
                harness.add(*rc::gen::element(north, south), *rc::gen::element(supply_kind::Firm, supply_kind::Cheap));
            if (!unanswered.empty() && *rc::gen::inRange(0, 2) == 0) {
                harness.orders.onOrderResult(unanswered.back().where, *rc::gen::element(place_outcome::Taken, place_outcome::NoCapacity, place_outcome::AnswerLost), harness.now);
                unanswered.pop_back();
            }
            const double work = *rc::gen::inRange(0, 100);
            for (const auto& one : harness.step(work, std::chrono::milliseconds(*rc::gen::inRange(10, 5000)))) {
                for (const auto& other : unanswered)
                    RC_ASSERT(!(other.where == one.where));
                const capacity_place otherKind { one.where.kind == supply_kind::Firm ? supply_kind::Cheap : supply_kind::Firm, one.where.failureDomain };
                const auto before = static_cast<std::uint32_t>(std::count_if(harness.targets.begin(), harness.targets.end(), [&](const auto& t) { return t.failureDomain == one.where.failureDomain; }));
                // Above the bound only if more targets run already that were not ordered here.
                RC_ASSERT(one.count + harness.orders.wanted(otherKind) <= std::max(bound, before));
                unanswered.push_back(one);
            }
        }
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
