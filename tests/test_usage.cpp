// Tests of usage counting: each event is counted once, each request is charged once, segments
// are numbered without gaps, and copies of them catch up after losses.
#include "property.h"
#include "usage.h"
#include "usage_pull.h"

using namespace lovagerail;

namespace {

const usage_origin self { instance_id("i"), incarnation(1) };
constexpr wall_time start { std::chrono::hours(1000) };

attempt_usage attempt(unsigned request, unsigned number, usage_heading heading, std::uint64_t tokens)
{
    attempt_usage event;
    event.request = request_id("r" + std::to_string(request));
    event.attempt = attempt_id(number);
    event.account = client_account_id("a" + std::to_string(request % 3));
    event.model = model_id("m");
    event.pool = pool_id("p");
    event.target = target_id("t" + std::to_string(number % 2));
    event.heading = heading;
    event.counted.prefilled = token_count(100);
    event.counted.generated = token_count(tokens);
    event.counted.targetTime = std::chrono::milliseconds(tokens * 10);
    return event;
}

usage_figures sumOf(const usage_ledger& ledger, bool charged)
{
    usage_figures sum;
    for (const auto& [key, figures] : ledger.accounts) {
        if (isCharged(key.heading) == charged)
            sum += figures;
    }
    return sum;
}

usage_ledger sumOf(const std::vector<usage_batch>& batches)
{
    usage_ledger sum;
    for (const usage_batch& batch : batches)
        sum += batch.figures;
    return sum;
}

} // namespace

BOOST_AUTO_TEST_SUITE(usage_suite)

BOOST_AUTO_TEST_CASE(duplicatesAreCountedOnce)
{
    test::checkProperty("any order and repetition of events gives the figures of the distinct ones", [](const std::vector<std::uint8_t>& order) {
        usage_counter counter(self, {});
        std::set<std::uint8_t> distinct;
        std::uint64_t tokens = 0;
        for (const std::uint8_t number : order) {
            const bool fresh = distinct.insert(number).second;
            RC_ASSERT(counter.count(attempt(number, 0, usage_heading::Ended, number), start) == fresh);
            tokens += fresh ? number : 0;
        }
        const usage_ledger sum = sumOf(counter.closeSegment(start));
        RC_ASSERT(sumOf(sum, true).generated.count() == tokens);
        RC_ASSERT(sumOf(sum, true).requests == distinct.size());
        RC_ASSERT(counter.duplicateEvents() == order.size() - distinct.size());
    });
}

BOOST_AUTO_TEST_CASE(aRetriedRequestIsChargedOnce)
{
    usage_counter counter(self, {});
    counter.count(attempt(1, 1, usage_heading::Retried, 5), start);
    counter.count(attempt(1, 2, usage_heading::Ended, 7), start);
    counter.count(attempt(1, 3, usage_heading::Ended, 7), start); // a second complete answer
    const usage_ledger sum = sumOf(counter.closeSegment(start));
    BOOST_CHECK_EQUAL(sumOf(sum, true).requests, 1U);
    BOOST_CHECK_EQUAL(sumOf(sum, true).generated, token_count(7));
    BOOST_CHECK_EQUAL(sumOf(sum, false).generated, token_count(12));
    // The sum over targets includes all attempts.
    usage_figures overTargets;
    for (const auto& [target, usage] : sum.targets)
        overTargets += usage.counted;
    BOOST_CHECK_EQUAL(overTargets.generated, token_count(19));
}

BOOST_AUTO_TEST_CASE(aResumedAnswerIsChargedByParts)
{
    usage_counter counter(self, {});
    attempt_usage rest = attempt(1, 2, usage_heading::Ended, 4);
    rest.continuesAnswer = true;
    counter.count(attempt(1, 1, usage_heading::Resumed, 6), start);
    counter.count(rest, start);
    const usage_ledger sum = sumOf(counter.closeSegment(start));
    BOOST_CHECK_EQUAL(sumOf(sum, true).requests, 1U);
    BOOST_CHECK_EQUAL(sumOf(sum, true).generated, token_count(10));
    BOOST_CHECK_EQUAL(sumOf(sum, true).prefilled, token_count(100));
    BOOST_CHECK_EQUAL(sumOf(sum, false).prefilled, token_count(100));
}

BOOST_AUTO_TEST_CASE(refusalsAreCountedSeparately)
{
    usage_counter counter(self, {});
    const refused_usage refusal { request_id("r"), client_account_id("a"), model_id("m"), pool_id("p") };
    BOOST_CHECK(counter.count(refusal, start));
    BOOST_CHECK(!counter.count(refusal, start));
    const usage_ledger sum = sumOf(counter.closeSegment(start));
    BOOST_CHECK_EQUAL(sumOf(sum, false).refused, 1U);
    BOOST_CHECK_EQUAL(sumOf(sum, true).requests, 0U);
}

