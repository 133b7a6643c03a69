// Tests of the burn report as text, JSON and HTML: equal numbers in all of them, and names
// are escaped so that they can't inject markup.
#include "burn_report.h"
#include "property.h"

#include <cstdlib>
#include <fstream>

using namespace lovagerail;
using namespace std::chrono_literals;

namespace {

constexpr wall_time at { std::chrono::seconds(1'796'329'863) };

burn_table sampleTable()
{
    burn_tracker tracker;
    tracker.setBounds({ { burn_scope {}, { { burn_objective::Availability, { 999'000, {}, 0 } }, { burn_objective::FirstToken, { 990'000, 300ms, 0 } }, { burn_objective::FullAnswer, { 950'000, 2s, 0 } } } } });
    const std::array<const char*, 6> names { "cymru-valves", "merthyr-merchants", "<script>alert('x')</script>", "dyffryn \"counter\" & sons", "abertawe-depots", "wrecsam-trade-counter-with-a-very-long-name" };
    for (int minute = 0; minute < 60; ++minute) {
        const instant now { std::chrono::hours(100) + std::chrono::minutes(minute) };
        for (unsigned account = 0; account < names.size(); ++account) {
            for (unsigned i = 0; i < 40; ++i) {
                const bool slow = (i + static_cast<unsigned>(minute)) % (7 + account * 5) == 0 && minute > static_cast<int>(account * 8);
                request_served event { { client_account_id(names[account]), pool_id("model-pool") }, request_served::outcome::Answered, 100ms, 500ms, 10ms, 1 };
                event.firstToken = slow ? 900ms : 100ms;
                event.whole = slow && account % 2 == 0 ? 3s : 500ms;
                event.queued = account % 3 == 0 ? 800ms : 5ms;
                tracker.count(event, now);
            }
        }
    }
    return tracker.statistics(instant { std::chrono::hours(100) + 59min });
}

} // namespace

BOOST_AUTO_TEST_SUITE(burn_report_suite)

BOOST_AUTO_TEST_CASE(thePageIsSelfContainedAndEscaped)
{
    const std::string page = burnHtml(makeBurnReport(sampleTable()), { at, 4, 3 });
    BOOST_CHECK(page.find("<script") == std::string::npos);
    BOOST_CHECK(page.find("&lt;script&gt;") != std::string::npos);
    BOOST_CHECK(page.find("dyffryn &quot;counter&quot; &amp; sons") != std::string::npos);
    BOOST_CHECK(page.find("http") == std::string::npos);
    BOOST_CHECK(page.find("3 of 4 instances answered") != std::string::npos);
    BOOST_CHECK(page.find("prefers-color-scheme: dark") != std::string::npos);
    BOOST_CHECK(page.find("Burn rate (budget = 1)") != std::string::npos);
    BOOST_CHECK(page.find("nan") == std::string::npos);
    if (const char* file = std::getenv("BURN_PAGE"))
        std::ofstream(file) << page;
}

BOOST_AUTO_TEST_CASE(namesCannotInjectMarkup)
{
    test::checkProperty("tags open only where we open them", [](const std::string& name) {
        const std::string escaped = escapeHtml(name);
        RC_ASSERT(escaped.find_first_of("<>\"'") == std::string::npos);
        burn_table table;
        table[{ { client_account_id(name), pool_id(name) }, burn_objective::FullAnswer }].windows[2] = { 1, 20 };
        burn_table plain;
        plain[{ { client_account_id("x"), pool_id("x") }, burn_objective::FullAnswer }].windows[2] = { 1, 20 };
        const auto tags = [](const std::string& page) { return std::count(page.begin(), page.end(), '<'); };
        RC_PRE(!name.empty());
        RC_ASSERT(tags(burnHtml(makeBurnReport(table), {})) == tags(burnHtml(makeBurnReport(plain), {})));
    });
}

BOOST_AUTO_TEST_CASE(textAndJsonHoldTheSameNumbers)
{
    const burn_report report = makeBurnReport(sampleTable());
    const Json::Value json = burnJson(report, { at, 4, 4 });
    BOOST_CHECK_EQUAL(json["rows"].size(), report.rows.size());
    BOOST_CHECK_EQUAL(json["worst_account"].asString(), report.worstAccount->str());
    BOOST_CHECK_EQUAL(json["rows"][0]["windows"]["1h"]["burn_rate_milli"].asUInt64(), report.rows[0].burnMilli[2]);
    const std::string text = burnText(report, { at, 4, 4 }, 5);
    BOOST_CHECK(text.find("Worst served: " + report.worstAccount->str()) != std::string::npos);
    BOOST_CHECK(text.find(formatBurn(report.rows[0].burnMilli[2])) != std::string::npos);
    BOOST_CHECK(text.find("more rows") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(numbersAndBoundsAreFormatted)
{
    BOOST_CHECK_EQUAL(formatBurn(14'400), "14.4");
    BOOST_CHECK_EQUAL(formatBurn(49), "0.0");
    BOOST_CHECK_EQUAL(formatShare(999'000), "99.90%");
    BOOST_CHECK_EQUAL(formatShare(50'500), "5.05%");
    BOOST_CHECK_EQUAL(describeBound(burn_objective::FullAnswer, { 950'000, 2s, 0 }), "95.00% within 2 s");
    BOOST_CHECK_EQUAL(formatTime(at), "2026-12-03 20:31:03 UTC");
    BOOST_CHECK(burnHtml({}, { at, 0, 0 }).find("No objective") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
