// Errors in settings files, as reported to operators.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerail {

// One error in a settings file.
struct settings_fault {
    std::string file;
    std::uint32_t line = 0; // 0: the whole file
    std::uint32_t column = 0;
    std::string message; // the key, and what was expected
};

template <typename Settings>
struct reading_of {
    Settings value;
    std::vector<settings_fault> faults; // `value` may only be used if there is none
};

// "FILE:LINE:COLUMN: message"
std::string toString(const settings_fault& fault);

// Returns the content of the file, or nothing if it can't be opened.
std::optional<std::string> readTextFile(const std::string& file);

} // namespace lovagerail
