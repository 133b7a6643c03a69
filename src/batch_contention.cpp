// What the owner of several batches does when their items don't all find free slots: which items are
// sent first, which batch will be late, and what it reports of them; see batch_runner.h.
#include "batch_runner.h"

#include <algorithm>
#include <limits>

namespace lovagerail {

namespace {

    // After the last event of a text: its judge's latency target (150 ms), the delay of the page (40 ms) and its write.
    constexpr duration listingTime = std::chrono::milliseconds(300);
    constexpr double leastWorkLeft = 0.1; // of an item, whose length may exceed the estimate

} // namespace

share_key batch_runner::shareKey(const batch_state& batch) { return { placeServices(batch).front(), batch.spec.model }; }

// A run that was begun before its batch got another place counts for the service where it is.
share_key batch_runner::shareKey(const open_run& run) const
{
    const auto& batch = m_batches.at(run.batch);
    const service_id service(run.software.pool.str());
    const auto& services = placeServices(batch);
    return std::find(services.begin(), services.end(), service) != services.end() ? shareKey(batch) : share_key(service, batch.spec.model);
}

std::size_t batch_runner::runningOf(const share_key& key) const
{
    return static_cast<std::size_t>(std::count_if(m_runs.begin(), m_runs.end(), [&](const auto& entry) { return shareKey(entry.second) == key; }));
}

// Slots of the service's live targets that are free, as far as load reports tell; counted up to `enough`.
std::size_t batch_runner::freeSlots(const service_id& service, std::size_t enough, instant now) const
{
    std::size_t out = 0;
    for (const auto slot : m_router.table().all()) {
        if (out >= enough)
            break;
        if (!m_router.table().isLive(slot) || m_router.table().record(slot).listed.pool != pool_id(service.str()))
            continue;
        const auto load = m_router.load().view(slot, now);
        const std::size_t held = load.ownRequests + load.otherRequests;
        const std::size_t slots = slotsOf(slot);
        out += slots - std::min(slots, held);
    }
    return out;
}

// The groups that the trainer waits for: those that are complete, and as many of the others as it
// still needs, in the order of sending. By index of the item.
std::vector<bool> batch_runner::requiredItems(const batch_state& batch)
{
    std::vector<bool> out(batch.items.size(), batch.spec.requiredGroups == 0);
    std::size_t needed = batch.spec.requiredGroups - std::min<std::size_t>(batch.spec.requiredGroups, batch.completeGroups);
    const std::vector<std::size_t>* group = nullptr;
    for (const auto index : batch.order) {
        const auto& members = batch.groups.at(batch.spec.items[index].group);
        if (&members == group)
            continue;
        group = &members;
        const bool complete = std::all_of(members.begin(), members.end(), [&batch](std::size_t i) { return batch.items[i].stage >= item_stage::Finished; });
        if (complete || needed == 0)
            continue;
        --needed;
        for (const auto i : members)
            out[i] = true;
    }
    return out;
}

batch_runner::batch_need batch_runner::needOf(const batch_state& batch, instant now) const
{
    batch_need out;
    const auto required = requiredItems(batch);
    const auto pace = m_secondsPerToken.find(placeServices(batch).front());
    const double secondsPerToken = pace == m_secondsPerToken.end() ? 0 : pace->second;
    double waitingWork = 0;
    std::size_t waiting = 0;
    for (std::size_t i = 0; i < batch.items.size(); ++i) {
        const auto stage = batch.items[i].stage;
        if (!required[i] || (stage != item_stage::Waiting && stage != item_stage::Running))
            continue;
        ++out.open;
        const auto expected = static_cast<double>(batch.spec.items[i].expectedTokens.count());
        const auto received = static_cast<double>(batch.items[i].generated.data.size()) * batch.places.tokensPerEvent;
        const double work = std::max(expected - received, expected * leastWorkLeft) * secondsPerToken;
        out.work += work;
        if (stage == item_stage::Waiting) {
            waitingWork += work;
            ++waiting;
        }
    }
    const std::size_t requiredGroups = batch.spec.requiredGroups == 0 ? batch.groups.size() : batch.spec.requiredGroups;
    out.groups = requiredGroups - std::min(requiredGroups, batch.completeGroups);
    // The item that is sent last still has to run.
    const double lastRun = waiting == 0 ? 0 : waitingWork / static_cast<double>(waiting);
    out.timeLeft = batch.dueAt - now - listingTime - std::chrono::duration_cast<duration>(std::chrono::duration<double>(lastRun));
    return out;
}

// Whether items wait for slots, or a share limits them. Otherwise the order of sending doesn't matter.
bool batch_runner::isContended(const std::vector<batch_state*>& batches, instant now) const
{
    std::map<service_id, std::size_t> waiting;
    for (const auto* batch : batches) {
        if (m_lease.limit(shareKey(*batch), now))
            return true;
        waiting[placeServices(*batch).front()] += static_cast<std::size_t>(std::count_if(batch->items.begin(), batch->items.end(), [](const item_state& item) { return item.stage == item_stage::Waiting; }));
    }
    return std::any_of(waiting.begin(), waiting.end(), [&](const auto& entry) { return entry.second > 0 && entry.second > freeSlots(entry.first, entry.second, now); });
}

// Decides which batches will be late; none while nothing waits. Batches of one model share its slots; without a share, those
// of one service share the slots that this instance holds and the free ones.
void batch_runner::decideLate(const std::vector<batch_state*>& batches, bool contended, instant now)
{
    if (!contended) {
        for (auto* batch : batches)
            setLate(*batch, false, {}, batches.size());
        return;
    }
    if (now < m_nextLateDecision)
        return;
    m_nextLateDecision = now + m_settings.lateDecisionInterval;
    std::map<share_key, std::vector<batch_state*>> competing;
    for (auto* batch : batches) {
        const auto key = shareKey(*batch);
        competing[m_lease.limit(key, now) ? key : share_key(key.first, model_id())].push_back(batch);
    }
    for (const auto& [key, members] : competing) {
        std::vector<slot_job> jobs;
        for (const auto* batch : members) {
            const auto need = needOf(*batch, now);
            jobs.push_back({ need.timeLeft, need.work, need.work / static_cast<double>(std::max<std::size_t>(need.groups, 1)), batch->late });
        }
        const auto expected = m_lease.expected(key, now);
        const auto held = std::count_if(m_runs.begin(), m_runs.end(), [&, service = key.first](const auto& entry) { return shareKey(entry.second).first == service; });
        chooseLate(jobs, static_cast<double>(expected ? *expected : static_cast<std::size_t>(held) + freeSlots(key.first, std::numeric_limits<std::size_t>::max(), now)));
        for (std::size_t i = 0; i < members.size(); ++i)
            setLate(*members[i], jobs[i].late, jobs[i], members.size());
    }
}

void batch_runner::setLate(batch_state& batch, bool late, const slot_job& job, std::size_t competing)
{
    if (late == batch.late)
        return;
    batch.late = late;
    m_counts.late += late ? 1 : 0;
    m_actions.emplace_back(note_late { batch.spec.id, late, job.work, job.due, competing });
}

// Items that a trainer waits for go first; batches that will be late come after the others.
void batch_runner::dispatchContended(std::vector<batch_state*> byDue, instant now)
{
    std::stable_sort(byDue.begin(), byDue.end(), [](const batch_state* a, const batch_state* b) { return a->late < b->late; });
    for (auto* batch : byDue)
        dispatch(*batch, now, requiredItems(*batch));
    for (auto* batch : byDue)
        dispatch(*batch, now);
}

void batch_runner::setShares(std::uint64_t request, std::map<share_key, leased_slots> shares, instant until) { m_lease.apply(request, std::move(shares), until); }

std::vector<model_demand> batch_runner::demand(instant now) const
{
    const auto count = [](const batch_state& batch, item_stage stage) {
        return static_cast<std::size_t>(std::count_if(batch.items.begin(), batch.items.end(), [stage](const item_state& item) { return item.stage == stage; }));
    };
    struct next_batch {
        bool late = false;
        instant dueAt {};
    };
    std::map<share_key, model_demand> byModel;
    std::map<share_key, next_batch> next;
    for (const auto& [id, batch] : m_batches) {
        if (batch.ended)
            continue;
        const auto key = shareKey(batch);
        auto& modelDemand = byModel[key];
        const bool isFirst = modelDemand.model.empty();
        modelDemand.service = key.first;
        modelDemand.model = key.second;
        if (modelDemand.work == 0 || batch.spec.minVersion >= modelDemand.minVersion) {
            modelDemand.work = 0;
            for (const auto& item : batch.spec.items)
                modelDemand.work += item.expectedTokens.count();
        }
        modelDemand.minVersion = std::max(modelDemand.minVersion, batch.spec.minVersion);
        const auto running = static_cast<std::size_t>(std::count_if(m_runs.begin(), m_runs.end(), [&, batchId = id](const auto& entry) { return entry.second.batch == batchId && shareKey(entry.second) == key; }));
        const auto waiting = count(batch, item_stage::Waiting);
        modelDemand.running += running;
        if (isServiceFull(key.first, now))
            modelDemand.queued += waiting;

        // For the shares. Items that no target could run, for want of weights, need no slots.
        std::size_t usable = 0;
        for (const auto slot : m_router.table().allowed(placeClass(batch)))
            usable += slotsOf(slot);
        modelDemand.waiting += std::min(waiting, usable);
        modelDemand.priority = isFirst ? batch.route.priority : std::min(modelDemand.priority, batch.route.priority);
        const auto need = needOf(batch, now);
        modelDemand.urgent += batch.late ? running : std::max(need.open, running);
        auto& first = next[key];
        if (need.open > 0 && (!modelDemand.timeLeft || std::pair(batch.late, batch.dueAt) < std::pair(first.late, first.dueAt))) {
            first = { batch.late, batch.dueAt };
            modelDemand.timeLeft = need.timeLeft;
            modelDemand.slotTime = std::chrono::duration_cast<duration>(std::chrono::duration<double>(need.work));
            modelDemand.groups = static_cast<std::uint32_t>(need.groups);
        }
    }
    // Runs that were begun before their batch got another place.
    for (const auto& [attempt, run] : m_runs) {
        const auto& batch = m_batches.at(run.batch);
        const auto key = shareKey(run);
        if (key == shareKey(batch))
            continue;
        auto& elsewhere = byModel[key];
        elsewhere.priority = elsewhere.model.empty() ? batch.route.priority : std::min(elsewhere.priority, batch.route.priority);
        elsewhere.service = key.first;
        elsewhere.model = key.second;
        elsewhere.minVersion = std::max(elsewhere.minVersion, batch.spec.minVersion);
        ++elsewhere.running;
        ++elsewhere.urgent;
    }
    std::vector<model_demand> out;
    out.reserve(byModel.size());
    for (auto& [key, modelDemand] : byModel)
        out.push_back(std::move(modelDemand));
    return out;
}

} // namespace lovagerail
