// Exchanges allowances between instances, and notes and logs the limits that targets name.
#include "edge/target_limits.h"

#include "edge/peer_call.h"
#include "json_text.h"
#include "log.h"
#include "rendezvous.h"

#include <algorithm>
#include <cstdio>

namespace lovagerail::edge {

namespace {

    constexpr std::string_view duty = "limits";
    constexpr duration logPeriod = std::chrono::seconds(1);
    constexpr std::chrono::milliseconds askTimeout { 400 };
    constexpr duration silentTime = std::chrono::seconds(3); // before a member that did not answer is asked again
    constexpr std::size_t allocatorCandidates = 2;

    std::string rateText(double perSecond)
    {
        char text[32];
        std::snprintf(text, sizeof text, "%.2f", perSecond);
        return text;
    }

    std::uint64_t millisecondsOf(duration span) { return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(span).count()); }

} // namespace

target_limits::target_limits(context& shared, members& membership)
    : m_context(shared)
    , m_members(membership)
    , m_named { "/limits", shared.targets.limits(), limit_allocator(), limit_allocator() }
    , m_cold { "/cold-limits", shared.targets.coldLimits(), limit_allocator(coldLimitSettings()), limit_allocator(coldLimitSettings()) }
{
}

void target_limits::onSend(const target_id& target, send_kind kind)
{
    if (kind == send_kind::Report || kind == send_kind::Order)
        m_context.targets.sentBeside(target, m_context.now);
    const auto slot = m_context.targets.table().find(target);
    if (slot && m_cold.enforced.limitOf(*slot))
        m_sends.try_emplace(target);
    if (const auto found = m_sends.find(target); found != m_sends.end())
        ++found->second[static_cast<std::size_t>(kind)];
}

void target_limits::observe(const target_id& target, incarnation incarnationNumber, const platform::target_head& head, instant sentAt)
{
    if (head.malformedLimit)
        logEvent(log_level::Warning, duty, "malformed", { { "target", target.str() } });
    // An answer that names no limit ends one only if it is surely the target's own.
    if (!head.requestLimit && (head.malformedLimit || head.proof.empty()))
        return;
    const auto change = m_context.targets.applyLimit(target, incarnationNumber, head.requestLimit, sentAt, m_context.now);
    if (change == limit_change::Named) {
        m_sends.try_emplace(target);
        logEvent(log_level::Info, duty, "named", { { "target", target.str() }, { "per_second", rateText(*head.requestLimit) } });
    } else if (change == limit_change::Ended) {
        m_sends.erase(target);
        logEvent(log_level::Info, duty, "ended", { { "target", target.str() } });
    }
}

void target_limits::tick()
{
    askForAllowances(m_named);
    askForAllowances(m_cold);
    if (m_context.now >= m_nextLog) {
        m_nextLog = m_context.now + logPeriod;
        logSends();
        for (auto* kind : { &m_named, &m_cold }) {
            kind->shared.dropUnused(m_context.now);
            kind->own.dropUnused(m_context.now);
        }
        std::erase_if(m_cold.lastTurns, [this](const auto& entry) { return !m_context.targets.table().find(entry.first); });
    }
}

std::optional<instance_id> target_limits::allocatorFor(const limit_kind& kind, const pool_id& pool) const
{
    auto order = rendezvousOrder(pool.str(), m_members.names());
    order.resize(std::min(order.size(), allocatorCandidates));
    for (const auto& name : order) {
        const auto silent = kind.silentUntil.find(name);
        if (silent == kind.silentUntil.end() || m_context.now >= silent->second)
            return name;
    }
    return std::nullopt;
}

allowance target_limits::ownPart(limit_kind& kind, const ask& asked)
{
    const instance_id self(m_context.settings.instance.name);
    auto names = m_members.names();
    if (&kind == &m_named)
        return kind.own.grant(asked.target, asked.incarnationNumber, asked.perSecond / static_cast<double>(names.size()), asked.age, self, m_context.now);
    std::sort(names.begin(), names.end());
    const auto rank = static_cast<std::size_t>(std::find(names.begin(), names.end(), self) - names.begin());
    return takeTurn(asked.perSecond, rank, names.size(), m_context.wall, kind.lastTurns[asked.target]);
}

void target_limits::askForAllowances(limit_kind& kind)
{
    const instance_id self(m_context.settings.instance.name);
    std::map<instance_id, std::vector<ask>> asksByAllocator;
    auto& limits = kind.enforced;
    for (const auto slot : limits.takeDue(m_context.now)) {
        const auto& listed = m_context.targets.table().record(slot).listed;
        const ask asked { listed.id, listed.incarnation, limits.limitOf(slot).value_or(0), limits.ageOf(slot, m_context.now) };
        const auto allocator = allocatorFor(kind, listed.pool);
        if (!allocator)
            apply(kind, asked, ownPart(kind, asked), m_context.now);
        else if (*allocator == self)
            apply(kind, asked, kind.shared.grant(asked.target, asked.incarnationNumber, asked.perSecond, asked.age, self, m_context.now), m_context.now);
        else
            asksByAllocator[*allocator].push_back(asked);
    }
    for (const auto& [allocator, asks] : asksByAllocator)
        sendAsks(kind, allocator, asks);
}

