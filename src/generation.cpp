// Request bodies, stream chunks and answers in the format of the OpenAI API.
#include "generation.h"

#include <algorithm>
#include <json/json.h>
#include <memory>

namespace lovagerail {

namespace {

    constexpr std::uint32_t maxTokensLimit = 1'000'000;

    std::string writeCompact(const Json::Value& value)
    {
        static const Json::StreamWriterBuilder writer = [] {
            Json::StreamWriterBuilder builder;
            builder["indentation"] = "";
            builder["emitUTF8"] = true;
            return builder;
        }();
        return Json::writeString(writer, value);
    }

    std::optional<Json::Value> parse(std::string_view text)
    {
        Json::CharReaderBuilder builder;
        builder["stackLimit"] = 64;
        const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
        Json::Value value;
        try {
            if (reader->parse(text.data(), text.data() + text.size(), &value, nullptr) && value.isObject())
                return value;
        } catch (const Json::Exception&) {
            // Nested deeper than the limit: treated as invalid JSON.
        }
        return std::nullopt;
    }

    // Joins a chat's messages to find shared prefixes; the result is never sent.
    result<std::string> joinMessages(const Json::Value& messages)
    {
        constexpr std::string_view step = "caller.parse";
        if (!messages.isArray() || messages.empty())
            return failure(error_code::InvalidArgument, step, "messages: expected a list that is not empty");
        std::string joined;
        for (const auto& message : messages) {
            if (!message.isObject() || !message["role"].isString() || !message["content"].isString())
                return failure(error_code::InvalidArgument, step, "messages: expected objects with texts role and content");
            joined += message["role"].asString() + ":" + message["content"].asString() + "\n";
        }
        return joined;
    }

    token_count tokenCountOf(const Json::Value& value)
    {
        return token_count(value.isUInt64() ? value.asUInt64() : 0);
    }

    std::optional<engine_usage> parseUsage(const Json::Value& value)
    {
        if (!value.isObject())
            return std::nullopt;
        engine_usage usage;
        usage.prompt = tokenCountOf(value["prompt_tokens"]);
        usage.completion = tokenCountOf(value["completion_tokens"]);
        if (value["prompt_tokens_details"].isObject())
            usage.cached = tokenCountOf(value["prompt_tokens_details"]["cached_tokens"]);
        return usage;
    }

