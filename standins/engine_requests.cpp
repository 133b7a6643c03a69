// Completions of the engine stand-in: admission by priority, prefill, generation in
// chunks, and the faults that break answers. See engine.h.
#include "engine.h"

#include <algorithm>
#include <cstdio>
#include <microhttpd.h>
#include <xxhash.h>

namespace lovagerail::standin {

namespace {

    constexpr std::chrono::milliseconds admissionPollInterval { 5 };
    constexpr std::chrono::milliseconds hangPollInterval { 20 };
    constexpr std::chrono::milliseconds maxExchangeWait { 2000 };
    constexpr std::size_t maxLoggedAttempts = 20000;
    constexpr std::int64_t tokensBeforeTruncation = 3;
    constexpr std::size_t promptStartBytes = 120;

    std::string sseEvent(const Json::Value& value) { return "data: " + toCompactJson(value) + "\n\n"; }

    std::chrono::nanoseconds seconds(double count)
    {
        return std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(count));
    }

} // namespace

Json::Value attempt_record::toJson() const
{
    Json::Value value;
    value["number"] = Json::UInt64(number);
    value["attempt"] = attemptId;
    value["head"] = requestHead;
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(promptHash));
    value["prompt_hash"] = text;
    value["prompt_start"] = promptStart;
    value["received_at_ms"] = Json::Int64(receivedMilliseconds);
    value["first_token"] = firstToken;
    value["tokens"] = tokens;
    value["prompt_tokens"] = Json::UInt64(promptTokens);
    value["cached_tokens"] = Json::UInt64(cachedTokens);
    value["priority"] = Json::Int64(priority);
    value["incarnation"] = Json::UInt64(incarnation);
    value["outcome"] = outcome;
    value["spans"] = Json::Value(Json::arrayValue);
    for (const auto& span : spans) {
        Json::Value part;
        part["version"] = versionNumber(span.version);
        part["tokens"] = span.tokens;
        value["spans"].append(part);
    }
    return value;
}

// Parses a completion request, logs the attempt and answers it.
http_answer engine::handleCompletion(const http_request& request, bool chat)
{
    const auto body = parseJson(request.body);
    if (!body.isObject())
        return errorAnswer(MHD_HTTP_BAD_REQUEST, "expected a JSON object");
    auto job = std::make_shared<completion_job>();
    job->chat = chat;
    job->prompt = chat ? renderChat(body["messages"], body.get("continue_final_message", false).asBool()) : body["prompt"].asString();
    job->seed = static_cast<std::uint64_t>(toInt64(body["seed"]));
    job->maxTokens = body.isMember("max_tokens") ? static_cast<std::uint32_t>(toInt64(body["max_tokens"])) : UINT32_MAX;
    job->socket = request.socket;
    job->chain = token_chain::start(job->prompt, job->seed, m_options.minAnswerTokens, m_options.maxAnswerTokens);
    job->record = std::make_shared<attempt_record>();
    job->record->attemptId = request.header("X-Request-Id");
    job->record->requestHead = request.head;
    job->record->promptHash = XXH64(job->prompt.data(), job->prompt.size(), 0);
    job->record->promptBytes = job->prompt.size();
    job->record->promptStart = job->prompt.substr(0, promptStartBytes);
    job->record->receivedMilliseconds = unixTimeMilliseconds();
    job->record->firstToken = job->chain.nextIndex;
    job->record->promptTokens = job->chain.promptTokens;
    job->record->priority = toInt64(body["priority"]);
    job->echoedId = job->record->attemptId;
    const bool queueFull = [&] {
        const std::lock_guard lock(m_mutex);
        job->importedBlocks = blocksFromHandle(body["kv_handle"].asString(), job->prompt);
        job->record->number = m_nextAttempt++;
        job->record->incarnation = m_incarnation;
        m_attempts.push_back(job->record);
        if (m_attempts.size() > maxLoggedAttempts)
            m_attempts.pop_front();
        return m_waiting.size() >= m_options.maxWaiting;
    }();
    if (queueFull || m_server.faults.consume("refuse")) {
        finishAttempt(*job, "refused");
        auto refusal = errorAnswer(MHD_HTTP_SERVICE_UNAVAILABLE, "too many requests waiting");
        refusal.headers = { { "X-Not-Run", "true" }, { "X-Request-Id", job->echoedId } };
        return refusal;
    }
    if (m_server.faults.consume("cross_answers"))
        exchangeWithNext(*job);
    if (m_server.faults.consume("truncate_streams"))
        job->truncateAfterTokens = tokensBeforeTruncation;
    if (m_server.faults.consume("truncate_cleanly")) {
        job->truncateAfterTokens = tokensBeforeTruncation;
        job->truncateWithoutError = true;
    }
    return body.get("stream", false).asBool() ? streamingAnswer(job) : nonStreamingAnswer(*job);
}

