// Tests of idempotency keys: over generated histories of repeated requests at any instance,
// lost messages, a lost instance and a joining one, no request with the same key runs twice.
#include "idempotency.h"
#include "property.h"

namespace lovagerail {
namespace {

    using namespace std::chrono_literals;

    const instant start { 1h };
    const idempotency_id key("k");

    instance_id name(std::uint64_t number)
    {
        return instance_id("i" + std::to_string(number));
    }

    // Some instances with their stores. Views of the membership may lag by one change.
    struct world {
        struct running {
            std::uint64_t claimant = 0;
            std::uint64_t claim = 0;
            std::vector<instance_id> holders;
        };
        std::map<instance_id, idempotency_store> stores;
        std::vector<instance_id> view;
        std::vector<instance_id> viewBefore;
        std::vector<running> runs; // in progress
        std::uint64_t runCount = 0;
        std::uint64_t lastClaim = 0;
        bool instanceLost = false;
        instant now = start;

        world()
        {
            for (std::uint64_t i = 0; i < 4; ++i) {
                stores[name(i)];
                view.push_back(name(i));
            }
            viewBefore = view;
        }

        // One attempt; `lossBits` decide which calls and answers are lost.
        void attemptClaim(std::uint64_t from, bool oldView, std::uint32_t lossBits)
        {
            if (!stores.contains(name(from)))
                return;
            const auto holders = recordHolders(key, oldView ? viewBefore : view);
            idempotency_claimant claimant(holders);
            const auto claim = ++lastClaim;
            for (std::size_t i = 0; i < holders.size(); ++i) {
                const auto found = stores.find(holders[i]);
                std::optional<claim_answer> answer;
                if (found != stores.end() && ((lossBits >> (2 * i)) & 3U) != 0)
                    answer = found->second.claim(key, 1, name(from), claim, now);
                if (((lossBits >> (2 * i)) & 3U) == 1)
                    answer.reset();
                claimant.onAnswer(holders[i], answer);
            }
            if (claimant.verdict() == claimant_verdict::Run) {
                ++runCount;
                runs.push_back({ from, claim, holders });
                return;
            }
            for (const auto& holder : holders) {
                if (const auto found = stores.find(holder); found != stores.end())
                    found->second.release(key, name(from), claim);
            }
        }

        // A request ends; its outcome may reach only one holder.
        void end(std::uint32_t lossBits)
        {
            if (runs.empty())
                return;
            const auto run = runs.back();
            runs.pop_back();
            for (std::size_t i = 0; i < run.holders.size(); ++i) {
                const auto found = stores.find(run.holders[i]);
                if (found == stores.end() || ((lossBits >> i) & 1U) == 0)
                    continue;
                if ((lossBits & 4U) != 0)
                    found->second.recordAnswer(key, name(run.claimant), run.claim, makeStoredAnswer(200, "", "first", {}), now);
                else
                    found->second.recordUnknownOutcome(key, name(run.claimant), run.claim, now);
            }
        }

        void handOver()
        {
            for (auto& [from, store] : stores) {
                for (const auto& holder : recordHolders(key, view)) {
                    for (const auto& [id, record] : store.records())
                        stores.at(holder).merge(id, record, now);
                }
            }
        }

        void loseInstance(std::uint64_t which)
        {
            if (instanceLost)
                return;
            instanceLost = true;
            stores.erase(name(which));
            viewBefore = view;
            view.erase(std::find(view.begin(), view.end(), name(which)));
            for (auto& [other, store] : stores)
                store.onInstanceLost(name(which), now);
            handOver();
        }

        void join()
        {
            if (view.size() > 4 || !instanceLost)
                return;
            viewBefore = view;
            stores[name(9)];
            if (std::find(view.begin(), view.end(), name(9)) == view.end())
                view.push_back(name(9));
            handOver();
        }
    };

    BOOST_AUTO_TEST_SUITE(idempotency_suite)

    BOOST_AUTO_TEST_CASE(no_key_runs_twice)
    {
        std::uint64_t ran = 0;
        test::checkProperty("once", [&ran](const std::vector<std::uint32_t>& steps) {
            world all;
            for (const auto step : steps) {
                all.now += std::chrono::milliseconds(step % 1000);
                const auto what = (step >> 10) % 8;
                if (what < 4)
                    all.attemptClaim((step >> 13) % 4, (step >> 15) % 4 == 0, step >> 17);
                else if (what < 6)
                    all.end(step >> 17);
                else if (what == 6)
                    all.loseInstance((step >> 13) % 4);
                else
                    all.join();
                RC_ASSERT(all.runCount <= 1U);
            }
            ran += all.runCount;
        });
        BOOST_TEST(ran > 20U);
    }

    BOOST_AUTO_TEST_CASE(a_repeat_gets_the_first_answer)
    {
        idempotency_store store;
        BOOST_CHECK(store.claim(key, 1, name(1), 1, start).verdict == claim_result::Claimed);
        BOOST_CHECK(store.claim(key, 1, name(2), 1, start).verdict == claim_result::InProgress);
        BOOST_CHECK(store.claim(key, 2, name(2), 1, start).verdict == claim_result::OtherRequest);
        const auto answer = makeStoredAnswer(201, "text/plain", "made", {});
        store.recordAnswer(key, name(1), 1, answer, start);
        const auto repeat = store.claim(key, 1, name(2), 1, start + 9min);
        BOOST_CHECK(repeat.verdict == claim_result::Answered);
        BOOST_CHECK(repeat.answer == answer);
        BOOST_CHECK(store.claim(key, 1, name(2), 1, start + 11min).verdict == claim_result::Claimed);
    }

    BOOST_AUTO_TEST_CASE(a_released_key_may_run_and_a_lost_claimant_leaves_unknown)
    {
        idempotency_store store;
        store.claim(key, 1, name(1), 1, start);
        store.release(key, name(1), 1);
        BOOST_CHECK(store.claim(key, 1, name(1), 2, start).verdict == claim_result::Claimed);
        store.release(key, name(1), 1); // a late release of the previous claim
        store.onInstanceLost(name(1), start);
        BOOST_CHECK(store.claim(key, 1, name(2), 1, start).verdict == claim_result::Unknown);
    }

    BOOST_AUTO_TEST_CASE(a_full_store_refuses_new_keys_and_drops_none)
    {
        idempotency_settings settings;
        settings.maxRecords = 2;
        settings.maxBodyBytes = 3;
        idempotency_store store(settings);
        store.claim(idempotency_id("a"), 1, name(1), 1, start);
        store.claim(idempotency_id("b"), 1, name(1), 1, start);
        BOOST_CHECK(store.claim(key, 1, name(1), 1, start).verdict == claim_result::Full);
        BOOST_CHECK(store.claim(key, 1, name(1), 1, start + 10min).verdict == claim_result::Claimed);
        BOOST_CHECK(!makeStoredAnswer(200, "", "long", settings).bodyKept);
        BOOST_CHECK(idempotencyIdOf(client_account_id("a"), route_id("b"), "c") != idempotencyIdOf(client_account_id("ab"), route_id(""), "c"));
    }

    BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace lovagerail
