// Keys of callers and operators: their text form, salted digests, and the table
// that says who a key belongs to.
//
// A raw key reads lr_<id>_<secret>. The id is no secret: it finds the one digest
// to compare with, so a check costs O(log keys) and one SHA-256. The
// configuration holds salt and digest only; nothing here prints a secret.
//
// A deny mark says "this key is withdrawn" ahead of the configuration. Marks
// join by taking the smaller revision, so any order and any repeats give the
// same state. A mark is dropped, and not taken in again, once the configuration
// in force covers it: it shows the key as withdrawn, or no longer has it though
// it is not older than the revision that had it. Withdrawal is for good
// (config_check holds that), so a dropped mark can't be needed again.
#pragma once

#include "config.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lovagerail {

constexpr std::size_t keyIdBytes = 8; // random bytes behind an id
constexpr std::size_t keySecretBytes = 32;
constexpr std::size_t keySaltBytes = 16;
constexpr std::size_t keyRandomBytes = keyIdBytes + keySecretBytes + keySaltBytes;

// A key just made. The raw text is shown once, to whoever asked for it.
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
// The token of an Authorization header value: scheme in any case, any blanks
// around it; one token only.
result<std::string_view> bearerToken(std::string_view headerValue);

// Hex SHA-256 of the salt's bytes followed by the secret; empty if the salt is no hex.
std::string keyDigest(std::string_view saltHex, std::string_view secret);
// Takes the same time wherever the texts differ.
bool sameDigest(std::string_view left, std::string_view right);

struct deny_mark {
    key_id key;
    revision knownAt; // a revision of the configuration that had the key

    friend bool operator==(const deny_mark&, const deny_mark&) = default;
};
Json::Value toJson(std::span<const deny_mark> marks);
result<std::vector<deny_mark>> denyMarksFromJson(const Json::Value& value);

enum class key_refusal {
    Missing, // no credential came
    Malformed,
    UnknownKey,
    WrongSecret,
    Withdrawn,
};
std::string_view toString(key_refusal refusal);

// Who a key speaks for: an account, or an operator with scopes.
struct key_holder {
    key_id key;
    client_account_id account; // empty for an operator
    std::vector<operator_scope> scopes;

    bool may(operator_scope scope) const;
};
using authentication = std::variant<key_holder, key_refusal>;

class key_table {
public:
    // Takes the configuration in force and drops the marks that it covers.
    void update(config_ptr inForce);

    // Marks one key as withdrawn from now on. Returns the mark to pass on, or
    // nothing if it is covered already. NotFound if the configuration in force
    // doesn't have the key: a mark must name a revision that had it, or nobody
    // could tell when to drop it. An instance that is behind reads the key from
    // the service and merges a mark with the revision it read.
    result<std::optional<deny_mark>> deny(const key_id& key);
    // Joins marks from others; returns the keys that are newly denied, sorted,
    // whose streams have to be cancelled. Costs O(marks x log marks).
    std::vector<key_id> merge(std::span<const deny_mark> marks);
    // All marks, by key.
    std::vector<deny_mark> marks() const;

    // `headerValue` is the Authorization header's, empty if there was none.
    authentication authenticate(std::string_view headerValue) const;
    // Whether a key that was accepted before still is; for open connections and
    // streams under way.
    bool isLive(const key_id& key) const;

private:
    bool covers(const deny_mark& mark) const;

    config_ptr m_config;
    std::map<key_id, revision> m_marks; // never holds a mark that m_config covers
};

} // namespace lovagerail
