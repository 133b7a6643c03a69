// The loop: listeners, signals, duties in turn.
#include "edge/entry.h"

#include "daemon/clock.h"
#include "edge/batches.h"
#include "edge/capacity_duty.h"
#include "edge/context.h"
#include "edge/demand_news.h"
#include "edge/front.h"
#include "edge/knowledge.h"
#include "edge/mark_news.h"
#include "edge/members.h"
#include "edge/metrics.h"
#include "edge/usage_duty.h"
#include "edge/weight_duty.h"
#include "http/server.h"
#include "http_status.h"
#include "log.h"

#include <csignal>
#include <malloc.h>
#include <poll.h>
#include <sys/signalfd.h>
#include <unistd.h>

namespace lovagerail::edge {

namespace {

    constexpr int exitOk = 0;
    constexpr int exitFailure = 1;
    constexpr std::chrono::milliseconds busyWait { 20 }; // longest sleep while requests are open
    constexpr std::chrono::milliseconds idleWait { 50 }; // and while none is
    constexpr duration closedCheck = std::chrono::milliseconds(100); // callers that closed are noticed within
    // The balancer asks once a second and takes us out after two misses; new connections
    // come until then.
    constexpr duration leaveRotation = std::chrono::milliseconds(3200);
    constexpr duration stopMargin = std::chrono::milliseconds(600); // before SIGKILL
    constexpr duration countsPeriod = std::chrono::seconds(10); // one line with the store's calls by cause
    constexpr duration settingsCheck = std::chrono::seconds(2);
    constexpr std::size_t largestBody = 64U << 20U; // the configuration's own limit is checked per request
    constexpr std::size_t peerBody = 16U << 20U;
    constexpr std::size_t peerHeaderBytes = 64U << 10U;
    constexpr unsigned callerIdleSeconds = 120; // beyond the idle times that callers are told of
    constexpr unsigned readinessIdleSeconds = 30;

    int openSignals()
    {
        sigset_t wanted;
        sigemptyset(&wanted);
        for (const int one : { SIGTERM, SIGINT, SIGHUP })
            sigaddset(&wanted, one);
        sigprocmask(SIG_BLOCK, &wanted, nullptr);
        std::signal(SIGPIPE, SIG_IGN);
        return signalfd(-1, &wanted, SFD_CLOEXEC | SFD_NONBLOCK);
    }

    // The next signal that has come, or 0.
    int takeSignal(int descriptor)
    {
        signalfd_siginfo info {};
        return read(descriptor, &info, sizeof info) == static_cast<ssize_t>(sizeof info) ? static_cast<int>(info.ssi_signo) : 0;
    }

    void beginLog(const entry_settings& values)
    {
        log_level level = log_level::Info;
        parseLogLevel(values.log.level, level);
        startLog(values.instance.name, level);
    }

    class entry_loop {
    public:
        entry_loop(const entry_settings& values, std::string file, int signals)
            : m_values(values)
            , m_file(std::move(file))
            , m_signals(signals)
            , m_store({}, values.store.address, m_net)
            , m_targets(routerSettings(values))
            , m_context { m_values, m_net, m_store, m_targets, incarnation(static_cast<std::uint64_t>(daemon::wallNow().time_since_epoch().count())) }
            , m_members(m_context, { usageDuty, targetsDuty })
            , m_known(m_context, m_members)
            , m_usage(m_context)
            , m_markNews(m_context, m_known, m_marks)
            , m_front(m_context, m_usage, m_marks)
            , m_batches(m_context, m_members, m_front)
            , m_demand(m_context, m_members)
            , m_weights(m_context, m_members, m_known, m_demand)
            , m_capacity(m_context, m_members, m_known, m_demand)
        {
            m_usage.setMembers(m_members);
            m_front.setBatches(m_batches);
            m_store.setPeers([this] { return m_members.otherAddresses(); });
        }

        result<void> listen();
        void run();

    private:
        static router_settings routerSettings(const entry_settings& values);
        result<std::unique_ptr<http::server>> listenAt(const std::string& address, const http::server_limits& limits, http::server::handler onRequest) const;
        void onPeer(const http::exchange_ptr& exchange);
        void onReadiness(const http::exchange_ptr& exchange) const;
        bool ready() const { return m_context.site && m_known.targetsKnown() && !m_context.stopping; }
        void takeTime();
        void onSignal(int signal);
        void reload(const char* why);
        void checkSettings();
        void logCounts();
        void beginStop();
        bool mayEnd() const;
        void tick();

