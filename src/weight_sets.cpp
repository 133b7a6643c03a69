// Set sizes, set members and load scheduling; see weight_sets.h.
#include "weight_sets.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

namespace lovagerail {

namespace {

    const std::set<target_id> noMembers;

    // Finds a replica in a list sorted by target, const or not.
    template <typename replica_list>
    auto* findIn(replica_list& replicas, const target_id& target)
    {
        const auto found = std::lower_bound(replicas.begin(), replicas.end(), target, [](const weight_replica& replica, const target_id& id) { return replica.target < id; });
        return found == replicas.end() || found->target != target ? nullptr : &*found;
    }

} // namespace

void weight_sets::setModels(std::vector<weight_model> models)
{
    std::sort(models.begin(), models.end(), [](const auto& a, const auto& b) { return a.model < b.model; });
    m_models = std::move(models);
    assignReplicas();
}

void weight_sets::setReplicas(std::vector<weight_replica> replicas, instant now)
{
    std::sort(replicas.begin(), replicas.end(), [](const auto& a, const auto& b) { return a.target < b.target; });
    m_replicas = std::move(replicas);
    std::erase_if(m_reportedVersions, [this](const auto& entry) {
        const auto* replica = find(entry.first.first);
        return replica == nullptr || replica->incarnationNumber != entry.second.incarnationNumber || versionAt(*replica, entry.first.second) >= entry.second.version;
    });
    for (const auto& [key, reported] : m_reportedVersions)
        find(key.first)->versions[key.second] = reported.version;
    std::erase_if(m_foreignLoads, [this, now](const auto& entry) { return now >= entry.second.until || find(entry.first) == nullptr; });
    std::erase_if(m_loads, [this, now](const auto& entry) {
        const auto* replica = find(entry.first.first);
        // The replica is gone, its entry shows the version, or the load is due to be ordered again.
        return replica == nullptr || versionAt(*replica, entry.first.second) >= entry.second.version || now >= entry.second.reorderAt;
    });
    std::erase_if(m_refusedUntil, [now](const auto& entry) { return now >= entry.second; });
    assignReplicas();
}

const weight_replica* weight_sets::find(const target_id& target) const { return findIn(m_replicas, target); }
weight_replica* weight_sets::find(const target_id& target) { return findIn(m_replicas, target); }

weight_version weight_sets::versionAt(const weight_replica& replica, const model_id& model)
{
    const auto found = replica.versions.find(model);
    return found == replica.versions.end() ? weight_version() : found->second;
}

std::size_t weight_sets::membershipCount(const target_id& target) const
{
    std::size_t count = 0;
    for (const auto& [model, set] : m_sets)
        count += set.contains(target) ? 1 : 0;
    return count;
}

bool weight_sets::isBusy(const target_id& target, instant now) const
{
    const auto refused = m_refusedUntil.find(target);
    if (refused != m_refusedUntil.end() && now < refused->second)
        return true;
    const auto foreign = m_foreignLoads.find(target);
    if (foreign != m_foreignLoads.end() && now < foreign->second.until)
        return true;
    return std::any_of(m_loads.begin(), m_loads.end(), [&target, now](const auto& entry) { return entry.first.first == target && now < entry.second.loadingUntil; });
}

const std::set<target_id>& weight_sets::members(const model_id& model) const
{
    const auto found = m_sets.find(model);
    return found == m_sets.end() ? noMembers : found->second;
}

// Relative shares of replicas per model, in proportion to the work. They are clamped by the
// headroom, so that no model needs more loads per version than an equal share without
// headroom would. Equal shares until the work of all models is known.
std::vector<double> weight_sets::workShares() const
{
    double sum = 0;
    bool allWorkKnown = true;
    for (const auto& model : m_models) {
        sum += model.work;
        allWorkKnown = allWorkKnown && model.work > 0;
    }
    std::vector<double> out;
    for (const auto& model : m_models) {
        const double share = allWorkKnown ? model.work * static_cast<double>(m_models.size()) / sum : 1;
        out.push_back(std::clamp(share, m_settings.headroom, 1 / m_settings.headroom));
    }
    return out;
}

// Number of replicas per model: its share, multiplied by the number of versions that its
// requests accept (less headroom). The largest remainders are rounded up. At least one
// replica, at most all.
std::vector<std::size_t> weight_sets::setSizes() const
{
    const auto weights = workShares();
    const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
    std::vector<std::size_t> out;
    std::vector<std::pair<double, std::size_t>> remainders;
    double totalShare = 0;
    std::size_t assigned = 0;
    for (std::size_t i = 0; i < m_models.size(); ++i) {
        const double parts = std::max(1.0, static_cast<double>(m_models[i].lag + 1) * m_settings.headroom);
        const double share = std::min(static_cast<double>(m_replicas.size()), static_cast<double>(m_replicas.size()) * weights[i] / sum * parts);
        out.push_back(std::max<std::size_t>(1, static_cast<std::size_t>(share)));
        remainders.emplace_back(share - std::floor(share), i);
        totalShare += share;
        assigned += out.back();
    }
    std::sort(remainders.rbegin(), remainders.rend());
    for (const auto& [remainder, i] : remainders) {
        if (assigned >= static_cast<std::size_t>(std::lround(totalShare)) || remainder <= 0)
            break;
        ++out[i];
        ++assigned;
    }
    return out;
}

void weight_sets::assignReplicas()
{
    // Step 1. Remove members and models that are gone; also if no replica is left, as plan() relies on live members.
    std::map<model_id, std::set<target_id>> liveSets;
    for (const auto& model : m_models) {
        for (const auto& target : m_sets[model.model]) {
            if (find(target) != nullptr)
                liveSets[model.model].insert(target);
        }
        liveSets[model.model];
    }
    m_sets = std::move(liveSets);
    if (m_models.empty() || m_replicas.empty())
        return;

    // Step 2. Shrink sets that are too large: remove replicas that also serve other models
    // first, then those with the oldest version.
    const auto sizes = setSizes();
    for (std::size_t i = 0; i < m_models.size(); ++i) {
        const auto& model = m_models[i].model;
        auto& set = m_sets[model];
        while (set.size() > sizes[i]) {
            const auto worst = std::min_element(set.begin(), set.end(), [&](const target_id& a, const target_id& b) {
                return std::tuple(membershipCount(b), versionAt(*find(a), model)) < std::tuple(membershipCount(a), versionAt(*find(b), model));
            });
            set.erase(worst);
        }
    }

    // Step 3. Grow sets that are too small: prefer replicas in the fewest sets, then failure
    // domains with the fewest members, then the newest version.
    for (std::size_t i = 0; i < m_models.size(); ++i) {
        const auto& model = m_models[i].model;
        auto& set = m_sets[model];
        while (set.size() < std::min(sizes[i], m_replicas.size())) {
            const weight_replica* best = nullptr;
            auto bestRank = std::tuple<std::size_t, std::size_t, std::uint64_t>();
            for (const auto& replica : m_replicas) {
                if (set.contains(replica.target))
                    continue;
                const auto sameDomain = static_cast<std::size_t>(std::count_if(set.begin(), set.end(), [&](const target_id& other) { return find(other)->failureDomain == replica.failureDomain; }));
                const auto rank = std::tuple(membershipCount(replica.target), sameDomain, ~versionAt(replica, model).value());
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
    // Step 1. Count the running loads.
    std::map<model_id, std::size_t> loadingOf;
    auto loading = static_cast<std::size_t>(std::count_if(m_foreignLoads.begin(), m_foreignLoads.end(), [this, now](const auto& entry) { return now < entry.second.until && !isStuck(entry.second.since, now); }));
    for (const auto& [key, load] : m_loads) {
        if (now >= load.loadingUntil || isStuck(load.since, now))
            continue;
        ++loading;
        ++loadingOf[key.second];
    }
    const auto maxLoading = std::max(m_settings.minLoadingLimit, static_cast<std::size_t>(static_cast<double>(m_replicas.size()) * m_settings.maxLoadingShareOfAll));

    // Step 2. Candidates: members that new requests no longer accept, and as many others as
    // are needed to keep one part of the set at the announced version. Models with the
    // fewest accepted members come first, then the replicas furthest behind, then idle ones.
    struct candidate {
        bool accepted = false;
        std::size_t usable = 0; // members of its set that new requests accept
        std::uint64_t versionsBehind = 0;
        double busy = 0;
        weight_load load;
    };
    std::vector<candidate> candidates;
    for (const auto& model : m_models) {
        const auto& set = m_sets[model.model];
        std::size_t current = 0;
        std::size_t usable = 0;
        std::vector<candidate> outdated;
        for (const auto& target : set) {
            const auto& replica = *find(target);
            const auto loadedVersion = versionAt(replica, model.model);
            const bool isOrdered = m_loads.contains({ target, model.model });
            if (loadedVersion >= model.announcedVersion || isOrdered) {
                ++current;
                ++usable;
                continue;
            }
            const auto distance = model.announcedVersion.value() - loadedVersion.value();
            usable += distance <= model.lag ? 1 : 0;
            outdated.push_back({ distance <= model.lag, 0, distance, replica.busy, { target, model.model, model.announcedVersion } });
        }
        std::stable_sort(outdated.begin(), outdated.end(), [](const candidate& a, const candidate& b) {
            return std::tuple(b.versionsBehind, a.busy) < std::tuple(a.versionsBehind, b.busy);
        });
        const auto partSize = (set.size() + model.lag) / (model.lag + 1);
        for (const auto& member : outdated) {
            if (member.accepted && current >= partSize)
                continue;
            ++current;
            candidates.push_back(member);
            candidates.back().usable = usable;
        }
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const candidate& a, const candidate& b) {
        return std::tuple(a.usable, a.accepted, b.versionsBehind, a.busy) < std::tuple(b.usable, b.accepted, a.versionsBehind, b.busy);
    });

    // Step 3. Order as many loads as the limits allow.
    std::vector<weight_load> out;
    for (const auto& member : candidates) {
        const auto size = m_sets[member.load.model].size();
        // The limit per set does not apply to a replica that gets no requests anyway.
        const auto maxLoadingInSet = std::max<std::size_t>(1, static_cast<std::size_t>(static_cast<double>(size) * m_settings.maxLoadingShareOfSet));
        if (loading >= maxLoading || isBusy(member.load.target, now) || (member.accepted && loadingOf[member.load.model] >= maxLoadingInSet))
            continue;
        ++loading;
        ++loadingOf[member.load.model];
        m_loads[{ member.load.target, member.load.model }] = { member.load.version, now + m_settings.loadTime, now + m_settings.confirmTime, std::nullopt, now };
        out.push_back(member.load);
    }
    return out;
}

void weight_sets::onLoadResult(const weight_load& load, load_outcome outcome, instant now)
{
    const auto found = m_loads.find({ load.target, load.model });
    if (found == m_loads.end() || found->second.version != load.version)
        return;
    switch (outcome) {
    case load_outcome::Accepted:
        found->second.loadingUntil = now + m_settings.loadTime;
        found->second.reorderAt = now + m_settings.confirmTime;
        found->second.pollAt = found->second.loadingUntil - m_settings.pollInterval / 2; // before the load stops being counted
        return;
    case load_outcome::Holds:
        found->second.loadingUntil = now;
        found->second.reorderAt = now + m_settings.confirmTime;
        return;
    case load_outcome::NotExecuted:
        found->second.loadingUntil = now;
        found->second.reorderAt = now + m_settings.retryDelay;
        m_refusedUntil[load.target] = found->second.reorderAt;
        return;
    case load_outcome::Busy:
        m_loads.erase(found);
        recordForeignLoad(load.target, now);
        return;
    case load_outcome::AnswerLost:
        found->second.loadingUntil = now + m_settings.lostAnswerRetryDelay;
        found->second.reorderAt = now + m_settings.lostAnswerRetryDelay;
        return;
    }
}

std::vector<target_id> weight_sets::replicasToPoll(instant now)
{
    std::vector<target_id> out;
    for (auto& [key, load] : m_loads) {
        if (!load.pollAt || now < *load.pollAt)
            continue;
        load.pollAt = now + m_settings.pollInterval;
        out.push_back(key.first);
    }
    for (auto& [target, load] : m_foreignLoads) {
        if (now < load.pollAt)
            continue;
        load.pollAt = now + m_settings.pollInterval;
        out.push_back(target);
    }
    return out;
}

void weight_sets::onReplicaReport(const target_id& target, bool busy, const std::map<model_id, weight_version>& versions, instant now)
{
    auto* replica = find(target);
    if (replica == nullptr)
        return;

    // Step 1. Versions that its entry in the list does not show yet.
    for (const auto& [model, version] : versions) {
        if (version <= versionAt(*replica, model))
            continue;
        replica->versions[model] = version;
        m_reportedVersions[{ target, model }] = { replica->incarnationNumber, version };
    }

    // Step 2. Its load is still running, or is done or was lost by a restart.
    bool orderedHere = false;
    for (auto it = m_loads.begin(); it != m_loads.end();) {
        auto& load = it->second;
        if (it->first.first != target || !load.pollAt) {
            ++it;
            continue;
        }
        orderedHere = true;
        if (!busy) {
            it = m_loads.erase(it);
            continue;
        }
        load.loadingUntil = now + m_settings.busyReportValidity;
        load.reorderAt = std::max(load.reorderAt, load.loadingUntil);
        ++it;
    }
    if (orderedHere || !busy)
        m_foreignLoads.erase(target);
    else
        recordForeignLoad(target, now);
}

void weight_sets::recordForeignLoad(const target_id& target, instant now)
{
    auto& load = m_foreignLoads.try_emplace(target, foreign_load { {}, {}, now }).first->second;
    load.until = now + m_settings.busyReportValidity;
    load.pollAt = now + m_settings.pollInterval;
}

} // namespace lovagerail
