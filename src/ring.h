// Bounded single-producer, single-consumer ring buffers between threads, and the eventfd
// that wakes their reader.
//
// A full ring is back-pressure: tryPush() returns false and the producer decides how to
// handle it. Producers never block.
#pragma once

#include <boost/lockfree/spsc_queue.hpp>
#include <chrono>
#include <cstddef>
#include <utility>

namespace lovagerail {

// Wakes one waiting reader thread. notify() may be called from any thread.
class wakeup {
public:
    wakeup();
    ~wakeup();
    wakeup(const wakeup&) = delete;
    wakeup& operator=(const wakeup&) = delete;

    void notify();
    // Blocks until notified or until the time has passed.
    void wait(std::chrono::milliseconds timeout);
    // For readers that poll several descriptors; call drain() once it is readable.
    int descriptor() const { return m_descriptor; }
    void drain();

private:
    int m_descriptor = -1;
};

// One thread pushes, one thread pops. Elements are stored as pointers, so that a large
// ring costs little memory while it is empty and items need only be movable.
template <typename T>
class ring {
public:
    ring(std::size_t capacity, wakeup& reader)
        : m_queue(capacity)
        , m_reader(reader)
    {
    }

    ~ring()
    {
        T* remaining = nullptr;
        while (m_queue.pop(remaining))
            delete remaining;
    }

    ring(const ring&) = delete;
    ring& operator=(const ring&) = delete;

    // False if the ring is full; the item is then not moved from.
    bool tryPush(T&& item)
    {
        if (m_queue.write_available() == 0)
            return false;
        m_queue.push(new T(std::move(item)));
        m_reader.notify();
        return true;
    }

    // False if the ring is empty.
    bool tryPop(T& item)
    {
        T* front = nullptr;
        if (!m_queue.pop(front))
            return false;
        item = std::move(*front);
        delete front;
        return true;
    }

private:
    boost::lockfree::spsc_queue<T*> m_queue;
    wakeup& m_reader;
};

} // namespace lovagerail
