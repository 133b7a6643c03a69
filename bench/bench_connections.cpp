// Counts new connections to targets for steps of four owners of batches over 36 engines, their
// judge calls and the requests of 55 instances over 7 plain targets. The benchmark replays
// 20 s; with LOVAGERAIL_TABLE=connections it prints a Markdown table,
// each row the sums of 5 replays of 120 s.
#include "bench.h"
#include "queue_model.h"
#include "router.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>

namespace lovagerail::bench {

namespace {

    using namespace std::chrono_literals;

    constexpr std::uint32_t engineCount = 36;
    constexpr std::uint32_t serviceCount = 7;
    constexpr std::uint32_t instanceCount = 55;
    constexpr std::uint32_t ownerCount = 4; // the first instances
    constexpr std::uint32_t domainCount = 6;
    constexpr std::uint32_t domainsPerRegion = 2;
    constexpr std::uint32_t slotsPerTarget = 6;
    constexpr duration stepPeriod = 4s;
    constexpr duration callerPeriod = duration(1s) / 12; // between requests of callers, all together
    constexpr duration judgeWork = 80ms;
    constexpr duration callerWork = 21ms;
    constexpr duration keptFor = 10s;
    constexpr duration connectWork = 1ms; // of a slot at the target
    constexpr duration retryDelay = 20ms;
    constexpr duration prefillTime = 1ms; // of 100 tokens
    constexpr duration avoidAfterRefusal = 100ms;

    constexpr std::uint64_t firstSeed = 20261204;

    enum class traffic { Item,
        Judge,
        Caller,
        Count };

    struct connection_result {
        std::array<std::uint64_t, static_cast<std::size_t>(traffic::Count)> opened {};
        std::array<std::vector<duration>, static_cast<std::size_t>(traffic::Count)> times;
        std::uint64_t reused = 0;
        std::array<std::uint64_t, static_cast<std::size_t>(traffic::Count)> refused {};
        std::uint64_t decisions = 0;
        std::array<double, engineCount> busy {}; // seconds
    };

    class connection_replay {
    public:
        connection_replay(duration connectionCost, duration length, std::uint64_t seed, fingerprint& decisions);
        connection_result run();

    private:
        struct simulated_target {
            std::uint32_t running = 0;
            std::uint32_t domain = 0;
        };
        struct instance_state {
            instance_state(router_settings settings)
                : targets(std::move(settings))
            {
            }
            router targets;
            std::uint32_t domain = 0;
            std::map<std::uint32_t, std::vector<instant>> idleUntil; // by target
            std::map<std::uint32_t, instant> refusedUntil; // by target
            std::deque<std::pair<std::uint64_t, instant>> waiting; // tokens of items, and their submission
            bool retryScheduled = false;
        };
        struct attempt {
            std::uint32_t instance = 0;
            traffic kind = traffic::Item;
            duration work {};
            std::uint64_t tokens = 0;
            instant since;
            std::uint32_t target = 0;
            attempt_id number;
            bool isNew = false;
        };

        void submitStep(std::uint32_t owner);
        void submitCall();
        void sendItems(std::uint32_t owner);
        void sendCall(const attempt& wanted, std::vector<target_id> tried);
        bool send(attempt one, const route_request& request);
        void arrive(const attempt& one);
        void end(const attempt& one, bool ran);
        duration delay(const attempt& one) const;

        fingerprint& m_decisions;
        duration m_length;
        seeded_random m_random;
        event_queue m_events;
        std::vector<simulated_target> m_targets;
        std::vector<instance_state> m_instances;
        std::uint64_t m_lastAttempt = 0;
        connection_result m_result;
    };

