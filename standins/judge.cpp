// Stand-in for a service that judges samples: the score follows from the text,
// and each sample's runs are counted by its Idempotency-Key.
#include "http_server.h"
#include "programs.h"

#include <cstdio>
#include <microhttpd.h>
#include <xxhash.h>

namespace lovagerail::standin {

namespace {

    constexpr std::uint64_t scoreSteps = 1000;

    struct judge_state {
        std::chrono::milliseconds workTime { 0 };
        std::mutex mutex; // guards the runs
        std::map<std::string, std::int64_t> runs;
    };

    http_answer judge(judge_state& state, http_server& server, const http_request& request)
    {
        const auto body = parseJson(request.body);
        if (request.method != "POST" || request.path != "/judge" || !body.isObject())
            return errorAnswer(MHD_HTTP_NOT_FOUND, "expected POST /judge");
        {
            const std::lock_guard lock(state.mutex);
            ++state.runs[request.header("Idempotency-Key")];
        }
        server.counters.add("judged");
        if (!server.pause(request.socket, state.workTime))
            return droppedAnswer();
        const auto text = body["prompt"].asString() + "\n" + body["completion"].asString();
        Json::Value value;
        value["score"] = static_cast<double>(XXH64(text.data(), text.size(), 0) % scoreSteps) / static_cast<double>(scoreSteps);
        auto answer = jsonAnswer(value);
        answer.headers = { { "X-Request-Id", request.header("X-Request-Id") } };
        return answer;
    }

    http_answer runsSeen(judge_state& state, const http_request& request)
    {
        if (request.path != "/control/log")
            return errorAnswer(MHD_HTTP_NOT_FOUND, "no such control call");
        const std::lock_guard lock(state.mutex);
        Json::Value value;
        value["runs"] = Json::Value(Json::objectValue);
        for (const auto& [key, runs] : state.runs)
            value["runs"][key] = Json::Int64(runs);
        return jsonAnswer(value);
    }

} // namespace

int runJudge(const arguments& given)
{
    judge_state state;
    state.workTime = std::chrono::milliseconds(numberOf(given, "--work-ms"));
    http_server* self = nullptr;
    http_server server(
        textOf(given, "--address"), static_cast<std::uint16_t>(numberOf(given, "--port")),
        [&](const http_request& request) { return judge(state, *self, request); },
        [&](const http_request& request) { return runsSeen(state, request); });
    self = &server;
    server.faults.merge(parseJson(textOf(given, "--faults")));
    if (!server.start()) {
        std::fprintf(stderr, "lovage-standin judge: can't listen\n");
        return 1;
    }
    waitForSignal();
    server.stop();
    return 0;
}

} // namespace lovagerail::standin
