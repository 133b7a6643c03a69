// The serving duty: one thread that owns the data path's decisions and joins the
// callers' edge, the targets thread and the control thread by rings.
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
    // `control` is notified of messages for it. The thread starts with start().
    serving_thread(const settings& values, serving_settings own, wakeup& control);
    ~serving_thread();

    // Binds the callers' address and starts serving.
    result<void> start(const http::tls_files& tls);
    void stop();
    // Takes no more connections.
    void stopListening() { m_server->stopListening(); }

    // For the control thread alone.
    bool tell(to_serving message) { return m_in.tryPush(std::move(message)); }
    bool tryPop(to_control& next) { return m_out.tryPop(next); }

private:
    void run();
    void onCaller(http::exchange_ptr exchange); // on the callers' thread
    void takeCallers(instant now, wall_time wall);
    void takeControl(instant now, wall_time wall);
    void takeTargets(instant now, wall_time wall);
    void noticeGone(instant now, wall_time wall);
    void act(std::vector<serving_action> actions);
    void act(send_attempt& send);
    void tellControl(to_control message);
    void flushControl();
    void reportState();

    settings m_values;
    serving m_serving;
    wakeup m_wakeup;
    ring<http::exchange_ptr> m_callers;
    ring<to_serving> m_in;
    ring<to_control> m_out;
    std::deque<to_control> m_outBacklog; // records are never dropped
    http::worker m_targets;
    target::target_watch m_watch;
    std::unordered_map<caller_handle, http::exchange_ptr> m_exchanges; // open ones
    std::uint64_t m_lastHandle = 0;
    std::unique_ptr<http::server> m_server;
    std::unique_ptr<named_thread> m_thread;
    std::atomic<bool> m_stopping { false };
};

} // namespace lovagerail::daemon
