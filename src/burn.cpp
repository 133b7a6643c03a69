// Counting of events, merging of counts, and the report computed from them; see burn.h.
#include "burn.h"

#include <algorithm>
#include <cassert>

namespace lovagerail {
namespace {

    constexpr duration halfMinute = std::chrono::seconds(30);
    constexpr duration fiveMinutes = std::chrono::minutes(5);
    constexpr duration halfHour = std::chrono::minutes(30);
    constexpr duration oneHour = std::chrono::hours(1);
    constexpr duration sixHours = std::chrono::hours(6);
    constexpr std::uint64_t million = 1'000'000;
    constexpr std::uint64_t thousand = 1'000;
    constexpr std::uint64_t pageBurnMilli = 14'400;
    constexpr std::uint64_t ticketBurnMilli = 6'000;
    // An account with fewer events in the last hour is never reported as the worst: one bad
    // answer out of two is not significant.
    constexpr std::uint64_t minEventsToRank = 10;

    std::int64_t slotOf(instant now, duration length)
    {
        return now.time_since_epoch() / length;
    }

    void advanceTo(detail::burn_cell& cell, instant now)
    {
        cell.halfMinutes.advanceTo(slotOf(now, halfMinute));
        cell.fiveMinutes.advanceTo(slotOf(now, fiveMinutes));
        cell.hours.advanceTo(slotOf(now, oneHour));
        cell.causes.advanceTo(slotOf(now, halfHour));
    }

    template <std::size_t Size>
    burn_counts sumOf(const detail::bucket_ring<detail::small_counts, Size>& ring, std::size_t buckets)
    {
        burn_counts sum;
        for (std::size_t age = 0; age < buckets; ++age)
            sum += { ring.atAge(age).good, ring.atAge(age).bad };
        return sum;
    }

    void addTo(detail::small_counts& counts, bool good)
    {
        if (good)
            ++counts.good;
        else
            ++counts.bad;
    }

    // Why an answer was late: it was retried, or else what took at least half of its time.
    burn_cause causeOfDelay(const request_served& event)
    {
        if (event.attempts > 1)
            return burn_cause::Retried;
        if (event.queued * 2 >= event.whole)
            return burn_cause::Queued;
        return burn_cause::SlowTarget;
    }

    std::size_t indexOf(burn_window window) { return static_cast<std::size_t>(window); }

    std::optional<burn_cause> mostFrequentCause(const burn_statistics& statistics)
    {
        const auto highest = std::max_element(statistics.causes.begin(), statistics.causes.end());
        if (*highest == 0)
            return std::nullopt;
        return static_cast<burn_cause>(highest - statistics.causes.begin());
    }

    burn_alert alertOf(const std::array<std::uint64_t, burnWindows>& burn)
    {
        const auto over = [&burn](burn_window window, std::uint64_t limit) { return burn[indexOf(window)] > limit; };
        if (over(burn_window::OneHour, pageBurnMilli) && over(burn_window::FiveMinutes, pageBurnMilli))
            return burn_alert::Page;
        if (over(burn_window::SixHours, ticketBurnMilli) && over(burn_window::ThirtyMinutes, ticketBurnMilli))
            return burn_alert::Ticket;
        return burn_alert::None;
    }

    burn_row makeRow(const burn_key& key, const burn_statistics& statistics)
    {
        burn_row row { key, statistics, {}, 0, burn_alert::None, mostFrequentCause(statistics) };
        for (std::size_t i = 0; i < burnWindows; ++i)
            row.burnMilli[i] = burnRateMilli(statistics.windows[i], statistics.bound);
        // Six hours at burn rate 1 spend six hours' share of the period's budget.
        const std::uint64_t shares = static_cast<std::uint64_t>(budgetPeriod / sixHours);
        row.budgetSpentPerMillion = row.burnMilli[indexOf(burn_window::SixHours)] * (million / thousand) / shares;
        row.alert = alertOf(row.burnMilli);
        return row;
    }

