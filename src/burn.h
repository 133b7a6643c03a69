// Service-level objectives, error budgets and burn rates per client account and pool.
//
// Counts of good and bad events lie in three rings of buckets (30 s, 5 min, 1 h)
// for each account, pool and objective that saw work, so memory is bounded by
// live cells: about 0.5 KB each. An event costs O(log cells). Figures of several
// instances are of different events, so merging them is adding them.
//
// A burn rate of 1 spends exactly the error budget of the period; it is kept in
// thousandths, in whole numbers, so that every instance computes the same.
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
    FullAnswer, // whole answer within the bound
    Staleness, // sample's age in versions within the bound
    ReportDelay, // usage report accepted within the bound after the window's end
};
constexpr std::size_t burnObjectives = 5;
std::string_view toString(burn_objective objective);

// Why an event was bad.
enum class burn_cause : std::uint8_t {
    Queued, // waited with us for most of the time
    Refused,
    SlowTarget,
    Retried,
    Failed, // ended without a whole answer, after it had run
    Late, // a sample or report that was behind
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
    std::uint32_t goodPerMillion = 999'000; // below a million: a budget of nothing can't be burned
    duration within {}; // FirstToken, FullAnswer, ReportDelay
    std::uint64_t versions = 0; // Staleness
};

// Bounds of one account and pool; an objective without a bound isn't counted.
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

// How one request ended, as the caller saw it.
struct request_served {
    enum class outcome {
        Answered,
        Refused,
        Failed,
    };
    burn_scope scope;
    outcome how = outcome::Answered;
    std::optional<duration> firstToken; // none for plain services
    duration whole {}; // arrival to end
    duration queued {}; // of it, before a target had it
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
// What one instance, or several together, saw for one account, pool and objective.
struct burn_figures {
    objective_bound bound;
    std::array<burn_counts, burnWindows> windows {};
    std::array<std::uint64_t, burnCauses> causes {}; // bad events of the last hour
    std::array<burn_counts, burnSeriesLength> series {}; // [0] is the newest bucket
    burn_figures& operator+=(const burn_figures& other);
};
using burn_table = std::map<burn_key, burn_figures>;

void merge(burn_table& into, const burn_table& from);
Json::Value toJson(const burn_table& table);
result<burn_table> burnTableFromJson(const Json::Value& json);

namespace detail {

    // Counts by age in a ring of equal buckets.
    template <typename Count, std::size_t Size>
    class bucket_ring {
    public:
        // Empties the buckets that `slot`, the current one, has passed. Time never goes back.
        void moveTo(std::int64_t slot)
        {
            if (slot <= m_slot)
                return;
            const std::int64_t passed = std::min<std::int64_t>(slot - m_slot, Size);
            for (std::int64_t i = 1; i <= passed; ++i)
                at(slot - passed + i) = Count {};
            m_slot = slot;
        }
        Count& current() { return at(m_slot); }
        const Count& aged(std::size_t age) const { return m_buckets[index(m_slot - static_cast<std::int64_t>(age))]; }

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

    // Invariant: all rings stand at the time of the last event or reading.
    struct burn_cell {
        bucket_ring<small_counts, 10> halfMinutes; // five minutes
        bucket_ring<small_counts, burnSeriesLength> fiveMinutes; // half an hour and an hour
        bucket_ring<small_counts, 6> hours; // six hours
        bucket_ring<std::array<std::uint32_t, burnCauses>, 2> causes; // of an hour, in halves
        instant lastUsed;
    };

} // namespace detail

// One instance's counts. Owned by the decision thread.
class burn_tracker {
public:
    // Bounds by scope; an empty account or pool stands for every one. The most exact one holds.
    void setBounds(std::map<burn_scope, objective_bounds> bounds);

    void count(const request_served& event, instant now);
    void count(const sample_delivered& event, instant now);
    void count(const usage_reported& event, instant now);

    // Figures as of now. Cells without an event for six hours are dropped.
    burn_table figures(instant now);
    std::size_t cells() const { return m_cells.size(); }

private:
    const objective_bound* boundOf(const burn_scope& scope, burn_objective objective) const;
    void add(const burn_scope& scope, burn_objective objective, bool good, burn_cause cause, instant now);

    std::map<burn_scope, objective_bounds> m_bounds;
    std::map<burn_key, detail::burn_cell> m_cells;
};

enum class burn_alert {
    None,
    Ticket, // over 6 for six hours and for the last half hour
    Page, // over 14.4 for an hour and for the last five minutes
};
std::string_view toString(burn_alert alert);

struct burn_row {
    burn_key key;
    burn_figures figures;
    std::array<std::uint64_t, burnWindows> burnMilli {}; // burn rate in thousandths
    std::uint64_t budgetSpentPerMillion = 0; // of the period's budget, by the last six hours
    burn_alert alert = burn_alert::None;
    std::optional<burn_cause> mainCause; // of the last hour's bad events
};

struct burn_report {
    std::vector<burn_row> rows; // the fastest burn of the last hour first
    std::optional<client_account_id> worstAccount;
    std::optional<burn_row> worstRow; // why it is the worst
};

// Burn rate in thousandths; 0 without events.
std::uint64_t burnRateMilli(const burn_counts& counts, const objective_bound& bound);
burn_report makeBurnReport(const burn_table& table);

} // namespace lovagerail