// Fault `cross_answers`: waits for another request and exchanges the two, so that each
// caller gets the other's answer. Without another request in time, nothing is exchanged.
void engine::exchangeWithNext(completion_job& job)
{
    std::unique_lock lock(m_mutex);
    if (m_awaitingExchange) {
        auto& other = *std::exchange(m_awaitingExchange, nullptr);
        std::swap(job.echoedId, other.echoedId);
        std::swap(job.prompt, other.prompt);
        std::swap(job.seed, other.seed);
        std::swap(job.chain, other.chain);
        m_server.counters.add("crossed_answers", 2);
        m_stateChanged.notify_all();
        return;
    }
    m_awaitingExchange = &job;
    m_stateChanged.wait_for(lock, maxExchangeWait, [&] { return m_awaitingExchange != &job; });
    if (m_awaitingExchange == &job)
        m_awaitingExchange = nullptr;
}

http_answer engine::streamingAnswer(const std::shared_ptr<completion_job>& job)
{
    // Finishes the attempt also if the connection closes before the stream has ended.
    const std::shared_ptr<void> guard(nullptr, [this, job](void*) { finishAttempt(*job, m_server.stopping() ? "crashed" : "cancelled"); });
    http_answer answer;
    answer.contentType = "text/event-stream";
    answer.headers = { { "X-Request-Id", job->echoedId }, { "Cache-Control", "no-cache" } };
    answer.stream = [this, job, guard](std::string& text) { return nextChunk(*job, text); };
    return answer;
}

http_answer engine::nonStreamingAnswer(completion_job& job)
{
    std::string chunk;
    auto step = stream_step::More;
    while (step == stream_step::More) {
        chunk.clear();
        step = nextChunk(job, chunk);
    }
    if (step == stream_step::Abort && job.truncateAfterTokens < 0)
        return droppedAnswer();
    auto value = makeChunk(job, "");
    auto& choice = value["choices"][0];
    choice = Json::Value();
    choice["index"] = 0;
    choice["finish_reason"] = job.chain.finished() ? "stop" : "length";
    if (job.chat) {
        choice["message"]["role"] = "assistant";
        choice["message"]["content"] = job.text;
    } else {
        choice["text"] = job.text;
    }
    value["object"] = job.chat ? "chat.completion" : "text_completion";
    value["usage"] = usageJson(job);
    value["token_count"] = job.record->tokens;
    value["weight_versions"] = job.record->toJson()["spans"];
    auto answer = jsonAnswer(value);
    answer.headers = { { "X-Request-Id", job.echoedId } };
    if (step != stream_step::Abort)
        return answer;
    // A truncated answer: half of the body, then the connection is closed.
    answer.stream = [text = answer.body.substr(0, answer.body.size() / 2)](std::string& out) {
        out = text;
        return stream_step::Abort;
    };
    return answer;
}

// Waits for a slot in the batch, in order of priority; false if the caller disconnected.
bool engine::admit(completion_job& job)
{
    std::unique_lock lock(m_mutex);
    const auto queuePosition = std::make_pair(job.record->priority, m_nextArrivalNumber++);
    m_waiting.insert(queuePosition);
    recordLoad();
    while (m_running >= m_options.maxRunning || *m_waiting.begin() != queuePosition) {
        m_stateChanged.wait_for(lock, admissionPollInterval);
        if (!m_server.connected(job.socket)) {
            m_waiting.erase(queuePosition);
            recordLoad();
            return false;
        }
    }
    m_waiting.erase(queuePosition);
    ++m_running;
    job.admitted = true;
    recordLoad();
    m_stateChanged.notify_all();
    return true;
}

