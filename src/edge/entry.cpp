// The event loop of an entry instance: sets up listeners and components, then polls and
// ticks them in turn until shutdown.

#include "daemon/clock.h"
#include "edge/batches.h"
#include "edge/caller_frontend.h"
#include "edge/capacity_duty.h"
#include "edge/context.h"
#include "edge/demand_reports.h"
#include "edge/departures.h"
#include "edge/members.h"
#include "edge/metrics.h"
#include "edge/platform_view.h"
#include "edge/quarantine_gossip.h"
#include "edge/request_relay.h"
#include "edge/software_versions.h"
#include "edge/stream_directory.h"
#include "edge/target_limits.h"
#include "edge/target_link.h"
#include "edge/usage_duty.h"
#include "edge/weight_duty.h"
#include "http/server.h"
#include "http_status.h"
#include "intake_limits.h"
#include "log.h"
#include "settings_reader.h"

#include <csignal>
#include <malloc.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <sys/sysinfo.h>
#include <unistd.h>

namespace lovagerail::edge {

namespace {

    constexpr int exitOk = 0;
    constexpr int exitFailure = 1;
    constexpr std::chrono::milliseconds maxBusyPollWait { 20 }; // while requests are open
    constexpr std::chrono::milliseconds maxIdlePollWait { 50 }; // while none is open
    constexpr duration closedCallerCheckPeriod = std::chrono::milliseconds(100);
    // The load balancer probes readiness once a second and takes an instance out of rotation
    // after two failed probes; new connections arrive until then.
    constexpr duration balancerDrainTime = std::chrono::milliseconds(3200);
    constexpr duration stopMargin = std::chrono::milliseconds(600); // exit this long before SIGKILL
    constexpr duration storeCallsLogPeriod = std::chrono::seconds(10);
    constexpr duration pressureLogPeriod = std::chrono::seconds(1);
    constexpr duration settingsCheckPeriod = std::chrono::seconds(2);
    constexpr std::size_t maxBodyBytes = 64U << 20U; // the limit of the configuration is checked per request
    constexpr std::size_t maxRelayedUnreadBytes = 8U << 20U; // of an answer that is passed on to another instance
    constexpr std::size_t maxPeerHeaderBytes = 64U << 10U;
    constexpr unsigned callerIdleSeconds = 120; // longer than the idle timeouts that callers are told
    constexpr unsigned readinessIdleSeconds = 30;

    int openSignalDescriptor()
    {
        sigset_t handledSignals;
        sigemptyset(&handledSignals);
        for (const int signal : { SIGTERM, SIGINT, SIGHUP })
            sigaddset(&handledSignals, signal);
        sigprocmask(SIG_BLOCK, &handledSignals, nullptr);
        std::signal(SIGPIPE, SIG_IGN);
        return signalfd(-1, &handledSignals, SFD_CLOEXEC | SFD_NONBLOCK);
    }

    // What the settings leave open is taken from the system.
    machine_resources resourcesOf(const entry_settings& settings)
    {
        constexpr double bytesPerMb = 1e6;
        machine_resources out { byte_count(static_cast<std::uint64_t>(settings.machine.memoryMb * bytesPerMb)), static_cast<std::uint64_t>(settings.machine.descriptors) };
        struct sysinfo machine { };
        if (out.memory == byte_count() && sysinfo(&machine) == 0)
            out.memory = byte_count(static_cast<std::uint64_t>(machine.totalram) * machine.mem_unit);
        rlimit descriptors {};
        if (getrlimit(RLIMIT_NOFILE, &descriptors) == 0 && (out.descriptors == 0 || descriptors.rlim_cur < out.descriptors))
            out.descriptors = descriptors.rlim_cur;
        return out;
    }

    // The next pending signal, or 0.
    int readSignal(int descriptor)
    {
        signalfd_siginfo info {};
        return read(descriptor, &info, sizeof info) == static_cast<ssize_t>(sizeof info) ? static_cast<int>(info.ssi_signo) : 0;
    }

