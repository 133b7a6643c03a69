// Tests of selectors: syntax, errors with their column, matching against a reference model,
// and that printed selectors parse to the same requirements.
#include "property.h"
#include "selector.h"

#include <algorithm>
#include <set>

using namespace lovagerail;
using namespace lovagerail::test;

namespace {

bool matchesText(const std::string& text, const labels& set)
{
    const auto parsed = selector::parse(text);
    BOOST_REQUIRE_MESSAGE(parsed, text);
    return matches(*parsed, set);
}

std::string faultOf(const std::string& text)
{
    const auto parsed = selector::parse(text);
    return parsed ? "" : parsed.error().detail;
}

// Requirements over few keys and values, so that they often match the labels.
rc::Gen<std::string> anyWord(const char* first, const char* second)
{
    return rc::gen::element(std::string(first), std::string(second), std::string("x.y/z"));
}

rc::Gen<requirement> anyRequirement()
{
    return rc::gen::exec([] {
        requirement made;
        made.kind = *rc::gen::element(requirement_kind::In, requirement_kind::NotIn, requirement_kind::Exists, requirement_kind::Missing);
        made.key = *anyWord("tier", "in");
        if (made.kind == requirement_kind::In || made.kind == requirement_kind::NotIn) {
            const auto values = *rc::gen::container<std::vector<std::string>>(anyWord("", "notin"));
            std::set<std::string> distinct(values.begin(), values.end());
            distinct.insert(*anyWord("", "notin"));
            made.values.assign(distinct.begin(), distinct.end());
        }
        return made;
    });
}

// Reference implementation of matching one requirement.
bool isSatisfiedByModel(const requirement& one, const labels& set)
{
    const bool there = set.count(one.key) > 0;
    const bool listed = there && std::count(one.values.begin(), one.values.end(), set.at(one.key)) > 0;
    switch (one.kind) {
    case requirement_kind::In:
        return listed;
    case requirement_kind::NotIn:
        return !listed;
    case requirement_kind::Exists:
        return there;
    case requirement_kind::Missing:
        return !there;
    }
    return false;
}

std::string print(const requirement& one)
{
    if (one.kind == requirement_kind::Exists)
        return " " + one.key;
    if (one.kind == requirement_kind::Missing)
        return "! " + one.key + " ";
    std::string list;
    for (const auto& value : one.values)
        list += (&value == &one.values.front() ? " " : " ,") + value;
    return one.key + (one.kind == requirement_kind::In ? " in (" : " notin(") + list + ")";
}

} // namespace

BOOST_AUTO_TEST_SUITE(selector_suite)

BOOST_AUTO_TEST_CASE(each_form_matches_as_in_kubernetes)
{
    const labels set { { "tier", "gold" }, { "zone", "" } };
    for (const char* text : { "", "  ", "tier=gold", "tier == gold", "tier!=lead", "nothere!=x", "tier in (gold,lead)", "tier notin (lead)", "tier",
             "!nothere", "zone=", "zone in ()", "tier=gold, zone ,!nothere" })
        BOOST_TEST(matchesText(text, set), text);
    for (const char* text : { "tier=lead", "tier!=gold", "tier notin (gold)", "nothere=x", "nothere", "!tier", "tier=gold,tier=lead" })
        BOOST_TEST(!matchesText(text, set), text);
}

BOOST_AUTO_TEST_CASE(errors_name_the_column)
{
    BOOST_TEST(faultOf("tier=gold,") == "column 11: expected a label key");
    BOOST_TEST(faultOf("tier>gold") == "column 5: expected '=', '==', '!=', 'in', 'notin', ',' or the end");
    BOOST_TEST(faultOf("tier in gold") == "column 9: expected '('");
    BOOST_TEST(faultOf("tier in (gold") == "column 14: expected ',' or ')'");
    BOOST_TEST(faultOf("tier ! gold") == "column 7: expected '=' after '!'");
    BOOST_TEST(faultOf("tier=gold silver") == "column 11: expected ',' or the end");
    BOOST_TEST(faultOf("=x") == "column 1: expected a label key");
    BOOST_TEST(faultOf("tier=-x") == "column 6: expected a label value");
}

BOOST_AUTO_TEST_CASE(malformed_selector_matches_nothing_and_keeps_its_text)
{
    const auto kept = selector::parseLenient("tier ~ gold");
    BOOST_TEST(kept.fault().has_value());
    BOOST_TEST(!kept.matches({}));
    BOOST_TEST(kept.text() == "tier ~ gold");
}

BOOST_AUTO_TEST_CASE(matching_agrees_with_the_model_and_printing_parses_back)
{
    checkProperty("selector model", [] {
        const auto wanted = *rc::gen::container<std::vector<requirement>>(anyRequirement());
        labels set;
        for (const auto& key : *rc::gen::container<std::vector<std::string>>(anyWord("tier", "in")))
            set[key] = *anyWord("", "notin");
        std::string text;
        bool expected = true;
        for (const auto& one : wanted) {
            text += (text.empty() ? "" : ",") + print(one);
            expected = expected && isSatisfiedByModel(one, set);
        }
        const auto parsed = selector::parse(text);
        RC_ASSERT(parsed.has_value());
        RC_ASSERT(parsed->requirements() == wanted);
        RC_ASSERT(parsed->matches(set) == expected);
        const auto again = selector::parse(parsed->str());
        RC_ASSERT(again.has_value());
        RC_ASSERT(again->requirements() == wanted);
    });
}

BOOST_AUTO_TEST_CASE(any_text_parses_or_fails_cleanly)
{
    checkProperty("selector noise", [] {
        const auto text = *rc::gen::container<std::string>(rc::gen::elementOf(std::string("abin=!(), \t-")));
        const auto parsed = selector::parse(text);
        RC_ASSERT((parsed.has_value() || parsed.error().detail.starts_with("column ")));
    });
}

BOOST_AUTO_TEST_SUITE_END()