        entry_settings m_values;
        std::string m_file;
        int m_signals = -1;
        transfers m_net;
        store_link m_store;
        router m_targets;
        context m_context;
        members m_members;
        knowledge m_known;
        usage_duty m_usage;
        quarantine m_marks;
        mark_news m_markNews;
        front m_front;
        batches m_batches;
        demand_news m_demand;
        weight_duty m_weights;
        capacity_duty m_capacity;
        metrics_page m_metrics;
        std::unique_ptr<http::server> m_callers;
        std::unique_ptr<http::server> m_readiness;
        std::unique_ptr<http::server> m_peers;
        std::unique_ptr<http::server> m_metricsServer;
        instant m_nextClosedCheck {};
        instant m_nextSettingsCheck {};
        instant m_nextCounts {};
        instant m_stopBegan {};
        std::optional<std::string> m_settingsText; // as read last
        bool m_wasReady = false;
    };

    router_settings entry_loop::routerSettings(const entry_settings& values)
    {
        router_settings out;
        out.instance = values.instance.name;
        out.failureDomain = failure_domain_id(values.instance.failureDomain);
        // The store's list is the truth: a target that isn't in the newest one is gone.
        out.table.absenceGrace = std::chrono::milliseconds(1);
        // New connections to targets are priced: an instance spreads its work over a few of
        // a service's replicas, and over the others when these are full.
        out.subsetSize = 8;
        // Current engines make a token of a small batch in about a millisecond and read
        // prompts at some hundred tokens in one; what is seen corrects both.
        out.load.initialSpeed.prefillTokensPerSecond = 100'000;
        out.load.initialSpeed.secondsPerToken = 0.001;
        out.load.initialSpeed.batchLimit = 8;
        out.load.initialSpeed.serviceWorkers = 6;
        return out;
    }

    result<std::unique_ptr<http::server>> entry_loop::listenAt(const std::string& address, const http::server_limits& limits, http::server::handler onRequest) const
    {
        return http::server::listen(address, limits, {}, std::move(onRequest), http::server_drive::OwnersLoop);
    }

    result<void> entry_loop::listen()
    {
        takeTime();
        http::server_limits wide;
        wide.bodyBytes = largestBody;
        wide.idleSeconds = callerIdleSeconds;
        http::server_limits inner;
        inner.bodyBytes = peerBody;
        inner.headerBytes = peerHeaderBytes;
        inner.idleSeconds = callerIdleSeconds;
        http::server_limits small;
        small.idleSeconds = readinessIdleSeconds;
        struct wanted {
            std::unique_ptr<http::server>* where;
            const std::string* address;
            http::server_limits limits;
            http::server::handler handler;
        };
        const wanted all[] = {
            { &m_peers, &m_values.listen.instances, inner, [this](const http::exchange_ptr& x) { onPeer(x); } },
            { &m_metricsServer, &m_values.listen.metrics, small, [this](const http::exchange_ptr& x) { m_metrics.answer(x); } },
            { &m_callers, &m_values.listen.callers, wide, [this](const http::exchange_ptr& x) { m_front.onRequest(x); } },
            { &m_readiness, &m_values.listen.readiness, small, [this](const http::exchange_ptr& x) { onReadiness(x); } },
        };
        for (const auto& one : all) {
            if (one.address->empty())
                continue;
            auto server = listenAt(*one.address, one.limits, one.handler);
            if (!server)
                return tl::unexpected(server.error());
            *one.where = std::move(*server);
        }
        return {};
    }

    void entry_loop::onPeer(const http::exchange_ptr& exchange)
    {
        if (exchange->path == "/store")
            m_store.relay(exchange);
        else if (exchange->path == "/known")
            m_known.onPeer(exchange);
        else if (exchange->path == "/usage")
            m_usage.onPeer(exchange);
        else if (exchange->path == "/marks")
            m_markNews.onPeer(exchange);
        else if (exchange->path == "/demand")
            m_demand.onPeer(exchange);
        else if (!m_batches.onPeer(exchange))
            exchange->answer(statusNotFound, {}, "");
    }

    void entry_loop::onReadiness(const http::exchange_ptr& exchange) const
    {
        exchange->answer(ready() ? statusOk : statusUnavailable, {}, "");
    }

    void entry_loop::takeTime()
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

    // Addresses of peers may change; the rest holds until the next start.
    void entry_loop::reload(const char* why)
    {
        const auto reading = readEntrySettingsFile(m_file);
        for (const auto& fault : reading.faults)
            logEvent(log_level::Error, "main", "settings_refused", { { "fault", toString(fault) } });
        if (!reading.faults.empty())
            return;
        m_values.store = reading.value.store;
        m_values.duties = reading.value.duties;
        m_values.listen.seeds = reading.value.listen.seeds;
        m_values.log = reading.value.log;
        log_level level = log_level::Info;
        parseLogLevel(m_values.log.level, level);
        setLogLevel(level);
        m_store.setAddress(m_values.store.address);
        logEvent(log_level::Info, "main", "reloaded", { { "why", why }, { "store", m_values.store.address } });
    }

