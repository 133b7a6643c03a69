// Bounded map from prompt-prefix blocks to the targets that hold them; see prefix_index.h.
#include "prefix_index.h"

#include <algorithm>
#include <cassert>
#include <xxhash.h>

namespace lovagerail {

// Hashes grow with the prompt in one pass: each digest covers all bytes so far.
std::vector<block_hash> hashPrompt(std::string_view prompt, std::size_t mostBlocks)
{
    std::vector<block_hash> hashes;
    const std::size_t count = std::min(mostBlocks, prompt.size() / prefixBlockBytes);
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

// Old holders stay in the map until touched or dropped, but no longer count.
void prefix_index::clear(target_slot slot)
{
    slot_state& state = at(slot);
    const std::uint32_t generation = state.generation + 1;
    state = {};
    state.generation = generation;
}

void prefix_index::sent(target_slot slot, const std::vector<block_hash>& prompt, instant now)
{
    storeAll(slot, prompt, now);
}

void prefix_index::apply(target_slot slot, const cache_event& event, instant now)
{
    slot_state& state = at(slot);

    // Step 1. Judge the sequence: a gap lowers the confidence, order restores it.
    const bool late = state.seen && event.seq <= state.lastSeq;
    if (!late) {
        const std::uint64_t missing = state.seen ? event.seq - state.lastSeq - 1 : 0;
        const double loss = std::min(1.0, static_cast<double>(missing) * m_settings.confidenceLoss);
        state.confidence *= 1 - loss;
        state.confidence += (1 - state.confidence) * m_settings.confidenceGain;
        state.confidence = std::max(state.confidence, m_settings.lowestConfidence);
        state.lastSeq = event.seq;
        state.seen = true;
    }

    // Step 2. Take it. A late "stored" or "cleared" may have been undone since, a
    // late "removed" only costs a guess.
    switch (event.kind) {
    case cache_event_kind::Stored:
        if (late)
            return;
        storeAll(slot, event.hashes, now);
        return;
    case cache_event_kind::Removed:
        for (const block_hash hash : event.hashes)
            remove(slot, hash);
        return;
    case cache_event_kind::Cleared:
        if (!late)
            ++state.generation;
        return;
    }
}

// Only guesses of some size teach the ratio; the engine's count may exceed ours.
void prefix_index::observed(target_slot slot, token_count expected, token_count cached)
{
    if (expected < token_count(prefixBlockTokens))
        return;
    slot_state& state = at(slot);
    const double ratio = static_cast<double>(cached.count()) / static_cast<double>(expected.count());
    state.hitRatio += m_settings.learningRate * (std::min(ratio, 1.0) - state.hitRatio);
}

// Engines drop blocks from the end of a prefix, so a holder counts up to its
// first missing block.
std::vector<prefix_match> prefix_index::match(const std::vector<block_hash>& prompt, instant now) const
{
    std::vector<prefix_match> found;
    std::uint32_t depth = 0;
    for (const block_hash hash : prompt) {
        const auto it = m_blocks.find(hash);
        if (it == m_blocks.end())
            break;
        ++depth;
        bool any = false;
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
                any = true;
            }
        }
        if (!any)
            break;
    }
    for (prefix_match& match : found)
        match.expectedTokens = static_cast<double>(match.blocks * prefixBlockTokens) * trust(match.slot);
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
    return token_count(static_cast<std::uint64_t>(static_cast<double>(blocks * prefixBlockTokens) * trust(slot)));
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
    return current && now - item.touched < m_settings.longestAge;
}

// Stored from the end, so that the shortest prefixes, shared by most prompts, are
// the most recently touched and the last to be dropped.
void prefix_index::storeAll(target_slot slot, const std::vector<block_hash>& hashes, instant now)
{
    for (std::size_t left = hashes.size(); left > 0; --left)
        store(slot, hashes[left - 1], now);
}

// Adds or refreshes a holder. A full entry gives up an outdated holder, else the
// one untouched for longest.
void prefix_index::store(target_slot slot, block_hash hash, instant now)
{
    const std::uint32_t generation = at(slot).generation;
    auto it = m_blocks.find(hash);
    if (it == m_blocks.end()) {
        if (m_blocks.size() >= m_settings.mostBlocks) {
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
    std::size_t place = 0;
    while (place < entry.holderCount && entry.holders[place].slot != slot)
        ++place;
    if (place == mostHolders) {
        place = 0;
        for (std::size_t i = 1; i < mostHolders; ++i) {
            const bool older = entry.holders[i].touched < entry.holders[place].touched;
            const bool placeValid = isValid(entry.holders[place], now);
            const bool thisValid = isValid(entry.holders[i], now);
            if (placeValid != thisValid ? placeValid : older)
                place = i;
        }
    }
    if (place == entry.holderCount)
        ++entry.holderCount;
    entry.holders[place] = { slot, generation, now };
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

double prefix_index::trust(target_slot slot) const
{
    if (slot.value() >= m_slots.size())
        return 0;
    const slot_state& state = m_slots[slot.value()];
    return state.confidence * state.hitRatio;
}

} // namespace lovagerail
