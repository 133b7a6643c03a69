// Tests of the router: over generated histories of targets, labels, load reports, failures
// and requests, each choice respects the constraints, under every policy.
#include "property.h"
#include "router.h"

namespace lovagerail {
namespace {

    using namespace std::chrono_literals;

    const routing_class_id green("green");

    bool isGreen(const target_record& record)
    {
        const auto it = record.labels.find("colour");
        return it != record.labels.end() && it->second == "green";
    }

    listed_target row(std::uint32_t number, std::uint64_t start = 1)
    {
        listed_target listed;
        listed.id = target_id("t" + std::to_string(number));
        listed.address = "192.0.2.1:" + std::to_string(number);
        listed.pool = pool_id("p");
        listed.supply = number % 4 == 3 ? supply_kind::Cheap : supply_kind::Firm;
        listed.failureDomain = failure_domain_id(std::string(1, static_cast<char>('a' + number % 3)));
        listed.incarnation = incarnation(start);
        listed.labels["colour"] = "green";
        return listed;
    }

    router routerOf(std::uint32_t targets, router_settings settings = {})
    {
        settings.instance = "i1";
        settings.failureDomain = failure_domain_id("a");
        router made(settings);
        made.setClass(green, isGreen);
        for (std::uint32_t i = 0; i < targets; ++i)
            made.applyRow(row(i), instant { 1s });
        return made;
    }

    route_request requestOf(std::uint64_t seed)
    {
        route_request request;
        request.routingClass = green;
        request.account = client_account_id("acme");
        request.promptTokens = token_count(500);
        request.expectedTokens = token_count(100);
        request.idempotent = true;
        request.seed = seed;
        return request;
    }

    no_route_reason reasonOf(const route_decision& decision)
    {
        BOOST_REQUIRE(std::holds_alternative<no_route>(decision));
        return std::get<no_route>(decision).reason;
    }

    // A router, together with the state that the test set in it, for checking its choices.
    struct history {
        router subject;
        std::map<target_id, std::uint64_t> firstAllowed; // the first incarnation that may be used again
        std::map<target_id, std::string> colour;
        std::map<std::uint64_t, std::pair<route_choice, route_request>> running;
        std::uint64_t lastAttempt = 0;
        instant now { 1h };

        void act(std::uint32_t step);
        void dispatch(std::uint32_t step);
        void check(const route_choice& choice, const route_request& request) const;
    };

    void history::act(std::uint32_t step)
    {
        now += std::chrono::milliseconds((step >> 4) % 300);
        const listed_target listed = row((step >> 8) % 8, 1 + (step >> 12) % 3);
        const std::uint64_t pick = lastAttempt == 0 ? 0 : 1 + (step >> 8) % lastAttempt;
        switch (step % 16) {
        case 0:
            subject.applyRow(listed, now);
            break;
        case 1:
            subject.advanceState(listed.id, listed.incarnation, target_state::Leaving, now);
            firstAllowed[listed.id] = std::max(firstAllowed[listed.id], listed.incarnation.value() + 1);
            break;
        case 2:
            colour[listed.id] = (step >> 16) % 3 == 0 ? "red" : "green";
            subject.setLabels(listed.id, { { "colour", colour[listed.id] } });
            break;
        case 3:
        case 4: {
            load_report report;
            report.target = listed.id;
            report.incarnation = listed.incarnation;
            report.running = (step >> 16) % 50;
            report.waiting = (step >> 22) % 10;
            report.model = model_id("m");
            report.measuredAt = now - std::chrono::milliseconds((step >> 14) % 6000);
            subject.applyReport(report, now);
            break;
        }
        case 5:
            subject.applyCacheEvent(listed.id, { step >> 16, static_cast<cache_event_kind>((step >> 8) % 3), hashPrompt(std::string(640, 'a')) }, now);
            break;
        case 6:
            subject.firstToken(attempt_id(pick), now);
            break;
        case 7:
        case 8:
        case 9:
            subject.ended(attempt_id(pick), { static_cast<attempt_outcome>((step >> 20) % 5), token_count(step % 100), token_count(64) }, now);
            running.erase(pick);
            break;
        case 10:
            subject.setPolicy(static_cast<policy_kind>((step >> 16) % 6));
            break;
        default:
            dispatch(step);
        }
    }

