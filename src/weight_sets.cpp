// Sizes, members and orders of loads; see weight_sets.h.
#include "weight_sets.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

namespace lovagerail {

namespace {

    const std::set<target_id> noMembers;

    // In a sorted list, constant or not.
    template <typename replica_list>
    auto* findIn(replica_list& replicas, const target_id& target)
    {
        const auto found = std::lower_bound(replicas.begin(), replicas.end(), target, [](const weight_replica& one, const target_id& id) { return one.target < id; });
        return found == replicas.end() || found->target != target ? nullptr : &*found;
    }

} // namespace

void weight_sets::setModels(std::vector<weight_model> models)
{
    std::sort(models.begin(), models.end(), [](const auto& a, const auto& b) { return a.model < b.model; });
    m_models = std::move(models);
    arrangeSets();
}

void weight_sets::setReplicas(std::vector<weight_replica> replicas, instant now)
{
    std::sort(replicas.begin(), replicas.end(), [](const auto& a, const auto& b) { return a.target < b.target; });
    m_replicas = std::move(replicas);
    std::erase_if(m_shown, [this](const auto& entry) {
        const auto* replica = find(entry.first.first);
        return replica == nullptr || replica->life != entry.second.life || versionAt(*replica, entry.first.second) >= entry.second.version;
    });
    for (const auto& [key, shown] : m_shown)
        find(key.first)->versions[key.second] = shown.version;
    std::erase_if(m_foreign, [this, now](const auto& entry) { return now >= entry.second.until || find(entry.first) == nullptr; });
    std::erase_if(m_loads, [this, now](const auto& entry) {
        const auto* replica = find(entry.first.first);
        // Shown by the replica itself, gone with it, or to be ordered again.
        return replica == nullptr || versionAt(*replica, entry.first.second) >= entry.second.version || now >= entry.second.again;
    });
    std::erase_if(m_refused, [now](const auto& entry) { return now >= entry.second; });
    arrangeSets();
}

const weight_replica* weight_sets::find(const target_id& target) const { return findIn(m_replicas, target); }
weight_replica* weight_sets::find(const target_id& target) { return findIn(m_replicas, target); }

weight_version weight_sets::versionAt(const weight_replica& replica, const model_id& model)
{
    const auto found = replica.versions.find(model);
    return found == replica.versions.end() ? weight_version() : found->second;
}

std::size_t weight_sets::memberships(const target_id& target) const
{
    std::size_t count = 0;
    for (const auto& [model, set] : m_sets)
        count += set.contains(target) ? 1 : 0;
    return count;
}

bool weight_sets::isBusy(const target_id& target, instant now) const
{
    const auto refused = m_refused.find(target);
    if (refused != m_refused.end() && now < refused->second)
        return true;
    const auto foreign = m_foreign.find(target);
    if (foreign != m_foreign.end() && now < foreign->second.until)
        return true;
    return std::any_of(m_loads.begin(), m_loads.end(), [&target, now](const auto& entry) { return entry.first.first == target && now < entry.second.loadingUntil; });
}

const std::set<target_id>& weight_sets::members(const model_id& model) const
{
    const auto found = m_sets.find(model);
    return found == m_sets.end() ? noMembers : found->second;
}

// Shares of replicas against each other: by work, but none so large that its loads of
// each version are more than those of an equal share without headroom. Equal ones until
// the work of all models is known.
std::vector<double> weight_sets::shares() const
{
    double sum = 0;
    bool known = true;
    for (const auto& model : m_models) {
        sum += model.work;
        known = known && model.work > 0;
    }
    std::vector<double> out;
    for (const auto& model : m_models) {
        const double share = known ? model.work * static_cast<double>(m_models.size()) / sum : 1;
        out.push_back(std::clamp(share, m_settings.headroom, 1 / m_settings.headroom));
    }
    return out;
}

// Replicas of each model: shares by work, larger by what its work may lag behind,
// the largest remainders rounded up; at least one, at most all.
std::vector<std::size_t> weight_sets::sizes() const
{
    const auto weights = shares();
    const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
    std::vector<std::size_t> out;
    std::vector<std::pair<double, std::size_t>> remainders;
    double wanted = 0;
    std::size_t given = 0;
    for (std::size_t i = 0; i < m_models.size(); ++i) {
        const double parts = std::max(1.0, static_cast<double>(m_models[i].lag + 1) * m_settings.headroom);
        const double share = std::min(static_cast<double>(m_replicas.size()), static_cast<double>(m_replicas.size()) * weights[i] / sum * parts);
        out.push_back(std::max<std::size_t>(1, static_cast<std::size_t>(share)));
        remainders.emplace_back(share - std::floor(share), i);
        wanted += share;
        given += out.back();
    }
    std::sort(remainders.rbegin(), remainders.rend());
    for (const auto& [remainder, i] : remainders) {
        if (given >= static_cast<std::size_t>(std::lround(wanted)) || remainder <= 0)
            break;
        ++out[i];
        ++given;
    }
    return out;
}

void weight_sets::arrangeSets()
{
    if (m_models.empty() || m_replicas.empty())
        return;

    // Step 1. Members that are gone, and models that are.
    std::map<model_id, std::set<target_id>> kept;
    for (const auto& model : m_models) {
        for (const auto& target : m_sets[model.model]) {
            if (find(target) != nullptr)
                kept[model.model].insert(target);
        }
        kept[model.model];
    }
    m_sets = std::move(kept);

    // Step 2. Too many: those that serve another model too go first, then the oldest version.
    const auto wanted = sizes();
    for (std::size_t i = 0; i < m_models.size(); ++i) {
        const auto& model = m_models[i].model;
        auto& set = m_sets[model];
        while (set.size() > wanted[i]) {
            const auto worst = std::min_element(set.begin(), set.end(), [&](const target_id& a, const target_id& b) {
                return std::tuple(memberships(b), versionAt(*find(a), model)) < std::tuple(memberships(a), versionAt(*find(b), model));
            });
            set.erase(worst);
        }
    }

    // Step 3. Too few: the least used replica, the newest version, a domain without one.
    for (std::size_t i = 0; i < m_models.size(); ++i) {
        const auto& model = m_models[i].model;
        auto& set = m_sets[model];
        while (set.size() < std::min(wanted[i], m_replicas.size())) {
            const weight_replica* best = nullptr;
            auto bestRank = std::tuple<std::size_t, std::size_t, std::uint64_t>();
            for (const auto& replica : m_replicas) {
                if (set.contains(replica.target))
                    continue;
                const auto sameDomain = static_cast<std::size_t>(std::count_if(set.begin(), set.end(), [&](const target_id& other) { return find(other)->failureDomain == replica.failureDomain; }));
                const auto rank = std::tuple(memberships(replica.target), sameDomain, ~versionAt(replica, model).value());
                if (best != nullptr && !(rank < bestRank))
                    continue;
                best = &replica;
                bestRank = rank;
            }
            set.insert(best->target);
        }
    }
}

std::vector<weight_load> weight_sets::plan(instant now)
{
    // Step 1. What loads now.
    std::map<model_id, std::size_t> loadingOf;
    auto loading = static_cast<std::size_t>(std::count_if(m_foreign.begin(), m_foreign.end(), [this, now](const auto& entry) { return now < entry.second.until && !isStuck(entry.second.since, now); }));
    for (const auto& [key, load] : m_loads) {
        if (now >= load.loadingUntil || isStuck(load.since, now))
            continue;
        ++loading;
        ++loadingOf[key.second];
    }
    const auto most = std::max(m_settings.leastLoading, static_cast<std::size_t>(static_cast<double>(m_replicas.size()) * m_settings.loadingOfAll));

    // Step 2. Members that new work no longer accepts, and as many others as keep one
    // part of the set at the named version. The model with the fewest accepted ones goes
    // first, then the furthest behind, then idle ones.
    struct candidate {
        bool accepted = false;
        std::size_t usable = 0; // members of its set that new work accepts
        std::uint64_t behind = 0;
        double busy = 0;
        weight_load load;
    };
    std::vector<candidate> candidates;
    for (const auto& model : m_models) {
        const auto& set = m_sets[model.model];
        std::size_t current = 0;
        std::size_t usable = 0;
        std::vector<candidate> behind;
        for (const auto& target : set) {
            const auto& replica = *find(target);
            const auto has = versionAt(replica, model.model);
            const bool underWay = m_loads.contains({ target, model.model });
            if (has >= model.named || underWay) {
                ++current;
                ++usable;
                continue;
            }
            const auto distance = model.named.value() - has.value();
            usable += distance <= model.lag ? 1 : 0;
            behind.push_back({ distance <= model.lag, 0, distance, replica.busy, { target, model.model, model.named } });
        }
        std::stable_sort(behind.begin(), behind.end(), [](const candidate& a, const candidate& b) {
            return std::tuple(b.behind, a.busy) < std::tuple(a.behind, b.busy);
        });
        const auto part = (set.size() + model.lag) / (model.lag + 1);
        for (const auto& one : behind) {
            if (one.accepted && current >= part)
                continue;
            ++current;
            candidates.push_back(one);
            candidates.back().usable = usable;
        }
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const candidate& a, const candidate& b) {
        return std::tuple(a.usable, a.accepted, b.behind, a.busy) < std::tuple(b.usable, b.accepted, a.behind, b.busy);
    });

