// Tests of the choice between own connections and relays: over generated cuts, crashes and answers,
// requests reach targets whenever some instance does, and the own path is used when it works.
#include "property.h"
#include "target_paths.h"

#include <algorithm>
#include <map>
#include <set>

namespace lovagerail {
namespace {

    using namespace std::chrono_literals;

    constexpr duration roundTime = 20ms;
    constexpr duration contactTime = 3s; // after a cut or its end, until requests take the path that works

    instance_id instanceName(std::size_t index) { return instance_id("i" + std::to_string(index)); }
    target_id targetName(std::size_t index) { return target_id("t" + std::to_string(index)); }

    // One instance that sends requests, others that may relay them, and targets.
    struct world {
        target_paths paths;
        std::size_t others;
        std::size_t targets;
        instant now { 1h };
        bool isCut = false; // this instance, from all targets
        std::set<std::size_t> cutOthers;
        std::set<std::size_t> downTargets;
        std::uint64_t questions = 0; // to one instance each
        std::uint64_t tests = 0;
        std::size_t nextTarget = 0;

        world(std::size_t otherCount, std::size_t targetCount)
            : others(otherCount)
            , targets(targetCount)
        {
            std::vector<instance_id> names;
            for (std::size_t i = 0; i < others; ++i)
                names.push_back(instanceName(i));
            paths.setInstances(names);
            std::vector<target_id> ids;
            for (std::size_t i = 0; i < targets; ++i)
                ids.push_back(targetName(i));
            paths.setTargets(ids);
        }

        bool isUp(const target_id& target) const { return !downTargets.contains(std::stoul(target.str().substr(1))); }
        bool isCutOther(const instance_id& name) const { return cutOthers.contains(std::stoul(name.str().substr(1))); }

        void round()
        {
            now += roundTime;
            for (const auto& action : paths.tick(now)) {
                if (const auto* question = std::get_if<ask_for_relays>(&action)) {
                    questions += question->instances.size();
                    const bool anyUp = std::any_of(question->targets.begin(), question->targets.end(), [this](const target_id& target) { return isUp(target); });
                    for (const auto& name : question->instances)
                        paths.answered(name, !isCutOther(name) && anyUp, now);
                } else if (const auto* test = std::get_if<test_path>(&action)) {
                    ++tests;
                    end(test->target, !isCut && isUp(test->target));
                }
            }
        }

        void end(const target_id& target, bool wasReached)
        {
            if (wasReached)
                paths.reached(connection_age::New, now);
            else
                paths.failed(target, path_failure::NotConnected, now);
        }

        // Sends a request to each target in turn until one answers, as the forwarder does; whether one did.
        bool send(std::size_t attempts = 6)
        {
            for (std::size_t i = 0; i < attempts; ++i) {
                const auto target = targetName(nextTarget++ % targets);
                auto path = paths.pathTo(target, now);
                for (int rounds = 0; path.kind == path_kind::Undecided && rounds < 20; ++rounds) {
                    round();
                    path = paths.pathTo(target, now);
                }
                if (path.kind == path_kind::Relayed) {
                    if (isCutOther(path.relay))
                        paths.relayLost(path.relay, now);
                    else if (!isUp(target))
                        paths.relayFailed(path.relay, target, now);
                    else {
                        paths.relayReached(path.relay, now);
                        return true;
                    }
                    continue;
                }
                const bool isReached = !isCut && isUp(target);
                end(target, isReached);
                if (isReached)
                    return true;
            }
            return false;
        }

