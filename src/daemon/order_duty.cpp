// Connects order tracking (orders.h) and capacity planning (capacity.h) to the key-value service,
// the platform and the other instances.
#include "daemon/order_duty.h"

#include "burn_report.h"
#include "daemon/status_api.h"
#include "http_status.h"
#include "log.h"
#include "object_codec.h"
#include "provider/order_api.h"

#include <algorithm>

namespace lovagerail::daemon {

namespace {

    constexpr std::size_t orderRingSize = 64;
    constexpr duration planInterval = std::chrono::seconds(1);
    constexpr duration demandInterval = std::chrono::seconds(2);
    constexpr duration demandPerInstance = std::chrono::milliseconds(20); // added to the interval of demand rounds, so that large fleets have longer ones
    // An order that is not sent within this time is dropped, and its state is queried. This limit plus the
    // maximum lifetime of its sent bytes is shorter than the time that a new holder of the duty
    // waits before it sends orders.
    constexpr duration maxSendDelay = std::chrono::milliseconds(1500);
    // A draining target is stopped after this many consecutive demand rounds in which no instance
    // has work at it. One round is not enough, as it may have started before the target was marked
    // as draining.
    constexpr std::uint32_t requiredEmptyRounds = 2;
    constexpr double defaultEngineConcurrency = 32;
    constexpr double defaultServiceConcurrency = 4;
    constexpr double perMilli = 1000;

    std::string kindName(supply_kind kind) { return kind == supply_kind::Cheap ? "cheap" : "firm"; }

    capacity_settings capacitySettings(const settings& values)
    {
        capacity_settings out;
        out.idleTime = values.timing.capacityIdle;
        out.minStopInterval = std::min(out.minStopInterval, out.idleTime / 2);
        return out;
    }

