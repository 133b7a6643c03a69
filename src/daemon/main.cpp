// Entry point of lovageraild, the daemon that runs identically on every entry instance.
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

// Signals are received through a file descriptor, so that no handler interrupts a thread.
int openSignals()
{
    sigset_t handled;
    sigemptyset(&handled);
    sigaddset(&handled, SIGTERM);
    sigaddset(&handled, SIGINT);
    sigprocmask(SIG_BLOCK, &handled, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signalfd(-1, &handled, SFD_CLOEXEC);
}

// True if a signal arrived within the time.
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

// Waits until the graceful shutdown is complete, its time limit has passed, or a second signal
// arrives.
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
    // Limits the malloc arenas: each one retains its own freed memory, and the memory budget of
    // the control thread is small.
    constexpr int maxArenas = 2;
    mallopt(M_ARENA_MAX, maxArenas);
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
        logEvent(log_level::Error, "main", "tls", { { "error", "the certificate file or the key file cannot be read" } });
        stopLog();
        return exitBadSettings;
    }

    // Step 2. Run. The wall-clock time of the start identifies this incarnation.
    const incarnation incarnationNumber(static_cast<std::uint64_t>(daemon::wallNow().time_since_epoch().count()));
    int exitCode = exitOk;
    {
        daemon::control_thread control(values, incarnationNumber, std::move(secret));
        const auto started = control.start(tls);
        if (!started) {
            logEvent(log_level::Error, "main", "start", { { "error", toString(started.error()) } });
            exitCode = exitFailure;
        } else {
            logEvent(log_level::Info, "main", "started", { { "callers", values.listen.callers }, { "operators", values.listen.operators } });
            // Run until a signal or an operator requests the graceful shutdown.
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

// Prints all errors of a settings file; true if there are none.
bool printFaults(const std::vector<settings_fault>& faults)
{
    for (const auto& fault : faults)
        std::fprintf(stderr, "%s\n", toString(fault).c_str());
    return faults.empty();
}

int printSettingsOk()
{
    std::printf("settings are right\n");
    return exitOk;
}

int runOnPlatform(const std::map<std::string, docopt::value>& arguments)
{
    const char* fromEnvironment = std::getenv("LOVAGERAIL_CONFIG");
    const std::string file = arguments.at("--config") ? arguments.at("--config").asString() : fromEnvironment == nullptr ? ""
                                                                                                                         : fromEnvironment;
    const auto reading = edge::readEntrySettingsFile(file);
    if (!printFaults(reading.faults))
        return exitBadSettings;
    if (arguments.at("--check").asBool())
        return printSettingsOk();
    return arguments.at("entry").asBool() ? edge::serveEntry(reading.value, file) : edge::serveWitness(reading.value);
}

} // namespace

int main(int argc, char** argv)
{
    const auto arguments = docopt::docopt(usageText, { argv + 1, argv + argc }, true, std::string("lovageraild ") + versionText);
    if (arguments.at("entry").asBool() || arguments.at("witness").asBool())
        return runOnPlatform(arguments);
    const auto reading = readSettingsFile(arguments.at("--config").asString());
    if (!printFaults(reading.faults))
        return exitBadSettings;
    return arguments.at("--check").asBool() ? printSettingsOk() : serve(reading.value);
}
