// Recording, merging and expiring of blame marks, and the verdicts derived from them.
#include "quarantine.h"

#include <algorithm>
#include <cassert>
#include <charconv>
#include <xxhash.h>

namespace lovagerail {

namespace {

    constexpr int hexBase = 16;

    wall_time expiryAfter(wall_time now, duration lifetime)
    {
        return now + std::chrono::duration_cast<std::chrono::milliseconds>(lifetime);
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
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value, hexBase);
        if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
            return false;
        out.request = request_fingerprint(value);
        out.blame = { target_id(row["target"].asString()), incarnation(row["incarnation"].asUInt64()), row["run"].asString() };
        out.until = wall_time(std::chrono::milliseconds(row["until_ms"].asInt64()));
        out.cleared = row["cleared"].asBool();
        return true;
    }

} // namespace

// Each part is hashed with the previous hash as its seed instead of concatenating the
// parts, so that moving bytes between neighbouring parts gives another fingerprint.
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
        row["of"] = hexText(mark.request.value());
        row["target"] = mark.blame.target.str();
        row["incarnation"] = Json::UInt64(mark.blame.incarnation.value());
        row["run"] = mark.blame.isolatedAttempt;
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

// Counts the blames that are in force at the given time, and whether one of them comes
// from an isolated run.
quarantine::blame_count quarantine::countBlames(request_fingerprint request, wall_time at) const
{
    blame_count count;
    const auto found = m_suspects.find(request);
    if (found == m_suspects.end())
        return count;
    for (const auto& [blame, state] : found->second) {
        if (state.cleared || state.until <= at)
            continue;
        ++count.all;
        count.fromIsolatedRun = count.fromIsolatedRun || !blame.isolatedAttempt.empty();
    }
    return count;
}

// Crashes during shared runs only make a request a suspect; quarantining it takes at
// least one crash during an isolated run. Otherwise concurrent copies of one request,
// such as the samples of one prompt, would be refused as soon as two of their targets
// crash for unrelated reasons.
bool quarantine::isQuarantined(request_fingerprint request, wall_time at) const
{
    const auto count = countBlames(request, at);
    return count.all >= m_settings.crashesToQuarantine && count.fromIsolatedRun;
}

quarantine_verdict quarantine::verdictFor(request_fingerprint request, wall_time now, bool isOwed) const
{
    if (countBlames(request, now).all == 0)
        return quarantine_verdict::Clear;
    if (!isOwed && isQuarantined(request, now))
        return quarantine_verdict::Refused;
    return m_isolatedRuns.contains(request) ? quarantine_verdict::Wait : quarantine_verdict::RunIsolated;
}

// Finds the first expiry of a blame after which the request is not quarantined any more.
duration quarantine::retryAfter(request_fingerprint request, wall_time now) const
{
    const auto found = m_suspects.find(request);
    if (found == m_suspects.end() || !isQuarantined(request, now))
        return duration::zero();
    std::vector<wall_time> ends;
    for (const auto& [blame, state] : found->second) {
        if (!state.cleared && state.until > now)
            ends.push_back(state.until);
    }
    std::sort(ends.begin(), ends.end());
    for (const auto end : ends) {
        if (!isQuarantined(request, end))
            return end - now;
    }
    return duration::zero();
}

void quarantine::isolatedRunStarted(request_fingerprint request, const target_id& target)
{
    assert(!m_isolatedRuns.contains(request));
    m_isolatedRuns.emplace(request, target);
}

void quarantine::isolatedRunEnded(request_fingerprint request)
{
    m_isolatedRuns.erase(request);
}

std::vector<target_id> quarantine::isolatedTargets() const
{
    std::vector<target_id> out;
    for (const auto& [request, target] : m_isolatedRuns)
        out.push_back(target);
    return out;
}

// Merges one mark; true if it changed anything.
bool quarantine::mergeMark(const blame_mark& mark)
{
    auto& marks = m_suspects[mark.request];
    const auto [entry, isNew] = marks.try_emplace(mark.blame, mark_state { mark.until, mark.cleared });
    if (isNew) {
        m_byTarget[mark.blame.target].emplace(mark.blame, mark.request);
        m_byExpiry.emplace(mark.until, mark.request, mark.blame);
        return true;
    }
    auto& state = entry->second;
    const bool changed = mark.until > state.until || (mark.cleared && !state.cleared);
    if (mark.until > state.until) {
        m_byExpiry.erase({ state.until, mark.request, mark.blame });
        m_byExpiry.emplace(mark.until, mark.request, mark.blame);
        state.until = mark.until;
    }
    state.cleared = state.cleared || mark.cleared;
    return changed;
}

// Merges a mark made by this instance and queues it for the other instances.
void quarantine::recordMark(const blame_mark& mark)
{
    if (!mergeMark(mark))
        return;
    m_pendingChanges.push_back(mark);
    if (m_pendingChanges.size() > m_settings.maxPendingChanges)
        m_pendingChanges.pop_front();
}

