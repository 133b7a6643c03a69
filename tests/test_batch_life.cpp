// Tests of the decisions about batches, over all combinations of their inputs.
#include "batch_life.h"
#include "rendezvous.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace lovagerail {

namespace {

    stored_head storedHead(const batch_owner& owner, std::uint64_t at, bool ended = false)
    {
        batch_head head;
        head.id = batch_id("b1");
        head.owner = owner.name;
        head.ownerIncarnation = owner.life;
        head.ended = ended;
        return { head, revision(at) };
    }

    // Two instances, the first one in two incarnations.
    const std::vector<batch_owner> owners { { instance_id("a"), incarnation(1) }, { instance_id("a"), incarnation(2) }, { instance_id("b"), incarnation(1) } };

} // namespace

BOOST_AUTO_TEST_SUITE(batch_life_suite)

// The first adopter of a lost owner's batches may be cut off from the store itself: others follow.
BOOST_AUTO_TEST_CASE(several_members_may_take_over_one_after_the_other)
{
    const instance_id owner("lost");
    constexpr int memberCount = 20;
    std::vector<instance_id> members;
    members.reserve(memberCount);
    for (int i = 0; i < memberCount; ++i)
        members.emplace_back("entry-" + std::to_string(i));
    std::vector<duration> delays;
    for (const auto& member : members) {
        if (const auto delay = adoptionDelay(owner, member, members))
            delays.push_back(*delay);
    }
    std::sort(delays.begin(), delays.end());
    BOOST_REQUIRE(delays.size() == 3u);
    BOOST_TEST((delays[0] < delays[1] && delays[1] < delays[2]));
    // The second one takes over at last if the first never does, also once the first has left the list.
    for (const auto& first : members) {
        if (adoptionDelay(owner, first, members) != delays[0])
            continue;
        auto rest = members;
        std::erase(rest, first);
        const auto firstOfRest = std::count_if(rest.begin(), rest.end(), [&](const instance_id& member) { return adoptionDelay(owner, member, rest) == delays[0]; });
        BOOST_TEST(firstOfRest == 1);
    }
    BOOST_TEST((adoptionDelay(owner, owner, members) == duration {}));
    BOOST_TEST(!adoptionDelay(owner, instance_id("stranger"), members).has_value());
}

// Guards against a batch that all instances leave alone: each one that finds it takes it over, or passes it on to one that does.
BOOST_AUTO_TEST_CASE(whoever_finds_a_batch_without_an_owner_has_it_taken_over)
{
    using step = orphan_plan::step;
    constexpr int memberCount = 12;
    std::vector<instance_id> members;
    members.reserve(memberCount);
    for (int i = 0; i < memberCount; ++i)
        members.emplace_back("entry-" + std::to_string(i));
    for (const auto& owner : { members[4], instance_id("gone") }) {
        for (const auto& finder : members) {
            auto holder = finder;
            auto plan = planOrphan(owner, holder, members);
            BOOST_TEST((plan.next == step::Adopt) == (adoptionDelay(owner, finder, members).has_value() && (owner == finder || owner == instance_id("gone"))));
            if (plan.next == step::PassOn) {
                holder = plan.to;
                plan = planOrphan(owner, holder, members);
            }
            BOOST_TEST((plan.next == step::Adopt), owner.str() << " found by " << finder.str());
            if (owner == members[4])
                BOOST_TEST(holder.str() == owner.str());
        }
    }
    // One that may not run the batch passes it on as well, and waits if nobody may.
    BOOST_TEST((planOrphan(members[4], instance_id("elsewhere"), members).next == step::PassOn));
    BOOST_TEST((planOrphan(members[4], members[0], {}).next == step::Wait));
}