    void beginLogging(const entry_settings& settings)
    {
        log_level level = log_level::Info;
        parseLogLevel(settings.log.level, level);
        startLog(settings.instance.name, level);
    }

    class entry_loop {
    public:
        entry_loop(const entry_settings& settings, std::string file, int signals)
            : m_settings(settings)
            , m_file(std::move(file))
            , m_signals(signals)
            , m_store({}, settings.store.address, m_net)
            , m_targets(routerSettings(settings))
            , m_context { m_settings, m_net, m_store, m_targets, incarnation(static_cast<std::uint64_t>(daemon::wallNow().time_since_epoch().count())) }
            , m_members(m_context, { { usageDuty, false }, { targetsDuty, true } })
            , m_platformView(m_context, m_members)
            , m_departures(m_context, m_platformView)
            , m_usage(m_context)
            , m_quarantineGossip(m_context, m_platformView, m_blameMarks)
            , m_limits(m_context, m_members)
            , m_versions(m_context, m_platformView)
            , m_streams(m_context, m_members, m_versions)
            , m_link(m_context, m_members)
            , m_frontend(m_context, m_link, m_usage, m_blameMarks, m_departures, m_limits, m_streams, m_versions)
            , m_relay(m_context, m_link, [this](const target_id& target, incarnation number, const platform::target_head& head, instant sentAt) { m_frontend.recordTargetState(target, number, head, sentAt); })
            , m_batches(m_context, m_link, m_members, m_frontend, m_limits)
            , m_demand(m_context, m_members, [this](std::uint64_t request, const granted_shares& granted, instant sentAt) { m_batches.setShares(request, granted, sentAt); })
            , m_weights(m_context, m_link, m_members, m_platformView, m_demand, m_departures, m_limits)
            , m_capacity(m_context, m_members, m_platformView, m_demand)
        {
            m_net.setSourceAddress(m_settings.instance.address);
            m_usage.setMembers(m_members);
            m_frontend.setBatches(m_batches);
            m_frontend.setExtraWork(extraWorkShare(m_settings));
            m_store.setPeers([this] { return m_members.storePeers(); });
        }

        result<void> listen();
        void run();

    private:
        static router_settings routerSettings(const entry_settings& settings);
        result<std::unique_ptr<http::server>> listenAt(const std::string& address, const http::server_limits& limits, http::server::handler onRequest, http::server_hooks hooks) const;
        bool runServers();
        http::server::pressure_counts pressure() const;
        void logPressure();
        void onPeerRequest(const http::exchange_ptr& exchange);
        void onReadiness(const http::exchange_ptr& exchange) const;
        bool ready() const { return m_context.site && m_platformView.mayServe() && !m_context.stopping; }
        void updateClock();
        void onSignal(int signal);
        void reload(const char* reason);
        void reloadIfFileChanged();
        void logStoreCalls();
        void beginStop();
        bool canExit() const;
        void tick();

        entry_settings m_settings;
        std::string m_file;
        int m_signals = -1;
        transfers m_net;
        store_link m_store;
        router m_targets;
        context m_context;
        members m_members;
        platform_view m_platformView;
        departures m_departures;
        usage_duty m_usage;
        quarantine m_blameMarks;
        quarantine_gossip m_quarantineGossip;
        target_limits m_limits;
        software_versions m_versions;
        stream_directory m_streams;
        target_link m_link;
        caller_frontend m_frontend;
        request_relay m_relay;
        batches m_batches;
        demand_reports m_demand;
        weight_duty m_weights;
        capacity_duty m_capacity;
        metrics_page m_metrics;
        std::unique_ptr<http::server> m_callers;
        std::unique_ptr<http::server> m_readiness;
        std::unique_ptr<http::server> m_peers;
        std::unique_ptr<http::server> m_metricsServer;
        instant m_nextClosedCallerCheck {};
        instant m_nextSettingsCheck {};
        instant m_nextStoreCallsLog {};
        instant m_nextPressureLog {};
        http::server::pressure_counts m_loggedPressure; // when last logged
        instant m_stopStart {};
        std::optional<std::string> m_settingsText; // content of m_file at the last check
        bool m_wasReady = false;
    };

