// Own counts corrected by reports, and the two cost models; see load.h.
#include "load.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <numbers>

namespace lovagerail {

namespace {

    constexpr std::size_t mostChanges = 4096; // remembered per target
    constexpr double leastLearnedTokens = 512; // shorter prefills tell more of delays than of speed
    constexpr double ownVariance = 0.25; // of the requests at a target, beside what's unknown of others'
    constexpr double limitRate = 0.3; // weight of one report that shows a limit
    constexpr std::uint32_t waitingReportsForLimit = 3; // on end

    double toSeconds(duration span)
    {
        return std::chrono::duration<double>(span).count();
    }

    duration fromSeconds(double seconds)
    {
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
    }

    // Mean of the positive part of a normal variable: how many are expected to
    // queue when the number is known with an error.
    double expectedExcess(double mean, double deviation)
    {
        const double z = mean / deviation;
        const double density = std::exp(-z * z / 2) / std::sqrt(2 * std::numbers::pi);
        return std::max(0.0, mean * std::erfc(-z / std::numbers::sqrt2) / 2 + deviation * density);
    }

    // Time that one stream takes for a token while so many run beside it.
    double tokenSeconds(const target_speed& speed, double batch)
    {
        const double others = std::min(batch, speed.batchLimit);
        return speed.secondsPerToken * (1 + speed.batchSlowdown * others);
    }

} // namespace

load_book::load_book(load_settings settings)
    : m_settings(settings)
{
    m_unseen.speed = settings.initialSpeed;
}

void load_book::reset(target_slot slot, target_kind kind)
{
    slot_load& load = at(slot);
    const std::uint32_t generation = load.generation + 1;
    load = m_unseen;
    load.generation = generation;
    load.kind = kind;
}

// The attempt remembers what was ahead of it, so that its times can be explained
// when it ends.
void load_book::sent(attempt_id attempt, target_slot slot, request_cost cost, instant now)
{
    slot_load& load = at(slot);
    attempt_entry entry;
    entry.slot = slot;
    entry.generation = load.generation;
    entry.cost = cost;
    entry.sentAt = now;
    entry.aheadTokens = pendingPrefill(load, now);
    entry.aheadRequests = requestsNow(load, now);
    if (!m_attempts.emplace(attempt, entry).second)
        return;
    addOwn(load, 1, now);
    load.ownPrefillTokens += static_cast<double>(cost.prefill.count());
}

void load_book::firstToken(attempt_id attempt, instant now)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end() || it->second.started)
        return;
    attempt_entry& entry = it->second;
    entry.started = true;
    entry.firstTokenAt = now;
    slot_load& load = at(entry.slot);
    if (load.generation != entry.generation)
        return;
    load.ownPrefillTokens = std::max(0.0, load.ownPrefillTokens - static_cast<double>(entry.cost.prefill.count()));
    learnPrefill(load, entry, now);
}

void load_book::finished(attempt_id attempt, bool wholeAnswer, token_count generated, instant now)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end())
        return;
    const attempt_entry entry = it->second;
    m_attempts.erase(it);
    slot_load& load = at(entry.slot);
    if (load.generation != entry.generation)
        return;
    if (!entry.started)
        load.ownPrefillTokens = std::max(0.0, load.ownPrefillTokens - static_cast<double>(entry.cost.prefill.count()));
    addOwn(load, -1, now);
    if (wholeAnswer)
        learnWhole(load, entry, generated, now);
}

// Reports come late, twice and out of order: only one newer than the last taken
// counts, and it's compared with our own count at the time it was measured.
bool load_book::applyReport(target_slot slot, const load_report& report, instant now)
{
    slot_load& load = at(slot);
    if (load.reported && report.measuredAt <= load.measuredAt)
        return false;
    if (report.measuredAt < load.historyFrom || now - report.measuredAt > m_settings.historySpan)
        return false;

    // Step 1. Our own count when the report was measured.
    int ownThen = static_cast<int>(load.own);
    for (const own_change& change : load.history) {
        if (change.at > report.measuredAt)
            ownThen -= change.requests;
    }
    assert(ownThen >= 0);

    // Step 2. The rest is others' load.
    const double total = report.running + report.waiting;
    load.otherRequests = std::max(0.0, total - ownThen);
    const double weight = load.reported ? m_settings.reportWeight : 1.0;
    load.otherMean += weight * (load.otherRequests - load.otherMean);
    load.waitingShare = total > 0 ? report.waiting / total : 0;
    load.kvCacheUsage = std::clamp(report.kvCacheUsage, 0.0, 1.0);
    load.measuredAt = report.measuredAt;
    load.reported = true;

    // Step 3. Learn how many it runs at once.
    learnLimit(load, report);
    return true;
}

