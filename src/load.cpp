// Requests in flight, their correction by load reports, and the two cost models; see load.h.
#include "load.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>
#include <numbers>

namespace lovagerail {

namespace {

    constexpr std::size_t maxHistoryChanges = 4096; // kept per target
    constexpr double minLearnedTokens = 512; // the time of a shorter prefill depends more on delays than on speed
    constexpr double ownVariance = 0.25; // of our own part of the requests at a target; others' adds to it
    constexpr double limitLearningRate = 0.3; // learning rate for limits on concurrent requests
    constexpr std::uint32_t waitingReportsToLowerLimit = 3; // consecutive

    double toSeconds(duration span)
    {
        return std::chrono::duration<double>(span).count();
    }

    duration fromSeconds(double seconds)
    {
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
    }

    // Mean of the positive part of a normal variable: the expected queue length when the
    // number of requests above the limit is known only with an error.
    double expectedExcess(double mean, double deviation)
    {
        const double z = mean / deviation;
        const double density = std::exp(-z * z / 2) / std::sqrt(2 * std::numbers::pi);
        return std::max(0.0, mean * std::erfc(-z / std::numbers::sqrt2) / 2 + deviation * density);
    }

    // Weight of a value of this age: in full for one half-life, and half as much after each further one.
    double freshness(double ageSeconds, duration halfLife)
    {
        return std::exp2(-std::max(0.0, ageSeconds / toSeconds(halfLife) - 1));
    }

    // Time that one stream needs for a token while `batch` streams run beside it.
    double tokenSeconds(const target_speed& speed, double batch)
    {
        const double others = std::min(batch, speed.batchLimit);
        return speed.secondsPerToken * (1 + speed.batchSlowdown * others);
    }

} // namespace

load_tracker::load_tracker(load_settings settings)
    : m_settings(settings)
{
    m_initialLoad.speed = settings.initialSpeed;
}

void load_tracker::reset(target_slot slot, target_kind kind)
{
    slot_load& load = at(slot);
    const std::uint32_t generation = load.generation + 1;
    load = m_initialLoad;
    load.generation = generation;
    load.kind = kind;
}

// Stores the load ahead of the attempt, which the cost model needs to learn from its times.
void load_tracker::recordSent(attempt_id attempt, target_slot slot, request_cost cost, instant now)
{
    slot_load& load = at(slot);
    attempt_entry entry;
    entry.slot = slot;
    entry.generation = load.generation;
    entry.cost = cost;
    entry.sentAt = now;
    entry.prefillTokensAhead = pendingPrefill(load, now);
    entry.requestsAhead = requestsNow(load, now);
    if (!m_attempts.emplace(attempt, entry).second)
        return;
    changeOwnCount(load, 1, now);
    load.ownPrefillTokens += static_cast<double>(cost.prefill.count());
}

void load_tracker::firstToken(attempt_id attempt, instant now)
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

void load_tracker::finished(attempt_id attempt, bool isComplete, token_count generated, instant now)
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
    changeOwnCount(load, -1, now);
    if (isComplete)
        learnFromAnswer(load, entry, generated, now);
}

// Reports come late, twice and out of order: only one newer than the last applied counts,
// and it is compared with our own count at the time it was measured.
bool load_tracker::applyReport(target_slot slot, const load_report& report, instant now)
{
    slot_load& load = at(slot);
    if (load.reported && report.measuredAt <= load.measuredAt)
        return false;
    if (report.measuredAt < load.historyFrom || now - report.measuredAt > m_settings.historySpan)
        return false;

    // Step 1. Our own count when the report was measured.
    int ownAtMeasurement = static_cast<int>(load.ownRequests);
    for (const own_change& change : load.history) {
        if (change.at > report.measuredAt)
            ownAtMeasurement -= change.requests;
    }
    assert(ownAtMeasurement >= 0);

    // Step 2. The rest is other senders' load.
    const double total = report.running + report.waiting;
    load.otherRequests = std::max(0.0, total - ownAtMeasurement);
    const double weight = load.reported ? m_settings.reportWeight : 1.0;
    load.otherRequestsAverage += weight * (load.otherRequests - load.otherRequestsAverage);
    load.waitingShare = total > 0 ? report.waiting / total : 0;
    load.kvCacheUsage = std::clamp(report.kvCacheUsage, 0.0, 1.0);
    load.measuredAt = report.measuredAt;
    load.reported = true;
    applySlowdown(load, report);

    // Step 3. Learn how many requests the target runs at a time.
    learnLimit(load, report);
    return true;
}

