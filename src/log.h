// Structured logging: one line of key=value pairs per event, written by a dedicated thread.
//
// logEvent() never blocks: lines go through a bounded lock-free queue. Lines that don't fit
// are dropped and counted, and the next line written reports their number. Never log a
// key or a prompt.
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

// Starts the writing thread; every line contains the instance's name.
void startLog(const std::string& instance, log_level level);
// Writes the queued lines and ends the thread.
void stopLog();

void setLogLevel(log_level level);
log_level currentLogLevel();
// False if the name is none of debug, info, warning, error.
bool parseLogLevel(std::string_view name, log_level& level);
std::string_view toString(log_level level);

// `duty` and `step` identify the source of the event, e.g. ("config", "apply").
void logEvent(log_level level, std::string_view duty, std::string_view step, std::initializer_list<log_field> fields = {});

} // namespace lovagerail
