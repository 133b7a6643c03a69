// The subcommands `engine` and `engines`: many engines in one process, with one
// further control port that answers also while an engine is down.
#include "engine.h"
#include "programs.h"

#include <cstdio>
#include <microhttpd.h>

namespace lovagerail::standin {

namespace {

    constexpr std::chrono::milliseconds tendTick { 20 };

    engine_options optionsFrom(const arguments& given)
    {
        engine_options options;
        options.address = textOf(given, "--address");
        options.name = textOf(given, "--name");
        options.model = textOf(given, "--model");
        options.version = textOf(given, "--version-loaded");
        options.role = textOf(given, "--role");
        options.cacheTokens = static_cast<std::size_t>(numberOf(given, "--kv-cache-tokens"));
        options.mostRunning = static_cast<std::size_t>(std::max(1L, numberOf(given, "--max-running")));
        options.mostWaiting = static_cast<std::size_t>(numberOf(given, "--max-waiting"));
        options.tokensPerSecond = realOf(given, "--tokens-per-second");
        options.slowdown = realOf(given, "--batch-slowdown");
        options.prefillTokensPerSecond = realOf(given, "--prefill-rate");
        options.chunkTokens = static_cast<std::uint32_t>(std::max(1L, numberOf(given, "--chunk-tokens")));
        options.shortest = static_cast<std::uint32_t>(std::max(1L, numberOf(given, "--shortest")));
        options.longest = std::max(options.shortest, static_cast<std::uint32_t>(numberOf(given, "--longest")));
        options.reportLag = std::chrono::milliseconds(numberOf(given, "--report-lag-ms"));
        options.eventLag = std::chrono::milliseconds(numberOf(given, "--event-lag-ms"));
        options.swapTime = std::chrono::milliseconds(numberOf(given, "--swap-ms"));
        options.restartTime = std::chrono::milliseconds(numberOf(given, "--restart-ms"));
        options.weightSize = static_cast<std::size_t>(numberOf(given, "--weight-bytes"));
        options.checksFencing = isSet(given, "--check-fencing");
        return options;
    }

    // Answers `/control/engines` and `/control/engines/<name>/faults|stats|log`.
    http_answer controlAll(std::vector<std::unique_ptr<engine>>& engines, const http_request& request)
    {
        if (request.path == "/control/engines") {
            Json::Value list(Json::arrayValue);
            for (const auto& one : engines) {
                Json::Value value;
                value["id"] = one->name();
                value["port"] = one->port();
                value["down"] = one->down();
                list.append(value);
            }
            return jsonAnswer(list);
        }
        for (const auto& one : engines) {
            const auto prefix = "/control/engines/" + one->name() + "/";
            if (request.path.starts_with(prefix))
                return one->control(request, request.path);
        }
        return errorAnswer(MHD_HTTP_NOT_FOUND, "no such engine");
    }

} // namespace

int runEngines(const arguments& given)
{
    const auto options = optionsFrom(given);
    const bool single = isSet(given, "engine");
    const auto count = single ? 1L : numberOf(given, "--count");
    const auto basePort = numberOf(given, single ? "--port" : "--base-port");
    std::vector<std::unique_ptr<engine>> engines;
    for (long i = 0; i < count; ++i) {
        auto own = options;
        own.port = static_cast<std::uint16_t>(basePort + i);
        if (!single)
            own.name += "-" + std::to_string(i);
        engines.push_back(std::make_unique<engine>(own));
        engines.back()->server().faults.merge(parseJson(textOf(given, "--faults")));
        if (!engines.back()->start()) {
            std::fprintf(stderr, "lovage-standin: can't listen on %ld\n", basePort + i);
            return 1;
        }
    }
    http_server control(
        options.address, static_cast<std::uint16_t>(numberOf(given, "--control-port")),
        [](const http_request&) { return errorAnswer(MHD_HTTP_NOT_FOUND, "control only"); },
        [&](const http_request& request) { return controlAll(engines, request); });
    if (numberOf(given, "--control-port") > 0 && !control.start()) {
        std::fprintf(stderr, "lovage-standin: can't listen on the control port\n");
        return 1;
    }
    std::jthread tender([&](const std::stop_token& stop) {
        while (!stop.stop_requested()) {
            std::this_thread::sleep_for(tendTick);
            for (const auto& one : engines)
                one->tend(std::chrono::steady_clock::now());
        }
    });
    waitForSignal();
    tender.request_stop();
    tender.join();
    control.stop();
    return 0;
}

} // namespace lovagerail::standin
