// The replay: arrivals, attempts with retries, load reports, cache events, target lists
// that lag behind, and the loss of a failure domain; see serving_replay.h.
#include "serving_replay.h"

#include "queue_model.h"

#include <algorithm>
#include <memory>
#include <optional>

namespace lovagerail::bench {

namespace {

    using namespace std::chrono_literals;

    constexpr duration localDelay = 200us; // one way
    constexpr duration domainDelay = 1500us; // one way, between failure domains
    constexpr duration reportInterval = 1s;
    constexpr duration listInterval = 5s;
    constexpr duration listLag = 10s;
    constexpr duration eventDelay = 200ms;
    constexpr duration connectTimeout = 1s;
    constexpr duration retryDelay = 100ms;
    constexpr std::uint32_t maxAttempts = 5;
    constexpr std::uint32_t lostDomain = 2;

    const routing_class_id engineClass("models");
    const routing_class_id serviceClass("calls");

    struct simulated_target {
        listed_target row;
        std::uint32_t domain = 0;
        bool up = true;
        std::unique_ptr<simulated_engine> engine;
        std::unique_ptr<simulated_service> service;
    };

    // A request in progress, kept until its last attempt ends.
    struct request_state {
        const arrival* item = nullptr;
        std::uint32_t instance = 0;
        std::uint32_t attempts = 0;
        bool answered = false; // the first token was received
        std::vector<target_id> failedTargets;
    };
    using request_pointer = std::shared_ptr<request_state>;

    class replayer {
    public:
        replayer(const replay_plan& plan, const std::vector<arrival>& trace, fingerprint& decisions);
        replay_result run();

    private:
        void addTargets(std::uint32_t count, bool isEngine);
        void addRouters();
        void scheduleReports(std::uint32_t number);
        void scheduleMachine(std::uint32_t number);
        void setSlowdown(std::uint32_t number, double slowdown);
        void scheduleLists();
        void scheduleDomainLoss();
        void setDomain(bool up);
        std::vector<listed_target> targetListAt(instant when) const;
        void deliverCacheEvent(std::uint32_t number, const cache_event& event);
        load_report measure(std::uint32_t number) const;
        void report(std::uint32_t number);
        void reportInAnswer(std::uint32_t instance, const load_report& report);
        bool isDomainLost(instant when) const;
        duration delay(std::uint32_t instance, std::uint32_t domain) const;

        void arrive(const arrival& item);
        void dispatch(const request_pointer& request);
        void retry(const request_pointer& request, duration delayBeforeRetry);
        route_request routeRequest(const request_state& request);
        void attempt(const request_pointer& request, attempt_id number, std::uint32_t target);
        void onFirstToken(const request_pointer& request, attempt_id number, token_count cached);
        void onDone(const request_pointer& request, attempt_id number, token_count cached);
        void onFailure(const request_pointer& request, attempt_id number, std::uint32_t target, attempt_outcome outcome);
        void finish();

        const replay_plan& m_plan;
        const std::vector<arrival>& m_trace;
        fingerprint& m_decisions;
        event_queue m_events;
        seeded_random m_random;
        std::vector<std::string> m_domains;
        std::vector<simulated_target> m_targets;
        std::vector<router> m_routers;
        std::uint64_t m_lastAttempt = 0;
        replay_result m_result;
    };

    replayer::replayer(const replay_plan& plan, const std::vector<arrival>& trace, fingerprint& decisions)
        : m_plan(plan)
        , m_trace(trace)
        , m_decisions(decisions)
        , m_random(plan.trace.seed + 77)
        , m_domains(failureDomains(plan.trace.site))
    {
    }

    replay_result replayer::run()
    {
        addTargets(engineCount(m_plan.trace.site), true);
        addTargets(serviceCount(m_plan.trace.site), false);
        addRouters();
        for (std::uint32_t number = 0; number < m_targets.size(); ++number) {
            if (!m_plan.reportsInAnswers)
                scheduleReports(number);
            if (m_plan.machines != machine_load::Constant)
                scheduleMachine(number);
        }
        scheduleLists();
        scheduleDomainLoss();
        for (const arrival& item : m_trace)
            m_events.schedule(item.at, [this, &item] { arrive(item); });
        m_events.run();
        finish();
        return std::move(m_result);
    }

