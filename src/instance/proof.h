// Proof that a message between instances comes from one that holds the shared
// secret: an HMAC-SHA256 over path and body. Messages are idempotent, so a
// repeat of an old one does no harm and needs no nonce.
#pragma once

#include "error.h"

#include <string>
#include <string_view>

namespace lovagerail::instance {

constexpr std::string_view proofHeader = "x-instance-proof";

// Hex HMAC; empty if the secret is empty.
std::string makeProof(std::string_view secret, std::string_view path, std::string_view body);
// Takes the same time wherever the texts differ. Without a secret nothing is asked for.
bool checkProof(std::string_view secret, std::string_view path, std::string_view body, std::string_view proof);

// The secret's file, without blanks around its text.
result<std::string> readSecret(const std::string& file);

} // namespace lovagerail::instance
