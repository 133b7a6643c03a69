// Bounded map from prompt-prefix blocks to the targets that have them cached; see prefix_index.h.
#include "prefix_index.h"

#include <algorithm>
#include <cassert>
#include <xxhash.h>

namespace lovagerail {

// One pass over the prompt with a running hash: each digest covers all bytes up to its block.
std::vector<block_hash> hashPrompt(std::string_view prompt, std::size_t maxBlocks)
{
    std::vector<block_hash> hashes;
    const std::size_t count = std::min(maxBlocks, prompt.size() / prefixBlockBytes);
    hashes.reserve(count);
    XXH64_state_t* state = XXH64_createState();
    XXH64_reset(state, 0);
    while (hashes.size() < count) {
        XXH64_update(state, prompt.data() + hashes.size() * prefixBlockBytes, prefixBlockBytes);
        hashes.emplace_back(XXH64_digest(state));
    }
    XXH64_freeState(state);
    return hashes;
}

prefix_index::prefix_index(prefix_index_settings settings)
    : m_settings(settings)
{
}

// The slot's entries stay in the map until overwritten or evicted, but with an old
// generation they are invalid.
void prefix_index::clear(target_slot slot)
{
    slot_state& state = at(slot);
    const std::uint32_t generation = state.generation + 1;
    state = {};
    state.generation = generation;
}

void prefix_index::recordSent(target_slot slot, const std::vector<block_hash>& prompt, instant now)
{
    storeAll(slot, prompt, now);
}

void prefix_index::apply(target_slot slot, const cache_event& event, instant now)
{
    slot_state& state = at(slot);

    // Step 1. Check the sequence: a gap lowers the confidence, events in order restore it.
    const bool isLate = state.seen && event.seq <= state.lastSeq;
    if (!isLate) {
        const std::uint64_t missing = state.seen ? event.seq - state.lastSeq - 1 : 0;
        const double loss = std::min(1.0, static_cast<double>(missing) * m_settings.confidenceLoss);
        state.confidence *= 1 - loss;
        state.confidence += (1 - state.confidence) * m_settings.confidenceGain;
        state.confidence = std::max(state.confidence, m_settings.minConfidence);
        state.lastSeq = event.seq;
        state.seen = true;
    }

    // Step 2. Apply the event. A late "stored" or "cleared" is ignored, since newer events may
    // have reversed it; a late "removed" at worst loses a block that is cached again.
    switch (event.kind) {
    case cache_event_kind::Stored:
        if (isLate)
            return;
        storeAll(slot, event.hashes, now);
        return;
    case cache_event_kind::Removed:
        for (const block_hash hash : event.hashes)
            remove(slot, hash);
        return;
    case cache_event_kind::Cleared:
        if (!isLate)
            ++state.generation;
        return;
    }
}

// Expectations below one block are too small to learn the hit ratio from. The engine's
// number may exceed ours, so the ratio is capped at 1.
void prefix_index::recordCachedTokens(target_slot slot, token_count expected, token_count cached)
{
    if (expected < token_count(prefixBlockTokens))
        return;
    slot_state& state = at(slot);
    const double ratio = static_cast<double>(cached.count()) / static_cast<double>(expected.count());
    state.hitRatio += m_settings.learningRate * (std::min(ratio, 1.0) - state.hitRatio);
}

// Engines evict blocks from the end of a prefix, so a holder's match ends at its first
// missing block.
std::vector<prefix_match> prefix_index::match(const std::vector<block_hash>& prompt, instant now) const
{
    std::vector<prefix_match> found;
    std::uint32_t depth = 0;
    for (const block_hash hash : prompt) {
        const auto it = m_blocks.find(hash);
        if (it == m_blocks.end())
            break;
        ++depth;
        bool anyMatch = false;
        for (std::size_t i = 0; i < it->second.holderCount; ++i) {
            const holder& item = it->second.holders[i];
            if (!isValid(item, now))
                continue;
            if (depth == 1)
                found.push_back({ item.slot, 0, 0 });
            for (prefix_match& match : found) {
                if (match.slot != item.slot || match.blocks + 1 != depth)
                    continue;
                match.blocks = depth;
                anyMatch = true;
            }
        }
        if (!anyMatch)
            break;
    }
    for (prefix_match& match : found)
        match.expectedTokens = static_cast<double>(match.blocks * prefixBlockTokens) * expectedHitShare(match.slot);
    std::sort(found.begin(), found.end(), [](const prefix_match& left, const prefix_match& right) {
        return left.blocks != right.blocks ? left.blocks > right.blocks : left.slot < right.slot;
    });
    return found;
}

token_count prefix_index::expectedTokens(target_slot slot, const std::vector<block_hash>& prompt, instant now) const
{
    std::size_t blocks = 0;
    for (const block_hash hash : prompt) {
        const auto it = m_blocks.find(hash);
        if (it == m_blocks.end() || !holds(it->second, slot, now))
            break;
        ++blocks;
    }
    return token_count(static_cast<std::uint64_t>(static_cast<double>(blocks * prefixBlockTokens) * expectedHitShare(slot)));
}

double prefix_index::confidence(target_slot slot) const
{
    return slot.value() < m_slots.size() ? m_slots[slot.value()].confidence : 1.0;
}

prefix_index::slot_state& prefix_index::at(target_slot slot)
{
    if (slot.value() >= m_slots.size())
        m_slots.resize(slot.value() + 1);
    return m_slots[slot.value()];
}

bool prefix_index::holds(const block_entry& entry, target_slot slot, instant now) const
{
    for (std::size_t i = 0; i < entry.holderCount; ++i) {
        if (entry.holders[i].slot == slot)
            return isValid(entry.holders[i], now);
    }
    return false;
}

bool prefix_index::isValid(const holder& item, instant now) const
{
    const bool current = m_slots[item.slot.value()].generation == item.generation;
    return current && now - item.lastUsed < m_settings.maxAge;
}

// Stores from the end, so that the shortest prefixes, which most prompts share, are the
// most recently used and are evicted last.
void prefix_index::storeAll(target_slot slot, const std::vector<block_hash>& hashes, instant now)
{
    for (std::size_t remaining = hashes.size(); remaining > 0; --remaining)
        store(slot, hashes[remaining - 1], now);
}

// Adds or refreshes a holder. In a full entry an invalid holder is replaced, else the
// least recently used one.
void prefix_index::store(target_slot slot, block_hash hash, instant now)
{
    const std::uint32_t generation = at(slot).generation;
    auto it = m_blocks.find(hash);
    if (it == m_blocks.end()) {
        if (m_blocks.size() >= m_settings.maxBlocks) {
            m_blocks.erase(m_byAge.front());
            m_byAge.pop_front();
        }
        it = m_blocks.emplace(hash, block_entry {}).first;
        it->second.age = m_byAge.insert(m_byAge.end(), hash);
    } else {
        m_byAge.splice(m_byAge.end(), m_byAge, it->second.age);
    }
    assert(m_blocks.size() == m_byAge.size());

    block_entry& entry = it->second;
    std::size_t holderIndex = 0;
    while (holderIndex < entry.holderCount && entry.holders[holderIndex].slot != slot)
        ++holderIndex;
    if (holderIndex == maxHolders) {
        holderIndex = 0;
        for (std::size_t i = 1; i < maxHolders; ++i) {
            const bool older = entry.holders[i].lastUsed < entry.holders[holderIndex].lastUsed;
            const bool chosenValid = isValid(entry.holders[holderIndex], now);
            const bool otherValid = isValid(entry.holders[i], now);
            if (chosenValid != otherValid ? chosenValid : older)
                holderIndex = i;
        }
    }
    if (holderIndex == entry.holderCount)
        ++entry.holderCount;
    entry.holders[holderIndex] = { slot, generation, now };
}

void prefix_index::remove(target_slot slot, block_hash hash)
{
    const auto it = m_blocks.find(hash);
    if (it == m_blocks.end())
        return;
    block_entry& entry = it->second;
    for (std::size_t i = 0; i < entry.holderCount; ++i) {
        if (entry.holders[i].slot != slot)
            continue;
        entry.holders[i] = entry.holders[--entry.holderCount];
        break;
    }
    if (entry.holderCount > 0)
        return;
    m_byAge.erase(entry.age);
    m_blocks.erase(it);
}

double prefix_index::expectedHitShare(target_slot slot) const
{
    if (slot.value() >= m_slots.size())
        return 0;
    const slot_state& state = m_slots[slot.value()];
    return state.confidence * state.hitRatio;
}

} // namespace lovagerail
