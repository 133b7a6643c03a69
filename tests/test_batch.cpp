// Tests of batch records: encoding round trips, key order, and recognising a batch head
// that this instance created itself.
#include "batch.h"

#include <boost/test/unit_test.hpp>

namespace lovagerail {
namespace {

    batch_head sampleHead()
    {
        batch_head head;
        head.id = batch_id("b1");
        head.owner = instance_id("edge-1");
        head.ownerIncarnation = incarnation(7);
        head.host = "h.example";
        head.path = "/p/1";
        head.account = client_account_id("acme");
        head.submitted = wall_time(std::chrono::milliseconds(1'700'000'000'123));
        head.items = 40;
        return head;
    }

    kv_entry entryOf(const batch_head& head, std::uint64_t created, std::uint64_t changed)
    {
        return { headKey(head.id), encodeHead(head), revision(created), revision(changed), {} };
    }

} // namespace

BOOST_AUTO_TEST_SUITE(batch_suite)

BOOST_AUTO_TEST_CASE(head_round_trip)
{
    const auto head = sampleHead();
    const auto read = decodeHead(head.id, encodeHead(head));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(encodeHead(*read) == encodeHead(head));
    BOOST_TEST(read->items == 40u);
    BOOST_TEST(!decodeHead(head.id, "[1,").has_value());
}

// A batch goes on by the route that it was accepted with, also where that has been removed.
BOOST_AUTO_TEST_CASE(the_decided_route_is_part_of_the_head)
{
    auto head = sampleHead();
    batch_route decided;
    decided.route.id = route_id("steps");
    decided.route.host = "h.example";
    decided.route.prefix = "/steps/";
    decided.route.services = { { service_id("pool"), 3 }, { service_id("spare"), 1 } };
    decided.route.singleVersion = true;
    decided.route.priority = -2;
    decided.route.maxAttempts = 4;
    decided.route.resultDeadline = std::chrono::milliseconds(7500);
    decided.route.itemTtl = std::chrono::seconds(40);
    decided.route.allowedRegions = std::set<region_id> { region_id("land") };
    decided.tokensPerEvent = 2.5;
    head.decided = decided;
    const auto read = decodeHead(head.id, encodeHead(head));
    BOOST_REQUIRE(read.has_value());
    BOOST_REQUIRE(read->decided.has_value());
    BOOST_TEST(encodeHead(*read) == encodeHead(head));
    const auto& route = read->decided->route;
    BOOST_TEST((route.kind == route_kind::Batch && route.singleVersion));
    BOOST_TEST(route.services.size() == 2u);
    BOOST_TEST(route.services[0].weight == 3u);
    BOOST_TEST(route.priority == -2);
    BOOST_TEST((route.resultDeadline == decided.route.resultDeadline && route.itemTtl == decided.route.itemTtl));
    BOOST_TEST((route.allowedRegions == decided.route.allowedRegions));
    BOOST_TEST(read->decided->tokensPerEvent == 2.5);
}

// Heads of older versions name no route; one by which nothing can run is none.
BOOST_AUTO_TEST_CASE(a_head_without_a_usable_route_has_none)
{
    for (const char* row : { R"({"owner":"a"})", R"({"owner":"a","route":7})", R"({"owner":"a","route":{"services":[]}})", R"({"owner":"a","route":{"services":[{"weight":1}]}})",
             R"({"owner":"a","route":{"services":[{"service":"s"}],"tokens_per_event":-1}})" }) {
        const auto head = decodeHead(batch_id("b"), row);
        BOOST_REQUIRE(head.has_value());
        BOOST_TEST(!head->decided.has_value(), row);
    }
    const auto longest = decodeHead(batch_id("b"), R"({"owner":"a","route":{"services":[{"service":"s"}],"item_ttl_ms":18446744073709551615}})");
    BOOST_TEST((longest->decided->route.itemTtl > duration {}));
}

BOOST_AUTO_TEST_CASE(page_round_trip)
{
    batch_result completed;
    completed.item = item_id("i1");
    completed.completed = true;
    completed.text = "one\ntwo";
    completed.versions = { weight_version(3), weight_version(4) };
    completed.score = "s";
    batch_result abandoned;
    abandoned.item = item_id("i2");
    const auto read = decodeBatchPage(encodeBatchPage({ completed, abandoned }));
    BOOST_REQUIRE(read.has_value());
    BOOST_REQUIRE(read->size() == 2u);
    BOOST_TEST((*read)[0].text == completed.text);
    BOOST_TEST(((*read)[0].versions == completed.versions));
    BOOST_TEST(!(*read)[1].completed);
    BOOST_TEST(!decodeBatchPage("{}").has_value());
}

BOOST_AUTO_TEST_CASE(page_keys_sort_by_page_number)
{
    BOOST_TEST(pageKey(batch_id("b"), 9) < pageKey(batch_id("b"), 10));
    BOOST_TEST(pageKey(batch_id("b"), 99) < pageKey(batch_id("b"), 100));
}

// Guards against treating a head as newly created when a submission is repeated while its
// batch is handed over to the same instance: the head names this instance as the owner, but
// results may already be stored.
BOOST_AUTO_TEST_CASE(a_rewritten_head_is_not_our_creation)
{
    const auto head = sampleHead();
    BOOST_TEST(isOwnCreation(entryOf(head, 5, 5), head));
    BOOST_TEST(!isOwnCreation(entryOf(head, 5, 9), head));
    auto later = head;
    later.submitted += std::chrono::seconds(3);
    BOOST_TEST(!isOwnCreation(entryOf(head, 5, 5), later));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
