// Marks of requests that bring targets down, shared among all instances: each passes on
// what is new to it to its neighbours in the tree of knowledge.
#pragma once

#include "edge/knowledge.h"
#include "http/server.h"
#include "quarantine.h"

#include <vector>

namespace lovagerail::edge {

class mark_news {
public:
    mark_news(context& shared, const knowledge& known, quarantine& marks);

    void tick();
    // From another instance.
    void onPeer(const http::exchange_ptr& exchange);

private:
    context& m_context;
    const knowledge& m_known;
    quarantine& m_marks;
    std::vector<blame_mark> m_relayed; // from others, to be passed on
    instant m_nextSend {};
};

} // namespace lovagerail::edge
