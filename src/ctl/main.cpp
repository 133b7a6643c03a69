// lovagectl, the operators' command-line tool: usage text and dispatch of commands.
#include "ctl/check.h"
#include "ctl/commands.h"
#include "ctl/replay.h"
#include "trace_make.h"
#include "version.h"

#include <cstdlib>
#include <docopt/docopt.h>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

namespace {

using namespace lovagerail;
using namespace lovagerail::ctl;
using arguments = std::map<std::string, docopt::value>;

constexpr const char* usageText = R"(Operators' tool of the rollout service.

Usage:
  lovagectl [options] apply -f FILE [--dry-run] [--wait] [--timeout SECONDS]
  lovagectl [options] diff -f FILE
  lovagectl [options] get [KIND] [NAME] [-l SELECTOR]
  lovagectl [options] describe KIND NAME
  lovagectl [options] label KIND NAME CHANGE...
  lovagectl [options] delete KIND NAME
  lovagectl [options] keys grant (--account NAME | --scope SCOPE...)
  lovagectl [options] keys withdraw ID
  lovagectl keys bootstrap
  lovagectl check FILE [--against CURRENT] [--format FORMAT]
  lovagectl [options] history [--limit N]
  lovagectl [options] rollback NUMBER
  lovagectl [options] runs
  lovagectl [options] targets
  lovagectl [options] usage [--window N]
  lovagectl [options] burn [--html FILE]
  lovagectl [options] explain SUBJECT ID
  lovagectl [options] log LEVEL
  lovagectl [options] drain
  lovagectl [options] status
  lovagectl replay TRACE --entries URLS --keys FILE [--outcomes FILE] [--entries-b URLS] [--speed X]
  lovagectl trace SHAPE [--deployment NAME] [--seed N] [--seconds N] [--rate X]
  lovagectl version
  lovagectl (-h | --help)

Options:
  -s URL --server URL    Operators' address of a daemon [default: http://127.0.0.1:8081].
  -k FILE --key FILE     File with the operator's key; else LOVAGERAIL_KEY is used.
  --ca FILE              PEM bundle to trust for https.
  -o FORMAT              table or json [default: table].
  -f FILE                Objects in TOML.
  --against CURRENT      File with the configuration in force, for the differences.
  --format FORMAT        text or json [default: text].
  -l SELECTOR            Only objects whose labels match.
  --dry-run              Check the change, don't make it.
  --wait                 Until all live instances have the change in force.
  --timeout SECONDS      Longest wait [default: 30].
  --account NAME         Client account that the key is for.
  --scope SCOPE          read, write or keys, for an operator's key.
  --limit N              How many of the newest changes [default: 20].
  --window N             One usage window; all kept ones without it.
  --html FILE            Write the report as a page.
  --entries URLS         Callers' addresses to replay to, with commas between.
  --entries-b URLS       The other side of a comparison; each request goes to both.
  --keys FILE            TOML: [keys] account = "key", [paths] route = "path".
  --outcomes FILE        TOML: [[outcome]] metric, at_most, at_least.
  --speed X              Arrivals that much closer together [default: 1].
  --deployment NAME      wales or caribbean [default: wales].
  --seed N               Seed of a generated trace [default: 1].
  --seconds N            Length of a generated trace [default: 20].
  --rate X               Its mean arrivals a second [default: 20].

CHANGE is KEY=VALUE, or KEY- to remove a label. SUBJECT is REQUEST, SAMPLE,
TARGET or ORDER. SHAPE is calm, rain, flood or poison. A change is accepted when the exit code is 0.

Exit codes: 0 done, 1 refused, 2 bad input, 3 the daemon can't be reached,
4 the answer was lost and the change may have been made, 5 conflict with
another operator's change.
)";

std::string textOf(const arguments& args, const char* name)
{
    const auto found = args.find(name);
    return found != args.end() && found->second.isString() ? found->second.asString() : std::string();
}