    connection_replay::connection_replay(duration connectionCost, duration length, std::uint64_t seed, fingerprint& decisions)
        : m_decisions(decisions)
        , m_length(length)
        , m_random(seed)
    {
        for (std::uint32_t i = 0; i < engineCount + serviceCount; ++i)
            m_targets.push_back({ 0, i % domainCount });
        for (std::uint32_t i = 0; i < instanceCount; ++i) {
            // The settings of an entry instance (edge/entry.cpp).
            router_settings settings;
            settings.instance = "edge-" + std::to_string(i);
            settings.failureDomain = failure_domain_id("d" + std::to_string(i % domainCount));
            settings.subsetSize = 8;
            settings.connectionCost = connectionCost;
            settings.load.initialSpeed.prefillTokensPerSecond = 100'000;
            settings.load.initialSpeed.secondsPerToken = 0.001;
            settings.load.initialSpeed.batchLimit = 8;
            settings.load.initialSpeed.serviceWorkers = slotsPerTarget;
            auto& made = m_instances.emplace_back(settings);
            made.domain = i % domainCount;
            for (const auto kind : { target_kind::Engine, target_kind::Service })
                made.targets.setClass(routing_class_id(kind == target_kind::Engine ? "engines" : "services"), [kind](const target_record& record) { return record.listed.kind == kind; });
            for (std::uint32_t t = 0; t < m_targets.size(); ++t) {
                listed_target row;
                row.id = target_id("t" + std::to_string(t));
                row.kind = t < engineCount ? target_kind::Engine : target_kind::Service;
                row.pool = pool_id(t < engineCount ? "engines" : "services");
                row.failureDomain = failure_domain_id("d" + std::to_string(m_targets[t].domain));
                row.labels["slots"] = std::to_string(slotsPerTarget);
                made.targets.applyRow(row, instant {});
            }
        }
    }

    connection_result connection_replay::run()
    {
        constexpr duration slowStart = 60s; // all targets are healthy by then
        for (std::uint32_t owner = 0; owner < ownerCount; ++owner) {
            for (duration at = slowStart + owner * 900ms; at < slowStart + m_length; at += stepPeriod)
                m_events.schedule(instant(at), [this, owner] { submitStep(owner); });
        }
        for (duration at = slowStart; at < slowStart + m_length; at += callerPeriod)
            m_events.schedule(instant(at), [this] { submitCall(); });
        for (duration at = slowStart; at < slowStart + m_length; at += 1s) {
            m_events.schedule(instant(at), [this] {
                for (auto& one : m_instances)
                    one.targets.tick(m_events.now());
            });
        }
        m_events.run();
        return m_result;
    }

    void connection_replay::submitStep(std::uint32_t owner)
    {
        constexpr std::uint64_t minItems = 64;
        constexpr std::uint64_t itemsRange = 57;
        constexpr std::uint64_t minTokens = 200;
        constexpr std::uint64_t tokensRange = 1000;
        const auto items = minItems + m_random.below(itemsRange);
        for (std::uint64_t i = 0; i < items; ++i)
            m_instances[owner].waiting.emplace_back(minTokens + m_random.below(tokensRange), m_events.now());
        sendItems(owner);
    }

    void connection_replay::submitCall()
    {
        attempt one;
        one.instance = static_cast<std::uint32_t>(m_random.below(instanceCount));
        one.kind = traffic::Caller;
        one.work = callerWork;
        one.since = m_events.now();
        sendCall(one, {});
    }

    // As the batch runner does it: engines with all slots taken, and those that have just
    // refused, are excluded.
    void connection_replay::sendItems(std::uint32_t owner)
    {
        auto& from = m_instances[owner];
        const auto now = m_events.now();
        while (!from.waiting.empty()) {
            route_request request;
            request.routingClass = routing_class_id("engines");
            request.promptTokens = token_count(100);
            request.expectedTokens = token_count(700);
            request.idempotent = request.resumable = request.returnable = true;
            for (std::uint32_t t = 0; t < engineCount; ++t) {
                const auto load = from.targets.load().view(target_slot(t), now);
                const auto refused = from.refusedUntil.find(t);
                if (load.ownRequests + load.otherRequests >= slotsPerTarget || (refused != from.refusedUntil.end() && now < refused->second))
                    request.excluded.push_back(target_id("t" + std::to_string(t)));
            }
            attempt one;
            one.instance = owner;
            one.tokens = from.waiting.front().first;
            one.since = from.waiting.front().second;
            if (!send(one, request)) {
                if (!std::exchange(from.retryScheduled, true)) {
                    m_events.schedule(now + retryDelay, [this, owner] {
                        m_instances[owner].retryScheduled = false;
                        sendItems(owner);
                    });
                }
                return;
            }
            from.waiting.pop_front();
        }
    }

