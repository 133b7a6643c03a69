// Decides when a slow request gets a second attempt at another target, within the operator's
// limit on extra work.
//
// Load pattern: most answers take about the same time, a few take many times as long because
// of the target and not because of the request. A second attempt shortens these few. When all
// answers are slow it only adds load, so the limit and the condition of the pool stop it.
//
// Work is time on targets. Each instance spends at most its percentage of the work that it has
// counted itself, per pool, so the sum over all instances keeps the percentage without messages.
// A pure state machine: the time is an argument, and there is no I/O.
#pragma once

#include "router.h"
#include "types.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <utility>

namespace lovagerail {

struct hedging_settings {
    std::optional<double> extraWork; // limit as a share of the pool's work, 0 for no second attempts; empty: not in force
    duration window = std::chrono::minutes(10); // an instance with a request of 30 ms every two seconds earns a second attempt even at 1%
    duration burstWindow = std::chrono::seconds(10); // work saved up over the window is not spent within a shorter time than this
    double burstFactor = 3; // in burstWindow at most this multiple of the limit, or one attempt
    duration timesHalfLife = std::chrono::minutes(5); // an observed time loses half of its weight in so long
    duration timesExpiry = std::chrono::minutes(2); // times are not used if the latest one is older
    // Second attempts for the slowest share p of the requests add about the share p of work, so
    // the quantile follows from the limit. It is kept within these bounds.
    double minQuantile = 0.9;
    double maxQuantile = 0.99;
    double busyShare = 0.75; // a pool with a larger share of its slots in use is short of slots
    duration checkPeriod = std::chrono::milliseconds(20); // mayContinue() is called at least this often for open attempts
    duration refusalMemory = std::chrono::seconds(1); // a pool is short of slots for so long after a target refused a request
};

enum class hedge_reason { Quantile, // slower than the observed quantile
    FixedDelay }; // too few or stale times: slower than the fixed delay
enum class hedge_refusal { Off, // the limit is 0
    ExtraWork, // the limit over the window
    Burst, // the limit over the burst window
    ShortOfSlots,
    NamedLimit, // a target of the pool names a limit
    ColdTarget,
    NoOtherTarget,
    TooLate }; // the request's deadline comes before the expected end of a second attempt
std::string_view toString(hedge_reason reason);
std::string_view toString(hedge_refusal refusal);

namespace detail {

    // Distribution of times in logarithmic buckets whose weights decay. prometheus-cpp has no
    // replacement: its histogram keeps all values for ever, and its summary reads a clock of its own.
    class decaying_times {
    public:
        void record(duration time, duration halfLife, instant now);
        // Upper bound of the bucket that holds the quantile, at most 9% above the true value.
        duration quantile(double share) const;
        // Mean of the times longer than `elapsed`, less `elapsed`; zero if there are none.
        duration remainingAfter(duration elapsed) const;
        double weight() const { return m_weight; }
        instant latest() const { return m_latest; }

    private:
        static constexpr std::size_t bucketCount = 160; // 0.1 ms to 100 s, factor 2^(1/8)
        static std::size_t bucketOf(duration time);
        static duration upperBound(std::size_t bucket);

        std::array<float, bucketCount> m_buckets {};
        double m_weight = 0; // sum of m_buckets
        instant m_latest {};
    };

    // Sums of work in slices of time, oldest slices dropped.
    class work_window {
    public:
        void addWork(duration time, instant now) { at(now).work += time; }
        void addExtra(duration time, instant now) { at(now).extra += time; }
        struct sums {
            duration work {};
            duration extra {};
        };
        sums since(instant from) const;

    private:
        static constexpr std::size_t sliceCount = 256;
        static constexpr duration sliceSpan = std::chrono::milliseconds(2500); // the slices cover the window of 10 min
        struct slice : sums {
            std::int64_t number = -1;
        };
        slice& at(instant now);

