// Tests of the tracking of orders: successive holders of the duty against models of the
// key-value service and the platform, with lost and late calls, lags and refusals.
#include "orders.h"
#include "property.h"

namespace lovagerail {
namespace {

    using namespace std::chrono_literals;

    constexpr duration stepTime = 50ms;
    constexpr duration longestOrder = 2s; // from send to arrival
    constexpr duration settleTime = 3s;
    constexpr std::size_t ceiling = 6;

    // Accepts orders as the platform does, and records violations that must never occur.
    struct fake_platform {
        bool checksFencing = true; // refuses orders with old fencing numbers
        std::map<order_id, target_id> accepted;
        std::map<order_id, int> starts;
        std::vector<ordered_target> rows;
        std::map<target_id, instant> due; // when a starting target becomes live, or a leaving one is gone
        fencing_number highest;
        std::size_t overtaken = 0; // orders of an older holder carried out after a newer one's
        std::size_t maxRunning = 0; // targets at the same time
        std::uint64_t last = 0;

        std::pair<order_outcome, target_id> order(const order_intent& wanted, fencing_number fencing, bool obtainable, instant now)
        {
            if (fencing < highest && checksFencing)
                return { order_outcome::OldFencing, {} };
            if (const auto known = accepted.find(wanted.id); known != accepted.end())
                return { order_outcome::Accepted, known->second };
            overtaken += fencing < highest ? 1 : 0;
            highest = std::max(highest, fencing);
            if (wanted.action == order_action::Start) {
                if (!obtainable)
                    return { order_outcome::Unobtainable, {} };
                ++starts[wanted.id];
                const target_id target("t" + std::to_string(++last));
                rows.push_back({ target, wanted.pool, wanted.kind, wanted.failureDomain, target_state::Starting, wanted.id });
                due[target] = now + 1s;
                accepted[wanted.id] = target;
                maxRunning = std::max(maxRunning, running());
                return { order_outcome::Accepted, target };
            }
            for (auto& row : rows) {
                if (row.id != wanted.target)
                    continue;
                row.state = target_state::Leaving;
                due[row.id] = now + 1s;
            }
            accepted[wanted.id] = wanted.target;
            return { order_outcome::Accepted, wanted.target };
        }
        std::size_t running() const
        {
            return static_cast<std::size_t>(std::count_if(rows.begin(), rows.end(), [](const auto& row) { return row.state != target_state::Leaving; }));
        }
        void advance(instant now)
        {
            for (auto& row : rows) {
                if (row.state == target_state::Starting && now >= due[row.id])
                    row.state = target_state::Live;
            }
            std::erase_if(rows, [&](const auto& row) { return row.state == target_state::Leaving && now >= due[row.id]; });
        }
    };

    class world {
    public:
        world(std::uint64_t seed, bool checksFencing)
            : m_random(seed)
        {
            m_platform.checksFencing = checksFencing;
            m_pool.meta.name = "p";
            m_pool.fencing = checksFencing ? fencing_support::Checked : fencing_support::Ignored;
        }

        // Runs one holder for a time; its calls in flight may arrive after it ended.
        void term(duration time, std::uint64_t faults, std::size_t wantedCount)
        {
            ++m_term;
            m_fencing = fencing_number(m_fencing.value() + 1 + m_random.below(3));
            m_tracker.emplace(order_settings {}, m_fencing, m_now + settleTime, m_random.next());
            for (const auto end = m_now + time; m_now < end; m_now += stepTime)
                step(faults, wantedCount);
        }
        void check() const
        {
            for (const auto& [id, count] : m_platform.starts)
                RC_ASSERT(count == 1);
            RC_ASSERT(m_platform.overtaken == 0u);
            RC_ASSERT(m_platform.maxRunning <= ceiling);
        }
        void checkSettled(std::size_t wantedCount) const
        {
            RC_ASSERT(m_tracker->pending().empty());
            RC_ASSERT(m_intents.empty());
            RC_ASSERT(m_platform.running() == wantedCount);
        }
        std::size_t accepted() const { return m_platform.accepted.size(); }

