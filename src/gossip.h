// Gossip: small key-value entries that spread to all instances with the messages of the
// membership protocol. The newest version of each key wins.
//
// Keys have the form "<duty>/<name>"; duties are config, deny, duty, quarantine, quota
// and load. Entries are merged by the greater (version, value), so order and repeats
// don't matter. An entry expires `keepFor` after it was written. Its age is sent with
// it, so all instances drop it at about the same time and none spreads it again.
//
// A message carries recently changed entries first, those sent least often before others,
// and then the entries that the receiver lacks. Which these are is seen from digests of
// 32 buckets of keys, four bytes each; a bucket with equal digests costs nothing more.
// Entries in one message are bounded by `maxEntryBytesPerMessage` and values by
// `maxGossipValueBytes`: of a larger value only the version is announced, and the value
// is pulled.
//
// Cost: O(log entries) per entry sent; O(entries) once a second to expire.
#pragma once

#include "error.h"
#include "types.h"

#include <array>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lovagerail {

constexpr std::size_t gossipBucketCount = 32;
constexpr std::size_t maxEntryBytesPerMessage = 1024;
constexpr std::size_t maxGossipKeyBytes = 128;
constexpr std::size_t maxGossipValueBytes = 256;

struct gossip_entry {
    std::string key;
    std::uint64_t version = 0;
    std::string value;
    std::chrono::milliseconds keepFor { 0 };
    std::chrono::milliseconds age { 0 }; // at the time of sending

    friend bool operator==(const gossip_entry&, const gossip_entry&) = default;
};

using gossip_digests = std::array<std::uint32_t, gossipBucketCount>;
struct gossip_payload {
    gossip_digests digests {};
    std::vector<gossip_entry> entries;
};

class gossip_store {
public:
    // Writes an entry of this instance; InvalidArgument if it is too long.
    result<void> put(const std::string& key, std::uint64_t version, const std::string& value, std::chrono::milliseconds keepFor, instant now);
    // Merges received entries; returns those that were new here.
    std::vector<gossip_entry> merge(const std::vector<gossip_entry>& received, instant now);

    // Chooses the entries for a message; `theirs` are the receiver's digests if known, else null.
    gossip_payload compose(const gossip_digests* theirs, std::size_t members, instant now);
    // Removes expired entries.
    void expire(instant now);

    // An empty entry with version 0 if there is none.
    gossip_entry find(const std::string& key) const;
    std::vector<gossip_entry> entriesWithPrefix(const std::string& prefix) const;
    const gossip_digests& digests() const { return m_digests; }
    std::size_t size() const { return m_entries.size(); }

private:
    struct stored_entry {
        std::uint64_t version = 0;
        std::string value;
        std::chrono::milliseconds keepFor { 0 };
        instant writtenAt {};
        std::uint32_t timesSent = 0; // in messages, since its last change
    };
    using entries = std::map<std::string, stored_entry>;

    bool mergeEntry(const gossip_entry& entry, instant now);
    void setTimesSent(entries::value_type& entry, std::uint32_t timesSent);
    void drop(entries::iterator entry);
    static gossip_entry toMessageEntry(const entries::value_type& entry, instant now);

    entries m_entries;
    std::set<std::pair<std::uint32_t, std::string>> m_recent; // recently changed: (times sent, key)
    std::array<std::set<std::string>, gossipBucketCount> m_buckets; // keys
    std::array<std::string, gossipBucketCount> m_cursors; // last key of the bucket sent because digests differed
    gossip_digests m_digests {}; // of key, version and value, by bucket
};

} // namespace lovagerail
