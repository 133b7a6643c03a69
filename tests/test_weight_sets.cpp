// Tests of the sets of replicas that serve a model, and of the order of their loads.
#include "property.h"
#include "weight_sets.h"

#include <array>

namespace lovagerail {
namespace {

    using namespace std::chrono_literals;

    const model_id modelA { "a" };
    const model_id modelB { "b" };
    const model_id modelC { "c" };

    // Replicas that carry out what they are ordered after a load's time.
    class fleet {
    public:
        fleet(std::size_t replicas, std::uint64_t lag)
            : m_lag(lag)
        {
            for (std::size_t i = 0; i < replicas; ++i) {
                weight_replica one;
                one.target = target_id("t" + std::to_string(i));
                one.failureDomain = failure_domain_id("d" + std::to_string(i % 3));
                for (const auto& model : { modelA, modelB, modelC })
                    one.versions[model] = weight_version(1);
                replicasNow.push_back(one);
            }
        }
        void name(const model_id& model) { named[model] = named[model].next(); }
        // One step of 100 ms; returns the loads that were ordered in it.
        std::size_t step()
        {
            now += 100ms;
            std::vector<weight_model> models;
            for (const auto& [model, version] : named)
                models.push_back({ model, version, 1, m_lag });
            sets.setModels(models);
            // Beyond so many at once, loads slow each other.
            const auto slowdown = std::max(1.0, static_cast<double>(m_loading.size()) / freeAtOnce);
            const auto done = std::chrono::duration_cast<duration>(100ms / slowdown);
            for (auto it = m_loading.begin(); it != m_loading.end();) {
                it->left -= stuck.contains(it->load.target) ? duration {} : done;
                if (it->left > 0ms) {
                    ++it;
                    continue;
                }
                for (auto& replica : replicasNow) {
                    if (replica.target == it->load.target)
                        replica.versions[it->load.model] = it->load.version;
                }
                it = m_loading.erase(it);
            }
            sets.setReplicas(replicasNow, now);
            const auto loads = sets.plan(now);
            for (const auto& load : loads) {
                // A replica carries out one order at a time.
                const bool busy = isLoading(load.target);
                refused += busy ? 1 : 0;
                sets.ordered(load, !busy ? load_outcome::Accepted : reports ? load_outcome::Busy
                                                                            : load_outcome::NotNow,
                    now);
                if (!busy)
                    m_loading.push_back({ load, loadTime });
            }
            for (const auto& target : reports ? sets.checks(now) : std::vector<target_id>()) {
                const auto replica = std::find_if(replicasNow.begin(), replicasNow.end(), [&target](const auto& one) { return one.target == target; });
                sets.reported(target, isLoading(target), replica->versions, now);
            }
            mostLoading = std::max(mostLoading, m_loading.size());
            return loads.size();
        }
        bool isLoading(const target_id& target) const
        {
            return std::any_of(m_loading.begin(), m_loading.end(), [&target](const auto& one) { return one.load.target == target; });
        }
        // Members of the model's set that accept new work.
        std::size_t accepting(const model_id& model) const
        {
            std::size_t count = 0;
            for (const auto& replica : replicasNow) {
                const bool isLoading = std::any_of(m_loading.begin(), m_loading.end(), [&](const auto& one) { return one.load.target == replica.target && one.load.model == model; });
                if (sets.members(model).contains(replica.target) && !isLoading && replica.versions.at(model).value() + m_lag >= named.at(model).value())
                    ++count;
            }
            return count;
        }

        instant now { 1h };
        weight_sets sets;
        std::vector<weight_replica> replicasNow;
        std::map<model_id, weight_version> named { { modelA, weight_version(1) }, { modelB, weight_version(1) }, { modelC, weight_version(1) } };
        duration loadTime = 900ms; // of one load beside few others
        double freeAtOnce = 1000;
        bool reports = true; // replicas are asked for theirs
        std::set<target_id> stuck; // their loads never end
        std::size_t mostLoading = 0;
        std::size_t refused = 0; // orders

