// Generated text, prefix cache and weight bytes of the engine stand-in, see engine_model.h.
#include "engine_model.h"

#include <algorithm>
#include <cstdio>
#include <memory>
#include <optional>
#include <xxhash.h>

namespace lovagerail::standin {

namespace {

    constexpr std::size_t maxTokenBytes = 40;

    std::uint32_t nextHash(std::uint32_t hash, std::uint32_t index)
    {
        const std::uint32_t input[2] = { hash, index };
        return XXH32(input, sizeof input, 0);
    }

    // A generated token parsed from text, index/length.hash: " 12/87.89abcdef".
    struct parsed_token {
        std::uint32_t index = 0;
        std::uint32_t length = 0;
        std::uint32_t hash = 0;
        std::size_t bytes = 0;
    };

    std::optional<parsed_token> parseToken(const char* text, std::size_t size)
    {
        const std::string part(text, std::min(size, maxTokenBytes));
        parsed_token token;
        int consumed = 0;
        if (std::sscanf(part.c_str(), " %u/%u.%8x%n", &token.index, &token.length, &token.hash, &consumed) != 3 || consumed == 0)
            return std::nullopt;
        token.bytes = static_cast<std::size_t>(consumed);
        if (text[0] != ' ')
            return std::nullopt;
        return token;
    }

    // Parses the generated token at the end of the first `size` bytes, if there is one.
    std::optional<parsed_token> parseLastToken(const std::string& text, std::size_t size)
    {
        if (size == 0)
            return std::nullopt;
        const auto space = text.rfind(' ', size - 1);
        if (space == std::string::npos || size - space > maxTokenBytes)
            return std::nullopt;
        auto token = parseToken(text.data() + space, size - space);
        if (!token || token->bytes != size - space)
            return std::nullopt;
        return token;
    }

} // namespace

token_chain token_chain::start(const std::string& prompt, std::uint64_t seed, std::uint32_t minAnswerTokens, std::uint32_t maxAnswerTokens)
{
    token_chain chain;
    auto promptEnd = prompt.size();
    // Step 1. Find the tokens of an earlier attempt at the end of the prompt, last to first.
    auto last = parseLastToken(prompt, promptEnd);
    const auto newest = last;
    bool startsAtFirstToken = false;
    for (auto expected = last; last && last->index == expected->index; last = parseLastToken(prompt, promptEnd)) {
        promptEnd -= last->bytes;
        startsAtFirstToken = last->index == 0;
        if (startsAtFirstToken)
            break;
        --expected->index;
    }
    // Step 2. Continue after the last of them, or else start a new chain.
    if (newest && startsAtFirstToken) {
        chain.nextIndex = newest->index + 1;
        chain.hash = newest->hash;
        chain.length = newest->length;
        chain.promptTokens = (promptEnd + bytesPerToken - 1) / bytesPerToken + chain.nextIndex;
        return chain;
    }
    const auto first = XXH64(prompt.data(), prompt.size(), seed);
    chain.hash = static_cast<std::uint32_t>(first);
    chain.length = minAnswerTokens + static_cast<std::uint32_t>((first >> 32) % (maxAnswerTokens - minAnswerTokens + 1));
    chain.promptTokens = (prompt.size() + bytesPerToken - 1) / bytesPerToken;
    return chain;
}

std::string token_chain::nextToken()
{
    hash = nextHash(hash, nextIndex);
    char text[maxTokenBytes];
    const int size = std::snprintf(text, sizeof text, " %u/%u.%08x", nextIndex, length, hash);
    ++nextIndex;
    return { text, static_cast<std::size_t>(size) };
}

text_check checkText(const std::string& prompt, std::uint64_t seed, const std::string& text)
{
    text_check check;
    auto hash = static_cast<std::uint32_t>(XXH64(prompt.data(), prompt.size(), seed));
    std::uint32_t expected = 0;
    std::uint32_t length = 0;
    std::size_t offset = 0;
    while (offset < text.size()) {
        const auto token = parseToken(text.data() + offset, text.size() - offset);
        if (!token) {
            check.fromOtherPrompt = true;
            return check;
        }
        offset += token->bytes;
        ++check.tokens;
        length = token->length;
        if (token->index > expected)
            ++check.gaps;
        if (token->index < expected) {
            ++check.repeats;
            continue;
        }
        while (expected <= token->index)
            hash = nextHash(hash, expected++);
        if (hash != token->hash)
            check.fromOtherPrompt = true;
        hash = token->hash;
    }
    check.reachedEnd = length > 0 && expected == length;
    return check;
}

std::string renderChat(const Json::Value& messages, bool continueFinal)
{
    std::string text;
    for (Json::ArrayIndex i = 0; i < messages.size(); ++i) {
        text += messages[i]["role"].asString() + ": " + messages[i]["content"].asString();
        const bool last = i + 1 == messages.size();
        if (!last || !continueFinal)
            text += "\n";
    }
    return continueFinal ? text : text + "assistant: ";
}

std::vector<std::uint64_t> prefixBlocks(const std::string& text)
{
    std::vector<std::uint64_t> blocks;
    const std::unique_ptr<XXH64_state_t, decltype(&XXH64_freeState)> state(XXH64_createState(), XXH64_freeState);
    XXH64_reset(state.get(), 0);
    for (std::size_t end = blockBytes; end <= text.size(); end += blockBytes) {
        XXH64_update(state.get(), text.data() + end - blockBytes, blockBytes);
        blocks.push_back(XXH64_digest(state.get()));
    }
    return blocks;
}

std::size_t prefix_cache::match(const std::vector<std::uint64_t>& blocks) const
{
    std::size_t count = 0;
    while (count < blocks.size() && m_index.contains(blocks[count]))
        ++count;
    return count;
}

cache_change prefix_cache::store(const std::vector<std::uint64_t>& blocks)
{
    cache_change change;
    // From the last block to the first, so that the start of a prompt is the most recently
    // used and is evicted last.
    for (std::size_t i = blocks.size(); i > 0; --i) {
        const auto block = blocks[i - 1];
        const auto found = m_index.find(block);
        if (found != m_index.end()) {
            m_recency.splice(m_recency.begin(), m_recency, found->second);
            continue;
        }
        m_recency.push_front(block);
        m_index[block] = m_recency.begin();
        change.stored.push_back(block);
    }
    while (m_recency.size() > m_capacity) {
        change.removed.push_back(m_recency.back());
        m_index.erase(m_recency.back());
        m_recency.pop_back();
    }
    return change;
}

void prefix_cache::clear()
{
    m_recency.clear();
    m_index.clear();
}

Json::Value versionNumber(const std::string& version)
{
    return Json::UInt64(std::stoull(version));
}

std::string weightBytes(const std::string& model, const std::string& version, std::size_t size)
{
    const auto name = model + "/" + version + "\n";
    std::string bytes;
    while (bytes.size() < size)
        bytes += name;
    bytes.resize(size);
    return bytes;
}

} // namespace lovagerail::standin
