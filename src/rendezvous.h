// Rendezvous (highest random weight) hashing: each item is assigned to the member with
// the highest weight for it, so that removing a member moves only that member's items.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>
#include <xxhash.h>

namespace lovagerail {

// The weight of a member for an item; the same on all instances.
inline std::uint64_t rendezvousWeight(std::string_view item, std::string_view member)
{
    return XXH64(item.data(), item.size(), XXH64(member.data(), member.size(), 0));
}

// Members in order of preference for an item; computes each weight once. Id is a name_id.
template <typename Id>
std::vector<Id> rendezvousOrder(std::string_view item, std::vector<Id> members)
{
    std::vector<std::pair<std::uint64_t, Id>> weighed;
    weighed.reserve(members.size());
    for (auto& member : members) {
        const auto weight = rendezvousWeight(item, member.str());
        weighed.emplace_back(weight, std::move(member));
    }
    std::sort(weighed.begin(), weighed.end(), [](const auto& a, const auto& b) {
        return a.first != b.first ? a.first > b.first : a.second < b.second;
    });
    for (std::size_t i = 0; i < weighed.size(); ++i)
        members[i] = std::move(weighed[i].second);
    return members;
}

// The first member of rendezvousOrder(), without sorting; null if there are no members.
template <typename Id>
const Id* rendezvousFirst(std::string_view item, const std::vector<Id>& members)
{
    const Id* first = nullptr;
    std::uint64_t highest = 0;
    for (const auto& member : members) {
        const auto weight = rendezvousWeight(item, member.str());
        if (first != nullptr && (weight < highest || (weight == highest && *first < member)))
            continue;
        first = &member;
        highest = weight;
    }
    return first;
}

} // namespace lovagerail