bool isSet(const arguments& args, const char* name)
{
    const auto found = args.find(name);
    return found != args.end() && found->second.isBool() && found->second.asBool();
}

// The option's value as a whole number, or -1 if it is none.
long numberOf(const arguments& args, const char* name)
{
    const auto text = textOf(args, name);
    if (text.empty() || text.size() > 9 || text.find_first_not_of("0123456789") != std::string::npos)
        return -1;
    return std::stol(text);
}

std::vector<std::string> listOf(const arguments& args, const char* name)
{
    const auto found = args.find(name);
    return found != args.end() && found->second.isStringList() ? found->second.asStringList() : std::vector<std::string>();
}

int usageError(const std::string& message)
{
    std::cerr << message << "\n";
    return exitUsage;
}

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> out;
    std::stringstream in(text);
    for (std::string item; std::getline(in, item, ',');)
        out.push_back(item);
    return out;
}

// The option's value as a number above 0, or 0 if it is none.
double positiveNumberOf(const arguments& args, const char* name)
{
    const auto text = textOf(args, name);
    char* end = nullptr;
    const double value = std::strtod(text.c_str(), &end);
    return end != nullptr && *end == '\0' && value > 0 ? value : 0;
}

int replay(const arguments& args)
{
    std::ifstream in(textOf(args, "TRACE"), std::ios::binary);
    const std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    const auto recordedTrace = decodeTrace(text);
    if (!recordedTrace)
        return usageError(textOf(args, "TRACE") + ": " + toString(recordedTrace.error()));
    replay_options options;
    options.entries = split(textOf(args, "--entries"));
    options.entriesB = split(textOf(args, "--entries-b"));
    options.speed = positiveNumberOf(args, "--speed");
    if (options.speed == 0 || options.entries.empty())
        return usageError("--speed: expected a number above 0; --entries: expected URLs");
    if (const auto keys = readReplayKeys(textOf(args, "--keys"), options); !keys)
        return usageError(toString(keys.error()));
    std::vector<expected_outcome> outcomes;
    if (const auto file = textOf(args, "--outcomes"); !file.empty()) {
        auto expected = readOutcomes(file);
        if (!expected)
            return usageError(toString(expected.error()));
        outcomes = std::move(*expected);
    }
    const auto sides = replayTrace(*recordedTrace, options);
    if (sides.size() > 1)
        compareSides(sides);
    if (outcomes.empty()) {
        for (const auto& name : metricNames())
            outcomes.push_back({ name, std::nullopt, std::nullopt });
    }
    return checkOutcomes(sides[0], outcomes) ? exitOk : exitFailure;
}

int writeTrace(const arguments& args)
{
    trace_plan plan;
    plan.deployment = textOf(args, "--deployment");
    if (plan.deployment != "wales" && plan.deployment != "caribbean")
        return usageError("--deployment: expected wales or caribbean");
    const auto seed = numberOf(args, "--seed");
    const auto seconds = numberOf(args, "--seconds");
    plan.perSecond = positiveNumberOf(args, "--rate");
    if (!parseTraceShape(textOf(args, "SHAPE"), plan.shape) || seed < 0 || seconds <= 0 || plan.perSecond == 0)
        return usageError("expected calm, rain, flood or poison, and whole numbers above 0");
    plan.seed = static_cast<std::uint64_t>(seed);
    plan.length = std::chrono::seconds(seconds);
    const auto newTrace = makeTrace(plan);
    std::cout << encodeTraceHead(newTrace.deployment);
    for (const auto& record : newTrace.records)
        std::cout << encodeTraceRecord(record);
    return exitOk;
}

