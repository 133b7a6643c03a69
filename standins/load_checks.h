// What the load client makes of an answer: its outcome, whether it is whole and
// its own, and the summary over all requests.
#pragma once

#include "engine_model.h"
#include "http_client.h"

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerail::standin {

// Reads an answer's pieces as they arrive, streamed or not.
class answer_check {
public:
    explicit answer_check(bool streamed)
        : m_streamed(streamed)
    {
    }

    void add(std::string_view data);
    const std::string& text() const { return m_text; }
    const std::string& id() const { return m_id; }
    const std::string& finishReason() const { return m_finishReason; }
    bool done() const { return m_done; }
    // What an error event in the stream says; empty if there was none.
    const std::string& problem() const { return m_problem; }
    bool mixedIds() const { return m_mixedIds; }

private:
    void addEvent(const std::string& payload);

    bool m_streamed;
    std::string m_rest; // of a line not yet whole
    std::string m_text;
    std::string m_id; // of the first chunk
    std::string m_finishReason;
    std::string m_problem;
    bool m_done = false;
    bool m_mixedIds = false;
};

struct request_outcome {
    std::uint64_t number = 0;
    std::size_t key = 0;
    // ok, refused, failed, timeout; or, for an answer that says it is whole but
    // isn't right: gap, repeat, crossed, truncated.
    std::string kind;
    long status = 0;
    std::string reason; // of a refusal or failure
    bool notRun = false; // the refusal says that nothing ran
    std::uint32_t tokens = 0;
    std::chrono::nanoseconds latency { 0 };
    std::chrono::nanoseconds firstToken { 0 }; // 0 if none came

    Json::Value toJson() const;
};

struct expected_answer {
    std::string prompt;
    std::int64_t mostTokens = 0; // 0: the natural length
    bool streamed = false;
};

void classifyCompletion(request_outcome& outcome, const client_answer& answer, const std::string& whole, const answer_check& check, const expected_answer& expected);
void classifyService(request_outcome& outcome, const client_answer& answer, const std::string& whole, const std::string& sent);

class load_summary {
public:
    void add(const request_outcome& outcome);
    Json::Value toJson() const;

private:
    std::map<std::string, std::int64_t> m_kinds;
    std::map<std::string, std::int64_t> m_reasons;
    std::map<std::size_t, std::map<std::string, std::int64_t>> m_byKey;
    std::int64_t m_requests = 0;
    std::int64_t m_notRun = 0;
    std::int64_t m_tokens = 0;
    std::vector<double> m_latencies; // milliseconds, of answers that are ok
    std::map<std::size_t, std::vector<double>> m_latenciesByKey;
    std::vector<double> m_firstTokens;
};

} // namespace lovagerail::standin
