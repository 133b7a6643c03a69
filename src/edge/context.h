// What the duties of an entry instance's event loop share. One thread owns it all.
#pragma once

#include "edge/entry_settings.h"
#include "edge/store_link.h"
#include "edge/transfers.h"
#include "router.h"
#include "site.h"
#include "types.h"

namespace lovagerail::edge {

struct context {
    const entry_settings& values;
    transfers& net;
    store_link& store;
    router& targets;
    incarnation life;
    instant now {};
    wall_time wall {};
    site_ptr site {}; // null until a first configuration is known
    bool stopping = false;
};

} // namespace lovagerail::edge
