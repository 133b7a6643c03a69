// Tests of the counted connections to targets and of the router's preference for idle ones.
#include "connection_pool_view.h"
#include "property.h"
#include "router.h"

#include <functional>
#include <set>

namespace lovagerail {
namespace {

    using namespace std::chrono_literals;

    constexpr target_slot slot { 3 };
    constexpr connection_end kept { connection_end::kind::Kept, 10s };
    constexpr connection_end closed { connection_end::kind::Closed, {} };
    constexpr connection_end cancelled { connection_end::kind::Cancelled, {} };
    const routing_class_id engines("engines");
    constexpr duration connectionCost = 4ms;
    constexpr std::uint32_t slotsPerTarget = 6;

    listed_target row(std::uint32_t number, target_kind kind = target_kind::Engine, std::uint64_t start = 1)
    {
        listed_target listed;
        listed.id = target_id("t" + std::to_string(number));
        listed.address = "192.0.2.1:" + std::to_string(number);
        listed.kind = kind;
        listed.pool = pool_id("p");
        listed.failureDomain = failure_domain_id(std::string(1, static_cast<char>('a' + number % 6)));
        listed.incarnation = incarnation(start);
        listed.labels["slots"] = std::to_string(slotsPerTarget);
        return listed;
    }

    router routerOf(std::uint32_t targets, const std::string& instance, duration cost, target_kind kind = target_kind::Engine, const std::string& domain = "a")
    {
        router_settings settings;
        settings.instance = instance;
        settings.failureDomain = failure_domain_id(domain);
        settings.subsetSize = 8;
        settings.connectionCost = cost;
        settings.load.initialSpeed.prefillTokensPerSecond = 100'000;
        settings.load.initialSpeed.secondsPerToken = 0.001;
        settings.load.initialSpeed.batchLimit = 8;
        settings.load.initialSpeed.serviceWorkers = slotsPerTarget;
        router made(settings);
        made.setClass(engines, [](const target_record&) { return true; });
        for (std::uint32_t i = 0; i < targets; ++i)
            made.applyRow(row(i, kind), instant { 1s });
        return made;
    }

    route_request requestOf(std::uint64_t seed)
    {
        route_request request;
        request.routingClass = engines;
        request.account = client_account_id("acme");
        request.promptTokens = token_count(100);
        request.expectedTokens = token_count(200);
        request.idempotent = true;
        request.seed = seed;
        return request;
    }

    // How many of 200 choices go to the target.
    int chosenOf(router& subject, const std::string& name, instant now)
    {
        int count = 0;
        for (std::uint64_t seed = 1; seed <= 200; ++seed)
            count += std::get<route_choice>(subject.choose(requestOf(seed), now)).target.str() == name;
        return count;
    }

    // Leaves an idle connection to the target.
    void leaveIdle(router& subject, const std::string& name, instant now, std::uint64_t request = 1)
    {
        const auto found = subject.table().find(target_id(name));
        subject.connections().opened(request, *found, false, now);
        subject.connections().ended(request, kept, now);
    }

