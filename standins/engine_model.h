// Model of the engine stand-in without clock, socket or lock: generated text,
// prompt-prefix cache and weight bytes.
//
// The generated text is a hash chain: token i holds its index, the natural length
// of the answer and a hash computed from the previous token's hash; the first hash
// is computed from the prompt. So a prompt that ends in generated tokens is
// continued without a gap, and a checker that knows the prompt can compute every
// expected token.
#pragma once

#include <cstdint>
#include <json/json.h>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace lovagerail::standin {

constexpr std::size_t blockBytes = 64;
constexpr std::size_t bytesPerToken = 4;
constexpr std::size_t tokensPerBlock = blockBytes / bytesPerToken;

struct token_chain {
    std::uint32_t hash = 0; // of the previous token
    std::uint32_t nextIndex = 0; // index of the next token
    std::uint32_t length = 0; // natural length of the whole answer
    std::size_t promptTokens = 0;

    // The chain for a prompt, which may end in tokens of an earlier attempt.
    static token_chain start(const std::string& prompt, std::uint64_t seed, std::uint32_t minAnswerTokens, std::uint32_t maxAnswerTokens);
    bool finished() const { return nextIndex >= length; }
    // Generates the next token.
    std::string nextToken();
};

// Result of comparing a text with the chain that its prompt determines.
struct text_check {
    std::uint32_t tokens = 0;
    std::uint32_t gaps = 0;
    std::uint32_t repeats = 0;
    bool fromOtherPrompt = false; // a token isn't from this prompt's chain, or isn't a token at all
    bool reachedEnd = false; // reached its natural length
};
text_check checkText(const std::string& prompt, std::uint64_t seed, const std::string& text);

// Renders the messages of a chat as one prompt.
std::string renderChat(const Json::Value& messages, bool continueFinal);

// Hashes of the prefixes of a text at full blocks: hash i covers the first 64*(i+1) bytes.
std::vector<std::uint64_t> prefixBlocks(const std::string& text);

struct cache_change {
    std::vector<std::uint64_t> stored;
    std::vector<std::uint64_t> removed;
};

// LRU cache of prefix blocks; O(1) per block.
class prefix_cache {
public:
    explicit prefix_cache(std::size_t capacityBlocks)
        : m_capacity(capacityBlocks)
    {
    }

    // Number of leading blocks that are cached.
    std::size_t match(const std::vector<std::uint64_t>& blocks) const;
    cache_change store(const std::vector<std::uint64_t>& blocks);
    void clear();
    std::size_t size() const { return m_recency.size(); }
    std::size_t capacity() const { return m_capacity; }

private:
    std::size_t m_capacity;
    std::list<std::uint64_t> m_recency; // most recently used first; never longer than m_capacity
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_index;
};

// Converts a version to a JSON number.
Json::Value versionNumber(const std::string& version);
// The bytes of a weight version; every stand-in generates the same ones.
std::string weightBytes(const std::string& model, const std::string& version, std::size_t size);

} // namespace lovagerail::standin
