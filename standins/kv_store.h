// The keys of the key-value stand-in with all their versions, and its leases.
// Speaks the JSON of etcd's v3 gateway; knows no clock, socket or lock.
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
    std::int64_t compacted() const { return m_compacted; }
    // Older revisions than this many are compacted away; 0 keeps all.
    void keepRevisions(std::int64_t count) { m_keep = count; }

    // Answers a range request as of a revision.
    Json::Value range(const Json::Value& request, std::int64_t revision) const;
    // Runs a transaction whole, under one new revision; `error` if it can't be run.
    Json::Value transact(const Json::Value& request);
    // Events on the keys of a range from a revision on.
    Json::Value events(const std::string& key, const std::string& end, std::int64_t from) const;
    void compact(std::int64_t revision);

    // The lease's id, drawn if 0 is given; 0 if it exists already.
    std::int64_t grant(std::int64_t id, std::int64_t ttlSeconds, time_point now);
    // Seconds left; 0 if the lease is gone.
    std::int64_t keepAlive(std::int64_t id, time_point now);
    bool revoke(std::int64_t id);
    // Deletes the keys of all leases that ended; true if there were any.
    bool expire(time_point now);

private:
    struct key_version {
        std::string value;
        std::int64_t create = 0;
        std::int64_t modified = 0;
        std::int64_t version = 0; // 0 marks a deletion
        std::int64_t lease = 0;
    };
    struct lease {
        std::chrono::seconds ttl { 0 };
        time_point end;
        std::set<std::string> keys;
    };

    const key_version* find(const std::string& key, std::int64_t revision) const;
    bool holds(const Json::Value& compare) const;
    Json::Value put(const Json::Value& request, std::int64_t revision);
    Json::Value deleteRange(const std::string& key, const std::string& end, std::int64_t revision);
    Json::Value toJson(const std::string& key, const key_version& found) const;
    void detach(const std::string& key);

    // Versions of a key in the order of their revisions; none is older than
    // m_compacted but the newest one up to it.
    std::map<std::string, std::vector<key_version>> m_keys;
    // Which keys a revision changed, in order.
    std::map<std::int64_t, std::vector<std::string>> m_log;
    std::map<std::int64_t, lease> m_leases;
    std::int64_t m_revision = 1;
    std::int64_t m_compacted = 0;
    std::int64_t m_keep = 0;
    std::int64_t m_nextLease = 7000;
};

} // namespace lovagerail::standin
