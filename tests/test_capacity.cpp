// Tests of capacity plans over random demand, loss of failure domains and unavailable
// capacity: bounds hold, needed targets are started, steady demand causes no repeated
// starts and stops, and only targets that were idle are stopped.
#include "capacity.h"
#include "property.h"
#include "router_policy.h"

#include <set>

namespace lovagerail {
namespace {

    using namespace std::chrono_literals;

    constexpr double perTarget = 10;

    target_pool poolOf(std::uint32_t floor, std::uint32_t ceiling, bool cheap)
    {
        target_pool pool;
        pool.meta.name = "p";
        pool.floor = floor;
        pool.ceiling = ceiling;
        pool.allowCheap = cheap;
        pool.firmPricePerHour = micro_price(100);
        pool.cheapPricePerHour = micro_price(30);
        pool.failureDomains = { failure_domain_id("a"), failure_domain_id("b"), failure_domain_id("c") };
        return pool;
    }

    demand_sample sampleOf(double work, double cheapShare = 0)
    {
        return { work, 0, perTarget, 0, cheapShare };
    }

    // Simulated targets of a pool. Carries out each plan; a started target is live after
    // the pool's start-up time, a stopped one is gone at once.
    class fleet {
    public:
        fleet(target_pool initialPool, capacity_settings settings)
            : pool(std::move(initialPool))
            , m_planner(settings)
        {
        }

        capacity_plan step(const demand_sample& sample, duration time)
        {
            now += time;
            for (auto& one : view.targets) {
                if (one.state == target_state::Starting && now >= m_liveAt[one.id])
                    one.state = target_state::Live;
                one.open = one.state == target_state::Live ? sample.open / static_cast<double>(view.targets.size()) : 0;
            }
            m_planner.observe(sample, now);
            auto plan = m_planner.plan(pool, view, now);
            for (const auto& start : plan.starts)
                add(start.where, target_state::Starting);
            if (plan.stop) {
                const auto erased = std::erase_if(view.targets, [&](const auto& one) { return one.id == plan.stop->target; });
                RC_ASSERT(erased == 1u);
            }
            startsAndStops += plan.starts.size() + (plan.stop ? 1 : 0);
            return plan;
        }
        void add(const capacity_place& where, target_state state)
        {
            const target_id id("t" + std::to_string(++m_lastId));
            view.targets.push_back({ id, where.kind, where.failureDomain, state, 0, false });
            m_liveAt[id] = now + std::chrono::seconds(pool.startUpS);
        }
        std::uint32_t in(const char* domain) const
        {
            return static_cast<std::uint32_t>(std::count_if(view.targets.begin(), view.targets.end(), [&](const auto& one) { return one.failureDomain.str() == domain; }));
        }

        target_pool pool;
        capacity_view view;
        instant now { 1h };
        std::size_t startsAndStops = 0;

