// The metrics page of an entry instance in the Prometheus text format.
#pragma once

#include "batch_runner.h"
#include "connection_pool_view.h"
#include "forwarding.h"
#include "http/server.h"

#include <map>
#include <string>

namespace lovagerail::edge {

struct metrics_view {
    const forwarding_counts& forwards;
    const batch_run_counts& batches;
    const std::map<std::string, std::uint64_t, std::less<>>& storeCalls; // by cause
    const connection_counts& connections; // to targets
    std::size_t openForwards = 0;
    std::size_t openBatches = 0;
    std::size_t evacuatedDomains = 0;
    std::size_t slowTargets = 0; // by the slowdown that they state, averaged over seconds
    http::server::pressure_counts pressure {}; // of the listeners for callers and instances
    std::uint64_t clientBytes = 0; // charged to what clients send and hold open
    const std::map<service_id, std::vector<slot_share>>* shares = nullptr; // given by this instance, by service
};

class metrics_page {
public:
    // Sets the counters to show; cheap enough to call in every round of the event loop.
    void update(const metrics_view& view) { m_view.emplace(view); }
    void answer(const http::exchange_ptr& exchange) const;

private:
    std::optional<metrics_view> m_view;
};

} // namespace lovagerail::edge
