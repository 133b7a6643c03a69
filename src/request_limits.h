// Limits of targets: the requests per second that one takes from all instances together, as it
// names in its answers, or while it is cold.
//
// One instance shares a limit out. Each of the others asks it for allowances while it has
// requests for the target; an allowance is a number of requests to be sent within a second. So
// a target gets at most its limit and a bounded burst, whatever the number of instances, and
// what one instance does not need is left to the others. Time is injected; there is no I/O.
#pragma once

#include "target_table.h"
#include "types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lovagerail {

struct request_limit_settings {
    duration allowanceLifetime = std::chrono::seconds(1); // after it was asked for; what is unused then is lost
    duration allowanceSpan = std::chrono::milliseconds(250); // an allowance is an instance's share for so long, or one request
    duration burstSpan = std::chrono::milliseconds(500); // requests of so long, or one, may be saved up
    duration minAskInterval = std::chrono::milliseconds(50);
    duration maxAskInterval = std::chrono::seconds(1);
    duration askerExpiry = std::chrono::milliseconds(1500); // an instance that asked within this time has a share
    double maxPerSecond = 1e6; // a larger limit counts as this one
    double minPerSecond = 0.2; // of a target that names less: only an answer tells that its limit has ended
};

// What an instance may send to a target.
struct allowance {
    std::uint32_t requests = 0;
    duration askAgainIn {};
    double sharePerSecond = 0; // of the instance, while as many ask as now
};

// What a cold target may get in any second, from all instances together.
struct cold_bound {
    double perSecond = 0; // its rate; 0: no limit
    double overshoot = 1; // factor
    double slack = 0; // requests beyond that

    double requestsInAnySecond() const { return perSecond * overshoot + slack; }
};

// The settings under which limits of cold targets are shared out: allowances live for a short time,
// so that few are open when the instance that shares out changes.
request_limit_settings coldLimitSettings();

// The rate that may be shared out so that the bound holds while two instances share it out at once,
// as their lists of members differ, and each instance also takes its equal share.
double sharedColdRate(const cold_bound& bound);

// The equal share of an instance while nobody shares a limit out: one request in each of its turns.
// The turns of the instances follow each other by the wall clock, so that the requests of all are
// spread evenly without messages. `rank` is its position among the `count` instances. `lastTurn` is
// when it was given a request last.
allowance takeTurn(double perSecond, std::size_t rank, std::size_t count, wall_time now, std::optional<wall_time>& lastTurn);

enum class limit_change {
    None,
    Named, // for the first time, or another number than before
    Ended,
};

// --- Enforcement, on each instance ---------------------------------------------

class request_limits {
public:
    explicit request_limits(request_limit_settings settings = {});

    // Takes note of an answer of the target to a request sent at `sentAt`: the limit that it
    // names, or that it names none.
    limit_change observe(target_slot target, std::optional<double> perSecond, instant sentAt, instant now);
    // Another target, or another incarnation, has the slot now.
    void reset(target_slot target) { m_limits.erase(target); }

    // The limit that the target named last; empty if it names none.
    std::optional<double> limitOf(target_slot target) const;
    // Time since an answer named the limit.
    duration ageOf(target_slot target, instant now) const;
    // The part of the limit that this instance may use; the whole limit until it was told.
    double shareOf(target_slot target) const;

    // Whether a request may be sent to the target now.
    bool mayStart(target_slot target, instant now) const;
    // A request was sent; one that was not allowed counts against the next allowance.
    void started(target_slot target, instant now);
    // There is a request for the target that may not start.
    void want(target_slot target);

    // Targets for which an allowance is to be asked for now. Each is answered by granted() or
    // askFailed().
    std::vector<target_slot> takeDue(instant now);
    void granted(target_slot target, const allowance& given, instant askedAt, instant now);
    void askFailed(target_slot target);

private:
    struct limit_state {
        double perSecond = 0;
        instant namedAt {}; // last time
        double available = 0; // requests that may start; negative after unallowed ones
        instant availableUntil {};
        double sharePerSecond = 0; // 0: not known
        bool wanted = false;
        bool asking = false;
        instant nextAsk {};
    };

    request_limit_settings m_settings;
    std::map<target_slot, limit_state> m_limits; // targets that name a limit
};

// --- Allocation, on the instance that shares a limit out -------------------------

class limit_allocator {
public:
    explicit limit_allocator(request_limit_settings settings = {});

    // An allowance for one instance. `perSecond` is the limit as that instance knows it, named
    // `age` ago.
    allowance grant(const target_id& target, incarnation incarnationNumber, double perSecond, duration age, const instance_id& asker, instant now);
    // Forgets targets for which nobody has asked for a while.
    void dropUnused(instant now);
    std::size_t size() const { return m_shared.size(); }

private:
    struct shared_limit {
        incarnation incarnationNumber;
        double perSecond = 0;
        instant namedAt {};
        double saved = 1; // requests that nobody was given yet
        instant savedAt {};
        std::map<instance_id, instant> askers; // with the time when each asked last
    };

    request_limit_settings m_settings;
    std::map<target_id, shared_limit> m_shared;
};

} // namespace lovagerail
