// Growth of a byte buffer; see byte_buffer.h.
#include "http/byte_buffer.h"

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <new>
#include <utility>

namespace lovagerail::http {

namespace {

    constexpr std::size_t minCapacity = 1024;
    constexpr std::size_t leastGrowthBytes = 16 * 1024;
    constexpr std::size_t growthDivisor = 8; // of a large buffer: an eighth of it is spare room at most

    // Small buffers double; copying them is cheap, and there may be many appends.
    std::size_t grownCapacity(std::size_t needed, std::size_t capacity)
    {
        const std::size_t spare = capacity < ordinaryHoldingBytes / 2 ? capacity : capacity / growthDivisor;
        return std::max({ needed, capacity + spare, minCapacity });
    }

    // Where there is no room for that. Also then a large buffer doesn't grow, and maybe move, with each short append.
    std::size_t leastGrownCapacity(std::size_t needed)
    {
        if (needed <= ordinaryHoldingBytes)
            return needed;
        return (needed / leastGrowthBytes + 1) * leastGrowthBytes;
    }

} // namespace

byte_buffer::~byte_buffer() { std::free(m_data); }

void byte_buffer::swap(byte_buffer& other) noexcept
{
    std::swap(m_claim, other.m_claim);
    std::swap(m_data, other.m_data);
    std::swap(m_capacity, other.m_capacity);
    std::swap(m_begin, other.m_begin);
    std::swap(m_end, other.m_end);
}

bool byte_buffer::reserve(std::size_t bytes)
{
    if (bytes <= m_capacity)
        return true;
    if (!m_claim.resize(useFor(bytes), bytes))
        return false;
    auto* moved = static_cast<char*>(std::realloc(m_data, bytes));
    if (moved == nullptr)
        throw std::bad_alloc();
    m_data = moved;
    m_capacity = bytes;
    return true;
}

bool byte_buffer::append(std::string_view bytes, std::size_t expected)
{
    if (bytes.empty())
        return true;
    if (m_begin > 0 && m_end + bytes.size() > m_capacity) {
        std::memmove(m_data, m_data + m_begin, size());
        m_end -= m_begin;
        m_begin = 0;
    }
    const auto needed = m_end + bytes.size();
    if (needed > m_capacity) {
        const auto atMost = std::max(needed, expected);
        if (!reserve(std::min(grownCapacity(needed, m_capacity), atMost)) && !reserve(std::min(leastGrownCapacity(needed), atMost)))
            return false;
    }
    std::memcpy(m_data + m_end, bytes.data(), bytes.size());
    m_end += bytes.size();
    return true;
}

void byte_buffer::consume(std::size_t bytes)
{
    m_begin += std::min(bytes, size());
    if (!empty())
        return;
    m_begin = m_end = 0;
    if (m_capacity > ordinaryHoldingBytes)
        clear();
}

void byte_buffer::clear()
{
    std::free(m_data);
    m_data = nullptr;
    m_capacity = m_begin = m_end = 0;
    m_claim.reset();
}

} // namespace lovagerail::http