    void replayer::addTargets(std::uint32_t count, bool isEngine)
    {
        for (std::uint32_t i = 0; i < count; ++i) {
            const auto number = static_cast<std::uint32_t>(m_targets.size());
            simulated_target target;
            target.domain = i % static_cast<std::uint32_t>(m_domains.size());
            target.row.id = target_id((isEngine ? "model-" : "app-") + std::to_string(i));
            target.row.pool = pool_id(isEngine ? "models" : "apps");
            target.row.kind = isEngine ? target_kind::Engine : target_kind::Service;
            target.row.failureDomain = failure_domain_id(m_domains[target.domain]);
            target.row.incarnation = incarnation(1);
            if (isEngine) {
                target.engine = std::make_unique<simulated_engine>(m_events, engineModel(m_plan.trace.site),
                    [this, number](const cache_event& event) { deliverCacheEvent(number, event); });
            } else {
                target.service = std::make_unique<simulated_service>(m_events, serviceWorkers(m_plan.trace.site));
            }
            m_targets.push_back(std::move(target));
        }
    }

    void replayer::addRouters()
    {
        for (std::uint32_t i = 0; i < instanceCount; ++i) {
            router_settings settings = m_plan.settings;
            settings.instance = "instance-" + std::to_string(i);
            settings.failureDomain = failure_domain_id(m_domains[i % m_domains.size()]);
            settings.policy = m_plan.policy;
            m_routers.emplace_back(settings);
            m_routers.back().setClass(engineClass, [](const target_record& record) { return record.listed.kind == target_kind::Engine; });
            m_routers.back().setClass(serviceClass, [](const target_record& record) { return record.listed.kind == target_kind::Service; });
            m_routers.back().applyList(targetListAt(instant {}), instant {});
        }
    }

    void replayer::scheduleReports(std::uint32_t number)
    {
        const auto count = static_cast<std::int64_t>(m_targets.size());
        instant at = instant {} + reportInterval * number / count;
        for (; at.time_since_epoch() < m_plan.trace.length; at += reportInterval)
            m_events.schedule(at, [this, number] { report(number); });
    }

    load_report replayer::measure(std::uint32_t number) const
    {
        const simulated_target& target = m_targets[number];
        const target_load load = target.engine ? target.engine->load() : target.service->load();
        load_report report;
        report.target = target.row.id;
        report.incarnation = target.row.incarnation;
        report.running = load.running;
        report.waiting = load.waiting;
        report.kvCacheUsage = load.kvCacheUsage;
        report.model = model_id(target.engine ? "m" : "");
        if (m_plan.machines != machine_load::Constant)
            report.slowdown = load.slowdown;
        report.measuredAt = m_events.now();
        return report;
    }

    // As in the daemon, which doesn't know the target's clock, the time of arrival counts as the time of
    // measurement.
    void replayer::reportInAnswer(std::uint32_t instance, const load_report& report)
    {
        load_report arrived = report;
        arrived.measuredAt = m_events.now();
        m_routers[instance].applyReport(arrived, m_events.now());
    }

    void replayer::report(std::uint32_t number)
    {
        if (!m_targets[number].up)
            return;
        const load_report report = measure(number);
        m_events.schedule(m_events.now() + domainDelay + m_plan.reportDelay, [this, report] {
            for (router& each : m_routers)
                each.applyReport(report, m_events.now());
        });
    }

