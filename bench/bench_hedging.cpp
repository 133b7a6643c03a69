// Second attempts for slow requests at several limits on extra work. The benchmark replays a short
// trace; with LOVAGERAIL_TABLE=hedging it prints a Markdown table for longer ones.
//
// Targets finish the work of cancelled attempts, as plain services do. The times of the first
// attempts are the same in all rows of a load.
#include "bench.h"
#include "forwarding.h"
#include "queue_model.h"
#include "router_policy.h"
#include "serving_replay.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <optional>
#include <string>

namespace lovagerail::bench {

namespace {

    using namespace std::chrono_literals;

    constexpr std::uint64_t traceSeed = 20261204;
    constexpr std::uint32_t tableSeeds = 3; // traces whose results are merged into one row
    constexpr duration networkDelay = 500us; // one way
    constexpr duration tickPeriod = 20ms;
    constexpr std::size_t workers = 6; // per target
    constexpr std::uint32_t domains = 4;
    constexpr double serviceMs = 25;
    constexpr double tailShare = 0.02; // of attempts
    constexpr double tailFactor = 12;
    const service_id app { "app" };

    enum class trouble { HeavyTail, // each attempt may be slow, whatever its target
        SlowTarget, // one target takes six times as long
        AllSlow, // all targets take eight times as long in the second half
        Overload }; // five times the requests in the second half

    struct load_case {
        const char* name;
        trouble kind;
        std::size_t instances;
        std::size_t targets;
        double perSecond; // requests at all instances together
        duration span;
    };

    struct hedging_result {
        std::vector<duration> times; // sorted, from arrival to answer
        std::uint64_t requests = 0;
        std::uint64_t failed = 0;
        duration extra {};
        duration counted {};
        double busySeconds = 0;
    };

    class hedging_replay {
    public:
        hedging_replay(const load_case& load, std::optional<double> limit, std::uint64_t seed, fingerprint& decisions)
            : m_load(load)
            , m_seed(seed)
            , m_decisions(decisions)
        {
            for (std::size_t i = 0; i < load.targets; ++i)
                m_targets.push_back(std::make_unique<simulated_service>(m_events, workers));
            for (std::size_t i = 0; i < load.instances; ++i) {
                m_instances.push_back(std::make_unique<instance_state>(i));
                auto& one = *m_instances.back();
                one.targets.setClass(serviceClass(app), [](const target_record& record) { return record.listed.pool == pool_id(app.str()); });
                one.targets.applyList(rows(), instant {});
                one.machine.setExtraWork(limit);
            }
        }

        hedging_result run()
        {
            seeded_random random(m_seed);
            instant at {};
            for (std::uint64_t id = 1; at < instant {} + m_load.span; ++id) {
                const bool busier = m_load.kind == trouble::Overload && at >= instant {} + m_load.span / 2;
                const double uniform = static_cast<double>(1 + random.below(1'000'000)) / 1e6;
                at += std::chrono::duration_cast<duration>(std::chrono::duration<double>(-std::log(uniform) / (m_load.perSecond * (busier ? 5 : 1))));
                const auto instance = random.below(m_load.instances);
                m_events.schedule(at, [this, id, instance] { arrive(id, *m_instances[instance]); });
            }
            for (const auto& instance : m_instances)
                m_events.schedule(instant {} + tickPeriod, [this, one = instance.get()] { tick(*one); });
            m_events.run();
            for (const auto& instance : m_instances) {
                m_result.extra += instance->machine.counts().extraWork;
                m_result.counted += instance->machine.counts().countedWork;
            }
            for (const auto& target : m_targets)
                m_result.busySeconds += target->busySeconds();
            std::sort(m_result.times.begin(), m_result.times.end());
            return std::move(m_result);
        }

