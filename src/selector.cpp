// Parsing, matching and printing of selectors.
#include "selector.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace lovagerail {

namespace {

    constexpr std::string_view step = "selector.parse";
    constexpr std::size_t maxLabelBytes = 63;

    bool isLabelCharacter(char c)
    {
        return std::isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.' || c == '/';
    }

    bool isLabelEdgeCharacter(char c)
    {
        return std::isalnum(static_cast<unsigned char>(c));
    }

    // Recursive-descent parser of a selector; tracks the column for error messages.
    class selector_reader {
    public:
        explicit selector_reader(std::string_view text)
            : m_text(text)
        {
        }

        result<std::vector<requirement>> readAll()
        {
            std::vector<requirement> requirements;
            skipBlanks();
            if (atEnd())
                return requirements;
            while (true) {
                auto next = readOne();
                if (!next)
                    return tl::unexpected(std::move(next.error()));
                requirements.push_back(std::move(*next));
                skipBlanks();
                if (atEnd())
                    return requirements;
                if (!take(','))
                    return fault("expected ',' or the end");
            }
        }

    private:
        bool atEnd() const { return m_at == m_text.size(); }

        void skipBlanks()
        {
            while (!atEnd() && (m_text[m_at] == ' ' || m_text[m_at] == '\t'))
                ++m_at;
        }

        bool take(char expected)
        {
            skipBlanks();
            if (atEnd() || m_text[m_at] != expected)
                return false;
            ++m_at;
            return true;
        }

        std::string_view takeWord()
        {
            skipBlanks();
            const auto begin = m_at;
            while (!atEnd() && isLabelCharacter(m_text[m_at]))
                ++m_at;
            return m_text.substr(begin, m_at - begin);
        }

        tl::unexpected<error> fault(std::string_view expected) const
        {
            return failure(error_code::InvalidArgument, step, "column " + std::to_string(m_at + 1) + ": " + std::string(expected));
        }

        result<std::string> readKey()
        {
            skipBlanks();
            const auto begin = m_at;
            const auto word = takeWord();
            if (isLabelKey(word))
                return std::string(word);
            m_at = begin;
            return fault("expected a label key");
        }

        result<std::string> readValue()
        {
            skipBlanks();
            const auto begin = m_at;
            const auto word = takeWord();
            if (isLabelValue(word))
                return std::string(word);
            m_at = begin;
            return fault("expected a label value");
        }

        result<std::vector<std::string>> readList()
        {
            if (!take('('))
                return fault("expected '('");
            std::vector<std::string> values;
            while (true) {
                auto value = readValue();
                if (!value)
                    return tl::unexpected(std::move(value.error()));
                values.push_back(std::move(*value));
                if (take(')'))
                    break;
                if (!take(','))
                    return fault("expected ',' or ')'");
            }
            std::sort(values.begin(), values.end());
            values.erase(std::unique(values.begin(), values.end()), values.end());
            return values;
        }

        result<requirement> withList(requirement_kind kind, std::string key)
        {
            auto values = readList();
            if (!values)
                return tl::unexpected(std::move(values.error()));
            return requirement { kind, std::move(key), std::move(*values) };
        }

        result<requirement> withValue(requirement_kind kind, std::string key)
        {
            auto value = readValue();
            if (!value)
                return tl::unexpected(std::move(value.error()));
            return requirement { kind, std::move(key), { std::move(*value) } };
        }

        result<requirement> readOne()
        {
            // Step 1. `!key`
            const bool missing = take('!');
            auto key = readKey();
            if (!key)
                return tl::unexpected(std::move(key.error()));
            if (missing)
                return requirement { requirement_kind::Missing, std::move(*key), {} };

            // Step 2. `key` alone
            skipBlanks();
            if (atEnd() || m_text[m_at] == ',')
                return requirement { requirement_kind::Exists, std::move(*key), {} };

            // Step 3. `key = value`, `key == value`, `key != value`
            if (take('=')) {
                if (!atEnd() && m_text[m_at] == '=')
                    ++m_at;
                return withValue(requirement_kind::In, std::move(*key));
            }
            if (take('!')) {
                if (atEnd() || m_text[m_at] != '=')
                    return fault("expected '=' after '!'");
                ++m_at;
                return withValue(requirement_kind::NotIn, std::move(*key));
            }

            // Step 4. `key in (a, b)`, `key notin (a, b)`
            const auto begin = m_at;
            const auto word = takeWord();
            if (word == "in")
                return withList(requirement_kind::In, std::move(*key));
            if (word == "notin")
                return withList(requirement_kind::NotIn, std::move(*key));
            m_at = begin;
            return fault("expected '=', '==', '!=', 'in', 'notin', ',' or the end");
        }

        std::string_view m_text;
        std::size_t m_at = 0; // <= m_text.size()
    };

    bool isSatisfied(const requirement& condition, const labels& set)
    {
        const auto found = set.find(condition.key);
        const bool exists = found != set.end();
        switch (condition.kind) {
        case requirement_kind::In:
            return exists && std::binary_search(condition.values.begin(), condition.values.end(), found->second);
        case requirement_kind::NotIn:
            return !exists || !std::binary_search(condition.values.begin(), condition.values.end(), found->second);
        case requirement_kind::Exists:
            return exists;
        case requirement_kind::Missing:
            return !exists;
        }
        return false;
    }

    std::string joined(const std::vector<std::string>& values)
    {
        std::string text;
        for (const auto& value : values) {
            if (&value != &values.front())
                text += ",";
            text += value;
        }
        return text;
    }

    std::string toText(const requirement& condition)
    {
        const bool single = condition.values.size() == 1;
        switch (condition.kind) {
        case requirement_kind::In:
            return single ? condition.key + "=" + condition.values.front() : condition.key + " in (" + joined(condition.values) + ")";
        case requirement_kind::NotIn:
            return single ? condition.key + "!=" + condition.values.front() : condition.key + " notin (" + joined(condition.values) + ")";
        case requirement_kind::Exists:
            return condition.key;
        case requirement_kind::Missing:
            return "!" + condition.key;
        }
        return {};
    }

} // namespace

bool isLabelKey(std::string_view text)
{
    return !text.empty() && isLabelValue(text);
}

bool isLabelValue(std::string_view text)
{
    if (text.empty())
        return true;
    if (text.size() > maxLabelBytes || !isLabelEdgeCharacter(text.front()) || !isLabelEdgeCharacter(text.back()))
        return false;
    return std::all_of(text.begin(), text.end(), isLabelCharacter);
}

result<selector> selector::parse(std::string_view text)
{
    auto parsed = parseLenient(text);
    if (parsed.m_fault)
        return tl::unexpected(*parsed.m_fault);
    return parsed;
}

selector selector::parseLenient(std::string_view text)
{
    selector out;
    out.m_text = text;
    auto parsed = selector_reader(text).readAll();
    if (parsed)
        out.m_requirements = std::move(*parsed);
    else
        out.m_fault = std::move(parsed.error());
    return out;
}

bool selector::matches(const labels& set) const
{
    if (m_fault)
        return false;
    return std::all_of(m_requirements.begin(), m_requirements.end(), [&](const requirement& condition) { return isSatisfied(condition, set); });
}

std::string selector::str() const
{
    if (m_fault)
        return m_text;
    std::string text;
    for (const auto& condition : m_requirements) {
        if (!text.empty())
            text += ",";
        text += toText(condition);
    }
    return text;
}

} // namespace lovagerail
