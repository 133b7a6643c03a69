// Stand-in for the platform: lagging lists of instances and targets, orders
// with fencing, and a sink for usage reports that flags differing figures.
#include "http_server.h"
#include "programs.h"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <microhttpd.h>
#include <thread>

namespace lovagerail::standin {

namespace {

    using clock = std::chrono::steady_clock;

    constexpr std::chrono::milliseconds tick { 20 };
    constexpr double hourSeconds = 3600;

    // A place where a target can run; the process there is up already.
    struct slot {
        std::string id;
        std::string address;
        std::string pool;
        std::string kind;
        std::string failureDomain;
        std::int64_t price = 0;
        Json::Value labels { Json::objectValue };
        std::string state = "stopped"; // then starting, live, leaving
        std::uint64_t incarnation = 0;
        std::string orderId; // of the start
        clock::time_point stateEnd; // when starting or leaving is over
    };

    // What a list showed since a time.
    struct snapshot {
        clock::time_point at;
        Json::Value list;
    };

    struct platform_options {
        std::chrono::milliseconds lag { 0 };
        std::chrono::milliseconds startTime { 0 };
        std::chrono::milliseconds stopTime { 0 };
        std::string fencingScope;
        bool ignoresFencing = false;
    };

    struct order_record {
        Json::Value answer;
        std::string target;
    };

    struct usage_window {
        std::string digest;
        Json::Value figures;
        Json::Value late;
        std::int64_t fencing = 0;
        int reports = 0;
    };

    struct platform_state {
        platform_options options;
        std::mutex mutex; // guards all below
        std::vector<slot> slots;
        Json::Value instances { Json::arrayValue };
        std::deque<snapshot> targetLists; // oldest first
        std::deque<snapshot> instanceLists;
        std::map<std::string, order_record> orders;
        std::map<std::string, std::int64_t> fencing; // by scope
        Json::Value orderLog { Json::arrayValue };
        Json::Value reports { Json::arrayValue };
        std::map<std::pair<std::string, std::string>, usage_window> windows;
        std::int64_t differing = 0;
        std::int64_t staleReports = 0;
        double spend = 0; // micro units
        clock::time_point spentUntil = clock::now();
    };

    Json::Value targetList(const platform_state& state)
    {
        Json::Value list(Json::arrayValue);
        for (const auto& one : state.slots) {
            if (one.state == "stopped")
                continue;
            Json::Value value;
            value["id"] = one.id;
            value["address"] = one.address;
            value["pool"] = one.pool;
            value["kind"] = one.kind;
            value["failure_domain"] = one.failureDomain;
            value["state"] = one.state;
            value["incarnation"] = Json::UInt64(one.incarnation);
            value["price_micro_per_hour"] = Json::Int64(one.price);
            value["labels"] = one.labels;
            value["order_id"] = one.orderId;
            list.append(value);
        }
        return list;
    }

    // Notes what the lists show from now on.
    void publish(platform_state& state)
    {
        state.targetLists.push_back({ clock::now(), targetList(state) });
        state.instanceLists.push_back({ clock::now(), state.instances });
    }

    // A list as it was the lag ago.
    http_answer lagging(std::deque<snapshot>& lists, const char* name, std::chrono::milliseconds lag)
    {
        const auto seen = clock::now() - lag;
        while (lists.size() > 1 && lists[1].at <= seen)
            lists.pop_front();
        Json::Value value;
        value[name] = lists.empty() ? Json::Value(Json::arrayValue) : lists.front().list;
        return jsonAnswer(value);
    }

    // Starts and stops what is due; a target costs money until it is gone.
    void advance(platform_state& state)
    {
        const auto now = clock::now();
        const std::chrono::duration<double> passed = now - state.spentUntil;
        state.spentUntil = now;
        bool changed = false;
        for (auto& one : state.slots) {
            if (one.state != "stopped")
                state.spend += static_cast<double>(one.price) * passed.count() / hourSeconds;
            if ((one.state != "starting" && one.state != "leaving") || now < one.stateEnd)
                continue;
            changed = true;
            one.state = one.state == "starting" ? "live" : "stopped";
        }
        if (changed)
            publish(state);
    }