        std::array<slice, sliceCount> m_slices {};
    };

} // namespace detail

// The state of a pool's targets, as this instance knows it.
struct pool_condition {
    bool shortOfSlots = false;
    bool namesLimit = false;
    bool hasColdTarget = false;
};
pool_condition conditionOf(const router& targets, const routing_class_id& pool, double busyShare, instant now);

// How long work takes at the target now, as a multiple of the usual time: the average over seconds of
// the slowdown that it reports.
double currentSlowdown(const router& targets, target_slot slot, instant now);

class hedge_policy {
public:
    explicit hedge_policy(hedging_settings settings = {});

    // Sets the limit; open second attempts and what was counted are kept.
    void setExtraWork(std::optional<double> share) { m_settings.extraWork = share; }
    bool inForce() const { return m_settings.extraWork.has_value(); }
    const hedging_settings& settings() const { return m_settings; }

    // Time from sending a first attempt to the head of its answer, divided by the slowdown of the
    // target. For an attempt that was cancelled it is the time until then: leaving out these slow
    // ones would make the quantile, and so the delay, ever shorter.
    void answered(const route_id& route, const routing_class_id& pool, duration time, instant now);
    // A first attempt has ended with a complete answer after `time` on its target.
    void worked(const route_id& route, const routing_class_id& pool, duration time, instant now);
    void refusedByTarget(const routing_class_id& pool, instant now);

    struct delay {
        duration time {};
        hedge_reason reason = hedge_reason::FixedDelay;
    };
    // When a second attempt may start, after the first was sent.
    delay delayFor(const route_id& route, const routing_class_id& pool, double slowdown, duration fixedDelay, instant now) const;
    // Why no second attempt may start now; empty if one may. It takes nothing from the limit.
    std::optional<hedge_refusal> check(const route_id& route, const routing_class_id& pool, const pool_condition& condition, duration timeLeft, instant now) const;
    // Expected time that an attempt takes and its caller still waits without a second one.
    duration expectedWork(const route_id& route, const routing_class_id& pool) const;
    duration expectedRemaining(const route_id& route, const routing_class_id& pool, duration elapsed) const;

    // A second attempt was sent: its expected work is reserved.
    void started(attempt_id attempt, const route_id& route, const routing_class_id& pool, instant now);
    // False if the attempt has used what was reserved for it and the limit has no more.
    bool mayContinue(attempt_id attempt, instant now);
    // A second attempt has ended, or is now the only attempt of its request. Returns the extra
    // work counted: none if nothing was sent; at least the expected work if it was cancelled, as
    // a target may finish work whose sender is gone.
    duration ended(attempt_id attempt, bool unsent, bool cancelled, instant now);

    // Extra work in the window, with that of open attempts, and the limit on it.
    struct usage {
        duration extra {};
        duration allowed {};
    };
    usage usageOf(const routing_class_id& pool, instant now) const;
    // Drops what was learned of routes and pools without requests; call about once a minute.
    void dropIdle(instant now);

private:
    using times_key = std::pair<route_id, routing_class_id>;
    struct route_times {
        detail::decaying_times times;
        double meanWork = 0; // ns, moving average; 0: none yet
    };
    struct pool_work {
        detail::work_window window;
        std::optional<instant> lastRefusal;
        instant usedAt {};
    };
    struct open_extra {
        routing_class_id pool;
        instant sentAt;
        duration expected {};
        duration reserved {};
    };

    duration reservedFor(const routing_class_id& pool, instant now, std::optional<attempt_id> except) const;
    std::optional<hedge_refusal> checkLimit(const routing_class_id& pool, duration wanted, std::optional<attempt_id> except, instant now) const;

    hedging_settings m_settings;
    std::map<times_key, route_times> m_times;
    std::map<routing_class_id, pool_work> m_pools;
    std::map<attempt_id, open_extra> m_open; // second attempts beside an open first one
};

} // namespace lovagerail
