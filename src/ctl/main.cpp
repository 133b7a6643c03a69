// lovagectl, the operators' command-line tool: usage text and dispatch of commands.
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

std::string textOf(const arguments& given, const char* name)
{
    const auto found = given.find(name);
    return found != given.end() && found->second.isString() ? found->second.asString() : std::string();
}

bool isSet(const arguments& given, const char* name)
{
    const auto found = given.find(name);
    return found != given.end() && found->second.isBool() && found->second.asBool();
}

// The option's value as a whole number, or -1 if it is none.
long numberOf(const arguments& given, const char* name)
{
    const auto text = textOf(given, name);
    if (text.empty() || text.size() > 9 || text.find_first_not_of("0123456789") != std::string::npos)
        return -1;
    return std::stol(text);
}

std::vector<std::string> listOf(const arguments& given, const char* name)
{
    const auto found = given.find(name);
    return found != given.end() && found->second.isStringList() ? found->second.asStringList() : std::vector<std::string>();
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
double positiveNumberOf(const arguments& given, const char* name)
{
    const auto text = textOf(given, name);
    char* end = nullptr;
    const double value = std::strtod(text.c_str(), &end);
    return end != nullptr && *end == '\0' && value > 0 ? value : 0;
}

int replay(const arguments& given)
{
    std::ifstream in(textOf(given, "TRACE"), std::ios::binary);
    const std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    const auto wanted = decodeTrace(text);
    if (!wanted)
        return usageError(textOf(given, "TRACE") + ": " + toString(wanted.error()));
    replay_options options;
    options.entries = split(textOf(given, "--entries"));
    options.entriesB = split(textOf(given, "--entries-b"));
    options.speed = positiveNumberOf(given, "--speed");
    if (options.speed == 0 || options.entries.empty())
        return usageError("--speed: expected a number above 0; --entries: expected URLs");
    if (const auto keys = readReplayKeys(textOf(given, "--keys"), options); !keys)
        return usageError(toString(keys.error()));
    std::vector<expected_outcome> outcomes;
    if (const auto file = textOf(given, "--outcomes"); !file.empty()) {
        auto expected = readOutcomes(file);
        if (!expected)
            return usageError(toString(expected.error()));
        outcomes = std::move(*expected);
    }
    const auto sides = replayTrace(*wanted, options);
    if (sides.size() > 1)
        compareSides(sides);
    if (outcomes.empty()) {
        for (const auto& name : metricNames())
            outcomes.push_back({ name, std::nullopt, std::nullopt });
    }
    return checkOutcomes(sides[0], outcomes) ? exitOk : exitFailure;
}

int writeTrace(const arguments& given)
{
    trace_plan plan;
    plan.deployment = textOf(given, "--deployment");
    if (plan.deployment != "wales" && plan.deployment != "caribbean")
        return usageError("--deployment: expected wales or caribbean");
    const auto seed = numberOf(given, "--seed");
    const auto seconds = numberOf(given, "--seconds");
    plan.perSecond = positiveNumberOf(given, "--rate");
    if (!parseTraceShape(textOf(given, "SHAPE"), plan.shape) || seed < 0 || seconds <= 0 || plan.perSecond == 0)
        return usageError("expected calm, rain, flood or poison, and whole numbers above 0");
    plan.seed = static_cast<std::uint64_t>(seed);
    plan.length = std::chrono::seconds(seconds);
    const auto made = makeTrace(plan);
    std::cout << encodeTraceHead(made.deployment);
    for (const auto& record : made.records)
        std::cout << encodeTraceRecord(record);
    return exitOk;
}

int run(const arguments& given, const session& connection, output_format format)
{
    const auto kind = textOf(given, "KIND");
    const auto name = textOf(given, "NAME");
    if (isSet(given, "apply")) {
        const auto timeout = numberOf(given, "--timeout");
        if (timeout < 0)
            return usageError("--timeout: expected a whole number of seconds");
        return apply(connection, { textOf(given, "-f"), isSet(given, "--dry-run"), isSet(given, "--wait"), timeout }, format);
    }
    if (isSet(given, "diff"))
        return diffFile(connection, textOf(given, "-f"), format);
    if (isSet(given, "get"))
        return getObjects(connection, kind, name, textOf(given, "-l"), format);
    if (isSet(given, "describe"))
        return describe(connection, kind, name);
    if (isSet(given, "label"))
        return label(connection, kind, name, listOf(given, "CHANGE"), format);
    if (isSet(given, "delete"))
        return deleteObject(connection, kind, name, format);
    if (isSet(given, "grant"))
        return grantKey(connection, textOf(given, "--account"), listOf(given, "--scope"), format);
    if (isSet(given, "withdraw"))
        return withdrawKey(connection, textOf(given, "ID"), format);
    if (isSet(given, "history")) {
        const auto limit = numberOf(given, "--limit");
        return limit < 0 ? usageError("--limit: expected a whole number") : history(connection, limit, format);
    }
    if (isSet(given, "rollback")) {
        const auto to = numberOf(given, "NUMBER");
        return to < 0 ? usageError("NUMBER: expected the number of a change") : rollback(connection, to, format);
    }
    if (isSet(given, "explain"))
        return explain(connection, textOf(given, "SUBJECT"), textOf(given, "ID"), format);
    if (isSet(given, "burn"))
        return burn(connection, textOf(given, "--html"), format);
    if (isSet(given, "log"))
        return setLogLevel(connection, textOf(given, "LEVEL"), format);
    if (isSet(given, "drain"))
        return drain(connection, format);
    if (isSet(given, "runs"))
        return list(connection, "/v1/runs", "runs", { "run", "coordinator", "trainer_version", "acknowledged", "open_steps", "queued", "generating", "sealed" }, format);
    if (isSet(given, "targets"))
        return list(connection, "/v1/targets", "targets", { "id", "pool", "failure_domain", "kind", "state", "incarnation", "address" }, format);
    if (isSet(given, "usage")) {
        const auto window = textOf(given, "--window");
        return list(connection, "/v1/usage" + (window.empty() ? "" : "?window=" + encodeQuery(window)), "rows",
            { "window", "account", "model", "version", "pool", "heading", "requests", "prefilled", "cached", "generated", "target_ms", "late_for" }, format);
    }
    return list(connection, "/v1/status", "instances", { "instance", "failure_domain", "revision", "draining", "key_value_available", "open_requests", "requests", "resident_bytes" }, format);
}

} // namespace

int main(int argc, char** argv)
{
    const auto given = docopt::docopt(usageText, { argv + 1, argv + argc }, true, "");
    if (isSet(given, "bootstrap"))
        return bootstrapKey();
    if (isSet(given, "replay"))
        return replay(given);
    if (isSet(given, "trace"))
        return writeTrace(given);
    if (isSet(given, "version")) {
        std::cout << "lovagectl " << versionText << "\n";
        return exitOk;
    }
    const auto format = textOf(given, "-o");
    if (format != "table" && format != "json")
        return usageError("-o: expected table or json");
    session connection { textOf(given, "--server"), {}, textOf(given, "--ca") };
    if (const auto file = textOf(given, "--key"); !file.empty()) {
        std::ifstream in(file);
        if (!(in >> connection.key))
            return usageError(file + ": can't read a key");
    } else if (const char* key = std::getenv("LOVAGERAIL_KEY")) {
        connection.key = key;
    }
    return run(given, connection, format == "json" ? output_format::Json : output_format::Table);
}
