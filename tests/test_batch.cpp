// Tests of batch records: what is written can be read, and whose write it was.
#include "batch.h"

#include <boost/test/unit_test.hpp>

namespace lovagerail {
namespace {

    batch_head sampleHead()
    {
        batch_head head;
        head.id = batch_id("b1");
        head.owner = instance_id("edge-1");
        head.ownerLife = incarnation(7);
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

BOOST_AUTO_TEST_CASE(heads_come_back_as_written)
{
    const auto head = sampleHead();
    const auto read = decodeHead(head.id, encodeHead(head));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(encodeHead(*read) == encodeHead(head));
    BOOST_TEST(read->items == 40u);
    BOOST_TEST(!decodeHead(head.id, "[1,").has_value());
}

BOOST_AUTO_TEST_CASE(pages_come_back_as_written)
{
    batch_result done;
    done.item = item_id("i1");
    done.completed = true;
    done.text = "one\ntwo";
    done.versions = { weight_version(3), weight_version(4) };
    done.score = "s";
    batch_result given;
    given.item = item_id("i2");
    const auto read = decodeBatchPage(encodeBatchPage({ done, given }));
    BOOST_REQUIRE(read.has_value());
    BOOST_REQUIRE(read->size() == 2u);
    BOOST_TEST((*read)[0].text == done.text);
    BOOST_TEST(((*read)[0].versions == done.versions));
    BOOST_TEST(!(*read)[1].completed);
    BOOST_TEST(!decodeBatchPage("{}").has_value());
}

// Keys of pages sort like their numbers.
BOOST_AUTO_TEST_CASE(page_keys_are_in_order)
{
    BOOST_TEST(pageKey(batch_id("b"), 9) < pageKey(batch_id("b"), 10));
    BOOST_TEST(pageKey(batch_id("b"), 99) < pageKey(batch_id("b"), 100));
}

// A submission came again while its batch was handed over to the same instance: the
// head names us, but results stand behind it already.
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