int run(const arguments& args, const session& connection, output_format format)
{
    const auto kind = textOf(args, "KIND");
    const auto name = textOf(args, "NAME");
    if (isSet(args, "apply")) {
        const auto timeout = numberOf(args, "--timeout");
        if (timeout < 0)
            return usageError("--timeout: expected a whole number of seconds");
        return apply(connection, { textOf(args, "-f"), isSet(args, "--dry-run"), isSet(args, "--wait"), timeout }, format);
    }
    if (isSet(args, "diff"))
        return diffFile(connection, textOf(args, "-f"), format);
    if (isSet(args, "get"))
        return getObjects(connection, kind, name, textOf(args, "-l"), format);
    if (isSet(args, "describe"))
        return describe(connection, kind, name);
    if (isSet(args, "label"))
        return label(connection, kind, name, listOf(args, "CHANGE"), format);
    if (isSet(args, "delete"))
        return deleteObject(connection, kind, name, format);
    if (isSet(args, "grant"))
        return grantKey(connection, textOf(args, "--account"), listOf(args, "--scope"), format);
    if (isSet(args, "withdraw"))
        return withdrawKey(connection, textOf(args, "ID"), format);
    if (isSet(args, "history")) {
        const auto limit = numberOf(args, "--limit");
        return limit < 0 ? usageError("--limit: expected a whole number") : history(connection, limit, format);
    }
    if (isSet(args, "rollback")) {
        const auto to = numberOf(args, "NUMBER");
        return to < 0 ? usageError("NUMBER: expected the number of a change") : rollback(connection, to, format);
    }
    if (isSet(args, "explain"))
        return explain(connection, textOf(args, "SUBJECT"), textOf(args, "ID"), format);
    if (isSet(args, "burn"))
        return burn(connection, textOf(args, "--html"), format);
    if (isSet(args, "log"))
        return setLogLevel(connection, textOf(args, "LEVEL"), format);
    if (isSet(args, "drain"))
        return drain(connection, format);
    if (isSet(args, "runs"))
        return list(connection, "/v1/runs", "runs", { "run", "coordinator", "trainer_version", "acknowledged", "open_steps", "queued", "generating", "sealed" }, format);
    if (isSet(args, "targets"))
        return list(connection, "/v1/targets", "targets", { "id", "pool", "failure_domain", "kind", "state", "incarnation", "address" }, format);
    if (isSet(args, "usage")) {
        const auto window = textOf(args, "--window");
        return list(connection, "/v1/usage" + (window.empty() ? "" : "?window=" + encodeQuery(window)), "rows",
            { "window", "account", "model", "version", "pool", "heading", "requests", "prefilled", "cached", "generated", "target_ms", "late_for" }, format);
    }
    return list(connection, "/v1/status", "instances", { "instance", "failure_domain", "revision", "draining", "key_value_available", "open_requests", "requests", "resident_bytes" }, format);
}

} // namespace

int main(int argc, char** argv)
{
    const auto args = docopt::docopt(usageText, { argv + 1, argv + argc }, true, "");
    if (isSet(args, "bootstrap"))
        return bootstrapKey();
    if (isSet(args, "check")) {
        const auto format = textOf(args, "--format");
        if (format != "text" && format != "json")
            return usageError("--format: expected text or json");
        return checkFile(textOf(args, "FILE"), textOf(args, "--against"), format == "json" ? output_format::Json : output_format::Table);
    }
    if (isSet(args, "replay"))
        return replay(args);
    if (isSet(args, "trace"))
        return writeTrace(args);
    if (isSet(args, "version")) {
        std::cout << "lovagectl " << versionText << "\n";
        return exitOk;
    }
    const auto format = textOf(args, "-o");
    if (format != "table" && format != "json")
        return usageError("-o: expected table or json");
    session connection { textOf(args, "--server"), {}, textOf(args, "--ca") };
    if (const auto file = textOf(args, "--key"); !file.empty()) {
        std::ifstream in(file);
        if (!(in >> connection.key))
            return usageError(file + ": can't read a key");
    } else if (const char* key = std::getenv("LOVAGERAIL_KEY")) {
        connection.key = key;
    }
    return run(args, connection, format == "json" ? output_format::Json : output_format::Table);
}
