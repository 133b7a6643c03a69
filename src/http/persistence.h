// Whether a connection stays open after an answer, and for how long, as the answer's headers say
// (RFC 9112, section 9.3; the parameter "timeout" of Keep-Alive, RFC 2068, section 19.7.1).
#pragma once

#include "http/client.h"

#include <chrono>
#include <optional>

namespace lovagerail::http {

struct persistence {
    bool closes = false; // the peer closes the connection after this answer
    std::optional<std::chrono::seconds> idleTimeout {}; // for which the peer keeps it open while idle, if stated
};

// Names in `headers` must be in lower case. A timeout that is not a number, or above one day, counts
// as not stated.
persistence persistenceOf(const header_list& headers);

} // namespace lovagerail::http