    void leave(platform_state& state, slot& one, std::chrono::milliseconds time)
    {
        one.state = "leaving";
        one.stateEnd = clock::now() + time;
        publish(state);
    }

    // Whether a domain, or a domain and kind, is in the list of the fault.
    bool unobtainable(const std::string& list, const slot& one)
    {
        const auto padded = "," + list + ",";
        return padded.find("," + one.failureDomain + ",") != std::string::npos
            || padded.find("," + one.failureDomain + "/" + one.kind + ",") != std::string::npos;
    }

    slot* findTarget(platform_state& state, const std::string& id)
    {
        const auto found = std::find_if(state.slots.begin(), state.slots.end(), [&](const slot& one) { return one.id == id; });
        return found == state.slots.end() ? nullptr : &*found;
    }

    slot* findFree(platform_state& state, const Json::Value& body, const std::string& faults)
    {
        for (auto& one : state.slots) {
            if (one.state != "stopped" || one.pool != body["pool"].asString() || one.failureDomain != body["failure_domain"].asString())
                continue;
            if (body.isMember("kind") && !body["kind"].asString().empty() && one.kind != body["kind"].asString())
                continue;
            if (!unobtainable(faults, one))
                return &one;
        }
        return nullptr;
    }

    std::string fencingScope(platform_state& state, const Json::Value& body)
    {
        auto* target = findTarget(state, body["target"].asString());
        if (state.options.fencingScope == "domain")
            return target ? target->failureDomain : body["failure_domain"].asString();
        if (state.options.fencingScope == "pool")
            return target ? target->pool : body["pool"].asString();
        return {};
    }

    // Does what an order asks for; the record says which target it is about.
    http_answer carryOut(platform_state& state, const Json::Value& body, const std::string& faults, counter_table& counters)
    {
        const auto id = body["order_id"].asString();
        const bool start = body["action"].asString() == "start";
        auto* one = start ? findFree(state, body, faults) : findTarget(state, body["target"].asString());
        if (!one && start) {
            counters.add("unobtainable");
            Json::Value value;
            value["unobtainable"] = true;
            return jsonAnswer(value, MHD_HTTP_SERVICE_UNAVAILABLE);
        }
        if (!one || (!start && body["action"].asString() != "stop"))
            return errorAnswer(MHD_HTTP_BAD_REQUEST, "unknown action or target");
        counters.add(start ? "starts" : "stops");
        if (start) {
            one->state = "starting";
            one->stateEnd = clock::now() + state.options.startTime;
            ++one->incarnation;
            one->orderId = id;
            publish(state);
        } else if (one->state != "stopped") {
            leave(state, *one, state.options.stopTime);
        }
        auto& record = state.orders[id];
        record.target = one->id;
        record.answer["order_id"] = id;
        record.answer["action"] = body["action"];
        record.answer["target"] = one->id;
        return jsonAnswer(record.answer);
    }

    http_answer takeOrder(platform_state& state, const Json::Value& body, http_server& server)
    {
        if (!body.isObject() || body["order_id"].asString().empty())
            return errorAnswer(MHD_HTTP_BAD_REQUEST, "expected an order_id");
        auto& highest = state.fencing[fencingScope(state, body)];
        const auto fencing = toNumber(body["fencing_number"]);
        Json::Value entry = body;
        entry["stale"] = fencing < highest;
        entry["received_at_ms"] = Json::Int64(wallMilliseconds());
        const auto known = state.orders.find(body["order_id"].asString());
        http_answer answer;
        if (fencing < highest && !state.options.ignoresFencing) {
            server.counters.add("orders_refused");
            answer = errorAnswer(MHD_HTTP_CONFLICT, "old fencing number");
        } else if (known != state.orders.end()) {
            server.counters.add("orders_repeated");
            answer = jsonAnswer(known->second.answer);
        } else {
            highest = std::max(highest, fencing);
            answer = carryOut(state, body, server.faults.text("unobtainable"), server.counters);
        }
        entry["status"] = answer.status;
        state.orderLog.append(entry);
        return answer;
    }

