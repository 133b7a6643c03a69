// Creates, parses and checks API keys, and merges deny marks; see keys.h.
#include "keys.h"

#include "object_codec.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <memory>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <utility>

namespace lovagerail {

namespace {

    constexpr std::string_view rawPrefix = "lr_";
    constexpr std::size_t maxHeaderBytes = 1'024;
    constexpr std::size_t maxRawKeyBytes = 256;
    constexpr std::size_t secretDigits = 43; // base64url of keySecretBytes, unpadded
    constexpr std::size_t idDigits = 2 * keyIdBytes;

    std::string encodeHex(std::span<const unsigned char> bytes)
    {
        constexpr std::string_view digits = "0123456789abcdef";
        std::string text;
        text.reserve(2 * bytes.size());
        for (const unsigned char byte : bytes) {
            text += digits[byte >> 4];
            text += digits[byte & 15];
        }
        return text;
    }

    int hexDigit(char c)
    {
        if (c >= '0' && c <= '9')
            return c - '0';
        if (c >= 'a' && c <= 'f')
            return c - 'a' + 10;
        return -1;
    }

    // Empty if the text is not valid hex.
    std::vector<unsigned char> decodeHex(std::string_view text)
    {
        std::vector<unsigned char> bytes;
        if (text.size() % 2 != 0)
            return bytes;
        for (std::size_t i = 0; i < text.size(); i += 2) {
            const int high = hexDigit(text[i]);
            const int low = hexDigit(text[i + 1]);
            if (high < 0 || low < 0)
                return {};
            bytes.push_back(static_cast<unsigned char>(high * 16 + low));
        }
        return bytes;
    }

    std::string base64url(std::span<const unsigned char> bytes)
    {
        constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
        std::string text;
        std::uint32_t bitBuffer = 0;
        int bits = 0;
        for (const unsigned char byte : bytes) {
            bitBuffer = (bitBuffer << 8) | byte;
            bits += 8;
            while (bits >= 6) {
                bits -= 6;
                text += digits[(bitBuffer >> bits) & 63];
            }
        }
        if (bits > 0)
            text += digits[(bitBuffer << (6 - bits)) & 63];
        return text;
    }

    bool isBase64Url(char c)
    {
        return std::isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_';
    }

    bool isBlank(char c)
    {
        return c == ' ' || c == '\t';
    }

    std::string_view trimmed(std::string_view text)
    {
        while (!text.empty() && isBlank(text.front()))
            text.remove_prefix(1);
        while (!text.empty() && isBlank(text.back()))
            text.remove_suffix(1);
        return text;
    }

    // Error messages never quote the input: it may contain a secret in the wrong place.
    tl::unexpected<error> malformed(std::string_view step, std::string expected)
    {
        return failure(error_code::InvalidArgument, step, std::move(expected));
    }

} // namespace

result<new_key> makeKey(std::span<const unsigned char> random)
{
    if (random.size() != keyRandomBytes)
        return malformed("keys.make", "expected " + std::to_string(keyRandomBytes) + " random bytes");
    const std::string id = encodeHex(random.first(keyIdBytes));
    const std::string secret = base64url(random.subspan(keyIdBytes, keySecretBytes));
    new_key created;
    created.raw = std::string(rawPrefix) + id + "_" + secret;
    created.object.meta.name = id;
    created.object.salt = encodeHex(random.last(keySaltBytes));
    created.object.digest = keyDigest(created.object.salt, secret);
    return created;
}

result<presented_key> parseKey(std::string_view raw)
{
    constexpr std::string_view step = "keys.parse";
    if (raw.size() > maxRawKeyBytes || !raw.starts_with(rawPrefix))
        return malformed(step, "expected lr_<id>_<secret>");
    raw.remove_prefix(rawPrefix.size());
    const auto id = raw.substr(0, std::min(idDigits, raw.size()));
    const bool idFits = id.size() == idDigits && std::all_of(id.begin(), id.end(), [](char c) { return hexDigit(c) >= 0; });
    if (!idFits || raw.size() <= idDigits || raw[idDigits] != '_')
        return malformed(step, "expected an id of " + std::to_string(idDigits) + " hex digits");
    const auto secret = raw.substr(idDigits + 1);
    if (secret.size() != secretDigits || !std::all_of(secret.begin(), secret.end(), isBase64Url))
        return malformed(step, "expected a secret of " + std::to_string(secretDigits) + " base64url digits");
    return presented_key { key_id(std::string(id)), std::string(secret) };
}

result<std::string_view> bearerToken(std::string_view headerValue)
{
    constexpr std::string_view step = "keys.bearer";
    constexpr std::string_view scheme = "bearer";
    if (headerValue.size() > maxHeaderBytes)
        return malformed(step, "the header is too long");
    const auto text = trimmed(headerValue);
    if (text.empty())
        return failure(error_code::NotFound, step, "no credential");
    if (text.size() <= scheme.size() || !isBlank(text[scheme.size()]))
        return malformed(step, "expected the Bearer scheme and a token");
    const bool schemeFits = std::equal(scheme.begin(), scheme.end(), text.begin(),
        [](char expected, char received) { return expected == std::tolower(static_cast<unsigned char>(received)); });
    if (!schemeFits)
        return malformed(step, "expected the Bearer scheme");
    const auto token = trimmed(text.substr(scheme.size()));
    if (!std::all_of(token.begin(), token.end(), isBase64Url))
        return malformed(step, "expected one token");
    return token;
}

std::string keyDigest(std::string_view saltHex, std::string_view secret)
{
    const auto salt = decodeHex(saltHex);
    if (salt.empty())
        return {};
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int length = 0;
    const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    const bool done = context
        && EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) == 1
        && EVP_DigestUpdate(context.get(), salt.data(), salt.size()) == 1
        && EVP_DigestUpdate(context.get(), secret.data(), secret.size()) == 1
        && EVP_DigestFinal_ex(context.get(), digest.data(), &length) == 1;
    return done ? encodeHex({ digest.data(), length }) : std::string();
}

