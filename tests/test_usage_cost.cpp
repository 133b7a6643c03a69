// Bounds on the number of calls and bytes that closing a usage window takes, for small and
// large fleets.
#include "property.h"
#include "usage_window.h"

using namespace lovagerail;

namespace {

// Calls and bytes of one window in which nothing fails.
struct window_cost {
    std::size_t calls = 0; // excluding reports
    std::size_t reports = 0;
    std::size_t pullBytes = 0; // of all answers
    std::size_t sealedBytes = 0;
};

window_cost costOf(std::size_t daemons, unsigned accounts, unsigned accountsEach)
{
    constexpr unsigned rowsPerAccount = 4; // two versions, ended and retried
    const wall_time start { std::chrono::hours(1000) };
    std::vector<usage_counter> counters;
    std::vector<instance_id> live;
    for (std::size_t i = 0; i < daemons; ++i) {
        live.emplace_back("instance-" + std::to_string(i));
        counters.emplace_back(usage_origin { live.back(), incarnation(1) }, usage_settings {});
        for (unsigned number = 0; number < accountsEach * rowsPerAccount; ++number) {
            attempt_usage event;
            event.request = request_id("r" + std::to_string(i) + "-" + std::to_string(number));
            event.account = client_account_id("account-" + std::to_string((number % accountsEach + i * accountsEach) % accounts));
            event.model = model_id("quotation-model");
            event.version = weight_version(1000 + number / accountsEach / 2);
            event.pool = pool_id("model-pool");
            event.target = target_id("target-" + std::to_string(number % 60));
            event.heading = number / accountsEach % 2 == 0 ? usage_heading::Ended : usage_heading::Retried;
            event.counted = { 0, 0, token_count(12345), token_count(2345), token_count(3456), std::chrono::milliseconds(45678) };
            counters.back().count(event, start);
        }
    }
    usage_closer closer(fencing_number(1), {});
    window_cost cost;
    wall_time now = start;
    usage_copies none({});
    const auto answer = [&](const closer_action& action) {
        cost.calls += std::holds_alternative<report_usage>(action) ? 0 : 1;
        if (const auto* read = std::get_if<read_prefix>(&action))
            closer.onRead(read->prefix, std::vector<key_value_pair> {});
        if (const auto* report = std::get_if<report_usage>(&action)) {
            ++cost.reports;
            closer.onReport(*report, report_outcome::Accepted);
        }
        if (const auto* pull = std::get_if<pull_usage>(&action)) {
            const auto index = static_cast<std::size_t>(std::find(live.begin(), live.end(), pull->instance) - live.begin());
            counters[index].closeSegment(now);
            const pull_answer pulled = answerPull(*pull, counters[index], none, now);
            cost.pullBytes += Json::writeString([] { Json::StreamWriterBuilder b; b["indentation"] = ""; return b; }(), toJson(pulled)).size();
            closer.onPull(*pull, pulled);
        }
        if (const auto* commit = std::get_if<commit_entries>(&action)) {
            for (const key_value_pair& entry : commit->puts)
                cost.sealedBytes += entry.key.starts_with(sealedPrefix) ? entry.value.size() : 0;
            closer.onCommit(*commit, commit_outcome::Done);
        }
    };
    while (!closer.status().sealed || closer.status().unreportedWindows > 0) {
        now += std::chrono::seconds(1);
        for (auto actions = closer.tick(now, live); !actions.empty(); actions = closer.tick(now, live)) {
            for (const closer_action& action : actions)
                answer(action);
        }
    }
    return cost;
}

} // namespace

BOOST_AUTO_TEST_SUITE(usage_cost_suite)

BOOST_AUTO_TEST_CASE(costsOfAWindow)
{
    for (const std::size_t daemons : { 4U, 410U }) {
        for (const unsigned accounts : { 8U, 1000U }) {
            // In a large fleet each daemon sees only a part of the accounts.
            const unsigned accountsEach = daemons > 4 ? std::min(accounts, 100U) : accounts;
            const window_cost cost = costOf(daemons, accounts, accountsEach);
            BOOST_TEST_MESSAGE(daemons << " daemons, " << accounts << " accounts: " << cost.calls << " calls, " << cost.reports << " reports, "
                                       << cost.sealedBytes << " bytes sealed, " << cost.pullBytes / daemons << " bytes a pull");
            // Reads of the sealed windows and of the stored counters, the seal, and the checkpoints.
            constexpr std::size_t reads = 2;
            constexpr std::size_t seals = 1;
            const std::size_t marks = (accounts + 249) / 250;
            BOOST_CHECK_LE(cost.calls, daemons + reads + seals + marks);
            BOOST_CHECK_EQUAL(cost.reports, accounts);
            BOOST_CHECK_LT(cost.sealedBytes, 1'000'000U);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
