// Stand-in for the platform's key-value service: an in-memory implementation of the JSON
// gateway of etcd v3 with revisions, transactions, leases, watches, compaction and rate
// limits, and with faults such as stale reads, lost watch events and early lease expiry.
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

    constexpr std::chrono::milliseconds leaseCheckInterval { 50 };
    constexpr std::chrono::milliseconds watchPollInterval { 100 };
    constexpr std::chrono::seconds rateLimitWindow { 1 };
    constexpr Json::ArrayIndex maxTxnOperations = 128;
    constexpr std::size_t maxValueBytes = 1024 * 1024;

    // Limits the calls in each window of one second.
    struct rate_limiter {
        std::int64_t maxCallsPerSecond = 0; // 0: no limit
        clock::time_point windowStart;
        std::int64_t calls = 0;

        bool admit(clock::time_point now)
        {
            if (now - windowStart >= rateLimitWindow) {
                windowStart = now;
                calls = 0;
            }
            return ++calls <= maxCallsPerSecond || maxCallsPerSecond == 0;
        }
    };

    // All state of the service, guarded by the mutex. Watches wait on `changed`.
    struct key_value_service {
        std::mutex mutex;
        std::condition_variable changed;
        kv_store store;
        rate_limiter reads;
        rate_limiter writes;
    };

    struct watch_stream {
        std::string key;
        std::string end;
        std::int64_t nextRevision = 0;
        bool createdSent = false;
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
        return fromBase64(put["value"].asString()).size() > maxValueBytes;
    }

    // The revision that reads are served from: an older one while a fault asks for stale reads.
    std::int64_t readRevision(const kv_store& store, const fault_table& faults)
    {
        const auto fixedRevision = faults.number("stale_at");
        if (fixedRevision > 0)
            return std::min(fixedRevision, store.revision());
        return std::max<std::int64_t>(1, store.revision() - faults.number("stale_revisions"));
    }

    http_answer handleRange(key_value_service& service, const http_server& server, const Json::Value& body)
    {
        const auto visibleRevision = readRevision(service.store, server.faults);
        const auto requestedRevision = toInt64(body["revision"]);
        if (requestedRevision > 0 && requestedRevision < service.store.compactedRevision())
            return errorAnswer(MHD_HTTP_BAD_REQUEST, "required revision has been compacted");
        if (requestedRevision > visibleRevision)
            return errorAnswer(MHD_HTTP_BAD_REQUEST, "required revision is a future revision");
        auto answer = service.store.range(body, requestedRevision > 0 ? requestedRevision : visibleRevision);
        answer["header"] = header(visibleRevision);
        return jsonAnswer(answer);
    }

    http_answer handleTxn(key_value_service& service, const Json::Value& body)
    {
        if (body["compare"].size() > maxTxnOperations || body["success"].size() > maxTxnOperations || body["failure"].size() > maxTxnOperations)
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

    http_answer handleLeaseCall(key_value_service& service, const std::string& path, const Json::Value& body)
    {
        auto& store = service.store;
        Json::Value answer;
        if (path == "/v3/lease/grant") {
            const auto id = store.grant(toInt64(body["ID"]), toInt64(body["TTL"]), clock::now());
            if (id == 0)
                return errorAnswer(MHD_HTTP_BAD_REQUEST, "lease already exists");
            answer["ID"] = std::to_string(id);
            answer["TTL"] = std::to_string(toInt64(body["TTL"]));
        } else if (path == "/v3/lease/keepalive") {
            answer["result"]["ID"] = std::to_string(toInt64(body["ID"]));
            answer["result"]["TTL"] = std::to_string(store.keepAlive(toInt64(body["ID"]), clock::now()));
            answer["result"]["header"] = header(store.revision());
        } else if (!store.revoke(toInt64(body["ID"]))) {
            return errorAnswer(MHD_HTTP_NOT_FOUND, "requested lease not found");
        }
        answer["header"] = header(store.revision());
        return jsonAnswer(answer);
    }

    // Produces the next line of a watch; blocks until there are events, or the caller
    // disconnects or the server stops.
    stream_step nextWatchLine(key_value_service& service, http_server& server, int socket, watch_stream& watch, std::string& text)
    {
        Json::Value line;
        auto& result = line["result"];
        std::unique_lock lock(service.mutex);
        if (!watch.createdSent) {
            watch.createdSent = true;
            result["created"] = true;
            result["header"] = header(service.store.revision());
            text = toCompactJson(line) + "\n";
            return stream_step::More;
        }
        while (true) {
            // Step 1. A watch whose next revision has been compacted is cancelled, as in etcd.
            if (watch.nextRevision <= service.store.compactedRevision() && watch.nextRevision > 0 && service.store.compactedRevision() > 0) {
                result["canceled"] = true;
                result["compact_revision"] = std::to_string(service.store.compactedRevision());
                result["header"] = header(service.store.revision());
                text = toCompactJson(line) + "\n";
                watch.nextRevision = 0;
                return stream_step::End;
            }
            // Step 2. Send the events since the last line.
            const bool eventsSuppressed = server.faults.isOn("silent_watches") || server.faults.isOn("hang");
            if (!eventsSuppressed && watch.nextRevision <= service.store.revision()) {
                auto events = service.store.events(watch.key, watch.end, watch.nextRevision);
                watch.nextRevision = service.store.revision() + 1;
                if (!events.empty() && server.faults.consume("drop_events"))
                    events.clear();
                if (!events.empty()) {
                    result["events"] = events;
                    result["header"] = header(service.store.revision());
                    text = toCompactJson(line) + "\n";
                    return stream_step::More;
                }
            }
            if (server.faults.isOn("outage") || server.faults.consume("cut_watches"))
                return stream_step::Abort;
            // Step 3. Otherwise wait, checking periodically whether the caller is still connected.
            service.changed.wait_for(lock, watchPollInterval);
            lock.unlock();
            if (!server.connected(socket))
                return stream_step::Abort;
            lock.lock();
        }
    }

    http_answer openWatch(key_value_service& service, http_server& server, const http_request& request, const Json::Value& body)
    {
        const auto& create = body["create_request"];
        auto watch = std::make_shared<watch_stream>();
        watch->key = fromBase64(create["key"].asString());
        watch->end = fromBase64(create["range_end"].asString());
        watch->nextRevision = toInt64(create["start_revision"]);
        if (watch->nextRevision <= 0)
            watch->nextRevision = service.store.revision() + 1;
        server.counters.add("watches");
        http_answer answer;
        answer.stream = [&service, &server, socket = request.socket, watch](std::string& text) {
            return nextWatchLine(service, server, socket, *watch, text);
        };
        return answer;
    }

    bool isRead(const std::string& path) { return path == "/v3/kv/range" || path == "/v3/watch"; }

    http_answer handleCall(key_value_service& service, http_server& server, const http_request& request)
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
            return handleRange(service, server, body);
        if (path == "/v3/watch")
            return openWatch(service, server, request, body);
        service.changed.notify_all();
        if (path == "/v3/kv/txn")
            return handleTxn(service, body);
        if (path.starts_with("/v3/lease/"))
            return handleLeaseCall(service, path, body);
        // A single put or delete is run as a transaction with one operation.
        Json::Value txnRequest;
        Json::Value operation;
        if (path == "/v3/kv/put")
            operation["request_put"] = body;
        else if (path == "/v3/kv/deleterange")
            operation["request_delete_range"] = body;
        else if (path == "/v3/kv/compaction") {
            service.store.compact(toInt64(body["revision"]));
            Json::Value answer;
            answer["header"] = header(service.store.revision());
            return jsonAnswer(answer);
        } else
            return errorAnswer(MHD_HTTP_NOT_FOUND, "no such call");
        if (path == "/v3/kv/put" && tooLarge(body))
            return errorAnswer(MHD_HTTP_BAD_REQUEST, "request is too large");
        txnRequest["success"].append(operation);
        auto txnAnswer = service.store.transact(txnRequest);
        if (txnAnswer.isMember("error"))
            return errorAnswer(MHD_HTTP_BAD_REQUEST, txnAnswer["error"].asString());
        auto answer = txnAnswer["responses"][0].begin() == txnAnswer["responses"][0].end() ? Json::Value(Json::objectValue) : *txnAnswer["responses"][0].begin();
        answer["header"] = header(service.store.revision());
        return jsonAnswer(answer);
    }

    http_answer handleControl(key_value_service& service, const http_request& request)
    {
        const std::lock_guard lock(service.mutex);
        const auto body = parseJson(request.body);
        if (body.isObject() && body.get("lapse_leases", false).asBool())
            service.store.expire(clock::time_point::max());
        if (body.isObject() && body.isMember("lapse_lease"))
            service.store.revoke(toInt64(body["lapse_lease"]));
        service.changed.notify_all();
        if (request.path == "/control/dump") {
            auto dump = service.store.range(parseJson(R"({"key":"AA==","range_end":"AA=="})"), service.store.revision());
            return jsonAnswer(dump);
        }
        return jsonAnswer(Json::Value(Json::objectValue));
    }

} // namespace

int runKeyValue(const arguments& args)
{
    key_value_service service;
    service.reads.maxCallsPerSecond = numberOf(args, "--max-reads");
    service.writes.maxCallsPerSecond = numberOf(args, "--max-writes");
    service.store.setRetainedRevisions(numberOf(args, "--history"));
    http_server* self = nullptr;
    http_server server(
        textOf(args, "--address"), static_cast<std::uint16_t>(numberOf(args, "--port")),
        [&](const http_request& request) { return handleCall(service, *self, request); },
        [&](const http_request& request) { return handleControl(service, request); });
    self = &server;
    server.faults.merge(parseJson(textOf(args, "--faults")));
    if (!server.start()) {
        std::fprintf(stderr, "lovage-standin kv: can't listen\n");
        return 1;
    }
    std::jthread leaseExpirer([&](const std::stop_token& stop) {
        while (!stop.stop_requested()) {
            std::this_thread::sleep_for(leaseCheckInterval);
            const std::lock_guard lock(service.mutex);
            if (!server.faults.isOn("outage") && service.store.expire(clock::now()))
                service.changed.notify_all();
        }
    });
    waitForSignal();
    server.stop();
    return 0;
}

} // namespace lovagerail::standin