bool sameDigest(std::string_view left, std::string_view right)
{
    // An empty digest means that it couldn't be computed; it equals nothing.
    return !left.empty() && left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

Json::Value toJson(std::span<const deny_mark> marks)
{
    Json::Value list(Json::arrayValue);
    for (const auto& mark : marks) {
        Json::Value entry(Json::objectValue);
        entry["key"] = mark.key.str();
        entry["known_at"] = Json::UInt64(mark.knownAt.value());
        list.append(std::move(entry));
    }
    return list;
}

result<std::vector<deny_mark>> denyMarksFromJson(const Json::Value& value)
{
    constexpr std::string_view step = "keys.marks";
    if (!value.isArray())
        return failure(error_code::Corrupt, step, "expected a list");
    std::vector<deny_mark> marks;
    for (const auto& entry : value) {
        if (!entry.isObject() || !entry["key"].isString() || !entry["known_at"].isUInt64())
            return failure(error_code::Corrupt, step, "expected key and known_at");
        marks.push_back({ key_id(entry["key"].asString()), revision(entry["known_at"].asUInt64()) });
    }
    return marks;
}

std::string_view toString(key_refusal refusal)
{
    switch (refusal) {
    case key_refusal::Missing:
        return "no key";
    case key_refusal::Malformed:
        return "malformed key";
    case key_refusal::UnknownKey:
        return "unknown key";
    case key_refusal::WrongSecret:
        return "wrong key";
    case key_refusal::Withdrawn:
        return "withdrawn key";
    }
    return "unknown key";
}

bool key_holder::hasScope(operator_scope scope) const
{
    return std::find(scopes.begin(), scopes.end(), scope) != scopes.end();
}

void key_table::update(config_ptr inForce)
{
    m_config = std::move(inForce);
    std::erase_if(m_marks, [this](const auto& entry) { return covers({ entry.first, entry.second }); });
}

bool key_table::covers(const deny_mark& mark) const
{
    if (!m_config)
        return false;
    const api_key* apiKey = m_config->findKey(mark.key);
    return apiKey ? apiKey->withdrawn : m_config->at() >= mark.knownAt;
}

result<std::optional<deny_mark>> key_table::deny(const key_id& key)
{
    if (!m_config || !m_config->findKey(key))
        return failure(error_code::NotFound, "keys.deny", "no key " + key.str() + " in the configuration in force");
    const deny_mark mark { key, m_config->at() };
    if (covers(mark))
        return std::nullopt;
    merge({ &mark, 1 });
    return std::optional(deny_mark { key, m_marks.at(key) });
}

std::vector<key_id> key_table::merge(std::span<const deny_mark> marks)
{
    std::vector<key_id> newlyDenied;
    for (const auto& mark : marks) {
        if (covers(mark))
            continue;
        const auto [entry, added] = m_marks.try_emplace(mark.key, mark.knownAt);
        entry->second = std::min(entry->second, mark.knownAt);
        if (added)
            newlyDenied.push_back(mark.key);
    }
    std::sort(newlyDenied.begin(), newlyDenied.end());
    return newlyDenied;
}

std::vector<deny_mark> key_table::marks() const
{
    std::vector<deny_mark> all;
    all.reserve(m_marks.size());
    for (const auto& [key, knownAt] : m_marks)
        all.push_back({ key, knownAt });
    return all;
}

authentication key_table::authenticate(std::string_view headerValue) const
{
    // Step 1. Parse the presented key.
    const auto token = bearerToken(headerValue);
    if (!token)
        return token.error().code == error_code::NotFound ? key_refusal::Missing : key_refusal::Malformed;
    const auto presented = parseKey(*token);
    if (!presented)
        return key_refusal::Malformed;

    // Step 2. Check the secret first: without it, the answer must not reveal whether the
    // key is withdrawn.
    const api_key* apiKey = m_config ? m_config->findKey(presented->id) : nullptr;
    if (!apiKey)
        return key_refusal::UnknownKey;
    if (!sameDigest(keyDigest(apiKey->salt, presented->secret), apiKey->digest))
        return key_refusal::WrongSecret;

    // Step 3. Check whether the configuration or a deny mark withdraws the key.
    if (!isLive(presented->id))
        return key_refusal::Withdrawn;
    return key_holder { presented->id, apiKey->account, apiKey->scopes };
}

bool key_table::isLive(const key_id& key) const
{
    const api_key* apiKey = m_config ? m_config->findKey(key) : nullptr;
    return apiKey && !apiKey->withdrawn && !m_marks.contains(key);
}

} // namespace lovagerail
