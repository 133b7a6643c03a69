// API keys of callers and operators: their text form, salted digests, and the table
// that finds the owner of a key.
//
// A raw key reads lr_<id>_<secret>. The id is not secret: it selects the one digest to
// compare with, so a check costs O(log keys) and one SHA-256. The configuration holds
// only salt and digest; nothing here prints a secret.
//
// A deny mark revokes a key before the configuration that withdraws it has arrived. Marks
// are merged by taking the smaller revision, so order and repeats don't matter. A mark is
// dropped, and not accepted again, once the configuration in force covers it: that
// configuration shows the key as withdrawn, or no longer has the key and is not older
// than the revision that had it. A withdrawal is never taken back (config_check enforces
// that), so a dropped mark is not needed again.
#pragma once

#include "config.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lovagerail {

constexpr std::size_t keyIdBytes = 8; // random bytes that an id encodes
constexpr std::size_t keySecretBytes = 32;
constexpr std::size_t keySaltBytes = 16;
constexpr std::size_t keyRandomBytes = keyIdBytes + keySecretBytes + keySaltBytes;

// A new key. The raw text is shown only once, to the operator who created the key.
struct new_key {
    std::string raw;
    api_key object; // without account and scopes
};

// Fails unless there are exactly keyRandomBytes bytes.
result<new_key> makeKey(std::span<const unsigned char> random);

struct presented_key {
    key_id id;
    std::string secret;
};
result<presented_key> parseKey(std::string_view raw);
// The token in the value of an Authorization header. The scheme may be in any case with
// any blanks around it; exactly one token.
result<std::string_view> bearerToken(std::string_view headerValue);

// Hex SHA-256 of the salt's bytes followed by the secret; empty if the salt is no hex.
std::string keyDigest(std::string_view saltHex, std::string_view secret);
// Compares in constant time.
bool sameDigest(std::string_view left, std::string_view right);

struct deny_mark {
    key_id key;
    revision knownAt; // a configuration revision that contains the key

    friend bool operator==(const deny_mark&, const deny_mark&) = default;
};
Json::Value toJson(std::span<const deny_mark> marks);
result<std::vector<deny_mark>> denyMarksFromJson(const Json::Value& value);

enum class key_refusal {
    Missing, // no credential given
    Malformed,
    UnknownKey,
    WrongSecret,
    Withdrawn,
};
std::string_view toString(key_refusal refusal);

// The owner of a key: an account, or an operator with scopes.
struct key_holder {
    key_id key;
    client_account_id account; // empty for an operator
    std::vector<operator_scope> scopes;

    bool hasScope(operator_scope scope) const;
};
using authentication = std::variant<key_holder, key_refusal>;

class key_table {
public:
    // Sets the configuration in force and drops the marks that it covers.
    void update(config_ptr inForce);

    // Revokes one key from now on. Returns the mark to send to other instances, or nothing
    // if the configuration covers it already. NotFound if the configuration in force
    // doesn't have the key: without a revision that contains the key, no instance could
    // tell when to drop the mark. An instance whose configuration is behind reads the key
    // from the key-value service and merges a mark with the revision it read.
    result<std::optional<deny_mark>> deny(const key_id& key);
    // Merges marks of other instances; returns the newly revoked keys, sorted. The caller
    // has to cancel their open streams. Costs O(marks x log marks).
    std::vector<key_id> merge(std::span<const deny_mark> marks);
    // All marks, by key.
    std::vector<deny_mark> marks() const;

    // `headerValue` is the Authorization header's, empty if there was none.
    authentication authenticate(std::string_view headerValue) const;
    // Whether a key that was accepted before is still valid; for open connections and
    // streams in progress.
    bool isLive(const key_id& key) const;

private:
    bool covers(const deny_mark& mark) const;

    config_ptr m_config;
    std::map<key_id, revision> m_marks; // never contains a mark that m_config covers
};

} // namespace lovagerail
