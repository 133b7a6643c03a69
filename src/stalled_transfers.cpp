// The choice among stalled transfers; see stalled_transfers.h.
#include "stalled_transfers.h"

#include <utility>

namespace lovagerail {

namespace {

    bool isStalled(const transfer_progress& transfer, const stall_settings& settings)
    {
        if (transfer.age < settings.minAge)
            return false;
        if (transfer.sinceLastByte >= (transfer.isAnswer ? settings.unreadAfter : settings.stalledAfter))
            return true;
        const double seconds = std::chrono::duration<double>(transfer.age).count();
        return static_cast<double>(transfer.movedBytes) < seconds * settings.minBytesPerSecond;
    }

} // namespace

std::optional<std::size_t> stalledTransfer(std::span<const transfer_progress> transfers, const stall_settings& settings)
{
    std::optional<std::size_t> out;
    const auto rank = [&transfers](std::size_t index) { return std::pair(!transfers[index].isAnswer, transfers[index].heldBytes); };
    for (std::size_t index = 0; index < transfers.size(); ++index) {
        if (transfers[index].heldBytes == 0 || !isStalled(transfers[index], settings))
            continue;
        if (!out || rank(index) > rank(*out))
            out = index;
    }
    return out;
}

} // namespace lovagerail
