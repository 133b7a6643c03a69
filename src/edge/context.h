// State that all components of an entry instance share. Used only by the thread of the
// event loop, so nothing here is locked.
#pragma once

#include "edge/entry_settings.h"
#include "edge/store_link.h"
#include "edge/transfers.h"
#include "http/memory_account.h"
#include "regions.h"
#include "router.h"
#include "site.h"
#include "types.h"

namespace lovagerail::edge {

struct context {
    const entry_settings& settings;
    transfers& net;
    store_link& store;
    router& targets;
    incarnation ownIncarnation;
    instant now {};
    wall_time wall {};
    http::memory_account_ptr clientMemory {}; // of all listeners; null before they listen
    site_ptr site {}; // configuration in force; null until the first one was read
    bool stopping = false;
    instant exitAt {}; // while stopping: the process ends then at the latest

    region_id ownRegion() const { return region_id(settings.regionOf(settings.instance.failureDomain)); }
};

} // namespace lovagerail::edge
