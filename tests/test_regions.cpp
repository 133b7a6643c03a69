// Tests of allowed regions: requests and items run only where the route and the account allow it,
// are refused at once where no target does, and bodies go only to instances that may hold them.
#include "batch_runner.h"
#include "forwarding.h"
#include "platform/desired_state.h"
#include "property.h"
#include "regions.h"
#include "rendezvous.h"
#include "target_paths.h"

#include <algorithm>

namespace lovagerail {
namespace {

    using namespace std::chrono_literals;

    constexpr instant start { 1h };
    constexpr wall_time wallStart { std::chrono::milliseconds(1'700'000'000'000) };
    const service_id app("app");
    const region_id east("east");
    const region_id west("west");

    region_list listOf(std::set<region_id> regions) { return regions; }

    // Two targets in each of the regions, and two whose region the settings don't name.
    void addTargets(router& targets, const std::vector<std::string>& regions)
    {
        targets.setClass(serviceClass(app), [](const target_record& record) { return record.listed.pool == pool_id(app.str()); });
        std::vector<listed_target> rows;
        for (const auto& region : regions) {
            for (int i = 0; i < 2; ++i) {
                listed_target row;
                row.id = target_id("t-" + region + std::to_string(i));
                row.pool = pool_id(app.str());
                row.region = region_id(region);
                row.labels = { { "version:m", "1" }, { "slots", "8" } };
                rows.push_back(row);
            }
        }
        targets.applyList(rows, start);
    }

    site_route routeWith(route_kind kind, region_list allowed)
    {
        site_route route;
        route.id = route_id("r");
        route.host = "h";
        route.prefix = "/p/";
        route.kind = kind;
        route.services = { { app, 1 } };
        route.timeout = 1500ms;
        route.maxAttempts = 3;
        route.resultDeadline = 7500ms;
        route.itemTtl = 40s;
        route.allowedRegions = std::move(allowed);
        return route;
    }

    std::vector<forward_action> arrive(request_forwarder& machine, const site_route& route, std::uint64_t id)
    {
        machine.setWallTime(wallStart);
        forward_request request;
        request.id = forward_id(id);
        request.callerId = request_id("c" + std::to_string(id));
        request.route = route;
        return machine.arrive(std::move(request), start);
    }

    template <typename Action>
    std::vector<Action> actionsOf(const std::vector<forward_action>& actions)
    {
        std::vector<Action> out;
        for (const auto& action : actions) {
            if (const auto* one = std::get_if<Action>(&action))
                out.push_back(*one);
        }
        return out;
    }

    batch_spec smallBatch()
    {
        batch_spec spec;
        spec.id = batch_id("b");
        spec.model = model_id("m");
        spec.minVersion = weight_version(1);
        spec.submitted = wallStart;
        spec.requiredGroups = 1;
        for (int i = 0; i < 12; ++i) {
            batch_item item;
            item.id = item_id("i" + std::to_string(i));
            item.group = "g";
            item.path = "/p/x";
            item.expectedTokens = token_count(100);
            spec.items.push_back(item);
        }
        return spec;
    }

    region_list anyRegions()
    {
        return *rc::gen::element(region_list(), listOf({ east }), listOf({ west }), listOf({ east, west }), listOf({ region_id("nowhere") }));
    }

} // namespace

BOOST_AUTO_TEST_SUITE(regions_suite)

// Guards against one of two lists being forgotten.
BOOST_AUTO_TEST_CASE(where_the_route_and_the_account_have_lists_both_apply)
{
    const auto site = platform::decodeSite(R"({"version":1,
        "routes":[{"name":"r","host":"h","prefix":"/p/","service":"app","allowedRegions":["east","west"]},{"name":"free","host":"h","prefix":"/f/","service":"app"}],
        "tenants":[{"name":"a","apiKeys":["k"],"allowedRegions":["west","north"]},{"name":"b","apiKeys":["l"]}]})");
    BOOST_REQUIRE(site.has_value());
    const auto* route = site->find("h", "/p/x");
    const auto* freeRoute = site->find("h", "/f/x");
    BOOST_TEST((site->allowedRegions(route, client_account_id("a")) == listOf({ west })));
    BOOST_TEST((site->allowedRegions(route, client_account_id("b")) == listOf({ east, west })));
    BOOST_TEST((site->allowedRegions(freeRoute, client_account_id("a")) == listOf({ west, region_id("north") })));
    BOOST_TEST(!site->allowedRegions(freeRoute, client_account_id("b")).has_value());
    BOOST_TEST((site->allowedRegions(nullptr, client_account_id("a")) == listOf({ west, region_id("north") })));
    BOOST_TEST((commonRegions(listOf({ east }), listOf({ west })) == listOf({}))); // no region, which is not "all"
    BOOST_TEST(site->hasRegionRules());
}

