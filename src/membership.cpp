// Probing, suspicion, refutation and dissemination of member states; see membership.h.
#include "membership.h"

#include <algorithm>
#include <bit>
#include <cassert>
#include <tuple>
#include <xxhash.h>

namespace lovagerail {

namespace {

    constexpr std::uint64_t unreachablePingInterval = 4; // periods
    constexpr std::uint32_t retransmitFactor = 2; // an update is sent so many times log2 of the members
    constexpr int directProbeParts = 3; // of a period; indirect probes start after the first part
    constexpr std::int64_t isolationPeriods = 5; // without any message: this instance is isolated
    constexpr std::size_t maxRelayedProbes = 32; // indirect probes that this instance runs for others at a time
    constexpr std::size_t relayPicks = 16; // random picks to find members for indirect probes

    bool isLive(const member_update& update)
    {
        return update.incarnationNumber != incarnation() && update.state != member_state::Dead;
    }

    std::uint64_t hashOf(const member_update& update)
    {
        const std::uint64_t numbers[] = { update.incarnationNumber.value(), update.counter, static_cast<std::uint64_t>(update.state), update.leaving ? 1u : 0u };
        return XXH64(numbers, sizeof numbers, XXH64(update.id.str().data(), update.id.str().size(), 0));
    }

    auto orderOf(const member_update& update)
    {
        return std::tuple(update.incarnationNumber, update.counter, update.state);
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

bool merge(member_update& known, const member_update& received)
{
    const member_update before = known;
    const bool leaving = (known.incarnationNumber == received.incarnationNumber && (known.leaving || received.leaving)) || (known.incarnationNumber > received.incarnationNumber ? known.leaving : received.leaving);
    if (orderOf(received) > orderOf(known))
        known = received;
    known.leaving = leaving;
    return !(known == before);
}

membership::membership(membership_settings settings, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_self(m_settings.self)
    , m_random(seed)
{
    assert(m_self.incarnationNumber != incarnation());
    m_digest = hashOf(m_self);
}

// --- Member states -------------------------------------------------------------------

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
    for (const auto& [id, entry] : m_members) {
        if (isLive(entry.known))
            out.push_back(entry.known);
    }
    return out;
}

std::size_t membership::reachable(instant now) const
{
    if (now - m_lastMessageAt > m_settings.period * isolationPeriods)
        return 1;
    return 1 + m_live - m_suspects.size();
}

duration membership::suspicionTime() const
{
    const auto periods = m_settings.suspicionPeriods + std::bit_width(m_live + 1);
    return std::max<duration>(m_settings.minSuspicionTime, m_settings.period * static_cast<std::int64_t>(periods));
}

std::uint32_t membership::retransmitLimit() const
{
    return retransmitFactor * static_cast<std::uint32_t>(std::bit_width(m_live + 1));
}

void membership::setSeeds(const std::vector<member_update>& seeds)
{
    for (auto& [id, entry] : m_members)
        entry.listed = false;
    for (const auto& seed : seeds) {
        if (seed.id == m_self.id)
            continue;
        auto& entry = m_members[seed.id];
        entry.listed = true;
        if (entry.known.incarnationNumber != incarnation())
            continue;
        entry.known = seed;
        entry.known.incarnationNumber = incarnation();
        m_unreachable.insert(seed.id);
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

// Merges a received state of a member, which may be this one.
void membership::mergeUpdate(const member_update& received, instant now)
{
    if (received.id == m_self.id) {
        refute(received);
        return;
    }
    if (received.incarnationNumber == incarnation())
        return;
    const auto found = m_members.find(received.id);
    // An unknown member that is dead need not be stored.
    if (found == m_members.end() && received.state == member_state::Dead)
        return;
    auto& entry = found == m_members.end() ? m_members[received.id] : found->second;
    auto updated = entry.known;
    if (updated.id.empty())
        updated = received;
    else if (!merge(updated, received))
        return;
    applyUpdate(entry, updated, now);
}

// Updates counts, sets, digest and the queue of updates for the member's new state.
void membership::applyUpdate(member& one, const member_update& next, instant now)
{
    const auto before = one.known;
    if (isLive(before)) {
        --m_live;
        m_digest ^= hashOf(before);
    }
    if (before.state != next.state || before.incarnationNumber != next.incarnationNumber)
        one.changedAt = now;
    if (before.incarnationNumber != next.incarnationNumber)
        one.lastHeardAt = {};
    one.known = next;
    if (isLive(next)) {
        ++m_live;
        m_digest ^= hashOf(next);
        m_unreachable.erase(next.id);
    } else {
        m_unreachable.insert(next.id);
    }
    if (next.state == member_state::Suspect)
        m_suspects.insert(next.id);
    else
        m_suspects.erase(next.id);
    setTimesSent(next.id, 0);
}

void membership::setTimesSent(const instance_id& id, std::uint32_t timesSent)
{
    auto& entry = m_members.at(id);
    m_pendingUpdates.erase({ entry.timesSent, id });
    entry.timesSent = timesSent;
    if (timesSent < retransmitLimit())
        m_pendingUpdates.emplace(timesSent, id);
}

// Raises our counter if another member believes this incarnation suspect or dead, so that
// our next message overrides that state.
void membership::refute(const member_update& received)
{
    if (received.incarnationNumber != m_self.incarnationNumber || received.state == member_state::Alive || received.counter < m_self.counter)
        return;
    m_digest ^= hashOf(m_self);
    m_self.counter = received.counter + 1;
    m_digest ^= hashOf(m_self);
}

void membership::recordContact(const member_update& from, instant now)
{
    if (from.id == m_self.id || from.incarnationNumber == incarnation())
        return;
    m_lastMessageAt = now;
    mergeUpdate(from, now);
    const auto found = m_members.find(from.id);
    if (found != m_members.end() && found->second.known.incarnationNumber == from.incarnationNumber)
        found->second.lastHeardAt = now;
}

// --- Messages ------------------------------------------------------------------------

member_message membership::onMessage(const member_message& message, instant now)
{
    recordContact(message.from, now);
    for (const auto& update : message.updates)
        mergeUpdate(update, now);
    m_digestsDiffer = message.digest != m_digest;
    if (message.kind == message_kind::ProbeRequest && m_relayed.size() < maxRelayedProbes) {
        m_relayed.push_back({ message.about, message.from.id, now + m_settings.period });
        send(message.about, message_kind::Ping, {}, m_outbox);
    } else if (message.kind == message_kind::Reached && m_probe && m_probe->target == message.about) {
        m_probe.reset();
    }
    return compose(message_kind::Answer, message.from.id);
}

void membership::onAnswer(const instance_id& from, const member_message& answer, instant now)
{
    if (answer.from.id != from)
        return;
    recordContact(answer.from, now);
    for (const auto& update : answer.updates)
        mergeUpdate(update, now);
    m_digestsDiffer = answer.digest != m_digest;
    if (m_probe && m_probe->target == from)
        m_probe.reset();
    for (const auto& relayed : m_relayed) {
        if (relayed.target == from)
            send(relayed.requester, message_kind::Reached, from, m_outbox);
    }
    std::erase_if(m_relayed, [&](const relayed_probe& relayed) { return relayed.target == from; });
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
    attachUpdates(out, to);
    return out;
}

// Adds the updates sent least often first; but if the receiver is believed suspect or
// dead, that goes before all others.
void membership::attachUpdates(member_message& to, const instance_id& receiver)
{
    std::set<instance_id> chosen;
    const auto add = [&](const instance_id& id) {
        if (chosen.insert(id).second)
            to.updates.push_back(m_members.at(id).known);
    };

    // Step 1. The receiver learns that it is suspect or dead, so that it can refute.
    const auto found = m_members.find(receiver);
    if (found != m_members.end() && found->second.known.incarnationNumber != incarnation() && found->second.known.state != member_state::Alive)
        add(receiver);

    // Step 2. Recent changes.
    for (auto update = m_pendingUpdates.begin(); update != m_pendingUpdates.end() && to.updates.size() < maxUpdatesPerMessage; ++update) {
        if (update->second != receiver)
            add(update->second);
    }
    for (const auto& id : chosen)
        setTimesSent(id, m_members.at(id).timesSent + 1);

    // Step 3. If the digests differ, all members in turn.
    auto next = m_members.upper_bound(m_cursor);
    for (std::size_t visited = 0; m_digestsDiffer && visited < m_members.size() && to.updates.size() < maxUpdatesPerMessage; ++visited) {
        if (next == m_members.end())
            next = m_members.begin();
        m_cursor = next->first;
        if (next->second.known.incarnationNumber != incarnation() && next->first != receiver)
            add(next->first);
        ++next;
    }
}

void membership::send(const instance_id& to, message_kind kind, const instance_id& about, std::vector<outgoing_member_message>& out)
{
    const auto found = m_members.find(to);
    if (found == m_members.end())
        return;
    auto message = compose(kind, to);
    message.about = about;
    out.push_back({ to, found->second.known.address, std::move(message) });
}

// --- Time ----------------------------------------------------------------------------

std::vector<outgoing_member_message> membership::tick(instant now)
{
    std::vector<outgoing_member_message> out;
    // Step 1. If this process was paused, missing answers are no sign of failed members:
    // drop the open probe and move the deadlines by the length of the pause.
    const auto gap = now - m_lastTick;
    if (m_lastTick != instant() && gap > m_settings.period) {
        m_probe.reset();
        for (const auto& id : m_suspects)
            m_members.at(id).changedAt += gap;
        m_lastMessageAt += gap;
    }
    m_lastTick = now;

    // Step 2. Queued messages, open probes and suspects.
    std::swap(out, m_outbox);
    std::erase_if(m_relayed, [&](const relayed_probe& relayed) { return relayed.until < now; });
    checkProbe(now, out);
    expireSuspects(now);

    // Step 3. A new period.
    if (now >= m_nextPeriod) {
        m_nextPeriod = std::max(m_nextPeriod + m_settings.period, now + m_settings.period / 2);
        startPeriod(now, out);
    }
    return out;
}

void membership::checkProbe(instant now, std::vector<outgoing_member_message>& out)
{
    if (!m_probe)
        return;
    const auto found = m_members.find(m_probe->target);
    if (found == m_members.end() || !isLive(found->second.known) || found->second.lastHeardAt >= m_probe->sentAt) {
        m_probe.reset();
        return;
    }
    const auto age = now - m_probe->sentAt;
    if (!m_probe->relayed && (m_probe->failed || age >= m_settings.period / directProbeParts)) {
        m_probe->relayed = true;
        sendProbeRequests(out);
    }
    if (age < m_settings.period)
        return;
    m_probe.reset();
    if (found->second.known.state != member_state::Alive)
        return;
    auto suspected = found->second.known;
    suspected.state = member_state::Suspect;
    applyUpdate(found->second, suspected, now);
    // A direct ping lets it learn of the suspicion and refute at once.
    send(suspected.id, message_kind::Ping, {}, out);
}

// Prefers members of different failure domains, to find a path around a broken link.
void membership::sendProbeRequests(std::vector<outgoing_member_message>& out)
{
    std::set<failure_domain_id> domains;
    std::set<instance_id> chosen;
    for (std::size_t tries = 0; tries < relayPicks && chosen.size() < m_settings.relays && !m_probeOrder.empty(); ++tries) {
        const auto& id = m_probeOrder[randomBelow(m_probeOrder.size())];
        const auto found = m_members.find(id);
        if (found == m_members.end() || found->second.known.state != member_state::Alive || id == m_probe->target || chosen.contains(id))
            continue;
        const bool isNewDomain = domains.insert(found->second.known.failureDomain).second;
        if (!isNewDomain && tries < relayPicks / 2)
            continue;
        chosen.insert(id);
        send(id, message_kind::ProbeRequest, m_probe->target, out);
    }
}

void membership::expireSuspects(instant now)
{
    if (m_suspects.empty())
        return;
    // An isolated instance receives nothing from anybody, so silence proves nothing.
    if (now - m_lastMessageAt > m_settings.period * isolationPeriods)
        return;
    const auto limit = suspicionTime();
    const auto suspects = m_suspects;
    for (const auto& id : suspects) {
        auto& entry = m_members.at(id);
        if (now - std::max(entry.changedAt, entry.lastHeardAt) < limit)
            continue;
        auto updated = entry.known;
        updated.state = member_state::Dead;
        applyUpdate(entry, updated, now);
    }
}

void membership::startPeriod(instant now, std::vector<outgoing_member_message>& out)
{
    ++m_period;
    if (m_live == 0 || m_period % unreachablePingInterval == 0)
        pingUnreachable(out);
    if (m_nextProbe >= m_probeOrder.size())
        shuffleProbeOrder();
    while (m_nextProbe < m_probeOrder.size()) {
        const auto& id = m_probeOrder[m_nextProbe++];
        const auto found = m_members.find(id);
        if (found == m_members.end() || !isLive(found->second.known))
            continue;
        m_probe = probe { id, now, false, false };
        send(id, message_kind::Ping, {}, out);
        break;
    }

    // Forget members that aren't in the platform's list and were never heard of, or have
    // been dead for deadRetention.
    for (auto id = m_unreachable.begin(); m_period % 64 == 0 && id != m_unreachable.end();) {
        const auto& entry = m_members.at(*id);
        const bool isExpired = entry.known.incarnationNumber == incarnation() || now - entry.changedAt > m_settings.deadRetention;
        if (entry.listed || !isExpired) {
            ++id;
            continue;
        }
        m_pendingUpdates.erase({ entry.timesSent, *id });
        m_members.erase(*id);
        id = m_unreachable.erase(id);
    }
}

// Pings a random member that is believed dead, or listed and not heard of yet.
void membership::pingUnreachable(std::vector<outgoing_member_message>& out)
{
    if (m_unreachable.empty())
        return;
    auto chosen = m_unreachable.begin();
    std::advance(chosen, static_cast<std::ptrdiff_t>(randomBelow(m_unreachable.size())));
    send(*chosen, message_kind::Ping, {}, out);
}

void membership::shuffleProbeOrder()
{
    m_nextProbe = 0;
    m_probeOrder.clear();
    for (const auto& [id, entry] : m_members) {
        if (isLive(entry.known))
            m_probeOrder.push_back(id);
    }
    for (std::size_t unshuffled = m_probeOrder.size(); unshuffled > 1; --unshuffled)
        std::swap(m_probeOrder[unshuffled - 1], m_probeOrder[randomBelow(unshuffled)]);
}

std::vector<member_update> membership::sample(std::size_t count)
{
    if (m_probeOrder.empty())
        shuffleProbeOrder();
    std::vector<member_update> out;
    std::set<instance_id> chosen;
    for (std::size_t tries = 0; tries < count * 4 && out.size() < count && !m_probeOrder.empty(); ++tries) {
        const auto found = m_members.find(m_probeOrder[randomBelow(m_probeOrder.size())]);
        if (found == m_members.end() || !isLive(found->second.known) || !chosen.insert(found->first).second)
            continue;
        out.push_back(found->second.known);
    }
    return out;
}

} // namespace lovagerail