    void history::dispatch(std::uint32_t step)
    {
        route_request request = requestOf(step);
        request.idempotent = (step >> 10) % 2 == 0;
        request.promptBlocks = hashPrompt(std::string((step >> 11) % 1000, 'a'));
        if ((step >> 13) % 2 == 0)
            request.excluded = { row((step >> 14) % 8).id, row((step >> 17) % 8).id };
        const route_decision decision = subject.choose(request, now);
        if (const auto* choice = std::get_if<route_choice>(&decision)) {
            check(*choice, request);
            subject.started(attempt_id(++lastAttempt), *choice, request, now);
            running.emplace(lastAttempt, std::pair(*choice, request));
            return;
        }
        // A refusal must be justified: the request can't use any of the allowed targets.
        RC_ASSERT(std::get<no_route>(decision).retryAfter > 0ns);
        for (const target_slot slot : subject.table().allowed(green)) {
            const listed_target& listed = subject.table().record(slot).listed;
            const bool excluded = std::find(request.excluded.begin(), request.excluded.end(), listed.id) != request.excluded.end();
            RC_ASSERT(excluded || listed.supply == supply_kind::Cheap);
        }
    }

    void history::check(const route_choice& choice, const route_request& request) const
    {
        RC_ASSERT(subject.table().isLive(choice.slot));
        const auto firstAllowedAt = firstAllowed.find(choice.target);
        RC_ASSERT(firstAllowedAt == firstAllowed.end() || choice.incarnation.value() >= firstAllowedAt->second);
        const auto labelled = colour.find(choice.target);
        RC_ASSERT(labelled == colour.end() || labelled->second == "green");
        RC_ASSERT(std::find(request.excluded.begin(), request.excluded.end(), choice.target) == request.excluded.end());
        RC_ASSERT(choice.supply == supply_kind::Firm || request.idempotent);
        RC_ASSERT(choice.cachedTokens <= request.promptTokens);
    }

} // namespace

BOOST_AUTO_TEST_SUITE(router_suite)

BOOST_AUTO_TEST_CASE(choices_respect_constraints_over_any_history)
{
    test::checkProperty("rules", [] {
        history simulated { routerOf(6), {}, {}, {}, 0, instant { 1h } };
        const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, 1u << 30));
        for (const std::uint32_t step : steps) {
            simulated.act(step);
            // The counted exposure equals the attempts in flight on cheap targets.
            std::map<failure_domain_id, std::uint32_t> cheap;
            for (const auto& [attempt, item] : simulated.running)
                cheap[item.first.failureDomain] += item.first.supply == supply_kind::Cheap ? 1 : 0;
            for (const char* domain : { "a", "b", "c" })
                RC_ASSERT(simulated.subject.cheapExposure(requestOf(0), failure_domain_id(domain)) == cheap[failure_domain_id(domain)]);
        }
    });
}

BOOST_AUTO_TEST_CASE(refusals_name_their_reason)
{
    router subject = routerOf(2);
    const instant now { 2s };
    route_request request = requestOf(1);
    request.routingClass = routing_class_id("none");
    BOOST_TEST((reasonOf(subject.choose(request, now)) == no_route_reason::UnknownClass));
    request = requestOf(1);
    request.excluded = { target_id("t0"), target_id("t1") };
    BOOST_TEST((reasonOf(subject.choose(request, now)) == no_route_reason::AllExcluded));
    request = requestOf(1);
    request.deadline = now + 1ms;
    BOOST_TEST((reasonOf(subject.choose(request, now)) == no_route_reason::CannotMeetDeadline));
    request.deadline = now + 1h;
    BOOST_TEST(std::holds_alternative<route_choice>(subject.choose(request, now)));
    subject.applyRow(row(3), now);
    request = requestOf(1);
    request.idempotent = false;
    request.excluded = { target_id("t0"), target_id("t1") };
    BOOST_TEST((reasonOf(subject.choose(request, now)) == no_route_reason::CheapOnly));
    for (std::uint32_t i : { 0u, 1u, 3u })
        subject.advanceState(row(i).id, incarnation(1), target_state::Leaving, now);
    BOOST_TEST((reasonOf(subject.choose(requestOf(1), now)) == no_route_reason::NoLiveTarget));
}

