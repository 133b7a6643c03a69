// Reads, watches and edits the configuration in the key-value service.
#include "daemon/config_duty.h"

#include "config_layout.h"
#include "log.h"

namespace lovagerail::daemon {

namespace {

    constexpr duration readRetry = std::chrono::milliseconds(500);
    constexpr int maxBackoffDoublings = 6; // of readRetry, while reads fail
    // A watcher reads the revision of the head key once per this many heartbeats, but not more often
    // than once per minConfirmInterval, to verify that the watch missed nothing.
    constexpr duration minConfirmInterval = std::chrono::seconds(1);
    constexpr std::int64_t confirmHeartbeats = 2;
    // Other instances read the service themselves if their revision was not confirmed for this
    // many heartbeats and for at least minSilence.
    constexpr duration minSilence = std::chrono::seconds(3);
    constexpr std::int64_t silenceHeartbeats = 10;
    // Attempts of an edit that loses races against other edits, before it is reported as a conflict.
    constexpr int maxEditAttempts = 20;

    std::vector<stored_value> storedValues(const std::vector<kv_entry>& entries)
    {
        std::vector<stored_value> out;
        out.reserve(entries.size());
        for (const auto& entry : entries)
            out.push_back({ entry.key, entry.value, entry.modRevision });
        return out;
    }

