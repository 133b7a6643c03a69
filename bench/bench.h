// Registry of benchmarks. Each benchmark replays a fixed input through one decision
// module on a simulated clock and hashes every decision into a fingerprint, so that a
// change of behaviour shows as a changed fingerprint.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerail::bench {

// Order-sensitive 64-bit FNV-1a hash of decisions; equal on every machine.
class fingerprint {
public:
    void fold(std::uint64_t value);
    void fold(std::string_view text);
    std::uint64_t value() const { return m_value; }

private:
    std::uint64_t m_value = 0xcbf29ce484222325u; // FNV-1a offset basis
};

// Replays the benchmark's input and returns the number of decisions taken.
using benchmark_function = std::uint64_t (*)(fingerprint&);

struct benchmark {
    std::string name;
    benchmark_function run;
};

// All registered benchmarks, sorted by name.
std::vector<benchmark> allBenchmarks();

// A static object of this type in a bench/*.cpp file registers its benchmark.
struct registration {
    registration(const char* name, benchmark_function run);
};

} // namespace lovagerail::bench
