// Replays a fixed hour of attempts on four instances through usage counting, the copies kept for
// other instances and the closing of windows, and hashes every sealed record and report.
#include "bench.h"
#include "usage_window.h"

#include <memory>

namespace lovagerail::bench {
namespace {

    constexpr std::size_t instances = 4;
    constexpr std::uint64_t windows = 12;
    constexpr std::uint64_t attemptsPerWindow = 5'000;

    struct node {
        explicit node(std::size_t index)
            : counter({ instance_id("i" + std::to_string(index)), incarnation(1) }, {})
            , copies({})
        {
        }
        usage_counter counter;
        usage_copies copies;
    };

    // A key-value service and a usage sink that never fail and answer the closer at once.
    class immediate_platform {
    public:
        immediate_platform(std::vector<std::unique_ptr<node>>& nodes, fingerprint& decisions)
            : m_nodes(nodes)
            , m_decisions(decisions)
        {
        }

        std::uint64_t run(usage_closer& closer, wall_time now, const std::vector<instance_id>& live)
        {
            std::uint64_t calls = 0;
            while (true) {
                const auto actions = closer.tick(now, live);
                if (actions.empty())
                    return calls;
                for (const closer_action& action : actions) {
                    ++calls;
                    std::visit([&](const auto& call) { execute(closer, call, now); }, action);
                }
            }
        }

    private:
        void execute(usage_closer& closer, const pull_usage& pull, wall_time now)
        {
            for (auto& instance : m_nodes) {
                if (instance->counter.origin().instance != pull.instance)
                    continue;
                instance->counter.closeSegment(now);
                closer.onPull(pull, answerPull(pull, instance->counter, instance->copies, now));
            }
        }
        void execute(usage_closer& closer, const read_prefix& read, wall_time /*now*/)
        {
            std::vector<key_value_pair> entries;
            for (auto it = m_store.lower_bound(read.prefix); it != m_store.end() && it->first.starts_with(read.prefix); ++it)
                entries.push_back({ it->first, read.keysOnly ? "" : it->second });
            closer.onRead(read.prefix, entries);
        }
        void execute(usage_closer& closer, const commit_entries& commit, wall_time /*now*/)
        {
            for (const key_value_pair& entry : commit.puts) {
                m_store[entry.key] = entry.value;
                m_decisions.fold(entry.key);
                m_decisions.fold(entry.value);
            }
            closer.onCommit(commit, commit_outcome::Done);
        }
        void execute(usage_closer& /*closer*/, const remove_range& range, wall_time /*now*/)
        {
            m_store.erase(m_store.lower_bound(range.from), m_store.lower_bound(range.to));
        }
        void execute(usage_closer& closer, const report_usage& report, wall_time /*now*/)
        {
            m_decisions.fold(report.digest);
            closer.onReport(report, report_outcome::Accepted);
        }

        std::vector<std::unique_ptr<node>>& m_nodes;
        fingerprint& m_decisions;
        std::map<std::string, std::string> m_store;
    };

    attempt_usage makeAttempt(std::uint64_t number)
    {
        const std::uint64_t hash = number * 0x9e3779b97f4a7c15u >> 32u;
        attempt_usage event;
        event.request = request_id("r" + std::to_string(number));
        event.account = client_account_id("a" + std::to_string(hash % 40));
        event.model = model_id("m" + std::to_string(hash % 2));
        event.version = weight_version(number / attemptsPerWindow);
        event.pool = pool_id("p");
        event.target = target_id("t" + std::to_string(hash % 10));
        event.heading = hash % 50 == 0 ? usage_heading::Retried : usage_heading::Ended;
        event.counted.prefilled = token_count(hash % 900);
        event.counted.generated = token_count(hash % 300);
        event.counted.targetTime = std::chrono::milliseconds(hash % 4000);
        return event;
    }

    std::uint64_t run(fingerprint& decisions)
    {
        std::vector<std::unique_ptr<node>> nodes;
        std::vector<instance_id> live;
        for (std::size_t i = 0; i < instances; ++i) {
            nodes.push_back(std::make_unique<node>(i));
            live.push_back(nodes.back()->counter.origin().instance);
        }
        usage_closer closer(fencing_number(1), {});
        immediate_platform service(nodes, decisions);
        const usage_settings settings;
        wall_time now { std::chrono::hours(1000) };
        std::uint64_t decisionCount = service.run(closer, now, live);
        const auto attemptInterval = settings.windowLength / static_cast<std::int64_t>(attemptsPerWindow);
        for (std::uint64_t number = 0; number < windows * attemptsPerWindow; ++number) {
            now += attemptInterval;
            nodes[number % instances]->counter.count(makeAttempt(number), now);
            ++decisionCount;
            if (number % 100 == 0) {
                for (auto& instance : nodes)
                    instance->counter.closeSegment(now);
                decisionCount += service.run(closer, now, live);
            }
        }
        return decisionCount;
    }

    // Counting alone on one instance, with a flush every 40 events.
    std::uint64_t runCounting(fingerprint& decisions)
    {
        constexpr std::uint64_t events = 200'000;
        constexpr std::uint64_t eventsPerFlush = 40;
        node instance(0);
        wall_time now { std::chrono::hours(1000) };
        for (std::uint64_t number = 0; number < events; ++number) {
            now += std::chrono::milliseconds(50);
            instance.counter.count(makeAttempt(number), now);
            if (number % eventsPerFlush != 0)
                continue;
            instance.counter.closeSegment(now);
            instance.counter.dropBelow(instance.counter.log().next()); // as after sealing
        }
        decisions.fold(instance.counter.log().next().value());
        return events;
    }

    const registration countingBenchmark("usage_count", runCounting);
    const registration usageBenchmark("usage", run);

} // namespace
} // namespace lovagerail::bench