void target_limits::sendAsks(limit_kind& kind, const instance_id& allocator, const std::vector<ask>& asks)
{
    Json::Value body(Json::objectValue);
    body["from"] = m_context.settings.instance.name;
    body["targets"] = Json::Value(Json::arrayValue);
    for (const auto& asked : asks) {
        Json::Value row(Json::objectValue);
        row["target"] = asked.target.str();
        row["incarnation"] = Json::UInt64(asked.incarnationNumber.value());
        row["per_second"] = asked.perSecond;
        row["age_ms"] = Json::UInt64(millisecondsOf(asked.age));
        body["targets"].append(std::move(row));
    }
    const auto* peer = m_members.find(allocator);
    if (peer == nullptr) {
        onAllowances(kind, allocator, asks, m_context.now, {});
        return;
    }
    m_context.net.call(peerCall(peer->address, kind.path, writeJson(body), askTimeout),
        [this, &kind, allocator, asks, askedAt = m_context.now](const http::answer& answer) { onAllowances(kind, allocator, asks, askedAt, answer); });
}

void target_limits::onAllowances(limit_kind& kind, const instance_id& allocator, const std::vector<ask>& asks, instant askedAt, const http::answer& answer)
{
    const auto rows = isOk(answer) ? parseJson(answer.body) : std::nullopt;
    if (!rows || !rows->isArray() || rows->size() != asks.size()) {
        logEvent(log_level::Warning, duty, "not_answered", { { "path", kind.path }, { "member", allocator.str() }, { "status", std::to_string(answer.status) }, { "detail", answer.detail } });
        kind.silentUntil[allocator] = m_context.now + silentTime;
        for (const auto& asked : asks) {
            if (const auto slot = m_context.targets.table().find(asked.target))
                kind.enforced.askFailed(*slot);
        }
        return;
    }
    kind.silentUntil.erase(allocator);
    for (Json::ArrayIndex i = 0; i < rows->size(); ++i) {
        const auto& row = (*rows)[i];
        const allowance given { static_cast<std::uint32_t>(jsonCount(row, "requests")), std::chrono::milliseconds(jsonCount(row, "again_ms")), jsonNumber(row, "share") };
        apply(kind, asks[i], given, askedAt);
    }
}

void target_limits::apply(limit_kind& kind, const ask& asked, const allowance& given, instant askedAt)
{
    const auto slot = m_context.targets.table().find(asked.target);
    if (slot && m_context.targets.table().record(*slot).listed.incarnation == asked.incarnationNumber)
        kind.enforced.granted(*slot, given, askedAt, m_context.now);
}

void target_limits::onPeerRequest(const http::exchange_ptr& exchange)
{
    const auto body = parseJson(exchange->body);
    if (!body || !body->isObject() || jsonText(*body, "from").empty()) {
        logEvent(log_level::Warning, duty, "refused", { { "bytes", std::to_string(exchange->body.size()) } });
        exchange->answer(statusBadRequest, {}, "not a request for allowances");
        return;
    }
    const instance_id from(jsonText(*body, "from"));
    auto& allocator = exchange->path == m_cold.path ? m_cold.shared : m_named.shared;
    Json::Value answer(Json::arrayValue);
    for (const auto& row : jsonList(*body, "targets")) {
        const auto given = allocator.grant(target_id(jsonText(row, "target")), incarnation(jsonCount(row, "incarnation")), jsonNumber(row, "per_second"),
            std::chrono::milliseconds(jsonCount(row, "age_ms")), from, m_context.now);
        Json::Value out(Json::objectValue);
        out["requests"] = given.requests;
        out["again_ms"] = Json::UInt64(millisecondsOf(given.askAgainIn));
        out["share"] = given.sharePerSecond;
        answer.append(std::move(out));
    }
    exchange->answer(statusOk, {}, writeJson(answer));
}

void target_limits::logSends()
{
    std::erase_if(m_sends, [this](const auto& entry) {
        const auto slot = m_context.targets.table().find(entry.first);
        return !slot || (!m_named.enforced.limitOf(*slot) && !m_cold.enforced.limitOf(*slot));
    });
    for (auto& [target, counts] : m_sends) {
        const auto sends = std::exchange(counts, {});
        if (std::all_of(sends.begin(), sends.end(), [](std::uint32_t count) { return count == 0; }))
            continue;
        const auto slot = *m_context.targets.table().find(target);
        const auto& limits = m_cold.enforced.limitOf(slot) ? m_cold.enforced : m_named.enforced;
        const auto count = [&sends](send_kind kind) { return std::to_string(sends[static_cast<std::size_t>(kind)]); };
        logEvent(log_level::Info, duty, "sent",
            { { "target", target.str() }, { "per_second", rateText(*limits.limitOf(slot)) }, { "share", rateText(limits.shareOf(slot)) }, { "cold", &limits == &m_cold.enforced ? "1" : "0" },
                { "first", count(send_kind::First) }, { "repeated", count(send_kind::Repeated) }, { "judge", count(send_kind::Judge) }, { "item", count(send_kind::Item) },
                { "report", count(send_kind::Report) }, { "order", count(send_kind::Order) } });
    }
}

} // namespace lovagerail::edge
