// Calls with an Idempotency-Key that are not idempotent otherwise: one run for a key.
#include "http_status.h"
#include "serving.h"
#include "serving_edge.h"

namespace lovagerail {

namespace {

    constexpr std::size_t longestKey = 256; // bytes
    constexpr duration inProgressRetryAfter = std::chrono::seconds(1);

} // namespace

// Claims the key, or answers without a run; false if it was answered.
bool serving::claimKey(const caller_request& request, open_request& out, instant now)
{
    // Step 1. Only keyed calls that may not be repeated have a record.
    const auto key = findHeader(request.headers, "idempotency-key");
    if (key.empty() || out.idempotent || out.account.empty())
        return true;
    if (key.size() > longestKey) {
        refuse(request.handle, statusBadRequest, "not_run", "idempotency_key_too_long", "an Idempotency-Key has at most 256 bytes", {});
        return false;
    }

    // Step 2. The claim.
    const auto id = idempotencyIdOf(out.account, out.route, key);
    const auto claim = ++m_lastClaim;
    const auto known = m_keyed.claim(id, out.fingerprint.value(), m_settings.instance, claim, now);
    switch (known.verdict) {
    case claim_verdict::Claimed:
        out.keyedBy = id;
        out.claim = claim;
        return true;
    case claim_verdict::InProgress:
        refuse(request.handle, statusConflict, "unknown", "idempotency_in_progress", "the first call with this key is in progress", inProgressRetryAfter);
        return false;
    case claim_verdict::Unknown:
        refuse(request.handle, statusConflict, "unknown", "idempotency_unknown", "the first call with this key may have run", {});
        return false;
    case claim_verdict::OtherRequest:
        refuse(request.handle, statusUnprocessable, "not_run", "idempotency_key_reused", "the key was used for another request", {});
        return false;
    case claim_verdict::Full:
        refuse(request.handle, statusUnavailable, "not_run", "idempotency_records_full", "too many keys are kept", inProgressRetryAfter);
        return false;
    case claim_verdict::Answered:
        break;
    }

    // Step 3. The first answer again, if it's kept.
    if (!known.answer.bodyKept) {
        refuse(request.handle, statusConflict, "ran", "idempotency_answer_not_kept", "the first call ran; its answer was too long to keep", {});
        return false;
    }
    whole_answer answer { request.handle, known.answer.status, { { "Idempotent-Replayed", "true" } }, known.answer.body };
    if (!known.answer.contentType.empty())
        answer.headers.emplace_back("Content-Type", known.answer.contentType);
    m_actions.push_back(std::move(answer));
    return false;
}

void serving::noteAnswered(open_request& request, int status, std::string_view contentType, std::string_view body, instant now)
{
    if (request.keyedBy.empty())
        return;
    m_keyed.answered(request.keyedBy, m_settings.instance, request.claim, keepAnswer(status, std::string(contentType), body, m_settings.keyed), now);
    request.keyedBy = {};
}

// The request is over without an answer: the key is free again only if nothing ran.
void serving::noteNotAnswered(open_request& request, instant now)
{
    if (request.keyedBy.empty())
        return;
    if (request.mayHaveRun)
        m_keyed.unknown(request.keyedBy, m_settings.instance, request.claim, now);
    else
        m_keyed.release(request.keyedBy, m_settings.instance, request.claim);
    request.keyedBy = {};
}

} // namespace lovagerail
