// Runs all parts, prints decisions per second of each and, last, the fingerprint of all.
// With LOVAGERAIL_TABLE=capacity-slopes it prints costs at growing sizes instead.
#include "bench.h"
#include "slopes.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string_view>

namespace lovagerail::bench {

namespace {

    std::vector<part>& registry()
    {
        static std::vector<part> parts;
        return parts;
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

std::vector<part> allParts()
{
    auto parts = registry();
    std::sort(parts.begin(), parts.end(), [](const part& a, const part& b) { return a.name < b.name; });
    return parts;
}

registration::registration(const char* name, part_function run)
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
    fingerprint all;
    for (const auto& part : allParts()) {
        fingerprint own;
        const auto begin = std::chrono::steady_clock::now();
        const auto decisions = part.run(own);
        const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - begin;
        std::printf("%-16s %10llu decisions %12.0f /s  %016llx\n", part.name.c_str(), static_cast<unsigned long long>(decisions),
            static_cast<double>(decisions) / taken.count(), static_cast<unsigned long long>(own.value()));
        all.fold(own.value());
    }
    constexpr std::uint64_t shown = 100'000'000;
    std::printf("Bench: %llu\n", static_cast<unsigned long long>(all.value() % shown));
    return 0;
}
