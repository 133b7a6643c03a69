// Requests that are not idempotent by themselves but carry an Idempotency-Key: each key is
// run at most once, and repeated requests get the stored response.
#include "http_status.h"
#include "serving.h"
#include "serving_edge.h"

namespace lovagerail {

namespace {

    constexpr std::size_t maxKeyBytes = 256;
    constexpr duration inProgressRetryAfter = std::chrono::seconds(1);

} // namespace

// Claims the request's key. Returns false if the request was answered without being run.
bool serving::claimKey(const caller_request& request, open_request& out, instant now)
{
    // Step 1. Only requests with a key that are not idempotent by themselves need a record.
    const auto key = findHeader(request.headers, "idempotency-key");
    if (key.empty() || out.idempotent || out.account.empty())
        return true;
    if (key.size() > maxKeyBytes) {
        refuse(request.handle, statusBadRequest, "not_run", "idempotency_key_too_long", "an Idempotency-Key has at most 256 bytes", {});
        return false;
    }

    // Step 2. Claim the key.
    const auto id = idempotencyIdOf(out.account, out.route, key);
    const auto claim = ++m_lastClaim;
    const auto claimed = m_idempotencyStore.claim(id, out.fingerprint.value(), m_settings.instance, claim, now);
    switch (claimed.verdict) {
    case claim_result::Claimed:
        out.idempotencyRecord = id;
        out.claim = claim;
        return true;
    case claim_result::InProgress:
        refuse(request.handle, statusConflict, "unknown", "idempotency_in_progress", "the first call with this key is in progress", inProgressRetryAfter);
        return false;
    case claim_result::Unknown:
        refuse(request.handle, statusConflict, "unknown", "idempotency_unknown", "the first call with this key may have run", {});
        return false;
    case claim_result::OtherRequest:
        refuse(request.handle, statusUnprocessableContent, "not_run", "idempotency_key_reused", "the key was used for another request", {});
        return false;
    case claim_result::Full:
        refuse(request.handle, statusUnavailable, "not_run", "idempotency_records_full", "too many keys are kept", inProgressRetryAfter);
        return false;
    case claim_result::Answered:
        break;
    }

    // Step 3. Replay the first response, if it was stored.
    if (!claimed.answer.bodyKept) {
        refuse(request.handle, statusConflict, "ran", "idempotency_answer_not_kept", "the first call ran; its answer was too long to keep", {});
        return false;
    }
    complete_answer answer { request.handle, claimed.answer.status, { { "Idempotent-Replayed", "true" } }, claimed.answer.body };
    if (!claimed.answer.contentType.empty())
        answer.headers.emplace_back("Content-Type", claimed.answer.contentType);
    m_actions.push_back(std::move(answer));
    return false;
}

void serving::storeKeyedAnswer(open_request& request, int status, std::string_view contentType, std::string_view body, instant now)
{
    if (request.idempotencyRecord.empty())
        return;
    m_idempotencyStore.recordAnswer(request.idempotencyRecord, m_settings.instance, request.claim, makeStoredAnswer(status, std::string(contentType), body, m_settings.idempotency), now);
    request.idempotencyRecord = {};
}

// The request ended without a response: the key is released only if nothing can have run.
void serving::closeKeyedRecord(open_request& request, instant now)
{
    if (request.idempotencyRecord.empty())
        return;
    if (request.mayHaveRun)
        m_idempotencyStore.recordUnknownOutcome(request.idempotencyRecord, m_settings.instance, request.claim, now);
    else
        m_idempotencyStore.release(request.idempotencyRecord, m_settings.instance, request.claim);
    request.idempotencyRecord = {};
}

} // namespace lovagerail
