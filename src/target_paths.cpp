// Evidence on the paths to targets and the choice of relays; see target_paths.h.
#include "target_paths.h"

#include <algorithm>
#include <utility>

namespace lovagerail {

target_paths::target_paths(target_path_settings settings)
    : m_settings(settings)
{
}

void target_paths::setInstances(std::vector<instance_id> others)
{
    m_order = std::move(others);
    const std::set<instance_id> listed(m_order.begin(), m_order.end());
    std::erase_if(m_others, [&listed](const auto& entry) { return !listed.contains(entry.first); });
    std::erase_if(m_asked, [&listed](const instance_id& name) { return !listed.contains(name); });
    for (const auto& name : m_order)
        m_others.try_emplace(name);
}

void target_paths::setTargets(std::vector<target_id> targets)
{
    m_targets = std::move(targets);
    const std::set<target_id> listed(m_targets.begin(), m_targets.end());
    std::erase_if(m_failedTargets, [&listed](const auto& entry) { return !listed.contains(entry.first); });
    for (auto& [name, other] : m_others)
        std::erase_if(other.cannotReachUntil, [&listed](const auto& entry) { return !listed.contains(entry.first); });
}

void target_paths::reached(connection_age age, instant now)
{
    if (age == connection_age::New)
        m_failedTargets.clear();
    else
        std::erase_if(m_failedTargets, [](const auto& entry) { return entry.second == path_failure::Silent; });
    if (m_failedTargets.empty())
        m_lastReached = now;
}

void target_paths::failed(const target_id& target, path_failure failure, instant now)
{
    const bool wasCutOff = isCutOff();
    m_failedTargets[target] = failure;
    if (isCutOff() && !wasCutOff)
        m_cutOffSince = now;
    // One failure says little. Without other evidence, a second target tells whether it was the
    // target or the path.
    const bool knowsLittle = !m_lastReached || now - *m_lastReached >= m_settings.evidenceTime;
    if (isCutOff() || !knowsLittle || now < m_nextTest)
        return;
    if (auto second = nextUnfailed()) {
        m_nextTest = now + m_settings.testPeriod;
        m_actions.emplace_back(test_path { std::move(*second) });
    }
}

void target_paths::answered(const instance_id& instance, bool reachesTargets, instant now)
{
    m_asked.erase(instance);
    const auto found = m_others.find(instance);
    if (found == m_others.end())
        return;
    if (reachesTargets)
        found->second.relayUntil = now + m_settings.relayTime;
    else
        relayLost(instance, now);
}

void target_paths::relayReached(const instance_id& instance, instant now)
{
    if (const auto found = m_others.find(instance); found != m_others.end())
        found->second.relayUntil = now + m_settings.relayTime;
}

void target_paths::relayFailed(const instance_id& instance, const target_id& target, instant now)
{
    if (const auto found = m_others.find(instance); found != m_others.end())
        found->second.cannotReachUntil[target] = now + m_settings.uselessTime;
}

void target_paths::relayLost(const instance_id& instance, instant now)
{
    m_asked.erase(instance);
    const auto found = m_others.find(instance);
    if (found == m_others.end())
        return;
    found->second.relayUntil.reset();
    found->second.uselessUntil = now + m_settings.uselessTime;
}

std::optional<bool> target_paths::reachesTargets(instant now) const
{
    if (isCutOff())
        return false;
    if (m_lastReached && now - *m_lastReached < m_settings.evidenceTime)
        return true;
    return std::nullopt;
}

bool target_paths::isCutOffAlone(instant now) const { return isCutOff() && now - m_cutOffSince >= m_settings.confirmTime && hasRelay(now); }

bool target_paths::hasRelay(instant now) const
{
    return std::any_of(m_others.begin(), m_others.end(), [now](const auto& entry) { return entry.second.relayUntil && now < *entry.second.relayUntil; });
}

std::optional<instance_id> target_paths::pickRelay(const target_id& target, instant now, const relay_filter& mayRelay)
{
    std::vector<instance_id> relays;
    for (const auto& name : m_order) {
        const auto& other = m_others.at(name);
        if (!other.relayUntil || now >= *other.relayUntil || !mayRelay(name))
            continue;
        const auto unreached = other.cannotReachUntil.find(target);
        if (unreached == other.cannotReachUntil.end() || now >= unreached->second)
            relays.push_back(name);
    }
    if (relays.empty())
        return std::nullopt;
    return relays[m_nextRelay++ % relays.size()];
}

// The next live target in turn that has not failed; empty if all have.
std::optional<target_id> target_paths::nextUnfailed()
{
    for (std::size_t i = 0; i < m_targets.size(); ++i) {
        const auto& target = m_targets[m_nextTested++ % m_targets.size()];
        if (!m_failedTargets.contains(target))
            return target;
    }
    return std::nullopt;
}

// The target and the next live ones in turn, as some may be down for all.
std::vector<target_id> target_paths::targetsToName(const target_id& target)
{
    std::vector<target_id> out { target };
    for (std::size_t i = 0; i < m_targets.size() && out.size() < m_settings.namedTargets; ++i) {
        const auto& next = m_targets[m_nextTested++ % m_targets.size()];
        if (next != target)
            out.push_back(next);
    }
    return out;
}

// Asks the next few instances that may help; false if there is none.
bool target_paths::startQuestion(const target_id& target, instant now, const relay_filter& mayRelay)
{
    ask_for_relays question;
    for (const auto& name : m_order) {
        const auto& other = m_others.at(name);
        const bool isRelay = other.relayUntil && now < *other.relayUntil;
        if (question.instances.size() < m_settings.askedAtOnce && now >= other.uselessUntil && !isRelay && mayRelay(name))
            question.instances.push_back(name);
    }
    if (question.instances.empty())
        return false;
    question.targets = targetsToName(target);
    m_asked = { question.instances.begin(), question.instances.end() };
    m_askedUntil = now + m_settings.questionTime;
    // Those that don't answer in time are not asked again at once.
    for (const auto& name : question.instances)
        m_others.at(name).uselessUntil = now + m_settings.uselessTime;
    m_actions.emplace_back(std::move(question));
    return true;
}

target_path target_paths::pathTo(const target_id& target, instant now, const relay_filter& mayRelay)
{
    if (!isCutOff())
        return { path_kind::Direct };
    if (auto relay = pickRelay(target, now, mayRelay))
        return { path_kind::Relayed, std::move(*relay) };
    if (isAsking(now) || startQuestion(target, now, mayRelay))
        return { path_kind::Undecided };
    return { path_kind::DirectDoubted };
}

std::vector<path_action> target_paths::tick(instant now)
{
    if (isCutOff() && !m_targets.empty() && now >= m_nextTest) {
        m_nextTest = now + m_settings.testPeriod;
        m_actions.emplace_back(test_path { m_targets[m_nextTested++ % m_targets.size()] });
    }
    // Also without requests: duties depend on whether others reach targets.
    if (isCutOff() && !hasRelay(now) && !isAsking(now))
        startQuestion(m_failedTargets.begin()->first, now, anyRelay);
    return std::exchange(m_actions, {});
}

} // namespace lovagerail
