// Requests to targets that another instance sends on: how they travel between instances. Headers
// and body of the request are passed on as they are, and so is the answer.
#pragma once

#include "http/client.h"
#include "http/server.h"
#include "types.h"

#include <optional>

namespace lovagerail::edge {

struct relayed_call {
    target_id target;
    incarnation targetIncarnation;
    http::request request; // without the URL: the relay knows the target's address
};

// The call to the relay at `address` (IP:port). `original` is the request as it would be sent to the target.
http::request encodeRelayedCall(const http::request& original, const target_id& target, incarnation targetIncarnation, const std::string& address);
// Its request shares the body with the exchange. Empty if it is not such a call.
std::optional<relayed_call> decodeRelayedCall(const http::exchange_ptr& received);

// What the relay says of the request in the head of its answer.
enum class relay_outcome {
    NotRelayed, // nothing was sent to the target
    PathBroken, // nothing was sent, as the relay does not reach the target
    Silent, // sent to the target, no answer: it may have run
    Answered, // the rest of the head, and the body, are the target's
};
// `framing` is that of the target's answer, which the relay frames anew.
void setRelayOutcome(http::header_list& headers, relay_outcome outcome, http::answer_framing framing = http::answer_framing::None);
struct relay_head {
    relay_outcome outcome = relay_outcome::NotRelayed;
    // The target's answer ended with its connection, or the relay, of another version, does not say how it ended: the end
    // of the relay's answer proves nothing.
    bool isEndUnproven = false;
};
// Removes what setRelayOutcome() has added. An answer without it is not a relay's; an unknown outcome is Silent.
relay_head takeRelayHead(http::header_list& headers);

} // namespace lovagerail::edge
