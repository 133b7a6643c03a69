// Configuration: applies the number of changes of one day to the configuration of a whole fleet,
// looks up routes, and plans edits, each of which validates the whole configuration.
#include "bench.h"
#include "config_edit.h"

namespace {

using namespace lovagerail;

constexpr int accountCount = 1'000;
constexpr int poolCount = 20;
constexpr int routeCount = 100;

client_account makeAccount(int number, std::uint64_t weight)
{
    client_account account;
    account.meta.name = "account-" + std::to_string(number);
    account.meta.labels = { { "tier", number % 10 == 0 ? "gold" : "silver" } };
    account.weight = weight;
    return account;
}

config_ptr makeFleetConfig()
{
    config_change change { revision(), revision(1), {}, {}, {}, {} };
    for (int i = 0; i < accountCount; ++i)
        change.puts.emplace_back(makeAccount(i, 1));
    for (int i = 0; i < poolCount; ++i) {
        target_pool pool;
        pool.meta.name = "pool-" + std::to_string(i);
        pool.meta.labels = { { "size", i % 2 == 0 ? "small" : "large" } };
        pool.model = model_id("quotes");
        pool.ceiling = 400;
        pool.failureDomains = { failure_domain_id("a"), failure_domain_id("b") };
        change.puts.emplace_back(pool);
    }
    for (int i = 0; i < routeCount; ++i) {
        route added;
        added.meta.name = "route-" + std::to_string(i);
        added.pathPrefix = "/v" + std::to_string(i % 10) + "/part-" + std::to_string(i);
        added.targets = selector::parseLenient("size=small");
        added.accounts = selector::parseLenient("tier in (gold, silver)");
        change.puts.emplace_back(added);
    }
    return lovagerail::apply(nullptr, change).next;
}

std::uint64_t runConfigBenchmark(bench::fingerprint& decisions)
{
    constexpr int changes = 39'000;
    constexpr int lookups = 500'000;
    constexpr int edits = 50;
    auto current = makeFleetConfig();
    std::uint64_t decisionCount = 0;

    // Step 1. One day's changes; every seventh is delivered twice, every eleventh skips a revision.
    for (int i = 0; i < changes; ++i) {
        const auto revisionGap = i % 11 == 0 ? 1u : 0u;
        config_change change { revision(current->at().value() + revisionGap), revision(current->at().value() + revisionGap + 1), { makeAccount(i % accountCount, 1 + i % 9) }, {}, {}, {} };
        const auto applied = lovagerail::apply(current, change);
        decisions.fold(toString(applied.outcome));
        current = applied.next;
        if (i % 7 == 0)
            decisions.fold(toString(lovagerail::apply(current, change).outcome));
        ++decisionCount;
    }
    decisions.fold(current->at().value());

    // Step 2. Route lookups; half of the paths name no configured route.
    std::vector<std::string> paths;
    paths.reserve(2 * routeCount);
    for (int i = 0; i < 2 * routeCount; ++i)
        paths.push_back("/v" + std::to_string(i % 10) + "/part-" + std::to_string(i) + "/lines/7");
    for (int i = 0; i < lookups; ++i) {
        const auto* matchedRoute = current->findRoute("POST", paths.at(static_cast<std::size_t>(i) % paths.size()));
        decisions.fold(matchedRoute ? matchedRoute->meta.name : std::string_view("none"));
        ++decisionCount;
    }

    // Step 3. Edits, each with a validation of the whole configuration; every fifth sets a weight of 0.
    for (int i = 0; i < edits; ++i) {
        config_edit edit;
        edit.puts = { makeAccount(i, i % 5 == 0 ? 0 : 77) };
        edit.author = "bench";
        const auto outcome = planEdit(*current, {}, edit);
        decisions.fold(outcome.index());
        if (const auto* plan = std::get_if<edit_plan>(&outcome))
            decisions.fold(plan->transaction.puts.front().value);
        ++decisionCount;
    }
    return decisionCount;
}

const bench::registration configBenchmark("config", runConfigBenchmark);

} // namespace
