// How accounts fare when one or two of them flood, under each policy of the queue. The
// benchmark replays short traces; with LOVAGERAIL_TABLE=fairness it prints a Markdown
// table of full ones, and the time per decision by number of accounts.
#include "bench.h"
#include "fairness.h"
#include "router_policy.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <queue>

namespace lovagerail::bench {

namespace {

    using namespace std::chrono_literals;

    constexpr std::uint64_t traceSeed = 20261203;
    constexpr std::uint32_t accounts = 20;
    constexpr std::size_t slots = 128; // streams that the targets serve at once
    constexpr std::uint64_t floodFactor = 10;
    constexpr duration perToken = 20ms; // of a stream
    constexpr duration perPromptToken = 100us;
    constexpr duration deadline = 10s; // of the whole answer
    constexpr std::uint64_t hundred = 100;

    struct scenario {
        const char* name;
        std::uint32_t loadPercent; // what accounts offer, without the flood's excess
        std::uint32_t flooders;
    };
    constexpr std::array<scenario, 6> scenarios { { { "calm", 60, 0 }, { "calm, one floods", 60, 1 }, { "calm, two flood", 60, 2 },
        { "rain", 120, 0 }, { "rain, one floods", 120, 1 }, { "rain, two flood", 120, 2 } } };

    struct variant {
        const char* name;
        fairness_policy policy;
        bool refusesEarly; // what can't be done in time
    };
    constexpr std::array<variant, 4> variants { { { "FIFO", fairness_policy::Fifo, false }, { "round robin", fairness_policy::RoundRobin, false },
        { "weighted, without early refusal", fairness_policy::Weighted, false }, { "weighted", fairness_policy::Weighted, true } } };

    struct traced_request {
        instant at;
        std::uint32_t account = 0;
        std::uint32_t prompt = 0; // tokens
        std::uint32_t answer = 0; // tokens; the caller allows twice as many
        duration time() const { return prompt * perPromptToken + answer * perToken; }
    };

    // Arrivals of all accounts, with gaps spread evenly around their mean.
    std::vector<traced_request> makeTrace(const scenario& plan, duration length)
    {
        constexpr std::uint32_t meanPrompt = 500;
        constexpr std::uint32_t meanAnswer = 100;
        const auto meanTime = meanPrompt * perPromptToken + meanAnswer * perToken;
        std::vector<traced_request> out;
        for (std::uint32_t account = 0; account < accounts; ++account) {
            seeded_random random(traceSeed + account);
            const std::uint64_t factor = account < plan.flooders ? floodFactor : 1;
            const auto gap = static_cast<std::uint64_t>(meanTime.count()) * accounts * hundred / (slots * plan.loadPercent * factor);
            instant at { 1h };
            const auto end = at + length;
            while (true) {
                at += duration(static_cast<std::int64_t>(random.below(2 * gap)));
                if (at >= end)
                    break;
                const auto prompt = static_cast<std::uint32_t>(random.below(2 * meanPrompt));
                // One in ten is long, the others short.
                const auto answer = static_cast<std::uint32_t>(random.below(10) == 0 ? 200 + random.below(201) : 20 + random.below(115));
                out.push_back({ at, account, prompt, answer });
            }
        }
        std::stable_sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
        return out;
    }

    struct account_result {
        std::uint64_t asked = 0;
        std::uint64_t inTime = 0;
        std::vector<duration> waits; // of those that were sent
    };
    using all_results = std::array<account_result, accounts>;

    // Runs the trace through one queue in front of equal slots.
    all_results replay(const std::vector<traced_request>& trace, const variant& by, fingerprint& decisions)
    {
        fairness_settings settings;
        settings.policy = by.policy;
        fair_queue queue(settings);
        queue.setWindow(slots);
        all_results out;
        using ending = std::pair<instant, std::uint64_t>;
        std::priority_queue<ending, std::vector<ending>, std::greater<>> running;

        const auto fill = [&](instant now) {
            while (const auto next = queue.pop()) {
                const auto& request = trace[next->value()];
                decisions.fold(next->value());
                if (now >= request.at + deadline) {
                    queue.finished(*next, service_cost(), now); // refused: its time is over
                    continue;
                }
                out[request.account].waits.push_back(now - request.at);
                running.emplace(now + request.time(), next->value());
            }
        };
        const auto endOne = [&] {
            const auto [at, number] = running.top();
            running.pop();
            const auto& request = trace[number];
            out[request.account].inTime += at <= request.at + deadline ? 1 : 0;
            queue.finished(queued_id(number), engineCost(token_count(request.prompt), {}, token_count(request.answer)), at);
            fill(at);
        };

        for (std::uint64_t i = 0; i < trace.size(); ++i) {
            while (!running.empty() && running.top().first <= trace[i].at)
                endOne();
            const auto& request = trace[i];
            ++out[request.account].asked;
            queued_request wanted;
            wanted.id = queued_id(i);
            wanted.account = client_account_id("account-" + std::to_string(request.account));
            wanted.estimate = engineCost(token_count(request.prompt), {}, token_count(2 * request.answer));
            wanted.deadline = request.at + (by.refusesEarly ? deadline : duration(24h));
            decisions.fold(static_cast<std::uint64_t>(queue.push(wanted, request.at)));
            fill(request.at);
        }
        while (!running.empty())
            endOne();
        return out;
    }

