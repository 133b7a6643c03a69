// Fault injection and counters of the stand-ins. Tests set faults, which are named
// numbers and texts, with `POST /control/faults`. JSON helpers are here too.
#pragma once

#include <atomic>
#include <cstdint>
#include <json/json.h>
#include <map>
#include <mutex>
#include <string>

namespace lovagerail::standin {

// Thread-safe: shared by all connection threads of a server.
class fault_table {
public:
    // Merges the members of an object; `{"clear": true}` removes all earlier faults first.
    void merge(const Json::Value& changes);
    Json::Value toJson() const;

    bool isOn(const std::string& name) const { return number(name) != 0; }
    std::int64_t number(const std::string& name) const;
    std::string text(const std::string& name) const;
    // Uses up one occurrence: true for the next n calls after the fault was set to n.
    bool consume(const std::string& name);

private:
    mutable std::mutex m_mutex;
    Json::Value m_faults { Json::objectValue };
};

// Named counters for `GET /control/stats`. Thread-safe.
class counter_table {
public:
    void add(const std::string& name, std::int64_t amount = 1);
    Json::Value toJson() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::int64_t> m_counts;
};

// JSON on one line, without spaces.
std::string toCompactJson(const Json::Value& value);
// Null if the text isn't JSON.
Json::Value parseJson(const std::string& text);
// Reads a 64-bit integer from a JSON number, string or boolean; 0 if absent or not a number.
std::int64_t toInt64(const Json::Value& value);
// Wall-clock time since 1970, for log entries.
std::int64_t unixTimeMilliseconds();

} // namespace lovagerail::standin
