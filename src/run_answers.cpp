// A run's answers to its trainer.
#include "run.h"

namespace lovagerail {

// --- Answers to the trainer ---

void run_coordinator::refuse(trainer_call call, error_code code, std::string detail)
{
    m_actions.emplace_back(answer_refused { call, error { code, "run.answer", peer_kind::Trainer, m_settings.run.str(), std::move(detail) } });
}

void run_coordinator::answerWaiting(instant now)
{
    if (!m_leading)
        return turnAwayAll();
    answerPosts(now);
    answerAsked(now);
}

void run_coordinator::turnAwayAll()
{
    for (const pending_groups& post : m_groups)
        m_actions.emplace_back(answer_not_yet { post.call, m_settings.backoffFloor, 0 });
    for (const pending_version& post : m_versions)
        m_actions.emplace_back(answer_not_yet { post.call, m_settings.backoffFloor, 0 });
    if (m_asked)
        m_actions.emplace_back(answer_not_yet { m_asked->call, m_settings.backoffFloor, 0 });
    m_groups.clear();
    m_versions.clear();
    m_asked.reset();
}

// Groups and versions are accepted once the ledger has them.
void run_coordinator::answerPosts(instant now)
{
    const auto answerGroups = [&](const pending_groups& post) {
        if (m_loaded && post.step < m_head.acknowledged)
            refuse(post.call, error_code::NotFound, "the step was acknowledged");
        else if (m_loaded && post.step.value() > m_head.acknowledged.value() + suppliedAhead)
            refuse(post.call, error_code::ResourceExhausted, "the step is too far ahead");
        else if (m_loaded && conflicts(post))
            refuse(post.call, error_code::Conflict, "the group was supplied with another prompt");
        else if (hasGroups(post) || isFixed(post.step))
            m_actions.emplace_back(answer_accepted { post.call });
        else if (now - post.since >= m_settings.longestWait)
            m_actions.emplace_back(answer_not_yet { post.call, m_settings.backoffFloor, 0 });
        else
            return false;
        return true;
    };
    const auto answerVersion = [&](const pending_version& post) {
        if (post.version <= m_head.trainerVersion)
            m_actions.emplace_back(answer_accepted { post.call });
        else if (now - post.since >= m_settings.longestWait)
            m_actions.emplace_back(answer_not_yet { post.call, m_settings.backoffFloor, 0 });
        else
            return false;
        return true;
    };
    std::erase_if(m_groups, answerGroups);
    std::erase_if(m_versions, answerVersion);
}

// True if the step's batch was handed over and stands.
bool run_coordinator::isFixed(step_number step) const
{
    const ledger_step* known = m_head.find(step);
    const auto state = m_steps.find(step);
    return known && known->phase == step_phase::HandedOver && state != m_steps.end() && !state->second.reopen;
}

run_coordinator::asked_verdict run_coordinator::verdict() const
{
    if (m_asked->cursor < m_head.acknowledged)
        return asked_verdict::Closed;
    const ledger_step* step = m_head.find(m_head.acknowledged);
    if (m_asked->cursor > m_head.acknowledged) {
        const bool acknowledges = m_asked->cursor == m_head.acknowledged.next() && step && step->everHandedOver;
        return acknowledges ? asked_verdict::Wait : asked_verdict::TooFar;
    }
    return isFixed(m_asked->cursor) ? asked_verdict::Batch : asked_verdict::Wait;
}

// Answers under a head that was confirmed after the request came, so that nothing of
// an earlier generation or coordinator can follow what the trainer got since.
void run_coordinator::answerAsked(instant now)
{
    if (!m_asked)
        return;
    const asked_verdict said = m_loaded && m_confirmed >= m_asked->arrival ? verdict() : asked_verdict::Wait;
    if (said == asked_verdict::Wait) {
        if (now - m_asked->since < m_settings.longestWait)
            return;
        m_actions.emplace_back(answer_not_yet { m_asked->call, m_settings.backoffFloor, missingGroups(m_asked->cursor) });
    }
    if (said == asked_verdict::Closed)
        refuse(m_asked->call, error_code::NotFound, "the batch was acknowledged");
    if (said == asked_verdict::TooFar)
        refuse(m_asked->call, error_code::InvalidArgument, "the batch before was not handed over");
    if (said == asked_verdict::Batch) {
        const ledger_step& step = *m_head.find(m_asked->cursor);
        answer_batch answer { m_asked->call, step.step, step.generation, step.handedVersion, {} };
        for (const slot& item : m_steps.at(step.step).slots)
            answer.samples.push_back(*item.record);
        m_actions.emplace_back(std::move(answer));
    }
    m_asked.reset();
}

} // namespace lovagerail
