// Shares of a machine's memory and descriptors; see intake_limits.h.
#include "intake_limits.h"

#include <algorithm>

namespace lovagerail {

namespace {

    // Of the memory. The rest is the process itself: its code, what it knows of targets and
    // instances, its own calls, and what the allocator does not return.
    constexpr double clientShare = 0.65;
    constexpr double ownShare = 0.095; // calls of other instances and of the platform
    constexpr double ownConnectionShare = 0.6; // of that
    // Of the clients' memory.
    constexpr double connectionShare = 0.3;
    constexpr double largeShare = 0.68; // a body of 32 MiB and an equal answer fit on a machine of 160 MB
    constexpr double batchShare = 0.4;
    constexpr double ordinaryShare = 0.15; // kept free of large holdings and batches

    // Files that are no sockets, connections to the store, the platform and other instances, and
    // connections to targets that are kept or run items of batches.
    constexpr std::uint64_t ownDescriptors = 200 + 128;
    // Of the other descriptors.
    constexpr double callerConnectionShare = 0.4;
    constexpr double callerRequestShare = 0.2; // a request may be at two targets at once
    constexpr double instanceShare = 0.1; // of each: connections and requests
    constexpr std::uint32_t internalConnections = 32;
    constexpr std::uint32_t minConnections = 16;
    constexpr std::uint32_t maxConnections = 16 * 1024;

    byte_count share(byte_count of, double part) { return byte_count(static_cast<std::uint64_t>(static_cast<double>(of.count()) * part)); }

    std::uint32_t boundedCount(double count) { return static_cast<std::uint32_t>(std::clamp<double>(count, minConnections, maxConnections)); }

} // namespace

intake_limits intakeLimitsFor(const machine_resources& machine)
{
    intake_limits out;
    const auto total = share(machine.memory, clientShare);
    out.memory.total = total;
    out.memory.keptForOrdinary = share(total, ordinaryShare);
    out.memory.of(memory_use::Own) = share(machine.memory, ownShare);
    out.memory.of(memory_use::Connection) = share(total, connectionShare);
    out.memory.of(memory_use::Ordinary) = total;
    out.memory.of(memory_use::Large) = share(total, largeShare);
    out.memory.of(memory_use::Batch) = share(total, batchShare);

    const auto usable = static_cast<double>(machine.descriptors > ownDescriptors ? machine.descriptors - ownDescriptors : 0);
    const auto connectionsIn = [](byte_count memory) { return static_cast<double>(memory.count()) / static_cast<double>(connectionBytes); };
    const double callers = std::min(usable * callerConnectionShare, connectionsIn(out.memory.of(memory_use::Connection)));
    const double instances = std::min(usable * instanceShare, connectionsIn(share(out.memory.of(memory_use::Own), ownConnectionShare)));
    out.callers = { boundedCount(callers), boundedCount(usable * callerRequestShare) };
    out.instances = { boundedCount(instances), boundedCount(usable * instanceShare) };
    out.internal = { internalConnections, internalConnections };
    return out;
}

} // namespace lovagerail
