// Tests of duty leases: generated histories of several claimers with drifting clocks,
// lost and delayed answers, outages, pauses and releases against a small model of the
// key-value service. At no time may two instances hold the same duty.
#include "lease.h"
#include "property.h"
#include "router_policy.h"

#include <map>
#include <set>

namespace lovagerail {
namespace {

    using namespace std::chrono_literals;

    constexpr duration stepTime = 20ms;
    constexpr std::uint64_t drift = 9; // largest clock drift of an instance, in thousandths, either way

    // Keys, leases and transactions of the service, on its own clock.
    class service {
    public:
        kv_answer act(const kv_call& call, duration now)
        {
            expire(now);
            kv_answer out;
            if (const auto* grant = std::get_if<kv_grant>(&call)) {
                out.lease = kv_lease_id(++m_lastLease);
                m_leases[out.lease] = { now + std::chrono::seconds(grant->seconds), std::chrono::seconds(grant->seconds) };
            } else if (const auto* keep = std::get_if<kv_keep_alive>(&call)) {
                if (const auto found = m_leases.find(keep->lease); found != m_leases.end()) {
                    found->second.first = now + found->second.second;
                    out.leaseSeconds = 1;
                }
            } else if (const auto* removal = std::get_if<kv_revoke>(&call)) {
                if (const auto found = m_leases.find(removal->lease); found != m_leases.end())
                    found->second.first = now;
                expire(now);
            } else if (const auto* range = std::get_if<kv_range>(&call)) {
                read(*range, out);
            } else if (const auto* change = std::get_if<kv_transaction>(&call)) {
                transact(*change, out);
            }
            out.at = revision(m_revision);
            return out;
        }

    private:
        void expire(duration now)
        {
            for (auto it = m_leases.begin(); it != m_leases.end();) {
                if (it->second.first > now) {
                    ++it;
                    continue;
                }
                std::erase_if(m_keys, [&](const auto& entry) { return entry.second.lease == it->first; });
                it = m_leases.erase(it);
                ++m_revision;
            }
        }
        void read(const kv_range& range, kv_answer& out) const
        {
            if (const auto found = m_keys.find(range.key); found != m_keys.end())
                out.entries.push_back(found->second);
        }
        void transact(const kv_transaction& change, kv_answer& out)
        {
            out.succeeded = true;
            for (const auto& compare : change.compares) {
                const auto found = m_keys.find(compare.key);
                const auto created = found == m_keys.end() ? revision() : found->second.createRevision;
                out.succeeded = out.succeeded && created == compare.number;
            }
            for (const auto& operation : out.succeeded ? change.then : change.otherwise) {
                if (const auto* range = std::get_if<kv_range>(&operation)) {
                    read(*range, out);
                } else if (const auto* put = std::get_if<kv_put>(&operation)) {
                    ++m_revision;
                    if (m_leases.contains(put->lease))
                        m_keys[put->key] = { put->key, put->value, revision(m_revision), revision(m_revision), put->lease };
                    else
                        out.succeeded = false;
                } else if (const auto* removal = std::get_if<kv_delete>(&operation)) {
                    ++m_revision;
                    m_keys.erase(removal->key);
                }
            }
        }

        std::map<std::string, kv_entry> m_keys;
        std::map<kv_lease_id, std::pair<duration, duration>> m_leases; // end, length
        std::int64_t m_lastLease = 0;
        std::uint64_t m_revision = 1;
    };

    struct claimer {
        duty_leases leases;
        std::int64_t clockRate = 1000; // of its clock, in thousandths
        duration pausedUntil {};
        std::multimap<duration, std::pair<std::uint64_t, result<kv_answer>>> arriving;
        std::uint64_t calls = 0;

        instant at(duration real) const { return instant(1h + real * clockRate / 1000); }
    };

    // Simulates one history; `faults` in a thousand steps and calls go wrong.
    class world {
    public:
        world(std::uint64_t seed, std::size_t instances)
            : m_random(seed)
        {
            for (std::size_t i = 0; i < instances; ++i) {
                lease_settings values;
                values.self = instance_id("i" + std::to_string(i));
                values.incarnationNumber = incarnation(i + 1);
                m_all.push_back({ duty_leases(values), std::int64_t(1000 + m_random.below(2 * drift + 1)) - std::int64_t(drift), {}, {}, 0 });
            }
        }

