// What the duties of the control thread share: clocks of the current turn, the
// session with the key-value service, transfers, and the way to the serving thread.
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
    incarnation life;
    provider::kv_session& kv;
    http::async_caller& platform; // also judges and the weight store
    http::async_caller& instances;

    instant now {}; // of this turn
    wall_time wall {};
    config_ptr inForce; // never null
    bool draining = false;

    std::deque<to_serving> forServing; // sent at the end of the turn, never dropped
    void tellServing(to_serving message) { forServing.push_back(std::move(message)); }
};

} // namespace lovagerail::daemon
