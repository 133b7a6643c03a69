// Engines, judge and trainer of the rollout model.
#include "rollout_model.h"

#include <algorithm>
#include <xxhash.h>

namespace lovagerail::bench {

namespace {

    constexpr duration tickLength = std::chrono::milliseconds(200);
    constexpr std::uint32_t tokensPerTick = 8; // 40 tokens a second for each stream
    constexpr std::uint32_t waitingPerEngine = 2; // dispatched beyond the running ones
    constexpr std::uint32_t longestSample = 4'000; // tokens
    constexpr std::uint64_t crashEveryTicks = 600; // one engine in turn
    constexpr std::uint64_t crashTicks = 25; // until it is back
    constexpr std::uint64_t swapTicks = 3; // between the swaps of two engines
    constexpr std::uint64_t stepsSupplied = 3; // ahead of the one that is asked for
    constexpr std::uint64_t ticksMax = 200'000;

    // Heavy-tailed length: each doubling is half as likely.
    std::uint32_t lengthOf(const slot_id& id, std::uint32_t salt)
    {
        const std::uint64_t key[] = { id.step.value(), id.group.value(), id.sample.value(), salt };
        const std::uint64_t hash = XXH64(key, sizeof key, 0);
        std::uint32_t length = 150 + static_cast<std::uint32_t>(hash % 150);
        for (std::uint64_t bits = hash >> 32; (bits & 1) != 0 && length < longestSample; bits >>= 1)
            length *= 2;
        return std::min(length, longestSample);
    }

    struct engine_stream {
        dispatch_slot order;
        std::uint32_t next = 0;
        std::uint32_t length = 0;
        bool extra = false; // an over-provisioned one: it only takes room
    };

    struct model_engine {
        weight_version version { 1 };
        std::uint64_t downUntil = 0;
        std::vector<engine_stream> running;
        std::vector<engine_stream> waiting;
    };

    class rollout_model {
    public:
        rollout_model(const rollout_deployment& deployment, const rollout_policy& policy)
            : m_deployment(deployment)
            , m_policy(policy)
            , m_run(settings(deployment, policy))
            , m_engines(deployment.engines)
        {
        }

        rollout_figures replay()
        {
            feed(taken_over { fencing_number(1) });
            feed(served_version { weight_version(1) });
            feed(version_published { trainer_call(++m_calls), weight_version(1) });
            for (std::uint64_t step = 0; step < stepsSupplied; ++step)
                feed(groups_supplied { trainer_call(++m_calls), step_number(step), groups() });
            while (m_trained < modelSteps && m_tick < ticksMax)
                tickOnce();
            std::sort(m_figures.ages.begin(), m_figures.ages.end());
            m_figures.ticks = m_tick;
            m_figures.ledgerCalls = m_run.counts().ledgerCalls;
            m_figures.wastedTokens += m_run.counts().wastedTokens;
            return m_figures;
        }

    private:
        static run_settings settings(const rollout_deployment& deployment, const rollout_policy& policy)
        {
            run_settings settings;
            settings.run = run_id("model");
            settings.groupSize = modelGroupSize;
            settings.groupsPerStep = deployment.groupsPerStep;
            settings.stalenessBound = deployment.stalenessBound;
            settings.earlySteps = policy.earlySteps;
            settings.sealBatch = 64;
            settings.judgeTimeout = std::chrono::hours(1);
            settings.maxTrainerWait = std::chrono::hours(1);
            return settings;
        }

        std::vector<group_record> groups() const
        {
            std::vector<group_record> all;
            for (std::uint32_t i = 0; i < m_deployment.groupsPerStep; ++i)
                all.push_back({ group_number(i), digestOf(std::to_string(i)), longestSample, { m_holder } });
            return all;
        }

        instant now() const { return instant(tickLength * m_tick); }

        void tickOnce()
        {
            ++m_tick;
            crash();
            swap();
            fill();
            for (model_engine& engine : m_engines)
                advance(engine);
            judge();
            train();
            feed(tick {});
        }

