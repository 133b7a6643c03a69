// Named versions in, fenced orders out.
#include "edge/weight_duty.h"

#include "log.h"
#include "platform/duty_codec.h"

namespace lovagerail::edge {

namespace {

    constexpr duration planPeriod = std::chrono::milliseconds(100);
    constexpr duration retryPause = std::chrono::milliseconds(300);
    constexpr std::chrono::milliseconds watchWait { 2500 }; // versions are named every few seconds
    constexpr std::chrono::milliseconds orderTimeout { 1000 };
    constexpr std::chrono::milliseconds orderConnectTimeout { 400 };

    load_outcome outcomeOf(platform::duty_answer answer)
    {
        switch (answer) {
        case platform::duty_answer::Accepted:
            return load_outcome::Accepted;
        case platform::duty_answer::Holds:
            return load_outcome::Holds;
        case platform::duty_answer::Busy:
            return load_outcome::Busy;
        case platform::duty_answer::Unknown:
            return load_outcome::Unsure;
        default:
            return load_outcome::NotNow;
        }
    }

    bool startsWith(std::string_view text, std::string_view prefix) { return text.substr(0, prefix.size()) == prefix; }

} // namespace

weight_duty::weight_duty(context& shared, members& group, const knowledge& known, const demand_news& demand)
    : m_context(shared)
    , m_members(group)
    , m_known(known)
    , m_demand(demand)
{
}

void weight_duty::tick()
{
    const auto held = m_members.holds(targetsDuty);
    if (!held) {
        if (m_watch != 0)
            m_context.store.endWatch(std::exchange(m_watch, 0));
        m_term.reset();
        return;
    }
    if (m_term != held->fencing) {
        m_term = held->fencing;
        m_sets.clear();
        m_taken.clear();
        m_readAgain = {};
    }
    if (m_watch == 0 && !m_reading && m_context.now >= m_readAgain)
        begin();
    if (m_context.now < m_nextPlan || !m_context.site || !m_known.targetsKnown())
        return;
    m_nextPlan = m_context.now + planPeriod;
    refresh();
    for (auto& [service, sets] : m_sets) {
        for (const auto& load : sets.plan(m_context.now))
            order(service, load);
        for (const auto& target : sets.checks(m_context.now))
            check(service, target);
    }
}

// A batch comes right after its version was named, so the distance between the two is
// what its kind of work accepts.
void weight_duty::noteDemand(const model_demand& demand)
{
    const auto named = m_named.find(demand.model);
    if (named == m_named.end())
        return;
    auto& known = m_lags[demand.model];
    if (demand.least <= known.least || demand.least > named->second)
        return;
    known = { demand.least, named->second.value() - demand.least.value() };
    constexpr double weightOfNewest = 0.3; // of one batch in the smoothed work
    auto& work = m_work[demand.model];
    const auto newest = static_cast<double>(demand.work);
    work = work == 0 ? newest : work + (newest - work) * weightOfNewest;
}

// What the platform's operators and trainers ask for now, and a watch on what comes.
void weight_duty::begin()
{
    m_reading = true;
    const std::string prefix(platform::operatorPrefix);
    m_context.store.list("weights", prefix, [this, prefix](const result<kv_answer>& answer) {
        m_reading = false;
        if (!answer || !m_term) {
            m_readAgain = m_context.now + retryPause;
            return;
        }
        for (const auto& entry : answer->entries)
            take(entry);
        m_watch = m_context.store.watch(prefix, answer->at, watchWait, [this](const platform::store_news& news) {
            if (news.compacted)
                m_watch = 0; // tick() reads afresh
            for (const auto& event : news.events) {
                if (!event.deleted)
                    take(event.entry);
            }
        });
    });
}

void weight_duty::take(const kv_entry& entry)
{
    if (startsWith(entry.key, platform::retirePrefix)) {
        retire(entry);
        return;
    }
    if (!startsWith(entry.key, platform::versionPrefix))
        return;
    const auto named = platform::decodeVersion(entry.value);
    if (!named) {
        logEvent(log_level::Error, "weights", "decode", { { "key", entry.key } });
        return;
    }
    auto& known = m_named[named->model];
    if (named->version <= known)
        return;
    known = named->version;
    logEvent(log_level::Info, "weights", "named", { { "model", named->model.str() }, { "version", std::to_string(named->version.value()) } });
    m_nextPlan = {};
}

// Machines with disks keep nothing that must last, so they are empty at once.
void weight_duty::retire(const kv_entry& entry)
{
    logEvent(log_level::Info, "weights", "machine_empty", { { "key", entry.key } });
    kv_transaction change;
    change.then.emplace_back(kv_put { platform::retireStatusKey(entry.key), platform::encodeRetired(true), {} });
    m_context.store.call("retire", std::move(change), [this, entry](const result<kv_answer>& answer) {
        if (!answer && m_term)
            retire(entry);
    });
}

void weight_duty::refresh()
{
    for (const auto& one : m_demand.all())
        noteDemand(one);
    m_entries.clear();
    std::map<service_id, std::vector<weight_replica>> replicas;
    for (const auto& entry : m_known.targets()) {
        m_entries[entry.listed.id] = entry;
        if (entry.listed.state != target_state::Live || entry.models.empty())
            continue;
        weight_replica replica;
        replica.target = entry.listed.id;
        replica.life = entry.listed.incarnation;
        replica.failureDomain = entry.listed.failureDomain;
        replica.versions.insert(entry.models.begin(), entry.models.end());
        if (const auto slot = m_context.targets.table().find(entry.listed.id)) {
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
            const auto named = m_named.find(model);
            const auto lag = m_lags.find(model);
            const auto work = m_work.find(model);
            weight_model one;
            one.model = model;
            one.named = named == m_named.end() ? weight_version(1) : named->second;
            one.work = work == m_work.end() ? 0 : work->second;
            one.lag = lag == m_lags.end() ? 0 : lag->second.lag;
            models.push_back(std::move(one));
        }
        auto& sets = m_sets[id];
        sets.setModels(std::move(models));
        sets.setReplicas(std::move(replicas[id]), m_context.now);
    }
}

void weight_duty::order(const service_id& service, const weight_load& load)
{
    const auto entry = m_entries.find(load.target);
    if (entry == m_entries.end()) {
        m_sets.at(service).ordered(load, load_outcome::NotNow, m_context.now);
        return;
    }
    const auto taken = m_taken.find(load.target);
    if (taken != m_taken.end() && taken->second.life == entry->second.listed.incarnation)
        sendOrder(service, load, taken->second.taken);
    else
        askCount(service, load);
}

void weight_duty::askCount(const service_id& service, const weight_load& load)
{
    const auto& listed = m_entries.at(load.target).listed;
    auto request = platform::encodeReportCall(listed.address);
    request.connectTimeout = orderConnectTimeout;
    request.totalTimeout = orderTimeout;
    m_context.net.call(std::move(request), [this, service, load, life = listed.incarnation, term = *m_term](const http::answer& answer) {
        const auto report = platform::decodeReport(answer);
        if (!report || m_term != term) {
            logEvent(log_level::Warning, "weights", "no_report", { { "target", load.target.str() }, { "status", std::to_string(answer.status) }, { "detail", answer.detail } });
            settle(service, load, load_outcome::NotNow, term);
            return;
        }
        if (report->busy) {
            logEvent(log_level::Info, "weights", "busy", { { "target", load.target.str() }, { "model", load.model.str() }, { "taken", std::to_string(report->ordersTaken) } });
            settle(service, load, load_outcome::Busy, term);
            return;
        }
        m_taken[load.target] = { life, report->ordersTaken };
        sendOrder(service, load, report->ordersTaken);
    });
}

// Whether a replica still loads, and what it serves by now. One that doesn't answer is
// asked again.
void weight_duty::check(const service_id& service, const target_id& target)
{
    const auto entry = m_entries.find(target);
    if (entry == m_entries.end())
        return;
    auto request = platform::encodeReportCall(entry->second.listed.address);
    request.connectTimeout = orderConnectTimeout;
    request.totalTimeout = orderTimeout;
    m_context.net.call(std::move(request), [this, service, target, term = *m_term](const http::answer& answer) {
        const auto report = platform::decodeReport(answer);
        const auto sets = m_sets.find(service);
        if (report && m_term == term && sets != m_sets.end())
            sets->second.reported(target, report->busy, report->versions, m_context.now);
    });
}

void weight_duty::sendOrder(const service_id& service, const weight_load& load, std::uint64_t ordersTaken)
{
    const auto held = m_members.holds(targetsDuty);
    const auto entry = m_entries.find(load.target);
    if (!held || entry == m_entries.end()) {
        settle(service, load, load_outcome::NotNow, m_term.value_or(fencing_number()));
        return;
    }
    platform::load_order order;
    order.target = load.target;
    order.address = entry->second.listed.address;
    order.model = load.model;
    order.version = load.version;
    order.ordersTaken = ordersTaken;
    auto request = platform::encodeLoadOrder({ instance_id(m_context.values.instance.name), held->fencing }, order);
    request.connectTimeout = orderConnectTimeout;
    request.totalTimeout = orderTimeout;
    m_context.net.call(std::move(request), [this, service, load, ordersTaken, term = held->fencing](const http::answer& answer) {
        const auto outcome = platform::decodeDutyAnswer(answer);
        logEvent(log_level::Info, "weights", "ordered",
            { { "target", load.target.str() }, { "model", load.model.str() }, { "version", std::to_string(load.version.value()) }, { "taken", std::to_string(ordersTaken) },
                { "status", std::to_string(answer.status) }, { "detail", answer.detail } });
        const auto taken = m_taken.find(load.target);
        if (taken != m_taken.end()) {
            if (outcome == platform::duty_answer::Accepted)
                ++taken->second.taken;
            else if (outcome != platform::duty_answer::Holds)
                m_taken.erase(taken); // asked again before the next order
        }
        settle(service, load, outcomeOf(outcome), term);
    });
}

void weight_duty::settle(const service_id& service, const weight_load& load, load_outcome outcome, fencing_number term)
{
    const auto sets = m_sets.find(service);
    if (m_term == term && sets != m_sets.end())
        sets->second.ordered(load, outcome, m_context.now);
}

} // namespace lovagerail::edge
