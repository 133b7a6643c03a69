// Compares the capacity policies on a small deterministic model of demand. Scenarios: steady
// demand ("calm"), demand that doubles within minutes, twice ("rain"), the provider reclaiming the
// cheap targets of a failure domain, and the loss of a failure domain while demand is doubled.
// LOVAGERAIL_TABLE=capacity prints spend against quality of service as a Markdown table.
#include "bench.h"
#include "capacity.h"
#include "router_policy.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <cstring>

namespace lovagerail::bench {

namespace {

    using namespace std::chrono_literals;

    constexpr duration stepLength = 5s;
    constexpr int simulatedHours = 4;
    constexpr int stepCount = simulatedHours * 3600 / 5;
    constexpr double concurrencyPerTarget = 16; // concurrent requests
    constexpr double serviceSeconds = 2; // of one request
    constexpr double maxWaitSeconds = 5; // an answer that waited longer counts as late
    constexpr double maxQueuedSeconds = 20; // work beyond this is refused

    enum class load_scenario {
        Steady,
        DemandSurge,
        CheapTargetsReclaimed,
        SurgeAndDomainLoss, // a whole failure domain is lost while demand is doubled
    };
    struct deployment {
        const char* name;
        std::array<const char*, 3> domains;
        std::uint32_t fixedTargets; // targets under the fixed-size policy, as deployed at present
        double baseRate; // requests per second
        std::uint32_t startUpS;
    };
    constexpr std::array<deployment, 2> deployments { {
        { "Wales model-pool", { "caerdydd", "abertawe", "wrecsam" }, 8, 26, 60 },
        { "Caribbean scoring-models", { "sfdo-a", "sfdo-b", "cvpt-c" }, 10, 34, 60 },
    } };

    // Totals of one run; amounts of work are in hundredths of a request.
    struct simulation_totals {
        std::uint64_t arrived = 0;
        std::uint64_t late = 0;
        std::uint64_t refused = 0;
        std::uint64_t repeated = 0; // work lost with reclaimed cheap targets, which has to be done again
        std::uint64_t spend = 0; // micro units
        std::uint64_t changes = 0;
    };

    // Requests per second: demand rises and falls by 10 % every hour. In the surge scenarios it also doubles
    // twice, each time within three minutes; the first surge begins after half an hour.
    double arrivalRate(const deployment& site, load_scenario scenario, int step)
    {
        const int second = step * 5;
        const int phase = second % 3600;
        const double slowVariation = 1 + 0.1 * (phase < 1800 ? phase / 1800.0 : (3600 - phase) / 1800.0);
        double surge = 1;
        if (scenario == load_scenario::DemandSurge || scenario == load_scenario::SurgeAndDomainLoss) {
            for (const int begin : { 1800, 9000 }) {
                const double up = std::clamp((second - begin) / 180.0, 0.0, 1.0);
                const double down = std::clamp((second - begin - 2700) / 900.0, 0.0, 1.0);
                surge += up - down;
            }
        }
        return site.baseRate * slowVariation * surge;
    }

