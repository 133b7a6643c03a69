// Stand-in for plain services: counts how often each request truly ran, by its
// Idempotency-Key or else its body, and can crash like an engine.
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

    constexpr std::chrono::milliseconds tendTick { 20 };
    constexpr std::chrono::milliseconds crossPatience { 2000 };
    constexpr std::size_t bodyStartBytes = 120;

    class plain_service {
    public:
        plain_service(const arguments& given, std::string name, std::uint16_t port)
            : m_name(std::move(name))
            , m_workTime(numberOf(given, "--work-ms"))
            , m_restartTime(std::chrono::milliseconds(numberOf(given, "--restart-ms")))
            , m_server(
                  textOf(given, "--address"), port, [this](const http_request& request) { return answer(request); },
                  [this](const http_request& request) { return control(request); })
        {
            m_server.faults.merge(parseJson(textOf(given, "--faults")));
        }

        bool start() { return m_server.start(); }
        const std::string& name() const { return m_name; }

        // Crashes and restarts when told to; what ran stays on record.
        void tend(clock::time_point now)
        {
            if (m_crash && !m_down) {
                m_server.stop();
                m_crash = false;
                m_down = true;
                m_restartAt = m_restartTime.load().count() > 0 ? now + m_restartTime.load() : clock::time_point::max();
            }
            if (!m_down || now < m_restartAt.load())
                return;
            m_down = false;
            ++m_incarnation;
            m_server.start();
        }

        http_answer control(const http_request& request)
        {
            const auto& path = request.path;
            if (path.ends_with("/faults")) {
                const auto body = parseJson(request.body);
                m_server.faults.merge(body);
                if (body.isObject() && body.isMember("restart_ms"))
                    m_restartTime = std::chrono::milliseconds(toNumber(body["restart_ms"]));
                if (body.isObject() && body.get("crash", false).asBool())
                    m_crash = true;
                if (body.isObject() && body.get("restart", false).asBool())
                    m_restartAt = clock::now();
                return jsonAnswer(m_server.faults.all());
            }
            if (path.ends_with("/stats")) {
                auto stats = m_server.counters.all();
                stats["incarnation"] = Json::UInt64(m_incarnation);
                stats["down"] = m_down.load();
                return jsonAnswer(stats);
            }
            if (!path.ends_with("/log"))
                return errorAnswer(MHD_HTTP_NOT_FOUND, "no such control call");
            const std::lock_guard lock(m_mutex);
            Json::Value value;
            value["service"] = m_name;
            value["calls"] = m_log;
            value["runs"] = Json::Value(Json::objectValue);
            for (const auto& [key, runs] : m_runs)
                value["runs"][key] = Json::Int64(runs);
            return jsonAnswer(value);
        }

    private:
        struct crossing {
            std::string id;
            std::string body;
            bool swapped = false;
        };

        http_answer load()
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
            value["measured_at_ms"] = Json::Int64(wallMilliseconds());
            return jsonAnswer(value);
        }

        // Notes a call, and counts it if it runs; returns the number of runs so far.
        std::int64_t record(const http_request& request, const std::string& key, bool ran)
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
            entry["received_at_ms"] = Json::Int64(wallMilliseconds());
            m_log.append(entry);
            m_server.counters.add(ran ? "runs" : "refusals");
            return ran ? ++m_runs[key] : 0;
        }

        // Swaps this answer with the next one.
        void cross(crossing& own)
        {
            std::unique_lock lock(m_mutex);
            if (m_uncrossed) {
                auto& other = *std::exchange(m_uncrossed, nullptr);
                std::swap(own.id, other.id);
                std::swap(own.body, other.body);
                other.swapped = true;
                m_server.counters.add("crossed_answers", 2);
                m_crossed.notify_all();
                return;
            }
            m_uncrossed = &own;
            m_crossed.wait_for(lock, crossPatience, [&] { return own.swapped; });
            if (m_uncrossed == &own)
                m_uncrossed = nullptr;
        }

        http_answer answer(const http_request& request)
        {
            if (request.path == "/load")
                return load();
            const auto key = request.header("Idempotency-Key").empty()
                ? "body-" + std::to_string(XXH64(request.body.data(), request.body.size(), 0))
                : request.header("Idempotency-Key");
            // Step 1. Refuse truthfully, or crash on a poisonous body.
            if (m_server.faults.take("refuse")) {
                record(request, key, false);
                auto refusal = errorAnswer(MHD_HTTP_SERVICE_UNAVAILABLE, "busy");
                refusal.headers = { { "X-Not-Run", "true" }, { "X-Request-Id", request.header("X-Request-Id") } };
                return refusal;
            }
            // Step 2. Run it: from here on it has taken effect.
            const auto runs = record(request, key, true);
            const auto marker = m_server.faults.text("poison");
            if (!marker.empty() && request.body.find(marker) != std::string::npos) {
                m_server.counters.add("poisoned");
                m_crash = true;
                while (m_server.pause(request.socket, tendTick))
                    continue;
                return droppedAnswer();
            }
            ++m_running;
            const bool stays = m_server.pause(request.socket, m_workTime);
            --m_running;
            if (!stays)
                return droppedAnswer();
            // Step 3. Answer, crossed or cut if told to.
            Json::Value value;
            value["service"] = m_name;
            value["key"] = key;
            value["run"] = Json::Int64(runs);
            value["method"] = request.method;
            value["uri"] = request.uri;
            value["echo"] = request.body;
            crossing own { request.header("X-Request-Id"), toLine(value) };
            if (m_server.faults.take("cross_answers"))
                cross(own);
            http_answer reply;
            reply.headers = { { "X-Request-Id", own.id } };
            reply.body = own.body;
            if (m_server.faults.take("truncate_streams")) {
                reply.stream = [half = own.body.substr(0, own.body.size() / 2)](std::string& out) {
                    out = half;
                    return stream_step::Cut;
                };
            }
            return reply;
        }

        std::string m_name;
        std::chrono::milliseconds m_workTime;
        std::atomic<std::chrono::milliseconds> m_restartTime;
        std::mutex m_mutex; // guards the records and the crossing
        std::condition_variable m_crossed;
        std::map<std::string, std::int64_t> m_runs;
        Json::Value m_log { Json::arrayValue };
        crossing* m_uncrossed = nullptr;
        std::atomic<int> m_running { 0 };
        std::atomic<std::uint64_t> m_incarnation { 1 };
        std::atomic<bool> m_crash { false };
        std::atomic<bool> m_down { false };
        std::atomic<clock::time_point> m_restartAt { clock::time_point::max() };
        http_server m_server; // last, so that it ends first
    };

} // namespace

