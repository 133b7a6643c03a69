// Bounds the memory that clients make a process hold, for the process as a whole.
//
// What clients send and hold open is charged before it is stored: connections, heads, bodies,
// answers and accepted batches. Large holdings and batches have limits below the total, so that
// whatever they take, a share is left for ordinary requests. The calls of the instances to each
// other have a limit beside the total. No I/O, no clock, no lock.
#pragma once

#include "types.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace lovagerail {

enum class memory_use : std::uint8_t {
    Connection, // an open connection, with room for a head
    Ordinary, // an open request with its head, and holdings of at most ordinaryHoldingBytes
    Large, // larger bodies and answers
    Batch, // accepted batches
    Own, // what other instances and the platform send, up to the size of an ordinary holding
    Count,
};

// A body or an answer up to this size counts as an ordinary holding.
constexpr std::size_t ordinaryHoldingBytes = 64 * 1024;

constexpr memory_use useFor(std::size_t bytes) { return bytes <= ordinaryHoldingBytes ? memory_use::Ordinary : memory_use::Large; }

struct memory_limits {
    byte_count total; // of all uses but Own
    byte_count keptForOrdinary; // of the total; large holdings and batches leave it free
    std::array<byte_count, static_cast<std::size_t>(memory_use::Count)> ofUse {};

    byte_count& of(memory_use use) { return ofUse[static_cast<std::size_t>(use)]; }
    byte_count of(memory_use use) const { return ofUse[static_cast<std::size_t>(use)]; }
};

class memory_budget {
public:
    explicit memory_budget(const memory_limits& limits)
        : m_limits(limits)
    {
    }

    // Charges the bytes if they fit.
    bool claim(memory_use use, byte_count bytes);
    // Charges bytes that can't be refused, such as those of a batch that is taken over.
    void charge(memory_use use, byte_count bytes);
    void release(memory_use use, byte_count bytes);
    // Whether so much could be claimed if nothing else were held.
    bool mayEverFit(memory_use use, byte_count bytes) const;

    byte_count used() const { return m_used; }
    byte_count usedBy(memory_use use) const { return m_usedBy[static_cast<std::size_t>(use)]; }
    const memory_limits& limits() const { return m_limits; }

private:
    byte_count totalFor(memory_use use) const;
    bool fits(memory_use use, byte_count bytes) const;

    memory_limits m_limits;
    byte_count m_used; // sum of m_usedBy without Own; above the total only by charge()
    std::array<byte_count, static_cast<std::size_t>(memory_use::Count)> m_usedBy {};
};

} // namespace lovagerail