    // Where an order stands follows from its target.
    http_answer orderState(platform_state& state, const std::string& id)
    {
        const auto known = state.orders.find(id);
        if (known == state.orders.end())
            return errorAnswer(MHD_HTTP_NOT_FOUND, "no such order");
        auto value = known->second.answer;
        const auto* one = findTarget(state, known->second.target);
        const bool start = value["action"].asString() == "start";
        const bool running = one && ((start && one->state == "starting" && one->orderId == id) || (!start && one->state == "leaving"));
        value["state"] = running ? "running" : "done";
        return jsonAnswer(value);
    }

    // Keeps every report; one with other figures for a window is refused and flagged.
    http_answer takeUsage(platform_state& state, const Json::Value& body, counter_table& counters)
    {
        if (!body.isObject() || body["account"].asString().empty() || body["digest"].asString().empty())
            return errorAnswer(MHD_HTTP_BAD_REQUEST, "expected account, window and digest");
        counters.add("usage_reports");
        auto& window = state.windows[{ body["account"].asString(), body["window"].asString() }];
        auto entry = body;
        const auto fencing = toNumber(body["fencing_number"]);
        const bool first = window.reports == 0;
        const bool other = !first && (window.digest != body["digest"].asString() || window.figures != body["figures"] || window.late != body["late"]);
        entry["differing"] = other;
        entry["stale"] = fencing < window.fencing;
        entry["received_at_ms"] = Json::Int64(wallMilliseconds());
        state.reports.append(entry);
        state.differing += other ? 1 : 0;
        state.staleReports += fencing < window.fencing ? 1 : 0;
        ++window.reports;
        window.fencing = std::max(window.fencing, fencing);
        if (other)
            return errorAnswer(MHD_HTTP_CONFLICT, "window was reported with other figures");
        if (first) {
            window.digest = body["digest"].asString();
            window.figures = body["figures"];
            window.late = body["late"];
        }
        return jsonAnswer(Json::Value(Json::objectValue));
    }

    Json::Value usageSeen(const platform_state& state)
    {
        Json::Value value;
        value["reports"] = state.reports;
        value["differing"] = Json::Int64(state.differing);
        value["stale"] = Json::Int64(state.staleReports);
        value["windows"] = Json::Value(Json::arrayValue);
        for (const auto& [key, window] : state.windows) {
            Json::Value one;
            one["account"] = key.first;
            one["window"] = key.second;
            one["digest"] = window.digest;
            one["figures"] = window.figures;
            one["late"] = window.late;
            one["reports"] = window.reports;
            value["windows"].append(one);
        }
        return value;
    }

    void addSlot(platform_state& state, const Json::Value& given)
    {
        slot one;
        one.address = given["address"].asString();
        one.id = given.get("id", one.address).asString();
        one.pool = given["pool"].asString();
        one.kind = given.get("kind", "firm").asString();
        one.failureDomain = given["failure_domain"].asString();
        one.price = toNumber(given["price_micro_per_hour"]);
        if (given["labels"].isObject())
            one.labels = given["labels"];
        if (given.get("started", false).asBool()) {
            one.state = "live";
            one.incarnation = 1;
        }
        if (auto* known = findTarget(state, one.id))
            *known = one;
        else
            state.slots.push_back(one);
    }

    // Changes the state of the instances and targets that match the given members.
    void setState(platform_state& state, const Json::Value& given)
    {
        const auto matches = [&](const std::string& id, const std::string& domain, const std::string& kind) {
            return (!given.isMember("id") || given["id"].asString() == id)
                && (!given.isMember("failure_domain") || given["failure_domain"].asString() == domain)
                && (!given.isMember("kind") || given["kind"].asString() == kind);
        };
        const auto wanted = given["state"].asString();
        for (auto& one : state.slots) {
            if (!matches(one.id, one.failureDomain, one.kind) || (wanted == "leaving" && one.state == "stopped"))
                continue;
            if (wanted == "live" && one.state != "live")
                ++one.incarnation;
            one.state = wanted;
            one.stateEnd = clock::now() + std::chrono::milliseconds(toNumber(given.get("after_ms", Json::Int64(state.options.stopTime.count()))));
        }
        for (auto& instance : state.instances) {
            if (matches(instance["id"].asString(), instance["failure_domain"].asString(), "instance"))
                instance["state"] = wanted;
        }
    }

