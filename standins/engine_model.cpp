// Text, prefix cache and weights of the engine stand-in, see engine_model.h.
#include "engine_model.h"

#include <algorithm>
#include <cstdio>
#include <memory>
#include <optional>
#include <xxhash.h>

namespace lovagerail::standin {

namespace {

    constexpr std::size_t longestTokenBytes = 40;

    std::uint32_t nextHash(std::uint32_t hash, std::uint32_t index)
    {
        const std::uint32_t input[2] = { hash, index };
        return XXH32(input, sizeof input, 0);
    }

    // One generated token read back: " 12/87.89abcdef".
    struct read_token {
        std::uint32_t index = 0;
        std::uint32_t length = 0;
        std::uint32_t hash = 0;
        std::size_t bytes = 0;
    };

    std::optional<read_token> readToken(const char* text, std::size_t size)
    {
        const std::string part(text, std::min(size, longestTokenBytes));
        read_token token;
        int used = 0;
        if (std::sscanf(part.c_str(), " %u/%u.%8x%n", &token.index, &token.length, &token.hash, &used) != 3 || used == 0)
            return std::nullopt;
        token.bytes = static_cast<std::size_t>(used);
        if (text[0] != ' ')
            return std::nullopt;
        return token;
    }

    // The generated token that a text ends in, if it ends in one.
    std::optional<read_token> lastToken(const std::string& text, std::size_t size)
    {
        if (size == 0)
            return std::nullopt;
        const auto space = text.rfind(' ', size - 1);
        if (space == std::string::npos || size - space > longestTokenBytes)
            return std::nullopt;
        auto token = readToken(text.data() + space, size - space);
        if (!token || token->bytes != size - space)
            return std::nullopt;
        return token;
    }

} // namespace

token_chain token_chain::start(const std::string& prompt, std::uint64_t seed, std::uint32_t shortest, std::uint32_t longest)
{
    token_chain chain;
    auto base = prompt.size();
    // Step 1. Strip tokens generated before, from the last to the first.
    auto last = lastToken(prompt, base);
    const auto end = last;
    bool fromFirst = false;
    for (auto expected = last; last && last->index == expected->index; last = lastToken(prompt, base)) {
        base -= last->bytes;
        fromFirst = last->index == 0;
        if (fromFirst)
            break;
        --expected->index;
    }
    // Step 2. Go on after the last of them, or begin.
    if (end && fromFirst) {
        chain.next = end->index + 1;
        chain.hash = end->hash;
        chain.length = end->length;
        chain.promptTokens = (base + bytesPerToken - 1) / bytesPerToken + chain.next;
        return chain;
    }
    const auto first = XXH64(prompt.data(), prompt.size(), seed);
    chain.hash = static_cast<std::uint32_t>(first);
    chain.length = shortest + static_cast<std::uint32_t>((first >> 32) % (longest - shortest + 1));
    chain.promptTokens = (prompt.size() + bytesPerToken - 1) / bytesPerToken;
    return chain;
}

std::string token_chain::take()
{
    hash = nextHash(hash, next);
    char text[longestTokenBytes];
    const int size = std::snprintf(text, sizeof text, " %u/%u.%08x", next, length, hash);
    ++next;
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
        const auto token = readToken(text.data() + offset, text.size() - offset);
        if (!token) {
            check.foreign = true;
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
            check.foreign = true;
        hash = token->hash;
    }
    check.whole = length > 0 && expected == length;
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
    // From the last block to the first, so that the head of a prompt is evicted last.
    for (std::size_t i = blocks.size(); i > 0; --i) {
        const auto block = blocks[i - 1];
        const auto found = m_index.find(block);
        if (found != m_index.end()) {
            m_order.splice(m_order.begin(), m_order, found->second);
            continue;
        }
        m_order.push_front(block);
        m_index[block] = m_order.begin();
        change.stored.push_back(block);
    }
    while (m_order.size() > m_capacity) {
        change.removed.push_back(m_order.back());
        m_index.erase(m_order.back());
        m_order.pop_back();
    }
    return change;
}

void prefix_cache::clear()
{
    m_order.clear();
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
