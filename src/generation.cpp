// Bodies, pieces and answers in the OpenAI style.
#include "generation.h"

#include <algorithm>
#include <json/json.h>
#include <memory>

namespace lovagerail {

namespace {

    constexpr std::uint32_t mostTokens = 1'000'000;

    std::string compact(const Json::Value& value)
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
            // Too deeply nested: as bad as no JSON.
        }
        return std::nullopt;
    }

    // Joins a chat's messages; used to find shared prefixes, never sent.
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

    token_count tokensOf(const Json::Value& value)
    {
        return token_count(value.isUInt64() ? value.asUInt64() : 0);
    }

    std::optional<engine_usage> usageOf(const Json::Value& value)
    {
        if (!value.isObject())
            return std::nullopt;
        engine_usage usage;
        usage.prompt = tokensOf(value["prompt_tokens"]);
        usage.completion = tokensOf(value["completion_tokens"]);
        if (value["prompt_tokens_details"].isObject())
            usage.cached = tokensOf(value["prompt_tokens_details"]["cached_tokens"]);
        return usage;
    }

    result<stream_piece> pieceOf(const Json::Value& value)
    {
        const auto corrupt = [](std::string why) {
            return failure(error_code::Corrupt, "target.stream", peer_kind::Target, {}, std::move(why));
        };
        stream_piece piece;
        if (!value["id"].isString())
            return corrupt("chunk without id");
        piece.id = value["id"].asString();
        if (value["weight_version"].isUInt64())
            piece.version = weight_version(value["weight_version"].asUInt64());
        if (value["token_count"].isUInt())
            piece.tokens = value["token_count"].asUInt();
        piece.usage = usageOf(value["usage"]);
        const auto& choices = value["choices"];
        if (!choices.isArray())
            return corrupt("chunk without choices");
        if (choices.empty())
            return piece;
        const auto& choice = choices[0];
        if (!choice.isObject())
            return corrupt("choice is no object");
        if (choice["text"].isString())
            piece.text = choice["text"].asString();
        else if (choice["delta"].isObject() && choice["delta"]["content"].isString())
            piece.text = choice["delta"]["content"].asString();
        if (choice["finish_reason"].isString())
            piece.finishReason = choice["finish_reason"].asString();
        return piece;
    }

} // namespace

result<generation_request> parseGeneration(std::string_view path, std::string_view body)
{
    constexpr std::string_view step = "caller.parse";
    auto value = parse(body);
    if (!value)
        return failure(error_code::InvalidArgument, step, "body: expected a JSON object");
    generation_request wanted;
    wanted.chat = path.find("/chat/") != std::string_view::npos;

    // Step 1. The prompt.
    if (wanted.chat) {
        auto joined = joinMessages((*value)["messages"]);
        if (!joined)
            return tl::unexpected(joined.error());
        wanted.prompt = std::move(*joined);
    } else {
        if (!(*value)["prompt"].isString())
            return failure(error_code::InvalidArgument, step, "prompt: expected a text");
        wanted.prompt = (*value)["prompt"].asString();
    }

    // Step 2. Options that we act on.
    const auto& model = (*value)["model"];
    if (!model.isNull() && !model.isString())
        return failure(error_code::InvalidArgument, step, "model: expected a text");
    wanted.model = model.asString();
    const auto& stream = (*value)["stream"];
    if (!stream.isNull() && !stream.isBool())
        return failure(error_code::InvalidArgument, step, "stream: expected true or false");
    wanted.stream = stream.asBool();
    const auto& count = (*value)["n"];
    if (!count.isNull() && !(count.isUInt() && count.asUInt() == 1))
        return failure(error_code::InvalidArgument, step, "n: expected 1");
    const auto& limit = (*value)["max_tokens"];
    if (!limit.isNull()) {
        if (!limit.isUInt() || limit.asUInt() == 0 || limit.asUInt() > mostTokens)
            return failure(error_code::InvalidArgument, step, "max_tokens: expected a whole number from 1 to 1000000");
        wanted.maxTokens = limit.asUInt();
    }
    wanted.body = std::move(*value);
    return wanted;
}

result<std::vector<stream_piece>> piece_reader::feed(std::string_view bytes)
{
    constexpr std::size_t longestLine = 1 << 20;
    constexpr std::string_view marker = "data:";
    std::vector<stream_piece> pieces;
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
            return failure(error_code::Corrupt, "target.stream", peer_kind::Target, {}, "event is no JSON object");
        auto piece = pieceOf(*value);
        if (!piece)
            return tl::unexpected(piece.error());
        pieces.push_back(std::move(*piece));
    }
    m_line.erase(0, begin);
    if (m_line.size() > longestLine)
        return failure(error_code::Corrupt, "target.stream", peer_kind::Target, {}, "line too long");
    return pieces;
}

