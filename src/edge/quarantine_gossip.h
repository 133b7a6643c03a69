// Gossip of blame marks: requests that are suspected of crashing targets are quarantined
// on all instances. Each instance sends marks that are new to it to its neighbours in the
// tree of platform_view.
#pragma once

#include "edge/platform_view.h"
#include "http/server.h"
#include "quarantine.h"

#include <vector>

namespace lovagerail::edge {

class quarantine_gossip {
public:
    quarantine_gossip(context& shared, const platform_view& platformView, quarantine& blameMarks);

    void tick();
    // Handles marks from another instance.
    void onPeerRequest(const http::exchange_ptr& exchange);

private:
    context& m_context;
    const platform_view& m_platformView;
    quarantine& m_blameMarks;
    std::vector<blame_mark> m_toRelay; // new marks of others, for the next round
    instant m_nextSend {};
};

} // namespace lovagerail::edge