load_estimate load_tracker::estimate(target_slot slot, request_cost cost, instant now) const
{
    const slot_load& load = at(slot);
    const double wait = waitSeconds(load, now);
    load_estimate estimate;
    estimate.requests = requestsNow(load, now);
    if (load.kind == target_kind::Service) {
        const double machine = slowdownFor(load, wait + load.speed.serviceSeconds, now);
        estimate.wait = fromSeconds(wait * machine);
        estimate.processingTime = fromSeconds(load.speed.serviceSeconds * machine);
        estimate.total = estimate.wait + estimate.processingTime;
        return estimate;
    }
    // The wait and the prefill meet the present noise of the machine; decoding outlasts it.
    const auto tokens = static_cast<double>(cost.decode.count());
    const double prefill = static_cast<double>(cost.prefill.count()) / load.speed.prefillTokensPerSecond;
    const double usualDecode = tokens * tokenSeconds(load.speed, estimate.requests);
    const double machineAtStart = slowdownFor(load, wait + prefill, now);
    const double machine = slowdownFor(load, wait + prefill + usualDecode, now);
    estimate.wait = fromSeconds(wait * machineAtStart);
    estimate.processingTime = fromSeconds(prefill * machineAtStart);
    const double excess = std::max(0.0, machine / normalSlowdown(load, now) - m_settings.lastingSlowdownThreshold);
    estimate.slowdown = fromSeconds(usualDecode - tokens * load.speed.secondsPerToken + m_settings.lastingSlowdownWeight * usualDecode * excess);
    estimate.total = estimate.wait + estimate.processingTime + fromSeconds(usualDecode * machine);
    return estimate;
}

load_view load_tracker::view(target_slot slot, instant now) const
{
    const slot_load& load = at(slot);
    load_view view;
    view.ownRequests = load.ownRequests;
    view.otherRequests = otherRequestsNow(load, now);
    view.pendingPrefillTokens = pendingPrefill(load, now);
    view.kvCacheUsage = load.kvCacheUsage;
    view.reported = load.reported;
    view.lastingSlowdown = lastingSlowdown(load, now);
    return view;
}

double load_tracker::slowdown(target_slot slot, duration work, instant now) const
{
    return slowdownFor(at(slot), toSeconds(work), now);
}

std::uint32_t load_tracker::ownOutstanding(target_slot slot) const
{
    return at(slot).ownRequests;
}

const target_speed& load_tracker::speed(target_slot slot) const
{
    return at(slot).speed;
}

load_tracker::slot_load& load_tracker::at(target_slot slot)
{
    if (slot.value() >= m_slots.size())
        m_slots.resize(slot.value() + 1, m_initialLoad);
    return m_slots[slot.value()];
}

const load_tracker::slot_load& load_tracker::at(target_slot slot) const
{
    return slot.value() < m_slots.size() ? m_slots[slot.value()] : m_initialLoad;
}

// Changes our count of requests, and keeps the change for as long as a report may need it.
void load_tracker::changeOwnCount(slot_load& load, int requests, instant now) const
{
    assert(requests > 0 || load.ownRequests > 0);
    load.ownRequests = static_cast<std::uint32_t>(static_cast<int>(load.ownRequests) + requests);
    load.history.push_back({ now, requests });
    while (now - load.history.front().at > m_settings.historySpan || load.history.size() > maxHistoryChanges) {
        load.historyFrom = load.history.front().at;
        load.history.pop_front();
    }
}

// Other senders' load moves from the last reported value towards its moving average as the
// requests in that report end. Without further reports it decays to zero.
double load_tracker::otherRequestsNow(const slot_load& load, instant now) const
{
    if (!load.reported)
        return 0;
    const double age = std::max(0.0, toSeconds(now - load.measuredAt));
    const bool isEngine = load.kind == target_kind::Engine;
    const double usualSeconds = isEngine ? load.meanDecodeTokens * load.speed.secondsPerToken : load.speed.serviceSeconds;
    const double meanRequestSeconds = usualSeconds * slowdownFor(load, usualSeconds, now);
    const double unfinishedShare = std::exp2(-age / std::max(meanRequestSeconds, 1e-3));
    const double reportFreshness = std::exp2(-std::max(0.0, age / toSeconds(m_settings.reportHalfLife) - 1));
    return reportFreshness * (load.otherRequestsAverage + unfinishedShare * (load.otherRequests - load.otherRequestsAverage));
}

