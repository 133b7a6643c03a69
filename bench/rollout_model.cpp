// The simulated engines, judge and trainer; see rollout_model.h.
#include "rollout_model.h"

#include <algorithm>
#include <xxhash.h>

namespace lovagerail::bench {

namespace {

    constexpr duration tickLength = std::chrono::milliseconds(200);
    constexpr std::uint32_t tokensPerTick = 8; // 40 tokens a second for each stream
    constexpr std::uint32_t waitingPerEngine = 2; // samples dispatched to an engine beyond its running ones
    constexpr std::uint32_t longestSample = 4'000; // tokens
    constexpr std::uint64_t crashEveryTicks = 600; // engines crash in turn
    constexpr std::uint64_t crashTicks = 25; // until it is back
    constexpr std::uint64_t swapTicks = 3; // between the swaps of two engines
    constexpr std::uint64_t prefetchedSteps = 3; // steps whose groups are supplied ahead of the step that the trainer requests
    constexpr std::uint64_t maxTicks = 200'000;

    // Heavy-tailed length: each further doubling is half as likely.
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
        bool extra = false; // over-provisioned: occupies the engine, unknown to the coordinator
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

        rollout_statistics replay()
        {
            deliver(taken_over { fencing_number(1) });
            deliver(served_version { weight_version(1) });
            deliver(version_published { trainer_call(++m_calls), weight_version(1) });
            for (std::uint64_t step = 0; step < prefetchedSteps; ++step)
                deliver(groups_supplied { trainer_call(++m_calls), step_number(step), groups() });
            while (m_trainedSteps < modelSteps && m_tick < maxTicks)
                tickOnce();
            std::sort(m_statistics.staleness.begin(), m_statistics.staleness.end());
            m_statistics.ticks = m_tick;
            m_statistics.ledgerCalls = m_run.counts().ledgerCalls;
            m_statistics.wastedTokens += m_run.counts().wastedTokens;
            return m_statistics;
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
                all.push_back({ group_number(i), digestOf(std::to_string(i)), longestSample, { m_payloadHolder } });
            return all;
        }

        instant now() const { return instant(tickLength * m_tick); }

        void tickOnce()
        {
            ++m_tick;
            crash();
            swap();
            dispatchToEngines();
            for (model_engine& engine : m_engines)
                advance(engine);
            judge();
            train();
            deliver(tick {});
        }

        // At every other crash the streams of the engine can be resumed; otherwise they are lost.
        void crash()
        {
            if (m_tick % crashEveryTicks != 0)
                return;
            const std::uint64_t turn = m_tick / crashEveryTicks;
            model_engine& engine = m_engines[turn % m_engines.size()];
            engine.downUntil = m_tick + crashTicks;
            std::vector<engine_stream> interrupted = std::exchange(engine.running, {});
            interrupted.insert(interrupted.end(), engine.waiting.begin(), engine.waiting.end());
            engine.waiting.clear();
            for (const engine_stream& stream : interrupted) {
                if (!stream.extra)
                    deliver(generation_failed { stream.order.stream, turn % 2 == 0 });
            }
        }

        // Swaps the published version into one engine at a time, without interrupting its streams.
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
            deliver(served_version { oldest });
        }

        void dispatchToEngines()
        {
            for (model_engine& engine : m_engines) {
                if (engine.downUntil > m_tick)
                    continue;
                while (engine.running.size() + engine.waiting.size() < m_deployment.streamsPerEngine + waitingPerEngine) {
                    std::optional<dispatch_slot> order = m_run.takeDispatch(now());
                    if (!order)
                        break;
                    enqueue(engine, *order);
                }
                while (engine.running.size() < m_deployment.streamsPerEngine && !engine.waiting.empty())
                    start(engine);
            }
        }

        // An over-provisioned group generates extra samples and keeps the shortest ones.
        void enqueue(model_engine& engine, const dispatch_slot& order)
        {
            const slot_id& id = order.stream.slot;
            const bool isRegenerated = order.stream.leg == 0 && !m_started.insert(id).second;
            m_statistics.regenerated += isRegenerated;
            std::vector<std::uint32_t> lengths;
            for (std::uint32_t i = 0; i < modelGroupSize + m_policy.extraSamples; ++i)
                lengths.push_back(lengthOf({ id.step, id.group, sample_number(i) }, 0));
            const bool isFirstOfGroup = id.sample.value() == 0 && order.stream.leg == 0 && !isRegenerated;
            if (isFirstOfGroup) {
                for (const std::uint32_t length : lengths) {
                    m_statistics.drawnTokens += length;
                    ++m_statistics.drawnSamples;
                }
            }
            if (m_policy.extraSamples > 0)
                std::sort(lengths.begin(), lengths.end());
            engine.waiting.push_back({ order, order.resumeFrom, lengths[id.sample.value()], false });
            for (std::uint32_t i = modelGroupSize; isFirstOfGroup && i < lengths.size(); ++i)
                engine.waiting.push_back({ order, 0, lengths[modelGroupSize - 1], true });
        }