    void connection_replay::sendCall(const attempt& wanted, std::vector<target_id> tried)
    {
        route_request request;
        request.routingClass = routing_class_id("services");
        request.idempotent = request.returnable = true;
        request.excluded = std::move(tried);
        if (!send(wanted, request))
            m_events.schedule(m_events.now() + retryDelay, [this, wanted] { sendCall(wanted, {}); });
    }

    bool connection_replay::send(attempt one, const route_request& request)
    {
        auto& from = m_instances[one.instance];
        const auto now = m_events.now();
        auto seeded = request;
        seeded.seed = m_random.next();
        const auto decision = from.targets.choose(seeded, now);
        ++m_result.decisions;
        const auto* choice = std::get_if<route_choice>(&decision);
        if (choice == nullptr)
            return false;
        m_decisions.fold(choice->slot.value());
        one.target = choice->slot.value();
        one.number = attempt_id(++m_lastAttempt);
        from.targets.started(one.number, *choice, request, now);
        auto& idle = from.idleUntil[one.target];
        std::erase_if(idle, [now](instant until) { return now >= until; });
        one.isNew = idle.empty();
        if (one.isNew)
            ++m_result.opened[static_cast<std::size_t>(one.kind)];
        else {
            idle.erase(idle.begin());
            ++m_result.reused;
        }
        const auto connected = now + (one.isNew ? 2 * delay(one) : duration {});
        m_events.schedule(connected, [this, one] {
            auto& connections = m_instances[one.instance].targets.connections();
            if (one.isNew)
                connections.opened(one.number.value(), target_slot(one.target), false, m_events.now());
            else
                connections.reused(one.number.value(), target_slot(one.target), m_events.now());
            m_events.schedule(m_events.now() + delay(one), [this, one] { arrive(one); });
        });
        return true;
    }

    void connection_replay::arrive(const attempt& one)
    {
        constexpr double secondsPerToken = 0.001;
        constexpr double slowdownPerStream = 0.02;
        auto& target = m_targets[one.target];
        if (target.running >= slotsPerTarget) {
            ++m_result.refused[static_cast<std::size_t>(one.kind)];
            m_events.schedule(m_events.now() + delay(one), [this, one] { end(one, false); });
            return;
        }
        ++target.running;
        m_events.schedule(m_events.now() + prefillTime + delay(one), [this, one] { m_instances[one.instance].targets.firstToken(one.number, m_events.now()); });
        const double decode = secondsPerToken * (1 + slowdownPerStream * target.running) * static_cast<double>(one.tokens);
        const auto work = (one.isNew ? connectWork : duration {}) + one.work + std::chrono::duration_cast<duration>(std::chrono::duration<double>(decode));
        if (one.kind == traffic::Item)
            m_result.busy[one.target] += std::chrono::duration<double>(work).count();
        m_events.schedule(m_events.now() + work, [this, one] {
            --m_targets[one.target].running;
            m_events.schedule(m_events.now() + delay(one), [this, one] { end(one, true); });
        });
    }

    void connection_replay::end(const attempt& one, bool ran)
    {
        auto& from = m_instances[one.instance];
        const auto now = m_events.now();
        from.idleUntil[one.target].push_back(now + keptFor);
        from.targets.connections().ended(one.number.value(), { connection_end::kind::Kept, keptFor }, now);
        load_report report;
        report.target = target_id("t" + std::to_string(one.target));
        report.running = m_targets[one.target].running;
        report.model = model_id("m");
        report.measuredAt = now - delay(one);
        from.targets.applyReport(report, now);
        from.targets.ended(one.number, { ran ? attempt_outcome::Success : attempt_outcome::Refused, token_count(one.tokens), std::nullopt }, now);
        if (ran)
            m_result.times[static_cast<std::size_t>(one.kind)].push_back(now - one.since);
        if (one.kind == traffic::Item && !ran) {
            from.refusedUntil[one.target] = now + avoidAfterRefusal;
            from.waiting.emplace_front(one.tokens, one.since);
        } else if (one.kind == traffic::Item) {
            attempt judge;
            judge.instance = one.instance;
            judge.kind = traffic::Judge;
            judge.work = judgeWork;
            judge.since = now;
            sendCall(judge, {});
        } else if (!ran)
            sendCall(one, { target_id("t" + std::to_string(one.target)) });
        if (one.kind == traffic::Item)
            sendItems(one.instance);
    }

