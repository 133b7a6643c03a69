// The loop between the rings and the client.
#include "http/worker.h"

#include <deque>

namespace lovagerail::http {

namespace {

    constexpr std::chrono::milliseconds idleWait { 100 };
    // How soon a full event ring is tried again.
    constexpr std::chrono::milliseconds fullWait { 1 };

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

bool worker::start(request wanted)
{
    return m_commands.tryPush(command(std::move(wanted)));
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
        // Step 1. Hand on what has come; read no sockets while the owner lags.
        while (!backlog.empty() && m_events.tryPush(std::move(backlog.front())))
            backlog.pop_front();
        if (!backlog.empty()) {
            m_wakeup.wait(fullWait);
        } else {
            // Step 2. Sockets, or a new command.
            for (auto& e : requests.poll(idleWait, m_wakeup.descriptor()))
                backlog.push_back(std::move(e));
            m_wakeup.drain();
        }

        // Step 3. Commands of the owner.
        command next;
        while (m_commands.tryPop(next)) {
            if (auto* wanted = std::get_if<request>(&next))
                requests.start(std::move(*wanted));
            else
                requests.cancel(std::get<cancellation>(next).id);
        }
    }
}

} // namespace lovagerail::http
