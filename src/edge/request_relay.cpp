// The relay's side of requests that instances send to targets through each other.
#include "edge/request_relay.h"

#include "edge/caller_frontend.h"
#include "http_status.h"
#include "json_text.h"
#include "log.h"

#include <utility>

namespace lovagerail::edge {

namespace {

    constexpr std::string_view duty = "relay";
    constexpr std::size_t maxTestedTargets = 8; // of a question

    void answerQuestion(const http::exchange_ptr& exchange, bool reachesTargets)
    {
        Json::Value body(Json::objectValue);
        body["reaches_targets"] = reachesTargets;
        exchange->answer(statusOk, {}, writeJson(body));
    }

} // namespace

request_relay::request_relay(context& shared, target_link& link, head_function onHead)
    : m_context(shared)
    , m_link(link)
    , m_onHead(std::move(onHead))
{
}

void request_relay::refuse(const http::exchange_ptr& exchange, relay_outcome outcome) const
{
    http::header_list headers;
    setRelayOutcome(headers, outcome);
    exchange->answer(statusUnavailable, std::move(headers), "");
}

void request_relay::onRequest(const http::exchange_ptr& exchange)
{
    // Step 1. Send on only to a target that this instance would use itself.
    auto call = decodeRelayedCall(exchange);
    const auto& table = m_context.targets.table();
    const auto slot = call ? table.find(call->target) : std::nullopt;
    const bool isUsable = slot && table.isLive(*slot) && table.record(*slot).listed.incarnation == call->targetIncarnation;
    if (!call || m_context.stopping || m_link.paths().isCutOff() || !isUsable) {
        logEvent(log_level::Info, duty, "refused",
            { { "target", call ? call->target.str() : std::string() }, { "reason", !call ? "malformed" : m_context.stopping ? "stopping"
                                                                               : !isUsable                                  ? "target"
                                                                                                                            : "cut off" } });
        refuse(exchange, call && !m_context.stopping && !isUsable ? relay_outcome::PathBroken : relay_outcome::NotRelayed);
        return;
    }

    // Step 2. Send it, under the time limits of our own requests.
    auto request = std::move(call->request);
    request.url = table.record(*slot).listed.address + "/";
    request.connectTimeout = targetConnectTimeout;
    request.unacknowledgedTimeout = targetUnacknowledgedTimeout;
    request.maxBodyBytes = 0; // passed on as it arrives
    const auto id = ++m_lastId;
    auto& relay = m_open[id];
    relay.exchange = exchange;
    relay.target = call->target;
    relay.targetIncarnation = call->targetIncarnation;
    relay.sentAt = m_context.now;
    relay.call = m_link.open(std::move(request), call->target, call->targetIncarnation, path_rule::OwnOnly, {}, [this, id](http::event& event) { onEvent(id, event); });
}

void request_relay::onEvent(std::uint64_t id, http::event& event)
{
    const auto found = m_open.find(id);
    auto& relay = found->second;
    if (event.what == http::event::kind::Head) {
        m_onHead(relay.target, relay.targetIncarnation, platform::decodeTargetHead(event.status, event.headers), relay.sentAt);
        relay.headSent = true;
        setRelayOutcome(event.headers, relay_outcome::Answered, event.framing);
        relay.exchange->begin(event.status, std::move(event.headers));
        return;
    }
    if (event.what == http::event::kind::Body) {
        if (!relay.exchange->append(event.bytes)) {
            m_link.cancel(relay.call);
            m_open.erase(found);
        }
        return;
    }
    if (event.what != http::event::kind::Done)
        return;
    const auto ended = std::move(relay);
    m_open.erase(found);
    if (!ended.headSent)
        refuse(ended.exchange, event.outcome != http::transfer_result::NotSent ? relay_outcome::Silent : m_link.paths().isCutOff() ? relay_outcome::NotRelayed
                                                                                                                                   : relay_outcome::PathBroken);
    else if (event.outcome == http::transfer_result::Complete || event.outcome == http::transfer_result::Unproven)
        ended.exchange->end();
    else
        ended.exchange->abort();
}

void request_relay::onQuestion(const http::exchange_ptr& exchange)
{
    const auto body = parseJson(exchange->body);
    if (!body || !body->isArray() || body->size() > maxTestedTargets) {
        logEvent(log_level::Warning, duty, "question_refused", { { "bytes", std::to_string(exchange->body.size()) } });
        exchange->answer(statusBadRequest, {}, "not a question for paths to targets");
        return;
    }

    // Step 1. Answer by the evidence that there is.
    const auto known = m_link.paths().reachesTargets(m_context.now);
    if (known || m_context.stopping) {
        answerQuestion(exchange, known.value_or(false) && !m_context.stopping);
        return;
    }

    // Step 2. Without any, test the targets that the other instance names.
    m_questions.push_back(exchange);
    if (m_openTests > 0)
        return;
    m_openTests = body->size() + 1; // this call itself is the last one, as tests may end at once
    for (const auto& name : *body)
        m_link.testPath(target_id(name.isString() ? name.asString() : std::string()), [this](bool reached) { onTested(reached); });
    onTested(false);
}

void request_relay::onTested(bool reached)
{
    --m_openTests;
    if (!reached && m_openTests > 0)
        return;
    for (const auto& exchange : std::exchange(m_questions, {}))
        answerQuestion(exchange, reached);
}

void request_relay::tick()
{
    std::erase_if(m_open, [this](const auto& entry) {
        if (!entry.second.exchange->callerDisconnected())
            return false;
        m_link.cancel(entry.second.call);
        return true;
    });
}

} // namespace lovagerail::edge
