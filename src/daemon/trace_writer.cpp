// The file behind recorded traffic.
#include "daemon/trace_writer.h"

#include "log.h"

#include <cstdio>
#include <fstream>

namespace lovagerail::daemon {

namespace {

    constexpr std::size_t waitingLines = 4096;
    constexpr std::chrono::milliseconds idleWait { 200 };

} // namespace

trace_writer::trace_writer(std::string file, byte_count longest, std::string instance)
    : m_file(std::move(file))
    , m_longest(longest)
    , m_instance(std::move(instance))
    , m_lines(waitingLines, m_wakeup)
{
    if (!m_file.empty())
        m_thread = std::make_unique<named_thread>("trace", [this] { run(); });
}

trace_writer::~trace_writer()
{
    m_stopping = true;
    m_wakeup.notify();
    m_thread.reset();
}

void trace_writer::write(const trace_record& record)
{
    if (m_thread && !m_lines.tryPush(encodeTraceRecord(record)))
        ++m_dropped;
}

void trace_writer::run()
{
    std::ofstream out;
    std::uint64_t written = 0;
    const auto begin = [&] {
        const auto head = encodeTraceHead(m_instance);
        out = std::ofstream(m_file, std::ios::binary | std::ios::trunc);
        out << head;
        written = head.size();
    };
    begin();
    for (bool last = false; !last;) {
        last = m_stopping;
        if (!last)
            m_wakeup.wait(idleWait);
        std::string line;
        while (m_lines.tryPop(line)) {
            if (written + line.size() > m_longest.count()) {
                out.close();
                std::rename(m_file.c_str(), (m_file + ".1").c_str());
                begin();
            }
            out << line;
            written += line.size();
        }
        out.flush();
        if (!out) {
            logEvent(log_level::Error, "trace", "write", { { "file", m_file }, { "error", "can't be written; recording ends" } });
            return;
        }
        if (const auto lost = m_dropped.exchange(0); lost > 0)
            logEvent(log_level::Warning, "trace", "write", { { "dropped", std::to_string(lost) } });
    }
}

} // namespace lovagerail::daemon
