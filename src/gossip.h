// News that ride on the messages of membership: small keyed entries, of which the
// newest version of each key wins.
//
// Keys read "<duty>/<name>": config, deny, duty, quarantine, quota, load. Entries
// join by the greater (version, value), so order and repeats don't matter. An
// entry lives `keepFor` from when it was written; its age travels with it, so all
// instances drop it at about the same time and none brings it back.
//
// A message carries fresh entries, least-told first, then what the receiver lacks
// by its digests: 32 buckets of keys, four bytes each, so equal buckets cost
// nothing more. Entries in one message are bounded by `mostNewsBytes`; values by
// `mostValueBytes`: greater ones are announced by version and pulled.
//
// Cost: O(log entries) an entry told; O(entries) once a second to expire.
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

constexpr std::size_t newsBuckets = 32;
constexpr std::size_t mostNewsBytes = 1024; // of entries in one message
constexpr std::size_t mostKeyBytes = 128;
constexpr std::size_t mostValueBytes = 256;

struct news_entry {
    std::string key;
    std::uint64_t version = 0;
    std::string value;
    std::chrono::milliseconds keepFor { 0 };
    std::chrono::milliseconds age { 0 }; // when it was sent

    friend bool operator==(const news_entry&, const news_entry&) = default;
};

using news_digests = std::array<std::uint32_t, newsBuckets>;
struct news_part {
    news_digests digests {};
    std::vector<news_entry> entries;
};

class news_board {
public:
    // Writes an entry of our own; InvalidArgument if it is too long.
    result<void> put(const std::string& key, std::uint64_t version, const std::string& value, std::chrono::milliseconds keepFor, instant now);
    // Joins entries from others; returns the ones that changed something here.
    std::vector<news_entry> merge(const std::vector<news_entry>& told, instant now);

    // What goes with a message; `theirs` are the receiver's digests if they are known.
    news_part compose(const news_digests* theirs, std::size_t members, instant now);
    // Drops what is past its time.
    void expire(instant now);

    // Empty version 0 if there is none.
    news_entry find(const std::string& key) const;
    std::vector<news_entry> withPrefix(const std::string& prefix) const;
    const news_digests& digests() const { return m_digests; }
    std::size_t size() const { return m_entries.size(); }

private:
    struct held {
        std::uint64_t version = 0;
        std::string value;
        std::chrono::milliseconds keepFor { 0 };
        instant born {};
        std::uint32_t told = 0;
    };
    using entries = std::map<std::string, held>;

    bool join(const news_entry& entry, instant now);
    void setTold(entries::value_type& entry, std::uint32_t told);
    void drop(entries::iterator entry);
    static news_entry outward(const entries::value_type& entry, instant now);

    entries m_entries;
    std::set<std::pair<std::uint32_t, std::string>> m_fresh; // (told, key)
    std::array<std::set<std::string>, newsBuckets> m_buckets; // keys
    std::array<std::string, newsBuckets> m_cursors; // key told last to somebody who lacked something
    news_digests m_digests {}; // of key and version, by bucket
};

} // namespace lovagerail
