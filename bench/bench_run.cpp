// Replays three training steps of 8,192 samples through one run coordinator, whose actions are all
// answered at once. With LOVAGERAIL_TABLE=rollouts the calls to the key-value service are printed
// as well.
#include "bench.h"
#include "run.h"

#include <cstdio>
#include <cstdlib>
#include <deque>

namespace lovagerail::bench {

namespace {

    constexpr std::uint64_t steps = 3;

    // Carries out every action of the coordinator at once and successfully.
    class immediate_environment {
    public:
        explicit immediate_environment(fingerprint& decisions)
            : m_decisions(decisions)
            , m_run(settings())
        {
        }

        std::uint64_t replay()
        {
            deliver(taken_over { fencing_number(1) });
            deliver(served_version { weight_version(1) });
            deliver(version_published { trainer_call(++m_calls), weight_version(1) });
            for (std::uint64_t step = 0; step < steps; ++step) {
                deliver(groups_supplied { trainer_call(++m_calls), step_number(step), groups() });
                while (const std::optional<dispatch_slot> dispatch = m_run.takeDispatch(m_now))
                    generate(*dispatch);
                deliver(batch_requested { trainer_call(++m_calls), step_number(step) });
            }
            const char* tableName = std::getenv("LOVAGERAIL_TABLE");
            if (tableName && std::string(tableName) == "rollouts")
                std::printf("%llu service calls and %llu bytes in %llu steps of 8,192 samples\n", static_cast<unsigned long long>(m_run.counts().ledgerCalls), static_cast<unsigned long long>(m_ledgerBytes), static_cast<unsigned long long>(steps));
            m_decisions.fold(m_run.counts().ledgerCalls);
            m_decisions.fold(m_run.counts().handedOver);
            return m_events;
        }

    private:
        static run_settings settings()
        {
            run_settings settings;
            settings.run = run_id("bench");
            return settings;
        }

        std::vector<group_record> groups() const
        {
            std::vector<group_record> all;
            for (std::uint32_t i = 0; i < m_run.settings().groupsPerStep; ++i)
                all.push_back({ group_number(i), digestOf(std::to_string(i)), 500 + i % 64, { m_payloadHolder } });
            return all;
        }

        void generate(const dispatch_slot& dispatch)
        {
            m_now += std::chrono::milliseconds(1);
            m_decisions.fold(dispatch.stream.attempt.value());
            m_decisions.fold(static_cast<std::uint64_t>(dispatch.priority));
            deliver(dispatch_accepted { dispatch.stream });
            for (std::uint32_t token = 0; token < 40; token += 10)
                deliver(chunk_received { dispatch.stream, { weight_version(1), token, 10 } });
            deliver(generation_finished { dispatch.stream, 40 });
        }

        void deliver(const run_event& event)
        {
            m_pendingEvents.push_back(event);
            while (!m_pendingEvents.empty()) {
                const run_event next = std::move(m_pendingEvents.front());
                m_pendingEvents.pop_front();
                ++m_events;
                for (const run_action& action : m_run.handle(next, m_now))
                    std::visit([&](const auto& typed) { execute(typed); }, action);
            }
        }

        void execute(const call_judge& action) { m_pendingEvents.emplace_back(sample_judged { action.stream }); }
        void execute(const store_payload& action)
        {
            m_pendingEvents.emplace_back(payload_stored { action.stream, digestOf(std::to_string(action.stream.attempt.value())), { m_payloadHolder } });
        }
        void execute(const write_ledger& action)
        {
            m_decisions.fold(action.head);
            m_ledgerBytes += action.head.size();
            for (const auto& [key, value] : action.pages)
                m_ledgerBytes += value.size();
            m_pendingEvents.emplace_back(ledger_confirmed { action.call, revision(++m_revision) });
        }
        void execute(const confirm_ledger& action) { m_pendingEvents.emplace_back(ledger_confirmed { action.call, action.expected }); }
        void execute(const read_ledger& action) { m_pendingEvents.emplace_back(ledger_content { action.call, revision(), {}, {}, { m_payloadHolder } }); }
        void execute(const answer_batch& action) { m_decisions.fold(action.samples.size()); }
        template <typename Action>
        void execute(const Action&)
        {
        }

        fingerprint& m_decisions;
        run_coordinator m_run;
        instant m_now {};
        payload_holder m_payloadHolder { instance_id("entry-1"), incarnation(1) };
        std::deque<run_event> m_pendingEvents;
        std::uint64_t m_calls = 0;
        std::uint64_t m_revision = 0;
        std::uint64_t m_events = 0;
        std::uint64_t m_ledgerBytes = 0; // written to the key-value service
    };

    std::uint64_t replay(fingerprint& decisions)
    {
        return immediate_environment(decisions).replay();
    }

    const registration runBenchmark("run", replay);

} // namespace

} // namespace lovagerail::bench
