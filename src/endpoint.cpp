// Splits an address at its last colon and checks both parts.
#include "endpoint.h"

#include <arpa/inet.h>
#include <charconv>
#include <cstdint>
#include <string>

namespace lovagerail {

bool isIpEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;

    // Step 1. The port.
    const auto digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, fault] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (digits.empty() || digits.front() == '0' || fault != std::errc() || end != digits.data() + digits.size())
        return false;

    // Step 2. The IP. inet_pton() reads up to the first zero byte.
    std::string ip(text.substr(0, colon));
    if (ip.find('\0') != std::string::npos)
        return false;
    in6_addr ignored {};
    const bool isBracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
    if (isBracketed)
        ip = ip.substr(1, ip.size() - 2);
    return inet_pton(isBracketed ? AF_INET6 : AF_INET, ip.c_str(), &ignored) == 1;
}

} // namespace lovagerail
