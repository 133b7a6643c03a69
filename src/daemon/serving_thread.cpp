// The loop of the serving duty.
#include "daemon/serving_thread.h"

#include "daemon/clock.h"
#include "http_status.h"
#include "log.h"

#include <algorithm>
#include <xxhash.h>

namespace lovagerail::daemon {

namespace {

    constexpr std::size_t controlRing = 4096;
    constexpr std::size_t targetRing = 8192;
    constexpr std::chrono::milliseconds longestSleep { 20 };
    constexpr duration housekeeping = std::chrono::milliseconds(50);
    constexpr duration stateEvery = std::chrono::milliseconds(500);
    constexpr std::uint64_t firstAttempt = std::uint64_t(1) << 40;

    transfer_end endOf(http::transfer_result outcome)
    {
        switch (outcome) {
        case http::transfer_result::Whole:
            return transfer_end::Whole;
        case http::transfer_result::NotSent:
            return transfer_end::NotSent;
        case http::transfer_result::NoAnswer:
            return transfer_end::NoAnswer;
        case http::transfer_result::Truncated:
            return transfer_end::Truncated;
        }
        return transfer_end::NoAnswer;
    }

} // namespace

serving_thread::serving_thread(const settings& values, serving_settings own, wakeup& control)
    : m_values(values)
    , m_serving(std::move(own))
    , m_callers(static_cast<std::size_t>(values.limits.queuedRequests), m_wakeup)
    , m_in(controlRing, m_wakeup)
    , m_out(controlRing, control)
    , m_targets("targets", targetRing, m_wakeup)
    , m_watch(
          { values.timing.loadReports, 64, std::chrono::milliseconds(1000) },
          [this](http::request wanted) { return m_targets.start(std::move(wanted)); },
          [this](std::uint64_t id) { m_targets.cancel(id); })
{
}

serving_thread::~serving_thread()
{
    stop();
}

result<void> serving_thread::start(const http::tls_files& tls)
{
    http::server_limits limits;
    limits.bodyBytes = static_cast<std::size_t>(m_values.limits.bodyBytes);
    limits.headerBytes = static_cast<std::size_t>(m_values.limits.headerBytes);
    limits.unreadBytes = static_cast<std::size_t>(m_values.limits.unreadBytes);
    limits.connections = static_cast<unsigned>(m_values.limits.connections);
    m_thread = std::make_unique<named_thread>("serving", [this] { run(); });
    auto listening = http::server::listen(m_values.listen.callers, limits, tls, [this](http::exchange_ptr x) { onCaller(std::move(x)); });
    if (!listening)
        return tl::unexpected(listening.error());
    m_server = std::move(*listening);
    return {};
}

void serving_thread::stop()
{
    m_stopping = true;
    m_wakeup.notify();
    m_thread.reset();
    m_server.reset();
}

// A full ring is answered at the edge, truthfully.
void serving_thread::onCaller(http::exchange_ptr exchange)
{
    auto kept = exchange;
    if (m_callers.tryPush(std::move(exchange)))
        return;
    kept->answer(statusUnavailable, { { "Content-Type", "application/json" }, { "Retry-After", "1" } },
        R"({"error":{"outcome":"not_run","reason":"overloaded","message":"too many requests wait","retry_after_ms":1000}})");
}

void serving_thread::run()
{
    instant nextHousekeeping = monotonicNow();
    instant nextState = nextHousekeeping;
    const auto& name = m_values.instance.name;
    const auto salt = XXH64(name.data(), name.size(), 0);
    while (!m_stopping) {
        m_wakeup.wait(m_outBacklog.empty() ? longestSleep : std::chrono::milliseconds(1));
        const auto now = monotonicNow();
        const auto wall = wallNow();
        takeControl(now, wall);
        takeTargets(now, wall);
        takeCallers(now, wall);
        if (now >= nextHousekeeping) {
            nextHousekeeping = now + housekeeping;
            noticeGone(now, wall);
            act(m_serving.tick(now, wall));
            m_watch.tick(m_serving.targets(), salt, now);
            if (auto marks = m_serving.suspects().news(); !marks.empty())
                tellControl(suspect_marks_out { std::move(marks) });
        }
        if (now >= nextState) {
            nextState = now + stateEvery;
            reportState();
            tellControl(account_demand_out { m_serving.limiter().takeDemand(now) });
        }
        flushControl();
    }
    for (auto& [handle, exchange] : m_exchanges)
        exchange->abort();
}

void serving_thread::takeCallers(instant now, wall_time wall)
{
    http::exchange_ptr exchange;
    while (m_callers.tryPop(exchange)) {
        caller_request request;
        request.handle = caller_handle(++m_lastHandle);
        request.method = exchange->method;
        request.path = exchange->path;
        request.query = exchange->query;
        request.headers = exchange->headers;
        request.body = std::move(exchange->body);
        m_exchanges[request.handle] = std::move(exchange);
        act(m_serving.arrive(std::move(request), now, wall));
    }
}

void serving_thread::takeControl(instant now, wall_time wall)
{
    to_serving message;
    while (m_in.tryPop(message)) {
        if (auto* config = std::get_if<new_config>(&message))
            m_serving.setConfig(std::move(config->inForce));
        else if (const auto* denials = std::get_if<new_denials>(&message))
            act(m_serving.deny(denials->marks, now));
        else if (const auto* targets = std::get_if<new_targets>(&message))
            m_serving.targets().applyList(targets->rows, now);
        else if (const auto* job = std::get_if<generation_job>(&message))
            act(m_serving.arrive(*job, now, wall));
        else if (auto* call = std::get_if<service_job>(&message))
            act(m_serving.arrive(std::move(*call), now, wall));
        else if (const auto* cancel = std::get_if<cancel_job>(&message))
            act(m_serving.cancel(cancel->job, now));
        else if (const auto* mode = std::get_if<serving_mode>(&message)) {
            m_serving.setCutOff(mode->cutOff);
            m_serving.setDraining(mode->draining);
        } else if (const auto* suspects = std::get_if<suspect_marks_in>(&message))
            m_serving.suspects().onNews(suspects->marks, wall);
        else if (const auto* leased = std::get_if<account_shares_in>(&message))
            m_serving.limiter().onShares(instance_id(m_values.instance.name), leased->shares);
        else if (const auto* live = std::get_if<instance_count>(&message))
            m_serving.setInstances(live->count);
    }
}

void serving_thread::takeTargets(instant now, wall_time wall)
{
    http::event event;
    while (m_targets.tryPop(event)) {
        if (event.id < firstAttempt) {
            m_watch.onEvent(event, m_serving.targets(), now, wall);
            continue;
        }
        const attempt_id attempt(event.id);
        if (event.what == http::event::kind::Head)
            act(m_serving.head(attempt, event.status, event.headers, now));
        else if (event.what == http::event::kind::Body)
            act(m_serving.body(attempt, event.bytes, now));
        else
            act(m_serving.done(attempt, endOf(event.outcome), now, wall));
    }
}

// Callers that hung up while nothing was written to them.
void serving_thread::noticeGone(instant now, wall_time wall)
{
    std::vector<caller_handle> gone;
    for (const auto& [handle, exchange] : m_exchanges) {
        if (exchange->callerGone())
            gone.push_back(handle);
    }
    std::sort(gone.begin(), gone.end());
    for (const auto handle : gone) {
        m_exchanges.erase(handle);
        act(m_serving.callerGone(handle, now, wall));
    }
}

void serving_thread::act(std::vector<serving_action> actions)
{
    for (auto& action : actions) {
        if (auto* begin = std::get_if<begin_answer>(&action)) {
            if (const auto found = m_exchanges.find(begin->handle); found != m_exchanges.end())
                found->second->begin(begin->status, std::move(begin->headers));
        } else if (const auto* append = std::get_if<append_answer>(&action)) {
            // A caller who is gone is noticed by housekeeping, which cancels the work.
            if (const auto found = m_exchanges.find(append->handle); found != m_exchanges.end())
                found->second->append(append->bytes);
        } else if (const auto* end = std::get_if<end_answer>(&action)) {
            if (auto node = m_exchanges.extract(end->handle))
                node.mapped()->end();
        } else if (const auto* abort = std::get_if<abort_answer>(&action)) {
            if (auto node = m_exchanges.extract(abort->handle))
                node.mapped()->abort();
        } else if (auto* whole = std::get_if<whole_answer>(&action)) {
            if (auto node = m_exchanges.extract(whole->handle))
                node.mapped()->answer(whole->status, std::move(whole->headers), std::move(whole->body));
        } else if (auto* trainer = std::get_if<trainer_request>(&action)) {
            if (auto node = m_exchanges.extract(trainer->handle))
                tellControl(trainer_call_in { std::move(*trainer), std::move(node.mapped()) });
        } else if (auto* send = std::get_if<send_attempt>(&action)) {
            act(*send);
        } else if (const auto* cancel = std::get_if<cancel_attempt>(&action)) {
            m_targets.cancel(cancel->attempt.value());
        } else if (auto* news = std::get_if<job_news>(&action)) {
            tellControl(std::move(*news));
        } else if (auto* record = std::get_if<serving_record>(&action)) {
            tellControl(std::move(*record));
        }
    }
}

void serving_thread::act(send_attempt& send)
{
    http::request wanted;
    wanted.id = send.attempt.value();
    wanted.method = std::move(send.method);
    wanted.url = std::move(send.url);
    wanted.headers = std::move(send.headers);
    wanted.body = std::move(send.body);
    wanted.reuse = send.repeatable ? http::connection_reuse::Allowed : http::connection_reuse::Forbidden;
    wanted.idleTimeout = m_values.limits.targetSilence;
    const auto attempt = send.attempt;
    if (m_targets.start(std::move(wanted)))
        return;
    // The ring is full: no byte has left.
    act(m_serving.done(attempt, transfer_end::NotSent, monotonicNow(), wallNow()));
}

void serving_thread::tellControl(to_control message)
{
    m_outBacklog.push_back(std::move(message));
}

void serving_thread::flushControl()
{
    while (!m_outBacklog.empty() && m_out.tryPush(std::move(m_outBacklog.front())))
        m_outBacklog.pop_front();
}

void serving_thread::reportState()
{
    serving_state state { m_serving.open(), m_serving.counts(), {} };
    served_versions versions;
    const auto& table = m_serving.targets().table();
    const auto& load = m_serving.targets().load();
    for (const auto slot : table.all()) {
        const auto& record = table.record(slot);
        const auto open = load.ownOutstanding(slot);
        const auto& speed = load.speed(slot);
        if (open > 0)
            state.work.push_back({ record.listed.id, open, record.listed.kind == target_kind::Engine ? speed.batchLimit : speed.serviceWorkers });
        if (table.isLive(slot))
            versions.versions.emplace_back(table.record(slot).listed.id, table.record(slot).version);
    }
    tellControl(std::move(state));
    tellControl(std::move(versions));
}

} // namespace lovagerail::daemon
