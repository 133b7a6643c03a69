// jsoncpp's reader and writer with the options used throughout the project.
#include "json_text.h"

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

} // namespace

std::optional<Json::Value> parseJson(std::string_view text)
{
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
