// Health of each target as this daemon sees it: outlier detection, ejection with
// back-off, half-open probing and slow start. Acts as a circuit breaker per target.
//
// At most a stated share of a pool is ejected at a time and never its last
// target, so that a fault of our own network can't empty a pool. A target that
// fails but may not be ejected is still marked down by its weight.
//
// Every event is O(1), but O(m) for the m targets of a pool when it ejects one.
#pragma once

#include "target_table.h"
#include "types.h"

#include <cstdint>
#include <map>
#include <vector>

namespace lovagerail {

enum class attempt_outcome { Success,
    Refused, // the target said "not run"; it is busy, not broken
    Failure, // an answer that blames the target
    Reset, // the connection broke
    Timeout };

enum class health_state { Healthy,
    SlowStart,
    Ejected,
    HalfOpen }; // one probe may run

struct health_settings {
    std::uint32_t consecutiveFailures = 3; // ejects at once
    double failureShare = 0.5; // ejects when the recent share is above
    std::uint32_t leastSamples = 10; // before the share counts
    double latencyFactor = 8; // ejects when mean time per unit is so many times its pool's median
    double learningRate = 0.1;
    double largestEjectedShare = 0.5; // of a pool
    duration firstEjection = std::chrono::seconds(2);
    duration longestEjection = std::chrono::minutes(2);
    duration slowStart = std::chrono::seconds(10);
    double lowestWeight = 0.1; // at the begin of slow start
    duration probeTimeout = std::chrono::seconds(10); // a probe that says nothing is lost
};

class health_monitor {
public:
    explicit health_monitor(health_settings settings = {});

    // A target joined the pool or restarted: slow start.
    void started(target_slot slot, const pool_id& pool, instant now);
    void removed(target_slot slot);

    // An attempt left for the target; in the half-open state it is the probe.
    void sent(target_slot slot, instant now);
    // An attempt ended; latency is compared within the pool.
    void ended(target_slot slot, attempt_outcome outcome, duration latency, instant now);

    // Share of normal work that the target may get: 0 while ejected, 1 when healthy.
    double weight(target_slot slot, instant now) const;
    health_state state(target_slot slot, instant now) const;
    instant ejectedUntil(target_slot slot) const;

    std::size_t ejectedCount(const pool_id& pool, instant now) const;
    std::size_t poolSize(const pool_id& pool) const;

private:
    struct slot_health {
        bool used = false;
        pool_id pool;
        std::uint32_t consecutive = 0; // failures without a success between
        double failureShare = 0; // moving average, 0..1
        std::uint32_t samples = 0;
        double latencySeconds = 0; // moving average; zero before the first
        bool ejected = false; // until a probe succeeds
        instant until; // end of the ejection
        std::uint32_t ejections = 0; // in a row; drives the back-off
        bool probing = false;
        instant probeSent;
        instant slowStartFrom;
    };

    slot_health& at(target_slot slot);
    bool isOutlier(const slot_health& health) const;
    bool mayEject(const slot_health& health) const;
    void eject(slot_health& health, instant now);
    void readmit(slot_health& health, instant now);

    health_settings m_settings;
    std::vector<slot_health> m_slots;
    std::map<pool_id, std::vector<target_slot>> m_pools; // sorted; exactly the used slots
};

} // namespace lovagerail
