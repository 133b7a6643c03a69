// Computes how many targets are needed and where to start or stop one; see capacity.h.
#include "capacity.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace lovagerail {

namespace {

    constexpr double epsilon = 1e-9;

    double seconds(duration time) { return std::chrono::duration<double>(time).count(); }

    // Rounds up, but ignores rounding errors of the floating-point computation.
    std::uint32_t roundUpTargets(double targets)
    {
        constexpr double noise = 1e-6;
        constexpr double upperLimit = 1e6;
        return static_cast<std::uint32_t>(std::ceil(std::clamp(targets - noise, 0.0, upperLimit)));
    }

    double movingAverage(double before, double sample, double share) { return before + (sample - before) * share; }

    bool prefersCheap(const target_pool& pool)
    {
        return pool.allowCheap && (pool.firmPricePerHour.count() == 0 || pool.cheapPricePerHour < pool.firmPricePerHour);
    }

    bool containsPlace(const std::vector<capacity_place>& places, const capacity_place& place)
    {
        return std::find(places.begin(), places.end(), place) != places.end();
    }

    // Numbers of targets by kind and by failure domain, including those being started.
    class place_counts {
    public:
        explicit place_counts(const capacity_view& view)
        {
            for (const auto& target : view.targets) {
                if (!target.stopping && target.state != target_state::Leaving && target.state != target_state::Gone)
                    add({ target.kind, target.failureDomain });
            }
            for (const auto& place : view.starting)
                add(place);
        }
        void add(const capacity_place& place)
        {
            ++m_domains[place.failureDomain];
            ++(place.kind == supply_kind::Cheap ? m_cheap : m_firm);
        }
        std::uint32_t in(const failure_domain_id& domain) const
        {
            const auto found = m_domains.find(domain);
            return found == m_domains.end() ? 0 : found->second;
        }
        std::uint32_t firm() const { return m_firm; }
        std::uint32_t all() const { return m_firm + m_cheap; }
        std::uint32_t inFullest() const
        {
            std::uint32_t largest = 0;
            for (const auto& [domain, count] : m_domains)
                largest = std::max(largest, count);
            return largest;
        }
        void remove(const capacity_place& place)
        {
            --m_domains[place.failureDomain];
            --(place.kind == supply_kind::Cheap ? m_cheap : m_firm);
        }
        std::uint32_t fewestInAny(const std::vector<failure_domain_id>& domains) const
        {
            auto fewest = all();
            for (const auto& domain : domains)
                fewest = std::min(fewest, in(domain));
            return fewest;
        }

    private:
        std::map<failure_domain_id, std::uint32_t> m_domains;
        std::uint32_t m_firm = 0;
        std::uint32_t m_cheap = 0;
    };

} // namespace

std::string_view toString(capacity_policy policy)
{
    switch (policy) {
    case capacity_policy::Forecast:
        return "forecast";
    case capacity_policy::Fixed:
        return "fixed";
    case capacity_policy::Utilisation:
        return "utilisation";
    case capacity_policy::QueueLength:
        return "queue length";
    }
    return "";
}

void capacity_planner::observe(const demand_sample& sample, instant now)
{
    assert(sample.open >= 0 && sample.queued >= 0 && sample.perTarget > 0);
    const double load = sample.open + sample.queued;
    if (!m_hasSample) {
        m_hasSample = true;
        m_firstSampleAt = now;
        m_level = load;
        m_trendLevel = load;
    } else {
        const double passed = std::max(0.0, seconds(now - m_lastSampleAt));
        m_level = movingAverage(m_level, load, 1 - std::exp(-passed / seconds(m_settings.levelTime)));
        m_trendLevel = movingAverage(m_trendLevel, load, 1 - std::exp(-passed / seconds(m_settings.trendTime)));
    }
    m_lastSample = sample;
    m_lastSampleAt = now;
}

// Forecast of the load at the time when a target that is ordered now has started.
double capacity_planner::forecastLoad(duration startUp) const
{
    // The two moving averages lag the load by their time constants, so their difference
    // over the difference of the lags is the trend. A queue is load that is already there,
    // so it counts at once and not only when the averages have followed.
    const double lag = std::max(epsilon, seconds(m_settings.trendTime - m_settings.levelTime));
    const double trend = std::max(0.0, (m_level - m_trendLevel) / lag);
    const double now = std::max(m_level + trend * seconds(m_settings.levelTime), m_lastSample.queued > 0 ? m_lastSample.open + m_lastSample.queued : 0.0);
    const double trendForecast = now + trend * seconds(startUp);
    // Headroom for a doubling that the trend does not show yet; not added to the trend.
    const double growth = std::min(1.0, seconds(startUp) / seconds(m_settings.doublingTime));
    return std::max(trendForecast, m_level * (1 + growth));
}

