// Requests that began to run, by window of calendar time and client account, as one
// instance counted them; and the sum over instances that one of them reports.
//
// Pure. Windows are numbered from 1970. Old ones are dropped.
#pragma once

#include "types.h"

#include <cstdint>
#include <map>

namespace lovagerail {

using usage_counts = std::map<client_account_id, std::uint64_t>;

class usage_tally {
public:
    usage_tally(std::chrono::milliseconds window, std::uint64_t windowsKept)
        : m_window(window)
        , m_kept(windowsKept)
    {
    }

    void count(const client_account_id& account, wall_time began);
    // Counts of a window so far; empty if nothing began in it.
    usage_counts of(std::uint64_t window) const;
    std::uint64_t windowAt(wall_time at) const { return static_cast<std::uint64_t>(at.time_since_epoch() / m_window); }
    wall_time endOf(std::uint64_t window) const { return wall_time(m_window * static_cast<std::int64_t>(window + 1)); }

private:
    std::chrono::milliseconds m_window;
    std::uint64_t m_kept;
    std::map<std::uint64_t, usage_counts> m_counts; // at most m_kept windows
};

void addCounts(usage_counts& sum, const usage_counts& more);

} // namespace lovagerail
