// One message between instances: what membership and news put into it, and the
// sender's own revision. MessagePack carries it in about half the bytes of JSON.
//
// Bounds: mostUpdates members of at most 300 bytes, mostNewsBytes of entries and
// 200 bytes of digests: 5 KB at the very most, about 1.5 KB with usual names.
// Bytes that are cut off, too long or of another shape are Corrupt.
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
    news_part news;
    revision inForce; // of the sender
    std::chrono::milliseconds confirmedAgo { -1 }; // since the service said that nothing is newer; -1 = never
};

std::string encodeGossip(const gossip_message& message);
result<gossip_message> decodeGossip(std::string_view bytes);

// For carriage in JSON.

} // namespace lovagerail
