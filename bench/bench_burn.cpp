// Replays a fixed hour of served requests from 100 accounts through the tracker of error-budget
// burn rates, and hashes the report made every ten minutes.
#include "bench.h"
#include "burn.h"

namespace lovagerail::bench {
namespace {

    constexpr std::uint64_t requestCount = 100'000;
    constexpr std::uint64_t accountCount = 100;
    constexpr std::uint64_t requestsPerReport = requestCount / 6;

    request_served makeServedRequest(std::uint64_t index)
    {
        const std::uint64_t hash = index * 0x9e3779b97f4a7c15u >> 32u;
        const std::uint64_t account = hash % accountCount;
        request_served event;
        event.scope = { client_account_id("a" + std::to_string(account)), pool_id("p") };
        event.ending = hash % 997 == 0 ? request_served::outcome::Refused : request_served::outcome::Answered;
        event.firstToken = std::chrono::milliseconds(hash % (200 + account));
        event.whole = *event.firstToken + std::chrono::milliseconds(hash % 2100);
        event.queued = std::chrono::milliseconds(hash % 150);
        event.attempts = hash % 61 == 0 ? 2 : 1;
        return event;
    }

    void foldReport(fingerprint& decisions, const burn_report& report)
    {
        for (const burn_row& row : report.rows) {
            decisions.fold(row.key.scope.account.str());
            for (const std::uint64_t burn : row.burnMilli)
                decisions.fold(burn);
            decisions.fold(static_cast<std::uint64_t>(row.alert));
        }
        decisions.fold(report.worstAccount ? report.worstAccount->str() : "");
    }

    std::uint64_t run(fingerprint& decisions)
    {
        burn_tracker tracker;
        const objective_bound available { 999'000, {}, 0 };
        const objective_bound first { 990'000, std::chrono::milliseconds(250), 0 };
        const objective_bound whole { 990'000, std::chrono::seconds(2), 0 };
        tracker.setBounds({ { burn_scope {}, { { burn_objective::Availability, available }, { burn_objective::FirstToken, first }, { burn_objective::FullAnswer, whole } } } });
        instant now { std::chrono::hours(100) };
        for (std::uint64_t index = 0; index < requestCount; ++index) {
            now += std::chrono::milliseconds(36);
            tracker.count(makeServedRequest(index), now);
            if (index % requestsPerReport == requestsPerReport - 1)
                foldReport(decisions, makeBurnReport(tracker.statistics(now)));
        }
        return requestCount;
    }

    const registration burnBenchmark("burn", run);

} // namespace
} // namespace lovagerail::bench
