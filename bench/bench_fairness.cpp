// Compares the queue policies when one or two accounts send ten times their usual traffic: how many
// answers of the other accounts are in time, and how long their requests wait. The benchmark replays
// short traces. With LOVAGERAIL_TABLE=fairness it prints a Markdown table for full-length traces and
// the time per queued request by number of accounts.
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
    constexpr std::size_t maxStreams = 128; // concurrent streams of all targets
    constexpr std::uint64_t floodFactor = 10;
    constexpr duration timePerOutputToken = 20ms; // generation time within a stream
    constexpr duration timePerPromptToken = 100us;
    constexpr duration deadline = 10s; // of the whole answer
    constexpr std::uint64_t percentScale = 100;

    struct scenario {
        const char* name;
        std::uint32_t loadPercent; // offered load in percent of capacity, without the excess of the flooding accounts
        std::uint32_t flooders;
    };
    constexpr std::array<scenario, 6> scenarios { { { "calm", 60, 0 }, { "calm, one floods", 60, 1 }, { "calm, two flood", 60, 2 },
        { "rain", 120, 0 }, { "rain, one floods", 120, 1 }, { "rain, two flood", 120, 2 } } };

    struct policy_variant {
        const char* name;
        fairness_policy policy;
        bool refusesUnmeetableDeadlines; // requests that can't finish before their deadline
    };
    constexpr std::array<policy_variant, 4> policyVariants { { { "FIFO", fairness_policy::Fifo, false }, { "round robin", fairness_policy::RoundRobin, false },
        { "weighted, without early refusal", fairness_policy::Weighted, false }, { "weighted", fairness_policy::Weighted, true } } };

    struct traced_request {
        instant at;
        std::uint32_t account = 0;
        std::uint32_t promptTokens = 0;
        std::uint32_t outputTokens = 0; // half of the caller's limit
        duration serviceTime() const { return promptTokens * timePerPromptToken + outputTokens * timePerOutputToken; }
    };

    // Arrivals of all accounts, with gaps distributed uniformly between 0 and twice their mean.
    std::vector<traced_request> makeTrace(const scenario& plan, duration length)
    {
        constexpr std::uint32_t meanPromptTokens = 500;
        constexpr std::uint32_t meanOutputTokens = 100;
        const auto meanServiceTime = meanPromptTokens * timePerPromptToken + meanOutputTokens * timePerOutputToken;
        std::vector<traced_request> out;
        for (std::uint32_t account = 0; account < accounts; ++account) {
            seeded_random random(traceSeed + account);
            const std::uint64_t factor = account < plan.flooders ? floodFactor : 1;
            const auto gap = static_cast<std::uint64_t>(meanServiceTime.count()) * accounts * percentScale / (maxStreams * plan.loadPercent * factor);
            instant at { 1h };
            const auto end = at + length;
            while (true) {
                at += duration(static_cast<std::int64_t>(random.below(2 * gap)));
                if (at >= end)
                    break;
                const auto promptTokens = static_cast<std::uint32_t>(random.below(2 * meanPromptTokens));
                // One answer in ten is long, the others are short.
                const auto outputTokens = static_cast<std::uint32_t>(random.below(10) == 0 ? 200 + random.below(201) : 20 + random.below(115));
                out.push_back({ at, account, promptTokens, outputTokens });
            }
        }
        std::stable_sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
        return out;
    }

    struct account_result {
        std::uint64_t requests = 0;
        std::uint64_t completedInTime = 0;
        std::vector<duration> queueWaits; // of the requests that were dispatched
    };
    using all_results = std::array<account_result, accounts>;

    // Runs the trace through one queue in front of identical stream slots.
    all_results replay(const std::vector<traced_request>& trace, const policy_variant& chosenPolicy, fingerprint& decisions)
    {
        fairness_settings settings;
        settings.policy = chosenPolicy.policy;
        fair_queue queue(settings);
        queue.setWindow(maxStreams);
        all_results out;
        using completion = std::pair<instant, std::uint64_t>;
        std::priority_queue<completion, std::vector<completion>, std::greater<>> running;

        const auto dispatchWaiting = [&](instant now) {
            while (const auto next = queue.pop()) {
                const auto& request = trace[next->value()];
                decisions.fold(next->value());
                if (now >= request.at + deadline) {
                    queue.finished(*next, service_cost(), now); // refused: its deadline has passed
                    continue;
                }
                out[request.account].queueWaits.push_back(now - request.at);
                running.emplace(now + request.serviceTime(), next->value());
            }
        };
        const auto completeNext = [&] {
            const auto [at, number] = running.top();
            running.pop();
            const auto& request = trace[number];
            out[request.account].completedInTime += at <= request.at + deadline ? 1 : 0;
            queue.finished(queued_id(number), engineCost(token_count(request.promptTokens), {}, token_count(request.outputTokens)), at);
            dispatchWaiting(at);
        };

        for (std::uint64_t i = 0; i < trace.size(); ++i) {
            while (!running.empty() && running.top().first <= trace[i].at)
                completeNext();
            const auto& request = trace[i];
            ++out[request.account].requests;
            queued_request queued;
            queued.id = queued_id(i);
            queued.account = client_account_id("account-" + std::to_string(request.account));
            queued.estimate = engineCost(token_count(request.promptTokens), {}, token_count(2 * request.outputTokens));
            queued.deadline = request.at + (chosenPolicy.refusesUnmeetableDeadlines ? deadline : duration(24h));
            decisions.fold(static_cast<std::uint64_t>(queue.push(queued, request.at)));
            dispatchWaiting(request.at);
        }
        while (!running.empty())
            completeNext();
        return out;
    }

    double percentOf(std::uint64_t part, std::uint64_t whole)
    {
        return whole == 0 ? 0 : static_cast<double>(percentScale * part) / static_cast<double>(whole);
    }

    void printRow(const scenario& plan, const policy_variant& chosenPolicy, all_results results)
    {
        double worstShare = percentScale;
        duration worstWait {};
        std::uint64_t floodRequests = 0;
        std::uint64_t floodCompletedInTime = 0;
        std::uint64_t completedInTime = 0;
        for (std::uint32_t i = 0; i < accounts; ++i) {
            auto& result = results[i];
            completedInTime += result.completedInTime;
            if (i < plan.flooders) {
                floodRequests += result.requests;
                floodCompletedInTime += result.completedInTime;
                continue;
            }
            worstShare = std::min(worstShare, percentOf(result.completedInTime, result.requests));
            std::sort(result.queueWaits.begin(), result.queueWaits.end());
            if (!result.queueWaits.empty())
                worstWait = std::max(worstWait, result.queueWaits[result.queueWaits.size() * 99 / percentScale]);
        }
        std::printf("| %s | %s | %.1f %% | %.2f s | %s | %llu |\n", plan.name, chosenPolicy.name, worstShare,
            std::chrono::duration<double>(worstWait).count(),
            floodRequests == 0 ? "-" : (std::to_string(static_cast<int>(percentOf(floodCompletedInTime, floodRequests))) + " %").c_str(), static_cast<unsigned long long>(completedInTime));
    }

    // Nanoseconds of one push, pop and finish together, with `count` accounts waiting.
    double nanosecondsPerRequest(std::uint32_t count)
    {
        constexpr std::uint64_t rounds = 200000;
        fair_queue queue;
        queue.setWindow(maxStreams);
        std::vector<client_account_id> names;
        for (std::uint32_t i = 0; i < count; ++i)
            names.emplace_back("account-" + std::to_string(i));
        seeded_random random(traceSeed);
        std::uint64_t id = 0;
        const auto push = [&] {
            queued_request queued;
            queued.id = queued_id(++id);
            queued.account = names[id % count];
            queued.estimate = service_cost(static_cast<std::int64_t>(1 + random.below(100000)));
            queued.deadline = instant::max();
            queue.push(queued, instant(1h));
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
            for (const auto& chosenPolicy : policyVariants)
                printRow(plan, chosenPolicy, replay(trace, chosenPolicy, unused));
        }
        std::printf("\n| accounts waiting | ns per request (push, pop, end) |\n|---|---|\n");
        for (const std::uint32_t count : { 8U, 64U, 256U, 1000U })
            std::printf("| %u | %.0f |\n", count, nanosecondsPerRequest(count));
    }

    std::uint64_t run(fingerprint& decisions)
    {
        const char* table = std::getenv("LOVAGERAIL_TABLE");
        if (table != nullptr && std::string(table) == "fairness")
            printTables();
        std::uint64_t count = 0;
        for (const auto& plan : scenarios) {
            const auto trace = makeTrace(plan, 20s);
            for (const auto& chosenPolicy : policyVariants) {
                replay(trace, chosenPolicy, decisions);
                count += trace.size();
            }
        }
        return count;
    }

    const registration part("fairness", run);

} // namespace

} // namespace lovagerail::bench
