// Sends the usage reports of one sealed window and checkpoints the progress.
#include "usage_keys.h"
#include "usage_window.h"

#include <algorithm>
#include <cassert>

namespace lovagerail::detail {

window_reporting::window_reporting(std::vector<report_usage> reports, std::size_t checkpointed)
    : m_reports(std::move(reports))
    , m_done(m_reports.size(), 0)
    , m_sent(std::min(checkpointed, m_reports.size()))
    , m_finished(m_sent)
    , m_checkpointed(m_sent)
{
    std::fill(m_done.begin(), m_done.begin() + static_cast<std::ptrdiff_t>(m_sent), 1);
}

void window_reporting::send(wall_time now, const closer_settings& settings, std::vector<closer_action>& actions)
{
    // Step 1. Resend lost reports, with the same figures.
    for (auto it = m_retryAt.begin(); it != m_retryAt.end();) {
        if (m_inFlight.size() >= settings.maxReportsInFlight)
            break;
        if (it->second > now) {
            ++it;
            continue;
        }
        m_inFlight.insert(it->first);
        actions.emplace_back(m_reports[it->first]);
        it = m_retryAt.erase(it);
    }
    // Step 2. Send the reports of the next accounts.
    while (m_sent < m_reports.size() && m_inFlight.size() + m_retryAt.size() < settings.maxReportsInFlight) {
        m_inFlight.insert(m_sent);
        actions.emplace_back(m_reports[m_sent]);
        ++m_sent;
    }
    // Step 3. Checkpoint the progress for the next holder of the duty.
    writeCheckpoint(now, settings, actions);
}

void window_reporting::writeCheckpoint(wall_time now, const closer_settings& settings, std::vector<closer_action>& actions)
{
    while (m_finished < m_reports.size() && m_done[m_finished] != 0)
        ++m_finished;
    const bool allFinished = m_finished == m_reports.size();
    const bool due = allFinished || m_finished >= m_checkpointed + settings.accountsPerCheckpoint;
    if (!due || m_finalCheckpointStored || m_checkpointInFlight || now < m_checkpointRetryAt || m_reports.empty())
        return;
    m_checkpointInFlight = m_finished;
    const std::string value = std::to_string(m_finished) + (allFinished ? " all" : " some");
    actions.emplace_back(commit_entries { {}, {}, { { reportedKey(m_reports.front().window), value } } });
}

void window_reporting::onReport(const client_account_id& account, report_outcome outcome, wall_time retryAt)
{
    // Reports are sorted by account.
    const auto found = std::lower_bound(m_reports.begin(), m_reports.end(), account, [](const report_usage& report, const client_account_id& name) {
        return report.account < name;
    });
    if (found == m_reports.end() || found->account != account)
        return;
    const auto index = static_cast<std::size_t>(found - m_reports.begin());
    if (m_inFlight.erase(index) == 0)
        return;
    if (outcome == report_outcome::Lost) {
        m_retryAt[index] = retryAt;
        return;
    }
    m_done[index] = 1;
}

void window_reporting::onCheckpoint(commit_outcome outcome, wall_time retryAt)
{
    if (!m_checkpointInFlight)
        return;
    if (outcome == commit_outcome::Done) {
        m_checkpointed = *m_checkpointInFlight;
        m_finalCheckpointStored = m_checkpointed == m_reports.size();
    } else {
        m_checkpointRetryAt = retryAt;
    }
    m_checkpointInFlight.reset();
}

} // namespace lovagerail::detail
