// Tests of API keys: text form, unusual headers, refusals, and the convergence of deny marks.
#include "config_samples.h"
#include "object_codec.h"
#include "property.h"

#include <algorithm>
#include <set>

using namespace lovagerail;
using namespace lovagerail::test;

namespace {

std::string refusalOf(const key_table& table, const std::string& header)
{
    const auto outcome = table.authenticate(header);
    const auto* refusal = std::get_if<key_refusal>(&outcome);
    return refusal ? std::string(toString(*refusal)) : std::string();
}

key_id idOf(unsigned char fill)
{
    return key_id(sampleKey(fill).object.meta.name);
}

constexpr int keyCount = 4;

// Successive configurations in which keys are granted, withdrawn and deleted as
// config_check allows.
std::vector<config_ptr> anyKeyHistory()
{
    std::vector<config_ptr> states { configOf(1, { sampleAccount("mawr") }) };
    std::set<key_id> deleted;
    const int length = pick(1, 12);
    for (int i = 0; i < length; ++i) {
        const auto& now = *states.back();
        auto key = sampleKey(static_cast<unsigned char>(pick(0, keyCount))).object;
        const key_id id(key.meta.name);
        const auto* known = now.findKey(id);
        config_change change { now.at(), now.at().next(), {}, {}, {}, {} };
        if (known && known->withdrawn) {
            change.deletes.push_back({ object_kind::ApiKey, id.str() });
            deleted.insert(id);
        } else if (!deleted.contains(id)) {
            key.withdrawn = known != nullptr;
            change.puts.push_back(key);
        }
        states.push_back(successor(now, change));
    }
    return states;
}

} // namespace

BOOST_AUTO_TEST_SUITE(keys_suite)

BOOST_AUTO_TEST_CASE(made_key_authenticates_and_its_object_holds_no_secret)
{
    const auto made = sampleKey(7);
    key_table table;
    table.update(configOf(1, { sampleAccount("mawr"), made.object }));
    const auto outcome = table.authenticate("Bearer " + made.raw);
    const auto* holder = std::get_if<key_holder>(&outcome);
    BOOST_REQUIRE(holder);
    BOOST_TEST(holder->account == client_account_id("mawr"));
    BOOST_TEST(!holder->hasScope(operator_scope::Read));
    const auto secret = made.raw.substr(made.raw.rfind('_') + 1);
    BOOST_TEST(toText(toJson(config_object(made.object))).find(secret) == std::string::npos);
    BOOST_TEST(!makeKey(std::vector<unsigned char>(3)));
}

