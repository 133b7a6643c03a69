// Tests of retries: no retry of non-idempotent work that may have run, and retry budgets
// over generated histories.
#include "property.h"
#include "retry.h"

namespace lovagerail {
namespace {

    using namespace std::chrono_literals;

    const instant start { 1h };

    BOOST_AUTO_TEST_SUITE(retry_suite)

    BOOST_AUTO_TEST_CASE(work_that_may_have_run_is_retried_only_if_idempotent)
    {
        test::checkProperty("unknown outcomes", [](std::uint64_t seed, bool idempotent, std::uint8_t attempts) {
            retry_policy subject;
            for (const auto outcome : { run_outcome::NotRun, run_outcome::Ran, run_outcome::Unknown }) {
                const auto decision = subject.decide("p", { outcome, idempotent, attempts, false, start + 1h, seed }, start);
                if (!idempotent && outcome != run_outcome::NotRun)
                    RC_ASSERT(decision.verdict == retry_verdict::MayHaveRun);
                RC_ASSERT(decision.verdict != retry_verdict::Retry || attempts < retry_settings().maxAttempts);
            }
        });
    }

    BOOST_AUTO_TEST_CASE(retries_are_bounded_by_successes_and_time)
    {
        test::checkProperty("budget", [](const std::vector<std::uint16_t>& steps) {
            const retry_settings settings;
            retry_policy subject(settings);
            instant now = start;
            std::uint64_t retries = 0;
            std::uint64_t successes = 0;
            for (const auto step : steps) {
                now += std::chrono::milliseconds(step % 16);
                if ((step >> 4) % 2 == 0) {
                    subject.succeeded("p", now);
                    ++successes;
                } else if (subject.decide("p", { run_outcome::NotRun, false, 1, false, now + 1h, step }, now).verdict == retry_verdict::Retry) {
                    ++retries;
                }
            }
            const auto seconds = std::chrono::duration<double>(now - start).count();
            const double maxRetries = settings.maxRetryBudget + 0.001 * settings.retriesPerThousandSuccesses * static_cast<double>(successes)
                + 0.001 * settings.retriesPerThousandSeconds * seconds;
            RC_ASSERT(static_cast<double>(retries) <= maxRetries);
        });
    }

    BOOST_AUTO_TEST_CASE(a_pool_that_always_fails_gets_few_retries)
    {
        retry_policy subject;
        int retries = 0;
        for (int i = 0; i < 10000; ++i) {
            const auto now = start + std::chrono::milliseconds(i);
            if (subject.decide("p", { run_outcome::NotRun, true, 1, false, now + 1h, 0 }, now).verdict == retry_verdict::Retry)
                ++retries;
        }
        BOOST_TEST(retries == 104); // the initial 100, and one per two seconds
        BOOST_TEST(subject.retriesLeft("other", start) == 100U);
    }

    BOOST_AUTO_TEST_CASE(back_off_doubles_with_jitter_within_bounds)
    {
        test::checkProperty("back-off", [](std::uint64_t seed, std::uint8_t more) {
            const retry_settings settings;
            const std::uint32_t attempts = 1U + more;
            const auto delay = backoffDelay(settings, attempts, seed);
            RC_ASSERT(delay <= settings.maxDelay);
            RC_ASSERT(delay >= settings.initialDelay / 2);
            RC_ASSERT(delay == backoffDelay(settings, attempts, seed));
        });
        BOOST_CHECK(backoffDelay({}, 1, 1) != backoffDelay({}, 1, 2));
    }

    BOOST_AUTO_TEST_CASE(no_retry_that_begins_after_the_deadline)
    {
        retry_policy subject;
        BOOST_CHECK(subject.decide("p", { run_outcome::NotRun, true, 1, false, start + 1ms, 0 }, start).verdict == retry_verdict::DeadlineTooClose);
        BOOST_CHECK(subject.decide("p", { run_outcome::NotRun, true, 1, true, start + 1ms, 0 }, start).verdict == retry_verdict::Retry);
    }

    BOOST_AUTO_TEST_CASE(hedges_need_idempotent_work_and_a_budget)
    {
        retry_policy subject;
        BOOST_TEST(!subject.mayHedge("p", false, start));
        for (int i = 0; i < 5; ++i)
            BOOST_TEST(subject.mayHedge("p", true, start));
        BOOST_TEST(!subject.mayHedge("p", true, start));
        for (int i = 0; i < 50; ++i)
            subject.succeeded("p", start);
        BOOST_TEST(subject.mayHedge("p", true, start));
        BOOST_TEST(!subject.mayHedge("p", true, start));
    }

    BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace lovagerail