    // Step 3. As many as may load beside each other.
    std::vector<weight_load> out;
    for (const auto& one : candidates) {
        const auto size = m_sets[one.load.model].size();
        // One that can't take work anyway may load whatever the others do.
        const auto mostOfSet = std::max<std::size_t>(1, static_cast<std::size_t>(static_cast<double>(size) * m_settings.loadingShare));
        if (loading >= most || isBusy(one.load.target, now) || (one.accepted && loadingOf[one.load.model] >= mostOfSet))
            continue;
        ++loading;
        ++loadingOf[one.load.model];
        m_loads[{ one.load.target, one.load.model }] = { one.load.version, now + m_settings.loadTime, now + m_settings.confirmTime, std::nullopt, now };
        out.push_back(one.load);
    }
    return out;
}

void weight_sets::ordered(const weight_load& load, load_outcome outcome, instant now)
{
    const auto found = m_loads.find({ load.target, load.model });
    if (found == m_loads.end() || found->second.version != load.version)
        return;
    switch (outcome) {
    case load_outcome::Accepted:
        found->second.loadingUntil = now + m_settings.loadTime;
        found->second.again = now + m_settings.confirmTime;
        found->second.checkAt = found->second.loadingUntil - m_settings.checkPause / 2; // before it ends to count
        return;
    case load_outcome::Holds:
        found->second.loadingUntil = now;
        found->second.again = now + m_settings.confirmTime;
        return;
    case load_outcome::NotNow:
        found->second.loadingUntil = now;
        found->second.again = now + m_settings.retryPause;
        m_refused[load.target] = found->second.again;
        return;
    case load_outcome::Busy:
        m_loads.erase(found);
        noteForeign(load.target, now);
        return;
    case load_outcome::Unsure:
        found->second.loadingUntil = now + m_settings.unsurePause;
        found->second.again = now + m_settings.unsurePause;
        return;
    }
}