    // The file may change without a signal.
    void entry_loop::checkSettings()
    {
        m_nextSettingsCheck = m_context.now + settingsCheck;
        auto text = readTextFile(m_file);
        if (!text || text == m_settingsText)
            return;
        if (m_settingsText)
            reload("file changed");
        m_settingsText = std::move(text);
    }

    void entry_loop::logCounts()
    {
        m_nextCounts = m_context.now + countsPeriod;
        std::string text;
        for (const auto& [cause, count] : m_store.counts())
            text += (text.empty() ? "" : ", ") + cause + " " + std::to_string(count);
        logEvent(log_level::Info, "store", "calls", { { "by_cause", text } });
    }

    void entry_loop::beginStop()
    {
        logEvent(log_level::Info, "main", "stopping", { { "open", std::to_string(m_front.open()) }, { "batches", std::to_string(m_batches.open()) } });
        m_context.stopping = true;
        m_stopBegan = m_context.now;
        m_members.releaseDuties();
        m_batches.beginStop();
    }

    bool entry_loop::mayEnd() const
    {
        if (!m_context.stopping)
            return false;
        const auto since = m_context.now - m_stopBegan;
        if (since >= m_values.bounds.stop - stopMargin)
            return true;
        // Whatever was read gets its answer, down to the last byte.
        const bool answered = m_callers == nullptr || m_callers->openRequests() == 0;
        return since >= leaveRotation && answered && m_front.open() == 0 && m_batches.handedOver() && m_usage.copied() && m_members.left();
    }

    void entry_loop::tick()
    {
        m_store.tick(m_context.now);
        if (m_store.takeRegained()) {
            m_members.hintStore();
            m_known.hintStore();
        }
        m_members.tick();
        m_known.tick();
        m_targets.tick(m_context.now);
        m_front.tick();
        m_batches.tick();
        m_demand.tell(m_batches.demand());
        m_weights.tick();
        m_capacity.tick();
        m_usage.tick();
        m_markNews.tick();
        if (m_context.stopping && m_batches.handedOver())
            m_members.leave();
        if (m_context.now >= m_nextClosedCheck && m_callers) {
            m_nextClosedCheck = m_context.now + closedCheck;
            m_callers->dropClosedCallers();
        }
        if (m_context.now >= m_nextSettingsCheck)
            checkSettings();
        if (m_context.now >= m_nextCounts)
            logCounts();
        m_metrics.update({ m_front.counts(), m_batches.counts(), m_store.counts(), m_front.open(), m_batches.open() });
        if (ready() != m_wasReady) {
            m_wasReady = ready();
            logEvent(log_level::Info, "main", m_wasReady ? "ready" : "not_ready");
        }
    }

    void entry_loop::run()
    {
        http::server* const servers[] = { m_callers.get(), m_readiness.get(), m_peers.get(), m_metricsServer.get() };
        std::vector<int> descriptors { m_signals };
        for (const auto* server : servers) {
            if (server != nullptr)
                descriptors.push_back(server->descriptor());
        }
        while (!mayEnd()) {
            tick();
            for (auto* server : servers) {
                if (server != nullptr)
                    server->run();
            }
            const bool busy = m_front.open() > 0 || m_batches.open() > 0;
            m_net.poll(busy ? busyWait : idleWait, descriptors);
            takeTime();
            for (int signal = takeSignal(m_signals); signal != 0; signal = takeSignal(m_signals))
                onSignal(signal);
        }
    }

} // namespace

int serveEntry(const entry_settings& values, const std::string& file)
{
    constexpr int mostArenas = 1; // one thread allocates; another arena would keep its own freed memory
    mallopt(M_ARENA_MAX, mostArenas);
    const int signals = openSignals();
    beginLog(values);
    int exitCode = exitOk;
    {
        entry_loop loop(values, file, signals);
        const auto listening = loop.listen();
        if (listening) {
            logEvent(log_level::Info, "main", "started", { { "callers", values.listen.callers }, { "store", values.store.address } });
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

int serveWitness(const entry_settings& values)
{
    const int signals = openSignals();
    beginLog(values);
    logEvent(log_level::Info, "main", "started", { { "role", "witness" } });
    for (;;) {
        pollfd waiting { signals, POLLIN, 0 };
        if (poll(&waiting, 1, -1) < 0)
            continue;
        const int signal = takeSignal(signals);
        if (signal == SIGTERM || signal == SIGINT)
            break;
    }
    logEvent(log_level::Info, "main", "ended");
    stopLog();
    return exitOk;
}

} // namespace lovagerail::edge
