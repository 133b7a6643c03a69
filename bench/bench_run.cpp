// Replays three steps of 8,192 samples through one coordinator with a prompt world.
// With LOVAGERAIL_TABLE=rollouts the calls to the service are printed as well.
#include "bench.h"
#include "run.h"

#include <cstdio>
#include <cstdlib>
#include <deque>

namespace lovagerail::bench {

namespace {

    constexpr std::uint64_t steps = 3;

    class prompt_world {
    public:
        explicit prompt_world(fingerprint& print)
            : m_print(print)
            , m_run(settings())
        {
        }

        std::uint64_t replay()
        {
            feed(taken_over { fencing_number(1) });
            feed(served_version { weight_version(1) });
            feed(version_published { trainer_call(++m_calls), weight_version(1) });
            for (std::uint64_t step = 0; step < steps; ++step) {
                feed(groups_supplied { trainer_call(++m_calls), step_number(step), groups() });
                while (const std::optional<dispatch_slot> order = m_run.takeDispatch(m_now))
                    generate(*order);
                feed(batch_requested { trainer_call(++m_calls), step_number(step) });
            }
            const char* wanted = std::getenv("LOVAGERAIL_TABLE");
            if (wanted && std::string(wanted) == "rollouts")
                std::printf("%llu service calls and %llu bytes in %llu steps of 8,192 samples\n", static_cast<unsigned long long>(m_run.counts().ledgerCalls), static_cast<unsigned long long>(m_bytes), static_cast<unsigned long long>(steps));
            m_print.fold(m_run.counts().ledgerCalls);
            m_print.fold(m_run.counts().handedOver);
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
                all.push_back({ group_number(i), digestOf(std::to_string(i)), 500 + i % 64, { m_holder } });
            return all;
        }

        void generate(const dispatch_slot& order)
        {
            m_now += std::chrono::milliseconds(1);
            m_print.fold(order.stream.attempt.value());
            m_print.fold(static_cast<std::uint64_t>(order.priority));
            feed(dispatch_accepted { order.stream });
            for (std::uint32_t token = 0; token < 40; token += 10)
                feed(chunk_received { order.stream, { weight_version(1), token, 10 } });
            feed(generation_finished { order.stream, 40 });
        }

        void feed(const run_event& event)
        {
            m_todo.push_back(event);
            while (!m_todo.empty()) {
                const run_event next = std::move(m_todo.front());
                m_todo.pop_front();
                ++m_events;
                for (const run_action& action : m_run.handle(next, m_now))
                    std::visit([&](const auto& typed) { act(typed); }, action);
            }
        }

        void act(const call_judge& action) { m_todo.emplace_back(sample_judged { action.stream }); }
        void act(const store_payload& action)
        {
            m_todo.emplace_back(payload_stored { action.stream, digestOf(std::to_string(action.stream.attempt.value())), { m_holder } });
        }
        void act(const write_ledger& action)
        {
            m_print.fold(action.head);
            m_bytes += action.head.size();
            for (const auto& [key, value] : action.pages)
                m_bytes += value.size();
            m_todo.emplace_back(ledger_confirmed { action.call, revision(++m_revision) });
        }
        void act(const confirm_ledger& action) { m_todo.emplace_back(ledger_confirmed { action.call, action.expected }); }
        void act(const read_ledger& action) { m_todo.emplace_back(ledger_content { action.call, revision(), {}, {}, { m_holder } }); }
        void act(const answer_batch& action) { m_print.fold(action.samples.size()); }
        template <typename Action>
        void act(const Action&)
        {
        }

        fingerprint& m_print;
        run_coordinator m_run;
        instant m_now {};
        payload_holder m_holder { instance_id("entry-1"), incarnation(1) };
        std::deque<run_event> m_todo;
        std::uint64_t m_calls = 0;
        std::uint64_t m_revision = 0;
        std::uint64_t m_events = 0;
        std::uint64_t m_bytes = 0; // put into the service
    };

    std::uint64_t replay(fingerprint& print)
    {
        return prompt_world(print).replay();
    }

    const registration part("run", replay);

} // namespace

} // namespace lovagerail::bench
