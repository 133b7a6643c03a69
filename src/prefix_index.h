// Estimates which target has which prompt-prefix blocks in its KV cache, from the prompts
// that we sent there and from the engines' cache events, which come late and with gaps.
//
// Block hash i covers the first 64*(i+1) bytes of the prompt, so one hash identifies a
// whole prefix. The number of blocks is bounded; the least recently used are evicted. A
// gap in an engine's events lowers the confidence in its entries, and the numbers of
// cached tokens that engines report with their answers correct the estimate.
//
// match() is O(b * h) for b blocks of the prompt (bounded) and h holders of a
// block (bounded).
#pragma once

#include "target_table.h"
#include "types.h"

#include <array>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lovagerail {

using block_hash = number_id<struct block_hash_tag>;

constexpr std::size_t prefixBlockBytes = 64;
constexpr std::size_t prefixBlockTokens = 16; // four bytes of text per token

// Hashes of the prompt's leading blocks, at most maxBlocks of them.
std::vector<block_hash> hashPrompt(std::string_view prompt, std::size_t maxBlocks = 256);

enum class cache_event_kind { Stored,
    Removed,
    Cleared };

struct cache_event {
    std::uint64_t seq = 0;
    cache_event_kind kind = cache_event_kind::Stored;
    std::vector<block_hash> hashes;
};

struct prefix_index_settings {
    std::size_t maxBlocks = 32768;
    duration maxAge = std::chrono::minutes(10); // a block not used for longer counts as evicted
    double confidenceLoss = 0.02; // share of confidence lost per missing event
    double confidenceGain = 0.01; // share of the gap to full confidence regained per event in sequence
    double minConfidence = 0.3;
    double learningRate = 0.05; // weight of one reported number of cached tokens
};

// The part of a prompt that one target is expected to have cached.
struct prefix_match {
    target_slot slot;
    std::uint32_t blocks = 0;
    double expectedTokens = 0; // tokens of the blocks, times confidence and hit ratio
};

class prefix_index {
public:
    explicit prefix_index(prefix_index_settings settings = {});

    // The target restarted or left: its cache is empty.
    void clear(target_slot slot);
    // We sent this prompt to the target, which will cache it.
    void recordSent(target_slot slot, const std::vector<block_hash>& prompt, instant now);
    // Late, repeated or missing sequence numbers are allowed.
    void apply(target_slot slot, const cache_event& event, instant now);
    // The engine reported how many tokens of a prompt were cached; `expected` was our estimate.
    void recordCachedTokens(target_slot slot, token_count expected, token_count cached);

    // Targets that have a prefix of the prompt cached, longest first, then by slot.
    std::vector<prefix_match> match(const std::vector<block_hash>& prompt, instant now) const;
    // The expected cached tokens of a prompt at one target.
    token_count expectedTokens(target_slot slot, const std::vector<block_hash>& prompt, instant now) const;

    double confidence(target_slot slot) const;
    std::size_t blockCount() const { return m_blocks.size(); }

private:
    static constexpr std::size_t maxHolders = 6; // targets stored per block

    struct holder {
        target_slot slot;
        std::uint32_t generation = 0; // valid while equal to the slot's generation
        instant lastUsed;
    };
    struct block_entry {
        std::array<holder, maxHolders> holders;
        std::uint8_t holderCount = 0;
        std::list<block_hash>::iterator age; // position in m_byAge
    };
    struct slot_state {
        std::uint32_t generation = 1; // incremented by clear(), which makes all its holders invalid
        std::uint64_t lastSeq = 0;
        bool seen = false; // an event came since clear()
        double confidence = 1; // minConfidence..1
        double hitRatio = 1; // cached tokens reported per token expected, 0..1
    };

    slot_state& at(target_slot slot);
    bool holds(const block_entry& entry, target_slot slot, instant now) const;
    bool isValid(const holder& item, instant now) const;
    void storeAll(target_slot slot, const std::vector<block_hash>& hashes, instant now);
    void store(target_slot slot, block_hash hash, instant now);
    void remove(target_slot slot, block_hash hash);
    double expectedHitShare(target_slot slot) const;

    prefix_index_settings m_settings;
    std::unordered_map<block_hash, block_entry> m_blocks; // for lookups only, never iterated
    std::list<block_hash> m_byAge; // the keys of m_blocks, least recently used first
    std::vector<slot_state> m_slots;
};

} // namespace lovagerail