// Takes the time to process the uncached part of the prompt; false if the caller disconnected.
bool engine::prefill(completion_job& job)
{
    const auto blocks = prefixBlocks(job.prompt);
    std::size_t cached = 0;
    {
        const std::lock_guard lock(m_mutex);
        cached = std::max(m_cache.match(blocks), std::min(job.importedBlocks, blocks.size())) * tokensPerBlock;
        cached = std::min(cached, job.chain.promptTokens);
        job.record->cachedTokens = cached;
    }
    job.prefilled = true;
    const auto uncachedTokens = static_cast<double>(job.chain.promptTokens - cached);
    if (!m_server.pause(job.socket, seconds(uncachedTokens / m_options.prefillTokensPerSecond)))
        return false;
    const std::lock_guard lock(m_mutex);
    publishCacheChange(m_cache.store(blocks));
    return true;
}

// Faults `poison` (a prompt that contains the marker crashes the engine) and `hang`; true
// if the answer must be aborted.
bool engine::interruptedByFault(completion_job& job)
{
    const auto marker = m_server.faults.text("poison");
    if (!marker.empty() && job.prompt.find(marker) != std::string::npos) {
        m_server.counters.add("poisoned");
        m_crashRequested = true;
        while (m_server.pause(job.socket, hangPollInterval))
            continue;
        return true;
    }
    while (m_server.faults.isOn("hang")) {
        if (!m_server.pause(job.socket, hangPollInterval))
            return true;
    }
    return false;
}

// Records the outcome of an attempt; only the first call has an effect.
void engine::finishAttempt(completion_job& job, const std::string& outcome)
{
    const std::lock_guard lock(m_mutex);
    if (std::exchange(job.isFinished, true))
        return;
    job.record->outcome = outcome;
    if (job.admitted)
        --m_running;
    recordLoad();
    m_server.counters.add("attempts_" + outcome);
    m_stateChanged.notify_all();
}

// Generates the next chunk of an answer; called until it returns End or Abort.
stream_step engine::nextChunk(completion_job& job, std::string& text)
{
    const auto abortAnswer = [&] {
        finishAttempt(job, m_server.stopping() || m_crashRequested ? "crashed" : "cancelled");
        return stream_step::Abort;
    };
    // Step 1. On the first call: wait for a slot in the batch, then process the prompt.
    if (!job.admitted && !admit(job))
        return abortAnswer();
    if (!job.prefilled && !prefill(job))
        return abortAnswer();
    if (interruptedByFault(job))
        return abortAnswer();
    // Step 2. Wait for the time that the tokens take at the present batch size.
    const auto generatedTokens = job.record->tokens;
    const auto remaining = std::min(job.maxTokens - std::min(generatedTokens, job.maxTokens), job.chain.length - std::min(job.chain.nextIndex, job.chain.length));
    const auto chunkSize = std::min(m_options.chunkTokens, remaining);
    double batchFill = 0;
    {
        const std::lock_guard lock(m_mutex);
        batchFill = static_cast<double>(m_running - 1) / static_cast<double>(m_options.maxRunning);
    }
    const auto addedSecondsPerToken = static_cast<double>(m_server.faults.number("token_slow_us")) / 1e6;
    const auto secondsPerToken = (1 + batchFill * m_options.batchSlowdown) / m_options.tokensPerSecond + addedSecondsPerToken;
    if (!m_server.pause(job.socket, seconds(secondsPerToken * chunkSize)))
        return abortAnswer();
    // Step 3. Generate the tokens and record the weight version loaded now as theirs.
    std::string part;
    Json::Value chunk;
    {
        const std::lock_guard lock(m_mutex);
        for (std::uint32_t i = 0; i < chunkSize; ++i)
            part += job.chain.nextToken();
        auto& record = *job.record;
        record.tokens += chunkSize;
        if (chunkSize > 0 && (record.spans.empty() || record.spans.back().version != m_version))
            record.spans.push_back({ m_version, 0 });
        if (chunkSize > 0)
            record.spans.back().tokens += chunkSize;
        job.text += part;
        chunk = makeChunk(job, part);
    }
    chunk["token_count"] = chunkSize;
    if (m_server.faults.consume("unversioned_chunks"))
        chunk.removeMember("weight_version");
    // Step 4. A truncated answer stops here, with or without a connection error.
    if (job.truncateAfterTokens >= 0 && job.record->tokens >= static_cast<std::uint32_t>(job.truncateAfterTokens)) {
        finishAttempt(job, "cut");
        text = sseEvent(chunk);
        return job.truncateWithoutError ? stream_step::End : stream_step::Abort;
    }
    // Step 5. The last chunk has the finish reason and the usage; [DONE] follows it.
    if (chunkSize < remaining) {
        text = sseEvent(chunk);
        return stream_step::More;
    }
    chunk["choices"][0]["finish_reason"] = job.chain.finished() ? "stop" : "length";
    chunk["usage"] = usageJson(job);
    finishAttempt(job, "done");
    text = sseEvent(chunk) + "data: [DONE]\n\n";
    return stream_step::End;
}

