// Tests of forwarding: what follows a failed attempt, and whether answers are true.
// Property: whatever targets do and how long they take, each request gets exactly one
// answer, a request that is not idempotent runs at most once, and an answer says "not run"
// only if that is true.
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

    // The state machine over a few replicas; records what it sends and answers.
    class forwarding_harness {
    public:
        explicit forwarding_harness(std::size_t replicas)
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

        void arrive(const site_route& route, std::optional<duration> deadline = 2s, forward_id id = forward_id(1), target_software software = {}, bool isOwed = false)
        {
            forward_request request;
            request.id = id;
            request.callerId = request_id("abc");
            request.route = route;
            request.account = client_account_id("acme");
            request.deadline = deadline;
            request.fingerprint = fingerprint;
            request.software = std::move(software);
            request.isOwed = isOwed;
            m_machine.setWallTime(wallStart + std::chrono::duration_cast<std::chrono::milliseconds>(now - start));
            act(m_machine.arrive(std::move(request), now));
        }
        void head(attempt_id attempt, const forward_head& head) { act(m_machine.head(attempt, head, now)); }
        void done(attempt_id attempt, transfer_state end, answer_digest digest = {})
        {
            open.erase(attempt);
            act(m_machine.done(attempt, end, now, digest));
        }
        // An event that the caller must get.
        void event(attempt_id attempt, std::uint64_t id)
        {
            BOOST_TEST((m_machine.streamEvent(attempt, id, event_digest(id), now) == event_order::Next));
        }
        // The first events of a stream.
        void events(attempt_id attempt, std::uint64_t last)
        {
            for (std::uint64_t id = 1; id <= last; ++id)
                event(attempt, id);
        }
        void disconnect() { act(m_machine.callerDisconnected(forward_id(1), now)); }
        void pass(duration time)
        {
            now += time;
            m_machine.setWallTime(wallStart + std::chrono::duration_cast<std::chrono::milliseconds>(now - start));
            act(m_machine.tick(now));
        }
        attempt_id onlyOpen() const
        {
            BOOST_REQUIRE(open.size() == 1u);
            return *open.begin();
        }

        void setSoftware(std::size_t replica, const std::string& version)
        {
            m_rows[replica].softwareVersion = version;
            m_router.applyList(m_rows, now);
        }

        // All targets name a limit; the first allowance is none.
        void nameLimits(double perSecond)
        {
            for (const auto& row : m_rows)
                m_router.applyLimit(row.id, row.incarnation, perSecond, now, now);
        }
        void allow(const target_id& target, std::uint32_t requests)
        {
            m_router.limits().granted(*m_router.table().find(target), { requests, 50ms, 1 }, now, now);
        }

        // The target restarts with a new incarnation.
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
        std::size_t runStarts = 0;
        std::size_t streamsBegun = 0;
        std::vector<bool> streamEnds;

        std::size_t answers() const { return refusals.size() + deliveries.size() + streamEnds.size(); }
        request_forwarder& machine() { return m_machine; }

    private:
        static router_settings settings()
        {
            router_settings out;
            out.table.absenceGrace = 0ms;
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
                else if (std::holds_alternative<forward_execution_started>(action))
                    ++runStarts;
                else if (std::holds_alternative<forward_begin_stream>(action))
                    ++streamsBegun;
                else if (const auto* end = std::get_if<forward_end_stream>(&action))
                    streamEnds.push_back(end->isComplete);
            }
        }

        router m_router;
        std::vector<listed_target> m_rows;
        request_forwarder m_machine;
    };

    constexpr forward_head good { 200, true, true, false, true };
    constexpr forward_head refused { 503, true, false, true };
    constexpr forward_head failed { 500, true, true, false };
    constexpr forward_head crossed { 200, false, true, false };
    constexpr forward_head unsignedSuccess { 200, true, false, false };
    constexpr forward_head unconfirmedNotRun { 503, true, true, false };

} // namespace

BOOST_AUTO_TEST_SUITE(forwarding_suite)

BOOST_AUTO_TEST_CASE(a_complete_answer_is_delivered_unchanged)
{
    forwarding_harness harness(2);
    harness.arrive(routeOf(route_kind::Idempotent));
    const auto attempt = harness.onlyOpen();
    harness.head(attempt, good);
    harness.done(attempt, transfer_state::Complete);
    BOOST_REQUIRE(harness.deliveries.size() == 1u);
    BOOST_TEST((harness.deliveries[0].attempt == attempt));
    BOOST_TEST(harness.runStarts == 1u);
    BOOST_TEST(harness.machine().open() == 0u);
}