// Guards against a malformed rule that lifts the restriction.
BOOST_AUTO_TEST_CASE(a_malformed_list_allows_no_region)
{
    const auto allowedBy = [](const std::string& value) {
        const auto site = platform::decodeSite(R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/p/","service":"app","allowedRegions":)" + value + "}]}");
        return site->routes.front().allowedRegions;
    };
    BOOST_TEST((allowedBy("\"east\"") == listOf({})));
    BOOST_TEST((allowedBy("[7]") == listOf({})));
    BOOST_TEST((allowedBy("[\"east\",7]") == listOf({ east })));
    BOOST_TEST(!allowedBy("[]").has_value());
    BOOST_TEST(!allowedBy("null").has_value());
}

// Guards against requests, retries and hedges at targets of other or unknown regions, and against
// waiting where no target can ever match.
BOOST_AUTO_TEST_CASE(requests_run_only_in_allowed_regions_or_are_refused_at_once)
{
    test::checkProperty("any lists and outcomes", [] {
        router targets({});
        addTargets(targets, { "east", "west", "" });
        quarantine marks;
        request_forwarder machine({}, targets, marks);
        for (std::uint64_t id = 1; id <= 5; ++id) {
            const auto route = routeWith(route_kind::Idempotent, anyRegions());
            auto actions = arrive(machine, route, id);
            const bool exists = !route.allowedRegions || !route.allowedRegions->contains(region_id("nowhere"));
            if (!exists) {
                const auto refusals = actionsOf<forward_refuse>(actions);
                RC_ASSERT(refusals.size() == 1U && actionsOf<forward_send>(actions).empty());
                RC_ASSERT(refusals.front().status == 503); // not run
                continue;
            }
            instant now = start;
            for (int round = 0; round < 40; ++round) {
                for (const auto& sent : actionsOf<forward_send>(actions)) {
                    const auto& record = targets.table().record(*targets.table().find(sent.choice.target));
                    RC_ASSERT(isAllowed(route.allowedRegions, record.listed.region));
                    if (*rc::gen::arbitrary<bool>()) {
                        actions = machine.done(sent.attempt, transfer_state::NotSent, now);
                        break;
                    }
                }
                now += 50ms;
                actions = machine.tick(now);
            }
        }
    });
}

// Guards against items at targets that the batch's route or account forbids.
BOOST_AUTO_TEST_CASE(items_run_only_in_allowed_regions)
{
    test::checkProperty("any list", [] {
        router targets({});
        addTargets(targets, { "east", "west", "" });
        batch_runner runner({}, targets);
        const auto route = routeWith(route_kind::Batch, anyRegions());
        runner.add(smallBatch(), route, 1, {}, 0, start, wallStart);
        std::size_t runs = 0;
        for (const auto& action : runner.tick(start + 20ms)) {
            const auto* run = std::get_if<run_item>(&action);
            if (run == nullptr)
                continue;
            ++runs;
            RC_ASSERT(isAllowed(route.allowedRegions, targets.table().record(*targets.table().find(run->choice.target)).listed.region));
        }
        RC_ASSERT((runs == 0) == (route.allowedRegions && route.allowedRegions->contains(region_id("nowhere"))));
    });
}

