// Probing, suspicion, refutation and the spreading of what is known.
#include "membership.h"

#include <algorithm>
#include <bit>
#include <cassert>
#include <tuple>
#include <xxhash.h>

namespace lovagerail {

namespace {

    constexpr std::uint64_t tryAgainEvery = 4; // periods
    constexpr std::uint32_t tellFactor = 2; // times log2 of the members
    constexpr int directShare = 3; // a ping has this part of the period before others are asked
    constexpr std::int64_t isolationPeriods = 5;
    constexpr std::size_t mostRelayed = 32;
    constexpr std::size_t relayTries = 16;

    bool isLive(const member_update& one)
    {
        return one.life != incarnation() && one.state != member_state::Dead;
    }

    std::uint64_t hashOf(const member_update& one)
    {
        const std::uint64_t numbers[] = { one.life.value(), one.counter, static_cast<std::uint64_t>(one.state), one.leaving ? 1u : 0u };
        return XXH64(numbers, sizeof numbers, XXH64(one.id.str().data(), one.id.str().size(), 0));
    }

    auto orderOf(const member_update& one)
    {
        return std::tuple(one.life, one.counter, one.state);
    }

} // namespace

std::string_view toString(member_state state)
{
    switch (state) {
    case member_state::Alive:
        return "alive";
    case member_state::Suspect:
        return "suspect";
    case member_state::Dead:
        return "dead";
    }
    return "dead";
}

bool merge(member_update& known, const member_update& told)
{
    const member_update before = known;
    const bool leaving = (known.life == told.life && (known.leaving || told.leaving)) || (known.life > told.life ? known.leaving : told.leaving);
    if (orderOf(told) > orderOf(known))
        known = told;
    known.leaving = leaving;
    return !(known == before);
}

membership::membership(membership_settings settings, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_self(m_settings.self)
    , m_random(seed)
{
    assert(m_self.life != incarnation());
    m_digest = hashOf(m_self);
}

// --- What is known -------------------------------------------------------------------

const member_update* membership::find(const instance_id& id) const
{
    if (id == m_self.id)
        return &m_self;
    const auto found = m_members.find(id);
    return found == m_members.end() ? nullptr : &found->second.known;
}

std::vector<member_update> membership::live() const
{
    std::vector<member_update> out;
    out.reserve(m_live);
    for (const auto& [id, one] : m_members) {
        if (isLive(one.known))
            out.push_back(one.known);
    }
    return out;
}

std::size_t membership::reachable(instant now) const
{
    if (now - m_heardAnyAt > m_settings.period * isolationPeriods)
        return 1;
    return 1 + m_live - m_suspects.size();
}

duration membership::suspicionTime() const
{
    const auto periods = m_settings.suspicionPeriods + std::bit_width(m_live + 1);
    return std::max<duration>(m_settings.leastSuspicion, m_settings.period * static_cast<std::int64_t>(periods));
}

std::uint32_t membership::toldLimit() const
{
    return tellFactor * static_cast<std::uint32_t>(std::bit_width(m_live + 1));
}

void membership::setSeeds(const std::vector<member_update>& seeds)
{
    for (auto& [id, one] : m_members)
        one.listed = false;
    for (const auto& seed : seeds) {
        if (seed.id == m_self.id)
            continue;
        auto& one = m_members[seed.id];
        one.listed = true;
        if (one.known.life != incarnation())
            continue;
        one.known = seed;
        one.known.life = incarnation();
        m_away.insert(seed.id);
    }
}

void membership::leave()
{
    if (m_self.leaving)
        return;
    m_digest ^= hashOf(m_self);
    m_self.leaving = true;
    m_digest ^= hashOf(m_self);
}

// Takes in what somebody told of a member, this one included.
void membership::take(const member_update& told, instant now)
{
    if (told.id == m_self.id) {
        refute(told);
        return;
    }
    if (told.life == incarnation())
        return;
    const auto found = m_members.find(told.id);
    // Nobody here knows it, and it is dead: nothing to remember.
    if (found == m_members.end() && told.state == member_state::Dead)
        return;
    auto& one = found == m_members.end() ? m_members[told.id] : found->second;
    auto next = one.known;
    if (next.id.empty())
        next = told;
    else if (!merge(next, told))
        return;
    change(one, next, now);
}

// Keeps counts, sets, digest and rumours true to the member's new state.
void membership::change(member& one, const member_update& next, instant now)
{
    const auto before = one.known;
    if (isLive(before)) {
        --m_live;
        m_digest ^= hashOf(before);
    }
    if (before.state != next.state || before.life != next.life)
        one.changedAt = now;
    if (before.life != next.life)
        one.heardAt = {};
    one.known = next;
    if (isLive(next)) {
        ++m_live;
        m_digest ^= hashOf(next);
        m_away.erase(next.id);
    } else {
        m_away.insert(next.id);
    }
    if (next.state == member_state::Suspect)
        m_suspects.insert(next.id);
    else
        m_suspects.erase(next.id);
    setTold(next.id, 0);
}

void membership::setTold(const instance_id& id, std::uint32_t told)
{
    auto& one = m_members.at(id);
    m_rumours.erase({ one.told, id });
    one.told = told;
    if (told < toldLimit())
        m_rumours.emplace(told, id);
}

// Somebody holds us for suspect or dead, or doesn't know that we leave.
void membership::refute(const member_update& told)
{
    if (told.life != m_self.life || told.state == member_state::Alive || told.counter < m_self.counter)
        return;
    m_digest ^= hashOf(m_self);
    m_self.counter = told.counter + 1;
    m_digest ^= hashOf(m_self);
}

void membership::noteHeard(const member_update& from, instant now)
{
    if (from.id == m_self.id || from.life == incarnation())
        return;
    m_heardAnyAt = now;
    take(from, now);
    const auto found = m_members.find(from.id);
    if (found != m_members.end() && found->second.known.life == from.life)
        found->second.heardAt = now;
}

// --- Messages ------------------------------------------------------------------------

member_message membership::onMessage(const member_message& message, instant now)
{
    noteHeard(message.from, now);
    for (const auto& update : message.updates)
        take(update, now);
    m_apart = message.digest != m_digest;
    if (message.kind == message_kind::ProbeRequest && m_relayed.size() < mostRelayed) {
        m_relayed.push_back({ message.about, message.from.id, now + m_settings.period });
        send(message.about, message_kind::Ping, {}, m_waiting);
    } else if (message.kind == message_kind::Reached && m_probe && m_probe->target == message.about) {
        m_probe.reset();
    }
    return compose(message_kind::Answer, message.from.id);
}

void membership::onAnswer(const instance_id& from, const member_message& answer, instant now)
{
    if (answer.from.id != from)
        return;
    noteHeard(answer.from, now);
    for (const auto& update : answer.updates)
        take(update, now);
    m_apart = answer.digest != m_digest;
    if (m_probe && m_probe->target == from)
        m_probe.reset();
    for (const auto& asked : m_relayed) {
        if (asked.target == from)
            send(asked.asker, message_kind::Reached, from, m_waiting);
    }
    std::erase_if(m_relayed, [&](const relayed_probe& asked) { return asked.target == from; });
}

void membership::onFailure(const instance_id& to)
{
    if (m_probe && m_probe->target == to)
        m_probe->failed = true;
}

member_message membership::compose(message_kind kind, const instance_id& to)
{
    member_message out;
    out.kind = kind;
    out.from = m_self;
    out.digest = m_digest;
    addUpdates(out, to);
    return out;
}

// Least-told first, but what is held against the receiver goes before all.
void membership::addUpdates(member_message& to, const instance_id& receiver)
{
    std::set<instance_id> chosen;
    const auto add = [&](const instance_id& id) {
        if (chosen.insert(id).second)
            to.updates.push_back(m_members.at(id).known);
    };

    // Step 1. The receiver may have to refute.
    const auto found = m_members.find(receiver);
    if (found != m_members.end() && found->second.known.life != incarnation() && found->second.known.state != member_state::Alive)
        add(receiver);

    // Step 2. Rumours.
    for (auto rumour = m_rumours.begin(); rumour != m_rumours.end() && to.updates.size() < mostUpdates; ++rumour) {
        if (rumour->second != receiver)
            add(rumour->second);
    }
    for (const auto& id : chosen)
        setTold(id, m_members.at(id).told + 1);

    // Step 3. Fleets that differ are told of all members in turn.
    auto next = m_members.upper_bound(m_cursor);
    for (std::size_t seen = 0; m_apart && seen < m_members.size() && to.updates.size() < mostUpdates; ++seen) {
        if (next == m_members.end())
            next = m_members.begin();
        m_cursor = next->first;
        if (next->second.known.life != incarnation() && next->first != receiver)
            add(next->first);
        ++next;
    }
}

void membership::send(const instance_id& to, message_kind kind, const instance_id& about, std::vector<member_send>& out)
{
    const auto found = m_members.find(to);
    if (found == m_members.end())
        return;
    auto message = compose(kind, to);
    message.about = about;
    out.push_back({ to, found->second.known.address, std::move(message) });
}

// --- Time ----------------------------------------------------------------------------

std::vector<member_send> membership::tick(instant now)
{
    std::vector<member_send> out;
    // Step 1. After a pause of ours nobody else is to blame: deadlines move by it.
    const auto gap = now - m_lastTick;
    if (m_lastTick != instant() && gap > m_settings.period) {
        m_probe.reset();
        for (const auto& id : m_suspects)
            m_members.at(id).changedAt += gap;
        m_heardAnyAt += gap;
    }
    m_lastTick = now;

    // Step 2. What is under way.
    std::swap(out, m_waiting);
    std::erase_if(m_relayed, [&](const relayed_probe& asked) { return asked.until < now; });
    resolveProbe(now, out);
    judgeSuspects(now);

    // Step 3. A new period.
    if (now >= m_nextPeriod) {
        m_nextPeriod = std::max(m_nextPeriod + m_settings.period, now + m_settings.period / 2);
        startPeriod(now, out);
    }
    return out;
}

void membership::resolveProbe(instant now, std::vector<member_send>& out)
{
    if (!m_probe)
        return;
    const auto found = m_members.find(m_probe->target);
    if (found == m_members.end() || !isLive(found->second.known) || found->second.heardAt >= m_probe->sentAt) {
        m_probe.reset();
        return;
    }
    const auto age = now - m_probe->sentAt;
    if (!m_probe->relayed && (m_probe->failed || age >= m_settings.period / directShare)) {
        m_probe->relayed = true;
        askRelays(out);
    }
    if (age < m_settings.period)
        return;
    m_probe.reset();
    if (found->second.known.state != member_state::Alive)
        return;
    auto next = found->second.known;
    next.state = member_state::Suspect;
    change(found->second, next, now);
    // It may refute at once.
    send(next.id, message_kind::Ping, {}, out);
}

// Others of failure domains as different as can be: a path around a broken link.
void membership::askRelays(std::vector<member_send>& out)
{
    std::set<failure_domain_id> domains;
    std::set<instance_id> chosen;
    for (std::size_t tries = 0; tries < relayTries && chosen.size() < m_settings.relays && !m_round.empty(); ++tries) {
        const auto& id = m_round[below(m_round.size())];
        const auto found = m_members.find(id);
        if (found == m_members.end() || found->second.known.state != member_state::Alive || id == m_probe->target || chosen.contains(id))
            continue;
        const bool isNewDomain = domains.insert(found->second.known.failureDomain).second;
        if (!isNewDomain && tries < relayTries / 2)
            continue;
        chosen.insert(id);
        send(id, message_kind::ProbeRequest, m_probe->target, out);
    }
}

void membership::judgeSuspects(instant now)
{
    if (m_suspects.empty())
        return;
    // Who hears nobody can't tell who is dead.
    if (now - m_heardAnyAt > m_settings.period * isolationPeriods)
        return;
    const auto limit = suspicionTime();
    const auto suspects = m_suspects;
    for (const auto& id : suspects) {
        auto& one = m_members.at(id);
        if (now - std::max(one.changedAt, one.heardAt) < limit)
            continue;
        auto next = one.known;
        next.state = member_state::Dead;
        change(one, next, now);
    }
}

void membership::startPeriod(instant now, std::vector<member_send>& out)
{
    ++m_period;
    if (m_live == 0 || m_period % tryAgainEvery == 0)
        tryAgain(out);
    if (m_nextInRound >= m_round.size())
        beginRound();
    while (m_nextInRound < m_round.size()) {
        const auto& id = m_round[m_nextInRound++];
        const auto found = m_members.find(id);
        if (found == m_members.end() || !isLive(found->second.known))
            continue;
        m_probe = probe { id, now, false, false };
        send(id, message_kind::Ping, {}, out);
        break;
    }

    // What is dead, unlisted and long past is forgotten.
    for (auto one = m_away.begin(); m_period % 64 == 0 && one != m_away.end();) {
        const auto& known = m_members.at(*one);
        const bool isPast = known.known.life == incarnation() || now - known.changedAt > m_settings.deadMemory;
        if (known.listed || !isPast) {
            ++one;
            continue;
        }
        m_rumours.erase({ known.told, *one });
        m_members.erase(*one);
        one = m_away.erase(one);
    }
}

// One that is listed but unheard, or held for dead.
void membership::tryAgain(std::vector<member_send>& out)
{
    if (m_away.empty())
        return;
    auto chosen = m_away.begin();
    std::advance(chosen, static_cast<std::ptrdiff_t>(below(m_away.size())));
    send(*chosen, message_kind::Ping, {}, out);
}

void membership::beginRound()
{
    m_nextInRound = 0;
    m_round.clear();
    for (const auto& [id, one] : m_members) {
        if (isLive(one.known))
            m_round.push_back(id);
    }
    for (std::size_t left = m_round.size(); left > 1; --left)
        std::swap(m_round[left - 1], m_round[below(left)]);
}

std::vector<member_update> membership::sample(std::size_t count)
{
    if (m_round.empty())
        beginRound();
    std::vector<member_update> out;
    std::set<instance_id> chosen;
    for (std::size_t tries = 0; tries < count * 4 && out.size() < count && !m_round.empty(); ++tries) {
        const auto found = m_members.find(m_round[below(m_round.size())]);
        if (found == m_members.end() || !isLive(found->second.known) || !chosen.insert(found->first).second)
            continue;
        out.push_back(found->second.known);
    }
    return out;
}

} // namespace lovagerail
