// Cost of the configuration at 100, 1,000 and 10,000 objects with the changes of one day, and of
// checking a key among 100, 1,000 and 5,000 keys.
#include "config_edit.h"
#include "keys.h"
#include "object_codec.h"
#include "slopes.h"
#include "snapshot.h"

#include <array>

namespace lovagerail::bench {

namespace {

    constexpr std::uint64_t changesPerDay = 39'000;

    client_account makeAccount(std::uint64_t number, std::uint64_t weight)
    {
        client_account created;
        created.meta.name = "account-" + std::to_string(number);
        created.meta.labels = { { "tier", number % 10 == 0 ? "gold" : "silver" } };
        created.weight = weight;
        return created;
    }

    void measureConfig(std::uint64_t objects)
    {
        // Step 1. The whole configuration as an instance holds it, and the encoding of its local copy.
        const auto before = heapBytes();
        config_ptr current;
        {
            config_change all { revision(), revision(1), {}, {}, {}, {} };
            for (std::uint64_t i = 0; i < objects; ++i)
                all.puts.emplace_back(makeAccount(i, 1));
            current = lovagerail::apply(nullptr, all).next;
        }
        const auto held = heapBytes() - before;
        const auto full = current->full();
        const auto wire = toText(toJson(full)).size();
        const auto encode = nanosecondsEach(1, [&](std::uint64_t) { (void)encodeSnapshot({ full, {} }); });
        print({ "config", "encode the local copy", objects, held, encode, std::to_string(wire) + " B as one full change" });

        // Step 2. The changes of one day, applied one at a time.
        const auto begin = threadNanoseconds();
        for (std::uint64_t i = 0; i < changesPerDay; ++i) {
            const config_change change { current->at(), current->at().next(), { makeAccount(i % objects, 1 + i % 9) }, {}, {}, {} };
            current = lovagerail::apply(current, change).next;
        }
        const auto each = static_cast<double>(threadNanoseconds() - begin) / static_cast<double>(changesPerDay);
        const config_change singleChange { revision(1), revision(2), { makeAccount(1, 3) }, {}, {}, {} };
        print({ "config", "apply one of 39,000 changes", objects, heapBytes() - before, each, std::to_string(toText(toJson(singleChange)).size()) + " B a change" });

        // Step 3. An operator's edit, planned and checked by the instance that receives it.
        const auto plan = nanosecondsEach(3, [&](std::uint64_t round) {
            config_edit edit;
            edit.puts = { makeAccount(round, 77) };
            edit.author = "bench";
            (void)planEdit(*current, {}, edit);
        });
        print({ "config", "plan and check an edit", objects, 0, plan, "" });
    }

    void measureKeys(std::uint64_t count)
    {
        std::vector<std::string> headers;
        config_change change { revision(), revision(1), {}, {}, {}, {} };
        for (std::uint64_t i = 0; i < count; ++i) {
            std::array<unsigned char, keyRandomBytes> random {};
            for (std::size_t at = 0; at < random.size(); ++at)
                random.at(at) = static_cast<unsigned char>((i * 31 + at * 7) & 0xffu);
            random[0] = static_cast<unsigned char>(i & 0xffu);
            random[1] = static_cast<unsigned char>(i >> 8u);
            auto created = makeKey(random);
            if (!created)
                continue;
            created->object.account = client_account_id("account-" + std::to_string(i % 100));
            headers.push_back("Bearer " + created->raw);
            change.puts.emplace_back(created->object);
        }
        const auto before = heapBytes();
        key_table table;
        table.update(lovagerail::apply(nullptr, change).next);
        const auto held = heapBytes() - before;
        const auto each = nanosecondsEach(20'000, [&](std::uint64_t round) { (void)table.authenticate(headers[round * 37 % headers.size()]); });
        print({ "keys", "check one key", count, held, each, "" });
    }

} // namespace

void printConfigSlopes()
{
    for (const std::uint64_t objects : { 100u, 1000u, 10000u })
        measureConfig(objects);
    for (const std::uint64_t keys : { 100u, 1000u, 5000u })
        measureKeys(keys);
}

} // namespace lovagerail::bench
