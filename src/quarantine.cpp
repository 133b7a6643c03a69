// Marks of suspects: learning, merging and judging.
#include "quarantine.h"

#include <algorithm>
#include <cassert>
#include <charconv>
#include <xxhash.h>

namespace lovagerail {

namespace {

    constexpr int hexBase = 16;

    wall_time later(wall_time now, duration by)
    {
        return now + std::chrono::duration_cast<std::chrono::milliseconds>(by);
    }

    std::string hexText(std::uint64_t value)
    {
        char text[hexBase];
        const auto end = std::to_chars(text, text + sizeof text, value, hexBase).ptr;
        return { text, end };
    }

    bool parseMark(const Json::Value& row, blame_mark& out)
    {
        if (!row.isObject() || !row["of"].isString() || !row["target"].isString() || !row["incarnation"].isUInt64()
            || !row["run"].isString() || !row["until_ms"].isInt64() || !row["cleared"].isBool())
            return false;
        const auto text = row["of"].asString();
        std::uint64_t value = 0;
        const auto read = std::from_chars(text.data(), text.data() + text.size(), value, hexBase);
        if (read.ec != std::errc() || read.ptr != text.data() + text.size())
            return false;
        out.of = request_fingerprint(value);
        out.by = { target_id(row["target"].asString()), incarnation(row["incarnation"].asUInt64()), row["run"].asString() };
        out.until = wall_time(std::chrono::milliseconds(row["until_ms"].asInt64()));
        out.cleared = row["cleared"].asBool();
        return true;
    }

} // namespace

// Each part is hashed under the hash of the parts before it, so that no two
// different requests join to the same text.
request_fingerprint fingerprintOf(const client_account_id& account, std::string_view method, std::string_view path, std::string_view body)
{
    std::uint64_t hash = XXH64(account.str().data(), account.str().size(), 0);
    for (const auto part : { method, path, body })
        hash = XXH64(part.data(), part.size(), hash);
    return request_fingerprint(hash);
}

Json::Value toJson(const std::vector<blame_mark>& marks)
{
    Json::Value out(Json::arrayValue);
    for (const auto& mark : marks) {
        Json::Value row;
        row["of"] = hexText(mark.of.value());
        row["target"] = mark.by.target.str();
        row["incarnation"] = Json::UInt64(mark.by.incarnation.value());
        row["run"] = mark.by.suspectRun;
        row["until_ms"] = Json::Int64(mark.until.time_since_epoch().count());
        row["cleared"] = mark.cleared;
        out.append(std::move(row));
    }
    return out;
}

std::vector<blame_mark> blameMarksFromJson(const Json::Value& value)
{
    std::vector<blame_mark> out;
    if (!value.isArray())
        return out;
    for (const auto& row : value) {
        blame_mark mark;
        if (parseMark(row, mark))
            out.push_back(std::move(mark));
    }
    return out;
}

quarantine::quarantine(quarantine_settings settings)
    : m_settings(settings)
{
}

// Deaths that count against a request now.
// Blames that count at a time, and whether one is from a run as a suspect.
quarantine::blame_count quarantine::blames(request_fingerprint of, wall_time at) const
{
    blame_count count;
    const auto found = m_suspects.find(of);
    if (found == m_suspects.end())
        return count;
    for (const auto& [by, state] : found->second) {
        if (state.cleared || state.until <= at)
            continue;
        ++count.all;
        count.apart = count.apart || !by.suspectRun.empty();
    }
    return count;
}

// Deaths in the company of other requests make a suspect; only one that it died
// in apart from them refuses it. So copies that ran side by side, such as the
// samples of one prompt, aren't refused when two of their targets die of themselves.
bool quarantine::isRefused(request_fingerprint of, wall_time at) const
{
    const auto count = blames(of, at);
    return count.all >= m_settings.blamesToRefuse && count.apart;
}

quarantine_verdict quarantine::judge(request_fingerprint of, wall_time now) const
{
    if (blames(of, now).all == 0)
        return quarantine_verdict::Clear;
    if (isRefused(of, now))
        return quarantine_verdict::Refused;
    return m_running.contains(of) ? quarantine_verdict::Wait : quarantine_verdict::RunAlone;
}

// The first end of a blame at which it is not refused any more.
duration quarantine::retryAfter(request_fingerprint of, wall_time now) const
{
    const auto found = m_suspects.find(of);
    if (found == m_suspects.end() || !isRefused(of, now))
        return duration::zero();
    std::vector<wall_time> ends;
    for (const auto& [by, state] : found->second) {
        if (!state.cleared && state.until > now)
            ends.push_back(state.until);
    }
    std::sort(ends.begin(), ends.end());
    for (const auto end : ends) {
        if (!isRefused(of, end))
            return end - now;
    }
    return duration::zero();
}

void quarantine::suspectBegan(request_fingerprint of, const target_id& target)
{
    assert(!m_running.contains(of));
    m_running.emplace(of, target);
}

void quarantine::suspectEnded(request_fingerprint of)
{
    m_running.erase(of);
}

std::vector<target_id> quarantine::occupied() const
{
    std::vector<target_id> out;
    for (const auto& [of, target] : m_running)
        out.push_back(target);
    return out;
}

// Takes in one mark; true if it told anything new.
bool quarantine::merge(const blame_mark& mark)
{
    auto& marks = m_suspects[mark.of];
    const auto [at, isNew] = marks.try_emplace(mark.by, mark_state { mark.until, mark.cleared });
    if (isNew) {
        m_byTarget[mark.by.target].emplace(mark.by, mark.of);
        m_byEnd.emplace(mark.until, mark.of, mark.by);
        return true;
    }
    auto& state = at->second;
    const bool changed = mark.until > state.until || (mark.cleared && !state.cleared);
    if (mark.until > state.until) {
        m_byEnd.erase({ state.until, mark.of, mark.by });
        m_byEnd.emplace(mark.until, mark.of, mark.by);
        state.until = mark.until;
    }
    state.cleared = state.cleared || mark.cleared;
    return changed;
}

// Merges a mark of our own and keeps it as news.
void quarantine::learn(const blame_mark& mark)
{
    if (!merge(mark))
        return;
    m_news.push_back(mark);
    if (m_news.size() > m_settings.mostNews)
        m_news.pop_front();
}

void quarantine::broke(request_fingerprint of, const target_id& target, incarnation life, const std::string& suspectRun, wall_time now)
{
    const blame_id by { target, life, suspectRun };
    learn({ of, by, later(now, m_settings.unconfirmed), false });

    // Two different requests that broke at one incarnation confirm its death.
    const auto& there = m_byTarget[target];
    for (const auto& [blame, other] : there) {
        if (blame.incarnation == life && other != of) {
            died(target, life, now);
            break;
        }
    }
    dropOld(now);
}

// Gives a blame the time of a confirmed death.
void quarantine::confirm(request_fingerprint of, const blame_id& by, wall_time now)
{
    const auto& state = m_suspects.at(of).at(by);
    if (state.until <= now || state.cleared)
        return;
    // Confirmed once: news that repeats it must not extend it for ever.
    if (state.until > later(now, m_settings.unconfirmed))
        return;
    learn({ of, by, later(now, m_settings.confirmed), false });
}

void quarantine::died(const target_id& target, incarnation life, wall_time now)
{
    const auto found = m_byTarget.find(target);
    if (found == m_byTarget.end())
        return;
    const auto there = found->second; // confirm() may reorder marks
    for (const auto& [by, of] : there) {
        if (by.incarnation == life)
            confirm(of, by, now);
    }
}

void quarantine::seen(const target_id& target, incarnation life, wall_time now)
{
    const auto found = m_byTarget.find(target);
    if (found == m_byTarget.end())
        return;
    const auto there = found->second;
    for (const auto& [by, of] : there) {
        if (by.incarnation < life)
            confirm(of, by, now);
    }
}

std::vector<target_id> quarantine::blamedTargets() const
{
    std::vector<target_id> out;
    for (const auto& [target, marks] : m_byTarget)
        out.push_back(target);
    return out;
}

void quarantine::completed(request_fingerprint of, wall_time now)
{
    const auto found = m_suspects.find(of);
    if (found == m_suspects.end())
        return;
    const auto marks = found->second;
    for (const auto& [by, state] : marks) {
        if (!state.cleared && state.until > now)
            learn({ of, by, state.until, true });
    }
}

std::vector<blame_mark> quarantine::news()
{
    std::vector<blame_mark> out(m_news.begin(), m_news.end());
    m_news.clear();
    return out;
}

// Marks whose time is over are not taken in, so an old mark can't go round for ever.
std::vector<blame_mark> quarantine::onNews(const std::vector<blame_mark>& marks, wall_time now)
{
    std::vector<blame_mark> fresh;
    const auto latest = later(now, m_settings.confirmed + m_settings.unconfirmed);
    for (auto mark : marks) {
        if (mark.until <= now)
            continue;
        mark.until = std::min(mark.until, latest); // a clock far ahead blames nobody for good
        if (merge(mark))
            fresh.push_back(mark);
    }
    dropOld(now);
    return fresh;
}

std::vector<blame_mark> quarantine::marks() const
{
    std::vector<blame_mark> out;
    for (const auto& [of, marks] : m_suspects) {
        for (const auto& [by, state] : marks)
            out.push_back({ of, by, state.until, state.cleared });
    }
    return out;
}

void quarantine::erase(request_fingerprint of, const blame_id& by)
{
    const auto suspect = m_suspects.find(of);
    suspect->second.erase(by);
    if (suspect->second.empty())
        m_suspects.erase(suspect);
    const auto target = m_byTarget.find(by.target);
    target->second.erase({ by, of });
    if (target->second.empty())
        m_byTarget.erase(target);
}

void quarantine::dropOld(wall_time now)
{
    while (!m_byEnd.empty() && (std::get<0>(*m_byEnd.begin()) <= now || m_byEnd.size() > m_settings.mostMarks)) {
        const auto [until, of, by] = *m_byEnd.begin();
        m_byEnd.erase(m_byEnd.begin());
        erase(of, by);
    }
}

} // namespace lovagerail
