// Requests and responses of the platform's key-value service, independent of its wire format.
#pragma once

#include "error.h"
#include "types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lovagerail {

using kv_lease_id = number_id<struct kv_lease_tag, std::int64_t>;

struct kv_entry {
    std::string key;
    std::string value;
    revision createRevision;
    revision modRevision;
    kv_lease_id lease; // 0 = none
};

// [key, rangeEnd); an empty rangeEnd reads the one key.
struct kv_range {
    std::string key;
    std::string rangeEnd;
    std::int64_t limit = 0; // 0 = all
    revision at {}; // 0 = the newest
    bool keysOnly = false;
    std::string after {}; // continues a listing after this key; empty = from its start
    bool mayBeStale = false; // any replica of the service may answer, with data seconds old
};

struct kv_put {
    std::string key;
    std::string value;
    kv_lease_id lease;
};

struct kv_delete {
    std::string key;
    std::string rangeEnd;
};

enum class kv_field {
    ModRevision, // 0 = the key doesn't exist
    CreateRevision,
    Value,
    Exists, // number and value are ignored
};

struct kv_compare {
    std::string key;
    kv_field field = kv_field::ModRevision;
    revision number; // for revisions
    std::string value; // for Value
};

using kv_operation = std::variant<kv_range, kv_put, kv_delete>;

// If all compares hold, `then` is executed atomically, else `otherwise`.
struct kv_transaction {
    std::vector<kv_compare> compares;
    std::vector<kv_operation> then;
    std::vector<kv_operation> otherwise;
};

struct kv_grant {
    std::int64_t seconds = 0;
};
struct kv_keep_alive {
    kv_lease_id lease;
};
struct kv_revoke {
    kv_lease_id lease;
};

using kv_call = std::variant<kv_range, kv_transaction, kv_grant, kv_keep_alive, kv_revoke>;

// The result of one call; fields that don't belong to its kind stay empty.
struct kv_answer {
    revision at; // the service's revision when it answered
    bool succeeded = false; // of a transaction: the compares held
    std::vector<kv_entry> entries; // of all ranges, in order
    bool more = false; // the limit left entries out
    kv_lease_id lease;
    std::int64_t leaseSeconds = 0; // 0 after a keep-alive: the lease has expired
};

struct kv_event {
    kv_entry entry; // of a deletion: only key and modRevision
    bool deleted = false;
};

// One message of a watch.
struct kv_watch_response {
    std::uint64_t watch = 0;
    revision at;
    bool created = false;
    std::vector<kv_event> events;
    revision compactedTo; // not 0: events up to here are lost; read again and watch from there
    std::optional<error> ended; // set if the watch has ended
};

// The end of the range that contains all keys with this prefix.
std::string prefixEnd(std::string prefix);
kv_range readKey(std::string key);
kv_range readPrefix(const std::string& prefix);

} // namespace lovagerail
