// Bytes of a body or an answer, charged to a memory account with their spare room. Grows in place
// where the allocator can, and by little where the length isn't known: a body of some megabytes
// is never held twice.
#pragma once

#include "http/memory_account.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace lovagerail::http {

class byte_buffer {
public:
    byte_buffer() = default;
    explicit byte_buffer(memory_account_ptr account)
        : m_claim(std::move(account))
    {
    }
    byte_buffer(byte_buffer&& other) noexcept { swap(other); }
    byte_buffer& operator=(byte_buffer&& other) noexcept
    {
        byte_buffer(std::move(other)).swap(*this);
        return *this;
    }
    byte_buffer(const byte_buffer&) = delete;
    byte_buffer& operator=(const byte_buffer&) = delete;
    ~byte_buffer();

    // Makes room for so many bytes in all; false if the account has no room for them.
    bool reserve(std::size_t bytes);
    // False if the account has no room; nothing is appended then. `expected` bounds the spare room: the largest size
    // that the buffer may get.
    bool append(std::string_view bytes, std::size_t expected = std::string::npos);
    // Removes bytes from the front.
    void consume(std::size_t bytes);
    // Frees all memory.
    void clear();

    const char* data() const { return m_data + m_begin; }
    std::size_t size() const { return m_end - m_begin; }
    bool empty() const { return m_begin == m_end; }
    std::string_view view() const { return { data(), size() }; }
    std::string str() const { return std::string(view()); }
    operator std::string_view() const { return view(); } // NOLINT: a view of the bytes, for parsers
    const memory_account_ptr& account() const { return m_claim.account(); }

private:
    void swap(byte_buffer& other) noexcept;

    memory_claim m_claim; // of m_capacity bytes
    char* m_data = nullptr;
    std::size_t m_capacity = 0;
    std::size_t m_begin = 0; // <= m_end <= m_capacity
    std::size_t m_end = 0;
};

} // namespace lovagerail::http
