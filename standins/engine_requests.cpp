// Completions of the engine stand-in: admission by priority, prefill, tokens
// in chunks, and the faults that break an answer. See engine.h.
#include "engine.h"

#include <algorithm>
#include <cstdio>
#include <microhttpd.h>
#include <xxhash.h>

namespace lovagerail::standin {

namespace {

    constexpr std::chrono::milliseconds admissionTick { 5 };
    constexpr std::chrono::milliseconds hangTick { 20 };
    constexpr std::chrono::milliseconds crossPatience { 2000 };
    constexpr std::size_t longestLog = 20000;
    constexpr std::int64_t tokensBeforeCut = 3;
    constexpr std::size_t promptStartBytes = 120;

    std::string eventOf(const Json::Value& value) { return "data: " + toLine(value) + "\n\n"; }

    std::chrono::nanoseconds seconds(double count)
    {
        return std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(count));
    }

} // namespace

Json::Value attempt_record::toJson() const
{
    Json::Value value;
    value["number"] = Json::UInt64(number);
    value["attempt"] = attempt;
    value["head"] = head;
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

// Takes a completion request: reads the body, logs the attempt and answers.
http_answer engine::complete(const http_request& request, bool chat)
{
    const auto body = parseJson(request.body);
    if (!body.isObject())
        return errorAnswer(MHD_HTTP_BAD_REQUEST, "expected a JSON object");
    auto work = std::make_shared<generation>();
    work->chat = chat;
    work->prompt = chat ? renderChat(body["messages"], body.get("continue_final_message", false).asBool()) : body["prompt"].asString();
    work->seed = static_cast<std::uint64_t>(toNumber(body["seed"]));
    work->mostTokens = body.isMember("max_tokens") ? static_cast<std::uint32_t>(toNumber(body["max_tokens"])) : UINT32_MAX;
    work->socket = request.socket;
    work->chain = token_chain::start(work->prompt, work->seed, m_options.shortest, m_options.longest);
    work->record = std::make_shared<attempt_record>();
    work->record->attempt = request.header("X-Request-Id");
    work->record->head = request.head;
    work->record->promptHash = XXH64(work->prompt.data(), work->prompt.size(), 0);
    work->record->promptBytes = work->prompt.size();
    work->record->promptStart = work->prompt.substr(0, promptStartBytes);
    work->record->receivedMilliseconds = wallMilliseconds();
    work->record->firstToken = work->chain.next;
    work->record->promptTokens = work->chain.promptTokens;
    work->record->priority = toNumber(body["priority"]);
    work->echo = work->record->attempt;
    const bool full = [&] {
        const std::lock_guard lock(m_mutex);
        work->importedBlocks = importedBlocks(body["kv_handle"].asString(), work->prompt);
        work->record->number = m_nextAttempt++;
        work->record->incarnation = m_incarnation;
        m_attempts.push_back(work->record);
        if (m_attempts.size() > longestLog)
            m_attempts.pop_front();
        return m_waiting.size() >= m_options.mostWaiting;
    }();
    if (full || m_server.faults.take("refuse")) {
        finish(*work, "refused");
        auto refusal = errorAnswer(MHD_HTTP_SERVICE_UNAVAILABLE, "too many requests waiting");
        refusal.headers = { { "X-Not-Run", "true" }, { "X-Request-Id", work->echo } };
        return refusal;
    }
    if (m_server.faults.take("cross_answers"))
        cross(*work);
    if (m_server.faults.take("truncate_streams"))
        work->cutAfter = tokensBeforeCut;
    if (m_server.faults.take("truncate_cleanly")) {
        work->cutAfter = tokensBeforeCut;
        work->cutCleanly = true;
    }
    return body.get("stream", false).asBool() ? streamed(work) : whole(*work);
}

// Swaps this request with the next one, so that each gets the other's answer.
void engine::cross(generation& work)
{
    std::unique_lock lock(m_mutex);
    if (m_uncrossed) {
        auto& other = *std::exchange(m_uncrossed, nullptr);
        std::swap(work.echo, other.echo);
        std::swap(work.prompt, other.prompt);
        std::swap(work.seed, other.seed);
        std::swap(work.chain, other.chain);
        m_server.counters.add("crossed_answers", 2);
        m_changed.notify_all();
        return;
    }
    m_uncrossed = &work;
    m_changed.wait_for(lock, crossPatience, [&] { return m_uncrossed != &work; });
    if (m_uncrossed == &work)
        m_uncrossed = nullptr;
}

http_answer engine::streamed(const std::shared_ptr<generation>& work)
{
    // Ends the attempt also where the connection ends before its stream.
    const std::shared_ptr<void> guard(nullptr, [this, work](void*) { finish(*work, m_server.stopping() ? "crashed" : "cancelled"); });
    http_answer answer;
    answer.contentType = "text/event-stream";
    answer.headers = { { "X-Request-Id", work->echo }, { "Cache-Control", "no-cache" } };
    answer.stream = [this, work, guard](std::string& text) { return nextChunk(*work, text); };
    return answer;
}

http_answer engine::whole(generation& work)
{
    std::string chunk;
    auto step = stream_step::More;
    while (step == stream_step::More) {
        chunk.clear();
        step = nextChunk(work, chunk);
    }
    if (step == stream_step::Cut && work.cutAfter < 0)
        return droppedAnswer();
    auto value = chunkOf(work, "");
    auto& choice = value["choices"][0];
    choice = Json::Value();
    choice["index"] = 0;
    choice["finish_reason"] = work.chain.finished() ? "stop" : "length";
    if (work.chat) {
        choice["message"]["role"] = "assistant";
        choice["message"]["content"] = work.text;
    } else {
        choice["text"] = work.text;
    }
    value["object"] = work.chat ? "chat.completion" : "text_completion";
    value["usage"] = usageOf(work);
    value["token_count"] = work.record->tokens;
    value["weight_versions"] = work.record->toJson()["spans"];
    auto answer = jsonAnswer(value);
    answer.headers = { { "X-Request-Id", work.echo } };
    if (step != stream_step::Cut)
        return answer;
    // A truncated answer: half of the text, then the connection breaks.
    answer.stream = [text = answer.body.substr(0, answer.body.size() / 2)](std::string& out) {
        out = text;
        return stream_step::Cut;
    };
    return answer;
}

// Waits for a place in the batch, in the order of priorities; false if the caller left.
bool engine::admit(generation& work)
{
    std::unique_lock lock(m_mutex);
    const auto place = std::make_pair(work.record->priority, m_nextTicket++);
    m_waiting.insert(place);
    noteLoad();
    while (m_running >= m_options.mostRunning || *m_waiting.begin() != place) {
        m_changed.wait_for(lock, admissionTick);
        if (!m_server.connected(work.socket)) {
            m_waiting.erase(place);
            noteLoad();
            return false;
        }
    }
    m_waiting.erase(place);
    ++m_running;
    work.admitted = true;
    noteLoad();
    m_changed.notify_all();
    return true;
}

// Works through the part of the prompt that isn't cached; false if the caller left.
bool engine::prefill(generation& work)
{
    const auto blocks = prefixBlocks(work.prompt);
    std::size_t cached = 0;
    {
        const std::lock_guard lock(m_mutex);
        cached = std::max(m_cache.match(blocks), std::min(work.importedBlocks, blocks.size())) * tokensPerBlock;
        cached = std::min(cached, work.chain.promptTokens);
        work.record->cachedTokens = cached;
    }
    work.prefilled = true;
    const auto rest = static_cast<double>(work.chain.promptTokens - cached);
    if (!m_server.pause(work.socket, seconds(rest / m_options.prefillTokensPerSecond)))
        return false;
    const std::lock_guard lock(m_mutex);
    noteCache(m_cache.store(blocks));
    return true;
}

// Crashes the engine on a poisonous prompt, and hangs while told to; true if the answer ends.
bool engine::interrupted(generation& work)
{
    const auto marker = m_server.faults.text("poison");
    if (!marker.empty() && work.prompt.find(marker) != std::string::npos) {
        m_server.counters.add("poisoned");
        m_crash = true;
        while (m_server.pause(work.socket, hangTick))
            continue;
        return true;
    }
    while (m_server.faults.on("hang")) {
        if (!m_server.pause(work.socket, hangTick))
            return true;
    }
    return false;
}

// Ends an attempt once; later calls change nothing.
void engine::finish(generation& work, const std::string& outcome)
{
    const std::lock_guard lock(m_mutex);
    if (std::exchange(work.ended, true))
        return;
    work.record->outcome = outcome;
    if (work.admitted)
        --m_running;
    noteLoad();
    m_server.counters.add("attempts_" + outcome);
    m_changed.notify_all();
}

// The next chunk of an answer; called until it says End or Cut.
stream_step engine::nextChunk(generation& work, std::string& text)
{
    const auto stopped = [&] {
        finish(work, m_server.stopping() || m_crash ? "crashed" : "cancelled");
        return stream_step::Cut;
    };
    // Step 1. Once: a place in the batch, and the prompt.
    if (!work.admitted && !admit(work))
        return stopped();
    if (!work.prefilled && !prefill(work))
        return stopped();
    if (interrupted(work))
        return stopped();
    // Step 2. Wait as long as the tokens take at the batch's present size.
    const auto made = work.record->tokens;
    const auto left = std::min(work.mostTokens - std::min(made, work.mostTokens), work.chain.length - std::min(work.chain.next, work.chain.length));
    const auto count = std::min(m_options.chunkTokens, left);
    double share = 0;
    {
        const std::lock_guard lock(m_mutex);
        share = static_cast<double>(m_running - 1) / static_cast<double>(m_options.mostRunning);
    }
    const auto extra = static_cast<double>(m_server.faults.number("token_slow_us")) / 1e6;
    const auto perToken = (1 + share * m_options.slowdown) / m_options.tokensPerSecond + extra;
    if (!m_server.pause(work.socket, seconds(perToken * count)))
        return stopped();
    // Step 3. Make the tokens under the version now loaded, and record it.
    std::string part;
    Json::Value chunk;
    {
        const std::lock_guard lock(m_mutex);
        for (std::uint32_t i = 0; i < count; ++i)
            part += work.chain.take();
        auto& record = *work.record;
        record.tokens += count;
        if (count > 0 && (record.spans.empty() || record.spans.back().version != m_version))
            record.spans.push_back({ m_version, 0 });
        if (count > 0)
            record.spans.back().tokens += count;
        work.text += part;
        chunk = chunkOf(work, part);
    }
    chunk["token_count"] = count;
    if (m_server.faults.take("unversioned_chunks"))
        chunk.removeMember("weight_version");
    // Step 4. A truncated answer breaks off here, with or without an error.
    if (work.cutAfter >= 0 && work.record->tokens >= static_cast<std::uint32_t>(work.cutAfter)) {
        finish(work, "cut");
        text = eventOf(chunk);
        return work.cutCleanly ? stream_step::End : stream_step::Cut;
    }
    // Step 5. The last chunk has the reason and the usage, and the end marker follows.
    if (count < left) {
        text = eventOf(chunk);
        return stream_step::More;
    }
    chunk["choices"][0]["finish_reason"] = work.chain.finished() ? "stop" : "length";
    chunk["usage"] = usageOf(work);
    finish(work, "done");
    text = eventOf(chunk) + "data: [DONE]\n\n";
    return stream_step::End;
}

Json::Value engine::chunkOf(const generation& work, const std::string& text) const
{
    Json::Value chunk;
    chunk["id"] = "cmpl-" + work.echo;
    chunk["object"] = work.chat ? "chat.completion.chunk" : "text_completion";
    chunk["model"] = m_model;
    chunk["weight_version"] = versionNumber(m_version);
    Json::Value choice;
    choice["index"] = 0;
    choice["finish_reason"] = Json::Value();
    if (work.chat)
        choice["delta"]["content"] = text;
    else
        choice["text"] = text;
    chunk["choices"].append(choice);
    return chunk;
}

Json::Value engine::usageOf(const generation& work) const
{
    Json::Value usage;
    usage["prompt_tokens"] = Json::UInt64(work.record->promptTokens);
    usage["completion_tokens"] = work.record->tokens;
    usage["total_tokens"] = Json::UInt64(work.record->promptTokens + work.record->tokens);
    usage["prompt_tokens_details"]["cached_tokens"] = Json::UInt64(work.record->cachedTokens);
    return usage;
}

// Keeps the blocks of an attempt's prompt under a handle that any engine takes.
http_answer engine::exportCache(const Json::Value& body)
{
    const auto id = body["request_id"].asString();
    const std::lock_guard lock(m_mutex);
    const auto found = std::find_if(m_attempts.rbegin(), m_attempts.rend(), [&](const auto& record) { return record->attempt == id; });
    if (found == m_attempts.rend())
        return errorAnswer(MHD_HTTP_NOT_FOUND, "no such request");
    char handle[64];
    std::snprintf(handle, sizeof handle, "kv-%016llx-%zu", static_cast<unsigned long long>((*found)->promptHash), (*found)->promptBytes);
    Json::Value value;
    value["kv_handle"] = handle;
    value["source"] = "http://" + m_options.address + ":" + std::to_string(m_options.port);
    return jsonAnswer(value);
}

// How many leading blocks a handle brings for a prompt that begins with the one it was made from.
std::size_t engine::importedBlocks(const std::string& handle, const std::string& prompt)
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