    kv_transaction transactionOf(const config_transaction& planned)
    {
        kv_transaction out;
        for (const auto& compare : planned.compares)
            out.compares.push_back({ compare.key, kv_field::ModRevision, compare.modRevision, {} });
        for (const auto& put : planned.puts)
            out.then.emplace_back(lovagerail::kv_put { put.key, put.value, {} });
        for (const auto& key : planned.deletes)
            out.then.emplace_back(kv_delete { key, {} });
        return out;
    }

} // namespace

config_duty::config_duty(control_context& context)
    : m_context(context)
{
}

void config_duty::tick()
{
    if (m_startedAt == instant())
        m_startedAt = m_context.now;
    if (m_reading || !m_isRankKnown || m_context.now < m_nextRead)
        return;
    if (m_isWatcher && m_watching) {
        confirmRevision();
        return;
    }
    const bool isSilent = m_context.now - std::max(m_confirmedAt, m_startedAt) > maxSilence();
    if (m_isWatcher || isSilent)
        readAll();
}

void config_duty::setWatcher(bool isWatcher, std::size_t rank)
{
    m_isRankKnown = true;
    m_isWatcher = isWatcher;
    m_watcherRank = rank;
    if (isWatcher || !m_watching)
        return;
    m_context.kv.endWatch(m_watchId);
    m_watching = false;
}

void config_duty::confirmedByPeer(instant at)
{
    m_confirmedAt = std::max(m_confirmedAt, at);
    m_emptyConfirmed = true;
}

// After this time without a confirmed revision the instance reads the service itself. It differs
// by instance, between once and twice the minimum, so that instances that lost contact at the same
// time do not all read at the same time.
duration config_duty::maxSilence() const
{
    const auto minimum = std::max<duration>(minSilence, m_context.values.timing.heartbeat * silenceHeartbeats);
    const auto share = static_cast<std::int64_t>(std::hash<std::string>()(m_context.self.str()) % 1000);
    return minimum + minimum * share / 1000;
}

// The first watcher checks the revision. The next ones check later, so they do only if the
// first watcher's confirmation is missing.
void config_duty::confirmRevision()
{
    const auto confirmInterval = std::max<duration>(minConfirmInterval, m_context.values.timing.heartbeat * confirmHeartbeats);
    if (m_confirming || m_context.now - m_confirmedAt < confirmInterval * static_cast<std::int64_t>(1 + m_watcherRank))
        return;
    m_confirming = true;
    m_nextRead = m_context.now + confirmInterval;
    m_context.kv.call(kv_range { std::string(headKey), {}, 0, {}, true }, [this](const result<kv_answer>& answer) {
        m_confirming = false;
        if (!answer)
            return;
        const auto newest = answer->entries.empty() ? revision() : answer->entries.front().modRevision;
        if (newest <= m_context.inForce->at())
            m_confirmedAt = m_context.now;
        else if (!m_reading)
            readAll();
    });
}

void config_duty::readAll()
{
    m_reading = true;
    // Reads head and objects at one revision. The history is long and not needed.
    kv_transaction headAndObjects;
    headAndObjects.then.emplace_back(kv_range { std::string(headKey), {}, 0, {}, false });
    headAndObjects.then.emplace_back(kv_range { std::string(objectPrefix), prefixEnd(std::string(objectPrefix)), 0, {}, false });
    m_context.kv.call(headAndObjects, [this](const result<kv_answer>& answer) { onReadAll(answer); });
}

void config_duty::onReadAll(const result<kv_answer>& answer)
{
    m_reading = false;
    m_nextRead = m_context.now + readRetry;
    auto callbacks = std::exchange(m_readCallbacks, {});
    const auto runCallbacks = [&callbacks](const result<void>& outcome) {
        for (const auto& callback : callbacks)
            callback(outcome);
    };
    if (!answer) {
        m_nextRead = m_context.now + readRetry * (1 << std::min(m_failedReads++, maxBackoffDoublings));
        logEvent(log_level::Warning, "config", "read", { { "error", toString(answer.error()) } });
        runCallbacks(tl::unexpected(answer.error()));
        return;
    }
    m_failedReads = 0;
    const auto change = changeFromRange(storedValues(answer->entries));
    if (change) {
        for (const auto& entry : answer->entries) {
            if (entry.key != headKey)
                continue;
            if (const auto head = decodeHead(entry.value))
                m_head = *head;
        }
        applyChange(*change);
    } else if (change.error().code == error_code::NotFound) {
        m_emptyConfirmed = true;
    } else {
        logEvent(log_level::Error, "config", "read", { { "error", toString(change.error()) } });
    }
    m_confirmedAt = m_context.now;
    if (m_isWatcher && !m_watching)
        startWatch(answer->at);
    runCallbacks({});
}

// Watches from the revision after the full read, so that changes accepted before the watch is
// open are delivered as well, also if there was no configuration yet.
void config_duty::startWatch(revision readAt)
{
    m_watching = true;
    m_watchId = m_context.kv.watch(std::string(configPrefix), prefixEnd(std::string(configPrefix)), readAt.next(), [this](const kv_watch_response& response) { onWatchResponse(response); });
}

void config_duty::onWatchResponse(const kv_watch_response& response)
{
    m_confirmedAt = m_context.now;
    // Events were compacted away before they were delivered: read everything again.
    if (response.compactedTo != revision()) {
        m_watching = false;
        m_nextRead = m_context.now;
        return;
    }
    // Events of one transaction have the same revision and arrive together.
    std::size_t begin = 0;
    while (begin < response.events.size()) {
        std::size_t end = begin;
        std::vector<stored_event> group;
        while (end < response.events.size() && response.events[end].entry.modRevision == response.events[begin].entry.modRevision) {
            const auto& event = response.events[end++];
            stored_event stored { event.entry.key, std::nullopt, event.entry.modRevision };
            if (!event.deleted)
                stored.value = event.entry.value;
            group.push_back(std::move(stored));
        }
        begin = end;
        const auto change = changeFromEvents(group);
        if (!change) {
            logEvent(log_level::Warning, "config", "watch", { { "error", toString(change.error()) } });
            continue;
        }
        for (const auto& event : group) {
            if (event.key != headKey || !event.value)
                continue;
            if (const auto head = decodeHead(*event.value))
                m_head = *head;
        }
        applyChange(*change);
    }
}

// Applies a change if it follows the current revision; after a gap, reads everything again.
void config_duty::applyChange(const config_change& change)
{
    const auto applied = lovagerail::apply(m_context.inForce, change);
    if (applied.outcome == apply_outcome::Gap && !m_reading) {
        readAll();
        return;
    }
    if (applied.outcome != apply_outcome::Applied)
        return;
    const auto previousConfig = std::exchange(m_context.inForce, applied.next);
    if (m_onApplied)
        m_onApplied(previousConfig, change);
    m_context.sendToServing(config_update { applied.next });
    logEvent(log_level::Info, "config", "in_force", { { "revision", std::to_string(applied.next->at().value()) } });
}

bool config_duty::applyPeerChange(const config_change& change)
{
    const auto previousRevision = m_context.inForce->at();
    applyChange(change);
    return m_context.inForce->at() > previousRevision;
}

// --- Edits ---------------------------------------------------------------------------

void config_duty::edit(config_edit newEdit, edit_function onDone)
{
    auto pending = std::make_shared<pending_edit>();
    pending->wanted = std::move(newEdit);
    pending->onDone = std::move(onDone);
    // Plan on the current state of the service, not on the state last seen here.
    refreshThen([this, pending](const result<void>& refreshed) {
        if (!refreshed) {
            pending->onDone(edit_answer { refreshed.error() });
            return;
        }
        // Objects that others change from here on are a conflict and are never overwritten.
        setBaseRevisions(pending->wanted, *m_context.inForce);
        plan(pending);
    });
}

void config_duty::refreshThen(std::function<void(const result<void>&)> next)
{
    m_readCallbacks.push_back(std::move(next));
    if (!m_reading)
        readAll();
}

void config_duty::plan(const edit_ptr& edit)
{
    edit->before = m_context.inForce->at();
    const auto outcome = planEdit(*m_context.inForce, m_head, edit->wanted);
    if (const auto* planned = std::get_if<edit_plan>(&outcome)) {
        edit->warnings = planned->warnings;
        commit(edit, *planned);
    } else if (std::holds_alternative<no_change>(outcome)) {
        edit->onDone(edit_result { m_context.inForce->at(), {}, true });
    } else if (const auto* conflicts = std::get_if<std::vector<edit_conflict>>(&outcome)) {
        edit->onDone(*conflicts);
    } else if (const auto* faults = std::get_if<std::vector<config_fault>>(&outcome)) {
        edit->onDone(*faults);
    } else {
        edit->onDone(std::get<error>(outcome));
    }
}

void config_duty::commit(const edit_ptr& edit, const edit_plan& planned)
{
    m_context.kv.call(transactionOf(planned.transaction),
        [this, edit, planned](const result<kv_answer>& answer) { onCommit(edit, planned, answer); });
}

void config_duty::onCommit(const edit_ptr& edit, const edit_plan& planned, const result<kv_answer>& answer)
{
    if (!answer) {
        if (answer.error().code == error_code::Unknown)
            resolveUnknownCommit(edit, planned);
        else
            edit->onDone(edit_answer { answer.error() });
        return;
    }
    if (answer->succeeded) {
        // The head key has the revision of the transaction, so the change is in force here after
        // the next read.
        const auto editRevision = answer->at;
        refreshThen([edit, editRevision](const result<void>&) { edit->onDone(edit_result { editRevision, edit->warnings, false }); });
        return;
    }
    if (++edit->attempts >= maxEditAttempts) {
        edit->onDone(edit_answer { error { error_code::Conflict, "config.edit", peer_kind::KeyValueService, {}, "other operators kept changing the configuration" } });
        return;
    }
    refreshThen([this, edit](const result<void>& refreshed) {
        if (!refreshed)
            edit->onDone(edit_answer { refreshed.error() });
        else
            plan(edit);
    });
}

void config_duty::resolveUnknownCommit(const edit_ptr& edit, const edit_plan& planned)
{
    // The history entry of this edit is stored under the number that was planned. If another
    // change has that number, this edit failed and can no longer take effect.
    const auto key = historyKey(planned.audit.number);
    m_context.kv.call(kv_range { key, {}, 0, {}, false }, [this, edit, planned, key](const result<kv_answer>& answer) {
        if (!answer) {
            edit->onDone(edit_answer { error { error_code::Unknown, "config.edit", peer_kind::KeyValueService, {},
                "the answer was lost and the service can't be asked; see `lovagectl get history` before trying again" } });
            return;
        }
        const auto expectedEntry = encodeHistory(planned.audit);
        for (const auto& entry : answer->entries) {
            if (entry.value == expectedEntry) {
                const auto editRevision = entry.modRevision;
                refreshThen([edit, editRevision](const result<void>&) { edit->onDone(edit_result { editRevision, edit->warnings, false }); });
                return;
            }
        }
        // Not found: the same transaction can be sent again, as its compares prevent applying it twice.
        if (++edit->attempts >= maxEditAttempts) {
            edit->onDone(edit_answer { error { error_code::Unknown, "config.edit", peer_kind::KeyValueService, {}, "answers keep getting lost" } });
            return;
        }
        if (answer->entries.empty())
            commit(edit, planned);
        else
            refreshThen([this, edit](const result<void>&) { plan(edit); });
    });
}

} // namespace lovagerail::daemon
