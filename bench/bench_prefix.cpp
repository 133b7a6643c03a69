// The prefix index at its size limit: prefix matches, sent requests, and cache events with gaps in
// their sequence numbers.
#include "bench.h"
#include "prefix_index.h"
#include "router_policy.h"

namespace lovagerail::bench {

namespace {

    using namespace std::chrono_literals;

    std::uint64_t run(fingerprint& decisions)
    {
        constexpr std::uint64_t rounds = 10000;
        prefix_index index;
        std::vector<std::vector<block_hash>> prompts;
        for (std::uint64_t i = 0; i < 1000; ++i) {
            std::string text(512, 'a');
            text += std::string(2048 + 64 * (i % 32), static_cast<char>(' ' + i % 90));
            text[600 + i / 90] = 'z';
            prompts.push_back(hashPrompt(text));
        }
        seeded_random random(20261203);
        std::vector<std::uint64_t> seq(64);
        instant now { 60s };
        for (std::uint64_t i = 0; i < rounds; ++i) {
            now += 10ms;
            const auto& prompt = prompts[random.below(prompts.size())];
            const std::vector<prefix_match> matches = index.match(prompt, now);
            const auto number = static_cast<std::uint32_t>(random.below(64));
            const target_slot slot = matches.empty() ? target_slot(number) : matches.front().slot;
            index.recordSent(slot, prompt, now);
            seq[number] += 1 + random.below(2);
            index.apply(target_slot(number), { seq[number], cache_event_kind::Removed, { prompt.back() } }, now);
            decisions.fold(matches.size());
            decisions.fold(slot.value());
            decisions.fold(index.expectedTokens(slot, prompt, now).count());
        }
        return rounds;
    }

    const registration prefixBenchmark("prefix", run);

} // namespace

} // namespace lovagerail::bench
