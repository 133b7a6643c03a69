// Keys under which closed usage windows are stored in the key-value service.
#pragma once

#include "usage_window.h"

#include <array>
#include <cstdio>

namespace lovagerail::detail {

// Twelve digits, zero-padded, so that keys sort in the order of windows.
inline std::string windowDigits(window_number window)
{
    std::array<char, 32> text {};
    const int length = std::snprintf(text.data(), text.size(), "%012llu", static_cast<unsigned long long>(window.value()));
    return { text.data(), static_cast<std::size_t>(length) };
}

// Prefix of the keys of all parts of a sealed window.
inline std::string sealedWindowPrefix(window_number window)
{
    return std::string(sealedPrefix) + windowDigits(window) + "/";
}

inline std::string sealedKey(window_number window, std::size_t part)
{
    std::array<char, 16> text {};
    const int length = std::snprintf(text.data(), text.size(), "%03zu", part);
    return sealedWindowPrefix(window) + std::string(text.data(), static_cast<std::size_t>(length));
}

inline std::string reportedKey(window_number window)
{
    return std::string(reportedPrefix) + windowDigits(window);
}

} // namespace lovagerail::detail
