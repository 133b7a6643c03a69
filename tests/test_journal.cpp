// Tests of the decision journal: size limit, lookup by subject, merge by time, text form.
#include "journal.h"
#include "property.h"

using namespace lovagerail;

namespace {

journal_entry entry(std::int64_t at, subject_kind kind, const std::string& subject)
{
    journal_entry made;
    made.at = wall_time(std::chrono::milliseconds(at));
    made.duty = "router";
    made.kind = kind;
    made.subject = subject;
    made.decision = "dispatch";
    made.reason = "shortest expected wait";
    made.facts = { { "target", "t1" }, { "attempt", "7" } };
    return made;
}

} // namespace

BOOST_AUTO_TEST_SUITE(journal_suite)

BOOST_AUTO_TEST_CASE(sizeStaysBounded)
{
    test::checkProperty("any entries, any length", [](const std::vector<std::string>& texts, std::uint16_t repeat) {
        constexpr byte_count limit(20'000);
        decision_journal journal(instance_id("i"), limit);
        std::size_t recorded = 0;
        for (unsigned i = 0; i < repeat % 200u; ++i) {
            for (const std::string& text : texts) {
                journal_entry made = entry(i, subject_kind::Request, text + std::string(i * 7, 'x'));
                made.reason = text + std::string(i * 50, 'y');
                journal.record(made);
                ++recorded;
            }
        }
        RC_ASSERT(journal.size() <= limit);
        RC_ASSERT(journal.entries() + journal.dropped() == recorded);
    });
}

BOOST_AUTO_TEST_CASE(findsEntriesAboutASubjectAndEntriesThatNameIt)
{
    decision_journal journal(instance_id("i"));
    journal.record(entry(1, subject_kind::Request, "r1"));
    journal.record(entry(2, subject_kind::Request, "r2"));
    journal.record(entry(3, subject_kind::Target, "t1"));
    BOOST_CHECK_EQUAL(journal.about(subject_kind::Request, "r1").size(), 1U);
    BOOST_CHECK_EQUAL(journal.about(subject_kind::Target, "t1").size(), 3U); // two dispatches name it in a fact
    BOOST_CHECK(journal.about(subject_kind::Target, "7").empty()); // the fact names an attempt, not a target
    BOOST_CHECK(journal.about(subject_kind::Sample, "r1").empty());
}

BOOST_AUTO_TEST_CASE(mergesInOrderOfTimeAndOnce)
{
    test::checkProperty("merged journals", [](const std::vector<std::uint8_t>& times) {
        std::array<decision_journal, 2> journals { decision_journal(instance_id("i")), decision_journal(instance_id("j")) };
        for (const std::uint8_t time : times)
            journals[time % 2].record(entry(time, subject_kind::Order, "o"));
        const auto first = journals[0].about(subject_kind::Order, "o");
        const auto second = journals[1].about(subject_kind::Order, "o");
        const auto merged = mergeJournals({ second, first, second });
        RC_ASSERT(merged.size() == times.size());
        RC_ASSERT(std::is_sorted(merged.begin(), merged.end(), [](const auto& left, const auto& right) { return left.at < right.at; }));
        const auto back = journalFromJson(toJson(merged));
        RC_ASSERT(back.has_value());
        RC_ASSERT(*back == merged);
    });
}

BOOST_AUTO_TEST_CASE(textShowsDecisionReasonAndFacts)
{
    decision_journal journal(instance_id("i"));
    journal.record(entry(1'796'329'863'250, subject_kind::Request, "r1"));
    const std::string text = journalText(journal.about(subject_kind::Request, "r1"));
    BOOST_CHECK_EQUAL(text, "2026-12-03 20:31:03.250 UTC  i  router  REQUEST r1: dispatch\n    because shortest expected wait\n    target=t1\n    attempt=7\n");
    BOOST_CHECK(parseSubjectKind("ORDER"));
    BOOST_CHECK(!parseSubjectKind("order "));
    BOOST_CHECK(!journalFromJson(Json::Value("x")));
}

BOOST_AUTO_TEST_SUITE_END()
