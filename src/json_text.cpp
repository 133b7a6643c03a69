// jsoncpp's reader and writer with the options used throughout the project.
#include "json_text.h"

#include <charconv>
#include <json/json.h>
#include <memory>

namespace lovagerail {

namespace {

    constexpr int maxDepth = 64; // of nested values; no format of this project comes near

    const Json::Value* member(const Json::Value& object, const char* name)
    {
        if (!object.isObject() || !object.isMember(name))
            return nullptr;
        return &object[name];
    }

    constexpr std::size_t escapeLength = 6; // of "\\uXXXX"
    constexpr unsigned firstSurrogate = 0xD800;
    constexpr unsigned firstLowSurrogate = 0xDC00;
    constexpr unsigned endOfSurrogates = 0xE000;
    constexpr std::string_view replacementEscape = "\\ufffd";

    // The code unit of the escape "\uXXXX" at this position; empty if there is none.
    std::optional<unsigned> escapedUnit(std::string_view text, std::size_t at)
    {
        constexpr int hexBase = 16;
        if (at + escapeLength > text.size() || text[at] != '\\' || text[at + 1] != 'u')
            return std::nullopt;
        unsigned unit = 0;
        const auto* first = text.data() + at + 2;
        const auto* last = text.data() + at + escapeLength;
        const auto [end, fault] = std::from_chars(first, last, unit, hexBase);
        return fault == std::errc() && end == last ? std::optional(unit) : std::nullopt;
    }

    // Replaces escaped halves of surrogate pairs, which no UTF-8 text holds: jsoncpp refuses the
    // whole document for one of them.
    std::string withoutLoneSurrogates(std::string_view text)
    {
        std::string out(text);
        for (std::size_t at = out.find('\\'); at < out.size(); at = out.find('\\', at)) {
            const auto unit = escapedUnit(out, at);
            if (!unit) {
                at += 2;
                continue;
            }
            const auto next = escapedUnit(out, at + escapeLength);
            const bool isPair = *unit >= firstSurrogate && *unit < firstLowSurrogate && next && *next >= firstLowSurrogate && *next < endOfSurrogates;
            if (!isPair && *unit >= firstSurrogate && *unit < endOfSurrogates)
                out.replace(at, escapeLength, replacementEscape);
            at += isPair ? 2 * escapeLength : escapeLength;
        }
        return out;
    }

} // namespace

std::optional<Json::Value> parseJson(std::string_view document)
{
    const bool mayHaveSurrogates = document.find("\\ud") != std::string_view::npos || document.find("\\uD") != std::string_view::npos;
    const auto repaired = mayHaveSurrogates ? withoutLoneSurrogates(document) : std::string();
    const auto text = mayHaveSurrogates ? std::string_view(repaired) : document;
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["strictRoot"] = false;
    builder["stackLimit"] = maxDepth;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value out;
    // jsoncpp throws when the depth is exceeded.
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &out, nullptr))
            return std::nullopt;
    } catch (const Json::Exception&) {
        return std::nullopt;
    }
    return out;
}

std::size_t jsonTreeBytes(std::string_view document)
{
    constexpr std::size_t valueBytes = 128; // a value as a node of its parent
    constexpr std::size_t containerBytes = 64;
    constexpr std::size_t copiesOfTexts = 2;
    std::size_t values = 1;
    std::size_t containers = 0;
    bool inText = false;
    for (std::size_t at = 0; at < document.size(); ++at) {
        const char c = document[at];
        if (inText && c == '\\') {
            ++at;
            continue;
        }
        if (c == '"')
            inText = !inText;
        if (inText)
            continue;
        values += c == ',' || c == '[' || c == '{' ? 1 : 0;
        containers += c == '[' || c == '{' ? 1 : 0;
    }
    return copiesOfTexts * document.size() + values * valueBytes + containers * containerBytes;
}

result<Json::Value> parseJsonObject(std::string_view text, std::string_view step, peer_kind peer)
{
    auto value = parseJson(text);
    if (!value || !value->isObject())
        return failure(error_code::Corrupt, step, peer, {}, "not a JSON object");
    return std::move(*value);
}

std::string writeJson(const Json::Value& value)
{
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, value);
}

std::string jsonText(const Json::Value& object, const char* name)
{
    const auto* found = member(object, name);
    return found != nullptr && found->isString() ? found->asString() : std::string();
}

std::uint64_t jsonCount(const Json::Value& object, const char* name, std::uint64_t defaultValue)
{
    const auto* found = member(object, name);
    return found != nullptr && found->isUInt64() ? found->asUInt64() : defaultValue;
}

double jsonNumber(const Json::Value& object, const char* name, double defaultValue)
{
    const auto* found = member(object, name);
    return found != nullptr && found->isNumeric() ? found->asDouble() : defaultValue;
}

bool jsonFlag(const Json::Value& object, const char* name)
{
    const auto* found = member(object, name);
    return found != nullptr && found->isBool() && found->asBool();
}

const Json::Value& jsonList(const Json::Value& object, const char* name)
{
    static const Json::Value none(Json::arrayValue);
    const auto* found = member(object, name);
    return found != nullptr && found->isArray() ? *found : none;
}

} // namespace lovagerail