Json::Value engine::makeChunk(const completion_job& job, const std::string& text) const
{
    Json::Value chunk;
    chunk["id"] = "cmpl-" + job.echoedId;
    chunk["object"] = job.chat ? "chat.completion.chunk" : "text_completion";
    chunk["model"] = m_model;
    chunk["weight_version"] = versionNumber(m_version);
    Json::Value choice;
    choice["index"] = 0;
    choice["finish_reason"] = Json::Value();
    if (job.chat)
        choice["delta"]["content"] = text;
    else
        choice["text"] = text;
    chunk["choices"].append(choice);
    return chunk;
}

Json::Value engine::usageJson(const completion_job& job) const
{
    Json::Value usage;
    usage["prompt_tokens"] = Json::UInt64(job.record->promptTokens);
    usage["completion_tokens"] = job.record->tokens;
    usage["total_tokens"] = Json::UInt64(job.record->promptTokens + job.record->tokens);
    usage["prompt_tokens_details"]["cached_tokens"] = Json::UInt64(job.record->cachedTokens);
    return usage;
}

// Returns a handle for the cached prompt of an attempt. The handle holds the length and
// hash of the prompt, so that any engine can import it.
http_answer engine::exportCache(const Json::Value& body)
{
    const auto id = body["request_id"].asString();
    const std::lock_guard lock(m_mutex);
    const auto found = std::find_if(m_attempts.rbegin(), m_attempts.rend(), [&](const auto& record) { return record->attemptId == id; });
    if (found == m_attempts.rend())
        return errorAnswer(MHD_HTTP_NOT_FOUND, "no such request");
    char handle[64];
    std::snprintf(handle, sizeof handle, "kv-%016llx-%zu", static_cast<unsigned long long>((*found)->promptHash), (*found)->promptBytes);
    Json::Value value;
    value["kv_handle"] = handle;
    value["source"] = "http://" + m_options.address + ":" + std::to_string(m_options.port);
    return jsonAnswer(value);
}

// Number of leading blocks that a handle provides: those of the exported prompt if this
// prompt starts with it, else 0.
std::size_t engine::blocksFromHandle(const std::string& handle, const std::string& prompt)
{
    unsigned long long hash = 0;
    std::size_t bytes = 0;
    if (std::sscanf(handle.c_str(), "kv-%llx-%zu", &hash, &bytes) != 2)
        return 0;
    if (bytes > prompt.size() || XXH64(prompt.data(), bytes, 0) != hash) {
        m_server.counters.add("kv_imports_foreign");
        return 0;
    }
    m_server.counters.add("kv_imports");
    return bytes / blockBytes;
}

} // namespace lovagerail::standin
