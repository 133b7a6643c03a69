// Claims, keep-alives and releases.
#include "lease.h"

#include "json_text.h"

#include <algorithm>
#include <utility>

namespace lovagerail {

namespace {

    constexpr int keepAlivesPerTime = 3;
    constexpr int claimsPerTime = 2;
    constexpr duration grantRetry = std::chrono::milliseconds(500);

    std::string dutyKey(const duty_id& duty) { return std::string(dutyPrefix) + duty.str(); }

    std::vector<duty_id> sorted(std::vector<duty_id> duties)
    {
        std::sort(duties.begin(), duties.end());
        return duties;
    }

    bool contains(const std::vector<duty_id>& sortedDuties, const duty_id& duty)
    {
        return std::binary_search(sortedDuties.begin(), sortedDuties.end(), duty);
    }

    fencing_number fencingOf(const kv_entry& entry) { return fencing_number(entry.createRevision.value()); }

} // namespace

duty_leases::duty_leases(lease_settings settings)
    : m_settings(std::move(settings))
{
}

void duty_leases::setChoices(const std::vector<duty_id>& first, const std::vector<duty_id>& all)
{
    m_first = sorted(first);
    m_all = sorted(all);
}

void duty_leases::release(const duty_id& duty)
{
    if (m_held.contains(duty) && std::find(m_releasing.begin(), m_releasing.end(), duty) == m_releasing.end())
        m_releasing.push_back(duty);
}

void duty_leases::releaseAll()
{
    m_first.clear();
    for (const auto& [duty, held] : m_held)
        release(duty);
}

void duty_leases::hintFree(const duty_id& duty)
{
    m_nextClaim.erase(duty);
}

void duty_leases::hintService()
{
    m_nextGrant = m_nextKeepAlive = {};
    m_nextClaim.clear();
}

std::string duty_leases::value() const
{
    Json::Value out(Json::objectValue);
    out["instance"] = m_settings.self.str();
    out["incarnation"] = Json::UInt64(m_settings.life.value());
    if (!m_settings.address.empty())
        out["address"] = m_settings.address;
    return writeJson(out);
}

bool duty_leases::isOurs(const kv_entry& entry) const
{
    return entry.lease == m_lease && entry.value == value();
}

std::uint64_t duty_leases::open(call_kind kind, const duty_id& duty, instant now, kv_call call)
{
    const auto id = ++m_lastCall;
    m_calls[id] = open_call { kind, duty, {}, m_lease, now };
    m_actions.emplace_back(lease_call { id, std::move(call) });
    return id;
}

bool duty_leases::isOpen(call_kind kind) const
{
    return std::any_of(m_calls.begin(), m_calls.end(), [kind](const auto& entry) { return entry.second.kind == kind; });
}

std::vector<lease_action> duty_leases::tick(instant now)
{
    // Step 1. A right that ended is over at once, whatever is under way.
    if (m_lease != kv_lease_id() && now >= m_until)
        loseAll();

    // Step 2. Duties that are given up, or that nobody wants any more.
    for (const auto& [duty, held] : m_held) {
        if (!contains(m_all, duty))
            release(duty);
    }
    for (const auto& duty : std::exchange(m_releasing, {}))
        giveUp(duty, now);
    retryReleases(now);
    lookAgain(now);

    // Step 3. A lease, if there is anything to claim.
    const bool wanted = !m_first.empty() || !m_held.empty();
    if (m_lease == kv_lease_id()) {
        if (wanted && !isOpen(call_kind::Grant) && now >= m_nextGrant) {
            m_nextGrant = now + grantRetry;
            open(call_kind::Grant, {}, now, kv_grant { m_settings.time.count() });
        }
        return std::exchange(m_actions, {});
    }

    // Step 4. Keep it alive while it is of use.
    if (wanted && now >= m_nextKeepAlive) {
        m_nextKeepAlive = now + period() / keepAlivesPerTime;
        open(call_kind::KeepAlive, {}, now, kv_keep_alive { m_lease });
    }

    // Step 5. Claim what is ours to claim, once our own old keys are out of the way.
    if (isOpen(call_kind::EndLapsed))
        return std::exchange(m_actions, {});
    for (const auto& duty : m_first) {
        if (m_held.contains(duty) || m_givenUp.contains(duty) || now < m_nextClaim[duty])
            continue;
        m_nextClaim[duty] = now + period() / claimsPerTime;
        claim(duty, now);
    }
    return std::exchange(m_actions, {});
}

// Creates the key if it isn't there, else reads who has it.
void duty_leases::claim(const duty_id& duty, instant now)
{
    kv_transaction wanted;
    wanted.compares.push_back({ dutyKey(duty), kv_field::CreateRevision, {}, {} });
    wanted.then.emplace_back(kv_put { dutyKey(duty), value(), m_lease });
    wanted.otherwise.emplace_back(kv_range { dutyKey(duty), {}, 0, {}, false });
    open(call_kind::Claim, duty, now, wanted);
}

// Our right ends before the key goes, so that nobody holds it beside us.
void duty_leases::giveUp(const duty_id& duty, instant now)
{
    const auto held = m_held.find(duty);
    if (held == m_held.end())
        return;
    const auto fencing = held->second.fencing;
    m_held.erase(held);
    m_actions.emplace_back(duty_lost { duty, fencing });
    letGo(duty, fencing, now);
}

// Deletes the key of a duty. A lost or failed deletion is sent again, else the
// key would stay for as long as other duties keep the lease alive.
void duty_leases::letGo(const duty_id& duty, fencing_number fencing, instant now)
{
    m_givenUp[duty] = given_up { fencing, now + period() / claimsPerTime };
    kv_transaction wanted;
    wanted.compares.push_back({ dutyKey(duty), kv_field::CreateRevision, revision(fencing.value()), {} });
    wanted.then.emplace_back(kv_delete { dutyKey(duty), {} });
    const auto id = open(call_kind::Release, duty, now, wanted);
    m_calls[id].fencing = fencing;
}

void duty_leases::retryReleases(instant now)
{
    const auto waiting = m_givenUp;
    for (const auto& [duty, item] : waiting) {
        if (now >= item.nextTry)
            letGo(duty, item.fencing, now);
    }
}

// A claim that took effect after we stopped wanting the duty would hold its key
// for nobody: such claims are looked after until they can't come true any more.
void duty_leases::lookAgain(instant now)
{
    std::erase_if(m_doubtful, [now](const auto& entry) { return now >= entry.second; });
    for (const auto& [duty, until] : m_doubtful) {
        if (m_held.contains(duty) || contains(m_first, duty) || now < m_nextClaim[duty])
            continue;
        m_nextClaim[duty] = now + period() / claimsPerTime;
        open(call_kind::Check, duty, now, kv_range { dutyKey(duty), {}, 0, {}, false });
    }
}

void duty_leases::gain(const duty_id& duty, fencing_number fencing, instant now)
{
    if (now >= m_until || m_held.contains(duty))
        return;
    // A key whose deletion may be under way is nobody's to act on.
    const auto gone = m_givenUp.find(duty);
    if (gone != m_givenUp.end() && fencing <= gone->second.fencing)
        return;
    if (!contains(m_first, duty)) {
        letGo(duty, fencing, now);
        return;
    }
    m_givenUp.erase(duty);
    m_held[duty] = held_duty { fencing, now, m_until, now + m_settings.settle };
    m_holders[duty] = duty_holder { m_settings.self, m_settings.life, fencing };
    m_actions.emplace_back(duty_gained { duty, fencing });
}

void duty_leases::loseAll()
{
    for (const auto& [duty, held] : m_held)
        m_actions.emplace_back(duty_lost { duty, held.fencing });
    // All keys hang on the lease and go with it.
    m_held.clear();
    m_givenUp.clear();
    m_doubtful.clear();
    m_lapsed = std::exchange(m_lease, kv_lease_id());
    m_nextClaim.clear();
}

// One call frees all duties that we held, for whoever is their first choice now. If it
// fails, each key goes when its duty is claimed, or with the lease.
void duty_leases::endLapsed(instant now)
{
    if (m_lapsed != kv_lease_id())
        open(call_kind::EndLapsed, {}, now, kv_revoke { std::exchange(m_lapsed, kv_lease_id()) });
}

std::optional<duty_holder> decodeHolder(const kv_entry& entry)
{
    const auto parsed = parseJson(entry.value);
    if (!parsed || !parsed->isObject() || !(*parsed)["instance"].isString() || !(*parsed)["incarnation"].isUInt64())
        return std::nullopt;
    return duty_holder { instance_id(jsonText(*parsed, "instance")), incarnation(jsonCount(*parsed, "incarnation")), fencingOf(entry), jsonText(*parsed, "address") };
}

void duty_leases::noteHolder(const duty_id& duty, const kv_entry& entry)
{
    if (const auto holder = decodeHolder(entry))
        m_holders[duty] = *holder;
}

std::vector<lease_action> duty_leases::onAnswer(std::uint64_t id, const result<kv_answer>& answer, instant now)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return {};
    const auto done = found->second;
    m_calls.erase(found);

