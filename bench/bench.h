// Registry of benchmark parts. Each part replays a fixed input through one
// decision module on injected time and folds every decision into a fingerprint.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerail::bench {

// Order-sensitive 64-bit fold of decisions; equal on every machine.
class fingerprint {
public:
    void fold(std::uint64_t value);
    void fold(std::string_view text);
    std::uint64_t value() const { return m_value; }

private:
    std::uint64_t m_value = 0xcbf29ce484222325u; // FNV-1a offset basis
};

// Replays the part's input; returns the number of decisions taken.
using part_function = std::uint64_t (*)(fingerprint&);

struct part {
    std::string name;
    part_function run;
};

// Parts in the order of their names.
std::vector<part> allParts();

// A static object of this type in a bench/*.cpp file adds its part.
struct registration {
    registration(const char* name, part_function run);
};

} // namespace lovagerail::bench
