// Take-over, hand-over and loss of ownership of batches; see batch_life.h.
#include "batch_life.h"

#include "rendezvous.h"

#include <algorithm>

namespace lovagerail {

namespace {

    // A member whose lease expired during an outage of the store renews it within this time
    // after the outage; until then its batches are not taken over.
    constexpr duration orphanGracePeriod = std::chrono::milliseconds(1500);
    constexpr duration nextAdopterDelay = std::chrono::milliseconds(1500); // a first adopter has rewritten the head by then
    constexpr duration passOnDelay = std::chrono::milliseconds(300); // an instance that returns has found most of its batches by then
    constexpr std::size_t adopterCount = 3;
    // The check of an owner's batches takes a claim of the membership and a read of the heads. If it
    // takes longer than this, items go on without it.
    constexpr duration longestDoubt = std::chrono::milliseconds(1500);
    // Beyond `retention::results`, for clocks of other machines and answers on their way.
    constexpr std::chrono::milliseconds retentionMargin { 5000 };
    constexpr std::chrono::milliseconds repeatedEndTime { 15'000 }; // callers repeat an end whose answer was lost within their deadlines
    // All calls of an instance that was suspended time out at once when it wakes, and the next ones are answered.
    constexpr duration shortestOutage = std::chrono::milliseconds(500);

    // The services that get work. A record of an older version may have no weights.
    std::vector<service_id> weightedServices(const site_route& route)
    {
        std::vector<service_id> out;
        std::vector<service_id> all;
        for (const auto& weighted : route.services) {
            all.push_back(weighted.service);
            if (weighted.weight > 0)
                out.push_back(weighted.service);
        }
        return out.empty() ? all : out;
    }

} // namespace

std::optional<duration> adoptionDelay(const instance_id& owner, const instance_id& self, std::vector<instance_id> members)
{
    if (owner == self)
        return duration {};
    const auto order = rendezvousOrder(owner.str(), std::move(members));
    const auto own = std::find(order.begin(), order.end(), self);
    const auto rank = own - order.begin();
    if (own == order.end() || rank >= static_cast<std::ptrdiff_t>(adopterCount))
        return std::nullopt;
    return orphanGracePeriod + rank * nextAdopterDelay;
}

orphan_plan planOrphan(const instance_id& owner, const instance_id& self, const std::vector<instance_id>& members)
{
    const bool ownerReturned = owner != self && std::find(members.begin(), members.end(), owner) != members.end();
    if (ownerReturned)
        return { orphan_plan::step::PassOn, passOnDelay, owner };
    if (const auto delay = adoptionDelay(owner, self, members))
        return { orphan_plan::step::Adopt, *delay, {} };
    const auto* first = rendezvousFirst(owner.str(), members);
    if (first == nullptr)
        return {};
    return { orphan_plan::step::PassOn, passOnDelay, *first };
}

std::string_view toString(hand_over_step step)
{
    switch (step) {
    case hand_over_step::TakeOver:
        return "take_over";
    case hand_over_step::AlreadyOwned:
        return "already_owned";
    case hand_over_step::Refuse:
        return "refuse";
    }
    return "unknown";
}

hand_over_step planHandOver(const hand_over& offered, const batch_owner& self, const stored_head& read)
{
    if (read.head.ended)
        return hand_over_step::Refuse;
    if (ownerOf(read.head) == self)
        return hand_over_step::AlreadyOwned;
    const bool isUnchanged = offered.headRevision != revision() && read.headRevision == offered.headRevision && ownerOf(read.head) == offered.from;
    return isUnchanged ? hand_over_step::TakeOver : hand_over_step::Refuse;
}

owner_news judgeOwnership(const stored_head& held, const stored_head& read)
{
    if (read.head.ended && held.head.ended)
        return owner_news::None;
    // An end is final, so it needs no order.
    if (read.headRevision == revision())
        return read.head.ended ? owner_news::Ended : owner_news::None;
    if (read.headRevision <= held.headRevision)
        return owner_news::None; // from before this instance wrote the head
    if (read.head.ended)
        return owner_news::Ended;
    return ownerOf(read.head) == ownerOf(held.head) ? owner_news::None : owner_news::TakenOver;
}

bool mayBeginItems(const owner_standing& standing)
{
    const bool isChecked = standing.isMember && !standing.isRechecking;
    return isChecked || isStoreAway(standing) || standing.doubtful >= longestDoubt;
}

bool isStoreAway(const owner_standing& standing) { return standing.storeAway >= shortestOutage; }

wall_time keptUntil(const batch_head& head, const retention& kept, std::optional<wall_time> endLearnt)
{
    const auto ofResults = head.submitted + kept.results + retentionMargin;
    if (head.ended)
        return endLearnt ? std::max(ofResults, *endLearnt + repeatedEndTime) : ofResults;
    duration ownTime {};
    if (head.decided)
        ownTime = std::max(head.decided->route.resultDeadline, head.decided->route.itemTtl);
    return std::max(ofResults, head.submitted + std::chrono::ceil<std::chrono::milliseconds>(ownTime) + kept.openBatches);
}

unowned_step planUnowned(const batch_head& head, const retention& kept, wall_time now)
{
    return head.ended || now > keptUntil(head, kept, {}) ? unowned_step::Delete : unowned_step::FindOwner;
}

bool deletesRecords(const instance_id& owner, const instance_id& self, const std::vector<instance_id>& members)
{
    if (owner == self)
        return true;
    if (std::find(members.begin(), members.end(), owner) != members.end())
        return false; // has returned under its name, and finds them itself
    const auto* first = rendezvousFirst(owner.str(), members);
    return first != nullptr && *first == self;
}

item_places placeItems(const batch_route& decided, const std::optional<batch_route>& inForce, const region_list& accountRegions)
{
    const auto decidedServices = weightedServices(decided.route);
    if (!inForce)
        return { decidedServices, {}, commonRegions(decided.route.allowedRegions, accountRegions), decided.tokensPerEvent };
    item_places out { weightedServices(inForce->route), {}, inForce->route.allowedRegions, inForce->tokensPerEvent };
    for (const auto& service : decidedServices) {
        if (std::find(out.services.begin(), out.services.end(), service) == out.services.end())
            out.otherServices.push_back(service);
    }
    return out;
}

} // namespace lovagerail
