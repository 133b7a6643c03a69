// Tests of the choice between other instances and the store: the load patterns in which all
// instances lose their parent, the store, or start at once. Counts who turns to the store.
#include "property.h"
#include "view_source.h"

namespace lovagerail {
namespace {

    using namespace std::chrono_literals;

    constexpr duration stepTime = 50ms;
    constexpr std::size_t readers = 3;
    constexpr duration staleAge = 2s;

    // Instances in a tree whose first ones are the readers. Answers arrive within a step.
    struct fleet {
        explicit fleet(std::size_t size)
            : sources(size)
            , confirmedAt(size)
            , isUp(size, true)
        {
        }

        static std::size_t parentOf(std::size_t rank) { return (rank - 1) / 8; }

        void step(bool storeAnswers)
        {
            now += stepTime;
            for (std::size_t rank = 0; rank < sources.size(); ++rank) {
                if (!isUp[rank])
                    continue;
                std::vector<std::string> candidates;
                if (rank > 0)
                    candidates.push_back(std::to_string(parentOf(rank)));
                for (std::size_t reader = 0; reader < readers && rank >= readers; ++reader)
                    candidates.push_back(std::to_string(reader));
                auto& source = sources[rank];
                source.setSources(candidates, rank < readers, now);
                source.update(now - confirmedAt[rank] > staleAge * (rank < readers ? 8 : 10) / 10, true, now);
                if (source.readsStore(now)) {
                    ++storeReads;
                    if (rank >= readers)
                        ++readsOfOthers;
                    if (storeAnswers)
                        confirmedAt[rank] = now;
                    continue;
                }
                const auto asked = std::stoul(source.source());
                if (!isUp[asked]) {
                    source.onSilence(now);
                    continue;
                }
                source.onAnswer();
                confirmedAt[rank] = std::max(confirmedAt[rank], confirmedAt[asked]);
            }
        }

        duration oldest() const
        {
            duration out {};
            for (std::size_t rank = 0; rank < sources.size(); ++rank) {
                if (isUp[rank])
                    out = std::max(out, now - confirmedAt[rank]);
            }
            return out;
        }

        std::vector<view_source> sources;
        std::vector<instant> confirmedAt;
        std::vector<bool> isUp;
        instant now {};
        std::size_t storeReads = 0;
        std::size_t readsOfOthers = 0;
    };

} // namespace

BOOST_AUTO_TEST_SUITE(view_source_suite)

// While the store is away, only the readers turn to it, however many instances there are.
BOOST_AUTO_TEST_CASE(an_outage_of_the_store_makes_no_other_instance_read_from_it)
{
    std::vector<std::size_t> reads;
    for (const std::size_t size : { 30, 300 }) {
        fleet instances(size);
        for (int step = 0; step < 40; ++step)
            instances.step(true);
        instances.storeReads = 0;
        for (int step = 0; step < 200; ++step)
            instances.step(false);
        BOOST_TEST(instances.readsOfOthers == 0u);
        reads.push_back(instances.storeReads);
        for (int step = 0; step < 20; ++step)
            instances.step(true);
        BOOST_TEST((instances.oldest() < 1s));
    }
    BOOST_TEST(reads[0] == reads[1]);
}

// The root, and any one instance besides, may be lost: copies stay fresh without reads of the others.
BOOST_AUTO_TEST_CASE(a_lost_parent_is_replaced_by_a_reader)
{
    for (std::size_t lost = 0; lost < 30; ++lost) {
        fleet instances(100);
        for (int step = 0; step < 40; ++step)
            instances.step(true);
        instances.isUp[0] = instances.isUp[lost] = false;
        duration oldest {};
        for (int step = 0; step < 100; ++step) {
            instances.step(true);
            oldest = std::max(oldest, instances.oldest());
        }
        BOOST_TEST(instances.readsOfOthers == 0u);
        BOOST_TEST((oldest <= staleAge + 4 * stepTime));
    }
}

// An instance that reaches no other one reads from the store.
BOOST_AUTO_TEST_CASE(an_instance_cut_off_from_the_others_reads_from_the_store)
{
    fleet instances(40);
    for (int step = 0; step < 40; ++step)
        instances.step(true);
    for (std::size_t rank = 0; rank < 39; ++rank)
        instances.isUp[rank] = false;
    for (int step = 0; step < 100; ++step)
        instances.step(true);
    BOOST_TEST((instances.oldest() <= staleAge));
    BOOST_TEST(instances.readsOfOthers > 0u);
}

// When all start at once, an instance without a copy waits for one of a seed that is not up
// yet, but not for long: one whose copy never comes reads the store.
BOOST_AUTO_TEST_CASE(a_start_waits_for_the_seeds_before_it_reads_the_store)
{
    view_source source;
    instant now { 1h };
    source.setSources({ "a", "b" }, false, now);
    for (; now < instant { 1h + 400ms }; now += stepTime) {
        source.update(true, false, now);
        BOOST_TEST(!source.readsStore(now));
        source.onSilence(now);
    }
    for (; now < instant { 1h + 800ms }; now += stepTime)
        source.update(true, false, now);
    BOOST_TEST(source.readsStore(now));
}

// A seed that starts reads the store, and asks other seeds if that is away.
BOOST_AUTO_TEST_CASE(a_seed_that_starts_in_an_outage_asks_the_others)
{
    view_source source;
    instant now { 1h };
    source.setSources({ "a" }, true, now);
    source.update(true, false, now);
    BOOST_TEST(source.readsStore(now));
    now += 600ms;
    source.update(true, false, now);
    BOOST_TEST(!source.readsStore(now));
    BOOST_TEST(source.source() == "a");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
