// Service-level objectives, error budgets and burn rates per client account and pool.
//
// For each account, pool and objective with recent events, good and bad events are counted
// in ring buffers of time buckets (30 s, 5 min, 1 h). One such cell takes about 0.5 KB, and
// an event costs O(log cells). Each event is counted at exactly one instance, so the counts
// of several instances are merged by adding them.
//
// A burn rate of 1 spends exactly the error budget of the period. Burn rates are integers in
// thousandths, so that every instance computes the same value.
#pragma once

#include "error.h"
#include "types.h"

#include <array>
#include <cstdint>
#include <json/json.h>
#include <map>
#include <optional>
#include <vector>

namespace lovagerail {

enum class burn_objective : std::uint8_t {
    Availability, // answered, neither refused nor failed
    FirstToken, // time to first token within the bound
    FullAnswer, // time to the end of the answer within the bound
    Staleness, // age of a training sample in weight versions within the bound
    ReportDelay, // usage report accepted within the bound after the window's end
};
constexpr std::size_t burnObjectives = 5;
std::string_view toString(burn_objective objective);

// Why an event was bad.
enum class burn_cause : std::uint8_t {
    Queued, // waited here, before a target had it, for at least half of the time
    Refused,
    SlowTarget,
    Retried,
    Failed, // ended without a complete answer after it had run
    Late, // a stale sample or a late report
};
constexpr std::size_t burnCauses = 6;
std::string_view toString(burn_cause cause);

enum class burn_window : std::uint8_t {
    FiveMinutes,
    ThirtyMinutes,
    OneHour,
    SixHours,
};
constexpr std::size_t burnWindows = 4;
std::string_view toString(burn_window window);
constexpr std::chrono::minutes budgetPeriod { 30 * 24 * 60 };

struct objective_bound {
    std::uint32_t goodPerMillion = 999'000; // below a million: without an error budget there is no burn rate
    duration within {}; // FirstToken, FullAnswer, ReportDelay
    std::uint64_t versions = 0; // Staleness
};

// Bounds of one account and pool. Objectives without a bound are not counted.
using objective_bounds = std::map<burn_objective, objective_bound>;

struct burn_scope {
    client_account_id account;
    pool_id pool;
    friend auto operator<=>(const burn_scope&, const burn_scope&) = default;
};

struct burn_key {
    burn_scope scope;
    burn_objective objective = burn_objective::Availability;
    friend auto operator<=>(const burn_key&, const burn_key&) = default;
};

// How one request ended from the caller's point of view.
struct request_served {
    enum class outcome {
        Answered,
        Refused,
        Failed,
    };
    burn_scope scope;
    outcome ending = outcome::Answered; // how the request ended
    std::optional<duration> firstToken; // from arrival to the first token; none for plain services
    duration whole {}; // from arrival to the end
    duration queued {}; // part of `whole` before a target had it
    std::uint32_t attempts = 1;
};
struct sample_delivered {
    burn_scope scope;
    std::uint64_t ageInVersions = 0;
};
struct usage_reported {
    burn_scope scope; // the pool is empty: a report covers all pools
    duration delay {};
};

struct burn_counts {
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
    burn_counts& operator+=(const burn_counts& other);
    friend bool operator==(const burn_counts&, const burn_counts&) = default;
};

constexpr std::size_t burnSeriesLength = 12; // five minutes each
// Counts of one instance, or the sum over several, for one account, pool and objective.
struct burn_statistics {
    objective_bound bound;
    std::array<burn_counts, burnWindows> windows {};
    std::array<std::uint64_t, burnCauses> causes {}; // bad events of the last hour
    std::array<burn_counts, burnSeriesLength> series {}; // [0] is the newest bucket
    burn_statistics& operator+=(const burn_statistics& other);
};
using burn_table = std::map<burn_key, burn_statistics>;

void merge(burn_table& into, const burn_table& from);
Json::Value toJson(const burn_table& table);
result<burn_table> burnTableFromJson(const Json::Value& json);

namespace detail {

    // Ring buffer of counts, one bucket per time slot.
    template <typename Count, std::size_t Size>
    class bucket_ring {
    public:
        // Makes `slot` the current one and clears the buckets of the slots since the last
        // one. An earlier slot is ignored.
        void advanceTo(std::int64_t slot)
        {
            if (slot <= m_slot)
                return;
            const std::int64_t passed = std::min<std::int64_t>(slot - m_slot, Size);
            for (std::int64_t i = 1; i <= passed; ++i)
                at(slot - passed + i) = Count {};
            m_slot = slot;
        }
        Count& current() { return at(m_slot); }
        const Count& atAge(std::size_t age) const { return m_buckets[index(m_slot - static_cast<std::int64_t>(age))]; }

    private:
        static std::size_t index(std::int64_t slot) { return static_cast<std::size_t>((slot % static_cast<std::int64_t>(Size) + Size) % Size); }
        Count& at(std::int64_t slot) { return m_buckets[index(slot)]; }

        std::array<Count, Size> m_buckets {};
        std::int64_t m_slot = 0;
    };

    struct small_counts {
        std::uint32_t good = 0;
        std::uint32_t bad = 0;
    };

    // Invariant: all rings have advanced to the time of the last event or report.
    struct burn_cell {
        bucket_ring<small_counts, 10> halfMinutes; // for the window of 5 min
        bucket_ring<small_counts, burnSeriesLength> fiveMinutes; // for the windows of 30 min and 1 h
        bucket_ring<small_counts, 6> hours; // for the window of 6 h
        bucket_ring<std::array<std::uint32_t, burnCauses>, 2> causes; // two buckets of 30 min
        instant lastUsed;
    };

} // namespace detail

// Counts the events of one instance. Not thread-safe: used by the decision thread only.
class burn_tracker {
public:
    // Sets the bounds. An empty account or pool in a scope matches all; the most specific
    // scope applies, an account before a pool.
    void setBounds(std::map<burn_scope, objective_bounds> bounds);

    void count(const request_served& event, instant now);
    void count(const sample_delivered& event, instant now);
    void count(const usage_reported& event, instant now);

    // Returns the counts as of `now`. Drops cells without an event for six hours.
    burn_table statistics(instant now);
    std::size_t cells() const { return m_cells.size(); }

private:
    const objective_bound* boundOf(const burn_scope& scope, burn_objective objective) const;
    void add(const burn_scope& scope, burn_objective objective, bool good, burn_cause cause, instant now);

    std::map<burn_scope, objective_bounds> m_bounds;
    std::map<burn_key, detail::burn_cell> m_cells;
};

enum class burn_alert {
    None,
    Ticket, // burn rate above 6 over both the last six hours and the last half hour
    Page, // burn rate above 14.4 over both the last hour and the last five minutes
};
std::string_view toString(burn_alert alert);

struct burn_row {
    burn_key key;
    burn_statistics statistics;
    std::array<std::uint64_t, burnWindows> burnMilli {}; // burn rate in thousandths
    std::uint64_t budgetSpentPerMillion = 0; // share of the period's budget spent in the last six hours
    burn_alert alert = burn_alert::None;
    std::optional<burn_cause> mainCause; // most frequent cause of bad events in the last hour
};

struct burn_report {
    std::vector<burn_row> rows; // by burn rate of the last hour, highest first
    std::optional<client_account_id> worstAccount;
    std::optional<burn_row> worstRow; // that account's row with the highest burn rate
};

// Burn rate in thousandths; 0 without events.
std::uint64_t burnRateMilli(const burn_counts& counts, const objective_bound& bound);
burn_report makeBurnReport(const burn_table& table);

} // namespace lovagerail
