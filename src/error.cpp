// Conversion of errors to text, and helpers that make them.
#include "error.h"

#include <utility>

namespace lovagerail {

std::string_view toString(error_code code)
{
    switch (code) {
    case error_code::InvalidArgument:
        return "invalid argument";
    case error_code::NotFound:
        return "not found";
    case error_code::Conflict:
        return "conflict";
    case error_code::PermissionDenied:
        return "permission denied";
    case error_code::Unavailable:
        return "unavailable";
    case error_code::Unknown:
        return "outcome unknown";
    case error_code::ResourceExhausted:
        return "resource exhausted";
    case error_code::DeadlineExceeded:
        return "deadline exceeded";
    case error_code::Corrupt:
        return "corrupt";
    case error_code::Unsupported:
        return "unsupported";
    case error_code::Internal:
        return "internal";
    }
    return "internal";
}

std::string_view toString(peer_kind peer)
{
    switch (peer) {
    case peer_kind::None:
        return "self";
    case peer_kind::Caller:
        return "caller";
    case peer_kind::Target:
        return "target";
    case peer_kind::KeyValueService:
        return "key-value service";
    case peer_kind::Platform:
        return "platform";
    case peer_kind::Instance:
        return "instance";
    case peer_kind::Trainer:
        return "trainer";
    case peer_kind::Judge:
        return "judge";
    case peer_kind::WeightStore:
        return "weight store";
    case peer_kind::Operator:
        return "operator";
    case peer_kind::File:
        return "file";
    }
    return "self";
}

std::string toString(const error& failure)
{
    std::string text = failure.step;
    if (failure.peer != peer_kind::None) {
        text += " at ";
        text += toString(failure.peer);
    }
    if (!failure.peerName.empty())
        text += " (" + failure.peerName + ")";
    text += ": ";
    text += toString(failure.code);
    if (!failure.detail.empty())
        text += ": " + failure.detail;
    return text;
}

std::ostream& operator<<(std::ostream& out, const error& failure)
{
    return out << toString(failure);
}

tl::unexpected<error> failure(error_code code, std::string_view step, std::string detail)
{
    return failure(code, step, peer_kind::None, {}, std::move(detail));
}

tl::unexpected<error> failure(error_code code, std::string_view step, peer_kind peer, std::string peerName, std::string detail)
{
    return tl::unexpected<error>(error { code, std::string(step), peer, std::move(peerName), std::move(detail) });
}

} // namespace lovagerail
