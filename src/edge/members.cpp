// The watch on leases, and claims by rendezvous order.
#include "edge/members.h"

#include "log.h"
#include "rendezvous.h"

#include <algorithm>

namespace lovagerail::edge {

namespace {

    constexpr std::string_view nodePrefix = "node/";
    // The platform refuses an older holder's fencing number, so a short lease risks
    // nothing; a longer one only delays a take-over.
    constexpr std::chrono::seconds leaseTime { 3 };
    constexpr duration readPause = std::chrono::milliseconds(500); // after a list that failed
    constexpr std::chrono::milliseconds watchWait { 4000 }; // about as long as a lease takes to lapse

    lease_settings leaseSettings(const context& shared)
    {
        lease_settings out;
        out.self = instance_id(shared.values.instance.name);
        out.life = shared.life;
        out.address = shared.values.listen.instances;
        out.time = leaseTime;
        // The platform starts a process again only after it has ended.
        out.replacesEarlierLife = true;
        return out;
    }

} // namespace

members::members(context& shared, std::vector<duty_id> duties)
    : m_context(shared)
    , m_duties(std::move(duties))
    , m_leases(leaseSettings(shared))
{
}

bool members::joined() const { return m_leases.holds(nodeDuty(), m_context.now).has_value(); }

std::vector<member> members::others() const
{
    std::vector<member> out;
    for (const auto& [name, one] : m_members) {
        if (name.str() != m_context.values.instance.name)
            out.push_back(one);
    }
    return out;
}

std::vector<std::string> members::otherAddresses() const
{
    std::vector<std::string> out;
    for (const auto& one : others())
        out.push_back(one.address);
    if (!out.empty())
        return out;
    // Before the first list, the settings' own hints.
    for (const auto& seed : m_context.values.listen.seeds) {
        if (seed != m_context.values.listen.instances)
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
    std::vector<instance_id> out { instance_id(m_context.values.instance.name) };
    for (const auto& one : others())
        out.push_back(one.name);
    return out;
}

void members::read()
{
    m_reading = true;
    m_context.store.call("members", readPrefix(std::string(dutyPrefix)), [this](const result<kv_answer>& answer) {
        m_reading = false;
        if (!answer) {
            m_readAgain = m_context.now + readPause;
            return;
        }
        const auto before = std::exchange(m_members, {});
        m_holders.clear();
        for (const auto& entry : answer->entries)
            take(entry, false);
        for (const auto& [name, one] : before) {
            if (!m_members.contains(name))
                m_lost.push_back(name);
        }
        m_known = true;
        m_watch = m_context.store.watch(std::string(dutyPrefix), answer->at, watchWait, [this](const platform::store_news& news) {
            if (news.compacted) {
                m_watch = 0; // tick() reads afresh
                return;
            }
            for (const auto& event : news.events)
                take(event.entry, event.deleted);
        });
    });
}

void members::take(const kv_entry& entry, bool deleted)
{
    const auto duty = entry.key.substr(dutyPrefix.size());
    if (duty.rfind(nodePrefix, 0) != 0) {
        const auto holder = deleted ? std::nullopt : decodeHolder(entry);
        if (deleted) {
            m_leases.hintFree(duty_id(duty));
            m_holders.erase(duty_id(duty));
        } else if (holder)
            m_holders[duty_id(duty)] = holder->instance;
        return;
    }
    const instance_id name(duty.substr(nodePrefix.size()));
    if (deleted) {
        if (m_members.erase(name) > 0) {
            m_lost.push_back(name);
            logEvent(log_level::Warning, "members", "lost", { { "member", name.str() } });
        }
        return;
    }
    const auto holder = decodeHolder(entry);
    if (!holder)
        return;
    const auto known = m_members.find(name);
    if (known == m_members.end() || known->second.life != holder->life)
        logEvent(log_level::Info, "members", "seen", { { "member", name.str() }, { "address", holder->address } });
    if (known != m_members.end() && known->second.life != holder->life)
        m_lost.push_back(name);
    m_members[name] = { name, holder->life, holder->address };
}

// Each duty is first wanted by one member; the others leave it alone while that lives.
void members::chooseDuties()
{
    std::vector<duty_id> first;
    std::vector<duty_id> all { nodeDuty() };
    if (!m_leaving)
        first.push_back(nodeDuty());
    if (!m_releasing && m_known && joined()) {
        const auto live = names();
        for (const auto& duty : m_duties) {
            all.push_back(duty);
            const auto* chosen = rendezvousFirst(duty.str(), live);
            if (chosen != nullptr && chosen->str() == m_context.values.instance.name)
                first.push_back(duty);
        }
    }
    if (!m_releasing) {
        // Held duties stay held although another member would be the first choice now.
        for (const auto& duty : m_duties) {
            if (std::find(all.begin(), all.end(), duty) == all.end())
                all.push_back(duty);
        }
    }
    m_leases.setChoices(first, all);
}

void members::act(std::vector<lease_action> actions)
{
    for (auto& action : actions) {
        if (auto* wanted = std::get_if<lease_call>(&action)) {
            m_context.store.call("lease", std::move(wanted->call), [this, id = wanted->id](const result<kv_answer>& answer) {
                act(m_leases.onAnswer(id, answer, m_context.now));
            });
        } else if (const auto* gained = std::get_if<duty_gained>(&action)) {
            logEvent(log_level::Info, "members", "duty_gained", { { "held", gained->duty.str() }, { "fencing", std::to_string(gained->fencing.value()) } });
        } else if (const auto* lost = std::get_if<duty_lost>(&action))
            logEvent(log_level::Info, "members", "duty_lost", { { "held", lost->duty.str() }, { "fencing", std::to_string(lost->fencing.value()) } });
    }
}

void members::tick()
{
    if (m_watch == 0 && !m_reading && m_context.now >= m_readAgain)
        read();
    chooseDuties();
    act(m_leases.tick(m_context.now));
}

void members::releaseDuties() { m_releasing = true; }

void members::leave()
{
    m_releasing = m_leaving = true;
    m_leases.releaseAll();
}

} // namespace lovagerail::edge