    private:
        struct instance_state {
            explicit instance_state(std::size_t index)
                : targets(settings(index))
                , machine({}, targets, marks)
            {
            }
            static router_settings settings(std::size_t index)
            {
                router_settings out;
                out.instance = "entry-" + std::to_string(index);
                out.subsetSize = 8;
                out.load.initialSpeed.serviceWorkers = workers;
                return out;
            }
            router targets;
            quarantine marks;
            request_forwarder machine;
            std::map<forward_id, std::pair<instant, std::uint32_t>> open; // arrival and number of attempts
        };

        std::vector<listed_target> rows() const
        {
            std::vector<listed_target> out;
            for (std::size_t i = 0; i < m_load.targets; ++i) {
                listed_target row;
                row.id = target_id("t" + std::to_string(i));
                row.pool = pool_id(app.str());
                row.kind = target_kind::Service;
                row.failureDomain = failure_domain_id("d" + std::to_string(i % domains));
                row.incarnation = incarnation(1);
                out.push_back(row);
            }
            return out;
        }

        void arrive(std::uint64_t id, instance_state& at)
        {
            ++m_result.requests;
            forward_request request;
            request.id = forward_id(id);
            request.callerId = request_id("q" + std::to_string(id));
            request.route.id = route_id("r");
            request.route.services = { { app, 1 } };
            request.route.kind = route_kind::Idempotent;
            request.route.timeout = 1500ms;
            request.route.latencyTarget = 150ms;
            request.route.maxAttempts = 4;
            request.fingerprint = request_fingerprint { id };
            at.open[request.id] = { m_events.now(), 0 };
            execute(at, at.machine.arrive(std::move(request), m_events.now()));
        }

        void tick(instance_state& at)
        {
            if (at.machine.open() > 0)
                execute(at, at.machine.tick(m_events.now()));
            if (m_events.now() < instant {} + m_load.span || at.machine.open() > 0)
                m_events.schedule(m_events.now() + tickPeriod, [this, &at] { tick(at); });
        }

        // Time of an attempt: drawn from the request's id and the number of the attempt.
        duration serviceTime(forward_id id, std::uint32_t attempt, std::size_t target) const
        {
            seeded_random random((m_seed + id.value()) * 1009 + attempt);
            random.next();
            double ms = serviceMs * (0.7 + 0.6 * static_cast<double>(random.below(1000)) / 1000);
            if (static_cast<double>(random.below(10'000)) < tailShare * 10'000)
                ms *= tailFactor;
            if (m_load.kind == trouble::SlowTarget && target == 0)
                ms *= 6;
            if (m_load.kind == trouble::AllSlow && m_events.now() >= instant {} + m_load.span / 2)
                ms *= 8;
            return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms));
        }

        void send(instance_state& at, const forward_send& action)
        {
            m_decisions.fold(action.choice.target.str());
            const auto target = static_cast<std::size_t>(std::stoul(action.choice.target.str().substr(1)));
            simulated_request request;
            request.serviceTime = serviceTime(action.id, at.open.at(action.id).second++, target);
            request.onFirstToken = [](token_count) {};
            request.onReset = [] {};
            request.onDone = [this, &at, attempt = action.attempt, target] {
                const auto load = m_targets[target]->load();
                m_events.schedule(m_events.now() + networkDelay, [this, &at, attempt, target, load] { answer(at, attempt, target, load); });
            };
            m_events.schedule(m_events.now() + networkDelay, [this, target, request = std::move(request)] { m_targets[target]->submit(request); });
        }

        void answer(instance_state& at, attempt_id attempt, std::size_t target, const target_load& load)
        {
            load_report report;
            report.target = target_id("t" + std::to_string(target));
            report.incarnation = incarnation(1);
            report.running = load.running;
            report.waiting = load.waiting;
            report.measuredAt = m_events.now();
            if (at.machine.isAttemptOpen(attempt))
                at.targets.applyReport(report, m_events.now());
            execute(at, at.machine.head(attempt, { 200, true, true, false }, m_events.now()));
            execute(at, at.machine.done(attempt, transfer_state::Complete, m_events.now()));
        }

