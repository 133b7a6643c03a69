// Reports, orders and faults of the engine stand-in, see engine.h.
#include "engine.h"

#include "http_client.h"
#include "programs.h"

#include <algorithm>
#include <cstdio>
#include <microhttpd.h>

namespace lovagerail::standin {

namespace {

    constexpr std::size_t mostEvents = 20000;
    constexpr std::chrono::milliseconds eventTick { 50 };
    constexpr std::chrono::milliseconds swapTick { 10 };
    constexpr int mostFetches = 20;

    std::string hex(std::uint64_t number)
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
          m_options.address, m_options.port, [this](const http_request& request) { return answer(request); },
          [this](const http_request& request) { return control(request, request.path); })
{
    m_weights.insert(m_model + "/" + m_version);
}

engine::~engine()
{
    m_server.stop();
    m_orderThreads.clear();
}

bool engine::start()
{
    const std::lock_guard lock(m_mutex);
    noteLoad();
    return m_server.start();
}

// Crashes: all connections drop at once, and nothing in memory is left.
void engine::tend(clock::time_point now)
{
    if (m_crash && !m_down) {
        m_server.stop();
        const std::lock_guard lock(m_mutex);
        m_crash = false;
        m_down = true;
        m_restartAt = m_options.restartTime.count() > 0 ? now + m_options.restartTime : clock::time_point::max();
        m_running = 0;
        m_waiting.clear();
        m_cache.clear();
        m_events.clear();
        m_reports.clear();
        m_version = m_options.version;
        m_weights = { m_model + "/" + m_version };
        m_adapters.clear();
        m_fencing = 0;
        m_orders.clear();
        m_server.counters.add("crashes");
    }
    if (!m_down)
        return;
    {
        const std::lock_guard lock(m_mutex);
        if (now < m_restartAt)
            return;
        ++m_incarnation;
        m_down = false;
    }
    m_server.counters.add("restarts");
    start();
}

http_answer engine::answer(const http_request& request)
{
    const auto& path = request.path;
    if (request.method == "POST" && path == "/v1/completions")
        return complete(request, false);
    if (request.method == "POST" && path == "/v1/chat/completions")
        return complete(request, true);
    if (request.method == "POST" && path == "/orders")
        return takeOrder(parseJson(request.body));
    if (request.method == "POST" && path == "/kv/export")
        return exportCache(parseJson(request.body));
    if (request.method != "GET")
        return errorAnswer(MHD_HTTP_NOT_FOUND, "no such call");
    if (path == "/load")
        return load();
    if (path == "/events")
        return events(request);
    if (path.starts_with("/orders/"))
        return orderState(path.substr(8));
    if (path.starts_with("/weights/"))
        return passOnWeights(request);
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

// Notes a change of load; the caller holds the mutex.
void engine::noteLoad()
{
    const auto now = clock::now();
    load_report report;
    report.at = now;
    report.running = m_running;
    report.waiting = m_waiting.size();
    report.cacheUsage = m_cache.capacity() ? static_cast<double>(m_cache.size()) / static_cast<double>(m_cache.capacity()) : 0;
    report.version = m_version;
    report.measuredMilliseconds = wallMilliseconds();
    m_reports.push_back(report);
    while (m_reports.size() > 1 && m_reports[1].at <= now - m_options.reportLag)
        m_reports.pop_front();
}

// The load as it was the lag ago.
http_answer engine::load()
{
    const std::lock_guard lock(m_mutex);
    const auto seen = clock::now() - m_options.reportLag;
    while (m_reports.size() > 1 && m_reports[1].at <= seen)
        m_reports.pop_front();
    const auto& report = m_reports.front();
    const bool frozen = m_server.faults.on("freeze_load");
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
    value["measured_at_ms"] = Json::Int64(std::min(wallMilliseconds() - m_options.reportLag.count(), report.measuredMilliseconds));
    return jsonAnswer(value);
}

// Publishes what the cache did; the caller holds the mutex.
void engine::noteCache(const cache_change& change)
{
    const auto publish = [&](const char* kind, const std::vector<std::uint64_t>& hashes) {
        if (hashes.empty())
            return;
        const auto sequence = m_nextEvent++;
        if (m_server.faults.take("gap_events"))
            return;
        m_events.push_back({ clock::now(), sequence, kind, hashes });
        if (m_events.size() > mostEvents)
            m_events.pop_front();
    };
    publish("stored", change.stored);
    publish("removed", change.removed);
}

http_answer engine::events(const http_request& request)
{
    const auto after = request.query.find("after");
    auto next = std::make_shared<std::uint64_t>(after == request.query.end() ? 1 : static_cast<std::uint64_t>(toNumber(after->second)) + 1);
    http_answer answer;
    answer.contentType = "text/event-stream";
    answer.stream = [this, next, socket = request.socket](std::string& text) {
        while (true) {
            {
                const std::lock_guard lock(m_mutex);
                const auto seen = clock::now() - m_options.eventLag;
                for (const auto& event : m_events) {
                    if (event.sequence < *next || event.at > seen)
                        continue;
                    Json::Value value;
                    value["seq"] = Json::UInt64(event.sequence);
                    value["kind"] = event.kind;
                    for (const auto hash : event.hashes)
                        value["hashes"].append(hex(hash));
                    text += "data: " + toLine(value) + "\n\n";
                    *next = event.sequence + 1;
                }
            }
            if (!text.empty())
                return stream_step::More;
            if (!m_server.pause(socket, eventTick))
                return stream_step::Cut;
        }
    };
    return answer;
}

// Takes an order once per id; an old fencing number is refused where that is checked.
http_answer engine::takeOrder(const Json::Value& body)
{
    if (!body.isObject() || body["order_id"].asString().empty())
        return errorAnswer(MHD_HTTP_BAD_REQUEST, "expected an order_id");
    const auto id = body["order_id"].asString();
    const auto fencing = toNumber(body["fencing_number"]);
    const std::lock_guard lock(m_mutex);
    Json::Value entry = body;
    entry["received_at_ms"] = Json::Int64(wallMilliseconds());
    entry["stale"] = fencing < m_fencing;
    if (fencing < m_fencing && m_options.checksFencing) {
        entry["answer"] = "refused";
        m_orderLog.append(entry);
        m_server.counters.add("orders_refused");
        return errorAnswer(MHD_HTTP_CONFLICT, "old fencing number");
    }
    m_fencing = std::max(m_fencing, fencing);
    const auto known = m_orders.find(id);
    entry["answer"] = known == m_orders.end() ? "taken" : "repeated";
    m_orderLog.append(entry);
    if (known != m_orders.end())
        return jsonAnswer(known->second.answer);
    m_server.counters.add("orders_taken");
    auto& answer = m_orders[id].answer;
    answer["order_id"] = id;
    answer["state"] = "running";
    const auto first = answer;
    m_orderThreads.emplace_back([this, body, id] { carryOut(body, id); });
    return jsonAnswer(first);
}

// Carries an order out; a failed swap leaves the old version in place.
void engine::carryOut(const Json::Value& body, const std::string& id)
{
    const std::lock_guard one(m_swap);
    const auto kind = body["kind"].asString();
    // Step 1. Get the weights, and let the swap take its time.
    std::string problem;
    const bool loads = kind == "load_version" || kind == "load_adapter";
    if (loads)
        problem = fetchWeights(body);
    const auto end = clock::now() + (loads ? m_options.swapTime : std::chrono::milliseconds(0));
    while (clock::now() < end && !m_server.stopping())
        std::this_thread::sleep_for(swapTick);
    if (m_server.faults.take("fail_swaps"))
        problem = "swap failed";
    if (m_server.stopping())
        return;
    // Step 2. Put it in force between two chunks.
    const std::lock_guard lock(m_mutex);
    if (problem.empty() && kind == "load_version") {
        m_version = std::to_string(toNumber(body["version"]));
        m_model = body.get("model", m_model).asString();
        m_weights.insert(m_model + "/" + m_version);
        m_cache.clear();
        m_events.push_back({ clock::now(), m_nextEvent++, "cleared", {} });
    } else if (problem.empty() && kind == "load_adapter") {
        m_adapters.insert(body["adapter"].asString());
    } else if (kind == "unload_adapter") {
        m_adapters.erase(body["adapter"].asString());
    } else if (kind == "set_role") {
        m_role = body["role"].asString();
    } else if (problem.empty()) {
        problem = "unknown kind";
    }
    auto& answer = m_orders[id].answer;
    answer["order_id"] = id;
    answer["state"] = problem.empty() ? "done" : "failed";
    if (!problem.empty())
        answer["error"] = problem;
    m_server.counters.add(problem.empty() ? "orders_done" : "orders_failed");
    noteLoad();
}

// Fetches weights from the order's source, if it names one; returns what went wrong.
std::string engine::fetchWeights(const Json::Value& body)
{
    auto url = body["source"].asString();
    if (url.empty())
        return {};
    if (url.find("/weights/") == std::string::npos) {
        const auto version = std::to_string(toNumber(body["version"]));
        url += "/weights/" + body.get("model", m_model).asString() + "/" + version;
    }
    for (int i = 0; i < mostFetches && !m_server.stopping(); ++i) {
        client_request request;
        request.url = url;
        const auto fetched = httpCall(request);
        m_server.counters.add("weight_fetches");
        if (fetched.status == MHD_HTTP_OK)
            return {};
        if (fetched.status != MHD_HTTP_TOO_MANY_REQUESTS)
            return "weights: " + (fetched.status ? std::to_string(fetched.status) : fetched.problem);
        const auto wait = std::max<std::int64_t>(toNumber(fetched.header("Retry-After")), 1);
        m_server.counters.add("weight_fetches_refused");
        for (auto end = clock::now() + std::chrono::seconds(wait); clock::now() < end && !m_server.stopping();)
            std::this_thread::sleep_for(swapTick);
    }
    return "weights: refused too often";
}

http_answer engine::orderState(const std::string& id)
{
    const std::lock_guard lock(m_mutex);
    const auto known = m_orders.find(id);
    if (known == m_orders.end())
        return errorAnswer(MHD_HTTP_NOT_FOUND, "no such order");
    return jsonAnswer(known->second.answer);
}

http_answer engine::passOnWeights(const http_request& request)
{
    const auto name = request.path.substr(9);
    const auto slash = name.rfind('/');
    const std::lock_guard lock(m_mutex);
    if (slash == std::string::npos || !m_weights.contains(name))
        return errorAnswer(MHD_HTTP_NOT_FOUND, "no such weights");
    http_answer answer;
    answer.contentType = "application/octet-stream";
    answer.body = weightBytes(name.substr(0, slash), name.substr(slash + 1), m_options.weightSize);
    m_server.counters.add("weights_passed_on");
    return answer;
}

// `faults` beyond the common ones: `crash`, `restart`, `restart_ms`; and `log`.
http_answer engine::control(const http_request& request, const std::string& path)
{
    if (path.ends_with("/faults") && request.method == "POST") {
        const auto body = parseJson(request.body);
        if (!body.isObject())
            return errorAnswer(MHD_HTTP_BAD_REQUEST, "expected a JSON object");
        m_server.faults.merge(body);
        const std::lock_guard lock(m_mutex);
        if (body.isMember("restart_ms"))
            m_options.restartTime = std::chrono::milliseconds(toNumber(body["restart_ms"]));
        if (body.get("crash", false).asBool())
            m_crash = true;
        if (body.get("restart", false).asBool())
            m_restartAt = clock::now();
        return jsonAnswer(m_server.faults.all());
    }
    if (path.ends_with("/faults"))
        return jsonAnswer(m_server.faults.all());
    if (path.ends_with("/stats")) {
        auto stats = m_server.counters.all();
        const std::lock_guard lock(m_mutex);
        stats["incarnation"] = Json::UInt64(m_incarnation);
        stats["down"] = m_down.load();
        stats["running"] = Json::UInt64(m_running);
        stats["weight_version"] = m_version;
        return jsonAnswer(stats);
    }
    if (!path.ends_with("/log"))
        return errorAnswer(MHD_HTTP_NOT_FOUND, "no such control call");
    const auto after = request.query.find("after");
    const std::lock_guard lock(m_mutex);
    return jsonAnswer(logFrom(after == request.query.end() ? 0 : static_cast<std::uint64_t>(toNumber(after->second))));
}

// What the engine did since an attempt's number; the caller holds the mutex.
Json::Value engine::logFrom(std::uint64_t number) const
{
    Json::Value value;
    value["target"] = m_options.name;
    value["attempts"] = Json::Value(Json::arrayValue);
    for (const auto& record : m_attempts) {
        if (record->number > number)
            value["attempts"].append(record->toJson());
    }
    value["orders"] = m_orderLog;
    value["highest_fencing_number"] = Json::Int64(m_fencing);
    return value;
}

} // namespace lovagerail::standin
