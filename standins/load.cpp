// Load generator that stands in for callers. It is open-loop: requests arrive at random
// times whether or not earlier ones have been answered. Every answer is checked against
// the prompt of its request.
#include "engine_model.h"
#include "http_client.h"
#include "load_checks.h"
#include "programs.h"

#include <condition_variable>
#include <cstdio>
#include <deque>
#include <random>
#include <thread>

namespace lovagerail::standin {

namespace {

    using clock = std::chrono::steady_clock;

    constexpr std::size_t prefixBytes = 256;
    constexpr std::size_t maxWorkers = 2000;

    struct load_options {
        std::vector<std::string> entries;
        bool failover = false;
        std::vector<std::string> keys;
        std::string model;
        std::string marker;
        std::string servicePath; // path to call on a plain service; empty: completions
        std::chrono::milliseconds timeout { 0 };
        std::size_t promptBytes = 0;
        std::uint64_t sharedPrefixes = 0;
        std::int64_t maxTokens = 0;
        bool sendsDirectly = false;
        bool printsEachRequest = false;
    };

    // Parameters of one request, all drawn from the seeded generator.
    struct planned_request {
        clock::time_point dueTime;
        std::uint64_t number = 0;
        std::size_t key = 0;
        std::size_t entry = 0;
        std::uint64_t prefix = 0;
        bool streaming = false;
        bool chat = false;
    };

    std::string promptFor(const load_options& options, const planned_request& planned, std::uint64_t seed)
    {
        std::string text;
        if (options.sharedPrefixes > 0) {
            const auto prefix = "Stock enquiry template " + std::to_string(planned.prefix) + ". ";
            while (text.size() < prefixBytes)
                text += prefix;
            text.resize(prefixBytes);
        }
        text += "Request " + std::to_string(seed) + "-" + std::to_string(planned.number) + " " + options.marker + ": ";
        while (text.size() < options.promptBytes)
            text += "thermostatic and lockshield valves, ";
        return text + "quote:";
    }

    client_request requestFor(const load_options& options, const planned_request& planned, const std::string& prompt)
    {
        client_request request;
        request.method = "POST";
        request.timeout = options.timeout;
        request.headers = { { "Content-Type", "application/json" } };
        if (!options.sendsDirectly && !options.keys.empty())
            request.headers.emplace_back("Authorization", "Bearer " + options.keys[planned.key]);
        if (options.sendsDirectly)
            request.headers.emplace_back("X-Request-Id", "load-" + std::to_string(planned.number));
        Json::Value body;
        const auto& base = options.entries[planned.entry];
        if (!options.servicePath.empty()) {
            request.url = base + options.servicePath;
            body["enquiry"] = prompt;
            request.body = toCompactJson(body);
            return request;
        }
        request.url = base + (planned.chat ? "/v1/chat/completions" : "/v1/completions");
        body["model"] = options.model;
        body["stream"] = planned.streaming;
        if (options.maxTokens > 0)
            body["max_tokens"] = Json::Int64(options.maxTokens);
        if (planned.chat) {
            Json::Value message;
            message["role"] = "user";
            message["content"] = prompt;
            body["messages"].append(message);
        } else {
            body["prompt"] = prompt;
        }
        request.body = toCompactJson(body);
        return request;
    }

    // Sends the requests on worker threads that each keep a connection. A worker is added
    // whenever none is idle, so that slow answers don't delay later requests.
    class load_run {
    public:
        load_run(load_options options, std::uint64_t seed)
            : m_options(std::move(options))
            , m_seed(seed)
        {
        }

        void submit(const planned_request& planned)
        {
            const std::lock_guard lock(m_mutex);
            m_queue.push_back(planned);
            if (m_idle < m_queue.size() && m_workers.size() < maxWorkers)
                m_workers.emplace_back([this] { runWorker(); });
            m_changed.notify_one();
        }

        load_summary finish()
        {
            {
                const std::lock_guard lock(m_mutex);
                m_closing = true;
                m_changed.notify_all();
            }
            m_workers.clear();
            return std::move(m_summary);
        }

    private:
        void runWorker()
        {
            http_client client;
            std::unique_lock lock(m_mutex);
            while (true) {
                ++m_idle;
                m_changed.wait(lock, [&] { return m_closing || !m_queue.empty(); });
                --m_idle;
                if (m_queue.empty())
                    return;
                const auto planned = m_queue.front();
                m_queue.pop_front();
                lock.unlock();
                const auto outcome = performWithFailover(client, planned);
                lock.lock();
                m_summary.add(outcome);
                if (m_options.printsEachRequest)
                    std::printf("%s\n", toCompactJson(outcome.toJson()).c_str());
            }
        }