    private:
        void schedule(duration delay, std::function<void()> what) { m_events.emplace(m_now + delay, std::move(what)); }
        duration delay(duration longest) { return longest * static_cast<std::int64_t>(m_random.below(1000)) / 1000; }

        void step(std::uint64_t faults, std::size_t wantedCount)
        {
            m_faults = faults;
            while (!m_events.empty() && m_events.begin()->first <= m_now) {
                const auto what = m_events.begin()->second;
                m_events.erase(m_events.begin());
                what();
            }
            m_platform.advance(m_now);
            m_lists.push_back({ m_now, m_platform.rows });
            while (m_lists.size() > 1 && m_lists[1].first + 600ms <= m_now)
                m_lists.pop_front();
            act(m_tracker->onList(m_lists.front().second, m_now, m_now));
            act(m_tracker->tick(m_now));
            decide(wantedCount);
        }
        // Keeps `wantedCount` targets, bounded by the ceiling, counted from the list and the pending intents.
        void decide(std::size_t wantedCount)
        {
            if (!m_tracker->ready())
                return;
            std::size_t count = 0;
            std::set<target_id> stopping;
            for (const auto& intent : m_tracker->pending()) {
                count += intent.action == order_action::Start ? 1 : 0;
                stopping.insert(intent.target);
            }
            const ordered_target* live = nullptr;
            for (const auto& row : m_lists.front().second) {
                if (row.state == target_state::Leaving || stopping.contains(row.id))
                    continue;
                ++count;
                live = row.state == target_state::Live ? &row : live;
            }
            // A pending stop may still fail, so its target counts against the ceiling.
            const bool full = count + stopping.size() >= ceiling;
            if (count < wantedCount && !full)
                m_tracker->start(m_pool, supply_kind::Firm, failure_domain_id("d"), m_now);
            else if (count > wantedCount && live)
                m_tracker->stop(m_pool, *live, m_now);
        }

        // A call to the service that may be lost before or after it takes effect.
        void call(const kv_transaction& change, const std::function<std::vector<order_command>(const result<kv_answer>&)>& onAnswer)
        {
            const bool isDone = m_random.below(1000) >= m_faults;
            const bool isAnswered = m_random.below(1000) >= m_faults;
            schedule(delay(200ms), [this, change, onAnswer, isDone, isAnswered, term = m_term] {
                result<kv_answer> answer = failure(error_code::Unknown, "test", "");
                if (isDone) {
                    const auto given = transact(change);
                    if (isAnswered)
                        answer = given;
                }
                schedule(delay(200ms), [this, onAnswer, answer, term] {
                    if (term == m_term)
                        act(onAnswer(answer));
                });
            });
        }
        kv_answer transact(const kv_transaction& change)
        {
            kv_answer out;
            out.succeeded = true;
            for (const auto& compare : change.compares) {
                if (compare.key.starts_with(dutyPrefix))
                    out.succeeded = out.succeeded && compare.number.value() == m_fencing.value();
                else
                    out.succeeded = out.succeeded && !m_intents.contains(compare.key);
            }
            for (const auto& operation : out.succeeded ? change.then : change.otherwise) {
                if (const auto* put = std::get_if<kv_put>(&operation))
                    m_intents[put->key] = put->value;
                else if (const auto* deletion = std::get_if<kv_delete>(&operation))
                    m_intents.erase(deletion->key);
                else if (const auto* range = std::get_if<kv_range>(&operation))
                    read(range->key, out);
            }
            return out;
        }
        void read(const std::string& key, kv_answer& out) const
        {
            if (key.starts_with(dutyPrefix))
                out.entries.push_back({ key, "", revision(m_fencing.value()), revision(m_fencing.value()), {} });
            else if (const auto found = m_intents.find(key); found != m_intents.end())
                out.entries.push_back({ key, found->second, revision(1), revision(1), {} });
        }

