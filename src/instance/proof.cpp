// HMAC-SHA256 with OpenSSL, and reading of the secret's file.
#include "instance/proof.h"

#include <array>
#include <fstream>
#include <iterator>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace lovagerail::instance {

std::string makeProof(std::string_view secret, std::string_view path, std::string_view body)
{
    if (secret.empty())
        return {};
    const std::string message = std::string(path) + "\n" + std::string(body);
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes {};
    unsigned length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), reinterpret_cast<const unsigned char*>(message.data()),
        message.size(), bytes.data(), &length);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string out;
    for (unsigned i = 0; i < length; ++i) {
        out += digits[bytes[i] >> 4];
        out += digits[bytes[i] & 0xf];
    }
    return out;
}

bool checkProof(std::string_view secret, std::string_view path, std::string_view body, std::string_view proof)
{
    if (secret.empty())
        return true;
    const auto expected = makeProof(secret, path, body);
    return expected.size() == proof.size() && CRYPTO_memcmp(expected.data(), proof.data(), expected.size()) == 0;
}

result<std::string> readSecret(const std::string& file)
{
    std::ifstream in(file);
    if (!in)
        return failure(error_code::NotFound, "secret.read", peer_kind::File, file, "can't be opened");
    std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    while (!text.empty() && (text.back() == '\n' || text.back() == '\r' || text.back() == ' '))
        text.pop_back();
    constexpr std::size_t minSecretLength = 16;
    if (text.size() < minSecretLength)
        return failure(error_code::InvalidArgument, "secret.read", peer_kind::File, file, "expected at least 16 characters");
    return text;
}

} // namespace lovagerail::instance
