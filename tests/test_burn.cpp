// Tests of burn tracking: window counts compared with a direct count over all events,
// merging over instances, causes and alerts.
#include "burn.h"
#include "property.h"

using namespace lovagerail;
using namespace std::chrono_literals;

namespace {

const burn_scope scope { client_account_id("a"), pool_id("p") };
constexpr instant epoch { std::chrono::hours(100) };

std::map<burn_scope, objective_bounds> boundsOfAll()
{
    return { { burn_scope {}, { { burn_objective::Availability, { 990'000, {}, 0 } }, { burn_objective::FullAnswer, { 900'000, 1s, 0 } }, { burn_objective::Staleness, { 900'000, {}, 3 } } } } };
}

request_served answer(duration total, duration queued = 0ns, std::uint32_t attempts = 1)
{
    return { scope, request_served::outcome::Answered, std::nullopt, total, queued, attempts };
}

// Counts events whose bucket is among the `buckets` newest ones of the given length.
burn_counts countDirectly(const std::vector<std::pair<instant, bool>>& events, instant now, duration length, std::int64_t buckets)
{
    burn_counts counts;
    for (const auto& [at, good] : events) {
        const std::int64_t age = now.time_since_epoch() / length - at.time_since_epoch() / length;
        if (age < 0 || age >= buckets)
            continue;
        counts += good ? burn_counts { 1, 0 } : burn_counts { 0, 1 };
    }
    return counts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(burn_suite)

BOOST_AUTO_TEST_CASE(windowCountsEqualADirectCount)
{
    test::checkProperty("all windows", [](const std::vector<std::pair<std::uint16_t, bool>>& input) {
        burn_tracker tracker;
        tracker.setBounds(boundsOfAll());
        std::vector<std::pair<instant, bool>> events;
        instant now = epoch;
        for (const auto& [seconds, good] : input) {
            now += std::chrono::seconds(seconds % 2000);
            events.emplace_back(now, good);
            tracker.count(answer(good ? 1s : 1001ms), now);
        }
        now += std::chrono::seconds(input.size() * 37 % 4000);
        const burn_table table = tracker.statistics(now);
        const auto row = table.find({ scope, burn_objective::FullAnswer });
        if (row == table.end()) {
            RC_ASSERT(countDirectly(events, now, 1h, 5) == burn_counts {});
            return;
        }
        RC_ASSERT(row->second.windows[0] == countDirectly(events, now, 30s, 10));
        RC_ASSERT(row->second.windows[1] == countDirectly(events, now, 5min, 6));
        RC_ASSERT(row->second.windows[2] == countDirectly(events, now, 5min, 12));
        RC_ASSERT(row->second.windows[3] == countDirectly(events, now, 1h, 6));
        RC_ASSERT(row->second.series[3] == countDirectly(events, now - 15min, 5min, 1));
    });
}

BOOST_AUTO_TEST_CASE(mergedCountsEqualThoseOfOneInstance)
{
    test::checkProperty("events spread over instances", [](const std::vector<std::pair<std::uint8_t, bool>>& input) {
        burn_tracker combined;
        std::array<burn_tracker, 3> parts;
        combined.setBounds(boundsOfAll());
        for (burn_tracker& part : parts)
            part.setBounds(boundsOfAll());
        instant now = epoch;
        for (const auto& [number, good] : input) {
            now += std::chrono::seconds(number);
            const request_served event = answer(good ? 10ms : 2s, number % 2 == 0 ? 1500ms : 0ms);
            combined.count(event, now);
            parts[number % 3].count(event, now);
        }
        burn_table merged;
        for (burn_tracker& part : parts) {
            const auto sent = burnTableFromJson(toJson(part.statistics(now)));
            RC_ASSERT(sent.has_value());
            merge(merged, *sent);
        }
        RC_ASSERT(toJson(merged) == toJson(combined.statistics(now)));
    });
}

BOOST_AUTO_TEST_CASE(causeOfBadEventsIsReported)
{
    const auto causeOf = [](const request_served& event) {
        burn_tracker tracker;
        tracker.setBounds(boundsOfAll());
        for (int i = 0; i < 10; ++i)
            tracker.count(event, epoch);
        const burn_report report = makeBurnReport(tracker.statistics(epoch));
        BOOST_REQUIRE(report.worstRow);
        BOOST_CHECK_EQUAL(*report.worstAccount, scope.account);
        return *report.worstRow->mainCause;
    };
    BOOST_CHECK(causeOf(answer(2s, 1s)) == burn_cause::Queued);
    BOOST_CHECK(causeOf(answer(2s, 100ms)) == burn_cause::SlowTarget);
    BOOST_CHECK(causeOf(answer(2s, 100ms, 2)) == burn_cause::Retried);
    BOOST_CHECK(causeOf({ scope, request_served::outcome::Refused, {}, 1ms, {}, 0 }) == burn_cause::Refused);
    BOOST_CHECK(causeOf({ scope, request_served::outcome::Failed, {}, 1ms, {}, 1 }) == burn_cause::Failed);
}

BOOST_AUTO_TEST_CASE(theWorstServedAccountIsNamed)
{
    burn_tracker tracker;
    tracker.setBounds(boundsOfAll());
    for (int i = 0; i < 100; ++i) {
        tracker.count(answer(i < 20 ? 2s : 1ms), epoch);
        request_served other = answer(i < 30 ? 2s : 1ms);
        other.scope.account = client_account_id("b");
        tracker.count(other, epoch);
        request_served rare = answer(2s);
        rare.scope.account = client_account_id("too few to judge");
        if (i < 5)
            tracker.count(rare, epoch);
    }
    const burn_report report = makeBurnReport(tracker.statistics(epoch));
    BOOST_REQUIRE(report.worstAccount);
    BOOST_CHECK_EQUAL(*report.worstAccount, client_account_id("b"));
    BOOST_CHECK_EQUAL(report.worstRow->burnMilli[2], 3000U);
}

BOOST_AUTO_TEST_CASE(alertsNeedBothWindows)
{
    burn_tracker tracker;
    tracker.setBounds(boundsOfAll());
    const request_served refused { scope, request_served::outcome::Refused, {}, 1ms, {}, 0 };
    const auto alertAt = [&tracker](instant now) {
        const auto table = tracker.statistics(now);
        const burn_key key { scope, burn_objective::Availability };
        burn_table one { { key, table.at(key) } };
        return makeBurnReport(one).rows.front().alert;
    };
    for (int i = 0; i < 50; ++i)
        tracker.count(refused, epoch);
    BOOST_CHECK(alertAt(epoch) == burn_alert::Page);
    BOOST_CHECK(alertAt(epoch + 10min) == burn_alert::Ticket); // out of the 5 min window, still in that of 30 min
    BOOST_CHECK(alertAt(epoch + 40min) == burn_alert::None);
}

BOOST_AUTO_TEST_CASE(specificBoundsOverrideGeneralOnes)
{
    burn_tracker tracker;
    auto bounds = boundsOfAll();
    bounds[{ scope.account, pool_id() }] = { { burn_objective::FullAnswer, { 500'000, 5s, 0 } } };
    tracker.setBounds(bounds);
    tracker.count(answer(3s), epoch);
    const auto table = tracker.statistics(epoch);
    BOOST_CHECK_EQUAL(table.at({ scope, burn_objective::FullAnswer }).windows[0].good, 1U);
    BOOST_CHECK_EQUAL(table.at({ scope, burn_objective::Availability }).windows[0].good, 1U);
    tracker.count(sample_delivered { scope, 4 }, epoch);
    BOOST_CHECK_EQUAL(tracker.statistics(epoch).at({ scope, burn_objective::Staleness }).windows[0].bad, 1U);
    // Cells without recent events are dropped.
    BOOST_CHECK(tracker.statistics(epoch + 7h).empty());
    BOOST_CHECK_EQUAL(tracker.cells(), 0U);
}

BOOST_AUTO_TEST_SUITE_END()
