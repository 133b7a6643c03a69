// The holders' store of records, and the claimant that combines the holders' answers.
#include "idempotency.h"

#include "rendezvous.h"

#include <algorithm>
#include <cassert>
#include <cstdio>
#include <xxhash.h>

namespace lovagerail {

namespace {

    constexpr std::size_t holderCount = 2;

    std::string hexText(std::uint64_t value)
    {
        char text[20];
        std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
        return text;
    }

} // namespace

// 128 bits: two different keys must not share a record.
idempotency_id idempotencyIdOf(const client_account_id& account, const route_id& route, std::string_view key)
{
    std::string joined = std::to_string(account.str().size()) + ":" + account.str() + std::to_string(route.str().size()) + ":" + route.str();
    joined += key;
    const auto hash = XXH3_128bits(joined.data(), joined.size());
    return idempotency_id(hexText(hash.high64) + hexText(hash.low64));
}

stored_answer makeStoredAnswer(int status, std::string contentType, std::string_view body, const idempotency_settings& settings)
{
    stored_answer out;
    out.status = status;
    out.contentType = std::move(contentType);
    out.digest = hexText(XXH64(body.data(), body.size(), 0));
    out.bodyKept = body.size() <= settings.maxBodyBytes;
    if (out.bodyKept)
        out.body = body;
    return out;
}

// --- Holder -----------------------------------------------------------------------

idempotency_store::idempotency_store(idempotency_settings settings)
    : m_settings(settings)
{
}

claim_answer idempotency_store::claim(const idempotency_id& id, std::uint64_t requestDigest, const instance_id& claimant, std::uint64_t claim, instant now)
{
    expire(now);
    const auto found = m_records.find(id);
    if (found == m_records.end()) {
        if (m_records.size() >= m_settings.maxRecords)
            return { claim_result::Full, {} };
        idempotency_record record;
        record.requestDigest = requestDigest;
        record.claimant = claimant;
        record.claim = claim;
        record.until = now + m_settings.recordLifetime;
        m_byExpiry.emplace(record.until, id);
        m_records.emplace(id, std::move(record));
        return { claim_result::Claimed, {} };
    }
    const auto& record = found->second;
    if (record.requestDigest != requestDigest)
        return { claim_result::OtherRequest, {} };
    switch (record.state) {
    case record_state::Answered:
        return { claim_result::Answered, record.answer };
    case record_state::Unknown:
        return { claim_result::Unknown, {} };
    case record_state::InProgress:
        break;
    }
    const bool repeated = record.claimant == claimant && record.claim == claim;
    return { repeated ? claim_result::Claimed : claim_result::InProgress, {} };
}

// The record if it belongs to exactly this claim and is still in progress, else null.
idempotency_record* idempotency_store::findOwnClaim(const idempotency_id& id, const instance_id& claimant, std::uint64_t claim)
{
    const auto found = m_records.find(id);
    if (found == m_records.end())
        return nullptr;
    auto& record = found->second;
    const bool same = record.state == record_state::InProgress && record.claimant == claimant && record.claim == claim;
    return same ? &record : nullptr;
}

// Each change of a record starts its lifetime anew.
void idempotency_store::extendLifetime(const idempotency_id& id, idempotency_record& record, instant now)
{
    m_byExpiry.erase({ record.until, id });
    record.until = now + m_settings.recordLifetime;
    m_byExpiry.emplace(record.until, id);
}

void idempotency_store::release(const idempotency_id& id, const instance_id& claimant, std::uint64_t claim)
{
    const auto* record = findOwnClaim(id, claimant, claim);
    if (record == nullptr)
        return;
    m_byExpiry.erase({ record->until, id });
    m_records.erase(id);
}

void idempotency_store::recordAnswer(const idempotency_id& id, const instance_id& claimant, std::uint64_t claim, stored_answer answer, instant now)
{
    auto* record = findOwnClaim(id, claimant, claim);
    if (record == nullptr)
        return;
    record->state = record_state::Answered;
    record->answer = std::move(answer);
    extendLifetime(id, *record, now);
}

void idempotency_store::recordUnknownOutcome(const idempotency_id& id, const instance_id& claimant, std::uint64_t claim, instant now)
{
    auto* record = findOwnClaim(id, claimant, claim);
    if (record == nullptr)
        return;
    record->state = record_state::Unknown;
    extendLifetime(id, *record, now);
}

void idempotency_store::onInstanceLost(const instance_id& claimant, instant now)
{
    for (auto& [id, record] : m_records) {
        if (record.state != record_state::InProgress || record.claimant != claimant)
            continue;
        record.state = record_state::Unknown;
        extendLifetime(id, record, now);
    }
}

void idempotency_store::expire(instant now)
{
    while (!m_byExpiry.empty() && m_byExpiry.begin()->first <= now) {
        m_records.erase(m_byExpiry.begin()->second);
        m_byExpiry.erase(m_byExpiry.begin());
    }
}

// Answered wins over unknown, and unknown over in progress. Of two claims in progress, at
// most one of which can have been accepted by all its holders, the smaller one is kept.
void idempotency_store::merge(const idempotency_id& id, const idempotency_record& theirs, instant now)
{
    const auto rank = [](const idempotency_record& record) {
        return record.state == record_state::Answered ? 2 : record.state == record_state::Unknown ? 1
                                                                                                  : 0;
    };
    const auto [entry, isNew] = m_records.try_emplace(id, theirs);
    auto& ours = entry->second;
    if (isNew) {
        ours.until = now + m_settings.recordLifetime;
        m_byExpiry.emplace(ours.until, id);
        return;
    }
    const bool hasSmallerClaim = std::pair(theirs.claimant, theirs.claim) < std::pair(ours.claimant, ours.claim);
    if (rank(theirs) < rank(ours) || (rank(theirs) == rank(ours) && !hasSmallerClaim))
        return;
    const auto expiry = ours.until;
    ours = theirs;
    ours.until = expiry;
    extendLifetime(id, ours, now);
}

std::vector<instance_id> recordHolders(const idempotency_id& id, std::vector<instance_id> live)
{
    auto order = rendezvousOrder(id.str(), std::move(live));
    order.resize(std::min(order.size(), holderCount));
    return order;
}

// --- Claimant -------------------------------------------------------------------------

idempotency_claimant::idempotency_claimant(std::vector<instance_id> holders)
    : m_holders(std::move(holders))
{
}

void idempotency_claimant::onAnswer(const instance_id& holder, const std::optional<claim_answer>& answer)
{
    if (std::find(m_holders.begin(), m_holders.end(), holder) == m_holders.end())
        return;
    m_received.try_emplace(holder, answer);
    if (answer && answer->verdict == claim_result::Answered)
        m_answer = answer->answer;
}

// A stored outcome at any one holder decides; running needs an accepted claim at all of them.
claimant_verdict idempotency_claimant::verdict() const
{
    const auto anyHolderAnswered = [this](claim_result result) {
        return std::any_of(m_received.begin(), m_received.end(), [result](const auto& received) { return received.second && received.second->verdict == result; });
    };
    if (anyHolderAnswered(claim_result::OtherRequest))
        return claimant_verdict::OtherRequest;
    if (anyHolderAnswered(claim_result::Answered))
        return claimant_verdict::Answered;
    if (m_holders.empty())
        return claimant_verdict::Unavailable;
    if (m_received.size() < m_holders.size())
        return claimant_verdict::Waiting;
    if (anyHolderAnswered(claim_result::Unknown))
        return claimant_verdict::Unknown;
    if (anyHolderAnswered(claim_result::InProgress))
        return claimant_verdict::InProgress;
    const bool allClaimed = std::all_of(m_received.begin(), m_received.end(), [](const auto& received) { return received.second && received.second->verdict == claim_result::Claimed; });
    return allClaimed ? claimant_verdict::Run : claimant_verdict::Unavailable;
}

} // namespace lovagerail
