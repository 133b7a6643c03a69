// The choice among stalled transfers; see stalled_transfers.h.
#include "stalled_transfers.h"

#include <utility>

namespace lovagerail {

namespace {

    bool isStalled(const transfer_progress& transfer, const stall_settings& settings)
    {
        if (transfer.age < settings.minAge)
            return false;
        if (transfer.sinceLastByte >= (transfer.kind == transfer_kind::Body ? settings.stalledAfter : settings.unreadAfter))
            return true;
        if (transfer.kind == transfer_kind::Stream)
            return false;
        const double seconds = std::chrono::duration<double>(transfer.age).count();
        return static_cast<double>(transfer.movedBytes) < seconds * settings.minBytesPerSecond;
    }

} // namespace

std::optional<std::size_t> stalledTransfer(std::span<const transfer_progress> transfers, const stall_settings& settings)
{
    std::optional<std::size_t> out;
    const auto rank = [&transfers](std::size_t index) { return std::pair(transfers[index].kind == transfer_kind::Body, transfers[index].heldBytes); };
    for (std::size_t index = 0; index < transfers.size(); ++index) {
        if (transfers[index].heldBytes == 0 || !isStalled(transfers[index], settings))
            continue;
        if (!out || rank(index) > rank(*out))
            out = index;
    }
    return out;
}

} // namespace lovagerail
