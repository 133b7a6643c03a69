// Tests of moves of batch items between replicas on shared machines: short noise must not cause
// moves, each of which costs a new prefill and a new connection; slowness that lasts must, and soon.
#include "batch_runner.h"
#include "router_policy.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>
#include <set>

namespace lovagerail {
namespace {

    using namespace std::chrono_literals;

    constexpr wall_time wallStart { std::chrono::milliseconds(1'700'000'000'000) };

    // Replicas that generate an event each 30 ms, times the slowdown of their machine at that time.
    class shared_replicas {
    public:
        using slowdown_at = std::function<double(std::size_t replica, duration since)>;

        shared_replicas(std::size_t replicas, std::size_t batchGroups, slowdown_at slowdown)
            : m_groups(batchGroups)
            , m_slowdown(std::move(slowdown))
            , m_router(settings())
            , m_runner({}, m_router)
        {
            std::vector<listed_target> rows;
            for (std::size_t i = 0; i < replicas; ++i) {
                listed_target row;
                row.id = target_id("t" + std::to_string(i));
                row.pool = pool_id("pool");
                row.incarnation = incarnation(1);
                row.labels = { { "version:m", "1" }, { "slots", "6" } };
                rows.push_back(row);
                m_numbers[row.id] = i;
            }
            m_router.applyList(rows, m_now);
        }

        // Runs for this time, with a new batch every 2 s.
        void run(duration length)
        {
            for (const instant end = m_now + length; m_now < end; m_now += stepTime) {
                if (m_now >= m_nextBatch) {
                    addBatch();
                    m_nextBatch = m_now + 2s;
                }
                for (const auto attempt : openRuns())
                    advance(attempt);
                if (++m_steps % 2 == 0)
                    act(m_runner.tick(m_now));
            }
        }

        // Runs at a replica that have begun and have at least so many events to come.
        std::set<attempt_id> openAt(std::size_t replica, std::uint64_t eventsLeft) const
        {
            std::set<attempt_id> out;
            for (const auto& [attempt, stream] : m_open) {
                if (stream.replica == replica && stream.sentEvents > 0 && stream.lastEvent + eventsLeft <= m_lengths.at(m_items.at(attempt)))
                    out.insert(attempt);
            }
            return out;
        }
        const batch_run_counts& counts() const { return m_runner.counts(); }
        std::uint64_t completed() const { return m_completed; }

    private:
        static constexpr duration stepTime = 10ms;
        static constexpr duration usualEventTime = 30ms;
        static constexpr duration startTime = 80ms; // connection, prefill and first event, at usual speed

        struct open_stream {
            std::size_t replica = 0;
            double started = 0; // share of the work before the first event, up to 1
            double progress = 0; // events
            std::uint64_t sentEvents = 0;
            std::uint64_t lastEvent = 0; // of the text
        };

        static router_settings settings()
        {
            router_settings out;
            out.table.absenceGrace = 0ms;
            return out;
        }

        void addBatch()
        {
            constexpr std::size_t groupSize = 4;
            site_route route;
            route.kind = route_kind::Batch;
            route.services = { { service_id("pool"), 1 } };
            route.resultDeadline = 7500ms;
            route.itemTtl = 40s;
            batch_spec spec;
            spec.id = batch_id("b" + std::to_string(++m_lastBatch));
            spec.model = model_id("m");
            spec.minVersion = weight_version(1);
            spec.submitted = wallStart;
            spec.requiredGroups = static_cast<std::uint32_t>(m_groups);
            for (std::size_t i = 0; i < m_groups * groupSize; ++i) {
                batch_item item;
                item.id = item_id(spec.id.str() + "-" + std::to_string(i));
                item.group = "g" + std::to_string(i / groupSize);
                item.path = "/x";
                item.expectedTokens = token_count(40 + m_random.below(80));
                m_lengths[item.id] = item.expectedTokens.count() - 10 + m_random.below(20);
                spec.items.push_back(item);
            }
            m_runner.add(spec, route, 1, {}, 0, m_now, wallStart);
        }

        std::vector<attempt_id> openRuns() const
        {
            std::vector<attempt_id> out;
            for (const auto& [attempt, stream] : m_open)
                out.push_back(attempt);
            return out;
        }

        void advance(attempt_id attempt)
        {
            const auto found = m_open.find(attempt);
            if (found == m_open.end())
                return; // cancelled by an earlier action of this step
            auto& stream = found->second;
            const double slowdown = m_slowdown(stream.replica, m_now - instant {});
            if (stream.started < 1) {
                stream.started += std::chrono::duration<double>(stepTime) / startTime / slowdown;
                if (stream.started < 1)
                    return;
                stream.progress = 1;
                act(m_runner.head(attempt, { 200, true, false, true, weight_version(1) }, m_now));
            }
            stream.progress += std::chrono::duration<double>(stepTime) / usualEventTime / slowdown;
            std::vector<batch_event> events;
            const auto length = m_lengths.at(m_items.at(attempt));
            for (; stream.sentEvents + 1 <= stream.progress && stream.lastEvent < length; ++stream.sentEvents)
                events.push_back({ ++stream.lastEvent, "e", std::nullopt });
            const bool ends = stream.lastEvent >= length;
            if (!events.empty())
                act(m_runner.events(attempt, events, m_now));
            if (ends && m_open.erase(attempt) > 0) {
                ++m_completed;
                act(m_runner.done(attempt, run_end::Complete, m_now));
            }
        }

