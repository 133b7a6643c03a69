// HTTP interface of the engine stand-in apart from completions: load reports, cache
// events, orders, weights and the control calls that tests use. See engine.h.
#include "engine.h"

#include "http_client.h"
#include "programs.h"

#include <algorithm>
#include <cstdio>
#include <microhttpd.h>

namespace lovagerail::standin {

namespace {

    constexpr std::size_t maxBufferedEvents = 20000;
    constexpr std::chrono::milliseconds eventPollInterval { 50 };
    constexpr std::chrono::milliseconds weightLoadPollInterval { 10 };
    constexpr int maxWeightFetchAttempts = 20;

    std::string toHex(std::uint64_t number)
    {
        char text[17];
        std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
        return text;
    }

} // namespace

engine::engine(engine_options options)
    : m_options(std::move(options))
    , m_version(m_options.version)
    , m_model(m_options.model)
    , m_role(m_options.role)
    , m_cache(m_options.cacheTokens / tokensPerBlock)
    , m_server(
          m_options.address, m_options.port, [this](const http_request& request) { return handleRequest(request); },
          [this](const http_request& request) { return handleControl(request, request.path); })
{
    m_heldWeights.insert(m_model + "/" + m_version);
}

engine::~engine()
{
    m_server.stop();
    m_orderThreads.clear();
}

bool engine::start()
{
    const std::lock_guard lock(m_mutex);
    recordLoad();
    return m_server.start();
}

// A crash drops all connections at once and resets the state in memory: queue, cache, loaded
// version, adapters and orders. The log of attempts and orders is kept for checkers.
void engine::applyCrashAndRestart(clock::time_point now)
{
    if (m_crashRequested && !m_isDown) {
        m_server.stop();
        const std::lock_guard lock(m_mutex);
        m_crashRequested = false;
        m_isDown = true;
        m_restartAt = m_options.restartTime.count() > 0 ? now + m_options.restartTime : clock::time_point::max();
        m_running = 0;
        m_waiting.clear();
        m_cache.clear();
        m_events.clear();
        m_reports.clear();
        m_version = m_options.version;
        m_heldWeights = { m_model + "/" + m_version };
        m_adapters.clear();
        m_highestFencing = 0;
        m_orders.clear();
        m_server.counters.add("crashes");
    }
    if (!m_isDown)
        return;
    {
        const std::lock_guard lock(m_mutex);
        if (now < m_restartAt)
            return;
        ++m_incarnation;
        m_isDown = false;
    }
    m_server.counters.add("restarts");
    start();
}

http_answer engine::handleRequest(const http_request& request)
{
    const auto& path = request.path;
    if (request.method == "POST" && path == "/v1/completions")
        return handleCompletion(request, false);
    if (request.method == "POST" && path == "/v1/chat/completions")
        return handleCompletion(request, true);
    if (request.method == "POST" && path == "/orders")
        return handleOrder(parseJson(request.body));
    if (request.method == "POST" && path == "/kv/export")
        return exportCache(parseJson(request.body));
    if (request.method != "GET")
        return errorAnswer(MHD_HTTP_NOT_FOUND, "no such call");
    if (path == "/load")
        return loadAnswer();
    if (path == "/events")
        return streamCacheEvents(request);
    if (path.starts_with("/orders/"))
        return orderStatus(path.substr(8));
    if (path.starts_with("/weights/"))
        return serveWeights(request);
    if (path != "/v1/models")
        return errorAnswer(MHD_HTTP_NOT_FOUND, "no such call");
    const std::lock_guard lock(m_mutex);
    Json::Value value;
    value["object"] = "list";
    Json::Value model;
    model["id"] = m_model;
    value["data"].append(model);
    return jsonAnswer(value);
}

// Appends a load report after a change of load. The caller holds the mutex.
void engine::recordLoad()
{
    const auto now = clock::now();
    load_report report;
    report.at = now;
    report.running = m_running;
    report.waiting = m_waiting.size();
    report.cacheUsage = m_cache.capacity() ? static_cast<double>(m_cache.size()) / static_cast<double>(m_cache.capacity()) : 0;
    report.version = m_version;
    report.measuredMilliseconds = unixTimeMilliseconds();
    m_reports.push_back(report);
    while (m_reports.size() > 1 && m_reports[1].at <= now - m_options.reportLag)
        m_reports.pop_front();
}

// Returns the load as it was one report lag ago.
http_answer engine::loadAnswer()
{
    const std::lock_guard lock(m_mutex);
    const auto cutoff = clock::now() - m_options.reportLag;
    while (m_reports.size() > 1 && m_reports[1].at <= cutoff)
        m_reports.pop_front();
    const auto& report = m_reports.front();
    const bool frozen = m_server.faults.isOn("freeze_load");
    Json::Value value;
    value["target"] = m_options.name;
    value["incarnation"] = Json::UInt64(m_incarnation);
    value["running"] = frozen ? Json::UInt64(0) : Json::UInt64(report.running);
    value["waiting"] = frozen ? Json::UInt64(0) : Json::UInt64(report.waiting);
    value["kv_cache_usage"] = report.cacheUsage;
    value["weight_version"] = versionNumber(report.version);
    value["model"] = m_model;
    value["role"] = m_role;
    value["adapters"] = Json::Value(Json::arrayValue);
    for (const auto& adapter : m_adapters)
        value["adapters"].append(adapter);
    value["measured_at_ms"] = Json::Int64(std::min(unixTimeMilliseconds() - m_options.reportLag.count(), report.measuredMilliseconds));
    return jsonAnswer(value);
}

// Publishes cache events for stored and removed blocks. The caller holds the mutex.
void engine::publishCacheChange(const cache_change& change)
{
    const auto publish = [&](const char* kind, const std::vector<std::uint64_t>& hashes) {
        if (hashes.empty())
            return;
        const auto sequence = m_nextEvent++;
        if (m_server.faults.consume("gap_events"))
            return;
        m_events.push_back({ clock::now(), sequence, kind, hashes });
        if (m_events.size() > maxBufferedEvents)
            m_events.pop_front();
    };
    publish("stored", change.stored);
    publish("removed", change.removed);
}

http_answer engine::streamCacheEvents(const http_request& request)
{
    const auto after = request.query.find("after");
    auto nextSequence = std::make_shared<std::uint64_t>(after == request.query.end() ? 1 : static_cast<std::uint64_t>(toInt64(after->second)) + 1);
    http_answer answer;
    answer.contentType = "text/event-stream";
    answer.stream = [this, nextSequence, socket = request.socket](std::string& text) {
        while (true) {
            {
                const std::lock_guard lock(m_mutex);
                const auto cutoff = clock::now() - m_options.eventLag;
                for (const auto& event : m_events) {
                    if (event.sequence < *nextSequence || event.at > cutoff)
                        continue;
                    Json::Value value;
                    value["seq"] = Json::UInt64(event.sequence);
                    value["kind"] = event.kind;
                    for (const auto hash : event.hashes)
                        value["hashes"].append(toHex(hash));
                    text += "data: " + toCompactJson(value) + "\n\n";
                    *nextSequence = event.sequence + 1;
                }
            }
            if (!text.empty())
                return stream_step::More;
            if (!m_server.pause(socket, eventPollInterval))
                return stream_step::Abort;
        }
    };
    return answer;
}

// Executes each order id once; a repeat gets the answer known so far. With --check-fencing,
// orders with a lower fencing number than the highest one seen are refused.
http_answer engine::handleOrder(const Json::Value& body)
{
    if (!body.isObject() || body["order_id"].asString().empty())
        return errorAnswer(MHD_HTTP_BAD_REQUEST, "expected an order_id");
    const auto id = body["order_id"].asString();
    const auto fencing = toInt64(body["fencing_number"]);
    const std::lock_guard lock(m_mutex);
    Json::Value entry = body;
    entry["received_at_ms"] = Json::Int64(unixTimeMilliseconds());
    entry["stale"] = fencing < m_highestFencing;
    if (fencing < m_highestFencing && m_options.rejectsOldFencing) {
        entry["answer"] = "refused";
        m_orderLog.append(entry);
        m_server.counters.add("orders_refused");
        return errorAnswer(MHD_HTTP_CONFLICT, "old fencing number");
    }
    m_highestFencing = std::max(m_highestFencing, fencing);
    const auto existing = m_orders.find(id);
    entry["answer"] = existing == m_orders.end() ? "taken" : "repeated";
    m_orderLog.append(entry);
    if (existing != m_orders.end())
        return jsonAnswer(existing->second.answer);
    m_server.counters.add("orders_taken");
    auto& answer = m_orders[id].answer;
    answer["order_id"] = id;
    answer["state"] = "running";
    const auto first = answer;
    m_orderThreads.emplace_back([this, body, id] { executeOrder(body, id); });
    return jsonAnswer(first);
}

// Executes an order; a failed weight load leaves the old version loaded.
void engine::executeOrder(const Json::Value& body, const std::string& id)
{
    const std::lock_guard orderLock(m_orderExecutionMutex);
    const auto kind = body["kind"].asString();
    // Step 1. Fetch the weights, then wait for the configured loading time.
    std::string error;
    const bool loadsWeights = kind == "load_version" || kind == "load_adapter";
    if (loadsWeights)
        error = fetchWeights(body);
    const auto deadline = clock::now() + (loadsWeights ? m_options.weightLoadTime : std::chrono::milliseconds(0));
    while (clock::now() < deadline && !m_server.stopping())
        std::this_thread::sleep_for(weightLoadPollInterval);
    if (m_server.faults.consume("fail_swaps"))
        error = "swap failed";
    if (m_server.stopping())
        return;
    // Step 2. Apply the order. Chunks are generated under the same mutex, so a version
    // never changes within a chunk.
    const std::lock_guard lock(m_mutex);
    if (error.empty() && kind == "load_version") {
        m_version = std::to_string(toInt64(body["version"]));
        m_model = body.get("model", m_model).asString();
        m_heldWeights.insert(m_model + "/" + m_version);
        m_cache.clear();
        m_events.push_back({ clock::now(), m_nextEvent++, "cleared", {} });
    } else if (error.empty() && kind == "load_adapter") {
        m_adapters.insert(body["adapter"].asString());
    } else if (kind == "unload_adapter") {
        m_adapters.erase(body["adapter"].asString());
    } else if (kind == "set_role") {
        m_role = body["role"].asString();
    } else if (error.empty()) {
        error = "unknown kind";
    }
    auto& answer = m_orders[id].answer;
    answer["order_id"] = id;
    answer["state"] = error.empty() ? "done" : "failed";
    if (!error.empty())
        answer["error"] = error;
    m_server.counters.add(error.empty() ? "orders_done" : "orders_failed");
    recordLoad();
}

// Fetches weights from the order's source, if it names one; returns the error, or an empty string.
std::string engine::fetchWeights(const Json::Value& body)
{
    auto url = body["source"].asString();
    if (url.empty())
        return {};
    if (url.find("/weights/") == std::string::npos) {
        const auto version = std::to_string(toInt64(body["version"]));
        url += "/weights/" + body.get("model", m_model).asString() + "/" + version;
    }
    for (int i = 0; i < maxWeightFetchAttempts && !m_server.stopping(); ++i) {
        client_request request;
        request.url = url;
        const auto fetched = httpCall(request);
        m_server.counters.add("weight_fetches");
        if (fetched.status == MHD_HTTP_OK)
            return {};
        if (fetched.status != MHD_HTTP_TOO_MANY_REQUESTS)
            return "weights: " + (fetched.status ? std::to_string(fetched.status) : fetched.error);
        const auto wait = std::max<std::int64_t>(toInt64(fetched.header("Retry-After")), 1);
        m_server.counters.add("weight_fetches_refused");
        for (auto deadline = clock::now() + std::chrono::seconds(wait); clock::now() < deadline && !m_server.stopping();)
            std::this_thread::sleep_for(weightLoadPollInterval);
    }
    return "weights: refused too often";
}

http_answer engine::orderStatus(const std::string& id)
{
    const std::lock_guard lock(m_mutex);
    const auto existing = m_orders.find(id);
    if (existing == m_orders.end())
        return errorAnswer(MHD_HTTP_NOT_FOUND, "no such order");
    return jsonAnswer(existing->second.answer);
}

http_answer engine::serveWeights(const http_request& request)
{
    const auto name = request.path.substr(9);
    const auto slash = name.rfind('/');
    const std::lock_guard lock(m_mutex);
    if (slash == std::string::npos || !m_heldWeights.contains(name))
        return errorAnswer(MHD_HTTP_NOT_FOUND, "no such weights");
    http_answer answer;
    answer.contentType = "application/octet-stream";
    answer.body = weightBytes(name.substr(0, slash), name.substr(slash + 1), m_options.weightSizeBytes);
    m_server.counters.add("weights_passed_on");
    return answer;
}

// Control calls `faults`, `stats` and `log`. On top of the common faults, `faults` takes
// `crash`, `restart` and `restart_ms`.
http_answer engine::handleControl(const http_request& request, const std::string& path)
{
    if (path.ends_with("/faults") && request.method == "POST") {
        const auto body = parseJson(request.body);
        if (!body.isObject())
            return errorAnswer(MHD_HTTP_BAD_REQUEST, "expected a JSON object");
        m_server.faults.merge(body);
        const std::lock_guard lock(m_mutex);
        if (body.isMember("restart_ms"))
            m_options.restartTime = std::chrono::milliseconds(toInt64(body["restart_ms"]));
        if (body.get("crash", false).asBool())
            m_crashRequested = true;
        if (body.get("restart", false).asBool())
            m_restartAt = clock::now();
        return jsonAnswer(m_server.faults.toJson());
    }
    if (path.ends_with("/faults"))
        return jsonAnswer(m_server.faults.toJson());
    if (path.ends_with("/stats")) {
        auto stats = m_server.counters.toJson();
        const std::lock_guard lock(m_mutex);
        stats["incarnation"] = Json::UInt64(m_incarnation);
        stats["down"] = m_isDown.load();
        stats["running"] = Json::UInt64(m_running);
        stats["weight_version"] = m_version;
        return jsonAnswer(stats);
    }
    if (!path.ends_with("/log"))
        return errorAnswer(MHD_HTTP_NOT_FOUND, "no such control call");
    const auto after = request.query.find("after");
    const std::lock_guard lock(m_mutex);
    return jsonAnswer(logSince(after == request.query.end() ? 0 : static_cast<std::uint64_t>(toInt64(after->second))));
}

// Returns the log of attempts after the given number, and of all orders. The caller holds the mutex.
Json::Value engine::logSince(std::uint64_t number) const
{
    Json::Value value;
    value["target"] = m_options.name;
    value["attempts"] = Json::Value(Json::arrayValue);
    for (const auto& record : m_attempts) {
        if (record->number > number)
            value["attempts"].append(record->toJson());
    }
    value["orders"] = m_orderLog;
    value["highest_fencing_number"] = Json::Int64(m_highestFencing);
    return value;
}

} // namespace lovagerail::standin
