// Fault table, counters and JSON helpers, see faults.h.
#include "faults.h"

#include <charconv>
#include <chrono>
#include <memory>

namespace lovagerail::standin {

void fault_table::merge(const Json::Value& changes)
{
    if (!changes.isObject())
        return;
    const std::lock_guard lock(m_mutex);
    if (changes.get("clear", false).asBool())
        m_faults = Json::Value(Json::objectValue);
    for (const auto& name : changes.getMemberNames()) {
        if (name != "clear")
            m_faults[name] = changes[name];
    }
}

Json::Value fault_table::toJson() const
{
    const std::lock_guard lock(m_mutex);
    return m_faults;
}

std::int64_t fault_table::number(const std::string& name) const
{
    const std::lock_guard lock(m_mutex);
    return toInt64(m_faults.get(name, 0));
}

std::string fault_table::text(const std::string& name) const
{
    const std::lock_guard lock(m_mutex);
    const auto value = m_faults.get(name, "");
    return value.isString() ? value.asString() : std::string();
}

bool fault_table::consume(const std::string& name)
{
    const std::lock_guard lock(m_mutex);
    const auto left = toInt64(m_faults.get(name, 0));
    if (left <= 0)
        return false;
    m_faults[name] = Json::Int64(left - 1);
    return true;
}

void counter_table::add(const std::string& name, std::int64_t amount)
{
    const std::lock_guard lock(m_mutex);
    m_counts[name] += amount;
}

Json::Value counter_table::toJson() const
{
    const std::lock_guard lock(m_mutex);
    Json::Value counts(Json::objectValue);
    for (const auto& [name, count] : m_counts)
        counts[name] = Json::Int64(count);
    return counts;
}

std::string toCompactJson(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return Json::writeString(builder, value);
}

Json::Value parseJson(const std::string& text)
{
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr))
        return {};
    return value;
}

std::int64_t toInt64(const Json::Value& value)
{
    if (value.isBool())
        return value.asBool() ? 1 : 0;
    if (value.isNumeric())
        return value.asInt64();
    if (!value.isString())
        return 0;
    const auto text = value.asString();
    std::int64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::int64_t unixTimeMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace lovagerail::standin
