// Writes recorded traffic to a file of bounded size, on a thread of its own.
//
// When the file is full it is renamed to FILE.1, replacing an earlier one, and a new file is
// started, so at most twice the size is kept. Records that the thread cannot write fast enough
// are dropped and counted. If the file cannot be written, recording ends.
#pragma once

#include "named_thread.h"
#include "ring.h"
#include "trace.h"

#include <atomic>
#include <memory>
#include <string>

namespace lovagerail::daemon {

class trace_writer {
public:
    // With an empty file name nothing is recorded.
    trace_writer(std::string file, byte_count maxBytes, std::string instance);
    ~trace_writer();

    void write(const trace_record& record);

private:
    void run();

    std::string m_file;
    byte_count m_maxBytes;
    std::string m_instance;
    wakeup m_wakeup;
    ring<std::string> m_lines;
    std::atomic<std::uint64_t> m_dropped { 0 };
    std::atomic<bool> m_stopping { false };
    std::unique_ptr<named_thread> m_thread;
};

} // namespace lovagerail::daemon
