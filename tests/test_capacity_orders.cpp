// Tests of orders for capacity: whole numbers by place, none twice, bounds always kept.
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

    class world {
    public:
        explicit world(std::uint32_t mostInDomain = 3)
            : orders({ 4s, 3, 3s, 500ms, 1, mostInDomain }, planning())
        {
            pool.meta.name = "pool";
        }

        void add(const failure_domain_id& domain, supply_kind kind = supply_kind::Firm)
        {
            capacity_target one;
            one.id = target_id("t" + std::to_string(++m_last));
            one.kind = kind;
            one.failureDomain = domain;
            targets.push_back(one);
        }
        std::vector<place_order> step(double work, duration time = 100ms, double queued = 0)
        {
            now += time;
            orders.see(targets, now);
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
            out.stopEvery = 1s;
            return out;
        }
        int m_last = 0;
    };

} // namespace

BOOST_AUTO_TEST_SUITE(capacity_orders_suite)

BOOST_AUTO_TEST_CASE(growth_is_ordered_once_as_a_number_for_each_failure_domain)
{
    world w;
    w.add(north);
    w.add(south);
    BOOST_TEST(w.step(10).empty()); // two do 16
    auto sent = w.step(30); // four
    BOOST_REQUIRE(sent.size() == 2u);
    BOOST_TEST(sent[0].count == 2u);
    BOOST_TEST(sent[1].count == 2u);
    BOOST_TEST((sent[0].where == firmNorth && sent[1].where == firmSouth));
    // While these start nothing more is ordered.
    BOOST_TEST(w.step(30).empty());
    for (const auto& one : sent)
        w.orders.answered(one.where, place_outcome::Taken, w.now);
    BOOST_TEST(w.step(30).empty());
    w.add(north);
    w.add(south);
    BOOST_TEST(w.step(30, 5s).empty());
}

// Steps begin with more items than there are places, and are through them within a
// second or two: nothing that is ordered then could help.
BOOST_AUTO_TEST_CASE(a_queue_orders_once_it_outlasts_a_start)
{
    world w;
    w.add(north);
    w.add(south);
    BOOST_TEST(w.step(16).empty());
    for (int i = 0; i < 39; ++i)
        BOOST_TEST(w.step(16, 100ms, 8).empty()); // 4 s are a start
    BOOST_TEST(w.step(16, 100ms, 0).empty());
    for (int i = 0; i < 39; ++i)
        BOOST_TEST(w.step(16, 100ms, 8).empty());
    BOOST_TEST(w.step(16, 100ms, 8).size() == 2u); // three for the work, one more for the queue
}

BOOST_AUTO_TEST_CASE(a_target_that_broke_down_is_not_ordered_again_at_once)
{
    world w;
    w.add(north);
    w.add(south);
    w.step(16);
    w.targets.pop_back();
    BOOST_TEST(w.step(16).empty()); // the platform starts it again
    BOOST_TEST(w.step(16, 5s).empty());
    const auto sent = w.step(16, 8s); // it would be back by now
    BOOST_REQUIRE(sent.size() == 1u);
    BOOST_TEST((sent[0].where == firmSouth && sent[0].count == 1u));
}

BOOST_AUTO_TEST_CASE(a_place_that_has_none_is_left_alone_for_a_while)
{
    world w;
    w.add(north);
    w.add(south);
    w.step(16);
    auto sent = w.step(24);
    BOOST_REQUIRE(sent.size() == 1u);
    w.orders.answered(sent[0].where, place_outcome::NoneThere, w.now);
    const auto refused = sent[0].where;
    sent = w.step(24);
    BOOST_REQUIRE(sent.size() == 1u);
    BOOST_TEST(!(sent[0].where == refused));
}

BOOST_AUTO_TEST_CASE(an_order_of_unknown_outcome_is_sent_again_as_it_was)
{
    world w;
    w.add(north);
    w.add(south);
    w.step(16);
    const auto sent = w.step(24);
    BOOST_REQUIRE(sent.size() == 1u);
    w.orders.answered(sent[0].where, place_outcome::Unsure, w.now);
    BOOST_TEST(w.step(24).empty());
    const auto again = w.step(24, 500ms);
    BOOST_REQUIRE(again.size() == 1u);
    BOOST_TEST((again[0].where == sent[0].where && again[0].count == sent[0].count));
}

BOOST_AUTO_TEST_CASE(what_stayed_idle_is_given_back_one_at_a_time)
{
    world w;
    for (int i = 0; i < 2; ++i) {
        w.add(north);
        w.add(south);
    }
    std::vector<place_order> all;
    for (int i = 0; i < 400; ++i) {
        for (const auto& one : w.step(8)) {
            all.push_back(one);
            w.orders.answered(one.where, place_outcome::Taken, w.now);
            // The platform takes one away.
            const auto gone = std::find_if(w.targets.begin(), w.targets.end(), [&](const auto& t) { return t.failureDomain == one.where.failureDomain; });
            w.targets.erase(gone);
        }
    }
    // 8 at once need one; each failure domain keeps one.
    BOOST_REQUIRE(all.size() == 2u);
    BOOST_TEST(all[0].count == 1u);
    BOOST_TEST(all[1].count == 1u);
    BOOST_TEST(!(all[0].where == all[1].where));
}

// Whatever is needed, lost and answered: no order leaves the bounds of a failure
// domain, and no place has two under way.
BOOST_AUTO_TEST_CASE(property_orders_keep_the_bounds)
{
    test::checkProperty("orders keep the bounds", [] {
        const auto most = *rc::gen::inRange(1U, 5U);
        world w(most);
        w.add(north);
        w.add(south);
        std::map<std::string, bool> underWay;
        std::vector<place_order> open;
        const auto steps = *rc::gen::inRange(1, 60);
        for (int i = 0; i < steps; ++i) {
            if (*rc::gen::inRange(0, 4) == 0 && !w.targets.empty())
                w.targets.pop_back();
            if (*rc::gen::inRange(0, 3) == 0)
                w.add(*rc::gen::element(north, south), *rc::gen::element(supply_kind::Firm, supply_kind::Cheap));
            if (!open.empty() && *rc::gen::inRange(0, 2) == 0) {
                w.orders.answered(open.back().where, *rc::gen::element(place_outcome::Taken, place_outcome::NoneThere, place_outcome::Unsure), w.now);
                open.pop_back();
            }
            const double work = *rc::gen::inRange(0, 100);
            for (const auto& one : w.step(work, std::chrono::milliseconds(*rc::gen::inRange(10, 5000)))) {
                for (const auto& other : open)
                    RC_ASSERT(!(other.where == one.where));
                const capacity_place sibling { one.where.kind == supply_kind::Firm ? supply_kind::Cheap : supply_kind::Firm, one.where.failureDomain };
                const auto before = static_cast<std::uint32_t>(std::count_if(w.targets.begin(), w.targets.end(), [&](const auto& t) { return t.failureDomain == one.where.failureDomain; }));
                // More than the bound only if more run already, without us.
                RC_ASSERT(one.count + w.orders.wanted(sibling) <= std::max(most, before));
                open.push_back(one);
            }
        }
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
