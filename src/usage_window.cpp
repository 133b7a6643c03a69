// The closer of usage windows: gather, seal, report, remove.
#include "usage_window.h"

#include "usage_keys.h"

#include <algorithm>
#include <cassert>
#include <charconv>

namespace lovagerail {
namespace {

    // Sealed windows whose reports are held in memory at a time.
    constexpr std::size_t windowsReporting = 2;

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

    result<sealed_window> joinParts(const std::vector<key_text>& parts)
    {
        std::string text;
        for (const key_text& part : parts)
            text += part.value;
        return decodeSealed(text);
    }

    // "<reports done> all|some"
    std::pair<std::size_t, bool> parseMark(const std::string& value)
    {
        std::size_t done = 0;
        std::from_chars(value.data(), value.data() + value.size(), done);
        return { done, value.ends_with(" all") };
    }

} // namespace

usage_closer::usage_closer(fencing_number term, closer_settings settings)
    : m_term(term)
    , m_settings(settings)
{
    assert(m_settings.settle <= m_settings.grace);
}

closer_status usage_closer::status() const
{
    closer_status status = m_status;
    for (const window_number window : m_sealed) {
        const auto mark = m_marks.find(window);
        if (mark == m_marks.end() || !mark->second.second)
            ++status.unreportedWindows;
    }
    return status;
}

std::vector<closer_action> usage_closer::tick(wall_time now, const std::vector<instance_id>& live)
{
    m_now = std::max(m_now, now);
    actions out;
    if (m_phase == phase::Starting)
        start(out);
    if (m_phase == phase::Checking)
        check(out);
    if (m_phase == phase::Waiting && m_now >= windowEnd(m_window, m_settings.usage) + m_settings.settle)
        beginGathering(live);
    if (m_phase == phase::Gathering)
        gather(out);
    if (m_phase != phase::Starting)
        report(out);
    return out;
}

std::optional<std::vector<key_text>> usage_closer::read(const std::string& prefix, bool keysOnly, actions& out)
{
    if (const auto answer = m_read.find(prefix); answer != m_read.end()) {
        std::vector<key_text> entries = std::move(answer->second);
        m_read.erase(answer);
        return entries;
    }
    const auto asked = m_reading.find(prefix);
    if (asked != m_reading.end() && m_now < asked->second + m_settings.retryAfter)
        return std::nullopt;
    m_reading[prefix] = m_now;
    out.emplace_back(read_prefix { prefix, keysOnly });
    return std::nullopt;
}

void usage_closer::onRead(const std::string& prefix, const result<std::vector<key_text>>& entries)
{
    // A failed read stays in m_reading and is asked again after a while.
    if (!entries || m_reading.erase(prefix) == 0)
        return;
    m_read[prefix] = *entries;
}

// Reads again what stands in the service, as at the start of the term.
void usage_closer::restart()
{
    m_phase = phase::Starting;
    m_startAgain = m_now + m_settings.retryAfter;
    m_reading.clear();
    m_read.clear();
    m_sealed.clear();
    m_marks.clear();
    m_included.clear();
    m_reports.clear();
}

void usage_closer::start(actions& out)
{
    if (m_now < m_startAgain)
        return;
    // Step 1. Which windows are sealed.
    if (m_sealed.empty() && !m_first) {
        const auto keys = read(std::string(sealedPrefix), true, out);
        if (!keys)
            return;
        for (const key_text& entry : *keys) {
            if (const auto window = windowOfKey(entry.key, sealedPrefix))
                m_sealed.insert(*window);
        }
        // Step 2. The very first window of all is the one that is open now.
        if (m_sealed.empty()) {
            m_first = true;
            m_window = windowOf(m_now, m_settings.usage);
            m_phase = phase::Waiting;
            return;
        }
    }
    // Step 3. How far they are reported; a mark that can't be read is no harm.
    if (m_marks.empty()) {
        const auto marks = read(std::string(reportedPrefix), false, out);
        if (!marks)
            return;
        for (const key_text& entry : *marks) {
            if (const auto window = windowOfKey(entry.key, reportedPrefix))
                m_marks[*window] = parseMark(entry.value);
        }
        m_marks.try_emplace(*m_sealed.rbegin(), 0, false);
    }
    // Step 4. The last sealed window says what is included so far.
    const auto parts = read(detail::sealedFolder(*m_sealed.rbegin()), false, out);
    if (!parts)
        return;
    if (parts->empty())
        return restart(); // removed meanwhile: what was read before is old
    if (const auto sealed = decode(*m_sealed.rbegin(), *parts))
        adopt(*sealed);
}

void usage_closer::beginGathering(const std::vector<instance_id>& live)
{
    m_phase = phase::Gathering;
    // A closer that comes late gives instances as long to answer as one in time.
    m_deadline = std::max(windowEnd(m_window, m_settings.usage) + m_settings.settle, m_now) + m_settings.grace - m_settings.settle;
    m_live = { live.begin(), live.end() };
    m_answered.clear();
    m_asked.clear();
    m_copyRequests.clear();
    m_chains.clear();
    m_keptRead = false;
    m_read.erase(std::string(countersPrefix)); // of the window before
    m_commitAgain = {};
    // Copies at instances that left the fleet can't be asked for.
    std::erase_if(m_holders, [this](const auto& holder) { return !m_live.contains(holder.first); });
}

void usage_closer::gather(actions& out)
{
    // Step 1. Ask every live instance until it answers for the whole window.
    for (const instance_id& instance : m_live) {
        if (m_answered.contains(instance))
            continue;
        const auto asked = m_asked.find(instance);
        if (asked != m_asked.end() && m_now < asked->second + m_settings.retryAfter)
            continue;
        m_asked[instance] = m_now;
        out.emplace_back(pull_usage { instance, m_window, positionsFor(instance), {} });
    }
    // Step 2. Counters that instances without copy holders keep in the service.
    if (!m_keptRead) {
        if (const auto kept = read(std::string(countersPrefix), false, out)) {
            m_keptRead = true;
            for (const key_text& entry : *kept) {
                const auto batches = countersFromValue(entry.value);
                if (!batches) {
                    ++m_status.corrupt;
                    continue;
                }
                takeAll(*batches);
            }
        }
    }
    // Step 3. Copies of those that don't answer.
    askForCopies(out);
    // Step 4. Seal when all is there, or when the time is up.
    if ((gathered() || m_now >= m_deadline) && m_now >= m_commitAgain)
        seal(out);
}

void usage_closer::askForCopies(actions& out)
{
    const bool overdue = m_now >= m_deadline - (m_settings.grace - m_settings.settle) / 2;
    for (const auto& [holder, origins] : m_holders) {
        pull_usage pull { holder, m_window, {}, {} };
        for (const auto& [origin, next] : origins) {
            // Step 1. Skip what its origin told us itself, or may still tell.
            const auto answered = m_answered.find(origin.instance);
            if (answered != m_answered.end() && answered->second == origin)
                continue;
            if (answered == m_answered.end() && m_live.contains(origin.instance) && !overdue)
                continue;
            // Step 2. Skip what has no more than we have.
            const auto chain = m_chains.find(origin);
            const segment_number have = chain == m_chains.end() ? markOf(origin) : chain->second.back().next;
            if (next <= have)
                continue;
            // Step 3. Ask once, and again if the answer doesn't come.
            copy_request& request = m_copyRequests[{ holder, origin }];
            const bool again = request.askedAt == wall_time() || m_now >= request.askedAt + m_settings.retryAfter;
            if (request.answered || !again)
                continue;
            request.askedAt = m_now;
            pull.copies.push_back(origin);
            pull.positions.push_back({ origin, markOf(origin) });
        }
        if (!pull.copies.empty())
            out.emplace_back(std::move(pull));
    }
}

bool usage_closer::gathered() const
{
    if (!m_keptRead || m_answered.size() != m_live.size())
        return false;
    return std::all_of(m_copyRequests.begin(), m_copyRequests.end(), [](const auto& request) { return request.second.answered; });
}

void usage_closer::onPull(const pull_usage& asked, const result<pull_answer>& answer)
{
    if (m_phase != phase::Gathering || !answer || asked.window != m_window || answer->from.instance != asked.instance)
        return;
    // Step 1. Figures.
    takeAll(answer->batches);
    // Step 2. Which copies it holds, and which of those asked for are told.
    auto& held = m_holders[asked.instance];
    held.clear();
    for (const usage_position& position : answer->held)
        held[position.origin] = position.next;
    for (const usage_origin& origin : asked.copies)
        m_copyRequests[{ asked.instance, origin }].answered = true;
    // Step 3. Whether it told all of the window.
    if (answer->closedThrough && *answer->closedThrough >= m_window)
        m_answered[asked.instance] = answer->from;
}

void usage_closer::takeAll(const std::vector<usage_batch>& batches)
{
    std::map<usage_origin, std::vector<usage_batch>> byOrigin;
    for (const usage_batch& batch : batches)
        byOrigin[batch.origin].push_back(batch);
    for (const auto& [origin, chain] : byOrigin)
        take(origin, chain);
}

// Keeps the longest gapless chain of batches that starts at the origin's mark.
void usage_closer::take(const usage_origin& origin, const std::vector<usage_batch>& chain)
{
    segment_number next = markOf(origin);
    std::vector<usage_batch> fresh;
    for (const usage_batch& batch : chain) {
        if (batch.next <= next)
            continue; // sealed before
        // An origin whose mark was dropped has been silent for longer than any copy is kept.
        const bool tooOld = batch.window.value() + 2 * m_settings.usage.copyRetention <= m_window.value();
        if (batch.first != next || batch.window > m_window || tooOld)
            break;
        next = batch.next;
        fresh.push_back(batch);
    }
    if (fresh.empty())
        return;
    std::vector<usage_batch>& known = m_chains[origin];
    if (known.empty() || known.back().next < next)
        known = std::move(fresh);
}

segment_number usage_closer::markOf(const usage_origin& origin) const
{
    const auto mark = m_included.find(origin);
    return mark == m_included.end() ? segment_number() : mark->second.next;
}

std::vector<usage_position> usage_closer::positionsFor(const instance_id& instance) const
{
    std::vector<usage_position> positions;
    // Step 1. Its own incarnations.
    for (auto it = m_included.lower_bound({ instance, incarnation() }); it != m_included.end(); ++it) {
        if (it->first.instance != instance)
            break;
        positions.push_back({ it->first, it->second.next });
    }
    // Step 2. Copies that it holds, so that it can drop what is sealed.
    const auto held = m_holders.find(instance);
    if (held == m_holders.end())
        return positions;
    for (const auto& [origin, next] : held->second) {
        if (markOf(origin) != segment_number())
            positions.push_back({ origin, markOf(origin) });
    }
    return positions;
}

sealed_window usage_closer::build() const
{
    sealed_window sealed;
    sealed.window = m_window;
    sealed.included = m_included;
    std::map<target_id, target_usage> targets;
    // Step 1. Figures, and how far they reach.
    for (const auto& [origin, chain] : m_chains) {
        for (const usage_batch& batch : chain) {
            addBatch(sealed, batch);
            for (const auto& [target, usage] : batch.figures.targets)
                targets[target] += usage;
        }
        sealed.included[origin] = { chain.back().next, m_window };
    }
    // Step 2. Who was heard of; marks of origins long silent go.
    const auto hear = [this, &sealed](const usage_origin& origin) {
        const auto mark = sealed.included.find(origin);
        if (mark != sealed.included.end())
            mark->second.heard = m_window;
    };
    for (const auto& [instance, origin] : m_answered)
        hear(origin);
    for (const auto& [holder, origins] : m_holders) {
        for (const auto& [origin, next] : origins)
            hear(origin);
    }
    const std::uint64_t silence = 2 * m_settings.usage.copyRetention;
    std::erase_if(sealed.included, [this, silence](const auto& item) { return item.second.heard.value() + silence < m_window.value(); });
    // Step 3. Checks and who is missing.
    compareSums(sealed, targets);
    for (const instance_id& instance : m_live) {
        if (!m_answered.contains(instance))
            sealed.missing.push_back(instance);
    }
    return sealed;
}

void usage_closer::seal(actions& out)
{
    commit_entries commit;
    // Step 1. Create-only, and only on top of the window before: a write that was
    // held up until both are removed finds neither.
    commit.mustNotExist.push_back(detail::sealedKey(m_window, 0));
    if (m_first) {
        commit.mustNotExist.emplace_back(floorKey);
        commit.puts.push_back({ std::string(floorKey), detail::windowText(m_window) });
    } else {
        commit.mustExist.push_back(detail::sealedKey(window_number(m_window.value() - 1), 0));
    }
    // Step 2. All parts in one transaction.
    const std::string text = encodeSealed(build());
    const std::size_t limit = m_settings.valueLimit.count();
    for (std::size_t part = 0; part * limit < text.size(); ++part)
        commit.puts.push_back({ detail::sealedKey(m_window, part), text.substr(part * limit, limit) });
    m_phase = phase::Sealing;
    out.emplace_back(std::move(commit));
}

void usage_closer::onCommit(const commit_entries& commit, commit_outcome outcome)
{
    // Step 1. Marks of reports.
    const auto marked = windowOfKey(commit.puts.back().key, reportedPrefix);
    if (marked) {
        const auto state = m_reports.find(*marked);
        if (state != m_reports.end())
            state->second.onMark(outcome, m_now + m_settings.retryAfter);
        return;
    }
    // Step 2. The seal. Only what stands in the service counts.
    if (m_phase != phase::Sealing || windowOfKey(commit.puts.back().key, sealedPrefix) != m_window)
        return;
    if (outcome == commit_outcome::Unavailable) {
        m_phase = phase::Gathering;
        m_commitAgain = m_now + m_settings.retryAfter;
        return;
    }
    if (outcome != commit_outcome::Done) {
        m_phase = phase::Checking;
        return;
    }
    std::vector<key_text> parts = commit.puts;
    std::erase_if(parts, [](const key_text& entry) { return entry.key == floorKey; });
    const auto sealed = joinParts(parts);
    assert(sealed);
    m_marks[m_window] = { 0, false };
    adopt(*sealed);
}

// Finds out what stands after a conflict or a lost answer.
void usage_closer::check(actions& out)
{
    const auto parts = read(detail::sealedFolder(m_window), false, out);
    if (!parts)
        return;
    if (parts->empty()) {
        m_first = false;
        restart();
        return;
    }
    if (const auto sealed = decode(m_window, *parts))
        adopt(*sealed);
}

// What can't be decoded is counted and read again after a while.
std::optional<sealed_window> usage_closer::decode(window_number window, const std::vector<key_text>& parts)
{
    auto sealed = joinParts(parts);
    if (sealed && sealed->window == window)
        return std::move(*sealed);
    ++m_status.corrupt;
    m_reading[detail::sealedFolder(window)] = m_now;
    return std::nullopt;
}

// Goes on from a window that stands in the service.
void usage_closer::adopt(const sealed_window& sealed)
{
    m_first = false;
    m_sealed.insert(sealed.window);
    m_marks.try_emplace(sealed.window, 0, false);
    m_included = sealed.included;
    m_status.sealed = sealed.window;
    m_status.differences += sealed.differenceCount;
    m_window = sealed.window.next();
    m_chains.clear();
    m_phase = phase::Waiting;
    // Spare reading it again, if its turn has come.
    if (!m_marks[sealed.window].second && m_reports.size() < windowsReporting)
        prepareReports(sealed);
}

void usage_closer::report(actions& out)
{
    // Step 1. Load the oldest sealed windows that aren't wholly reported.
    for (const window_number window : m_sealed) {
        if (m_reports.size() >= windowsReporting)
            break;
        const auto mark = m_marks.try_emplace(window, 0, false).first->second;
        if (mark.second || m_reports.contains(window))
            continue;
        const auto parts = read(detail::sealedFolder(window), false, out);
        if (!parts)
            break;
        if (parts->empty()) {
            // Removed by a closer before us, so wholly reported.
            m_marks[window] = { 0, true };
            continue;
        }
        const auto sealed = decode(window, *parts);
        if (!sealed)
            break;
        prepareReports(*sealed);
    }
    // Step 2. Send, and forget what is done.
    for (auto it = m_reports.begin(); it != m_reports.end();) {
        it->second.send(m_now, m_settings, out);
        if (!it->second.finished()) {
            ++it;
            continue;
        }
        m_marks[it->first].second = true;
        it = m_reports.erase(it);
    }
    removeOld(out);
}

void usage_closer::prepareReports(const sealed_window& sealed)
{
    std::vector<report_usage> reports = reportsOf(sealed, m_term);
    auto& mark = m_marks[sealed.window];
    if (reports.empty())
        mark = { 0, true }; // nothing to tell
    else
        m_reports.try_emplace(sealed.window, std::move(reports), mark.first);
}

// Removes the oldest windows, in one range so that none goes before an older one.
void usage_closer::removeOld(actions& out)
{
    std::optional<window_number> last;
    for (const window_number window : m_sealed) {
        const bool old = window.value() + m_settings.keepWindows < m_sealed.rbegin()->value();
        if (!old || !m_marks[window].second)
            break;
        last = window;
    }
    if (!last)
        return;
    const window_number end = last->next();
    out.emplace_back(remove_range { std::string(sealedPrefix), detail::sealedFolder(end) });
    out.emplace_back(remove_range { std::string(reportedPrefix), detail::reportedKey(end) });
    m_sealed.erase(m_sealed.begin(), m_sealed.lower_bound(end));
    m_marks.erase(m_marks.begin(), m_marks.lower_bound(end));
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
