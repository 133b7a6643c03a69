// Writes the trace file and rotates it.
#include "daemon/trace_writer.h"

#include "log.h"

#include <cstdio>
#include <fstream>

namespace lovagerail::daemon {

namespace {

    constexpr std::size_t lineRingSize = 4096;
    constexpr std::chrono::milliseconds idleWait { 200 };

} // namespace

trace_writer::trace_writer(std::string file, byte_count maxBytes, std::string instance)
    : m_file(std::move(file))
    , m_maxBytes(maxBytes)
    , m_instance(std::move(instance))
    , m_lines(lineRingSize, m_wakeup)
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
    const auto openFile = [&] {
        const auto head = encodeTraceHead(m_instance);
        out = std::ofstream(m_file, std::ios::binary | std::ios::trunc);
        out << head;
        written = head.size();
    };
    openFile();
    for (bool last = false; !last;) {
        last = m_stopping;
        if (!last)
            m_wakeup.wait(idleWait);
        std::string line;
        while (m_lines.tryPop(line)) {
            if (written + line.size() > m_maxBytes.count()) {
                out.close();
                std::rename(m_file.c_str(), (m_file + ".1").c_str());
                openFile();
            }
            out << line;
            written += line.size();
        }
        out.flush();
        if (!out) {
            logEvent(log_level::Error, "trace", "write", { { "file", m_file }, { "error", "can't be written; recording ends" } });
            return;
        }
        if (const auto dropped = m_dropped.exchange(0); dropped > 0)
            logEvent(log_level::Warning, "trace", "write", { { "dropped", std::to_string(dropped) } });
    }
}

} // namespace lovagerail::daemon