    private:
        capacity_planner m_planner;
        std::map<target_id, instant> m_liveAt;
        int m_lastId = 0;
    };

} // namespace

BOOST_AUTO_TEST_SUITE(capacity_suite)

// For any demand, loss of failure domains and backed-off places: never above the ceiling;
// not below the floor while every place is available; no start at a backed-off place;
// no stop together with a start; no cheap target unless the pool allows it and some of
// its work may run there.
BOOST_AUTO_TEST_CASE(bounds_hold_under_any_history)
{
    test::checkProperty("bounds", [] {
        seeded_random random(*rc::gen::arbitrary<std::uint64_t>());
        const auto floor = static_cast<std::uint32_t>(random.below(5));
        const auto ceiling = floor + 1 + static_cast<std::uint32_t>(random.below(12));
        const bool cheap = random.below(2) == 0;
        capacity_settings settings;
        settings.policy = static_cast<capacity_policy>(random.below(4));
        settings.idleTime = std::chrono::seconds(random.below(900));
        fleet all(poolOf(floor, ceiling, cheap), settings);
        double work = 10;
        for (int i = 0; i < 400; ++i) {
            work = std::clamp(work * (0.8 + 0.05 * static_cast<double>(random.below(9))), 0.0, 400.0);
            if (random.below(50) == 0)
                work *= 3;
            if (random.below(40) == 0)
                std::erase_if(all.view.targets, [&](const auto& one) { return one.failureDomain.str() == "a"; });
            all.view.backedOff.clear();
            for (const auto& domain : all.pool.failureDomains) {
                if (random.below(6) == 0)
                    all.view.backedOff.push_back({ supply_kind::Firm, domain });
                if (random.below(3) == 0)
                    all.view.backedOff.push_back({ supply_kind::Cheap, domain });
            }
            const auto before = all.view.targets.size();
            const double cheapShare = static_cast<double>(random.below(3)) / 2;
            auto sample = sampleOf(work, cheapShare);
            sample.queued = static_cast<double>(random.below(20));
            const auto plan = all.step(sample, std::chrono::seconds(1 + random.below(30)));
            RC_ASSERT(all.view.targets.size() <= std::max<std::size_t>(ceiling, before));
            RC_ASSERT(!plan.stop || plan.starts.empty());
            RC_ASSERT(!plan.stop || all.view.targets.size() >= floor);
            for (const auto& start : plan.starts) {
                RC_ASSERT(std::find(all.view.backedOff.begin(), all.view.backedOff.end(), start.where) == all.view.backedOff.end());
                RC_ASSERT(start.where.kind == supply_kind::Firm || (cheap && cheapShare > 0));
            }
            if (all.view.backedOff.empty())
                RC_ASSERT(all.view.targets.size() >= floor);
        }
    });
}

// Under constant demand with noise, hardly anything is started or stopped once settled.
BOOST_AUTO_TEST_CASE(constant_demand_causes_no_repeated_starts_and_stops)
{
    test::checkProperty("no flapping", [] {
        seeded_random random(*rc::gen::arbitrary<std::uint64_t>());
        const double work = static_cast<double>(5 + random.below(80));
        fleet all(poolOf(1, 30, random.below(2) == 0), {});
        const auto noisy = [&] { return sampleOf(work * (0.9 + 0.02 * static_cast<double>(random.below(11))), 0.5); };
        for (int i = 0; i < 720; ++i)
            all.step(noisy(), 5s);
        const auto settled = all.startsAndStops;
        for (int i = 0; i < 1440; ++i)
            all.step(noisy(), 5s);
        RC_ASSERT(all.startsAndStops - settled <= 2u);
    });
}

BOOST_AUTO_TEST_CASE(enough_targets_remain_after_the_loss_of_a_failure_domain)
{
    test::checkProperty("loss", [] {
        const auto work = *rc::gen::inRange(1, 150);
        fleet all(poolOf(0, 40, *rc::gen::arbitrary<bool>()), {});
        for (int i = 0; i < 60; ++i)
            all.step(sampleOf(work, *rc::gen::element(0.0, 0.5, 1.0)), 5s);
        const auto fullest = std::max({ all.in("a"), all.in("b"), all.in("c") });
        RC_ASSERT((static_cast<double>(all.view.targets.size()) - fullest) * perTarget >= work - 1e-6);
    });
}

// Running targets are kept until demand was low for idleTime, and are then stopped one by
// one down to the floor.
BOOST_AUTO_TEST_CASE(stops_targets_only_after_the_idle_time)
{
    capacity_settings settings;
    fleet all(poolOf(2, 8, false), settings);
    for (int i = 0; i < 8; ++i)
        all.add({ supply_kind::Firm, all.pool.failureDomains[static_cast<std::size_t>(i) % 3] }, target_state::Live);
    const auto begin = all.now;
    while (all.now - begin < settings.idleTime) {
        const auto plan = all.step(sampleOf(0.1), 5s);
        BOOST_TEST(!plan.stop.has_value());
    }
    for (int i = 0; i < 200; ++i)
        all.step(sampleOf(0.1), 5s);
    BOOST_TEST(all.view.targets.size() == 2u);
}

BOOST_AUTO_TEST_CASE(targets_are_live_in_time_for_doubling_demand)
{
    fleet all(poolOf(1, 40, false), {});
    for (int i = 0; i < 200; ++i)
        all.step(sampleOf(50), 5s);
    // Demand doubles within three minutes.
    for (int i = 0; i <= 36; ++i) {
        const double work = 50 + 50.0 * i / 36;
        all.step(sampleOf(work), 5s);
        const auto live = std::count_if(all.view.targets.begin(), all.view.targets.end(), [](const auto& one) { return one.state == target_state::Live; });
        BOOST_TEST(static_cast<double>(live) * perTarget >= work);
    }
}

// Cheap targets are started only for work that may run on them; firm ones replace them
// where no cheap ones are available.
BOOST_AUTO_TEST_CASE(cheap_targets_only_for_work_that_may_run_there)
{
    for (const double share : { 0.0, 0.5, 1.0 }) {
        fleet all(poolOf(0, 40, true), {});
        for (int i = 0; i < 60; ++i)
            all.step(sampleOf(100, share), 5s);
        const auto firm = std::count_if(all.view.targets.begin(), all.view.targets.end(), [](const auto& one) { return one.kind == supply_kind::Firm; });
        BOOST_TEST(static_cast<double>(firm) * perTarget >= 100 * (1 - share));
        BOOST_TEST((share == 0 || static_cast<std::size_t>(firm) < all.view.targets.size()));
    }
    fleet unavailable(poolOf(0, 40, true), {});
    for (const auto& domain : unavailable.pool.failureDomains)
        unavailable.view.backedOff.push_back({ supply_kind::Cheap, domain });
    for (int i = 0; i < 60; ++i)
        unavailable.step(sampleOf(100, 1), 5s);
    BOOST_TEST(unavailable.view.targets.size() >= 15u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