    switch (done.kind) {
    case call_kind::Grant:
        // A lease whose grant was lost ends by itself: nothing hangs on it.
        if (answer) {
            m_lease = answer->lease;
            const auto whole = std::chrono::duration_cast<duration>(period() * (1 - m_settings.driftShare));
            m_until = done.sentAt + whole - m_settings.margin;
            m_nextKeepAlive = done.sentAt + period() / keepAlivesPerTime;
            endLapsed(now);
        }
        break;
    case call_kind::KeepAlive:
        // Only an answer that came extends the right, and from when it was asked.
        if (answer && done.lease == m_lease && m_lease != kv_lease_id()) {
            if (answer->leaseSeconds <= 0) {
                loseAll();
                m_lapsed = kv_lease_id(); // the service has ended it
                break;
            }
            const auto whole = std::chrono::duration_cast<duration>(period() * (1 - m_settings.driftShare));
            m_until = std::max(m_until, done.sentAt + whole - m_settings.margin);
            for (auto& [duty, held] : m_held)
                held.until = m_until;
        }
        break;
    case call_kind::Claim:
    case call_kind::Check:
        onClaim(done, answer, now);
        break;
    case call_kind::Evict:
        // Whether it went or not, the next claim tells.
        if (answer)
            hintFree(done.duty);
        break;
    case call_kind::EndLapsed:
        break;
    case call_kind::Release: {
        const auto waiting = m_givenUp.find(done.duty);
        if (answer && waiting != m_givenUp.end() && waiting->second.fencing == done.fencing) {
            m_givenUp.erase(waiting);
            m_holders.erase(done.duty);
        }
        break;
    }
    }
    return std::exchange(m_actions, {});
}