double load_tracker::requestsNow(const slot_load& load, instant now) const
{
    return load.ownRequests + otherRequestsNow(load, now);
}

double load_tracker::pendingPrefill(const slot_load& load, instant now) const
{
    const double othersWaiting = otherRequestsNow(load, now) * load.waitingShare;
    return load.ownPrefillTokens + othersWaiting * load.meanPrefillTokens;
}

double load_tracker::waitSeconds(const slot_load& load, instant now) const
{
    const target_speed& speed = load.speed;
    const double requests = requestsNow(load, now);
    if (load.kind == target_kind::Service) {
        // A service's workers run in parallel; further requests queue for them.
        const double others = otherRequestsNow(load, now);
        const double queued = expectedExcess(requests + 1 - speed.serviceWorkers, std::sqrt(others + ownVariance));
        return speed.serviceSeconds * queued / speed.serviceWorkers;
    }
    // Step 1. The prefill work ahead, and one decode step that the prefill has to wait for.
    const double stepSeconds = tokenSeconds(speed, requests);
    double wait = pendingPrefill(load, now) / speed.prefillTokensPerSecond + stepSeconds;

    // Step 2. Above the batch limit, batchLimit places get free in the time of one stream.
    const double streamSeconds = load.meanDecodeTokens * stepSeconds;
    const double excess = std::max(0.0, requests + 1 - speed.batchLimit);
    wait += excess / speed.batchLimit * streamSeconds;

    // Step 3. With a nearly full KV cache, a request waits until another one ends.
    const double pressure = (load.kvCacheUsage - m_settings.kvPressureStart) / (1 - m_settings.kvPressureStart);
    if (pressure > 0)
        wait += pressure * streamSeconds * (1 + requests * load.waitingShare) / std::max(1.0, requests);
    return wait;
}

// The averages weigh a report by the time since the one before, so that they are averages over time
// whatever the rate of reports.
void load_tracker::applySlowdown(slot_load& load, const load_report& report) const
{
    if (!m_settings.useSlowdown || !report.slowdown)
        return;
    const double value = std::clamp(*report.slowdown, 1 / m_settings.maxSlowdown, m_settings.maxSlowdown);
    const double span = load.slowdownAt ? toSeconds(report.measuredAt - *load.slowdownAt) : std::numeric_limits<double>::infinity();
    const auto weight = [span](duration halfLife, double largest) { return std::min(largest, 1 - std::exp2(-span / toSeconds(halfLife))); };
    load.averageSlowdown += weight(m_settings.slowdownAverageHalfLife, m_settings.maxSlowdownWeight) * (value - load.averageSlowdown);
    load.normalSlowdown += weight(m_settings.normalSlowdownHalfLife, m_settings.maxNormalSlowdownWeight) * (value - load.normalSlowdown);
    load.reportedSlowdown = value;
    load.slowdownAt = report.measuredAt;
}

double load_tracker::normalSlowdown(const slot_load& load, instant now) const
{
    if (!load.slowdownAt)
        return 1;
    const double age = toSeconds(now - *load.slowdownAt);
    return 1 + freshness(age, m_settings.normalSlowdownHalfLife) * (load.normalSlowdown - 1);
}

double load_tracker::lastingSlowdown(const slot_load& load, instant now) const
{
    if (!load.slowdownAt)
        return 1;
    const double age = toSeconds(now - *load.slowdownAt);
    const double normal = normalSlowdown(load, now);
    return normal + freshness(age, m_settings.slowdownFadeHalfLife) * (load.averageSlowdown - normal);
}

