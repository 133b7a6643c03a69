// Usage closer: gathers, seals, reports and removes usage windows.
#include "usage_window.h"

#include "usage_keys.h"

#include <algorithm>
#include <cassert>
#include <charconv>

namespace lovagerail {
namespace {

    // Sealed windows whose reports are held in memory at the same time.
    constexpr std::size_t maxWindowsReporting = 2;

    std::optional<window_number> windowOfKey(std::string_view key, std::string_view prefix)
    {
        if (!key.starts_with(prefix))
            return std::nullopt;
        key.remove_prefix(prefix.size());
        std::uint64_t number = 0;
        const auto parsed = std::from_chars(key.data(), key.data() + key.size(), number);
        if (parsed.ec != std::errc())
            return std::nullopt;
        return window_number(number);
    }

    result<sealed_window> joinParts(const std::vector<key_value_pair>& parts)
    {
        std::string text;
        for (const key_value_pair& part : parts)
            text += part.value;
        return decodeSealed(text);
    }

    // Parses a reporting checkpoint, "<number of reports done> all|some".
    std::pair<std::size_t, bool> parseCheckpoint(const std::string& value)
    {
        std::size_t reportsDone = 0;
        std::from_chars(value.data(), value.data() + value.size(), reportsDone);
        return { reportsDone, value.ends_with(" all") };
    }

} // namespace

usage_closer::usage_closer(fencing_number fencing, closer_settings settings)
    : m_fencing(fencing)
    , m_settings(settings)
{
    assert(m_settings.pullDelay <= m_settings.grace);
}

closer_status usage_closer::status() const
{
    closer_status status = m_status;
    for (const window_number window : m_sealedWindows) {
        const auto checkpoint = m_checkpoints.find(window);
        if (checkpoint == m_checkpoints.end() || !checkpoint->second.second)
            ++status.unreportedWindows;
    }
    return status;
}

std::vector<closer_action> usage_closer::tick(wall_time now, const std::vector<instance_id>& live)
{
    m_now = std::max(m_now, now);
    actions out;
    if (m_phase == phase::Starting)
        loadState(out);
    if (m_phase == phase::Checking)
        readBackSeal(out);
    if (m_phase == phase::Waiting && m_now >= windowEnd(m_window, m_settings.usage) + m_settings.pullDelay)
        beginGathering(live);
    if (m_phase == phase::Gathering)
        gatherSegments(out);
    if (m_phase != phase::Starting)
        sendReports(out);
    return out;
}

std::optional<std::vector<key_value_pair>> usage_closer::requestRead(const std::string& prefix, bool keysOnly, actions& out)
{
    if (const auto answer = m_readResults.find(prefix); answer != m_readResults.end()) {
        std::vector<key_value_pair> entries = std::move(answer->second);
        m_readResults.erase(answer);
        return entries;
    }
    const auto inFlight = m_readsInFlight.find(prefix);
    if (inFlight != m_readsInFlight.end() && m_now < inFlight->second + m_settings.retryAfter)
        return std::nullopt;
    m_readsInFlight[prefix] = m_now;
    out.emplace_back(read_prefix { prefix, keysOnly });
    return std::nullopt;
}

void usage_closer::onRead(const std::string& prefix, const result<std::vector<key_value_pair>>& entries)
{
    // A failed read stays in m_readsInFlight and is retried after retryAfter.
    if (!entries || m_readsInFlight.erase(prefix) == 0)
        return;
    m_readResults[prefix] = *entries;
}

// Discards the state and reads it from the key-value service again, as at the start of the term.
void usage_closer::restart()
{
    m_phase = phase::Starting;
    m_startRetryAt = m_now + m_settings.retryAfter;
    m_readsInFlight.clear();
    m_readResults.clear();
    m_sealedWindows.clear();
    m_checkpoints.clear();
    m_included.clear();
    m_reports.clear();
}

void usage_closer::loadState(actions& out)
{
    if (m_now < m_startRetryAt)
        return;
    // Step 1. Find out which windows are sealed.
    if (m_sealedWindows.empty() && !m_isFirstWindow) {
        const auto keys = requestRead(std::string(sealedPrefix), true, out);
        if (!keys)
            return;
        for (const key_value_pair& entry : *keys) {
            if (const auto window = windowOfKey(entry.key, sealedPrefix))
                m_sealedWindows.insert(*window);
        }
        // Step 2. If none is sealed, the current window is the first one to seal.
        if (m_sealedWindows.empty()) {
            m_isFirstWindow = true;
            m_window = windowOf(m_now, m_settings.usage);
            m_phase = phase::Waiting;
            return;
        }
    }
    // Step 3. Load the reporting checkpoints. One that cannot be parsed counts as zero,
    // which only repeats reports.
    if (m_checkpoints.empty()) {
        const auto checkpoints = requestRead(std::string(reportedPrefix), false, out);
        if (!checkpoints)
            return;
        for (const key_value_pair& entry : *checkpoints) {
            if (const auto window = windowOfKey(entry.key, reportedPrefix))
                m_checkpoints[*window] = parseCheckpoint(entry.value);
        }
        m_checkpoints.try_emplace(*m_sealedWindows.rbegin(), 0, false);
    }
    // Step 4. The last sealed window states which segments are included so far.
    const auto parts = requestRead(detail::sealedWindowPrefix(*m_sealedWindows.rbegin()), false, out);
    if (!parts)
        return;
    if (parts->empty())
        return restart(); // removed in the meantime, so the earlier reads are outdated
    if (const auto sealed = decodeParts(*m_sealedWindows.rbegin(), *parts))
        continueAfter(*sealed);
}

void usage_closer::beginGathering(const std::vector<instance_id>& live)
{
    m_phase = phase::Gathering;
    // A closer that starts late gives instances as much time to answer as one that starts in time.
    m_deadline = std::max(windowEnd(m_window, m_settings.usage) + m_settings.pullDelay, m_now) + m_settings.grace - m_settings.pullDelay;
    m_live = { live.begin(), live.end() };
    m_answered.clear();
    m_asked.clear();
    m_copyRequests.clear();
    m_chains.clear();
    m_storedCountersRead = false;
    m_readResults.erase(std::string(countersPrefix)); // from the previous window
    m_commitRetryAt = {};
    // Copies on instances that left the fleet cannot be requested.
    std::erase_if(m_copyHolders, [this](const auto& holder) { return !m_live.contains(holder.first); });
}

void usage_closer::gatherSegments(actions& out)
{
    // Step 1. Pull from every live instance until its counts of the window are complete.
    for (const instance_id& instance : m_live) {
        if (m_answered.contains(instance))
            continue;
        const auto lastPull = m_asked.find(instance);
        if (lastPull != m_asked.end() && m_now < lastPull->second + m_settings.retryAfter)
            continue;
        m_asked[instance] = m_now;
        out.emplace_back(pull_usage { instance, m_window, positionsFor(instance), {} });
    }
    // Step 2. Read the counters that instances without copy holders store in the key-value service.
    if (!m_storedCountersRead) {
        if (const auto storedCounters = requestRead(std::string(countersPrefix), false, out)) {
            m_storedCountersRead = true;
            for (const key_value_pair& entry : *storedCounters) {
                const auto batches = countersFromValue(entry.value);
                if (!batches) {
                    ++m_status.corrupt;
                    continue;
                }
                addBatches(*batches);
            }
        }
    }
    // Step 3. Request copies of the segments of instances that do not answer.
    requestCopies(out);
    // Step 4. Seal when all answers are in, or at the deadline.
    if ((isGatheringComplete() || m_now >= m_deadline) && m_now >= m_commitRetryAt)
        commitSeal(out);
}

void usage_closer::requestCopies(actions& out)
{
    const bool overdue = m_now >= m_deadline - (m_settings.grace - m_settings.pullDelay) / 2;
    for (const auto& [holder, origins] : m_copyHolders) {
        pull_usage pull { holder, m_window, {}, {} };
        for (const auto& [origin, next] : origins) {
            // Step 1. Skip origins that answered themselves or may still answer.
            const auto answered = m_answered.find(origin.instance);
            if (answered != m_answered.end() && answered->second == origin)
                continue;
            if (answered == m_answered.end() && m_live.contains(origin.instance) && !overdue)
                continue;
            // Step 2. Skip copies that have nothing new.
            const auto chain = m_chains.find(origin);
            const segment_number gatheredUpTo = chain == m_chains.end() ? nextUnsealed(origin) : chain->second.back().next;
            if (next <= gatheredUpTo)
                continue;
            // Step 3. Request the copy, again if no answer arrives in time.
            copy_request& request = m_copyRequests[{ holder, origin }];
            const bool isRequestDue = request.askedAt == wall_time() || m_now >= request.askedAt + m_settings.retryAfter;
            if (request.answered || !isRequestDue)
                continue;
            request.askedAt = m_now;
            pull.copies.push_back(origin);
            pull.positions.push_back({ origin, nextUnsealed(origin) });
        }
        if (!pull.copies.empty())
            out.emplace_back(std::move(pull));
    }
}

bool usage_closer::isGatheringComplete() const
{
    if (!m_storedCountersRead || m_answered.size() != m_live.size())
        return false;
    return std::all_of(m_copyRequests.begin(), m_copyRequests.end(), [](const auto& request) { return request.second.answered; });
}

void usage_closer::onPull(const pull_usage& asked, const result<pull_answer>& answer)
{
    if (m_phase != phase::Gathering || !answer || asked.window != m_window || answer->from.instance != asked.instance)
        return;
    // Step 1. Add the segments.
    addBatches(answer->batches);
    // Step 2. Note which copies the instance stores, and that the requested ones were answered.
    auto& copyPositions = m_copyHolders[asked.instance];
    copyPositions.clear();
    for (const usage_position& position : answer->held)
        copyPositions[position.origin] = position.next;
    for (const usage_origin& origin : asked.copies)
        m_copyRequests[{ asked.instance, origin }].answered = true;
    // Step 3. Note whether the instance's counts of the window are complete.
    if (answer->closedThrough && *answer->closedThrough >= m_window)
        m_answered[asked.instance] = answer->from;
}

void usage_closer::addBatches(const std::vector<usage_batch>& batches)
{
    std::map<usage_origin, std::vector<usage_batch>> byOrigin;
    for (const usage_batch& batch : batches)
        byOrigin[batch.origin].push_back(batch);
    for (const auto& [origin, chain] : byOrigin)
        addChain(origin, chain);
}

// Keeps the longest chain of batches without gaps that starts at the origin's first
// unsealed segment.
void usage_closer::addChain(const usage_origin& origin, const std::vector<usage_batch>& chain)
{
    segment_number next = nextUnsealed(origin);
    std::vector<usage_batch> newChain;
    for (const usage_batch& batch : chain) {
        if (batch.next <= next)
            continue; // already sealed
        // The position of an origin is dropped only after a silence longer than any copy is
        // kept. A batch this old may be of such an origin, and may be sealed already.
        const bool tooOld = batch.window.value() + 2 * m_settings.usage.copyRetention <= m_window.value();
        if (batch.first != next || batch.window > m_window || tooOld)
            break;
        next = batch.next;
        newChain.push_back(batch);
    }
    if (newChain.empty())
        return;
    std::vector<usage_batch>& longestChain = m_chains[origin];
    if (longestChain.empty() || longestChain.back().next < next)
        longestChain = std::move(newChain);
}

segment_number usage_closer::nextUnsealed(const usage_origin& origin) const
{
    const auto position = m_included.find(origin);
    return position == m_included.end() ? segment_number() : position->second.next;
}

std::vector<usage_position> usage_closer::positionsFor(const instance_id& instance) const
{
    std::vector<usage_position> positions;
    // Step 1. Positions of the instance's own incarnations.
    for (auto it = m_included.lower_bound({ instance, incarnation() }); it != m_included.end(); ++it) {
        if (it->first.instance != instance)
            break;
        positions.push_back({ it->first, it->second.next });
    }
    // Step 2. Positions of the origins it stores copies of, so that it can drop sealed segments.
    const auto copyPositions = m_copyHolders.find(instance);
    if (copyPositions == m_copyHolders.end())
        return positions;
    for (const auto& [origin, next] : copyPositions->second) {
        if (nextUnsealed(origin) != segment_number())
            positions.push_back({ origin, nextUnsealed(origin) });
    }
    return positions;
}

sealed_window usage_closer::buildSealedWindow() const
{
    sealed_window sealed;
    sealed.window = m_window;
    sealed.included = m_included;
    std::map<target_id, target_usage> targets;
    // Step 1. Add the figures, and advance the position of each origin.
    for (const auto& [origin, chain] : m_chains) {
        for (const usage_batch& batch : chain) {
            addBatch(sealed, batch);
            for (const auto& [target, usage] : batch.figures.targets)
                targets[target] += usage;
        }
        sealed.included[origin] = { chain.back().next, m_window };
    }
    // Step 2. Update when each origin was last seen; drop the positions of origins that were
    // silent for too long.
    const auto markSeen = [this, &sealed](const usage_origin& origin) {
        const auto position = sealed.included.find(origin);
        if (position != sealed.included.end())
            position->second.lastSeen = m_window;
    };
    for (const auto& [instance, origin] : m_answered)
        markSeen(origin);
    for (const auto& [holder, origins] : m_copyHolders) {
        for (const auto& [origin, next] : origins)
            markSeen(origin);
    }
    const std::uint64_t longestSilence = 2 * m_settings.usage.copyRetention;
    std::erase_if(sealed.included, [this, longestSilence](const auto& item) { return item.second.lastSeen.value() + longestSilence < m_window.value(); });
    // Step 3. Compare the sums, and list the instances that did not answer.
    compareSums(sealed, targets);
    for (const instance_id& instance : m_live) {
        if (!m_answered.contains(instance))
            sealed.missing.push_back(instance);
    }
    return sealed;
}

void usage_closer::commitSeal(actions& out)
{
    commit_entries commit;
    // Step 1. Create-only, and only if the previous window exists. A write that is delayed
    // until both windows were removed fails, as the previous one is missing.
    commit.mustNotExist.push_back(detail::sealedKey(m_window, 0));
    if (m_isFirstWindow) {
        commit.mustNotExist.emplace_back(floorKey);
        commit.puts.push_back({ std::string(floorKey), detail::windowDigits(m_window) });
    } else {
        commit.mustExist.push_back(detail::sealedKey(window_number(m_window.value() - 1), 0));
    }
    // Step 2. All parts go into one transaction.
    const std::string text = encodeSealed(buildSealedWindow());
    const std::size_t limit = m_settings.valueLimit.count();
    for (std::size_t part = 0; part * limit < text.size(); ++part)
        commit.puts.push_back({ detail::sealedKey(m_window, part), text.substr(part * limit, limit) });
    m_phase = phase::Sealing;
    out.emplace_back(std::move(commit));
}

void usage_closer::onCommit(const commit_entries& commit, commit_outcome outcome)
{
    // Step 1. Reporting checkpoints.
    const auto checkpointWindow = windowOfKey(commit.puts.back().key, reportedPrefix);
    if (checkpointWindow) {
        const auto state = m_reports.find(*checkpointWindow);
        if (state != m_reports.end())
            state->second.onCheckpoint(outcome, m_now + m_settings.retryAfter);
        return;
    }
    // Step 2. The sealing transaction. Only the value stored in the key-value service counts.
    if (m_phase != phase::Sealing || windowOfKey(commit.puts.back().key, sealedPrefix) != m_window)
        return;
    if (outcome == commit_outcome::Unavailable) {
        m_phase = phase::Gathering;
        m_commitRetryAt = m_now + m_settings.retryAfter;
        return;
    }
    if (outcome != commit_outcome::Done) {
        m_phase = phase::Checking;
        return;
    }
    std::vector<key_value_pair> parts = commit.puts;
    std::erase_if(parts, [](const key_value_pair& entry) { return entry.key == floorKey; });
    const auto sealed = joinParts(parts);
    assert(sealed);
    m_checkpoints[m_window] = { 0, false };
    continueAfter(*sealed);
}

// Reads which value is stored after a conflict or a lost answer.
void usage_closer::readBackSeal(actions& out)
{
    const auto parts = requestRead(detail::sealedWindowPrefix(m_window), false, out);
    if (!parts)
        return;
    if (parts->empty()) {
        m_isFirstWindow = false;
        restart();
        return;
    }
    if (const auto sealed = decodeParts(m_window, *parts))
        continueAfter(*sealed);
}

// A value that cannot be decoded is counted as corrupt and read again after retryAfter.
std::optional<sealed_window> usage_closer::decodeParts(window_number window, const std::vector<key_value_pair>& parts)
{
    auto sealed = joinParts(parts);
    if (sealed && sealed->window == window)
        return std::move(*sealed);
    ++m_status.corrupt;
    m_readsInFlight[detail::sealedWindowPrefix(window)] = m_now;
    return std::nullopt;
}

// Continues after a sealed window that is stored in the key-value service.
void usage_closer::continueAfter(const sealed_window& sealed)
{
    m_isFirstWindow = false;
    m_sealedWindows.insert(sealed.window);
    m_checkpoints.try_emplace(sealed.window, 0, false);
    m_included = sealed.included;
    m_status.sealed = sealed.window;
    m_status.differences += sealed.differenceCount;
    m_window = sealed.window.next();
    m_chains.clear();
    m_phase = phase::Waiting;
    // Prepare its reports now if there is room, to avoid reading the window again.
    if (!m_checkpoints[sealed.window].second && m_reports.size() < maxWindowsReporting)
        prepareReports(sealed);
}

void usage_closer::sendReports(actions& out)
{
    // Step 1. Load the oldest sealed windows that are not fully reported.
    for (const window_number window : m_sealedWindows) {
        if (m_reports.size() >= maxWindowsReporting)
            break;
        const auto checkpoint = m_checkpoints.try_emplace(window, 0, false).first->second;
        if (checkpoint.second || m_reports.contains(window))
            continue;
        const auto parts = requestRead(detail::sealedWindowPrefix(window), false, out);
        if (!parts)
            break;
        if (parts->empty()) {
            // Removed by an earlier closer, so it was fully reported.
            m_checkpoints[window] = { 0, true };
            continue;
        }
        const auto sealed = decodeParts(window, *parts);
        if (!sealed)
            break;
        prepareReports(*sealed);
    }
    // Step 2. Send reports, and drop the windows that are done.
    for (auto it = m_reports.begin(); it != m_reports.end();) {
        it->second.send(m_now, m_settings, out);
        if (!it->second.finished()) {
            ++it;
            continue;
        }
        m_checkpoints[it->first].second = true;
        it = m_reports.erase(it);
    }
    removeOldWindows(out);
}

void usage_closer::prepareReports(const sealed_window& sealed)
{
    std::vector<report_usage> reports = reportsOf(sealed, m_fencing);
    auto& checkpoint = m_checkpoints[sealed.window];
    if (reports.empty())
        checkpoint = { 0, true }; // nothing to report
    else
        m_reports.try_emplace(sealed.window, std::move(reports), checkpoint.first);
}

// Removes the oldest windows, as one range so that none is removed before an older one.
void usage_closer::removeOldWindows(actions& out)
{
    std::optional<window_number> last;
    for (const window_number window : m_sealedWindows) {
        const bool beyondRetention = window.value() + m_settings.windowsRetained < m_sealedWindows.rbegin()->value();
        if (!beyondRetention || !m_checkpoints[window].second)
            break;
        last = window;
    }
    if (!last)
        return;
    const window_number end = last->next();
    out.emplace_back(remove_range { std::string(sealedPrefix), detail::sealedWindowPrefix(end) });
    out.emplace_back(remove_range { std::string(reportedPrefix), detail::reportedKey(end) });
    m_sealedWindows.erase(m_sealedWindows.begin(), m_sealedWindows.lower_bound(end));
    m_checkpoints.erase(m_checkpoints.begin(), m_checkpoints.lower_bound(end));
}

void usage_closer::onReport(const report_usage& report, report_outcome outcome)
{
    if (outcome == report_outcome::Conflict)
        ++m_status.conflicts;
    const auto state = m_reports.find(report.window);
    if (state != m_reports.end())
        state->second.onReport(report.account, outcome, m_now + m_settings.retryAfter);
}

} // namespace lovagerail