        // Streams of a crashed engine can be resumed every other time.
        void crash()
        {
            if (m_tick % crashEveryTicks != 0)
                return;
            const std::uint64_t turn = m_tick / crashEveryTicks;
            model_engine& engine = m_engines[turn % m_engines.size()];
            engine.downUntil = m_tick + crashTicks;
            std::vector<engine_stream> gone = std::exchange(engine.running, {});
            gone.insert(gone.end(), engine.waiting.begin(), engine.waiting.end());
            engine.waiting.clear();
            for (const engine_stream& stream : gone) {
                if (!stream.extra)
                    feed(generation_failed { stream.order.stream, turn % 2 == 0 });
            }
        }

        // A published version reaches one engine after the other, under running streams.
        void swap()
        {
            if (m_tick % swapTicks != 0)
                return;
            weight_version oldest = m_version;
            for (model_engine& engine : m_engines) {
                if (engine.version < m_version) {
                    engine.version = m_version;
                    break;
                }
            }
            for (const model_engine& engine : m_engines)
                oldest = std::min(oldest, engine.version);
            feed(served_version { oldest });
        }

        void fill()
        {
            for (model_engine& engine : m_engines) {
                if (engine.downUntil > m_tick)
                    continue;
                while (engine.running.size() + engine.waiting.size() < m_deployment.streamsPerEngine + waitingPerEngine) {
                    std::optional<dispatch_slot> order = m_run.takeDispatch(now());
                    if (!order)
                        break;
                    place(engine, *order);
                }
                while (engine.running.size() < m_deployment.streamsPerEngine && !engine.waiting.empty())
                    start(engine);
            }
        }

        // An over-provisioned group draws extra lengths and keeps the shortest.
        void place(model_engine& engine, const dispatch_slot& order)
        {
            const slot_id& id = order.stream.slot;
            const bool again = order.stream.leg == 0 && !m_started.insert(id).second;
            m_figures.regenerated += again;
            std::vector<std::uint32_t> lengths;
            for (std::uint32_t i = 0; i < modelGroupSize + m_policy.extraSamples; ++i)
                lengths.push_back(lengthOf({ id.step, id.group, sample_number(i) }, 0));
            const bool first = id.sample.value() == 0 && order.stream.leg == 0 && !again;
            if (first) {
                for (const std::uint32_t length : lengths) {
                    m_figures.drawnTokens += length;
                    ++m_figures.drawnSamples;
                }
            }
            if (m_policy.extraSamples > 0)
                std::sort(lengths.begin(), lengths.end());
            engine.waiting.push_back({ order, order.resumeFrom, lengths[id.sample.value()], false });
            for (std::uint32_t i = modelGroupSize; first && i < lengths.size(); ++i)
                engine.waiting.push_back({ order, 0, lengths[modelGroupSize - 1], true });
        }

        void start(model_engine& engine)
        {
            auto next = engine.waiting.begin();
            if (m_policy.priorities)
                next = std::min_element(engine.waiting.begin(), engine.waiting.end(), [](const engine_stream& left, const engine_stream& right) { return left.order.priority < right.order.priority; });
            if (!next->extra)
                feed(dispatch_accepted { next->order.stream });
            engine.running.push_back(std::move(*next));
            engine.waiting.erase(next);
        }

        void advance(model_engine& engine)
        {
            std::vector<engine_stream> running = std::exchange(engine.running, {});
            for (engine_stream& stream : running) {
                const std::uint32_t tokens = std::min(tokensPerTick, stream.length - std::min(stream.length, stream.next));
                stream.next += tokens;
                m_figures.madeTokens += tokens;
                if (stream.extra) {
                    m_figures.wastedTokens += tokens;
                    if (stream.next < stream.length)
                        engine.running.push_back(stream);
                    continue;
                }
                if (tokens > 0)
                    feed(chunk_received { stream.order.stream, { engine.version, stream.next - tokens, tokens } });
                if (m_cancelled.erase(stream.order.stream) > 0)
                    continue;
                if (stream.next < stream.length)
                    engine.running.push_back(stream);
                else
                    feed(generation_finished { stream.order.stream, stream.length });
            }
        }