        void run(duration time, std::uint64_t faults)
        {
            for (const auto end = m_now + time; m_now < end; m_now += stepTime) {
                takeEffects();
                for (auto& one : m_all)
                    step(one, faults);
                checkHolders();
            }
        }
        // Runs without faults, with one preferred holder on which all agree: each duty must
        // end up with exactly one holder.
        void settle()
        {
            for (std::size_t i = 0; i < m_all.size(); ++i) {
                m_all[i].leases.setPreferredDuties(i == 0 ? m_duties : std::vector<duty_id>(), m_duties);
                m_all[i].pausedUntil = m_now;
            }
            run(15s, 0);
            for (const auto& duty : m_duties)
                RC_ASSERT(holdersOf(duty) == 1u);
        }
        void checkCalls() const
        {
            // Per lease time: keep-alives, grants, and per duty claims, checks, releases.
            const auto times = static_cast<std::uint64_t>(m_now / 5s) + 1;
            for (const auto& one : m_all)
                RC_ASSERT(one.calls <= times * (3 + 10 + 12 * m_duties.size()));
        }
        std::size_t gains() const { return m_gains; }

    private:
        struct effect {
            std::size_t claimer = 0;
            std::uint64_t id = 0;
            kv_call call;
            bool answered = true;
            duration back {};
        };

        std::size_t holdersOf(const duty_id& duty) const
        {
            std::size_t holders = 0;
            for (const auto& one : m_all)
                holders += one.leases.holds(duty, one.at(m_now)) ? 1 : 0;
            return holders;
        }
        void checkHolders() const
        {
            for (const auto& duty : m_duties)
                RC_ASSERT(holdersOf(duty) <= 1u);
        }
        void takeEffects()
        {
            while (!m_effects.empty() && m_effects.begin()->first <= m_now) {
                const auto item = m_effects.begin()->second;
                m_effects.erase(m_effects.begin());
                const auto answer = m_service.act(item.call, m_now);
                if (item.answered)
                    m_all[item.claimer].arriving.emplace(m_now + item.back, std::pair(item.id, result<kv_answer>(answer)));
            }
        }
        duration delay(std::uint64_t faults)
        {
            return std::chrono::milliseconds(m_random.below(1000) < faults ? m_random.below(4000) : m_random.below(40));
        }
        void act(claimer& one, const std::vector<lease_action>& actions, std::uint64_t faults)
        {
            const auto index = static_cast<std::size_t>(&one - m_all.data());
            for (const auto& action : actions) {
                if (const auto* gained = std::get_if<duty_gained>(&action)) {
                    RC_ASSERT(gained->fencing > m_fencing[gained->duty]);
                    m_fencing[gained->duty] = gained->fencing;
                    ++m_gains;
                }
                const auto* call = std::get_if<lease_call>(&action);
                if (!call)
                    continue;
                ++one.calls;
                const auto faultDraw = m_random.below(1000);
                const bool outage = m_now < m_outageUntil;
                // The caller sees a timeout after 1 s; the call may take effect even later.
                if (outage || faultDraw < faults) {
                    const auto code = m_random.below(2) == 0 ? error_code::Unavailable : error_code::Unknown;
                    one.arriving.emplace(m_now + 1s, std::pair(call->id, result<kv_answer>(failure(code, "test", ""))));
                    if (code == error_code::Unknown && !outage && m_random.below(2) == 0)
                        m_effects.emplace(m_now + delay(500), effect { index, call->id, call->call, false, {} });
                    continue;
                }
                m_effects.emplace(m_now + delay(faults), effect { index, call->id, call->call, true, delay(faults) });
            }
        }
        void step(claimer& one, std::uint64_t faults)
        {
            // Step 1. Faults: pauses, outages, releases and changes of preferred duties.
            if (m_random.below(20000) < faults)
                one.pausedUntil = m_now + std::chrono::milliseconds(m_random.below(12000));
            if (m_random.below(100000) < faults)
                m_outageUntil = m_now + std::chrono::milliseconds(m_random.below(10000));
            if (m_now < one.pausedUntil)
                return;
            if (m_random.below(10000) < faults)
                one.leases.release(m_duties[m_random.below(m_duties.size())]);
            if (m_random.below(10000) < faults) {
                std::vector<duty_id> preferred;
                for (const auto& duty : m_duties) {
                    if (m_random.below(2) == 0)
                        preferred.push_back(duty);
                }
                one.leases.setPreferredDuties(preferred, m_random.below(4) == 0 ? preferred : m_duties);
            }

            // Step 2. Deliver the answers that arrived, then run the timers.
            while (!one.arriving.empty() && one.arriving.begin()->first <= m_now) {
                const auto [id, answer] = one.arriving.begin()->second;
                one.arriving.erase(one.arriving.begin());
                act(one, one.leases.onAnswer(id, answer, one.at(m_now)), faults);
            }
            act(one, one.leases.tick(one.at(m_now)), faults);
        }

