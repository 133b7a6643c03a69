// Whether, when and at whose cost an attempt is repeated.
//
// An attempt ends in one of three outcomes: not run, ran, unknown. Work whose
// outcome is unknown is repeated only if it is idempotent. Each pool has a budget:
// successes earn a share of a retry, a retry spends one, so that retries stay a
// bounded share of the work however much fails. Idempotent work may be hedged, out
// of a smaller budget of its own. Everything here is O(log pools).
#pragma once

#include "types.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace lovagerail {

enum class run_outcome {
    NotRun, // no byte left for the target, or the target refused it in a documented way
    Ran,
    Unknown,
};
std::string_view toString(run_outcome outcome);

struct retry_settings {
    std::uint32_t earnedPerMille = 200; // of a retry, for each success
    std::uint32_t largestBudget = 100; // retries saved up at most; a pool starts with them
    std::uint32_t earnedPerSecondPerMille = 500; // so that a pool without any success can still be tried
    std::uint32_t hedgesPerMille = 20; // of a hedge, for each success
    std::uint32_t largestHedgeBudget = 5;
    std::uint32_t mostAttempts = 3;
    duration firstDelay = std::chrono::milliseconds(20);
    duration longestDelay = std::chrono::seconds(2);
};

struct retry_question {
    run_outcome outcome = run_outcome::Unknown;
    bool idempotent = false;
    std::uint32_t attempts = 1; // made so far
    bool progressed = false; // it goes on from tokens made so far: no delay, and no budget, as little is done twice
    instant deadline;
    std::uint64_t seed = 0; // of the jitter
};

enum class retry_verdict {
    Retry,
    MayHaveRun, // the work isn't idempotent
    TooManyAttempts,
    NoBudget,
    NoTime,
};
std::string_view toString(retry_verdict verdict);

struct retry_decision {
    retry_verdict verdict = retry_verdict::MayHaveRun;
    duration delay {};
};

// Full jitter: a random time between half and all of the doubled delay.
duration backOff(const retry_settings& settings, std::uint32_t attempts, std::uint64_t seed);

class retry_policy {
public:
    explicit retry_policy(retry_settings settings = {});

    void succeeded(const std::string& pool, instant now);
    // Takes from the budget if the answer is Retry.
    retry_decision decide(const std::string& pool, const retry_question& question, instant now);
    // Whether a second attempt may run beside a slow first one; takes from the hedge budget.
    bool mayHedge(const std::string& pool, bool idempotent, instant now);
    std::uint32_t retriesLeft(const std::string& pool, instant now);
    // Forgets pools that have been quiet for so long that their budget is full again.
    void dropQuiet(instant now);

private:
    // In thousandths. Invariant: neither is above its largest value.
    struct budget {
        std::uint64_t retries = 0;
        std::uint64_t hedges = 0;
        instant refilled;
    };
    budget& refill(const std::string& pool, instant now);

    retry_settings m_settings;
    std::map<std::string, budget> m_budgets;
};

} // namespace lovagerail
