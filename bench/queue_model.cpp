// The event queue, simulated engines and simulated services; see queue_model.h.
#include "queue_model.h"

#include <algorithm>
#include <cassert>

namespace lovagerail::bench {

namespace {

    // Exact for a factor of 1, so that replays without slow machines stay as they are.
    duration scale(duration span, double factor)
    {
        return factor == 1 ? span : std::chrono::duration_cast<duration>(std::chrono::duration<double, std::nano>(span) * factor);
    }

} // namespace

void event_queue::schedule(instant when, std::function<void()> action)
{
    m_events.push({ std::max(when, m_now), m_nextOrder++, std::move(action) });
}

void event_queue::run()
{
    while (!m_events.empty()) {
        const event next = m_events.top();
        m_events.pop();
        m_now = next.when;
        next.action();
    }
}

simulated_engine::simulated_engine(event_queue& events, engine_model model, std::function<void(const cache_event&)> onCacheEvent)
    : m_events(events)
    , m_model(model)
    , m_onCacheEvent(std::move(onCacheEvent))
{
}

void simulated_engine::submit(simulated_request request)
{
    m_waiting.push_back(std::move(request));
    if (!m_stepping)
        step();
}

// Resets all requests and loses the KV and prefix caches.
void simulated_engine::fail()
{
    ++m_epoch;
    m_stepping = false;
    std::vector<simulated_request> interrupted;
    for (stream& item : m_running)
        interrupted.push_back(std::move(item.request));
    for (simulated_request& item : m_waiting)
        interrupted.push_back(std::move(item));
    m_running.clear();
    m_waiting.clear();
    m_kvUsed = 0;
    m_cache.clear();
    m_lruOrder.clear();
    for (const simulated_request& item : interrupted)
        item.onReset();
}

target_load simulated_engine::load() const
{
    const double usage = static_cast<double>(m_kvUsed) / static_cast<double>(m_model.kvTokens);
    return { static_cast<std::uint32_t>(m_running.size()), static_cast<std::uint32_t>(m_waiting.size()), std::min(1.0, usage), m_slowdown };
}

// Moves waiting requests into the batch while the batch and the KV cache have room.
void simulated_engine::admit()
{
    while (!m_waiting.empty() && m_running.size() < m_model.batchLimit) {
        simulated_request& next = m_waiting.front();
        const std::uint64_t needed = next.promptTokens + next.outputTokens;
        if (!m_running.empty() && m_kvUsed + needed > m_model.kvTokens)
            return;
        m_kvUsed += needed;
        const std::uint64_t cached = std::min(cachedTokens(next.prompt), next.promptTokens - 1);
        const std::uint64_t remainingPrefill = next.promptTokens - cached;
        m_running.push_back({ std::move(next), remainingPrefill, 0, cached });
        m_waiting.pop_front();
    }
}

void simulated_engine::step()
{
    admit();
    m_stepping = !m_running.empty();
    if (!m_stepping)
        return;
    std::uint64_t prefill = 0;
    std::int64_t decoding = 0;
    for (stream& item : m_running) {
        if (item.remainingPrefill == 0) {
            ++decoding;
            continue;
        }
        const std::uint64_t chunk = std::min(item.remainingPrefill, m_model.prefillChunk - prefill);
        item.remainingPrefill -= chunk;
        prefill += chunk;
        if (item.remainingPrefill == 0 && chunk > 0)
            ++decoding;
    }
    const duration span = scale(m_model.stepBase + m_model.stepPerStream * decoding + m_model.perPrefillToken * static_cast<std::int64_t>(prefill), m_slowdown);
    m_busySeconds += std::chrono::duration<double>(span).count();
    m_events.schedule(m_events.now() + span, [this, epoch = m_epoch] { endStep(epoch); });
}

// Counts one token for each stream that has finished its prefill, and ends complete streams.
void simulated_engine::endStep(std::uint64_t epoch)
{
    if (epoch != m_epoch)
        return;
    std::vector<std::function<void()>> calls;
    for (stream& item : m_running) {
        if (item.remainingPrefill > 0)
            continue;
        if (++item.generated == 1) {
            storePrompt(item.request.prompt);
            calls.emplace_back([call = item.request.onFirstToken, cached = item.cached] { call(token_count(cached)); });
        }
        if (item.generated < item.request.outputTokens)
            continue;
        m_kvUsed -= item.request.promptTokens + item.request.outputTokens;
        calls.push_back(item.request.onDone);
    }
    const auto isDone = [](const stream& item) { return item.remainingPrefill == 0 && item.generated >= item.request.outputTokens; };
    m_running.erase(std::remove_if(m_running.begin(), m_running.end(), isDone), m_running.end());
    for (const auto& call : calls)
        call();
    step();
}

std::uint64_t simulated_engine::cachedTokens(const std::vector<block_hash>& prompt)
{
    std::uint64_t blocks = 0;
    for (const block_hash hash : prompt) {
        const auto it = m_cache.find(hash);
        if (it == m_cache.end())
            break;
        m_lruOrder.splice(m_lruOrder.end(), m_lruOrder, it->second);
        ++blocks;
    }
    return blocks * prefixBlockTokens;
}

// Touches the blocks from last to first, so that the longest prefixes are evicted first.
void simulated_engine::storePrompt(const std::vector<block_hash>& prompt)
{
    std::vector<block_hash> stored;
    std::vector<block_hash> removed;
    for (std::size_t left = prompt.size(); left > 0; --left)
        touch(prompt[left - 1], stored, removed);
    publish(cache_event_kind::Removed, std::move(removed));
    publish(cache_event_kind::Stored, std::move(stored));
}

void simulated_engine::touch(block_hash hash, std::vector<block_hash>& stored, std::vector<block_hash>& removed)
{
    const auto it = m_cache.find(hash);
    if (it != m_cache.end()) {
        m_lruOrder.splice(m_lruOrder.end(), m_lruOrder, it->second);
        return;
    }
    if (m_cache.size() >= m_model.cacheBlocks) {
        removed.push_back(m_lruOrder.front());
        m_cache.erase(m_lruOrder.front());
        m_lruOrder.pop_front();
    }
    m_cache.emplace(hash, m_lruOrder.insert(m_lruOrder.end(), hash));
    stored.push_back(hash);
}

void simulated_engine::publish(cache_event_kind kind, std::vector<block_hash> hashes)
{
    if (!hashes.empty())
        m_onCacheEvent({ ++m_seq, kind, std::move(hashes) });
}

simulated_service::simulated_service(event_queue& events, std::size_t workers)
    : m_events(events)
    , m_workers(workers)
{
}

void simulated_service::submit(simulated_request request)
{
    m_waiting.push_back(std::move(request));
    startNext();
}

void simulated_service::fail()
{
    std::vector<simulated_request> interrupted;
    for (auto& item : m_running)
        interrupted.push_back(std::move(item.second));
    for (simulated_request& item : m_waiting)
        interrupted.push_back(std::move(item));
    m_running.clear();
    m_waiting.clear();
    for (const simulated_request& item : interrupted)
        item.onReset();
}

target_load simulated_service::load() const
{
    return { static_cast<std::uint32_t>(m_running.size()), static_cast<std::uint32_t>(m_waiting.size()), 0, m_slowdown };
}

void simulated_service::startNext()
{
    while (!m_waiting.empty() && m_running.size() < m_workers) {
        const std::uint64_t number = ++m_started;
        const duration span = scale(m_waiting.front().serviceTime, m_slowdown);
        m_running.emplace_back(number, std::move(m_waiting.front()));
        m_waiting.pop_front();
        m_busySeconds += std::chrono::duration<double>(span).count();
        m_events.schedule(m_events.now() + span, [this, number] {
            const auto it = std::find_if(m_running.begin(), m_running.end(), [&](const auto& item) { return item.first == number; });
            if (it == m_running.end())
                return;
            const simulated_request done = std::move(it->second);
            m_running.erase(it);
            done.onFirstToken({});
            done.onDone();
            startNext();
        });
    }
}

} // namespace lovagerail::bench
