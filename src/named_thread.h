// A POSIX thread with a name and a small explicit stack.
#pragma once

#include <cstddef>
#include <functional>
#include <pthread.h>
#include <string>

namespace lovagerail {

// Enough for a libcurl TLS handshake and a JSON parse of bounded depth.
constexpr std::size_t threadStackBytes = 512 * 1024;

// Runs the body until it returns; the destructor joins.
class named_thread {
public:
    // The name is truncated to 15 characters, the kernel's limit.
    named_thread(const std::string& name, std::function<void()> body);
    ~named_thread();
    named_thread(const named_thread&) = delete;
    named_thread& operator=(const named_thread&) = delete;

    void join();
    pthread_t handle() const { return m_thread; }

private:
    std::function<void()> m_body;
    pthread_t m_thread {};
    bool m_joined = false;
};

} // namespace lovagerail
