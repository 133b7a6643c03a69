// What is wrong with a settings file, in the words that an operator reads.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerail {

// One thing wrong with a settings file.
struct settings_fault {
    std::string file;
    std::uint32_t line = 0; // 0: the whole file
    std::uint32_t column = 0;
    std::string message; // the key and what was expected
};

template <typename Settings>
struct reading_of {
    Settings value;
    std::vector<settings_fault> faults; // empty: `value` may be used
};

// "FILE:LINE:COLUMN: message"
std::string toString(const settings_fault& fault);

// The whole file, or nothing if it can't be opened.
std::optional<std::string> readTextFile(const std::string& file);

} // namespace lovagerail
