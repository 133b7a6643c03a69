// Usage counter, segment log, and copies of other instances' segment logs.
#include "usage.h"

#include <algorithm>
#include <cassert>
#include <xxhash.h>

namespace lovagerail {
namespace {

    // Kinds of remembered events, mixed into the hash of the event's request id.
    enum class event_kind : std::uint64_t {
        Attempt,
        ChargedRequest,
        RefusedRequest,
    };

    std::uint64_t eventHash(event_kind kind, const request_id& request, attempt_id attempt)
    {
        const std::uint64_t seed = attempt.value() * 4 + static_cast<std::uint64_t>(kind);
        return XXH64(request.str().data(), request.str().size(), seed);
    }

    usage_figures withoutRequestCounts(const usage_figures& figures)
    {
        usage_figures amounts = figures;
        amounts.requests = 0;
        amounts.refused = 0;
        return amounts;
    }

    bool endsRequest(usage_heading heading)
    {
        return heading == usage_heading::Ended || heading == usage_heading::Cancelled || heading == usage_heading::Died;
    }

    usage_ledger ledgerOf(const attempt_usage& event, usage_heading heading)
    {
        usage_ledger ledger;
        // Step 1. By account. The repeated prefill of a resumed answer is not charged.
        usage_key key { event.account, event.model, event.version, event.pool, heading };
        usage_figures charged = withoutRequestCounts(event.counted);
        if (event.continuesAnswer && heading != usage_heading::Retried) {
            usage_figures repeated;
            std::swap(repeated.prefilled, charged.prefilled);
            std::swap(repeated.cached, charged.cached);
            usage_key unchargedKey = key;
            unchargedKey.heading = usage_heading::Retried;
            ledger.accounts[unchargedKey] += repeated;
        }
        charged.requests = endsRequest(heading) ? 1 : 0;
        ledger.accounts[key] += charged;
        // Step 2. By target, with its own report where it sends one.
        target_usage& target = ledger.targets[event.target];
        target.counted = withoutRequestCounts(event.counted);
        target.reported = withoutRequestCounts(event.reportedByTarget.value_or(event.counted));
        target.reported.targetTime = event.counted.targetTime; // targets report only tokens
        return ledger;
    }

} // namespace

window_number windowOf(wall_time now, const usage_settings& settings)
{
    const auto sinceEpoch = std::max(now.time_since_epoch(), std::chrono::milliseconds(0));
    return window_number(static_cast<std::uint64_t>(sinceEpoch / settings.windowLength));
}

wall_time windowEnd(window_number window, const usage_settings& settings)
{
    return wall_time(settings.windowLength * static_cast<std::int64_t>(window.value() + 1));
}

std::string_view toString(usage_heading heading)
{
    switch (heading) {
    case usage_heading::Ended:
        return "ended";
    case usage_heading::Cancelled:
        return "cancelled";
    case usage_heading::Died:
        return "died";
    case usage_heading::Resumed:
        return "resumed";
    case usage_heading::Retried:
        return "retried";
    case usage_heading::Refused:
        return "refused";
    }
    return "unknown";
}

bool isCharged(usage_heading heading)
{
    return heading != usage_heading::Retried && heading != usage_heading::Refused;
}

usage_figures& usage_figures::operator+=(const usage_figures& other)
{
    requests += other.requests;
    refused += other.refused;
    prefilled += other.prefilled;
    cached += other.cached;
    generated += other.generated;
    targetTime += other.targetTime;
    return *this;
}

target_usage& target_usage::operator+=(const target_usage& other)
{
    counted += other.counted;
    reported += other.reported;
    return *this;
}

usage_ledger& usage_ledger::operator+=(const usage_ledger& other)
{
    for (const auto& [key, figures] : other.accounts)
        accounts[key] += figures;
    for (const auto& [target, figures] : other.targets)
        targets[target] += figures;
    return *this;
}

void segment_log::add(const usage_batch& segment)
{
    assert(segment.next == segment.first.next());
    if (segment.first != m_next)
        return;
    m_segments.emplace(segment.first, segment);
    m_next = segment.next;
}

std::vector<usage_batch> segment_log::batches(segment_number from, window_number last) const
{
    std::vector<usage_batch> sums;
    for (auto it = m_segments.lower_bound(from); it != m_segments.end(); ++it) {
        const usage_batch& segment = it->second;
        if (segment.window > last)
            break; // windows never decrease within an origin
        if (sums.empty() || sums.back().window != segment.window) {
            sums.push_back(segment);
            continue;
        }
        sums.back().next = segment.next;
        sums.back().figures += segment.figures;
    }
    if (!sums.empty())
        sums.front().first = from;
    return sums;
}

void segment_log::dropBelow(segment_number sealed)
{
    m_segments.erase(m_segments.begin(), m_segments.lower_bound(sealed));
    m_next = std::max(m_next, sealed);
}

std::size_t segment_log::dropWindowsBefore(window_number oldest)
{
    std::size_t dropped = 0;
    while (!m_segments.empty() && m_segments.begin()->second.window < oldest) {
        m_segments.erase(m_segments.begin());
        ++dropped;
    }
    return dropped;
}

usage_counter::usage_counter(usage_origin self, usage_settings settings)
    : m_self(std::move(self))
    , m_settings(settings)
{
    assert(m_settings.windowLength.count() > 0);
}

bool usage_counter::count(const attempt_usage& event, wall_time now)
{
    // Step 1. An attempt is counted once, however often its end is reported.
    if (!isFirstOccurrence(eventHash(event_kind::Attempt, event.request, event.attempt))) {
        ++m_duplicates;
        return false;
    }
    // Step 2. A request is charged once. A second attempt that also ran to its end is
    // counted as retried, which is not charged.
    usage_heading heading = event.heading;
    if (endsRequest(heading) && !isFirstOccurrence(eventHash(event_kind::ChargedRequest, event.request, attempt_id())))
        heading = usage_heading::Retried;
    // Step 3. Add it to the segment of the window in which it ended.
    advanceTo(now);
    m_open += ledgerOf(event, heading);
    return true;
}

bool usage_counter::count(const refused_usage& event, wall_time now)
{
    if (!isFirstOccurrence(eventHash(event_kind::RefusedRequest, event.request, attempt_id()))) {
        ++m_duplicates;
        return false;
    }
    advanceTo(now);
    usage_key key { event.account, event.model, weight_version(), event.pool, usage_heading::Refused };
    ++m_open.accounts[key].refused;
    return true;
}

// False if the event was already seen in the current or the previous generation.
bool usage_counter::isFirstOccurrence(std::uint64_t event)
{
    if (m_seenPrevious.contains(event) || !m_seen.insert(event).second)
        return false;
    if (m_seen.size() >= m_settings.rememberedEvents) {
        m_seenPrevious.swap(m_seen);
        m_seen.clear();
    }
    return true;
}

// Closes the open segment if its window has ended.
void usage_counter::advanceTo(wall_time now)
{
    const window_number window = windowOf(now, m_settings);
    if (window <= m_window)
        return;
    closeOpenSegment();
    m_window = window;
    if (window.value() > m_settings.copyRetention)
        m_expiredSegments += m_log.dropWindowsBefore(window_number(window.value() - m_settings.copyRetention));
}

void usage_counter::closeOpenSegment()
{
    if (m_open.empty())
        return;
    usage_batch segment { m_self, m_log.next(), m_log.next().next(), m_window, std::move(m_open) };
    m_open = {};
    m_log.add(segment);
    m_closedSegments.push_back(std::move(segment));
}

std::vector<usage_batch> usage_counter::closeSegment(wall_time now)
{
    advanceTo(now);
    closeOpenSegment();
    return std::exchange(m_closedSegments, {});
}

std::vector<usage_batch> usage_counter::batches(segment_number from, window_number last) const
{
    return m_log.batches(from, last);
}

std::optional<window_number> usage_counter::closedThrough(wall_time now) const
{
    const window_number calendar = windowOf(now, m_settings);
    // The open segment belongs to m_window, so this window is not closed while it has counts.
    const window_number openWindow = m_open.empty() ? std::max(m_window, calendar) : m_window;
    if (openWindow.value() == 0)
        return std::nullopt;
    return window_number(openWindow.value() - 1);
}

std::map<instance_id, copy_push> copy_sender::nextPushes(const usage_origin& self, const segment_log& log, const std::vector<instance_id>& holders)
{
    constexpr std::size_t segmentsPerPush = 64;
    std::map<instance_id, progress> current;
    std::map<instance_id, copy_push> pushes;
    for (const instance_id& holder : holders) {
        progress& state = current[holder];
        if (const auto found = m_holders.find(holder); found != m_holders.end())
            state = found->second;
        state.next = std::max(state.next, log.start());
        if (state.inFlight || state.next >= log.next())
            continue;
        copy_push push { self, log.start(), {} };
        for (auto it = log.segments().lower_bound(state.next); it != log.segments().end(); ++it) {
            if (push.segments.size() == segmentsPerPush)
                break;
            push.segments.push_back(it->second);
        }
        state.inFlight = true;
        pushes.emplace(holder, std::move(push));
    }
    m_holders = std::move(current);
    return pushes;
}

void copy_sender::acknowledged(const instance_id& holder, segment_number next)
{
    const auto found = m_holders.find(holder);
    if (found == m_holders.end())
        return;
    found->second = { next, false };
}

void copy_sender::failed(const instance_id& holder)
{
    const auto found = m_holders.find(holder);
    if (found != m_holders.end())
        found->second.inFlight = false;
}

usage_copies::usage_copies(usage_settings settings)
    : m_settings(settings)
{
}

segment_number usage_copies::add(const copy_push& push, wall_time now)
{
    origin_copies& copy = m_logs[push.origin];
    copy.lastPush = std::max(copy.lastPush, windowOf(now, m_settings));
    copy.log.dropBelow(push.unsealedFrom);
    for (const usage_batch& segment : push.segments) {
        if (segment.origin != push.origin)
            continue;
        copy.log.add(segment);
    }
    return copy.log.next();
}

std::vector<usage_position> usage_copies::held() const
{
    std::vector<usage_position> positions;
    for (const auto& [origin, copy] : m_logs)
        positions.push_back({ origin, copy.log.next() });
    return positions;
}

// Empty if segments between `from` and the log's start are missing: a batch with a gap
// would lose counts.
std::vector<usage_batch> usage_copies::batches(const usage_origin& origin, segment_number from, window_number last) const
{
    const auto found = m_logs.find(origin);
    if (found == m_logs.end() || found->second.log.start() > from)
        return {};
    return found->second.log.batches(from, last);
}

void usage_copies::dropBelow(const usage_position& sealed)
{
    const auto found = m_logs.find(sealed.origin);
    if (found != m_logs.end())
        found->second.log.dropBelow(sealed.next);
}

void usage_copies::expire(wall_time now)
{
    const window_number window = windowOf(now, m_settings);
    if (window.value() <= m_settings.copyRetention)
        return;
    const window_number oldest(window.value() - m_settings.copyRetention);
    for (auto it = m_logs.begin(); it != m_logs.end();) {
        origin_copies& copy = it->second;
        copy.log.dropWindowsBefore(oldest);
        const bool idle = copy.log.segments().empty() && copy.lastPush < oldest;
        it = idle ? m_logs.erase(it) : std::next(it);
    }
}

std::vector<instance_id> copyHolders(const copy_candidate& self, const std::vector<copy_candidate>& live, std::size_t copies)
{
    struct ranked {
        bool sameDomain;
        std::uint64_t weight;
        instance_id instance;
    };
    std::vector<ranked> others;
    for (const copy_candidate& candidate : live) {
        if (candidate.instance == self.instance)
            continue;
        const std::uint64_t seed = XXH64(self.instance.str().data(), self.instance.str().size(), 0);
        const std::string& name = candidate.instance.str();
        others.push_back({ candidate.failureDomain == self.failureDomain, XXH64(name.data(), name.size(), seed), candidate.instance });
    }
    std::sort(others.begin(), others.end(), [](const ranked& left, const ranked& right) {
        return std::tie(left.sameDomain, left.weight, left.instance) < std::tie(right.sameDomain, right.weight, right.instance);
    });
    std::vector<instance_id> holders;
    for (const ranked& other : others) {
        if (holders.size() == copies)
            break;
        holders.push_back(other.instance);
    }
    return holders;
}

} // namespace lovagerail
