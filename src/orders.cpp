// The state machine of open orders; see orders.h.
#include "orders.h"

#include "object_codec.h"

#include <algorithm>
#include <cassert>

namespace lovagerail {

namespace {

    std::string intentKey(const order_id& id) { return std::string(intentPrefix) + id.str(); }

    std::string_view toString(supply_kind kind) { return kind == supply_kind::Cheap ? "cheap" : "firm"; }

} // namespace

std::string_view toString(order_action action)
{
    return action == order_action::Start ? "start" : "stop";
}

std::string intentValue(const order_intent& intent)
{
    Json::Value out(Json::objectValue);
    out["action"] = std::string(toString(intent.action));
    out["pool"] = intent.pool.str();
    out["kind"] = std::string(toString(intent.kind));
    out["failure_domain"] = intent.failureDomain.str();
    out["target"] = intent.target.str();
    out["fencing_number"] = Json::UInt64(intent.fencing.value());
    return toText(out);
}

result<order_intent> parseIntent(const order_id& id, std::string_view value)
{
    const auto parsed = parseJson(std::string(value), "orders.intent");
    if (!parsed)
        return tl::unexpected(parsed.error());
    const auto& json = *parsed;
    for (const auto* name : { "action", "pool", "kind", "failure_domain", "target" }) {
        if (!json[name].isString())
            return failure(error_code::Corrupt, "orders.intent", std::string("no text in ") + name);
    }
    if (!json["fencing_number"].isUInt64())
        return failure(error_code::Corrupt, "orders.intent", "no fencing number");
    order_intent out;
    out.id = id;
    out.action = json["action"].asString() == "stop" ? order_action::Stop : order_action::Start;
    out.pool = pool_id(json["pool"].asString());
    out.kind = json["kind"].asString() == "cheap" ? supply_kind::Cheap : supply_kind::Firm;
    out.failureDomain = failure_domain_id(json["failure_domain"].asString());
    out.target = target_id(json["target"].asString());
    out.fencing = fencing_number(json["fencing_number"].asUInt64());
    return out;
}

order_tracker::order_tracker(order_settings settings, fencing_number fencing, instant ordersFrom, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_fencing(fencing)
    , m_ordersFrom(ordersFrom)
    , m_random(seed)
{
}

// --- Requests ----------------------------------------------------------------------

std::optional<order_id> order_tracker::addOrder(order_intent intent, bool waitsForSettling)
{
    const auto openCount = std::count_if(m_orders.begin(), m_orders.end(), [](const auto& entry) { return entry.second.isFromThisTerm; });
    if (!ready() || static_cast<std::size_t>(openCount) >= m_settings.maxOpenOrders)
        return std::nullopt;
    intent.id = order_id(std::to_string(m_fencing.value()) + "-" + std::to_string(++m_lastOrder));
    intent.fencing = m_fencing;
    open_order order;
    order.intent = intent;
    order.waitsForSettling = waitsForSettling;
    order.target = intent.target;
    m_orders.emplace(intent.id, order);
    return intent.id;
}

std::optional<order_id> order_tracker::start(const target_pool& pool, supply_kind kind, const failure_domain_id& domain, instant now)
{
    const pool_id name(pool.meta.name);
    if (backedOff(name, kind, domain, now))
        return std::nullopt;
    return addOrder({ {}, order_action::Start, name, kind, domain, {}, {} }, pool.fencing == fencing_support::Ignored);
}

std::optional<order_id> order_tracker::stop(const target_pool& pool, const ordered_target& target, instant)
{
    for (const auto& [id, order] : m_orders) {
        if (order.intent.action == order_action::Stop && order.intent.target == target.id)
            return std::nullopt;
    }
    return addOrder({ {}, order_action::Stop, target.pool, target.kind, target.failureDomain, target.id, {} }, pool.fencing == fencing_support::Ignored);
}

bool order_tracker::backedOff(const pool_id& pool, supply_kind kind, const failure_domain_id& domain, instant now) const
{
    const auto found = m_backOffs.find({ pool, kind, domain });
    return found != m_backOffs.end() && now < found->second.until;
}

std::vector<order_intent> order_tracker::pending() const
{
    std::vector<order_intent> out;
    for (const auto& [id, order] : m_orders) {
        if (order.state != order_state::Finished && order.state != order_state::Removing)
            out.push_back(order.intent);
    }
    return out;
}

// --- State machine ------------------------------------------------------------------

std::vector<order_command> order_tracker::tick(instant now)
{
    if (m_resigned)
        return {};
    if (!m_intentsRead) {
        if (!m_reading && now >= m_nextRead) {
            m_reading = true;
            m_commands.emplace_back(read_intents {});
        }
        return takeCommands();
    }
    for (auto& [id, order] : m_orders) {
        if (!order.callInFlight && now >= order.next)
            advance(order, now);
    }
    return takeCommands();
}

// Emits the next call of an order that has none in flight.
void order_tracker::advance(open_order& order, instant now)
{
    assert(!order.callInFlight);
    switch (order.state) {
    case order_state::Writing:
        write(order);
        break;
    case order_state::Written:
        // Only orders whose intent this term wrote are ever sent.
        assert(order.isFromThisTerm && order.intent.fencing == m_fencing);
        if (order.waitsForSettling && now < m_ordersFrom)
            return;
        order.state = order_state::Sent;
        order.callInFlight = true;
        if (order.intent.action == order_action::Stop)
            m_stopped.insert(order.intent.target);
        m_commands.emplace_back(send_order { order.intent, m_fencing });
        break;
    case order_state::AnswerLost:
        // A predecessor's order can be in flight until m_ordersFrom, so "not found" would prove nothing before.
        if (!order.isFromThisTerm && now < m_ordersFrom)
            return;
        order.state = order_state::Querying;
        order.callInFlight = true;
        m_commands.emplace_back(query_order { order.intent.id });
        break;
    case order_state::Accepted:
        if (now >= order.acceptedAt + m_settings.unlistedTimeout) {
            finish(order, "ghost", "accepted, but the list never showed it", now);
            if (order.intent.action == order_action::Start)
                startBackOff(order.intent, now);
            return;
        }
        order.callInFlight = true;
        m_commands.emplace_back(query_order { order.intent.id });
        break;
    case order_state::Finished: {
        order.state = order_state::Removing;
        order.callInFlight = true;
        kv_transaction change;
        change.then.emplace_back(kv_delete { intentKey(order.intent.id), {} });
        m_commands.emplace_back(remove_intent { order.intent.id, change });
        break;
    }
    case order_state::Sent:
    case order_state::Querying:
    case order_state::Removing:
        break;
    }
}

// The transaction creates the intent only while the duty's key still has this term's
// fencing number.
void order_tracker::write(open_order& order)
{
    order.callInFlight = true;
    kv_transaction change;
    change.compares.push_back({ std::string(dutyPrefix) + m_settings.duty.str(), kv_field::CreateRevision, revision(m_fencing.value()), {} });
    change.compares.push_back({ intentKey(order.intent.id), kv_field::CreateRevision, {}, {} });
    change.then.emplace_back(kv_put { intentKey(order.intent.id), intentValue(order.intent), {} });
    change.otherwise.emplace_back(kv_range { intentKey(order.intent.id), {}, 0, {}, false });
    change.otherwise.emplace_back(kv_range { std::string(dutyPrefix) + m_settings.duty.str(), {}, 0, {}, false });
    m_commands.emplace_back(write_intent { order.intent.id, change });
}

std::vector<order_command> order_tracker::onIntents(const result<std::vector<kv_entry>>& entries, instant now)
{
    m_reading = false;
    m_nextRead = now + m_settings.retryAfter;
    if (!entries || m_intentsRead)
        return takeCommands();
    m_intentsRead = true;
    m_intentsReadAt = now;
    for (const auto& entry : *entries) {
        const order_id id(entry.key.substr(intentPrefix.size()));
        open_order order;
        order.isFromThisTerm = false;
        order.state = order_state::AnswerLost;
        const auto intent = parseIntent(id, entry.value);
        if (intent) {
            order.intent = *intent;
            order.target = intent->target;
        } else {
            order.intent.id = id;
            order.state = order_state::Finished;
        }
        m_orders.emplace(id, order);
        recordDecision(order, "taken over", intent ? "left by a predecessor" : toString(intent.error()));
    }
    return takeCommands();
}

std::vector<order_command> order_tracker::onWritten(const order_id& id, const result<kv_answer>& answer, instant now)
{
    const auto found = m_orders.find(id);
    if (found == m_orders.end() || found->second.state != order_state::Writing || !found->second.callInFlight)
        return takeCommands();
    auto& order = found->second;
    order.callInFlight = false;
    order.next = now + jittered(m_settings.retryAfter);
    // Lost or failed: the same transaction is sent again; if the first one took effect,
    // the intent's key is found then.
    if (!answer)
        return takeCommands();
    bool intentExists = answer->succeeded;
    bool holdsDuty = answer->succeeded;
    for (const auto& entry : answer->entries) {
        intentExists = intentExists || (entry.key == intentKey(id) && entry.value == intentValue(order.intent));
        holdsDuty = holdsDuty || (entry.key.starts_with(dutyPrefix) && entry.createRevision.value() == m_fencing.value());
    }
    if (!holdsDuty) {
        resignDuty("the duty has another holder");
        return takeCommands();
    }
    if (!intentExists) {
        recordDecision(order, "dropped", "the intent's key is taken");
        m_orders.erase(found);
        return takeCommands();
    }
    order.state = order_state::Written;
    order.next = now;
    advance(order, now);
    return takeCommands();
}

std::vector<order_command> order_tracker::onRemoved(const order_id& id, const result<kv_answer>& answer, instant now)
{
    const auto found = m_orders.find(id);
    if (found == m_orders.end() || found->second.state != order_state::Removing)
        return takeCommands();
    if (answer) {
        m_orders.erase(found);
        return takeCommands();
    }
    found->second.callInFlight = false;
    found->second.state = order_state::Finished;
    found->second.next = now + jittered(m_settings.retryAfter);
    return takeCommands();
}

std::vector<order_command> order_tracker::onSendAnswer(const order_id& id, order_outcome outcome, const target_id& target, instant now)
{
    const auto found = m_orders.find(id);
    if (found == m_orders.end() || found->second.state != order_state::Sent)
        return takeCommands();
    auto& order = found->second;
    order.callInFlight = false;
    order.next = now + jittered(m_settings.retryAfter);
    switch (outcome) {
    case order_outcome::Accepted:
    case order_outcome::Done:
        order.state = order_state::Accepted;
        order.acceptedAt = now;
        order.next = now + m_settings.statusQueryInterval;
        if (!target.empty())
            order.target = target;
        if (order.intent.action == order_action::Start)
            m_backOffs.erase(supplyKeyOf(order.intent));
        recordDecision(order, "accepted", "");
        break;
    case order_outcome::OldFencing:
        resignDuty("the platform knows a newer fencing number");
        break;
    case order_outcome::Unobtainable:
        startBackOff(order.intent, now);
        finish(order, "unobtainable", "the platform has no capacity of this kind there", now);
        break;
    case order_outcome::Failed:
        finish(order, "failed", "the platform refused the order", now);
        if (order.intent.action == order_action::Start)
            startBackOff(order.intent, now);
        break;
    case order_outcome::NotSent:
        order.state = order_state::Written;
        break;
    case order_outcome::NotFound:
    case order_outcome::Lost:
        order.state = order_state::AnswerLost;
        break;
    }
    return takeCommands();
}

std::vector<order_command> order_tracker::onQueryAnswer(const order_id& id, order_outcome outcome, const target_id& target, instant now)
{
    const auto found = m_orders.find(id);
    if (found == m_orders.end() || !found->second.callInFlight)
        return takeCommands();
    auto& order = found->second;
    const bool querying = order.state == order_state::Querying;
    if (!querying && order.state != order_state::Accepted)
        return takeCommands();
    order.callInFlight = false;
    order.next = now + jittered(m_settings.statusQueryInterval);
    switch (outcome) {
    case order_outcome::Accepted:
    case order_outcome::Done:
        if (querying) {
            order.state = order_state::Accepted;
            order.acceptedAt = now;
            recordDecision(order, "accepted", "known from a status query");
        }
        if (!target.empty())
            order.target = target;
        break;
    case order_outcome::Failed:
    case order_outcome::Unobtainable:
        if (order.intent.action == order_action::Start)
            startBackOff(order.intent, now);
        finish(order, "failed", "the platform could not carry it out", now);
        break;
    case order_outcome::NotFound:
        // An order of this term is sent again under the same id; a predecessor's can't arrive any more.
        if (!querying)
            finish(order, "ghost", "the platform does not know it any more", now);
        else if (order.isFromThisTerm)
            order.state = order_state::Written;
        else
            finish(order, "dropped", "it never reached the platform", now);
        break;
    default:
        if (querying)
            order.state = order_state::AnswerLost;
        break;
    }
    return takeCommands();
}

std::vector<order_command> order_tracker::onList(const std::vector<ordered_target>& rows, instant requestedAt, instant now)
{
    if (!m_intentsRead || requestedAt < m_intentsReadAt)
        return takeCommands();
    recordListChanges(rows, now);
    m_listRead = true;
    std::map<order_id, const ordered_target*> byOrder;
    std::map<target_id, const ordered_target*> byId;
    for (const auto& row : rows) {
        byId[row.id] = &row;
        if (!row.order.empty())
            byOrder[row.order] = &row;
    }
    for (auto& [id, order] : m_orders) {
        // A start is finished once the list shows its target, a stop once the target is leaving or gone.
        if (order.intent.action == order_action::Start) {
            const auto row = byOrder.find(id);
            const bool mayRun = order.state == order_state::Accepted || order.state == order_state::AnswerLost || order.state == order_state::Querying;
            if (row != byOrder.end() && mayRun) {
                order.target = row->second->id;
                finish(order, "running", "the list shows it", now);
            }
            continue;
        }
        const auto row = byId.find(order.intent.target);
        const bool isGone = row == byId.end() || row->second->state == target_state::Leaving;
        if (order.state == order_state::Accepted && isGone)
            finish(order, "stopped", "the list shows it", now);
    }
    return takeCommands();
}

// Records changes of the list that no order of ours caused: targets without an intent
// (orphans; they count like any other target) and targets that the platform took away.
// A cheap target taken away puts its kind into back-off in that failure domain.
void order_tracker::recordListChanges(const std::vector<ordered_target>& rows, instant now)
{
    std::map<target_id, ordered_target> nextListed;
    for (const auto& row : rows) {
        nextListed[row.id] = row;
        const auto before = m_listed.find(row.id);
        const bool isNew = before == m_listed.end() || before->second.order != row.order;
        if (m_listRead && isNew && !row.order.empty() && !m_orders.contains(row.order))
            m_commands.emplace_back(log_order_decision { row.order, row.id, "orphan", "running without an intent; it counts as ours" });
    }
    for (const auto& [id, row] : m_listed) {
        const auto after = nextListed.find(id);
        const bool isGone = after == nextListed.end() || (after->second.state == target_state::Leaving && row.state != target_state::Leaving);
        if (!isGone || row.state == target_state::Leaving || m_stopped.contains(id))
            continue;
        m_commands.emplace_back(log_order_decision { row.order, id, "taken away", "it left the list without an order of ours" });
        if (row.kind == supply_kind::Cheap && !backedOff(row.pool, row.kind, row.failureDomain, now))
            startBackOff({ {}, order_action::Start, row.pool, row.kind, row.failureDomain, {}, {} }, now);
    }
    std::erase_if(m_stopped, [&nextListed](const target_id& id) { return !nextListed.contains(id); });
    m_listed = std::move(nextListed);
}

void order_tracker::finish(open_order& order, std::string decision, std::string reason, instant now)
{
    order.state = order_state::Finished;
    order.callInFlight = false;
    order.next = now;
    recordDecision(order, std::move(decision), std::move(reason));
}

// Starts or doubles the back-off of this kind in this failure domain.
void order_tracker::startBackOff(const order_intent& intent, instant now)
{
    auto& backOffEntry = m_backOffs[supplyKeyOf(intent)];
    constexpr std::uint32_t maxDoublings = 10;
    const auto backOffTime = std::min(m_settings.maxBackOff, m_settings.backOff * (1 << std::min(backOffEntry.failures, maxDoublings)));
    ++backOffEntry.failures;
    backOffEntry.until = now + jittered(backOffTime);
}

void order_tracker::resignDuty(std::string reason)
{
    m_resigned = true;
    m_commands.clear();
    m_commands.emplace_back(resign_order_duty { std::move(reason) });
}

void order_tracker::recordDecision(const open_order& order, std::string decision, std::string reason)
{
    m_commands.emplace_back(log_order_decision { order.intent.id, order.target, std::move(decision), std::move(reason) });
}

// A random time between three quarters of `time` and all of it, so that retries don't coincide.
duration order_tracker::jittered(duration time)
{
    constexpr std::size_t parts = 1024;
    return time * 3 / 4 + time / 4 * static_cast<std::int64_t>(m_random.below(parts)) / static_cast<std::int64_t>(parts);
}

} // namespace lovagerail
