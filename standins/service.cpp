// Stand-in for plain services, without tokens or streams. It counts how often each request
// was actually executed, by Idempotency-Key or else by body, so that tests can detect
// repeated execution. It can crash and restart like an engine.
#include "http_server.h"
#include "programs.h"

#include <condition_variable>
#include <cstdio>
#include <memory>
#include <microhttpd.h>
#include <thread>
#include <xxhash.h>

namespace lovagerail::standin {

namespace {

    using clock = std::chrono::steady_clock;

    constexpr std::chrono::milliseconds crashPollInterval { 20 };
    constexpr std::chrono::milliseconds maxExchangeWait { 2000 };
    constexpr std::size_t bodyStartBytes = 120;

    class plain_service {
    public:
        plain_service(const arguments& args, std::string name, std::uint16_t port)
            : m_name(std::move(name))
            , m_processingTime(numberOf(args, "--work-ms"))
            , m_restartTime(std::chrono::milliseconds(numberOf(args, "--restart-ms")))
            , m_server(
                  textOf(args, "--address"), port, [this](const http_request& request) { return handleRequest(request); },
                  [this](const http_request& request) { return handleControl(request); })
        {
            m_server.faults.merge(parseJson(textOf(args, "--faults")));
        }

        bool start() { return m_server.start(); }
        const std::string& name() const { return m_name; }

        // Carries out requested crashes and due restarts. The log and counts are kept across
        // crashes.
        void applyCrashAndRestart(clock::time_point now)
        {
            if (m_crashRequested && !m_isDown) {
                m_server.stop();
                m_crashRequested = false;
                m_isDown = true;
                m_restartAt = m_restartTime.load().count() > 0 ? now + m_restartTime.load() : clock::time_point::max();
            }
            if (!m_isDown || now < m_restartAt.load())
                return;
            m_isDown = false;
            ++m_incarnation;
            m_server.start();
        }

        http_answer handleControl(const http_request& request)
        {
            const auto& path = request.path;
            if (path.ends_with("/faults")) {
                const auto body = parseJson(request.body);
                m_server.faults.merge(body);
                if (body.isObject() && body.isMember("restart_ms"))
                    m_restartTime = std::chrono::milliseconds(toInt64(body["restart_ms"]));
                if (body.isObject() && body.get("crash", false).asBool())
                    m_crashRequested = true;
                if (body.isObject() && body.get("restart", false).asBool())
                    m_restartAt = clock::now();
                return jsonAnswer(m_server.faults.toJson());
            }
            if (path.ends_with("/stats")) {
                auto stats = m_server.counters.toJson();
                stats["incarnation"] = Json::UInt64(m_incarnation);
                stats["down"] = m_isDown.load();
                return jsonAnswer(stats);
            }
            if (!path.ends_with("/log"))
                return errorAnswer(MHD_HTTP_NOT_FOUND, "no such control call");
            const std::lock_guard lock(m_mutex);
            Json::Value value;
            value["service"] = m_name;
            value["calls"] = m_log;
            value["runs"] = Json::Value(Json::objectValue);
            for (const auto& [key, runs] : m_runCounts)
                value["runs"][key] = Json::Int64(runs);
            return jsonAnswer(value);
        }

    private:
        struct exchangeable_answer {
            std::string id;
            std::string body;
            bool exchanged = false;
        };

        http_answer loadAnswer()
        {
            Json::Value value;
            value["target"] = m_name;
            value["incarnation"] = Json::UInt64(m_incarnation);
            value["running"] = m_running.load();
            value["waiting"] = 0;
            value["kv_cache_usage"] = 0.0;
            value["weight_version"] = 0;
            value["model"] = "";
            value["role"] = "service";
            value["adapters"] = Json::Value(Json::arrayValue);
            value["measured_at_ms"] = Json::Int64(unixTimeMilliseconds());
            return jsonAnswer(value);
        }

        // Logs a call and counts it if it is executed; returns the number of executions so far.
        std::int64_t recordCall(const http_request& request, const std::string& key, bool ran)
        {
            const std::lock_guard lock(m_mutex);
            Json::Value entry;
            entry["key"] = key;
            entry["attempt"] = request.header("X-Request-Id");
            entry["head"] = request.head;
            entry["method"] = request.method;
            entry["uri"] = request.uri;
            entry["ran"] = ran;
            entry["body_start"] = request.body.substr(0, bodyStartBytes);
            entry["received_at_ms"] = Json::Int64(unixTimeMilliseconds());
            m_log.append(entry);
            m_server.counters.add(ran ? "runs" : "refusals");
            return ran ? ++m_runCounts[key] : 0;
        }

        // Fault `cross_answers`: waits for another answer and exchanges the two, so that each
        // caller gets the other's. Without another answer in time, nothing is exchanged.
        void exchangeWithNext(exchangeable_answer& ownAnswer)
        {
            std::unique_lock lock(m_mutex);
            if (m_awaitingExchange) {
                auto& other = *std::exchange(m_awaitingExchange, nullptr);
                std::swap(ownAnswer.id, other.id);
                std::swap(ownAnswer.body, other.body);
                other.exchanged = true;
                m_server.counters.add("crossed_answers", 2);
                m_exchanged.notify_all();
                return;
            }
            m_awaitingExchange = &ownAnswer;
            m_exchanged.wait_for(lock, maxExchangeWait, [&] { return ownAnswer.exchanged; });
            if (m_awaitingExchange == &ownAnswer)
                m_awaitingExchange = nullptr;
        }

