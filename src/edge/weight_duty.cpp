// Follows weight versions that trainers announce in the store, lets weight_sets plan which
// replica loads which version, and sends the orders to replicas under the duty's fencing
// number.
#include "edge/weight_duty.h"

#include "edge/departures.h"
#include "edge/target_limits.h"
#include "edge/target_link.h"
#include "log.h"
#include "platform/duty_codec.h"
#include "platform/headers.h"

namespace lovagerail::edge {

namespace {

    constexpr duration planPeriod = std::chrono::milliseconds(100);
    constexpr duration retryDelay = std::chrono::milliseconds(300);
    constexpr std::chrono::milliseconds maxWatchWait { 2500 }; // trainers announce a version every few seconds
    constexpr std::chrono::milliseconds orderTimeout { 1000 };
    constexpr std::chrono::milliseconds orderConnectTimeout { 400 };

    load_outcome loadOutcomeOf(platform::duty_answer answer)
    {
        switch (answer) {
        case platform::duty_answer::Accepted:
            return load_outcome::Accepted;
        case platform::duty_answer::AlreadyDone:
            return load_outcome::Holds;
        case platform::duty_answer::Busy:
            return load_outcome::Busy;
        case platform::duty_answer::Unknown:
            return load_outcome::AnswerLost;
        default:
            return load_outcome::NotExecuted;
        }
    }

