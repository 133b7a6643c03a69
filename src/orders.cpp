// The book of open orders and its steps.
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

order_book::order_book(order_settings settings, fencing_number fencing, instant ordersFrom, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_fencing(fencing)
    , m_ordersFrom(ordersFrom)
    , m_random(seed)
{
}

// --- Wishes ------------------------------------------------------------------------

std::optional<order_id> order_book::add(order_intent intent, bool waits)
{
    const auto open = std::count_if(m_orders.begin(), m_orders.end(), [](const auto& entry) { return entry.second.ours; });
    if (!ready() || static_cast<std::size_t>(open) >= m_settings.openOrders)
        return std::nullopt;
    intent.id = order_id(std::to_string(m_fencing.value()) + "-" + std::to_string(++m_lastOrder));
    intent.fencing = m_fencing;
    open_order order;
    order.intent = intent;
    order.waits = waits;
    order.target = intent.target;
    m_orders.emplace(intent.id, order);
    return intent.id;
}

std::optional<order_id> order_book::start(const target_pool& pool, supply_kind kind, const failure_domain_id& domain, instant now)
{
    const pool_id name(pool.meta.name);
    if (backedOff(name, kind, domain, now))
        return std::nullopt;
    return add({ {}, order_action::Start, name, kind, domain, {}, {} }, pool.fencing == fencing_support::Ignored);
}

std::optional<order_id> order_book::stop(const target_pool& pool, const ordered_target& target, instant)
{
    for (const auto& [id, order] : m_orders) {
        if (order.intent.action == order_action::Stop && order.intent.target == target.id)
            return std::nullopt;
    }
    return add({ {}, order_action::Stop, target.pool, target.kind, target.failureDomain, target.id, {} }, pool.fencing == fencing_support::Ignored);
}

bool order_book::backedOff(const pool_id& pool, supply_kind kind, const failure_domain_id& domain, instant now) const
{
    const auto found = m_backOff.find({ pool, kind, domain });
    return found != m_backOff.end() && now < found->second.until;
}

std::vector<order_intent> order_book::pending() const
{
    std::vector<order_intent> out;
    for (const auto& [id, order] : m_orders) {
        if (order.state != order_state::Settled && order.state != order_state::Removing)
            out.push_back(order.intent);
    }
    return out;
}

// --- Steps --------------------------------------------------------------------------

std::vector<order_act> order_book::tick(instant now)
{
    if (m_resigned)
        return {};
    if (!m_intentsRead) {
        if (!m_reading && now >= m_nextRead) {
            m_reading = true;
            m_acts.emplace_back(read_intents {});
        }
        return take();
    }
    for (auto& [id, order] : m_orders) {
        if (!order.calling && now >= order.next)
            act(order, now);
    }
    return take();
}

// The next call of an order that awaits none.
void order_book::act(open_order& order, instant now)
{
    assert(!order.calling);
    switch (order.state) {
    case order_state::Writing:
        write(order);
        break;
    case order_state::Written:
        // Only what this term wrote is ever sent.
        assert(order.ours && order.intent.fencing == m_fencing);
        if (order.waits && now < m_ordersFrom)
            return;
        order.state = order_state::Sent;
        order.calling = true;
        if (order.intent.action == order_action::Stop)
            m_stopped.insert(order.intent.target);
        m_acts.emplace_back(send_order { order.intent, m_fencing });
        break;
    case order_state::Doubtful:
        // What a predecessor sent can be under way until then.
        if (!order.ours && now < m_ordersFrom)
            return;
        order.state = order_state::Asking;
        order.calling = true;
        m_acts.emplace_back(ask_about_order { order.intent.id });
        break;
    case order_state::Accepted:
        if (now >= order.acceptedAt + m_settings.ghostAfter) {
            settle(order, "ghost", "accepted, but the list never showed it", now);
            if (order.intent.action == order_action::Start)
                unobtainable(order.intent, now);
            return;
        }
        order.calling = true;
        m_acts.emplace_back(ask_about_order { order.intent.id });
        break;
    case order_state::Settled: {
        order.state = order_state::Removing;
        order.calling = true;
        kv_transaction change;
        change.then.emplace_back(kv_delete { intentKey(order.intent.id), {} });
        m_acts.emplace_back(remove_intent { order.intent.id, change });
        break;
    }
    case order_state::Sent:
    case order_state::Asking:
    case order_state::Removing:
        break;
    }
}

// The intent is created only while the duty's key is still that of this term.
void order_book::write(open_order& order)
{
    order.calling = true;
    kv_transaction change;
    change.compares.push_back({ std::string(dutyPrefix) + m_settings.duty.str(), kv_field::CreateRevision, revision(m_fencing.value()), {} });
    change.compares.push_back({ intentKey(order.intent.id), kv_field::CreateRevision, {}, {} });
    change.then.emplace_back(kv_put { intentKey(order.intent.id), intentValue(order.intent), {} });
    change.otherwise.emplace_back(kv_range { intentKey(order.intent.id), {}, 0, {}, false });
    change.otherwise.emplace_back(kv_range { std::string(dutyPrefix) + m_settings.duty.str(), {}, 0, {}, false });
    m_acts.emplace_back(write_intent { order.intent.id, change });
}

std::vector<order_act> order_book::onIntents(const result<std::vector<kv_entry>>& entries, instant now)
{
    m_reading = false;
    m_nextRead = now + m_settings.retryAfter;
    if (!entries || m_intentsRead)
        return take();
    m_intentsRead = true;
    m_readAt = now;
    for (const auto& entry : *entries) {
        const order_id id(entry.key.substr(intentPrefix.size()));
        open_order order;
        order.ours = false;
        order.state = order_state::Doubtful;
        const auto intent = parseIntent(id, entry.value);
        if (intent) {
            order.intent = *intent;
            order.target = intent->target;
        } else {
            order.intent.id = id;
            order.state = order_state::Settled;
        }
        m_orders.emplace(id, order);
        note(order, "taken over", intent ? "left by a predecessor" : toString(intent.error()));
    }
    return take();
}

std::vector<order_act> order_book::onWritten(const order_id& id, const result<kv_answer>& answer, instant now)
{
    const auto found = m_orders.find(id);
    if (found == m_orders.end() || found->second.state != order_state::Writing || !found->second.calling)
        return take();
    auto& order = found->second;
    order.calling = false;
    order.next = now + jittered(m_settings.retryAfter);
    // Lost or failed: the same transaction again. If it was done, the key is there.
    if (!answer)
        return take();
    bool there = answer->succeeded;
    bool holds = answer->succeeded;
    for (const auto& entry : answer->entries) {
        there = there || (entry.key == intentKey(id) && entry.value == intentValue(order.intent));
        holds = holds || (entry.key.starts_with(dutyPrefix) && entry.createRevision.value() == m_fencing.value());
    }
    if (!holds) {
        resign("the duty has another holder");
        return take();
    }
    if (!there) {
        note(order, "dropped", "the intent's key is taken");
        m_orders.erase(found);
        return take();
    }
    order.state = order_state::Written;
    order.next = now;
    act(order, now);
    return take();
}

std::vector<order_act> order_book::onRemoved(const order_id& id, const result<kv_answer>& answer, instant now)
{
    const auto found = m_orders.find(id);
    if (found == m_orders.end() || found->second.state != order_state::Removing)
        return take();
    if (answer) {
        m_orders.erase(found);
        return take();
    }
    found->second.calling = false;
    found->second.state = order_state::Settled;
    found->second.next = now + jittered(m_settings.retryAfter);
    return take();
}

std::vector<order_act> order_book::onSent(const order_id& id, order_outcome outcome, const target_id& target, instant now)
{
    const auto found = m_orders.find(id);
    if (found == m_orders.end() || found->second.state != order_state::Sent)
        return take();
    auto& order = found->second;
    order.calling = false;
    order.next = now + jittered(m_settings.retryAfter);
    switch (outcome) {
    case order_outcome::Accepted:
    case order_outcome::Done:
        order.state = order_state::Accepted;
        order.acceptedAt = now;
        order.next = now + m_settings.askEvery;
        if (!target.empty())
            order.target = target;
        if (order.intent.action == order_action::Start)
            m_backOff.erase(placeOf(order.intent));
        note(order, "accepted", "");
        break;
    case order_outcome::OldFencing:
        resign("the platform knows a newer fencing number");
        break;
    case order_outcome::Unobtainable:
        unobtainable(order.intent, now);
        settle(order, "unobtainable", "the platform has none to give", now);
        break;
    case order_outcome::Failed:
        settle(order, "failed", "the platform refused the order", now);
        if (order.intent.action == order_action::Start)
            unobtainable(order.intent, now);
        break;
    case order_outcome::NotSent:
        order.state = order_state::Written;
        break;
    case order_outcome::NotFound:
    case order_outcome::Lost:
        order.state = order_state::Doubtful;
        break;
    }
    return take();
}

std::vector<order_act> order_book::onAsked(const order_id& id, order_outcome outcome, const target_id& target, instant now)
{
    const auto found = m_orders.find(id);
    if (found == m_orders.end() || !found->second.calling)
        return take();
    auto& order = found->second;
    const bool asking = order.state == order_state::Asking;
    if (!asking && order.state != order_state::Accepted)
        return take();
    order.calling = false;
    order.next = now + jittered(m_settings.askEvery);
    switch (outcome) {
    case order_outcome::Accepted:
    case order_outcome::Done:
        if (asking) {
            order.state = order_state::Accepted;
            order.acceptedAt = now;
            note(order, "accepted", "learned by asking");
        }
        if (!target.empty())
            order.target = target;
        break;
    case order_outcome::Failed:
    case order_outcome::Unobtainable:
        if (order.intent.action == order_action::Start)
            unobtainable(order.intent, now);
        settle(order, "failed", "it did not come true", now);
        break;
    case order_outcome::NotFound:
        // Ours goes out again under the same id; a predecessor's never will.
        if (!asking)
            settle(order, "ghost", "the platform forgot it", now);
        else if (order.ours)
            order.state = order_state::Written;
        else
            settle(order, "dropped", "it never reached the platform", now);
        break;
    default:
        if (asking)
            order.state = order_state::Doubtful;
        break;
    }
    return take();
}

std::vector<order_act> order_book::onList(const std::vector<ordered_target>& rows, instant askedAt, instant now)
{
    if (!m_intentsRead || askedAt < m_readAt)
        return take();
    compareLists(rows, now);
    m_listRead = true;
    std::map<order_id, const ordered_target*> byOrder;
    std::map<target_id, const ordered_target*> byId;
    for (const auto& row : rows) {
        byId[row.id] = &row;
        if (!row.order.empty())
            byOrder[row.order] = &row;
    }
    for (auto& [id, order] : m_orders) {
        // A start is settled once its target is listed, a stop once it is leaving or gone.
        if (order.intent.action == order_action::Start) {
            const auto row = byOrder.find(id);
            const bool mayRun = order.state == order_state::Accepted || order.state == order_state::Doubtful || order.state == order_state::Asking;
            if (row != byOrder.end() && mayRun) {
                order.target = row->second->id;
                settle(order, "running", "the list shows it", now);
            }
            continue;
        }
        const auto row = byId.find(order.intent.target);
        const bool isGone = row == byId.end() || row->second->state == target_state::Leaving;
        if (order.state == order_state::Accepted && isGone)
            settle(order, "stopped", "the list shows it", now);
    }
    return take();
}

// What changed in the list without us: orphans, which count like any target, and
// cheap targets that were taken away.
void order_book::compareLists(const std::vector<ordered_target>& rows, instant now)
{
    std::map<target_id, ordered_target> next;
    for (const auto& row : rows) {
        next[row.id] = row;
        const auto before = m_listed.find(row.id);
        const bool isNew = before == m_listed.end() || before->second.order != row.order;
        if (m_listRead && isNew && !row.order.empty() && !m_orders.contains(row.order))
            m_acts.emplace_back(order_note { row.order, row.id, "orphan", "running without an intent; it counts as ours" });
    }
    for (const auto& [id, row] : m_listed) {
        const auto after = next.find(id);
        const bool isGone = after == next.end() || (after->second.state == target_state::Leaving && row.state != target_state::Leaving);
        if (!isGone || row.state == target_state::Leaving || m_stopped.contains(id))
            continue;
        m_acts.emplace_back(order_note { row.order, id, "taken away", "it left without our order" });
        if (row.kind == supply_kind::Cheap && !backedOff(row.pool, row.kind, row.failureDomain, now))
            unobtainable({ {}, order_action::Start, row.pool, row.kind, row.failureDomain, {}, {} }, now);
    }
    std::erase_if(m_stopped, [&next](const target_id& id) { return !next.contains(id); });
    m_listed = std::move(next);
}

void order_book::settle(open_order& order, std::string decision, std::string reason, instant now)
{
    order.state = order_state::Settled;
    order.calling = false;
    order.next = now;
    note(order, std::move(decision), std::move(reason));
}

// Doubles the time in which nothing of the kind is asked for there.
void order_book::unobtainable(const order_intent& intent, instant now)
{
    auto& item = m_backOff[placeOf(intent)];
    constexpr std::uint32_t mostDoublings = 10;
    const auto time = std::min(m_settings.longestBackOff, m_settings.backOff * (1 << std::min(item.failures, mostDoublings)));
    ++item.failures;
    item.until = now + jittered(time);
}

void order_book::resign(std::string why)
{
    m_resigned = true;
    m_acts.clear();
    m_acts.emplace_back(resign_orders { std::move(why) });
}

void order_book::note(const open_order& order, std::string decision, std::string reason)
{
    m_acts.emplace_back(order_note { order.intent.id, order.target, std::move(decision), std::move(reason) });
}

// Three quarters of the time up to all of it.
duration order_book::jittered(duration time)
{
    constexpr std::size_t parts = 1024;
    return time * 3 / 4 + time / 4 * static_cast<std::int64_t>(m_random.below(parts)) / static_cast<std::int64_t>(parts);
}

} // namespace lovagerail