        seeded_random m_random;
        service m_service;
        std::vector<claimer> m_all;
        std::vector<duty_id> m_duties { duty_id("orders"), duty_id("run/a"), duty_id("usage") };
        std::multimap<duration, effect> m_effects;
        std::map<duty_id, fencing_number> m_fencing;
        duration m_now {};
        duration m_outageUntil {};
        std::size_t m_gains = 0;
    };

} // namespace

BOOST_AUTO_TEST_SUITE(lease_suite)

// Under any faults there are never two holders, fencing numbers grow and the number of
// calls stays bounded; once the faults stop, each duty has a holder.
BOOST_AUTO_TEST_CASE(one_holder_at_a_time)
{
    std::size_t gains = 0;
    test::checkProperty("one holder", [&gains] {
        world all(*rc::gen::arbitrary<std::uint64_t>(), *rc::gen::inRange<std::size_t>(2, 5));
        all.run(std::chrono::seconds(*rc::gen::inRange(5, 60)), *rc::gen::element<std::uint64_t>(0, 20, 100, 300));
        all.settle();
        all.checkCalls();
        gains += all.gains();
    });
    BOOST_CHECK_GT(gains, 300u);
}

// An instance that is the preferred holder of no duty and holds none makes no calls.
BOOST_AUTO_TEST_CASE(no_calls_without_duties)
{
    duty_leases leases({ instance_id("a"), incarnation(1) });
    leases.setPreferredDuties({}, { duty_id("orders") });
    for (instant now { 1h }; now < instant { 1h + 1min }; now += 100ms)
        BOOST_TEST(leases.tick(now).empty());
}

// Ticks for `time`, with calls answered at once by a service whose clock is `behind`
// ours; returns when the duty was first held.
std::optional<instant> runAlone(duty_leases& leases, service& keys, const duty_id& duty, instant from, duration time, duration behind = {})
{
    std::optional<instant> held;
    for (auto now = from; now < from + time; now += 50ms) {
        auto actions = leases.tick(now);
        while (!actions.empty()) {
            std::vector<lease_action> next;
            for (const auto& action : actions) {
                const auto* call = std::get_if<lease_call>(&action);
                if (call == nullptr)
                    continue;
                for (auto& more : leases.onAnswer(call->id, keys.act(call->call, now.time_since_epoch() - behind), now))
                    next.push_back(std::move(more));
            }
            actions = std::move(next);
        }
        if (!held && leases.holds(duty, now))
            held = now;
    }
    return held;
}

// Two claims are under way; the answer to the first, which created the key, comes after the duty was
// released again and its key deleted.
BOOST_AUTO_TEST_CASE(a_late_answer_does_not_bring_a_released_duty_back)
{
    const duty_id duty("orders");
    service keys;
    duty_leases leases({ instance_id("a"), incarnation(1) });
    leases.setPreferredDuties({ duty }, { duty });
    std::optional<std::uint64_t> lateClaim;
    result<kv_answer> lateAnswer = failure(error_code::Unknown, "test", "");
    bool gained = false;
    for (instant now { 1h }; now < instant { 1h + 4s }; now += 50ms) {
        auto actions = leases.tick(now);
        while (!actions.empty()) {
            std::vector<lease_action> next;
            for (const auto& action : actions) {
                gained = gained || std::holds_alternative<duty_gained>(action);
                const auto* call = std::get_if<lease_call>(&action);
                if (call == nullptr)
                    continue;
                auto answer = keys.act(call->call, now.time_since_epoch());
                if (!lateClaim && std::holds_alternative<kv_transaction>(call->call)) {
                    lateClaim = call->id;
                    lateAnswer = std::move(answer);
                    continue;
                }
                for (auto& more : leases.onAnswer(call->id, answer, now))
                    next.push_back(std::move(more));
            }
            actions = std::move(next);
        }
        if (gained)
            leases.setPreferredDuties({}, {});
    }
    BOOST_REQUIRE(gained);
    const instant end { 1h + 4s };
    BOOST_REQUIRE(!leases.holds(duty, end));
    leases.setPreferredDuties({ duty }, { duty });
    leases.onAnswer(*lateClaim, lateAnswer, end);
    BOOST_TEST(!leases.holds(duty, end).has_value());
}

// A restarted instance doesn't wait for the lease of its earlier incarnation to expire, if
// that process is known to have ended. It never removes another instance's key.
BOOST_AUTO_TEST_CASE(key_of_an_earlier_incarnation_is_replaced_at_once)
{
    for (const bool replacesEarlier : { false, true }) {
        service keys;
        const duty_id duty("node/a");
        lease_settings settings { instance_id("a"), incarnation(1) };
        settings.replacesEarlierIncarnation = replacesEarlier;
        duty_leases first(settings);
        first.setPreferredDuties({ duty }, { duty });
        BOOST_REQUIRE(runAlone(first, keys, duty, instant { 1h }, 1s).has_value());

        settings.incarnationNumber = incarnation(2);
        duty_leases second(settings);
        second.setPreferredDuties({ duty }, { duty });
        const auto gained = runAlone(second, keys, duty, instant { 1h + 1s }, 10s);
        BOOST_REQUIRE(gained.has_value());
        BOOST_TEST((*gained - instant { 1h + 1s } < 500ms) == replacesEarlier);

        lease_settings other { instance_id("b"), incarnation(9) };
        other.replacesEarlierIncarnation = true;
        duty_leases third(other);
        third.setPreferredDuties({ duty }, { duty });
        BOOST_TEST(!runAlone(third, keys, duty, instant { 1h + 10s }, 500ms).has_value());
    }
}

// The service was unavailable for 6 s, and its leases stood still meanwhile: the key under
// our locally expired lease still exists. Nobody acts on it, so it is replaced at once.
BOOST_AUTO_TEST_CASE(a_key_under_our_expired_lease_is_replaced_at_once)
{
    constexpr duration outage = 6s;
    const duty_id duty("node/a");
    service keys;
    duty_leases leases({ instance_id("a"), incarnation(1) });
    leases.setPreferredDuties({ duty }, { duty });
    BOOST_REQUIRE(runAlone(leases, keys, duty, instant { 1h }, 1s).has_value());
    const auto before = leases.holds(duty, instant { 1h + 1s });
    BOOST_REQUIRE(before.has_value());

    const auto back = instant { 1h + 1s + outage };
    BOOST_TEST(!leases.holds(duty, back).has_value());
    const auto gained = runAlone(leases, keys, duty, back, 10s, outage);
    BOOST_REQUIRE(gained.has_value());
    BOOST_TEST((*gained - back < 500ms));
    BOOST_TEST((leases.holds(duty, *gained)->fencing > before->fencing));
}

// Duties that an instance held before an outage are free for others as soon as it reaches
// the service again, also if it doesn't claim them any more.
BOOST_AUTO_TEST_CASE(duties_under_an_expired_lease_are_free_at_once)
{
    constexpr duration outage = 6s;
    const duty_id node("node/a");
    const duty_id orders("orders");
    service keys;
    duty_leases before({ instance_id("a"), incarnation(1) });
    before.setPreferredDuties({ node, orders }, { node, orders });
    BOOST_REQUIRE(runAlone(before, keys, orders, instant { 1h }, 1s).has_value());

    const auto back = instant { 1h + 1s + outage };
    before.setPreferredDuties({ node }, { node, orders });
    BOOST_REQUIRE(runAlone(before, keys, node, back, 500ms, outage).has_value());
    duty_leases after({ instance_id("b"), incarnation(1) });
    after.setPreferredDuties({ orders }, { orders });
    const auto gained = runAlone(after, keys, orders, back + 500ms, 10s, outage);
    BOOST_REQUIRE(gained.has_value());
    BOOST_TEST((*gained - back < 1s));
}

// Waiting calls are retried at once when the service is reported available, not after
// their retry delay.
BOOST_AUTO_TEST_CASE(waiting_calls_are_retried_when_the_service_is_back)
{
    const duty_id duty("node/a");
    service keys;
    duty_leases leases({ instance_id("a"), incarnation(1) });
    leases.setPreferredDuties({ duty }, { duty });
    const instant start { 1h };
    for (const auto& action : leases.tick(start)) {
        if (const auto* call = std::get_if<lease_call>(&action))
            leases.onAnswer(call->id, failure(error_code::Unavailable, "test", ""), start);
    }
    BOOST_TEST(leases.tick(start + 50ms).empty());
    leases.onServiceAvailable();
    BOOST_TEST(runAlone(leases, keys, duty, start + 50ms, 200ms).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
