// Tests of rendezvous hashing: the first choice equals the front of the full order, and
// removing a member moves only that member's items.
#include "property.h"
#include "rendezvous.h"
#include "types.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <vector>

using namespace lovagerail;
using lovagerail::test::checkProperty;

namespace {

std::vector<instance_id> membersOf(const std::set<std::uint8_t>& numbers)
{
    std::vector<instance_id> members;
    members.reserve(numbers.size());
    for (const auto number : numbers)
        members.emplace_back("entry-" + std::to_string(number));
    return members;
}

} // namespace

BOOST_AUTO_TEST_SUITE(rendezvous_suite)

BOOST_AUTO_TEST_CASE(firstEqualsFrontOfOrder)
{
    checkProperty("the first is the front of the order", [](const std::set<std::uint8_t>& numbers, const std::string& item) {
        const auto members = membersOf(numbers);
        const auto order = rendezvousOrder(item, members);
        const auto* first = rendezvousFirst(item, members);
        RC_ASSERT(order.size() == members.size());
        RC_ASSERT((first == nullptr) == members.empty());
        if (first != nullptr)
            RC_ASSERT(*first == order.front());
    });
}

BOOST_AUTO_TEST_CASE(removingAMemberKeepsTheOrder)
{
    checkProperty("the others keep their order when one is lost", [](const std::set<std::uint8_t>& numbers, const std::string& item) {
        auto members = membersOf(numbers);
        RC_PRE(!members.empty());
        auto order = rendezvousOrder(item, members);
        const auto lost = members.back();
        members.pop_back();
        std::erase(order, lost);
        RC_ASSERT(rendezvousOrder(item, members) == order);
    });
}

BOOST_AUTO_TEST_SUITE_END()
