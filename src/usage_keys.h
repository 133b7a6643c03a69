// Names of the keys that closing of usage windows keeps in the key-value service.
#pragma once

#include "usage_window.h"

#include <array>
#include <cstdio>

namespace lovagerail::detail {

// Twelve digits, so that the order of keys is the order of windows.
inline std::string windowText(window_number window)
{
    std::array<char, 32> text {};
    const int length = std::snprintf(text.data(), text.size(), "%012llu", static_cast<unsigned long long>(window.value()));
    return { text.data(), static_cast<std::size_t>(length) };
}

// All parts of a sealed window stand under this prefix.
inline std::string sealedFolder(window_number window)
{
    return std::string(sealedPrefix) + windowText(window) + "/";
}

inline std::string sealedKey(window_number window, std::size_t part)
{
    std::array<char, 16> text {};
    const int length = std::snprintf(text.data(), text.size(), "%03zu", part);
    return sealedFolder(window) + std::string(text.data(), static_cast<std::size_t>(length));
}

inline std::string reportedKey(window_number window)
{
    return std::string(reportedPrefix) + windowText(window);
}

} // namespace lovagerail::detail