    double percentOf(std::uint64_t part, std::uint64_t whole)
    {
        return whole == 0 ? 0 : static_cast<double>(hundred * part) / static_cast<double>(whole);
    }

    void printRow(const scenario& plan, const variant& by, all_results results)
    {
        double worstShare = hundred;
        duration worstWait {};
        std::uint64_t flooded = 0;
        std::uint64_t floodInTime = 0;
        std::uint64_t inTime = 0;
        for (std::uint32_t i = 0; i < accounts; ++i) {
            auto& one = results[i];
            inTime += one.inTime;
            if (i < plan.flooders) {
                flooded += one.asked;
                floodInTime += one.inTime;
                continue;
            }
            worstShare = std::min(worstShare, percentOf(one.inTime, one.asked));
            std::sort(one.waits.begin(), one.waits.end());
            if (!one.waits.empty())
                worstWait = std::max(worstWait, one.waits[one.waits.size() * 99 / hundred]);
        }
        std::printf("| %s | %s | %.1f %% | %.2f s | %s | %llu |\n", plan.name, by.name, worstShare,
            std::chrono::duration<double>(worstWait).count(),
            flooded == 0 ? "-" : (std::to_string(static_cast<int>(percentOf(floodInTime, flooded))) + " %").c_str(), static_cast<unsigned long long>(inTime));
    }

    // Nanoseconds of a push, a pop and an end together, with so many accounts waiting.
    double timeOf(std::uint32_t count)
    {
        constexpr std::uint64_t rounds = 200000;
        fair_queue queue;
        queue.setWindow(slots);
        std::vector<client_account_id> names;
        for (std::uint32_t i = 0; i < count; ++i)
            names.emplace_back("account-" + std::to_string(i));
        seeded_random random(traceSeed);
        std::uint64_t id = 0;
        const auto push = [&] {
            queued_request wanted;
            wanted.id = queued_id(++id);
            wanted.account = names[id % count];
            wanted.estimate = service_cost(static_cast<std::int64_t>(1 + random.below(100000)));
            wanted.deadline = instant::max();
            queue.push(wanted, instant(1h));
        };
        for (std::uint32_t i = 0; i < 4 * count; ++i)
            push();
        const auto begin = std::chrono::steady_clock::now();
        for (std::uint64_t i = 0; i < rounds; ++i) {
            push();
            if (const auto next = queue.pop())
                queue.finished(*next, service_cost(5000), instant(1h));
        }
        return std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - begin).count() / static_cast<double>(rounds);
    }

    void printTables()
    {
        std::printf("| traffic | policy | worst account in time | its worst 99th percentile of wait | flooding accounts in time | answers in time |\n");
        std::printf("|---|---|---|---|---|---|\n");
        fingerprint unused;
        for (const auto& plan : scenarios) {
            const auto trace = makeTrace(plan, 300s);
            for (const auto& by : variants)
                printRow(plan, by, replay(trace, by, unused));
        }
        std::printf("\n| accounts waiting | ns per request (push, pop, end) |\n|---|---|\n");
        for (const std::uint32_t count : { 8U, 64U, 256U, 1000U })
            std::printf("| %u | %.0f |\n", count, timeOf(count));
    }

    std::uint64_t run(fingerprint& decisions)
    {
        const char* table = std::getenv("LOVAGERAIL_TABLE");
        if (table != nullptr && std::string(table) == "fairness")
            printTables();
        std::uint64_t count = 0;
        for (const auto& plan : scenarios) {
            const auto trace = makeTrace(plan, 20s);
            for (const auto& by : variants) {
                replay(trace, by, decisions);
                count += trace.size();
            }
        }
        return count;
    }

    const registration part("fairness", run);

} // namespace

} // namespace lovagerail::bench