load_estimate load_book::estimate(target_slot slot, request_cost cost, instant now) const
{
    const slot_load& load = at(slot);
    const double wait = waitSeconds(load, now);
    load_estimate estimate;
    estimate.requests = requestsNow(load, now);
    estimate.wait = fromSeconds(wait);
    if (load.kind == target_kind::Service) {
        estimate.own = fromSeconds(load.speed.serviceSeconds);
        estimate.total = estimate.wait + estimate.own;
        return estimate;
    }
    const auto tokens = static_cast<double>(cost.decode.count());
    const double decode = tokens * tokenSeconds(load.speed, estimate.requests);
    estimate.slowdown = fromSeconds(decode - tokens * load.speed.secondsPerToken);
    estimate.own = fromSeconds(static_cast<double>(cost.prefill.count()) / load.speed.prefillTokensPerSecond);
    estimate.total = estimate.wait + estimate.own + fromSeconds(decode);
    return estimate;
}

load_view load_book::view(target_slot slot, instant now) const
{
    const slot_load& load = at(slot);
    load_view view;
    view.ownRequests = load.own;
    view.otherRequests = otherRequestsNow(load, now);
    view.pendingPrefillTokens = pendingPrefill(load, now);
    view.kvCacheUsage = load.kvCacheUsage;
    view.reported = load.reported;
    return view;
}

std::uint32_t load_book::ownOutstanding(target_slot slot) const
{
    return at(slot).own;
}

const target_speed& load_book::speed(target_slot slot) const
{
    return at(slot).speed;
}

load_book::slot_load& load_book::at(target_slot slot)
{
    if (slot.value() >= m_slots.size())
        m_slots.resize(slot.value() + 1, m_unseen);
    return m_slots[slot.value()];
}

const load_book::slot_load& load_book::at(target_slot slot) const
{
    return slot.value() < m_slots.size() ? m_slots[slot.value()] : m_unseen;
}

// Counts an attempt and remembers the change for as long as a report may need it.
void load_book::addOwn(slot_load& load, int requests, instant now) const
{
    assert(requests > 0 || load.own > 0);
    load.own = static_cast<std::uint32_t>(static_cast<int>(load.own) + requests);
    load.history.push_back({ now, requests });
    while (now - load.history.front().at > m_settings.historySpan || load.history.size() > mostChanges) {
        load.historyFrom = load.history.front().at;
        load.history.pop_front();
    }
}

// Others' load drifts from the reported value to its mean as the requests seen in
// the report end; a report that isn't followed by another loses its meaning.
double load_book::otherRequestsNow(const slot_load& load, instant now) const
{
    if (!load.reported)
        return 0;
    const double age = std::max(0.0, toSeconds(now - load.measuredAt));
    const bool isEngine = load.kind == target_kind::Engine;
    const double turnover = isEngine ? load.meanDecodeTokens * load.speed.secondsPerToken : load.speed.serviceSeconds;
    const double kept = std::exp2(-age / std::max(turnover, 1e-3));
    const double trust = std::exp2(-std::max(0.0, age / toSeconds(m_settings.reportTrust) - 1));
    return trust * (load.otherMean + kept * (load.otherRequests - load.otherMean));
}

double load_book::requestsNow(const slot_load& load, instant now) const
{
    return load.own + otherRequestsNow(load, now);
}

double load_book::pendingPrefill(const slot_load& load, instant now) const
{
    const double othersWaiting = otherRequestsNow(load, now) * load.waitingShare;
    return load.ownPrefillTokens + othersWaiting * load.meanPrefillTokens;
}