    // Schedules all changes of one machine's speed; they depend only on the seed and the target.
    void replayer::scheduleMachine(std::uint32_t number)
    {
        constexpr std::uint64_t machineSeed = 1000;
        constexpr double slowFactor = 4;
        seeded_random random(m_plan.trace.seed * machineSeed + number);
        const auto milliseconds = [&random](std::size_t from, std::size_t to) { return std::chrono::milliseconds(from + random.below(to - from)); };
        const bool isNoisy = m_plan.machines != machine_load::Slowness;
        const bool canBeSlow = m_plan.machines != machine_load::Noise;
        instant slowFrom = instant {} + milliseconds(0, 45'000);
        instant slowUntil = slowFrom + milliseconds(2'000, 8'000);
        for (instant at; at.time_since_epoch() < m_plan.trace.length; at += milliseconds(50, 350)) {
            if (at >= slowUntil) {
                slowFrom = at + milliseconds(20'000, 70'000);
                slowUntil = slowFrom + milliseconds(2'000, 8'000);
            }
            // Half of the time as usual; otherwise 1 to 4 times as slow.
            const double noise = isNoisy && random.below(2) == 0 ? 1 + 3 * static_cast<double>(random.below(1000)) / 1000 : 1;
            const double slowness = canBeSlow && at >= slowFrom ? slowFactor : 1;
            m_events.schedule(at, [this, number, slowdown = noise * slowness] { setSlowdown(number, slowdown); });
        }
        m_events.schedule(instant {} + m_plan.trace.length, [this, number] { setSlowdown(number, 1); });
    }

    void replayer::setSlowdown(std::uint32_t number, double slowdown)
    {
        if (m_targets[number].engine)
            m_targets[number].engine->setSlowdown(slowdown);
        else
            m_targets[number].service->setSlowdown(slowdown);
    }

    void replayer::deliverCacheEvent(std::uint32_t number, const cache_event& event)
    {
        for (std::uint32_t i = 0; i < instanceCount; ++i) {
            if (m_random.below(100) < m_plan.eventLossPercent)
                continue;
            m_events.schedule(m_events.now() + eventDelay, [this, number, i, event] {
                m_routers[i].applyCacheEvent(m_targets[number].row.id, event, m_events.now());
            });
        }
    }

    void replayer::scheduleLists()
    {
        for (instant at; at.time_since_epoch() < m_plan.trace.length; at += listInterval) {
            m_events.schedule(at, [this] {
                const auto rows = targetListAt(m_events.now() - listLag);
                for (router& each : m_routers) {
                    each.applyList(rows, m_events.now());
                    each.tick(m_events.now());
                }
            });
        }
    }

    bool replayer::isDomainLost(instant when) const
    {
        const duration since = when.time_since_epoch();
        return m_plan.trace.scenario == load_scenario::DomainLost && since >= m_plan.trace.length / 3 && since < m_plan.trace.length * 2 / 3;
    }

    std::vector<listed_target> replayer::targetListAt(instant when) const
    {
        std::vector<listed_target> rows;
        for (const simulated_target& target : m_targets) {
            listed_target row = target.row;
            const bool isBeforeRestart = when.time_since_epoch() < m_plan.trace.length * 2 / 3;
            row.incarnation = incarnation(target.domain == lostDomain && !isBeforeRestart ? 2 : 1);
            if (target.domain == lostDomain && isDomainLost(when))
                row.state = target_state::Gone;
            rows.push_back(std::move(row));
        }
        return rows;
    }

    void replayer::scheduleDomainLoss()
    {
        if (m_plan.trace.scenario != load_scenario::DomainLost)
            return;
        m_events.schedule(instant {} + m_plan.trace.length / 3, [this] { setDomain(false); });
        m_events.schedule(instant {} + m_plan.trace.length * 2 / 3, [this] { setDomain(true); });
    }

    void replayer::setDomain(bool up)
    {
        for (simulated_target& target : m_targets) {
            if (target.domain != lostDomain)
                continue;
            target.up = up;
            if (up)
                target.row.incarnation = incarnation(2);
            else if (target.engine)
                target.engine->fail();
            else
                target.service->fail();
        }
    }

    duration replayer::delay(std::uint32_t instance, std::uint32_t domain) const
    {
        return instance % m_domains.size() == domain ? localDelay : domainDelay;
    }

    // The platform's load balancer skips instances of the lost failure domain.
    void replayer::arrive(const arrival& item)
    {
        auto request = std::make_shared<request_state>();
        request->item = &item;
        request->instance = item.instance;
        if (isDomainLost(m_events.now()) && item.instance % m_domains.size() == lostDomain)
            request->instance = (item.instance + 1) % instanceCount;
        dispatch(request);
    }

    route_request replayer::routeRequest(const request_state& request)
    {
        const arrival& item = *request.item;
        route_request wanted;
        wanted.routingClass = item.toEngine ? engineClass : serviceClass;
        wanted.account = client_account_id("account-" + std::to_string(item.account));
        wanted.promptBlocks = item.prompt;
        wanted.promptTokens = token_count(item.promptTokens);
        wanted.expectedTokens = token_count(item.outputTokens);
        wanted.idempotent = item.idempotent;
        wanted.resumable = item.toEngine;
        wanted.excluded = request.failedTargets;
        wanted.seed = m_random.next();
        return wanted;
    }

    void replayer::dispatch(const request_pointer& request)
    {
        const route_request wanted = routeRequest(*request);
        router& instanceRouter = m_routers[request->instance];
        const route_decision decision = instanceRouter.choose(wanted, m_events.now());
        ++m_result.decisions;
        ++request->attempts;
        const auto* choice = std::get_if<route_choice>(&decision);
        if (!choice) {
            m_decisions.fold(toString(std::get<no_route>(decision).reason));
            request->failedTargets.clear();
            retry(request, retryDelay);
            return;
        }
        m_decisions.fold(choice->slot.value());
        const attempt_id number(++m_lastAttempt);
        instanceRouter.started(number, *choice, wanted, m_events.now());
        const auto target = static_cast<std::uint32_t>(choice->slot.value());
        m_events.schedule(m_events.now() + delay(request->instance, m_targets[target].domain),
            [this, request, number, target] { attempt(request, number, target); });
    }

    void replayer::retry(const request_pointer& request, duration delayBeforeRetry)
    {
        if (request->attempts >= maxAttempts) {
            ++m_result.failed;
            return;
        }
        m_events.schedule(m_events.now() + delayBeforeRetry, [this, request] { dispatch(request); });
    }

    // Called when the request reaches its target.
    void replayer::attempt(const request_pointer& request, attempt_id number, std::uint32_t target)
    {
        simulated_target& destination = m_targets[target];
        if (!destination.up) {
            m_events.schedule(m_events.now() + connectTimeout, [this, request, number, target] {
                onFailure(request, number, target, attempt_outcome::Timeout);
            });
            return;
        }
        const duration returnDelay = delay(request->instance, destination.domain);
        auto cachedAtTarget = std::make_shared<token_count>();
        simulated_request simulated;
        simulated.prompt = request->item->prompt;
        simulated.promptTokens = request->item->promptTokens;
        simulated.outputTokens = request->item->outputTokens;
        simulated.serviceTime = request->item->serviceTime;
        simulated.onFirstToken = [this, request, number, target, returnDelay, cachedAtTarget](token_count cached) {
            *cachedAtTarget = cached;
            if (m_plan.reportsInAnswers)
                m_events.schedule(m_events.now() + returnDelay, [this, request, report = measure(target)] { reportInAnswer(request->instance, report); });
            m_events.schedule(m_events.now() + returnDelay, [this, request, number, cached] { onFirstToken(request, number, cached); });
        };
        simulated.onDone = [this, request, number, returnDelay, cachedAtTarget] {
            m_events.schedule(m_events.now() + returnDelay, [this, request, number, cached = *cachedAtTarget] { onDone(request, number, cached); });
        };
        simulated.onReset = [this, request, number, returnDelay, target] {
            m_events.schedule(m_events.now() + returnDelay, [this, request, number, target] {
                onFailure(request, number, target, attempt_outcome::Reset);
            });
        };
        if (destination.engine)
            destination.engine->submit(std::move(simulated));
        else
            destination.service->submit(std::move(simulated));
    }

    void replayer::onFirstToken(const request_pointer& request, attempt_id number, token_count cached)
    {
        m_routers[request->instance].firstToken(number, m_events.now());
        if (request->item->toEngine) {
            m_result.promptTokens += request->item->promptTokens;
            m_result.cachedTokens += cached.count();
        }
        if (std::exchange(request->answered, true))
            return;
        const duration elapsed = m_events.now() - request->item->at;
        if (!request->item->toEngine) {
            m_result.calls.push_back(elapsed);
            return;
        }
        m_result.firstToken.push_back(elapsed);
        m_result.firstTokenByAccount[request->item->account].push_back(elapsed);
    }

    void replayer::onDone(const request_pointer& request, attempt_id number, token_count cached)
    {
        attempt_end end;
        end.generated = token_count(request->item->outputTokens);
        if (request->item->toEngine) {
            end.cachedTokens = cached;
            m_result.generations.push_back(m_events.now() - request->item->at);
        }
        m_routers[request->instance].ended(number, end, m_events.now());
    }

    // A stream can be resumed on another target. A call that is not idempotent is retried only if it
    // cannot have been executed.
    void replayer::onFailure(const request_pointer& request, attempt_id number, std::uint32_t target, attempt_outcome outcome)
    {
        m_routers[request->instance].ended(number, { outcome, {}, {} }, m_events.now());
        const bool mayHaveRun = outcome == attempt_outcome::Reset;
        if (mayHaveRun && !request->item->idempotent && !request->item->toEngine) {
            ++m_result.failed;
            return;
        }
        request->failedTargets.push_back(m_targets[target].row.id);
        retry(request, {});
    }

    void replayer::finish()
    {
        std::sort(m_result.firstToken.begin(), m_result.firstToken.end());
        std::sort(m_result.generations.begin(), m_result.generations.end());
        std::sort(m_result.calls.begin(), m_result.calls.end());
        for (auto& times : m_result.firstTokenByAccount)
            std::sort(times.begin(), times.end());
        double sum = 0;
        double largest = 0;
        double count = 0;
        for (const simulated_target& target : m_targets) {
            if (!target.engine || target.row.incarnation != incarnation(1))
                continue;
            sum += target.engine->busySeconds();
            largest = std::max(largest, target.engine->busySeconds());
            ++count;
        }
        m_result.engineSpread = sum > 0 ? largest * count / sum : 1;
    }

} // namespace

replay_result replay(const replay_plan& plan, const std::vector<arrival>& trace, fingerprint& decisions)
{
    return replayer(plan, trace, decisions).run();
}

duration percentile(const std::vector<duration>& sorted, double share)
{
    if (sorted.empty())
        return {};
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
    return sorted[std::min(index, sorted.size() - 1)];
}

duration worstAccount(const replay_result& result)
{
    duration worst {};
    for (const auto& times : result.firstTokenByAccount)
        worst = std::max(worst, percentile(times, 0.99));
    return worst;
}

} // namespace lovagerail::bench
