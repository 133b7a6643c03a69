// Tests of the prefix index: the expected cache contents of a target follow sent prompts
// and cache events, memory is bounded, and event gaps lower only the confidence.
#include "prefix_index.h"
#include "property.h"

#include <set>

namespace lovagerail {
namespace {

    using namespace std::chrono_literals;

    std::string prompt(char family, std::size_t blocks)
    {
        std::string text;
        for (std::size_t i = 0; i < blocks * prefixBlockBytes; ++i)
            text += static_cast<char>(family + static_cast<char>(i / prefixBlockBytes % 3));
        return text;
    }

} // namespace

BOOST_AUTO_TEST_SUITE(prefix_index_suite)

BOOST_AUTO_TEST_CASE(hashes_identify_whole_prefixes)
{
    const auto longer = hashPrompt(prompt('a', 8) + "tail");
    const auto shorter = hashPrompt(prompt('a', 5));
    BOOST_REQUIRE(longer.size() == 8);
    BOOST_REQUIRE(shorter.size() == 5);
    BOOST_TEST(std::equal(shorter.begin(), shorter.end(), longer.begin()));
    std::string other = prompt('a', 8);
    other[0] = 'x';
    for (std::size_t i = 0; i < 8; ++i)
        BOOST_TEST(hashPrompt(other)[i] != longer[i]);
    BOOST_TEST(hashPrompt(prompt('a', 9), 4).size() == 4);
    BOOST_TEST(hashPrompt("short").empty());
}

// Without lost events and below the block limit, the index equals an exact model.
BOOST_AUTO_TEST_CASE(equals_a_model_without_losses)
{
    test::checkProperty("exact model", [] {
        prefix_index index;
        std::map<std::uint32_t, std::set<block_hash>> held;
        std::map<std::uint32_t, std::uint64_t> seq;
        const instant now { 1s };
        const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, 1u << 30));
        for (const std::uint32_t step : steps) {
            const target_slot slot((step >> 3) % 5);
            const auto blocks = hashPrompt(prompt(static_cast<char>('a' + (step >> 6) % 4), 1 + (step >> 8) % 12));
            auto& mine = held[slot.value()];
            switch (step % 5) {
            case 0:
            case 1:
                index.recordSent(slot, blocks, now);
                mine.insert(blocks.begin(), blocks.end());
                break;
            case 2:
                index.apply(slot, { ++seq[slot.value()], cache_event_kind::Stored, blocks }, now);
                mine.insert(blocks.begin(), blocks.end());
                break;
            case 3:
                index.apply(slot, { ++seq[slot.value()], cache_event_kind::Removed, { blocks.back() } }, now);
                mine.erase(blocks.back());
                break;
            default:
                if ((step >> 12) % 4 != 0)
                    break;
                index.clear(slot);
                seq[slot.value()] = 0;
                mine.clear();
            }
            for (std::uint32_t other = 0; other < 5; ++other) {
                std::size_t expected = 0;
                while (expected < blocks.size() && held[other].contains(blocks[expected]))
                    ++expected;
                RC_ASSERT(index.expectedTokens(target_slot(other), blocks, now) == token_count(expected * prefixBlockTokens));
                std::size_t matched = 0;
                for (const prefix_match& match : index.match(blocks, now))
                    matched = match.slot == target_slot(other) ? match.blocks : matched;
                RC_ASSERT(matched == expected);
            }
        }
    });
}

// With lost, late and repeated events, the bounds hold and the confidence stays in range.
BOOST_AUTO_TEST_CASE(bounds_hold_with_losses)
{
    test::checkProperty("bounds", [] {
        prefix_index_settings settings;
        settings.maxBlocks = 20;
        prefix_index index(settings);
        instant now { 1s };
        const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, 1u << 30));
        for (const std::uint32_t step : steps) {
            now += std::chrono::seconds(step % 100);
            const target_slot slot((step >> 3) % 20);
            const auto blocks = hashPrompt(prompt(static_cast<char>('a' + (step >> 6) % 20), 1 + (step >> 8) % 12));
            index.recordSent(slot, blocks, now);
            index.apply(slot, { (step >> 12) % 1000, static_cast<cache_event_kind>((step >> 20) % 3), blocks }, now);
            index.recordCachedTokens(slot, token_count(step % 100), token_count((step >> 7) % 100));
            RC_ASSERT(index.blockCount() <= 20u);
            RC_ASSERT(index.confidence(slot) >= settings.minConfidence && index.confidence(slot) <= 1);
            for (const prefix_match& match : index.match(blocks, now))
                RC_ASSERT(match.expectedTokens <= static_cast<double>(match.blocks * prefixBlockTokens));
        }
    });
}

BOOST_AUTO_TEST_CASE(gap_lowers_confidence_and_order_restores_it)
{
    prefix_index index;
    const target_slot slot(0);
    const instant now { 1s };
    const auto blocks = hashPrompt(prompt('a', 10));
    index.apply(slot, { 1, cache_event_kind::Stored, blocks }, now);
    index.apply(slot, { 12, cache_event_kind::Stored, {} }, now);
    const double doubted = index.confidence(slot);
    BOOST_TEST(doubted < 0.9);
    BOOST_TEST((index.expectedTokens(slot, blocks, now) > token_count(0)));
    for (std::uint64_t seq = 13; seq < 500; ++seq)
        index.apply(slot, { seq, cache_event_kind::Stored, {} }, now);
    BOOST_TEST(index.confidence(slot) > 0.95);
}

BOOST_AUTO_TEST_CASE(blocks_expire_and_reported_hits_correct_the_estimate)
{
    prefix_index index;
    const target_slot slot(0);
    const auto blocks = hashPrompt(prompt('a', 10));
    index.recordSent(slot, blocks, instant { 1s });
    BOOST_TEST((index.expectedTokens(slot, blocks, instant { 2s }) == token_count(160)));
    for (int i = 0; i < 100; ++i)
        index.recordCachedTokens(slot, token_count(160), token_count(40));
    BOOST_TEST((index.expectedTokens(slot, blocks, instant { 2s }) < token_count(60)));
    BOOST_TEST((index.expectedTokens(slot, blocks, instant { 1000s }) == token_count(0)));
    BOOST_TEST(index.match(blocks, instant { 1000s }).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
