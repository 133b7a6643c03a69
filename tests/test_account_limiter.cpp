// Tests of account limits: admitted requests stay within the limit for any number of
// instances, also when instances crash, messages are lost, or the allocation duty moves.
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

    BOOST_AUTO_TEST_CASE(admits_at_most_burst_plus_rate)
    {
        test::checkProperty("rate", [](const std::vector<std::uint8_t>& gaps) {
            account_limiter subject;
            const auto limits = rated(100, 150);
            instant now = start;
            std::uint64_t admitted = 0;
            for (const auto gap : gaps) {
                now += std::chrono::milliseconds(gap % 8);
                const auto admission = subject.admit(acme, limits, 0, now);
                if (admission.reason == limit_reason::Within) {
                    ++admitted;
                    subject.finished(acme, limits, 0, 0, now);
                    continue;
                }
                RC_ASSERT(admission.retryAfter > duration::zero());
            }
            RC_ASSERT(static_cast<double>(admitted) <= 151 + 100 * std::chrono::duration<double>(now - start).count());
        });
    }

    BOOST_AUTO_TEST_CASE(request_is_admitted_after_retry_after)
    {
        account_limiter subject;
        const auto limits = rated(10);
        for (int i = 0; i < 10; ++i)
            BOOST_CHECK(subject.admit(acme, limits, 0, start).reason == limit_reason::Within);
        const auto refused = subject.admit(acme, limits, 0, start);
        BOOST_CHECK(refused.reason == limit_reason::RequestRate);
        BOOST_CHECK(subject.admit(acme, limits, 0, start + refused.retryAfter + 1ms).reason == limit_reason::Within);
    }

    BOOST_AUTO_TEST_CASE(finished_frees_concurrency_and_zero_limits_are_unlimited)
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

    BOOST_AUTO_TEST_CASE(token_estimate_is_replaced_by_actual_use)
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

    BOOST_AUTO_TEST_CASE(shares_in_use_never_exceed_the_limit)
    {
        // Reports are sent or lost, share messages are lost, delayed or duplicated, and
        // the duty moves to an instance that knows no leases.
        test::checkProperty("shares", [](const std::vector<std::uint32_t>& steps) {
            constexpr std::uint32_t count = 4;
            std::vector<account_limiter> instances(count);
            for (auto& instance : instances)
                instance.setInstances(count);
            share_allocator divider;
            instant now = start;
            divider.begin(now);
            std::vector<std::vector<account_share>> messages; // may be delivered late or twice
            for (const auto step : steps) {
                now += std::chrono::milliseconds(step % 900);
                const auto index = (step >> 10) % count;
                const instance_id name("i" + std::to_string(index));
                const std::uint32_t action = (step >> 12) % 8;
                if (action < 4) {
                    auto report = instances[index].takeDemand(now);
                    report.rows = { { acme, 1 + (step >> 16) % 1000 } };
                    if (action > 0)
                        divider.onDemand(name, report, now);
                } else if (action < 5) {
                    messages.push_back(divider.allocate(now));
                } else if (action < 7 && !messages.empty()) {
                    instances[index].applyShares(name, messages[messages.size() - 1 - (step >> 16) % std::min<std::size_t>(messages.size(), 4)]);
                } else {
                    divider = share_allocator();
                    divider.begin(now);
                }
                std::uint64_t sum = 0;
                for (const auto& instance : instances)
                    sum += instance.shareOf(acme, now);
                RC_ASSERT(sum <= fullShare);
            }
        });
    }

    BOOST_AUTO_TEST_CASE(shares_follow_demand_within_two_leases)
    {
        account_limiter first;
        account_limiter second;
        first.setInstances(2);
        second.setInstances(2);
        share_allocator divider;
        instant now = start;
        divider.begin(now);
        for (int round = 0; round < 40; ++round) {
            now += 1s;
            const bool swapped = round >= 20;
            demand_report firstReport { first.takeDemand(now).number, { { acme, swapped ? 1U : 99U } } };
            demand_report secondReport { second.takeDemand(now).number, { { acme, swapped ? 99U : 1U } } };
            divider.onDemand(instance_id("a"), firstReport, now);
            divider.onDemand(instance_id("b"), secondReport, now);
            const auto shares = divider.allocate(now);
            first.applyShares(instance_id("a"), shares);
            second.applyShares(instance_id("b"), shares);
            if (round == 19)
                BOOST_TEST(first.shareOf(acme, now) > 800'000U);
        }
        BOOST_TEST(second.shareOf(acme, now) > 800'000U);
        BOOST_TEST(second.shareOf(acme, now + 6s) == 50'000U); // the lease has expired
    }

    BOOST_AUTO_TEST_CASE(json_round_trip)
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
