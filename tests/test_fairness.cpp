// Tests of the fair queue: service in proportion to weights, the bound on waiting, the
// priority bands, and consistent bookkeeping over random operations.
#include "fairness.h"
#include "property.h"

#include <vector>

namespace lovagerail {
namespace {

    using namespace std::chrono_literals;

    const instant start { 1h };
    constexpr auto distantDeadline = 1h;

    client_account_id account(std::uint64_t number)
    {
        return client_account_id("a" + std::to_string(number));
    }

    queued_request request(std::uint64_t id, std::uint64_t accountNumber, std::uint64_t weight, std::int64_t cost, work_band band = work_band::Live)
    {
        queued_request out;
        out.id = queued_id(id);
        out.account = account(accountNumber);
        out.weight = weight;
        out.band = band;
        out.estimate = service_cost(cost);
        out.deadline = start + distantDeadline;
        return out;
    }

    BOOST_AUTO_TEST_SUITE(fairness_suite)

    BOOST_AUTO_TEST_CASE(service_follows_weights)
    {
        fair_queue subject;
        subject.setWindow(1);
        std::map<std::uint64_t, std::uint64_t> owner;
        std::uint64_t id = 0;
        for (std::uint64_t accountNumber = 1; accountNumber <= 3; ++accountNumber) {
            for (int i = 0; i < 600; ++i) {
                owner[++id] = accountNumber;
                BOOST_REQUIRE(subject.push(request(id, accountNumber, accountNumber, 1000), start) == enqueue_result::Queued);
            }
        }
        std::map<std::uint64_t, int> served;
        for (int i = 0; i < 600; ++i) {
            const auto next = subject.pop();
            BOOST_REQUIRE(next);
            ++served[owner[next->value()]];
            subject.finished(*next, service_cost(1000), start);
        }
        BOOST_TEST(std::abs(served[1] - 100) <= 1);
        BOOST_TEST(std::abs(served[2] - 200) <= 1);
        BOOST_TEST(std::abs(served[3] - 300) <= 1);
    }

    BOOST_AUTO_TEST_CASE(no_account_waits_beyond_the_bound)
    {
        // Accounts that always have work, with generated costs and weights.
        test::checkProperty("bound", [](std::uint32_t seed) {
            constexpr std::uint64_t accounts = 5;
            constexpr std::int64_t largest = 2000;
            fair_queue subject;
            subject.setWindow(1);
            std::uint64_t state = seed;
            const auto randomBelow = [&state](std::uint64_t below) {
                state = state * 6364136223846793005u + 1442695040888963407u;
                return (state >> 33) % below;
            };
            std::map<std::uint64_t, std::pair<std::uint64_t, std::int64_t>> costs; // owner, cost
            std::map<std::uint64_t, std::int64_t> servedToOthers; // cost served to others since the account was last served
            std::map<std::uint64_t, std::int64_t> lastCost; // cost of the account's own last request
            std::uint64_t id = 0;
            const auto add = [&](std::uint64_t accountNumber) {
                const auto cost = static_cast<std::int64_t>(1 + randomBelow(largest));
                costs[++id] = { accountNumber, cost };
                RC_ASSERT(subject.push(request(id, accountNumber, 1 + accountNumber, cost), start) == enqueue_result::Queued);
            };
            for (std::uint64_t accountNumber = 0; accountNumber < accounts; ++accountNumber) {
                add(accountNumber);
                add(accountNumber);
            }
            for (int i = 0; i < 500; ++i) {
                const auto next = subject.pop();
                RC_ASSERT(next);
                const auto [accountNumber, cost] = costs[next->value()];
                for (std::uint64_t other = 0; other < accounts; ++other) {
                    if (other != accountNumber)
                        servedToOthers[other] += cost;
                }
                std::int64_t bound = 0;
                for (std::uint64_t g = 0; g < accounts; ++g) {
                    if (g != accountNumber)
                        bound += lastCost[accountNumber] * static_cast<std::int64_t>(1 + g) / static_cast<std::int64_t>(1 + accountNumber) + 2 * largest;
                }
                RC_ASSERT(servedToOthers[accountNumber] <= bound);
                servedToOthers[accountNumber] = 0;
                lastCost[accountNumber] = cost;
                subject.finished(*next, service_cost(cost), start);
                add(accountNumber);
            }
        });
    }

    BOOST_AUTO_TEST_CASE(wrong_estimates_are_charged_to_the_account)
    {
        // One account's estimates are a tenth of the true cost; that must not raise its share.
        fair_queue subject;
        subject.setWindow(1);
        std::uint64_t id = 0;
        std::map<std::uint64_t, std::uint64_t> owner;
        for (std::uint64_t accountNumber = 0; accountNumber < 2; ++accountNumber) {
            for (int i = 0; i < 1000; ++i) {
                owner[++id] = accountNumber;
                BOOST_REQUIRE(subject.push(request(id, accountNumber, 1, accountNumber == 0 ? 100 : 1000), start) == enqueue_result::Queued);
            }
        }
        std::map<std::uint64_t, int> served;
        for (int i = 0; i < 400; ++i) {
            const auto next = subject.pop();
            ++served[owner[next->value()]];
            subject.finished(*next, service_cost(1000), start);
        }
        BOOST_TEST(std::abs(served[0] - served[1]) <= 2);
    }

