// Tests of ring buffers: items keep their order, the capacity is respected, and nothing is
// lost between two threads.
#include "named_thread.h"
#include "ring.h"

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <memory>

using namespace lovagerail;

BOOST_AUTO_TEST_SUITE(ring_suite)

BOOST_AUTO_TEST_CASE(push_to_a_full_ring_does_not_move_the_item)
{
    wakeup reader;
    ring<std::unique_ptr<int>> items(2, reader);
    BOOST_TEST(items.tryPush(std::make_unique<int>(1)));
    BOOST_TEST(items.tryPush(std::make_unique<int>(2)));
    auto third = std::make_unique<int>(3);
    BOOST_TEST(!items.tryPush(std::move(third)));
    BOOST_TEST(third != nullptr);
}

BOOST_AUTO_TEST_CASE(two_threads_lose_nothing_and_keep_order)
{
    constexpr std::uint64_t count = 20'000;
    wakeup reader;
    ring<std::uint64_t> items(16, reader);
    named_thread producer("producer", [&] {
        for (std::uint64_t i = 0; i < count;) {
            std::uint64_t item = i;
            if (items.tryPush(std::move(item)))
                ++i;
        }
    });
    std::uint64_t expected = 0;
    std::uint64_t outOfOrder = 0;
    while (expected < count) {
        std::uint64_t got = 0;
        if (!items.tryPop(got)) {
            reader.wait(std::chrono::milliseconds(10));
            continue;
        }
        outOfOrder += got != expected;
        ++expected;
    }
    BOOST_TEST(outOfOrder == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