BOOST_AUTO_TEST_CASE(a_refused_attempt_is_repeated_at_another_replica)
{
    forwarding_harness harness(2);
    harness.arrive(routeOf(route_kind::AtMostOnce));
    const auto first = harness.onlyOpen();
    harness.head(first, refused);
    harness.done(first, transfer_state::Complete);
    BOOST_REQUIRE(harness.sends.size() == 2u);
    BOOST_TEST(harness.sends[0].choice.target != harness.sends[1].choice.target);
    BOOST_TEST(harness.runStarts == 0u);
}

BOOST_AUTO_TEST_CASE(without_a_replica_a_request_is_refused_at_once_as_not_run)
{
    forwarding_harness harness(0);
    harness.arrive(routeOf(route_kind::Idempotent));
    BOOST_REQUIRE(harness.refusals.size() == 1u);
    BOOST_TEST(harness.refusals[0].status == 503);
    BOOST_TEST((harness.refusals[0].retryAfter > duration {}));
}

// The outcome is unknown, so a request that is not idempotent must get a status that
// doesn't promise "not run"; otherwise its caller would repeat it.
BOOST_AUTO_TEST_CASE(an_unknown_outcome_is_never_reported_as_not_run)
{
    forwarding_harness harness(3);
    harness.arrive(routeOf(route_kind::AtMostOnce));
    harness.done(harness.onlyOpen(), transfer_state::NoAnswer);
    BOOST_TEST(harness.sends.size() == 1u);
    BOOST_REQUIRE(harness.refusals.size() == 1u);
    BOOST_TEST(harness.refusals[0].status == 502);
}

// A status that callers take as "not run" must not be passed on from a replica that did not
// state "not run" itself.
BOOST_AUTO_TEST_CASE(a_503_without_not_run_is_not_passed_on)
{
    forwarding_harness harness(3);
    harness.arrive(routeOf(route_kind::AtMostOnce));
    const auto attempt = harness.onlyOpen();
    harness.head(attempt, unconfirmedNotRun);
    harness.done(attempt, transfer_state::Complete);
    BOOST_TEST(harness.deliveries.empty());
    BOOST_REQUIRE(harness.refusals.size() == 1u);
    BOOST_TEST(harness.refusals[0].status == 502);
}

BOOST_AUTO_TEST_CASE(answers_for_another_request_or_unsigned_ones_are_not_delivered)
{
    for (const auto& head : { crossed, unsignedSuccess }) {
        forwarding_harness harness(3);
        harness.arrive(routeOf(route_kind::Idempotent));
        const auto first = harness.onlyOpen();
        harness.head(first, head);
        harness.done(first, transfer_state::Complete);
        BOOST_TEST(harness.deliveries.empty());
        BOOST_TEST(harness.sends.size() == 2u);
    }
}

BOOST_AUTO_TEST_CASE(the_last_server_error_is_delivered_with_the_number_of_failures)
{
    forwarding_harness harness(4);
    harness.arrive(routeOf(route_kind::Idempotent, 3));
    for (int i = 0; i < 3; ++i) {
        const auto attempt = harness.onlyOpen();
        harness.head(attempt, failed);
        harness.done(attempt, transfer_state::Complete);
    }
    BOOST_REQUIRE(harness.deliveries.size() == 1u);
    BOOST_TEST(harness.deliveries[0].serverFailures == 3u);
    BOOST_TEST(harness.sends.size() == 3u);
}

BOOST_AUTO_TEST_CASE(a_disconnected_caller_cancels_its_attempts)
{
    forwarding_harness harness(2);
    harness.arrive(routeOf(route_kind::Idempotent));
    harness.disconnect();
    BOOST_TEST(harness.open.empty());
    BOOST_TEST(harness.answers() == 0u);
    BOOST_TEST(harness.machine().open() == 0u);
}

BOOST_AUTO_TEST_CASE(a_request_is_answered_at_the_routes_timeout)
{
    forwarding_harness harness(2);
    harness.arrive(routeOf(route_kind::AtMostOnce), 5s);
    harness.pass(1499ms);
    BOOST_TEST(harness.answers() == 0u);
    harness.pass(2ms);
    BOOST_REQUIRE(harness.refusals.size() == 1u);
    BOOST_TEST(harness.refusals[0].status == 504);
    BOOST_TEST(harness.open.empty());
}

