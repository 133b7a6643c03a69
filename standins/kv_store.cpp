// Keys, versions and leases of the key-value stand-in, see kv_store.h.
#include "kv_store.h"

#include "faults.h"

#include <algorithm>
#include <openssl/evp.h>

namespace lovagerail::standin {

namespace {

    constexpr std::size_t base64GroupChars = 4;

    // Ranges as in etcd: without an end, a single key; with the end "\0", all keys from `first` on.
    bool inRange(const std::string& key, const std::string& first, const std::string& end)
    {
        if (end.empty())
            return key == first;
        if (end == std::string(1, '\0'))
            return key >= first;
        return key >= first && key < end;
    }

    bool compareNumbers(const std::string& result, std::int64_t left, std::int64_t right)
    {
        if (result == "GREATER")
            return left > right;
        if (result == "LESS")
            return left < right;
        if (result == "NOT_EQUAL")
            return left != right;
        return left == right;
    }

} // namespace

std::string toBase64(const std::string& bytes)
{
    std::string text(base64GroupChars * ((bytes.size() + 2) / 3) + 1, '\0');
    const auto size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
        reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::string fromBase64(const std::string& text)
{
    std::string bytes(text.size() + 1, '\0');
    const auto size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
        reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    if (size < 0)
        return {};
    const auto padding = static_cast<std::size_t>(std::count(text.begin(), text.end(), '='));
    bytes.resize(static_cast<std::size_t>(size) - std::min(padding, static_cast<std::size_t>(size)));
    return bytes;
}

const kv_store::key_version* kv_store::find(const std::string& key, std::int64_t revision) const
{
    const auto found = m_keys.find(key);
    if (found == m_keys.end())
        return nullptr;
    // The newest version at or before the revision.
    const auto& versions = found->second;
    const auto after = std::upper_bound(versions.begin(), versions.end(), revision,
        [](std::int64_t limit, const key_version& version) { return limit < version.modRevision; });
    if (after == versions.begin())
        return nullptr;
    const auto& newest = *std::prev(after);
    return newest.version ? &newest : nullptr;
}

Json::Value kv_store::toJson(const std::string& key, const key_version& found) const
{
    Json::Value value;
    value["key"] = toBase64(key);
    value["mod_revision"] = std::to_string(found.modRevision);
    if (found.version == 0)
        return value;
    value["value"] = toBase64(found.value);
    value["create_revision"] = std::to_string(found.createRevision);
    value["version"] = std::to_string(found.version);
    if (found.lease)
        value["lease"] = std::to_string(found.lease);
    return value;
}

Json::Value kv_store::range(const Json::Value& request, std::int64_t revision) const
{
    const auto first = fromBase64(request["key"].asString());
    const auto end = fromBase64(request["range_end"].asString());
    const auto limit = toInt64(request["limit"]);
    const bool keysOnly = request.get("keys_only", false).asBool();
    Json::Value answer;
    answer["kvs"] = Json::Value(Json::arrayValue);
    std::int64_t count = 0;
    for (auto it = m_keys.lower_bound(first); it != m_keys.end() && inRange(it->first, first, end); ++it) {
        const auto* found = find(it->first, revision);
        if (!found)
            continue;
        if (++count > limit && limit > 0)
            continue;
        auto value = toJson(it->first, *found);
        if (keysOnly)
            value.removeMember("value");
        answer["kvs"].append(value);
    }
    answer["count"] = std::to_string(count);
    answer["more"] = limit > 0 && count > limit;
    return answer;
}

bool kv_store::compareHolds(const Json::Value& compare) const
{
    const auto* found = find(fromBase64(compare["key"].asString()), m_revision);
    const auto result = compare.get("result", "EQUAL").asString();
    const auto target = compare.get("target", "VERSION").asString();
    if (target == "VALUE") {
        if (!found)
            return false;
        const auto order = found->value.compare(fromBase64(compare["value"].asString()));
        return compareNumbers(result, order, 0);
    }
    const key_version absent;
    const auto& current = found ? *found : absent;
    if (target == "MOD")
        return compareNumbers(result, current.modRevision, toInt64(compare["mod_revision"]));
    if (target == "CREATE")
        return compareNumbers(result, current.createRevision, toInt64(compare["create_revision"]));
    if (target == "LEASE")
        return compareNumbers(result, current.lease, toInt64(compare["lease"]));
    return compareNumbers(result, current.version, toInt64(compare["version"]));
}

void kv_store::detachFromLease(const std::string& key)
{
    const auto* found = find(key, m_revision);
    if (!found || !found->lease)
        return;
    const auto leaseEntry = m_leases.find(found->lease);
    if (leaseEntry != m_leases.end())
        leaseEntry->second.keys.erase(key);
}

Json::Value kv_store::put(const Json::Value& request, std::int64_t revision)
{
    const auto key = fromBase64(request["key"].asString());
    const auto leaseId = toInt64(request["lease"]);
    detachFromLease(key);
    if (leaseId)
        m_leases[leaseId].keys.insert(key);
    const auto* previous = find(key, revision);
    key_version newVersion;
    newVersion.value = fromBase64(request["value"].asString());
    newVersion.createRevision = previous ? previous->createRevision : revision;
    newVersion.version = previous ? previous->version + 1 : 1;
    newVersion.modRevision = revision;
    newVersion.lease = leaseId;
    auto& versions = m_keys[key];
    if (!versions.empty() && versions.back().modRevision == revision)
        versions.back() = newVersion;
    else
        versions.push_back(newVersion);
    m_keysByRevision[revision].push_back(key);
    return { Json::objectValue };
}

Json::Value kv_store::deleteRange(const std::string& first, const std::string& end, std::int64_t revision)
{
    std::int64_t deleted = 0;
    for (auto it = m_keys.lower_bound(first); it != m_keys.end() && inRange(it->first, first, end); ++it) {
        if (!find(it->first, revision))
            continue;
        detachFromLease(it->first);
        key_version tombstone;
        tombstone.modRevision = revision;
        it->second.push_back(tombstone);
        m_keysByRevision[revision].push_back(it->first);
        ++deleted;
    }
    Json::Value answer;
    answer["deleted"] = std::to_string(deleted);
    return answer;
}

Json::Value kv_store::transact(const Json::Value& request)
{
    bool succeeded = true;
    for (const auto& compare : request["compare"])
        succeeded = succeeded && compareHolds(compare);
    Json::Value answer;
    const auto& operations = request[succeeded ? "success" : "failure"];
    // Step 1. Reject an invalid transaction before anything is changed.
    std::set<std::string> written;
    for (const auto& operation : operations) {
        if (!operation.isMember("request_put"))
            continue;
        if (!written.insert(operation["request_put"]["key"].asString()).second) {
            answer["error"] = "duplicate key given in txn request";
            return answer;
        }
        const auto leaseId = toInt64(operation["request_put"]["lease"]);
        if (leaseId && !m_leases.contains(leaseId)) {
            answer["error"] = "requested lease not found";
            return answer;
        }
    }
    // Step 2. Run all operations under the next revision. A transaction without writes doesn't
    // advance the revision.
    const auto nextRevision = m_revision + 1;
    answer["succeeded"] = succeeded;
    answer["responses"] = Json::Value(Json::arrayValue);
    for (const auto& operation : operations) {
        Json::Value response;
        if (operation.isMember("request_put"))
            response["response_put"] = put(operation["request_put"], nextRevision);
        else if (operation.isMember("request_delete_range"))
            response["response_delete_range"] = deleteRange(fromBase64(operation["request_delete_range"]["key"].asString()),
                fromBase64(operation["request_delete_range"]["range_end"].asString()), nextRevision);
        else
            response["response_range"] = range(operation["request_range"], nextRevision);
        answer["responses"].append(response);
    }
    if (m_keysByRevision.contains(nextRevision))
        m_revision = nextRevision;
    if (m_retainedRevisions > 0)
        compact(m_revision - m_retainedRevisions);
    return answer;
}

Json::Value kv_store::events(const std::string& key, const std::string& end, std::int64_t from) const
{
    Json::Value events(Json::arrayValue);
    for (auto it = m_keysByRevision.lower_bound(from); it != m_keysByRevision.end(); ++it) {
        for (const auto& changed : it->second) {
            if (!inRange(changed, key, end))
                continue;
            const auto& versions = m_keys.at(changed);
            const auto found = std::find_if(versions.rbegin(), versions.rend(),
                [&](const key_version& version) { return version.modRevision == it->first; });
            if (found == versions.rend())
                continue;
            Json::Value event;
            event["type"] = found->version ? "PUT" : "DELETE";
            event["kv"] = toJson(changed, *found);
            events.append(event);
        }
    }
    return events;
}

void kv_store::compact(std::int64_t revision)
{
    revision = std::min(revision, m_revision);
    if (revision <= m_compactedRevision)
        return;
    // Only keys that changed at or before the revision can have versions to drop.
    for (auto it = m_keysByRevision.begin(); it != m_keysByRevision.end() && it->first <= revision; it = m_keysByRevision.erase(it)) {
        for (const auto& key : it->second) {
            const auto found = m_keys.find(key);
            if (found == m_keys.end())
                continue;
            auto& versions = found->second;
            while (versions.size() > 1 && versions[1].modRevision <= revision)
                versions.erase(versions.begin());
            if (versions.size() == 1 && versions[0].version == 0 && versions[0].modRevision <= revision)
                m_keys.erase(found);
        }
    }
    m_compactedRevision = revision;
}

std::int64_t kv_store::grant(std::int64_t id, std::int64_t ttlSeconds, time_point now)
{
    if (m_leases.contains(id))
        return 0;
    if (id == 0)
        id = m_nextLease++;
    const std::chrono::seconds ttl(ttlSeconds);
    m_leases[id] = lease { ttl, now + ttl, {} };
    return id;
}

std::int64_t kv_store::keepAlive(std::int64_t id, time_point now)
{
    const auto found = m_leases.find(id);
    if (found == m_leases.end())
        return 0;
    found->second.end = now + found->second.ttl;
    return found->second.ttl.count();
}

bool kv_store::revoke(std::int64_t id)
{
    const auto found = m_leases.find(id);
    if (found == m_leases.end())
        return false;
    const auto keys = found->second.keys;
    if (!keys.empty()) {
        for (const auto& key : keys)
            deleteRange(key, {}, m_revision + 1);
        ++m_revision;
    }
    m_leases.erase(id);
    return true;
}

bool kv_store::expire(time_point now)
{
    std::vector<std::int64_t> expiredIds;
    for (const auto& [id, heldLease] : m_leases) {
        if (heldLease.end <= now)
            expiredIds.push_back(id);
    }
    for (const auto id : expiredIds)
        revoke(id);
    return !expiredIds.empty();
}

} // namespace lovagerail::standin
