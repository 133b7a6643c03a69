// Map from name to object for one kind of object, sharded and copy-on-write: copies share
// the shards and the objects, and a change copies only the shard that it falls in.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerail {

namespace detail {

    // FNV-1a: gives the same hash, and so the same iteration order, on every machine.
    constexpr std::uint64_t nameHash(std::string_view name)
    {
        std::uint64_t hash = 0xcbf29ce484222325u;
        for (const char c : name) {
            hash ^= static_cast<unsigned char>(c);
            hash *= 0x100000001b3u;
        }
        return hash;
    }

} // namespace detail

template <typename Object>
class object_map {
public:
    using object_ptr = std::shared_ptr<const Object>;

    // Null if there is no object of this name. O(log n).
    const Object* find(std::string_view name) const
    {
        const auto& held = m_shards[shardOf(name)];
        if (!held)
            return nullptr;
        const auto found = held->find(name);
        return found == held->end() ? nullptr : found->second.get();
    }

    std::size_t size() const { return m_size; }

    // All objects, sorted by name. O(n log n).
    std::vector<object_ptr> sorted() const
    {
        std::vector<object_ptr> all;
        all.reserve(m_size);
        for (const auto& held : m_shards) {
            if (!held)
                continue;
            for (const auto& [name, object] : *held)
                all.push_back(object);
        }
        std::sort(all.begin(), all.end(), [](const object_ptr& a, const object_ptr& b) { return a->meta.name < b->meta.name; });
        return all;
    }

    // Adds or replaces. O(n / shards).
    void put(object_ptr object)
    {
        auto& held = m_shards[shardOf(object->meta.name)];
        auto next = held ? std::make_shared<shard>(*held) : std::make_shared<shard>();
        m_size += next->insert_or_assign(object->meta.name, object).second;
        held = std::move(next);
    }

    // False if there was no object of this name. O(n / shards).
    bool erase(std::string_view name)
    {
        auto& held = m_shards[shardOf(name)];
        if (!held || !held->contains(name))
            return false;
        auto next = std::make_shared<shard>(*held);
        next->erase(next->find(name));
        held = std::move(next);
        --m_size;
        return true;
    }

private:
    using shard = std::map<std::string, object_ptr, std::less<>>;
    static constexpr std::size_t shardCount = 64;

    static std::size_t shardOf(std::string_view name) { return detail::nameHash(name) % shardCount; }

    std::array<std::shared_ptr<const shard>, shardCount> m_shards {};
    std::size_t m_size = 0;
};

} // namespace lovagerail
