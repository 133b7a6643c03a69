// Replays a fixed hour of answers of 100 accounts through burn tracking, and
// folds the report of each ten minutes.
#include "bench.h"
#include "burn.h"

namespace lovagerail::bench {
namespace {

    constexpr std::uint64_t answers = 100'000;
    constexpr std::uint64_t accounts = 100;
    constexpr std::uint64_t answersPerReport = answers / 6;

    request_served answerOf(std::uint64_t number)
    {
        const std::uint64_t mixed = number * 0x9e3779b97f4a7c15u >> 32u;
        const std::uint64_t account = mixed % accounts;
        request_served event;
        event.scope = { client_account_id("a" + std::to_string(account)), pool_id("p") };
        event.how = mixed % 997 == 0 ? request_served::outcome::Refused : request_served::outcome::Answered;
        event.firstToken = std::chrono::milliseconds(mixed % (200 + account));
        event.whole = *event.firstToken + std::chrono::milliseconds(mixed % 2100);
        event.queued = std::chrono::milliseconds(mixed % 150);
        event.attempts = mixed % 61 == 0 ? 2 : 1;
        return event;
    }

    void foldReport(fingerprint& print, const burn_report& report)
    {
        for (const burn_row& row : report.rows) {
            print.fold(row.key.scope.account.str());
            for (const std::uint64_t burn : row.burnMilli)
                print.fold(burn);
            print.fold(static_cast<std::uint64_t>(row.alert));
        }
        print.fold(report.worstAccount ? report.worstAccount->str() : "");
    }

    std::uint64_t run(fingerprint& print)
    {
        burn_tracker tracker;
        const objective_bound available { 999'000, {}, 0 };
        const objective_bound first { 990'000, std::chrono::milliseconds(250), 0 };
        const objective_bound whole { 990'000, std::chrono::seconds(2), 0 };
        tracker.setBounds({ { burn_scope {}, { { burn_objective::Availability, available }, { burn_objective::FirstToken, first }, { burn_objective::FullAnswer, whole } } } });
        instant now { std::chrono::hours(100) };
        for (std::uint64_t number = 0; number < answers; ++number) {
            now += std::chrono::milliseconds(36);
            tracker.count(answerOf(number), now);
            if (number % answersPerReport == answersPerReport - 1)
                foldReport(print, makeBurnReport(tracker.statistics(now)));
        }
        return answers;
    }

    const registration burnPart("burn", run);

} // namespace
} // namespace lovagerail::bench
