// lovage-standin: small fakes of the systems around lovagerail, one subcommand each.
#include "programs.h"

#include "http_server.h"

#include <cstdio>
#include <curl/curl.h>
#include <sstream>

namespace {

constexpr const char* usageText = R"(Small fakes of the systems around lovagerail.

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
  --faults=<json>           Faults from the start on, as for POST /control/faults [default: {}].
  --name=<name>             Name of the target [default: engine].
  --count=<n>               engines, service: how many servers in this process [default: 1].
  --base-port=<n>           engines, service: first port [default: 0].
  --control-port=<n>        engines, service: a port for control alone; 0 for none [default: 0].
  --restart-ms=<n>          engines, service: down after a crash; 0: until told [default: 0].

Key-value service options:
  --max-reads=<n>           Reads a second; 0 is without limit [default: 0].
  --max-writes=<n>          Writes a second; 0 is without limit [default: 0].
  --history=<n>             Revisions kept before they are compacted away; 0 keeps all [default: 0].

Engine options:
  --pool=<name>             Pool, for people to read [default: pool].
  --model=<name>            Model loaded at the start [default: model].
  --version-loaded=<n>      Weight version loaded at the start [default: 1].
  --role=<name>             Role at the start [default: mixed].
  --kv-cache-tokens=<n>     Memory of the prefix cache [default: 65536].
  --max-running=<n>         Places in the batch [default: 16].
  --max-waiting=<n>         Requests that may wait for a place [default: 1024].
  --tokens-per-second=<x>   Speed of a stream that runs alone [default: 200].
  --batch-slowdown=<x>      How much longer a token takes in a full batch [default: 2].
  --prefill-rate=<x>        Prompt tokens a second [default: 20000].
  --chunk-tokens=<n>        Tokens in a chunk [default: 2].
  --shortest=<n>            Shortest natural answer in tokens [default: 16].
  --longest=<n>             Longest natural answer in tokens [default: 111].
  --report-lag-ms=<n>       Lag of load reports [default: 200].
  --event-lag-ms=<n>        Lag of cache events [default: 200].
  --swap-ms=<n>             Time that a swap takes [default: 50].
  --weight-bytes=<n>        Size of a weight version passed on [default: 65536].
  --check-fencing           Refuse orders with an old fencing number.

Service, judge and weight store options:
  --work-ms=<n>             Time a call takes [default: 5].
  --rate=<n>                Weight store: calls a second; 0 is without limit [default: 0].

Platform options:
  --setup=<json>            Slots and instances, as for POST /control/setup [default: {}].
  --lag-ms=<n>              Lag of both lists [default: 500].
  --start-ms=<n>            Time a target takes to start [default: 500].
  --stop-ms=<n>             Time a target is leaving before it is gone [default: 1000].
  --fencing-scope=<s>       global, domain or pool [default: global].
  --ignore-fencing          Take orders with an old fencing number.

Client options:
  --entries=<urls>          Entry instances, with commas between [default: http://127.0.0.1:8080].
  --keys=<keys>             Keys, with commas between; drawn at random by load [default: ].
  --model-name=<name>       Model asked for [default: model].
  --seed=<n>                Seed of arrivals and prompts [default: 1].
  --timeout-ms=<n>          Longest a call may take [default: 30000].

Trainer options:
  --run=<name>              Run [default: run].
  --steps=<n>               Steps to train [default: 2].
  --first-step=<n>          Number of the first step [default: 1].
  --first-cursor=<n>        Cursor of the first batch [default: 1].
  --groups=<n>              Groups a step [default: 4].
  --group-size=<n>          Samples expected of a group [default: 4].
  --max-tokens=<n>          Longest answer in tokens; 0 is the natural length [default: 0].
  --deadline-ms=<n>         Give up after this time [default: 60000].
  --train-ms=<n>            Time a step of training takes [default: 100].
  --first-version=<n>       Version current at the start [default: 1].
  --no-publish              Don't publish a new version after each step.

Load options:
  --rate-per-second=<x>     Requests a second, arriving at random [default: 20].
  --duration-ms=<n>         Time over which requests arrive [default: 2000].
  --stream-share=<x>        Share of requests that are streamed [default: 1].
  --chat-share=<x>          Share of requests that are chats [default: 0].
  --prompt-bytes=<n>        Length of a prompt [default: 400].
  --shared-prefixes=<n>     Prompts begin with one of so many prefixes; 0 for none [default: 8].
  --marker=<text>           Text that every prompt holds, e.g. to poison it [default: ].
  --path=<path>             Plain service calls to this path in place of completions [default: ].
  --failover                Pass over entries that can't be reached or are draining.
  --direct                  Speak to the targets in --entries directly, without keys.
  --lines                   Print a JSON line for each request too.
)";

} // namespace

namespace lovagerail::standin {

std::string textOf(const arguments& given, const std::string& flag)
{
    const auto& value = given.at(flag);
    return value.isString() ? value.asString() : std::string();
}

long numberOf(const arguments& given, const std::string& flag) { return std::stol(textOf(given, flag)); }

double realOf(const arguments& given, const std::string& flag) { return std::stod(textOf(given, flag)); }

bool isSet(const arguments& given, const std::string& flag)
{
    const auto& value = given.at(flag);
    return value.isBool() && value.asBool();
}

std::vector<std::string> listOf(const arguments& given, const std::string& flag)
{
    std::vector<std::string> items;
    std::istringstream text(textOf(given, flag));
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
    const auto given = docopt::docopt(usageText, { argv + 1, argv + argc });
    try {
        for (const auto& [name, run] : commands) {
            if (isSet(given, name))
                return run(given);
        }
    } catch (const std::exception& problem) {
        std::fprintf(stderr, "lovage-standin: %s\n", problem.what());
    }
    return 2;
}
