// Event loop of the serving thread.
#include "daemon/serving_thread.h"

#include "daemon/clock.h"
#include "http_status.h"
#include "log.h"

#include <algorithm>
#include <xxhash.h>

namespace lovagerail::daemon {

namespace {

    constexpr std::size_t controlRingSize = 4096;
    constexpr std::size_t targetRingSize = 8192;
    constexpr std::chrono::milliseconds maxSleep { 20 };
    constexpr duration housekeepingInterval = std::chrono::milliseconds(50);
    constexpr duration stateInterval = std::chrono::milliseconds(500);
    // Transfers with smaller ids are those of the target watch, e.g. load reports.
    constexpr std::uint64_t firstAttemptId = std::uint64_t(1) << 40;

    transfer_end endOf(http::transfer_result outcome)
    {
        switch (outcome) {
        case http::transfer_result::Complete:
            return transfer_end::Complete;
        case http::transfer_result::NotSent:
            return transfer_end::NotSent;
        case http::transfer_result::NoAnswer:
            return transfer_end::NoAnswer;
        case http::transfer_result::Unproven: // engines prove the end by a finish reason
        case http::transfer_result::Truncated:
            return transfer_end::Truncated;
        }
        return transfer_end::NoAnswer;
    }

} // namespace

serving_thread::serving_thread(const settings& values, serving_settings servingSettings, wakeup& control)
    : m_values(values)
    , m_serving(std::move(servingSettings))
    , m_callerRing(static_cast<std::size_t>(values.limits.queuedRequests), m_wakeup)
    , m_fromControl(controlRingSize, m_wakeup)
    , m_toControl(controlRingSize, control)
    , m_targets("targets", targetRingSize, m_wakeup)
    , m_watch(
          { values.timing.loadReports, 64, std::chrono::milliseconds(1000) },
          [this](http::request request) { return m_targets.start(std::move(request)); },
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
    auto listening = http::server::listen(m_values.listen.callers, limits, tls, [this](http::exchange_ptr exchange) { onCaller(std::move(exchange)); });
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

// Runs on the HTTP server's thread. If the ring is full, the request is refused here as not run.
void serving_thread::onCaller(http::exchange_ptr exchange)
{
    auto exchangeToRefuse = exchange;
    if (m_callerRing.tryPush(std::move(exchange)))
        return;
    exchangeToRefuse->answer(statusUnavailable, { { "Content-Type", "application/json" }, { "Retry-After", "1" } },
        R"({"error":{"outcome":"not_run","reason":"overloaded","message":"too many requests wait","retry_after_ms":1000}})");
}

void serving_thread::run()
{
    instant nextHousekeeping = monotonicNow();
    instant nextState = nextHousekeeping;
    const auto& name = m_values.instance.name;
    const auto salt = XXH64(name.data(), name.size(), 0);
    while (!m_stopping) {
        m_wakeup.wait(m_controlBacklog.empty() ? maxSleep : std::chrono::milliseconds(1));
        const auto now = monotonicNow();
        const auto wall = wallNow();
        processControlMessages(now, wall);
        processTargetEvents(now, wall);
        processCallers(now, wall);
        if (now >= nextHousekeeping) {
            nextHousekeeping = now + housekeepingInterval;
            cancelDisconnected(now, wall);
            execute(m_serving.tick(now, wall));
            m_watch.tick(m_serving.targets(), salt, now);
            if (auto marks = m_serving.suspects().takePendingChanges(); !marks.empty())
                sendToControl(changed_suspect_marks { std::move(marks) });
        }
        if (now >= nextState) {
            nextState = now + stateInterval;
            reportState();
            sendToControl(account_demand_update { m_serving.limiter().takeDemand(now) });
        }
        flushControlBacklog();
    }
    for (auto& [handle, exchange] : m_exchanges)
        exchange->abort();
}

void serving_thread::processCallers(instant now, wall_time wall)
{
    http::exchange_ptr exchange;
    while (m_callerRing.tryPop(exchange)) {
        caller_request request;
        request.handle = caller_handle(++m_lastHandle);
        request.method = exchange->method;
        request.path = exchange->path;
        request.query = exchange->query;
        request.headers = exchange->headers;
        request.body = exchange->body.str();
        exchange->body.clear();
        m_exchanges[request.handle] = std::move(exchange);
        execute(m_serving.arrive(std::move(request), now, wall));
    }
}

void serving_thread::processControlMessages(instant now, wall_time wall)
{
    to_serving message;
    while (m_fromControl.tryPop(message)) {
        if (auto* config = std::get_if<config_update>(&message))
            m_serving.setConfig(std::move(config->inForce));
        else if (const auto* denials = std::get_if<denial_update>(&message))
            execute(m_serving.deny(denials->marks, now));
        else if (const auto* targets = std::get_if<target_update>(&message))
            m_serving.targets().applyList(targets->rows, now);
        else if (const auto* job = std::get_if<generation_job>(&message))
            execute(m_serving.arrive(*job, now, wall));
        else if (auto* call = std::get_if<service_job>(&message))
            execute(m_serving.arrive(std::move(*call), now, wall));
        else if (const auto* cancel = std::get_if<cancel_job>(&message))
            execute(m_serving.cancel(cancel->job, now));
        else if (const auto* mode = std::get_if<serving_mode>(&message)) {
            m_serving.setCutOff(mode->cutOff);
            m_serving.setDraining(mode->draining);
        } else if (const auto* suspects = std::get_if<received_suspect_marks>(&message))
            m_serving.suspects().mergeMarks(suspects->marks, wall);
        else if (const auto* accountShares = std::get_if<received_account_shares>(&message))
            m_serving.limiter().applyShares(instance_id(m_values.instance.name), accountShares->shares);
        else if (const auto* instances = std::get_if<instance_count>(&message))
            m_serving.setInstances(instances->count);
    }
}

void serving_thread::processTargetEvents(instant now, wall_time wall)
{
    http::event event;
    while (m_targets.tryPop(event)) {
        if (event.id < firstAttemptId) {
            m_watch.onEvent(event, m_serving.targets(), now, wall);
            continue;
        }
        const attempt_id attempt(event.id);
        if (event.what == http::event::kind::Head)
            execute(m_serving.head(attempt, event.status, event.headers, now));
        else if (event.what == http::event::kind::Body)
            execute(m_serving.body(attempt, event.bytes, now));
        else
            execute(m_serving.done(attempt, endOf(event.outcome), now, wall));
    }
}

// Cancels the requests of clients that disconnected; this is not noticed otherwise while nothing
// is written to them.
void serving_thread::cancelDisconnected(instant now, wall_time wall)
{
    std::vector<caller_handle> disconnected;
    for (const auto& [handle, exchange] : m_exchanges) {
        if (exchange->callerDisconnected())
            disconnected.push_back(handle);
    }
    std::sort(disconnected.begin(), disconnected.end());
    for (const auto handle : disconnected) {
        m_exchanges.erase(handle);
        execute(m_serving.callerDisconnected(handle, now, wall));
    }
}

void serving_thread::execute(std::vector<serving_action> actions)
{
    for (auto& action : actions) {
        if (auto* begin = std::get_if<begin_answer>(&action)) {
            if (const auto found = m_exchanges.find(begin->handle); found != m_exchanges.end())
                found->second->begin(begin->status, std::move(begin->headers));
        } else if (const auto* append = std::get_if<append_answer>(&action)) {
            // A disconnected client is detected by cancelDisconnected(), which cancels the work.
            if (const auto found = m_exchanges.find(append->handle); found != m_exchanges.end())
                found->second->append(append->bytes);
        } else if (const auto* end = std::get_if<end_answer>(&action)) {
            if (auto node = m_exchanges.extract(end->handle))
                node.mapped()->end();
        } else if (const auto* abort = std::get_if<abort_answer>(&action)) {
            if (auto node = m_exchanges.extract(abort->handle))
                node.mapped()->abort();
        } else if (auto* complete = std::get_if<complete_answer>(&action)) {
            if (auto node = m_exchanges.extract(complete->handle))
                node.mapped()->answer(complete->status, std::move(complete->headers), std::move(complete->body));
        } else if (auto* trainer = std::get_if<trainer_request>(&action)) {
            if (auto node = m_exchanges.extract(trainer->handle))
                sendToControl(trainer_exchange { std::move(*trainer), std::move(node.mapped()) });
        } else if (auto* send = std::get_if<send_attempt>(&action)) {
            execute(*send);
        } else if (const auto* cancel = std::get_if<cancel_attempt>(&action)) {
            m_targets.cancel(cancel->attempt.value());
        } else if (auto* update = std::get_if<job_event>(&action)) {
            sendToControl(std::move(*update));
        } else if (auto* record = std::get_if<serving_record>(&action)) {
            sendToControl(std::move(*record));
        }
    }
}

void serving_thread::execute(send_attempt& send)
{
    http::request request;
    request.id = send.attempt.value();
    request.method = std::move(send.method);
    request.url = std::move(send.url);
    request.headers = std::move(send.headers);
    request.body = std::move(send.body);
    request.reuse = send.repeatable ? http::connection_reuse::Allowed : http::connection_reuse::Forbidden;
    request.idleTimeout = m_values.limits.targetSilence;
    const auto attempt = send.attempt;
    if (m_targets.start(std::move(request)))
        return;
    // The ring is full, so nothing was sent.
    execute(m_serving.done(attempt, transfer_end::NotSent, monotonicNow(), wallNow()));
}

void serving_thread::sendToControl(to_control message)
{
    m_controlBacklog.push_back(std::move(message));
}

void serving_thread::flushControlBacklog()
{
    while (!m_controlBacklog.empty() && m_toControl.tryPush(std::move(m_controlBacklog.front())))
        m_controlBacklog.pop_front();
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
    sendToControl(std::move(state));
    sendToControl(std::move(versions));
}

} // namespace lovagerail::daemon
