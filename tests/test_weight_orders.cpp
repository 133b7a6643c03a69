// Histories of loads of weights: replicas that restart, load slowly or side by side,
// orders whose answer is lost and that are carried out late, reports and lists that are
// old, holders of the duty that know nothing of the one before. Once all that ends, each
// model is served by its set, and no more replicas load at once than may.
#include "property.h"
#include "router_policy.h"
#include "weight_sets.h"

#include <deque>

namespace lovagerail {
namespace {

    using namespace std::chrono_literals;

    constexpr duration stepTime = 100ms;
    constexpr std::size_t reportAge = 3; // steps; a report's values are some hundred ms old
    constexpr int listEvery = 12; // steps between check-ins of a replica
    constexpr std::size_t freeAtOnce = 8; // loads that don't slow each other
    constexpr duration loadTime = 900ms;
    constexpr std::array<const char*, 3> modelNames { "a", "b", "c" };

    struct report {
        bool busy = false;
        std::map<model_id, weight_version> versions;
    };

    struct replica {
        weight_replica now; // as it is
        weight_replica listed; // as its entry says
        std::optional<weight_load> loading;
        duration left {};
        std::uint64_t taken = 0; // orders since its start
        std::deque<report> reports; // the newest last
        int nextCheckIn = 0; // step
    };

    struct late_order {
        int step = 0; // when it is carried out
        weight_load load;
        std::uint64_t expected = 0;
        incarnation life;
    };

    class order_world {
    public:
        order_world(std::uint64_t seed, std::size_t count, std::uint64_t lag)
            : m_random(seed)
            , m_lag(lag)
        {
            for (std::size_t i = 0; i < count; ++i) {
                replica one;
                one.now.target = target_id("t" + std::to_string(i));
                one.now.life = incarnation(1);
                one.now.failureDomain = failure_domain_id("d" + std::to_string(i % 3));
                for (const auto* model : modelNames)
                    one.now.versions[model_id(model)] = weight_version(1);
                one.listed = one.now;
                one.nextCheckIn = static_cast<int>(i) % listEvery;
                m_replicas.push_back(one);
            }
            for (const auto* model : modelNames)
                m_named[model_id(model)] = weight_version(1);
        }

        // `faults` of a thousand replicas and calls a step go wrong.
        void run(int steps, std::uint64_t faults, int versionEvery)
        {
            for (const int end = m_step + steps; m_step < end; ++m_step) {
                m_now += stepTime;
                if (versionEvery > 0 && m_step % versionEvery == 0)
                    name(model_id(modelNames[static_cast<std::size_t>(m_step / versionEvery) % modelNames.size()]));
                if (m_random.below(5000) < faults)
                    m_sets = weight_sets(); // another holder of the duty
                progress();
                carryOutLate();
                for (auto& one : m_replicas)
                    turn(one, faults);
                plan(faults);
                answerChecks(faults);
                m_mostLoading = std::max(m_mostLoading, loading());
            }
        }
        void forgetMost() { m_mostLoading = 0; }
        std::size_t mostLoading() const { return m_mostLoading; }
        std::size_t ordered() const { return m_ordered; }
        void checkServed() const
        {
            for (const auto& [model, named] : m_named) {
                RC_ASSERT(!m_sets.members(model).empty());
                for (const auto& one : m_replicas)
                    RC_ASSERT(!m_sets.members(model).contains(one.now.target) || one.now.versions.at(model).value() + m_lag >= named.value());
            }
        }

