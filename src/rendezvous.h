// Rendezvous hashing: each item goes to the member with the highest weight for it,
// so that losing one member moves its own items alone.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <vector>
#include <xxhash.h>

namespace lovagerail {

// The weight of a member for an item; equal on all instances.
inline std::uint64_t rendezvousWeight(std::string_view item, std::string_view member)
{
    return XXH64(item.data(), item.size(), XXH64(member.data(), member.size(), 0));
}

// Members in order of preference for an item. Id is a name_id.
template <typename Id>
std::vector<Id> rendezvousOrder(std::string_view item, std::vector<Id> members)
{
    std::sort(members.begin(), members.end(), [item](const Id& a, const Id& b) {
        const auto left = rendezvousWeight(item, a.str());
        const auto right = rendezvousWeight(item, b.str());
        return left != right ? left > right : a < b;
    });
    return members;
}

} // namespace lovagerail
