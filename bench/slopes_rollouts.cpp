// Cost of a run's coordinator and its ledger at 512, 2,048 and 8,192 samples per step, which
// finish evenly over 13 minutes.
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

    // Environment of the coordinator: judges, payload holders and the key-value service answer at once.
    class immediate_environment {
    public:
        explicit immediate_environment(std::uint32_t samples)
            : m_samples(samples)
            , m_run(settingsOf(samples))
        {
        }

        void replay()
        {
            deliver(taken_over { fencing_number(1) });
            deliver(served_version { weight_version(1) });
            deliver(version_published { trainer_call(++m_calls), weight_version(1) });
            for (std::uint64_t step = 0; step < steps; ++step)
                replayStep(step_number(step));
        }

        std::uint64_t peakBytes() const { return m_peakBytes; }
        std::uint64_t events() const { return m_events; }
        std::uint64_t nanoseconds() const { return m_nanoseconds; }
        std::uint64_t serviceCalls() const { return m_run.counts().ledgerCalls; }
        std::uint64_t bytesWritten() const { return m_ledgerBytes; }

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
            // Step 1. All samples are dispatched; the memory of the coordinator peaks here.
            std::vector<group_record> groups;
            for (std::uint32_t i = 0; i < m_samples / groupSize; ++i)
                groups.push_back({ group_number(i), digestOf(std::to_string(i)), 1024, { m_firstHolder } });
            const auto before = heapBytes();
            deliver(groups_supplied { trainer_call(++m_calls), step, std::move(groups) });
            std::vector<stream_id> streams;
            streams.reserve(m_samples);
            while (const std::optional<dispatch_slot> dispatch = m_run.takeDispatch(m_now)) {
                deliver(dispatch_accepted { dispatch->stream });
                deliver(chunk_received { dispatch->stream, { weight_version(1), 0, 10 } });
                streams.push_back(dispatch->stream);
            }
            m_peakBytes = std::max(m_peakBytes, heapBytes() - before - streams.capacity() * sizeof(stream_id));

            // Step 2. The samples finish one by one, each generated on two weight versions.
            for (const auto& stream : streams) {
                m_now += stepTime / static_cast<std::int64_t>(m_samples);
                deliver(chunk_received { stream, { weight_version(2), 10, 10 } });
                deliver(generation_finished { stream, 20 });
                deliver(tick {});
            }
            deliver(batch_requested { trainer_call(++m_calls), step });
        }

        void deliver(run_event event)
        {
            m_pendingEvents.push_back(std::move(event));
            while (!m_pendingEvents.empty()) {
                const run_event next = std::move(m_pendingEvents.front());
                m_pendingEvents.pop_front();
                ++m_events;
                const auto begin = threadNanoseconds();
                const auto actions = m_run.handle(next, m_now);
                m_nanoseconds += threadNanoseconds() - begin;
                for (const run_action& action : actions)
                    std::visit([&](const auto& typed) { execute(typed); }, action);
            }
        }

        void execute(const call_judge& action) { m_pendingEvents.emplace_back(sample_judged { action.stream }); }
        void execute(const store_payload& action) { m_pendingEvents.emplace_back(payload_stored { action.stream, digestOf(std::to_string(action.stream.attempt.value())), { m_firstHolder, m_secondHolder } }); }
        void execute(const write_ledger& action)
        {
            m_ledgerBytes += action.head.size();
            for (const auto& [key, value] : action.pages)
                m_ledgerBytes += value.size();
            m_pendingEvents.emplace_back(ledger_confirmed { action.call, revision(++m_revision) });
        }
        void execute(const confirm_ledger& action) { m_pendingEvents.emplace_back(ledger_confirmed { action.call, action.expected }); }
        void execute(const read_ledger& action) { m_pendingEvents.emplace_back(ledger_content { action.call, revision(), {}, {}, { m_firstHolder, m_secondHolder } }); }
        template <typename Action>
        void execute(const Action&)
        {
        }

        std::uint32_t m_samples;
        run_coordinator m_run;
        instant m_now {};
        payload_holder m_firstHolder { instance_id("entry-1"), incarnation(1) };
        payload_holder m_secondHolder { instance_id("entry-2"), incarnation(1) };
        std::deque<run_event> m_pendingEvents;
        std::uint64_t m_calls = 0;
        std::uint64_t m_revision = 0;
        std::uint64_t m_events = 0;
        std::uint64_t m_nanoseconds = 0;
        std::uint64_t m_ledgerBytes = 0;
        std::uint64_t m_peakBytes = 0;
    };

    void measureRun(std::uint32_t samples)
    {
        immediate_environment environment(samples);
        environment.replay();
        print({ "run", "one event of a step", samples, environment.peakBytes(), static_cast<double>(environment.nanoseconds()) / static_cast<double>(environment.events()),
            std::to_string(environment.events() / steps) + " events, " + std::to_string(environment.serviceCalls() / steps) + " calls and " + std::to_string(environment.bytesWritten() / steps) + " B written a step" });
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