    private:
        void name(const model_id& model) { m_named[model] = m_named[model].next(); }
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
            const auto slowdown = std::max(1.0, static_cast<double>(loading()) / freeAtOnce);
            for (auto& one : m_replicas) {
                one.left -= std::chrono::duration_cast<duration>(stepTime / slowdown);
                if (!one.loading || one.left > 0ms)
                    continue;
                one.now.versions[one.loading->model] = one.loading->version;
                one.loading.reset();
            }
        }
        void turn(replica& one, std::uint64_t faults)
        {
            if (m_random.below(20000) < faults) { // it starts anew, with the weights it had
                one.now.life = one.now.life.next();
                one.loading.reset();
                one.taken = 0;
            }
            if (m_step >= one.nextCheckIn && m_random.below(1000) >= faults) {
                one.listed = one.now;
                one.nextCheckIn = m_step + listEvery;
            }
            one.reports.push_back({ one.loading.has_value(), one.now.versions });
            if (one.reports.size() > reportAge)
                one.reports.pop_front();
        }
        bool carryOut(const weight_load& load, std::uint64_t expected, incarnation life)
        {
            auto& one = at(load.target);
            if (one.loading || one.taken != expected || one.now.life != life)
                return false;
            ++one.taken;
            one.loading = load;
            one.left = loadTime + std::chrono::milliseconds(m_random.below(600));
            return true;
        }
        void carryOutLate()
        {
            for (const auto& one : m_late) {
                if (one.step <= m_step)
                    carryOut(one.load, one.expected, one.life);
            }
            std::erase_if(m_late, [this](const late_order& one) { return one.step <= m_step; });
        }
        void plan(std::uint64_t faults)
        {
            std::vector<weight_model> models;
            for (const auto& [model, version] : m_named)
                models.push_back({ model, version, 1, m_lag });
            std::vector<weight_replica> listed;
            for (const auto& one : m_replicas)
                listed.push_back(one.listed);
            m_sets.setModels(models);
            m_sets.setReplicas(listed, m_now);
            for (const auto& load : m_sets.plan(m_now)) {
                ++m_ordered;
                auto& one = at(load.target);
                const auto fate = m_random.below(1000);
                if (fate >= faults) {
                    const bool accepted = carryOut(load, one.taken, one.now.life);
                    m_sets.ordered(load, accepted ? load_outcome::Accepted : load_outcome::Busy, m_now);
                } else if (fate * 2 < faults) {
                    m_sets.ordered(load, load_outcome::NotNow, m_now);
                } else { // its answer is lost, and it may be carried out up to three seconds late
                    m_late.push_back({ m_step + static_cast<int>(m_random.below(30)), load, one.taken, one.now.life });
                    m_sets.ordered(load, load_outcome::Unsure, m_now);
                }
            }
        }
        void answerChecks(std::uint64_t faults)
        {
            for (const auto& target : m_sets.checks(m_now)) {
                const auto& seen = at(target).reports.front();
                if (m_random.below(1000) >= faults)
                    m_sets.reported(target, seen.busy, seen.versions, m_now);
            }
        }

        seeded_random m_random;
        std::uint64_t m_lag;
        instant m_now { 1h };
        int m_step = 0;
        weight_sets m_sets;
        std::vector<replica> m_replicas;
        std::map<model_id, weight_version> m_named;
        std::vector<late_order> m_late;
        std::size_t m_mostLoading = 0;
        std::size_t m_ordered = 0;
    };

} // namespace

BOOST_AUTO_TEST_SUITE(weight_orders_suite)

BOOST_AUTO_TEST_CASE(each_model_is_served_once_faults_end)
{
    std::size_t ordered = 0;
    test::checkProperty("weights are served", [&ordered] {
        order_world world(*rc::gen::arbitrary<std::uint64_t>(), *rc::gen::inRange<std::size_t>(1, 40), *rc::gen::inRange<std::uint64_t>(0, 3));
        world.run(*rc::gen::inRange(50, 400), *rc::gen::element<std::uint64_t>(0, 20, 100, 300), *rc::gen::element(13, 20, 40));
        // Nothing is named any more: every load that is left is done within a minute, one at a time at worst.
        world.run(600, 0, 0);
        world.checkServed();
        ordered += world.ordered();
    });
    BOOST_TEST(ordered > 1000u);
}

// Versions that come as fast as loads can follow, after faults that left more replicas
// loading than may: it doesn't stay so.
BOOST_AUTO_TEST_CASE(loads_at_once_are_bounded_again_once_faults_end)
{
    test::checkProperty("loads at once", [] {
        const auto count = *rc::gen::inRange<std::size_t>(6, 40);
        order_world world(*rc::gen::arbitrary<std::uint64_t>(), count, 1);
        world.run(300, *rc::gen::element<std::uint64_t>(0, 100, 300), 13);
        world.run(200, 0, 13);
        world.forgetMost();
        world.run(300, 0, 13);
        const weight_set_settings settings;
        const auto most = std::max(settings.leastLoading, static_cast<std::size_t>(static_cast<double>(count) * settings.loadingOfAll));
        RC_ASSERT(world.mostLoading() <= most);
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