    router_settings entry_loop::routerSettings(const entry_settings& settings)
    {
        router_settings out;
        out.instance = settings.instance.name;
        out.failureDomain = failure_domain_id(settings.instance.failureDomain);
        // The store's list is authoritative: a target that is missing in it is gone at once.
        out.table.absenceGrace = {};
        // Each new connection to a target has a cost, so an instance uses a small subset of a
        // service's replicas, and the others only when these are full.
        out.subsetSize = 8;
        out.connectionCost = settings.targets.connectionCost;
        // Initial estimates, corrected by observation: current engines generate a token of a
        // small batch in about 1 ms and prefill about 100 prompt tokens per ms.
        out.load.initialSpeed.prefillTokensPerSecond = 100'000;
        out.load.initialSpeed.secondsPerToken = 0.001;
        out.load.initialSpeed.batchLimit = 8;
        out.load.initialSpeed.serviceWorkers = 6;
        return out;
    }

    result<std::unique_ptr<http::server>> entry_loop::listenAt(const std::string& address, const http::server_limits& limits, http::server::handler onRequest, http::server_hooks hooks) const
    {
        return http::server::listen(address, limits, {}, std::move(onRequest), http::server_threading::OwnersLoop, std::move(hooks));
    }

    result<void> entry_loop::listen()
    {
        updateClock();
        const auto machine = resourcesOf(m_settings);
        const auto intake = intakeLimitsFor(machine);
        logEvent(log_level::Info, "main", "limits",
            { { "memory", std::to_string(machine.memory.count()) }, { "descriptors", std::to_string(machine.descriptors) }, { "client_memory", std::to_string(intake.memory.total.count()) },
                { "connections", std::to_string(intake.callers.connections) }, { "requests", std::to_string(intake.callers.requests) } });
        m_context.clientMemory = std::make_shared<http::memory_account>(intake.memory);
        const auto limitsFor = [](const listener_limits& shares, const http::memory_account_ptr& memory) {
            http::server_limits out;
            out.connections = shares.connections;
            out.requests = shares.requests;
            out.memory = memory;
            return out;
        };
        const auto ownMemory = m_context.clientMemory->forOwnCalls();
        auto callerLimits = limitsFor(intake.callers, m_context.clientMemory);
        callerLimits.bodyBytes = maxBodyBytes;
        callerLimits.idleSeconds = callerIdleSeconds;
        auto peerLimits = limitsFor(intake.instances, ownMemory);
        peerLimits.bodyBytes = maxBodyBytes;
        peerLimits.headerBytes = maxPeerHeaderBytes;
        peerLimits.idleSeconds = callerIdleSeconds;
        peerLimits.unreadBytes = maxRelayedUnreadBytes;
        auto internalLimits = limitsFor(intake.internal, ownMemory);
        internalLimits.idleSeconds = readinessIdleSeconds;
        struct listener_spec {
            std::unique_ptr<http::server>* server;
            const std::string* address;
            http::server_limits limits;
            http::server::handler handler;
            http::server_hooks hooks {};
        };
        http::server_hooks callerHooks;
        callerHooks.admit = [this](const http::exchange& x) { return m_frontend.admit(x); };
        callerHooks.refuse = [this](const http::exchange& x, http::refusal_reason reason) { return m_frontend.refusalOf(x, reason); };
        const listener_spec listeners[] = {
            { &m_peers, &m_settings.listen.instances, peerLimits, [this](const http::exchange_ptr& x) { onPeerRequest(x); } },
            { &m_metricsServer, &m_settings.listen.metrics, internalLimits, [this](const http::exchange_ptr& x) { m_metrics.answer(x); } },
            { &m_callers, &m_settings.listen.callers, callerLimits, [this](const http::exchange_ptr& x) { m_frontend.onRequest(x); }, callerHooks },
            { &m_readiness, &m_settings.listen.readiness, internalLimits, [this](const http::exchange_ptr& x) { onReadiness(x); } },
        };
        for (const auto& spec : listeners) {
            if (spec.address->empty())
                continue;
            auto server = listenAt(*spec.address, spec.limits, spec.handler, spec.hooks);
            if (!server)
                return tl::unexpected(server.error());
            *spec.server = std::move(*server);
        }
        return {};
    }

