// The serving thread: makes all decisions of the data path (serving.h). It exchanges messages
// through ring buffers with the HTTP server for clients, the HTTP client for targets and the
// control thread.
#pragma once

#include "daemon/messages.h"
#include "http/server.h"
#include "http/worker.h"
#include "named_thread.h"
#include "ring.h"
#include "serving.h"
#include "settings.h"
#include "target/target_watch.h"

#include <atomic>
#include <deque>
#include <memory>
#include <unordered_map>

namespace lovagerail::daemon {

class serving_thread {
public:
    // `control` is notified when there are messages for the control thread. start() starts the thread.
    serving_thread(const settings& values, serving_settings servingSettings, wakeup& control);
    ~serving_thread();

    // Starts the thread and listens for clients.
    result<void> start(const http::tls_files& tls);
    void stop();
    // Accepts no more connections.
    void stopListening() { m_server->stopListening(); }

    // Called only by the control thread.
    bool trySend(to_serving message) { return m_fromControl.tryPush(std::move(message)); }
    bool tryPop(to_control& next) { return m_toControl.tryPop(next); }

private:
    void run();
    void onCaller(http::exchange_ptr exchange); // on the HTTP server's thread
    void processCallers(instant now, wall_time wall);
    void processControlMessages(instant now, wall_time wall);
    void processTargetEvents(instant now, wall_time wall);
    void cancelDisconnected(instant now, wall_time wall);
    void execute(std::vector<serving_action> actions);
    void execute(send_attempt& send);
    void sendToControl(to_control message);
    void flushControlBacklog();
    void reportState();

    settings m_values;
    serving m_serving;
    wakeup m_wakeup;
    ring<http::exchange_ptr> m_callerRing;
    ring<to_serving> m_fromControl;
    ring<to_control> m_toControl;
    std::deque<to_control> m_controlBacklog; // waits for room in m_toControl; records are never dropped
    http::worker m_targets;
    target::target_watch m_watch;
    std::unordered_map<caller_handle, http::exchange_ptr> m_exchanges; // of open requests
    std::uint64_t m_lastHandle = 0;
    std::unique_ptr<http::server> m_server;
    std::unique_ptr<named_thread> m_thread;
    std::atomic<bool> m_stopping { false };
};

} // namespace lovagerail::daemon
