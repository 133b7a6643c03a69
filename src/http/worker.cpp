// The worker's loop: moves commands from one ring to the HTTP client, and its events to the other.
#include "http/worker.h"

#include <deque>

namespace lovagerail::http {

namespace {

    constexpr std::chrono::milliseconds maxPollWait { 100 };
    constexpr std::chrono::milliseconds ringFullRetryDelay { 1 };

} // namespace

worker::worker(const std::string& name, std::size_t capacity, wakeup& owner)
    : m_commands(capacity, m_wakeup)
    , m_events(capacity, owner)
    , m_thread(name, [this] { run(); })
{
}

worker::~worker()
{
    m_stopping = true;
    m_wakeup.notify();
    m_thread.join();
}

bool worker::start(request outgoing)
{
    return m_commands.tryPush(command(std::move(outgoing)));
}

bool worker::cancel(std::uint64_t id)
{
    return m_commands.tryPush(command(cancellation { id }));
}

void worker::run()
{
    client requests;
    std::deque<event> backlog;
    while (!m_stopping) {
        // Step 1. Deliver events; read no sockets while the owner's event ring is full.
        while (!backlog.empty() && m_events.tryPush(std::move(backlog.front())))
            backlog.pop_front();
        if (!backlog.empty()) {
            m_wakeup.wait(ringFullRetryDelay);
        } else {
            // Step 2. Wait for sockets or a new command.
            for (auto& e : requests.poll(maxPollWait, m_wakeup.descriptor()))
                backlog.push_back(std::move(e));
            m_wakeup.drain();
        }

        // Step 3. Carry out the owner's commands.
        command nextCommand;
        while (m_commands.tryPop(nextCommand)) {
            if (auto* outgoing = std::get_if<request>(&nextCommand))
                requests.start(std::move(*outgoing));
            else
                requests.cancel(std::get<cancellation>(nextCommand).id);
        }
    }
}

} // namespace lovagerail::http
