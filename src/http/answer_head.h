// Reads the head of an answer line by line, as libcurl hands it out. libcurl reads more than HTTP has, for
// example any status of three digits; here such a head is refused, so that what is no answer is not taken for one.
#pragma once

#include "http/client.h"

#include <cstddef>
#include <string_view>

namespace lovagerail::http {

class answer_head {
public:
    answer_head() = default;
    // `maxBytes`: of all heads of the answer, interim ones included, and its trailers. `mayBeSecond`: the connection may
    // speak HTTP/2.
    answer_head(std::size_t maxBytes, bool mayBeSecond)
        : m_maxBytes(maxBytes)
        , m_mayBeSecond(mayBeSecond)
    {
    }

    // Takes the next line, with its end. Returns why the answer has to be broken off, or null.
    const char* add(std::string_view line);
    bool hasBegun() const { return m_bytes > 0; }
    // The final head has ended, by its blank line.
    bool hasEnded() const { return m_next == next_line::Trailer; }
    int status() const { return m_status; } // of the last sound status line; 0 = none
    // Of the last head; names in lower case.
    const header_list& headers() const { return m_headers; }

private:
    enum class next_line {
        Status,
        Field, // or the blank line
        Trailer,
    };

    const char* addField(std::string_view line);
    const char* framingFault(std::string_view writtenName, std::string_view name, std::string_view value) const;

    std::size_t m_maxBytes = 0;
    bool m_mayBeSecond = false;
    std::size_t m_bytes = 0;
    next_line m_next = next_line::Status;
    int m_status = 0;
    header_list m_headers;
};

} // namespace lovagerail::http
