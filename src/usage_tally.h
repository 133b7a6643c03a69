// Counts of the requests that began to run, per window of calendar time and client
// account. Holds the counts of this instance and copies of the counts of others, which
// remain available when those instances are gone.
//
// Performs no I/O. Windows are numbered from 1970; only the newest ones are kept. A count
// never decreases, so copies are merged by taking the maximum, which is commutative and
// idempotent.
#pragma once

#include "types.h"

#include <cstdint>
#include <map>
#include <set>

namespace lovagerail {

using usage_counts = std::map<client_account_id, std::uint64_t>;
// One incarnation of the instance that counted.
using counting_incarnation = name_id<struct usage_origin_tag>;
using usage_by_origin = std::map<counting_incarnation, usage_counts>;

class usage_tally {
public:
    usage_tally(std::chrono::milliseconds window, std::uint64_t windowsKept, counting_incarnation self)
        : m_window(window)
        , m_kept(windowsKept)
        , m_self(std::move(self))
    {
    }

    void count(const client_account_id& account, wall_time began);
    // Merges another instance's counts of a window.
    void mergeCounts(std::uint64_t window, const usage_by_origin& more);
    // All known counts of a window; empty if no request is known to have begun in it.
    usage_by_origin countsOf(std::uint64_t window) const;
    // Only the counts of this instance.
    usage_by_origin ownCounts(std::uint64_t window) const;
    // Windows with known counts that end after this time.
    std::set<std::uint64_t> since(wall_time at) const;
    std::uint64_t windowAt(wall_time at) const { return static_cast<std::uint64_t>(at.time_since_epoch() / m_window); }
    wall_time endOf(std::uint64_t window) const { return wall_time(m_window * static_cast<std::int64_t>(window + 1)); }
    std::chrono::milliseconds window() const { return m_window; }

private:
    void dropOld();

    std::chrono::milliseconds m_window;
    std::uint64_t m_kept;
    counting_incarnation m_self;
    std::map<std::uint64_t, usage_by_origin> m_counts; // at most m_kept windows
};

void mergeUsage(usage_by_origin& into, const usage_by_origin& more);
usage_counts sumOf(const usage_by_origin& counts);

} // namespace lovagerail
