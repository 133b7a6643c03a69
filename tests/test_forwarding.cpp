// Tests of forwarding: what a failed attempt means, and which answers are truthful.
// Property: whatever targets and time do, each request gets exactly one answer, work
// that may not be repeated runs at most once, and "not run" is said only if it is true.
#include "forwarding.h"
#include "property.h"

#include <set>

namespace lovagerail {
namespace {

    using namespace std::chrono_literals;

    constexpr instant start { 1h };
    constexpr wall_time wallStart { std::chrono::milliseconds(1'700'000'000'000) };
    const service_id app { "app" };

    site_route routeOf(route_kind kind, std::uint32_t maxAttempts = 3)
    {
        site_route route;
        route.id = route_id("r");
        route.host = "h.example";
        route.prefix = "/p/";
        route.kind = kind;
        route.services = { { app, 1 } };
        route.timeout = 1500ms;
        route.latencyTarget = 150ms;
        route.maxAttempts = maxAttempts;
        return route;
    }

    // A forwarding machine over a few replicas; keeps what was sent and answered.
    class world {
    public:
        explicit world(std::size_t replicas)
            : m_router(settings())
            , m_machine({}, m_router, marks)
        {
            m_router.setClass(serviceClass(app), [](const target_record& record) { return record.listed.pool == pool_id(app.str()); });
            for (std::size_t i = 0; i < replicas; ++i) {
                listed_target row;
                row.id = target_id("t" + std::to_string(i));
                row.address = "http://10.0.0." + std::to_string(i + 1);
                row.pool = pool_id(app.str());
                row.kind = target_kind::Service;
                row.incarnation = incarnation(1);
                m_rows.push_back(row);
            }
            m_router.applyList(m_rows, now);
        }

        void arrive(const site_route& route, std::optional<duration> deadline = 2s)
        {
            forward_request request;
            request.id = forward_id(1);
            request.callerId = request_id("abc");
            request.route = route;
            request.account = client_account_id("acme");
            request.deadline = deadline;
            request.fingerprint = fingerprint;
            m_machine.takeWall(wallStart + std::chrono::duration_cast<std::chrono::milliseconds>(now - start));
            act(m_machine.arrive(std::move(request), now));
        }
        void head(attempt_id attempt, const forward_head& head) { act(m_machine.head(attempt, head, now)); }
        void done(attempt_id attempt, transfer_state end)
        {
            open.erase(attempt);
            act(m_machine.done(attempt, end, now));
        }
        void gone() { act(m_machine.callerGone(forward_id(1), now)); }
        void pass(duration time)
        {
            now += time;
            m_machine.takeWall(wallStart + std::chrono::duration_cast<std::chrono::milliseconds>(now - start));
            act(m_machine.tick(now));
        }
        attempt_id onlyOpen() const
        {
            BOOST_REQUIRE(open.size() == 1u);
            return *open.begin();
        }

        // The target runs again, as another incarnation.
        void restart(const target_id& target)
        {
            for (auto& row : m_rows) {
                if (row.id == target)
                    row.incarnation = incarnation(row.incarnation.value() + 1);
            }
            m_router.applyList(m_rows, now);
        }

        instant now = start;
        quarantine marks;
        request_fingerprint fingerprint { 7 };
        std::set<attempt_id> open;
        std::vector<forward_send> sends;
        std::vector<forward_refuse> refusals;
        std::vector<forward_deliver> deliveries;
        std::size_t begans = 0;
        std::size_t streamsBegun = 0;
        std::vector<bool> streamEnds;

        std::size_t answers() const { return refusals.size() + deliveries.size() + streamEnds.size(); }
        forwarding& machine() { return m_machine; }

    private:
        static router_settings settings()
        {
            router_settings out;
            out.table.absenceGrace = 1ms;
            return out;
        }
        void act(const std::vector<forward_action>& actions)
        {
            for (const auto& action : actions) {
                if (const auto* send = std::get_if<forward_send>(&action)) {
                    sends.push_back(*send);
                    open.insert(send->attempt);
                } else if (const auto* cancel = std::get_if<forward_cancel>(&action))
                    open.erase(cancel->attempt);
                else if (const auto* refuse = std::get_if<forward_refuse>(&action))
                    refusals.push_back(*refuse);
                else if (const auto* deliver = std::get_if<forward_deliver>(&action))
                    deliveries.push_back(*deliver);
                else if (std::holds_alternative<forward_began>(action))
                    ++begans;
                else if (std::holds_alternative<forward_begin_stream>(action))
                    ++streamsBegun;
                else if (const auto* end = std::get_if<forward_end_stream>(&action))
                    streamEnds.push_back(end->whole);
            }
        }

