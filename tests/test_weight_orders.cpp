// Property tests of weight load scheduling (weight_sets) under random faults: replicas
// restart, load slowly or concurrently; answers to orders are lost and the orders executed
// late; reports and lists are outdated; a new holder of the duty starts without the state of
// the previous one. After the faults end, each model must be served by its set, and no more
// replicas may load at a time than the limit allows.
#include "property.h"
#include "router_policy.h"
#include "weight_sets.h"

#include <deque>

namespace lovagerail {
namespace {

    using namespace std::chrono_literals;

    constexpr duration stepTime = 100ms;
    constexpr std::size_t reportAge = 3; // in steps; reports are some hundred ms old
    constexpr int listInterval = 12; // steps between updates of a replica's entry in the list
    constexpr std::size_t maxLoadsAtFullSpeed = 8; // loads above this number slow each other down
    constexpr duration loadTime = 900ms;
    constexpr std::array<const char*, 3> modelNames { "a", "b", "c" };

    struct report {
        bool busy = false;
        std::map<model_id, weight_version> versions;
    };

    struct replica {
        weight_replica now; // true state
        weight_replica listed; // its entry in the list
        std::optional<weight_load> loading;
        duration remaining {};
        std::uint64_t ordersExecuted = 0; // orders executed since its start
        std::deque<report> reports; // oldest first
        int nextCheckIn = 0; // step
    };

    struct late_order {
        int step = 0; // when it is executed
        weight_load load;
        std::uint64_t expected = 0;
        incarnation incarnationNumber;
    };

    class load_simulation {
    public:
        load_simulation(std::uint64_t seed, std::size_t count, std::uint64_t lag)
            : m_random(seed)
            , m_lag(lag)
        {
            for (std::size_t i = 0; i < count; ++i) {
                replica one;
                one.now.target = target_id("t" + std::to_string(i));
                one.now.incarnationNumber = incarnation(1);
                one.now.failureDomain = failure_domain_id("d" + std::to_string(i % 3));
                for (const auto* model : modelNames)
                    one.now.versions[model_id(model)] = weight_version(1);
                one.listed = one.now;
                one.nextCheckIn = static_cast<int>(i) % listInterval;
                m_replicas.push_back(one);
            }
            for (const auto* model : modelNames)
                m_announced[model_id(model)] = weight_version(1);
        }

        // `faults`: number of failures per thousand calls in each step; restarts of replicas and
        // changes of the holder are rarer.
        void run(int steps, std::uint64_t faults, int versionInterval)
        {
            for (const int end = m_step + steps; m_step < end; ++m_step) {
                m_now += stepTime;
                if (versionInterval > 0 && m_step % versionInterval == 0)
                    announceVersion(model_id(modelNames[static_cast<std::size_t>(m_step / versionInterval) % modelNames.size()]));
                if (m_random.below(5000) < faults)
                    m_sets = weight_sets(); // another holder of the duty
                progress();
                executeLateOrders();
                for (auto& one : m_replicas)
                    stepReplica(one, faults);
                plan(faults);
                answerPolls(faults);
                m_maxLoading = std::max(m_maxLoading, loading());
            }
        }
        void resetMaxLoading() { m_maxLoading = 0; }
        std::size_t maxLoading() const { return m_maxLoading; }
        std::size_t ordersSent() const { return m_ordersSent; }
        void checkServed() const
        {
            for (const auto& [model, announced] : m_announced) {
                RC_ASSERT(!m_sets.members(model).empty());
                for (const auto& one : m_replicas)
                    RC_ASSERT(!m_sets.members(model).contains(one.now.target) || one.now.versions.at(model).value() + m_lag >= announced.value());
            }
        }