void duty_leases::onClaim(const open_call& done, const result<kv_answer>& answer, instant now)
{
    // Step 1. Lost answer: look whether the key is ours.
    const bool sameLease = m_lease != kv_lease_id() && done.lease == m_lease;
    if (!answer) {
        if (answer.error().code != error_code::Unknown || !sameLease)
            return;
        if (done.kind == call_kind::Claim)
            m_doubtful[done.duty] = now + period();
        if (now < m_until)
            open(call_kind::Check, done.duty, now, kv_range { dutyKey(done.duty), {}, 0, {}, false });
        return;
    }

    // Step 2. Created now, or found to be ours. A key under an older lease of ours
    // is not: that lease may end any time.
    if (done.kind == call_kind::Claim && answer->succeeded) {
        if (sameLease)
            gain(done.duty, fencing_number(answer->at.value()), now);
        return;
    }
    for (const auto& entry : answer->entries) {
        if (entry.key != dutyKey(done.duty))
            continue;
        if (isOurs(entry))
            gain(done.duty, fencingOf(entry), now);
        else {
            noteHolder(done.duty, entry);
            evictOwnOld(done.duty, entry, now);
        }
    }
}

// Removes a key that we wrote and act on no more, which would stand in our way until
// its lease ends: one under a lease of ours that lapsed here and goes on at the service,
// or one of an earlier life.
void duty_leases::evictOwnOld(const duty_id& duty, const kv_entry& entry, instant now)
{
    const auto holder = decodeHolder(entry);
    if (!holder || holder->instance != m_settings.self)
        return;
    const bool underOlderLease = holder->life == m_settings.life && entry.lease != m_lease;
    const bool ofEarlierLife = m_settings.replacesEarlierLife && holder->life < m_settings.life;
    if (!underOlderLease && !ofEarlierLife)
        return;
    // With the lease go the keys of all its duties, not of this one alone.
    if (entry.lease != kv_lease_id()) {
        open(call_kind::Evict, duty, now, kv_revoke { entry.lease });
        return;
    }
    kv_transaction wanted;
    wanted.compares.push_back({ dutyKey(duty), kv_field::CreateRevision, entry.createRevision, {} });
    wanted.then.emplace_back(kv_delete { dutyKey(duty), {} });
    open(call_kind::Evict, duty, now, wanted);
}

std::optional<held_duty> duty_leases::holds(const duty_id& duty, instant now) const
{
    const auto found = m_held.find(duty);
    if (found == m_held.end() || now >= found->second.until)
        return std::nullopt;
    return found->second;
}

std::vector<duty_id> duty_leases::held(instant now) const
{
    std::vector<duty_id> out;
    for (const auto& [duty, item] : m_held) {
        if (now < item.until)
            out.push_back(duty);
    }
    return out;
}

} // namespace lovagerail