// Guards against two batches of one route that share a class although their accounts allow
// different regions.
BOOST_AUTO_TEST_CASE(classes_of_different_lists_are_apart)
{
    router targets({});
    addTargets(targets, { "east", "west" });
    batch_runner runner({}, targets);
    auto first = smallBatch();
    auto second = smallBatch();
    second.id = batch_id("c");
    runner.add(first, routeWith(route_kind::Batch, listOf({ east })), 1, {}, 0, start, wallStart);
    runner.add(second, routeWith(route_kind::Batch, listOf({ west })), 1, {}, 0, start, wallStart);
    std::size_t runs = 0;
    for (const auto& action : runner.tick(start + 20ms)) {
        const auto* run = std::get_if<run_item>(&action);
        if (run == nullptr)
            continue;
        ++runs;
        const auto& region = targets.table().record(*targets.table().find(run->choice.target)).listed.region;
        BOOST_TEST(region == (run->batch == first.id ? east : west));
    }
    BOOST_TEST(runs > 0U);
}

// Guards against an owner or adopter that may not hold the batch, and against callers in different
// regions that choose different owners although some may hold it for all.
BOOST_AUTO_TEST_CASE(owners_are_in_allowed_regions_or_in_the_callers_own)
{
    const std::vector<instance_place> places { { instance_id("e1"), east }, { instance_id("e2"), east }, { instance_id("w1"), west }, { instance_id("old"), {} } };
    const auto names = [](std::initializer_list<const char*> texts) {
        std::vector<instance_id> out;
        for (const auto* text : texts)
            out.emplace_back(text);
        return out;
    };
    BOOST_TEST((instancesFor(places, { listOf({ west }), east }) == names({ "e1", "e2", "w1" })));
    BOOST_TEST((ownersFor(places, { listOf({ west }), east }) == names({ "w1" })));
    BOOST_TEST((ownersFor(places, { listOf({ region_id("north") }), east }) == names({ "e1", "e2" })));
    BOOST_TEST(ownersFor(places, { listOf({ region_id("north") }), {} }).empty());
    BOOST_TEST((ownersFor(places, { {}, east }) == names({ "e1", "e2", "w1", "old" })));
}

// Guards against an adopter that does not know the region of the batch's caller any more.
BOOST_AUTO_TEST_CASE(the_head_of_a_batch_keeps_the_callers_region)
{
    batch_head head;
    head.id = batch_id("b");
    head.owner = instance_id("i");
    head.originRegion = east;
    const auto read = decodeHead(head.id, encodeHead(head));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->originRegion == east);
    head.originRegion = {};
    BOOST_TEST(encodeHead(head).find("region") == std::string::npos); // as older versions write it
}

// Guards against a body that goes through a relay which may not hold it, and against questions to
// such instances while others could help.
BOOST_AUTO_TEST_CASE(relays_may_hold_the_body)
{
    target_paths paths;
    paths.setInstances({ instance_id("w"), instance_id("e") });
    paths.setTargets({ target_id("t0"), target_id("t1") });
    paths.failed(target_id("t0"), path_failure::NotConnected, start);
    paths.failed(target_id("t1"), path_failure::NotConnected, start);
    BOOST_REQUIRE(paths.isCutOff());
    const auto onlyEast = [](const instance_id& name) { return name == instance_id("e"); };
    const auto none = [](const instance_id& /*name*/) { return false; };
    BOOST_TEST((paths.pathTo(target_id("t0"), start, none).kind == path_kind::DirectDoubted)); // at once
    BOOST_TEST((paths.pathTo(target_id("t0"), start, onlyEast).kind == path_kind::Undecided));
    std::vector<instance_id> asked;
    for (const auto& action : paths.tick(start)) {
        if (const auto* question = std::get_if<ask_for_relays>(&action))
            asked.insert(asked.end(), question->instances.begin(), question->instances.end());
    }
    BOOST_TEST((asked == std::vector { instance_id("e") }));
    paths.answered(instance_id("w"), true, start);
    BOOST_TEST((paths.pathTo(target_id("t0"), start, onlyEast).kind != path_kind::Relayed));
    paths.answered(instance_id("e"), true, start);
    for (int i = 0; i < 4; ++i)
        BOOST_TEST(paths.pathTo(target_id("t0"), start, onlyEast).relay == instance_id("e"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