BOOST_AUTO_TEST_CASE(a_request_of_which_nothing_was_sent_ends_as_not_run)
{
    forwarding_harness harness(2);
    harness.arrive(routeOf(route_kind::AtMostOnce), 5s);
    harness.machine().setUnsent(harness.onlyOpen(), true);
    harness.pass(1501ms);
    BOOST_REQUIRE(harness.refusals.size() == 1u);
    BOOST_TEST(harness.refusals[0].status == 503);
    BOOST_TEST(harness.open.empty());

    // An attempt that was sent after all.
    harness.arrive(routeOf(route_kind::AtMostOnce), 5s, forward_id(2));
    harness.machine().setUnsent(harness.onlyOpen(), true);
    harness.machine().setUnsent(harness.onlyOpen(), false);
    harness.pass(1501ms);
    BOOST_REQUIRE(harness.refusals.size() == 2u);
    BOOST_TEST(harness.refusals[1].status == 504);
}

// If a replica doesn't answer an idempotent request, a second attempt starts well before
// the caller's deadline.
BOOST_AUTO_TEST_CASE(an_attempt_without_an_answer_is_hedged)
{
    forwarding_harness harness(2);
    harness.arrive(routeOf(route_kind::Idempotent));
    harness.pass(1s);
    BOOST_REQUIRE(harness.sends.size() == 2u);
    BOOST_TEST(harness.sends[0].choice.target != harness.sends[1].choice.target);
    const auto second = harness.sends[1].attempt;
    harness.head(second, good);
    harness.done(second, transfer_state::Complete);
    BOOST_TEST(harness.deliveries.size() == 1u);
    BOOST_TEST(harness.open.empty());
}

BOOST_AUTO_TEST_CASE(a_broken_stream_resumes_after_its_last_event)
{
    forwarding_harness harness(2);
    auto route = routeOf(route_kind::Stream);
    route.resumable = true;
    harness.arrive(route);
    const auto first = harness.onlyOpen();
    harness.head(first, good);
    BOOST_TEST(harness.streamsBegun == 1u);
    harness.events(first, 7);
    harness.done(first, transfer_state::Truncated);
    BOOST_REQUIRE(harness.sends.size() == 2u);
    BOOST_TEST((harness.sends[1].lastEventId == std::optional<std::uint64_t>(7)));
    const auto second = harness.sends[1].attempt;
    harness.head(second, good);
    harness.done(second, transfer_state::Complete);
    BOOST_TEST(harness.streamsBegun == 1u);
    BOOST_REQUIRE(harness.streamEnds.size() == 1u);
    BOOST_TEST(harness.streamEnds[0]);
}

// --- Answers that don't go on with the stream that the caller gets

namespace {

    // A stream of which the caller has events 1 and 2 when its first attempt breaks off.
    class broken_stream : public forwarding_harness {
    public:
        explicit broken_stream(std::uint32_t maxAttempts)
            : forwarding_harness(3)
        {
            auto route = routeOf(route_kind::Stream, maxAttempts);
            route.resumable = true;
            arrive(route);
            const auto first = onlyOpen();
            head(first, good);
            events(first, 2);
            done(first, transfer_state::Truncated);
        }
    };

} // namespace

BOOST_AUTO_TEST_CASE(an_answer_that_is_no_stream_is_replaced_by_that_of_another_target)
{
    constexpr forward_head page { 200, true, true, false, false };
    constexpr forward_head empty { 204, true, true, false, true };
    constexpr forward_head missing { 404, true, true, false, false };
    for (const auto& head : { page, empty, missing, failed, unsignedSuccess, unconfirmedNotRun }) {
        broken_stream harness(4);
        const auto second = harness.onlyOpen();
        harness.head(second, head);
        BOOST_TEST(!harness.open.contains(second));
        const auto third = harness.onlyOpen();
        BOOST_TEST((harness.sends.back().lastEventId == std::optional<std::uint64_t>(2)));
        BOOST_TEST(harness.sends.back().choice.target != harness.sends[1].choice.target);
        harness.head(third, good);
        harness.event(third, 3);
        harness.done(third, transfer_state::Complete);
        BOOST_TEST(harness.deliveries.empty());
        BOOST_TEST(harness.streamsBegun == 1u);
        BOOST_TEST(harness.streamEnds == std::vector<bool> { true }, boost::test_tools::per_element());
    }
}

