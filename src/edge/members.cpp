// Tracks members and holders of duties from the store's lease entries, and claims duties
// that rendezvous hashing assigns to this instance.
#include "edge/members.h"

#include "endpoint.h"
#include "log.h"
#include "rendezvous.h"

#include <algorithm>

namespace lovagerail::edge {

namespace {

    constexpr std::string_view nodePrefix = "node/";
    constexpr std::string_view unablePrefix = "unable/";
    // An instance whose paths come and go takes no duty in between.
    constexpr duration ableAgainAfter = std::chrono::seconds(3);
    // A longer lease would only delay a take-over.
    constexpr std::chrono::seconds leaseDuration { 3 };
    constexpr std::chrono::milliseconds longestDutyCall { 1500 };

    lease_settings leaseSettings(const context& shared)
    {
        lease_settings out;
        out.self = instance_id(shared.settings.instance.name);
        out.incarnationNumber = shared.ownIncarnation;
        out.address = shared.settings.listen.instances;
        out.region = shared.settings.regionOf(shared.settings.instance.failureDomain);
        out.time = leaseDuration;
        // The platform restarts a process only after the old one has exited.
        out.replacesEarlierIncarnation = true;
        // Two changes of the holder, each with its wait, take the turn time.
        const auto turnTime = shared.settings.duties.turnTime;
        out.settleTime = turnTime.count() == 0 ? duration {} : std::max<duration>(turnTime / 2, longestDutyCall);
        return out;
    }

    // Whether an instance may have written the entry: a member's has its name in the key, too.
    bool mayBeOurs(const std::string& key, const duty_holder& holder)
    {
        const auto duty = key.substr(dutyPrefix.size());
        const bool namesItself = duty.rfind(nodePrefix, 0) != 0 || duty.substr(nodePrefix.size()) == holder.instance.str();
        return namesItself && !holder.instance.empty() && isIpEndpoint(holder.address);
    }

} // namespace

members::members(context& shared, std::vector<claimable_duty> duties)
    : m_context(shared)
    , m_duties(std::move(duties))
    , m_leases(leaseSettings(shared))
{
}

bool members::joined() const { return m_leases.holds(membershipDuty(), m_context.now).has_value(); }

std::optional<held_duty> members::holds(const duty_id& duty) const
{
    auto held = m_leases.holds(duty, m_context.now);
    return held && m_context.now >= held->ordersFrom ? held : std::nullopt;
}

std::chrono::milliseconds members::callTimeout(const held_duty& held, std::chrono::milliseconds longest) const
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(held.until - m_context.now);
    return std::clamp(left, std::chrono::milliseconds(1), std::min(longest, longestDutyCall));
}

std::vector<member> members::others() const
{
    std::vector<member> out;
    for (const auto& [name, candidate] : m_members) {
        if (name.str() != m_context.settings.instance.name)
            out.push_back(candidate);
    }
    return out;
}

std::vector<std::string> members::otherAddresses() const
{
    std::vector<std::string> out;
    for (const auto& peer : others())
        out.push_back(peer.address);
    if (!out.empty())
        return out;
    // Until the first list of members, use the seeds of the settings.
    for (const auto& seed : m_context.settings.listen.seeds) {
        if (seed != m_context.settings.listen.instances)
            out.push_back(seed);
    }
    return out;
}

const member* members::find(const instance_id& name) const
{
    const auto found = m_members.find(name);
    return found == m_members.end() ? nullptr : &found->second;
}

const member* members::holderOf(const duty_id& duty) const
{
    const auto found = m_holders.find(duty);
    return found == m_holders.end() ? nullptr : find(found->second);
}

std::vector<instance_id> members::names() const
{
    std::vector<instance_id> out { instance_id(m_context.settings.instance.name) };
    for (const auto& peer : others())
        out.push_back(peer.name);
    return out;
}

std::vector<instance_place> members::places() const
{
    std::vector<instance_place> out { { instance_id(m_context.settings.instance.name), ownRegion() } };
    for (const auto& peer : others())
        out.push_back({ peer.name, peer.region });
    return out;
}

std::vector<std::string> members::storePeers() const
{
    if (!m_context.site || !m_context.site->hasRegionRules())
        return otherAddresses();
    std::vector<std::string> out;
    for (const auto& peer : others()) {
        if (!peer.region.empty() && peer.region == ownRegion())
            out.push_back(peer.address);
    }
    return out;
}

