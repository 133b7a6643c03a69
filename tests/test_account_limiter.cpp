// Tests of limits: what passes stays within them on any number of instances,
// whoever dies, isn't heard, or takes over the division.
#include "account_limiter.h"
#include "property.h"

namespace lovagerail {
namespace {

    using namespace std::chrono_literals;

    const instant start { 1h };
    const client_account_id acme("acme");

    account_limits rated(std::uint64_t perSecond, std::uint64_t burst = 0)
    {
        account_limits limits;
        limits.requestsPerSecond = perSecond;
        limits.burst = burst;
        return limits;
    }

    BOOST_AUTO_TEST_SUITE(account_limiter_suite)

    BOOST_AUTO_TEST_CASE(a_bucket_lets_pass_its_burst_and_its_rate)
    {
        test::checkProperty("rate", [](const std::vector<std::uint8_t>& gaps) {
            account_limiter subject;
            const auto limits = rated(100, 150);
            instant now = start;
            std::uint64_t passed = 0;
            for (const auto gap : gaps) {
                now += std::chrono::milliseconds(gap % 8);
                const auto verdict = subject.admit(acme, limits, 0, now);
                if (verdict.reason == limit_reason::Within) {
                    ++passed;
                    subject.finished(acme, limits, 0, 0, now);
                    continue;
                }
                RC_ASSERT(verdict.retryAfter > duration::zero());
            }
            RC_ASSERT(static_cast<double>(passed) <= 151 + 100 * std::chrono::duration<double>(now - start).count());
        });
    }

    BOOST_AUTO_TEST_CASE(the_time_to_come_back_is_kept)
    {
        account_limiter subject;
        const auto limits = rated(10);
        for (int i = 0; i < 10; ++i)
            BOOST_CHECK(subject.admit(acme, limits, 0, start).reason == limit_reason::Within);
        const auto refused = subject.admit(acme, limits, 0, start);
        BOOST_CHECK(refused.reason == limit_reason::RequestRate);
        BOOST_CHECK(subject.admit(acme, limits, 0, start + refused.retryAfter + 1ms).reason == limit_reason::Within);
    }

    BOOST_AUTO_TEST_CASE(concurrency_is_returned_and_no_limit_is_none)
    {
        account_limiter subject;
        account_limits limits;
        limits.concurrency = 2;
        BOOST_CHECK(subject.admit(acme, limits, 0, start).reason == limit_reason::Within);
        BOOST_CHECK(subject.admit(acme, limits, 0, start).reason == limit_reason::Within);
        BOOST_CHECK(subject.admit(acme, limits, 0, start).reason == limit_reason::Concurrency);
        subject.finished(acme, limits, 0, 0, start);
        BOOST_CHECK(subject.admit(acme, limits, 0, start).reason == limit_reason::Within);
        const client_account_id other("other");
        for (int i = 0; i < 1000; ++i)
            BOOST_CHECK(subject.admit(other, {}, 1'000'000, start).reason == limit_reason::Within);
    }

    BOOST_AUTO_TEST_CASE(tokens_are_corrected_by_what_was_used)
    {
        account_limiter subject;
        account_limits limits;
        limits.tokensPerMinute = 6000;
        BOOST_CHECK(subject.admit(acme, limits, 6000, start).reason == limit_reason::Within);
        BOOST_CHECK(subject.admit(acme, limits, 100, start).reason == limit_reason::TokenRate);
        subject.finished(acme, limits, 6000, 1000, start);
        BOOST_CHECK(subject.admit(acme, limits, 100, start).reason == limit_reason::Within);
        subject.finished(acme, limits, 100, 12000, start);
        BOOST_CHECK(subject.admit(acme, limits, 100, start + 60s).reason == limit_reason::TokenRate);
    }

    BOOST_AUTO_TEST_CASE(shares_in_use_never_exceed_the_whole)
    {
        // Instances report or fall silent, messages with shares are lost or come late,
        // and the division moves to an instance that knows nothing.
        test::checkProperty("shares", [](const std::vector<std::uint32_t>& steps) {
            constexpr std::uint32_t count = 4;
            std::vector<account_limiter> instances(count);
            for (auto& instance : instances)
                instance.setInstances(count);
            share_divider divider;
            instant now = start;
            divider.begin(now);
            std::vector<std::vector<account_share>> messages; // may come late and again
            for (const auto step : steps) {
                now += std::chrono::milliseconds(step % 900);
                const auto who = (step >> 10) % count;
                const instance_id name("i" + std::to_string(who));
                const std::uint32_t what = (step >> 12) % 8;
                if (what < 4) {
                    auto report = instances[who].takeDemand(now);
                    report.rows = { { acme, 1 + (step >> 16) % 1000 } };
                    if (what > 0)
                        divider.onDemand(name, report, now);
                } else if (what < 5) {
                    messages.push_back(divider.divide(now));
                } else if (what < 7 && !messages.empty()) {
                    instances[who].onShares(name, messages[messages.size() - 1 - (step >> 16) % std::min<std::size_t>(messages.size(), 4)]);
                } else {
                    divider = share_divider();
                    divider.begin(now);
                }
                std::uint64_t sum = 0;
                for (const auto& instance : instances)
                    sum += instance.shareOf(acme, now);
                RC_ASSERT(sum <= wholeLimit);
            }
        });
    }

    BOOST_AUTO_TEST_CASE(shares_follow_demand_within_two_leases)
    {
        account_limiter busy;
        account_limiter calm;
        busy.setInstances(2);
        calm.setInstances(2);
        share_divider divider;
        instant now = start;
        divider.begin(now);
        for (int round = 0; round < 40; ++round) {
            now += 1s;
            const bool swapped = round >= 20;
            demand_report first { busy.takeDemand(now).number, { { acme, swapped ? 1U : 99U } } };
            demand_report second { calm.takeDemand(now).number, { { acme, swapped ? 99U : 1U } } };
            divider.onDemand(instance_id("a"), first, now);
            divider.onDemand(instance_id("b"), second, now);
            const auto shares = divider.divide(now);
            busy.onShares(instance_id("a"), shares);
            calm.onShares(instance_id("b"), shares);
            if (round == 19)
                BOOST_TEST(busy.shareOf(acme, now) > 800'000U);
        }
        BOOST_TEST(calm.shareOf(acme, now) > 800'000U);
        BOOST_TEST(calm.shareOf(acme, now + 6s) == 50'000U); // the lease has ended
    }

    BOOST_AUTO_TEST_CASE(reports_survive_the_wire)
    {
        const demand_report demand { 3, { { acme, 7 } } };
        BOOST_CHECK(demandFromJson(toJson(demand)) == demand);
        const std::vector<account_share> shares { { instance_id("a"), acme, 5, 2, 3ms } };
        BOOST_CHECK(sharesFromJson(toJson(shares)) == shares);
        BOOST_CHECK(sharesFromJson(Json::Value("x")).empty());
    }

    BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace lovagerail
