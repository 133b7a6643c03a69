// Standard base64 encoding and decoding, with padding.
#pragma once

#include "error.h"

#include <string>
#include <string_view>

namespace lovagerail {

std::string toBase64(std::string_view bytes);
// Fails with Corrupt if the text is not valid base64.
result<std::string> fromBase64(std::string_view text);

} // namespace lovagerail
