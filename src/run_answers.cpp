// Responses of a run to its trainer's calls.
#include "run.h"

namespace lovagerail {

// --- Responses to the trainer ---

void run_coordinator::refuse(trainer_call call, error_code code, std::string detail)
{
    m_actions.emplace_back(answer_refused { call, error { code, "run.answer", peer_kind::Trainer, m_settings.run.str(), std::move(detail) } });
}

void run_coordinator::answerWaiting(instant now)
{
    if (!m_leading)
        return answerAllNotYet();
    answerPosts(now);
    answerBatchRequest(now);
}

void run_coordinator::answerAllNotYet()
{
    for (const pending_groups& post : m_pendingGroups)
        m_actions.emplace_back(answer_not_yet { post.call, m_settings.backoffFloor, 0 });
    for (const pending_version& post : m_pendingVersions)
        m_actions.emplace_back(answer_not_yet { post.call, m_settings.backoffFloor, 0 });
    if (m_batchRequest)
        m_actions.emplace_back(answer_not_yet { m_batchRequest->call, m_settings.backoffFloor, 0 });
    m_pendingGroups.clear();
    m_pendingVersions.clear();
    m_batchRequest.reset();
}

// Supplied groups and published versions are accepted once they are in the ledger.
void run_coordinator::answerPosts(instant now)
{
    const auto answerGroups = [&](const pending_groups& post) {
        if (m_ledgerLoaded && post.step < m_head.acknowledged)
            refuse(post.call, error_code::NotFound, "the step was acknowledged");
        else if (m_ledgerLoaded && post.step.value() > m_head.acknowledged.value() + maxSuppliedAhead)
            refuse(post.call, error_code::ResourceExhausted, "the step is too far ahead");
        else if (m_ledgerLoaded && conflictsWithLedger(post))
            refuse(post.call, error_code::Conflict, "the group was supplied with another prompt");
        else if (areGroupsInLedger(post) || isBatchFinal(post.step))
            m_actions.emplace_back(answer_accepted { post.call });
        else if (now - post.since >= m_settings.maxTrainerWait)
            m_actions.emplace_back(answer_not_yet { post.call, m_settings.backoffFloor, 0 });
        else
            return false;
        return true;
    };
    const auto answerVersion = [&](const pending_version& post) {
        if (post.version <= m_head.trainerVersion)
            m_actions.emplace_back(answer_accepted { post.call });
        else if (now - post.since >= m_settings.maxTrainerWait)
            m_actions.emplace_back(answer_not_yet { post.call, m_settings.backoffFloor, 0 });
        else
            return false;
        return true;
    };
    std::erase_if(m_pendingGroups, answerGroups);
    std::erase_if(m_pendingVersions, answerVersion);
}

// True if the step's batch was handed over and is not to be reopened.
bool run_coordinator::isBatchFinal(step_number step) const
{
    const ledger_step* headStep = m_head.find(step);
    const auto state = m_steps.find(step);
    return headStep && headStep->phase == step_phase::HandedOver && state != m_steps.end() && !state->second.reopen;
}

run_coordinator::batch_request_verdict run_coordinator::batchVerdict() const
{
    if (m_batchRequest->cursor < m_head.acknowledged)
        return batch_request_verdict::AlreadyAcknowledged;
    const ledger_step* step = m_head.find(m_head.acknowledged);
    if (m_batchRequest->cursor > m_head.acknowledged) {
        const bool acknowledges = m_batchRequest->cursor == m_head.acknowledged.next() && step && step->everHandedOver;
        return acknowledges ? batch_request_verdict::Wait : batch_request_verdict::OutOfOrder;
    }
    return isBatchFinal(m_batchRequest->cursor) ? batch_request_verdict::Batch : batch_request_verdict::Wait;
}

// Sends a batch only according to a head that was confirmed after the request arrived.
// Otherwise this coordinator could send an outdated batch to a trainer that has already
// received a newer generation of it, or the batch of a later coordinator.
void run_coordinator::answerBatchRequest(instant now)
{
    if (!m_batchRequest)
        return;
    const batch_request_verdict verdictNow = m_ledgerLoaded && m_confirmedAtEvent >= m_batchRequest->arrival ? batchVerdict() : batch_request_verdict::Wait;
    if (verdictNow == batch_request_verdict::Wait) {
        if (now - m_batchRequest->since < m_settings.maxTrainerWait)
            return;
        m_actions.emplace_back(answer_not_yet { m_batchRequest->call, m_settings.backoffFloor, missingGroups(m_batchRequest->cursor) });
    }
    if (verdictNow == batch_request_verdict::AlreadyAcknowledged)
        refuse(m_batchRequest->call, error_code::NotFound, "the batch was acknowledged");
    if (verdictNow == batch_request_verdict::OutOfOrder)
        refuse(m_batchRequest->call, error_code::InvalidArgument, "the batch before was not handed over");
    if (verdictNow == batch_request_verdict::Batch) {
        const ledger_step& step = *m_head.find(m_batchRequest->cursor);
        answer_batch answer { m_batchRequest->call, step.step, step.generation, step.handedVersion, {} };
        for (const slot& item : m_steps.at(step.step).slots)
            answer.samples.push_back(*item.record);
        m_actions.emplace_back(std::move(answer));
    }
    m_batchRequest.reset();
}

} // namespace lovagerail
