// Configuration: a day's share of changes applied to a fleet-sized set, route
// lookups, and edits planned and checked on the whole.
#include "bench.h"
#include "config_edit.h"

namespace {

using namespace lovagerail;

constexpr int accountCount = 1'000;
constexpr int poolCount = 20;
constexpr int routeCount = 100;

client_account accountOf(int number, std::uint64_t weight)
{
    client_account made;
    made.meta.name = "account-" + std::to_string(number);
    made.meta.labels = { { "tier", number % 10 == 0 ? "gold" : "silver" } };
    made.weight = weight;
    return made;
}

config_ptr fleetConfig()
{
    config_change change { revision(), revision(1), {}, {}, {}, {} };
    for (int i = 0; i < accountCount; ++i)
        change.puts.emplace_back(accountOf(i, 1));
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
        route on;
        on.meta.name = "route-" + std::to_string(i);
        on.pathPrefix = "/v" + std::to_string(i % 10) + "/part-" + std::to_string(i);
        on.targets = selector::keep("size=small");
        on.accounts = selector::keep("tier in (gold, silver)");
        change.puts.emplace_back(on);
    }
    return lovagerail::apply(nullptr, change).next;
}

std::uint64_t runConfig(bench::fingerprint& into)
{
    constexpr int changes = 39'000;
    constexpr int lookups = 500'000;
    constexpr int edits = 50;
    auto inForce = fleetConfig();
    std::uint64_t decisions = 0;

    // Step 1. A day's changes; every seventh comes again, every eleventh too early.
    for (int i = 0; i < changes; ++i) {
        const auto skip = i % 11 == 0 ? 1u : 0u;
        config_change change { revision(inForce->at().value() + skip), revision(inForce->at().value() + skip + 1), { accountOf(i % accountCount, 1 + i % 9) }, {}, {}, {} };
        const auto applied = lovagerail::apply(inForce, change);
        into.fold(toString(applied.outcome));
        inForce = applied.next;
        if (i % 7 == 0)
            into.fold(toString(lovagerail::apply(inForce, change).outcome));
        ++decisions;
    }
    into.fold(inForce->at().value());

    // Step 2. Routes.
    std::vector<std::string> paths;
    paths.reserve(2 * routeCount);
    for (int i = 0; i < 2 * routeCount; ++i)
        paths.push_back("/v" + std::to_string(i % 10) + "/part-" + std::to_string(i) + "/lines/7");
    for (int i = 0; i < lookups; ++i) {
        const auto* on = inForce->findRoute("POST", paths.at(static_cast<std::size_t>(i) % paths.size()));
        into.fold(on ? on->meta.name : std::string_view("none"));
        ++decisions;
    }

    // Step 3. Edits, each with a check of the whole.
    for (int i = 0; i < edits; ++i) {
        config_edit edit;
        edit.puts = { accountOf(i, i % 5 == 0 ? 0 : 77) };
        edit.who = "bench";
        const auto outcome = planEdit(*inForce, {}, edit);
        into.fold(outcome.index());
        if (const auto* plan = std::get_if<edit_plan>(&outcome))
            into.fold(plan->transaction.puts.front().value);
        ++decisions;
    }
    return decisions;
}

const bench::registration configPart("config", runConfig);

} // namespace