BOOST_AUTO_TEST_CASE(exposure_on_cheap_targets_is_capped)
{
    router_settings settings;
    settings.cheapExposure = 5;
    router subject = routerOf(0, settings);
    subject.applyRow(row(3), instant { 1s });
    for (std::uint64_t i = 1; i <= 5; ++i)
        subject.started(attempt_id(i), std::get<route_choice>(subject.choose(requestOf(i), instant { 2s })), requestOf(i), instant { 2s });
    BOOST_TEST((reasonOf(subject.choose(requestOf(6), instant { 2s })) == no_route_reason::CheapOnly));
    route_request other = requestOf(7);
    other.account = client_account_id("other");
    BOOST_TEST(std::holds_alternative<route_choice>(subject.choose(other, instant { 2s })));
    subject.ended(attempt_id(1), {}, instant { 3s });
    subject.ended(attempt_id(1), {}, instant { 3s });
    BOOST_TEST(std::holds_alternative<route_choice>(subject.choose(requestOf(8), instant { 3s })));
}

// Requests with the same prefix go to the target that has it cached, until that target is
// overloaded.
BOOST_AUTO_TEST_CASE(prefix_affinity_holds_until_the_target_is_overloaded)
{
    router subject = routerOf(8);
    const instant now { 60s };
    route_request request = requestOf(1);
    request.promptBlocks = hashPrompt(std::string(16000, 'a'));
    request.promptTokens = token_count(4000);
    const auto first = std::get<route_choice>(subject.choose(request, now));
    subject.started(attempt_id(1), first, request, now);
    subject.ended(attempt_id(1), { attempt_outcome::Success, token_count(10), {} }, now + 1s);
    for (std::uint64_t seed = 2; seed < 50; ++seed) {
        request.seed = seed;
        BOOST_TEST(std::get<route_choice>(subject.choose(request, now + 2s)).target == first.target);
    }
    for (std::uint64_t i = 2; i < 100; ++i)
        subject.started(attempt_id(i), first, requestOf(i), now + 2s);
    BOOST_TEST(std::get<route_choice>(subject.choose(request, now + 2s)).target != first.target);
}

// Instances with the same stale load reports must not all choose the same target.
BOOST_AUTO_TEST_CASE(instances_with_equal_reports_spread_requests)
{
    for (const auto& [kind, bound] : { std::pair(target_kind::Engine, 40), std::pair(target_kind::Service, 60) }) {
        std::map<target_id, int> chosen;
        for (std::uint64_t instance = 0; instance < 100; ++instance) {
            router subject = routerOf(0);
            for (std::uint32_t i = 0; i < 9; ++i) {
                listed_target listed = row(i);
                listed.kind = kind;
                subject.applyRow(listed, instant { 1s });
                load_report report;
                report.target = listed.id;
                report.incarnation = incarnation(1);
                report.running = i;
                report.model = model_id("m");
                report.measuredAt = instant { 59s };
                subject.applyReport(report, instant { 60s });
            }
            ++chosen[std::get<route_choice>(subject.choose(requestOf(instance), instant { 60s })).target];
        }
        for (const auto& [target, count] : chosen)
            BOOST_TEST(count < bound, target << " was chosen " << count << " times");
    }
}

