// Which target holds which prompt-prefix blocks, guessed from what we sent and
// from the engines' cache events, which come late and with gaps.
//
// Block hash i covers the first 64*(i+1) bytes of the prompt, so one hash names a
// whole prefix. Memory is bounded by a count of blocks; the least recently
// touched are dropped. A gap in an engine's events lowers the confidence in it,
// and the cached tokens that engines report with answers correct it.
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

// Hashes of the prompt's leading blocks, at most mostBlocks of them.
std::vector<block_hash> hashPrompt(std::string_view prompt, std::size_t mostBlocks = 256);

enum class cache_event_kind { Stored,
    Removed,
    Cleared };

struct cache_event {
    std::uint64_t seq = 0;
    cache_event_kind kind = cache_event_kind::Stored;
    std::vector<block_hash> hashes;
};

struct prefix_index_settings {
    std::size_t mostBlocks = 32768;
    duration longestAge = std::chrono::minutes(10); // untouched for longer counts as evicted
    double confidenceLoss = 0.02; // share of confidence lost per missing event
    double confidenceGain = 0.01; // share of the doubt removed per event in sequence
    double lowestConfidence = 0.3;
    double learningRate = 0.05; // weight of one reported count of cached tokens
};

// What one target is expected to hold of a prompt.
struct prefix_match {
    target_slot slot;
    std::uint32_t blocks = 0;
    double expectedTokens = 0; // blocks' tokens times the confidence
};

class prefix_index {
public:
    explicit prefix_index(prefix_index_settings settings = {});

    // The target restarted or left: it holds nothing.
    void clear(target_slot slot);
    // We sent this prompt there, so it will hold it.
    void sent(target_slot slot, const std::vector<block_hash>& prompt, instant now);
    // Late, repeated or missing sequence numbers are allowed.
    void apply(target_slot slot, const cache_event& event, instant now);
    // The engine reported how much of the prompt was cached, against our guess.
    void observed(target_slot slot, token_count expected, token_count cached);

    // Targets that hold a prefix of the prompt, longest first, then by slot.
    std::vector<prefix_match> match(const std::vector<block_hash>& prompt, instant now) const;
    // The expected cached tokens of a prompt at one target.
    token_count expectedTokens(target_slot slot, const std::vector<block_hash>& prompt, instant now) const;

    double confidence(target_slot slot) const;
    std::size_t blockCount() const { return m_blocks.size(); }

private:
    static constexpr std::size_t mostHolders = 6; // targets remembered per block

    struct holder {
        target_slot slot;
        std::uint32_t generation = 0; // valid while it equals the slot's
        instant touched;
    };
    struct block_entry {
        std::array<holder, mostHolders> holders;
        std::uint8_t holderCount = 0;
        std::list<block_hash>::iterator age; // position in m_byAge
    };
    struct slot_state {
        std::uint32_t generation = 1; // grows with clear()
        std::uint64_t lastSeq = 0;
        bool seen = false; // an event came since clear()
        double confidence = 1; // lowestConfidence..1
        double hitRatio = 1; // cached tokens reported per token expected, 0..1
    };

    slot_state& at(target_slot slot);
    bool holds(const block_entry& entry, target_slot slot, instant now) const;
    bool isValid(const holder& item, instant now) const;
    void storeAll(target_slot slot, const std::vector<block_hash>& hashes, instant now);
    void store(target_slot slot, block_hash hash, instant now);
    void remove(target_slot slot, block_hash hash);
    double trust(target_slot slot) const;

    prefix_index_settings m_settings;
    std::unordered_map<block_hash, block_entry> m_blocks; // looked up only, never iterated
    std::list<block_hash> m_byAge; // least recently touched first; the keys of m_blocks
    std::vector<slot_state> m_slots;
};

} // namespace lovagerail
