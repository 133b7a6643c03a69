// Main functions of the daemon on the platform: the entry instance, a single-threaded
// gateway that serves callers, targets, the metadata store and the other instances from
// one event loop, and the witness.
#pragma once

#include "edge/entry_settings.h"

#include <string>

namespace lovagerail::edge {

// Runs until a shutdown by SIGTERM or SIGINT is complete; returns the exit code. The settings
// in `file` are reloaded on SIGHUP and when the file changes.
int serveEntry(const entry_settings& settings, const std::string& file);

// An instance on a machine with a disk. All persistent state is in the metadata store, so
// it has nothing to do but to wait for SIGTERM or SIGINT.
int serveWitness(const entry_settings& settings);

} // namespace lovagerail::edge