        void act(const std::vector<batch_action>& actions)
        {
            for (const auto& action : actions) {
                if (const auto* run = std::get_if<run_item>(&action)) {
                    auto& stream = m_open[run->attempt];
                    stream.replica = m_numbers.at(run->choice.target);
                    stream.lastEvent = run->lastEventId.value_or(0);
                    m_items[run->attempt] = m_runner.spec(run->batch)->items[run->index].id;
                } else if (const auto* cancel = std::get_if<cancel_run>(&action))
                    m_open.erase(cancel->attempt);
                else if (const auto* page = std::get_if<write_page>(&action))
                    act(m_runner.pageWritten(page->batch, page->page, true, m_now));
            }
        }

        std::size_t m_groups; // of a batch
        slowdown_at m_slowdown;
        router m_router;
        batch_runner m_runner;
        seeded_random m_random { 7 };
        instant m_now {};
        instant m_nextBatch {};
        std::uint64_t m_steps = 0;
        std::uint64_t m_lastBatch = 0;
        std::uint64_t m_completed = 0;
        std::map<target_id, std::size_t> m_numbers;
        std::map<attempt_id, open_stream> m_open;
        std::map<attempt_id, item_id> m_items;
        std::map<item_id, std::uint64_t> m_lengths; // events of the whole text
    };

    // For each replica, 100 to 500 ms as usual and 60 to 300 ms up to four times as slow, in turn.
    class noise_schedule {
    public:
        explicit noise_schedule(std::size_t replicas, duration length)
        {
            for (std::size_t replica = 0; replica < replicas; ++replica) {
                seeded_random random(replica + 1);
                auto& changes = m_changes.emplace_back();
                for (duration at {}; at < length;) {
                    changes[at] = 1;
                    at += std::chrono::milliseconds(100 + random.below(400));
                    changes[at] = 1 + static_cast<double>(random.below(300)) / 100;
                    at += std::chrono::milliseconds(60 + random.below(240));
                }
            }
        }
        double at(std::size_t replica, duration since) const { return std::prev(m_changes[replica].upper_bound(since))->second; }

    private:
        std::vector<std::map<duration, double>> m_changes; // from this time on
    };

    constexpr std::size_t replicas = 12;
    const noise_schedule noise(replicas, 70s);

} // namespace

BOOST_AUTO_TEST_SUITE(batch_moves_suite)

BOOST_AUTO_TEST_CASE(noise_of_hundreds_of_milliseconds_moves_almost_nothing)
{
    shared_replicas world(replicas, 12, [](std::size_t replica, duration since) { return noise.at(replica, since); });
    world.run(60s);
    BOOST_TEST_MESSAGE("noise: " << world.counts().moved << " moves of " << world.completed() << " items");
    BOOST_TEST(world.completed() > 1200u);
    BOOST_TEST(world.counts().moved * 100 <= world.completed());
}

BOOST_AUTO_TEST_CASE(a_pause_of_a_second_moves_nothing)
{
    // Loading weights stops each replica for 0.9 s every 5 s.
    shared_replicas world(replicas, 9, [](std::size_t replica, duration since) { return (since + replica * 417ms) % 5s < 900ms ? 1e9 : 1.0; });
    world.run(30s);
    BOOST_TEST_MESSAGE("pauses: " << world.counts().moved << " moves of " << world.completed() << " items");
    BOOST_TEST(world.counts().moved * 100 <= world.completed());
}

BOOST_AUTO_TEST_CASE(a_replica_four_times_slower_is_left_within_about_half_a_second)
{
    for (const bool noisy : { false, true }) {
        std::size_t slow = 0; // runs there that had long to go
        std::size_t staying = 0; // of them, a little later
        for (duration onset = 10s; onset < 20s; onset += 330ms) {
            shared_replicas world(replicas, 6, [noisy, onset](std::size_t replica, duration since) {
                return (replica == 3 && since >= onset ? 4 : 1) * (noisy ? noise.at(replica, since) : 1);
            });
            world.run(onset);
            const auto before = world.openAt(3, 40);
            world.run(noisy ? 800ms : 500ms); // noise makes the evidence weaker
            for (const auto attempt : world.openAt(3, 20))
                staying += before.contains(attempt);
            slow += before.size();
        }
        BOOST_TEST_MESSAGE("slow, noise " << noisy << ": " << staying << " of " << slow << " runs stay");
        BOOST_TEST(slow > 20u);
        BOOST_TEST(staying * 10 <= slow);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagerail
