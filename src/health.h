// Health of each target as this daemon sees it: outlier detection, ejection with
// back-off, half-open probing and slow start. Acts as a circuit breaker per target.
//
// At most maxEjectedShare of a pool is ejected at a time, and never its last
// available target, so that a fault of our own network can't empty a pool. A
// failing target that may not be ejected gets a lower weight instead; so does one
// whose load reports stopped, and one whose failure domain stopped answering.
//
// Load reports take the place of probes: an ejected target that used to send them
// and has sent none since gets no probe request until silentProbeDelay has passed.
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
    Refused, // the target answered "not run": it is busy, not failing
    Failure, // an answer that counts as the target's own error
    Reset, // the connection broke
    Timeout };

enum class health_state { Healthy,
    SlowStart,
    Ejected,
    HalfOpen }; // ejection time is over: one probe may be sent or is in flight

struct health_settings {
    std::uint32_t consecutiveFailures = 3; // a target with so many failures in a row is ejected
    double failureShare = 0.5; // a target whose recent share of failed attempts is above this value is ejected
    std::uint32_t minSamples = 10; // attempts before failureShare and latencyFactor are applied
    double latencyFactor = 8; // a target whose mean latency per unit of work is above so many times the pool's median is ejected
    double learningRate = 0.1; // weight of one sample in the moving averages
    // Half-life of the shares of failures and refusals. Also how long a failure domain stays
    // suspect after its last failure.
    duration shareHalfLife = std::chrono::seconds(10);
    double maxEjectedShare = 0.5; // of a pool
    duration baseEjection = std::chrono::seconds(2); // doubles with each further ejection in a row
    duration maxEjection = std::chrono::minutes(2);
    duration slowStart = std::chrono::seconds(10);
    double minWeight = 0.1; // at the start of slow start, and of a failing target
    double silentAfterIntervals = 3; // mean report intervals without a report until a target counts as silent
    duration reportGrace = std::chrono::milliseconds(500); // added to these intervals
    duration silentProbeDelay = std::chrono::minutes(1); // an ejected target that stopped sending reports is probed only after so long
    std::uint32_t domainFailureThreshold = 3; // failures in a row, at two targets or more, that make a failure domain suspect
    duration probeTimeout = std::chrono::seconds(10); // a probe without an outcome after so long is given up
};

class health_monitor {
public:
    explicit health_monitor(health_settings settings = {});

    // A target became live in the pool: its slow start begins. Ignored if it is a
    // member of that pool already.
    void started(target_slot slot, const pool_id& pool, const failure_domain_id& domain, instant now);
    // The target is no longer live; its record is deleted.
    void onTargetRemoved(target_slot slot);

    // The target sent a load report.
    void onLoadReport(target_slot slot, instant measuredAt, instant now);
    // The target sent a first token: its failure domain answers.
    void onFirstToken(target_slot slot);

    // An attempt was sent to the target; in the half-open state it is the probe.
    void recordSent(target_slot slot, instant now);
    // An attempt ended; `latency` is per unit of work, to be compared within the pool.
    void ended(target_slot slot, attempt_outcome outcome, duration latency, instant now);

    // Share of its normal work that the target may get: 0 while ejected, 1 when healthy.
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
        std::uint32_t failureStreak = 0; // failures since the last success
        double failureShare = 0; // moving average, 0..1
        double refusedShare = 0; // moving average, 0..1; lowers the weight, never causes ejection
        std::uint32_t samples = 0;
        instant sampledAt;
        double latencySeconds = 0; // moving average; zero before the first sample
        bool ejected = false; // from ejection until a probe succeeds
        instant ejectedAt;
        instant ejectionEnd; // from this time on a probe may be sent
        std::uint32_t ejectionStreak = 0; // in a row; the exponent of the back-off
        bool probing = false; // a probe was sent and has no outcome; only while ejected
        instant probeSent;
        instant slowStartBegin;
        bool sendsReports = false; // it sent two load reports or more
        instant lastReportAt; // arrival of the last report; zero before the first
        instant measuredAt; // newest time at which a report was measured
        double reportIntervalSeconds = 0; // moving average of the time between reports
    };
    // Failures at the targets of a failure domain since any of them last answered.
    struct domain_health {
        std::uint32_t failures = 0;
        target_slot lastFailed;
        bool severalTargetsFailed = false;
        instant failedAt;
    };
    struct pool_health {
        std::vector<target_slot> members; // sorted; the used slots of the pool
        std::size_t ejected = 0; // number of ejected members, less than members.size()
    };

    slot_health& at(target_slot slot);
    const slot_health* find(target_slot slot) const;
    bool isSilent(const slot_health& health, instant now) const;
    bool isDomainSuspect(const failure_domain_id& domain, instant now) const;
    bool mayProbe(const slot_health& health, instant now) const;
    void recordDomainOutcome(target_slot slot, bool failed, instant now);
    bool isProbeRunning(const slot_health& health, instant now) const;
    void recordOutcome(slot_health& health, attempt_outcome outcome, duration latency, instant now) const;
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