std::vector<target_id> weight_sets::checks(instant now)
{
    std::vector<target_id> out;
    for (auto& [key, load] : m_loads) {
        if (!load.checkAt || now < *load.checkAt)
            continue;
        load.checkAt = now + m_settings.checkPause;
        out.push_back(key.first);
    }
    for (auto& [target, load] : m_foreign) {
        if (now < load.checkAt)
            continue;
        load.checkAt = now + m_settings.checkPause;
        out.push_back(target);
    }
    return out;
}

void weight_sets::reported(const target_id& target, bool busy, const std::map<model_id, weight_version>& versions, instant now)
{
    auto* replica = find(target);
    if (replica == nullptr)
        return;

    // Step 1. Versions that its entry in the list doesn't show yet.
    for (const auto& [model, version] : versions) {
        if (version <= versionAt(*replica, model))
            continue;
        replica->versions[model] = version;
        m_shown[{ target, model }] = { replica->life, version };
    }

    // Step 2. Its load goes on, is done, or was lost with a restart.
    bool ours = false;
    for (auto it = m_loads.begin(); it != m_loads.end();) {
        auto& load = it->second;
        if (it->first.first != target || !load.checkAt) {
            ++it;
            continue;
        }
        ours = true;
        if (!busy) {
            it = m_loads.erase(it);
            continue;
        }
        load.loadingUntil = now + m_settings.reportHolds;
        load.again = std::max(load.again, load.loadingUntil);
        ++it;
    }
    if (ours || !busy)
        m_foreign.erase(target);
    else
        noteForeign(target, now);
}

void weight_sets::noteForeign(const target_id& target, instant now)
{
    auto& load = m_foreign.try_emplace(target, foreign_load { {}, {}, now }).first->second;
    load.until = now + m_settings.reportHolds;
    load.checkAt = now + m_settings.checkPause;
}

} // namespace lovagerail