    load_report reportOf(const std::string& name, std::uint32_t running, instant now)
    {
        load_report report;
        report.target = target_id(name);
        report.incarnation = incarnation(1);
        report.running = running;
        report.model = model_id("m");
        report.measuredAt = now;
        return report;
    }

} // namespace

BOOST_AUTO_TEST_SUITE(connection_pool_view_suite)

// An idle connection counted past the target's time-out would attract requests that then open one.
BOOST_AUTO_TEST_CASE(idle_connections_expire_by_the_stated_time)
{
    connection_pool_view view;
    view.opened(1, slot, false, instant { 1s });
    BOOST_TEST(view.idle(slot, instant { 1s }) == 0U);
    BOOST_TEST(view.inUse(slot) == 1U);
    view.ended(1, kept, instant { 2s });
    BOOST_TEST(view.idle(slot, instant { 11s }) == 1U);
    BOOST_TEST(view.idle(slot, instant { 12s }) == 0U);
    view.tick(instant { 12s });
    BOOST_TEST(view.slotsWithIdle().empty());
    view.opened(2, slot, false, instant { 13s });
    view.ended(2, { connection_end::kind::Kept, {} }, instant { 13s }); // not stated
    BOOST_TEST(view.idle(slot, instant { 17s }) == 1U);
    BOOST_TEST(view.idle(slot, instant { 18s }) == 0U);
}

BOOST_AUTO_TEST_CASE(closed_and_cancelled_connections_are_not_idle_and_explain_new_ones)
{
    connection_pool_view view;
    const instant now { 1s };
    BOOST_TEST((view.opened(1, slot, false, now) == connection_cause::FirstUse));
    BOOST_TEST((view.opened(2, slot, false, now) == connection_cause::AllBusy));
    view.ended(1, closed, now);
    view.ended(2, cancelled, now);
    view.ended(2, kept, now); // a second end is ignored
    BOOST_TEST(view.idle(slot, now) + view.inUse(slot) == 0U);
    BOOST_TEST((view.opened(3, slot, false, now) == connection_cause::Cancelled));
    BOOST_TEST((view.opened(4, slot, false, now) == connection_cause::ClosedByTarget));
    BOOST_TEST((view.opened(5, slot, true, now) == connection_cause::ReuseForbidden));
    BOOST_TEST((view.opened(6, slot, false, now) == connection_cause::AllBusy));
    BOOST_TEST(view.counts().of(connection_cause::AllBusy) == 2U);
}

// A new connection of a request that may reuse one shows that no counted idle one was open.
BOOST_AUTO_TEST_CASE(a_new_connection_contradicts_idle_ones_unless_reuse_was_forbidden)
{
    connection_pool_view view;
    const instant now { 1s };
    view.opened(1, slot, false, now);
    view.opened(2, slot, false, now);
    view.ended(1, kept, now);
    view.ended(2, kept, now);
    view.opened(3, slot, true, now);
    BOOST_TEST(view.idle(slot, now) == 2U);
    BOOST_TEST((view.opened(4, slot, false, now) == connection_cause::ClosedByTarget));
    BOOST_TEST(view.idle(slot, now) == 0U);
    // A request whose kept connection turns out closed gets a new one.
    view.ended(4, kept, now);
    view.reused(5, slot, now);
    BOOST_TEST((view.opened(5, slot, false, now) == connection_cause::ClosedByTarget));
    BOOST_TEST(view.inUse(slot) == 2U);
}

// Events of a request to the earlier incarnation must not count for the new one.
BOOST_AUTO_TEST_CASE(a_new_incarnation_starts_without_connections)
{
    auto subject = routerOf(2, "i1", connectionCost);
    const auto first = *subject.table().find(target_id("t0"));
    subject.connections().opened(1, first, false, instant { 2s });
    leaveIdle(subject, "t0", instant { 2s }, 2);
    subject.applyRow(row(0, target_kind::Engine, 2), instant { 3s });
    const auto again = *subject.table().find(target_id("t0"));
    BOOST_TEST(subject.spareConnections(again, instant { 3s }) == 0U);
    subject.connections().ended(1, kept, instant { 3s });
    BOOST_TEST(subject.spareConnections(again, instant { 3s }) == 0U);
    BOOST_TEST((subject.connections().opened(3, again, false, instant { 3s }) == connection_cause::FirstUse));
}

// For any sequence of events, the counts equal those of a plain model: connections are idle or in
// use by exactly one request, and none is counted twice.
BOOST_AUTO_TEST_CASE(counts_agree_with_a_model_for_any_events)
{
    test::checkProperty("connections", [](const std::vector<std::uint32_t>& steps) {
        connection_pool_view view;
        const instant now { 1s };
        std::size_t idle = 0;
        std::set<std::uint64_t> users;
        std::uint64_t last = 0;
        for (const auto step : steps) {
            const auto user = users.empty() ? 0 : *std::next(users.begin(), static_cast<std::ptrdiff_t>((step >> 8) % users.size()));
            switch (step % 4) {
            case 0:
                if (idle > 0) {
                    --idle;
                    view.reused(++last, slot, now);
                } else
                    view.opened(++last, slot, false, now);
                users.insert(last);
                break;
            case 1:
                view.opened(++last, slot, true, now);
                users.insert(last);
                break;
            case 2:
                view.ended(user, kept, now);
                idle += users.erase(user);
                break;
            default:
                view.ended(user, (step >> 4) % 2 == 0 ? cancelled : closed, now);
                users.erase(user);
            }
            RC_ASSERT(view.idle(slot, now) == idle);
            RC_ASSERT(view.inUse(slot) == users.size());
            RC_ASSERT(view.slotsWithIdle().contains(slot) == (idle > 0));
        }
    });
}

BOOST_AUTO_TEST_CASE(the_router_prefers_a_target_with_an_idle_connection)
{
    const instant now { 60s };
    auto without = routerOf(36, "i1", {});
    leaveIdle(without, "t20", now);
    BOOST_TEST(chosenOf(without, "t20", now) < 60);
    for (const auto kind : { target_kind::Engine, target_kind::Service }) {
        auto subject = routerOf(36, "i1", connectionCost, kind);
        leaveIdle(subject, "t20", now);
        BOOST_TEST(chosenOf(subject, "t20", now) == 200);
        BOOST_TEST(chosenOf(subject, "t20", now + 10s) < 60); // expired
    }
}

// A burst sent at once must not put more requests on a target than it has idle connections.
BOOST_AUTO_TEST_CASE(an_attempt_without_a_connection_yet_takes_an_idle_one_out_of_the_count)
{
    const instant now { 60s };
    auto subject = routerOf(36, "i1", connectionCost);
    leaveIdle(subject, "t20", now);
    const auto number = *subject.table().find(target_id("t20"));
    const auto choice = std::get<route_choice>(subject.choose(requestOf(1), now));
    subject.started(attempt_id(1), choice, requestOf(1), now);
    BOOST_TEST(subject.spareConnections(number, now) == 0U);
    BOOST_TEST(chosenOf(subject, "t20", now) < 60);
    subject.connections().reused(7, number, now);
    leaveIdle(subject, "t20", now, 8);
    BOOST_TEST(subject.spareConnections(number, now) == 1U); // the attempt has its connection
    subject.connections().ended(7, kept, now);
    subject.ended(attempt_id(1), {}, now);
    BOOST_TEST(subject.spareConnections(number, now) == 2U);
}

// At engines, whose cost differs little by these, a preference would outweigh them.
BOOST_AUTO_TEST_CASE(an_idle_connection_does_not_attract_requests_to_a_full_slow_unhealthy_or_limited_target)
{
    const instant now { 60s };
    const auto chosenAfter = [now](const std::function<void(router&)>& prepare) {
        auto subject = routerOf(8, "i1", connectionCost);
        leaveIdle(subject, "t5", now);
        prepare(subject);
        return chosenOf(subject, "t5", now);
    };
    const auto runAt = [](router& subject, attempt_outcome outcome, std::uint64_t attempts, instant from, duration took) {
        auto only = requestOf(1);
        for (const auto slotNumber : subject.table().all()) {
            if (const auto& id = subject.table().record(slotNumber).listed.id; id.str() != "t5")
                only.excluded.push_back(id);
        }
        const auto choice = std::get<route_choice>(subject.choose(only, from));
        for (std::uint64_t i = 1; i <= attempts; ++i) {
            subject.started(attempt_id(i), choice, only, from);
            subject.firstToken(attempt_id(i), from);
            subject.ended(attempt_id(i), { outcome, token_count(200), std::nullopt }, from + took);
        }
        return choice.slot;
    };
    BOOST_TEST(chosenAfter([](router&) {}) == 200);
    const auto full = chosenAfter([now](router& subject) { subject.applyReport(reportOf("t5", slotsPerTarget, now), now); });
    BOOST_TEST(full < 60);
    const auto slow = chosenAfter([&](router& subject) { runAt(subject, attempt_outcome::Success, 60, now - 5s, 600ms); });
    BOOST_TEST(slow < 60);
    const auto unhealthy = chosenAfter([&](router& subject) {
        const auto number = runAt(subject, attempt_outcome::Refused, 2, now, {});
        BOOST_TEST(subject.health().weight(number, now) < 0.9);
        BOOST_TEST(subject.health().weight(number, now) > 0.4);
    });
    BOOST_TEST(unhealthy < 60);
    const auto limited = chosenAfter([now](router& subject) { subject.applyLimit(target_id("t5"), incarnation(1), 0.001, now - 1s, now); });
    BOOST_TEST(limited < 60);
}

// The preference may cost at most the connection's cost, so under high load it must not pile
// requests onto the targets that happen to have connections.
BOOST_AUTO_TEST_CASE(load_stays_balanced_when_it_is_high)
{
    for (const auto kind : { target_kind::Engine, target_kind::Service }) {
        constexpr std::uint32_t targets = 8;
        constexpr std::uint64_t attempts = 36; // three quarters of the slots
        auto subject = routerOf(targets, "i1", connectionCost, kind);
        const instant now { 60s };
        for (std::uint64_t i = 0; i < slotsPerTarget; ++i) {
            subject.connections().opened(100 + i, *subject.table().find(target_id("t5")), false, now);
            subject.connections().opened(200 + i, *subject.table().find(target_id("t6")), false, now);
        }
        for (std::uint64_t i = 0; i < slotsPerTarget; ++i) {
            subject.connections().ended(100 + i, kept, now);
            subject.connections().ended(200 + i, kept, now);
        }
        std::map<target_id, std::uint32_t> load;
        for (std::uint64_t i = 1; i <= attempts; ++i) {
            const auto choice = std::get<route_choice>(subject.choose(requestOf(i), now));
            subject.started(attempt_id(i), choice, requestOf(i), now);
            ++load[choice.target];
        }
        for (const auto& [target, count] : load)
            BOOST_TEST(count <= slotsPerTarget);
        BOOST_TEST(load.size() == targets);
    }
}

// With a few requests in the time for which a connection stays open, all services would get a new
// connection for nearly each request; and all instances must not use the same few services.
BOOST_AUTO_TEST_CASE(an_instance_with_a_low_rate_uses_few_services_that_differ_between_instances)
{
    constexpr std::uint32_t services = 7;
    constexpr int instances = 55;
    const auto used = [](router& subject, instant from, duration step, int requests) {
        std::map<target_id, int> counts;
        for (int i = 0; i < requests; ++i) {
            const auto now = from + i * step;
            const auto number = static_cast<std::uint64_t>(now.time_since_epoch().count());
            const auto choice = std::get<route_choice>(subject.choose(requestOf(number), now));
            ++counts[choice.target];
            subject.started(attempt_id(number), choice, requestOf(number), now);
            subject.ended(attempt_id(number), { attempt_outcome::Success, token_count(1), std::nullopt }, now + 20ms);
        }
        return counts;
    };
    std::map<target_id, int> all;
    for (int i = 0; i < instances; ++i) {
        auto subject = routerOf(services, "edge-" + std::to_string(i), connectionCost, target_kind::Service, std::string(1, static_cast<char>('a' + i % 6)));
        const auto counts = used(subject, instant { 60s }, 3s, 40);
        BOOST_TEST(counts.size() <= 2U);
        for (const auto& [target, count] : counts)
            all[target] += count;
    }
    BOOST_TEST(all.size() == services);
    auto plain = routerOf(services, "edge-1", {}, target_kind::Service);
    BOOST_TEST(used(plain, instant { 60s }, 3s, 40).size() > 2U);
    auto busy = routerOf(services, "edge-1", connectionCost, target_kind::Service);
    (void)used(busy, instant { 60s }, 100ms, 400);
    BOOST_TEST(used(busy, instant { 100s }, 100ms, 100).size() > 2U);
}

// If an instance with connections to all services took the least loaded of all, all such instances
// would send to the same one until the next reports.
BOOST_AUTO_TEST_CASE(an_instance_with_a_high_rate_samples_services_at_random)
{
    constexpr std::uint32_t services = 7;
    const instant now { 100s };
    auto subject = routerOf(services, "edge-1", connectionCost, target_kind::Service);
    for (std::uint64_t i = 1; i <= 400; ++i) {
        const auto at = now - 40s + i * 100ms;
        const auto choice = std::get<route_choice>(subject.choose(requestOf(i), at));
        subject.started(attempt_id(i), choice, requestOf(i), at);
        subject.ended(attempt_id(i), { attempt_outcome::Success, token_count(1), std::nullopt }, at + 20ms);
    }
    for (std::uint32_t i = 0; i < services; ++i) {
        leaveIdle(subject, "t" + std::to_string(i), now, 1000 + i);
        subject.applyReport(reportOf("t" + std::to_string(i), i == 3 ? 0 : slotsPerTarget + 3, now), now);
    }
    const int leastLoaded = chosenOf(subject, "t3", now);
    BOOST_TEST(leastLoaded > 80);
    BOOST_TEST(leastLoaded < 160);
}

BOOST_AUTO_TEST_CASE(all_services_are_candidates_while_the_few_are_full_or_unhealthy)
{
    constexpr std::uint32_t services = 7;
    const instant now { 60s };
    for (const bool areFull : { true, false }) {
        auto subject = routerOf(services, "edge-1", connectionCost, target_kind::Service);
        std::set<target_id> few;
        for (int i = 0; i < 2; ++i) {
            auto request = requestOf(1);
            request.excluded = { few.begin(), few.end() };
            few.insert(std::get<route_choice>(subject.choose(request, now)).target);
        }
        std::uint64_t attempt = 0;
        for (const auto& target : few) {
            if (areFull) {
                subject.applyReport(reportOf(target.str(), slotsPerTarget + 2, now), now);
                continue;
            }
            auto only = requestOf(1);
            for (std::uint32_t i = 0; i < services; ++i) {
                if (target_id("t" + std::to_string(i)) != target)
                    only.excluded.push_back(target_id("t" + std::to_string(i)));
            }
            const auto choice = std::get<route_choice>(subject.choose(only, now));
            for (int i = 0; i < 3; ++i) {
                subject.started(attempt_id(++attempt), choice, only, now);
                subject.ended(attempt_id(attempt), { attempt_outcome::Refused, {}, std::nullopt }, now);
            }
        }
        int others = 0;
        for (std::uint64_t seed = 1; seed <= 100; ++seed)
            others += !few.contains(std::get<route_choice>(subject.choose(requestOf(seed), now)).target);
        BOOST_TEST(others > 90);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