void quarantine::attemptBroke(request_fingerprint request, const target_id& target, incarnation targetIncarnation, const std::string& isolatedAttempt, wall_time now)
{
    const blame_id blame { target, targetIncarnation, isolatedAttempt };
    recordMark({ request, blame, expiryAfter(now, m_settings.unconfirmedLifetime), false });

    // Two different requests that broke off at one incarnation confirm its crash.
    const auto& blamesAtTarget = m_byTarget[target];
    for (const auto& [existing, otherRequest] : blamesAtTarget) {
        if (existing.incarnation == targetIncarnation && otherRequest != request) {
            targetCrashed(target, targetIncarnation, now);
            break;
        }
    }
    dropExpired(now);
}

void quarantine::withdraw(request_fingerprint request, const blame_id& blame, wall_time now)
{
    const auto found = m_suspects.find(request);
    if (found == m_suspects.end())
        return;
    const auto mark = found->second.find(blame);
    if (mark != found->second.end() && !mark->second.cleared && mark->second.until > now)
        recordMark({ request, blame, mark->second.until, true });
}

// Extends a blame to the lifetime of a confirmed crash.
void quarantine::confirmBlame(request_fingerprint request, const blame_id& blame, wall_time now)
{
    const auto& state = m_suspects.at(request).at(blame);
    if (state.until <= now || state.cleared)
        return;
    // Confirmed before: repeated confirmations must not extend it for ever.
    if (state.until > expiryAfter(now, m_settings.unconfirmedLifetime))
        return;
    recordMark({ request, blame, expiryAfter(now, m_settings.confirmedLifetime), false });
}

void quarantine::targetCrashed(const target_id& target, incarnation targetIncarnation, wall_time now)
{
    const auto found = m_byTarget.find(target);
    if (found == m_byTarget.end())
        return;
    const auto blamesAtTarget = found->second; // a copy, as confirmBlame() may modify the index
    for (const auto& [blame, request] : blamesAtTarget) {
        if (blame.incarnation == targetIncarnation)
            confirmBlame(request, blame, now);
    }
}

void quarantine::incarnationSeen(const target_id& target, incarnation targetIncarnation, wall_time now)
{
    const auto found = m_byTarget.find(target);
    if (found == m_byTarget.end())
        return;
    const auto blamesAtTarget = found->second; // a copy, as confirmBlame() may modify the index
    for (const auto& [blame, request] : blamesAtTarget) {
        if (blame.incarnation < targetIncarnation)
            confirmBlame(request, blame, now);
    }
}

std::vector<target_id> quarantine::blamedTargets() const
{
    std::vector<target_id> out;
    for (const auto& [target, marks] : m_byTarget)
        out.push_back(target);
    return out;
}

void quarantine::completed(request_fingerprint request, wall_time now)
{
    const auto found = m_suspects.find(request);
    if (found == m_suspects.end())
        return;
    const auto marks = found->second;
    for (const auto& [blame, state] : marks) {
        if (!state.cleared && state.until > now)
            recordMark({ request, blame, state.until, true });
    }
}

std::vector<blame_mark> quarantine::takePendingChanges()
{
    std::vector<blame_mark> out(m_pendingChanges.begin(), m_pendingChanges.end());
    m_pendingChanges.clear();
    return out;
}

// Expired marks are ignored, so that an old mark can't circulate between instances for ever.
std::vector<blame_mark> quarantine::mergeMarks(const std::vector<blame_mark>& marks, wall_time now)
{
    std::vector<blame_mark> changedMarks;
    const auto latest = expiryAfter(now, m_settings.confirmedLifetime + m_settings.unconfirmedLifetime);
    for (auto mark : marks) {
        if (mark.until <= now)
            continue;
        mark.until = std::min(mark.until, latest); // a sender's fast clock can't blame a request for longer
        if (mergeMark(mark))
            changedMarks.push_back(mark);
    }
    dropExpired(now);
    return changedMarks;
}

std::vector<blame_mark> quarantine::marks() const
{
    std::vector<blame_mark> out;
    for (const auto& [request, marks] : m_suspects) {
        for (const auto& [blame, state] : marks)
            out.push_back({ request, blame, state.until, state.cleared });
    }
    return out;
}

void quarantine::erase(request_fingerprint request, const blame_id& blame)
{
    const auto suspect = m_suspects.find(request);
    suspect->second.erase(blame);
    if (suspect->second.empty())
        m_suspects.erase(suspect);
    const auto target = m_byTarget.find(blame.target);
    target->second.erase({ blame, request });
    if (target->second.empty())
        m_byTarget.erase(target);
}

void quarantine::dropExpired(wall_time now)
{
    while (!m_byExpiry.empty() && (std::get<0>(*m_byExpiry.begin()) <= now || m_byExpiry.size() > m_settings.maxMarks)) {
        const auto [until, request, blame] = *m_byExpiry.begin();
        m_byExpiry.erase(m_byExpiry.begin());
        erase(request, blame);
    }
}

} // namespace lovagerail