// The need under `scale` times the observed demand.
capacity_planner::target_need capacity_planner::computeNeed(const target_pool& pool, double scale) const
{
    target_need out;
    const double perTarget = std::max(epsilon, m_lastSample.perTarget);
    const double load = scale * (m_lastSample.open + m_lastSample.queued);
    switch (m_settings.policy) {
    case capacity_policy::Fixed:
        out.total = m_settings.fixedSize ? m_settings.fixedSize : pool.ceiling;
        break;
    case capacity_policy::Utilisation:
        out.total = roundUpTargets(scale * m_level / (perTarget * m_settings.utilisation));
        break;
    case capacity_policy::QueueLength:
        out.total = roundUpTargets(load / perTarget) + (m_lastSample.queued > 0 ? 1 : 0);
        break;
    case capacity_policy::Forecast: {
        // Step 1. The forecast load at the desired utilisation.
        const double forecast = scale * forecastLoad(std::chrono::seconds(pool.startUpS));
        out.total = roundUpTargets(forecast / (perTarget * m_settings.forecastUtilisation));
        // Step 2. The present load on what is left after the loss of the fullest failure domain.
        if (pool.failureDomains.size() > 1)
            out.afterLoss = roundUpTargets(scale * m_level / (perTarget * m_settings.afterLoss));
        // Step 3. One more while requests queue and an account burns its error budget too fast.
        if (m_lastSample.burn > 1 && m_lastSample.queued > 0)
            out.total += 1;
        break;
    }
    }
    out.total = std::clamp(out.total, pool.floor, std::max(pool.floor, pool.ceiling));
    // Firm targets carry the work that may not run on cheap ones, with its headroom, and
    // make up at least half of the floor.
    const double firmShare = 1 - std::clamp(m_lastSample.cheapShare, 0.0, 1.0);
    out.firm = std::max(roundUpTargets(out.total * firmShare), (pool.floor + 1) / 2);
    out.firm = std::min(out.firm, out.total);
    if (!prefersCheap(pool))
        out.firm = out.total;
    return out;
}

std::uint32_t capacity_planner::sliding_maximum::add(std::uint32_t value, instant now, duration span)
{
    while (!window.empty() && window.back().second <= value)
        window.pop_back();
    window.emplace_back(now, value);
    while (now - window.front().first > span)
        window.pop_front();
    return window.front().second;
}

capacity_plan capacity_planner::plan(const target_pool& pool, const capacity_view& view, instant now)
{
    capacity_plan out;
    if (!m_hasSample || pool.ceiling == 0 || pool.failureDomains.empty())
        return out;
    // Step 1. Scale up at once to what is needed now.
    const auto needed = computeNeed(pool, 1);
    const auto needWithMargin = computeNeed(pool, m_settings.stopMargin);
    const auto maxTotal = m_maxTotal.add(needWithMargin.total, now, m_settings.idleTime);
    const auto maxFirm = m_maxFirm.add(needWithMargin.firm, now, m_settings.idleTime);
    const auto maxAfterLoss = m_maxAfterLoss.add(needWithMargin.afterLoss, now, m_settings.idleTime);
    out.wanted = needed.total;
    out.wantedFirm = needed.firm;
    out.wantedAfterLoss = needed.afterLoss;
    planStarts(pool, view, out);

    // Step 2. Scale down only if demand was observed for all of idleTime, and only while
    // no other start or stop is in progress.
    const bool isStarting = !out.starts.empty() || !view.starting.empty()
        || std::any_of(view.targets.begin(), view.targets.end(), [](const auto& target) { return target.state == target_state::Starting; });
    const bool isStopping = std::any_of(view.targets.begin(), view.targets.end(), [](const auto& target) { return target.stopping; });
    if (now - m_firstSampleAt < m_settings.idleTime || isStarting || isStopping || now < m_nextStopAt)
        return out;
    out.wanted = std::max(out.wanted, maxTotal);
    out.wantedFirm = std::max(out.wantedFirm, maxFirm);
    out.wantedAfterLoss = std::max(out.wantedAfterLoss, maxAfterLoss);
    if (place_counts(view).all() > out.wanted)
        planStop(pool, view, out, now);
    else
        planReplacement(pool, view, out, now);
    return out;
}

