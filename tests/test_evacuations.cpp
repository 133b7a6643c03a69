// Tests of evacuations: requests that are put, removed, malformed or of unknown failure domains,
// sources of an older version, and that evacuated targets are neither used nor ordered.
#include "capacity_orders.h"
#include "edge/entry_settings.h"
#include "evacuations.h"
#include "platform/desired_state.h"
#include "property.h"
#include "router.h"

namespace lovagerail {
namespace {

    using namespace std::chrono_literals;

    const failure_domain_id north("north");
    const failure_domain_id south("south");

    std::vector<evacuation_request> requestsOf(const std::vector<std::string>& keys)
    {
        std::vector<evacuation_request> out;
        out.reserve(keys.size());
        for (const auto& key : keys)
            out.push_back({ key, platform::decodeEvacuation(key) });
        return out;
    }

    evacuations twoDomains()
    {
        evacuations out(5s);
        out.setDomains({ north, south });
        return out;
    }

} // namespace

BOOST_AUTO_TEST_SUITE(evacuations_suite)

// Guards against an evacuation that outlasts its key, or that ends without its removal.
BOOST_AUTO_TEST_CASE(a_request_is_in_force_until_its_key_is_removed)
{
    auto view = twoDomains();
    const auto put = view.setRequests(requestsOf({ "op/evacuate/north" }));
    BOOST_TEST((put.began == std::vector { north }));
    BOOST_TEST((view.inForce() == std::set { north }));
    const auto removed = view.setRequests({});
    BOOST_TEST((removed.ended == std::vector { north }));
    BOOST_TEST(view.inForce().empty());
}

// Guards against a wrong key that evacuates, or that hides the valid ones beside it.
BOOST_AUTO_TEST_CASE(malformed_keys_and_unknown_domains_are_reported_once_and_ignored)
{
    auto view = twoDomains();
    const std::vector<std::string> keys { "op/evacuate/", "op/evacuate/a b", "op/evacuate/north/x", "op/evacuate/south", "op/evacuate/west", "op/evacuated", "" };
    BOOST_TEST(view.setRequests(requestsOf(keys)).ignored.size() == 6U);
    BOOST_TEST((view.inForce() == std::set { south }));
    BOOST_TEST(view.setRequests(requestsOf(keys)).ignored.empty());
}

// Guards against a request that is lost as its failure domain gets its first target later.
BOOST_AUTO_TEST_CASE(a_request_comes_into_force_when_its_domain_is_known)
{
    auto view = twoDomains();
    view.setRequests(requestsOf({ "op/evacuate/west" }));
    BOOST_TEST(view.inForce().empty());
    const auto changes = view.setDomains({ north, south, failure_domain_id("west") });
    BOOST_TEST((changes.began == std::vector { failure_domain_id("west") }));
}

// Guards against an instance that learns nothing since its source is of a version without
// evacuations, and against one that reads the store although its source delivers them.
BOOST_AUTO_TEST_CASE(below_an_older_source_an_instance_reads_itself)
{
    auto view = twoDomains();
    view.onSourceAnswer(true);
    BOOST_TEST(!view.readsItself());
    BOOST_TEST(view.isStale(3s, false));
    view.onSourceAnswer(false);
    BOOST_TEST(view.readsItself());
    BOOST_TEST(2 * view.readPeriod() < 5s); // one read may fail
    // Another source would not be better: the age of the own reads says nothing of it.
    BOOST_TEST(!view.isStale(1h, false));
    view.onSourceAnswer(true);
    BOOST_TEST(!view.readsItself());
}

// Guards against evacuations that end as the store does not confirm them any more.
BOOST_AUTO_TEST_CASE(requests_stay_in_force_while_the_store_is_away)
{
    auto view = twoDomains();
    view.setRequests(requestsOf({ "op/evacuate/north" }));
    BOOST_TEST(view.isStale(1h, true));
    BOOST_TEST((view.inForce() == std::set { north }));
}

// Guards against store calls, waits at the start and trials of other sources where the settings
// have no bound.
BOOST_AUTO_TEST_CASE(without_a_bound_nothing_is_read_or_awaited)
{
    evacuations view { duration {} };
    view.onSourceAnswer(false);
    BOOST_TEST(!view.readsItself());
    BOOST_TEST(!view.isStale(1h, false));
    BOOST_TEST(view.mayServe(false, duration {}));
}

// Guards against an instance that serves before it knows of evacuations, and against one that
// never serves as the store is away.
BOOST_AUTO_TEST_CASE(a_start_waits_for_the_first_copy_but_no_longer_than_the_bound)
{
    const evacuations view(5s);
    BOOST_TEST(!view.mayServe(false, 1s));
    BOOST_TEST(view.mayServe(true, 1s));
    BOOST_TEST(view.mayServe(false, 5s));
}

// Guards against requests to evacuated targets, and against targets that stay out afterwards.
BOOST_AUTO_TEST_CASE(the_router_uses_no_target_of_an_evacuated_domain)
{
    test::checkProperty("any sequence of evacuations", [] {
        router targets({});
        const routing_class_id all("all");
        targets.setClass(all, [](const target_record&) { return true; });
        std::vector<listed_target> rows;
        for (int i = 0; i < 6; ++i) {
            listed_target row;
            row.id = target_id("t" + std::to_string(i));
            row.kind = target_kind::Service;
            row.failureDomain = i % 2 == 0 ? north : south;
            rows.push_back(row);
        }
        targets.applyList(rows, instant { 1s });
        std::uint64_t attempts = 0;
        for (int i = 0; i < 30; ++i) {
            const instant now { 1s + i * 10ms };
            const auto out = *rc::gen::element(std::set<failure_domain_id> {}, std::set { north }, std::set { south }, std::set { north, south });
            targets.setEvacuated(out);
            if (*rc::gen::arbitrary<bool>())
                targets.applyList(rows, now);
            route_request request;
            request.routingClass = all;
            request.seed = static_cast<std::uint64_t>(i);
            const auto decision = targets.choose(request, now);
            const auto* choice = std::get_if<route_choice>(&decision);
            RC_ASSERT((choice == nullptr) == (out.size() == 2));
            if (choice != nullptr) {
                RC_ASSERT(!out.contains(choice->failureDomain));
                targets.started(attempt_id(++attempts), *choice, request, now);
            }
        }
    });
}

// Guards against orders in an evacuated failure domain, and against its targets counting as
// capacity.
BOOST_AUTO_TEST_CASE(no_capacity_is_ordered_in_an_evacuated_domain)
{
    capacity_settings planning;
    planning.policy = capacity_policy::QueueLength;
    capacity_orders orders({ 4s, 3, 3s, 500ms, 1, 3 }, planning);
    std::vector<capacity_target> listed;
    for (const auto& domain : { north, south }) {
        capacity_target target;
        target.id = target_id("t-" + domain.str());
        target.failureDomain = domain;
        listed.push_back(target);
    }
    orders.setExcluded({ north });
    target_pool pool;
    pool.meta.name = "pool";
    std::uint32_t orderedSouth = 0;
    for (int i = 0; i < 200; ++i) {
        const instant now { 1h + i * 100ms };
        orders.updateTargets(listed, now);
        demand_sample sample;
        sample.open = 8; // as much as one of the targets holds
        sample.queued = 16;
        sample.perTarget = 8;
        orders.observe(sample, now);
        for (const auto& order : orders.plan(pool, now)) {
            BOOST_TEST(order.where.failureDomain == south);
            orderedSouth = std::max(orderedSouth, order.count);
            orders.onOrderResult(order.where, place_outcome::Taken, now);
        }
    }
    BOOST_TEST(orderedSouth >= 2U);
}

// Guards against settings of deployments without these rules being refused, or enabling them.
BOOST_AUTO_TEST_CASE(settings_without_the_bound_have_no_evacuations)
{
    const std::string head = "[instance]\nname = \"a\"\nfailure_domain = \"z\"\n[listen]\nmetrics = \"127.0.0.1:1\"\n[store]\naddress = \"127.0.0.1:2\"\n";
    const auto without = edge::readEntrySettings(head + "[placement]\nregions = {  }\n", "f.toml");
    BOOST_TEST(without.faults.empty());
    BOOST_TEST(without.value.bounds.evacuation.count() == 0);
    const auto with = edge::readEntrySettings(head + "[bounds]\nevacuation = \"5000ms\"\n[placement]\nregions = { \"z1\" = \"east\", \"z2\" = \"west\" }\n", "f.toml");
    BOOST_TEST(with.faults.empty());
    BOOST_TEST(with.value.bounds.evacuation.count() == 5000);
    BOOST_TEST(with.value.placement.regions.at("z2") == "west");
    BOOST_TEST(edge::readEntrySettings(head + "[placement]\nregions = { \"z1\" = 3 }\n", "f.toml").faults.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
