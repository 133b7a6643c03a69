// lovage-standin: fakes of the systems around lovagerail for tests, one subcommand each.
#include "programs.h"

#include "http_server.h"

#include <cstdio>
#include <curl/curl.h>
#include <sstream>

namespace {

constexpr const char* usageText = R"(Fakes of the systems around lovagerail, for tests.

Usage:
  lovage-standin kv [options]
  lovage-standin engine [options]
  lovage-standin engines [options]
  lovage-standin service [options]
  lovage-standin judge [options]
  lovage-standin weights [options]
  lovage-standin platform [options]
  lovage-standin trainer [options]
  lovage-standin load [options]
  lovage-standin (-h | --help)

Server options:
  --address=<ip>            Address to listen on [default: 127.0.0.1].
  --port=<n>                Port to listen on [default: 0].
  --faults=<json>           Initial faults, as for POST /control/faults [default: {}].
  --name=<name>             Name of the target [default: engine].
  --count=<n>               engines, service: number of servers in this process [default: 1].
  --base-port=<n>           engines, service: first port [default: 0].
  --control-port=<n>        engines, service: separate port for control calls; 0: none [default: 0].
  --restart-ms=<n>          engines, service: downtime after a crash; 0: until a control call restarts it [default: 0].

Key-value service options:
  --max-reads=<n>           Reads per second; 0: no limit [default: 0].
  --max-writes=<n>          Writes per second; 0: no limit [default: 0].
  --history=<n>             Revisions to keep; older ones are compacted; 0: all [default: 0].

Engine options:
  --pool=<name>             Pool name, only informational [default: pool].
  --model=<name>            Model loaded at the start [default: model].
  --version-loaded=<n>      Weight version loaded at the start [default: 1].
  --role=<name>             Role at the start [default: mixed].
  --kv-cache-tokens=<n>     Capacity of the prefix cache in tokens [default: 65536].
  --max-running=<n>         Maximum number of requests in the batch [default: 16].
  --max-waiting=<n>         Maximum number of requests that wait for admission [default: 1024].
  --tokens-per-second=<x>   Speed of a stream that is alone in the batch [default: 200].
  --batch-slowdown=<x>      Added time per token in a full batch, as a multiple of the time alone [default: 2].
  --prefill-rate=<x>        Prompt tokens per second [default: 20000].
  --chunk-tokens=<n>        Tokens per chunk [default: 2].
  --shortest=<n>            Shortest natural answer in tokens [default: 16].
  --longest=<n>             Longest natural answer in tokens [default: 111].
  --report-lag-ms=<n>       Lag of load reports [default: 200].
  --event-lag-ms=<n>        Lag of cache events [default: 200].
  --swap-ms=<n>             Time that loading weights or an adapter takes [default: 50].
  --weight-bytes=<n>        Size of a served weight version in bytes [default: 65536].
  --check-fencing           Refuse orders with an old fencing number.

Service, judge and weight store options:
  --work-ms=<n>             Processing time of a call [default: 5].
  --rate=<n>                Weight store: calls per second; 0: no limit [default: 0].

Platform options:
  --setup=<json>            Slots and instances, as for POST /control/setup [default: {}].
  --lag-ms=<n>              Lag of both lists [default: 500].
  --start-ms=<n>            Time that a target takes to start [default: 500].
  --stop-ms=<n>             Time that a target takes to stop [default: 1000].
  --fencing-scope=<s>       global, domain or pool [default: global].
  --ignore-fencing          Accept orders with an old fencing number.

Client options:
  --entries=<urls>          Comma-separated entry instances [default: http://127.0.0.1:8080].
  --keys=<keys>             Comma-separated API keys; load picks one at random per request [default: ].
  --model-name=<name>       Model to request [default: model].
  --seed=<n>                Seed of arrivals and prompts [default: 1].
  --timeout-ms=<n>          Timeout of a call [default: 30000].

Trainer options:
  --run=<name>              Name of the run [default: run].
  --steps=<n>               Steps to train [default: 2].
  --first-step=<n>          Number of the first step [default: 1].
  --first-cursor=<n>        Cursor of the first batch [default: 1].
  --groups=<n>              Prompt groups per step [default: 4].
  --group-size=<n>          Samples expected per group [default: 4].
  --max-tokens=<n>          Maximum answer length in tokens; 0: natural length [default: 0].
  --deadline-ms=<n>         Give up after this time [default: 60000].
  --train-ms=<n>            Time that a training step takes [default: 100].
  --first-version=<n>       Weight version at the start [default: 1].
  --no-publish              Don't publish a new version after each step.

Load options:
  --rate-per-second=<x>     Mean rate of requests, which arrive at random [default: 20].
  --duration-ms=<n>         Time over which requests arrive [default: 2000].
  --stream-share=<x>        Share of requests that are streamed [default: 1].
  --chat-share=<x>          Share of requests that are chats [default: 0].
  --prompt-bytes=<n>        Minimum length of a prompt [default: 400].
  --shared-prefixes=<n>     Number of prefixes shared between prompts; 0: none [default: 8].
  --marker=<text>           Text in every prompt, e.g. the marker of the fault poison [default: ].
  --path=<path>             Call plain services at this path instead of completions [default: ].
  --failover                Try the next entry if one is unreachable or draining.
  --direct                  Call the targets in --entries directly, without keys.
  --lines                   Also print a JSON line for each request.
)";

} // namespace

namespace lovagerail::standin {

std::string textOf(const arguments& args, const std::string& flag)
{
    const auto& value = args.at(flag);
    return value.isString() ? value.asString() : std::string();
}

long numberOf(const arguments& args, const std::string& flag) { return std::stol(textOf(args, flag)); }

double realOf(const arguments& args, const std::string& flag) { return std::stod(textOf(args, flag)); }

bool isSet(const arguments& args, const std::string& flag)
{
    const auto& value = args.at(flag);
    return value.isBool() && value.asBool();
}

std::vector<std::string> listOf(const arguments& args, const std::string& flag)
{
    std::vector<std::string> items;
    std::istringstream text(textOf(args, flag));
    for (std::string item; std::getline(text, item, ',');) {
        if (!item.empty())
            items.push_back(item);
    }
    return items;
}

} // namespace lovagerail::standin

int main(int argc, char** argv)
{
    using namespace lovagerail::standin;
    struct command {
        const char* name;
        int (*run)(const arguments&);
    };
    constexpr command commands[] = {
        { "kv", runKeyValue },
        { "engine", runEngines },
        { "engines", runEngines },
        { "service", runServices },
        { "judge", runJudge },
        { "weights", runWeights },
        { "platform", runPlatform },
        { "trainer", runTrainer },
        { "load", runLoad },
    };
    blockSignals();
    curl_global_init(CURL_GLOBAL_ALL);
    const auto args = docopt::docopt(usageText, { argv + 1, argv + argc });
    try {
        for (const auto& [name, run] : commands) {
            if (isSet(args, name))
                return run(args);
        }
    } catch (const std::exception& error) {
        std::fprintf(stderr, "lovage-standin: %s\n", error.what());
    }
    return 2;
}
