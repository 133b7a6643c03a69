// Encodes and decodes the ledger page of a training step: 8,192 samples, each generated on two
// weight versions.
#include "bench.h"
#include "ledger.h"

namespace lovagerail::bench {

namespace {

    constexpr std::uint32_t samplesPerStep = 8'192;
    constexpr std::uint32_t groupSize = 8;

    ledger_page makePage(std::uint64_t seed)
    {
        ledger_page page;
        for (std::uint32_t i = 0; i < samplesPerStep; ++i) {
            sample_record sample;
            sample.group = group_number(i / groupSize);
            sample.sample = sample_number(i % groupSize);
            sample.attempt = attempt_id((seed << 32) | i);
            sample.payload = digestOf(std::to_string(seed + i));
            const std::uint32_t split = 1 + (i * 37) % 900;
            sample.spans = { { weight_version(seed), 0, split - 1 }, { weight_version(seed + 1), split, 2 * split } };
            sample.holders = { { instance_id("entry-1"), incarnation(i % 4) }, { instance_id("entry-2"), incarnation(1) } };
            page.samples.push_back(sample);
        }
        return page;
    }

    std::uint64_t runLedgerBenchmark(fingerprint& decisions)
    {
        std::uint64_t records = 0;
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
            const std::string bytes = encodePage(makePage(seed));
            decisions.fold(bytes);
            const result<ledger_page> decoded = decodePage(bytes);
            records += decoded ? decoded->samples.size() : 0;
        }
        decisions.fold(records);
        return records;
    }

    const registration ledgerBenchmark("ledger", runLedgerBenchmark);

} // namespace

} // namespace lovagerail::bench
