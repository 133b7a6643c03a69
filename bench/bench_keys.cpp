// Keys: checks of good, wrong, unknown and withdrawn keys against 2,000, and marks that come and go.
#include "bench.h"
#include "keys.h"

#include <array>

namespace {

using namespace lovagerail;

std::uint64_t runKeys(bench::fingerprint& into)
{
    constexpr int keyCount = 2'000;
    constexpr int checks = 100'000;
    constexpr int markEvery = 500;

    // Step 1. Keys from fixed bytes.
    std::vector<std::string> headers;
    config_change change { revision(), revision(1), {}, {}, {}, {} };
    for (int i = 0; i < keyCount; ++i) {
        std::array<unsigned char, keyRandomBytes> random {};
        for (std::size_t at = 0; at < random.size(); ++at)
            random.at(at) = static_cast<unsigned char>((static_cast<std::size_t>(i) * 31 + at * 7 + (static_cast<std::size_t>(i) >> 8)) & 0xffu);
        random[0] = static_cast<unsigned char>(i & 0xff);
        random[1] = static_cast<unsigned char>(i >> 8);
        auto made = makeKey(random);
        made->object.account = client_account_id("account-" + std::to_string(i % 100));
        headers.push_back("Bearer " + made->raw);
        // Every tenth is never granted.
        if (i % 10 != 0)
            change.puts.emplace_back(made->object);
    }
    key_table table;
    table.update(lovagerail::apply(nullptr, change).next);

    // Step 2. Checks, with a withdrawal now and then and a wrong secret every thirteenth time.
    std::uint64_t decisions = 0;
    for (int i = 0; i < checks; ++i) {
        auto header = headers.at(static_cast<std::size_t>(i) * 37 % headers.size());
        if (i % 13 == 0)
            header.back() = header.back() == 'A' ? 'E' : 'A';
        const auto outcome = table.authenticate(header);
        if (const auto* holder = std::get_if<key_holder>(&outcome))
            into.fold(holder->account.str());
        else
            into.fold(toString(std::get<key_refusal>(outcome)));
        ++decisions;
        if (i % markEvery != 0)
            continue;
        const auto marked = table.deny(key_id(change.puts.empty() ? "" : metaOf(change.puts.at(static_cast<std::size_t>(i / markEvery))).name));
        into.fold(static_cast<std::uint64_t>(marked.has_value()));
        ++decisions;
    }
    into.fold(table.marks().size());
    return decisions;
}

const bench::registration keysPart("keys", runKeys);

} // namespace
