// Tests of the placement of copies, of the loss with one and two instances, and of the
// bounded store.
#include "payload_store.h"
#include "property.h"

#include <set>

namespace lovagerail::test {

namespace {

    std::vector<holder_candidate> fleet(std::size_t count, std::size_t domains, std::size_t folders)
    {
        std::vector<holder_candidate> all;
        for (std::size_t i = 0; i < count; ++i)
            all.push_back({ { instance_id("i" + std::to_string(i)), incarnation(1) }, failure_domain_id("d" + std::to_string(i % domains)), i < folders, false });
        return all;
    }

    bool has(const std::vector<payload_holder>& holders, const payload_holder& holder)
    {
        return std::find(holders.begin(), holders.end(), holder) != holders.end();
    }

} // namespace

BOOST_AUTO_TEST_SUITE(payload_store_suite)

BOOST_AUTO_TEST_CASE(copiesAreInDifferentFailureDomains)
{
    checkProperty("placement", [] {
        const auto count = *rc::gen::inRange<std::size_t>(1, 30);
        const auto domains = *rc::gen::inRange<std::size_t>(1, 8);
        const auto all = fleet(count, domains, *rc::gen::inRange<std::size_t>(0, 30));
        const auto chosen = chooseHolders(*rc::gen::arbitrary<std::string>(), all, 2);
        RC_ASSERT(chosen.size() == std::min<std::size_t>(2, count));
        std::set<failure_domain_id> distinct;
        for (const holder_candidate& candidate : all) {
            if (has(chosen, candidate.holder))
                distinct.insert(candidate.failureDomain);
        }
        RC_ASSERT(distinct.size() == std::min({ std::size_t(2), count, domains }));
    });
}

BOOST_AUTO_TEST_CASE(aRemovedInstanceMovesOnlyItsOwnCopies)
{
    checkProperty("stability", [] {
        auto all = fleet(12, 3, 0);
        const auto key = *rc::gen::arbitrary<std::string>();
        const auto before = chooseHolders(key, all, 2);
        const auto gone = *rc::gen::inRange<std::size_t>(0, all.size());
        RC_PRE(!has(before, all[gone].holder));
        all.erase(all.begin() + static_cast<std::ptrdiff_t>(gone));
        RC_ASSERT(chooseHolders(key, all, 2) == before);
    });
}

BOOST_AUTO_TEST_CASE(prefersDataFoldersAndAvoidsLeavingInstances)
{
    auto all = fleet(6, 3, 2);
    const auto chosen = chooseHolders("batch", all, 2);
    BOOST_TEST(has(chosen, all[0].holder));
    BOOST_TEST(has(chosen, all[1].holder));
    for (holder_candidate& candidate : all)
        candidate.leaving = true;
    BOOST_TEST(chooseHolders("batch", all, 2).size() == 2u);
    all[5].leaving = false;
    BOOST_TEST((chooseHolders("batch", all, 2).front() == all[5].holder));
}

// The loss of one instance loses no batch, that of two on average 2/(n(n-1)) of them.
BOOST_AUTO_TEST_CASE(batchesLostWithOneAndTwoInstances)
{
    const auto all = fleet(12, 12, 0);
    constexpr std::size_t batches = 2'000;
    std::size_t lostByTwo = 0;
    for (std::size_t i = 0; i < batches; ++i) {
        const auto chosen = chooseHolders("batch" + std::to_string(i), all, 2);
        BOOST_REQUIRE(chosen[0] != chosen[1]);
        lostByTwo += has(chosen, all[0].holder) && has(chosen, all[1].holder);
    }
    BOOST_TEST_MESSAGE("lost by two of 12: " << lostByTwo << " of " << batches);
    BOOST_TEST(lostByTwo > 15u);
    BOOST_TEST(lostByTwo < 50u);
}

BOOST_AUTO_TEST_CASE(theStoreKeepsConfirmedPayloadsAndRefusesOthers)
{
    checkProperty("store", [] {
        payload_store store(byte_count(3'000));
        std::map<std::pair<std::uint64_t, std::string>, payload_digest> kept;
        const auto texts = *rc::gen::arbitrary<std::vector<std::string>>();
        std::uint64_t step = 0;
        for (const std::string& text : texts) {
            step += text.size() % 2;
            const auto stored = store.put(run_id("r"), step_number(step), text);
            if (stored)
                kept[{ step, text }] = *stored;
            RC_ASSERT(store.used() <= byte_count(3'000));
        }
        for (const auto& [place, digest] : kept)
            RC_ASSERT(store.get(run_id("r"), step_number(place.first), digest).value() == place.second);
        RC_ASSERT(store.dropBelow(run_id("other"), step_number(step + 1)) == 0u);
        RC_ASSERT(store.dropBelow(run_id("r"), step_number(step + 1)) == kept.size());
        RC_ASSERT(store.used() == byte_count(0));
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail::test
