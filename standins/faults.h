// Faults that a stand-in is told to show: a table of named numbers and texts
// that `POST /control/faults` merges into, and counters that it keeps.
#pragma once

#include <atomic>
#include <cstdint>
#include <json/json.h>
#include <map>
#include <mutex>
#include <string>

namespace lovagerail::standin {

// Shared by all connection threads of one server.
class fault_table {
public:
    // Merges the members of an object; `{"clear": true}` forgets all first.
    void merge(const Json::Value& changes);
    Json::Value all() const;

    bool on(const std::string& name) const { return number(name) != 0; }
    std::int64_t number(const std::string& name) const;
    std::string text(const std::string& name) const;
    // True for the next n calls after the fault was set to n.
    bool take(const std::string& name);

private:
    mutable std::mutex m_mutex;
    Json::Value m_faults { Json::objectValue };
};

// Counts by name, for `GET /control/stats`.
class counter_table {
public:
    void add(const std::string& name, std::int64_t amount = 1);
    Json::Value all() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::int64_t> m_counts;
};

// One line of JSON without spaces.
std::string toLine(const Json::Value& value);
// Null if the text isn't JSON.
Json::Value parseJson(const std::string& text);
// A 64-bit number given as a JSON number or string; 0 if absent.
std::int64_t toNumber(const Json::Value& value);
// Milliseconds since 1970, for records.
std::int64_t wallMilliseconds();

} // namespace lovagerail::standin