// Replaces a firm target by a cheap one: starts the cheap one here; once it runs, a firm
// one is beyond the need and planStop() stops it.
void capacity_planner::planReplacement(const target_pool& pool, const capacity_view& view, capacity_plan& out, instant now)
{
    const place_counts counts(view);
    if (!prefersCheap(pool) || m_lastSample.cheapShare <= 0 || counts.firm() <= out.wantedFirm || counts.all() >= pool.ceiling)
        return;
    capacity_plan cheap;
    cheap.wanted = counts.all() + 1;
    cheap.wantedFirm = out.wantedFirm;
    planStarts(pool, view, cheap);
    if (cheap.starts.empty() || cheap.starts.front().where.kind != supply_kind::Cheap)
        return;
    m_nextStopAt = now + m_settings.minStopInterval;
    cheap.starts.front().reason = "takes the place of a firm target";
    out.starts = cheap.starts;
}

// Starts each target in the failure domain with the fewest targets where its kind is available.
void capacity_planner::planStarts(const target_pool& pool, const capacity_view& view, capacity_plan& out) const
{
    place_counts counts(view);
    // Targets being stopped still run, so they count against the ceiling.
    const auto stopping = static_cast<std::uint32_t>(std::count_if(view.targets.begin(), view.targets.end(), [](const auto& target) { return target.stopping; }));
    const auto emptiestDomain = [&](supply_kind kind) {
        std::optional<failure_domain_id> chosen;
        for (const auto& domain : pool.failureDomains) {
            if (containsPlace(view.backedOff, { kind, domain }))
                continue;
            if (!chosen || counts.in(domain) < counts.in(*chosen))
                chosen = domain;
        }
        return chosen;
    };
    const auto needsMore = [&] { return counts.all() < out.wanted || counts.all() - counts.inFullest() < out.wantedAfterLoss; };
    while (needsMore() && counts.all() + stopping < pool.ceiling) {
        // Step 1. Choose a cheap target once there are enough firm ones, else a firm one,
        // and the other kind if the chosen one is unavailable. A cheap target replaces a
        // firm one only if some of the pool's work may run on it.
        const bool cheapFirst = prefersCheap(pool) && m_lastSample.cheapShare > 0 && counts.firm() >= out.wantedFirm;
        auto kind = cheapFirst ? supply_kind::Cheap : supply_kind::Firm;
        auto domain = emptiestDomain(kind);
        // Don't concentrate cheap targets in one failure domain: they would be lost together.
        const bool wouldConcentrate = domain && cheapFirst && counts.in(*domain) >= counts.fewestInAny(pool.failureDomains) + 2;
        if (!domain || wouldConcentrate) {
            kind = cheapFirst ? supply_kind::Firm : supply_kind::Cheap;
            const bool allowed = kind == supply_kind::Firm || (pool.allowCheap && m_lastSample.cheapShare > 0);
            domain = allowed ? emptiestDomain(kind) : std::nullopt;
        }
        if (!domain)
            return;
        // Step 2. Start one there, unless it helps neither the total nor the spread over
        // failure domains.
        const capacity_place place { kind, *domain };
        out.starts.push_back({ place, "needs " + std::to_string(out.wanted) + ", has " + std::to_string(counts.all()) });
        const bool isNeeded = counts.all() < out.wanted || counts.in(*domain) < counts.inFullest();
        if (!isNeeded && counts.in(*domain) > 0) {
            out.starts.pop_back();
            return;
        }
        counts.add(place);
    }
}

// Chooses the target to stop: first a firm one beyond the need, as it costs more, then one
// in the fullest failure domain, then the one with the fewest requests.
void capacity_planner::planStop(const target_pool& pool, const capacity_view& view, capacity_plan& out, instant now)
{
    const place_counts counts(view);
    // Never stops the last one: without a target no demand would be observed.
    if (counts.all() <= std::max<std::uint32_t>(pool.floor, 1))
        return;
    const capacity_target* chosen = nullptr;
    const auto rank = [&](const capacity_target& target) {
        const bool surplusFirm = target.kind == supply_kind::Firm && counts.firm() > out.wantedFirm && prefersCheap(pool);
        return std::tuple(target.kind == supply_kind::Firm && counts.firm() <= out.wantedFirm, !surplusFirm, -static_cast<int>(counts.in(target.failureDomain)), target.open, target.id);
    };
    for (const auto& target : view.targets) {
        if (target.stopping || target.state != target_state::Live)
            continue;
        auto remaining = counts;
        remaining.remove({ target.kind, target.failureDomain });
        if (remaining.all() - remaining.inFullest() < out.wantedAfterLoss)
            continue;
        if (!chosen || rank(target) < rank(*chosen))
            chosen = &target;
    }
    if (!chosen)
        return;
    m_nextStopAt = now + m_settings.minStopInterval;
    out.stop = stop_target { chosen->id, "needed " + std::to_string(out.wanted) + " at most for a while, has " + std::to_string(counts.all()) };
}

} // namespace lovagerail
