// What an engine stand-in does apart from HTTP: the text it generates, its
// prompt-prefix cache and its speed. No clock, socket or lock.
//
// The text is a chain: token i holds its index, the natural length of the
// answer and a hash made from the hash before it, and the first hash is made
// from the prompt. So a prompt that ends in generated tokens is continued
// without a gap, and a checker that knows the prompt knows every token.
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
    std::uint32_t hash = 0; // of the token before
    std::uint32_t next = 0; // index of the token to come
    std::uint32_t length = 0; // natural length of the whole answer
    std::size_t promptTokens = 0;

    // The chain for a prompt, which may end in tokens generated before.
    static token_chain start(const std::string& prompt, std::uint64_t seed, std::uint32_t shortest, std::uint32_t longest);
    bool finished() const { return next >= length; }
    // Text of the next token.
    std::string take();
};

// What a text says about itself when read against the chain of its prompt.
struct text_check {
    std::uint32_t tokens = 0;
    std::uint32_t gaps = 0;
    std::uint32_t repeats = 0;
    bool foreign = false; // made from another prompt
    bool whole = false; // reached its natural length
};
text_check checkText(const std::string& prompt, std::uint64_t seed, const std::string& text);

// A chat request as one prompt text.
std::string renderChat(const Json::Value& messages, bool continueFinal);

// Hash of each whole prefix block of a text: block i covers the first 64*(i+1) bytes.
std::vector<std::uint64_t> prefixBlocks(const std::string& text);

struct cache_change {
    std::vector<std::uint64_t> stored;
    std::vector<std::uint64_t> removed;
};

// Least recently used prefix blocks go first. O(1) per block.
class prefix_cache {
public:
    explicit prefix_cache(std::size_t capacityBlocks)
        : m_capacity(capacityBlocks)
    {
    }

    // How many leading blocks are held.
    std::size_t match(const std::vector<std::uint64_t>& blocks) const;
    cache_change store(const std::vector<std::uint64_t>& blocks);
    void clear();
    std::size_t size() const { return m_order.size(); }
    std::size_t capacity() const { return m_capacity; }

private:
    std::size_t m_capacity;
    std::list<std::uint64_t> m_order; // most recently used first; never longer than m_capacity
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_index;
};

// A version as a JSON number.
Json::Value versionNumber(const std::string& version);
// The bytes of a weight version; the same everywhere.
std::string weightBytes(const std::string& model, const std::string& version, std::size_t size);

} // namespace lovagerail::standin
