// The subcommands `engine` and `engines`: one or many engines in one process, with an
// optional separate control port, which also answers while an engine is down.
#include "engine.h"
#include "programs.h"

#include <cstdio>
#include <microhttpd.h>

namespace lovagerail::standin {

namespace {

    constexpr std::chrono::milliseconds crashPollInterval { 20 };

    engine_options optionsFrom(const arguments& args)
    {
        engine_options options;
        options.address = textOf(args, "--address");
        options.name = textOf(args, "--name");
        options.model = textOf(args, "--model");
        options.version = textOf(args, "--version-loaded");
        options.role = textOf(args, "--role");
        options.cacheTokens = static_cast<std::size_t>(numberOf(args, "--kv-cache-tokens"));
        options.maxRunning = static_cast<std::size_t>(std::max(1L, numberOf(args, "--max-running")));
        options.maxWaiting = static_cast<std::size_t>(numberOf(args, "--max-waiting"));
        options.tokensPerSecond = realOf(args, "--tokens-per-second");
        options.batchSlowdown = realOf(args, "--batch-slowdown");
        options.prefillTokensPerSecond = realOf(args, "--prefill-rate");
        options.chunkTokens = static_cast<std::uint32_t>(std::max(1L, numberOf(args, "--chunk-tokens")));
        options.minAnswerTokens = static_cast<std::uint32_t>(std::max(1L, numberOf(args, "--shortest")));
        options.maxAnswerTokens = std::max(options.minAnswerTokens, static_cast<std::uint32_t>(numberOf(args, "--longest")));
        options.reportLag = std::chrono::milliseconds(numberOf(args, "--report-lag-ms"));
        options.eventLag = std::chrono::milliseconds(numberOf(args, "--event-lag-ms"));
        options.weightLoadTime = std::chrono::milliseconds(numberOf(args, "--swap-ms"));
        options.restartTime = std::chrono::milliseconds(numberOf(args, "--restart-ms"));
        options.weightSizeBytes = static_cast<std::size_t>(numberOf(args, "--weight-bytes"));
        options.rejectsOldFencing = isSet(args, "--check-fencing");
        return options;
    }

    // Answers `/control/engines` and `/control/engines/<name>/faults|stats|log`.
    http_answer handleControl(std::vector<std::unique_ptr<engine>>& engines, const http_request& request)
    {
        if (request.path == "/control/engines") {
            Json::Value list(Json::arrayValue);
            for (const auto& enginePtr : engines) {
                Json::Value value;
                value["id"] = enginePtr->name();
                value["port"] = enginePtr->port();
                value["down"] = enginePtr->isDown();
                list.append(value);
            }
            return jsonAnswer(list);
        }
        for (const auto& enginePtr : engines) {
            const auto prefix = "/control/engines/" + enginePtr->name() + "/";
            if (request.path.starts_with(prefix))
                return enginePtr->handleControl(request, request.path);
        }
        return errorAnswer(MHD_HTTP_NOT_FOUND, "no such engine");
    }

} // namespace

int runEngines(const arguments& args)
{
    const auto options = optionsFrom(args);
    const bool isSingle = isSet(args, "engine");
    const auto count = isSingle ? 1L : numberOf(args, "--count");
    const auto basePort = numberOf(args, isSingle ? "--port" : "--base-port");
    std::vector<std::unique_ptr<engine>> engines;
    for (long i = 0; i < count; ++i) {
        auto engineOptions = options;
        engineOptions.port = static_cast<std::uint16_t>(basePort + i);
        if (!isSingle)
            engineOptions.name += "-" + std::to_string(i);
        engines.push_back(std::make_unique<engine>(engineOptions));
        engines.back()->server().faults.merge(parseJson(textOf(args, "--faults")));
        if (!engines.back()->start()) {
            std::fprintf(stderr, "lovage-standin: can't listen on %ld\n", basePort + i);
            return 1;
        }
    }
    http_server control(
        options.address, static_cast<std::uint16_t>(numberOf(args, "--control-port")),
        [](const http_request&) { return errorAnswer(MHD_HTTP_NOT_FOUND, "control only"); },
        [&](const http_request& request) { return handleControl(engines, request); });
    if (numberOf(args, "--control-port") > 0 && !control.start()) {
        std::fprintf(stderr, "lovage-standin: can't listen on the control port\n");
        return 1;
    }
    std::jthread crashPoller([&](const std::stop_token& stop) {
        while (!stop.stop_requested()) {
            std::this_thread::sleep_for(crashPollInterval);
            for (const auto& enginePtr : engines)
                enginePtr->applyCrashAndRestart(std::chrono::steady_clock::now());
        }
    });
    waitForSignal();
    crashPoller.request_stop();
    crashPoller.join();
    control.stop();
    return 0;
}

} // namespace lovagerail::standin
