// Stand-in for callers: requests arrive at random times whether or not earlier
// ones are answered, and every answer is checked against its own prompt.
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
    constexpr std::size_t mostWorkers = 2000;

    struct load_options {
        std::vector<std::string> entries;
        bool failover = false;
        std::vector<std::string> keys;
        std::string model;
        std::string marker;
        std::string path; // of a plain service; empty for completions
        std::chrono::milliseconds timeout { 0 };
        std::size_t promptBytes = 0;
        std::uint64_t sharedPrefixes = 0;
        std::int64_t mostTokens = 0;
        bool direct = false;
        bool lines = false;
    };

    // What one request is to be; all of it follows from the seed.
    struct planned_request {
        clock::time_point due;
        std::uint64_t number = 0;
        std::size_t key = 0;
        std::size_t entry = 0;
        std::uint64_t prefix = 0;
        bool streamed = false;
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
        if (!options.direct && !options.keys.empty())
            request.headers.emplace_back("Authorization", "Bearer " + options.keys[planned.key]);
        if (options.direct)
            request.headers.emplace_back("X-Request-Id", "load-" + std::to_string(planned.number));
        Json::Value body;
        const auto& base = options.entries[planned.entry];
        if (!options.path.empty()) {
            request.url = base + options.path;
            body["enquiry"] = prompt;
            request.body = toLine(body);
            return request;
        }
        request.url = base + (planned.chat ? "/v1/chat/completions" : "/v1/completions");
        body["model"] = options.model;
        body["stream"] = planned.streamed;
        if (options.mostTokens > 0)
            body["max_tokens"] = Json::Int64(options.mostTokens);
        if (planned.chat) {
            Json::Value message;
            message["role"] = "user";
            message["content"] = prompt;
            body["messages"].append(message);
        } else {
            body["prompt"] = prompt;
        }
        request.body = toLine(body);
        return request;
    }

    // Runs the requests on worker threads that each keep a connection; a worker is
    // added whenever none is free, so that slow answers don't hold arrivals back.
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
            if (m_idle < m_queue.size() && m_workers.size() < mostWorkers)
                m_workers.emplace_back([this] { work(); });
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
        void work()
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
                const auto outcome = perform(client, planned);
                lock.lock();
                m_summary.add(outcome);
                if (m_options.lines)
                    std::printf("%s\n", toLine(outcome.toJson()).c_str());
            }
        }

        // Like a balancer: an entry that can't be reached or is draining is passed over.
        request_outcome perform(http_client& client, planned_request planned)
        {
            for (std::size_t tries = 1;; ++tries) {
                bool passOver = false;
                auto outcome = performOnce(client, planned, passOver);
                if (!m_options.failover || !passOver || tries >= m_options.entries.size())
                    return outcome;
                planned.entry = (planned.entry + 1) % m_options.entries.size();
            }
        }

        request_outcome performOnce(http_client& client, const planned_request& planned, bool& passOver)
        {
            const auto prompt = promptFor(m_options, planned, m_seed);
            auto request = requestFor(m_options, planned, prompt);
            const auto sent = request.body;
            answer_check check(planned.streamed);
            std::string whole;
            clock::time_point firstByte {};
            request.onData = [&](std::string_view data) {
                if (firstByte == clock::time_point {})
                    firstByte = clock::now();
                whole += data;
                check.add(data);
                return true;
            };
            const auto answer = client.call(request);
            passOver = (answer.status == 0 && answer.problem.find("connect to") != std::string::npos)
                || (answer.status == 503 && whole.find("\"draining\"") != std::string::npos);
            request_outcome outcome;
            outcome.number = planned.number;
            outcome.key = planned.key;
            outcome.latency = clock::now() - planned.due;
            if (firstByte != clock::time_point {})
                outcome.firstToken = firstByte - planned.due;
            if (!m_options.path.empty())
                classifyService(outcome, answer, whole, sent);
            else
                classifyCompletion(outcome, answer, whole, check, { planned.chat ? "user: " + prompt + "\nassistant: " : prompt, m_options.mostTokens, planned.streamed });
            if (m_options.direct && outcome.kind == "ok" && m_options.path.empty() && check.id() != "cmpl-load-" + std::to_string(planned.number) && planned.streamed)
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

int runLoad(const arguments& given)
{
    load_options options;
    options.entries = listOf(given, "--entries");
    options.failover = isSet(given, "--failover");
    options.keys = listOf(given, "--keys");
    options.model = textOf(given, "--model-name");
    options.marker = textOf(given, "--marker");
    options.path = textOf(given, "--path");
    options.timeout = std::chrono::milliseconds(numberOf(given, "--timeout-ms"));
    options.promptBytes = static_cast<std::size_t>(numberOf(given, "--prompt-bytes"));
    options.sharedPrefixes = static_cast<std::uint64_t>(numberOf(given, "--shared-prefixes"));
    options.mostTokens = numberOf(given, "--max-tokens");
    options.direct = isSet(given, "--direct");
    options.lines = isSet(given, "--lines");
    const auto seed = static_cast<std::uint64_t>(numberOf(given, "--seed"));
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(realOf(given, "--rate-per-second"));
    std::uniform_real_distribution<double> share(0, 1);
    const auto begin = clock::now();
    const auto end = begin + std::chrono::milliseconds(numberOf(given, "--duration-ms"));
    const auto entryCount = options.entries.size();
    const auto keyCount = std::max<std::size_t>(1, options.keys.size());
    const auto prefixes = std::max<std::uint64_t>(1, options.sharedPrefixes);
    load_run run(std::move(options), seed);
    planned_request planned;
    for (planned.due = begin;; ++planned.number) {
        planned.due += std::chrono::duration_cast<clock::duration>(std::chrono::duration<double>(gap(random)));
        if (planned.due >= end)
            break;
        planned.key = random() % keyCount;
        planned.entry = random() % entryCount;
        planned.prefix = random() % prefixes;
        planned.streamed = share(random) < realOf(given, "--stream-share");
        planned.chat = share(random) < realOf(given, "--chat-share");
        std::this_thread::sleep_until(planned.due);
        run.submit(planned);
    }
    const auto summary = run.finish();
    std::printf("%s\n", toLine(summary.toJson()).c_str());
    return 0;
}

} // namespace lovagerail::standin