double load_book::waitSeconds(const slot_load& load, instant now) const
{
    const target_speed& speed = load.speed;
    const double requests = requestsNow(load, now);
    if (load.kind == target_kind::Service) {
        // A service runs its workers side by side; the rest queue for them.
        const double others = otherRequestsNow(load, now);
        const double queued = expectedExcess(requests + 1 - speed.serviceWorkers, std::sqrt(others + ownVariance));
        return speed.serviceSeconds * queued / speed.serviceWorkers;
    }
    // Step 1. Prefill work ahead of us; each prefill also gives way to decode steps.
    const double stepSeconds = tokenSeconds(speed, requests);
    double wait = pendingPrefill(load, now) / speed.prefillTokensPerSecond + stepSeconds;

    // Step 2. Above the batch limit, one place gets free per stream time and limit.
    const double streamSeconds = load.meanDecodeTokens * stepSeconds;
    const double excess = std::max(0.0, requests + 1 - speed.batchLimit);
    wait += excess / speed.batchLimit * streamSeconds;

    // Step 3. With a full KV cache, a request waits until another one ends.
    const double pressure = (load.kvCacheUsage - m_settings.kvPressureStart) / (1 - m_settings.kvPressureStart);
    if (pressure > 0)
        wait += pressure * streamSeconds * (1 + requests * load.waitingShare) / std::max(1.0, requests);
    return wait;
}

// More may run than assumed, but a smaller limit is believed only when requests
// wait in several reports on end: some wait for the next step at any time.
void load_book::learnLimit(slot_load& load, const load_report& report) const
{
    load.waitingReports = report.waiting > 0 ? load.waitingReports + 1 : 0;
    const bool isEngine = load.kind == target_kind::Engine;
    const target_speed& initial = m_settings.initialSpeed;
    double& limit = isEngine ? load.speed.batchLimit : load.speed.serviceWorkers;
    const bool isSmaller = load.waitingReports >= waitingReportsForLimit && report.running > 0;
    if (report.running > limit || isSmaller)
        learn(limit, report.running, isEngine ? initial.batchLimit : initial.serviceWorkers, limitRate);
}

// Time to first token is the prefill work ahead and its own, unless the request
// waited for a place in the batch.
void load_book::learnPrefill(slot_load& load, const attempt_entry& entry, instant now) const
{
    const double tokens = entry.aheadTokens + static_cast<double>(entry.cost.prefill.count());
    const double seconds = toSeconds(now - entry.sentAt) - 1.5 * tokenSeconds(load.speed, entry.aheadRequests);
    if (load.kind == target_kind::Service || tokens < leastLearnedTokens || seconds <= 0)
        return;
    if (entry.aheadRequests + 1 > load.speed.batchLimit)
        return;
    learn(load.speed.prefillTokensPerSecond, tokens / seconds, m_settings.initialSpeed.prefillTokensPerSecond, m_settings.learningRate);
}

void load_book::learnWhole(slot_load& load, const attempt_entry& entry, token_count generated, instant now) const
{
    if (load.kind == target_kind::Service) {
        const double rounds = std::max(1.0, (entry.aheadRequests + 1) / load.speed.serviceWorkers);
        learn(load.speed.serviceSeconds, toSeconds(now - entry.sentAt) / rounds, m_settings.initialSpeed.serviceSeconds, m_settings.learningRate);
        return;
    }
    const double rate = m_settings.learningRate;
    load.meanPrefillTokens += rate * (static_cast<double>(entry.cost.prefill.count()) - load.meanPrefillTokens);
    load.meanDecodeTokens += rate * (static_cast<double>(generated.count()) - load.meanDecodeTokens);
    if (!entry.started || generated < token_count(2))
        return;
    const double perToken = toSeconds(now - entry.firstTokenAt) / static_cast<double>(generated.count() - 1);
    const double batch = (entry.aheadRequests + requestsNow(load, now)) / 2;
    const double alone = perToken / (tokenSeconds(load.speed, batch) / load.speed.secondsPerToken);
    learn(load.speed.secondsPerToken, alone, m_settings.initialSpeed.secondsPerToken, m_settings.learningRate);
}

// Moves a learned value by a share towards an observation kept within bounds, so
// that one odd time can't spoil it.
void load_book::learn(double& value, double observed, double initial, double rate) const
{
    const double lowest = initial / m_settings.largestCorrection;
    const double highest = initial * m_settings.largestCorrection;
    value += rate * (std::clamp(observed, lowest, highest) - value);
}

} // namespace lovagerail
