// Which transfer with a client to break off when memory runs out: one that stopped short or
// trickles, so that those which go on, and ordinary requests, find room. Pure.
#pragma once

#include "types.h"

#include <cstddef>
#include <optional>
#include <span>

namespace lovagerail {

enum class transfer_kind {
    Body, // of a request, which arrives
    Answer, // complete here, and read by the client
    Stream, // an answer that is still made: its pace is not that of the client
};

struct transfer_progress {
    std::size_t heldBytes = 0;
    std::size_t movedBytes = 0; // received of a body, or sent of an answer
    duration age {};
    duration sinceLastByte {};
    transfer_kind kind = transfer_kind::Body;
};

struct stall_settings {
    duration minAge = std::chrono::seconds(1); // younger transfers are not judged
    duration stalledAfter = std::chrono::seconds(1); // without a byte of a body
    duration unreadAfter = std::chrono::seconds(2); // without a byte that was read of an answer or a stream
    double minBytesPerSecond = 16 * 1024; // below, a body or an answer trickles
};

// The index of the transfer to break off; empty if all make progress. Bodies go before answers, whose work is done;
// among either, the one that holds the most.
std::optional<std::size_t> stalledTransfer(std::span<const transfer_progress> transfers, const stall_settings& settings = {});

} // namespace lovagerail
