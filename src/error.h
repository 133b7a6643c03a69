// The error that all parts return: what went wrong, at which step, at which peer.
#pragma once

#include <ostream>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace lovagerail {

// What kind of failure it was; callers branch on this alone.
enum class error_code {
    InvalidArgument, // the input breaks a stated rule
    NotFound,
    Conflict, // somebody else changed it first
    PermissionDenied,
    Unavailable, // the peer can't be reached or refuses for now; nothing happened
    Unknown, // the answer was lost: it may or may not have taken effect
    ResourceExhausted, // a limit, quota or ring is full
    DeadlineExceeded,
    Corrupt, // bytes that fail their check
    Unsupported,
    Internal,
};

// Who was spoken to when the error arose.
enum class peer_kind {
    None,
    Caller,
    Target,
    KeyValueService,
    Platform,
    Instance,
    Trainer,
    Judge,
    WeightStore,
    Operator,
    File,
};

struct error {
    error_code code = error_code::Internal;
    std::string step; // e.g. "config.validate"
    peer_kind peer = peer_kind::None;
    std::string peerName; // address or name of the peer, may be empty
    std::string detail; // for people; never holds a key or a prompt
};

template <typename T>
using result = tl::expected<T, error>;

std::string_view toString(error_code code);
std::string_view toString(peer_kind peer);

// One line for logs and operators: "step at peer (name): code: detail".
std::string toString(const error& failure);
std::ostream& operator<<(std::ostream& out, const error& failure);

// Shorthand for returning a failure from a function that yields result<T>.
tl::unexpected<error> failure(error_code code, std::string_view step, std::string detail);
tl::unexpected<error> failure(error_code code, std::string_view step, peer_kind peer, std::string peerName, std::string detail);

} // namespace lovagerail
