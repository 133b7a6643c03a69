// lovageraild: one daemon, all alike, on every entry instance.
#include "daemon/clock.h"
#include "daemon/control_thread.h"
#include "edge/entry.h"
#include "instance/proof.h"
#include "log.h"
#include "settings.h"
#include "version.h"

#include <csignal>
#include <cstdio>
#include <docopt/docopt.h>
#include <fstream>
#include <iterator>
#include <malloc.h>
#include <poll.h>
#include <sys/signalfd.h>
#include <unistd.h>

namespace {

using namespace lovagerail;

constexpr const char* usageText = R"(Rollout service daemon.

Usage:
  lovageraild --config FILE [--check]
  lovageraild (entry | witness) [--config FILE] [--check]
  lovageraild (-h | --help)
  lovageraild --version

  entry          Run as an entry instance on the users' platform.
  witness        Run on one of its machines with a disk.

Options:
  --config FILE  Settings in TOML; entry and witness take $LOVAGERAIL_CONFIG without it.
  --check        Check the settings and end: exit code 0 if they are right, 2 if not.
  -h --help      Show this text.
  --version      Show the version.

Signals: SIGTERM and SIGINT begin a planned stop, a second one ends at once.
)";

constexpr int exitOk = 0;
constexpr int exitFailure = 1;
constexpr int exitBadSettings = 2;

// Signals arrive through a descriptor, so that no handler interrupts a thread.
int openSignals()
{
    sigset_t wanted;
    sigemptyset(&wanted);
    sigaddset(&wanted, SIGTERM);
    sigaddset(&wanted, SIGINT);
    sigprocmask(SIG_BLOCK, &wanted, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signalfd(-1, &wanted, SFD_CLOEXEC);
}

// True if a signal came within the time.
bool waitForSignal(int descriptor, int milliseconds)
{
    pollfd waiting { descriptor, POLLIN, 0 };
    if (poll(&waiting, 1, milliseconds) <= 0)
        return false;
    signalfd_siginfo info {};
    return read(descriptor, &info, sizeof info) == static_cast<ssize_t>(sizeof info);
}

bool readPem(const std::string& file, std::string& out)
{
    if (file.empty())
        return true;
    std::ifstream in(file);
    out.assign(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>());
    return static_cast<bool>(in) || !out.empty();
}

// Waits for the planned stop to finish, its time to pass, or a second signal.
void drain(daemon::control_thread& control, const settings& values, int signals)
{
    constexpr int pollMs = 50;
    control.drain();
    const auto deadline = daemon::monotonicNow() + values.timing.drain;
    while (!control.drained() && daemon::monotonicNow() < deadline) {
        if (waitForSignal(signals, pollMs)) {
            logEvent(log_level::Warning, "main", "second_signal");
            return;
        }
    }
}

int serve(const settings& values)
{
    // Few arenas: each would keep its own freed memory, and control has a small share.
    constexpr int mostArenas = 2;
    mallopt(M_ARENA_MAX, mostArenas);
    const int signals = openSignals();
    log_level level = log_level::Info;
    parseLogLevel(values.log.level, level);
    startLog(values.instance.name, level);

    // Step 1. Secrets and certificates.
    std::string secret;
    if (!values.security.instanceSecretFile.empty()) {
        auto text = instance::readSecret(values.security.instanceSecretFile);
        if (!text) {
            logEvent(log_level::Error, "main", "secret", { { "error", toString(text.error()) } });
            stopLog();
            return exitBadSettings;
        }
        secret = std::move(*text);
    }
    http::tls_files tls;
    if (!readPem(values.listen.certificateFile, tls.certificatePem) || !readPem(values.listen.keyFile, tls.keyPem)) {
        logEvent(log_level::Error, "main", "tls", { { "error", "certificate or key can't be read" } });
        stopLog();
        return exitBadSettings;
    }

    // Step 2. Run. The calendar time of the start names this incarnation.
    const incarnation life(static_cast<std::uint64_t>(daemon::wallNow().time_since_epoch().count()));
    int exitCode = exitOk;
    {
        daemon::control_thread control(values, life, std::move(secret));
        const auto started = control.start(tls);
        if (!started) {
            logEvent(log_level::Error, "main", "start", { { "error", toString(started.error()) } });
            exitCode = exitFailure;
        } else {
            logEvent(log_level::Info, "main", "started", { { "callers", values.listen.callers }, { "operators", values.listen.operators } });
            // A signal or an operator asks for the planned stop.
            constexpr int pollMs = 100;
            while (!control.draining() && !waitForSignal(signals, pollMs)) { }
            logEvent(log_level::Info, "main", "stopping");
            drain(control, values, signals);
        }
        control.stop();
    }
    logEvent(log_level::Info, "main", "ended");
    stopLog();
    return exitCode;
}

} // namespace

namespace {

// Prints all faults of a settings file; true if there are none.
bool report(const std::vector<settings_fault>& faults)
{
    for (const auto& fault : faults)
        std::fprintf(stderr, "%s\n", toString(fault).c_str());
    return faults.empty();
}

int checked()
{
    std::printf("settings are right\n");
    return exitOk;
}

int runOnPlatform(const std::map<std::string, docopt::value>& given)
{
    const char* named = std::getenv("LOVAGERAIL_CONFIG");
    const std::string file = given.at("--config") ? given.at("--config").asString() : named == nullptr ? ""
                                                                                                       : named;
    const auto reading = edge::readEntrySettingsFile(file);
    if (!report(reading.faults))
        return exitBadSettings;
    if (given.at("--check").asBool())
        return checked();
    return given.at("entry").asBool() ? edge::serveEntry(reading.value, file) : edge::serveWitness(reading.value);
}

} // namespace

int main(int argc, char** argv)
{
    const auto given = docopt::docopt(usageText, { argv + 1, argv + argc }, true, std::string("lovageraild ") + versionText);
    if (given.at("entry").asBool() || given.at("witness").asBool())
        return runOnPlatform(given);
    const auto reading = readSettingsFile(given.at("--config").asString());
    if (!report(reading.faults))
        return exitBadSettings;
    return given.at("--check").asBool() ? checked() : serve(reading.value);
}
