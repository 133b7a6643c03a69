// Keys: authenticates valid, wrong, unknown and withdrawn keys against a table of 2,000 keys, and
// withdraws a key from time to time.
#include "bench.h"
#include "keys.h"

#include <array>

namespace {

using namespace lovagerail;

std::uint64_t runKeysBenchmark(bench::fingerprint& decisions)
{
    constexpr int keyCount = 2'000;
    constexpr int checks = 100'000;
    constexpr int checksPerWithdrawal = 500;

    // Step 1. Keys made of fixed bytes, so that every run has the same ones.
    std::vector<std::string> headers;
    config_change change { revision(), revision(1), {}, {}, {}, {} };
    for (int i = 0; i < keyCount; ++i) {
        std::array<unsigned char, keyRandomBytes> random {};
        for (std::size_t at = 0; at < random.size(); ++at)
            random.at(at) = static_cast<unsigned char>((static_cast<std::size_t>(i) * 31 + at * 7 + (static_cast<std::size_t>(i) >> 8)) & 0xffu);
        random[0] = static_cast<unsigned char>(i & 0xff);
        random[1] = static_cast<unsigned char>(i >> 8);
        auto created = makeKey(random);
        created->object.account = client_account_id("account-" + std::to_string(i % 100));
        headers.push_back("Bearer " + created->raw);
        // Every tenth key is left out of the configuration, so that it is unknown to the table.
        if (i % 10 != 0)
            change.puts.emplace_back(created->object);
    }
    key_table table;
    table.update(lovagerail::apply(nullptr, change).next);

    // Step 2. Checks; every thirteenth has a wrong secret, and a key is withdrawn after every 500th.
    std::uint64_t decisionCount = 0;
    for (int i = 0; i < checks; ++i) {
        auto header = headers.at(static_cast<std::size_t>(i) * 37 % headers.size());
        if (i % 13 == 0)
            header.back() = header.back() == 'A' ? 'E' : 'A';
        const auto outcome = table.authenticate(header);
        if (const auto* holder = std::get_if<key_holder>(&outcome))
            decisions.fold(holder->account.str());
        else
            decisions.fold(toString(std::get<key_refusal>(outcome)));
        ++decisionCount;
        if (i % checksPerWithdrawal != 0)
            continue;
        const auto denied = table.deny(key_id(change.puts.empty() ? "" : metaOf(change.puts.at(static_cast<std::size_t>(i / checksPerWithdrawal))).name));
        decisions.fold(static_cast<std::uint64_t>(denied.has_value()));
        ++decisionCount;
    }
    decisions.fold(table.marks().size());
    return decisionCount;
}

const bench::registration keysBenchmark("keys", runKeysBenchmark);

} // namespace
