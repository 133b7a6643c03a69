// Health of each target as this daemon sees it: outlier detection, ejection with
// back-off, half-open probing and slow start. Acts as a circuit breaker per target.
//
// At most a stated share of a pool is ejected at a time and never its last
// target, so that a fault of our own network can't empty a pool. A target that
// fails but may not be ejected is still marked down by its weight, and so is one
// whose load reports stopped, or whose failure domain answers nothing any more.
//
// Load reports stand in for probes: while an ejected target that used to report
// is silent, no request is spent on finding out whether it's back.
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
    duration memory = std::chrono::seconds(10); // age at which a share of failures counts for half
    double largestEjectedShare = 0.5; // of a pool
    duration firstEjection = std::chrono::seconds(2);
    duration longestEjection = std::chrono::minutes(2);
    duration slowStart = std::chrono::seconds(10);
    double lowestWeight = 0.1; // at the start of slow start, and of a failing target
    double silentReports = 3; // reports missing before a target counts as silent
    duration silenceGrace = std::chrono::milliseconds(500);
    duration silentProbe = std::chrono::minutes(1); // an ejected target is probed so late without a report
    std::uint32_t domainFailures = 3; // in a row, at two targets or more: the domain is in doubt
    duration probeTimeout = std::chrono::seconds(10); // a probe that says nothing is lost
};

class health_monitor {
public:
    explicit health_monitor(health_settings settings = {});

    // A target became live in the pool: slow start. Ignored for a member of the pool.
    void started(target_slot slot, const pool_id& pool, const failure_domain_id& domain, instant now);
    // It's no longer live; what was seen of it is forgotten.
    void removed(target_slot slot);

    // The target sent a load report, or a first token: it lives, however it works.
    void reported(target_slot slot, instant measuredAt, instant now);
    void responded(target_slot slot);

    // An attempt left for the target; in the half-open state it is the probe.
    void sent(target_slot slot, instant now);
    // An attempt ended; latency per unit of work is compared within the pool.
    void ended(target_slot slot, attempt_outcome outcome, duration latency, instant now);

    // Share of normal work that the target may get: 0 while ejected, 1 when healthy.
    double weight(target_slot slot, instant now) const;
    health_state state(target_slot slot, instant now) const;
    instant ejectedUntil(target_slot slot) const;

    std::size_t ejectedCount(const pool_id& pool) const;
    std::size_t poolSize(const pool_id& pool) const;

private:
    struct slot_health {
        bool used = false;
        pool_id pool;
        failure_domain_id domain;
        std::uint32_t consecutive = 0; // failures without a success between
        double failureShare = 0; // moving average, 0..1
        double refusedShare = 0; // moving average, 0..1; lowers the weight, never ejects
        std::uint32_t samples = 0;
        instant sampledAt;
        double latencySeconds = 0; // moving average; zero before the first
        bool ejected = false; // from ejection until a probe succeeds
        instant ejectedAt;
        instant until; // end of the ejection; a probe may run then
        std::uint32_t ejections = 0; // in a row; drives the back-off
        bool probing = false; // only while ejected
        instant probeSent;
        instant slowStartFrom;
        bool reports = false; // sent two reports or more
        instant heardAt; // of the last report; zero before the first
        instant measuredAt;
        double reportSeconds = 0; // moving average of the time between reports
    };
    // Failures of a failure domain with no answer from it between.
    struct domain_health {
        std::uint32_t failures = 0;
        target_slot lastFailed;
        bool severalFailed = false;
        instant failedAt;
    };
    struct pool_health {
        std::vector<target_slot> members; // sorted; exactly the used slots of the pool
        std::size_t ejected = 0; // members that are ejected, below members.size()
    };

    slot_health& at(target_slot slot);
    const slot_health* find(target_slot slot) const;
    bool isSilent(const slot_health& health, instant now) const;
    bool isInDoubt(const failure_domain_id& domain, instant now) const;
    bool mayProbe(const slot_health& health, instant now) const;
    void sampleDomain(target_slot slot, bool failed, instant now);
    bool probeRuns(const slot_health& health, instant now) const;
    void sample(slot_health& health, attempt_outcome outcome, duration latency, instant now) const;
    bool isOutlier(const slot_health& health) const;
    double medianLatency(const pool_id& pool) const;
    bool mayEject(const pool_id& pool) const;
    void eject(slot_health& health, instant now);
    void readmit(slot_health& health, instant now);

    health_settings m_settings;
    std::vector<slot_health> m_slots;
    std::map<pool_id, pool_health> m_pools; // without empty ones
    std::map<failure_domain_id, domain_health> m_domains;
};

} // namespace lovagerail
