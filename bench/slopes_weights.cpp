// Duration of a weight rollout to 8, 80, 800 and 8,000 replicas whose swaps take 0.5, 1 or 2 s,
// and its cost for the instance that leads it.
#include "slopes.h"
#include "weights.h"

namespace lovagerail::bench {

namespace {

    using namespace std::chrono_literals;

    constexpr duration tickInterval = 50ms; // the tick interval of the daemon
    constexpr duration pollInterval = 200ms;
    constexpr duration maxRolloutTime = 120s;

    struct engine_state {
        std::string order;
        std::optional<instant> swappedAt; // when the current order is complete
    };

    // Replicas that accept every order at once and complete it after a fixed swap time. The rollout
    // sees their versions as of the last poll.
    class simulated_replicas {
    public:
        simulated_replicas(std::uint32_t replicas, duration swap)
            : m_swap(swap)
            , m_rollout(settingsOf())
        {
            for (std::uint32_t i = 0; i < replicas; ++i) {
                const auto number = std::to_string(i);
                m_reports.push_back({ target_id("engine-" + number), "http://10.0.0.1:" + number, incarnation(1), weight_version(1) });
                m_engines[m_reports.back().target] = {};
            }
        }

        bool run()
        {
            m_rollout.setWanted(weight_version(2), "http://store");
            auto nextPoll = m_now;
            while (m_now < instant {} + maxRolloutTime) {
                if (m_now >= nextPoll) {
                    nextPoll += pollInterval;
                    poll();
                }
                const auto begin = threadNanoseconds();
                m_rollout.setReplicas(m_reports, m_now);
                const auto actions = m_rollout.tick(m_now);
                m_nanoseconds += threadNanoseconds() - begin;
                if (m_rollout.complete())
                    return true;
                for (const auto& action : actions)
                    std::visit([this](const auto& typed) { execute(typed); }, action);
                m_now += tickInterval;
            }
            return false;
        }

        duration elapsed() const { return m_now - instant {}; }
        std::uint64_t nanoseconds() const { return m_nanoseconds; }
        std::uint64_t messages() const { return m_messages; }

    private:
        static rollout_settings settingsOf()
        {
            rollout_settings settings;
            settings.model = model_id("m");
            settings.fencing = fencing_number(1);
            return settings;
        }
        void poll()
        {
            m_messages += m_reports.size();
            for (auto& report : m_reports) {
                const auto& engine = m_engines[report.target];
                if (engine.swappedAt && m_now >= *engine.swappedAt)
                    report.version = weight_version(2);
            }
        }
        void execute(const swap_order& order)
        {
            ++m_messages;
            m_engines[order.target] = { order.orderId, m_now + m_swap };
            m_rollout.onOrder(order.target, order.orderId, order_answer::Running, m_now);
        }
        void execute(const query_swap_order& query)
        {
            ++m_messages;
            const auto& engine = m_engines[query.target];
            const bool done = engine.swappedAt && m_now >= *engine.swappedAt;
            m_rollout.onOrder(query.target, query.orderId, done ? order_answer::Done : order_answer::Running, m_now);
        }

        duration m_swap;
        version_rollout m_rollout;
        std::vector<replica_report> m_reports;
        std::map<target_id, engine_state> m_engines;
        instant m_now {};
        std::uint64_t m_nanoseconds = 0;
        std::uint64_t m_messages = 0;
    };

    void measureRollout(std::uint32_t replicas, duration swap)
    {
        simulated_replicas simulation(replicas, swap);
        const bool isComplete = simulation.run();
        const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(simulation.elapsed()).count();
        const auto ticks = static_cast<double>(simulation.elapsed() / tickInterval + 1);
        print({ "weights", "one tick, swap of " + std::to_string(swap / 1ms) + " ms", replicas, 0, static_cast<double>(simulation.nanoseconds()) / ticks,
            std::string(isComplete ? "done in " : "not done in ") + std::to_string(milliseconds) + " ms, " + std::to_string(simulation.messages()) + " messages, "
                + std::to_string(simulation.nanoseconds() / 1'000'000) + " ms of processor" });
    }

} // namespace

void printWeightSlopes()
{
    for (const duration swap : { duration(500ms), duration(1s), duration(2s) }) {
        for (const std::uint32_t replicas : { 8u, 80u, 800u, 8000u })
            measureRollout(replicas, swap);
    }
}

} // namespace lovagerail::bench
