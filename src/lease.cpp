// Claims, keep-alives and releases of duties; see lease.h.
#include "lease.h"

#include "json_text.h"

#include <algorithm>
#include <utility>

namespace lovagerail {

namespace {

    constexpr int keepAlivesPerLease = 2; // while they are answered
    constexpr int unansweredKeepAlivesPerLease = 5; // the rate of retries
    constexpr int claimsPerLease = 2;
    constexpr duration minGrantRetry = std::chrono::milliseconds(500); // doubled with each failure
    constexpr duration maxGrantRetry = std::chrono::seconds(4); // onServiceAvailable() ends the wait

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

void duty_leases::setPreferredDuties(const std::vector<duty_id>& preferred, const std::vector<duty_id>& all)
{
    m_preferred = sorted(preferred);
    m_all = sorted(all);
}

void duty_leases::release(const duty_id& duty)
{
    if (m_held.contains(duty) && std::find(m_releasing.begin(), m_releasing.end(), duty) == m_releasing.end())
        m_releasing.push_back(duty);
}

void duty_leases::releaseAll()
{
    m_preferred.clear();
    for (const auto& [duty, heldDuty] : m_held)
        release(duty);
}

void duty_leases::onDutyReleased(const duty_id& duty)
{
    m_nextClaim.erase(duty);
}

void duty_leases::onServiceAvailable()
{
    m_nextGrant = m_nextKeepAlive = {};
    m_grantDelay = {};
    m_nextClaim.clear();
}

std::string duty_leases::holderJson() const
{
    Json::Value out(Json::objectValue);
    out["instance"] = m_settings.self.str();
    out["incarnation"] = Json::UInt64(m_settings.incarnationNumber.value());
    if (!m_settings.address.empty())
        out["address"] = m_settings.address;
    if (!m_settings.region.empty())
        out["region"] = m_settings.region;
    return writeJson(out);
}

bool duty_leases::isOurs(const kv_entry& entry) const
{
    return entry.lease == m_lease && entry.value == holderJson();
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
    // Step 1. An expired lease ends all duties at once, whatever calls are open.
    if (m_lease != kv_lease_id() && now >= m_until)
        dropAllDuties();

    // Step 2. Release duties on request, and those that don't exist any more.
    for (const auto& [duty, heldDuty] : m_held) {
        if (!contains(m_all, duty))
            release(duty);
    }
    for (const auto& duty : std::exchange(m_releasing, {}))
        dropDuty(duty, now);
    retryKeyDeletions(now);
    recheckLostClaims(now);

    // Step 3. Get a lease if there is anything to claim.
    const bool needsLease = !m_preferred.empty() || !m_held.empty();
    if (m_lease == kv_lease_id()) {
        if (needsLease && !isOpen(call_kind::Grant) && now >= m_nextGrant) {
            m_grantDelay = std::clamp(m_grantDelay * 2, minGrantRetry, maxGrantRetry);
            m_nextGrant = now + m_grantDelay;
            open(call_kind::Grant, {}, now, kv_grant { m_settings.time.count() });
        }
        return std::exchange(m_actions, {});
    }

    // Step 4. Keep the lease alive while duties are held or preferred.
    if (needsLease && now >= m_nextKeepAlive) {
        m_nextKeepAlive = now + period() / unansweredKeepAlivesPerLease;
        open(call_kind::KeepAlive, {}, now, kv_keep_alive { m_lease });
    }

    // Step 5. Claim the preferred duties, once our own stale keys are removed.
    if (isOpen(call_kind::RevokeExpired))
        return std::exchange(m_actions, {});
    for (const auto& duty : m_preferred) {
        if (m_held.contains(duty) || m_releasedKeys.contains(duty) || now < m_nextClaim[duty])
            continue;
        m_nextClaim[duty] = now + period() / claimsPerLease;
        claim(duty, now);
    }
    return std::exchange(m_actions, {});
}

// Creates the duty's key if it doesn't exist, else reads who holds it.
void duty_leases::claim(const duty_id& duty, instant now)
{
    kv_transaction transaction;
    transaction.compares.push_back({ dutyKey(duty), kv_field::CreateRevision, {}, {} });
    transaction.then.emplace_back(kv_put { dutyKey(duty), holderJson(), m_lease });
    transaction.otherwise.emplace_back(kv_range { dutyKey(duty), {}, 0, {}, false });
    open(call_kind::Claim, duty, now, transaction);
}

// Drops the duty locally before its key is deleted, so that there are never two holders.
void duty_leases::dropDuty(const duty_id& duty, instant now)
{
    const auto found = m_held.find(duty);
    if (found == m_held.end())
        return;
    const auto fencing = found->second.fencing;
    m_held.erase(found);
    m_actions.emplace_back(duty_lost { duty, fencing });
    deleteKey(duty, fencing, now);
}

// Deletes the key of a duty. A lost or failed deletion is retried, else the key would
// exist for as long as other duties keep the lease alive.
void duty_leases::deleteKey(const duty_id& duty, fencing_number fencing, instant now)
{
    auto& releasedUpTo = m_releasedUpTo[duty];
    releasedUpTo = std::max(releasedUpTo, fencing);
    m_releasedKeys[duty] = released_key { fencing, now + period() / claimsPerLease };
    kv_transaction transaction;
    transaction.compares.push_back({ dutyKey(duty), kv_field::CreateRevision, revision(fencing.value()), {} });
    transaction.then.emplace_back(kv_delete { dutyKey(duty), {} });
    const auto id = open(call_kind::Release, duty, now, transaction);
    m_calls[id].fencing = fencing;
}

void duty_leases::retryKeyDeletions(instant now)
{
    const auto waiting = m_releasedKeys;
    for (const auto& [duty, releasedKey] : waiting) {
        if (now >= releasedKey.retryAt)
            deleteKey(duty, releasedKey.fencing, now);
    }
}

// A claim that took effect unnoticed after the duty was no longer preferred would leave
// a key without an acting holder. So the key is read again until the claim can't take
// effect any more.
void duty_leases::recheckLostClaims(instant now)
{
    std::erase_if(m_lostClaims, [now](const auto& entry) { return now >= entry.second; });
    for (const auto& [duty, until] : m_lostClaims) {
        if (m_held.contains(duty) || contains(m_preferred, duty) || now < m_nextClaim[duty])
            continue;
        m_nextClaim[duty] = now + period() / claimsPerLease;
        open(call_kind::Check, duty, now, kv_range { dutyKey(duty), {}, 0, {}, false });
    }
}

void duty_leases::becomeHolder(const duty_id& duty, fencing_number fencing, instant now)
{
    if (now >= m_until || m_held.contains(duty))
        return;
    const auto released = m_releasedUpTo.find(duty);
    if (released != m_releasedUpTo.end() && fencing <= released->second)
        return;
    if (!contains(m_preferred, duty)) {
        deleteKey(duty, fencing, now);
        return;
    }
    m_releasedKeys.erase(duty);
    m_held[duty] = held_duty { fencing, now, m_until, now + m_settings.settleTime };
    m_holders[duty] = duty_holder { m_settings.self, m_settings.incarnationNumber, fencing };
    m_actions.emplace_back(duty_gained { duty, fencing });
}

void duty_leases::dropAllDuties()
{
    for (const auto& [duty, heldDuty] : m_held)
        m_actions.emplace_back(duty_lost { duty, heldDuty.fencing });
    // All keys are bound to the lease and are deleted with it.
    m_held.clear();
    m_releasedKeys.clear();
    m_lostClaims.clear();
    m_expiredLease = std::exchange(m_lease, kv_lease_id());
    m_nextClaim.clear();
}

// Revokes the lease that expired locally. One call frees all duties held under it for the
// instances that are their preferred holders now. If the call fails, each key is removed
// when its duty is claimed, or when the lease ends at the service.
void duty_leases::revokeExpiredLease(instant now)
{
    if (m_expiredLease != kv_lease_id())
        open(call_kind::RevokeExpired, {}, now, kv_revoke { std::exchange(m_expiredLease, kv_lease_id()) });
}

std::optional<duty_holder> decodeHolder(const kv_entry& entry)
{
    const auto parsed = parseJson(entry.value);
    if (!parsed || !parsed->isObject() || !(*parsed)["instance"].isString() || !(*parsed)["incarnation"].isUInt64())
        return std::nullopt;
    return duty_holder { instance_id(jsonText(*parsed, "instance")), incarnation(jsonCount(*parsed, "incarnation")), fencingOf(entry), jsonText(*parsed, "address"), jsonText(*parsed, "region") };
}

void duty_leases::recordHolder(const duty_id& duty, const kv_entry& entry)
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
        // If the answer was lost, the lease expires unused: no key is bound to it.
        if (answer) {
            m_grantDelay = {};
            m_lease = answer->lease;
            const auto leaseTime = std::chrono::duration_cast<duration>(period() * (1 - m_settings.driftFraction));
            m_until = done.sentAt + leaseTime - m_settings.margin;
            m_nextKeepAlive = done.sentAt + period() / keepAlivesPerLease;
            revokeExpiredLease(now);
        }
        break;
    case call_kind::KeepAlive:
        // Only a received answer extends the lease, and from when the call was sent.
        if (answer && done.lease == m_lease && m_lease != kv_lease_id()) {
            if (answer->leaseSeconds <= 0) {
                dropAllDuties();
                m_expiredLease = kv_lease_id(); // the service has ended it
                break;
            }
            const auto leaseTime = std::chrono::duration_cast<duration>(period() * (1 - m_settings.driftFraction));
            m_until = std::max(m_until, done.sentAt + leaseTime - m_settings.margin);
            m_nextKeepAlive = std::max(m_nextKeepAlive, done.sentAt + period() / keepAlivesPerLease);
            for (auto& [duty, heldDuty] : m_held)
                heldDuty.until = m_until;
        }
        break;
    case call_kind::Claim:
    case call_kind::Check:
        onClaim(done, answer, now);
        break;
    case call_kind::Evict:
        // The next claim shows whether the key was removed.
        if (answer)
            onDutyReleased(done.duty);
        break;
    case call_kind::RevokeExpired:
        break;
    case call_kind::Release: {
        const auto waiting = m_releasedKeys.find(done.duty);
        if (answer && waiting != m_releasedKeys.end() && waiting->second.fencing == done.fencing) {
            m_releasedKeys.erase(waiting);
            m_holders.erase(done.duty);
        }
        break;
    }
    }
    return std::exchange(m_actions, {});
}