        void pass(duration span, duration between)
        {
            for (const auto until = now + span; now < until;) {
                send();
                for (const auto next = now + between; now < next;)
                    round();
            }
        }
    };

} // namespace

BOOST_AUTO_TEST_SUITE(target_paths_suite)

BOOST_AUTO_TEST_CASE(own_path_is_used_while_targets_are_reached)
{
    world w(3, 4);
    w.pass(5s, 100ms);
    BOOST_TEST((w.paths.pathTo(targetName(0), w.now).kind == path_kind::Direct));
    BOOST_TEST(w.questions == 0U);
    BOOST_TEST(w.tests == 0U);
}

BOOST_AUTO_TEST_CASE(a_crashed_target_moves_no_request_to_a_relay)
{
    world w(3, 4);
    w.downTargets = { 1 };
    w.pass(5s, 100ms);
    BOOST_TEST(!w.paths.isCutOff());
    BOOST_TEST(w.questions == 0U);
}

BOOST_AUTO_TEST_CASE(an_idle_instance_learns_by_one_failure_that_it_is_cut_off)
{
    world w(3, 4);
    w.isCut = true;
    w.paths.failed(targetName(0), path_failure::NotConnected, w.now);
    w.round();
    BOOST_TEST(w.tests == 1U);
    BOOST_TEST(w.paths.isCutOff());
    BOOST_TEST(w.send());
}

BOOST_AUTO_TEST_CASE(an_instance_without_requests_learns_that_others_reach_targets)
{
    world w(3, 4);
    w.isCut = true;
    w.paths.failed(targetName(0), path_failure::NotConnected, w.now);
    w.paths.failed(targetName(1), path_failure::NotConnected, w.now);
    for (const auto until = w.now + 500ms; w.now < until;)
        w.round();
    BOOST_TEST(w.paths.isCutOffAlone(w.now));
}

BOOST_AUTO_TEST_CASE(kept_connections_that_live_on_hide_no_cut)
{
    world w(3, 6);
    w.isCut = true;
    w.paths.failed(targetName(0), path_failure::NotConnected, w.now);
    w.paths.reached(connection_age::Kept, w.now);
    w.paths.failed(targetName(1), path_failure::NotConnected, w.now);
    w.paths.reached(connection_age::Kept, w.now);
    for (const auto until = w.now + 500ms; w.now < until;)
        w.round();
    BOOST_TEST(w.paths.isCutOffAlone(w.now));

    // Requests that got no answer are no sign of a cut if others on the same connections do.
    w.isCut = false;
    w.paths.reached(connection_age::New, w.now);
    w.paths.failed(targetName(0), path_failure::Silent, w.now);
    w.paths.reached(connection_age::Kept, w.now);
    w.paths.failed(targetName(1), path_failure::Silent, w.now);
    BOOST_TEST(!w.paths.isCutOff());
}

BOOST_AUTO_TEST_CASE(a_relay_that_is_lost_or_does_not_reach_a_target_is_not_used_for_it)
{
    world w(2, 4);
    w.isCut = true;
    w.paths.failed(targetName(0), path_failure::NotConnected, w.now);
    w.paths.failed(targetName(1), path_failure::NotConnected, w.now);
    w.paths.answered(instanceName(0), true, w.now);
    w.paths.answered(instanceName(1), true, w.now);

    w.paths.relayFailed(instanceName(0), targetName(0), w.now);
    for (int i = 0; i < 4; ++i)
        BOOST_TEST(w.paths.pathTo(targetName(0), w.now).relay == instanceName(1));
    std::set<instance_id> used;
    for (int i = 0; i < 4; ++i)
        used.insert(w.paths.pathTo(targetName(1), w.now).relay);
    BOOST_TEST(used.size() == 2U);

    w.paths.relayLost(instanceName(1), w.now);
    BOOST_TEST((w.paths.pathTo(targetName(0), w.now).kind == path_kind::DirectDoubted));
    for (int i = 0; i < 4; ++i)
        BOOST_TEST(w.paths.pathTo(targetName(1), w.now).relay == instanceName(0));
}

BOOST_AUTO_TEST_CASE(instances_that_do_not_answer_are_asked_once_a_second)
{
    world w(3, 4);
    w.isCut = true;
    w.paths.failed(targetName(0), path_failure::NotConnected, w.now);
    w.paths.failed(targetName(1), path_failure::NotConnected, w.now);
    std::size_t asked = 0;
    for (const auto until = w.now + 5s; w.now < until; w.now += roundTime) {
        for (const auto& action : w.paths.tick(w.now)) {
            if (const auto* question = std::get_if<ask_for_relays>(&action))
                asked += question->instances.size();
        }
        w.paths.pathTo(targetName(2), w.now);
    }
    BOOST_TEST(asked >= 3U * 4U);
    BOOST_TEST(asked <= 3U * 6U);
}

BOOST_AUTO_TEST_CASE(targets_that_are_down_for_all_leave_the_own_path)
{
    world w(3, 4);
    w.downTargets = { 0, 1, 2, 3 };
    w.pass(5s, 100ms);
    BOOST_TEST(w.paths.isCutOff());
    BOOST_TEST(!w.paths.isCutOffAlone(w.now));
    // Each instance is asked at most once a second.
    BOOST_TEST(w.questions <= 3U * 6U);
    w.downTargets.clear();
    w.pass(1s, 100ms);
    BOOST_TEST(!w.paths.isCutOff());
}

BOOST_AUTO_TEST_CASE(a_relay_that_is_lost_is_replaced)
{
    world w(6, 4);
    w.isCut = true;
    w.pass(2s, 100ms);
    BOOST_TEST(w.send());
    for (std::size_t i = 0; i < 5; ++i)
        w.cutOthers.insert(i);
    w.pass(contactTime, 100ms);
    BOOST_TEST(w.send());
}

BOOST_AUTO_TEST_CASE(requests_are_served_during_any_cut_that_leaves_one_instance)
{
    test::checkProperty("requests are served during any cut that leaves one instance", [] {
        world w(*rc::gen::inRange<std::size_t>(1, 30), *rc::gen::inRange<std::size_t>(3, 12));
        const auto between = std::chrono::milliseconds(*rc::gen::inRange(20, 1500));
        w.pass(2s, between);
        for (int cut = 0; cut < 3; ++cut) {
            // Step 1. A cut of this instance and of all others but one at most, while less than half of the targets are down.
            w.isCut = true;
            const auto spared = *rc::gen::inRange<std::size_t>(0, w.others);
            for (std::size_t i = 0; i < w.others; ++i) {
                if (i != spared && *rc::gen::inRange(0, 10) < 8)
                    w.cutOthers.insert(i);
            }
            const auto down = *rc::gen::inRange<std::size_t>(0, (w.targets + 1) / 2);
            for (std::size_t i = 0; i < down; ++i)
                w.downTargets.insert(i);
            w.pass(contactTime + between, between);
            for (int i = 0; i < 5; ++i) {
                RC_ASSERT(w.send(2 * w.targets));
                w.pass(between, between);
            }

            // Step 2. It heals: the own path is used again.
            w.isCut = false;
            w.cutOthers.clear();
            w.downTargets.clear();
            w.pass(contactTime, between);
            RC_ASSERT(!w.paths.isCutOff());
            RC_ASSERT((w.paths.pathTo(targetName(0), w.now).kind == path_kind::Direct));
        }
    });
}

BOOST_AUTO_TEST_CASE(questions_and_tests_are_bounded_whatever_fails)
{
    test::checkProperty("questions and tests are bounded whatever fails", [] {
        world w(*rc::gen::inRange<std::size_t>(1, 30), *rc::gen::inRange<std::size_t>(2, 12));
        const auto begin = w.now;
        for (int phase = 0; phase < 8; ++phase) {
            w.isCut = *rc::gen::arbitrary<bool>();
            w.cutOthers.clear();
            w.downTargets.clear();
            for (std::size_t i = 0; i < w.others; ++i) {
                if (*rc::gen::arbitrary<bool>())
                    w.cutOthers.insert(i);
            }
            for (std::size_t i = 0; i < w.targets; ++i) {
                if (*rc::gen::arbitrary<bool>())
                    w.downTargets.insert(i);
            }
            w.pass(std::chrono::milliseconds(*rc::gen::inRange(100, 3000)), 20ms);
        }
        const double seconds = std::chrono::duration<double>(w.now - begin).count();
        RC_ASSERT(static_cast<double>(w.questions) <= (seconds + 1) * static_cast<double>(w.others));
        RC_ASSERT(static_cast<double>(w.tests) <= 2 * (seconds + 1));
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
