// Decides whether a failed attempt is retried, and after which delay.
//
// An attempt ends in one of three outcomes: not run, ran, unknown. Work that ran or may
// have run is retried only if it is idempotent. Each pool has a retry budget (a token
// bucket): each success adds a fraction of a retry and each retry takes one, so that
// retries stay a bounded share of the load however much fails. Idempotent work may be
// hedged, out of a smaller budget of its own. Each operation is O(log pools),
// except dropIdle(), which is linear.
#pragma once

#include "types.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace lovagerail {

enum class run_outcome {
    NotRun, // no byte was sent, or the target refused it with a documented "not run" response
    Ran,
    Unknown,
};
std::string_view toString(run_outcome outcome);

struct retry_settings {
    std::uint32_t retriesPerThousandSuccesses = 200; // thousandths of a retry per success
    std::uint32_t maxRetryBudget = 100; // capacity of the budget in retries; a new pool starts full
    std::uint32_t retriesPerThousandSeconds = 500; // thousandths of a retry per second, so that a pool without successes is still retried
    std::uint32_t hedgesPerThousandSuccesses = 20; // thousandths of a hedge per success
    std::uint32_t maxHedgeBudget = 5;
    std::uint32_t maxAttempts = 3;
    duration initialDelay = std::chrono::milliseconds(20);
    duration maxDelay = std::chrono::seconds(2);
};

struct retry_request {
    run_outcome outcome = run_outcome::Unknown;
    bool idempotent = false;
    std::uint32_t attempts = 1; // made so far
    bool progressed = false; // resumes from the tokens generated so far: needs no delay and no budget, as little work is repeated
    instant deadline;
    std::uint64_t seed = 0; // of the jitter
};

enum class retry_verdict {
    Retry,
    MayHaveRun, // the work isn't idempotent
    TooManyAttempts,
    BudgetExhausted,
    DeadlineTooClose,
};
std::string_view toString(retry_verdict verdict);

struct retry_decision {
    retry_verdict verdict = retry_verdict::MayHaveRun;
    duration delay {};
};

// Exponential backoff with jitter: a random time between half and all of the doubled delay.
duration backoffDelay(const retry_settings& settings, std::uint32_t attempts, std::uint64_t seed);

class retry_policy {
public:
    explicit retry_policy(retry_settings settings = {});

    void succeeded(const std::string& pool, instant now);
    // Takes one retry from the budget if the verdict is Retry, unless the request progressed.
    retry_decision decide(const std::string& pool, const retry_request& request, instant now);
    // Whether a second attempt may run concurrently with a slow first one; takes from the hedge budget if so.
    bool mayHedge(const std::string& pool, bool idempotent, instant now);
    std::uint32_t retriesLeft(const std::string& pool, instant now);
    // Drops pools that were idle for long enough that their budget is full again.
    void dropIdle(instant now);

private:
    // In thousandths of a retry or hedge. Invariant: neither is above its capacity.
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