    BOOST_AUTO_TEST_CASE(an_idle_account_accumulates_no_credit)
    {
        fair_queue subject;
        subject.setWindow(1);
        std::uint64_t id = 0;
        for (int i = 0; i < 500; ++i) {
            BOOST_REQUIRE(subject.push(request(++id, 1, 1, 1000), start) == enqueue_result::Queued);
            if (i < 400)
                subject.finished(*subject.pop(), service_cost(1000), start);
        }
        const auto firstOfOther = id + 1;
        for (int i = 0; i < 100; ++i)
            BOOST_REQUIRE(subject.push(request(++id, 2, 1, 1000), start) == enqueue_result::Queued);
        int other = 0;
        for (int i = 0; i < 20; ++i) {
            const auto next = subject.pop();
            other += next->value() >= firstOfOther ? 1 : 0;
            subject.finished(*next, service_cost(1000), start);
        }
        BOOST_TEST(std::abs(other - 10) <= 1);
    }

    BOOST_AUTO_TEST_CASE(rollouts_get_exactly_their_minimum_share_while_live_traffic_waits)
    {
        fair_queue subject;
        subject.setWindow(1);
        std::uint64_t id = 0;
        for (int i = 0; i < 1000; ++i) {
            BOOST_REQUIRE(subject.push(request(++id, 1, 1, 1000, work_band::Rollout), start) == enqueue_result::Queued);
            BOOST_REQUIRE(subject.push(request(++id, 1, 1, 1000, work_band::Live), start) == enqueue_result::Queued);
        }
        int rollouts = 0;
        for (int i = 0; i < 1000; ++i) {
            const auto next = subject.pop();
            rollouts += next->value() % 2 == 1 ? 1 : 0;
            subject.finished(*next, service_cost(1000), start);
        }
        BOOST_TEST(rollouts >= 99);
        BOOST_TEST(rollouts <= 101);
    }

    BOOST_AUTO_TEST_CASE(priorities_order_requests_within_an_account)
    {
        fair_queue subject;
        subject.setWindow(10);
        auto lowPriority = request(1, 1, 1, 100);
        lowPriority.priority = 5;
        BOOST_REQUIRE(subject.push(lowPriority, start) == enqueue_result::Queued);
        BOOST_REQUIRE(subject.push(request(2, 1, 1, 100), start) == enqueue_result::Queued);
        BOOST_CHECK(subject.pop() == queued_id(2));
        BOOST_CHECK(subject.pop() == queued_id(1));
    }

    BOOST_AUTO_TEST_CASE(request_that_cannot_meet_its_deadline_is_rejected_on_arrival)
    {
        fair_queue subject;
        subject.setWindow(1);
        instant now = start;
        std::uint64_t id = 0;
        for (int i = 0; i < 200; ++i)
            BOOST_REQUIRE(subject.push(request(++id, 1, 1, 1000), now) == enqueue_result::Queued);
        for (int i = 0; i < 100; ++i) {
            const auto next = subject.pop();
            now += 10ms;
            subject.finished(*next, service_cost(1000), now);
        }
        BOOST_REQUIRE(subject.pop());
        // 99 requests wait, 10 ms each.
        auto urgent = request(++id, 1, 1, 1000);
        urgent.deadline = now + 500ms;
        BOOST_CHECK(subject.push(urgent, now) == enqueue_result::CannotMeetDeadline);
        urgent.deadline = now + 1500ms;
        BOOST_CHECK(subject.push(urgent, now) == enqueue_result::Queued);
        auto other = request(++id, 2, 1, 1000);
        other.deadline = now + 100ms;
        BOOST_CHECK(subject.push(other, now) == enqueue_result::Queued);
    }

    BOOST_AUTO_TEST_CASE(every_request_leaves_once_and_queue_limits_hold)
    {
        for (const auto policy : { fairness_policy::Weighted, fairness_policy::Fifo, fairness_policy::RoundRobin }) {
            test::checkProperty("bookkeeping " + std::string(toString(policy)), [policy](const std::vector<std::uint32_t>& steps) {
                fairness_settings settings;
                settings.policy = policy;
                settings.maxWaiting = 20;
                settings.maxWaitingPerAccount = 8;
                fair_queue subject(settings);
                subject.setWindow(4);
                std::set<queued_id> waiting;
                std::set<queued_id> running;
                instant now = start;
                std::uint64_t id = 0;
                for (const auto step : steps) {
                    now += std::chrono::milliseconds(step % 64);
                    const auto cost = static_cast<std::int64_t>(1 + (step >> 8) % 5000);
                    if (step % 4 < 2) {
                        auto wanted = request(++id, (step >> 6) % 4, 1 + (step >> 6) % 4, cost, (step >> 22) % 2 == 0 ? work_band::Live : work_band::Rollout);
                        if (subject.push(wanted, now) == enqueue_result::Queued)
                            waiting.insert(wanted.id);
                    } else if (step % 4 == 2) {
                        if (const auto next = subject.pop()) {
                            RC_ASSERT(waiting.erase(*next) == 1U);
                            running.insert(*next);
                        } else {
                            RC_ASSERT(waiting.empty() || running.size() == 4U);
                        }
                    } else if (!running.empty() && step % 8 == 3) {
                        subject.finished(*running.begin(), service_cost(cost), now);
                        running.erase(running.begin());
                    } else if (!waiting.empty()) {
                        RC_ASSERT(subject.remove(*waiting.begin()));
                        waiting.erase(waiting.begin());
                    }
                    RC_ASSERT(subject.waiting() == waiting.size());
                    RC_ASSERT(subject.dispatched() == running.size());
                    RC_ASSERT(waiting.size() <= 20U);
                }
            });
        }
    }

    BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace lovagerail
