// A small deterministic model of engines and plain services, to replay traces
// through routers: an event queue on injected time, engines that batch
// continuously with a prefix cache, and services with a few workers.
//
// It models what the routing weighs and nothing else: no processes, no messages
// between instances, no failures but a target that goes silent.
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

// Runs actions in the order of their times; equal times in the order of adding.
class event_queue {
public:
    void at(instant when, std::function<void()> action);
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
    std::uint64_t m_added = 0;
    instant m_now;
};

// One request at a target, with what is called as it proceeds.
struct simulated_work {
    std::vector<block_hash> prompt;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    duration serviceTime {}; // plain services alone
    std::function<void(token_count cached)> onFirstToken;
    std::function<void()> onDone;
    std::function<void()> onReset; // the target failed
};

struct target_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    double kvCacheUsage = 0;
};

struct engine_model {
    duration stepBase = std::chrono::milliseconds(20);
    duration stepPerStream = std::chrono::microseconds(300);
    duration perPrefillToken = std::chrono::microseconds(100);
    std::uint64_t prefillChunk = 1024; // tokens prefilled in one step at most
    std::size_t batchLimit = 32;
    std::uint64_t kvTokens = 100000; // for running streams
    std::size_t cacheBlocks = 3000; // of the prefix cache
};

// Steps through its batch: each step prefills a chunk of the oldest prompts and
// makes one token for each stream that is past its prefill.
class simulated_engine {
public:
    simulated_engine(event_queue& events, engine_model model, std::function<void(const cache_event&)> onCacheEvent);

    void submit(simulated_work work);
    void fail();
    target_load load() const;
    double busySeconds() const { return m_busySeconds; }

private:
    struct stream {
        simulated_work work;
        std::uint64_t toPrefill = 0;
        std::uint64_t made = 0;
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
    std::deque<simulated_work> m_waiting;
    std::vector<stream> m_running;
    std::uint64_t m_kvUsed = 0;
    std::uint64_t m_epoch = 0; // grows with fail(), so that steps under way end
    bool m_stepping = false;
    double m_busySeconds = 0;
    std::uint64_t m_seq = 0;
    std::list<block_hash> m_byAge; // least recently used first
    std::unordered_map<block_hash, std::list<block_hash>::iterator> m_cache; // looked up only
};

// Workers that take requests from one queue in order.
class simulated_service {
public:
    simulated_service(event_queue& events, std::size_t workers);

    void submit(simulated_work work);
    void fail();
    target_load load() const;
    double busySeconds() const { return m_busySeconds; }

private:
    void startNext();

    event_queue& m_events;
    std::size_t m_workers;
    std::deque<simulated_work> m_waiting;
    std::vector<std::pair<std::uint64_t, simulated_work>> m_running; // by number of start
    std::uint64_t m_started = 0;
    double m_busySeconds = 0;
};

} // namespace lovagerail::bench
