// Selectors: parses a fixed set of texts, and matches them against many label sets.
#include "bench.h"
#include "selector.h"

#include <array>

namespace {

using namespace lovagerail;

std::uint64_t runSelector(bench::fingerprint& into)
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
    std::uint64_t decisions = 0;

    // Step 1. Parse.
    for (int i = 0; i < parseRounds; ++i) {
        const auto kept = selector::keep(texts.at(static_cast<std::size_t>(i) % texts.size()));
        into.fold(kept.str());
        ++decisions;
    }

    // Step 2. Match.
    std::vector<selector> wanted;
    wanted.reserve(texts.size());
    for (const auto text : texts)
        wanted.push_back(selector::keep(text));
    constexpr std::array<const char*, 3> tiers { "gold", "silver", "bronze" };
    constexpr std::array<const char*, 4> domains { "caerdydd", "abertawe", "wrecsam", "sfdo-a" };
    for (int i = 0; i < matchRounds; ++i) {
        const auto n = static_cast<std::size_t>(i);
        const labels set {
            { "tier", tiers.at(n % tiers.size()) },
            { "failure_domain", domains.at(n / 3 % domains.size()) },
            { "kind", n % 5 == 0 ? "service" : "engine" },
            { "pool", "model-pool" },
            { n % 7 == 0 ? "urgent" : "size", "large" },
        };
        for (const auto& one : wanted) {
            into.fold(static_cast<std::uint64_t>(one.matches(set)));
            ++decisions;
        }
    }
    return decisions;
}

const bench::registration selectorPart("selector", runSelector);

} // namespace
