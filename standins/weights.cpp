// Stand-in for the weight store: the bytes of any model and version, at a limited rate.
#include "engine_model.h"
#include "http_server.h"
#include "programs.h"

#include <cstdio>
#include <microhttpd.h>

namespace lovagerail::standin {

namespace {

    using clock = std::chrono::steady_clock;

    constexpr std::chrono::seconds rateWindow { 1 };
    constexpr const char* weightsPath = "/weights/";

    struct weight_store {
        std::size_t size = 0;
        std::chrono::milliseconds workTime { 0 };
        std::int64_t rate = 0; // calls a second; 0 is without limit
        std::mutex mutex; // guards the two below
        clock::time_point windowStart;
        std::int64_t calls = 0;

        bool admit()
        {
            const std::lock_guard lock(mutex);
            if (clock::now() - windowStart >= rateWindow) {
                windowStart = clock::now();
                calls = 0;
            }
            return ++calls <= rate || rate == 0;
        }
    };

    http_answer fetch(weight_store& store, http_server& server, const http_request& request)
    {
        const std::string prefix = weightsPath;
        const auto slash = request.path.rfind('/');
        if (request.method != "GET" || !request.path.starts_with(prefix) || slash < prefix.size())
            return errorAnswer(MHD_HTTP_NOT_FOUND, "expected GET /weights/<model>/<version>");
        if (!store.admit()) {
            server.counters.add("refused_by_rate");
            auto refusal = errorAnswer(MHD_HTTP_TOO_MANY_REQUESTS, "too many requests");
            refusal.headers = { { "Retry-After", "1" } };
            return refusal;
        }
        const auto name = request.path.substr(prefix.size());
        if (name == server.faults.text("missing"))
            return errorAnswer(MHD_HTTP_NOT_FOUND, "no such weights");
        server.counters.add("fetched " + name);
        if (!server.pause(request.socket, store.workTime))
            return droppedAnswer();
        http_answer answer;
        answer.contentType = "application/octet-stream";
        answer.body = weightBytes(request.path.substr(prefix.size(), slash - prefix.size()), request.path.substr(slash + 1), store.size);
        if (server.faults.take("truncate_streams")) {
            answer.stream = [half = answer.body.substr(0, answer.body.size() / 2)](std::string& out) {
                out = half;
                return stream_step::Cut;
            };
        }
        return answer;
    }

} // namespace

int runWeights(const arguments& given)
{
    weight_store store;
    store.size = static_cast<std::size_t>(numberOf(given, "--weight-bytes"));
    store.workTime = std::chrono::milliseconds(numberOf(given, "--work-ms"));
    store.rate = numberOf(given, "--rate");
    http_server* self = nullptr;
    http_server server(textOf(given, "--address"), static_cast<std::uint16_t>(numberOf(given, "--port")),
        [&](const http_request& request) { return fetch(store, *self, request); });
    self = &server;
    server.faults.merge(parseJson(textOf(given, "--faults")));
    if (!server.start()) {
        std::fprintf(stderr, "lovage-standin weights: can't listen\n");
        return 1;
    }
    waitForSignal();
    server.stop();
    return 0;
}

} // namespace lovagerail::standin
