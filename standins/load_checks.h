// Checks of the load generator: classifies each answer, for example as complete,
// truncated or belonging to another request, and summarizes all requests.
#pragma once

#include "engine_model.h"
#include "http_client.h"

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerail::standin {

// Parses the chunks of a streamed answer as they arrive. Answers that aren't streamed are
// only buffered.
class answer_check {
public:
    explicit answer_check(bool streaming)
        : m_streaming(streaming)
    {
    }

    void add(std::string_view data);
    const std::string& text() const { return m_text; }
    const std::string& id() const { return m_id; }
    const std::string& finishReason() const { return m_finishReason; }
    bool receivedDone() const { return m_receivedDone; }
    // Reason given by an error event in the stream; empty if there was none.
    const std::string& error() const { return m_error; }
    bool mixedIds() const { return m_mixedIds; }

private:
    void addEvent(const std::string& payload);

    bool m_streaming;
    std::string m_partialLine; // received so far, until its newline arrives
    std::string m_text;
    std::string m_id; // of the first chunk
    std::string m_finishReason;
    std::string m_error;
    bool m_receivedDone = false;
    bool m_mixedIds = false;
};

struct request_outcome {
    std::uint64_t number = 0;
    std::size_t key = 0;
    // ok, refused, failed, timeout; or, for an answer that claims success but is wrong: gap,
    // repeat, crossed (of another request), truncated.
    std::string kind;
    long status = 0;
    std::string reason; // of a refusal or failure
    bool notRun = false; // the refusal states that the request wasn't executed
    std::uint32_t tokens = 0;
    std::chrono::nanoseconds latency { 0 };
    std::chrono::nanoseconds firstToken { 0 }; // 0 if nothing was received

    Json::Value toJson() const;
};

struct expected_answer {
    std::string prompt;
    std::int64_t maxTokens = 0; // 0: the natural length
    bool streaming = false;
};

void classifyCompletion(request_outcome& outcome, const client_answer& answer, const std::string& rawBody, const answer_check& check, const expected_answer& expected);
void classifyService(request_outcome& outcome, const client_answer& answer, const std::string& rawBody, const std::string& requestBody);

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
    std::vector<double> m_latencies; // in milliseconds, of answers classified as ok
    std::map<std::size_t, std::vector<double>> m_latenciesByKey;
    std::vector<double> m_firstTokens;
};

} // namespace lovagerail::standin