    bool burnsFaster(const burn_row& left, const burn_row& right)
    {
        const auto rank = [](const burn_row& row) {
            return std::make_tuple(row.burnMilli[indexOf(burn_window::OneHour)], row.burnMilli[indexOf(burn_window::SixHours)]);
        };
        if (rank(left) != rank(right))
            return rank(left) > rank(right);
        return left.key < right.key;
    }

} // namespace

std::string_view toString(burn_objective objective)
{
    constexpr std::array<std::string_view, burnObjectives> names { "availability", "first token", "full answer", "staleness", "report delay" };
    return names[static_cast<std::size_t>(objective)];
}

std::string_view toString(burn_cause cause)
{
    constexpr std::array<std::string_view, burnCauses> names { "queued", "refused", "slow target", "retried", "failed", "late" };
    return names[static_cast<std::size_t>(cause)];
}

std::string_view toString(burn_window window)
{
    constexpr std::array<std::string_view, burnWindows> names { "5m", "30m", "1h", "6h" };
    return names[static_cast<std::size_t>(window)];
}

std::string_view toString(burn_alert alert)
{
    constexpr std::array<std::string_view, 3> names { "none", "ticket", "page" };
    return names[static_cast<std::size_t>(alert)];
}

burn_counts& burn_counts::operator+=(const burn_counts& other)
{
    good += other.good;
    bad += other.bad;
    return *this;
}

burn_statistics& burn_statistics::operator+=(const burn_statistics& other)
{
    for (std::size_t i = 0; i < burnWindows; ++i)
        windows[i] += other.windows[i];
    for (std::size_t i = 0; i < burnCauses; ++i)
        causes[i] += other.causes[i];
    for (std::size_t i = 0; i < burnSeriesLength; ++i)
        series[i] += other.series[i];
    return *this;
}

void merge(burn_table& into, const burn_table& from)
{
    for (const auto& [key, statistics] : from) {
        burn_statistics& sum = into[key];
        sum.bound = statistics.bound; // all instances use the same configuration
        sum += statistics;
    }
}

void burn_tracker::setBounds(std::map<burn_scope, objective_bounds> bounds)
{
    m_bounds = std::move(bounds);
}

const objective_bound* burn_tracker::boundOf(const burn_scope& scope, burn_objective objective) const
{
    const std::array<burn_scope, 4> scopes { scope, burn_scope { scope.account, pool_id() },
        burn_scope { client_account_id(), scope.pool }, burn_scope {} };
    for (const burn_scope& candidate : scopes) {
        const auto bounds = m_bounds.find(candidate);
        if (bounds == m_bounds.end())
            continue;
        const auto bound = bounds->second.find(objective);
        if (bound != bounds->second.end())
            return &bound->second;
    }
    return nullptr;
}

void burn_tracker::add(const burn_scope& scope, burn_objective objective, bool good, burn_cause cause, instant now)
{
    detail::burn_cell& cell = m_cells[{ scope, objective }];
    advanceTo(cell, now);
    cell.lastUsed = std::max(cell.lastUsed, now);
    addTo(cell.halfMinutes.current(), good);
    addTo(cell.fiveMinutes.current(), good);
    addTo(cell.hours.current(), good);
    if (!good)
        ++cell.causes.current()[static_cast<std::size_t>(cause)];
}

void burn_tracker::count(const request_served& event, instant now)
{
    const bool answered = event.ending == request_served::outcome::Answered;
    const burn_cause refusal = event.ending == request_served::outcome::Refused ? burn_cause::Refused : burn_cause::Failed;
    // Step 1. Availability: whether there was an answer at all.
    if (boundOf(event.scope, burn_objective::Availability) != nullptr)
        add(event.scope, burn_objective::Availability, answered, refusal, now);
    // Step 2. Whether the full answer came in time; a missing answer counts as late.
    if (const objective_bound* bound = boundOf(event.scope, burn_objective::FullAnswer); bound != nullptr) {
        const bool good = answered && event.whole <= bound->within;
        add(event.scope, burn_objective::FullAnswer, good, answered ? causeOfDelay(event) : refusal, now);
    }
    // Step 3. Whether the first token came in time, for answers made of tokens.
    if (!event.firstToken)
        return;
    if (const objective_bound* bound = boundOf(event.scope, burn_objective::FirstToken); bound != nullptr) {
        request_served untilFirst = event;
        untilFirst.whole = *event.firstToken;
        add(event.scope, burn_objective::FirstToken, *event.firstToken <= bound->within, causeOfDelay(untilFirst), now);
    }
}

void burn_tracker::count(const sample_delivered& event, instant now)
{
    if (const objective_bound* bound = boundOf(event.scope, burn_objective::Staleness); bound != nullptr)
        add(event.scope, burn_objective::Staleness, event.ageInVersions <= bound->versions, burn_cause::Late, now);
}

void burn_tracker::count(const usage_reported& event, instant now)
{
    if (const objective_bound* bound = boundOf(event.scope, burn_objective::ReportDelay); bound != nullptr)
        add(event.scope, burn_objective::ReportDelay, event.delay <= bound->within, burn_cause::Late, now);
}

burn_table burn_tracker::statistics(instant now)
{
    std::erase_if(m_cells, [now](const auto& cell) { return cell.second.lastUsed + sixHours <= now; });
    burn_table table;
    for (auto& [key, cell] : m_cells) {
        const objective_bound* bound = boundOf(key.scope, key.objective);
        if (bound == nullptr)
            continue; // the objective is no longer configured
        advanceTo(cell, now);
        burn_statistics& statistics = table[key];
        statistics.bound = *bound;
        statistics.windows[indexOf(burn_window::FiveMinutes)] = sumOf(cell.halfMinutes, fiveMinutes / halfMinute);
        statistics.windows[indexOf(burn_window::ThirtyMinutes)] = sumOf(cell.fiveMinutes, halfHour / fiveMinutes);
        statistics.windows[indexOf(burn_window::OneHour)] = sumOf(cell.fiveMinutes, oneHour / fiveMinutes);
        statistics.windows[indexOf(burn_window::SixHours)] = sumOf(cell.hours, sixHours / oneHour);
        for (std::size_t i = 0; i < burnSeriesLength; ++i)
            statistics.series[i] = { cell.fiveMinutes.atAge(i).good, cell.fiveMinutes.atAge(i).bad };
        for (std::size_t i = 0; i < burnCauses; ++i)
            statistics.causes[i] = std::uint64_t(cell.causes.atAge(0)[i]) + cell.causes.atAge(1)[i];
    }
    return table;
}

std::uint64_t burnRateMilli(const burn_counts& counts, const objective_bound& bound)
{
    const std::uint64_t total = counts.good + counts.bad;
    if (total == 0)
        return 0;
    const std::uint64_t budget = std::max<std::uint64_t>(1, million - std::min<std::uint64_t>(bound.goodPerMillion, million));
    return counts.bad * million * thousand / (total * budget);
}

burn_report makeBurnReport(const burn_table& table)
{
    burn_report report;
    for (const auto& [key, statistics] : table)
        report.rows.push_back(makeRow(key, statistics));
    std::sort(report.rows.begin(), report.rows.end(), burnsFaster);
    for (const burn_row& row : report.rows) {
        const burn_counts& hour = row.statistics.windows[indexOf(burn_window::OneHour)];
        if (hour.bad == 0 || hour.good + hour.bad < minEventsToRank || row.key.scope.account.empty())
            continue;
        report.worstAccount = row.key.scope.account;
        report.worstRow = row;
        break;
    }
    return report;
}

} // namespace lovagerail
