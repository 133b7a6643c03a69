// Stand-in for the platform's key-value service: etcd's v3 gateway in memory,
// with revisions, transactions, leases, watches, compaction and a limited rate.
#include "http_server.h"
#include "kv_store.h"
#include "programs.h"

#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <memory>
#include <microhttpd.h>
#include <thread>

namespace lovagerail::standin {

namespace {

    using clock = std::chrono::steady_clock;

    constexpr std::chrono::milliseconds leaseTick { 50 };
    constexpr std::chrono::milliseconds watchTick { 100 };
    constexpr std::chrono::seconds rateWindow { 1 };
    constexpr Json::ArrayIndex mostOperations = 128;
    constexpr std::size_t mostValueBytes = 1024 * 1024;

    // Counts calls within the current second.
    struct call_rate {
        std::int64_t limit = 0; // calls a second; 0 is without limit
        clock::time_point windowStart;
        std::int64_t calls = 0;

        bool admit(clock::time_point now)
        {
            if (now - windowStart >= rateWindow) {
                windowStart = now;
                calls = 0;
            }
            return ++calls <= limit || limit == 0;
        }
    };

    // All state of the service; a mutex guards it, watches sleep on `changed`.
    struct key_value_service {
        std::mutex mutex;
        std::condition_variable changed;
        kv_store store;
        call_rate reads;
        call_rate writes;
    };

    struct watch_stream {
        std::string key;
        std::string end;
        std::int64_t next = 0;
        bool announced = false;
    };

    Json::Value header(std::int64_t revision)
    {
        Json::Value value;
        value["revision"] = std::to_string(revision);
        value["raft_term"] = "1";
        return value;
    }

    bool tooLarge(const Json::Value& put)
    {
        return fromBase64(put["value"].asString()).size() > mostValueBytes;
    }

    // The revision that reads are answered from: an old one while stale reads are on.
    std::int64_t readRevision(const kv_store& store, const fault_table& faults)
    {
        const auto fixed = faults.number("stale_at");
        if (fixed > 0)
            return std::min(fixed, store.revision());
        return std::max<std::int64_t>(1, store.revision() - faults.number("stale_revisions"));
    }

    http_answer range(key_value_service& service, const http_server& server, const Json::Value& body)
    {
        const auto seen = readRevision(service.store, server.faults);
        const auto asked = toNumber(body["revision"]);
        if (asked > 0 && asked < service.store.compacted())
            return errorAnswer(MHD_HTTP_BAD_REQUEST, "required revision has been compacted");
        if (asked > seen)
            return errorAnswer(MHD_HTTP_BAD_REQUEST, "required revision is a future revision");
        auto answer = service.store.range(body, asked > 0 ? asked : seen);
        answer["header"] = header(seen);
        return jsonAnswer(answer);
    }

    http_answer transact(key_value_service& service, const Json::Value& body)
    {
        if (body["compare"].size() > mostOperations || body["success"].size() > mostOperations || body["failure"].size() > mostOperations)
            return errorAnswer(MHD_HTTP_BAD_REQUEST, "too many operations in txn request");
        for (const auto* branch : { "success", "failure" }) {
            for (const auto& operation : body[branch]) {
                if (operation.isMember("request_put") && tooLarge(operation["request_put"]))
                    return errorAnswer(MHD_HTTP_BAD_REQUEST, "request is too large");
            }
        }
        auto answer = service.store.transact(body);
        if (answer.isMember("error"))
            return errorAnswer(MHD_HTTP_BAD_REQUEST, answer["error"].asString());
        answer["header"] = header(service.store.revision());
        return jsonAnswer(answer);
    }

    http_answer leaseCall(key_value_service& service, const std::string& path, const Json::Value& body)
    {
        auto& store = service.store;
        Json::Value answer;
        if (path == "/v3/lease/grant") {
            const auto id = store.grant(toNumber(body["ID"]), toNumber(body["TTL"]), clock::now());
            if (id == 0)
                return errorAnswer(MHD_HTTP_BAD_REQUEST, "lease already exists");
            answer["ID"] = std::to_string(id);
            answer["TTL"] = std::to_string(toNumber(body["TTL"]));
        } else if (path == "/v3/lease/keepalive") {
            answer["result"]["ID"] = std::to_string(toNumber(body["ID"]));
            answer["result"]["TTL"] = std::to_string(store.keepAlive(toNumber(body["ID"]), clock::now()));
            answer["result"]["header"] = header(store.revision());
        } else if (!store.revoke(toNumber(body["ID"]))) {
            return errorAnswer(MHD_HTTP_NOT_FOUND, "requested lease not found");
        }
        answer["header"] = header(store.revision());
        return jsonAnswer(answer);
    }

    // Next line of a watch: waits for events, the caller's end or the server's.
    stream_step nextWatchLine(key_value_service& service, http_server& server, int socket, watch_stream& watch, std::string& text)
    {
        Json::Value line;
        auto& result = line["result"];
        std::unique_lock lock(service.mutex);
        if (!watch.announced) {
            watch.announced = true;
            result["created"] = true;
            result["header"] = header(service.store.revision());
            text = toLine(line) + "\n";
            return stream_step::More;
        }
        while (true) {
            // Step 1. A watch that starts before the oldest kept revision ends.
            if (watch.next <= service.store.compacted() && watch.next > 0 && service.store.compacted() > 0) {
                result["canceled"] = true;
                result["compact_revision"] = std::to_string(service.store.compacted());
                result["header"] = header(service.store.revision());
                text = toLine(line) + "\n";
                watch.next = 0;
                return stream_step::End;
            }
            // Step 2. Events since the last line go out at once.
            const bool silent = server.faults.on("silent_watches") || server.faults.on("hang");
            if (!silent && watch.next <= service.store.revision()) {
                auto events = service.store.events(watch.key, watch.end, watch.next);
                watch.next = service.store.revision() + 1;
                if (!events.empty() && server.faults.take("drop_events"))
                    events.clear();
                if (!events.empty()) {
                    result["events"] = events;
                    result["header"] = header(service.store.revision());
                    text = toLine(line) + "\n";
                    return stream_step::More;
                }
            }
            if (server.faults.on("outage") || server.faults.take("cut_watches"))
                return stream_step::Cut;
            // Step 3. Otherwise sleep, and look now and then whether the caller is still there.
            service.changed.wait_for(lock, watchTick);
            lock.unlock();
            if (!server.connected(socket))
                return stream_step::Cut;
            lock.lock();
        }
    }