    private:
        std::uint64_t m_lag;
        struct open_load {
            weight_load load;
            duration left {};
        };
        std::vector<open_load> m_loading;
    };

} // namespace

BOOST_AUTO_TEST_SUITE(weight_sets_suite)

BOOST_AUTO_TEST_CASE(sets_are_spread_over_replicas_and_domains)
{
    fleet f(8, 0);
    f.step();
    std::map<target_id, int> uses;
    for (const auto& model : { modelA, modelB, modelC }) {
        BOOST_TEST(f.sets.members(model).size() >= 2u);
        BOOST_TEST(f.sets.members(model).size() <= 3u);
        std::set<failure_domain_id> domains;
        for (const auto& target : f.sets.members(model)) {
            ++uses[target];
            for (const auto& replica : f.replicasNow) {
                if (replica.target == target)
                    domains.insert(replica.failureDomain);
            }
        }
        BOOST_TEST(domains.size() >= 2u);
    }
    for (const auto& [target, count] : uses)
        BOOST_TEST(count == 1);
}

// The load pattern of three trainers that name a version each four seconds: all
// models keep a replica for new work, and loads stay within what is free.
BOOST_AUTO_TEST_CASE(no_model_starves_while_versions_come)
{
    fleet f(8, 1);
    std::size_t loads = 0;
    constexpr int seconds = 60;
    constexpr int stepsPerSecond = 10;
    std::size_t without = 0;
    for (int step = 0; step < seconds * stepsPerSecond; ++step) {
        if (step % 40 == 0)
            f.name(modelA);
        if (step % 40 == 7)
            f.name(modelB);
        if (step % 40 == 15)
            f.name(modelC);
        loads += f.step();
        for (const auto& model : { modelA, modelB, modelC })
            without += f.accepting(model) == 0 ? 1 : 0;
    }
    BOOST_TEST(without == 0u);
    // As many loads are free for each version as there are replicas for one trainer.
    constexpr double versions = 3 * seconds / 4.0;
    BOOST_TEST(static_cast<double>(loads) <= versions * 8 / 3);
    BOOST_TEST(f.mostLoading <= 2u);
}

// The same with more models than fit apart: replicas serve two each, and are asked for
// one load at a time.
BOOST_AUTO_TEST_CASE(a_replica_is_asked_for_one_load_at_a_time)
{
    fleet f(9, 2);
    for (int step = 0; step < 600; ++step) {
        if (step % 40 == 0)
            f.name(modelA);
        if (step % 40 == 3)
            f.name(modelB);
        if (step % 40 == 6)
            f.name(modelC);
        f.step();
    }
    BOOST_TEST(f.refused == 0u);
}

// The load pattern of a rolling restart: loads take longer than usual, and the duty
// changes hands while as many replicas load as may, of which its new holder knows
// nothing. Loads counted as done by their usual time pile up and slow each other for
// good.
BOOST_AUTO_TEST_CASE(loads_that_slow_each_other_do_not_pile_up)
{
    std::map<bool, std::size_t> refused;
    std::map<bool, std::size_t> most;
    for (const bool reports : { false, true }) {
        fleet f(38, 0);
        f.loadTime = 1300ms;
        f.freeAtOnce = 8;
        f.reports = reports;
        for (int step = 0; step < 600; ++step) {
            if (step % 40 == 0)
                f.name(modelA);
            if (step % 40 == 13)
                f.name(modelB);
            if (step % 40 == 26)
                f.name(modelC);
            if (step == 165 || step == 172 || step == 180)
                f.sets = weight_sets();
            f.step();
        }
        refused[reports] = f.refused;
        most[reports] = f.mostLoading;
        BOOST_TEST_MESSAGE("reports " << reports << ": orders refused " << f.refused << ", most at once " << f.mostLoading);
    }
    // Only a new holder orders at replicas that load already, until they say so.
    BOOST_TEST(refused[true] <= 3u * 8u);
    BOOST_TEST(most[true] <= 8u + 7u);
    BOOST_TEST(refused[false] > 4 * refused[true]);
    BOOST_TEST(most[false] > most[true]);
}

// Replicas whose load never ends: of as many as may load at a time, all.
BOOST_AUTO_TEST_CASE(replicas_that_stay_busy_hold_no_others_up)
{
    fleet f(8, 0);
    f.step();
    f.name(modelA);
    f.name(modelB);
    f.stuck = { target_id("t0"), target_id("t1"), target_id("t2"), target_id("t3") };
    constexpr int steps = 120; // two stuck loads at a time end to count after five seconds each
    for (int step = 0; step < steps; ++step)
        f.step();
    for (const auto& model : { modelA, modelB }) {
        for (const auto& target : f.sets.members(model)) {
            if (f.stuck.contains(target))
                continue;
            const auto replica = std::find_if(f.replicasNow.begin(), f.replicasNow.end(), [&target](const auto& one) { return one.target == target; });
            BOOST_TEST(replica->versions.at(model) == f.named.at(model));
        }
    }
}

BOOST_AUTO_TEST_CASE(a_replica_that_refused_one_load_is_not_asked_for_another_at_once)
{
    fleet f(1, 0);
    f.name(modelA);
    f.name(modelB);
    std::vector<weight_model> models { { modelA, weight_version(2), 1, 0 }, { modelB, weight_version(2), 1, 0 } };
    f.sets.setModels(models);
    f.sets.setReplicas(f.replicasNow, f.now);
    const auto first = f.sets.plan(f.now);
    BOOST_REQUIRE(first.size() == 1u);
    f.sets.ordered(first[0], load_outcome::NotNow, f.now); // it loads something that we don't know of
    BOOST_TEST(f.sets.plan(f.now + 100ms).empty());
    f.sets.setReplicas(f.replicasNow, f.now + 500ms);
    BOOST_TEST(f.sets.plan(f.now + 500ms).size() == 1u);
}

// A model whose steps are larger has more replicas, and no model's loads come to more
// than is free.
BOOST_AUTO_TEST_CASE(shares_follow_work_within_what_loads_allow)
{
    fleet f(12, 0);
    const auto sizesFor = [&f](double a, double b, double c) {
        f.sets.setModels({ { modelA, weight_version(1), a, 0 }, { modelB, weight_version(1), b, 0 }, { modelC, weight_version(1), c, 0 } });
        f.sets.setReplicas(f.replicasNow, f.now);
        return std::array { f.sets.members(modelA).size(), f.sets.members(modelB).size(), f.sets.members(modelC).size() };
    };
    BOOST_TEST((sizesFor(500, 500, 500) == std::array<std::size_t, 3> { 4, 4, 4 }));
    BOOST_TEST((sizesFor(400, 500, 600) == std::array<std::size_t, 3> { 3, 4, 5 }));
    BOOST_TEST((sizesFor(1, 1, 1000) == std::array<std::size_t, 3> { 3, 3, 6 })); // between 0.75 and 1.33
    BOOST_TEST((sizesFor(0, 500, 1000) == std::array<std::size_t, 3> { 4, 4, 4 })); // not known yet
}

BOOST_AUTO_TEST_CASE(a_replica_that_goes_is_replaced_and_others_stay)
{
    fleet f(8, 0);
    f.step();
    const auto before = f.sets.members(modelA);
    const auto gone = *before.begin();
    std::erase_if(f.replicasNow, [&gone](const weight_replica& one) { return one.target == gone; });
    f.step();
    const auto after = f.sets.members(modelA);
    BOOST_TEST(!after.contains(gone));
    for (const auto& target : before) {
        if (target != gone)
            BOOST_TEST(after.contains(target));
    }
}

// An order that was surely not carried out comes again soon, but not at once.
BOOST_AUTO_TEST_CASE(a_refused_order_is_repeated)
{
    fleet f(1, 0);
    f.sets.setModels({ { modelA, weight_version(2), 1, 0 } });
    f.sets.setReplicas(f.replicasNow, f.now);
    const auto loads = f.sets.plan(f.now);
    BOOST_REQUIRE(loads.size() == 1u);
    f.sets.ordered(loads[0], load_outcome::NotNow, f.now);
    const auto plannedAfter = [&f](duration time) {
        f.sets.setReplicas(f.replicasNow, f.now + time);
        return f.sets.plan(f.now + time).size();
    };
    BOOST_TEST(plannedAfter(100ms) == 0u);
    BOOST_TEST(plannedAfter(500ms) == 1u);
}

// One whose answer was lost may still be carried out: it comes again later.
BOOST_AUTO_TEST_CASE(an_unsure_order_is_repeated_later)
{
    fleet f(1, 0);
    f.sets.setModels({ { modelA, weight_version(2), 1, 0 } });
    f.sets.setReplicas(f.replicasNow, f.now);
    const auto loads = f.sets.plan(f.now);
    BOOST_REQUIRE(loads.size() == 1u);
    f.sets.ordered(loads[0], load_outcome::Unsure, f.now);
    f.sets.setReplicas(f.replicasNow, f.now + 1s);
    BOOST_TEST(f.sets.plan(f.now + 1s).empty());
    f.sets.setReplicas(f.replicasNow, f.now + 2s);
    BOOST_TEST(f.sets.plan(f.now + 2s).size() == 1u);
}

// Whatever comes and goes: members live, nobody is ordered twice at once, and the
// limits of loading hold.
BOOST_AUTO_TEST_CASE(members_live_and_loads_are_bounded)
{
    test::checkProperty("weight sets", [] {
        fleet f(*rc::gen::inRange<std::size_t>(1, 20), *rc::gen::inRange<std::uint64_t>(0, 3));
        const auto all = f.replicasNow;
        for (int step = 0; step < 200; ++step) {
            const auto roll = *rc::gen::inRange(0, 30);
            if (roll == 0)
                f.name(modelA);
            else if (roll == 1)
                f.name(modelB);
            else if (roll == 2 && f.replicasNow.size() > 1)
                f.replicasNow.erase(f.replicasNow.begin());
            else if (roll == 3 && f.replicasNow.size() < all.size())
                f.replicasNow = all;
            f.step();
            for (const auto& model : { modelA, modelB, modelC }) {
                RC_ASSERT(!f.sets.members(model).empty());
                for (const auto& target : f.sets.members(model))
                    RC_ASSERT(std::any_of(f.replicasNow.begin(), f.replicasNow.end(), [&](const weight_replica& one) { return one.target == target; }));
            }
        }
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