BOOST_AUTO_TEST_CASE(digest_is_sha256_of_salt_and_secret)
{
    // SHA-256 of "abc", split into salt "ab" and secret "c".
    BOOST_TEST(keyDigest("6162", "c") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    BOOST_TEST(keyDigest("zz", "c").empty());
    BOOST_TEST(!sameDigest("", ""));
}

BOOST_AUTO_TEST_CASE(unusual_and_malformed_headers)
{
    const auto raw = sampleKey(7).raw;
    key_table table;
    table.update(configOf(1, { sampleAccount("mawr"), sampleKey(7).object }));
    for (const auto& header : { "Bearer " + raw, "bearer   " + raw, "BEARER\t" + raw + " \t", "  Bearer " + raw })
        BOOST_TEST(refusalOf(table, header).empty(), "refused: " << refusalOf(table, header));
    for (const auto& header : { std::string(), std::string("  ") })
        BOOST_TEST(refusalOf(table, header) == "no key");
    const std::vector<std::string> malformed { raw, "Basic " + raw, "Bearer" + raw, std::string("Bearer"), std::string("Bearer "), "Bearer " + raw + ", Bearer " + raw, "Bearer " + raw + " x",
        "Bearer \"" + raw + "\"", "Bearer " + raw + std::string(1, '\0'), "Bearer " + raw + "\r\nX: y", "Bearer " + std::string(5'000, 'a'),
        "Bearer " + raw.substr(0, raw.size() - 1), "Bearer lr_zz_x", "Bearer lr_" };
    for (const auto& header : malformed)
        BOOST_TEST(refusalOf(table, header) == "malformed key");
    auto wrong = raw;
    wrong.back() = wrong.back() == 'A' ? 'E' : 'A';
    BOOST_TEST(refusalOf(table, "Bearer " + wrong) == "wrong key");
    BOOST_TEST(refusalOf(table, "Bearer " + sampleKey(8).raw) == "unknown key");
    BOOST_TEST(refusalOf({}, "Bearer " + raw) == "unknown key");
}

BOOST_AUTO_TEST_CASE(error_messages_never_quote_the_input)
{
    checkProperty("no secret in faults", [] {
        const auto noise = *rc::gen::container<std::string>(rc::gen::elementOf(std::string("Qq_- ,\"lr")));
        const auto token = bearerToken("Bearer QQQQQ" + noise);
        const auto key = parseKey("lr_QQQQQ" + noise);
        RC_ASSERT((token.has_value() || toString(token.error()).find("QQ") == std::string::npos));
        RC_ASSERT((!key && toString(key.error()).find("QQ") == std::string::npos));
    });
}

BOOST_AUTO_TEST_CASE(mark_revokes_at_once_and_is_dropped_when_the_configuration_covers_it)
{
    const auto made = sampleKey(7);
    key_table table;
    table.update(configOf(3, { sampleAccount("mawr"), made.object }));
    const auto mark = table.deny(idOf(7));
    BOOST_REQUIRE((mark && mark->has_value()));
    BOOST_TEST((**mark).knownAt == revision(3));
    BOOST_TEST(refusalOf(table, "Bearer " + made.raw) == "withdrawn key");
    BOOST_TEST(!table.isLive(idOf(7)));
    // A newer configuration that doesn't withdraw the key yet: the mark stays.
    table.update(configOf(4, { sampleAccount("mawr"), made.object }));
    BOOST_TEST(table.marks().size() == 1u);
    auto withdrawn = made.object;
    withdrawn.withdrawn = true;
    table.update(configOf(5, { sampleAccount("mawr"), withdrawn }));
    BOOST_TEST(table.marks().empty());
    BOOST_TEST(refusalOf(table, "Bearer " + made.raw) == "withdrawn key");
    BOOST_TEST(!table.deny(idOf(7))->has_value());
}

BOOST_AUTO_TEST_CASE(mark_outlives_an_older_configuration_without_the_key)
{
    // An instance with an older configuration learns of the withdrawal before the grant.
    key_table behind;
    behind.update(configOf(2, { sampleAccount("mawr") }));
    const deny_mark mark { idOf(7), revision(3) };
    BOOST_TEST(behind.merge({ &mark, 1 }).size() == 1u);
    behind.update(configOf(3, { sampleAccount("mawr"), sampleKey(7).object }));
    BOOST_TEST(!behind.isLive(idOf(7)));
}

BOOST_AUTO_TEST_CASE(a_key_that_is_not_known_here_cannot_be_marked)
{
    key_table table;
    BOOST_TEST(!table.deny(idOf(7)));
    table.update(configOf(2, { sampleAccount("mawr") }));
    const auto refused = table.deny(idOf(7));
    BOOST_TEST((!refused && refused.error().code == error_code::NotFound));
    BOOST_TEST(table.marks().empty());
}

BOOST_AUTO_TEST_CASE(the_smaller_revision_of_two_marks_stays)
{
    key_table table;
    const std::vector<deny_mark> marks { { idOf(7), revision(5) }, { idOf(7), revision(3) }, { idOf(7), revision(4) } };
    BOOST_TEST(table.merge(marks).size() == 1u);
    BOOST_TEST((table.marks() == std::vector<deny_mark> { marks[1] }));
}

BOOST_AUTO_TEST_CASE(marks_converge_in_any_order)
{
    checkProperty("deny marks converge", [] {
        // Step 1. Create marks at instances with different revisions in force.
        const auto states = anyKeyHistory();
        std::vector<deny_mark> made;
        const int withdrawals = pick(0, 6);
        for (int i = 0; i < withdrawals; ++i) {
            key_table issuer;
            issuer.update(*rc::gen::elementOf(states));
            const auto mark = issuer.deny(idOf(static_cast<unsigned char>(pick(0, keyCount))));
            if (mark && *mark)
                made.push_back(**mark);
        }

        // Step 2. Deliver them to two instances in different orders, with repeats, while both
        // advance through the revisions.
        std::vector<key_table> tables(2);
        for (auto& table : tables) {
            auto order = made;
            order.insert(order.end(), made.begin(), made.end());
            std::size_t revisionIndex = 0;
            std::set<key_id> delivered;
            while (!order.empty()) {
                const auto next = pick<std::size_t>(0, order.size());
                table.merge({ &order[next], 1 });
                delivered.insert(order[next].key);
                order.erase(order.begin() + static_cast<std::ptrdiff_t>(next));
                revisionIndex = pick(revisionIndex, std::min(revisionIndex + 2, states.size()));
                table.update(states[revisionIndex]);
                // Step 3. A key with a delivered mark stays refused from then on.
                for (const auto& key : delivered)
                    RC_ASSERT(!table.isLive(key));
            }
            table.update(states.back());
        }
        RC_ASSERT(tables[0].marks() == tables[1].marks());

        // Step 4. No mark is left that the last configuration covers.
        for (const auto& mark : tables[0].marks()) {
            const auto* known = states.back()->findKey(mark.key);
            RC_ASSERT((known && !known->withdrawn));
        }
        const auto decoded = denyMarksFromJson(toJson(std::span<const deny_mark>(made)));
        RC_ASSERT((decoded && *decoded == made));
    });
}

BOOST_AUTO_TEST_SUITE_END()