    void entry_loop::onPeerRequest(const http::exchange_ptr& exchange)
    {
        if (exchange->path == "/store")
            m_store.relay(exchange);
        else if (exchange->path == "/known")
            m_platformView.onPeerRequest(exchange);
        else if (exchange->path == "/usage")
            m_usage.onPeerRequest(exchange);
        else if (exchange->path == "/marks")
            m_quarantineGossip.onPeerRequest(exchange);
        else if (exchange->path == "/origins")
            m_streams.onCopies(exchange);
        else if (exchange->path == "/archive")
            m_streams.onArchive(exchange);
        else if (exchange->path == "/origin")
            m_streams.onQuestion(exchange);
        else if (exchange->path == "/limits" || exchange->path == "/cold-limits")
            m_limits.onPeerRequest(exchange);
        else if (exchange->path == "/relay")
            m_relay.onRequest(exchange);
        else if (exchange->path == "/paths")
            m_relay.onQuestion(exchange);
        else if (exchange->path == "/departures")
            m_departures.onPeerRequest(exchange);
        else if (exchange->path == "/demand")
            m_demand.onPeerRequest(exchange);
        else if (!m_batches.onPeerRequest(exchange))
            exchange->answer(statusNotFound, {}, "");
    }

    void entry_loop::onReadiness(const http::exchange_ptr& exchange) const
    {
        exchange->answer(ready() ? statusOk : statusUnavailable, {}, "");
    }

    void entry_loop::updateClock()
    {
        m_context.now = daemon::monotonicNow();
        m_context.wall = daemon::wallNow();
    }

    void entry_loop::onSignal(int signal)
    {
        if (signal == SIGHUP)
            reload("signal");
        else if (!m_context.stopping)
            beginStop();
    }

    // Applies changed addresses of peers, the log level and the limit on extra work; other settings need a restart.
    void entry_loop::reload(const char* reason)
    {
        const auto reading = readEntrySettingsFile(m_file);
        for (const auto& fault : reading.faults)
            logEvent(log_level::Error, "main", "settings_refused", { { "fault", toString(fault) } });
        if (!reading.faults.empty())
            return;
        m_settings.store = reading.value.store;
        m_settings.duties = reading.value.duties;
        m_settings.listen.seeds = reading.value.listen.seeds;
        m_settings.log = reading.value.log;
        m_settings.hedging = reading.value.hedging;
        m_frontend.setExtraWork(extraWorkShare(m_settings));
        log_level level = log_level::Info;
        parseLogLevel(m_settings.log.level, level);
        setLogLevel(level);
        m_store.setAddress(m_settings.store.address);
        logEvent(log_level::Info, "main", "reloaded", { { "why", reason }, { "store", m_settings.store.address }, { "extra_work", m_settings.hedging.extraWork ? lovagerail::detail::percentText(*m_settings.hedging.extraWork) : "unset" } });
    }

    // The platform may rewrite the file without sending SIGHUP.
    void entry_loop::reloadIfFileChanged()
    {
        m_nextSettingsCheck = m_context.now + settingsCheckPeriod;
        auto text = readTextFile(m_file);
        if (!text || text == m_settingsText)
            return;
        if (m_settingsText)
            reload("file changed");
        m_settingsText = std::move(text);
    }