        void act(const std::vector<order_command>& acts)
        {
            for (const auto& one : acts)
                std::visit([this](const auto& wanted) { act(wanted); }, one);
        }
        void act(const read_intents&)
        {
            std::vector<kv_entry> entries;
            for (const auto& [key, value] : m_intents)
                entries.push_back({ key, value, {}, {}, {} });
            const bool fails = m_random.below(1000) < m_faults;
            schedule(delay(200ms), [this, entries, fails, term = m_term] {
                if (term == m_term)
                    act(m_tracker->onIntents(fails ? result<std::vector<kv_entry>>(failure(error_code::Unavailable, "test", "")) : entries, m_now));
            });
        }
        void act(const write_intent& write)
        {
            call(write.change, [this, id = write.id](const result<kv_answer>& answer) { return m_tracker->onWritten(id, answer, m_now); });
        }
        void act(const remove_intent& remove)
        {
            call(remove.change, [this, id = remove.id](const result<kv_answer>& answer) { return m_tracker->onRemoved(id, answer, m_now); });
        }
        void act(const send_order& send)
        {
            RC_ASSERT(m_intents.contains(std::string(intentPrefix) + send.intent.id.str()));
            const auto faultDraw = m_random.below(1000);
            if (faultDraw < m_faults / 2) {
                schedule(100ms, [this, id = send.intent.id, term = m_term] { reply(id, order_outcome::NotSent, {}, term); });
                return;
            }
            const bool obtainable = m_random.below(2000) >= m_faults;
            const auto arrives = delay(m_random.below(1000) < m_faults ? longestOrder : duration(100ms));
            // The sender times out after 1 s; an order that arrives later counts as lost to it.
            const bool isLost = m_random.below(1000) < m_faults || arrives > 1s;
            schedule(arrives, [this, send, obtainable, isLost, term = m_term] {
                const auto [outcome, target] = m_platform.order(send.intent, send.fencing, obtainable, m_now);
                if (!isLost)
                    reply(send.intent.id, outcome, target, term);
            });
            if (isLost)
                schedule(1s, [this, id = send.intent.id, term = m_term] { reply(id, order_outcome::Lost, {}, term); });
        }
        void reply(const order_id& id, order_outcome outcome, const target_id& target, int term)
        {
            if (term == m_term)
                act(m_tracker->onSendAnswer(id, outcome, target, m_now));
        }
        void act(const query_order& ask)
        {
            auto outcome = m_platform.accepted.contains(ask.id) ? order_outcome::Done : order_outcome::NotFound;
            if (m_random.below(1000) < m_faults)
                outcome = order_outcome::Lost;
            schedule(delay(300ms), [this, id = ask.id, outcome, term = m_term] {
                if (term == m_term)
                    act(m_tracker->onQueryAnswer(id, outcome, {}, m_now));
            });
        }
        void act(const resign_order_duty&) { RC_FAIL("resigned while it held the duty"); }
        void act(const log_order_decision&) { }

        seeded_random m_random;
        fake_platform m_platform;
        target_pool m_pool;
        std::optional<order_tracker> m_tracker;
        std::map<std::string, std::string> m_intents;
        std::multimap<instant, std::function<void()>> m_events;
        std::deque<std::pair<instant, std::vector<ordered_target>>> m_lists;
        fencing_number m_fencing { 10 };
        instant m_now { 1h };
        std::uint64_t m_faults = 0;
        int m_term = 0;
    };