    // Share of the work that may run on cheap targets, which can be lost at any time. Engine
    // requests can be resumed or retried. A service pool may use cheap targets only if all
    // service routes are idempotent.
    double cheapShareOf(const target_pool& pool, const config& inForce)
    {
        if (!pool.allowCheap)
            return 0;
        if (pool.kind == pool_kind::Engine)
            return 1;
        for (const auto& routeEntry : inForce.all<route>().sorted()) {
            if (routeEntry->kind == pool_kind::Service && !routeEntry->idempotent)
                return 0;
        }
        return 1;
    }

} // namespace

order_duty::order_duty(control_context& context, lease_duty& leases, peer_duty& peers, status_api& status, target_duty& targets, wakeup& owner)
    : m_context(context)
    , m_leases(leases)
    , m_status(status)
    , m_targets(targets)
    , m_thread(orderRingSize, owner)
{
    peers.server().add("demand", [this](const Json::Value& parameters) -> result<Json::Value> { return ownDemand(parameters); });
    peers.server().add("orders", [this](const Json::Value&) -> result<Json::Value> { return ownState(); });
    m_leases.onGained([this](const duty_id& gained, fencing_number fencing) {
        if (gained != duty())
            return;
        ++m_term;
        const auto lease = m_leases.holds(duty());
        const auto ordersFrom = lease ? lease->ordersFrom : m_context.now + lease_settings().settleTime;
        m_tracker.emplace(order_settings { duty() }, fencing, ordersFrom, fencing.value());
        m_planners.clear();
        m_plans.clear();
        m_demand.clear();
        m_draining.clear();
        m_demandKnown = false;
    });
    m_leases.onLost([this](const duty_id& lost, fencing_number) {
        if (lost != duty())
            return;
        ++m_term;
        m_tracker.reset();
    });
}

const duty_id& order_duty::duty()
{
    static const duty_id name("orders");
    return name;
}

bool order_duty::isNeeded()
{
    if (m_wantedConfig != m_context.inForce) {
        m_wantedConfig = m_context.inForce;
        const auto pools = m_wantedConfig->all<target_pool>().sorted();
        m_isNeeded = std::any_of(pools.begin(), pools.end(), [](const auto& pool) { return isOrdered(*pool); });
    }
    return m_isNeeded;
}

void order_duty::addTo(operator_duty& api)
{
    api.add("GET", "/v1/orders", operator_scope::Read, [this](const operator_call& call) { answerOrders(call); });
}

// --- Counts and demand of this instance ----------------------------------------------

void order_duty::count(const attempt_usage& event)
{
    auto kind = supply_kind::Firm;
    for (const auto& row : m_targets.targets()) {
        if (row.routing.id == event.target)
            kind = row.routing.supply;
    }
    auto& work = m_work[{ event.pool, kind }];
    ++work.attempts;
    work.lost += event.heading == usage_heading::Died ? 1 : 0;
    work.redone += event.heading == usage_heading::Retried || event.heading == usage_heading::Resumed ? 1 : 0;
    work.generated += event.counted.generated;
}

// Handles the holder's demand call: marks the targets that the holder is draining, and returns
// the open work of this instance by target and pool.
Json::Value order_duty::ownDemand(const Json::Value& parameters)
{
    std::map<target_id, const provider::platform_target*> rows;
    for (const auto& row : m_targets.targets())
        rows[row.routing.id] = &row;
    for (const auto& item : parameters["emptying"])
        m_targets.markDraining(target_id(item["target"].asString()), incarnation(item["incarnation"].asUInt64()));

    Json::Value out(Json::objectValue);
    out["work"] = Json::Value(Json::arrayValue);
    for (const auto& work : m_status.servingState().work) {
        const auto row = rows.find(work.target);
        Json::Value item(Json::objectValue);
        item["target"] = work.target.str();
        item["pool"] = row == rows.end() ? "" : row->second->routing.pool.str();
        item["open"] = work.open;
        item["per_target"] = work.perTarget;
        out["work"].append(item);
    }
    // Targets that an earlier holder began to drain must be stopped by the present one, as a
    // drained target is never used again.
    out["emptying"] = Json::Value(Json::arrayValue);
    for (const auto& [target, incarnationNumber] : m_targets.draining()) {
        Json::Value item(Json::objectValue);
        item["target"] = target.str();
        item["incarnation"] = Json::UInt64(incarnationNumber.value());
        out["emptying"].append(item);
    }
    return out;
}

// --- Periodic work of the holder ------------------------------------------------------

void order_duty::tick()
{
    // Step 1. Outcomes of sent orders.
    provider::order_reply reply;
    while (m_thread.tryPop(reply)) {
        const auto sent = m_sent.extract(reply.id);
        if (sent.empty())
            continue;
        const auto decoded = provider::decodeSendAnswer(reply.answer);
        ifCurrentTerm(sent.mapped().term, [&](order_tracker& tracker) { return tracker.onSendAnswer(sent.mapped().id, decoded.outcome, decoded.target, m_context.now); });
    }
    if (!m_tracker || !m_leases.holds(duty()))
        return;

    // Step 2. A new target list.
    if (m_targets.listRequestedAt() > m_processedListAt) {
        m_processedListAt = m_targets.listRequestedAt();
        std::vector<ordered_target> rows;
        for (const auto& row : m_targets.targets())
            rows.push_back(provider::orderedTarget(row));
        execute(m_tracker->onList(rows, m_processedListAt, m_context.now));
    }
    if (m_tracker)
        execute(m_tracker->tick(m_context.now));

    // Step 3. Demand and planning.
    if (!m_demandPending && m_context.now >= m_nextDemand)
        requestDemand();
    if (m_tracker && m_demandKnown && m_tracker->ready() && m_context.now >= m_nextPlan) {
        m_nextPlan = m_context.now + planInterval;
        plan();
        stopDrainedTargets();
    }
}

void order_duty::requestDemand()
{
    m_demandPending = true;
    m_nextDemand = m_context.now + demandInterval + demandPerInstance * static_cast<std::int64_t>(m_leases.live().size());
    Json::Value parameters(Json::objectValue);
    parameters["emptying"] = Json::Value(Json::arrayValue);
    for (const auto& [target, drain] : m_draining) {
        Json::Value item(Json::objectValue);
        item["target"] = target.str();
        item["incarnation"] = Json::UInt64(drain.incarnationNumber.value());
        parameters["emptying"].append(item);
    }
    const auto localDemand = ownDemand(parameters);
    m_status.gather("demand", parameters, [this, localDemand, term = m_term](std::vector<Json::Value> answers, const std::vector<std::string>& silent) {
        m_demandPending = false;
        answers.push_back(localDemand);
        if (term == m_term && m_tracker)
            onDemand(answers, silent.size());
    });
}

void order_duty::onDemand(const std::vector<Json::Value>& answers, std::size_t silent)
{
    std::map<pool_id, pool_work> work;
    std::map<target_id, std::uint32_t> open;
    for (const auto& answer : answers) {
        for (const auto& item : answer["work"]) {
            auto& pool = work[pool_id(item["pool"].asString())];
            const auto openCount = item["open"].asUInt();
            open[target_id(item["target"].asString())] += openCount;
            pool.open += openCount;
            pool.perTarget += openCount * item["per_target"].asDouble();
        }
        for (const auto& item : answer["emptying"]) {
            const target_id target(item["target"].asString());
            const incarnation incarnationNumber(item["incarnation"].asUInt64());
            for (const auto& row : m_targets.targets()) {
                if (row.routing.id == target && row.routing.incarnation == incarnationNumber)
                    m_draining.try_emplace(target, draining_target { row.routing.pool, incarnationNumber, m_context.now, 0 });
            }
        }
    }
    m_openRequests.clear();
    for (const auto& [target, count] : open)
        m_openRequests[target] = count;
    observe(work);
    updateDraining(open, silent == 0);
    m_demandKnown = true;
}

void order_duty::observe(const std::map<pool_id, pool_work>& work)
{
    // The burn rate of this instance's share of the traffic is taken as that of all instances.
    const auto burnReport = makeBurnReport(m_status.burn().statistics(m_context.now));
    for (const auto& pool : m_context.inForce->all<target_pool>().sorted()) {
        const pool_id id(pool->meta.name);
        if (!isOrdered(*pool))
            continue;
        demand_sample sample;
        sample.perTarget = pool->kind == pool_kind::Engine ? defaultEngineConcurrency : defaultServiceConcurrency;
        if (const auto found = work.find(id); found != work.end()) {
            sample.open = found->second.open;
            if (found->second.open > 0)
                sample.perTarget = std::max(1.0, found->second.perTarget / found->second.open);
        }
        // Requests above the concurrent capacity of the live targets are queued there.
        double liveTargets = 0;
        for (const auto& row : m_targets.targets())
            liveTargets += row.routing.pool == id && row.routing.state == target_state::Live ? 1 : 0;
        sample.queued = std::max(0.0, sample.open - liveTargets * sample.perTarget);
        sample.open -= sample.queued;
        for (const auto& row : burnReport.rows) {
            if (row.key.scope.pool == id)
                sample.burn = std::max(sample.burn, static_cast<double>(row.burnMilli[0]) / perMilli);
        }
        sample.cheapShare = cheapShareOf(*pool, *m_context.inForce);
        m_demand[id] = sample;
        m_planners.try_emplace(id, capacitySettings(m_context.values)).first->second.observe(sample, m_context.now);
    }
}

void order_duty::updateDraining(const std::map<target_id, std::uint32_t>& open, bool allAnswered)
{
    for (auto& [target, drain] : m_draining) {
        const bool isEmpty = allAnswered && !open.contains(target);
        drain.emptyRounds = isEmpty ? drain.emptyRounds + 1 : 0;
    }
}

// --- Plans ------------------------------------------------------------------------------

capacity_view order_duty::capacityViewOf(const target_pool& pool) const
{
    capacity_view view;
    const pool_id id(pool.meta.name);
    for (const auto& row : m_targets.targets()) {
        if (row.routing.pool != id || row.routing.state == target_state::Leaving)
            continue;
        const auto open = m_openRequests.find(row.routing.id);
        view.targets.push_back({ row.routing.id, row.routing.supply, row.routing.failureDomain, row.routing.state, open == m_openRequests.end() ? 0 : open->second,
            m_draining.contains(row.routing.id) });
    }
    for (const auto& intent : m_tracker->pending()) {
        if (intent.pool == id && intent.action == order_action::Start)
            view.starting.push_back({ intent.kind, intent.failureDomain });
    }
    for (const auto& domain : pool.failureDomains) {
        for (const auto kind : { supply_kind::Firm, supply_kind::Cheap }) {
            if (m_tracker->backedOff(id, kind, domain, m_context.now))
                view.backedOff.push_back({ kind, domain });
        }
    }
    return view;
}

void order_duty::plan()
{
    for (const auto& pool : m_context.inForce->all<target_pool>().sorted()) {
        if (isOrdered(*pool) && m_planners.contains(pool_id(pool->meta.name)))
            plan(*pool);
    }
}

void order_duty::plan(const target_pool& pool)
{
    const pool_id id(pool.meta.name);
    const auto planned = m_planners.at(id).plan(pool, capacityViewOf(pool), m_context.now);
    m_plans[id] = planned;
    for (const auto& start : planned.starts) {
        const auto order = m_tracker->start(pool, start.where.kind, start.where.failureDomain, m_context.now);
        if (!order)
            break;
        record(subject_kind::Order, order->str(), "start", start.reason,
            { { "pool", id.str() }, { "kind", kindName(start.where.kind) }, { "failure_domain", start.where.failureDomain.str() } });
    }
    if (!planned.stop)
        return;
    for (const auto& row : m_targets.targets()) {
        if (row.routing.id != planned.stop->target)
            continue;
        m_draining.emplace(row.routing.id, draining_target { id, row.routing.incarnation, m_context.now, 0 });
        record(subject_kind::Target, row.routing.id.str(), "empty", planned.stop->reason, { { "pool", id.str() } });
        // Start a demand round now: its call tells all instances to drain the target.
        m_nextDemand = m_context.now;
    }
}

// Stops drained targets: those at which all instances have reported no work, or, if an instance
// does not answer, those marked for longer than the longest request can take.
void order_duty::stopDrainedTargets()
{
    const auto maxDrainTime = m_context.values.limits.requestTimeout + m_context.values.timing.targetList;
    for (auto it = m_draining.begin(); it != m_draining.end();) {
        const auto row = std::find_if(m_targets.targets().begin(), m_targets.targets().end(),
            [&](const auto& entry) { return entry.routing.id == it->first && entry.routing.incarnation == it->second.incarnationNumber; });
        const auto pool = m_context.inForce->findPool(it->second.pool);
        if (row == m_targets.targets().end() || pool == nullptr) {
            it = m_draining.erase(it);
            continue;
        }
        const bool isEmpty = it->second.emptyRounds >= requiredEmptyRounds || m_context.now - it->second.since >= maxDrainTime;
        if (isEmpty && row->routing.state != target_state::Leaving) {
            if (const auto order = m_tracker->stop(*pool, provider::orderedTarget(*row), m_context.now))
                record(subject_kind::Order, order->str(), "stop", "the target has no work left", { { "target", it->first.str() }, { "pool", it->second.pool.str() } });
        }
        ++it;
    }
}

// --- Orders -------------------------------------------------------------------------------

template <typename Step>
void order_duty::ifCurrentTerm(std::uint64_t term, Step step)
{
    if (term == m_term && m_tracker)
        execute(step(*m_tracker));
}

void order_duty::execute(const std::vector<order_command>& commands)
{
    for (const auto& command : commands)
        std::visit([this](const auto& alternative) { execute(alternative); }, command);
}

void order_duty::execute(const read_intents&)
{
    const std::string prefix(intentPrefix);
    m_context.kv.call(kv_range { prefix, prefixEnd(prefix), 0, {}, false }, [this, term = m_term](const result<kv_answer>& answer) {
        ifCurrentTerm(term, [&](order_tracker& tracker) {
            return tracker.onIntents(answer ? result<std::vector<kv_entry>>(answer->entries) : tl::unexpected(answer.error()), m_context.now);
        });
    });
}

void order_duty::execute(const write_intent& write)
{
    m_context.kv.call(write.change, [this, term = m_term, id = write.id](const result<kv_answer>& answer) {
        ifCurrentTerm(term, [&](order_tracker& tracker) { return tracker.onWritten(id, answer, m_context.now); });
    });
}

void order_duty::execute(const remove_intent& remove)
{
    m_context.kv.call(remove.change, [this, term = m_term, id = remove.id](const result<kv_answer>& answer) {
        ifCurrentTerm(term, [&](order_tracker& tracker) { return tracker.onRemoved(id, answer, m_context.now); });
    });
}

// Sends an order through the order thread, whose guard drops it once the lease has ended,
// however long this process is suspended from here on.
void order_duty::execute(const send_order& send)
{
    const auto lease = m_leases.holds(duty());
    auto request = provider::orderRequest(m_context.values.platform.platform, send);
    request.id = ++m_lastSend;
    const bool holdsLease = lease && lease->fencing == send.fencing;
    request.until = holdsLease ? std::min(lease->until, m_context.now + maxSendDelay) : m_context.now;
    if (holdsLease && m_thread.send(std::move(request))) {
        m_sent[m_lastSend] = { send.intent.id, m_term };
        return;
    }
    execute(m_tracker->onSendAnswer(send.intent.id, order_outcome::NotSent, {}, m_context.now));
}

void order_duty::execute(const query_order& query)
{
    m_context.platform.call(provider::queryRequest(m_context.values.platform.platform, query.id), [this, term = m_term, id = query.id](const http::answer& answer) {
        const auto decoded = provider::decodeQueryAnswer(answer);
        ifCurrentTerm(term, [&](order_tracker& tracker) { return tracker.onQueryAnswer(id, decoded.outcome, decoded.target, m_context.now); });
    });
}

void order_duty::execute(const resign_order_duty& resign)
{
    logEvent(log_level::Warning, "orders", "resign", { { "error", resign.reason } });
    m_leases.release(duty());
}

void order_duty::execute(const log_order_decision& logged)
{
    logEvent(log_level::Info, "orders", logged.decision, { { "for", logged.id.str() }, { "target", logged.target.str() }, { "reason", logged.reason } });
    std::vector<journal_fact> facts;
    if (!logged.target.empty())
        facts.push_back({ "target", logged.target.str() });
    if (logged.id.empty())
        record(subject_kind::Target, logged.target.str(), logged.decision, logged.reason, {});
    else
        record(subject_kind::Order, logged.id.str(), logged.decision, logged.reason, std::move(facts));
}

void order_duty::record(subject_kind kind, std::string subject, std::string decision, std::string reason, std::vector<journal_fact> facts)
{
    journal_entry entry;
    entry.at = m_context.wall;
    entry.duty = "capacity";
    entry.kind = kind;
    entry.subject = std::move(subject);
    entry.decision = std::move(decision);
    entry.reason = std::move(reason);
    entry.facts = std::move(facts);
    m_status.record(std::move(entry));
}

// --- Operators -----------------------------------------------------------------------------

Json::Value order_duty::ownState() const
{
    Json::Value out(Json::objectValue);
    out["instance"] = m_context.self.str();
    out["work"] = Json::Value(Json::arrayValue);
    for (const auto& [key, work] : m_work) {
        Json::Value item(Json::objectValue);
        item["pool"] = key.first.str();
        item["kind"] = kindName(key.second);
        item["attempts"] = Json::UInt64(work.attempts);
        item["lost"] = Json::UInt64(work.lost);
        item["redone"] = Json::UInt64(work.redone);
        item["generated"] = Json::UInt64(work.generated.count());
        out["work"].append(item);
    }
    const auto lease = m_leases.holds(duty());
    out["holder"] = m_tracker.has_value() && lease.has_value();
    if (!m_tracker || !lease)
        return out;
    out["fencing_number"] = Json::UInt64(lease->fencing.value());
    out["ready"] = m_tracker->ready();
    out["orders"] = Json::Value(Json::arrayValue);
    for (const auto& intent : m_tracker->pending()) {
        Json::Value item(Json::objectValue);
        item["id"] = intent.id.str();
        item["action"] = std::string(toString(intent.action));
        item["pool"] = intent.pool.str();
        item["kind"] = kindName(intent.kind);
        item["failure_domain"] = intent.failureDomain.str();
        item["target"] = intent.target.str();
        out["orders"].append(item);
    }
    out["pools"] = Json::Value(Json::arrayValue);
    for (const auto& [pool, plan] : m_plans) {
        const auto& sample = m_demand.at(pool);
        Json::Value item(Json::objectValue);
        item["pool"] = pool.str();
        item["wanted"] = plan.wanted;
        item["wanted_firm"] = plan.wantedFirm;
        item["open"] = sample.open;
        item["queued"] = sample.queued;
        item["per_target"] = sample.perTarget;
        out["pools"].append(item);
    }
    out["emptying"] = Json::Value(Json::arrayValue);
    for (const auto& [target, drain] : m_draining)
        out["emptying"].append(target.str());
    return out;
}

// Answers with the state of the holder, and the work of all instances by kind of target.
void order_duty::answerOrders(const operator_call& call)
{
    m_status.gather("orders", Json::Value(Json::objectValue), [this, exchange = call.exchange](std::vector<Json::Value> answers, const std::vector<std::string>& silent) {
        answers.push_back(ownState());
        Json::Value body(Json::objectValue);
        body["work"] = Json::Value(Json::arrayValue);
        std::map<std::pair<std::string, std::string>, Json::Value> work;
        for (auto& answer : answers) {
            for (const auto& item : answer["work"]) {
                auto& sum = work.try_emplace({ item["pool"].asString(), item["kind"].asString() }, Json::objectValue).first->second;
                for (const auto* name : { "attempts", "lost", "redone", "generated" })
                    sum[name] = Json::UInt64(sum[name].asUInt64() + item[name].asUInt64());
            }
            if (!answer["holder"].asBool())
                continue;
            answer.removeMember("work");
            body["holders"].append(answer);
        }
        for (auto& [key, sum] : work) {
            sum["pool"] = key.first;
            sum["kind"] = key.second;
            body["work"].append(sum);
        }
        body["silent"] = Json::Value(Json::arrayValue);
        for (const auto& name : silent)
            body["silent"].append(name);
        answerJson(exchange, statusOk, body);
    });
}

} // namespace lovagerail::daemon