    void entry_loop::logStoreCalls()
    {
        m_nextStoreCallsLog = m_context.now + storeCallsLogPeriod;
        std::string text;
        for (const auto& [cause, count] : m_store.counts())
            text += (text.empty() ? "" : ", ") + cause + " " + std::to_string(count);
        logEvent(log_level::Info, "store", "calls", { { "by_cause", text } });
    }

    // What the listeners for callers and instances refused and closed for want of room.
    http::server::pressure_counts entry_loop::pressure() const
    {
        http::server::pressure_counts out;
        for (const auto* server : { m_callers.get(), m_peers.get() }) {
            if (server != nullptr)
                out += server->pressure();
        }
        return out;
    }

    // One line for all that clients were refused since the last one.
    void entry_loop::logPressure()
    {
        const auto now = pressure();
        if (now == m_loggedPressure)
            return;
        const auto before = std::exchange(m_loggedPressure, now);
        m_nextPressureLog = m_context.now + pressureLogPeriod;
        const auto budget = m_context.clientMemory->snapshot();
        logEvent(log_level::Warning, "main", "pressure",
            { { "no_room", std::to_string(now.overloaded - before.overloaded) }, { "body_too_large", std::to_string(now.tooLarge - before.tooLarge) },
                { "stalled", std::to_string(now.stalled - before.stalled) }, { "idle_connections", std::to_string(now.idle - before.idle) },
                { "client_bytes", std::to_string(budget.used().count()) }, { "of", std::to_string(budget.limits().total.count()) },
                { "large_bytes", std::to_string(budget.usedBy(memory_use::Large).count()) }, { "connections", std::to_string(m_callers ? m_callers->openConnections() : 0) } });
    }

    void entry_loop::beginStop()
    {
        logEvent(log_level::Info, "main", "stopping", { { "open", std::to_string(m_frontend.openCount()) }, { "batches", std::to_string(m_batches.openCount()) } });
        m_context.stopping = true;
        m_stopStart = m_context.now;
        m_context.exitAt = m_context.now + m_settings.bounds.stop - stopMargin;
        m_frontend.beginStop();
        m_members.releaseDuties();
        m_batches.beginStop();
    }

    bool entry_loop::canExit() const
    {
        if (!m_context.stopping)
            return false;
        if (m_context.now >= m_context.exitAt)
            return true;
        // Every request that was read is answered completely.
        const bool answered = m_callers == nullptr || m_callers->openRequests() == 0;
        return m_context.now - m_stopStart >= balancerDrainTime && answered && m_frontend.openCount() == 0 && m_relay.openCount() == 0 && m_batches.allHandedOver() && m_usage.allCopied() && m_members.hasLeft();
    }

    void entry_loop::tick()
    {
        m_store.tick(m_context.now);
        // Other instances may notice first that the store is back.
        if (m_store.takeRegained() || m_platformView.takeStoreReturned()) {
            m_members.onStoreRegained();
            m_platformView.onStoreRegained();
        }
        m_members.tick();
        m_platformView.tick();
        m_targets.tick(m_context.now);
        m_frontend.tick();
        m_batches.tick();
        if (m_demand.isReportDue())
            m_demand.report(m_batches.demand());
        m_weights.tick();
        m_capacity.tick();
        m_usage.tick();
        m_quarantineGossip.tick();
        m_departures.tick();
        m_limits.tick();
        m_link.tick();
        const bool isCutOffAlone = m_link.paths().isCutOffAlone(m_context.now);
        m_members.setUnable(isCutOffAlone);
        m_frontend.setCutOff(isCutOffAlone);
        m_relay.tick();
        m_streams.tick();
        m_versions.tick();
        if (m_context.stopping && m_batches.allHandedOver())
            m_members.leave();
        if (m_context.now >= m_nextClosedCallerCheck && m_callers) {
            m_nextClosedCallerCheck = m_context.now + closedCallerCheckPeriod;
            m_callers->dropClosedCallers();
            m_callers->closeRefused();
            if (m_peers && m_relay.openCount() > 0)
                m_peers->dropClosedCallers();
            if (m_peers)
                m_peers->closeRefused();
        }
        if (m_context.now >= m_nextSettingsCheck)
            reloadIfFileChanged();
        if (m_context.now >= m_nextStoreCallsLog)
            logStoreCalls();
        if (m_context.now >= m_nextPressureLog)
            logPressure();
        m_metrics.update({ m_frontend.counts(), m_batches.counts(), m_store.counts(), m_targets.connections().counts(), m_frontend.openCount(), m_batches.openCount(), m_platformView.evacuated().size(), m_frontend.slowTargetCount(), pressure(), m_context.clientMemory->snapshot().used().count(), &m_demand.shares() });
        if (ready() != m_wasReady) {
            m_wasReady = ready();
            logEvent(log_level::Info, "main", m_wasReady ? "ready" : "not_ready");
        }
    }

