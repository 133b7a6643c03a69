// Tests of the assignment of replicas to models and of the scheduling of their weight loads.
#include "property.h"
#include "weight_sets.h"

#include <array>

namespace lovagerail {
namespace {

    using namespace std::chrono_literals;

    const model_id modelA { "a" };
    const model_id modelB { "b" };
    const model_id modelC { "c" };

    // Simulated replicas that complete each accepted order after the load time.
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
        void announceVersion(const model_id& model) { announced[model] = announced[model].next(); }
        // One step of 100 ms; returns the loads that were ordered in it.
        std::size_t step()
        {
            now += 100ms;
            std::vector<weight_model> models;
            for (const auto& [model, version] : announced)
                models.push_back({ model, version, 1, m_lag });
            sets.setModels(models);
            // Above this number, concurrent loads slow each other down.
            const auto slowdown = std::max(1.0, static_cast<double>(m_loading.size()) / maxLoadsAtFullSpeed);
            const auto done = std::chrono::duration_cast<duration>(100ms / slowdown);
            for (auto it = m_loading.begin(); it != m_loading.end();) {
                it->remaining -= stuck.contains(it->load.target) ? duration {} : done;
                if (it->remaining > 0ms) {
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
                // A replica executes one order at a time.
                const bool busy = isLoading(load.target);
                refusedOrders += busy ? 1 : 0;
                sets.onLoadResult(load, !busy ? load_outcome::Accepted : pollsReports ? load_outcome::Busy
                                                                                      : load_outcome::NotExecuted,
                    now);
                if (!busy)
                    m_loading.push_back({ load, loadTime });
            }
            for (const auto& target : pollsReports ? sets.replicasToPoll(now) : std::vector<target_id>()) {
                const auto replica = std::find_if(replicasNow.begin(), replicasNow.end(), [&target](const auto& one) { return one.target == target; });
                sets.onReplicaReport(target, isLoading(target), replica->versions, now);
            }
            maxLoading = std::max(maxLoading, m_loading.size());
            return loads.size();
        }
        bool isLoading(const target_id& target) const
        {
            return std::any_of(m_loading.begin(), m_loading.end(), [&target](const auto& one) { return one.load.target == target; });
        }
        // Number of members of the model's set that can take new requests.
        std::size_t accepting(const model_id& model) const
        {
            std::size_t count = 0;
            for (const auto& replica : replicasNow) {
                const bool isLoading = std::any_of(m_loading.begin(), m_loading.end(), [&](const auto& one) { return one.load.target == replica.target && one.load.model == model; });
                if (sets.members(model).contains(replica.target) && !isLoading && replica.versions.at(model).value() + m_lag >= announced.at(model).value())
                    ++count;
            }
            return count;
        }

        instant now { 1h };
        weight_sets sets;
        std::vector<weight_replica> replicasNow;
        std::map<model_id, weight_version> announced { { modelA, weight_version(1) }, { modelB, weight_version(1) }, { modelC, weight_version(1) } };
        duration loadTime = 900ms; // of one load, if few run concurrently
        double maxLoadsAtFullSpeed = 1000;
        bool pollsReports = true; // whether replicas are polled for reports
        std::set<target_id> stuck; // replicas whose loads never end
        std::size_t maxLoading = 0;
        std::size_t refusedOrders = 0; // refused orders

    private:
        std::uint64_t m_lag;
        struct open_load {
            weight_load load;
            duration remaining {};
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

// Three trainers each announce a version every four seconds. Every model must always keep a
// replica that accepts new requests, and the number of loads must stay within its bound.
BOOST_AUTO_TEST_CASE(no_model_starves_while_versions_come)
{
    fleet f(8, 1);
    std::size_t loads = 0;
    constexpr int seconds = 60;
    constexpr int stepsPerSecond = 10;
    std::size_t stepsWithoutReplica = 0;
    for (int step = 0; step < seconds * stepsPerSecond; ++step) {
        if (step % 40 == 0)
            f.announceVersion(modelA);
        if (step % 40 == 7)
            f.announceVersion(modelB);
        if (step % 40 == 15)
            f.announceVersion(modelC);
        loads += f.step();
        for (const auto& model : { modelA, modelB, modelC })
            stepsWithoutReplica += f.accepting(model) == 0 ? 1 : 0;
    }
    BOOST_TEST(stepsWithoutReplica == 0u);
    // Bound: one load per version for each replica of a trainer's equal share.
    constexpr double versions = 3 * seconds / 4.0;
    BOOST_TEST(static_cast<double>(loads) <= versions * 8 / 3);
    BOOST_TEST(f.maxLoading <= 2u);
}

// As above, but the sets are so large that they overlap: replicas serve two models each. Each
// replica must still be ordered only one load at a time.
BOOST_AUTO_TEST_CASE(a_replica_is_asked_for_one_load_at_a_time)
{
    fleet f(9, 2);
    for (int step = 0; step < 600; ++step) {
        if (step % 40 == 0)
            f.announceVersion(modelA);
        if (step % 40 == 3)
            f.announceVersion(modelB);
        if (step % 40 == 6)
            f.announceVersion(modelC);
        f.step();
    }
    BOOST_TEST(f.refusedOrders == 0u);
}

// Load pattern of a rolling restart: loads take longer than usual, and the holder of the duty
// changes while the maximum number of replicas load, of which the new holder does not know.
// If loads counted as done after their usual time, they would accumulate and slow each other
// down permanently.
BOOST_AUTO_TEST_CASE(loads_that_slow_each_other_do_not_pile_up)
{
    std::map<bool, std::size_t> refusedOrders;
    std::map<bool, std::size_t> maxLoadingByPolling;
    for (const bool pollsReports : { false, true }) {
        fleet f(38, 0);
        f.loadTime = 1300ms;
        f.maxLoadsAtFullSpeed = 8;
        f.pollsReports = pollsReports;
        for (int step = 0; step < 600; ++step) {
            if (step % 40 == 0)
                f.announceVersion(modelA);
            if (step % 40 == 13)
                f.announceVersion(modelB);
            if (step % 40 == 26)
                f.announceVersion(modelC);
            if (step == 165 || step == 172 || step == 180)
                f.sets = weight_sets();
            f.step();
        }
        refusedOrders[pollsReports] = f.refusedOrders;
        maxLoadingByPolling[pollsReports] = f.maxLoading;
        BOOST_TEST_MESSAGE("reports " << pollsReports << ": orders refused " << f.refusedOrders << ", maximum at once " << f.maxLoading);
    }
    // Only a new holder sends orders to replicas that are loading, until their reports arrive.
    BOOST_TEST(refusedOrders[true] <= 3u * 8u);
    BOOST_TEST(maxLoadingByPolling[true] <= 8u + 7u);
    BOOST_TEST(refusedOrders[false] > 4 * refusedOrders[true]);
    BOOST_TEST(maxLoadingByPolling[false] > maxLoadingByPolling[true]);
}

// Loads that never end, on as many replicas as may load at a time, must not block the others.
BOOST_AUTO_TEST_CASE(stuck_replicas_do_not_block_others)
{
    fleet f(8, 0);
    f.step();
    f.announceVersion(modelA);
    f.announceVersion(modelB);
    f.stuck = { target_id("t0"), target_id("t1"), target_id("t2"), target_id("t3") };
    constexpr int steps = 120; // two stuck loads at a time stop being counted after five seconds each
    for (int step = 0; step < steps; ++step)
        f.step();
    for (const auto& model : { modelA, modelB }) {
        for (const auto& target : f.sets.members(model)) {
            if (f.stuck.contains(target))
                continue;
            const auto replica = std::find_if(f.replicasNow.begin(), f.replicasNow.end(), [&target](const auto& one) { return one.target == target; });
            BOOST_TEST(replica->versions.at(model) == f.announced.at(model));
        }
    }
}

BOOST_AUTO_TEST_CASE(a_replica_that_refused_one_load_is_not_asked_for_another_at_once)
{
    fleet f(1, 0);
    f.announceVersion(modelA);
    f.announceVersion(modelB);
    std::vector<weight_model> models { { modelA, weight_version(2), 1, 0 }, { modelB, weight_version(2), 1, 0 } };
    f.sets.setModels(models);
    f.sets.setReplicas(f.replicasNow, f.now);
    const auto first = f.sets.plan(f.now);
    BOOST_REQUIRE(first.size() == 1u);
    f.sets.onLoadResult(first[0], load_outcome::NotExecuted, f.now); // it is executing a load that was ordered by someone else
    BOOST_TEST(f.sets.plan(f.now + 100ms).empty());
    f.sets.setReplicas(f.replicasNow, f.now + 500ms);
    BOOST_TEST(f.sets.plan(f.now + 500ms).size() == 1u);
}

// A model with more work per batch gets more replicas, within the bounds that keep the number
// of loads per version low enough.
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
    BOOST_TEST((sizesFor(0, 500, 1000) == std::array<std::size_t, 3> { 4, 4, 4 })); // the work of one model is unknown
}

BOOST_AUTO_TEST_CASE(a_replica_that_goes_is_replaced_and_others_stay)
{
    fleet f(8, 0);
    f.step();
    const auto before = f.sets.members(modelA);
    const auto removed = *before.begin();
    std::erase_if(f.replicasNow, [&removed](const weight_replica& one) { return one.target == removed; });
    f.step();
    const auto after = f.sets.members(modelA);
    BOOST_TEST(!after.contains(removed));
    for (const auto& target : before) {
        if (target != removed)
            BOOST_TEST(after.contains(target));
    }
}

// Guards against plans for replicas that are gone: the process ended when the last one left.
BOOST_AUTO_TEST_CASE(sets_are_empty_while_all_replicas_are_gone)
{
    fleet f(4, 0);
    f.step();
    f.announceVersion(modelA);
    const auto all = std::exchange(f.replicasNow, {});
    BOOST_TEST(f.step() == 0u);
    for (const auto& model : { modelA, modelB, modelC })
        BOOST_TEST(f.sets.members(model).empty());
    f.replicasNow = all;
    BOOST_TEST(f.step() > 0u);
    BOOST_TEST(!f.sets.members(modelA).empty());
}

// An order that was certainly not executed is repeated soon, but not immediately.
BOOST_AUTO_TEST_CASE(a_refused_order_is_repeated)
{
    fleet f(1, 0);
    f.sets.setModels({ { modelA, weight_version(2), 1, 0 } });
    f.sets.setReplicas(f.replicasNow, f.now);
    const auto loads = f.sets.plan(f.now);
    BOOST_REQUIRE(loads.size() == 1u);
    f.sets.onLoadResult(loads[0], load_outcome::NotExecuted, f.now);
    const auto plannedAfter = [&f](duration time) {
        f.sets.setReplicas(f.replicasNow, f.now + time);
        return f.sets.plan(f.now + time).size();
    };
    BOOST_TEST(plannedAfter(100ms) == 0u);
    BOOST_TEST(plannedAfter(500ms) == 1u);
}

// An order whose answer was lost may still be executed, so it is repeated later.
BOOST_AUTO_TEST_CASE(an_order_with_a_lost_answer_is_repeated_later)
{
    fleet f(1, 0);
    f.sets.setModels({ { modelA, weight_version(2), 1, 0 } });
    f.sets.setReplicas(f.replicasNow, f.now);
    const auto loads = f.sets.plan(f.now);
    BOOST_REQUIRE(loads.size() == 1u);
    f.sets.onLoadResult(loads[0], load_outcome::AnswerLost, f.now);
    f.sets.setReplicas(f.replicasNow, f.now + 1s);
    BOOST_TEST(f.sets.plan(f.now + 1s).empty());
    f.sets.setReplicas(f.replicasNow, f.now + 2s);
    BOOST_TEST(f.sets.plan(f.now + 2s).size() == 1u);
}

// While replicas and versions come and go, every model has a set, and its members are live.
BOOST_AUTO_TEST_CASE(members_are_live_while_replicas_come_and_go)
{
    test::checkProperty("weight sets", [] {
        fleet f(*rc::gen::inRange<std::size_t>(1, 20), *rc::gen::inRange<std::uint64_t>(0, 3));
        const auto all = f.replicasNow;
        for (int step = 0; step < 200; ++step) {
            const auto roll = *rc::gen::inRange(0, 30);
            if (roll == 0)
                f.announceVersion(modelA);
            else if (roll == 1)
                f.announceVersion(modelB);
            else if (roll == 2 && !f.replicasNow.empty())
                f.replicasNow.erase(f.replicasNow.begin());
            else if (roll == 4)
                f.replicasNow.clear();
            else if (roll == 3 && f.replicasNow.size() < all.size())
                f.replicasNow = all;
            f.step();
            for (const auto& model : { modelA, modelB, modelC }) {
                RC_ASSERT(f.sets.members(model).empty() == f.replicasNow.empty());
                for (const auto& target : f.sets.members(model))
                    RC_ASSERT(std::any_of(f.replicasNow.begin(), f.replicasNow.end(), [&](const weight_replica& one) { return one.target == target; }));
            }
        }
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
