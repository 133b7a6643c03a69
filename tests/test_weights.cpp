// Tests of weight rollouts against simulated engines that fail swaps, lose answers, restart
// and refuse orders. All replicas must end on the wanted version, a replica is done only
// by its own report, and only a share of the replicas may swap at a time.
#include "property.h"
#include "weights.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>

namespace lovagerail::test {

namespace {

    using namespace std::chrono_literals;

    constexpr duration tickTime = std::chrono::milliseconds(100);
    constexpr duration swapTime = std::chrono::milliseconds(400);

    // A simulated engine: the version it really serves, and the orders it received.
    struct simulated_engine {
        weight_version version { 1 };
        incarnation incarnationNumber { 1 };
        std::map<std::string, weight_version> running;
        std::map<std::string, instant> ends;
        std::map<std::string, bool> failed;
        std::set<std::string> done;
        std::uint64_t swaps = 0;
    };

    struct fault_rates {
        double failSwapRate = 0;
        double loseAnswerRate = 0;
        double restartRate = 0;
    };

    class rollout_simulation {
    public:
        rollout_simulation(std::size_t engines, std::uint64_t seed, fault_rates rates)
            : m_rollout(makeSettings())
            , m_rates(rates)
            , m_random(seed)
        {
            for (std::size_t i = 0; i < engines; ++i)
                m_engines[target_id("e" + std::to_string(1000 + i))] = {};
        }

        static rollout_settings makeSettings()
        {
            rollout_settings out;
            out.model = model_id("m");
            out.fencing = fencing_number(7);
            return out;
        }

        void setWantedVersion(std::uint64_t version) { m_rollout.setWanted(weight_version(version), "http://store"); }
        version_rollout& rollout() { return m_rollout; }
        std::map<target_id, simulated_engine>& engines() { return m_engines; }
        void stopFaults() { m_rates = {}; }
        std::size_t maxConcurrentSwaps() const { return m_maxConcurrentSwaps; }
        std::size_t maxConcurrentStoreLoads() const { return m_maxConcurrentStoreLoads; }
        instant now() const { return m_now; }

        // One time step: engines, reports, decisions.
        void step()
        {
            m_now += tickTime;
            for (auto& [id, engine] : m_engines)
                advance(engine);
            report();
            for (const auto& action : m_rollout.tick(m_now)) {
                if (const auto* order = std::get_if<swap_order>(&action))
                    receiveOrder(*order);
                else
                    answer(std::get<query_swap_order>(action).target, std::get<query_swap_order>(action).orderId);
            }
            countSwaps();
        }

    private:
        bool occurs(double rate) { return std::uniform_real_distribution<double>(0, 1)(m_random) < rate; }

        void advance(simulated_engine& engine)
        {
            if (occurs(m_rates.restartRate)) {
                engine.incarnationNumber = engine.incarnationNumber.next();
                engine.running.clear();
                engine.ends.clear();
                engine.version = weight_version(1);
            }
            for (auto& [id, version] : std::map(engine.running)) {
                if (m_now < engine.ends[id])
                    continue;
                engine.running.erase(id);
                if (engine.failed[id])
                    continue;
                engine.version = version;
                engine.done.insert(id);
            }
        }

        void report()
        {
            std::vector<replica_report> reports;
            for (const auto& [id, engine] : m_engines)
                reports.push_back({ id, "http://" + id.str(), engine.incarnationNumber, engine.version });
            m_rollout.setReplicas(reports, m_now);
        }

        void receiveOrder(const swap_order& order)
        {
            auto& engine = m_engines.at(order.target);
            const bool known = engine.running.contains(order.orderId) || engine.done.contains(order.orderId) || engine.failed.contains(order.orderId);
            if (!known) {
                // A replica used as a source must really have the version.
                if (order.source != "http://store")
                    BOOST_REQUIRE(m_engines.at(target_id(order.source.substr(7))).version == order.version);
                engine.running[order.orderId] = order.version;
                engine.ends[order.orderId] = m_now + swapTime;
                engine.failed[order.orderId] = occurs(m_rates.failSwapRate);
                m_sources[order.orderId] = order.source;
                ++engine.swaps;
            }
            answer(order.target, order.orderId);
        }

        void answer(const target_id& target, const std::string& orderId)
        {
            if (occurs(m_rates.loseAnswerRate)) {
                m_rollout.onOrder(target, orderId, order_answer::Lost, m_now);
                return;
            }
            const auto& engine = m_engines.at(target);
            if (engine.running.contains(orderId))
                m_rollout.onOrder(target, orderId, order_answer::Running, m_now);
            else if (engine.done.contains(orderId))
                m_rollout.onOrder(target, orderId, order_answer::Done, m_now);
            else if (engine.failed.contains(orderId) && engine.failed.at(orderId))
                m_rollout.onOrder(target, orderId, order_answer::Failed, m_now);
            else
                m_rollout.onOrder(target, orderId, order_answer::Unknown, m_now);
        }

        void countSwaps()
        {
            std::size_t swapping = 0;
            std::size_t storeLoads = 0;
            for (const auto& [id, engine] : m_engines) {
                swapping += !engine.running.empty();
                for (const auto& [order, version] : engine.running)
                    storeLoads += m_sources[order] == "http://store";
            }
            m_maxConcurrentSwaps = std::max(m_maxConcurrentSwaps, swapping);
            m_maxConcurrentStoreLoads = std::max(m_maxConcurrentStoreLoads, storeLoads);
        }

