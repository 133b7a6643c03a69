// Structured logs: one key=value line per event, written by a thread of its own.
//
// logEvent() never blocks: lines go through a bounded ring, and what does not fit
// is counted and reported by the next line that does. Never log a key or a prompt.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace lovagerail {

enum class log_level {
    Debug,
    Info,
    Warning,
    Error,
};

struct log_field {
    std::string_view key;
    std::string value;
};

// Starts the writing thread; the instance's name stands in every line.
void startLog(const std::string& instance, log_level level);
// Writes what is waiting and ends the thread.
void stopLog();

void setLogLevel(log_level level);
log_level currentLogLevel();
// False if the name is none of debug, info, warning, error.
bool parseLogLevel(std::string_view name, log_level& level);
std::string_view toString(log_level level);

// Duty and step say where it happened, e.g. ("config", "apply").
void logEvent(log_level level, std::string_view duty, std::string_view step, std::initializer_list<log_field> fields = {});

} // namespace lovagerail