        router m_router;
        std::vector<listed_target> m_rows;
        forwarding m_machine;
    };

    constexpr forward_head good { 200, true, true, false };
    constexpr forward_head refused { 503, true, false, true };
    constexpr forward_head failed { 500, true, true, false };
    constexpr forward_head crossed { 200, false, true, false };
    constexpr forward_head unsignedSuccess { 200, true, false, false };
    constexpr forward_head barePromise { 503, true, true, false };

} // namespace

BOOST_AUTO_TEST_SUITE(forwarding_suite)

BOOST_AUTO_TEST_CASE(a_whole_answer_is_delivered_unchanged)
{
    world w(2);
    w.arrive(routeOf(route_kind::Idempotent));
    const auto attempt = w.onlyOpen();
    w.head(attempt, good);
    w.done(attempt, transfer_state::Whole);
    BOOST_REQUIRE(w.deliveries.size() == 1u);
    BOOST_TEST((w.deliveries[0].attempt == attempt));
    BOOST_TEST(w.begans == 1u);
    BOOST_TEST(w.machine().open() == 0u);
}

BOOST_AUTO_TEST_CASE(a_replica_that_refused_is_followed_by_another)
{
    world w(2);
    w.arrive(routeOf(route_kind::AtMostOnce));
    const auto first = w.onlyOpen();
    w.head(first, refused);
    w.done(first, transfer_state::Whole);
    BOOST_REQUIRE(w.sends.size() == 2u);
    BOOST_TEST(w.sends[0].choice.target != w.sends[1].choice.target);
    BOOST_TEST(w.begans == 0u);
}

BOOST_AUTO_TEST_CASE(without_a_replica_it_is_refused_at_once_as_not_run)
{
    world w(0);
    w.arrive(routeOf(route_kind::Idempotent));
    BOOST_REQUIRE(w.refusals.size() == 1u);
    BOOST_TEST(w.refusals[0].status == 503);
    BOOST_TEST((w.refusals[0].retryAfter > duration {}));
}

// The outcome is unknown, so work that may not be repeated gets an answer that
// promises nothing.
BOOST_AUTO_TEST_CASE(an_unknown_outcome_is_never_called_not_run)
{
    world w(3);
    w.arrive(routeOf(route_kind::AtMostOnce));
    w.done(w.onlyOpen(), transfer_state::NoAnswer);
    BOOST_TEST(w.sends.size() == 1u);
    BOOST_REQUIRE(w.refusals.size() == 1u);
    BOOST_TEST(w.refusals[0].status == 502);
}

// Statuses that promise "not run" are passed on only if the replica said so itself.
BOOST_AUTO_TEST_CASE(a_bare_503_of_a_replica_promises_nothing)
{
    world w(3);
    w.arrive(routeOf(route_kind::AtMostOnce));
    const auto attempt = w.onlyOpen();
    w.head(attempt, barePromise);
    w.done(attempt, transfer_state::Whole);
    BOOST_TEST(w.deliveries.empty());
    BOOST_REQUIRE(w.refusals.size() == 1u);
    BOOST_TEST(w.refusals[0].status == 502);
}

BOOST_AUTO_TEST_CASE(crossed_and_unsigned_answers_are_not_given_to_the_caller)
{
    for (const auto& head : { crossed, unsignedSuccess }) {
        world w(3);
        w.arrive(routeOf(route_kind::Idempotent));
        const auto first = w.onlyOpen();
        w.head(first, head);
        w.done(first, transfer_state::Whole);
        BOOST_TEST(w.deliveries.empty());
        BOOST_TEST(w.sends.size() == 2u);
    }
}

BOOST_AUTO_TEST_CASE(a_failure_of_all_attempts_is_delivered_with_its_count)
{
    world w(4);
    w.arrive(routeOf(route_kind::Idempotent, 3));
    for (int i = 0; i < 3; ++i) {
        const auto attempt = w.onlyOpen();
        w.head(attempt, failed);
        w.done(attempt, transfer_state::Whole);
    }
    BOOST_REQUIRE(w.deliveries.size() == 1u);
    BOOST_TEST(w.deliveries[0].serverFailures == 3u);
    BOOST_TEST(w.sends.size() == 3u);
}

BOOST_AUTO_TEST_CASE(a_caller_that_left_keeps_no_target_busy)
{
    world w(2);
    w.arrive(routeOf(route_kind::Idempotent));
    w.gone();
    BOOST_TEST(w.open.empty());
    BOOST_TEST(w.answers() == 0u);
    BOOST_TEST(w.machine().open() == 0u);
}

BOOST_AUTO_TEST_CASE(time_is_up_at_the_routes_timeout)
{
    world w(2);
    w.arrive(routeOf(route_kind::AtMostOnce), 5s);
    w.pass(1499ms);
    BOOST_TEST(w.answers() == 0u);
    w.pass(2ms);
    BOOST_REQUIRE(w.refusals.size() == 1u);
    BOOST_TEST(w.refusals[0].status == 504);
    BOOST_TEST(w.open.empty());
}

// A replica that doesn't answer an idempotent request gets company before the
// caller's time is up.
BOOST_AUTO_TEST_CASE(a_silent_replica_is_hedged)
{
    world w(2);
    w.arrive(routeOf(route_kind::Idempotent));
    w.pass(1s);
    BOOST_REQUIRE(w.sends.size() == 2u);
    BOOST_TEST(w.sends[0].choice.target != w.sends[1].choice.target);
    const auto second = w.sends[1].attempt;
    w.head(second, good);
    w.done(second, transfer_state::Whole);
    BOOST_TEST(w.deliveries.size() == 1u);
    BOOST_TEST(w.open.empty());
}

BOOST_AUTO_TEST_CASE(a_stream_that_broke_goes_on_behind_its_last_event)
{
    world w(2);
    auto route = routeOf(route_kind::Stream);
    route.resumable = true;
    w.arrive(route);
    const auto first = w.onlyOpen();
    w.head(first, good);
    BOOST_TEST(w.streamsBegun == 1u);
    w.machine().progress(first, 7, w.now);
    w.done(first, transfer_state::Truncated);
    BOOST_REQUIRE(w.sends.size() == 2u);
    BOOST_TEST((w.sends[1].lastEventId == std::optional<std::uint64_t>(7)));
    const auto second = w.sends[1].attempt;
    w.head(second, good);
    w.done(second, transfer_state::Whole);
    BOOST_TEST(w.streamsBegun == 1u);
    BOOST_REQUIRE(w.streamEnds.size() == 1u);
    BOOST_TEST(w.streamEnds[0]);
}

BOOST_AUTO_TEST_CASE(a_stream_that_can_not_be_resumed_breaks_off_visibly)
{
    world w(2);
    w.arrive(routeOf(route_kind::Stream));
    const auto first = w.onlyOpen();
    w.head(first, good);
    w.done(first, transfer_state::Truncated);
    BOOST_TEST(w.sends.size() == 1u);
    BOOST_REQUIRE(w.streamEnds.size() == 1u);
    BOOST_TEST(!w.streamEnds[0]);
}

// Random replicas and times: one answer each, truthful, and within the route's time.
BOOST_AUTO_TEST_CASE(one_truthful_answer_whatever_happens)
{
    test::checkProperty("one truthful answer", [] {
        const auto kind = *rc::gen::element(route_kind::Idempotent, route_kind::AtMostOnce);
        world w(*rc::gen::inRange<std::size_t>(0, 4));
        const auto route = routeOf(kind, *rc::gen::inRange<std::uint32_t>(1, 5));
        w.arrive(route);
        std::size_t mayHaveRun = 0;
        while (w.answers() == 0 && w.now < start + 10s) {
            if (w.open.empty()) {
                w.pass(20ms);
                continue;
            }
            const auto attempt = *w.open.begin();
            switch (*rc::gen::inRange(0, 7)) {
            case 0:
                w.pass(std::chrono::milliseconds(*rc::gen::inRange(1, 400)));
                break;
            case 1:
                w.head(attempt, refused);
                w.done(attempt, transfer_state::Whole);
                break;
            case 2:
                w.done(attempt, transfer_state::NotSent);
                break;
            case 3:
                ++mayHaveRun;
                w.done(attempt, transfer_state::NoAnswer);
                break;
            case 4:
                ++mayHaveRun;
                w.head(attempt, failed);
                w.done(attempt, transfer_state::Whole);
                break;
            case 5:
                ++mayHaveRun;
                w.head(attempt, crossed);
                w.done(attempt, transfer_state::Whole);
                break;
            default:
                ++mayHaveRun;
                w.head(attempt, good);
                w.done(attempt, transfer_state::Whole);
                break;
            }
        }
        RC_ASSERT(w.answers() == 1u);
        RC_ASSERT(w.open.empty());
        RC_ASSERT(w.now <= start + route.timeout + 400ms);
        if (kind == route_kind::AtMostOnce)
            RC_ASSERT(mayHaveRun <= 1u);
        if (kind == route_kind::AtMostOnce && !w.refusals.empty() && w.refusals[0].status == 503)
            RC_ASSERT(mayHaveRun == 0u);
    });
}

// A request crashes each replica that begins to run it; it comes again, here and elsewhere.
BOOST_AUTO_TEST_CASE(a_request_that_kills_replicas_is_refused_everywhere)
{
    world w(4);
    w.arrive(routeOf(route_kind::Idempotent, 5));
    w.done(w.onlyOpen(), transfer_state::NoAnswer);
    BOOST_REQUIRE(w.sends.size() == 2u); // once more, apart
    w.done(w.onlyOpen(), transfer_state::Truncated);
    BOOST_TEST(w.sends.size() == 2u);
    BOOST_REQUIRE(w.refusals.size() == 1u);
    BOOST_TEST(w.refusals[0].status == 502); // it has run

    w.arrive(routeOf(route_kind::Idempotent, 5));
    BOOST_TEST(w.sends.size() == 2u);
    BOOST_REQUIRE(w.refusals.size() == 2u);
    BOOST_TEST(w.refusals[1].status == 503); // this one has not
    BOOST_TEST((w.refusals[1].retryAfter > 0s));

    world other(4);
    other.marks.onNews(w.marks.news(), wallStart);
    other.arrive(routeOf(route_kind::AtMostOnce));
    BOOST_TEST(other.sends.empty());
    BOOST_REQUIRE(other.refusals.size() == 1u);
    BOOST_TEST(other.refusals[0].status == 503);
    // Nobody else is punished.
    other.fingerprint = request_fingerprint { 8 };
    other.arrive(routeOf(route_kind::AtMostOnce));
    BOOST_TEST(other.sends.size() == 1u);
}

// What may run once at most is not run again by us, so its crashes are seen by several
// instances, one each.
BOOST_AUTO_TEST_CASE(crashes_at_several_instances_add_up)
{
    world first(4);
    first.arrive(routeOf(route_kind::AtMostOnce));
    first.done(first.onlyOpen(), transfer_state::NoAnswer);
    world second(4);
    second.marks.onNews(first.marks.news(), wallStart);
    second.arrive(routeOf(route_kind::AtMostOnce));
    second.done(second.onlyOpen(), transfer_state::NoAnswer);
    world third(4);
    third.marks.onNews(second.marks.news(), wallStart);
    third.marks.onNews(first.marks.marks(), wallStart);
    third.arrive(routeOf(route_kind::AtMostOnce));
    BOOST_TEST(third.sends.empty());
}

// A replica that died for reasons of its own makes nobody's request a culprit.
BOOST_AUTO_TEST_CASE(a_request_that_was_near_a_crash_is_served)
{
    world w(3);
    w.arrive(routeOf(route_kind::Idempotent));
    const auto target = w.sends.front().choice.target;
    w.done(w.onlyOpen(), transfer_state::NoAnswer);
    w.restart(target);
    w.pass(20ms);
    const auto again = w.onlyOpen();
    w.head(again, good);
    w.done(again, transfer_state::Whole);
    BOOST_TEST(w.deliveries.size() == 1u);
    // The same request again, beside another crash.
    w.arrive(routeOf(route_kind::Idempotent));
    w.done(w.onlyOpen(), transfer_state::NoAnswer);
    BOOST_TEST(w.refusals.empty());
    BOOST_TEST(w.open.size() == 1u);
}

// A death that the target's new incarnation proves is remembered for long; an answer
// that got lost on the way is not.
BOOST_AUTO_TEST_CASE(only_proved_deaths_are_remembered)
{
    for (const bool died : { true, false }) {
        world w(4);
        w.arrive(routeOf(route_kind::Idempotent, 5));
        const auto one = w.sends.back().choice.target;
        w.done(w.onlyOpen(), transfer_state::NoAnswer);
        const auto two = w.sends.back().choice.target;
        w.done(w.onlyOpen(), transfer_state::NoAnswer);
        if (died) {
            w.restart(one);
            w.restart(two);
        }
        w.pass(20ms);
        w.pass(40s);
        w.arrive(routeOf(route_kind::Idempotent, 5));
        BOOST_TEST(w.sends.size() == (died ? 2u : 3u));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
