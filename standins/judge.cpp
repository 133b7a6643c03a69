// Stand-in for a service that scores samples. The score is a hash of the text, so the same
// sample always gets the same score. Executions are counted by Idempotency-Key, so that
// tests can detect samples that were judged more than once.
#include "http_server.h"
#include "programs.h"

#include <cstdio>
#include <microhttpd.h>
#include <xxhash.h>

namespace lovagerail::standin {

namespace {

    constexpr std::uint64_t scoreSteps = 1000;

    struct judge_state {
        std::chrono::milliseconds processingTime { 0 };
        std::mutex mutex; // guards runCounts
        std::map<std::string, std::int64_t> runCounts;
    };

    http_answer judge(judge_state& state, http_server& server, const http_request& request)
    {
        const auto body = parseJson(request.body);
        if (request.method != "POST" || request.path != "/judge" || !body.isObject())
            return errorAnswer(MHD_HTTP_NOT_FOUND, "expected POST /judge");
        {
            const std::lock_guard lock(state.mutex);
            ++state.runCounts[request.header("Idempotency-Key")];
        }
        server.counters.add("judged");
        if (!server.pause(request.socket, state.processingTime))
            return droppedAnswer();
        const auto text = body["prompt"].asString() + "\n" + body["completion"].asString();
        Json::Value value;
        value["score"] = static_cast<double>(XXH64(text.data(), text.size(), 0) % scoreSteps) / static_cast<double>(scoreSteps);
        auto answer = jsonAnswer(value);
        answer.headers = { { "X-Request-Id", request.header("X-Request-Id") } };
        return answer;
    }

    http_answer runLog(judge_state& state, const http_request& request)
    {
        if (request.path != "/control/log")
            return errorAnswer(MHD_HTTP_NOT_FOUND, "no such control call");
        const std::lock_guard lock(state.mutex);
        Json::Value value;
        value["runs"] = Json::Value(Json::objectValue);
        for (const auto& [key, runs] : state.runCounts)
            value["runs"][key] = Json::Int64(runs);
        return jsonAnswer(value);
    }

} // namespace

int runJudge(const arguments& args)
{
    judge_state state;
    state.processingTime = std::chrono::milliseconds(numberOf(args, "--work-ms"));
    http_server* self = nullptr;
    http_server server(
        textOf(args, "--address"), static_cast<std::uint16_t>(numberOf(args, "--port")),
        [&](const http_request& request) { return judge(state, *self, request); },
        [&](const http_request& request) { return runLog(state, request); });
    self = &server;
    server.faults.merge(parseJson(textOf(args, "--faults")));
    if (!server.start()) {
        std::fprintf(stderr, "lovage-standin judge: can't listen\n");
        return 1;
    }
    waitForSignal();
    server.stop();
    return 0;
}

} // namespace lovagerail::standin