    duration connection_replay::delay(const attempt& one) const
    {
        const auto there = m_targets[one.target].domain;
        const bool isNear = m_instances[one.instance].domain / domainsPerRegion == there / domainsPerRegion;
        return isNear ? duration(900us) : duration(8ms);
    }

    connection_result merged(duration connectionCost, duration length)
    {
        constexpr std::uint64_t tableSeeds = 5;
        fingerprint unused;
        connection_result out;
        for (std::uint64_t seed = firstSeed; seed < firstSeed + tableSeeds; ++seed) {
            const auto one = connection_replay(connectionCost, length, seed, unused).run();
            for (std::size_t i = 0; i < out.opened.size(); ++i) {
                out.opened[i] += one.opened[i];
                out.refused[i] += one.refused[i];
                out.times[i].insert(out.times[i].end(), one.times[i].begin(), one.times[i].end());
            }
            out.reused += one.reused;
            for (std::size_t i = 0; i < out.busy.size(); ++i)
                out.busy[i] += one.busy[i];
        }
        return out;
    }

    void printRow(duration cost, connection_result result)
    {
        const auto of = [&result](traffic kind) { return static_cast<unsigned long long>(result.opened[static_cast<std::size_t>(kind)]); };
        const auto refusedOf = [&result](traffic kind) { return static_cast<unsigned long long>(result.refused[static_cast<std::size_t>(kind)]); };
        const auto timeOf = [&result](traffic kind, double share) {
            auto& times = result.times[static_cast<std::size_t>(kind)];
            std::sort(times.begin(), times.end());
            return times.empty() ? 0.0 : std::chrono::duration<double, std::milli>(times[static_cast<std::size_t>(share * static_cast<double>(times.size() - 1))]).count();
        };
        double sum = 0;
        for (const double busy : result.busy)
            sum += busy;
        const double spread = *std::max_element(result.busy.begin(), result.busy.end()) * engineCount / std::max(sum, 1e-9);
        std::printf("| %.0f ms | %llu | %llu | %llu | %llu | %llu | %llu | %.0f | %.0f | %.0f | %.0f | %.0f | %.2f |\n", std::chrono::duration<double, std::milli>(cost).count(),
            of(traffic::Item), of(traffic::Judge), of(traffic::Caller), static_cast<unsigned long long>(result.reused), refusedOf(traffic::Item), refusedOf(traffic::Judge) + refusedOf(traffic::Caller),
            timeOf(traffic::Item, 0.5), timeOf(traffic::Item, 0.99), timeOf(traffic::Judge, 0.5), timeOf(traffic::Judge, 0.99), timeOf(traffic::Caller, 0.99), spread);
    }

    std::uint64_t run(fingerprint& decisions)
    {
        const char* table = std::getenv("LOVAGERAIL_TABLE");
        if (table != nullptr && std::string_view(table) == "connections") {
            std::printf("\n| connection cost | new for items | for judge calls | for callers | reused | items refused as full | calls refused | item median ms | p99 | judge median | p99 | caller p99 | engine spread |\n"
                        "|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|\n");
            for (const duration cost : { duration(0ms), duration(1ms), duration(4ms), duration(17ms) })
                printRow(cost, merged(cost, 120s));
        }
        std::uint64_t count = 0;
        for (const duration cost : { duration(0ms), duration(4ms) })
            count += connection_replay(cost, 20s, firstSeed, decisions).run().decisions;
        return count;
    }

    const registration connectionsBenchmark("connections", run);

} // namespace

} // namespace lovagerail::bench