    result<stream_chunk> parseChunk(const Json::Value& value)
    {
        const auto corrupt = [](std::string detail) {
            return failure(error_code::Corrupt, "target.stream", peer_kind::Target, {}, std::move(detail));
        };
        stream_chunk chunk;
        if (!value["id"].isString())
            return corrupt("chunk without id");
        chunk.id = value["id"].asString();
        if (value["weight_version"].isUInt64())
            chunk.version = weight_version(value["weight_version"].asUInt64());
        if (value["token_count"].isUInt())
            chunk.tokens = value["token_count"].asUInt();
        chunk.usage = parseUsage(value["usage"]);
        const auto& choices = value["choices"];
        if (!choices.isArray())
            return corrupt("chunk without choices");
        if (choices.empty())
            return chunk;
        const auto& choice = choices[0];
        if (!choice.isObject())
            return corrupt("choice is not an object");
        if (choice["text"].isString())
            chunk.text = choice["text"].asString();
        else if (choice["delta"].isObject() && choice["delta"]["content"].isString())
            chunk.text = choice["delta"]["content"].asString();
        if (choice["finish_reason"].isString())
            chunk.finishReason = choice["finish_reason"].asString();
        return chunk;
    }

} // namespace

result<generation_request> parseGeneration(std::string_view path, std::string_view body)
{
    constexpr std::string_view step = "caller.parse";
    auto value = parse(body);
    if (!value)
        return failure(error_code::InvalidArgument, step, "body: expected a JSON object");
    generation_request request;
    request.chat = path.find("/chat/") != std::string_view::npos;

    // Step 1. The prompt.
    if (request.chat) {
        auto joined = joinMessages((*value)["messages"]);
        if (!joined)
            return tl::unexpected(joined.error());
        request.prompt = std::move(*joined);
    } else {
        if (!(*value)["prompt"].isString())
            return failure(error_code::InvalidArgument, step, "prompt: expected a text");
        request.prompt = (*value)["prompt"].asString();
    }

    // Step 2. The options that this daemon evaluates itself.
    const auto& model = (*value)["model"];
    if (!model.isNull() && !model.isString())
        return failure(error_code::InvalidArgument, step, "model: expected a text");
    request.model = model.asString();
    const auto& stream = (*value)["stream"];
    if (!stream.isNull() && !stream.isBool())
        return failure(error_code::InvalidArgument, step, "stream: expected true or false");
    request.stream = stream.asBool();
    const auto& count = (*value)["n"];
    if (!count.isNull() && !(count.isUInt() && count.asUInt() == 1))
        return failure(error_code::InvalidArgument, step, "n: expected 1");
    const auto& limit = (*value)["max_tokens"];
    if (!limit.isNull()) {
        if (!limit.isUInt() || limit.asUInt() == 0 || limit.asUInt() > maxTokensLimit)
            return failure(error_code::InvalidArgument, step, "max_tokens: expected a whole number from 1 to 1000000");
        request.maxTokens = limit.asUInt();
    }
    request.body = std::move(*value);
    return request;
}

result<std::vector<stream_chunk>> stream_reader::feed(std::string_view bytes)
{
    constexpr std::size_t maxLineBytes = 1 << 20;
    constexpr std::string_view marker = "data:";
    std::vector<stream_chunk> chunks;
    m_line += bytes;
    std::size_t begin = 0;
    for (auto end = m_line.find('\n'); end != std::string::npos; end = m_line.find('\n', begin)) {
        std::string_view line(m_line.data() + begin, end - begin);
        begin = end + 1;
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        if (line.substr(0, marker.size()) != marker)
            continue;
        line.remove_prefix(marker.size());
        while (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        if (line == "[DONE]") {
            m_done = true;
            continue;
        }
        const auto value = parse(line);
        if (!value)
            return failure(error_code::Corrupt, "target.stream", peer_kind::Target, {}, "event is not a JSON object");
        auto chunk = parseChunk(*value);
        if (!chunk)
            return tl::unexpected(chunk.error());
        chunks.push_back(std::move(*chunk));
    }
    m_line.erase(0, begin);
    if (m_line.size() > maxLineBytes)
        return failure(error_code::Corrupt, "target.stream", peer_kind::Target, {}, "line too long");
    return chunks;
}

generation::generation(generation_request wanted)
    : m_request(std::move(wanted))
{
}

std::uint32_t generation::remainingTokens() const
{
    return m_request.maxTokens - std::min(m_tokens, m_request.maxTokens);
}

std::string generation::attemptBody(std::int32_t priority) const
{
    Json::Value body = m_request.body;
    body["stream"] = true;
    body["max_tokens"] = std::max(remainingTokens(), 1u);
    body["priority"] = priority;
    body["stream_options"]["include_usage"] = true;
    if (m_text.empty())
        return writeCompact(body);
    if (!m_request.chat) {
        body["prompt"] = m_request.prompt + m_text;
        return writeCompact(body);
    }
    Json::Value assistantMessage(Json::objectValue);
    assistantMessage["role"] = "assistant";
    assistantMessage["content"] = m_text;
    body["messages"].append(assistantMessage);
    body["continue_final_message"] = true;
    body["add_generation_prompt"] = false;
    return writeCompact(body);
}

void generation::add(const stream_chunk& chunk)
{
    if (chunk.tokens > 0) {
        engine_chunk attributedTokens;
        attributedTokens.version = chunk.version;
        attributedTokens.firstToken = m_tokens;
        attributedTokens.tokenCount = chunk.tokens;
        m_attributionFailed = m_attributionFailed || m_attribution.append(attributedTokens).has_value();
    }
    m_text += chunk.text;
    m_tokens += chunk.tokens;
    if (!chunk.finishReason.empty())
        m_finishReason = chunk.finishReason;
    if (!chunk.usage)
        return;
    m_usage = chunk.usage;
    if (m_promptTokens == token_count())
        m_promptTokens = chunk.usage->prompt;
}

Json::Value generation::commonFields(const request_id& id, bool isChunk) const
{
    Json::Value out(Json::objectValue);
    out["id"] = "cmpl-" + id.str();
    out["model"] = m_request.model;
    if (m_request.chat)
        out["object"] = isChunk ? "chat.completion.chunk" : "chat.completion";
    else
        out["object"] = "text_completion";
    return out;
}

std::string generation::chunkEvent(const request_id& id, const stream_chunk& chunk) const
{
    Json::Value out = commonFields(id, true);
    Json::Value choice(Json::objectValue);
    choice["index"] = 0;
    if (m_request.chat)
        choice["delta"]["content"] = chunk.text;
    else
        choice["text"] = chunk.text;
    choice["finish_reason"] = chunk.finishReason.empty() ? Json::Value() : Json::Value(chunk.finishReason);
    out["choices"].append(choice);
    if (chunk.version)
        out["weight_version"] = Json::UInt64(chunk.version->value());
    out["token_count"] = chunk.tokens;
    return "data: " + writeCompact(out) + "\n\n";
}

Json::Value generation::usageJson() const
{
    Json::Value usage(Json::objectValue);
    const auto prompt = m_promptTokens == token_count() ? m_request.prompt.size() / bytesPerToken : m_promptTokens.count();
    usage["prompt_tokens"] = Json::UInt64(prompt);
    usage["completion_tokens"] = m_tokens;
    usage["total_tokens"] = Json::UInt64(prompt + m_tokens);
    if (m_usage)
        usage["prompt_tokens_details"]["cached_tokens"] = Json::UInt64(m_usage->cached.count());
    return usage;
}

std::string generation::finalEvents(const request_id& id) const
{
    Json::Value out = commonFields(id, true);
    // Some clients read the first choice of each chunk, so this one carries an empty choice.
    Json::Value choice(Json::objectValue);
    choice["index"] = 0;
    if (m_request.chat)
        choice["delta"] = Json::Value(Json::objectValue);
    else
        choice["text"] = "";
    choice["finish_reason"] = Json::Value();
    out["choices"].append(choice);
    out["usage"] = usageJson();
    if (isAttributed())
        out["version_spans"] = toJson(spans());
    return "data: " + writeCompact(out) + "\n\ndata: [DONE]\n\n";
}

std::string generation::completeBody(const request_id& id) const
{
    Json::Value out = commonFields(id, false);
    Json::Value choice(Json::objectValue);
    choice["index"] = 0;
    if (m_request.chat) {
        choice["message"]["role"] = "assistant";
        choice["message"]["content"] = m_text;
    } else {
        choice["text"] = m_text;
    }
    choice["finish_reason"] = m_finishReason;
    out["choices"].append(choice);
    out["usage"] = usageJson();
    if (isAttributed())
        out["version_spans"] = toJson(spans());
    return writeCompact(out) + "\n";
}

} // namespace lovagerail