        version_rollout m_rollout;
        fault_rates m_rates;
        std::mt19937_64 m_random;
        std::map<target_id, simulated_engine> m_engines;
        std::map<std::string, std::string> m_sources;
        instant m_now = instant(1h);
        std::size_t m_maxConcurrentSwaps = 0;
        std::size_t m_maxConcurrentStoreLoads = 0;
    };

    bool allServe(rollout_simulation& simulation, std::uint64_t version)
    {
        return std::all_of(simulation.engines().begin(), simulation.engines().end(), [version](const auto& entry) { return entry.second.version == weight_version(version); });
    }

} // namespace

BOOST_AUTO_TEST_SUITE(weights_suite)

BOOST_AUTO_TEST_CASE(all_replicas_reach_the_wanted_version_a_share_at_a_time)
{
    rollout_simulation simulation(30, 1, {});
    simulation.setWantedVersion(2);
    int steps = 0;
    while (!simulation.rollout().complete() && steps < 200) {
        simulation.step();
        ++steps;
    }
    BOOST_TEST(allServe(simulation, 2));
    BOOST_TEST(simulation.maxConcurrentSwaps() <= 10u); // a third of 30
    BOOST_TEST(simulation.maxConcurrentStoreLoads() <= 2u);
    for (const auto& [id, engine] : simulation.engines())
        BOOST_TEST(engine.swaps == 1u);
}

BOOST_AUTO_TEST_CASE(a_replica_is_done_only_by_its_own_report)
{
    version_rollout rollout(rollout_simulation::makeSettings());
    rollout.setWanted(weight_version(2), "http://store");
    const instant now = instant(1h);
    rollout.setReplicas({ { target_id("a"), "http://a", incarnation(1), weight_version(1) } }, now);
    const auto actions = rollout.tick(now);
    BOOST_REQUIRE(actions.size() == 1);
    const auto order = std::get<swap_order>(actions[0]);
    rollout.onOrder(order.target, order.orderId, order_answer::Done, now);
    BOOST_TEST(!rollout.complete());
    // The report never shows the version: the order is repeated under a new id.
    std::set<std::string> ids { order.orderId };
    for (int i = 1; i < 100; ++i) {
        for (const auto& action : rollout.tick(now + i * tickTime)) {
            if (const auto* again = std::get_if<swap_order>(&action))
                ids.insert(again->orderId);
        }
    }
    BOOST_TEST(ids.size() >= 2u);
    rollout.setReplicas({ { target_id("a"), "http://a", incarnation(1), weight_version(2) } }, now + 11s);
    BOOST_TEST(rollout.complete());
}

BOOST_AUTO_TEST_CASE(rolling_back_is_another_wanted_version)
{
    rollout_simulation simulation(6, 3, {});
    simulation.setWantedVersion(5);
    for (int i = 0; i < 60; ++i)
        simulation.step();
    BOOST_TEST(allServe(simulation, 5));
    simulation.setWantedVersion(4);
    for (int i = 0; i < 60; ++i)
        simulation.step();
    BOOST_TEST(allServe(simulation, 4));
}

BOOST_AUTO_TEST_CASE(a_refusal_for_an_old_fencing_number_ends_all_orders)
{
    version_rollout rollout(rollout_simulation::makeSettings());
    rollout.setWanted(weight_version(2), "http://store");
    const instant now = instant(1h);
    rollout.setReplicas({ { target_id("a"), "http://a", incarnation(1), weight_version(1) }, { target_id("b"), "http://b", incarnation(1), weight_version(1) } }, now);
    const auto actions = rollout.tick(now);
    BOOST_REQUIRE(!actions.empty());
    const auto order = std::get<swap_order>(actions[0]);
    rollout.onOrder(order.target, order.orderId, order_answer::Refused, now);
    BOOST_TEST(rollout.deposed());
    for (int i = 1; i < 200; ++i)
        BOOST_TEST(rollout.tick(now + i * tickTime).empty());
}

BOOST_AUTO_TEST_CASE(histories_of_faults_end_on_the_wanted_version)
{
    checkProperty("weights reach all replicas once faults stop", [](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        const auto rate = [&random](double maxRate) { return std::uniform_real_distribution<double>(0, maxRate)(random); };
        rollout_simulation simulation(1 + random() % 12, seed, { rate(0.6), rate(0.6), rate(0.02) });
        const auto limit = std::max<std::size_t>(1, simulation.engines().size() * 34 / 100);
        std::uint64_t wanted = 1;
        for (int change = 0; change < 3; ++change) {
            wanted = 1 + random() % 5;
            simulation.setWantedVersion(wanted);
            for (std::uint64_t i = 0; i < random() % 80; ++i)
                simulation.step();
        }
        simulation.stopFaults();
        // Swaps to earlier wanted versions may still run beside those to the new one.
        RC_ASSERT(simulation.maxConcurrentSwaps() <= 3 * limit + 2);
        for (int i = 0; i < 1500 && !(simulation.rollout().complete() && allServe(simulation, wanted)); ++i)
            simulation.step();
        RC_ASSERT(allServe(simulation, wanted));
        RC_ASSERT(simulation.rollout().complete());
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail::test
