// Construction, event loop and shutdown of the control thread.
#include "daemon/control_thread.h"

#include "daemon/clock.h"
#include "daemon/config_api.h"
#include "http_status.h"
#include "log.h"

namespace lovagerail::daemon {

namespace {

    constexpr std::size_t transferRingSize = 1024;
    constexpr std::size_t exchangeRingSize = 256;
    constexpr std::chrono::milliseconds maxSleep { 10 };
    constexpr duration tickInterval = std::chrono::milliseconds(20);

    provider::kv_session_settings sessionSettings(const settings& values)
    {
        provider::kv_session_settings out;
        out.endpoints = values.platform.keyValue;
        out.callsPerSecond = values.platform.keyValueCallsPerSecond;
        return out;
    }

    serving_settings servingSettings(const settings& values, incarnation incarnationNumber)
    {
        serving_settings out;
        out.instance = instance_id(values.instance.name);
        out.incarnationNumber = incarnationNumber;
        out.failureDomain = failure_domain_id(values.instance.failureDomain);
        out.maxRequestDuration = values.limits.requestTimeout;
        out.recordsTraffic = !values.trace.file.empty();
        return out;
    }

} // namespace

control_thread::control_thread(const settings& values, incarnation incarnationNumber, std::string instanceSecret)
    : m_values(values)
    , m_kvWorker("key-value", transferRingSize, m_wakeup)
    , m_platformWorker("platform", transferRingSize, m_wakeup)
    , m_instanceWorker("instances", transferRingSize, m_wakeup)
    , m_platform(m_platformWorker)
    , m_instances(m_instanceWorker)
    , m_kv(
          sessionSettings(values), [this](http::request request) { return m_kvWorker.start(std::move(request)); },
          [this](std::uint64_t id) { m_kvWorker.cancel(id); })
    , m_context { m_values, instance_id(values.instance.name), incarnationNumber, m_kv, m_platform, m_instances, {}, {}, std::make_shared<const config>(), false, {} }
    , m_config(m_context)
    , m_keys(m_context, m_config)
    , m_targets(m_context)
    , m_operators(m_context)
    , m_peers(m_context, std::move(instanceSecret))
    , m_status(m_context, m_config, m_targets, m_peers)
    , m_leases(m_context, m_peers)
    , m_members(m_context, m_config, m_keys, m_targets, m_peers, m_leases)
    , m_usage(m_context, m_leases, m_peers, m_status)
    , m_shares(m_context, m_leases, m_peers)
    , m_orders(m_context, m_leases, m_peers, m_status, m_targets, m_wakeup)
    , m_payloads(m_context, m_leases, m_peers)
    , m_weights(m_context, m_leases, m_peers, m_targets)
    , m_runs(m_context, m_leases, m_peers, m_payloads, m_status, m_weights)
    , m_serving(values, servingSettings(values, incarnationNumber), m_wakeup)
    , m_traces(values.trace.file, byte_count(static_cast<std::uint64_t>(values.trace.bytes)), values.instance.name)
    , m_operatorRing(exchangeRingSize, m_wakeup)
    , m_instanceRing(exchangeRingSize, m_wakeup)
{
    addConfigApi(m_operators, m_context, m_config, m_keys);
    m_status.addTo(m_operators);
    m_usage.addTo(m_operators);
    m_orders.addTo(m_operators);
    m_weights.addTo(m_operators);
    m_runs.addTo(m_operators);
    m_operators.add("POST", "/v1/drain", operator_scope::Write, [this](const operator_call& call) {
        m_drainRequested = true;
        Json::Value body(Json::objectValue);
        body["instance"] = m_context.self.str();
        answerJson(call.exchange, statusOk, body);
    });
    m_appliedConfig = m_context.inForce;
}

control_thread::~control_thread()
{
    stop();
}

result<void> control_thread::start(const http::tls_files& tls)
{
    const auto pushTo = [](ring<http::exchange_ptr>& to) {
        return [&to](http::exchange_ptr exchange) {
            auto exchangeToRefuse = exchange;
            if (!to.tryPush(std::move(exchange)))
                exchangeToRefuse->answer(statusUnavailable, { { "Retry-After", "1" } }, "");
        };
    };
    http::server_limits limits;
    limits.bodyBytes = 16 << 20;
    limits.unreadBytes = 16 << 20;
    limits.connections = 1024;
    auto operators = http::server::listen(m_values.listen.operators, limits, tls, pushTo(m_operatorRing));
    if (!operators)
        return tl::unexpected(operators.error());
    m_operatorServer = std::move(*operators);
    auto instances = http::server::listen(m_values.listen.instances, limits, {}, pushTo(m_instanceRing));
    if (!instances)
        return tl::unexpected(instances.error());
    m_instanceServer = std::move(*instances);
    m_thread = std::make_unique<named_thread>("control", [this] { run(); });
    return m_serving.start(tls);
}

void control_thread::stop()
{
    m_stopping = true;
    m_wakeup.notify();
    m_thread.reset();
    m_serving.stop();
    m_operatorServer.reset();
    m_instanceServer.reset();
}

void control_thread::run()
{
    while (!m_stopping) {
        m_wakeup.wait(maxSleep);
        runIteration();
    }
}

void control_thread::runIteration()
{
    m_context.now = monotonicNow();
    m_context.wall = wallNow();

    // Step 1. Events from the other threads, the network and other instances.
    http::event event;
    while (m_kvWorker.tryPop(event))
        m_kv.onEvent(event, m_context.now);
    m_platform.poll();
    m_instances.poll();
    processServingMessages();
    processRequests();

    // Step 2. Timers.
    if (m_context.now >= m_nextTick) {
        m_nextTick = m_context.now + tickInterval;
        tickDuties();
    }
    m_kv.poll(m_context.now);

    // Step 3. Pass a new configuration to all duties in the same iteration.
    if (m_appliedConfig != m_context.inForce) {
        m_appliedConfig = m_context.inForce;
        m_keys.setConfig(m_appliedConfig);
        m_operators.setConfig(m_appliedConfig);
        m_status.setConfig(*m_appliedConfig);
        m_members.onConfigApplied();
    }
    flushServingQueue();
}

void control_thread::tickDuties()
{
    m_members.tick();
    m_config.tick();
    m_keys.tick();
    m_targets.tick();
    updateDuties();
    m_leases.tick();
    m_usage.tick();
    m_shares.tick();
    m_orders.tick();
    m_weights.tick();
    m_runs.tick();
    if (m_drainRequested)
        continueDrain();
}

void control_thread::updateDuties()
{
    auto duties = m_runs.duties();
    duties.insert(usage_duty::duty());
    duties.insert(share_duty::duty());
    if (m_orders.isNeeded())
        duties.insert(order_duty::duty());
    duties.merge(m_weights.duties());
    m_leases.setDuties(duties);
}

void control_thread::processServingMessages()
{
    to_control message;
    while (m_serving.tryPop(message)) {
        if (const auto* state = std::get_if<serving_state>(&message)) {
            m_status.setServing(*state);
        } else if (const auto* suspects = std::get_if<changed_suspect_marks>(&message)) {
            m_shares.onMarks(suspects->marks);
        } else if (const auto* demand = std::get_if<account_demand_update>(&message)) {
            m_shares.onDemand(demand->report);
        } else if (const auto* update = std::get_if<job_event>(&message)) {
            m_runs.onJob(*update);
        } else if (const auto* call = std::get_if<trainer_exchange>(&message)) {
            m_runs.onTrainer(*call);
        } else if (const auto* versions = std::get_if<served_versions>(&message)) {
            m_runs.onVersions(*versions);
        } else if (auto* record = std::get_if<serving_record>(&message)) {
            if (const auto* served = std::get_if<request_served>(record))
                m_status.count(*served);
            else if (const auto* traced = std::get_if<trace_record>(record))
                m_traces.write(*traced);
            else if (auto* entry = std::get_if<journal_entry>(record))
                m_status.record(std::move(*entry));
            else if (const auto* used = std::get_if<attempt_usage>(record)) {
                m_usage.count(*used);
                m_orders.count(*used);
            } else if (const auto* refused = std::get_if<refused_usage>(record))
                m_usage.count(*refused);
        }
    }
}

void control_thread::processRequests()
{
    http::exchange_ptr exchange;
    while (m_operatorRing.tryPop(exchange))
        m_operators.onRequest(std::move(exchange));
    while (m_instanceRing.tryPop(exchange))
        m_peers.onRequest(exchange);
}

// Graceful shutdown: no new work is accepted, running work is finished.
void control_thread::continueDrain()
{
    if (!m_context.draining) {
        m_context.draining = true;
        m_members.leave();
        m_leases.releaseAll();
        logEvent(log_level::Info, "control", "drain");
        return;
    }
    if (m_status.servingState().open > 0)
        return;
    m_usage.flush();
    m_drained = m_usage.flushed() && m_leases.idle();
}

void control_thread::flushServingQueue()
{
    auto& waiting = m_context.servingQueue;
    while (!waiting.empty() && m_serving.trySend(std::move(waiting.front())))
        waiting.pop_front();
}

} // namespace lovagerail::daemon
