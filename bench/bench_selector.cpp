// Selectors: parses a fixed set of selector texts, and matches them against many label sets.
#include "bench.h"
#include "selector.h"

#include <array>

namespace {

using namespace lovagerail;

std::uint64_t runSelectorBenchmark(bench::fingerprint& decisions)
{
    constexpr std::array<std::string_view, 8> texts {
        "tier=gold",
        "tier in (gold, silver), region notin (north)",
        "!batch, size != large",
        "kind=engine,pool=model-pool,failure_domain in (caerdydd,abertawe,wrecsam)",
        "",
        "experimental",
        "tier==bronze,urgent",
        "tier in (gold",
    };
    constexpr int parseRounds = 20'000;
    constexpr int matchRounds = 200'000;
    std::uint64_t decisionCount = 0;

    // Step 1. Parse.
    for (int i = 0; i < parseRounds; ++i) {
        const auto parsed = selector::parseLenient(texts.at(static_cast<std::size_t>(i) % texts.size()));
        decisions.fold(parsed.str());
        ++decisionCount;
    }

    // Step 2. Match.
    std::vector<selector> selectors;
    selectors.reserve(texts.size());
    for (const auto text : texts)
        selectors.push_back(selector::parseLenient(text));
    constexpr std::array<const char*, 3> tiers { "gold", "silver", "bronze" };
    constexpr std::array<const char*, 4> domains { "caerdydd", "abertawe", "wrecsam", "sfdo-a" };
    for (int i = 0; i < matchRounds; ++i) {
        const auto index = static_cast<std::size_t>(i);
        const labels labelSet {
            { "tier", tiers.at(index % tiers.size()) },
            { "failure_domain", domains.at(index / 3 % domains.size()) },
            { "kind", index % 5 == 0 ? "service" : "engine" },
            { "pool", "model-pool" },
            { index % 7 == 0 ? "urgent" : "size", "large" },
        };
        for (const auto& candidate : selectors) {
            decisions.fold(static_cast<std::uint64_t>(candidate.matches(labelSet)));
            ++decisionCount;
        }
    }
    return decisionCount;
}

const bench::registration selectorBenchmark("selector", runSelectorBenchmark);

} // namespace