    http_answer onControl(platform_state& state, const http_request& request, http_server& server)
    {
        const std::lock_guard lock(state.mutex);
        const auto body = parseJson(request.body);
        if (request.path == "/control/usage")
            return jsonAnswer(usageSeen(state));
        if (request.path == "/control/log") {
            Json::Value value;
            value["orders"] = state.orderLog;
            value["spend_micro"] = Json::Int64(static_cast<std::int64_t>(state.spend));
            value["targets"] = targetList(state);
            return jsonAnswer(value);
        }
        if (request.path == "/control/faults" && body.isObject() && body.isMember("leaving"))
            setState(state, body["leaving"]);
        else if (request.path == "/control/state" && body.isObject())
            setState(state, body);
        else if (request.path == "/control/setup" && body.isObject()) {
            for (const auto& one : body["slots"])
                addSlot(state, one);
            if (body.isMember("instances"))
                state.instances = body["instances"];
            if (body.isMember("lag_ms"))
                state.options.lag = std::chrono::milliseconds(toNumber(body["lag_ms"]));
        } else if (request.path != "/control/faults")
            return errorAnswer(MHD_HTTP_NOT_FOUND, "no such control call");
        publish(state);
        return jsonAnswer(server.faults.all());
    }

    http_answer answerCall(platform_state& state, const http_request& request, http_server& server)
    {
        const std::lock_guard lock(state.mutex);
        const auto& path = request.path;
        if (request.method == "GET" && path == "/instances")
            return lagging(state.instanceLists, "instances", state.options.lag);
        if (request.method == "GET" && path == "/targets")
            return lagging(state.targetLists, "targets", state.options.lag);
        if (request.method == "GET" && path.starts_with("/orders/"))
            return orderState(state, path.substr(8));
        if (request.method == "POST" && path == "/orders")
            return takeOrder(state, parseJson(request.body), server);
        if (request.method == "POST" && path == "/usage")
            return takeUsage(state, parseJson(request.body), server.counters);
        return errorAnswer(MHD_HTTP_NOT_FOUND, "no such call");
    }

} // namespace

int runPlatform(const arguments& given)
{
    platform_state state;
    state.options.lag = std::chrono::milliseconds(numberOf(given, "--lag-ms"));
    state.options.startTime = std::chrono::milliseconds(numberOf(given, "--start-ms"));
    state.options.stopTime = std::chrono::milliseconds(numberOf(given, "--stop-ms"));
    state.options.fencingScope = textOf(given, "--fencing-scope");
    state.options.ignoresFencing = isSet(given, "--ignore-fencing");
    const auto setup = parseJson(textOf(given, "--setup"));
    if (setup.isObject()) {
        for (const auto& one : setup["slots"])
            addSlot(state, one);
        if (setup.isMember("instances"))
            state.instances = setup["instances"];
    }
    publish(state);
    http_server* self = nullptr;
    http_server server(
        textOf(given, "--address"), static_cast<std::uint16_t>(numberOf(given, "--port")),
        [&](const http_request& request) { return answerCall(state, request, *self); },
        [&](const http_request& request) { return onControl(state, request, *self); });
    self = &server;
    server.faults.merge(parseJson(textOf(given, "--faults")));
    if (!server.start()) {
        std::fprintf(stderr, "lovage-standin platform: can't listen\n");
        return 1;
    }
    std::jthread ticker([&](const std::stop_token& stop) {
        while (!stop.stop_requested()) {
            std::this_thread::sleep_for(tick);
            const std::lock_guard lock(state.mutex);
            advance(state);
        }
    });
    waitForSignal();
    server.stop();
    return 0;
}

} // namespace lovagerail::standin