// Guards against a hand-over that is handled late and takes a batch from its live owner: for all heads that the receiver may read,
// it takes the batch over only if nobody has rewritten the head since the batch was given away.
BOOST_AUTO_TEST_CASE(a_hand_over_holds_only_for_the_head_that_was_given_away)
{
    constexpr std::uint64_t given = 10;
    const hand_over offered { owners[0], revision(given) };
    for (const auto& self : owners) {
        for (const auto& owner : owners) {
            for (const std::uint64_t at : { given - 1, given, given + 1 }) {
                for (const bool ended : { false, true }) {
                    const auto step = planHandOver(offered, self, storedHead(owner, at, ended));
                    const bool isGiven = !ended && owner == owners[0] && at == given && !(self == owner);
                    BOOST_TEST((step == hand_over_step::TakeOver) == isGiven);
                    BOOST_TEST((step == hand_over_step::AlreadyOwned) == (!ended && owner == self));
                }
            }
        }
    }
    // A call that doesn't state the head can't be told from a late one.
    BOOST_TEST((planHandOver({}, owners[2], storedHead(owners[0], given)) == hand_over_step::Refuse));
    BOOST_TEST((planHandOver({ owners[0], {} }, owners[2], storedHead(owners[0], given)) == hand_over_step::Refuse));
}

// A head says something to an owner only if it was written after the one that the owner holds; an end is final and needs no order.
BOOST_AUTO_TEST_CASE(an_owner_is_displaced_by_newer_heads_alone)
{
    constexpr std::uint64_t held = 10;
    for (const bool endedHere : { false, true }) {
        for (const auto& owner : owners) {
            for (const std::uint64_t at : { std::uint64_t { 0 }, held - 1, held, held + 1 }) {
                for (const bool ended : { false, true }) {
                    const auto news = judgeOwnership(storedHead(owners[0], held, endedHere), storedHead(owner, at, ended));
                    BOOST_TEST((news == owner_news::TakenOver) == (!ended && at > held && !(owner == owners[0])));
                    BOOST_TEST((news == owner_news::Ended) == (ended && !endedHere && (at == 0 || at > held)));
                }
            }
        }
    }
}

// Items wait while the owner may have lost its batches and can find out; not for long, and not while the store is away.
BOOST_AUTO_TEST_CASE(items_wait_only_while_their_owner_can_check_its_batches)
{
    for (const bool isMember : { false, true }) {
        for (const bool isRechecking : { false, true }) {
            for (const auto away : { std::chrono::milliseconds(0), std::chrono::milliseconds(499), std::chrono::milliseconds(500) }) {
                for (const auto doubtful : { std::chrono::milliseconds(0), std::chrono::milliseconds(1499), std::chrono::milliseconds(1500) }) {
                    const bool waits = (!isMember || isRechecking) && away < std::chrono::milliseconds(500) && doubtful < std::chrono::milliseconds(1500);
                    BOOST_TEST(mayBeginItems({ isMember, isRechecking, away, doubtful }) != waits);
                }
            }
        }
    }
}

// Guards against an open batch that is deleted, or left without an owner, because of its age; and against one that is kept for ever.
BOOST_AUTO_TEST_CASE(an_open_batch_is_kept_while_its_items_or_its_trainer_need_it)
{
    using namespace std::chrono_literals;
    constexpr retention kept { 120s, 1h };
    constexpr auto margin = 5s;
    constexpr auto repeatedEnd = 15s;
    const wall_time submitted { 1'700'000'000'000ms };
    for (const auto deadline : { 0s, 7s, 780s }) {
        for (const auto itemTtl : { 0s, 40s, 3600s }) {
            for (const bool hasRoute : { false, true }) {
                auto open = storedHead(owners[0], 1).head;
                open.submitted = submitted;
                if (hasRoute) {
                    open.decided.emplace();
                    open.decided->route.resultDeadline = deadline;
                    open.decided->route.itemTtl = itemTtl;
                }
                const auto ownEnd = submitted + (hasRoute ? std::max<std::chrono::milliseconds>(deadline, itemTtl) : 0ms);
                BOOST_TEST((keptUntil(open, kept, {}) == std::max<wall_time>(submitted + 125s, ownEnd + 1h)));
                for (const auto at : { ownEnd, submitted + 125s + 1ms, keptUntil(open, kept, {}) })
                    BOOST_TEST((planUnowned(open, kept, at) == unowned_step::FindOwner));
                BOOST_TEST((planUnowned(open, kept, keptUntil(open, kept, {}) + 1ms) == unowned_step::Delete));

                auto ended = open;
                ended.ended = true;
                BOOST_TEST((planUnowned(ended, kept, submitted) == unowned_step::Delete));
                BOOST_TEST((keptUntil(ended, kept, {}) == submitted + 120s + margin));
                BOOST_TEST((keptUntil(ended, kept, submitted + 8s) == submitted + 120s + margin));
                BOOST_TEST((keptUntil(ended, kept, submitted + 780s) == submitted + 780s + repeatedEnd));
            }
        }
    }
}

