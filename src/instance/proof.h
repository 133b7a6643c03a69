// Authentication of messages between instances by a shared secret: an HMAC-SHA256 over path
// and body. Messages are idempotent, so a replay of an old one does no harm, and no nonce is
// needed.
#pragma once

#include "error.h"

#include <string>
#include <string_view>

namespace lovagerail::instance {

constexpr std::string_view proofHeader = "x-instance-proof";

// Hex HMAC; empty if the secret is empty.
std::string makeProof(std::string_view secret, std::string_view path, std::string_view body);
// Compares in constant time. Without a secret every message is accepted.
bool checkProof(std::string_view secret, std::string_view path, std::string_view body, std::string_view proof);

// Reads the secret from its file, without trailing blanks and line ends.
result<std::string> readSecret(const std::string& file);

} // namespace lovagerail::instance