    // Returns whether a server has work left.
    bool entry_loop::runServers()
    {
        bool hasWork = false;
        for (auto* server : { m_callers.get(), m_readiness.get(), m_peers.get(), m_metricsServer.get() }) {
            if (server != nullptr && server->run())
                hasWork = true;
        }
        return hasWork;
    }

    void entry_loop::run()
    {
        std::vector<int> descriptors { m_signals };
        for (const auto* server : { m_callers.get(), m_readiness.get(), m_peers.get(), m_metricsServer.get() }) {
            if (server != nullptr)
                descriptors.push_back(server->descriptor());
        }
        while (!canExit()) {
            tick();
            const bool hasWork = runServers();
            const bool busy = m_frontend.openCount() > 0 || m_batches.openCount() > 0 || m_relay.openCount() > 0;
            const auto maxWait = busy ? maxBusyPollWait : maxIdlePollWait;
            m_net.poll(hasWork ? std::chrono::milliseconds(0) : maxWait, descriptors);
            updateClock();
            for (int signal = readSignal(m_signals); signal != 0; signal = readSignal(m_signals))
                onSignal(signal);
        }
    }

} // namespace

int serveEntry(const entry_settings& settings, const std::string& file)
{
    constexpr int maxArenas = 1; // only one thread allocates; further arenas would only hold freed memory
    mallopt(M_ARENA_MAX, maxArenas);
    // Large bodies are mapped, so that their memory is returned and they grow in place. A fixed threshold keeps the
    // allocator from raising it with each body that is freed.
    constexpr int mappedFromBytes = 128 * 1024;
    mallopt(M_MMAP_THRESHOLD, mappedFromBytes);
    const int signals = openSignalDescriptor();
    beginLogging(settings);
    int exitCode = exitOk;
    {
        entry_loop loop(settings, file, signals);
        const auto listening = loop.listen();
        if (listening) {
            logEvent(log_level::Info, "main", "started", { { "callers", settings.listen.callers }, { "store", settings.store.address } });
            loop.run();
        } else {
            logEvent(log_level::Error, "main", "start", { { "error", toString(listening.error()) } });
            exitCode = exitFailure;
        }
    }
    logEvent(log_level::Info, "main", "ended");
    stopLog();
    return exitCode;
}

int serveWitness(const entry_settings& settings)
{
    const int signals = openSignalDescriptor();
    beginLogging(settings);
    logEvent(log_level::Info, "main", "started", { { "role", "witness" } });
    for (;;) {
        pollfd waiting { signals, POLLIN, 0 };
        if (poll(&waiting, 1, -1) < 0)
            continue;
        const int signal = readSignal(signals);
        if (signal == SIGTERM || signal == SIGINT)
            break;
    }
    logEvent(log_level::Info, "main", "ended");
    stopLog();
    return exitOk;
}

} // namespace lovagerail::edge