        // Barrier judging starts when no sample of the step is still to be generated.
        void judge()
        {
            while (m_judging.size() < m_deployment.judgeWorkers && !m_toJudge.empty()) {
                if (!m_policy.pipelinedJudging && stillGenerating(m_toJudge.front().slot.step))
                    break;
                m_judging.emplace_back(m_tick + m_deployment.judgeTicks, m_toJudge.front());
                m_toJudge.pop_front();
            }
            while (!m_judging.empty() && m_judging.front().first <= m_tick) {
                const stream_id stream = m_judging.front().second;
                m_judging.pop_front();
                feed(sample_judged { stream });
            }
        }

        bool stillGenerating(step_number step) const
        {
            const auto states = m_run.slotsByState(step);
            return states[0] + states[1] + states[2] > 0; // queued, dispatched, generating
        }

        void train()
        {
            if (m_trainUntil != 0 && m_tick < m_trainUntil)
                return;
            if (m_trainUntil != 0) {
                m_trainUntil = 0;
                feed(groups_supplied { trainer_call(++m_calls), step_number(m_trained + stepsSupplied), groups() });
                ++m_trained;
                m_version = m_version.next();
                feed(version_published { trainer_call(++m_calls), m_version });
            }
            if (!m_asked && m_trained < modelSteps) {
                m_asked = true;
                feed(batch_requested { trainer_call(++m_calls), step_number(m_trained) });
            }
            if (m_trainUntil == 0)
                ++m_figures.idleTicks;
        }

        void feed(const run_event& event)
        {
            m_todo.push_back(event);
            drain();
        }

        void drain()
        {
            if (m_draining)
                return;
            m_draining = true;
            while (!m_todo.empty()) {
                const run_event next = std::move(m_todo.front());
                m_todo.pop_front();
                for (const run_action& action : m_run.handle(next, now()))
                    std::visit([&](const auto& typed) { act(typed); }, action);
            }
            m_draining = false;
        }

        void act(const call_judge& action) { m_toJudge.push_back(action.stream); }
        void act(const cancel_stream& action)
        {
            for (model_engine& engine : m_engines) {
                const auto same = [&](const engine_stream& stream) { return !stream.extra && stream.order.stream == action.stream; };
                std::erase_if(engine.waiting, same);
                std::erase_if(engine.running, same);
            }
            m_cancelled.insert(action.stream);
        }
        void act(const store_payload& action)
        {
            m_todo.emplace_back(payload_stored { action.stream, digestOf(std::to_string(action.stream.attempt.value())), { m_holder } });
        }
        void act(const write_ledger& action) { m_todo.emplace_back(ledger_confirmed { action.call, revision(++m_revision) }); }
        void act(const confirm_ledger& action) { m_todo.emplace_back(ledger_confirmed { action.call, action.expected }); }
        void act(const read_ledger& action) { m_todo.emplace_back(ledger_content { action.call, revision(), {}, {}, { m_holder } }); }
        void act(const answer_batch& action)
        {
            m_asked = false;
            m_trainUntil = m_tick + m_deployment.trainTicks;
            for (const sample_record& sample : action.samples) {
                m_figures.ages.push_back(ageOf(sample.spans, action.handedVersion));
                m_figures.keptTokens += sample.spans.back().last + 1;
                ++m_figures.keptSamples;
            }
        }
        template <typename Action>
        void act(const Action&)
        {
        }

        const rollout_deployment& m_deployment;
        const rollout_policy& m_policy;
        run_coordinator m_run;
        std::vector<model_engine> m_engines;
        rollout_figures m_figures;
        payload_holder m_holder { instance_id("entry-1"), incarnation(1) };
        std::deque<run_event> m_todo;
        bool m_draining = false;
        std::set<stream_id> m_cancelled;
        std::set<slot_id> m_started;
        std::deque<stream_id> m_toJudge;
        std::deque<std::pair<std::uint64_t, stream_id>> m_judging; // by end
        weight_version m_version { 1 };
        std::uint64_t m_tick = 0;
        std::uint64_t m_calls = 0;
        std::uint64_t m_revision = 0;
        std::uint64_t m_trained = 0;
        std::uint64_t m_trainUntil = 0;
        bool m_asked = false;
    };

} // namespace

rollout_figures runModel(const rollout_deployment& deployment, const rollout_policy& policy)
{
    return rollout_model(deployment, policy).replay();
}

} // namespace lovagerail::bench