generation::generation(generation_request wanted)
    : m_wanted(std::move(wanted))
{
}

std::uint32_t generation::tokensLeft() const
{
    return m_wanted.maxTokens - std::min(m_tokens, m_wanted.maxTokens);
}

std::string generation::attemptBody(std::int32_t priority) const
{
    Json::Value body = m_wanted.body;
    body["stream"] = true;
    body["max_tokens"] = std::max(tokensLeft(), 1u);
    body["priority"] = priority;
    body["stream_options"]["include_usage"] = true;
    if (m_text.empty())
        return compact(body);
    if (!m_wanted.chat) {
        body["prompt"] = m_wanted.prompt + m_text;
        return compact(body);
    }
    Json::Value made(Json::objectValue);
    made["role"] = "assistant";
    made["content"] = m_text;
    body["messages"].append(made);
    body["continue_final_message"] = true;
    body["add_generation_prompt"] = false;
    return compact(body);
}

void generation::add(const stream_piece& piece)
{
    if (piece.tokens > 0) {
        engine_chunk chunk;
        chunk.version = piece.version;
        chunk.firstToken = m_tokens;
        chunk.tokenCount = piece.tokens;
        m_unusable = m_unusable || m_made.append(chunk).has_value();
    }
    m_text += piece.text;
    m_tokens += piece.tokens;
    if (!piece.finishReason.empty())
        m_finishReason = piece.finishReason;
    if (!piece.usage)
        return;
    m_usage = piece.usage;
    if (m_promptTokens == token_count())
        m_promptTokens = piece.usage->prompt;
}

Json::Value generation::envelope(const request_id& id, bool chunk) const
{
    Json::Value out(Json::objectValue);
    out["id"] = "cmpl-" + id.str();
    out["model"] = m_wanted.model;
    if (m_wanted.chat)
        out["object"] = chunk ? "chat.completion.chunk" : "chat.completion";
    else
        out["object"] = "text_completion";
    return out;
}

std::string generation::pieceEvent(const request_id& id, const stream_piece& piece) const
{
    Json::Value out = envelope(id, true);
    Json::Value choice(Json::objectValue);
    choice["index"] = 0;
    if (m_wanted.chat)
        choice["delta"]["content"] = piece.text;
    else
        choice["text"] = piece.text;
    choice["finish_reason"] = piece.finishReason.empty() ? Json::Value() : Json::Value(piece.finishReason);
    out["choices"].append(choice);
    if (piece.version)
        out["weight_version"] = Json::UInt64(piece.version->value());
    out["token_count"] = piece.tokens;
    return "data: " + compact(out) + "\n\n";
}

Json::Value generation::usageJson() const
{
    Json::Value usage(Json::objectValue);
    const auto prompt = m_promptTokens == token_count() ? m_wanted.prompt.size() / bytesPerToken : m_promptTokens.count();
    usage["prompt_tokens"] = Json::UInt64(prompt);
    usage["completion_tokens"] = m_tokens;
    usage["total_tokens"] = Json::UInt64(prompt + m_tokens);
    if (m_usage)
        usage["prompt_tokens_details"]["cached_tokens"] = Json::UInt64(m_usage->cached.count());
    return usage;
}

std::string generation::endEvents(const request_id& id) const
{
    Json::Value out = envelope(id, true);
    // Clients that read the first choice of each chunk find an empty one.
    Json::Value choice(Json::objectValue);
    choice["index"] = 0;
    if (m_wanted.chat)
        choice["delta"] = Json::Value(Json::objectValue);
    else
        choice["text"] = "";
    choice["finish_reason"] = Json::Value();
    out["choices"].append(choice);
    out["usage"] = usageJson();
    if (attributed())
        out["version_spans"] = toJson(spans());
    return "data: " + compact(out) + "\n\ndata: [DONE]\n\n";
}

std::string generation::wholeBody(const request_id& id) const
{
    Json::Value out = envelope(id, false);
    Json::Value choice(Json::objectValue);
    choice["index"] = 0;
    if (m_wanted.chat) {
        choice["message"]["role"] = "assistant";
        choice["message"]["content"] = m_text;
    } else {
        choice["text"] = m_text;
    }
    choice["finish_reason"] = m_finishReason;
    out["choices"].append(choice);
    out["usage"] = usageJson();
    if (attributed())
        out["version_spans"] = toJson(spans());
    return compact(out) + "\n";
}

} // namespace lovagerail