// In a class of thousands of targets an instance uses a bounded subset that covers all
// failure domains, and still reaches the other targets when the whole subset is excluded.
BOOST_AUTO_TEST_CASE(large_class_is_served_from_a_subset)
{
    router subject = routerOf(2000);
    std::map<failure_domain_id, int> domains;
    std::map<target_id, int> targets;
    for (std::uint64_t seed = 0; seed < 2000; ++seed) {
        const auto choice = std::get<route_choice>(subject.choose(requestOf(seed), instant { 60s }));
        ++domains[choice.failureDomain];
        ++targets[choice.target];
    }
    BOOST_TEST(targets.size() <= 64u);
    BOOST_TEST(domains.size() == 3u);
    route_request request = requestOf(1);
    for (const auto& [target, count] : targets)
        request.excluded.push_back(target);
    BOOST_TEST(std::holds_alternative<route_choice>(subject.choose(request, instant { 60s })));
}

BOOST_AUTO_TEST_CASE(no_target_at_its_limit_is_chosen)
{
    router subject = routerOf(3);
    const instant now { 60s };
    const auto limitAll = [&] {
        for (std::uint32_t i = 0; i < 3; ++i)
            subject.applyLimit(target_id("t" + std::to_string(i)), incarnation(1), 2.0, now, now);
    };
    limitAll();
    const auto refusal = subject.choose(requestOf(1), now);
    BOOST_REQUIRE((reasonOf(refusal) == no_route_reason::RateLimited));
    BOOST_TEST(std::chrono::duration<double>(std::get<no_route>(refusal).retryAfter).count() == 1.0 / 6, boost::test_tools::tolerance(1e-6));
    const auto due = subject.limits().takeDue(now);
    BOOST_TEST(due.size() == 3u);
    const auto slot = *subject.table().find(target_id("t1"));
    subject.limits().granted(slot, { 1, 50ms, 2 }, now, now);
    const auto choice = std::get<route_choice>(subject.choose(requestOf(2), now));
    BOOST_TEST(choice.target.str() == "t1");
    subject.started(attempt_id(1), choice, requestOf(2), now);
    BOOST_TEST((reasonOf(subject.choose(requestOf(3), now)) == no_route_reason::RateLimited));
    // A restarted target has named no limit yet.
    subject.applyRow(row(1, 2), now);
    BOOST_TEST(std::get<route_choice>(subject.choose(requestOf(4), now)).target.str() == "t1");
}

BOOST_AUTO_TEST_CASE(policies_have_names)
{
    for (const policy_kind kind : allPolicies())
        BOOST_TEST((parsePolicy(toString(kind)) == kind));
    BOOST_TEST(!parsePolicy("none").has_value());
}

// A plain target that says that it is four times as slow as usual must lose requests to the others, and
// must get them again when the statement is old.
BOOST_AUTO_TEST_CASE(a_target_that_states_slowness_is_avoided_while_that_is_recent)
{
    router_settings settings;
    settings.instance = "i1";
    router subject(settings);
    subject.setClass(green, isGreen);
    const instant now { 1h };
    for (std::uint32_t i = 0; i < 3; ++i) {
        listed_target listed = row(i);
        listed.kind = target_kind::Service;
        listed.failureDomain = failure_domain_id("a");
        subject.applyRow(listed, now);
    }
    const auto timesChosen = [&](const char* target, instant when) {
        int count = 0;
        for (std::uint64_t seed = 0; seed < 300; ++seed) {
            const auto decision = subject.choose(requestOf(seed), when);
            count += std::get<route_choice>(decision).target == target_id(target);
        }
        return count;
    };
    BOOST_TEST(timesChosen("t1", now) > 50);
    load_report report;
    report.target = target_id("t1");
    report.incarnation = incarnation(1);
    report.slowdown = 4;
    report.measuredAt = now;
    subject.applyReport(report, now);
    BOOST_TEST(timesChosen("t1", now + 50ms) == 0);
    BOOST_TEST(timesChosen("t1", now + 10min) > 50);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
