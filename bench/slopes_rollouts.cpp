// A run's coordinator and its ledger at 512, 2,048 and 8,192 samples a step that come
// evenly over 13 minutes.
#include "ledger.h"
#include "run.h"
#include "slopes.h"

#include <deque>
#include <optional>

namespace lovagerail::bench {

namespace {

    constexpr std::uint32_t groupSize = 8;
    constexpr std::uint64_t steps = 2;
    constexpr duration stepTime = std::chrono::minutes(13);

    // Judges, payload holders and the service answer at once.
    class step_world {
    public:
        explicit step_world(std::uint32_t samples)
            : m_samples(samples)
            , m_run(settingsOf(samples))
        {
        }

        void replay()
        {
            feed(taken_over { fencing_number(1) });
            feed(served_version { weight_version(1) });
            feed(version_published { trainer_call(++m_calls), weight_version(1) });
            for (std::uint64_t step = 0; step < steps; ++step)
                replayStep(step_number(step));
        }

        std::uint64_t peakBytes() const { return m_peak; }
        std::uint64_t events() const { return m_events; }
        std::uint64_t nanoseconds() const { return m_nanoseconds; }
        std::uint64_t serviceCalls() const { return m_run.counts().ledgerCalls; }
        std::uint64_t bytesWritten() const { return m_written; }

    private:
        static run_settings settingsOf(std::uint32_t samples)
        {
            run_settings settings;
            settings.run = run_id("quotes");
            settings.groupSize = groupSize;
            settings.groupsPerStep = samples / groupSize;
            return settings;
        }

        void replayStep(step_number step)
        {
            // Step 1. All samples are sent out; this is when most is remembered.
            std::vector<group_record> groups;
            for (std::uint32_t i = 0; i < m_samples / groupSize; ++i)
                groups.push_back({ group_number(i), digestOf(std::to_string(i)), 1024, { m_holder } });
            const auto before = heapBytes();
            feed(groups_supplied { trainer_call(++m_calls), step, std::move(groups) });
            std::vector<stream_id> streams;
            streams.reserve(m_samples);
            while (const std::optional<dispatch_slot> order = m_run.takeDispatch(m_now)) {
                feed(dispatch_accepted { order->stream });
                feed(chunk_received { order->stream, { weight_version(1), 0, 10 } });
                streams.push_back(order->stream);
            }
            m_peak = std::max(m_peak, heapBytes() - before - streams.capacity() * sizeof(stream_id));

            // Step 2. They come back one by one, on two versions each.
            for (const auto& stream : streams) {
                m_now += stepTime / static_cast<std::int64_t>(m_samples);
                feed(chunk_received { stream, { weight_version(2), 10, 10 } });
                feed(generation_finished { stream, 20 });
                feed(tick {});
            }
            feed(batch_requested { trainer_call(++m_calls), step });
        }

        void feed(run_event event)
        {
            m_todo.push_back(std::move(event));
            while (!m_todo.empty()) {
                const run_event next = std::move(m_todo.front());
                m_todo.pop_front();
                ++m_events;
                const auto begin = threadNanoseconds();
                const auto actions = m_run.handle(next, m_now);
                m_nanoseconds += threadNanoseconds() - begin;
                for (const run_action& action : actions)
                    std::visit([&](const auto& typed) { act(typed); }, action);
            }
        }

        void act(const call_judge& action) { m_todo.emplace_back(sample_judged { action.stream }); }
        void act(const store_payload& action) { m_todo.emplace_back(payload_stored { action.stream, digestOf(std::to_string(action.stream.attempt.value())), { m_holder, m_second } }); }
        void act(const write_ledger& action)
        {
            m_written += action.head.size();
            for (const auto& [key, value] : action.pages)
                m_written += value.size();
            m_todo.emplace_back(ledger_confirmed { action.call, revision(++m_revision) });
        }
        void act(const confirm_ledger& action) { m_todo.emplace_back(ledger_confirmed { action.call, action.expected }); }
        void act(const read_ledger& action) { m_todo.emplace_back(ledger_content { action.call, revision(), {}, {}, { m_holder, m_second } }); }
        template <typename Action>
        void act(const Action&)
        {
        }

        std::uint32_t m_samples;
        run_coordinator m_run;
        instant m_now {};
        payload_holder m_holder { instance_id("entry-1"), incarnation(1) };
        payload_holder m_second { instance_id("entry-2"), incarnation(1) };
        std::deque<run_event> m_todo;
        std::uint64_t m_calls = 0;
        std::uint64_t m_revision = 0;
        std::uint64_t m_events = 0;
        std::uint64_t m_nanoseconds = 0;
        std::uint64_t m_written = 0;
        std::uint64_t m_peak = 0;
    };

    void measureRun(std::uint32_t samples)
    {
        step_world world(samples);
        world.replay();
        print({ "run", "one event of a step", samples, world.peakBytes(), static_cast<double>(world.nanoseconds()) / static_cast<double>(world.events()),
            std::to_string(world.events() / steps) + " events, " + std::to_string(world.serviceCalls() / steps) + " calls and " + std::to_string(world.bytesWritten() / steps) + " B written a step" });
    }

    void measurePage(std::uint32_t samples)
    {
        ledger_page page;
        for (std::uint32_t i = 0; i < samples; ++i) {
            sample_record sample;
            sample.group = group_number(i / groupSize);
            sample.sample = sample_number(i % groupSize);
            sample.attempt = attempt_id(i);
            sample.payload = digestOf(std::to_string(i));
            sample.spans = { { weight_version(1), 0, i % 900 }, { weight_version(2), i % 900 + 1, 2 * (i % 900) + 1 } };
            sample.holders = { { instance_id("entry-1"), incarnation(1) }, { instance_id("entry-2"), incarnation(1) } };
            page.samples.push_back(sample);
        }
        const auto size = encodePage(page).size();
        const auto each = nanosecondsEach(3, [&](std::uint64_t) { (void)decodePage(encodePage(page)); });
        print({ "ledger", "encode and decode a page", samples, size, each, "bytes: encoded" });
    }

} // namespace

void printRunSlopes()
{
    for (const std::uint32_t samples : { 512u, 2048u, 8192u })
        measureRun(samples);
    for (const std::uint32_t samples : { 512u, 2048u, 8192u })
        measurePage(samples);
}

} // namespace lovagerail::bench
