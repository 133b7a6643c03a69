// Stand-in for the platform: lists of instances and targets that lag behind, orders that
// start and stop targets, with fencing, and a receiver for usage reports that detects
// reports with different figures for the same window.
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

    constexpr std::chrono::milliseconds advanceInterval { 20 };
    constexpr double secondsPerHour = 3600;

    // An address where a target can run. The process at the address is running already; only
    // the state that the platform reports changes.
    struct target_slot {
        std::string id;
        std::string address;
        std::string pool;
        std::string kind;
        std::string failureDomain;
        std::int64_t priceMicroPerHour = 0;
        Json::Value labels { Json::objectValue };
        std::string state = "stopped"; // then starting, live, leaving
        std::uint64_t incarnation = 0;
        std::string orderId; // of the order that started it
        clock::time_point stateEnd; // when the state starting or leaving ends
    };

    // Content of a list from the given time on.
    struct list_snapshot {
        clock::time_point at;
        Json::Value list;
    };

    struct platform_options {
        std::chrono::milliseconds lag { 0 };
        std::chrono::milliseconds startTime { 0 };
        std::chrono::milliseconds stopTime { 0 };
        std::string fencingScope;
        bool acceptsOldFencing = false;
    };

    struct order_record {
        Json::Value answer; // returned again if the order is repeated
        std::string target;
    };

    // What the first report said about an account's window, to compare later reports with.
    struct usage_window {
        std::string digest;
        Json::Value figures;
        Json::Value late;
        std::int64_t highestFencing = 0; // of all reports for the window
        int reports = 0;
    };

    struct platform_state {
        platform_options options;
        std::mutex mutex; // guards all below
        std::vector<target_slot> slots;
        Json::Value instances { Json::arrayValue };
        std::deque<list_snapshot> targetLists; // oldest first
        std::deque<list_snapshot> instanceLists;
        std::map<std::string, order_record> orders;
        std::map<std::string, std::int64_t> highestFencing; // by scope
        Json::Value orderLog { Json::arrayValue };
        Json::Value reports { Json::arrayValue };
        std::map<std::pair<std::string, std::string>, usage_window> windows;
        std::int64_t differingReports = 0;
        std::int64_t staleReports = 0;
        double spendMicro = 0; // in micro units of money: price times running time of all targets
        clock::time_point spendUpdatedAt = clock::now();
    };

    Json::Value targetList(const platform_state& state)
    {
        Json::Value list(Json::arrayValue);
        for (const auto& slot : state.slots) {
            if (slot.state == "stopped")
                continue;
            Json::Value value;
            value["id"] = slot.id;
            value["address"] = slot.address;
            value["pool"] = slot.pool;
            value["kind"] = slot.kind;
            value["failure_domain"] = slot.failureDomain;
            value["state"] = slot.state;
            value["incarnation"] = Json::UInt64(slot.incarnation);
            value["price_micro_per_hour"] = Json::Int64(slot.priceMicroPerHour);
            value["labels"] = slot.labels;
            value["order_id"] = slot.orderId;
            list.append(value);
        }
        return list;
    }

    // Records the present content of both lists, to be shown once the lag has passed.
    void recordLists(platform_state& state)
    {
        state.targetLists.push_back({ clock::now(), targetList(state) });
        state.instanceLists.push_back({ clock::now(), state.instances });
    }

    // Returns a list as it was one lag ago.
    http_answer laggedList(std::deque<list_snapshot>& lists, const char* name, std::chrono::milliseconds lag)
    {
        const auto cutoff = clock::now() - lag;
        while (lists.size() > 1 && lists[1].at <= cutoff)
            lists.pop_front();
        Json::Value value;
        value[name] = lists.empty() ? Json::Value(Json::arrayValue) : lists.front().list;
        return jsonAnswer(value);
    }

    // Completes starts and stops that are due, and adds up the cost: a target costs money until
    // it has stopped.
    void advanceSlots(platform_state& state)
    {
        const auto now = clock::now();
        const std::chrono::duration<double> elapsed = now - state.spendUpdatedAt;
        state.spendUpdatedAt = now;
        bool changed = false;
        for (auto& slot : state.slots) {
            if (slot.state != "stopped")
                state.spendMicro += static_cast<double>(slot.priceMicroPerHour) * elapsed.count() / secondsPerHour;
            if ((slot.state != "starting" && slot.state != "leaving") || now < slot.stateEnd)
                continue;
            changed = true;
            slot.state = slot.state == "starting" ? "live" : "stopped";
        }
        if (changed)
            recordLists(state);
    }

    void beginLeaving(platform_state& state, target_slot& slot, std::chrono::milliseconds time)
    {
        slot.state = "leaving";
        slot.stateEnd = clock::now() + time;
        recordLists(state);
    }

    // Whether the fault `unobtainable`, a comma-separated list of DOMAIN or DOMAIN/KIND, covers
    // this slot.
    bool hasNoCapacity(const std::string& unobtainable, const target_slot& slot)
    {
        const auto padded = "," + unobtainable + ",";
        return padded.find("," + slot.failureDomain + ",") != std::string::npos
            || padded.find("," + slot.failureDomain + "/" + slot.kind + ",") != std::string::npos;
    }

    target_slot* findTarget(platform_state& state, const std::string& id)
    {
        const auto found = std::find_if(state.slots.begin(), state.slots.end(), [&](const target_slot& slot) { return slot.id == id; });
        return found == state.slots.end() ? nullptr : &*found;
    }

    target_slot* findFreeSlot(platform_state& state, const Json::Value& body, const std::string& unobtainable)
    {
        for (auto& slot : state.slots) {
            if (slot.state != "stopped" || slot.pool != body["pool"].asString() || slot.failureDomain != body["failure_domain"].asString())
                continue;
            if (body.isMember("kind") && !body["kind"].asString().empty() && slot.kind != body["kind"].asString())
                continue;
            if (!hasNoCapacity(unobtainable, slot))
                return &slot;
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

    // Executes a start or stop order and records which target it applied to.
    http_answer executeOrder(platform_state& state, const Json::Value& body, const std::string& unobtainable, counter_table& counters)
    {
        const auto id = body["order_id"].asString();
        const bool isStart = body["action"].asString() == "start";
        auto* slot = isStart ? findFreeSlot(state, body, unobtainable) : findTarget(state, body["target"].asString());
        if (!slot && isStart) {
            counters.add("unobtainable");
            Json::Value value;
            value["unobtainable"] = true;
            return jsonAnswer(value, MHD_HTTP_SERVICE_UNAVAILABLE);
        }
        if (!slot || (!isStart && body["action"].asString() != "stop"))
            return errorAnswer(MHD_HTTP_BAD_REQUEST, "unknown action or target");
        counters.add(isStart ? "starts" : "stops");
        if (isStart) {
            slot->state = "starting";
            slot->stateEnd = clock::now() + state.options.startTime;
            ++slot->incarnation;
            slot->orderId = id;
            recordLists(state);
        } else if (slot->state != "stopped") {
            beginLeaving(state, *slot, state.options.stopTime);
        }
        auto& record = state.orders[id];
        record.target = slot->id;
        record.answer["order_id"] = id;
        record.answer["action"] = body["action"];
        record.answer["target"] = slot->id;
        return jsonAnswer(record.answer);
    }

    http_answer handleOrder(platform_state& state, const Json::Value& body, http_server& server)
    {
        if (!body.isObject() || body["order_id"].asString().empty())
            return errorAnswer(MHD_HTTP_BAD_REQUEST, "expected an order_id");
        auto& highestFencing = state.highestFencing[fencingScope(state, body)];
        const auto fencing = toInt64(body["fencing_number"]);
        Json::Value entry = body;
        entry["stale"] = fencing < highestFencing;
        entry["received_at_ms"] = Json::Int64(unixTimeMilliseconds());
        const auto existing = state.orders.find(body["order_id"].asString());
        http_answer answer;
        if (fencing < highestFencing && !state.options.acceptsOldFencing) {
            server.counters.add("orders_refused");
            answer = errorAnswer(MHD_HTTP_CONFLICT, "old fencing number");
        } else if (existing != state.orders.end()) {
            server.counters.add("orders_repeated");
            answer = jsonAnswer(existing->second.answer);
        } else {
            highestFencing = std::max(highestFencing, fencing);
            answer = executeOrder(state, body, server.faults.text("unobtainable"), server.counters);
        }
        entry["status"] = answer.status;
        state.orderLog.append(entry);
        return answer;
    }

    // Derives the state of an order from the state of its target.
    http_answer orderStatus(platform_state& state, const std::string& id)
    {
        const auto existing = state.orders.find(id);
        if (existing == state.orders.end())
            return errorAnswer(MHD_HTTP_NOT_FOUND, "no such order");
        auto value = existing->second.answer;
        const auto* slot = findTarget(state, existing->second.target);
        const bool isStart = value["action"].asString() == "start";
        const bool running = slot && ((isStart && slot->state == "starting" && slot->orderId == id) || (!isStart && slot->state == "leaving"));
        value["state"] = running ? "running" : "done";
        return jsonAnswer(value);
    }

    // Records every usage report. A report whose figures differ from the first one for the same
    // window is flagged and refused.
    http_answer handleUsageReport(platform_state& state, const Json::Value& body, counter_table& counters)
    {
        if (!body.isObject() || body["account"].asString().empty() || body["digest"].asString().empty())
            return errorAnswer(MHD_HTTP_BAD_REQUEST, "expected account, window and digest");
        counters.add("usage_reports");
        auto& window = state.windows[{ body["account"].asString(), body["window"].asString() }];
        auto entry = body;
        const auto fencing = toInt64(body["fencing_number"]);
        const bool isFirstReport = window.reports == 0;
        const bool differs = !isFirstReport && (window.digest != body["digest"].asString() || window.figures != body["figures"] || window.late != body["late"]);
        entry["differing"] = differs;
        entry["stale"] = fencing < window.highestFencing;
        entry["received_at_ms"] = Json::Int64(unixTimeMilliseconds());
        state.reports.append(entry);
        state.differingReports += differs ? 1 : 0;
        state.staleReports += fencing < window.highestFencing ? 1 : 0;
        ++window.reports;
        window.highestFencing = std::max(window.highestFencing, fencing);
        if (differs)
            return errorAnswer(MHD_HTTP_CONFLICT, "window was reported with other figures");
        if (isFirstReport) {
            window.digest = body["digest"].asString();
            window.figures = body["figures"];
            window.late = body["late"];
        }
        return jsonAnswer(Json::Value(Json::objectValue));
    }

    Json::Value usageJson(const platform_state& state)
    {
        Json::Value value;
        value["reports"] = state.reports;
        value["differing"] = Json::Int64(state.differingReports);
        value["stale"] = Json::Int64(state.staleReports);
        value["windows"] = Json::Value(Json::arrayValue);
        for (const auto& [key, window] : state.windows) {
            Json::Value item;
            item["account"] = key.first;
            item["window"] = key.second;
            item["digest"] = window.digest;
            item["figures"] = window.figures;
            item["late"] = window.late;
            item["reports"] = window.reports;
            value["windows"].append(item);
        }
        return value;
    }

    void addSlot(platform_state& state, const Json::Value& settings)
    {
        target_slot slot;
        slot.address = settings["address"].asString();
        slot.id = settings.get("id", slot.address).asString();
        slot.pool = settings["pool"].asString();
        slot.kind = settings.get("kind", "firm").asString();
        slot.failureDomain = settings["failure_domain"].asString();
        slot.priceMicroPerHour = toInt64(settings["price_micro_per_hour"]);
        if (settings["labels"].isObject())
            slot.labels = settings["labels"];
        if (settings.get("started", false).asBool()) {
            slot.state = "live";
            slot.incarnation = 1;
        }
        if (auto* existing = findTarget(state, slot.id))
            *existing = slot;
        else
            state.slots.push_back(slot);
    }

    // Sets the state of the instances and targets that match all given members.
    void setState(platform_state& state, const Json::Value& settings)
    {
        const auto matches = [&](const std::string& id, const std::string& domain, const std::string& kind) {
            return (!settings.isMember("id") || settings["id"].asString() == id)
                && (!settings.isMember("failure_domain") || settings["failure_domain"].asString() == domain)
                && (!settings.isMember("kind") || settings["kind"].asString() == kind);
        };
        const auto newState = settings["state"].asString();
        for (auto& slot : state.slots) {
            if (!matches(slot.id, slot.failureDomain, slot.kind) || (newState == "leaving" && slot.state == "stopped"))
                continue;
            if (newState == "live" && slot.state != "live")
                ++slot.incarnation;
            slot.state = newState;
            slot.stateEnd = clock::now() + std::chrono::milliseconds(toInt64(settings.get("after_ms", Json::Int64(state.options.stopTime.count()))));
        }
        for (auto& instance : state.instances) {
            if (matches(instance["id"].asString(), instance["failure_domain"].asString(), "instance"))
                instance["state"] = newState;
        }
    }

    http_answer handleControl(platform_state& state, const http_request& request, http_server& server)
    {
        const std::lock_guard lock(state.mutex);
        const auto body = parseJson(request.body);
        if (request.path == "/control/usage")
            return jsonAnswer(usageJson(state));
        if (request.path == "/control/log") {
            Json::Value value;
            value["orders"] = state.orderLog;
            value["spend_micro"] = Json::Int64(static_cast<std::int64_t>(state.spendMicro));
            value["targets"] = targetList(state);
            return jsonAnswer(value);
        }
        if (request.path == "/control/faults" && body.isObject() && body.isMember("leaving"))
            setState(state, body["leaving"]);
        else if (request.path == "/control/state" && body.isObject())
            setState(state, body);
        else if (request.path == "/control/setup" && body.isObject()) {
            for (const auto& slot : body["slots"])
                addSlot(state, slot);
            if (body.isMember("instances"))
                state.instances = body["instances"];
            if (body.isMember("lag_ms"))
                state.options.lag = std::chrono::milliseconds(toInt64(body["lag_ms"]));
        } else if (request.path != "/control/faults")
            return errorAnswer(MHD_HTTP_NOT_FOUND, "no such control call");
        recordLists(state);
        return jsonAnswer(server.faults.toJson());
    }

    http_answer handleCall(platform_state& state, const http_request& request, http_server& server)
    {
        const std::lock_guard lock(state.mutex);
        const auto& path = request.path;
        if (request.method == "GET" && path == "/instances")
            return laggedList(state.instanceLists, "instances", state.options.lag);
        if (request.method == "GET" && path == "/targets")
            return laggedList(state.targetLists, "targets", state.options.lag);
        if (request.method == "GET" && path.starts_with("/orders/"))
            return orderStatus(state, path.substr(8));
        if (request.method == "POST" && path == "/orders")
            return handleOrder(state, parseJson(request.body), server);
        if (request.method == "POST" && path == "/usage")
            return handleUsageReport(state, parseJson(request.body), server.counters);
        return errorAnswer(MHD_HTTP_NOT_FOUND, "no such call");
    }

} // namespace

int runPlatform(const arguments& args)
{
    platform_state state;
    state.options.lag = std::chrono::milliseconds(numberOf(args, "--lag-ms"));
    state.options.startTime = std::chrono::milliseconds(numberOf(args, "--start-ms"));
    state.options.stopTime = std::chrono::milliseconds(numberOf(args, "--stop-ms"));
    state.options.fencingScope = textOf(args, "--fencing-scope");
    state.options.acceptsOldFencing = isSet(args, "--ignore-fencing");
    const auto setup = parseJson(textOf(args, "--setup"));
    if (setup.isObject()) {
        for (const auto& slot : setup["slots"])
            addSlot(state, slot);
        if (setup.isMember("instances"))
            state.instances = setup["instances"];
    }
    recordLists(state);
    http_server* self = nullptr;
    http_server server(
        textOf(args, "--address"), static_cast<std::uint16_t>(numberOf(args, "--port")),
        [&](const http_request& request) { return handleCall(state, request, *self); },
        [&](const http_request& request) { return handleControl(state, request, *self); });
    self = &server;
    server.faults.merge(parseJson(textOf(args, "--faults")));
    if (!server.start()) {
        std::fprintf(stderr, "lovage-standin platform: can't listen\n");
        return 1;
    }
    std::jthread slotAdvancer([&](const std::stop_token& stop) {
        while (!stop.stop_requested()) {
            std::this_thread::sleep_for(advanceInterval);
            const std::lock_guard lock(state.mutex);
            advanceSlots(state);
        }
    });
    waitForSignal();
    server.stop();
    return 0;
}

} // namespace lovagerail::standin