// One member deletes what has no live owner; one that has returned under its name does so itself.
BOOST_AUTO_TEST_CASE(one_member_deletes_the_records_of_a_lost_owner)
{
    std::vector<instance_id> members;
    for (const char* name : { "a", "b", "c", "d", "e" })
        members.emplace_back(name);
    for (const auto& owner : { instance_id("gone"), members[2] }) {
        const auto deleting = std::count_if(members.begin(), members.end(), [&](const instance_id& self) { return deletesRecords(owner, self, members); });
        BOOST_TEST(deleting == 1);
        BOOST_TEST((deletesRecords(owner, members[2], members) == (owner == members[2] || *rendezvousFirst(owner.str(), members) == members[2])));
    }
    BOOST_TEST(!deletesRecords(members[0], members[1], {}));
}

// A batch whose id begins with that of another one and a slash has its own pages.
BOOST_AUTO_TEST_CASE(pages_of_another_batch_are_not_deleted_with_one)
{
    const batch_id id("X");
    BOOST_TEST((isPageOrTexts(id, pageKey(id, 3)) && isPageOrTexts(id, textsKey(id))));
    BOOST_TEST((!isPageOrTexts(id, pageKey(batch_id("X/2"), 0)) && !isPageOrTexts(id, textsKey(batch_id("X/2"))) && !isPageOrTexts(id, pageKey(batch_id("Y"), 0))));
}

// Guards against items that may run nowhere, as their route was moved, and against items at services of weight 0. All combinations
// of weights, routes in force and regions.
BOOST_AUTO_TEST_CASE(items_are_placed_by_the_acceptance_and_the_configuration_in_force)
{
    const service_id first("first");
    const service_id second("second");
    const region_list land { { region_id("land") } };
    const region_list sea { { region_id("sea") } };
    using services = std::vector<service_id>;
    for (const std::uint32_t decidedWeight : { 0U, 3U }) {
        for (const std::uint32_t inForceWeight : { 0U, 3U }) {
            for (const auto& regionsInForce : { region_list(), land, sea }) {
                for (const auto& accountRegions : { region_list(), land, sea }) {
                    batch_route decided;
                    decided.route.services = { { first, 1 }, { second, decidedWeight } };
                    decided.route.allowedRegions = land;
                    decided.tokensPerEvent = 2;
                    const auto decidedServices = decidedWeight > 0 ? services { first, second } : services { first };

                    const auto removed = placeItems(decided, std::nullopt, accountRegions);
                    BOOST_TEST((removed.services == decidedServices && removed.otherServices.empty()));
                    BOOST_TEST((removed.regions == commonRegions(land, accountRegions) && removed.tokensPerEvent == 2));

                    auto inForce = decided;
                    inForce.route.services = { { second, 1 }, { first, inForceWeight } };
                    inForce.route.allowedRegions = regionsInForce;
                    inForce.tokensPerEvent = 1;
                    const auto moved = placeItems(decided, inForce, accountRegions);
                    BOOST_TEST((moved.services == (inForceWeight > 0 ? services { second, first } : services { second })));
                    BOOST_TEST((moved.otherServices == (inForceWeight > 0 ? services {} : services { first })));
                    BOOST_TEST((moved.regions == regionsInForce && moved.tokensPerEvent == 1));
                }
            }
        }
    }
    // A record of an older version without weights.
    batch_route unweighted;
    unweighted.route.services = { { first, 0 }, { second, 0 } };
    BOOST_TEST((placeItems(unweighted, std::nullopt, {}).services == services { first, second }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
