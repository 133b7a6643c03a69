// Base64 by OpenSSL's EVP block functions; decoding removes their padding.
#include "base64.h"

#include <openssl/evp.h>

namespace lovagerail {

std::string toBase64(std::string_view bytes)
{
    std::string out((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const auto length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
        reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    out.resize(static_cast<std::size_t>(length));
    return out;
}

result<std::string> fromBase64(std::string_view text)
{
    if (text.empty())
        return std::string();
    if (text.size() % 4 != 0)
        return failure(error_code::Corrupt, "base64.decode", "the length of the text is not a multiple of 4");
    std::string out(text.size() / 4 * 3, '\0');
    const auto length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
        reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    if (length < 0)
        return failure(error_code::Corrupt, "base64.decode", "the text contains a character that is not base64");
    // EVP_DecodeBlock counts padding characters as decoded bytes.
    auto size = static_cast<std::size_t>(length);
    if (text.back() == '=')
        --size;
    if (text[text.size() - 2] == '=')
        --size;
    out.resize(size);
    return out;
}

} // namespace lovagerail
