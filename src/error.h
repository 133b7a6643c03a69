// The error type of all modules: what went wrong, in which step, and with which peer.
#pragma once

#include <ostream>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace lovagerail {

// Kind of failure; callers decide by this alone.
enum class error_code {
    InvalidArgument, // the input violates a documented rule
    NotFound,
    Conflict, // a concurrent change came first
    PermissionDenied,
    Unavailable, // the peer is unreachable or refuses for now; the operation had no effect
    Unknown, // the answer was lost: the operation may or may not have taken effect
    ResourceExhausted, // a limit, quota or ring buffer is full
    DeadlineExceeded,
    Corrupt, // data is malformed or fails its check
    Unsupported,
    Internal,
};

// The other party of the failed operation.
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
    std::string detail; // for humans; must never contain a key or a prompt
};

template <typename T>
using result = tl::expected<T, error>;

std::string_view toString(error_code code);
std::string_view toString(peer_kind peer);

// One line for logs and operators: "step at peer (name): code: detail".
std::string toString(const error& failure);
std::ostream& operator<<(std::ostream& out, const error& failure);

// Make a failure to return from a function with type result<T>.
tl::unexpected<error> failure(error_code code, std::string_view step, std::string detail);
tl::unexpected<error> failure(error_code code, std::string_view step, peer_kind peer, std::string peerName, std::string detail);

} // namespace lovagerail
