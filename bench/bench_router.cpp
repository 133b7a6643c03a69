// Decisions of the router with 8 and 8,000 targets in one routing class. With
// LOVAGERAIL_TABLE=serving it also prints the time per decision for 8 to 8,000 targets.
#include "bench.h"
#include "router.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>

namespace lovagerail::bench {

namespace {

    using namespace std::chrono_literals;

    const routing_class_id models("models");

    listed_target makeTarget(std::uint32_t number)
    {
        listed_target listed;
        listed.id = target_id("target-" + std::to_string(number));
        listed.pool = pool_id("models");
        listed.failureDomain = failure_domain_id("domain-" + std::to_string(number % 7));
        listed.incarnation = incarnation(1);
        listed.labels["model"] = "m";
        return listed;
    }

    router makeRouter(std::uint32_t targets, policy_kind policy)
    {
        router_settings settings;
        settings.instance = "instance-1";
        settings.failureDomain = failure_domain_id("domain-1");
        settings.policy = policy;
        router created(settings);
        created.setClass(models, [](const target_record& record) { return record.labels.contains("model"); });
        for (std::uint32_t i = 0; i < targets; ++i)
            created.applyRow(makeTarget(i), instant { 1s });
        return created;
    }

    // Chooses targets for requests of 100 conversations, starts and ends them; each request stays in
    // flight for 50 decisions.
    void replayRequests(router& subject, std::uint64_t count, fingerprint& decisions)
    {
        std::vector<std::vector<block_hash>> prompts;
        prompts.reserve(100);
        for (int i = 0; i < 100; ++i)
            prompts.push_back(hashPrompt(std::string(4096, static_cast<char>('0' + i))));
        route_request request;
        request.routingClass = models;
        request.account = client_account_id("account-1");
        request.promptTokens = token_count(1024);
        request.expectedTokens = token_count(100);
        request.idempotent = true;
        instant now { 60s };
        for (std::uint64_t i = 1; i <= count; ++i) {
            now += 10ms;
            request.seed = i;
            request.promptBlocks = prompts[i * 7 % prompts.size()];
            const route_decision decision = subject.choose(request, now);
            const auto& choice = std::get<route_choice>(decision);
            decisions.fold(choice.slot.value());
            subject.started(attempt_id(i), choice, request, now);
            if (i <= 50)
                continue;
            subject.firstToken(attempt_id(i - 25), now);
            subject.ended(attempt_id(i - 50), { attempt_outcome::Success, token_count(50), token_count(512) }, now);
        }
    }

    // Time of choose() alone, on a router that has already handled 1,000 requests.
    double nanosecondsPerChoice(std::uint32_t targets, policy_kind policy)
    {
        constexpr std::uint64_t rounds = 20000;
        fingerprint unused;
        router subject = makeRouter(targets, policy);
        replayRequests(subject, 1000, unused);
        route_request request;
        request.routingClass = models;
        request.promptBlocks = hashPrompt(std::string(4096, '0'));
        request.promptTokens = token_count(1024);
        const auto begin = std::chrono::steady_clock::now();
        for (std::uint64_t i = 0; i < rounds; ++i) {
            request.seed = i;
            unused.fold(std::get<route_choice>(subject.choose(request, instant { 70s })).slot.value());
        }
        const std::chrono::duration<double, std::nano> elapsed = std::chrono::steady_clock::now() - begin;
        return elapsed.count() / static_cast<double>(rounds);
    }

    void printCosts()
    {
        std::printf("\nTime per decision, prompt of 64 blocks:\n\n| targets | expected_cost ns | least_outstanding ns |\n|--:|--:|--:|\n");
        for (const std::uint32_t targets : { 8u, 80u, 800u, 8000u }) {
            std::printf("| %u | %.0f | %.0f |\n", targets, nanosecondsPerChoice(targets, policy_kind::ExpectedCost),
                nanosecondsPerChoice(targets, policy_kind::LeastOutstanding));
        }
    }

    std::uint64_t run(fingerprint& decisions)
    {
        const char* table = std::getenv("LOVAGERAIL_TABLE");
        if (table != nullptr && std::string(table) == "serving")
            printCosts();
        constexpr std::uint64_t rounds = 5000;
        for (const std::uint32_t targets : { 8u, 8000u }) {
            router subject = makeRouter(targets, policy_kind::ExpectedCost);
            replayRequests(subject, rounds, decisions);
        }
        return 2 * rounds;
    }

    const registration routerBenchmark("router", run);

} // namespace

} // namespace lovagerail::bench
