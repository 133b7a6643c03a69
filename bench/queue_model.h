// A small deterministic model of engines and plain services, to replay traces
// through routers: an event queue on simulated time, engines that batch
// continuously with a prefix cache, and services with a few workers.
//
// It models only what routing decisions depend on: no processes, no messages between
// instances, and no failures other than targets that stop answering.
#pragma once

#include "prefix_index.h"
#include "types.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <queue>
#include <unordered_map>
#include <vector>

namespace lovagerail::bench {

// Runs actions in the order of their times; actions of the same time run in the order in which
// they were scheduled.
class event_queue {
public:
    void schedule(instant when, std::function<void()> action);
    void run();
    instant now() const { return m_now; }

private:
    struct event {
        instant when;
        std::uint64_t order = 0;
        std::function<void()> action;
        friend bool operator<(const event& left, const event& right)
        {
            return left.when != right.when ? left.when > right.when : left.order > right.order;
        }
    };
    std::priority_queue<event> m_events;
    std::uint64_t m_nextOrder = 0;
    instant m_now;
};

// One request at a target, with the callbacks for its progress.
struct simulated_request {
    std::vector<block_hash> prompt;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    duration serviceTime {}; // of plain services only
    std::function<void(token_count cached)> onFirstToken;
    std::function<void()> onDone;
    std::function<void()> onReset; // the target failed
};

struct target_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    double kvCacheUsage = 0;
    double slowdown = 1; // of the machine now
};

struct engine_model {
    duration stepBase = std::chrono::milliseconds(20);
    duration stepPerStream = std::chrono::microseconds(300);
    duration perPrefillToken = std::chrono::microseconds(100);
    std::uint64_t prefillChunk = 1024; // tokens prefilled in one step at most
    std::size_t batchLimit = 32;
    std::uint64_t kvTokens = 100000; // capacity of the KV cache for running streams
    std::size_t cacheBlocks = 3000; // of the prefix cache
};

// Continuous batching: each step prefills a chunk of the oldest prompts and generates
// one token for each stream that has finished its prefill.
class simulated_engine {
public:
    simulated_engine(event_queue& events, engine_model model, std::function<void(const cache_event&)> onCacheEvent);

    void submit(simulated_request request);
    void fail();
    // The machine takes so many times the usual time from the next step or request on.
    void setSlowdown(double slowdown) { m_slowdown = slowdown; }
    target_load load() const;
    double busySeconds() const { return m_busySeconds; }

private:
    struct stream {
        simulated_request request;
        std::uint64_t remainingPrefill = 0;
        std::uint64_t generated = 0;
        std::uint64_t cached = 0;
    };

    void admit();
    void step();
    void endStep(std::uint64_t epoch);
    std::uint64_t cachedTokens(const std::vector<block_hash>& prompt);
    void storePrompt(const std::vector<block_hash>& prompt);
    void touch(block_hash hash, std::vector<block_hash>& stored, std::vector<block_hash>& removed);
    void publish(cache_event_kind kind, std::vector<block_hash> hashes);

    event_queue& m_events;
    engine_model m_model;
    std::function<void(const cache_event&)> m_onCacheEvent;
    std::deque<simulated_request> m_waiting;
    std::vector<stream> m_running;
    std::uint64_t m_kvUsed = 0;
    std::uint64_t m_epoch = 0; // incremented by fail(), so that a step scheduled before it is ignored
    bool m_stepping = false;
    double m_slowdown = 1; // of the machine, above 0
    double m_busySeconds = 0;
    std::uint64_t m_seq = 0;
    std::list<block_hash> m_lruOrder; // least recently used first
    std::unordered_map<block_hash, std::list<block_hash>::iterator> m_cache; // never iterated, so that its order cannot affect results
};

// A fixed number of workers that serve requests of one queue in FIFO order.
class simulated_service {
public:
    simulated_service(event_queue& events, std::size_t workers);

    void submit(simulated_request request);
    void fail();
    // The machine takes so many times the usual time from the next step or request on.
    void setSlowdown(double slowdown) { m_slowdown = slowdown; }
    target_load load() const;
    double busySeconds() const { return m_busySeconds; }

private:
    void startNext();

    event_queue& m_events;
    std::size_t m_workers;
    std::deque<simulated_request> m_waiting;
    std::vector<std::pair<std::uint64_t, simulated_request>> m_running; // with the sequence number of their start
    std::uint64_t m_started = 0;
    double m_slowdown = 1; // of the machine, above 0
    double m_busySeconds = 0;
};

} // namespace lovagerail::bench
