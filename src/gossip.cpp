// Merging, selection for messages and expiry of gossip entries; see gossip.h.
#include "gossip.h"

#include <algorithm>
#include <bit>
#include <tuple>
#include <xxhash.h>

namespace lovagerail {

namespace {

    constexpr std::size_t entryOverhead = 16; // encoding and numbers of one entry, in bytes

    std::size_t bucketOf(const std::string& key)
    {
        return XXH64(key.data(), key.size(), 0) % gossipBucketCount;
    }

    std::uint32_t hashOf(const std::string& key, std::uint64_t version, const std::string& value)
    {
        const auto seed = XXH64(key.data(), key.size(), version);
        return static_cast<std::uint32_t>(XXH64(value.data(), value.size(), seed));
    }

    std::size_t sizeOf(const std::string& key, const std::string& value)
    {
        return key.size() + value.size() + entryOverhead;
    }

    std::chrono::milliseconds ageOf(instant writtenAt, instant now)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - writtenAt);
    }

} // namespace

result<void> gossip_store::put(const std::string& key, std::uint64_t version, const std::string& value, std::chrono::milliseconds keepFor, instant now)
{
    if (key.empty() || key.size() > maxGossipKeyBytes || value.size() > maxGossipValueBytes)
        return failure(error_code::InvalidArgument, "gossip.put", "key or value too long: " + key);
    mergeEntry({ key, version, value, keepFor, std::chrono::milliseconds(0) }, now);
    return {};
}

std::vector<gossip_entry> gossip_store::merge(const std::vector<gossip_entry>& received, instant now)
{
    std::vector<gossip_entry> out;
    for (const auto& entry : received) {
        if (entry.key.empty() || entry.key.size() > maxGossipKeyBytes || entry.value.size() > maxGossipValueBytes)
            continue;
        if (mergeEntry(entry, now))
            out.push_back(entry);
    }
    return out;
}

// The greater (version, value) wins; of equal entries the greater age is kept.
bool gossip_store::mergeEntry(const gossip_entry& entry, instant now)
{
    if (entry.age >= entry.keepFor)
        return false;
    const auto writtenAt = now - std::max(entry.age, std::chrono::milliseconds(0));
    const auto [found, isNew] = m_entries.try_emplace(entry.key);
    auto& stored = found->second;
    if (!isNew) {
        const auto order = std::tie(entry.version, entry.value) <=> std::tie(stored.version, stored.value);
        if (order == 0)
            stored.writtenAt = std::min(stored.writtenAt, writtenAt);
        if (order <= 0)
            return false;
    }
    auto& digest = m_digests[bucketOf(entry.key)];
    if (!isNew)
        digest ^= hashOf(entry.key, stored.version, stored.value);
    m_recent.erase({ stored.timesSent, entry.key });
    stored = { entry.version, entry.value, entry.keepFor, writtenAt, 0 };
    digest ^= hashOf(entry.key, stored.version, stored.value);
    m_buckets[bucketOf(entry.key)].insert(entry.key);
    m_recent.emplace(0, entry.key);
    return true;
}

void gossip_store::drop(entries::iterator entry)
{
    const auto& [key, stored] = *entry;
    m_digests[bucketOf(key)] ^= hashOf(key, stored.version, stored.value);
    m_buckets[bucketOf(key)].erase(key);
    m_recent.erase({ stored.timesSent, key });
    m_entries.erase(entry);
}

void gossip_store::expire(instant now)
{
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        const auto next = std::next(entry);
        if (ageOf(entry->second.writtenAt, now) >= entry->second.keepFor)
            drop(entry);
        entry = next;
    }
}

gossip_entry gossip_store::toMessageEntry(const entries::value_type& entry, instant now)
{
    const auto& [key, stored] = entry;
    return { key, stored.version, stored.value, stored.keepFor, ageOf(stored.writtenAt, now) };
}

gossip_payload gossip_store::compose(const gossip_digests* theirs, std::size_t members, instant now)
{
    gossip_payload out;
    std::size_t bytes = 0;
    std::set<std::string> chosen;
    const auto add = [&](const std::string& key) {
        const auto& entry = *m_entries.find(key);
        const auto size = sizeOf(key, entry.second.value);
        if (bytes + size > maxEntryBytesPerMessage)
            return false;
        if (chosen.insert(key).second) {
            out.entries.push_back(toMessageEntry(entry, now));
            bytes += size;
        }
        return true;
    };

    // Step 1. Recently changed entries, unless equal digests show that the receiver has them.
    const auto limit = static_cast<std::uint32_t>(std::bit_width(members + 1));
    std::vector<std::string> sentKeys;
    for (const auto& [count, key] : m_recent) {
        const auto bucket = bucketOf(key);
        const bool receiverHasEntry = theirs != nullptr && (*theirs)[bucket] == m_digests[bucket];
        if (!receiverHasEntry && !add(key))
            break;
        sentKeys.push_back(key);
    }
    for (const auto& key : sentKeys) {
        auto& stored = m_entries.at(key);
        m_recent.erase({ stored.timesSent, key });
        if (++stored.timesSent < limit)
            m_recent.emplace(stored.timesSent, key);
    }

    // Step 2. Entries of buckets with different digests, from where the last such message ended.
    for (std::size_t bucket = 0; theirs != nullptr && bucket < gossipBucketCount; ++bucket) {
        const auto& keys = m_buckets[bucket];
        if ((*theirs)[bucket] == m_digests[bucket])
            continue;
        auto next = keys.upper_bound(m_cursors[bucket]);
        for (std::size_t visited = 0; visited < keys.size(); ++visited) {
            if (next == keys.end())
                next = keys.begin();
            if (!add(*next))
                break;
            m_cursors[bucket] = *next;
            ++next;
        }
    }
    out.digests = m_digests;
    return out;
}

gossip_entry gossip_store::find(const std::string& key) const
{
    const auto found = m_entries.find(key);
    if (found == m_entries.end())
        return {};
    return toMessageEntry(*found, found->second.writtenAt);
}

std::vector<gossip_entry> gossip_store::entriesWithPrefix(const std::string& prefix) const
{
    std::vector<gossip_entry> out;
    for (auto entry = m_entries.lower_bound(prefix); entry != m_entries.end() && entry->first.rfind(prefix, 0) == 0; ++entry)
        out.push_back(toMessageEntry(*entry, entry->second.writtenAt));
    return out;
}

} // namespace lovagerail
