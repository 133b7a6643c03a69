// Addresses of peers as other processes state them.
#pragma once

#include <string_view>

namespace lovagerail {

// Whether the text is "IP:port" with an IPv4 number or an IPv6 number in brackets, and a port from
// 1 to 65535 without leading zeros.
bool isIpEndpoint(std::string_view text);

} // namespace lovagerail
