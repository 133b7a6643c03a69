// State shared by the duties (the components of the control thread, and the exclusive tasks
// that some of them perform under a lease): time of the current loop iteration, the session
// with the key-value service, HTTP clients, and the queue to the serving thread.
#pragma once

#include "config.h"
#include "daemon/messages.h"
#include "http/async.h"
#include "provider/kv_session.h"
#include "settings.h"

#include <deque>
#include <functional>

namespace lovagerail::daemon {

struct control_context {
    const settings& values;
    instance_id self;
    incarnation incarnationNumber;
    provider::kv_session& kv;
    http::async_caller& platform; // also used for judges and the weight store
    http::async_caller& instances;

    instant now {}; // time of the current loop iteration
    wall_time wall {};
    config_ptr inForce; // the current configuration; never null
    bool draining = false;

    std::deque<to_serving> servingQueue; // sent at the end of the loop iteration; never dropped
    void sendToServing(to_serving message) { servingQueue.push_back(std::move(message)); }
};

} // namespace lovagerail::daemon
