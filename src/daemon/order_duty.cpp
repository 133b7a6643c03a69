// Between the book of orders, the plans of capacity, the service and the platform.
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

    constexpr std::size_t orderRing = 64;
    constexpr duration planEvery = std::chrono::seconds(1);
    constexpr duration demandEvery = std::chrono::seconds(2);
    constexpr duration demandPerInstance = std::chrono::milliseconds(20); // longer rounds in larger fleets
    // An order that isn't on its way by then is dropped and asked about: with the life
    // of its bytes it is over within what a successor waits.
    constexpr duration longestSend = std::chrono::milliseconds(1500);
    // Rounds in which nobody has work at a target, so that a round under way when
    // it was marked doesn't count.
    constexpr std::uint32_t emptyRoundsNeeded = 2;
    constexpr double enginePerTarget = 32;
    constexpr double servicePerTarget = 4;
    constexpr double perMilli = 1000;

    std::string nameOf(supply_kind kind) { return kind == supply_kind::Cheap ? "cheap" : "firm"; }

    capacity_settings capacitySettings(const settings& values)
    {
        capacity_settings out;
        out.idleTime = values.timing.capacityIdle;
        out.stopEvery = std::min(out.stopEvery, out.idleTime / 2);
        return out;
    }

    // Engine work can be resumed or run again; of plain services, only routes whose
    // every method may be repeated.
    double cheapShareOf(const target_pool& pool, const config& inForce)
    {
        if (!pool.allowCheap)
            return 0;
        if (pool.kind == pool_kind::Engine)
            return 1;
        for (const auto& one : inForce.all<route>().sorted()) {
            if (one->kind == pool_kind::Service && !one->idempotent)
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
    , m_thread(orderRing, owner)
{
    peers.server().add("demand", [this](const Json::Value& asked) -> result<Json::Value> { return ownDemand(asked); });
    peers.server().add("orders", [this](const Json::Value&) -> result<Json::Value> { return ownView(); });
    m_leases.onGained([this](const duty_id& gained, fencing_number fencing) {
        if (gained != duty())
            return;
        ++m_term;
        const auto held = m_leases.holds(duty());
        const auto ordersFrom = held ? held->ordersFrom : m_context.now + lease_settings().settle;
        m_book.emplace(order_settings { duty() }, fencing, ordersFrom, fencing.value());
        m_planners.clear();
        m_plans.clear();
        m_demand.clear();
        m_emptying.clear();
        m_demandKnown = false;
    });
    m_leases.onLost([this](const duty_id& lost, fencing_number) {
        if (lost != duty())
            return;
        ++m_term;
        m_book.reset();
    });
}

const duty_id& order_duty::duty()
{
    static const duty_id name("orders");
    return name;
}

bool order_duty::isWanted()
{
    if (m_wantedUnder != m_context.inForce) {
        m_wantedUnder = m_context.inForce;
        const auto pools = m_wantedUnder->all<target_pool>().sorted();
        m_wanted = std::any_of(pools.begin(), pools.end(), [](const auto& pool) { return isOrdered(*pool); });
    }
    return m_wanted;
}

void order_duty::addTo(operator_duty& api)
{
    api.add("GET", "/v1/orders", operator_scope::Read, [this](const operator_call& call) { answerOrders(call); });
}

// --- What this instance knows -------------------------------------------------------

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

// Marks what the holder empties, and says what work is here: by pool, and by target.
Json::Value order_duty::ownDemand(const Json::Value& asked)
{
    std::map<target_id, const provider::platform_target*> rows;
    for (const auto& row : m_targets.targets())
        rows[row.routing.id] = &row;
    for (const auto& item : asked["emptying"])
        m_targets.markLeaving(target_id(item["target"].asString()), incarnation(item["incarnation"].asUInt64()));

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
    // What an earlier holder began to empty has to be stopped, as it can't come back.
    out["emptying"] = Json::Value(Json::arrayValue);
    for (const auto& [target, life] : m_targets.leaving()) {
        Json::Value item(Json::objectValue);
        item["target"] = target.str();
        item["incarnation"] = Json::UInt64(life.value());
        out["emptying"].append(item);
    }
    return out;
}

// --- The holder's round ---------------------------------------------------------------

void order_duty::tick()
{
    // Step 1. What became of sent orders.
    provider::order_reply reply;
    while (m_thread.tryPop(reply)) {
        const auto sent = m_sent.extract(reply.id);
        if (sent.empty())
            continue;
        const auto news = provider::decodeSent(reply.answer);
        inTerm(sent.mapped().term, [&](order_book& book) { return book.onSent(sent.mapped().id, news.outcome, news.target, m_context.now); });
    }
    if (!m_book || !m_leases.holds(duty()))
        return;

    // Step 2. A list that came since.
    if (m_targets.listAskedAt() > m_listTaken) {
        m_listTaken = m_targets.listAskedAt();
        std::vector<ordered_target> rows;
        for (const auto& row : m_targets.targets())
            rows.push_back(provider::orderedTarget(row));
        act(m_book->onList(rows, m_listTaken, m_context.now));
    }
    if (m_book)
        act(m_book->tick(m_context.now));

    // Step 3. Demand, and what follows from it.
    if (!m_asking && m_context.now >= m_nextDemand)
        askDemand();
    if (m_book && m_demandKnown && m_book->ready() && m_context.now >= m_nextPlan) {
        m_nextPlan = m_context.now + planEvery;
        plan();
        stopEmpty();
    }
}

void order_duty::askDemand()
{
    m_asking = true;
    m_nextDemand = m_context.now + demandEvery + demandPerInstance * static_cast<std::int64_t>(m_leases.live().size());
    Json::Value asked(Json::objectValue);
    asked["emptying"] = Json::Value(Json::arrayValue);
    for (const auto& [target, one] : m_emptying) {
        Json::Value item(Json::objectValue);
        item["target"] = target.str();
        item["incarnation"] = Json::UInt64(one.life.value());
        asked["emptying"].append(item);
    }
    const auto own = ownDemand(asked);
    m_status.gather("demand", asked, [this, own, term = m_term](std::vector<Json::Value> answers, const std::vector<std::string>& silent) {
        m_asking = false;
        answers.push_back(own);
        if (term == m_term && m_book)
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
            const auto here = item["open"].asUInt();
            open[target_id(item["target"].asString())] += here;
            pool.open += here;
            pool.perTarget += here * item["per_target"].asDouble();
        }
        for (const auto& item : answer["emptying"]) {
            const target_id target(item["target"].asString());
            const incarnation life(item["incarnation"].asUInt64());
            for (const auto& row : m_targets.targets()) {
                if (row.routing.id == target && row.routing.incarnation == life)
                    m_emptying.try_emplace(target, emptying { row.routing.pool, life, m_context.now, 0 });
            }
        }
    }
    m_openAt.clear();
    for (const auto& [target, count] : open)
        m_openAt[target] = count;
    observe(work);
    followEmptying(open, silent == 0);
    m_demandKnown = true;
}

void order_duty::observe(const std::map<pool_id, pool_work>& work)
{
    // This instance's share of traffic stands for the whole.
    const auto burning = makeBurnReport(m_status.burn().figures(m_context.now));
    for (const auto& pool : m_context.inForce->all<target_pool>().sorted()) {
        const pool_id id(pool->meta.name);
        if (!isOrdered(*pool))
            continue;
        demand_sample sample;
        sample.perTarget = pool->kind == pool_kind::Engine ? enginePerTarget : servicePerTarget;
        if (const auto found = work.find(id); found != work.end()) {
            sample.open = found->second.open;
            if (found->second.open > 0)
                sample.perTarget = std::max(1.0, found->second.perTarget / found->second.open);
        }
        // Above what live targets do at a time, requests wait there.
        double live = 0;
        for (const auto& row : m_targets.targets())
            live += row.routing.pool == id && row.routing.state == target_state::Live ? 1 : 0;
        sample.queued = std::max(0.0, sample.open - live * sample.perTarget);
        sample.open -= sample.queued;
        for (const auto& row : burning.rows) {
            if (row.key.scope.pool == id)
                sample.burn = std::max(sample.burn, static_cast<double>(row.burnMilli[0]) / perMilli);
        }
        sample.cheapShare = cheapShareOf(*pool, *m_context.inForce);
        m_demand[id] = sample;
        m_planners.try_emplace(id, capacitySettings(m_context.values)).first->second.observe(sample, m_context.now);
    }
}

void order_duty::followEmptying(const std::map<target_id, std::uint32_t>& open, bool everybody)
{
    for (auto& [target, one] : m_emptying) {
        const bool isEmpty = everybody && !open.contains(target);
        one.emptyRounds = isEmpty ? one.emptyRounds + 1 : 0;
    }
}

// --- Plans ------------------------------------------------------------------------------

capacity_view order_duty::viewOf(const target_pool& pool) const
{
    capacity_view view;
    const pool_id id(pool.meta.name);
    for (const auto& row : m_targets.targets()) {
        if (row.routing.pool != id || row.routing.state == target_state::Leaving)
            continue;
        const auto open = m_openAt.find(row.routing.id);
        view.targets.push_back({ row.routing.id, row.routing.supply, row.routing.failureDomain, row.routing.state, open == m_openAt.end() ? 0 : open->second,
            m_emptying.contains(row.routing.id) });
    }
    for (const auto& intent : m_book->pending()) {
        if (intent.pool == id && intent.action == order_action::Start)
            view.starting.push_back({ intent.kind, intent.failureDomain });
    }
    for (const auto& domain : pool.failureDomains) {
        for (const auto kind : { supply_kind::Firm, supply_kind::Cheap }) {
            if (m_book->backedOff(id, kind, domain, m_context.now))
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
    const auto made = m_planners.at(id).plan(pool, viewOf(pool), m_context.now);
    m_plans[id] = made;
    for (const auto& start : made.starts) {
        const auto order = m_book->start(pool, start.where.kind, start.where.failureDomain, m_context.now);
        if (!order)
            break;
        record(subject_kind::Order, order->str(), "start", start.reason,
            { { "pool", id.str() }, { "kind", nameOf(start.where.kind) }, { "failure_domain", start.where.failureDomain.str() } });
    }
    if (!made.stop)
        return;
    for (const auto& row : m_targets.targets()) {
        if (row.routing.id != made.stop->target)
            continue;
        m_emptying.emplace(row.routing.id, emptying { id, row.routing.incarnation, m_context.now, 0 });
        record(subject_kind::Target, row.routing.id.str(), "empty", made.stop->reason, { { "pool", id.str() } });
        // Everybody learns of it now.
        m_nextDemand = m_context.now;
    }
}

// Stops what has no work left by everybody's word. Where somebody is silent, no
// request can be left once the longest one is over.
void order_duty::stopEmpty()
{
    const auto longest = m_context.values.limits.requestTimeout + m_context.values.timing.targetList;
    for (auto it = m_emptying.begin(); it != m_emptying.end();) {
        const auto row = std::find_if(m_targets.targets().begin(), m_targets.targets().end(),
            [&](const auto& one) { return one.routing.id == it->first && one.routing.incarnation == it->second.life; });
        const auto pool = m_context.inForce->findPool(it->second.pool);
        if (row == m_targets.targets().end() || pool == nullptr) {
            it = m_emptying.erase(it);
            continue;
        }
        const bool isEmpty = it->second.emptyRounds >= emptyRoundsNeeded || m_context.now - it->second.since >= longest;
        if (isEmpty && row->routing.state != target_state::Leaving) {
            if (const auto order = m_book->stop(*pool, provider::orderedTarget(*row), m_context.now))
                record(subject_kind::Order, order->str(), "stop", "the target has no work left", { { "target", it->first.str() }, { "pool", it->second.pool.str() } });
        }
        ++it;
    }
}

// --- Orders -------------------------------------------------------------------------------

template <typename Step>
void order_duty::inTerm(std::uint64_t term, Step step)
{
    if (term == m_term && m_book)
        act(step(*m_book));
}

void order_duty::act(const std::vector<order_act>& acts)
{
    for (const auto& one : acts)
        std::visit([this](const auto& wanted) { act(wanted); }, one);
}

void order_duty::act(const read_intents&)
{
    const std::string prefix(intentPrefix);
    m_context.kv.call(kv_range { prefix, prefixEnd(prefix), 0, {}, false }, [this, term = m_term](const result<kv_answer>& answer) {
        inTerm(term, [&](order_book& book) {
            return book.onIntents(answer ? result<std::vector<kv_entry>>(answer->entries) : tl::unexpected(answer.error()), m_context.now);
        });
    });
}

void order_duty::act(const write_intent& write)
{
    m_context.kv.call(write.change, [this, term = m_term, id = write.id](const result<kv_answer>& answer) {
        inTerm(term, [&](order_book& book) { return book.onWritten(id, answer, m_context.now); });
    });
}

void order_duty::act(const remove_intent& remove)
{
    m_context.kv.call(remove.change, [this, term = m_term, id = remove.id](const result<kv_answer>& answer) {
        inTerm(term, [&](order_book& book) { return book.onRemoved(id, answer, m_context.now); });
    });
}

// The order thread's guard holds to the end of the right, however long this
// process is stopped from here on.
void order_duty::act(const send_order& send)
{
    const auto held = m_leases.holds(duty());
    auto wanted = provider::orderRequest(m_context.values.platform.platform, send);
    wanted.id = ++m_lastSend;
    const bool isOurs = held && held->fencing == send.fencing;
    wanted.until = isOurs ? std::min(held->until, m_context.now + longestSend) : m_context.now;
    if (isOurs && m_thread.send(std::move(wanted))) {
        m_sent[m_lastSend] = { send.intent.id, m_term };
        return;
    }
    act(m_book->onSent(send.intent.id, order_outcome::NotSent, {}, m_context.now));
}

void order_duty::act(const ask_about_order& ask)
{
    m_context.platform.call(provider::askRequest(m_context.values.platform.platform, ask.id), [this, term = m_term, id = ask.id](const http::answer& answer) {
        const auto news = provider::decodeAsked(answer);
        inTerm(term, [&](order_book& book) { return book.onAsked(id, news.outcome, news.target, m_context.now); });
    });
}

void order_duty::act(const resign_orders& resign)
{
    logEvent(log_level::Warning, "orders", "resign", { { "error", resign.why } });
    m_leases.release(duty());
}

void order_duty::act(const order_note& note)
{
    logEvent(log_level::Info, "orders", note.decision, { { "for", note.id.str() }, { "target", note.target.str() }, { "reason", note.reason } });
    std::vector<journal_fact> facts;
    if (!note.target.empty())
        facts.push_back({ "target", note.target.str() });
    if (note.id.empty())
        record(subject_kind::Target, note.target.str(), note.decision, note.reason, {});
    else
        record(subject_kind::Order, note.id.str(), note.decision, note.reason, std::move(facts));
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

Json::Value order_duty::ownView() const
{
    Json::Value out(Json::objectValue);
    out["instance"] = m_context.self.str();
    out["work"] = Json::Value(Json::arrayValue);
    for (const auto& [key, work] : m_work) {
        Json::Value item(Json::objectValue);
        item["pool"] = key.first.str();
        item["kind"] = nameOf(key.second);
        item["attempts"] = Json::UInt64(work.attempts);
        item["lost"] = Json::UInt64(work.lost);
        item["redone"] = Json::UInt64(work.redone);
        item["generated"] = Json::UInt64(work.generated.count());
        out["work"].append(item);
    }
    const auto held = m_leases.holds(duty());
    out["holder"] = m_book.has_value() && held.has_value();
    if (!m_book || !held)
        return out;
    out["fencing_number"] = Json::UInt64(held->fencing.value());
    out["ready"] = m_book->ready();
    out["orders"] = Json::Value(Json::arrayValue);
    for (const auto& intent : m_book->pending()) {
        Json::Value item(Json::objectValue);
        item["id"] = intent.id.str();
        item["action"] = std::string(toString(intent.action));
        item["pool"] = intent.pool.str();
        item["kind"] = nameOf(intent.kind);
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
    for (const auto& [target, one] : m_emptying)
        out["emptying"].append(target.str());
    return out;
}

// The holder's view, and the work of all by kind of target.
void order_duty::answerOrders(const operator_call& call)
{
    m_status.gather("orders", Json::Value(Json::objectValue), [this, exchange = call.exchange](std::vector<Json::Value> answers, const std::vector<std::string>& silent) {
        answers.push_back(ownView());
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