    class pool_simulation {
    public:
        pool_simulation(const deployment& site, load_scenario scenario, capacity_policy policy)
            : m_site(site)
            , m_scenario(scenario)
            , m_planner(settingsOf(site, policy))
        {
            m_pool.meta.name = site.name;
            m_pool.floor = 3;
            m_pool.ceiling = 24;
            m_pool.allowCheap = true;
            m_pool.startUpS = site.startUpS;
            m_pool.firmPricePerHour = micro_price(2'000'000);
            m_pool.cheapPricePerHour = micro_price(600'000);
            for (const auto* domain : site.domains)
                m_pool.failureDomains.emplace_back(domain);
            for (std::uint32_t i = 0; i < site.fixedTargets; ++i)
                addTarget({ i < (site.fixedTargets + 1) / 2 ? supply_kind::Firm : supply_kind::Cheap, m_pool.failureDomains[i % 3] }, instant {});
        }

        simulation_totals run(fingerprint& decisions)
        {
            for (int step = 0; step < stepCount; ++step)
                advance(step, decisions);
            return m_totals;
        }

    private:
        static capacity_settings settingsOf(const deployment& site, capacity_policy policy)
        {
            capacity_settings out;
            out.policy = policy;
            out.fixedSize = site.fixedTargets;
            return out;
        }
        void addTarget(const capacity_place& place, instant readyAt)
        {
            const target_id id("t" + std::to_string(++m_lastTargetNumber));
            m_view.targets.push_back({ id, place.kind, place.failureDomain, target_state::Starting, 0, false });
            m_readyAt[id] = readyAt;
        }
        // Every hour the provider reclaims the cheap targets of the next failure domain and offers
        // none there for ten minutes. In the domain-loss scenario one failure domain loses all its
        // targets for 20 minutes.
        void removeLostTargets(int step, double share)
        {
            const int second = step * 5;
            const auto& domain = m_pool.failureDomains[static_cast<std::size_t>(second / 3600) % 3];
            m_view.backedOff.clear();
            if (m_scenario == load_scenario::SurgeAndDomainLoss && second >= 3000 && second < 4200) {
                const auto& lost = m_pool.failureDomains.front();
                m_view.backedOff = { { supply_kind::Cheap, lost }, { supply_kind::Firm, lost } };
                std::erase_if(m_view.targets, [&](const auto& one) { return one.failureDomain == lost; });
                return;
            }
            if (m_scenario != load_scenario::CheapTargetsReclaimed || second % 3600 < 1200 || second % 3600 >= 1800)
                return;
            m_view.backedOff.push_back({ supply_kind::Cheap, domain });
            const auto reclaimedCount = std::erase_if(m_view.targets, [&](const auto& one) { return one.kind == supply_kind::Cheap && one.failureDomain == domain; });
            m_totals.repeated += hundredths(static_cast<double>(reclaimedCount) * share);
        }
        static std::uint64_t hundredths(double requests) { return static_cast<std::uint64_t>(std::llround(requests * 100)); }

        void advance(int step, fingerprint& decisions)
        {
            const instant now { 1h + stepLength * step };
            const double seconds = 5;

            // Step 1. Targets finish starting, or are reclaimed together with their work.
            double liveTargets = 0;
            for (auto& one : m_view.targets) {
                if (one.state == target_state::Starting && now >= m_readyAt[one.id])
                    one.state = target_state::Live;
                liveTargets += one.state == target_state::Live ? 1 : 0;
            }
            removeLostTargets(step, liveTargets > 0 ? m_openRequests / liveTargets : 0);
            liveTargets = static_cast<double>(std::count_if(m_view.targets.begin(), m_view.targets.end(), [](const auto& one) { return one.state == target_state::Live; }));

            // Step 2. Arriving requests are served, queued or refused.
            const double arrivals = arrivalRate(m_site, m_scenario, step) * seconds;
            const double served = std::max(liveTargets * concurrencyPerTarget / serviceSeconds * seconds, 1e-9);
            m_queuedRequests += arrivals;
            m_totals.arrived += hundredths(arrivals);
            const double maxQueued = served * maxQueuedSeconds / seconds;
            m_totals.refused += hundredths(std::max(0.0, m_queuedRequests - served - maxQueued));
            m_queuedRequests = std::min(m_queuedRequests, served + maxQueued);
            const double waitSeconds = std::max(0.0, m_queuedRequests - served) / served * seconds;
            const double completed = std::min(m_queuedRequests, served);
            m_totals.late += waitSeconds > maxWaitSeconds ? hundredths(completed) : 0;
            m_queuedRequests -= completed;
            m_openRequests = completed / seconds * serviceSeconds;

            // Step 3. Spend; targets that are still starting are charged as well.
            for (const auto& one : m_view.targets) {
                const auto price = one.kind == supply_kind::Cheap ? m_pool.cheapPricePerHour : m_pool.firmPricePerHour;
                m_totals.spend += static_cast<std::uint64_t>(price.count()) * 5 / 3600;
            }

            // Step 4. The policy plans. Seven tenths of the work may run on cheap targets.
            for (auto& one : m_view.targets)
                one.open = one.state == target_state::Live ? m_openRequests / liveTargets : 0;
            m_planner.observe({ m_openRequests, m_queuedRequests, concurrencyPerTarget, m_queuedRequests > 0 ? 2.0 : 0.5, 0.7 }, now);
            const auto plan = m_planner.plan(m_pool, m_view, now);
            for (const auto& start : plan.starts)
                addTarget(start.where, now + std::chrono::seconds(m_pool.startUpS));
            if (plan.stop)
                std::erase_if(m_view.targets, [&](const auto& one) { return one.id == plan.stop->target; });
            m_totals.changes += plan.starts.size() + (plan.stop ? 1 : 0);
            decisions.fold(plan.wanted);
            decisions.fold(plan.starts.size());
            decisions.fold(plan.stop ? plan.stop->target.str() : "");
        }

        deployment m_site;
        load_scenario m_scenario;
        capacity_planner m_planner;
        target_pool m_pool;
        capacity_view m_view;
        std::map<target_id, instant> m_readyAt;
        int m_lastTargetNumber = 0;
        double m_queuedRequests = 0;
        double m_openRequests = 0;
        simulation_totals m_totals;
    };

    const char* nameOf(load_scenario scenario)
    {
        switch (scenario) {
        case load_scenario::Steady:
            return "calm";
        case load_scenario::DemandSurge:
            return "rain";
        case load_scenario::CheapTargetsReclaimed:
            return "reclaim";
        case load_scenario::SurgeAndDomainLoss:
            return "rain and loss";
        }
        return "";
    }

    void printRow(const deployment& site, load_scenario scenario, capacity_policy policy, const simulation_totals& totals)
    {
        const auto share = [&totals](std::uint64_t count) { return 100.0 * static_cast<double>(count) / static_cast<double>(totals.arrived); };
        std::printf("| %s | %s | %s | %.2f | %.2f | %.2f | %llu | %llu |\n", site.name, nameOf(scenario), std::string(toString(policy)).c_str(),
            static_cast<double>(totals.spend) / 1e6, share(totals.late), share(totals.refused), static_cast<unsigned long long>(totals.repeated / 100),
            static_cast<unsigned long long>(totals.changes));
    }

    std::uint64_t run(fingerprint& decisions)
    {
        const char* tableName = std::getenv("LOVAGERAIL_TABLE");
        const bool table = tableName != nullptr && std::strcmp(tableName, "capacity") == 0;
        if (table)
            std::printf("| pool | scenario | policy | spend | late %% | refused %% | redone | starts and stops |\n|---|---|---|---|---|---|---|---|\n");
        std::uint64_t plans = 0;
        for (const auto& site : deployments) {
            for (const auto scenario : { load_scenario::Steady, load_scenario::DemandSurge, load_scenario::CheapTargetsReclaimed, load_scenario::SurgeAndDomainLoss }) {
                for (const auto policy : { capacity_policy::Forecast, capacity_policy::Fixed, capacity_policy::Utilisation, capacity_policy::QueueLength }) {
                    const auto totals = pool_simulation(site, scenario, policy).run(decisions);
                    decisions.fold(totals.changes);
                    plans += stepCount;
                    if (table)
                        printRow(site, scenario, policy, totals);
                }
            }
        }
        return plans;
    }

    const registration capacityBenchmark("capacity", run);

} // namespace

} // namespace lovagerail::bench