int runServices(const arguments& given)
{
    const auto count = numberOf(given, "--count");
    const auto basePort = numberOf(given, "--base-port") > 0 ? numberOf(given, "--base-port") : numberOf(given, "--port");
    std::vector<std::unique_ptr<plain_service>> services;
    for (long i = 0; i < count; ++i) {
        const auto name = count > 1 ? textOf(given, "--name") + "-" + std::to_string(i) : textOf(given, "--name");
        services.push_back(std::make_unique<plain_service>(given, name, static_cast<std::uint16_t>(basePort + i)));
        if (!services.back()->start()) {
            std::fprintf(stderr, "lovage-standin service: can't listen on %ld\n", basePort + i);
            return 1;
        }
    }
    http_server control(
        textOf(given, "--address"), static_cast<std::uint16_t>(numberOf(given, "--control-port")),
        [](const http_request&) { return errorAnswer(MHD_HTTP_NOT_FOUND, "control only"); },
        [&](const http_request& request) {
            for (const auto& one : services) {
                if (request.path.starts_with("/control/services/" + one->name() + "/"))
                    return one->control(request);
            }
            return errorAnswer(MHD_HTTP_NOT_FOUND, "no such service");
        });
    if (numberOf(given, "--control-port") > 0 && !control.start()) {
        std::fprintf(stderr, "lovage-standin service: can't listen on the control port\n");
        return 1;
    }
    std::jthread tender([&](const std::stop_token& stop) {
        while (!stop.stop_requested()) {
            std::this_thread::sleep_for(tendTick);
            for (const auto& one : services)
                one->tend(clock::now());
        }
    });
    waitForSignal();
    tender.request_stop();
    tender.join();
    control.stop();
    return 0;
}

} // namespace lovagerail::standin
