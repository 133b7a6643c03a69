// Data of the key-value stand-in: keys with all their versions, and leases. Requests and
// answers are the JSON of the etcd v3 gateway. Without clock, socket or lock: callers
// pass the time and serialize access.
#pragma once

#include <chrono>
#include <cstdint>
#include <json/json.h>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lovagerail::standin {

std::string toBase64(const std::string& bytes);
std::string fromBase64(const std::string& text);

class kv_store {
public:
    using time_point = std::chrono::steady_clock::time_point;

    std::int64_t revision() const { return m_revision; }
    std::int64_t compactedRevision() const { return m_compactedRevision; }
    // Number of revisions to keep; older ones are compacted. 0 keeps all.
    void setRetainedRevisions(std::int64_t count) { m_retainedRevisions = count; }

    // Answers a range request as of a revision.
    Json::Value range(const Json::Value& request, std::int64_t revision) const;
    // Runs a transaction atomically under one new revision; if it is invalid, changes
    // nothing and the answer has an `error`.
    Json::Value transact(const Json::Value& request);
    // Events on the keys of a range since a revision, inclusive.
    Json::Value events(const std::string& key, const std::string& end, std::int64_t from) const;
    void compact(std::int64_t revision);

    // Returns the id of the new lease, or 0 if that id exists already. For id 0 one is chosen.
    std::int64_t grant(std::int64_t id, std::int64_t ttlSeconds, time_point now);
    // Renews a lease and returns its TTL in seconds; 0 if it doesn't exist.
    std::int64_t keepAlive(std::int64_t id, time_point now);
    bool revoke(std::int64_t id);
    // Revokes all expired leases, which deletes their keys; true if there were any.
    bool expire(time_point now);

private:
    struct key_version {
        std::string value;
        std::int64_t createRevision = 0;
        std::int64_t modRevision = 0;
        std::int64_t version = 0; // 0 marks a tombstone (deleted key)
        std::int64_t lease = 0;
    };
    struct lease {
        std::chrono::seconds ttl { 0 };
        time_point end;
        std::set<std::string> keys;
    };

    const key_version* find(const std::string& key, std::int64_t revision) const;
    bool compareHolds(const Json::Value& compare) const;
    Json::Value put(const Json::Value& request, std::int64_t revision);
    Json::Value deleteRange(const std::string& key, const std::string& end, std::int64_t revision);
    Json::Value toJson(const std::string& key, const key_version& found) const;
    void detachFromLease(const std::string& key);

    // Versions of each key by ascending revision. Of those up to m_compactedRevision, only
    // the newest is kept.
    std::map<std::string, std::vector<key_version>> m_keys;
    // The keys that each revision changed, in order.
    std::map<std::int64_t, std::vector<std::string>> m_keysByRevision;
    std::map<std::int64_t, lease> m_leases;
    std::int64_t m_revision = 1;
    std::int64_t m_compactedRevision = 0;
    std::int64_t m_retainedRevisions = 0;
    std::int64_t m_nextLease = 7000;
};

} // namespace lovagerail::standin