    private:
        void announceVersion(const model_id& model) { m_announced[model] = m_announced[model].next(); }
        std::size_t loading() const
        {
            return static_cast<std::size_t>(std::count_if(m_replicas.begin(), m_replicas.end(), [](const replica& one) { return one.loading.has_value(); }));
        }
        replica& at(const target_id& target)
        {
            return *std::find_if(m_replicas.begin(), m_replicas.end(), [&target](const replica& one) { return one.now.target == target; });
        }
        void progress()
        {
            const auto slowdown = std::max(1.0, static_cast<double>(loading()) / maxLoadsAtFullSpeed);
            for (auto& one : m_replicas) {
                one.remaining -= std::chrono::duration_cast<duration>(stepTime / slowdown);
                if (!one.loading || one.remaining > 0ms)
                    continue;
                one.now.versions[one.loading->model] = one.loading->version;
                one.loading.reset();
            }
        }
        void stepReplica(replica& one, std::uint64_t faults)
        {
            if (m_random.below(20000) < faults) { // restart; it keeps its weights
                one.now.incarnationNumber = one.now.incarnationNumber.next();
                one.loading.reset();
                one.ordersExecuted = 0;
            }
            if (m_step >= one.nextCheckIn && m_random.below(1000) >= faults) {
                one.listed = one.now;
                one.nextCheckIn = m_step + listInterval;
            }
            one.reports.push_back({ one.loading.has_value(), one.now.versions });
            if (one.reports.size() > reportAge)
                one.reports.pop_front();
        }
        bool execute(const weight_load& load, std::uint64_t expected, incarnation incarnationNumber)
        {
            auto& one = at(load.target);
            if (one.loading || one.ordersExecuted != expected || one.now.incarnationNumber != incarnationNumber)
                return false;
            ++one.ordersExecuted;
            one.loading = load;
            one.remaining = loadTime + std::chrono::milliseconds(m_random.below(600));
            return true;
        }
        void executeLateOrders()
        {
            for (const auto& one : m_lateOrders) {
                if (one.step <= m_step)
                    execute(one.load, one.expected, one.incarnationNumber);
            }
            std::erase_if(m_lateOrders, [this](const late_order& one) { return one.step <= m_step; });
        }
        void plan(std::uint64_t faults)
        {
            std::vector<weight_model> models;
            for (const auto& [model, version] : m_announced)
                models.push_back({ model, version, 1, m_lag });
            std::vector<weight_replica> listed;
            for (const auto& one : m_replicas)
                listed.push_back(one.listed);
            m_sets.setModels(models);
            m_sets.setReplicas(listed, m_now);
            for (const auto& load : m_sets.plan(m_now)) {
                ++m_ordersSent;
                auto& one = at(load.target);
                const auto roll = m_random.below(1000);
                if (roll >= faults) {
                    const bool accepted = execute(load, one.ordersExecuted, one.now.incarnationNumber);
                    m_sets.onLoadResult(load, accepted ? load_outcome::Accepted : load_outcome::Busy, m_now);
                } else if (roll * 2 < faults) {
                    m_sets.onLoadResult(load, load_outcome::NotExecuted, m_now);
                } else { // the answer is lost, and the order may be executed up to three seconds late
                    m_lateOrders.push_back({ m_step + static_cast<int>(m_random.below(30)), load, one.ordersExecuted, one.now.incarnationNumber });
                    m_sets.onLoadResult(load, load_outcome::AnswerLost, m_now);
                }
            }
        }
        void answerPolls(std::uint64_t faults)
        {
            for (const auto& target : m_sets.replicasToPoll(m_now)) {
                const auto& seen = at(target).reports.front();
                if (m_random.below(1000) >= faults)
                    m_sets.onReplicaReport(target, seen.busy, seen.versions, m_now);
            }
        }

        seeded_random m_random;
        std::uint64_t m_lag;
        instant m_now { 1h };
        int m_step = 0;
        weight_sets m_sets;
        std::vector<replica> m_replicas;
        std::map<model_id, weight_version> m_announced;
        std::vector<late_order> m_lateOrders;
        std::size_t m_maxLoading = 0;
        std::size_t m_ordersSent = 0;
    };

} // namespace

BOOST_AUTO_TEST_SUITE(weight_orders_suite)

BOOST_AUTO_TEST_CASE(each_model_is_served_once_faults_end)
{
    std::size_t ordersSent = 0;
    test::checkProperty("weights are served", [&ordersSent] {
        load_simulation world(*rc::gen::arbitrary<std::uint64_t>(), *rc::gen::inRange<std::size_t>(1, 40), *rc::gen::inRange<std::uint64_t>(0, 3));
        world.run(*rc::gen::inRange(50, 400), *rc::gen::element<std::uint64_t>(0, 20, 100, 300), *rc::gen::element(13, 20, 40));
        // No more versions are announced: the remaining loads finish within a minute, even one at a time.
        world.run(600, 0, 0);
        world.checkServed();
        ordersSent += world.ordersSent();
    });
    BOOST_TEST(ordersSent > 1000u);
}

// Faults can leave more replicas loading than the limit allows. The excess must disappear
// even while versions are announced as fast as loads can follow.
BOOST_AUTO_TEST_CASE(loads_at_once_are_bounded_again_once_faults_end)
{
    test::checkProperty("loads at once", [] {
        const auto count = *rc::gen::inRange<std::size_t>(6, 40);
        load_simulation world(*rc::gen::arbitrary<std::uint64_t>(), count, 1);
        world.run(300, *rc::gen::element<std::uint64_t>(0, 100, 300), 13);
        world.run(200, 0, 13);
        world.resetMaxLoading();
        world.run(300, 0, 13);
        const weight_set_settings settings;
        const auto loadingLimit = std::max(settings.minLoadingLimit, static_cast<std::size_t>(static_cast<double>(count) * settings.maxLoadingShareOfAll));
        RC_ASSERT(world.maxLoading() <= loadingLimit);
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