        void execute(instance_state& at, const std::vector<forward_action>& actions)
        {
            for (const auto& action : actions) {
                if (const auto* dispatch = std::get_if<forward_send>(&action))
                    send(at, *dispatch);
                else if (const auto* delivery = std::get_if<forward_deliver>(&action))
                    m_result.times.push_back(m_events.now() - at.open.extract(delivery->id).mapped().first);
                else if (const auto* refusal = std::get_if<forward_refuse>(&action)) {
                    // Counted with the time until its error.
                    m_result.times.push_back(m_events.now() - at.open.extract(refusal->id).mapped().first);
                    ++m_result.failed;
                }
            }
        }

        const load_case& m_load;
        std::uint64_t m_seed;
        fingerprint& m_decisions;
        event_queue m_events;
        std::vector<std::unique_ptr<simulated_service>> m_targets;
        std::vector<std::unique_ptr<instance_state>> m_instances;
        hedging_result m_result;
    };

    void printTable()
    {
        const load_case cases[] = {
            { "heavy tail, 160/s", trouble::HeavyTail, 4, 8, 160, 600s },
            { "heavy tail, 12/s at 24 instances", trouble::HeavyTail, 24, 4, 12, 3600s },
            { "one slow target, 160/s", trouble::SlowTarget, 4, 8, 160, 600s },
            { "all slow in the second half, 120/s", trouble::AllSlow, 4, 8, 120, 600s },
            { "overload in the second half, 320/s", trouble::Overload, 4, 8, 320, 300s },
        };
        struct limit_row {
            const char* name;
            std::optional<double> limit;
        };
        const limit_row limits[] = { { "not set", std::nullopt }, { "off", 0.0 }, { "1%", 0.01 }, { "2%", 0.02 }, { "5%", 0.05 } };
        std::printf("| load | extra_work | p50 ms | p99 ms | p99.9 ms | extra work counted | work of the targets | failed |\n|---|---|--:|--:|--:|--:|--:|--:|\n");
        for (const auto& load : cases) {
            double usualSeconds = 0;
            hedging_result rows[std::size(limits)];
            for (std::size_t row = 0; row < std::size(limits); ++row) {
                for (std::uint32_t i = 0; i < tableSeeds; ++i) {
                    fingerprint unused;
                    auto one = hedging_replay(load, limits[row].limit, traceSeed + i, unused).run();
                    rows[row].times.insert(rows[row].times.end(), one.times.begin(), one.times.end());
                    rows[row].extra += one.extra;
                    rows[row].counted += one.counted;
                    rows[row].busySeconds += one.busySeconds;
                    rows[row].failed += one.failed;
                }
                std::sort(rows[row].times.begin(), rows[row].times.end());
                if (limits[row].limit == 0.0)
                    usualSeconds = rows[row].busySeconds;
            }
            for (std::size_t row = 0; row < std::size(limits); ++row) {
                const auto& result = rows[row];
                const auto ms = [&](double share) { return std::chrono::duration<double, std::milli>(percentile(result.times, share)).count(); };
                const double counted = result.counted > duration {} ? 100 * static_cast<double>(result.extra.count()) / static_cast<double>(result.counted.count()) : 0;
                std::printf("| %s | %s | %.1f | %.0f | %.0f | %.2f%% | %+.2f%% | %llu |\n", load.name, limits[row].name, ms(0.5), ms(0.99), ms(0.999), counted,
                    100 * (result.busySeconds / usualSeconds - 1), static_cast<unsigned long long>(result.failed));
            }
        }
    }

    std::uint64_t run(fingerprint& decisions)
    {
        const char* table = std::getenv("LOVAGERAIL_TABLE");
        if (table != nullptr && std::string(table) == "hedging")
            printTable();
        std::uint64_t count = 0;
        for (const auto kind : { trouble::HeavyTail, trouble::AllSlow }) {
            const load_case load { "short", kind, 4, 8, 160, 20s };
            count += hedging_replay(load, 0.02, traceSeed, decisions).run().requests;
        }
        return count;
    }

    const registration hedgingBenchmark("hedging", run);

} // namespace

} // namespace lovagerail::bench
