// Tests of the ledger's codecs, their sizes at 8,192 samples, and the writes of a step.
#include "ledger.h"
#include "property.h"

namespace lovagerail::test {

namespace {

    payload_holder holder(std::uint32_t number)
    {
        return { instance_id("instance-" + std::to_string(number)), incarnation(number) };
    }

    sample_record sampleOf(std::uint32_t index, std::uint32_t spans)
    {
        sample_record sample;
        sample.group = group_number(index / 8);
        sample.sample = sample_number(index % 8);
        sample.attempt = attempt_id((std::uint64_t(0xffff'fff0) << 32) | index);
        sample.payload = digestOf(std::to_string(index));
        std::uint32_t next = 0;
        for (std::uint32_t i = 0; i < spans; ++i) {
            const std::uint32_t length = 1 + (index * 37 + i * 811) % 4'000;
            sample.spans.push_back({ weight_version(100'000 + i), next, next + length - 1 });
            next += length;
        }
        sample.holders = { holder(index % 20), holder(20 + index % 20) };
        return sample;
    }

    ledger_page anyPage()
    {
        ledger_page page;
        const auto groups = *rc::gen::inRange<std::uint32_t>(0, 8);
        for (std::uint32_t i = 0; i < groups; ++i)
            page.groups.push_back({ group_number(i), digestOf("p" + std::to_string(i)), i * 1'000, { holder(i % 3) } });
        const auto samples = *rc::gen::inRange<std::uint32_t>(0, 20);
        for (std::uint32_t i = 0; i < samples; ++i)
            page.samples.push_back(sampleOf(*rc::gen::inRange<std::uint32_t>(0, 9'000), *rc::gen::inRange<std::uint32_t>(0, 4)));
        return page;
    }

} // namespace

BOOST_AUTO_TEST_SUITE(ledger_suite)

BOOST_AUTO_TEST_CASE(pageRoundTrip)
{
    checkProperty("page round trip", [] {
        const ledger_page page = anyPage();
        const result<ledger_page> back = decodePage(encodePage(page));
        RC_ASSERT(back.has_value());
        RC_ASSERT(back->groups == page.groups);
        RC_ASSERT(back->samples == page.samples);
    });
}

BOOST_AUTO_TEST_CASE(damagedPagesAreRefused)
{
    checkProperty("page damage", [] {
        std::string bytes = encodePage(anyPage());
        const auto place = *rc::gen::inRange<std::size_t>(0, bytes.size());
        if (*rc::gen::arbitrary<bool>())
            bytes[place] = static_cast<char>(bytes[place] ^ (1 << *rc::gen::inRange(0, 8)));
        else
            bytes.resize(place);
        RC_ASSERT(!decodePage(bytes).has_value());
    });
}

BOOST_AUTO_TEST_CASE(headRoundTrip)
{
    checkProperty("head round trip", [] {
        ledger_head head;
        head.fencing = fencing_number(*rc::gen::arbitrary<std::uint32_t>());
        head.trainerVersion = weight_version(*rc::gen::arbitrary<std::uint64_t>());
        head.acknowledged = step_number(*rc::gen::arbitrary<std::uint64_t>());
        const auto steps = *rc::gen::inRange<std::uint32_t>(0, 4);
        for (std::uint32_t i = 0; i < steps; ++i) {
            const bool handed = *rc::gen::arbitrary<bool>();
            head.steps.push_back({ step_number(i), handed ? step_phase::HandedOver : step_phase::Open, i, handed, weight_version(i), { digestOf("a"), digestOf("b") } });
        }
        RC_ASSERT(decodeLedgerHead(encodeLedgerHead(head)).value() == head);
    });
    BOOST_TEST(!decodeLedgerHead("").has_value());
    BOOST_TEST(!decodeLedgerHead("[]").has_value());
    BOOST_TEST(!decodeLedgerHead("{\"acknowledged\":1}").has_value());
}

// A whole step of 8,192 samples in one page, three versions in each sample.
BOOST_AUTO_TEST_CASE(aStepFitsIntoOneStoredValue)
{
    ledger_page page;
    for (std::uint32_t i = 0; i < 8'192; ++i)
        page.samples.push_back(sampleOf(i, 3));
    const std::size_t bytes = encodePage(page).size();
    BOOST_TEST_MESSAGE("bytes a slot " << bytes / page.samples.size() << ", page " << bytes);
    BOOST_TEST(bytes <= maxPageBytes);
    BOOST_TEST(bytes <= page.samples.size() * bytesPerSlotBound(3));
    BOOST_TEST(maxPageRecords * bytesPerSlotBound(5) <= maxPageBytes);
}

BOOST_AUTO_TEST_CASE(writesOfAStep)
{
    using std::chrono::minutes;
    BOOST_TEST(writesPerStep(8'192, 1'024, minutes(6), minutes(1), 1) == 18u);
    BOOST_TEST(writesPerStep(8'192, 1'024, minutes(13), minutes(1), 1) == 25u);
    BOOST_TEST(writesPerStep(8'192, 1, minutes(6), minutes(6), 1) == 8'197u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail::test
