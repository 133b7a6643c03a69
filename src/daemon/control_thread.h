// The control thread: owns configuration, keys, membership, leases, reports and rollouts. It
// exchanges messages through ring buffers with the threads that talk to the key-value
// service, the platform, other instances and operators, and with the serving thread.
#pragma once

#include "daemon/config_duty.h"
#include "daemon/control_context.h"
#include "daemon/key_duty.h"
#include "daemon/lease_duty.h"
#include "daemon/member_duty.h"
#include "daemon/operator_duty.h"
#include "daemon/order_duty.h"
#include "daemon/payload_duty.h"
#include "daemon/peer_duty.h"
#include "daemon/run_duty.h"
#include "daemon/serving_thread.h"
#include "daemon/share_duty.h"
#include "daemon/status_api.h"
#include "daemon/target_duty.h"
#include "daemon/trace_writer.h"
#include "daemon/usage_duty.h"
#include "daemon/weight_duty.h"
#include "http/server.h"
#include "http/worker.h"
#include "named_thread.h"
#include "ring.h"

#include <atomic>
#include <memory>

namespace lovagerail::daemon {

class control_thread {
public:
    control_thread(const settings& values, incarnation incarnationNumber, std::string instanceSecret);
    ~control_thread();

    result<void> start(const http::tls_files& tls);
    // Begins the graceful shutdown: accept no new work, release duties, finish running work.
    void drain() { m_drainRequested = true; }
    bool draining() const { return m_drainRequested; }
    // True once the graceful shutdown is complete.
    bool drained() const { return m_drained; }
    void stop();

private:
    void run();
    void runIteration();
    void processServingMessages();
    void processRequests();
    void tickDuties();
    void updateDuties();
    void continueDrain();
    void flushServingQueue();

    settings m_values;
    wakeup m_wakeup;
    http::worker m_kvWorker;
    http::worker m_platformWorker;
    http::worker m_instanceWorker;
    http::async_caller m_platform;
    http::async_caller m_instances;
    provider::kv_session m_kv;
    control_context m_context;

    // Duties; used only by this thread.
    config_duty m_config;
    key_duty m_keys;
    target_duty m_targets;
    operator_duty m_operators;
    peer_duty m_peers;
    status_api m_status;
    lease_duty m_leases;
    member_duty m_members;
    usage_duty m_usage;
    share_duty m_shares;
    order_duty m_orders;
    payload_duty m_payloads;
    weight_duty m_weights;
    run_duty m_runs;

    serving_thread m_serving;
    trace_writer m_traces;
    ring<http::exchange_ptr> m_operatorRing;
    ring<http::exchange_ptr> m_instanceRing;
    std::unique_ptr<http::server> m_operatorServer;
    std::unique_ptr<http::server> m_instanceServer;
    config_ptr m_appliedConfig;
    instant m_nextTick {};
    std::atomic<bool> m_drainRequested { false };
    std::atomic<bool> m_drained { false };
    std::atomic<bool> m_stopping { false };
    std::unique_ptr<named_thread> m_thread;
};

} // namespace lovagerail::daemon
