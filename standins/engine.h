// Stand-in for an inference engine: continuous batching, prefix cache, late
// cache events and load reports, orders, and a log of what it truly did.
#pragma once

#include "engine_model.h"
#include "http_server.h"

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

namespace lovagerail::standin {

struct engine_options {
    std::string name;
    std::string address;
    std::uint16_t port = 0;
    std::string model;
    std::string version;
    std::string role;
    std::size_t cacheTokens = 0;
    std::size_t mostRunning = 0;
    std::size_t mostWaiting = 0;
    double tokensPerSecond = 0; // of a stream that runs alone
    double slowdown = 0; // how much longer a token takes in a full batch
    double prefillTokensPerSecond = 0;
    std::uint32_t chunkTokens = 0;
    std::uint32_t shortest = 0; // natural lengths of answers in tokens
    std::uint32_t longest = 0;
    std::chrono::milliseconds reportLag { 0 };
    std::chrono::milliseconds eventLag { 0 };
    std::chrono::milliseconds swapTime { 0 };
    std::chrono::milliseconds restartTime { 0 }; // 0: stays down until told
    std::size_t weightSize = 0;
    bool checksFencing = false;
};

// What the engine did for one attempt, for checkers.
struct attempt_record {
    struct version_span {
        std::string version;
        std::uint32_t tokens = 0;
    };
    std::uint64_t number = 0;
    std::string attempt; // as received in X-Request-Id
    std::string head;
    std::uint64_t promptHash = 0;
    std::size_t promptBytes = 0;
    std::string promptStart; // enough to tell whose request it is
    std::int64_t receivedMilliseconds = 0;
    std::uint32_t firstToken = 0; // index of the first token made here
    std::uint32_t tokens = 0;
    std::size_t promptTokens = 0;
    std::size_t cachedTokens = 0;
    std::int64_t priority = 0;
    std::uint64_t incarnation = 0;
    std::string outcome = "running"; // then done, cancelled, crashed, cut or refused
    std::vector<version_span> spans;

    Json::Value toJson() const;
};

// A request on its way through the engine.
struct generation {
    std::shared_ptr<attempt_record> record;
    std::string echo; // the id in the answer; another one's if the answer is crossed
    std::string prompt;
    std::uint64_t seed = 0;
    bool chat = false;
    std::uint32_t mostTokens = 0;
    std::size_t importedBlocks = 0;
    int socket = -1;
    token_chain chain;
    std::string text; // generated here so far
    bool admitted = false;
    bool prefilled = false;
    bool ended = false;
    std::int64_t cutAfter = -1; // tokens after which a truncated answer breaks off
    bool cutCleanly = false;
};

class engine {
public:
    explicit engine(engine_options options);
    ~engine();
    engine(const engine&) = delete;
    engine& operator=(const engine&) = delete;

    bool start();
    // Called often by the program: crashes and restarts the engine when told to.
    void tend(std::chrono::steady_clock::time_point now);
    const std::string& name() const { return m_options.name; }
    std::uint16_t port() const { return m_options.port; }
    bool down() const { return m_down; }
    http_answer control(const http_request& request, const std::string& path);
    http_server& server() { return m_server; }

private:
    using clock = std::chrono::steady_clock;
    struct load_report {
        clock::time_point at;
        std::size_t running = 0;
        std::size_t waiting = 0;
        double cacheUsage = 0;
        std::string version;
        std::int64_t measuredMilliseconds = 0;
    };
    struct cache_event {
        clock::time_point at;
        std::uint64_t sequence = 0;
        std::string kind;
        std::vector<std::uint64_t> hashes;
    };
    struct order {
        Json::Value answer; // state and error, if any
    };

    http_answer answer(const http_request& request);
    // Requests (engine_requests.cpp).
    http_answer complete(const http_request& request, bool chat);
    http_answer streamed(const std::shared_ptr<generation>& work);
    http_answer whole(generation& work);
    void cross(generation& work);
    bool admit(generation& work);
    bool prefill(generation& work);
    bool interrupted(generation& work);
    void finish(generation& work, const std::string& outcome);
    stream_step nextChunk(generation& work, std::string& text);
    Json::Value chunkOf(const generation& work, const std::string& text) const;
    Json::Value usageOf(const generation& work) const;
    http_answer exportCache(const Json::Value& body);
    std::size_t importedBlocks(const std::string& handle, const std::string& prompt);
    // Reports and orders (engine.cpp).
    http_answer load();
    http_answer events(const http_request& request);
    http_answer takeOrder(const Json::Value& body);
    http_answer orderState(const std::string& id);
    void carryOut(const Json::Value& body, const std::string& id);
    std::string fetchWeights(const Json::Value& body);
    http_answer passOnWeights(const http_request& request);
    void noteLoad();
    void noteCache(const cache_change& change);
    Json::Value logFrom(std::uint64_t number) const;

    engine_options m_options;
    std::mutex m_mutex; // guards all below but m_server
    std::condition_variable m_changed;
    std::size_t m_running = 0;
    std::set<std::pair<std::int64_t, std::uint64_t>> m_waiting; // priority, then arrival
    std::uint64_t m_nextTicket = 1;
    std::uint64_t m_incarnation = 1;
    std::string m_version;
    std::string m_model;
    std::string m_role;
    std::set<std::string> m_adapters;
    std::set<std::string> m_weights; // model/version held
    prefix_cache m_cache;
    std::deque<load_report> m_reports; // oldest first; the first is older than the lag, if any is
    std::deque<cache_event> m_events;
    std::uint64_t m_nextEvent = 1;
    std::deque<std::shared_ptr<attempt_record>> m_attempts; // bounded by longestLog
    std::uint64_t m_nextAttempt = 1;
    std::map<std::string, order> m_orders;
    Json::Value m_orderLog { Json::arrayValue };
    std::int64_t m_fencing = 0;
    generation* m_uncrossed = nullptr; // waits for a second answer to be crossed with
    std::mutex m_swap; // one swap at a time
    std::vector<std::jthread> m_orderThreads;
    std::atomic<bool> m_crash { false };
    std::atomic<bool> m_down { false };
    clock::time_point m_restartAt;
    http_server m_server; // last, so that it ends first
};

} // namespace lovagerail::standin
