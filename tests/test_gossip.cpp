// Tests of gossip and of the message codec: order and repeats of entries don't matter, all
// instances converge, expired entries don't come back, and the decoder survives any bytes.
#include "membership_world.h"
#include "property.h"

#include <algorithm>

namespace lovagerail {
namespace {

    using namespace std::chrono_literals;
    using test::membership_world;

    constexpr instant start { 1h };

    std::vector<gossip_entry> anyEntries()
    {
        const auto numbers = *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(0, 1u << 20));
        std::vector<gossip_entry> out;
        out.reserve(numbers.size());
        for (const auto number : numbers)
            out.push_back({ "deny/" + std::to_string(number % 7), (number >> 4) % 5, std::to_string((number >> 8) % 3), 1h, std::chrono::milliseconds(number % 1000) });
        return out;
    }

    gossip_message anyMessage()
    {
        membership_world world(5, *rc::gen::inRange<std::uint64_t>(0, 1u << 20));
        world.runPeriods(8);
        auto& node = world.nodes()[0];
        gossip_message out;
        out.members = node.members->compose(message_kind::ProbeRequest, membership_world::name(1));
        out.members.about = membership_world::name(3);
        for (const auto& entry : anyEntries())
            node.gossip.merge({ entry }, start);
        out.gossip = node.gossip.compose(nullptr, 5, start + 3s);
        out.inForce = revision(812);
        out.confirmedAgo = 1500ms;
        return out;
    }

} // namespace

BOOST_AUTO_TEST_SUITE(gossip_suite)

BOOST_AUTO_TEST_CASE(merge_does_not_depend_on_order_or_repeats)
{
    test::checkProperty("order", [] {
        auto entries = anyEntries();
        gossip_store left;
        left.merge(entries, start);
        auto shuffled = entries;
        std::reverse(shuffled.begin(), shuffled.end());
        gossip_store right;
        for (const auto& entry : shuffled)
            right.merge({ entry }, start);
        right.merge(entries, start + 1s);
        RC_ASSERT(left.digests() == right.digests());
        RC_ASSERT(left.size() == right.size());
        RC_ASSERT(left.merge(shuffled, start).empty());
        for (const auto& entry : entries)
            RC_ASSERT(left.find(entry.key).version >= entry.version);
    });
}

// An entry written at any instance reaches all, despite message loss and restarts.
BOOST_AUTO_TEST_CASE(all_instances_converge)
{
    test::checkProperty("spread", [] {
        const auto size = *rc::gen::inRange<std::size_t>(2, 17);
        membership_world world(size, *rc::gen::inRange<std::uint64_t>(0, 1u << 30));
        world.setLinkFilter([&world](std::size_t, std::size_t) { return world.random() % 10 >= 2; });
        for (std::size_t i = 0; i < 40; ++i) {
            auto& node = world.nodes()[world.random() % size];
            RC_ASSERT(node.gossip.put("load/" + std::to_string(i % 25), i, std::string(60, 'x'), 1h, world.now()).has_value());
            if (i % 4 == 0)
                world.runPeriods(1);
        }
        world.start(0, 2);
        world.setLinkFilter({});
        world.runPeriods(50);
        std::size_t known = 0;
        for (std::size_t i = 1; i < size; ++i)
            known = std::max(known, world.nodes()[i].gossip.size());
        for (const auto& node : world.nodes()) {
            RC_ASSERT(node.gossip.digests() == world.nodes()[0].gossip.digests());
            RC_ASSERT(node.gossip.size() >= known);
        }
    });
}

BOOST_AUTO_TEST_CASE(expired_entries_do_not_come_back)
{
    membership_world world(6, 11);
    world.runPeriods(20);
    BOOST_REQUIRE(world.nodes()[0].gossip.put("load/a", 1, "7", 8s, world.now()).has_value());
    // One instance gets the entry late.
    world.setLinkFilter([](std::size_t from, std::size_t to) { return from != 5 && to != 5; });
    world.runPeriods(3);
    world.setLinkFilter({});
    world.runPeriods(3);
    for (const auto& node : world.nodes())
        BOOST_TEST(node.gossip.size() == 1u);
    world.runPeriods(4);
    for (const auto& node : world.nodes())
        BOOST_TEST(node.gossip.size() == 0u);
    world.runPeriods(20);
    for (const auto& node : world.nodes())
        BOOST_TEST(node.gossip.size() == 0u);
}

BOOST_AUTO_TEST_CASE(entries_that_both_have_are_not_sent_again)
{
    gossip_store one;
    gossip_store other;
    for (int i = 0; i < 100; ++i)
        BOOST_REQUIRE(one.put("deny/" + std::to_string(i), 1, "5", 1h, start).has_value());
    for (int round = 0; round < 40; ++round)
        other.merge(one.compose(&other.digests(), 2, start).entries, start);
    BOOST_TEST((one.digests() == other.digests()));
    BOOST_TEST(one.compose(&other.digests(), 2, start).entries.empty());
    BOOST_TEST(!one.put(std::string(maxGossipKeyBytes + 1, 'k'), 1, "", 1h, start).has_value());
}

BOOST_AUTO_TEST_CASE(entries_of_one_message_are_bounded)
{
    gossip_store store;
    for (int i = 0; i < 100; ++i)
        BOOST_REQUIRE(store.put("load/" + std::to_string(i), 1, std::string(maxGossipValueBytes, 'v'), 1h, start).has_value());
    const gossip_digests nothing {};
    std::size_t bytes = 0;
    for (const auto& entry : store.compose(&nothing, 4, start).entries)
        bytes += entry.key.size() + entry.value.size();
    BOOST_TEST(bytes > 0u);
    BOOST_TEST(bytes <= maxEntryBytesPerMessage);
}

BOOST_AUTO_TEST_CASE(message_round_trip)
{
    test::checkProperty("codec", [] {
        const auto message = anyMessage();
        const auto text = toBase64(encodeGossip(message));
        const auto bytes = fromBase64(text);
        RC_ASSERT(bytes.has_value());
        const auto back = decodeGossip(*bytes);
        RC_ASSERT(back.has_value());
        RC_ASSERT(back->members.from == message.members.from);
        RC_ASSERT(back->members.updates == message.members.updates);
        RC_ASSERT(back->members.about == message.members.about);
        RC_ASSERT(back->members.digest == message.members.digest);
        RC_ASSERT(back->gossip.digests == message.gossip.digests);
        RC_ASSERT(back->gossip.entries == message.gossip.entries);
        RC_ASSERT(back->inForce == message.inForce);
        RC_ASSERT(back->confirmedAgo == message.confirmedAgo);
    });
}

// Truncated bytes are refused; altered ones never break the decoder's bounds.
BOOST_AUTO_TEST_CASE(damaged_messages_are_refused)
{
    test::checkProperty("damage", [] {
        const auto bytes = encodeGossip(anyMessage());
        const auto cut = *rc::gen::inRange<std::size_t>(0, bytes.size());
        RC_ASSERT(!decodeGossip(std::string_view(bytes).substr(0, cut)).has_value());
        auto altered = bytes;
        altered[cut] = static_cast<char>(*rc::gen::inRange(0, 256));
        const auto back = decodeGossip(altered);
        RC_ASSERT(!back || back->members.updates.size() <= maxUpdatesPerMessage);
    });
    BOOST_TEST(!fromBase64("ab!=").has_value());
    BOOST_TEST(!fromBase64("abc").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
