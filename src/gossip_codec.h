// Codec of the messages between instances: membership, gossip entries and the sender's
// configuration revision. MessagePack, since it needs about half the bytes of JSON.
//
// Size: maxUpdatesPerMessage members of at most 300 bytes, maxEntryBytesPerMessage of
// entries and 200 bytes of digests: at most 5 KB, about 1.5 KB with usual names.
// Truncated, too long and malformed bytes are Corrupt.
#pragma once

#include "base64.h"
#include "error.h"
#include "gossip.h"
#include "membership.h"

#include <string>
#include <string_view>

namespace lovagerail {

struct gossip_message {
    member_message members;
    gossip_payload gossip;
    revision inForce; // the sender's configuration revision
    // Time since the key-value service last confirmed that no revision is newer; -1 =
    // never.
    std::chrono::milliseconds confirmedAgo { -1 };
};

std::string encodeGossip(const gossip_message& message);
result<gossip_message> decodeGossip(std::string_view bytes);

} // namespace lovagerail
