// Capacity policies on a small deterministic model of demand: calm, rain that
// doubles it twice within minutes, and cheap targets of a failure domain taken
// away, and a failure domain lost in the rain. LOVAGERAIL_TABLE=capacity prints spend against service as Markdown.
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

    constexpr duration stepTime = 5s;
    constexpr int hours = 4;
    constexpr int steps = hours * 3600 / 5;
    constexpr double perTarget = 16; // requests at a time
    constexpr double serviceTime = 2; // seconds of one request
    constexpr double longestWait = 5; // seconds; later than this is a late answer
    constexpr double queueLimit = 20; // seconds of work that waits at most; the rest is refused

    enum class weather {
        Calm,
        Rain,
        Reclaim,
        Loss, // of a whole failure domain in the rain
    };
    struct deployment {
        const char* name;
        std::array<const char*, 3> domains;
        std::uint32_t size; // targets of the fixed policy, as today
        double base; // requests a second
        std::uint32_t startUpS;
    };
    constexpr std::array<deployment, 2> deployments { {
        { "Wales model-pool", { "caerdydd", "abertawe", "wrecsam" }, 8, 26, 60 },
        { "Caribbean scoring-models", { "sfdo-a", "sfdo-b", "cvpt-c" }, 10, 34, 60 },
    } };

    // What one run gave; work in hundredths of a request.
    struct outcome {
        std::uint64_t arrived = 0;
        std::uint64_t late = 0;
        std::uint64_t refused = 0;
        std::uint64_t redone = 0; // on cheap targets that were taken away
        std::uint64_t spend = 0; // micro units
        std::uint64_t changes = 0;
    };

    // Requests a second: a slow swell, and from half an hour on two showers, each
    // doubling demand within three minutes.
    double rate(const deployment& at, weather sky, int step)
    {
        const int second = step * 5;
        const int phase = second % 3600;
        const double swell = 1 + 0.1 * (phase < 1800 ? phase / 1800.0 : (3600 - phase) / 1800.0);
        double rain = 1;
        if (sky == weather::Rain || sky == weather::Loss) {
            for (const int begin : { 1800, 9000 }) {
                const double up = std::clamp((second - begin) / 180.0, 0.0, 1.0);
                const double down = std::clamp((second - begin - 2700) / 900.0, 0.0, 1.0);
                rain += up - down;
            }
        }
        return at.base * swell * rain;
    }

    class model {
    public:
        model(const deployment& at, weather sky, capacity_policy policy)
            : m_at(at)
            , m_sky(sky)
            , m_planner(settingsOf(at, policy))
        {
            m_pool.meta.name = at.name;
            m_pool.floor = 3;
            m_pool.ceiling = 24;
            m_pool.allowCheap = true;
            m_pool.startUpS = at.startUpS;
            m_pool.firmPricePerHour = micro_price(2'000'000);
            m_pool.cheapPricePerHour = micro_price(600'000);
            for (const auto* domain : at.domains)
                m_pool.failureDomains.emplace_back(domain);
            for (std::uint32_t i = 0; i < at.size; ++i)
                add({ i < (at.size + 1) / 2 ? supply_kind::Firm : supply_kind::Cheap, m_pool.failureDomains[i % 3] }, instant {});
        }

        outcome run(fingerprint& decisions)
        {
            for (int step = 0; step < steps; ++step)
                advance(step, decisions);
            return m_out;
        }

    private:
        static capacity_settings settingsOf(const deployment& at, capacity_policy policy)
        {
            capacity_settings out;
            out.policy = policy;
            out.fixedSize = at.size;
            return out;
        }
        void add(const capacity_place& where, instant liveAt)
        {
            const target_id id("t" + std::to_string(++m_last));
            m_view.targets.push_back({ id, where.kind, where.failureDomain, target_state::Starting, 0, false });
            m_liveAt[id] = liveAt;
        }
        // Every hour the cheap targets of the next failure domain are taken away, and
        // none is to be had there for ten minutes.
        void reclaim(int step, double share)
        {
            const int second = step * 5;
            const auto& domain = m_pool.failureDomains[static_cast<std::size_t>(second / 3600) % 3];
            m_view.backedOff.clear();
            if (m_sky == weather::Loss && second >= 3000 && second < 4200) {
                const auto& lost = m_pool.failureDomains.front();
                m_view.backedOff = { { supply_kind::Cheap, lost }, { supply_kind::Firm, lost } };
                std::erase_if(m_view.targets, [&](const auto& one) { return one.failureDomain == lost; });
                return;
            }
            if (m_sky != weather::Reclaim || second % 3600 < 1200 || second % 3600 >= 1800)
                return;
            m_view.backedOff.push_back({ supply_kind::Cheap, domain });
            const auto gone = std::erase_if(m_view.targets, [&](const auto& one) { return one.kind == supply_kind::Cheap && one.failureDomain == domain; });
            m_out.redone += hundredths(static_cast<double>(gone) * share);
        }
        static std::uint64_t hundredths(double requests) { return static_cast<std::uint64_t>(std::llround(requests * 100)); }

        void advance(int step, fingerprint& decisions)
        {
            const instant now { 1h + stepTime * step };
            const double seconds = 5;

            // Step 1. Targets that have started, or were taken away with their work.
            double live = 0;
            for (auto& one : m_view.targets) {
                if (one.state == target_state::Starting && now >= m_liveAt[one.id])
                    one.state = target_state::Live;
                live += one.state == target_state::Live ? 1 : 0;
            }
            reclaim(step, live > 0 ? m_open / live : 0);
            live = static_cast<double>(std::count_if(m_view.targets.begin(), m_view.targets.end(), [](const auto& one) { return one.state == target_state::Live; }));

            // Step 2. What arrives is served, waits or is refused.
            const double arrives = rate(m_at, m_sky, step) * seconds;
            const double served = std::max(live * perTarget / serviceTime * seconds, 1e-9);
            m_queue += arrives;
            m_out.arrived += hundredths(arrives);
            const double most = served * queueLimit / seconds;
            m_out.refused += hundredths(std::max(0.0, m_queue - served - most));
            m_queue = std::min(m_queue, served + most);
            const double wait = std::max(0.0, m_queue - served) / served * seconds;
            const double done = std::min(m_queue, served);
            m_out.late += wait > longestWait ? hundredths(done) : 0;
            m_queue -= done;
            m_open = done / seconds * serviceTime;

            // Step 3. Money, for starting ones as well.
            for (const auto& one : m_view.targets) {
                const auto price = one.kind == supply_kind::Cheap ? m_pool.cheapPricePerHour : m_pool.firmPricePerHour;
                m_out.spend += static_cast<std::uint64_t>(price.count()) * 5 / 3600;
            }

            // Step 4. The policy. Seven tenths of the work may run on cheap targets.
            for (auto& one : m_view.targets)
                one.open = one.state == target_state::Live ? m_open / live : 0;
            m_planner.observe({ m_open, m_queue, perTarget, m_queue > 0 ? 2.0 : 0.5, 0.7 }, now);
            const auto plan = m_planner.plan(m_pool, m_view, now);
            for (const auto& start : plan.starts)
                add(start.where, now + std::chrono::seconds(m_pool.startUpS));
            if (plan.stop)
                std::erase_if(m_view.targets, [&](const auto& one) { return one.id == plan.stop->target; });
            m_out.changes += plan.starts.size() + (plan.stop ? 1 : 0);
            decisions.fold(plan.wanted);
            decisions.fold(plan.starts.size());
            decisions.fold(plan.stop ? plan.stop->target.str() : "");
        }

        deployment m_at;
        weather m_sky;
        capacity_planner m_planner;
        target_pool m_pool;
        capacity_view m_view;
        std::map<target_id, instant> m_liveAt;
        int m_last = 0;
        double m_queue = 0;
        double m_open = 0;
        outcome m_out;
    };

    const char* nameOf(weather sky)
    {
        switch (sky) {
        case weather::Calm:
            return "calm";
        case weather::Rain:
            return "rain";
        case weather::Reclaim:
            return "reclaim";
        case weather::Loss:
            return "rain and loss";
        }
        return "";
    }

    void printRow(const deployment& at, weather sky, capacity_policy policy, const outcome& seen)
    {
        const auto share = [&seen](std::uint64_t part) { return 100.0 * static_cast<double>(part) / static_cast<double>(seen.arrived); };
        std::printf("| %s | %s | %s | %.2f | %.2f | %.2f | %llu | %llu |\n", at.name, nameOf(sky), std::string(toString(policy)).c_str(),
            static_cast<double>(seen.spend) / 1e6, share(seen.late), share(seen.refused), static_cast<unsigned long long>(seen.redone / 100),
            static_cast<unsigned long long>(seen.changes));
    }

    std::uint64_t run(fingerprint& decisions)
    {
        const char* wanted = std::getenv("LOVAGERAIL_TABLE");
        const bool table = wanted != nullptr && std::strcmp(wanted, "capacity") == 0;
        if (table)
            std::printf("| pool | weather | policy | spend | late %% | refused %% | redone | starts and stops |\n|---|---|---|---|---|---|---|---|\n");
        std::uint64_t plans = 0;
        for (const auto& at : deployments) {
            for (const auto sky : { weather::Calm, weather::Rain, weather::Reclaim, weather::Loss }) {
                for (const auto policy : { capacity_policy::Forecast, capacity_policy::Fixed, capacity_policy::Utilisation, capacity_policy::QueueLength }) {
                    const auto seen = model(at, sky, policy).run(decisions);
                    decisions.fold(seen.changes);
                    plans += steps;
                    if (table)
                        printRow(at, sky, policy, seen);
                }
            }
        }
        return plans;
    }

    const registration part("capacity", run);

} // namespace

} // namespace lovagerail::bench
