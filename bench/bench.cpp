// Runs all benchmarks and prints the decisions per second and the fingerprint of each. The
// last line is the fingerprint over all of them, which changes with any decision.
// With LOVAGERAIL_TABLE=capacity-slopes it prints the cost of the modules at growing sizes instead.
#include "bench.h"
#include "slopes.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string_view>

namespace lovagerail::bench {

namespace {

    std::vector<benchmark>& registry()
    {
        static std::vector<benchmark> benchmarks;
        return benchmarks;
    }

    constexpr std::uint64_t fnvPrime = 0x100000001b3u;

} // namespace

void fingerprint::fold(std::uint64_t value)
{
    for (int shift = 0; shift < 64; shift += 8) {
        m_value ^= (value >> shift) & 0xffu;
        m_value *= fnvPrime;
    }
}

void fingerprint::fold(std::string_view text)
{
    for (const char c : text) {
        m_value ^= static_cast<unsigned char>(c);
        m_value *= fnvPrime;
    }
    fold(text.size());
}

std::vector<benchmark> allBenchmarks()
{
    auto benchmarks = registry();
    std::sort(benchmarks.begin(), benchmarks.end(), [](const benchmark& a, const benchmark& b) { return a.name < b.name; });
    return benchmarks;
}

registration::registration(const char* name, benchmark_function run)
{
    registry().push_back({ name, run });
}

} // namespace lovagerail::bench

int main()
{
    using namespace lovagerail::bench;
    const char* table = std::getenv("LOVAGERAIL_TABLE");
    if (table != nullptr && std::string_view(table) == "capacity-slopes") {
        printSlopes();
        return 0;
    }
    fingerprint combined;
    for (const auto& benchmark : allBenchmarks()) {
        fingerprint benchmarkFingerprint;
        const auto begin = std::chrono::steady_clock::now();
        const auto decisions = benchmark.run(benchmarkFingerprint);
        const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
        std::printf("%-16s %10llu decisions %12.0f /s  %016llx\n", benchmark.name.c_str(), static_cast<unsigned long long>(decisions),
            static_cast<double>(decisions) / elapsed.count(), static_cast<unsigned long long>(benchmarkFingerprint.value()));
        combined.fold(benchmarkFingerprint.value());
    }
    constexpr std::uint64_t printedRange = 100'000'000;
    std::printf("Bench: %llu\n", static_cast<unsigned long long>(combined.value() % printedRange));
    return 0;
}