    order_tracker readyTracker(fencing_number fencing, instant now)
    {
        order_tracker tracker({}, fencing, now, 1);
        tracker.tick(now);
        tracker.onIntents(std::vector<kv_entry>(), now);
        tracker.onList({}, now, now);
        return tracker;
    }

} // namespace

BOOST_AUTO_TEST_SUITE(orders_suite)

// Holders follow each other while orders are still in flight. Each intent starts at most
// one target, no order of an older holder is carried out after one of a newer holder, the
// ceiling holds, and once the faults stop no order stays open.
BOOST_AUTO_TEST_CASE(successive_holders_with_orders_in_flight)
{
    std::size_t accepted = 0;
    test::checkProperty("many holders", [&accepted] {
        world all(*rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<bool>());
        const auto faults = *rc::gen::element<std::uint64_t>(0, 50, 200, 400);
        const auto terms = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6000));
        for (const int one : terms)
            all.term(std::chrono::milliseconds(100 + one * 4), faults, static_cast<std::size_t>(one) % (ceiling + 1));
        all.check();
        all.term(360s, 0, 3);
        all.check();
        all.checkSettled(3);
        accepted += all.accepted();
    });
    BOOST_CHECK_GT(accepted, 500u);
}

BOOST_AUTO_TEST_CASE(resigns_when_another_instance_holds_the_duty)
{
    const instant now { 1h };
    target_pool pool;
    pool.meta.name = "p";
    auto tracker = readyTracker(fencing_number(7), now);
    const auto id = tracker.start(pool, supply_kind::Firm, failure_domain_id("d"), now);
    BOOST_REQUIRE(id.has_value());
    tracker.tick(now);
    kv_answer other;
    other.entries.push_back({ std::string(dutyPrefix) + "orders", "", revision(9), revision(9), {} });
    const auto acts = tracker.onWritten(*id, other, now);
    BOOST_REQUIRE(acts.size() == 1u);
    BOOST_TEST(std::holds_alternative<resign_order_duty>(acts.front()));
    BOOST_TEST(tracker.resigned());
    BOOST_TEST(tracker.tick(now + 10s).empty());
    BOOST_TEST(!tracker.start(pool, supply_kind::Firm, failure_domain_id("d"), now).has_value());
}

// A kind that is unobtainable in a failure domain is backed off for longer each time; other
// kinds and failure domains are not affected.
BOOST_AUTO_TEST_CASE(backs_off_by_kind_and_failure_domain)
{
    instant now { 1h };
    target_pool pool;
    pool.meta.name = "p";
    auto tracker = readyTracker(fencing_number(7), now);
    const failure_domain_id domain("d");
    duration before {};
    for (int round = 0; round < 4; ++round) {
        const auto id = tracker.start(pool, supply_kind::Cheap, domain, now);
        BOOST_REQUIRE(id.has_value());
        tracker.tick(now);
        kv_answer done;
        done.succeeded = true;
        tracker.onWritten(*id, done, now);
        tracker.onSendAnswer(*id, order_outcome::Unobtainable, {}, now);
        BOOST_TEST(tracker.backedOff(pool_id("p"), supply_kind::Cheap, domain, now));
        BOOST_TEST(!tracker.backedOff(pool_id("p"), supply_kind::Firm, domain, now));
        BOOST_TEST(!tracker.backedOff(pool_id("p"), supply_kind::Cheap, failure_domain_id("e"), now));
        tracker.tick(now);
        tracker.onRemoved(*id, kv_answer {}, now);
        const auto since = now;
        while (tracker.backedOff(pool_id("p"), supply_kind::Cheap, domain, now))
            now += 100ms;
        BOOST_TEST((now - since > before));
        before = now - since;
    }
}

BOOST_AUTO_TEST_CASE(intent_round_trip)
{
    const order_intent intent { order_id("7-1"), order_action::Stop, pool_id("p"), supply_kind::Cheap, failure_domain_id("d"), target_id("t"), fencing_number(7) };
    const auto read = parseIntent(intent.id, intentValue(intent));
    BOOST_REQUIRE(read);
    BOOST_TEST(intentValue(*read) == intentValue(intent));
    BOOST_TEST(!parseIntent(intent.id, "{}"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