void duty_leases::onClaim(const open_call& done, const result<kv_answer>& answer, instant now)
{
    // Step 1. The answer was lost: read whether the key is ours.
    const bool sameLease = m_lease != kv_lease_id() && done.lease == m_lease;
    if (!answer) {
        if (answer.error().code != error_code::Unknown || !sameLease)
            return;
        if (done.kind == call_kind::Claim)
            m_lostClaims[done.duty] = now + period();
        if (now < m_until)
            open(call_kind::Check, done.duty, now, kv_range { dutyKey(done.duty), {}, 0, {}, false });
        return;
    }

    // Step 2. The key was created now, or found to be ours. One under an older lease of
    // this instance doesn't count: that lease may end any time.
    if (done.kind == call_kind::Claim && answer->succeeded) {
        if (sameLease)
            becomeHolder(done.duty, fencing_number(answer->at.value()), now);
        return;
    }
    for (const auto& entry : answer->entries) {
        if (entry.key != dutyKey(done.duty))
            continue;
        if (isOurs(entry))
            becomeHolder(done.duty, fencingOf(entry), now);
        else {
            recordHolder(done.duty, entry);
            evictStaleKey(done.duty, entry, now);
        }
    }
}

// Removes a stale key that this instance wrote, which would block the claim until its
// lease ends: one under a lease that expired here and lives on at the service, or one of
// an earlier incarnation.
void duty_leases::evictStaleKey(const duty_id& duty, const kv_entry& entry, instant now)
{
    const auto holder = decodeHolder(entry);
    if (!holder || holder->instance != m_settings.self)
        return;
    const bool underOlderLease = holder->incarnationNumber == m_settings.incarnationNumber && entry.lease != m_lease;
    const bool ofEarlierIncarnation = m_settings.replacesEarlierIncarnation && holder->incarnationNumber < m_settings.incarnationNumber;
    if (!underOlderLease && !ofEarlierIncarnation)
        return;
    // Revoking the lease removes the keys of all its duties, not only this one.
    if (entry.lease != kv_lease_id()) {
        open(call_kind::Evict, duty, now, kv_revoke { entry.lease });
        return;
    }
    kv_transaction transaction;
    transaction.compares.push_back({ dutyKey(duty), kv_field::CreateRevision, entry.createRevision, {} });
    transaction.then.emplace_back(kv_delete { dutyKey(duty), {} });
    open(call_kind::Evict, duty, now, transaction);
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
    for (const auto& [duty, heldDuty] : m_held) {
        if (now < heldDuty.until)
            out.push_back(duty);
    }
    return out;
}

} // namespace lovagerail