BOOST_AUTO_TEST_CASE(windowsNeverGoBack)
{
    test::checkProperty("segments stay gapless and in order of windows under a jumping calendar", [](const std::vector<std::int16_t>& jumps) {
        usage_counter counter(self, {});
        unsigned request = 0;
        for (const std::int16_t jump : jumps) {
            counter.count(attempt(++request, 0, usage_heading::Ended, 1), start + std::chrono::seconds(jump));
            if (jump % 3 == 0)
                counter.closeSegment(start + std::chrono::seconds(jump));
        }
        counter.closeSegment(start);
        segment_number expected;
        window_number window;
        std::uint64_t counted = 0;
        for (const auto& [number, segment] : counter.log().segments()) {
            RC_ASSERT(number == expected);
            RC_ASSERT(segment.window >= window);
            expected = segment.next;
            window = segment.window;
            counted += sumOf(segment.figures, true).requests;
        }
        RC_ASSERT(counted == jumps.size());
    });
}

BOOST_AUTO_TEST_CASE(copiesCatchUpAfterLostPushes)
{
    test::checkProperty("a holder stores all segments once pushes arrive again", [](const std::vector<std::uint8_t>& steps) {
        usage_counter counter(self, {});
        copy_sender sender;
        usage_copies holder({});
        const instance_id name("h");
        unsigned request = 0;
        const auto push = [&](bool arrives, bool acknowledged) {
            for (const auto& [to, segments] : sender.nextPushes(self, counter.log(), { name })) {
                const auto sent = copyPushFromJson(toJson(segments));
                RC_ASSERT(sent.has_value());
                const segment_number next = arrives ? holder.add(*sent, start) : segment_number();
                if (arrives && acknowledged)
                    sender.acknowledged(to, next);
                else
                    sender.failed(to);
            }
        };
        for (const std::uint8_t step : steps) {
            counter.count(attempt(++request, 0, usage_heading::Ended, 1), start);
            counter.closeSegment(start);
            push((step & 1u) != 0, (step & 2u) != 0);
            if (step % 16 == 5)
                holder = usage_copies({}); // restarted
            if (step % 16 == 9)
                counter.dropBelow(segment_number(counter.log().next().value() / 2));
        }
        for (int i = 0; i < 5; ++i)
            push(true, true);
        const segment_number from = counter.log().start();
        const window_number window = windowOf(start, {});
        RC_ASSERT(holder.batches(self, from, window) == counter.batches(from, window));
    });
}

BOOST_AUTO_TEST_CASE(storedCountersRoundTrip)
{
    usage_counter counter(self, {});
    for (unsigned i = 0; i < 5; ++i) {
        counter.count(attempt(i, i, usage_heading::Ended, i), start);
        counter.closeSegment(start);
    }
    const auto stored = countersFromValue(countersValue(counter.log()));
    BOOST_REQUIRE(stored);
    BOOST_REQUIRE_EQUAL(stored->size(), 5U);
    BOOST_CHECK(stored->front() == counter.log().segments().begin()->second);
    BOOST_CHECK(!countersFromValue("[{\"origin\": 1}]"));
    BOOST_CHECK(!countersFromValue("{"));
}

BOOST_AUTO_TEST_CASE(copiesWithMissingSegmentsAreNotReturned)
{
    usage_settings settings;
    settings.copyRetention = 2;
    usage_counter counter(self, settings);
    usage_copies holder(settings);
    wall_time now = start;
    copy_push push { self, segment_number(), {} };
    for (unsigned i = 0; i < 5; ++i) {
        counter.count(attempt(i, i, usage_heading::Ended, 1), now);
        for (const usage_batch& segment : counter.closeSegment(now))
            push.segments.push_back(segment);
        now += settings.windowLength;
    }
    holder.add(push, now);
    const window_number window = windowOf(now, settings);
    BOOST_CHECK_EQUAL(holder.batches(self, segment_number(), window).size(), 5U);
    holder.expire(now);
    BOOST_CHECK(holder.batches(self, segment_number(), window).empty());
    BOOST_CHECK(!holder.batches(self, segment_number(4), window).empty());
}

BOOST_AUTO_TEST_CASE(copiesGoToOtherFailureDomainsFirst)
{
    const copy_candidate own { instance_id("i0"), failure_domain_id("a") };
    const std::vector<copy_candidate> live { own, { instance_id("i1"), failure_domain_id("a") }, { instance_id("i2"), failure_domain_id("b") },
        { instance_id("i3"), failure_domain_id("c") } };
    const auto two = copyHolders(own, live, 2);
    BOOST_REQUIRE_EQUAL(two.size(), 2U);
    for (const instance_id& holder : two)
        BOOST_CHECK(holder == instance_id("i2") || holder == instance_id("i3"));
    BOOST_CHECK_EQUAL(copyHolders(own, live, 5).size(), 3U);
}

BOOST_AUTO_TEST_SUITE_END()
