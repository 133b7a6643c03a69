// Reading, watching and editing the configuration in the key-value service.
#include "daemon/config_duty.h"

#include "config_layout.h"
#include "log.h"

namespace lovagerail::daemon {

namespace {

    constexpr duration readRetry = std::chrono::milliseconds(500);
    constexpr int mostDoublings = 6; // of readRetry while the service fails
    // A watcher looks at head this often, to know that the watch missed nothing.
    constexpr duration leastConfirm = std::chrono::seconds(1);
    constexpr std::int64_t confirmBeats = 2;
    // The others ask the service themselves after this many heartbeats without word.
    constexpr duration leastSilence = std::chrono::seconds(3);
    constexpr std::int64_t silentBeats = 10;
    // Races that an edit survives before it is reported as a conflict.
    constexpr int mostEditTries = 20;

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
    if (m_reading || !m_isPlaced || m_context.now < m_nextRead)
        return;
    if (m_isWatcher && m_watching) {
        confirm();
        return;
    }
    const bool isSilent = m_context.now - std::max(m_confirmedAt, m_startedAt) > silence();
    if (m_isWatcher || isSilent)
        readAll();
}

void config_duty::setWatcher(bool isWatcher, std::size_t place)
{
    m_isPlaced = true;
    m_isWatcher = isWatcher;
    m_place = place;
    if (isWatcher || !m_watching)
        return;
    m_context.kv.endWatch(m_watch);
    m_watching = false;
}

void config_duty::confirmedByPeer(instant at)
{
    m_confirmedAt = std::max(m_confirmedAt, at);
    m_emptyConfirmed = true;
}

// Spread over twice the least, so that instances cut off together don't ask together.
duration config_duty::silence() const
{
    const auto least = std::max<duration>(leastSilence, m_context.values.timing.heartbeat * silentBeats);
    const auto share = static_cast<std::int64_t>(std::hash<std::string>()(m_context.self.str()) % 1000);
    return least + least * share / 1000;
}

// The first watcher asks; the next ones do if it seems to fail.
void config_duty::confirm()
{
    const auto every = std::max<duration>(leastConfirm, m_context.values.timing.heartbeat * confirmBeats);
    if (m_confirming || m_context.now - m_confirmedAt < every * static_cast<std::int64_t>(1 + m_place))
        return;
    m_confirming = true;
    m_nextRead = m_context.now + every;
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
    // Head and objects at one revision; history is long and not needed.
    kv_transaction both;
    both.then.emplace_back(kv_range { std::string(headKey), {}, 0, {}, false });
    both.then.emplace_back(kv_range { std::string(objectPrefix), prefixEnd(std::string(objectPrefix)), 0, {}, false });
    m_context.kv.call(both, [this](const result<kv_answer>& answer) { onAll(answer); });
}

void config_duty::onAll(const result<kv_answer>& answer)
{
    m_reading = false;
    m_nextRead = m_context.now + readRetry;
    auto waiting = std::exchange(m_afterRead, {});
    const auto tell = [&waiting](const result<void>& outcome) {
        for (const auto& next : waiting)
            next(outcome);
    };
    if (!answer) {
        m_nextRead = m_context.now + readRetry * (1 << std::min(m_failedReads++, mostDoublings));
        logEvent(log_level::Warning, "config", "read", { { "error", toString(answer.error()) } });
        tell(tl::unexpected(answer.error()));
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
        take(*change);
    } else if (change.error().code == error_code::NotFound) {
        m_emptyConfirmed = true;
    } else {
        logEvent(log_level::Error, "config", "read", { { "error", toString(change.error()) } });
    }
    m_confirmedAt = m_context.now;
    if (m_isWatcher && !m_watching)
        startWatch(answer->at);
    tell({});
}

// From the revision that the whole was read at: what is accepted before the watch is
// open is told as well, also where there was no configuration yet.
void config_duty::startWatch(revision readAt)
{
    m_watching = true;
    m_watch = m_context.kv.watch(std::string(configPrefix), prefixEnd(std::string(configPrefix)), readAt.next(), [this](const kv_news& news) { onNews(news); });
}

void config_duty::onNews(const kv_news& news)
{
    m_confirmedAt = m_context.now;
    // Events were lost: read the whole again.
    if (news.compactedTo != revision()) {
        m_watching = false;
        m_nextRead = m_context.now;
        return;
    }
    // Events of one transaction share a revision and come together.
    std::size_t begin = 0;
    while (begin < news.events.size()) {
        std::size_t end = begin;
        std::vector<stored_event> group;
        while (end < news.events.size() && news.events[end].entry.modRevision == news.events[begin].entry.modRevision) {
            const auto& event = news.events[end++];
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
        take(*change);
    }
}

// The rule of revisions decides; a gap is closed by reading the whole.
void config_duty::take(const config_change& change)
{
    const auto applied = lovagerail::apply(m_context.inForce, change);
    if (applied.outcome == apply_outcome::Gap && !m_reading) {
        readAll();
        return;
    }
    if (applied.outcome != apply_outcome::Applied)
        return;
    const auto before = std::exchange(m_context.inForce, applied.next);
    if (m_applied)
        m_applied(before, change);
    m_context.tellServing(new_config { applied.next });
    logEvent(log_level::Info, "config", "in_force", { { "revision", std::to_string(applied.next->at().value()) } });
}

bool config_duty::learn(const config_change& change)
{
    const auto before = m_context.inForce->at();
    take(change);
    return m_context.inForce->at() > before;
}

// --- Edits ---------------------------------------------------------------------------

void config_duty::edit(config_edit wanted, edit_function onDone)
{
    auto pending = std::make_shared<pending_edit>();
    pending->wanted = std::move(wanted);
    pending->onDone = std::move(onDone);
    // Plan on what the service holds now, not on what we saw last.
    refreshThen([this, pending](const result<void>& fresh) {
        if (!fresh) {
            pending->onDone(edit_answer { fresh.error() });
            return;
        }
        // What others change from here on is a conflict and is never overwritten.
        fillBases(pending->wanted, *m_context.inForce);
        plan(pending);
    });
}

void config_duty::refreshThen(std::function<void(const result<void>&)> next)
{
    m_afterRead.push_back(std::move(next));
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
            settleUnknown(edit, planned);
        else
            edit->onDone(edit_answer { answer.error() });
        return;
    }
    if (answer->succeeded) {
        // The transaction's revision is head's: it is in force here with the next read.
        const auto at = answer->at;
        refreshThen([edit, at](const result<void>&) { edit->onDone(edit_result { at, edit->warnings, false }); });
        return;
    }
    if (++edit->tries >= mostEditTries) {
        edit->onDone(edit_answer { error { error_code::Conflict, "config.edit", peer_kind::KeyValueService, {}, "other operators kept changing the configuration" } });
        return;
    }
    refreshThen([this, edit](const result<void>& fresh) {
        if (!fresh)
            edit->onDone(edit_answer { fresh.error() });
        else
            plan(edit);
    });
}

void config_duty::settleUnknown(const edit_ptr& edit, const edit_plan& planned)
{
    // Our history entry stands under the number that the plan took. If another
    // change has that number, ours lost and can't land any more.
    const auto key = historyKey(planned.audit.number);
    m_context.kv.call(kv_range { key, {}, 0, {}, false }, [this, edit, planned, key](const result<kv_answer>& answer) {
        if (!answer) {
            edit->onDone(edit_answer { error { error_code::Unknown, "config.edit", peer_kind::KeyValueService, {},
                "the answer was lost and the service can't be asked; see `lovagectl get history` before trying again" } });
            return;
        }
        const auto wanted = encodeHistory(planned.audit);
        for (const auto& entry : answer->entries) {
            if (entry.value == wanted) {
                const auto at = entry.modRevision;
                refreshThen([edit, at](const result<void>&) { edit->onDone(edit_result { at, edit->warnings, false }); });
                return;
            }
        }
        // Not there: the same transaction may be sent again, its compares protect it.
        if (++edit->tries >= mostEditTries) {
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