        // With --failover, acts like a load balancer: if an entry instance is unreachable or
        // draining, the next one is tried.
        request_outcome performWithFailover(http_client& client, planned_request planned)
        {
            for (std::size_t attempts = 1;; ++attempts) {
                bool tryNextEntry = false;
                auto outcome = performOnce(client, planned, tryNextEntry);
                if (!m_options.failover || !tryNextEntry || attempts >= m_options.entries.size())
                    return outcome;
                planned.entry = (planned.entry + 1) % m_options.entries.size();
            }
        }

        request_outcome performOnce(http_client& client, const planned_request& planned, bool& tryNextEntry)
        {
            const auto prompt = promptFor(m_options, planned, m_seed);
            auto request = requestFor(m_options, planned, prompt);
            const auto requestBody = request.body;
            answer_check check(planned.streaming);
            std::string rawBody;
            clock::time_point firstByte {};
            request.onData = [&](std::string_view data) {
                if (firstByte == clock::time_point {})
                    firstByte = clock::now();
                rawBody += data;
                check.add(data);
                return true;
            };
            const auto answer = client.call(request);
            tryNextEntry = (answer.status == 0 && answer.error.find("connect to") != std::string::npos)
                || (answer.status == 503 && rawBody.find("\"draining\"") != std::string::npos);
            request_outcome outcome;
            outcome.number = planned.number;
            outcome.key = planned.key;
            outcome.latency = clock::now() - planned.dueTime;
            if (firstByte != clock::time_point {})
                outcome.firstToken = firstByte - planned.dueTime;
            if (!m_options.servicePath.empty())
                classifyService(outcome, answer, rawBody, requestBody);
            else
                classifyCompletion(outcome, answer, rawBody, check, { planned.chat ? "user: " + prompt + "\nassistant: " : prompt, m_options.maxTokens, planned.streaming });
            if (m_options.sendsDirectly && outcome.kind == "ok" && m_options.servicePath.empty() && check.id() != "cmpl-load-" + std::to_string(planned.number) && planned.streaming)
                outcome.kind = "crossed";
            return outcome;
        }

        load_options m_options;
        std::uint64_t m_seed;
        std::mutex m_mutex; // guards all below
        std::condition_variable m_changed;
        std::deque<planned_request> m_queue;
        std::size_t m_idle = 0;
        bool m_closing = false;
        load_summary m_summary;
        std::vector<std::jthread> m_workers;
    };

} // namespace

int runLoad(const arguments& args)
{
    load_options options;
    options.entries = listOf(args, "--entries");
    options.failover = isSet(args, "--failover");
    options.keys = listOf(args, "--keys");
    options.model = textOf(args, "--model-name");
    options.marker = textOf(args, "--marker");
    options.servicePath = textOf(args, "--path");
    options.timeout = std::chrono::milliseconds(numberOf(args, "--timeout-ms"));
    options.promptBytes = static_cast<std::size_t>(numberOf(args, "--prompt-bytes"));
    options.sharedPrefixes = static_cast<std::uint64_t>(numberOf(args, "--shared-prefixes"));
    options.maxTokens = numberOf(args, "--max-tokens");
    options.sendsDirectly = isSet(args, "--direct");
    options.printsEachRequest = isSet(args, "--lines");
    const auto seed = static_cast<std::uint64_t>(numberOf(args, "--seed"));
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> interarrivalTime(realOf(args, "--rate-per-second"));
    std::uniform_real_distribution<double> uniform(0, 1);
    const auto begin = clock::now();
    const auto end = begin + std::chrono::milliseconds(numberOf(args, "--duration-ms"));
    const auto entryCount = options.entries.size();
    const auto keyCount = std::max<std::size_t>(1, options.keys.size());
    const auto prefixes = std::max<std::uint64_t>(1, options.sharedPrefixes);
    load_run run(std::move(options), seed);
    planned_request planned;
    for (planned.dueTime = begin;; ++planned.number) {
        planned.dueTime += std::chrono::duration_cast<clock::duration>(std::chrono::duration<double>(interarrivalTime(random)));
        if (planned.dueTime >= end)
            break;
        planned.key = random() % keyCount;
        planned.entry = random() % entryCount;
        planned.prefix = random() % prefixes;
        planned.streaming = uniform(random) < realOf(args, "--stream-share");
        planned.chat = uniform(random) < realOf(args, "--chat-share");
        std::this_thread::sleep_until(planned.dueTime);
        run.submit(planned);
    }
    const auto summary = run.finish();
    std::printf("%s\n", toCompactJson(summary.toJson()).c_str());
    return 0;
}

} // namespace lovagerail::standin