        void start(model_engine& engine)
        {
            auto next = engine.waiting.begin();
            if (m_policy.priorities)
                next = std::min_element(engine.waiting.begin(), engine.waiting.end(), [](const engine_stream& left, const engine_stream& right) { return left.order.priority < right.order.priority; });
            if (!next->extra)
                deliver(dispatch_accepted { next->order.stream });
            engine.running.push_back(std::move(*next));
            engine.waiting.erase(next);
        }

        void advance(model_engine& engine)
        {
            std::vector<engine_stream> running = std::exchange(engine.running, {});
            for (engine_stream& stream : running) {
                const std::uint32_t tokens = std::min(tokensPerTick, stream.length - std::min(stream.length, stream.next));
                stream.next += tokens;
                m_statistics.generatedTokens += tokens;
                if (stream.extra) {
                    m_statistics.wastedTokens += tokens;
                    if (stream.next < stream.length)
                        engine.running.push_back(stream);
                    continue;
                }
                if (tokens > 0)
                    deliver(chunk_received { stream.order.stream, { engine.version, stream.next - tokens, tokens } });
                if (m_cancelled.erase(stream.order.stream) > 0)
                    continue;
                if (stream.next < stream.length)
                    engine.running.push_back(stream);
                else
                    deliver(generation_finished { stream.order.stream, stream.length });
            }
        }

        // Without pipelined judging, no sample of a step is judged until all of them are generated.
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
                deliver(sample_judged { stream });
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
                deliver(groups_supplied { trainer_call(++m_calls), step_number(m_trainedSteps + prefetchedSteps), groups() });
                ++m_trainedSteps;
                m_version = m_version.next();
                deliver(version_published { trainer_call(++m_calls), m_version });
            }
            if (!m_batchRequested && m_trainedSteps < modelSteps) {
                m_batchRequested = true;
                deliver(batch_requested { trainer_call(++m_calls), step_number(m_trainedSteps) });
            }
            if (m_trainUntil == 0)
                ++m_statistics.idleTicks;
        }

        void deliver(const run_event& event)
        {
            m_pendingEvents.push_back(event);
            processEvents();
        }

        void processEvents()
        {
            if (m_processing)
                return;
            m_processing = true;
            while (!m_pendingEvents.empty()) {
                const run_event next = std::move(m_pendingEvents.front());
                m_pendingEvents.pop_front();
                for (const run_action& action : m_run.handle(next, now()))
                    std::visit([&](const auto& typed) { execute(typed); }, action);
            }
            m_processing = false;
        }

        void execute(const call_judge& action) { m_toJudge.push_back(action.stream); }
        void execute(const cancel_stream& action)
        {
            for (model_engine& engine : m_engines) {
                const auto isCancelled = [&](const engine_stream& stream) { return !stream.extra && stream.order.stream == action.stream; };
                std::erase_if(engine.waiting, isCancelled);
                std::erase_if(engine.running, isCancelled);
            }
            m_cancelled.insert(action.stream);
        }
        void execute(const store_payload& action)
        {
            m_pendingEvents.emplace_back(payload_stored { action.stream, digestOf(std::to_string(action.stream.attempt.value())), { m_payloadHolder } });
        }
        void execute(const write_ledger& action) { m_pendingEvents.emplace_back(ledger_confirmed { action.call, revision(++m_revision) }); }
        void execute(const confirm_ledger& action) { m_pendingEvents.emplace_back(ledger_confirmed { action.call, action.expected }); }
        void execute(const read_ledger& action) { m_pendingEvents.emplace_back(ledger_content { action.call, revision(), {}, {}, { m_payloadHolder } }); }
        void execute(const answer_batch& action)
        {
            m_batchRequested = false;
            m_trainUntil = m_tick + m_deployment.trainTicks;
            for (const sample_record& sample : action.samples) {
                m_statistics.staleness.push_back(ageOf(sample.spans, action.handedVersion));
                m_statistics.keptTokens += sample.spans.back().last + 1;
                ++m_statistics.keptSamples;
            }
        }
        template <typename Action>
        void execute(const Action&)
        {
        }

        const rollout_deployment& m_deployment;
        const rollout_policy& m_policy;
        run_coordinator m_run;
        std::vector<model_engine> m_engines;
        rollout_statistics m_statistics;
        payload_holder m_payloadHolder { instance_id("entry-1"), incarnation(1) };
        std::deque<run_event> m_pendingEvents;
        bool m_processing = false;
        std::set<stream_id> m_cancelled;
        std::set<slot_id> m_started;
        std::deque<stream_id> m_toJudge;
        std::deque<std::pair<std::uint64_t, stream_id>> m_judging; // with the tick at which judging ends
        weight_version m_version { 1 };
        std::uint64_t m_tick = 0;
        std::uint64_t m_calls = 0;
        std::uint64_t m_revision = 0;
        std::uint64_t m_trainedSteps = 0;
        std::uint64_t m_trainUntil = 0;
        bool m_batchRequested = false;
    };

} // namespace

rollout_statistics runModel(const rollout_deployment& deployment, const rollout_policy& policy)
{
    return rollout_model(deployment, policy).replay();
}

} // namespace lovagerail::bench
