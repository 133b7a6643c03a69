// The queue of log lines, and the thread that writes them through easylogging++.
#include "log.h"

#include "named_thread.h"
#include "ring.h"

#include <algorithm>
#include <atomic>
#include <boost/lockfree/queue.hpp>
#include <chrono>
#include <easylogging++.h>
#include <memory>

INITIALIZE_EASYLOGGINGPP

namespace lovagerail {

namespace {

    constexpr std::size_t queueCapacity = 4096;
    constexpr std::size_t maxValueBytes = 1024; // a value may be a path that a client sent; bounds the lines that wait
    constexpr std::chrono::milliseconds idleWait { 200 };

    struct log_state {
        std::string instance;
        std::atomic<log_level> level { log_level::Info };
        std::atomic<std::uint64_t> dropped { 0 };
        std::atomic<bool> running { false };
        boost::lockfree::queue<std::string*> lines { queueCapacity };
        wakeup reader;
        std::unique_ptr<named_thread> thread;
    };

    log_state& state()
    {
        static log_state only;
        return only;
    }

    void writeQueuedLines()
    {
        std::string* line = nullptr;
        while (state().lines.pop(line)) {
            CLOG(INFO, "default") << *line;
            delete line;
        }
        if (const auto lost = state().dropped.exchange(0); lost > 0)
            CLOG(INFO, "default") << "level=warning duty=log step=write dropped=" << lost;
    }

    // Quotes a value that a parser of key=value lines would otherwise split, and cuts a long one.
    void appendValue(std::string& line, std::string_view text)
    {
        std::string value(text.substr(0, maxValueBytes));
        if (text.size() > maxValueBytes)
            value += "...";
        const auto isControl = [](unsigned char c) { return c < ' ' || c == 0x7f; };
        if (!value.empty() && value.find_first_of(" \"=\\") == std::string::npos && std::none_of(value.begin(), value.end(), isControl)) {
            line += value;
            return;
        }
        line += '"';
        for (const char c : value) {
            if (c == '"' || c == '\\')
                line += '\\';
            line += isControl(static_cast<unsigned char>(c)) ? ' ' : c; // the writer ends a line at a zero byte
        }
        line += '"';
    }

    std::string timeText()
    {
        const auto now = std::chrono::system_clock::now();
        const auto seconds = std::chrono::system_clock::to_time_t(now);
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
        std::tm utc {};
        gmtime_r(&seconds, &utc);
        char text[40];
        const auto length = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &utc);
        std::snprintf(text + length, sizeof text - length, ".%03dZ", static_cast<int>(ms));
        return text;
    }

} // namespace

void startLog(const std::string& instance, log_level level)
{
    auto& logState = state();
    logState.instance = instance;
    logState.level = level;
    el::Configurations plain;
    plain.setToDefault();
    plain.setGlobally(el::ConfigurationType::Format, "%msg");
    plain.setGlobally(el::ConfigurationType::ToFile, "false");
    plain.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureLogger("default", plain);
    logState.running = true;
    logState.thread = std::make_unique<named_thread>("log", [&logState] {
        while (logState.running) {
            logState.reader.wait(idleWait);
            writeQueuedLines();
        }
        writeQueuedLines();
    });
}

void stopLog()
{
    auto& logState = state();
    logState.running = false;
    logState.reader.notify();
    logState.thread.reset();
}

void setLogLevel(log_level level) { state().level = level; }

log_level currentLogLevel() { return state().level; }

bool parseLogLevel(std::string_view name, log_level& level)
{
    for (const auto candidate : { log_level::Debug, log_level::Info, log_level::Warning, log_level::Error }) {
        if (toString(candidate) != name)
            continue;
        level = candidate;
        return true;
    }
    return false;
}

std::string_view toString(log_level level)
{
    switch (level) {
    case log_level::Debug:
        return "debug";
    case log_level::Info:
        return "info";
    case log_level::Warning:
        return "warning";
    case log_level::Error:
        return "error";
    }
    return "info";
}

void logEvent(log_level level, std::string_view duty, std::string_view step, std::initializer_list<log_field> fields)
{
    auto& logState = state();
    if (!logState.running || level < logState.level)
        return;
    auto line = std::make_unique<std::string>("time=" + timeText());
    *line += " level=";
    *line += toString(level);
    *line += " instance=";
    appendValue(*line, logState.instance);
    *line += " duty=";
    *line += duty;
    *line += " step=";
    *line += step;
    for (const auto& field : fields) {
        *line += ' ';
        *line += field.key;
        *line += '=';
        appendValue(*line, field.value);
    }
    if (!logState.lines.bounded_push(line.get())) {
        ++logState.dropped;
        return;
    }
    static_cast<void>(line.release());
    logState.reader.notify();
}

} // namespace lovagerail