        http_answer handleRequest(const http_request& request)
        {
            if (request.path == "/load")
                return loadAnswer();
            const auto key = request.header("Idempotency-Key").empty()
                ? "body-" + std::to_string(XXH64(request.body.data(), request.body.size(), 0))
                : request.header("Idempotency-Key");
            // Step 1. Refuse without executing, if the fault asks for it.
            if (m_server.faults.consume("refuse")) {
                recordCall(request, key, false);
                auto refusal = errorAnswer(MHD_HTTP_SERVICE_UNAVAILABLE, "busy");
                refusal.headers = { { "X-Not-Run", "true" }, { "X-Request-Id", request.header("X-Request-Id") } };
                return refusal;
            }
            // Step 2. Execute: from here on the request has taken effect, even if the marker of the
            // fault `poison` in its body then crashes the service.
            const auto runs = recordCall(request, key, true);
            const auto marker = m_server.faults.text("poison");
            if (!marker.empty() && request.body.find(marker) != std::string::npos) {
                m_server.counters.add("poisoned");
                m_crashRequested = true;
                while (m_server.pause(request.socket, crashPollInterval))
                    continue;
                return droppedAnswer();
            }
            ++m_running;
            const bool callerConnected = m_server.pause(request.socket, m_processingTime);
            --m_running;
            if (!callerConnected)
                return droppedAnswer();
            // Step 3. Answer, with answers exchanged or truncated if a fault asks for it.
            Json::Value value;
            value["service"] = m_name;
            value["key"] = key;
            value["run"] = Json::Int64(runs);
            value["method"] = request.method;
            value["uri"] = request.uri;
            value["echo"] = request.body;
            exchangeable_answer ownAnswer { request.header("X-Request-Id"), toCompactJson(value) };
            if (m_server.faults.consume("cross_answers"))
                exchangeWithNext(ownAnswer);
            http_answer reply;
            reply.headers = { { "X-Request-Id", ownAnswer.id } };
            reply.body = ownAnswer.body;
            if (m_server.faults.consume("truncate_streams")) {
                reply.stream = [firstHalf = ownAnswer.body.substr(0, ownAnswer.body.size() / 2)](std::string& out) {
                    out = firstHalf;
                    return stream_step::Abort;
                };
            }
            return reply;
        }

        std::string m_name;
        std::chrono::milliseconds m_processingTime;
        std::atomic<std::chrono::milliseconds> m_restartTime;
        std::mutex m_mutex; // guards m_runCounts, m_log and m_awaitingExchange
        std::condition_variable m_exchanged;
        std::map<std::string, std::int64_t> m_runCounts;
        Json::Value m_log { Json::arrayValue };
        exchangeable_answer* m_awaitingExchange = nullptr;
        std::atomic<int> m_running { 0 };
        std::atomic<std::uint64_t> m_incarnation { 1 };
        std::atomic<bool> m_crashRequested { false };
        std::atomic<bool> m_isDown { false };
        std::atomic<clock::time_point> m_restartAt { clock::time_point::max() };
        http_server m_server; // last member: its threads must stop before the state that they use is destroyed
    };

} // namespace

int runServices(const arguments& args)
{
    const auto count = numberOf(args, "--count");
    const auto basePort = numberOf(args, "--base-port") > 0 ? numberOf(args, "--base-port") : numberOf(args, "--port");
    std::vector<std::unique_ptr<plain_service>> services;
    for (long i = 0; i < count; ++i) {
        const auto name = count > 1 ? textOf(args, "--name") + "-" + std::to_string(i) : textOf(args, "--name");
        services.push_back(std::make_unique<plain_service>(args, name, static_cast<std::uint16_t>(basePort + i)));
        if (!services.back()->start()) {
            std::fprintf(stderr, "lovage-standin service: can't listen on %ld\n", basePort + i);
            return 1;
        }
    }
    http_server control(
        textOf(args, "--address"), static_cast<std::uint16_t>(numberOf(args, "--control-port")),
        [](const http_request&) { return errorAnswer(MHD_HTTP_NOT_FOUND, "control only"); },
        [&](const http_request& request) {
            for (const auto& servicePtr : services) {
                if (request.path.starts_with("/control/services/" + servicePtr->name() + "/"))
                    return servicePtr->handleControl(request);
            }
            return errorAnswer(MHD_HTTP_NOT_FOUND, "no such service");
        });
    if (numberOf(args, "--control-port") > 0 && !control.start()) {
        std::fprintf(stderr, "lovage-standin service: can't listen on the control port\n");
        return 1;
    }
    std::jthread crashPoller([&](const std::stop_token& stop) {
        while (!stop.stop_requested()) {
            std::this_thread::sleep_for(crashPollInterval);
            for (const auto& servicePtr : services)
                servicePtr->applyCrashAndRestart(clock::now());
        }
    });
    waitForSignal();
    crashPoller.request_stop();
    crashPoller.join();
    control.stop();
    return 0;
}

} // namespace lovagerail::standin
