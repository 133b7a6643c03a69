// Writes recorded traffic to a file of bounded size, on a thread of its own.
//
// When the file is full it is renamed to FILE.1, over an earlier one, and a new one
// begins; so at most twice the size is kept. What the thread can't keep up with is
// dropped and counted; a file that can't be written ends the recording.
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
    // An empty file name records nothing.
    trace_writer(std::string file, byte_count longest, std::string instance);
    ~trace_writer();

    void write(const trace_record& record);

private:
    void run();

    std::string m_file;
    byte_count m_longest;
    std::string m_instance;
    wakeup m_wakeup;
    ring<std::string> m_lines;
    std::atomic<std::uint64_t> m_dropped { 0 };
    std::atomic<bool> m_stopping { false };
    std::unique_ptr<named_thread> m_thread;
};

} // namespace lovagerail::daemon