// The mean, over the time of the work, of a slowdown that moves exponentially from the last reported
// value to the lasting one. The same holds backwards in time, for work that has just ended.
double load_tracker::slowdownFor(const slot_load& load, double workSeconds, instant now) const
{
    if (!load.slowdownAt)
        return 1;
    const double halfLife = toSeconds(m_settings.slowdownNoiseHalfLife);
    const double age = std::max(0.0, toSeconds(now - *load.slowdownAt)) / halfLife;
    const double work = workSeconds / halfLife;
    constexpr double shortWork = 1e-3; // in half-lives; below it, the mean is the value at the beginning
    const double meanOverWork = work < shortWork ? 1 : (1 - std::exp2(-work)) / (work * std::numbers::ln2);
    const double lasting = lastingSlowdown(load, now);
    return lasting + std::exp2(-age) * meanOverWork * (load.reportedSlowdown - lasting);
}

// A single report with more running requests than the limit moves the limit up. The limit
// is lowered only after several consecutive reports with waiting requests, since a few
// requests wait for the next step at any time.
void load_tracker::learnLimit(slot_load& load, const load_report& report) const
{
    load.waitingReports = report.waiting > 0 ? load.waitingReports + 1 : 0;
    const bool isEngine = load.kind == target_kind::Engine;
    const target_speed& initial = m_settings.initialSpeed;
    double& limit = isEngine ? load.speed.batchLimit : load.speed.serviceWorkers;
    const bool shouldLower = load.waitingReports >= waitingReportsToLowerLimit && report.running > 0;
    if (report.running > limit || shouldLower)
        updateEstimate(limit, report.running, isEngine ? initial.batchLimit : initial.serviceWorkers, limitLearningRate);
}

// The time to the first token is that of the prefill work ahead, of the request's own
// prefill, and of one and a half decode steps, all as slow as the machine was. Nothing is learned if
// the request also waited for a place in the batch.
void load_tracker::learnPrefill(slot_load& load, const attempt_entry& entry, instant now) const
{
    const double tokens = entry.prefillTokensAhead + static_cast<double>(entry.cost.prefill.count());
    const double elapsed = toSeconds(now - entry.sentAt);
    const double seconds = elapsed / slowdownFor(load, elapsed, now) - 1.5 * tokenSeconds(load.speed, entry.requestsAhead);
    if (load.kind == target_kind::Service || tokens < minLearnedTokens || seconds <= 0)
        return;
    if (entry.requestsAhead + 1 > load.speed.batchLimit)
        return;
    updateEstimate(load.speed.prefillTokensPerSecond, tokens / seconds, m_settings.initialSpeed.prefillTokensPerSecond, m_settings.learningRate);
}

void load_tracker::learnFromAnswer(slot_load& load, const attempt_entry& entry, token_count generated, instant now) const
{
    if (load.kind == target_kind::Service) {
        const double rounds = std::max(1.0, (entry.requestsAhead + 1) / load.speed.serviceWorkers);
        const double elapsed = toSeconds(now - entry.sentAt);
        const double usualSeconds = elapsed / slowdownFor(load, elapsed, now) / rounds;
        updateEstimate(load.speed.serviceSeconds, usualSeconds, m_settings.initialSpeed.serviceSeconds, m_settings.learningRate);
        return;
    }
    const double rate = m_settings.learningRate;
    load.meanPrefillTokens += rate * (static_cast<double>(entry.cost.prefill.count()) - load.meanPrefillTokens);
    load.meanDecodeTokens += rate * (static_cast<double>(generated.count()) - load.meanDecodeTokens);
    if (!entry.started || generated < token_count(2))
        return;
    const double elapsed = toSeconds(now - entry.firstTokenAt);
    const double perToken = elapsed / slowdownFor(load, elapsed, now) / static_cast<double>(generated.count() - 1);
    const double batch = (entry.requestsAhead + requestsNow(load, now)) / 2;
    const double alone = perToken / (tokenSeconds(load.speed, batch) / load.speed.secondsPerToken);
    updateEstimate(load.speed.secondsPerToken, alone, m_settings.initialSpeed.secondsPerToken, m_settings.learningRate);
}

// Moves a learned value towards an observation by `rate`. The observation is clamped, so
// that one outlier has little effect.
void load_tracker::updateEstimate(double& value, double observed, double initial, double rate) const
{
    const double lowest = initial / m_settings.maxCorrectionFactor;
    const double highest = initial * m_settings.maxCorrectionFactor;
    value += rate * (std::clamp(observed, lowest, highest) - value);
}

} // namespace lovagerail