    http_answer openWatch(key_value_service& service, http_server& server, const http_request& request, const Json::Value& body)
    {
        const auto& create = body["create_request"];
        auto watch = std::make_shared<watch_stream>();
        watch->key = fromBase64(create["key"].asString());
        watch->end = fromBase64(create["range_end"].asString());
        watch->next = toNumber(create["start_revision"]);
        if (watch->next <= 0)
            watch->next = service.store.revision() + 1;
        server.counters.add("watches");
        http_answer answer;
        answer.stream = [&service, &server, socket = request.socket, watch](std::string& text) {
            return nextWatchLine(service, server, socket, *watch, text);
        };
        return answer;
    }

    bool isRead(const std::string& path) { return path == "/v3/kv/range" || path == "/v3/watch"; }

    http_answer answerCall(key_value_service& service, http_server& server, const http_request& request)
    {
        const auto body = parseJson(request.body);
        if (request.method != "POST" || !body.isObject())
            return errorAnswer(MHD_HTTP_BAD_REQUEST, "expected POST with a JSON object");
        const std::lock_guard lock(service.mutex);
        const auto& path = request.path;
        server.counters.add(isRead(path) ? "reads" : "writes");
        server.counters.add(path);
        if (!(isRead(path) ? service.reads : service.writes).admit(clock::now())) {
            server.counters.add("refused_by_rate");
            return errorAnswer(MHD_HTTP_TOO_MANY_REQUESTS, "too many requests");
        }
        if (path == "/v3/kv/range")
            return range(service, server, body);
        if (path == "/v3/watch")
            return openWatch(service, server, request, body);
        service.changed.notify_all();
        if (path == "/v3/kv/txn")
            return transact(service, body);
        if (path.starts_with("/v3/lease/"))
            return leaseCall(service, path, body);
        // A single put or delete is a transaction of one operation.
        Json::Value single;
        Json::Value operation;
        if (path == "/v3/kv/put")
            operation["request_put"] = body;
        else if (path == "/v3/kv/deleterange")
            operation["request_delete_range"] = body;
        else if (path == "/v3/kv/compaction") {
            service.store.compact(toNumber(body["revision"]));
            Json::Value answer;
            answer["header"] = header(service.store.revision());
            return jsonAnswer(answer);
        } else
            return errorAnswer(MHD_HTTP_NOT_FOUND, "no such call");
        if (path == "/v3/kv/put" && tooLarge(body))
            return errorAnswer(MHD_HTTP_BAD_REQUEST, "request is too large");
        single["success"].append(operation);
        auto done = service.store.transact(single);
        if (done.isMember("error"))
            return errorAnswer(MHD_HTTP_BAD_REQUEST, done["error"].asString());
        auto answer = done["responses"][0].begin() == done["responses"][0].end() ? Json::Value(Json::objectValue) : *done["responses"][0].begin();
        answer["header"] = header(service.store.revision());
        return jsonAnswer(answer);
    }

    http_answer onControl(key_value_service& service, const http_request& request)
    {
        const std::lock_guard lock(service.mutex);
        const auto body = parseJson(request.body);
        if (body.isObject() && body.get("lapse_leases", false).asBool())
            service.store.expire(clock::time_point::max());
        if (body.isObject() && body.isMember("lapse_lease"))
            service.store.revoke(toNumber(body["lapse_lease"]));
        service.changed.notify_all();
        if (request.path == "/control/dump") {
            auto dump = service.store.range(parseJson(R"({"key":"AA==","range_end":"AA=="})"), service.store.revision());
            return jsonAnswer(dump);
        }
        return jsonAnswer(Json::Value(Json::objectValue));
    }

} // namespace

int runKeyValue(const arguments& given)
{
    key_value_service service;
    service.reads.limit = numberOf(given, "--max-reads");
    service.writes.limit = numberOf(given, "--max-writes");
    service.store.keepRevisions(numberOf(given, "--history"));
    http_server* self = nullptr;
    http_server server(
        textOf(given, "--address"), static_cast<std::uint16_t>(numberOf(given, "--port")),
        [&](const http_request& request) { return answerCall(service, *self, request); },
        [&](const http_request& request) { return onControl(service, request); });
    self = &server;
    server.faults.merge(parseJson(textOf(given, "--faults")));
    if (!server.start()) {
        std::fprintf(stderr, "lovage-standin kv: can't listen\n");
        return 1;
    }
    std::jthread ticker([&](const std::stop_token& stop) {
        while (!stop.stop_requested()) {
            std::this_thread::sleep_for(leaseTick);
            const std::lock_guard lock(service.mutex);
            if (!server.faults.on("outage") && service.store.expire(clock::now()))
                service.changed.notify_all();
        }
    });
    waitForSignal();
    server.stop();
    return 0;
}

} // namespace lovagerail::standin
