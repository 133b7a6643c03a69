// Tests of the memory that clients may hold: shares, claims that move with what they stand for, and
// buffers whose spare room is charged.
#include "http/byte_buffer.h"
#include "intake_limits.h"
#include "memory_budget.h"
#include "property.h"

#include <vector>

using namespace lovagerail;

namespace {

constexpr std::uint64_t mib = 1 << 20;

memory_limits limitsOf(std::uint64_t total, std::uint64_t kept, std::uint64_t large)
{
    memory_limits out;
    out.total = byte_count(total);
    out.keptForOrdinary = byte_count(kept);
    out.of(memory_use::Connection) = out.of(memory_use::Ordinary) = out.of(memory_use::Batch) = byte_count(total);
    out.of(memory_use::Large) = byte_count(large);
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(memory_budget_suite)

BOOST_AUTO_TEST_CASE(large_holdings_leave_room_for_ordinary_requests)
{
    memory_budget budget(limitsOf(100, 30, 90));
    BOOST_TEST(budget.claim(memory_use::Large, byte_count(70)));
    BOOST_TEST(!budget.claim(memory_use::Large, byte_count(1)));
    BOOST_TEST(!budget.claim(memory_use::Batch, byte_count(1)));
    BOOST_TEST(budget.claim(memory_use::Ordinary, byte_count(30)));
    BOOST_TEST(!budget.claim(memory_use::Ordinary, byte_count(1)));
    budget.release(memory_use::Large, byte_count(70));
    BOOST_TEST(budget.claim(memory_use::Large, byte_count(40)));
}

BOOST_AUTO_TEST_CASE(what_can_not_be_refused_counts_against_later_claims)
{
    memory_budget budget(limitsOf(100, 0, 100));
    budget.charge(memory_use::Batch, byte_count(150));
    BOOST_TEST(!budget.claim(memory_use::Ordinary, byte_count(1)));
    BOOST_TEST(budget.mayEverFit(memory_use::Large, byte_count(100)));
    BOOST_TEST(!budget.mayEverFit(memory_use::Large, byte_count(101)));
}

BOOST_AUTO_TEST_CASE(calls_of_other_instances_find_room_when_clients_have_taken_all)
{
    auto limits = limitsOf(1000, 0, 1000);
    limits.of(memory_use::Own) = byte_count(100);
    const auto clients = std::make_shared<http::memory_account>(limits);
    const auto own = clients->forOwnCalls();
    BOOST_TEST(clients->claim(memory_use::Ordinary, 1000));
    BOOST_TEST(!clients->claim(memory_use::Connection, 1));
    BOOST_TEST(own->claim(memory_use::Connection, 60));
    BOOST_TEST(own->claim(memory_use::Ordinary, 40));
    BOOST_TEST(!own->claim(memory_use::Ordinary, 1));
    BOOST_TEST(!own->claim(memory_use::Large, 1));
    clients->release(memory_use::Ordinary, 1000);
    BOOST_TEST(own->claim(memory_use::Large, 1000)); // bodies of relayed requests are those of clients
    BOOST_TEST(clients->snapshot().usedBy(memory_use::Own).count() == 100u);
}

BOOST_AUTO_TEST_CASE(claims_never_exceed_their_limits_and_release_what_they_charged)
{
    test::checkProperty("claims", [](const std::vector<std::uint16_t>& sizes) {
        const auto account = std::make_shared<http::memory_account>(limitsOf(200'000, 50'000, 120'000));
        {
            std::vector<http::memory_claim> claims;
            for (const auto size : sizes) {
                auto& claim = claims.emplace_back(account);
                claim.resize(size % 2 == 0 ? memory_use::Ordinary : memory_use::Large, size);
                if (size % 3 == 0)
                    claims.front().resize(memory_use::Large, size);
                const auto budget = account->snapshot();
                RC_ASSERT(budget.used() <= budget.limits().total);
                RC_ASSERT(budget.usedBy(memory_use::Large) <= budget.limits().of(memory_use::Large));
            }
        }
        RC_ASSERT(account->snapshot().used() == byte_count());
    });
}

BOOST_AUTO_TEST_CASE(a_buffer_holds_what_was_appended_and_charges_its_spare_room)
{
    const auto account = std::make_shared<http::memory_account>(limitsOf(4 * mib, 0, 3 * mib));
    http::byte_buffer buffer(account);
    std::string expected;
    for (int part = 0; part < 200; ++part) {
        const std::string bytes(static_cast<std::size_t>(part) * 37, static_cast<char>('a' + part % 26));
        BOOST_REQUIRE(buffer.append(bytes, 2 * mib));
        expected += bytes;
        if (part % 50 == 49) {
            buffer.consume(1000);
            expected.erase(0, 1000);
        }
        BOOST_TEST(account->snapshot().used().count() >= buffer.size());
        BOOST_TEST(account->snapshot().used().count() <= buffer.size() + buffer.size() / 8 + 2 * ordinaryHoldingBytes);
    }
    BOOST_TEST(buffer.view() == expected);
    buffer.consume(expected.size());
    BOOST_TEST(buffer.empty());
    BOOST_TEST(account->snapshot().used().count() <= ordinaryHoldingBytes);
}

BOOST_AUTO_TEST_CASE(a_buffer_that_finds_no_room_keeps_what_it_has)
{
    const auto account = std::make_shared<http::memory_account>(limitsOf(4 * mib, 0, mib));
    http::byte_buffer buffer(account);
    const std::string part(100'000, 'x');
    std::size_t appended = 0;
    while (buffer.append(part))
        appended += part.size();
    BOOST_TEST(appended >= 1'000'000u);
    BOOST_TEST(buffer.size() == appended);
    BOOST_TEST(buffer.view().back() == 'x');
    auto moved = std::move(buffer);
    BOOST_TEST(moved.size() == appended);
    moved.clear();
    BOOST_TEST(account->snapshot().used() == byte_count());
}

// Guards against a move of a large body with each of its very small chunks when memory is short.
BOOST_AUTO_TEST_CASE(a_buffer_grows_in_steps_where_there_is_no_spare_room)
{
    const auto account = std::make_shared<http::memory_account>(limitsOf(4 * mib, 0, mib));
    http::byte_buffer buffer(account);
    std::size_t growths = 0;
    auto charged = account->snapshot().used();
    while (buffer.append("0123456789abcdef")) {
        growths += account->snapshot().used() != charged ? 1 : 0;
        charged = account->snapshot().used();
    }
    BOOST_TEST(buffer.size() > mib - 2 * 16 * 1024);
    BOOST_TEST(growths < 100u);
}

BOOST_AUTO_TEST_CASE(the_smallest_machine_holds_a_full_body_and_its_answer)
{
    const auto limits = intakeLimitsFor({ byte_count(160'000'000), 4100 });
    memory_budget budget(limits.memory);
    BOOST_TEST(budget.claim(memory_use::Large, byte_count(32 * mib)));
    BOOST_TEST(budget.claim(memory_use::Large, byte_count(33 * mib)));
    BOOST_TEST((limits.memory.total + limits.memory.of(memory_use::Own)).count() < 120'000'000u);
}

BOOST_AUTO_TEST_CASE(descriptors_are_left_for_targets_and_for_own_calls)
{
    for (const std::uint64_t descriptors : { 700, 1024, 4100, 8200, 65'536 }) {
        const auto limits = intakeLimitsFor({ byte_count(160'000'000), descriptors });
        const std::uint64_t sockets = limits.callers.connections + limits.instances.connections + 2 * limits.internal.connections;
        const std::uint64_t toTargets = limits.callers.requests + limits.instances.requests;
        BOOST_TEST(sockets + toTargets + 300 <= descriptors);
        BOOST_TEST(limits.memory.of(memory_use::Connection).count() >= limits.callers.connections * connectionBytes);
        BOOST_TEST(limits.memory.of(memory_use::Own).count() >= (limits.instances.connections + 2 * limits.internal.connections) * connectionBytes);
    }
}

BOOST_AUTO_TEST_SUITE_END()