BOOST_AUTO_TEST_CASE(a_stream_that_no_target_goes_on_with_ends_as_broken)
{
    broken_stream harness(3);
    harness.head(harness.onlyOpen(), { 204, true, true, false, true });
    harness.head(harness.onlyOpen(), failed);
    BOOST_TEST(harness.open.empty());
    BOOST_TEST(harness.deliveries.empty());
    BOOST_TEST(harness.refusals.empty());
    BOOST_TEST(harness.streamEnds == std::vector<bool> { false }, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(events_that_do_not_follow_the_last_one_end_the_attempt)
{
    const std::optional<std::uint64_t> gap = 4;
    for (const auto& id : { gap, std::optional<std::uint64_t>(), std::optional(std::numeric_limits<std::uint64_t>::max()) }) {
        broken_stream harness(3);
        const auto second = harness.onlyOpen();
        harness.head(second, good);
        BOOST_TEST((harness.machine().streamEvent(second, 1, event_digest(1), harness.now) == event_order::Repeated));
        BOOST_TEST((harness.machine().streamEvent(second, 2, event_digest(77), harness.now) == event_order::Broken));
        BOOST_TEST((harness.machine().streamEvent(second, id, event_digest(4), harness.now) == event_order::Broken));
        harness.done(second, transfer_state::Rejected);
        BOOST_TEST(harness.streamEnds.empty());
        const auto third = harness.onlyOpen();
        BOOST_TEST((harness.sends.back().lastEventId == std::optional<std::uint64_t>(2)));
        harness.head(third, good);
        harness.event(third, 3);
    }
}

BOOST_AUTO_TEST_CASE(a_success_that_is_no_stream_is_delivered_whole_to_a_caller_that_has_no_event)
{
    forwarding_harness harness(2);
    harness.arrive(routeOf(route_kind::Stream));
    const auto first = harness.onlyOpen();
    harness.head(first, { 200, true, true, false, false });
    harness.done(first, transfer_state::Complete);
    BOOST_TEST(harness.streamsBegun == 0u);
    BOOST_TEST(harness.deliveries.size() == 1u);
}

// --- Answers of which nothing shows that they are complete

BOOST_AUTO_TEST_CASE(an_unproven_answer_is_not_delivered_while_another_target_can_prove_it)
{
    forwarding_harness harness(2);
    harness.arrive(routeOf(route_kind::Idempotent));
    const auto first = harness.onlyOpen();
    harness.head(first, good);
    harness.done(first, transfer_state::Unproven, answer_digest(1));
    BOOST_TEST(harness.deliveries.empty());
    BOOST_REQUIRE(harness.sends.size() == 2u);
    BOOST_TEST(harness.sends[0].choice.target != harness.sends[1].choice.target);
    const auto second = harness.onlyOpen();
    harness.head(second, good);
    harness.done(second, transfer_state::Complete);
    BOOST_REQUIRE(harness.deliveries.size() == 1u);
    BOOST_TEST((harness.deliveries[0].attempt == second && harness.deliveries[0].isProven));
}

BOOST_AUTO_TEST_CASE(two_equal_unproven_answers_prove_each_other)
{
    forwarding_harness harness(2);
    harness.arrive(routeOf(route_kind::Idempotent));
    for (int i = 0; i < 2; ++i) {
        const auto attempt = harness.onlyOpen();
        harness.head(attempt, good);
        harness.done(attempt, transfer_state::Unproven, answer_digest(1));
    }
    BOOST_REQUIRE(harness.deliveries.size() == 1u);
    BOOST_TEST(harness.deliveries[0].isProven);
}

// A target that breaks off at the same byte each time proves nothing by it.
BOOST_AUTO_TEST_CASE(equal_unproven_answers_of_one_target_do_not_prove_each_other)
{
    forwarding_harness harness(1);
    harness.arrive(routeOf(route_kind::Idempotent, 3));
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(harness.deliveries.empty());
        harness.pass(std::chrono::milliseconds(50));
        const auto attempt = harness.onlyOpen();
        harness.head(attempt, good);
        harness.done(attempt, transfer_state::Unproven, answer_digest(1));
    }
    BOOST_TEST(harness.refusals.empty());
    BOOST_REQUIRE(harness.deliveries.size() == 1u);
    BOOST_TEST(!harness.deliveries[0].isProven);
}

BOOST_AUTO_TEST_CASE(unproven_answers_that_all_differ_are_not_delivered)
{
    forwarding_harness harness(4);
    harness.arrive(routeOf(route_kind::Idempotent, 3));
    for (std::uint64_t i = 1; i <= 3; ++i) {
        const auto attempt = harness.onlyOpen();
        harness.head(attempt, good);
        harness.done(attempt, transfer_state::Unproven, answer_digest(i));
    }
    BOOST_TEST(harness.deliveries.empty());
    BOOST_REQUIRE(harness.refusals.size() == 1u);
    BOOST_TEST(harness.refusals[0].status == 502);
}

// The work must not run again, and its answer may well be complete.
BOOST_AUTO_TEST_CASE(an_unproven_answer_to_a_request_that_runs_once_is_delivered_as_such)
{
    forwarding_harness harness(2);
    harness.arrive(routeOf(route_kind::AtMostOnce));
    const auto first = harness.onlyOpen();
    harness.head(first, good);
    harness.done(first, transfer_state::Unproven, answer_digest(1));
    BOOST_TEST(harness.sends.size() == 1u);
    BOOST_REQUIRE(harness.deliveries.size() == 1u);
    BOOST_TEST(!harness.deliveries[0].isProven);
}

BOOST_AUTO_TEST_CASE(an_unproven_end_of_a_stream_is_confirmed_by_a_run_that_adds_nothing)
{
    for (const std::uint64_t added : { 0, 2 }) {
        forwarding_harness harness(3);
        auto route = routeOf(route_kind::Stream, 3);
        route.resumable = true;
        harness.arrive(route);
        const auto first = harness.onlyOpen();
        harness.head(first, good);
        harness.events(first, 7);
        harness.done(first, transfer_state::Unproven);
        BOOST_TEST(harness.streamEnds.empty());
        BOOST_REQUIRE(harness.sends.size() == 2u);
        BOOST_TEST((harness.sends[1].lastEventId == std::optional<std::uint64_t>(7)));
        const auto second = harness.onlyOpen();
        harness.head(second, good);
        for (std::uint64_t event = 8; event <= 7 + added; ++event)
            harness.event(second, event);
        harness.done(second, transfer_state::Unproven);
        BOOST_TEST(harness.streamEnds.size() == (added > 0 ? 0u : 1u));
        BOOST_TEST(harness.sends.size() == (added > 0 ? 3u : 2u));
    }
}

BOOST_AUTO_TEST_CASE(a_stream_that_cannot_be_resumed_has_no_unproven_end)
{
    forwarding_harness harness(2);
    harness.arrive(routeOf(route_kind::Stream));
    const auto first = harness.onlyOpen();
    harness.head(first, good);
    harness.events(first, 7);
    harness.done(first, transfer_state::Unproven);
    BOOST_TEST(harness.sends.size() == 1u);
    BOOST_REQUIRE(harness.streamEnds.size() == 1u);
    BOOST_TEST(!harness.streamEnds[0]);
}

// ---

BOOST_AUTO_TEST_CASE(a_stream_that_cannot_be_resumed_ends_as_incomplete)
{
    forwarding_harness harness(2);
    harness.arrive(routeOf(route_kind::Stream));
    const auto first = harness.onlyOpen();
    harness.head(first, good);
    harness.done(first, transfer_state::Truncated);
    BOOST_TEST(harness.sends.size() == 1u);
    BOOST_REQUIRE(harness.streamEnds.size() == 1u);
    BOOST_TEST(!harness.streamEnds[0]);
}

// For random behaviour of replicas: exactly one answer, true about whether the request ran,
// within the route's time-out.
BOOST_AUTO_TEST_CASE(each_request_gets_exactly_one_true_answer)
{
    test::checkProperty("one truthful answer", [] {
        const auto kind = *rc::gen::element(route_kind::Idempotent, route_kind::AtMostOnce);
        forwarding_harness harness(*rc::gen::inRange<std::size_t>(0, 4));
        const auto route = routeOf(kind, *rc::gen::inRange<std::uint32_t>(1, 5));
        harness.arrive(route);
        std::size_t mayHaveRun = 0;
        while (harness.answers() == 0 && harness.now < start + 10s) {
            if (harness.open.empty()) {
                harness.pass(20ms);
                continue;
            }
            const auto attempt = *harness.open.begin();
            switch (*rc::gen::inRange(0, 7)) {
            case 0:
                harness.pass(std::chrono::milliseconds(*rc::gen::inRange(1, 400)));
                break;
            case 1:
                harness.head(attempt, refused);
                harness.done(attempt, transfer_state::Complete);
                break;
            case 2:
                harness.done(attempt, transfer_state::NotSent);
                break;
            case 3:
                ++mayHaveRun;
                harness.done(attempt, transfer_state::NoAnswer);
                break;
            case 4:
                ++mayHaveRun;
                harness.head(attempt, failed);
                harness.done(attempt, transfer_state::Complete);
                break;
            case 5:
                ++mayHaveRun;
                harness.head(attempt, crossed);
                harness.done(attempt, transfer_state::Complete);
                break;
            default:
                ++mayHaveRun;
                harness.head(attempt, good);
                harness.done(attempt, transfer_state::Complete);
                break;
            }
        }
        RC_ASSERT(harness.answers() == 1u);
        RC_ASSERT(harness.open.empty());
        RC_ASSERT(harness.now <= start + route.timeout + 400ms);
        if (kind == route_kind::AtMostOnce)
            RC_ASSERT(mayHaveRun <= 1u);
        if (kind == route_kind::AtMostOnce && !harness.refusals.empty() && harness.refusals[0].status == 503)
            RC_ASSERT(mayHaveRun == 0u);
    });
}

// A request crashes each replica that starts to run it, and is sent again to this and other
// instances: without the quarantine it would take down all replicas.
BOOST_AUTO_TEST_CASE(a_request_that_crashes_replicas_is_refused_by_all_instances)
{
    forwarding_harness harness(4);
    harness.arrive(routeOf(route_kind::Idempotent, 5));
    harness.done(harness.onlyOpen(), transfer_state::NoAnswer);
    BOOST_REQUIRE(harness.sends.size() == 2u); // once more, isolated
    harness.done(harness.onlyOpen(), transfer_state::Truncated);
    BOOST_TEST(harness.sends.size() == 2u);
    BOOST_REQUIRE(harness.refusals.size() == 1u);
    BOOST_TEST(harness.refusals[0].status == 502); // it may have run

    harness.arrive(routeOf(route_kind::Idempotent, 5));
    BOOST_TEST(harness.sends.size() == 2u);
    BOOST_REQUIRE(harness.refusals.size() == 2u);
    BOOST_TEST(harness.refusals[1].status == 503); // this one has not run
    BOOST_TEST((harness.refusals[1].retryAfter > 0s));

    forwarding_harness other(4);
    other.marks.mergeMarks(harness.marks.takePendingChanges(), wallStart);
    other.arrive(routeOf(route_kind::AtMostOnce));
    BOOST_TEST(other.sends.empty());
    BOOST_REQUIRE(other.refusals.size() == 1u);
    BOOST_TEST(other.refusals[0].status == 503);
    // Other requests are not affected.
    other.fingerprint = request_fingerprint { 8 };
    other.arrive(routeOf(route_kind::AtMostOnce));
    BOOST_TEST(other.sends.size() == 1u);
}

// An instance never runs a request again that is not idempotent, so it sees at most one
// crash. If the caller repeats the request at other instances, their reports must add up.
BOOST_AUTO_TEST_CASE(breaks_at_an_instance_that_lost_its_paths_blame_no_request)
{
    forwarding_harness harness(4);
    harness.arrive(routeOf(route_kind::Idempotent, 5));
    harness.done(harness.onlyOpen(), transfer_state::NoAnswer);
    harness.done(harness.onlyOpen(), transfer_state::NoAnswer);
    BOOST_REQUIRE(harness.refusals.size() == 1U);
    forwarding_harness other(4);
    other.marks.mergeMarks(harness.marks.takePendingChanges(), wallStart);

    // It finds that it was cut off: the reports are withdrawn at all instances, later ones are not made.
    harness.machine().setCutOff(true, harness.now);
    other.marks.mergeMarks(harness.marks.takePendingChanges(), wallStart);
    other.arrive(routeOf(route_kind::Idempotent, 5));
    BOOST_TEST(other.sends.size() == 1U);
    harness.arrive(routeOf(route_kind::Idempotent, 5), 2s, forward_id(2));
    harness.done(harness.onlyOpen(), transfer_state::NoAnswer);
    BOOST_TEST(harness.marks.takePendingChanges().empty());

    // After the cut crashes count again.
    harness.machine().setCutOff(false, harness.now);
    harness.done(harness.onlyOpen(), transfer_state::NoAnswer);
    BOOST_TEST(!harness.marks.takePendingChanges().empty());
}

// Targets that crash by themselves while they run it: it runs alone, and is never refused for that.
BOOST_AUTO_TEST_CASE(a_request_that_is_owed_is_not_refused_after_crashes)
{
    forwarding_harness harness(4);
    for (std::uint64_t call = 1; call <= 5; ++call) {
        harness.arrive(routeOf(route_kind::Idempotent, 1), 2s, forward_id(call), {}, true);
        const auto attempt = harness.onlyOpen();
        const auto target = harness.sends.back().choice.target;
        harness.done(attempt, transfer_state::NoAnswer);
        harness.restart(target);
        harness.pass(100ms);
    }
    BOOST_TEST(harness.sends.size() == 5u);
    // The same request of a caller is still refused.
    harness.arrive(routeOf(route_kind::Idempotent, 1), 2s, forward_id(6));
    BOOST_TEST(harness.sends.size() == 5u);
    harness.arrive(routeOf(route_kind::Idempotent, 1), 2s, forward_id(7), {}, true);
    const auto attempt = harness.onlyOpen();
    harness.head(attempt, good);
    harness.done(attempt, transfer_state::Complete);
    BOOST_TEST(harness.deliveries.size() == 1u);
}

BOOST_AUTO_TEST_CASE(crashes_at_several_instances_add_up)
{
    forwarding_harness first(4);
    first.arrive(routeOf(route_kind::AtMostOnce));
    first.done(first.onlyOpen(), transfer_state::NoAnswer);
    forwarding_harness second(4);
    second.marks.mergeMarks(first.marks.takePendingChanges(), wallStart);
    second.arrive(routeOf(route_kind::AtMostOnce));
    second.done(second.onlyOpen(), transfer_state::NoAnswer);
    forwarding_harness third(4);
    third.marks.mergeMarks(second.marks.takePendingChanges(), wallStart);
    third.marks.mergeMarks(first.marks.marks(), wallStart);
    third.arrive(routeOf(route_kind::AtMostOnce));
    BOOST_TEST(third.sends.empty());
}

// A replica may crash for reasons of its own. A request that happened to run there must
// not be quarantined.
BOOST_AUTO_TEST_CASE(a_request_at_an_unrelated_crash_is_served)
{
    forwarding_harness harness(3);
    harness.arrive(routeOf(route_kind::Idempotent));
    const auto target = harness.sends.front().choice.target;
    harness.done(harness.onlyOpen(), transfer_state::NoAnswer);
    harness.restart(target);
    harness.pass(20ms);
    const auto again = harness.onlyOpen();
    harness.head(again, good);
    harness.done(again, transfer_state::Complete);
    BOOST_TEST(harness.deliveries.size() == 1u);
    // The same request again, at another crash.
    harness.arrive(routeOf(route_kind::Idempotent));
    harness.done(harness.onlyOpen(), transfer_state::NoAnswer);
    BOOST_TEST(harness.refusals.empty());
    BOOST_TEST(harness.open.size() == 1u);
}

// A crash proved by a new incarnation of the target counts for long. A broken attempt
// without that proof, such as an answer lost in the network, counts only for a short time.
BOOST_AUTO_TEST_CASE(only_confirmed_crashes_count_for_long)
{
    for (const bool crashed : { true, false }) {
        forwarding_harness harness(4);
        harness.arrive(routeOf(route_kind::Idempotent, 5));
        const auto one = harness.sends.back().choice.target;
        harness.done(harness.onlyOpen(), transfer_state::NoAnswer);
        const auto two = harness.sends.back().choice.target;
        harness.done(harness.onlyOpen(), transfer_state::NoAnswer);
        if (crashed) {
            harness.restart(one);
            harness.restart(two);
        }
        harness.pass(20ms);
        harness.pass(40s);
        harness.arrive(routeOf(route_kind::Idempotent, 5));
        BOOST_TEST(harness.sends.size() == (crashed ? 2u : 3u));
    }
}

// --- Software versions of replicas

BOOST_AUTO_TEST_CASE(a_stream_goes_on_only_at_the_software_that_began_it)
{
    auto route = routeOf(route_kind::Stream, 10);
    route.resumable = true;
    for (std::uint64_t number = 0; number < 20; ++number) {
        forwarding_harness harness(4);
        for (std::size_t replica = 0; replica < 4; ++replica)
            harness.setSoftware(replica, replica < 2 ? "v1" : "v2");
        harness.arrive(route, 2s, forward_id(number + 1));
        const auto first = harness.onlyOpen();
        harness.head(first, good);
        harness.events(first, 7);
        harness.done(first, transfer_state::Truncated);
        BOOST_REQUIRE(harness.sends.size() == 2u);
        BOOST_TEST((harness.sends[1].choice.software == harness.sends[0].choice.software));
    }
}

BOOST_AUTO_TEST_CASE(a_stream_without_an_event_may_begin_at_other_software)
{
    auto route = routeOf(route_kind::Stream);
    route.resumable = true;
    forwarding_harness harness(2);
    harness.setSoftware(0, "v1");
    harness.setSoftware(1, "v2");
    harness.arrive(route);
    harness.done(harness.onlyOpen(), transfer_state::NoAnswer);
    BOOST_REQUIRE(harness.sends.size() == 2u);
    BOOST_TEST((harness.sends[1].choice.software != harness.sends[0].choice.software));
}

BOOST_AUTO_TEST_CASE(a_stream_whose_software_is_gone_is_refused)
{
    auto route = routeOf(route_kind::Stream);
    route.resumable = true;
    forwarding_harness harness(2);
    harness.setSoftware(0, "v2");
    harness.setSoftware(1, "v2");
    harness.arrive(route, 2s, forward_id(1), { pool_id(app.str()), "v1" });
    BOOST_REQUIRE(harness.refusals.size() == 1u);
    BOOST_TEST(harness.refusals.front().status == 503);
    // The route no longer leads to the service where it began.
    harness.arrive(route, 2s, forward_id(2), { pool_id("former"), "v2" });
    BOOST_TEST(harness.refusals.size() == 2u);
    BOOST_TEST(harness.sends.empty());
}

// --- Limits that targets name

BOOST_AUTO_TEST_CASE(a_request_waits_for_a_target_at_its_limit)
{
    forwarding_harness harness(2);
    harness.nameLimits(4);
    harness.arrive(routeOf(route_kind::AtMostOnce));
    harness.pass(100ms);
    BOOST_TEST(harness.sends.empty());
    BOOST_TEST(harness.refusals.empty());
    harness.allow(target_id("t1"), 1);
    harness.pass(20ms);
    BOOST_REQUIRE(harness.sends.size() == 1u);
    BOOST_TEST(harness.sends.front().choice.target.str() == "t1");
}

BOOST_AUTO_TEST_CASE(requests_that_limits_delay_go_in_the_order_of_their_arrival)
{
    forwarding_harness harness(1);
    harness.nameLimits(4);
    for (std::uint64_t id = 1; id <= 3; ++id)
        harness.arrive(routeOf(route_kind::Idempotent), 2s, forward_id(id));
    harness.allow(target_id("t0"), 2);
    harness.arrive(routeOf(route_kind::Idempotent), 2s, forward_id(4));
    BOOST_TEST(harness.sends.empty());
    harness.pass(20ms);
    BOOST_REQUIRE(harness.sends.size() == 2u);
    BOOST_TEST(harness.sends[0].id == forward_id(1));
    BOOST_TEST(harness.sends[1].id == forward_id(2));
}

BOOST_AUTO_TEST_CASE(a_request_that_limits_delay_beyond_its_deadline_is_refused_at_once)
{
    forwarding_harness harness(2);
    harness.nameLimits(2); // four a second together
    for (std::uint64_t id = 1; id <= 5; ++id)
        harness.arrive(routeOf(route_kind::AtMostOnce), 1s, forward_id(id));
    BOOST_REQUIRE(harness.refusals.size() == 2u);
    BOOST_TEST(harness.refusals.front().status == 503);
    BOOST_TEST((harness.refusals.front().retryAfter == 1s));
    BOOST_TEST(harness.machine().open() == 3u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
