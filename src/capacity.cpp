// Reckoning need, and placing the difference.
#include "capacity.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace lovagerail {

namespace {

    constexpr double smallest = 1e-9;

    double seconds(duration time) { return std::chrono::duration<double>(time).count(); }

    // Rounds up, and not at all for noise in the last digits.
    std::uint32_t wholeTargets(double targets)
    {
        constexpr double noise = 1e-6;
        constexpr double most = 1e6;
        return static_cast<std::uint32_t>(std::ceil(std::clamp(targets - noise, 0.0, most)));
    }

    double smooth(double before, double sample, double share) { return before + (sample - before) * share; }

    bool isCheapWorth(const target_pool& pool)
    {
        return pool.allowCheap && (pool.firmPricePerHour.count() == 0 || pool.cheapPricePerHour < pool.firmPricePerHour);
    }

    bool contains(const std::vector<capacity_place>& places, const capacity_place& place)
    {
        return std::find(places.begin(), places.end(), place) != places.end();
    }

    // Targets by place, those under way included.
    class place_counts {
    public:
        explicit place_counts(const capacity_view& view)
        {
            for (const auto& one : view.targets) {
                if (!one.stopping && one.state != target_state::Leaving && one.state != target_state::Gone)
                    add({ one.kind, one.failureDomain });
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
        std::uint32_t fullest() const
        {
            std::uint32_t most = 0;
            for (const auto& [domain, count] : m_domains)
                most = std::max(most, count);
            return most;
        }
        void remove(const capacity_place& place)
        {
            --m_domains[place.failureDomain];
            --(place.kind == supply_kind::Cheap ? m_cheap : m_firm);
        }
        std::uint32_t fewestIn(const std::vector<failure_domain_id>& domains) const
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
    const double work = sample.open + sample.queued;
    if (!m_seen) {
        m_seen = true;
        m_firstAt = now;
        m_level = work;
        m_slow = work;
    } else {
        const double passed = std::max(0.0, seconds(now - m_seenAt));
        m_level = smooth(m_level, work, 1 - std::exp(-passed / seconds(m_settings.levelTime)));
        m_slow = smooth(m_slow, work, 1 - std::exp(-passed / seconds(m_settings.trendTime)));
    }
    m_last = sample;
    m_seenAt = now;
}

// Work when a target that is ordered now has started.
double capacity_planner::expected(duration startUp) const
{
    // The two smoothed levels lag by their times; their difference over the
    // difference in lag is the trend. A queue is work that came already.
    const double lag = std::max(smallest, seconds(m_settings.trendTime - m_settings.levelTime));
    const double trend = std::max(0.0, (m_level - m_slow) / lag);
    const double now = std::max(m_level + trend * seconds(m_settings.levelTime), m_last.queued > 0 ? m_last.open + m_last.queued : 0.0);
    const double seen = now + trend * seconds(startUp);
    // A doubling that hasn't begun to show; not beyond what the trend foretells.
    const double growth = std::min(1.0, seconds(startUp) / seconds(m_settings.doubling));
    return std::max(seen, m_level * (1 + growth));
}

// `scale` reckons with so many times the demand seen.
capacity_planner::need capacity_planner::reckon(const target_pool& pool, double scale) const
{
    need out;
    const double perTarget = std::max(smallest, m_last.perTarget);
    const double work = scale * (m_last.open + m_last.queued);
    switch (m_settings.policy) {
    case capacity_policy::Fixed:
        out.up = m_settings.fixedSize ? m_settings.fixedSize : pool.ceiling;
        break;
    case capacity_policy::Utilisation:
        out.up = wholeTargets(scale * m_level / (perTarget * m_settings.utilisation));
        break;
    case capacity_policy::QueueLength:
        out.up = wholeTargets(work / perTarget) + (m_last.queued > 0 ? 1 : 0);
        break;
    case capacity_policy::Forecast: {
        // Step 1. What comes, at the utilisation aimed at.
        const double coming = scale * expected(std::chrono::seconds(pool.startUpS));
        out.up = wholeTargets(coming / (perTarget * m_settings.forecastUtilisation));
        // Step 2. What is here now, with the fullest failure domain gone.
        if (pool.failureDomains.size() > 1)
            out.afterLoss = wholeTargets(scale * m_level / (perTarget * m_settings.afterLoss));
        // Step 3. Accounts that burn their budgets while targets have a queue need more.
        if (m_last.burn > 1 && m_last.queued > 0)
            out.up += 1;
        break;
    }
    }
    out.up = std::clamp(out.up, pool.floor, std::max(pool.floor, pool.ceiling));
    // Work that may not run on cheap targets, its room, and the floor's half need firm ones.
    const double firmShare = 1 - std::clamp(m_last.cheapShare, 0.0, 1.0);
    out.firm = std::max(wholeTargets(out.up * firmShare), (pool.floor + 1) / 2);
    out.firm = std::min(out.firm, out.up);
    if (!isCheapWorth(pool))
        out.firm = out.up;
    return out;
}

std::uint32_t capacity_planner::recent_most::add(std::uint32_t value, instant now, duration span)
{
    while (!past.empty() && past.back().second <= value)
        past.pop_back();
    past.emplace_back(now, value);
    while (now - past.front().first > span)
        past.pop_front();
    return past.front().second;
}

capacity_plan capacity_planner::plan(const target_pool& pool, const capacity_view& view, instant now)
{
    capacity_plan out;
    if (!m_seen || pool.ceiling == 0 || pool.failureDomains.empty())
        return out;
    // Step 1. What is needed now is started at once.
    const auto needed = reckon(pool, 1);
    const auto spare = reckon(pool, m_settings.stopMargin);
    const auto most = m_need.add(spare.up, now, m_settings.idleTime);
    const auto mostFirm = m_firmNeed.add(spare.firm, now, m_settings.idleTime);
    const auto mostAfterLoss = m_lossNeed.add(spare.afterLoss, now, m_settings.idleTime);
    out.wanted = needed.up;
    out.wantedFirm = needed.firm;
    out.wantedAfterLoss = needed.afterLoss;
    planStarts(pool, view, out);

    // Step 2. Less only after a whole idleTime was seen, while nothing else changes.
    const bool isStarting = !out.starts.empty() || !view.starting.empty()
        || std::any_of(view.targets.begin(), view.targets.end(), [](const auto& one) { return one.state == target_state::Starting; });
    const bool isStopping = std::any_of(view.targets.begin(), view.targets.end(), [](const auto& one) { return one.stopping; });
    if (now - m_firstAt < m_settings.idleTime || isStarting || isStopping || now < m_nextStop)
        return out;
    out.wanted = std::max(out.wanted, most);
    out.wantedFirm = std::max(out.wantedFirm, mostFirm);
    out.wantedAfterLoss = std::max(out.wantedAfterLoss, mostAfterLoss);
    if (place_counts(view).all() > out.wanted)
        planStop(pool, view, out, now);
    else
        planSwap(pool, view, out, now);
    return out;
}

// A cheap target more; once it is there, a firm one is above need and is stopped.
void capacity_planner::planSwap(const target_pool& pool, const capacity_view& view, capacity_plan& out, instant now)
{
    const place_counts counts(view);
    if (!isCheapWorth(pool) || m_last.cheapShare <= 0 || counts.firm() <= out.wantedFirm || counts.all() >= pool.ceiling)
        return;
    capacity_plan cheap;
    cheap.wanted = counts.all() + 1;
    cheap.wantedFirm = out.wantedFirm;
    planStarts(pool, view, cheap);
    if (cheap.starts.empty() || cheap.starts.front().where.kind != supply_kind::Cheap)
        return;
    m_nextStop = now + m_settings.stopEvery;
    cheap.starts.front().reason = "takes the place of a firm target";
    out.starts = cheap.starts;
}

// Each start goes to the emptiest failure domain where the kind can be had.
void capacity_planner::planStarts(const target_pool& pool, const capacity_view& view, capacity_plan& out) const
{
    place_counts counts(view);
    // Targets that are being stopped run, and count against the ceiling.
    const auto stopping = static_cast<std::uint32_t>(std::count_if(view.targets.begin(), view.targets.end(), [](const auto& one) { return one.stopping; }));
    const auto emptiest = [&](supply_kind kind) {
        std::optional<failure_domain_id> best;
        for (const auto& domain : pool.failureDomains) {
            if (contains(view.backedOff, { kind, domain }))
                continue;
            if (!best || counts.in(domain) < counts.in(*best))
                best = domain;
        }
        return best;
    };
    const auto isShort = [&] { return counts.all() < out.wanted || counts.all() - counts.fullest() < out.wantedAfterLoss; };
    while (isShort() && counts.all() + stopping < pool.ceiling) {
        // Step 1. Cheap, once the firm ones are enough, else firm; the other kind if
        // there is none to be had. Firm stands in for cheap, and cheap for firm only
        // if the pool's work may run there.
        const bool cheapFirst = isCheapWorth(pool) && m_last.cheapShare > 0 && counts.firm() >= out.wantedFirm;
        auto kind = cheapFirst ? supply_kind::Cheap : supply_kind::Firm;
        auto domain = emptiest(kind);
        // Cheap targets that are piled up in one failure domain are lost as a whole.
        const bool isLopsided = domain && cheapFirst && counts.in(*domain) >= counts.fewestIn(pool.failureDomains) + 2;
        if (!domain || isLopsided) {
            kind = cheapFirst ? supply_kind::Firm : supply_kind::Cheap;
            const bool allowed = kind == supply_kind::Firm || (pool.allowCheap && m_last.cheapShare > 0);
            domain = allowed ? emptiest(kind) : std::nullopt;
        }
        if (!domain)
            return;
        // Step 2. One more there.
        const capacity_place where { kind, *domain };
        out.starts.push_back({ where, "needs " + std::to_string(out.wanted) + ", has " + std::to_string(counts.all()) });
        const bool helps = counts.all() < out.wanted || counts.in(*domain) < counts.fullest();
        if (!helps && counts.in(*domain) > 0) {
            out.starts.pop_back();
            return;
        }
        counts.add(where);
    }
}

// The cheapest to lose: firm ones above need first, as they cost more, then one in
// the fullest failure domain, then the one with the least work.
void capacity_planner::planStop(const target_pool& pool, const capacity_view& view, capacity_plan& out, instant now)
{
    const place_counts counts(view);
    // The last one is kept: with none running no demand would be seen.
    if (counts.all() <= std::max<std::uint32_t>(pool.floor, 1))
        return;
    const capacity_target* best = nullptr;
    const auto rank = [&](const capacity_target& one) {
        const bool dear = one.kind == supply_kind::Firm && counts.firm() > out.wantedFirm && isCheapWorth(pool);
        return std::tuple(one.kind == supply_kind::Firm && counts.firm() <= out.wantedFirm, !dear, -static_cast<int>(counts.in(one.failureDomain)), one.open, one.id);
    };
    for (const auto& one : view.targets) {
        if (one.stopping || one.state != target_state::Live)
            continue;
        auto rest = counts;
        rest.remove({ one.kind, one.failureDomain });
        if (rest.all() - rest.fullest() < out.wantedAfterLoss)
            continue;
        if (!best || rank(one) < rank(*best))
            best = &one;
    }
    if (!best)
        return;
    m_nextStop = now + m_settings.stopEvery;
    out.stop = stop_target { best->id, "needed " + std::to_string(out.wanted) + " at most for a while, has " + std::to_string(counts.all()) };
}

} // namespace lovagerail