void members::applyEntries(const std::vector<kv_entry>& entries)
{
    const auto membersBefore = std::exchange(m_members, {});
    const auto holdersBefore = std::exchange(m_holders, {});
    const auto unableBefore = std::exchange(m_unableMembers, {});
    const auto malformedBefore = std::exchange(m_malformedEntries, {});
    for (const auto& entry : entries) {
        const auto holder = entry.key.rfind(dutyPrefix, 0) == 0 ? decodeHolder(entry) : std::nullopt;
        if (!holder || !mayBeOurs(entry.key, *holder)) {
            m_malformedEntries[entry.key] = entry.modRevision;
            const auto logged = malformedBefore.find(entry.key);
            if (logged == malformedBefore.end() || logged->second != entry.modRevision)
                logEvent(log_level::Warning, "members", "ignored", { { "key", entry.key }, { "revision", std::to_string(entry.modRevision.value()) }, { "reason", holder ? "its name or address can't be an instance's" : "names no holder" } });
            continue;
        }
        const auto duty = entry.key.substr(dutyPrefix.size());
        if (duty.rfind(unablePrefix, 0) == 0) {
            if (!unableBefore.contains(holder->instance))
                logEvent(log_level::Warning, "members", "unable", { { "member", holder->instance.str() } });
            m_unableMembers.insert(holder->instance);
            continue;
        }
        if (duty.rfind(nodePrefix, 0) != 0) {
            m_holders[duty_id(duty)] = holder->instance;
            continue;
        }
        const instance_id name(duty.substr(nodePrefix.size()));
        m_members[name] = { name, holder->incarnationNumber, holder->address, region_id(holder->region) };
        const auto previous = membersBefore.find(name);
        if (previous != membersBefore.end() && previous->second.incarnationNumber == holder->incarnationNumber)
            continue;
        logEvent(log_level::Info, "members", "seen", { { "member", name.str() }, { "address", holder->address } });
        if (previous != membersBefore.end())
            m_lostMembers.push_back(name);
    }
    for (const auto& [name, previous] : membersBefore) {
        if (m_members.contains(name))
            continue;
        logEvent(log_level::Warning, "members", "lost", { { "member", name.str() } });
        m_lostMembers.push_back(name);
    }
    for (const auto& [duty, holder] : holdersBefore) {
        if (!m_holders.contains(duty))
            m_leases.onDutyReleased(duty);
    }
    m_known = true;
}

void members::setUnable(bool unable)
{
    if (unable)
        m_unableUntil = m_context.now + ableAgainAfter;
}

bool members::isUnable(const instance_id& name) const
{
    return name.str() == m_context.settings.instance.name ? m_context.now < m_unableUntil : m_unableMembers.contains(name);
}

// Each duty has one preferred member by rendezvous hashing; the others don't claim it while
// that member is alive and can do it. If no member can, all count.
void members::updateDutyChoices()
{
    std::vector<duty_id> preferred;
    std::vector<duty_id> allowed { membershipDuty() };
    if (!m_leaving)
        preferred.push_back(membershipDuty());
    const instance_id self(m_context.settings.instance.name);
    const auto liveNames = names();
    auto ableNames = liveNames;
    std::erase_if(ableNames, [this](const instance_id& name) { return isUnable(name); });
    if (!m_leaving && isUnable(self)) {
        preferred.push_back(unableDuty());
        allowed.push_back(unableDuty());
    }
    for (const auto& duty : m_duties) {
        const bool isHandedOn = duty.needsTargets && isUnable(self) && !ableNames.empty();
        if (m_releasing || isHandedOn)
            continue;
        // A duty that we hold is kept even if another member has become the preferred one.
        allowed.push_back(duty.id);
        const auto* chosen = rendezvousFirst(duty.id.str(), duty.needsTargets && !ableNames.empty() ? ableNames : liveNames);
        if (m_known && joined() && chosen != nullptr && *chosen == self)
            preferred.push_back(duty.id);
    }
    m_leases.setPreferredDuties(preferred, allowed);
}

void members::execute(std::vector<lease_action> actions)
{
    for (auto& action : actions) {
        if (auto* leaseCall = std::get_if<lease_call>(&action)) {
            const bool renews = std::holds_alternative<kv_keep_alive>(leaseCall->call);
            m_context.store.call(renews ? "lease renewal" : "lease", std::move(leaseCall->call), [this, id = leaseCall->id](const result<kv_answer>& answer) {
                execute(m_leases.onAnswer(id, answer, m_context.now));
            });
        } else if (const auto* gained = std::get_if<duty_gained>(&action)) {
            m_joinedEvent = m_joinedEvent || gained->duty == membershipDuty();
            logEvent(log_level::Info, "members", "duty_gained", { { "held", gained->duty.str() }, { "fencing", std::to_string(gained->fencing.value()) } });
        } else if (const auto* lost = std::get_if<duty_lost>(&action))
            logEvent(log_level::Info, "members", "duty_lost", { { "held", lost->duty.str() }, { "fencing", std::to_string(lost->fencing.value()) } });
    }
}

void members::tick()
{
    updateDutyChoices();
    execute(m_leases.tick(m_context.now));
}

void members::releaseDuties() { m_releasing = true; }

void members::leave()
{
    m_releasing = m_leaving = true;
    m_leases.releaseAll();
}

} // namespace lovagerail::edge
