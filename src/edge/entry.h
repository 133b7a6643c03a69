// An entry instance on the users' platform: one event loop for callers, targets, the
// store and the other instances.
#pragma once

#include "edge/entry_settings.h"

#include <string>

namespace lovagerail::edge {

// Runs until SIGTERM has been carried out; returns the exit code. `file` is read again
// on SIGHUP and when it changes.
int serveEntry(const entry_settings& values, const std::string& file);

// An instance on a machine with a disk. All that lasts stands in the store, so it has
// nothing to keep and waits for its end.
int serveWitness(const entry_settings& values);

} // namespace lovagerail::edge