    bool startsWith(std::string_view text, std::string_view prefix) { return text.substr(0, prefix.size()) == prefix; }

} // namespace

weight_duty::weight_duty(context& shared, target_link& link, members& membership, const platform_view& platformView, const demand_reports& demand, departures& leavingTargets, target_limits& limits)
    : m_context(shared)
    , m_link(link)
    , m_members(membership)
    , m_platformView(platformView)
    , m_demand(demand)
    , m_departures(leavingTargets)
    , m_limits(limits)
{
}

void weight_duty::tick()
{
    const auto heldDuty = m_members.holds(targetsDuty);
    if (!heldDuty) {
        if (m_watch != 0)
            m_context.store.endWatch(std::exchange(m_watch, 0));
        m_term.reset();
        return;
    }
    if (m_term != heldDuty->fencing) {
        m_term = heldDuty->fencing;
        m_weightSets.clear();
        m_orderCounts.clear();
        m_readAt = {};
    }
    if (m_watch == 0 && !m_reading && m_context.now >= m_readAt)
        readAnnouncements();
    if (m_context.now < m_nextPlan || !m_context.site || !m_platformView.targetsKnown())
        return;
    m_nextPlan = m_context.now + planPeriod;
    updateWeightSets();
    for (auto& [service, sets] : m_weightSets) {
        for (const auto& load : sets.plan(m_context.now))
            orderLoad(service, load);
        for (const auto& target : sets.replicasToPoll(m_context.now))
            checkReplica(service, target);
    }
}

// Learns how old a version the batches of a model accept: a batch is submitted right after
// a version was announced, so the difference to the version that it requires is that lag.
void weight_duty::recordDemand(const model_demand& demand)
{
    const auto announced = m_announced.find(demand.model);
    if (announced == m_announced.end())
        return;
    auto& lag = m_lags[demand.model];
    if (demand.minVersion <= lag.minVersion || demand.minVersion > announced->second)
        return;
    lag = { demand.minVersion, announced->second.value() - demand.minVersion.value() };
    constexpr double newestBatchWeight = 0.3; // of exponential smoothing
    auto& work = m_batchWork[demand.model];
    const auto newest = static_cast<double>(demand.work);
    work = work == 0 ? newest : work + (newest - work) * newestBatchWeight;
}

// Reads the entries that operators and trainers have written, then watches for new ones.
void weight_duty::readAnnouncements()
{
    m_reading = true;
    const std::string prefix(platform::operatorPrefix);
    m_context.store.list("weights", prefix, [this, prefix](const result<kv_answer>& answer) {
        m_reading = false;
        if (!answer || !m_term) {
            m_readAt = m_context.now + retryDelay;
            return;
        }
        for (const auto& entry : answer->entries)
            applyEntry(entry);
        m_watch = m_context.store.watch(prefix, answer->at, maxWatchWait, [this](const platform::store_watch_response& response) {
            if (response.compacted)
                m_watch = 0; // tick() reads all entries again
            for (const auto& event : response.events) {
                if (!event.deleted)
                    applyEntry(event.entry);
            }
        });
    });
}

void weight_duty::applyEntry(const kv_entry& entry)
{
    if (startsWith(entry.key, platform::retirePrefix)) {
        reportMachineEmpty(entry);
        return;
    }
    if (!startsWith(entry.key, platform::versionPrefix))
        return;
    const auto announced = platform::decodeAnnouncedVersion(entry.value);
    if (!announced) {
        logEvent(log_level::Error, "weights", "decode", { { "key", entry.key } });
        return;
    }
    auto& newestVersion = m_announced[announced->model];
    if (announced->version <= newestVersion)
        return;
    newestVersion = announced->version;
    logEvent(log_level::Info, "weights", "named", { { "model", announced->model.str() }, { "version", std::to_string(announced->version.value()) } });
    m_nextPlan = {};
}

// Reports a machine that is to be emptied as empty at once: machines with disks hold no
// persistent state of ours.
void weight_duty::reportMachineEmpty(const kv_entry& entry)
{
    logEvent(log_level::Info, "weights", "machine_empty", { { "key", entry.key } });
    kv_transaction change;
    change.then.emplace_back(kv_put { platform::retireStatusKey(entry.key), platform::encodeRetired(true), {} });
    m_context.store.call("retire", std::move(change), [this, entry](const result<kv_answer>& answer) {
        if (!answer && m_term)
            reportMachineEmpty(entry);
    });
}

void weight_duty::updateWeightSets()
{
    for (const auto& demand : m_demand.all())
        recordDemand(demand);
    m_targetEntries.clear();
    std::map<service_id, std::vector<weight_replica>> replicas;
    for (const auto& entry : m_platformView.targets()) {
        if (m_platformView.evacuated().contains(entry.listed.failureDomain))
            continue; // neither orders nor questions are sent there
        m_targetEntries[entry.listed.id] = entry;
        if (entry.listed.state != target_state::Live || entry.models.empty())
            continue;
        weight_replica replica;
        replica.target = entry.listed.id;
        replica.incarnationNumber = entry.listed.incarnation;
        replica.failureDomain = entry.listed.failureDomain;
        replica.versions.insert(entry.models.begin(), entry.models.end());
        if (const auto slot = m_context.targets.table().find(entry.listed.id)) {
            if (m_context.targets.table().record(*slot).listed.state != target_state::Live)
                continue; // it said so itself before its entry does
            const auto load = m_context.targets.load().view(*slot, m_context.now);
            replica.busy = load.ownRequests + load.otherRequests;
        }
        replicas[entry.service].push_back(std::move(replica));
    }
    for (const auto& [id, service] : m_context.site->services) {
        if (service.models.empty())
            continue;
        std::vector<weight_model> models;
        for (const auto& model : service.models) {
            const auto announced = m_announced.find(model);
            const auto lag = m_lags.find(model);
            const auto work = m_batchWork.find(model);
            weight_model weightModel;
            weightModel.model = model;
            weightModel.announcedVersion = announced == m_announced.end() ? weight_version(1) : announced->second;
            weightModel.work = work == m_batchWork.end() ? 0 : work->second;
            weightModel.lag = lag == m_lags.end() ? 0 : lag->second.lag;
            models.push_back(std::move(weightModel));
        }
        auto& sets = m_weightSets[id];
        sets.setModels(std::move(models));
        sets.setReplicas(std::move(replicas[id]), m_context.now);
    }
}

void weight_duty::orderLoad(const service_id& service, const weight_load& load)
{
    const auto entry = m_targetEntries.find(load.target);
    if (entry == m_targetEntries.end()) {
        m_weightSets.at(service).onLoadResult(load, load_outcome::NotExecuted, m_context.now);
        return;
    }
    const auto orderCount = m_orderCounts.find(load.target);
    if (orderCount != m_orderCounts.end() && orderCount->second.incarnationNumber == entry->second.listed.incarnation)
        sendOrder(service, load, orderCount->second.ordersTaken);
    else
        fetchOrderCount(service, load);
}

void weight_duty::fetchOrderCount(const service_id& service, const weight_load& load)
{
    const auto& listed = m_targetEntries.at(load.target).listed;
    m_limits.onSend(load.target, send_kind::Report);
    auto request = platform::encodeReportCall(load.target, listed.address);
    request.connectTimeout = orderConnectTimeout;
    request.totalTimeout = orderTimeout;
    m_link.callDirect(std::move(request), load.target, [this, service, load, targetIncarnation = listed.incarnation, term = *m_term](const http::answer& answer) {
        observeAnswer(load.target, targetIncarnation, answer);
        const auto report = platform::decodeReport(answer);
        if (!report || m_term != term) {
            logEvent(log_level::Warning, "weights", "no_report", { { "target", load.target.str() }, { "status", std::to_string(answer.status) }, { "detail", answer.detail } });
            recordOutcome(service, load, load_outcome::NotExecuted, term);
            return;
        }
        if (report->busy) {
            logEvent(log_level::Info, "weights", "busy", { { "target", load.target.str() }, { "model", load.model.str() }, { "taken", std::to_string(report->ordersTaken) } });
            recordOutcome(service, load, load_outcome::Busy, term);
            return;
        }
        m_orderCounts[load.target] = { targetIncarnation, report->ordersTaken };
        sendOrder(service, load, report->ordersTaken);
    });
}

// Asks a replica whether it is still loading and which versions it serves. weight_sets
// requests the check again if the replica does not answer.
void weight_duty::checkReplica(const service_id& service, const target_id& target)
{
    const auto entry = m_targetEntries.find(target);
    if (entry == m_targetEntries.end())
        return;
    m_limits.onSend(target, send_kind::Report);
    auto request = platform::encodeReportCall(target, entry->second.listed.address);
    request.connectTimeout = orderConnectTimeout;
    request.totalTimeout = orderTimeout;
    m_link.callDirect(std::move(request), target, [this, service, target, targetIncarnation = entry->second.listed.incarnation, term = *m_term](const http::answer& answer) {
        observeAnswer(target, targetIncarnation, answer);
        const auto report = platform::decodeReport(answer);
        const auto sets = m_weightSets.find(service);
        if (report && m_term == term && sets != m_weightSets.end())
            sets->second.onReplicaReport(target, report->busy, report->versions, m_context.now);
    });
}

void weight_duty::sendOrder(const service_id& service, const weight_load& load, std::uint64_t ordersTaken)
{
    const auto heldDuty = m_members.holds(targetsDuty);
    const auto entry = m_targetEntries.find(load.target);
    if (!heldDuty || entry == m_targetEntries.end()) {
        recordOutcome(service, load, load_outcome::NotExecuted, m_term.value_or(fencing_number()));
        return;
    }
    platform::load_order wireOrder;
    wireOrder.target = load.target;
    wireOrder.address = entry->second.listed.address;
    wireOrder.model = load.model;
    wireOrder.version = load.version;
    wireOrder.ordersTaken = ordersTaken;
    m_limits.onSend(load.target, send_kind::Order);
    auto request = platform::encodeLoadOrder({ instance_id(m_context.settings.instance.name), heldDuty->fencing }, wireOrder);
    request.connectTimeout = orderConnectTimeout;
    request.totalTimeout = m_members.callTimeout(*heldDuty, orderTimeout);
    m_link.callDirect(std::move(request), load.target, [this, service, load, ordersTaken, targetIncarnation = entry->second.listed.incarnation, term = heldDuty->fencing](const http::answer& answer) {
        observeAnswer(load.target, targetIncarnation, answer);
        const auto outcome = platform::decodeDutyAnswer(answer);
        logEvent(log_level::Info, "weights", "ordered",
            { { "target", load.target.str() }, { "model", load.model.str() }, { "version", std::to_string(load.version.value()) }, { "taken", std::to_string(ordersTaken) },
                { "status", std::to_string(answer.status) }, { "detail", answer.detail } });
        const auto orderCount = m_orderCounts.find(load.target);
        if (orderCount != m_orderCounts.end()) {
            if (outcome == platform::duty_answer::Accepted)
                ++orderCount->second.ordersTaken;
            else if (outcome != platform::duty_answer::AlreadyDone)
                m_orderCounts.erase(orderCount); // fetched again before the next order
        }
        recordOutcome(service, load, loadOutcomeOf(outcome), term);
    });
}

void weight_duty::observeAnswer(const target_id& target, incarnation incarnationNumber, const http::answer& answer)
{
    const auto head = platform::decodeTargetHead(answer.status, answer.headers);
    m_departures.observe(target, incarnationNumber, head);
    // A limit may be named here, but only answers to work tell that there is none any more.
    if (head.requestLimit)
        m_limits.observe(target, incarnationNumber, head, m_context.now);
}

void weight_duty::recordOutcome(const service_id& service, const weight_load& load, load_outcome outcome, fencing_number term)
{
    const auto sets = m_weightSets.find(service);
    if (m_term == term && sets != m_weightSets.end())
        sets->second.onLoadResult(load, outcome, m_context.now);
}

} // namespace lovagerail::edge
